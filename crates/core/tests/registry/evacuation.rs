//! Operators evacuate a data centre: its servers get nothing from any host, soon, until that is taken back.

use rstest::rstest;
use shallothub_core::{control::note, mutant};

use super::{fleet::Fleet, started};

/// When the operators' word is acknowledged, in ms.
const WORD: u64 = 10_000;
/// Time until the last host acts on the word, in ms: in the median of all that may happen meanwhile, and at the
/// worst. Operators are promised some seconds; what is left of them is for requests on their way.
const MEDIAN: u64 = 1000;
const LAST: u64 = 3000;

/// A leaf of each data centre, by the places that `publish` gives them.
const LEAFS: [&str; 4] = ["0-0", "1-0", "2-0", "3-0"];

/// Hosts that are up and may send new work to the leafs of `centre`.
fn using(fleet: &Fleet, centre: usize) -> Vec<usize> {
    (0..fleet.hosts.len()).filter(|&host| fleet.hosts[host].up && fleet.may_use(host, LEAFS[centre])).collect()
}

/// Lets hosts act on the word that has just evacuated `centre`. The time until the last one has, in ms.
fn last_to_act(fleet: &mut Fleet, centre: usize) -> u64 {
    let since = fleet.now;
    while !using(fleet, centre).is_empty() {
        fleet.run_until(fleet.now + 10);
        let late = using(fleet, centre);
        assert!(fleet.now - since <= LAST || late.is_empty(), "{late:?} still use dc-{centre} after {LAST} ms");
    }
    fleet.now - since
}

/// What else happens while operators evacuate a data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Meanwhile {
    /// Nothing.
    Nothing,
    /// A second data centre is evacuated at the same moment.
    Another,
    /// The same one was taken back a moment ago.
    TakenBackBefore,
    /// The registry turns two of three hosts away.
    Refuses,
    /// The registry tells nobody of the change, and then forgets it.
    Forgets,
    /// The hosts that watch the registry have just died.
    WatchersDie,
    /// A storm of changes of other entries.
    Storm,
}

impl Meanwhile {
    const ALL: [Self; 7] = [
        Self::Nothing,
        Self::Another,
        Self::TakenBackBefore,
        Self::Refuses,
        Self::Forgets,
        Self::WatchersDie,
        Self::Storm,
    ];

    fn happen(self, fleet: &mut Fleet) {
        let hosts = fleet.hosts.len();
        match self {
            Self::Nothing => {}
            Self::Another => fleet.put("evacuate/dc-3", "{}"),
            Self::TakenBackBefore => {
                fleet.put("evacuate/dc-1", "{}");
                fleet.remove("evacuate/dc-1");
            }
            Self::Refuses => fleet.store.refuses.extend((0..hosts).filter(|host| host % 3 != 0)),
            Self::Forgets => fleet.store.is_deaf = true,
            Self::WatchersDie => {
                let watchers: Vec<usize> = (0..hosts).filter(|&host| fleet.hosts[host].core.is_watcher()).collect();
                watchers.into_iter().for_each(|host| fleet.restart(host, 800));
            }
            Self::Storm => {
                for leaf in 0..200 {
                    fleet.put(&format!("leaf/new-{leaf}"), &format!("n{leaf} dc-{} ready", leaf % 4));
                }
            }
        }
    }
}

/// Whatever else happens, hosts stop sending work to the evacuated data centre in time, go on with the others,
/// and use it again when operators take the word back.
#[rstest]
fn an_evacuated_data_centre_gets_nothing_in_time(#[values(30, 100, 300)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut lasts = Vec::new();
    for meanwhile in Meanwhile::ALL {
        let mut fleet = started(hosts, 4, seed);
        fleet.run_until(WORD);
        meanwhile.happen(&mut fleet);
        fleet.put("evacuate/dc-1", "{}");
        if meanwhile == Meanwhile::Forgets {
            fleet.run_until(WORD + 400);
            fleet.forget_history();
        }
        lasts.push(last_to_act(&mut fleet, 1));
        fleet.run_until(WORD + LAST);
        let others: &[usize] = if meanwhile == Meanwhile::Another { &[0, 2] } else { &[0, 2, 3] };
        for &centre in others {
            assert_eq!(using(&fleet, centre).len(), hosts, "{meanwhile:?}: dc-{centre} is not evacuated");
        }
        fleet.store.refuses.clear();
        fleet.remove("evacuate/dc-1");
        fleet.run_until(WORD + LAST + LAST + 2000);
        assert_eq!(using(&fleet, 1).len(), hosts, "{meanwhile:?}: the data centre is not used again");
    }
    println!("the last host of {hosts} acts after {lasts:?} ms");
    lasts.sort_unstable();
    assert!(lasts[lasts.len() / 2] <= MEDIAN, "{lasts:?}");
}

/// A host starts while a data centre is evacuated, and another one was behind a cut when it was. The first has no
/// list of servers without the evacuation; the second acts on it within seconds of the end of the cut.
#[rstest]
fn hosts_that_start_or_were_cut_off_know_it(#[values(8, 67)] hosts: usize, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = started(hosts, 4, seed);
    fleet.hosts[3].is_cut = true;
    fleet.run_until(WORD);
    fleet.put("evacuate/dc-1", "{}");
    fleet.restart(5, 1500);
    for step in 0..60 {
        fleet.run_until(WORD + 1500 + step * 50);
        assert!(!fleet.may_use(5, LEAFS[1]), "a host that starts uses the data centre");
    }
    fleet.hosts[3].is_cut = false;
    let healed = fleet.now;
    fleet.run_until(healed + LAST);
    assert!(!fleet.may_use(3, LEAFS[1]), "a host that was cut off uses the data centre");
}

/// Operators misspell the data centre, or give none. The word harms nobody, and the rest of the list counts.
#[rstest]
#[case::unknown("evacuate/nowhere")]
#[case::no_name("evacuate/")]
fn a_word_that_names_no_data_centre_harms_nobody(#[case] key: &str) {
    let mut fleet = started(8, 4, 1);
    fleet.put(key, "");
    fleet.put("leaf/3-0", "s3 dc-3 leaving");
    fleet.run_until(WORD + LAST);
    assert!((0..8).all(|host| fleet.may_use(host, "0-0") && !fleet.may_use(host, "3-0")));
}

/// Whoever reads a host's log finds when it acted on the word, and by which list of hosts.
#[test]
fn hosts_tell_what_is_evacuated() {
    let mut fleet = started(8, 4, 1);
    fleet.put("evacuate/dc-1", "{}");
    fleet.run_until(WORD + LAST);
    fleet.remove("evacuate/dc-1");
    fleet.run_until(WORD + LAST + LAST);
    for host in &fleet.hosts {
        let mut told = Vec::new();
        for note in &host.notes {
            if let note::Note::Evacuated { data_centres, servers, .. } = note {
                told.push((data_centres.clone(), *servers));
            }
        }
        assert_eq!(told, [(vec!["dc-1".into()], 10), (Vec::new(), 0)]);
    }
}

/// Without the guard the same runs show it.
#[test]
fn a_fleet_that_ignores_the_word_is_seen() {
    mutant::set(Some(mutant::Mutant::IgnoreEvacuation));
    let mut fleet = started(8, 4, 1);
    fleet.put("evacuate/dc-1", "{}");
    fleet.run_until(WORD + LAST);
    mutant::set(None);
    assert_eq!(using(&fleet, 1).len(), 8);
}
