//! The hosts that gather, as chosen by demand and strength, under the load of a deployment: connections to leafs, and
//! requests while the hosts change.

#[expect(unreachable_pub, dead_code, reason = "a module of several tests, each of which uses a part")]
mod simulation;

use compact_str::{CompactString, format_compact};
use indexmap::IndexSet;
use rstest::rstest;
use shallothub_core::{
    plan::{
        gatherers::{Choice, Demand, Policy, Set},
        owner::Candidate,
    },
    traffic::policy,
};
use simulation::{Change, Outcome, Plan};

const HOSTS: usize = 24;
const CONNECTIONS: u32 = 52;
/// Gathers per second over all hosts.
const RATE: f64 = 43.0;

/// Time within which an idle connection is used again, in ms: leafs close it after 1 s, and a node uses it within 0.7 of
/// that.
const REUSE_TIME: u64 = 700;

/// Number of gathering hosts, and connections to each leaf of each host, with the gathering hosts first.
fn gathering(policy: Option<Policy>, rate: f64) -> (usize, Vec<u32>) {
    let mut hosts = Vec::new();
    for number in 0..HOSTS {
        let power = if number < 6 { 500 } else { 280 + 10 * (number as u32 % 4) };
        let data_centre = format_compact!("dc-{}", number % 3);
        hosts.push(Candidate { name: format_compact!("host-{number}"), data_centre, power });
    }
    let homes: IndexSet<CompactString> = (0..3).map(|number| format_compact!("dc-{number}")).collect();
    let set = Set { key: "s0", shards: 90, homes: &homes, connections: CONNECTIONS };
    let demand = Demand((rate * 1000.0) as u32);
    let choice = Choice::new(&set, &hosts, policy.as_ref(), Some(demand));
    let tiers = &choice.tiers;
    let others = (0..HOSTS).filter(|index| !tiers.owners.contains(index));
    let mut order: Vec<usize> = tiers.owners.clone();
    order.sort_unstable();
    order.extend(others);
    let shares = order.iter().map(|&index| choice.connection_share(index, CONNECTIONS)).collect();
    (tiers.owners.len(), shares)
}

/// The first deployment with its searches of all shards.
fn deployment((owners, connection_shares): (usize, Vec<u32>)) -> Plan {
    Plan {
        hosts: HOSTS,
        owners,
        connection_shares,
        shards: 90,
        replicas: 3,
        connections: CONNECTIONS,
        work: 7.5,
        target_latency: 120,
        deadline: 800,
        least_coverage: 0.95,
        rate: RATE,
        light_fraction: 0.25,
        seconds: 20,
        pause: 100,
        pause_interval: 2400,
        data_centres: 3,
        idle_timeout: REUSE_TIME,
        ..Plan::default()
    }
}

fn deployment_policy() -> policy::Policy {
    policy::Policy {
        fleet: Some(policy::Fleet { ratio: 0.2, slack: 158.0, ..policy::Fleet::default() }),
        ..simulation::deployed_policy()
    }
}

/// Guards against connections that are opened for a few requests each. With 19 gathering hosts, leafs close most
/// connections before they are used again, and opening one takes nearly as long as a request.
#[rstest]
fn few_connections_are_opened(#[values(1, 2, 3)] seed: u64) {
    let run = |policy: Option<Policy>| {
        let gathering = gathering(policy, RATE);
        let owners = gathering.0;
        (owners, simulation::run(deployment(gathering), &deployment_policy(), seed))
    };
    let (all, before) = run(None);
    let (few, after) = run(Some(Policy::default()));
    for (count, outcome) in [(all, &before), (few, &after)] {
        println!(
            "{count} hosts gather: {:.1} connections opened per request, {} of {} in time, p99 {} ms, far {:.3}, extra {:.3}",
            opened(outcome),
            outcome.in_time,
            outcome.requests,
            outcome.quantile(0.99),
            outcome.far_ratio,
            outcome.extra_ratio
        );
    }
    assert_eq!((all, few), (19, 6));
    assert!(after.breaches.is_empty(), "{:?}", after.breaches[0]);
    assert!(opened(&after) * 2.0 < opened(&before), "{:.1} opened, {:.1} before", opened(&after), opened(&before));
    assert!(after.utility > before.utility - 0.005, "utility {:.3} after {:.3}", after.utility, before.utility);
    assert!(after.far_ratio < 0.13, "far ratio {:.3}", after.far_ratio);
}

/// Connections opened for each request.
fn opened(outcome: &Outcome) -> f64 {
    outcome.opened as f64 / outcome.requests.max(1) as f64
}

/// Guards against requests that are lost, and against connections that are opened all at once, when more or fewer hosts
/// gather. Shares shrink at once and grow three seconds later, when the set of hosts changes.
#[rstest]
#[case::more(43.0, 250.0)]
#[case::fewer(250.0, 43.0)]
fn a_change_loses_no_request(#[case] from: f64, #[case] to: f64, #[values(1, 2, 3)] seed: u64) {
    const CHANGED_AT: u64 = 12_000;
    let (before, after) = (gathering(Some(Policy::default()), from), gathering(Some(Policy::default()), to));
    assert_ne!(before.0, after.0);
    let smaller = before.1.iter().zip(&after.1).map(|(before, after)| *before.min(after)).collect();
    let changes = vec![
        Change { at: CHANGED_AT, owners: before.0, connection_shares: smaller },
        Change { at: CHANGED_AT + 3000, owners: after.0, connection_shares: after.1 },
    ];
    let plan = Plan { changes, retries: 2, ..deployment(before) };
    let outcome = simulation::run(plan, &deployment_policy(), seed);
    assert!(outcome.breaches.is_empty(), "{:?}", outcome.breaches[0]);
    assert_eq!(outcome.lost, 0, "{} refusals", outcome.refused);
    assert!(outcome.in_time as f64 >= 0.97 * outcome.requests as f64, "{} of {}", outcome.in_time, outcome.requests);
    let in_second = |second: u64| outcome.opened_by_second.get(&second).copied().unwrap_or_default();
    let usual = (6..12).map(in_second).sum::<u64>() / 6;
    let most = (12..18).map(in_second).max().unwrap_or_default();
    println!("{usual} connections opened in a second, {most} after the change; {} refusals", outcome.refused);
    assert!(most <= 3 * usual, "{most} connections opened in a second after {usual}");
}
