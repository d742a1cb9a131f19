//! Views reflect the server entries in the registry and leave out a refused configuration.

use rand::{Rng, SeedableRng, rngs};
use rstest::rstest;

use super::{fleet::Fleet, start_fleet};

/// The sorted names of the servers in the view of `host`, without peers.
pub(super) fn server_names(fleet: &Fleet, host: usize) -> Vec<&str> {
    let servers = fleet.view(host).into_iter().flat_map(|view| view.servers.iter().flatten());
    let mut names: Vec<&str> = servers.filter(|server| !server.is_peer).map(|server| server.name.as_str()).collect();
    names.sort_unstable();
    names
}

/// Guards against a view that keeps the previous name of a server that was restarted at the same address. Only the key
/// of its entry differs, and the restarted server refuses every request that names the previous one.
#[rstest]
fn a_server_that_starts_again_at_its_address_is_used_under_its_new_name(
    #[values(8, 67)] hosts: usize,
    #[values(0, 4000)] outage: u64,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = start_fleet(hosts, 4, seed);
    fleet.store.is_unavailable = outage > 0;
    fleet.run_until(8000 + outage / 2);
    fleet.remove("leaf/3-0");
    fleet.put("leaf/3-0-again", "s3 dc-3 ready");
    fleet.run_until(8000 + outage);
    fleet.store.is_unavailable = false;
    fleet.run_until(14_000 + outage);
    for host in 0..hosts {
        assert!(fleet.may_use(host, "3-0-again"), "host {host} does not use the restarted server under its new name");
        assert!(!fleet.may_use(host, "3-0"), "host {host} still uses the restarted server under its previous name");
    }
}

/// Guards against a view whose servers differ from those in the registry after random writes, removals, outages and
/// loss of history, where a host may observe several changes as one.
#[rstest]
fn views_have_the_servers_that_the_registry_lists(
    #[values(3, 12)] hosts: usize,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let mut random = rngs::SmallRng::seed_from_u64(seed);
    let mut fleet = start_fleet(hosts, 3, seed);
    for _ in 0..40 {
        let until = fleet.now + random.random_range(1..600);
        fleet.run_until(until);
        let (shard, name) = (random.random_range(0..4), random.random_range(0..4));
        let key = format!("leaf/{shard}-new-{name}");
        match random.random_range(0..10) {
            0..5 => fleet.put(&key, &format!("s{shard} dc-0 ready")),
            5..8 => fleet.remove(&key),
            8 => fleet.store.is_unavailable = !fleet.store.is_unavailable,
            _ => fleet.compact_history(),
        }
    }
    fleet.store.is_unavailable = false;
    fleet.run_until(fleet.now + 8000);
    let mut listed: Vec<String> =
        fleet.store.keys_with_prefix("leaf/").map(|key| key["leaf/".len()..].to_owned()).collect();
    listed.sort_unstable();
    for host in 0..hosts {
        assert_eq!(server_names(&fleet, host), listed, "host {host}: servers in the view (left) and listed (right)");
    }
}

/// Guards against a refused configuration taking effect when a view is compiled after a host or a server changes.
#[rstest]
fn a_refused_configuration_is_in_no_view(#[values(1, 2)] seed: u64) {
    let mut fleet = start_fleet(8, 4, seed);
    fleet.allows_refusals = true;
    fleet.put("config", "2 0");
    fleet.run_until(10_000);
    fleet.leave(5);
    fleet.put("leaf/3-0", "s3 dc-3 leaving");
    fleet.run_until(14_000);
    for host in 0..8 {
        let view = fleet.view(host).expect("a view");
        assert_eq!((view.number, view.classes["sweep"].branches[0].targets.len()), (1, 20), "host {host}");
    }
}
