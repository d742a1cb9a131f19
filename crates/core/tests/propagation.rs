//! Propagation of configuration to every host and its cost in platform calls, in virtual time.

#[expect(unreachable_pub, reason = "a module of this test alone")]
mod mesh;

use mesh::Mesh;
use rstest::rstest;
use shallothub_core::{
    catalog, clock,
    control::{self, message},
};

/// Time within which a change must be in force on every host while the platform is up.
const CHANGE_DEADLINE_MS: u64 = 2000;

fn mesh(count: usize, data_centres: usize) -> Mesh {
    let mut mesh = Mesh::new(count, data_centres, &control::Policy::default(), 1);
    mesh.run(10_000);
    assert!(mesh.hosts.iter().all(|host| host.has_view), "every host has a view after the start");
    mesh
}

/// All eight hosts of an organisation start at once, such as after a power cut. Each needs a view,
/// but the platform must not get every read eight times: hosts that start first send it to the others.
#[test]
fn a_cold_start_of_all_hosts_stays_within_the_platform_budget() {
    let mut mesh = Mesh::new(8, 4, &control::Policy::default(), 1);
    mesh.run(3000);
    assert!(mesh.hosts.iter().all(|host| host.has_view));
    // Each watcher makes at most two manifest reads and four part reads, and then opens two watches.
    let calls = mesh.reads + mesh.watches;
    assert!(calls <= 64, "{} reads and {} watches", mesh.reads, mesh.watches);
}

/// Nothing changes for a minute. Only the watchers, one for each data centre, call the platform, and
/// each of their two watches times out after ten seconds.
#[test]
fn the_steady_state_costs_two_watches_a_data_centre() {
    let mut mesh = mesh(8, 4);
    let (reads, watches) = (mesh.reads, mesh.watches);
    mesh.run(60_000);
    assert_eq!(mesh.reads - reads, 0);
    assert!(mesh.watches - watches <= 4 * 2 * 7, "{} watches", mesh.watches - watches);
}

/// An operator publishes a change. It is in force on every host within two seconds, and only the
/// watchers read it.
#[rstest]
#[case::organisation(8, 4)]
#[case::one_data_centre(8, 1)]
#[case::larger(200, 13)]
fn a_change_is_in_force_everywhere_in_time(#[case] count: usize, #[case] data_centres: usize) {
    let mut mesh = mesh(count, data_centres);
    for change in 2..12 {
        let (reads, since) = (mesh.reads, mesh.now);
        mesh.publish_config(change);
        mesh.run(3000);
        let slowest = mesh.slowest(catalog::Kind::Config, since);
        assert!(slowest <= CHANGE_DEADLINE_MS, "change {change} took {slowest} ms");
        assert!(mesh.reads - reads <= 2 * data_centres as u64, "{} reads", mesh.reads - reads);
    }
}

/// Some hosts, including the watcher of their data centre, cannot reach the platform, but each
/// reaches a host of another data centre. Digests must bring them a change within two seconds too.
#[test]
fn a_change_reaches_hosts_that_only_reach_a_peer() {
    let mut mesh = mesh(8, 4);
    for host in 0..8 {
        if host % 4 < 2 {
            mesh.cut_platform.insert(host);
        }
    }
    for change in 2..8 {
        let since = mesh.now;
        mesh.publish_config(change);
        mesh.run(4000);
        let slowest = mesh.slowest(catalog::Kind::Config, since);
        assert!(slowest <= CHANGE_DEADLINE_MS, "change {change} took {slowest} ms");
    }
}

/// A backend server is marked as leaving, and the platform fails right after one watcher has read
/// the list. The mark must be in force on every host within the promised three seconds.
#[test]
fn a_leaving_mark_spreads_although_the_platform_fails() {
    let mut mesh = mesh(8, 4);
    let since = mesh.now;
    for host in 1..8 {
        mesh.cut_platform.insert(host);
    }
    for host in 0..8 {
        // The watcher in the first host's data centre can still read.
        if host % 4 == 0 {
            mesh.cut_platform.swap_remove(&host);
        }
    }
    mesh.publish_hosts(&[7]);
    mesh.run(50);
    mesh.platform_down = true;
    mesh.run(4000);
    let slowest = mesh.slowest(catalog::Kind::Hosts, since);
    assert!(slowest <= 3000, "{slowest} ms");
}

/// A network partition splits the hosts for a minute while operators publish; the platform is on one
/// side. The other side must keep its configuration, no host may revert, and all must agree within
/// two seconds after the partition heals.
#[test]
fn a_partition_reverts_nothing_and_heals() {
    let mut mesh = mesh(8, 4);
    let is_west = |host: usize| host % 4 >= 2;
    for from in 0..8 {
        for to in 0..8 {
            if is_west(from) != is_west(to) {
                mesh.cut_links.insert((from, to));
            }
        }
        if is_west(from) {
            mesh.cut_platform.insert(from);
        }
    }
    for change in 2..8 {
        mesh.publish_config(change);
        mesh.run(10_000);
    }
    let behind = mesh.times(catalog::Kind::Config, clock::Millis::ZERO).into_iter().filter(Option::is_none).count();
    assert_eq!(behind, 4, "hosts in the west cannot have the change");
    let since = mesh.now;
    mesh.cut_links.clear();
    mesh.cut_platform.clear();
    mesh.run(3000);
    assert!(mesh.slowest(catalog::Kind::Config, since) <= CHANGE_DEADLINE_MS);
    assert!(mesh.hosts.iter().all(|host| host.reverts == 0));
}

/// The watcher of a data centre is killed, and the lagging list of hosts still names it. Meanwhile
/// the other hosts must receive a change from other data centres.
#[test]
fn a_dead_watcher_does_not_delay_a_change() {
    let mut mesh = mesh(8, 4);
    for host in 0..8 {
        if mesh.hosts[host].core.is_watcher() && host % 4 == 1 {
            mesh.hosts[host].up = false;
        }
    }
    let since = mesh.now;
    mesh.publish_config(2);
    mesh.run(4000);
    let slowest = mesh.slowest(catalog::Kind::Config, since);
    assert!(slowest <= CHANGE_DEADLINE_MS, "{slowest} ms");
}

/// Counter-check of the tests above: without digests, a host that cannot reach the platform never
/// receives a change if its watcher was cut off.
#[test]
fn without_digests_a_change_does_not_reach_every_host() {
    let policy = control::Policy { gossip: clock::Millis(3_600_000), ..control::Policy::default() };
    let mut mesh = Mesh::new(8, 4, &policy, 1);
    mesh.run(10_000);
    for host in (0..8).filter(|host| host % 4 < 2) {
        mesh.cut_platform.insert(host);
        mesh.cut_links.extend((0..8).filter(|other| other % 4 >= 2).map(|other| (other, host)));
    }
    mesh.cut_links.retain(|(_, to)| *to != 0);
    mesh.publish_config(2);
    mesh.run(4000);
    assert!(mesh.times(catalog::Kind::Config, clock::Millis::ZERO).contains(&None));
}

/// Counter-check: if every host watches, the steady state costs the platform twice as many calls.
#[test]
fn without_a_limit_on_watchers_platform_calls_double() {
    let policy = control::Policy { watchers: 8, ..control::Policy::default() };
    let mut mesh = Mesh::new(8, 4, &policy, 1);
    mesh.run(10_000);
    let watches = mesh.watches;
    mesh.run(60_000);
    assert!(mesh.watches - watches > 4 * 2 * 7);
}

/// A script publishes two texts under one version during a network partition, so each half has another
/// text in force as version 2. After the partition heals, all hosts must converge on one of them, and none
/// may alternate between the two with every message.
#[rstest]
#[case(100)]
#[case(200)]
#[case(300)]
#[case(400)]
fn two_texts_under_one_version_converge(#[case] change: u64) {
    let mut mesh = mesh(8, 2);
    for from in 0..8 {
        for to in 0..8 {
            if from % 2 != to % 2 {
                mesh.cut_links.insert((from, to));
            }
        }
    }
    mesh.cut_platform.extend((0..8).filter(|host| host % 2 == 1));
    mesh.publish_config(change);
    mesh.run(3000);
    mesh.cut_platform = (0..8).filter(|host| host % 2 == 0).collect();
    mesh.publish_config_under_same_version(change + 1);
    mesh.run(20_000);
    let stamps = |mesh: &Mesh| -> Vec<_> {
        mesh.hosts.iter().map(|host| host.in_force[catalog::Kind::Config.index()]).collect()
    };
    let diverged = stamps(&mesh);
    assert_eq!((diverged[0].version, diverged[1].version), (2, 2));
    assert_ne!(diverged[0].digest, diverged[1].digest);
    // The catalog of each half, as one long-delayed message.
    let mut catalog_message = |host: usize| {
        let ask = message::Request { kind: catalog::Kind::Config, have: Vec::new(), base: None };
        let body = message::Body::Ask(ask);
        let message = message::Message { protocol: message::PROTOCOL, from: mesh::peer(host ^ 1), body };
        let outputs = mesh.hosts[host].core.step(mesh.now, [control::Input::Peer(message)]);
        let update = outputs.into_iter().find_map(|output| match output {
            control::Output::Send { message, .. } => Some(message),
            _ => None,
        });
        update.expect("a catalog")
    };
    for (host, message) in [(1, catalog_message(0)), (0, catalog_message(1))] {
        let before = diverged[host];
        mesh.hosts[host].core.step(mesh.now, [control::Input::Peer(message)]);
        assert_eq!(mesh.hosts[host].core.stamp(catalog::Kind::Config), before.max(diverged[host ^ 1]));
    }
    mesh.cut_links.clear();
    mesh.cut_platform.clear();
    mesh.run(20_000);
    let converged = stamps(&mesh);
    assert!(converged.iter().all(|stamp| *stamp == converged[0]), "{converged:?}");
    assert!(mesh.hosts.iter().all(|host| host.reverts == 0));
}
