//! The table of evidence about servers: the merge laws, expiry, and what is sent on.

use indexmap::IndexMap;
use proptest::prelude::*;
use shallothub_core::{
    clock::Millis,
    evidence::{
        Attempt, Deviations, Incarnation, Levels, Observer, Opinion, Record, Sample, Table, Tally, Update, Version,
    },
    id,
};

const LOCAL: Observer = Observer(1);
const NOW: Millis = Millis(100_000);

fn table() -> Table {
    let mut table = Table::new(LOCAL, 7);
    let servers: IndexMap<_, _> = (0..4).map(|index| (Incarnation(index), id::Server(index as u32))).collect();
    table.set_servers(servers, 24);
    table
}

/// Opinions with few versions, so that many have the same one.
fn opinion() -> impl Strategy<Value = Opinion> {
    let version = (0..2_u16, 0..4_u32).prop_map(|(tag, sequence)| Version { tag, sequence });
    let levels = (0..3_u8, 0..2_u8, 0..2_u8, 1..40_u8);
    let levels = levels.prop_map(|(rejection, failure, slowness, attempts)| Levels {
        rejection: rejection * 120,
        failure: failure * 200,
        slowness: slowness * 16,
        attempts,
    });
    let ages = (0..160_u64, proptest::option::of(0..160_u64), 0..160_u64);
    (version, levels, 0..16_u8, ages, 0..4_u8).prop_map(|(version, levels, deviations, ages, streak)| Opinion {
        version,
        levels,
        deviations: Deviations(deviations),
        sampled_at: NOW - Millis(20 * ages.0),
        bad_at: ages.1.map(|age| NOW - Millis(20 * age)),
        streak,
        streak_at: NOW - Millis(20 * ages.2),
    })
}

fn record() -> impl Strategy<Value = Record> {
    (0..4_u64, 2..30_u32, opinion())
        .prop_map(|(server, observer, opinion)| Record::new(NOW, Incarnation(server), Observer(observer), &opinion))
}

/// All opinions that a table holds, as sent to a host that has none, and its standings.
fn contents(table: &Table) -> (usize, Vec<usize>, u32) {
    let observers = (0..4).map(|server| table.observers(id::Server(server))).collect();
    (table.len(), observers, table.digest())
}

fn merged(updates: &[&[Record]]) -> Table {
    let mut table = table();
    for update in updates {
        table.merge(NOW, update);
    }
    table
}

proptest! {
    /// Guards against hosts that end with different opinions because messages arrived in another order, twice, or in
    /// other groups.
    #[test]
    fn opinions_merge_in_any_order(left in opinion(), middle in opinion(), right in opinion()) {
        prop_assert_eq!(left.merge(left), left);
        prop_assert_eq!(left.merge(right), right.merge(left));
        prop_assert_eq!(left.merge(middle).merge(right), left.merge(middle.merge(right)));
    }

    /// The same for tables, which also bound the number of opinions.
    #[test]
    fn tables_merge_in_any_order(
        left in proptest::collection::vec(record(), 0..40),
        right in proptest::collection::vec(record(), 0..40),
    ) {
        let both = merged(&[&left, &right]);
        let reversed: Vec<Record> = left.iter().chain(&right).rev().copied().collect();
        for other in [merged(&[&right, &left]), merged(&[&left, &right, &left]), merged(&[&reversed])] {
            prop_assert_eq!(contents(&both).0, contents(&other).0);
            prop_assert_eq!(contents(&both).1, contents(&other).1);
        }
    }

    /// Guards against an opinion that lives longer each time it is sent on: its age is counted on.
    #[test]
    fn an_age_only_grows(opinion in opinion(), pause in 0..3000_u64) {
        let later = NOW + Millis(pause);
        let record = Record::new(later, Incarnation(1), Observer(2), &opinion);
        let received = record.opinion(later);
        let error = received.sampled_at.0.abs_diff(opinion.sampled_at.0);
        prop_assert!(error <= 10 || received.sampled_at <= later - Millis(5000), "{error}");
        prop_assert_eq!((received.version, received.levels), (opinion.version, opinion.levels));
        prop_assert_eq!((received.deviations, received.streak), (opinion.deviations, opinion.streak));
    }
}

fn sample(server: u64, attempts: &[Attempt]) -> Sample {
    let mut tally = Tally::default();
    for &attempt in attempts {
        tally.record(NOW, attempt);
    }
    tally.take(NOW, Incarnation(server), false)
}

/// The opinion of `observer` that `server` rejected an attempt just now.
fn rejecting(now: Millis, server: u64, observer: u32) -> Record {
    let mut other = Table::new(Observer(observer), 1);
    other.set_servers([(Incarnation(server), id::Server(0))].into_iter().collect(), 24);
    other.observe(now, &[sample(server, &[Attempt::Refused])]);
    other.take_update(now, Update::MAX_RECORDS, 1)[0]
}

fn standings(table: &mut Table, now: Millis) -> usize {
    table.expire(now);
    table.standings(now).len()
}

/// Guards against a standing by fewer than three other observers, and by none but this host.
#[test]
fn three_others_or_one_and_this_host_must_agree() {
    let mut others = table();
    others.merge(NOW, &[rejecting(NOW, 0, 2), rejecting(NOW, 0, 3)]);
    assert_eq!(standings(&mut others, NOW), 0);
    others.merge(NOW, &[rejecting(NOW, 0, 4)]);
    assert_eq!(standings(&mut others, NOW), 1);
    let mut own = table();
    own.observe(NOW, &[sample(0, &[Attempt::Refused])]);
    assert_eq!(standings(&mut own, NOW), 0);
    own.merge(NOW, &[rejecting(NOW, 0, 2)]);
    assert_eq!(standings(&mut own, NOW), 1);
}

/// Guards against reports of others that outweigh this host's own results.
#[test]
fn own_results_take_precedence() {
    let mut table = table();
    table.merge(NOW, &[rejecting(NOW, 0, 2), rejecting(NOW, 0, 3), rejecting(NOW, 0, 4)]);
    assert_eq!(standings(&mut table, NOW), 1);
    let answers = [Attempt::Answered { ratio: 1.0 }; 5];
    table.observe(NOW, &[sample(0, &[&[Attempt::Refused], &answers[..]].concat())]);
    assert_eq!(standings(&mut table, NOW), 0);
}

/// Guards against opinions that agree that a server deviates, but not in which way.
#[test]
fn different_deviations_do_not_agree() {
    let mut table = table();
    table.observe(NOW, &[sample(0, &[Attempt::Failed])]);
    table.merge(NOW, &[rejecting(NOW, 0, 2), rejecting(NOW, 0, 3)]);
    assert_eq!(standings(&mut table, NOW), 0);
}

/// Guards against an opinion that outlives its expiry after 3 s, and a standing after 5 s.
#[test]
fn opinions_and_standings_expire() {
    let mut table = table();
    table.merge(NOW, &[rejecting(NOW, 0, 2), rejecting(NOW, 0, 3), rejecting(NOW, 0, 4)]);
    table.expire(NOW + Millis(2999));
    assert_eq!(table.len(), 3);
    table.expire(NOW + Millis(3000));
    assert_eq!(table.len(), 0);
    assert_eq!(standings(&mut table, NOW + Millis(4900)), 1);
    assert_eq!(standings(&mut table, NOW + Millis(5000)), 0);
    assert!(table.is_empty());
}

/// Guards against a recovery that nobody reports because each of the two observers that try the server has too few
/// answers alone.
#[test]
fn answers_of_two_observers_complete_a_recovery() {
    let mut first = table();
    let mut second = Table::new(Observer(2), 7);
    second.set_servers([(Incarnation(0), id::Server(0))].into_iter().collect(), 24);
    let rejecting = [rejecting(NOW, 0, 3), rejecting(NOW, 0, 4), rejecting(NOW, 0, 5)];
    let answers = [Attempt::Answered { ratio: 1.0 }; 2];
    for table in [&mut first, &mut second] {
        table.merge(NOW, &rejecting);
        table.observe(NOW, &[sample(0, &[Attempt::Refused])]);
        table.take_update(NOW, Update::MAX_RECORDS, 24);
    }
    let later = NOW + Millis(500);
    first.observe(later, &[sample(0, &answers)]);
    second.observe(later, &[sample(0, &answers[..1])]);
    assert_eq!((first.pending(), second.pending()), (1, 0));
    let reported = first.take_update(later, Update::MAX_RECORDS, 24);
    second.merge(later, &reported);
    assert_eq!(standings(&mut second, later), 0);
    let completed = second.take_update(later, Update::MAX_RECORDS, 24);
    assert!(completed.iter().any(|record| record.observer == Observer(2)), "{completed:?}");
    let mut third = Table::new(Observer(9), 7);
    third.set_servers([(Incarnation(0), id::Server(0))].into_iter().collect(), 24);
    third.merge(NOW, &rejecting);
    third.merge(later, &[&reported[..], &completed[..]].concat());
    assert_eq!(standings(&mut third, later), 0);
}

/// Guards against a flood while all hosts observe the same servers: a fourth opinion that agrees is not sent on.
#[test]
fn a_fourth_opinion_that_agrees_is_not_sent_on() {
    let mut table = table();
    table.merge(NOW, &[rejecting(NOW, 0, 2), rejecting(NOW, 0, 3), rejecting(NOW, 0, 4)]);
    assert_eq!(table.pending(), 3);
    table.merge(NOW, &[rejecting(NOW, 0, 5)]);
    table.observe(NOW, &[sample(1, &[Attempt::Answered { ratio: 1.0 }])]);
    assert_eq!(table.pending(), 3);
}

/// Guards against opinions on servers that this host does not know, or whose incarnation has ended.
#[test]
fn opinions_on_unknown_servers_are_dropped() {
    let mut table = table();
    assert_eq!(table.merge(NOW, &[rejecting(NOW, 9, 2)]), 0);
    table.merge(NOW, &[rejecting(NOW, 0, 2), rejecting(NOW, 0, 3), rejecting(NOW, 0, 4)]);
    table.set_servers([(Incarnation(1), id::Server(0))].into_iter().collect(), 24);
    assert_eq!((table.len(), table.digest(), standings(&mut table, NOW)), (0, 0, 0));
}

/// Guards against updates without a bound, and against severe or new opinions that wait behind others.
#[test]
fn an_update_is_bounded_and_starts_with_the_most_severe() {
    let servers: IndexMap<_, _> = (0..200).map(|index| (Incarnation(index), id::Server(index as u32))).collect();
    let mut table = Table::new(LOCAL, 7);
    table.set_servers(servers, 24);
    let answers = [Attempt::Answered { ratio: 1.0 }; 2];
    for server in 0..199 {
        table.observe(NOW, &[sample(server, &[&answers[..], &[Attempt::Refused]].concat())]);
    }
    table.observe(NOW, &[sample(199, &[Attempt::Refused])]);
    let records = table.take_update(NOW, Update::MAX_RECORDS, 3);
    assert_eq!(records.len(), Update::MAX_RECORDS);
    assert_eq!(records[0].server, Incarnation(199));
    let next = table.take_update(NOW, Update::MAX_RECORDS, 3);
    assert!(next[1..].iter().all(|record| !records.contains(record)), "opinions that were not sent go first");
}

/// Guards against a single stall, or a short pause of a server, that is taken for slowness or silence.
#[test]
fn a_pause_is_no_deviation() {
    let mut tally = Tally::default();
    tally.record(NOW, Attempt::Answered { ratio: 1.0 });
    tally.record(NOW + Millis(500), Attempt::Answered { ratio: 13.0 });
    assert!(tally.deviations(NOW + Millis(500)).is_empty());
    tally.record_wait(NOW + Millis(510), Millis(10));
    assert!(tally.deviations(NOW + Millis(700)).is_empty());
    assert_eq!(tally.deviations(NOW + Millis(760)), Deviations::SILENT);
    tally.record(NOW + Millis(800), Attempt::Answered { ratio: 9.0 });
    tally.record(NOW + Millis(900), Attempt::Cancelled { sent: NOW + Millis(810), ratio: 9.0 });
    assert_eq!(tally.deviations(NOW + Millis(900)), Deviations::SLOW);
}

/// Guards against attempts that are cancelled because another replica answered first, which say nothing, and against a
/// silent server that is never noticed because all its attempts end in that way.
#[test]
fn attempts_cancelled_late_are_silence() {
    let mut tally = Tally::default();
    let cancelled = |sent: u64, ratio: f64| Attempt::Cancelled { sent: NOW + Millis(sent), ratio };
    tally.record_wait(NOW, Millis(10));
    tally.record(NOW + Millis(20), cancelled(0, 2.0));
    assert!(tally.deviations(NOW + Millis(2000)).is_empty());
    tally.record(NOW + Millis(2100), cancelled(2000, 10.0));
    assert!(tally.deviations(NOW + Millis(2500)).is_empty());
    tally.record(NOW + Millis(2600), cancelled(2500, 10.0));
    assert!(tally.deviations(NOW + Millis(2600)).contains(Deviations::SILENT));
    tally.record(NOW + Millis(2700), Attempt::Answered { ratio: 1.0 });
    assert!(!tally.deviations(NOW + Millis(2700)).contains(Deviations::SILENT));
    // An attempt that usually takes 200 ms is not late after 250 ms.
    tally.record_wait(NOW + Millis(3000), Millis(200));
    assert!(!tally.deviations(NOW + Millis(3500)).contains(Deviations::SILENT));
    assert!(tally.deviations(NOW + Millis(3600)).contains(Deviations::SILENT));
}

/// Guards against rejections that are reported from a fraction below, or only above, a quarter.
#[test]
fn a_quarter_of_rejected_attempts_is_a_deviation() {
    let mut tally = Tally::default();
    for _ in 0..4 {
        tally.record(NOW, Attempt::Answered { ratio: 1.0 });
    }
    tally.record(NOW, Attempt::Refused);
    assert!(tally.deviations(NOW).is_empty() && !tally.is_due(NOW, false));
    tally.record(NOW, Attempt::Refused);
    assert_eq!(tally.deviations(NOW), Deviations::REJECTS);
    assert!(tally.is_due(NOW, false));
}

/// Guards against a failing server that is not reported because a lane with many requests stops after three failures.
#[test]
fn three_failures_in_a_row_are_a_deviation() {
    let mut tally = Tally::default();
    for _ in 0..30 {
        tally.record(NOW, Attempt::Answered { ratio: 1.0 });
    }
    tally.record(NOW, Attempt::Failed);
    tally.record(NOW, Attempt::Failed);
    assert!(tally.deviations(NOW).is_empty());
    tally.record(NOW, Attempt::Failed);
    assert_eq!(tally.deviations(NOW), Deviations::FAILS);
}

/// Guards against reports on a healthy server that go on because each one makes the next one due.
#[test]
fn reports_end_after_the_deviation() {
    let mut tally = Tally::default();
    tally.record(NOW, Attempt::Refused);
    let mut reports = 0;
    for step in 0..100 {
        let now = NOW + Millis(200 * step);
        tally.record(now, Attempt::Answered { ratio: 1.0 });
        if tally.is_due(now, false) {
            tally.take(now, Incarnation(0), false);
            reports += 1;
        }
    }
    assert!((15..25).contains(&reports), "{reports} reports in 20 s");
}
