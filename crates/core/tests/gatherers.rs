//! The choice of gathering hosts by demand and strength, and what holds while hosts disagree on it.

use compact_str::{CompactString, format_compact};
use indexmap::IndexSet;
use proptest::prelude::*;
use rstest::rstest;
use shallothub_core::{
    clock::Millis,
    plan::{
        gatherers::{
            Choice, Demand, Policy, Reason, Set,
            transition::{self, Fresh, GROWTH_DELAY, Key, MIN_INTERVAL, Moment, Transitions},
        },
        owner::{Candidate, Tiers},
    },
};

const DATA_CENTRES: [&str; 4] = ["a", "b", "c", "d"];

fn host(number: usize, data_centre: &str, power: u32) -> Candidate {
    Candidate { name: format_compact!("host-{number}"), data_centre: CompactString::from(data_centre), power }
}

fn homes(data_centres: &[&str]) -> IndexSet<CompactString> {
    data_centres.iter().map(|data_centre| CompactString::from(*data_centre)).collect()
}

/// A demand of `per_second` gathers.
fn demand(per_second: f64) -> Option<Demand> {
    Some(Demand((per_second * 1000.0) as u32))
}

fn choose(hosts: &[Candidate], connections: u32, policy: Policy, demand: Option<Demand>) -> Choice {
    let set = Set { key: "s", shards: 90, homes: &homes(&["a", "b", "c"]), connections };
    Choice::new(&set, hosts, Some(&policy), demand)
}

/// 24 hosts in three data centres, of which six have 0.5 cores and the others 0.28 to 0.31.
fn deployment() -> Vec<Candidate> {
    let power = |number: usize| if number < 6 { 500 } else { 280 + 10 * (number as u32 % 4) };
    (0..24).map(|number| host(number, DATA_CENTRES[number % 3], power(number))).collect()
}

fn connection_shares(choice: &Choice, hosts: &[Candidate], connections: u32) -> Vec<u32> {
    (0..hosts.len()).map(|index| choice.connection_share(index, connections)).collect()
}

/// Guards against 19 hosts that gather what six can. Each uses a given leaf once in two seconds, when its connections
/// are closed and its samples are outdated.
#[test]
fn the_strongest_hosts_gather_and_have_several_connections() {
    let hosts = deployment();
    let choice = choose(&hosts, 52, Policy::default(), demand(43.0));
    let names: IndexSet<usize> = choice.tiers.owners.iter().copied().collect();
    assert_eq!(names, (0..6).collect::<IndexSet<usize>>());
    assert_eq!(choice.reason, Reason::Minimum);
    assert!((0..6).all(|index| choice.connection_share(index, 52) == 6));
    assert_eq!(Tiers::new("s", &homes(&["a", "b", "c"]), &hosts, 52).owners.len(), 19);
}

/// Guards against a number of hosts that demand does not determine: expected utilisation must stay at the limit.
#[rstest]
#[case::peak(115.0, 6)]
#[case::more(180.0, 7)]
#[case::three_times(345.0, 17)]
#[case::all(1000.0, 19)]
fn more_hosts_gather_for_more_demand(#[case] per_second: f64, #[case] count: usize) {
    let hosts = deployment();
    let choice = choose(&hosts, 52, Policy::default(), demand(per_second));
    assert_eq!(choice.tiers.owners.len(), count);
    let cores: f64 = choice.tiers.owners.iter().map(|&index| f64::from(hosts[index].power) / 1000.0).sum();
    let is_all = choice.reason == Reason::AllNeeded;
    assert!(is_all || per_second * 0.0054 / cores <= 0.3, "{per_second} a second on {cores} cores");
}

/// Guards against a choice that leaves a data centre with less than the minimum although hosts qualify there.
#[test]
fn each_data_centre_has_the_minimum() {
    let power = |number: usize| if number < 8 { 500 } else { 300 };
    let data_centre = |number: usize| if number < 8 { "a" } else { DATA_CENTRES[number % 3] };
    let hosts: Vec<Candidate> = (0..24).map(|number| host(number, data_centre(number), power(number))).collect();
    let choice = choose(&hosts, 52, Policy::default(), demand(10.0));
    for data_centre in ["a", "b", "c"] {
        let count = choice.tiers.owners.iter().filter(|&&index| hosts[index].data_centre == data_centre).count();
        assert_eq!(count, 2, "{data_centre}");
    }
}

/// Guards against a change of owners or shares where demand needs all hosts that qualify, where no more qualify than
/// the minimum, where a host publishes no demand, and where the part is switched off.
#[rstest]
#[case::needed(24, Some(Policy::default()), demand(1000.0))]
#[case::minimum(24, Some(Policy { min: 19, ..Policy::default() }), demand(1.0))]
#[case::few(5, Some(Policy::default()), demand(1.0))]
#[case::unknown(24, Some(Policy::default()), None)]
#[case::off(24, None, demand(1.0))]
fn the_choice_is_that_of_the_owners(
    #[case] count: usize,
    #[case] policy: Option<Policy>,
    #[case] demand: Option<Demand>,
    #[values(8, 26, 52)] connections: u32,
) {
    let hosts = &deployment()[..count];
    let homes = homes(&["a", "b", "c"]);
    let set = Set { key: "s", shards: 90, homes: &homes, connections };
    let choice = Choice::new(&set, hosts, policy.as_ref(), demand);
    let tiers = Tiers::new("s", &homes, hosts, connections);
    assert_eq!(choice.tiers, tiers);
    for index in 0..hosts.len() {
        assert_eq!(choice.limit_share(index).to_bits(), tiers.limit_share(index).to_bits());
        assert_eq!(choice.connection_share(index, connections), tiers.connection_share(index, connections));
    }
}

/// Guards against a step that alternates while a rate varies by less than a step, and against one that lags behind.
#[test]
fn a_step_follows_a_rate_with_hysteresis() {
    let step = Demand::NONE.follow(2.0);
    assert!((step.per_second() / 2.0).ln().abs() <= Demand::STEP.ln() / 2.0 + 1e-3, "{step:?}");
    for rate in [1.7, 2.2, 1.6, 2.3] {
        assert_eq!(step.follow(rate), step);
    }
    assert!(step.follow(3.5) > step && step.follow(1.0) < step);
    assert_eq!(step.follow(0.0), Demand::LOWEST);
    assert!(Demand::LOWEST.follow(1e12) > step);
    assert_eq!(Demand::sum([step, Demand::NONE]), None);
}

prop_compose! {
    fn fleets()(
        hosts in proptest::collection::vec((0_usize..4, 1_u32..8), 2..60),
        connections in 4_u32..120,
        min in 1_u32..9,
        min_per_data_centre in 0_u32..4,
        rate in 0.1_f64..400.0,
    ) -> (Vec<Candidate>, u32, Policy, f64) {
        let hosts = hosts.iter().enumerate();
        let hosts = hosts.map(|(number, (centre, power))| host(number, DATA_CENTRES[*centre], power * 125)).collect();
        (hosts, connections, Policy { utilisation: 0.3, min, min_per_data_centre }, rate)
    }
}

/// Number of random mixes of hosts. Each takes some milliseconds.
const CASES: u32 = 128;

/// How a host of the mix decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Version {
    New,
    Old,
}

/// What hosts know: a host's power, and its demand if it publishes one; `None` for hosts that are not members.
type Knowledge = Vec<Option<Option<Demand>>>;

/// The share that a host computes from `knowledge`, and the hosts that gather.
fn compute(
    hosts: &[Candidate],
    knowledge: &Knowledge,
    local: usize,
    connections: u32,
    policy: Option<&Policy>,
) -> (f64, Choice) {
    let members: Vec<usize> = (0..hosts.len()).filter(|&index| knowledge[index].is_some()).collect();
    let candidates: Vec<Candidate> = members.iter().map(|&index| hosts[index].clone()).collect();
    let sum = Demand::sum(knowledge.iter().flatten().map(|demand| demand.unwrap_or_default()));
    let set = Set { key: "s", shards: 90, homes: &homes(&["a", "b", "c"]), connections };
    let choice = Choice::new(&set, &candidates, policy, sum);
    let index = members.iter().position(|&member| member == local);
    (index.map_or(0.0, |index| choice.limit_share(index)), choice)
}

fn fresh(share: f64, connections: u32, hosts: &[usize]) -> Fresh {
    Fresh {
        key: Key(1),
        set: "s".into(),
        hosts: hosts.iter().map(|host| format_compact!("host-{host}")).collect(),
        demand: None,
        reason: Reason::Demand,
        share,
        min_share: (1.0 + f64::EPSILON) / f64::from(connections),
        holders: Vec::new(),
        has_closed: false,
    }
}

/// The greatest number of connections to a leaf of all hosts together while they learn at different times that
/// `before` became `after`. Hosts that `before` does not list start at the change.
fn greatest_sum(
    hosts: &[Candidate],
    (before, after): (&Knowledge, &Knowledge),
    versions: &[Version],
    learns_at: &[u64],
    connections: u32,
    policy: &Policy,
) -> u32 {
    const CHANGED_AT: u64 = 20_000;
    let mut transitions: Vec<Transitions> = vec![Transitions::default(); hosts.len()];
    let mut greatest = 0;
    for now in (CHANGED_AT - 10_000..CHANGED_AT + 10_000).step_by(100) {
        let mut sum = 0;
        for index in 0..hosts.len() {
            let has_joined = before[index].is_none();
            let has_left = after[index].is_none() && now >= CHANGED_AT;
            if has_left || has_joined && now < CHANGED_AT {
                continue;
            }
            let knows = has_joined || now >= CHANGED_AT + learns_at[index];
            let knowledge = if knows { after } else { before };
            let is_new = versions[index] == Version::New;
            let (share, _) = compute(hosts, knowledge, index, connections, is_new.then_some(policy));
            let started_at = Millis(if has_joined { CHANGED_AT } else { 0 });
            let moment = Moment { now: Millis(now), started_at, is_settled: true, has_all_members: true };
            transitions[index].update(moment, vec![fresh(share, connections, &[])]);
            let share = if is_new { transitions[index].share(Key(1)).unwrap_or_default() } else { share };
            sum += (f64::from(connections) * share) as u32;
        }
        greatest = greatest.max(sum);
    }
    greatest
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards against too many connections of hosts that agree, too few gathering hosts, and hosts that do not qualify.
    #[test]
    fn a_choice_keeps_its_bounds((hosts, connections, policy, rate) in fleets()) {
        let all = Tiers::new("s", &homes(&["a", "b", "c"]), &hosts, connections);
        let choice = choose(&hosts, connections, policy, demand(rate));
        let sum: u32 = connection_shares(&choice, &hosts, connections).iter().sum();
        prop_assert!(sum <= connections, "{} of {}", sum, connections);
        let limits: f64 = (0..hosts.len()).map(|index| choice.limit_share(index)).sum();
        prop_assert!(limits <= 1.0 + 1e-9, "{}", limits);
        prop_assert!(choice.tiers.owners.iter().all(|index| all.owners.contains(index)));
        prop_assert!(choice.tiers.owners.len() >= all.owners.len().min(policy.min as usize));
        for data_centre in DATA_CENTRES {
            let count = |owners: &[usize]| owners.iter().filter(|&&index| hosts[index].data_centre == data_centre).count();
            let wanted = count(&all.owners).min(policy.min_per_data_centre as usize);
            prop_assert!(count(&choice.tiers.owners) >= wanted, "{}", data_centre);
        }
        if choice.reason == Reason::AllNeeded {
            prop_assert_eq!(&choice.tiers, &all);
            return Ok(());
        }
        let cores: f64 = choice.tiers.owners.iter().map(|&index| f64::from(hosts[index].power) / 1000.0).sum();
        prop_assert!(rate * 0.0054 / cores <= policy.utilisation + 1e-3, "{} a second on {}", rate, cores);
        for &left in &choice.tiers.owners {
            for &right in &choice.tiers.owners {
                let (left_share, right_share) = (choice.limit_share(left), choice.limit_share(right));
                prop_assert!(hosts[left].power < hosts[right].power || left_share >= right_share - 1e-9);
            }
        }
    }

    /// Guards against a small change of demand that replaces hosts: it may only add or remove hosts at the end of one
    /// order, and no more of them than the demand changed by.
    #[test]
    fn a_choice_is_stable((hosts, connections, policy, rate) in fleets(), factor in 1.0_f64..1.5) {
        let fewer = choose(&hosts, connections, policy, demand(rate)).tiers.owners;
        let more = choose(&hosts, connections, policy, demand(rate * factor)).tiers.owners;
        prop_assert!(fewer.len() <= more.len());
        prop_assert!(fewer.iter().all(|index| more.contains(index)));
        // Hosts that qualify have at least half of the strongest one's processor.
        let most = (fewer.len() as f64 * (1.0 + 2.0 * (factor - 1.0))).ceil() as usize + 1;
        prop_assert!(more.len() <= most, "{} after {}", more.len(), fewer.len());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    /// Guards against more connections than a leaf accepts while hosts learn at different times of one change: a step of
    /// demand, a host that leaves or joins, or a host that is replaced by one of the previous version or the reverse.
    #[test]
    fn shares_of_hosts_that_disagree_fit_the_leaf(
        (hosts, connections, policy, rate) in fleets(),
        delays in proptest::collection::vec(0_u64..2900, 60),
        changed in any::<prop::sample::Index>(),
        kind in 0..5,
    ) {
        let changed = changed.index(hosts.len());
        let part = Demand::NONE.follow(rate / hosts.len() as f64);
        let mut before: Knowledge = vec![Some(Some(part)); hosts.len()];
        let mut after = before.clone();
        let mut versions = vec![Version::New; hosts.len()];
        match kind {
            0 => after[changed] = Some(Some(part.follow(part.per_second() * 1.5))),
            1 => after[changed] = None,
            2 => before[changed] = None,
            3 => (after[changed], versions[changed]) = (Some(None), Version::Old),
            _ => (before[changed], versions[changed]) = (Some(None), Version::New),
        }
        let sum = greatest_sum(&hosts, (&before, &after), &versions, &delays, connections, &policy);
        let choice = compute(&hosts, &before, 0, connections, Some(&policy)).1;
        // A host that joins has one connection at first. If the other hosts' shares are those of the owners, as in the
        // previous version, they may use all connections of the leaf.
        let is_unchanged = matches!(choice.reason, Reason::AllNeeded | Reason::DemandUnknown);
        let allowance = u32::from(kind == 2 && is_unchanged);
        prop_assert!(sum <= connections + allowance, "{} of {}, kind {}", sum, connections, kind);
    }

    /// Guards against more connections than a leaf accepts when a host of the previous version joins that others do not
    /// know yet: it takes its share at once.
    #[test]
    fn an_unknown_host_of_the_previous_version_fits(
        (hosts, connections, policy, rate) in fleets(),
        data_centre in 0_usize..4,
        power in any::<prop::sample::Index>(),
        delays in proptest::collection::vec(0_u64..2900, 60),
    ) {
        let strongest = hosts.iter().map(|host| host.power).max().unwrap_or_default();
        let mut hosts = hosts;
        hosts.push(host(90, DATA_CENTRES[data_centre], 1 + power.index(strongest as usize) as u32));
        let joined = hosts.len() - 1;
        let part = Demand::NONE.follow(rate / joined as f64);
        let mut before: Knowledge = vec![Some(Some(part)); hosts.len()];
        let mut after = before.clone();
        (before[joined], after[joined]) = (None, Some(None));
        let mut versions = vec![Version::New; hosts.len()];
        versions[joined] = Version::Old;
        let choice = compute(&hosts, &before, 0, connections, Some(&policy)).1;
        if choice.reason == Reason::AllNeeded {
            return Ok(());
        }
        let learns_at = [&delays[..joined], &[0]].concat();
        let sum = greatest_sum(&hosts, (&before, &after), &versions, &learns_at, connections, &policy);
        prop_assert!(sum <= connections, "{} of {}", sum, connections);
    }
}

/// Counter-check: without the delay of growth, hosts that disagree on the demand exceed the limit.
#[test]
fn without_the_delay_shares_exceed_the_limit() {
    let hosts = deployment();
    let policy = Policy::default();
    let shares = |per_second: f64| -> Vec<f64> {
        let choice = choose(&hosts, 52, policy, demand(per_second));
        (0..hosts.len()).map(|index| choice.limit_share(index)).collect()
    };
    let mixed: f64 = shares(115.0).iter().zip(shares(180.0)).map(|(fewer, more)| fewer.max(more)).sum();
    assert!(mixed > 1.0, "{mixed}");
}

fn moment(now: u64) -> Moment {
    Moment { now: Millis(now), started_at: Millis::ZERO, is_settled: true, has_all_members: true }
}

/// Guards against a share that grows before other hosts know of the change, or that does not shrink at once.
#[test]
fn a_share_shrinks_at_once_and_grows_late() {
    let mut transitions = Transitions::default();
    let mut share = |now: u64, share: f64| {
        transitions.update(moment(now), vec![fresh(share, 52, &[1])]);
        transitions.share(Key(1)).expect("a share")
    };
    assert_eq!(share(10_000, 0.1), 0.1);
    assert_eq!(share(11_000, 0.05), 0.05);
    assert_eq!(share(12_000, 0.1), 0.05);
    assert_eq!(share(14_999, 0.1), 0.05);
    assert_eq!(share(15_000, 0.1), 0.1);
    // A share that alternates stays at its lower value.
    for second in 0..10 {
        share(16_000 + second * 2000, 0.2);
        assert_eq!(share(17_000 + second * 2000, 0.1), 0.1);
    }
}

/// Guards against growth while a host is silent: in a partition, both sides would grow.
#[test]
fn a_share_does_not_grow_while_a_host_is_silent() {
    let mut transitions = Transitions::default();
    let mut share = |now: u64, share: f64, has_closed: bool| {
        transitions.update(moment(now), vec![Fresh { has_closed, ..fresh(share, 52, &[1]) }]);
        transitions.share(Key(1)).expect("a share")
    };
    share(10_000, 0.1, false);
    assert_eq!(share(20_000, 0.2, true), 0.1);
    assert_eq!(share(30_000, 0.2, true), 0.1);
    assert_eq!(share(31_000, 0.2, false), 0.1);
    assert_eq!(share(34_000, 0.2, false), 0.2);
}

/// Guards against growth on a host that does not know all members: it would count too few hosts that share the limit.
#[test]
fn a_share_does_not_grow_while_members_are_unknown() {
    let mut transitions = Transitions::default();
    let mut share = |now: u64, share: f64, has_all_members: bool| {
        transitions.update(Moment { has_all_members, ..moment(now) }, vec![fresh(share, 52, &[1])]);
        transitions.share(Key(1)).expect("a share")
    };
    share(10_000, 0.1, true);
    assert_eq!(share(20_000, 0.2, false), 0.1);
    assert_eq!(share(21_000, 0.2, true), 0.1);
    assert_eq!(share(24_000, 0.2, true), 0.2);
}

/// Guards against a set of hosts that changes more than once in five seconds, whatever the demand does, and against a
/// new gathering host that gets requests before its share has grown.
#[test]
fn a_set_of_hosts_changes_seldom() {
    let mut transitions = Transitions::default();
    let mut changes: Vec<u64> = Vec::new();
    for tenth in 0..3000_u64 {
        let now = 10_000 + tenth * 100;
        let hosts: &[usize] = match (tenth / 37) % 3 {
            0 => &[1, 2],
            1 => &[1, 2, 3],
            _ => &[1, 4],
        };
        let changed = transitions.update(moment(now), vec![fresh(0.1, 52, hosts)]);
        if !changed.sets.is_empty() {
            changes.push(now);
        }
    }
    assert!(changes.len() > 10, "{changes:?}");
    assert!(changes.windows(2).all(|pair| pair[1] - pair[0] >= MIN_INTERVAL.0), "{changes:?}");
    let mut transitions = Transitions::default();
    transitions.update(moment(10_000), vec![fresh(0.1, 52, &[1])]);
    transitions.update(moment(20_000), vec![fresh(0.1, 52, &[1, 2])]);
    transitions.update(moment(20_000 + GROWTH_DELAY.0 - 1), vec![fresh(0.1, 52, &[1, 2])]);
    assert_eq!(transitions.hosts(Key(1)).map(<[CompactString]>::len), Some(1));
    assert_eq!(transitions.next_timer(), Millis(23_000));
    transitions.update(moment(23_000), vec![fresh(0.1, 52, &[1, 2])]);
    assert_eq!(transitions.hosts(Key(1)).map(<[CompactString]>::len), Some(2));
}

/// Guards against a host that uses its whole share from its start, before others know it, and against one that has no
/// connection at all while a whole fleet starts.
#[rstest]
#[case::joined(1000, 1)]
#[case::later(500 + GROWTH_DELAY.0, 5)]
fn a_host_that_has_just_started_has_one_connection(#[case] age: u64, #[case] connections: u32) {
    let mut transitions = Transitions::default();
    for now in [age.min(500), age] {
        let moment =
            Moment { now: Millis(10_000 + now), started_at: Millis(10_000), is_settled: false, has_all_members: true };
        transitions.update(moment, vec![fresh(0.1, 52, &[1])]);
    }
    let share = transitions.share(Key(1)).expect("a share");
    assert_eq!((52.0 * share) as u32, connections);
    assert_eq!(transitions.all().count(), 1);
    assert!(transitions.all().all(|gathering: &transition::Gathering| gathering.set == "s"));
}
