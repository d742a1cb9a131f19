//! The controller of admission by urgency and the agreement of hosts, without traffic.

use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use rstest::rstest;
use shallothub_core::{
    clock, ratio,
    urgency::{
        Arrival, Controller, Demand, Interval, Level, Policy, Rate, Report, Sample, Threshold,
        exchange::{Exchange, Record, Vote},
    },
};

const LIMIT: clock::Millis = clock::Millis(30);
const SET: &str = "s0";

fn demand(work: f64) -> Demand {
    Demand { new: [0.2 * work, 0.5 * work, 0.3 * work, 0.0, 0.0], ..Demand::default() }
}

fn interval(wait: f64, load: f64, served: f64) -> Interval {
    Interval { wait, limit: LIMIT, demand: demand(load), served, capacity: served.max(800.0) }
}

/// Guards against steps other than those that the specification sets: 5% less admitted work while the wait is above the
/// limit, and 1% more otherwise.
#[test]
fn admitted_work_shrinks_by_5_and_grows_by_1_percent() {
    let mut controller = Controller::default();
    let admitted = |controller: &Controller| demand(1500.0).admission(controller.threshold(), 0.25) * 1500.0;
    controller.step(&interval(50.0, 1500.0, 1000.0), 0.25);
    let first = admitted(&controller);
    assert!((750.0..960.0).contains(&first), "{first}");
    // Servers run no more than is admitted.
    controller.step(&interval(50.0, 1500.0, first), 0.25);
    let second = admitted(&controller);
    assert!((second / first - 0.95).abs() < 0.003, "{second} after {first}");
    controller.step(&interval(20.0, 1500.0, second), 0.25);
    let third = admitted(&controller);
    assert!((third / second - 1.01).abs() < 0.003, "{third} after {second}");
}

/// Guards against a threshold that stays after an overload, or that rejects requests without one.
#[test]
fn the_threshold_opens_once_demand_is_below_the_capacity() {
    let mut controller = Controller::default();
    controller.step(&interval(10.0, 5000.0, 1000.0), 0.25);
    assert!(controller.threshold().is_open());
    for _ in 0..10 {
        controller.step(&interval(60.0, 3000.0, 1000.0), 0.25);
    }
    assert!(!controller.threshold().is_open());
    for _ in 0..5 {
        controller.step(&interval(1.0, 700.0, 700.0), 0.25);
    }
    assert!(controller.threshold().is_open());
}

/// Guards against callers that stay locked out after an outage in which servers ran nothing.
#[test]
fn an_outage_does_not_lock_callers_out() {
    let mut controller = Controller::default();
    controller.step(&interval(60.0, 900.0, 800.0), 0.25);
    for _ in 0..25 {
        controller.step(&interval(300.0, 2000.0, 0.0), 0.25);
    }
    assert!(demand(2000.0).admission(controller.threshold(), 0.25) * 2000.0 > 150.0);
    for _ in 0..10 {
        controller.step(&interval(0.0, 2000.0, 300.0), 0.25);
    }
    assert!(demand(2000.0).admission(controller.threshold(), 0.25) * 2000.0 > 700.0);
}

/// Guards against a threshold that takes many seconds to follow the capacity while servers have no wait.
#[test]
fn admitted_work_grows_fast_without_a_wait() {
    let mut controller = Controller::default();
    let admitted = |controller: &Controller| demand(3000.0).admission(controller.threshold(), 0.25) * 3000.0;
    controller.step(&interval(60.0, 3000.0, 1000.0), 0.25);
    assert!(admitted(&controller) < 800.0);
    for _ in 0..10 {
        controller.step(&interval(1.0, 3000.0, admitted(&controller)), 0.25);
    }
    assert!(admitted(&controller) >= 900.0, "{}", admitted(&controller));
}

/// Guards against rejections that begin with the waits of an outage, and that last while its backlog drains.
#[test]
fn an_outage_begins_no_rejections() {
    let mut controller = Controller::default();
    let mut step = |wait: f64, served: f64| {
        controller.step(&Interval { capacity: 1000.0, ..interval(wait, 900.0, served) }, 0.25);
        controller.threshold().is_open()
    };
    for _ in 0..10 {
        assert!(step(600.0, 0.0), "rejects during the outage");
    }
    for served in [200.0, 500.0, 800.0, 1000.0, 1000.0, 1000.0, 1000.0, 1000.0] {
        assert!(step(600.0, served), "rejects while servers start to run again");
    }
    for _ in 0..10 {
        assert!(step(200.0, 1000.0), "rejects while the backlog drains");
    }
    assert!(!step(200.0, 600.0), "does not reject beyond the capacity that is left");
}

fn level(priority: u8, hash: u64, is_returner: bool, is_excess: bool) -> Level {
    Level::new(&Arrival { priority, hash, is_returner, is_excess })
}

/// Guards against levels in another order than that of the specification: by priority, returning callers of a class
/// before new ones, and requests beyond a caller group's share after all others.
#[rstest]
fn levels_order_requests(#[values(0, u64::MAX / 3, u64::MAX)] hash: u64) {
    for priority in 0..3 {
        assert!(level(priority, u64::MAX, false, false) < level(priority + 1, 0, false, false));
        assert!(level(priority, hash, true, false) <= level(priority, hash, false, false));
        assert!(level(3, u64::MAX, false, false) < level(priority, hash, true, true));
    }
    assert!(level(0, hash, false, true) < level(1, hash, false, true));
    assert!(Threshold::OPEN.admits(level(3, hash, false, true)));
}

/// Guards against a class that starves: at any threshold, `floor` times the mean of all classes is admitted.
#[rstest]
fn no_class_starves(#[values(0.0, 20.0, 90.0, 180.0)] threshold: f64) {
    let threshold = Threshold::new(threshold);
    let mean = demand(1000.0).admission(threshold, 0.25);
    for priority in 0..3 {
        let mut admitted = 0;
        for index in 0..1000_u64 {
            let level = level(priority, index * (u64::MAX / 1000), false, false);
            admitted += u32::from(threshold.admits(level) || level.is_guaranteed(0.25 * mean));
        }
        assert!(f64::from(admitted) / 1000.0 >= 0.25 * mean - 0.002, "class {priority}: {admitted} of 1000");
    }
}

fn report(wait: f64, load: f64) -> Report {
    let rate = Rate { total: 10.0, excess: 0.0, returning: 0.0, admitted: 5.0 };
    let sample = Sample {
        set: SET.into(),
        limit: LIMIT,
        wait,
        waits: 100,
        demand: demand(load),
        served: 1000.0,
        capacity: 1000.0,
        rates: IndexMap::from([(CompactString::const_new("search"), rate)]),
    };
    Report { lane: 0, policy: Policy::default(), samples: vec![sample] }
}

fn host(index: usize) -> Exchange {
    Exchange::new(format_compact!("host-{index}"))
}

fn false_record(host: &str, sequence: u64, threshold: f64) -> Record {
    let vote = Vote {
        set: SET.into(),
        threshold: Threshold::new(threshold),
        waits: 1_000_000,
        wait: clock::Millis(100_000),
        admission: f32::NAN,
        rates: IndexMap::from([(CompactString::const_new("search"), Rate { total: f32::NAN, ..Rate::default() })]),
    };
    Record { host: host.into(), sequence, age: clock::Millis::ZERO, votes: vec![vote] }
}

fn applied(exchange: &Exchange) -> Threshold {
    exchange.states().get(SET).map(|state| state.threshold).unwrap_or_default()
}

/// Guards against one host with a false figure that makes others reject requests, also a host that measures nothing
/// itself.
#[rstest]
fn one_false_figure_does_not_move_the_median(#[values(true, false)] has_measured: bool) {
    let mut exchange = host(0);
    for step in 0..20_u64 {
        let now = clock::Millis(1000 + step * 200);
        let mut records = vec![false_record("false", step + 1, 0.0)];
        for other in 1..4 {
            let mut honest = false_record(&format!("host-{other}"), step + 1, 320.0);
            honest.votes[0].wait = clock::Millis(5);
            records.push(honest);
        }
        exchange.merge(now, records);
        if has_measured {
            exchange.report(now, report(5.0, 700.0));
        }
        exchange.advance(now);
        assert!(applied(&exchange).is_open(), "{:?}", exchange.states());
    }
}

/// Guards against a median that still contains hosts beyond a partition, and against old records that return.
#[test]
fn a_silent_host_expires() {
    let mut exchange = host(0);
    let now = clock::Millis(1000);
    exchange.merge(now, vec![false_record("host-1", 5, 64.0), false_record("host-2", 5, 64.0)]);
    exchange.advance(now);
    assert!(!applied(&exchange).is_open());
    // An older record of the same host, and one that was on its way for too long.
    exchange.merge(now + clock::Millis(500), vec![false_record("host-1", 4, 0.0)]);
    let late = Record { age: clock::Millis(1500), ..false_record("host-3", 1, 0.0) };
    exchange.merge(now + clock::Millis(500), vec![late]);
    exchange.advance(now + clock::Millis(500));
    assert!((applied(&exchange).get() - 64.0).abs() < 1e-9);
    exchange.advance(now + clock::Millis(1200));
    assert!(applied(&exchange).is_open(), "{:?}", exchange.states());
    assert!(exchange.records(now + clock::Millis(1200)).is_empty());
}

/// Guards against traffic between hosts and log lines without an overload, and against more than a log line a second.
#[test]
fn changes_are_logged_once() {
    let mut exchange = host(0);
    exchange.report(clock::Millis(1000), report(5.0, 700.0));
    exchange.advance(clock::Millis(1000));
    assert!(exchange.records(clock::Millis(1000)).is_empty() && exchange.take_changes(clock::Millis(1000)).is_empty());
    let mut changes = Vec::new();
    for step in 0..50_u64 {
        let now = clock::Millis(2000 + step * 200);
        exchange.report(now, if step < 20 { report(60.0, 2000.0) } else { report(0.0, 500.0) });
        exchange.advance(now);
        assert!(step >= 20 || !exchange.records(now).is_empty());
        changes.extend(exchange.take_changes(now));
    }
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert!(!changes[0].threshold.is_open() && changes[1].threshold.is_open());
}

/// Guards against settings whose floor or interval changes unnoticed.
#[test]
fn the_defaults_are_those_of_the_specification() {
    let policy = Policy::default();
    assert_eq!((policy.interval, policy.floor), (clock::Millis(200), ratio::Ratio::try_from(0.25).expect("a ratio")));
}
