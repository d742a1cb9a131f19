//! Assignment of gathering hosts to services, and the division of a server's connections among hosts.

use compact_str::{CompactString, format_compact};
use indexmap::IndexSet;
use proptest::prelude::*;
use shallothub_core::plan::owner::{Candidate, Tiers};

fn host(number: usize, data_centre: &str, power: u32) -> Candidate {
    Candidate { name: format_compact!("host-{number}"), data_centre: CompactString::from(data_centre), power }
}

fn homes(data_centres: &[&str]) -> IndexSet<CompactString> {
    data_centres.iter().map(|data_centre| CompactString::from(*data_centre)).collect()
}

/// Eight equal hosts in the data centres of the leafs: each must gather its own requests, without relaying.
#[test]
fn equal_hosts_all_gather() {
    let data_centres = ["a", "b", "c", "d"];
    let hosts: Vec<Candidate> = (0..8).map(|number| host(number, data_centres[number % 4], 250)).collect();
    let tiers = Tiers::new("s", &homes(&data_centres), &hosts, 26);
    assert_eq!(tiers.owners.len(), 8);
    assert!(tiers.standbys.is_empty());
    assert!((0..8).all(|index| tiers.connection_share(index, 26) == 3));
}

/// Sixty weak hosts and eight strong ones: the strong ones in the leafs' data centres must gather.
#[test]
fn strong_hosts_near_the_leafs_gather() {
    let data_centres = ["a", "b", "c", "d"];
    let mut hosts: Vec<Candidate> = (0..60).map(|number| host(number, data_centres[number % 4], 120)).collect();
    hosts.extend((60..68).map(|number| host(number, data_centres[number % 4], 500)));
    let tiers = Tiers::new("s", &homes(&["a", "b", "c"]), &hosts, 56);
    assert_eq!(tiers.owners.len(), 6);
    assert!(tiers.owners.iter().all(|&index| hosts[index].power == 500 && hosts[index].data_centre != "d"));
    assert_eq!(tiers.standbys.len(), 14);
    assert_eq!(tiers.connection_share(tiers.owners[0], 56), 7);
    assert_eq!(tiers.connection_share(tiers.standbys[0], 56), 1);
}

/// The only strong host must not be the only one that gathers, since it would be a single point of failure.
#[test]
fn one_strong_host_is_not_enough() {
    let hosts = vec![host(0, "a", 500), host(1, "a", 120), host(2, "b", 120)];
    let tiers = Tiers::new("s", &homes(&["a"]), &hosts, 56);
    assert!(tiers.owners.contains(&0));
    assert!(tiers.owners.len() + tiers.standbys.len() == 3);
}

proptest! {
    /// Hosts with the same list of members must not hold more connections in sum than a server accepts,
    /// and must agree on the gathering hosts, whatever the order of the list.
    #[test]
    fn shares_add_up_to_no_more_than_the_server_accepts(
        powers in proptest::collection::vec((0_usize..4, 1_u32..8), 1..90),
        connections in 1_u32..120,
        rotation in any::<prop::sample::Index>(),
    ) {
        let data_centres = ["a", "b", "c", "d"];
        let mut hosts = Vec::new();
        for (number, (data_centre, power)) in powers.iter().enumerate() {
            hosts.push(host(number, data_centres[*data_centre], power * 125));
        }
        let tiers = Tiers::new("s", &homes(&["a", "b"]), &hosts, connections);
        let sum: u32 = (0..hosts.len()).map(|index| tiers.connection_share(index, connections)).sum();
        prop_assert!(sum <= connections, "{sum} of {connections}");
        prop_assert!(!tiers.owners.is_empty());
        let mut rotated = hosts.clone();
        rotated.rotate_left(rotation.index(hosts.len()));
        let other = Tiers::new("s", &homes(&["a", "b"]), &rotated, connections);
        let names = |tiers: &Tiers, hosts: &[Candidate]| -> IndexSet<CompactString> {
            tiers.owners.iter().map(|&index| hosts[index].name.clone()).collect()
        };
        prop_assert_eq!(names(&tiers, &hosts), names(&other, &rotated));
    }
}
