//! Operators evacuate a data centre: within seconds no host sends work to its servers, until the evacuation is revoked.

use rstest::rstest;
use shallothub_core::{control::note, mutant};

use super::{fleet::Fleet, start_fleet};

/// Time at which the evacuation is written, in ms.
const EVACUATED_AT: u64 = 10_000;
/// Limits for the time until the last host acts on the evacuation, in ms: for the median over all disturbances, and for
/// the worst. Operators are promised some seconds; the rest is for requests in flight.
const MEDIAN_LIMIT: u64 = 1000;
const WORST_LIMIT: u64 = 3000;

/// A leaf of each data centre, as spread by `publish`.
const LEAFS: [&str; 4] = ["0-0", "1-0", "2-0", "3-0"];

/// Hosts that are up and may send new work to the leafs of `data_centre`.
fn hosts_using(fleet: &Fleet, data_centre: usize) -> Vec<usize> {
    (0..fleet.hosts.len()).filter(|&host| fleet.hosts[host].is_up && fleet.may_use(host, LEAFS[data_centre])).collect()
}

/// Runs until no host uses `data_centre`, which has just been evacuated, and returns the time that this took, in ms.
fn time_to_act(fleet: &mut Fleet, data_centre: usize) -> u64 {
    let start = fleet.now;
    while !hosts_using(fleet, data_centre).is_empty() {
        fleet.run_until(fleet.now + 10);
        let remaining = hosts_using(fleet, data_centre);
        assert!(
            fleet.now - start <= WORST_LIMIT || remaining.is_empty(),
            "{remaining:?} still use dc-{data_centre} after {WORST_LIMIT} ms"
        );
    }
    fleet.now - start
}

/// A disturbance at the moment of an evacuation.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disturbance {
    /// No disturbance.
    Nothing,
    /// A second data centre is evacuated at the same moment.
    SecondEvacuation,
    /// An evacuation of the same data centre was just revoked.
    RecentRevocation,
    /// The registry refuses two of three hosts.
    RefusedHosts,
    /// The registry notifies no watch of the change and then discards its history.
    LostHistory,
    /// All watchers of the registry have just been killed.
    KilledWatchers,
    /// Many other entries change.
    ManyChanges,
}

impl Disturbance {
    const ALL: [Self; 7] = [
        Self::Nothing,
        Self::SecondEvacuation,
        Self::RecentRevocation,
        Self::RefusedHosts,
        Self::LostHistory,
        Self::KilledWatchers,
        Self::ManyChanges,
    ];

    fn apply(self, fleet: &mut Fleet) {
        let hosts = fleet.hosts.len();
        match self {
            Self::Nothing => {}
            Self::SecondEvacuation => fleet.put("evacuate/dc-3", "{}"),
            Self::RecentRevocation => {
                fleet.put("evacuate/dc-1", "{}");
                fleet.remove("evacuate/dc-1");
            }
            Self::RefusedHosts => fleet.store.refused_hosts.extend((0..hosts).filter(|host| host % 3 != 0)),
            Self::LostHistory => fleet.store.has_stalled_watches = true,
            Self::KilledWatchers => {
                let watchers: Vec<usize> = (0..hosts).filter(|&host| fleet.hosts[host].core.is_watcher()).collect();
                watchers.into_iter().for_each(|host| fleet.restart(host, 800));
            }
            Self::ManyChanges => {
                for leaf in 0..200 {
                    fleet.put(&format!("leaf/new-{leaf}"), &format!("n{leaf} dc-{} ready", leaf % 4));
                }
            }
        }
    }
}

/// Guards against work for an evacuated data centre after the time limit under each disturbance, against an evacuation
/// that affects other data centres, and against one that stays in force after it is revoked.
#[rstest]
fn an_evacuated_data_centre_gets_no_work_after_the_time_limit(
    #[values(30, 100, 300)] hosts: usize,
    #[values(1, 2)] seed: u64,
) {
    let mut delays = Vec::new();
    for disturbance in Disturbance::ALL {
        let mut fleet = start_fleet(hosts, 4, seed);
        fleet.run_until(EVACUATED_AT);
        disturbance.apply(&mut fleet);
        fleet.put("evacuate/dc-1", "{}");
        if disturbance == Disturbance::LostHistory {
            fleet.run_until(EVACUATED_AT + 400);
            fleet.compact_history();
        }
        delays.push(time_to_act(&mut fleet, 1));
        fleet.run_until(EVACUATED_AT + WORST_LIMIT);
        let others: &[usize] = if disturbance == Disturbance::SecondEvacuation { &[0, 2] } else { &[0, 2, 3] };
        for &data_centre in others {
            assert_eq!(
                hosts_using(&fleet, data_centre).len(),
                hosts,
                "{disturbance:?}: dc-{data_centre} is not evacuated"
            );
        }
        fleet.store.refused_hosts.clear();
        fleet.remove("evacuate/dc-1");
        fleet.run_until(EVACUATED_AT + WORST_LIMIT + WORST_LIMIT + 2000);
        assert_eq!(hosts_using(&fleet, 1).len(), hosts, "{disturbance:?}: the data centre is not used again");
    }
    println!("the last of {hosts} hosts acts after {delays:?} ms");
    delays.sort_unstable();
    assert!(delays[delays.len() / 2] <= MEDIAN_LIMIT, "{delays:?}");
}

/// Guards against using an evacuated data centre on a host that starts during the evacuation, and for more than a few
/// seconds on one that was partitioned when it was written. The starting host has no list of servers without the
/// evacuation.
#[rstest]
fn starting_and_partitioned_hosts_apply_an_evacuation(#[values(8, 67)] hosts: usize, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    fleet.hosts[3].is_partitioned = true;
    fleet.run_until(EVACUATED_AT);
    fleet.put("evacuate/dc-1", "{}");
    fleet.restart(5, 1500);
    for step in 0..60 {
        fleet.run_until(EVACUATED_AT + 1500 + step * 50);
        assert!(!fleet.may_use(5, LEAFS[1]), "a starting host uses the data centre");
    }
    fleet.hosts[3].is_partitioned = false;
    let healed = fleet.now;
    fleet.run_until(healed + WORST_LIMIT);
    assert!(!fleet.may_use(3, LEAFS[1]), "a partitioned host uses the data centre after the partition heals");
}

/// Guards against an evacuation with an unknown or missing data centre that affects servers or hides the rest of the
/// list.
#[rstest]
#[case::unknown("evacuate/nowhere")]
#[case::no_name("evacuate/")]
fn an_evacuation_of_an_unknown_data_centre_has_no_effect(#[case] key: &str) {
    let mut fleet = start_fleet(8, 4, 1);
    fleet.put(key, "");
    fleet.put("leaf/3-0", "s3 dc-3 leaving");
    fleet.run_until(EVACUATED_AT + WORST_LIMIT);
    assert!((0..8).all(|host| fleet.may_use(host, "0-0") && !fleet.may_use(host, "3-0")));
}

/// Guards against a log that lacks the start or end of an evacuation, or the number of servers.
#[test]
fn an_evacuation_and_its_end_are_logged() {
    let mut fleet = start_fleet(8, 4, 1);
    fleet.put("evacuate/dc-1", "{}");
    fleet.run_until(EVACUATED_AT + WORST_LIMIT);
    fleet.remove("evacuate/dc-1");
    fleet.run_until(EVACUATED_AT + WORST_LIMIT + WORST_LIMIT);
    for host in &fleet.hosts {
        let mut logged = Vec::new();
        for note in &host.notes {
            if let note::Note::Evacuated { data_centres, servers, .. } = note {
                logged.push((data_centres.clone(), *servers));
            }
        }
        assert_eq!(logged, [(vec!["dc-1".into()], 10), (Vec::new(), 0)]);
    }
}

/// Checks that the assertions above detect hosts that ignore an evacuation.
#[test]
fn hosts_that_ignore_an_evacuation_are_detected() {
    mutant::set(Some(mutant::Mutant::IgnoreEvacuation));
    let mut fleet = start_fleet(8, 4, 1);
    fleet.put("evacuate/dc-1", "{}");
    fleet.run_until(EVACUATED_AT + WORST_LIMIT);
    mutant::set(None);
    assert_eq!(hosts_using(&fleet, 1).len(), 8);
}
