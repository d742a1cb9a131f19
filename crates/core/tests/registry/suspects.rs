//! Word of a request that crashes servers reaches all hosts, and they let it go as a trial one at a time.

use compact_str::{CompactString, format_compact};
use rstest::rstest;
use shallothub_core::{
    clock, control,
    suspect::{self, Crash, Fingerprint, Standing, Trial},
};
use shallothub_wire::peer;

use super::{
    fleet::{self, Fleet},
    policy, started,
};

const KILLER: Fingerprint = Fingerprint(7);

fn crash(attempt: u64, server: &str) -> control::Input {
    control::Input::Crashed(Crash { fingerprint: KILLER, attempt, server: server.into() })
}

fn is_held(host: &fleet::Host, fingerprint: Fingerprint) -> bool {
    host.suspects.get(&fingerprint).is_some_and(|standing| standing.cancels_running())
}

fn holding(fleet: &Fleet) -> usize {
    fleet.hosts.iter().filter(|host| is_held(host, KILLER)).count()
}

fn convicting(fleet: &Fleet) -> usize {
    let is_convicted = |host: &fleet::Host| matches!(host.suspects.get(&KILLER), Some(Standing::Convicted { .. }));
    fleet.hosts.iter().filter(|host| is_convicted(host)).count()
}

/// Every host asks for a trial at once; the attempts that are granted.
fn ask_everywhere(fleet: &mut Fleet, round: u64) -> Vec<(usize, Trial)> {
    for host in 0..fleet.hosts.len() {
        let trial = Trial { fingerprint: KILLER, attempt: round * 1000 + host as u64 };
        fleet.tell(host, control::Input::RequestTrial(trial));
    }
    fleet.run_until(fleet.now + 300);
    let mut granted = Vec::new();
    for (host, row) in fleet.hosts.iter_mut().enumerate() {
        granted.extend(row.granted.drain(..).map(|trial| (host, trial)));
    }
    granted
}

/// The caller's attempts reach three hosts, and each loses a server. None of them has seen enough, all of them
/// together have: two seconds later every host holds the request, also when the hosts that saw it have died.
#[rstest]
fn three_hosts_hold_together(#[values(8, 78, 300)] hosts: usize, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(hosts, 4, &policy(), seed)
        .measured(|message, packs| peer::encode(message, packs).map_or(0, |bytes| bytes.len()));
    fleet.publish(1, 20, 2);
    fleet.run_until(8000);
    fleet.run_until(9000);
    let calm: u64 = fleet.hosts.iter().map(|host| host.sent_bytes).sum();
    fleet.run_until(10_000);
    let before: u64 = fleet.hosts.iter().map(|host| host.sent_bytes).sum();
    for (host, server) in [(1, "a"), (4, "b"), (6, "c")] {
        fleet.tell(host, crash(host as u64, server));
    }
    fleet.run_until(10_300);
    for host in [1, 4, 6] {
        fleet.restart(host, 500);
    }
    fleet.run_until(12_000);
    let knowing = holding(&fleet);
    assert!(knowing + 3 >= hosts, "{knowing} of {hosts}");
    let after: u64 = fleet.hosts.iter().map(|host| host.sent_bytes).sum();
    let extra = (after - before).saturating_sub(2 * (before - calm)) / hosts as u64;
    println!("{hosts} hosts: {extra} bytes a host beyond calm");
    fleet.run_until(14_000);
    assert_eq!(holding(&fleet), hosts, "hosts that started anew let it through");
}

/// All hosts have an attempt of a request that is held, at the same moment: one is let go in the whole fleet. The next
/// one is seconds later, and when both have crashed servers, none for hours, whoever asks. Hosts die meanwhile.
#[rstest]
fn one_trial_is_granted_at_a_time(#[values(8, 78, 300)] hosts: usize, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = started(hosts, 4, seed);
    for (host, server) in [(1, "a"), (4, "b"), (6, "c")] {
        fleet.tell(host, crash(host as u64, server));
    }
    fleet.run_until(10_000);
    let first = ask_everywhere(&mut fleet, 1);
    assert_eq!(first.len(), 1, "{first:?}");
    assert!(ask_everywhere(&mut fleet, 2).is_empty());
    let (host, trial) = first[0];
    fleet.tell(host, crash(trial.attempt, "d"));
    assert!(ask_everywhere(&mut fleet, 3).is_empty());
    let names: Vec<CompactString> = (0..hosts).map(|host| format_compact!("host-{host}")).collect();
    let grantor = suspect::grantor(KILLER, &names).and_then(|name| names.iter().position(|other| other == name));
    fleet.restart(grantor.expect("a host grants"), 300);
    fleet.run_until(14_000);
    // A host that has just started grants nothing: it may not know who else could.
    let mut second = ask_everywhere(&mut fleet, 4);
    if second.is_empty() {
        fleet.run_until(22_000);
        second = ask_everywhere(&mut fleet, 5);
    }
    assert_eq!(second.len(), 1, "{second:?}");
    let (host, trial) = second[0];
    fleet.tell(host, crash(trial.attempt, "e"));
    fleet.run_until(25_000);
    assert_eq!(convicting(&fleet), hosts);
    for round in 6..9 {
        assert!(ask_everywhere(&mut fleet, round).is_empty());
        fleet.run_until(fleet.now + 3000);
    }
}

/// A server answers the request at one host: no host suspects it any more, whatever it heard before. What crashes
/// after that counts anew.
#[rstest]
fn an_answer_speaks_for_a_request_everywhere(#[values(8, 78)] hosts: usize, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = started(hosts, 4, seed);
    for (host, server) in [(1, "a"), (4, "b"), (6, "c")] {
        fleet.tell(host, crash(host as u64, server));
    }
    fleet.run_until(10_000);
    assert_eq!(holding(&fleet), hosts);
    fleet.tell(2, control::Input::Cleared(KILLER));
    fleet.run_until(12_000);
    assert!(fleet.hosts.iter().all(|host| host.suspects.is_empty()));
    fleet.tell(3, crash(1, "a"));
    fleet.run_until(14_000);
    assert!(fleet.hosts.iter().all(|host| host.suspects.is_empty()));
    fleet.tell(3, crash(9, "d"));
    fleet.run_until(16_000);
    let is_suspect = |host: &fleet::Host| matches!(host.suspects.get(&KILLER), Some(Standing::Suspect { .. }));
    assert!(fleet.hosts.iter().all(is_suspect));
    fleet.tell(5, control::Input::Cleared(KILLER));
    fleet.run_until(18_000);
    assert!(fleet.hosts.iter().all(|host| host.suspects.is_empty()));
}

/// One host learns of many such requests at once. A message holds few of them, and those that are remembered longest
/// must not keep the others from being told.
#[rstest]
fn many_requests_are_told(#[values(8, 78)] hosts: usize, #[values(1, 2)] seed: u64) {
    const REQUESTS: u128 = 100;
    let mut fleet = started(hosts, 4, seed);
    for request in 0..REQUESTS {
        for server in ["a", "b", "c"] {
            let fingerprint = Fingerprint(request);
            let server = format_compact!("{server}-{request}");
            fleet.tell(1, control::Input::Crashed(Crash { fingerprint, attempt: request as u64, server }));
        }
    }
    fleet.run_until(fleet.now + 3000);
    for (host, row) in fleet.hosts.iter().enumerate() {
        let held = (0..REQUESTS).filter(|request| is_held(row, Fingerprint(*request))).count();
        assert_eq!(held, REQUESTS as usize, "host {host}");
    }
}

/// An operator lets a request go on one host.
#[test]
fn an_operator_lets_a_request_go() {
    let mut fleet = Fleet::new(1, 1, &policy(), 1);
    fleet.publish(1, 2, 2);
    fleet.run_until(3000);
    for attempt in 4..7 {
        fleet.tell(0, crash(attempt, &format!("{attempt}")));
    }
    assert_eq!(holding(&fleet), 1);
    fleet.tell(0, control::Input::Release(KILLER));
    assert!(fleet.hosts[0].suspects.is_empty());
    assert!(fleet.hosts[0].core.next_timer() > clock::Millis::ZERO);
}
