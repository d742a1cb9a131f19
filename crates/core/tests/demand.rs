//! Measurement of the gathers that callers send to a host.

#[expect(unreachable_pub, reason = "a module of this test alone")]
mod sharded;

use std::sync::Arc;

use rand::{Rng, SeedableRng, rngs};
use rstest::rstest;
use shallothub_core::{
    clock::Millis,
    plan::gatherers::Demand,
    traffic::{Core, Lane, event, policy},
};
use sharded::one_leaf;

struct Host {
    core: Core,
    now: u64,
    caller: u64,
    /// The reported demands, each with its time.
    reports: Vec<(u64, Demand)>,
}

impl Host {
    fn new(shards: usize) -> Self {
        let lane = Lane { index: 0, count: 1 };
        let mut core = Core::new(policy::Policy::default(), lane, 1, Millis(1));
        core.step(Millis(1), [event::Input::View(Arc::new(sharded::view(shards, 1, 25)))]);
        Self { core, now: 1, caller: 0, reports: Vec::new() }
    }

    /// Receives requests at random times, at `rate(now)` per second, until `until`.
    fn run(&mut self, until: u64, rate: impl Fn(u64) -> f64, relayed: Option<event::Relayed>, seed: u64) {
        let mut random = rngs::SmallRng::seed_from_u64(seed);
        while self.now < until {
            self.now += 10;
            let is_request = random.random_bool((rate(self.now) / 100.0).min(1.0));
            let input = match is_request {
                true => {
                    self.caller += 1;
                    event::Input::Request(event::Request { relayed, ..one_leaf::request(self.caller) })
                }
                false => event::Input::Tick,
            };
            for output in self.core.step(Millis(self.now), [input]) {
                if let event::Output::Demand { lane, demand } = output {
                    assert_eq!(lane, 0);
                    self.reports.push((self.now, demand));
                }
            }
        }
    }

    fn demand(&self) -> f64 {
        self.reports.last().map_or(Demand::LOWEST, |(_, demand)| *demand).per_second()
    }
}

/// Guards against a demand that differs from the rate of gathers by more than a step or two, or that is reported more
/// often than once a second or without a change.
#[rstest]
fn the_demand_follows_the_rate(#[values(1.8, 20.0)] rate: f64, #[values(1, 2, 3)] seed: u64) {
    let mut host = Host::new(3);
    host.run(40_000, |_| rate, None, seed);
    assert!((0.6..1.9).contains(&(host.demand() / rate)), "{} of {rate}", host.demand());
    let reports = host.reports.len();
    host.run(140_000, |_| rate, None, seed + 10);
    assert!(host.reports.len() - reports <= 4, "{:?}", host.reports);
    assert!(host.reports.windows(2).all(|pair| pair[1].0 - pair[0].0 >= 1000 && pair[1].1 != pair[0].1));
    host.run(400_000, |_| 0.0, None, seed);
    assert_eq!(host.demand(), Demand::LOWEST.per_second());
}

/// Guards against a demand that follows each swing: hosts would be removed in each trough that are needed some seconds
/// later. The rate swings by 0.55 of its mean within 17 s.
#[rstest]
fn a_swing_changes_the_demand_seldom(#[values(1, 2, 3)] seed: u64) {
    let mut host = Host::new(3);
    let rate = |now: u64| 10.0 * (1.0 + 0.55 * (now as f64 / 17_000.0 * std::f64::consts::TAU).sin());
    host.run(60_000, rate, None, seed);
    let before = host.reports.len();
    host.run(230_000, rate, None, seed + 10);
    assert!(host.reports.len() - before <= 2, "{:?}", &host.reports[before..]);
}

/// Guards against a burst that is noticed too late: a rate that triples must raise the demand within seconds.
#[test]
fn a_burst_raises_the_demand_within_seconds() {
    let mut host = Host::new(3);
    host.run(60_000, |_| 5.0, None, 1);
    let before = host.demand();
    host.run(66_000, |_| 15.0, None, 2);
    assert!(host.demand() >= 1.4 * before, "{} after {before}", host.demand());
}

/// Guards against counting requests that other hosts relayed, which those hosts count already, and requests to one
/// leaf, which are not gathered.
#[rstest]
#[case::relayed(3, Some(event::Relayed { settle: None, trial: None }))]
#[case::one_leaf(1, None)]
fn other_requests_are_not_counted(#[case] shards: usize, #[case] relayed: Option<event::Relayed>) {
    let mut host = Host::new(shards);
    host.run(20_000, |_| 20.0, relayed, 1);
    assert_eq!(host.reports, []);
}
