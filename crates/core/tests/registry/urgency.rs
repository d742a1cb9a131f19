//! Hosts agree on thresholds of admission by urgency, and send nothing without an overload.

use compact_str::CompactString;
use indexmap::IndexMap;
use rstest::rstest;
use shallothub_core::{clock, control, urgency};
use shallothub_wire::peer;

use super::{fleet::Fleet, policy};

const SET: &str = "s0";

fn report(wait: f64) -> control::Input {
    let demand = urgency::Demand { new: [300.0, 700.0, 500.0, 0.0, 0.0], ..urgency::Demand::default() };
    let rate = urgency::Rate { total: 10.0, excess: 0.0, returning: 1.0, admitted: 5.0 };
    let names = ["alert", "search", "lookup"];
    let sample = urgency::Sample {
        set: SET.into(),
        limit: clock::Millis(30),
        wait,
        waits: 100,
        demand,
        served: 1000.0,
        capacity: 1000.0,
        rates: names.iter().map(|&name| (CompactString::const_new(name), rate)).collect::<IndexMap<_, _>>(),
    };
    control::Input::Urgency(urgency::Report { lane: 0, policy: urgency::Policy::default(), samples: vec![sample] })
}

fn start(hosts: usize, shares: bool, seed: u64) -> Fleet {
    let policy = control::Policy { share_urgency: shares, ..policy() };
    let mut fleet = Fleet::new(hosts, 4, &policy, seed)
        .with_message_size(|message, packs| peer::encode(message, packs).map_or(0, |bytes| bytes.len()));
    fleet.publish(1, 20, 2);
    fleet.run_until(9000);
    fleet
}

fn count_rejecting(fleet: &Fleet) -> usize {
    let is_rejecting = |state: &urgency::State| !state.threshold.is_open();
    fleet.hosts.iter().filter(|host| host.urgency.get(SET).is_some_and(is_rejecting)).count()
}

/// Lets `gathering` hosts measure a wait from now until `until`.
fn measure(fleet: &mut Fleet, gathering: usize, wait: f64, until: u64) {
    while fleet.now < until {
        for host in 0..gathering {
            fleet.deliver(host, report(wait));
        }
        fleet.run_until(fleet.now + 200);
    }
}

/// Guards against hosts that admit what the servers cannot run because they learn of the threshold late. Within a second,
/// all hosts reject, also those that relay their requests and measure nothing; afterwards all open again.
#[rstest]
fn hosts_agree_within_a_second(
    #[values((24, 19), (24, 6), (78, 8), (300, 40))] size: (usize, usize),
    #[values(1, 2, 3)] seed: u64,
) {
    let (hosts, gathering) = size;
    let mut fleet = start(hosts, true, seed);
    let sent = |fleet: &Fleet| -> u64 { fleet.hosts.iter().map(|host| host.sent_bytes).sum() };
    let idle_from = sent(&fleet);
    fleet.run_until(10_000);
    let idle = sent(&fleet) - idle_from;
    assert_eq!(count_rejecting(&fleet), 0);
    measure(&mut fleet, gathering, 80.0, 11_000);
    let rejecting = count_rejecting(&fleet);
    assert_eq!(rejecting, hosts, "hosts that reject after a second");
    let before = sent(&fleet);
    measure(&mut fleet, gathering, 25.0, 12_000);
    let extra = (sent(&fleet) - before).saturating_sub(idle) / hosts as u64;
    println!("{hosts} hosts, {gathering} of which gather: {extra} bytes a second and host");
    assert!(extra < 19_000, "{extra} bytes");
    fleet.run_until(15_000);
    assert_eq!(count_rejecting(&fleet), 0, "hosts that still reject after the end");
}

/// Guards against an exchange that the settings have switched off.
#[rstest]
fn a_host_that_does_not_share_decides_alone(#[values(1, 2)] seed: u64) {
    let mut fleet = start(8, false, seed);
    measure(&mut fleet, 3, 80.0, 11_000);
    assert_eq!(count_rejecting(&fleet), 3);
}

/// Guards against a restarted or separated host that stops the others, or that does not follow them again.
#[rstest]
fn restarted_and_separated_hosts_follow_again(#[values(1, 2)] seed: u64) {
    let mut fleet = start(24, true, seed);
    measure(&mut fleet, 12, 80.0, 11_000);
    fleet.restart(2, 300);
    fleet.hosts[20].is_partitioned = true;
    measure(&mut fleet, 12, 80.0, 13_000);
    let is_rejecting = |host: usize| fleet.hosts[host].urgency.get(SET).is_some_and(|state| !state.threshold.is_open());
    assert!((0..24).filter(|&host| host != 20).all(is_rejecting));
    assert!(!is_rejecting(20), "a separated host that relays its requests follows nobody");
    fleet.hosts[20].is_partitioned = false;
    measure(&mut fleet, 12, 80.0, 22_000);
    assert_eq!(count_rejecting(&fleet), 24);
}
