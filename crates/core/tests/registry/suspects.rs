//! Hosts share their knowledge of requests that crash servers, and admit such requests only as trials, one at a time.

use compact_str::{CompactString, format_compact};
use rstest::rstest;
use shallothub_core::{
    clock, control,
    suspect::{self, Crash, Fingerprint, Standing, Trial},
};
use shallothub_wire::peer;

use super::{
    fleet::{self, Fleet},
    policy, start_fleet,
};

const CRASHING: Fingerprint = Fingerprint(7);

fn crash(attempt: u64, server: &str) -> control::Input {
    control::Input::Crashed(Crash { fingerprint: CRASHING, attempt, server: server.into() })
}

fn is_held(host: &fleet::Host, fingerprint: Fingerprint) -> bool {
    host.suspects.get(&fingerprint).is_some_and(|standing| standing.cancels_running())
}

fn count_holding(fleet: &Fleet) -> usize {
    fleet.hosts.iter().filter(|host| is_held(host, CRASHING)).count()
}

fn count_convicting(fleet: &Fleet) -> usize {
    let is_convicted = |host: &fleet::Host| matches!(host.suspects.get(&CRASHING), Some(Standing::Convicted { .. }));
    fleet.hosts.iter().filter(|host| is_convicted(host)).count()
}

/// Requests a trial on every host at once and returns the granted ones.
fn request_trials(fleet: &mut Fleet, round: u64) -> Vec<(usize, Trial)> {
    for host in 0..fleet.hosts.len() {
        let trial = Trial { fingerprint: CRASHING, attempt: round * 1000 + host as u64 };
        fleet.deliver(host, control::Input::RequestTrial(trial));
    }
    fleet.run_until(fleet.now + 300);
    let mut granted = Vec::new();
    for (host, state) in fleet.hosts.iter_mut().enumerate() {
        granted.extend(state.granted.drain(..).map(|trial| (host, trial)));
    }
    granted
}

/// Guards against letting a request through because no single host saw enough crashes. Attempts at three hosts lose a
/// server each; two seconds later every host holds the request, also when those three hosts have died.
#[rstest]
fn crashes_at_three_hosts_hold_a_request_on_all(#[values(8, 78, 300)] hosts: usize, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(hosts, 4, &policy(), seed)
        .with_message_size(|message, packs| peer::encode(message, packs).map_or(0, |bytes| bytes.len()));
    fleet.publish(1, 20, 2);
    fleet.run_until(8000);
    fleet.run_until(9000);
    let idle_start: u64 = fleet.hosts.iter().map(|host| host.sent_bytes).sum();
    fleet.run_until(10_000);
    let before: u64 = fleet.hosts.iter().map(|host| host.sent_bytes).sum();
    for (host, server) in [(1, "a"), (4, "b"), (6, "c")] {
        fleet.deliver(host, crash(host as u64, server));
    }
    fleet.run_until(10_300);
    for host in [1, 4, 6] {
        fleet.restart(host, 500);
    }
    fleet.run_until(12_000);
    let holding = count_holding(&fleet);
    assert!(holding + 3 >= hosts, "{holding} of {hosts} hosts hold the request");
    let after: u64 = fleet.hosts.iter().map(|host| host.sent_bytes).sum();
    let extra = (after - before).saturating_sub(2 * (before - idle_start)) / hosts as u64;
    println!("{hosts} hosts: {extra} bytes per host above the idle traffic");
    fleet.run_until(14_000);
    assert_eq!(count_holding(&fleet), hosts, "restarted hosts do not hold the request");
}

/// Guards against granting several trials of a held request when all hosts request one at the same moment. The next
/// trial is granted seconds later and, once both have crashed servers, none for hours on any host. Hosts die
/// meanwhile.
#[rstest]
fn one_trial_is_granted_at_a_time(#[values(8, 78, 300)] hosts: usize, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    for (host, server) in [(1, "a"), (4, "b"), (6, "c")] {
        fleet.deliver(host, crash(host as u64, server));
    }
    fleet.run_until(10_000);
    let first = request_trials(&mut fleet, 1);
    assert_eq!(first.len(), 1, "{first:?}");
    assert!(request_trials(&mut fleet, 2).is_empty());
    let (host, trial) = first[0];
    fleet.deliver(host, crash(trial.attempt, "d"));
    assert!(request_trials(&mut fleet, 3).is_empty());
    let names: Vec<CompactString> = (0..hosts).map(|host| format_compact!("host-{host}")).collect();
    let grantor = suspect::grantor(CRASHING, &names).and_then(|name| names.iter().position(|other| other == name));
    fleet.restart(grantor.expect("a host that grants trials"), 300);
    fleet.run_until(14_000);
    // A host that has just started grants no trials: it may not know the other members yet.
    let mut second = request_trials(&mut fleet, 4);
    if second.is_empty() {
        fleet.run_until(22_000);
        second = request_trials(&mut fleet, 5);
    }
    assert_eq!(second.len(), 1, "{second:?}");
    let (host, trial) = second[0];
    fleet.deliver(host, crash(trial.attempt, "e"));
    fleet.run_until(25_000);
    assert_eq!(count_convicting(&fleet), hosts);
    for round in 6..9 {
        assert!(request_trials(&mut fleet, round).is_empty());
        fleet.run_until(fleet.now + 3000);
    }
}

/// Guards against a host that still suspects a request after it was answered at any host. Only later crashes count.
#[rstest]
fn an_answer_clears_a_request_on_all_hosts(#[values(8, 78)] hosts: usize, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    for (host, server) in [(1, "a"), (4, "b"), (6, "c")] {
        fleet.deliver(host, crash(host as u64, server));
    }
    fleet.run_until(10_000);
    assert_eq!(count_holding(&fleet), hosts);
    fleet.deliver(2, control::Input::Cleared(CRASHING));
    fleet.run_until(12_000);
    assert!(fleet.hosts.iter().all(|host| host.suspects.is_empty()));
    fleet.deliver(3, crash(1, "a"));
    fleet.run_until(14_000);
    assert!(fleet.hosts.iter().all(|host| host.suspects.is_empty()));
    fleet.deliver(3, crash(9, "d"));
    fleet.run_until(16_000);
    let is_suspect = |host: &fleet::Host| matches!(host.suspects.get(&CRASHING), Some(Standing::Suspect { .. }));
    assert!(fleet.hosts.iter().all(is_suspect));
    fleet.deliver(5, control::Input::Cleared(CRASHING));
    fleet.run_until(18_000);
    assert!(fleet.hosts.iter().all(|host| host.suspects.is_empty()));
}

/// Guards against requests that are never announced when one host learns of many at once. A message holds few of them,
/// and those that are kept longest must not displace the others.
#[rstest]
fn many_held_requests_are_announced(#[values(8, 78)] hosts: usize, #[values(1, 2)] seed: u64) {
    const REQUESTS: u128 = 100;
    let mut fleet = start_fleet(hosts, 4, seed);
    for request in 0..REQUESTS {
        for server in ["a", "b", "c"] {
            let fingerprint = Fingerprint(request);
            let server = format_compact!("{server}-{request}");
            fleet.deliver(1, control::Input::Crashed(Crash { fingerprint, attempt: request as u64, server }));
        }
    }
    fleet.run_until(fleet.now + 3000);
    for (host, state) in fleet.hosts.iter().enumerate() {
        let held = (0..REQUESTS).filter(|request| is_held(state, Fingerprint(*request))).count();
        assert_eq!(held, REQUESTS as usize, "host {host}");
    }
}

/// Guards against a request that stays held after an operator releases it on a host.
#[test]
fn an_operator_releases_a_request() {
    let mut fleet = Fleet::new(1, 1, &policy(), 1);
    fleet.publish(1, 2, 2);
    fleet.run_until(3000);
    for attempt in 4..7 {
        fleet.deliver(0, crash(attempt, &format!("{attempt}")));
    }
    assert_eq!(count_holding(&fleet), 1);
    fleet.deliver(0, control::Input::Release(CRASHING));
    assert!(fleet.hosts[0].suspects.is_empty());
    assert!(fleet.hosts[0].core.next_timer() > clock::Millis::ZERO);
}
