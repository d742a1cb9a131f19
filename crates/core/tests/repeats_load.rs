//! The plan of repeats under load. In the load of `docs/LOAD.md`, section D, half of all leafs reject six requests in
//! ten for 8 s, while each shard keeps one healthy leaf.

#[expect(unreachable_pub, dead_code, reason = "a module of tests, each of which uses a part")]
mod simulation;

use rstest::rstest;
use shallothub_core::traffic::policy;
use simulation::{HostFault, LeafFault, Outcome, Plan};

const FAULT_START: u64 = 5000;
const FAULT_END: u64 = 13_000;
/// The bound on extra arrivals at a shard beyond 0.2 of its requests, in any 10 s.
const SLACK: f64 = 158.0;

fn deployment() -> Plan {
    Plan {
        hosts: 24,
        shards: 90,
        replicas: 3,
        data_centres: 3,
        connections: 52,
        work: 7.5,
        target_latency: 120,
        deadline: 800,
        least_coverage: 0.95,
        rate: 30.0,
        seconds: 14,
        measured: (FAULT_START + 1000, FAULT_END),
        ..Plan::default()
    }
}

fn rejections() -> Plan {
    deployment().with_half_faulty(FAULT_START, FAULT_END, LeafFault::Refusing(0.6))
}

fn policy(plan_repeats: bool) -> policy::Policy {
    let fleet = Some(policy::Fleet { ratio: 0.2, slack: SLACK, ..policy::Fleet::default() });
    policy::Policy { fleet, plan_repeats, ..simulation::deployed_policy() }
}

/// Results of several runs.
#[derive(Debug, Default)]
struct Sum {
    requests: u64,
    in_time: u64,
    utility: f64,
    insufficient: u64,
    /// Extra attempts for searches that then lacked shards.
    lost_cost: u64,
    max_lag: u64,
    max_slack_used: f64,
    stats: Vec<simulation::Totals>,
}

impl Sum {
    fn in_time_ratio(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    fn add(&mut self, outcome: &Outcome) {
        assert!(outcome.breaches.is_empty(), "{}", outcome.breaches[0]);
        self.requests += outcome.requests;
        self.in_time += outcome.in_time;
        self.utility += outcome.utility;
        self.insufficient += outcome.insufficient;
        self.lost_cost += outcome.insufficient_cost;
        self.max_lag = outcome.insufficient_lag.iter().copied().fold(self.max_lag, u64::max);
        self.max_slack_used = self.max_slack_used.max(outcome.max_slack_used);
        self.stats.push(outcome.stats);
    }
}

fn run(plan: &Plan, policy: &policy::Policy, seeds: std::ops::RangeInclusive<u64>) -> Sum {
    let mut sum = Sum::default();
    for seed in seeds {
        sum.add(&simulation::run(plan.clone(), policy, seed));
    }
    println!("in time {:.3}: {sum:?}", sum.in_time_ratio());
    sum
}

/// Guards against tokens spent on searches that cannot reach their least coverage, which left too few for those that
/// can, and against searches that waited up to 310 ms for tokens before they failed. Callers do not come back here.
#[test]
fn tokens_make_searches_complete_in_time() {
    let plan = Plan { retries: 0, ..rejections() };
    let before = run(&plan, &policy(false), 1..=4);
    let after = run(&plan, &policy(true), 1..=4);
    assert!(after.in_time_ratio() > before.in_time_ratio() + 0.1);
    assert!(after.utility > before.utility);
    assert!(after.lost_cost * 2 < before.lost_cost);
}

/// The same with callers that come back once after the delay that the answer gives.
#[test]
fn callers_that_come_back_are_served() {
    let before = run(&rejections(), &policy(false), 1..=4);
    let after = run(&rejections(), &policy(true), 1..=4);
    assert!(after.in_time_ratio() > before.in_time_ratio() + 0.1);
    assert!(after.utility > before.utility);
}

/// Guards against searches that occupy servers and their callers although they cannot reach their least coverage: each
/// ends within 10 ms of its last failed attempt, of the last token taken by another search, or of the passing of its
/// target latency.
#[rstest]
fn hopeless_searches_end_within_10_ms(#[values(0, 1)] retries: u32) {
    let sum = run(&Plan { retries, ..rejections() }, &policy(true), 1..=6);
    assert!(sum.max_lag <= 10, "ended after {} ms", sum.max_lag);
    assert!(sum.insufficient > 0 && sum.stats.iter().all(|stats| stats.hopeless > 0));
}

/// Guards against more extra arrivals at a shard than operators allow, over all hosts and in any 10 s; rejected ones
/// count.
#[rstest]
#[case::some_reject(LeafFault::Refusing(0.6))]
#[case::most_reject(LeafFault::Refusing(0.95))]
#[case::fail(LeafFault::Failing(0.6))]
#[case::silent(LeafFault::Unresponsive)]
fn extra_arrivals_stay_within_the_bound(#[case] fault: LeafFault) {
    let plan = deployment().with_half_faulty(FAULT_START, FAULT_END, fault);
    let sum = run(&plan, &policy(true), 1..=2);
    assert!(sum.max_slack_used <= SLACK, "used {:.0}", sum.max_slack_used);
}

/// Guards against a plan that costs more than it gains in loads other than the one that it is meant for.
#[rstest]
#[case::healthy(deployment())]
#[case::pauses(Plan { pause: 100, pause_interval: 2400, ..deployment() })]
#[case::slow(deployment().with_half_faulty(FAULT_START, FAULT_END, LeafFault::Slow(8.0)))]
#[case::failing(deployment().with_half_faulty(FAULT_START, FAULT_END, LeafFault::Failing(0.3)))]
#[case::two_classes(Plan { light_fraction: 0.3, rate: 45.0, ..rejections() })]
#[case::overload(Plan { light_fraction: 0.3, rate: 1300.0, shards: 10, ..deployment() })]
fn other_loads_are_served_as_well(#[case] plan: Plan) {
    let before = run(&plan, &policy(false), 1..=3);
    let after = run(&plan, &policy(true), 1..=3);
    assert!(after.utility >= before.utility - 0.01, "{:.3} before, {:.3} after", before.utility, after.utility);
    assert!(after.in_time_ratio() >= before.in_time_ratio() - 0.005);
    assert!(after.max_slack_used <= SLACK);
}

/// A host that gathers for others is killed, or stops responding, while half of the leafs reject requests. The other
/// hosts hold no state of it: no search reaches more leafs of a shard than its class allows, and the bound holds.
#[rstest]
#[case::killed(HostFault::Killed)]
#[case::silent(HostFault::Silent)]
fn the_bound_holds_while_a_host_fails(#[case] fault: HostFault) {
    let plan = Plan { owners: 12, host_fault: Some((8000, fault)), ..rejections() };
    let sum = run(&plan, &policy(true), 1..=2);
    assert!(sum.max_slack_used <= SLACK, "used {:.0}", sum.max_slack_used);
    assert!(sum.in_time_ratio() > 0.5);
}
