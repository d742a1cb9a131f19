//! Who gathers for whom, and how a server's connections are cut among hosts.

use compact_str::{CompactString, format_compact};
use indexmap::IndexSet;
use proptest::prelude::*;
use shallothub_core::plan::owner::{Candidate, Tiers};

fn host(number: usize, centre: &str, power: u32) -> Candidate {
    Candidate { name: format_compact!("host-{number}"), data_centre: CompactString::from(centre), power }
}

fn homes(centres: &[&str]) -> IndexSet<CompactString> {
    centres.iter().map(|centre| CompactString::from(*centre)).collect()
}

/// Eight equal hosts beside leafs in every data centre: each gathers for itself, nothing is passed on.
#[test]
fn equal_hosts_all_gather() {
    let centres = ["a", "b", "c", "d"];
    let hosts: Vec<Candidate> = (0..8).map(|number| host(number, centres[number % 4], 250)).collect();
    let tiers = Tiers::new("s", &homes(&centres), &hosts, 26);
    assert_eq!(tiers.owners.len(), 8);
    assert!(tiers.standbys.is_empty());
    assert!((0..8).all(|place| tiers.connection_share(place, 26) == 3));
}

/// Sixty weak hosts and eight strong ones: the strong ones in the leafs' data centres gather.
#[test]
fn strong_hosts_near_the_leafs_gather() {
    let centres = ["a", "b", "c", "d"];
    let mut hosts: Vec<Candidate> = (0..60).map(|number| host(number, centres[number % 4], 120)).collect();
    hosts.extend((60..68).map(|number| host(number, centres[number % 4], 500)));
    let tiers = Tiers::new("s", &homes(&["a", "b", "c"]), &hosts, 56);
    assert_eq!(tiers.owners.len(), 6);
    assert!(tiers.owners.iter().all(|&place| hosts[place].power == 500 && hosts[place].data_centre != "d"));
    assert_eq!(tiers.standbys.len(), 14);
    assert_eq!(tiers.connection_share(tiers.owners[0], 56), 7);
    assert_eq!(tiers.connection_share(tiers.standbys[0], 56), 1);
}

/// The only strong host must not be the only one that gathers: with it everything would be gone.
#[test]
fn one_strong_host_is_not_enough() {
    let hosts = vec![host(0, "a", 500), host(1, "a", 120), host(2, "b", 120)];
    let tiers = Tiers::new("s", &homes(&["a"]), &hosts, 56);
    assert!(tiers.owners.contains(&0));
    assert!(tiers.owners.len() + tiers.standbys.len() == 3);
}

proptest! {
    /// Whoever is known, hosts that know the same never hold more connections together than a server
    /// accepts, and agree on who gathers whatever the order in which they heard of each other.
    #[test]
    fn shares_add_up_to_no_more_than_the_server_accepts(
        powers in proptest::collection::vec((0_usize..4, 1_u32..8), 1..90),
        connections in 1_u32..120,
        turn in any::<prop::sample::Index>(),
    ) {
        let centres = ["a", "b", "c", "d"];
        let mut hosts = Vec::new();
        for (number, (centre, power)) in powers.iter().enumerate() {
            hosts.push(host(number, centres[*centre], power * 125));
        }
        let tiers = Tiers::new("s", &homes(&["a", "b"]), &hosts, connections);
        let sum: u32 = (0..hosts.len()).map(|place| tiers.connection_share(place, connections)).sum();
        prop_assert!(sum <= connections, "{sum} of {connections}");
        prop_assert!(!tiers.owners.is_empty());
        let mut turned = hosts.clone();
        turned.rotate_left(turn.index(hosts.len()));
        let other = Tiers::new("s", &homes(&["a", "b"]), &turned, connections);
        let names = |tiers: &Tiers, hosts: &[Candidate]| -> IndexSet<CompactString> {
            tiers.owners.iter().map(|&place| hosts[place].name.clone()).collect()
        };
        prop_assert_eq!(names(&tiers, &hosts), names(&other, &turned));
    }
}
