//! Gathering hosts chosen by demand and strength: hosts agree on them within seconds, and the connections of all hosts
//! to a leaf stay within its limit while they do not.

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use rstest::rstest;
use shallothub_core::{
    control::{self, note},
    plan::gatherers::{Demand, Policy},
};
use shallothub_wire::peer;

use super::{CONNECTIONS, fleet::Fleet, policy};

const DATA_CENTRES: usize = 3;

/// Hosts with the first six the strongest, two in each data centre.
struct Deployment {
    fleet: Fleet,
    /// The gathering hosts of each host when last checked, and when they last changed.
    seen: IndexMap<usize, (Vec<CompactString>, u64)>,
    /// Changes of the set of gathering hosts on settled hosts.
    changes: usize,
}

fn gathering_policy() -> control::Policy {
    control::Policy { gatherers: Some(Policy::default()), ..policy() }
}

impl Deployment {
    fn new(hosts: usize, policy: &control::Policy, old_hosts: IndexSet<usize>, seed: u64) -> Self {
        let powers = (0..hosts).map(|host| if host < 6 { 500 } else { 280 + 10 * (host as u32 % 4) }).collect();
        let mut fleet = Fleet::with_differing_hosts(hosts, DATA_CENTRES, policy, seed, powers, old_hosts)
            .with_message_size(|message, packs| peer::encode(message, packs).map_or(0, |bytes| bytes.len()));
        fleet.publish(1, 12, 3);
        Self { fleet, seen: IndexMap::new(), changes: 0 }
    }

    /// A settled deployment in which each host gets `rate` gathers a second.
    fn settled(hosts: usize, rate: f64, seed: u64) -> Self {
        let mut deployment = Self::new(hosts, &gathering_policy(), IndexSet::new(), seed);
        deployment.run_until(9000);
        for host in 0..hosts {
            deployment.set_rate(host, rate);
        }
        let settle_time = 12_000 + 60 * hosts as u64;
        deployment.run_until(9000 + settle_time);
        deployment
    }

    fn set_rate(&mut self, host: usize, rate: f64) {
        self.fleet.deliver(host, control::Input::Demand { lane: 0, demand: Demand::NONE.follow(rate) });
    }

    /// Advances the time, and checks the sum of connections and the interval of changes all the time.
    fn run_until(&mut self, until: u64) {
        while self.fleet.now < until {
            let next = (self.fleet.now + 50).min(until);
            self.fleet.run_until(next);
            let sum = self.connections();
            // Each host of a fleet that starts at once has one connection until it knows others.
            let is_starting = self.fleet.hosts.len() > CONNECTIONS as usize && next < 1500;
            assert!(sum <= CONNECTIONS || is_starting, "{sum} connections to a leaf at {next} ms");
            self.check_changes();
        }
    }

    /// Connections to a leaf that all hosts together may open.
    fn connections(&self) -> u32 {
        (0..self.fleet.hosts.len()).map(|host| self.share(host)).sum()
    }

    fn share(&self, host: usize) -> u32 {
        let servers = self.fleet.view(host).map_or(&[][..], |view| &view.servers);
        let leaf = servers.iter().flatten().find(|server| server.name == "0-0");
        leaf.and_then(|leaf| leaf.own_share).unwrap_or_default()
    }

    fn check_changes(&mut self) {
        for host in 0..self.fleet.hosts.len() {
            let hosts = self.gathering(host);
            let now = self.fleet.now;
            let is_new = self.fleet.hosts[host].ready_at.is_none_or(|at| now < at + 9000);
            match self.seen.get_mut(&host) {
                Some((before, at)) if *before != hosts => {
                    assert!(is_new || now - *at >= 4900, "host {host} changed its set after {} ms", now - *at);
                    self.changes += usize::from(!is_new);
                    (*before, *at) = (hosts, now);
                }
                Some(_) => {}
                None => {
                    self.seen.insert(host, (hosts, now));
                }
            }
        }
    }

    /// The sorted names of the gathering hosts in force on `host`.
    fn gathering(&self, host: usize) -> Vec<CompactString> {
        let gathering = self.fleet.hosts[host].core.gathering().next();
        let mut hosts = gathering.map(|gathering| gathering.hosts.clone()).unwrap_or_default();
        hosts.sort_unstable();
        hosts
    }

    /// The hosts that `host` relays gathers to, except standbys; empty if it gathers itself.
    fn relay_targets(&self, host: usize) -> Vec<CompactString> {
        let Some(view) = self.fleet.view(host) else {
            return Vec::new();
        };
        let target = view.classes.get("sweep").and_then(|class| class.relay.as_ref());
        let servers = target.iter().flat_map(|target| &target.replicas).filter_map(|&id| view.server(id));
        let regular = servers.filter(|server| server.distance != shallothub_core::view::Distance::Last);
        regular.map(|server| server.name.clone()).collect()
    }

    /// Whether each of `hosts` gathers or has an open host to relay to, that itself has connections.
    fn assert_served(&self, hosts: impl IntoIterator<Item = usize>) {
        for host in hosts {
            let targets = self.relay_targets(host);
            let can_gather = |name: &CompactString| {
                let target = name.strip_prefix("host-").and_then(|number| number.parse().ok()).expect("a host");
                self.share(target) > 0 && self.relay_targets(target).is_empty()
            };
            let is_served = if targets.is_empty() { self.share(host) > 0 } else { targets.iter().any(can_gather) };
            assert!(is_served, "host {host} at {} ms: {targets:?}", self.fleet.now);
        }
    }

    fn assert_agreed(&self, hosts: impl IntoIterator<Item = usize>, count: usize) {
        let mut sets: IndexMap<Vec<CompactString>, usize> = IndexMap::new();
        for host in hosts {
            *sets.entry(self.gathering(host)).or_default() += 1;
        }
        assert_eq!(sets.len(), 1, "{sets:?}");
        assert!(sets.keys().all(|hosts| hosts.len() == count), "{sets:?}");
    }
}

/// Guards against hosts that disagree on the gathering hosts, and against shares that are not used.
#[rstest]
fn hosts_agree_on_the_strongest(#[values(24, 300)] hosts: usize, #[values(1, 2)] seed: u64) {
    let deployment = Deployment::settled(hosts, 1.8, seed);
    if hosts == 24 {
        deployment.assert_agreed(0..hosts, 6);
        assert!((0..6).all(|host| deployment.share(host) == 6));
        assert!((6..hosts).all(|host| deployment.relay_targets(host).len() == 6));
    } else {
        // 540 gathers a second over 12 shards.
        deployment.assert_agreed(0..hosts, 6);
    }
    deployment.assert_served(0..hosts);
}

/// Counter-check: switched off, all hosts that are strong enough gather, with two connections each.
#[test]
fn without_the_choice_all_strong_hosts_gather() {
    let mut deployment = Deployment::new(24, &policy(), IndexSet::new(), 1);
    deployment.run_until(20_000);
    let gathering = (0..24).filter(|&host| deployment.relay_targets(host).is_empty()).count();
    assert_eq!(gathering, 21);
    assert!((0..6).all(|host| deployment.share(host) == 2));
}

/// Guards against a change of demand that hosts with connections learn of after another one's share has grown, and one
/// that other hosts learn of late.
#[rstest]
#[case::deployment(24, 2500)]
#[case::large(300, 6000)]
fn a_change_of_demand_reaches_all_hosts_in_time(
    #[case] hosts: usize,
    #[case] max_time: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut deployment = Deployment::settled(hosts, 1.8, seed);
    let before = demands(&deployment, |_| true);
    assert_eq!(before.len(), 1, "{before:?}");
    let start = deployment.fleet.now;
    deployment.set_rate(7, 60.0);
    let has_connections: Vec<bool> = (0..hosts).map(|host| deployment.share(host) > 0).collect();
    let (mut holders_at, mut known_at) = (None, None);
    while known_at.is_none() && deployment.fleet.now < start + 20_000 {
        deployment.run_until(deployment.fleet.now + 100);
        let time = deployment.fleet.now - start;
        let is_known = |demands: IndexSet<Option<Demand>>| demands.len() == 1 && demands != before;
        if is_known(demands(&deployment, |host| has_connections[host])) {
            holders_at.get_or_insert(time);
        }
        known_at = is_known(demands(&deployment, |_| true)).then_some(time);
    }
    println!("{hosts} hosts: known after {known_at:?} ms, to those with connections after {holders_at:?} ms");
    assert!(holders_at.is_some_and(|time| time <= 700), "{holders_at:?}");
    assert!(known_at.is_some_and(|time| time <= max_time), "{known_at:?}");
}

/// The different sums of demand that the selected hosts know.
fn demands(deployment: &Deployment, is_selected: impl Fn(usize) -> bool) -> IndexSet<Option<Demand>> {
    let hosts = deployment.fleet.hosts.iter().enumerate().filter(|(host, _)| is_selected(*host));
    hosts.flat_map(|(_, host)| host.core.gathering()).map(|gathering| gathering.demand).collect()
}

/// Guards against member records that churn: while the demand of each host changes as often as it may, hosts must send
/// little more than without, and compile no view unless the gathering hosts change.
#[rstest]
#[case::deployment(24)]
#[case::large(300)]
fn changes_of_demand_cost_little(#[case] hosts: usize) {
    let mut deployment = Deployment::settled(hosts, 1.8, 1);
    let measure = |deployment: &Deployment| -> (u64, usize) {
        let all = &deployment.fleet.hosts;
        (all.iter().map(|host| host.sent_bytes).sum(), all.iter().map(|host| host.views.len()).sum())
    };
    let idle_start = measure(&deployment);
    let start = deployment.fleet.now;
    deployment.run_until(start + 20_000);
    let idle_end = measure(&deployment);
    for second in 0..20 {
        for host in 0..hosts {
            deployment.set_rate(host, if (second + host).is_multiple_of(2) { 0.9 } else { 1.8 });
        }
        deployment.run_until(start + 20_000 + second as u64 * 1000);
    }
    let busy_end = measure(&deployment);
    let rate = |before: (u64, usize), after: (u64, usize)| (after.0 - before.0) / 20 / hosts as u64;
    let (idle, busy) = (rate(idle_start, idle_end), rate(idle_end, busy_end));
    let views = (busy_end.1 - idle_end.1) as f64 / hosts as f64;
    println!("{hosts} hosts: {idle} bytes per second and host, {busy} with changes; {views} views");
    assert!(busy <= idle + 6000, "{busy} bytes per second after {idle}");
    assert!(views <= 4.0, "{views} views");
}

/// Guards against requests that no host gathers while gathering hosts are out of contact: one, a third of them, all of a
/// data centre, or all. Hosts that qualify replace them at once, with the connections that they have, because those out
/// of contact may still use theirs.
#[rstest]
#[case::one(&[0])]
#[case::third(&[0, 4])]
#[case::data_centre(&[0, 3, 6, 9, 12, 15, 18, 21])]
#[case::all(&[0, 1, 2, 3, 4, 5])]
fn silent_hosts_are_replaced_at_once(#[case] silent: &[usize], #[values(1, 2, 3)] seed: u64) {
    let mut deployment = Deployment::settled(24, 1.8, seed);
    let others: Vec<usize> = (0..24).filter(|host| !silent.contains(host)).collect();
    let shares: Vec<u32> = (0..24).map(|host| deployment.share(host)).collect();
    let start = deployment.fleet.now;
    for &host in silent {
        deployment.fleet.hosts[host].is_partitioned = true;
    }
    // Without the choice, the last host learns after eight seconds that all of a data centre are silent.
    deployment.run_until(start + 13_000);
    deployment.assert_served(others.iter().copied());
    for &host in &others {
        let targets = deployment.relay_targets(host);
        assert!(targets.is_empty() || targets.len() >= 6, "host {host} relays to {targets:?}");
        let is_silent = |name: &CompactString| silent.iter().any(|silent| *name == format!("host-{silent}"));
        assert!(!targets.iter().any(is_silent), "host {host} relays to {targets:?}");
        assert!(deployment.share(host) <= shares[host], "share {} after {}", deployment.share(host), shares[host]);
    }
    deployment.run_until(start + 40_000);
    deployment.assert_served(others.iter().copied());
    for &host in silent {
        deployment.fleet.hosts[host].is_partitioned = false;
    }
    deployment.run_until(start + 60_000);
    deployment.assert_agreed(0..24, 6);
    assert!((0..6).all(|host| deployment.share(host) == 6));
}

/// Guards against connections of lost hosts that nobody uses: after a minute they belong to other hosts.
#[rstest]
#[case::one(&[0])]
#[case::third(&[0, 4])]
#[case::data_centre(&[0, 3, 6, 9, 12, 15, 18, 21])]
#[case::all(&[0, 1, 2, 3, 4, 5])]
fn lost_hosts_lose_their_connections(#[case] lost: &[usize], #[values(1, 2, 3)] seed: u64) {
    let mut deployment = Deployment::settled(24, 1.8, seed);
    let others: Vec<usize> = (0..24).filter(|host| !lost.contains(host)).collect();
    let start = deployment.fleet.now;
    for (index, &host) in lost.iter().enumerate() {
        deployment.fleet.restart(host, 90_000 + index as u64 * 4000);
    }
    deployment.run_until(start + 80_000);
    deployment.assert_agreed(others.iter().copied(), 6);
    deployment.assert_served(others.iter().copied());
    // Hosts that replaced lost ones had one connection each, and without the choice owners have two.
    for host in others.iter().copied().filter(|&host| deployment.relay_targets(host).is_empty()) {
        assert!(deployment.share(host) > 2, "host {host} has {} connections", deployment.share(host));
    }
    deployment.run_until(start + 150_000);
    deployment.assert_agreed(0..24, 6);
    deployment.assert_served(0..24);
    assert!((0..6).all(|host| deployment.share(host) == 6));
}

/// Guards against too many connections when a partition separates hosts, and callers of one side move to the other: the
/// sides see different demands for half a minute.
#[rstest]
#[case::strongest(&[0, 1, 2, 3, 4, 5])]
#[case::half(&[0, 1, 2, 6, 7, 8, 12, 13, 14, 18, 19, 20])]
#[case::weak(&[18, 19, 20, 21, 22, 23])]
fn both_sides_of_a_partition_fit_the_leafs(#[case] side: &[usize], #[values(1, 2, 3)] seed: u64) {
    let mut deployment = Deployment::settled(24, 90.0, seed);
    let before = deployment.gathering(0).len();
    assert!(before > 6, "{before} hosts gather");
    let start = deployment.fleet.now;
    deployment.fleet.split = side.iter().copied().collect();
    deployment.run_until(start + 3000);
    for host in 0..24 {
        deployment.set_rate(host, if side.contains(&host) { 3.0 } else { 200.0 });
    }
    deployment.run_until(start + 30_000);
    deployment.assert_served(0..24);
    deployment.fleet.split.clear();
    deployment.run_until(start + 60_000);
    let count = deployment.gathering(0).len();
    deployment.assert_agreed(0..24, count);
    deployment.assert_served(0..24);
}

/// Guards against too many connections or unserved callers while all hosts start at once, or a part of them restarts.
#[rstest]
#[case::all(24)]
#[case::half(12)]
#[case::two(2)]
fn restarted_hosts_agree_again(#[case] count: usize, #[values(1, 2, 3)] seed: u64) {
    let mut deployment = Deployment::settled(24, 1.8, seed);
    let start = deployment.fleet.now;
    for host in 0..count {
        deployment.fleet.restart(host, 800 + host as u64 * 20);
    }
    deployment.run_until(start + 4000);
    deployment.assert_served(0..24);
    deployment.run_until(start + 25_000);
    deployment.assert_agreed(0..24, 6);
    deployment.assert_served(0..24);
    assert!((0..6).all(|host| deployment.share(host) == 6));
}

/// Guards against disagreement because of a host whose messages take so long that others count it as silent at times.
#[rstest]
fn a_slow_host_does_not_break_the_limit(#[values(300, 700, 1500)] delay: u64, #[values(1, 2, 3)] seed: u64) {
    let mut deployment = Deployment::settled(24, 1.8, seed);
    let start = deployment.fleet.now;
    deployment.fleet.delays.insert(0, delay);
    for second in 0..40 {
        deployment.set_rate((second % 24) as usize, if second % 2 == 0 { 200.0 } else { 1.8 });
        deployment.run_until(start + second * 1000);
        deployment.assert_served(1..24);
    }
    deployment.fleet.delays.clear();
    for host in 0..24 {
        deployment.set_rate(host, 1.8);
    }
    deployment.run_until(start + 80_000);
    deployment.assert_agreed(0..24, 6);
}

/// Guards against a burst in one data centre, to three times its demand, that is gathered by as few hosts as before, and
/// against hosts that disagree on how many.
#[rstest]
fn a_burst_in_one_data_centre_adds_hosts(#[values(1, 2, 3)] seed: u64) {
    let mut deployment = Deployment::settled(24, 60.0, seed);
    let before = deployment.gathering(0).len();
    let start = deployment.fleet.now;
    for host in (0..24).step_by(DATA_CENTRES) {
        deployment.set_rate(host, 180.0);
    }
    deployment.run_until(start + 9000);
    let after = deployment.gathering(0).len();
    assert!(after > before, "{after} hosts gather after {before}");
    deployment.assert_agreed(0..24, after);
    deployment.assert_served(0..24);
    let mut noted = deployment.fleet.hosts[7].notes.iter().filter_map(|note| match note {
        note::Note::Gathering(gathering) => Some(gathering.hosts.len()),
        _ => None,
    });
    assert_eq!(noted.next_back(), Some(after));
}

/// Guards against gathering hosts that follow each swing of the demand: by 0.55 of its mean within 17 s, here without
/// the smoothing of the traffic core, so the set of hosts changes as often as it may.
#[rstest]
fn an_oscillating_demand_changes_the_set_seldom(#[values(1, 2)] seed: u64) {
    let mut deployment = Deployment::settled(24, 60.0, seed);
    let start = deployment.fleet.now;
    let before = deployment.changes;
    for second in 0..85 {
        let phase = second as f64 / 17.0 * std::f64::consts::TAU;
        for host in 0..24 {
            deployment.set_rate(host, 60.0 * (1.0 + 0.55 * phase.sin()));
        }
        deployment.run_until(start + second * 1000);
        deployment.assert_served(0..24);
    }
    let changes = (deployment.changes - before) as f64 / 24.0;
    println!("{changes} changes per host in five swings");
    assert!(changes <= 17.0, "{changes} changes per host");
}

/// Guards against too many connections while hosts are upgraded from the previous version one after the other, and while
/// one goes back. As long as a host of that version runs, all hosts decide as it does.
#[rstest]
fn hosts_of_the_previous_version_decide_the_same(#[values(1, 2, 3)] seed: u64) {
    let mut deployment = Deployment::new(24, &gathering_policy(), (0..24).collect(), seed);
    deployment.run_until(12_000);
    let shares: Vec<u32> = (0..24).map(|host| deployment.share(host)).collect();
    for host in 0..24 {
        deployment.fleet.old_hosts.swap_remove(&host);
        deployment.fleet.restart(host, 800);
        deployment.run_until(deployment.fleet.now + 6000);
        if host < 23 {
            assert_eq!((0..24).map(|host| deployment.share(host)).collect::<Vec<u32>>(), shares, "{host} upgraded");
            deployment.assert_served(0..24);
        }
    }
    deployment.run_until(deployment.fleet.now + 10_000);
    deployment.assert_agreed(0..24, 6);
    for host in [23, 2] {
        deployment.fleet.old_hosts.insert(host);
        deployment.fleet.restart(host, 800);
        deployment.run_until(deployment.fleet.now + 15_000);
        assert_eq!((0..24).map(|host| deployment.share(host)).collect::<Vec<u32>>(), shares, "{host} downgraded");
        deployment.assert_served(0..24);
    }
}

/// Guards against a choice that depends on the registry, which may be unreachable for as long as it likes.
#[rstest]
fn the_choice_does_not_need_the_registry(#[values(1, 2)] seed: u64) {
    let mut deployment = Deployment::settled(24, 60.0, seed);
    let (start, before) = (deployment.fleet.now, deployment.gathering(0).len());
    deployment.fleet.store.is_unavailable = true;
    for host in 0..24 {
        deployment.set_rate(host, 180.0);
    }
    deployment.run_until(start + 12_000);
    let after = deployment.gathering(0).len();
    assert!(after > before, "{after} hosts gather after {before}");
    deployment.assert_agreed(0..24, after);
}
