//! Configuration and leafs from a registry: in force everywhere within seconds, never back, and a
//! fleet that helps those of it whom the registry turns away.

mod cold_start;
mod crashing;
mod entries;
mod evacuation;
#[expect(unreachable_pub, reason = "a module of this test alone")]
mod fleet;
mod restored;
mod suspects;

use fleet::Fleet;
use rstest::rstest;
use shallothub_core::{
    clock,
    control::{self, message::State, note},
};
use shallothub_wire::peer;

/// Connections that a server of the test's registry accepts.
const CONNECTIONS: u32 = 56;

fn policy() -> control::Policy {
    control::Policy { watchers: 2, start_wait: clock::Millis::ZERO, ..control::Policy::default() }
}

fn started(hosts: usize, centres: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(hosts, centres, &policy(), seed);
    fleet.publish(1, 20, 2);
    fleet.run_until(8000);
    assert_eq!(fleet.have(1), hosts);
    fleet
}

/// Operators change the configuration; every host follows within the time that they are promised.
#[rstest]
fn a_change_is_everywhere_within_a_second(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = started(hosts, 4, seed);
    fleet.put("config", "2 20");
    fleet.run_until(9000);
    assert_eq!(fleet.have(2), hosts);
}

/// The registry turns a third of the hosts away and serves the rest. Their callers are owed the new
/// configuration all the same: the other hosts tell them.
#[rstest]
fn hosts_that_are_turned_away_are_told_by_the_others(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = started(8, 4, seed);
    fleet.store.refuses.extend([0, 1, 2]);
    fleet.run_until(9000);
    fleet.put("config", "2 20");
    fleet.run_until(12_000);
    assert_eq!(fleet.have(2), 8);
}

/// The same for nearly all hosts, those that watch among them. The only one that the registry serves must
/// notice that nobody else can tell, or a leaf that leaves gets work for as long as that lasts.
#[rstest]
fn one_host_that_is_served_is_enough(
    #[values(8, 12)] hosts: usize,
    #[values(0, 3, 5, 7)] served: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = started(hosts, 4, seed);
    fleet.store.refuses.extend((0..hosts).filter(|&host| host != served));
    fleet.run_until(12_000);
    fleet.put("leaf/3-0", "s3 dc-3 leaving");
    fleet.put("config", "2 20");
    fleet.run_until(14_700);
    assert_eq!(fleet.have(2), hosts);
    assert!((0..hosts).all(|host| !fleet.may_use(host, "3-0")));
}

/// A whole fleet loses its processes while the registry is there; it serves again in a second.
#[rstest]
fn a_fleet_that_died_is_back_in_a_second(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = started(8, 4, seed);
    for host in 0..8 {
        fleet.restart(host, 800 + host as u64 * 10);
    }
    fleet.run_until(10_000);
    assert_eq!(fleet.have(1), 8);
}

/// Connections of all hosts to one server.
fn connections(fleet: &Fleet, hosts: usize) -> u32 {
    let mut sum = 0;
    for view in (0..hosts).filter_map(|host| fleet.view(host)) {
        sum += view.servers.iter().flatten().next().map_or(0, |server| server.share(view.hosts));
    }
    sum
}

/// The same, seen from the servers: they accept so many connections and reset those beyond, and those of
/// machines that lost power count until they are noticed to be idle. Each host that starts knows at first
/// only itself. If it took what all others take too, callers would wait for seconds after the fleet is back.
#[rstest]
fn hosts_that_start_together_share_connections(#[values(8, 28)] hosts: usize, #[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = started(hosts, 4, seed);
    let before = connections(&fleet, hosts);
    fleet.run_until(20_000);
    for host in 0..hosts {
        fleet.restart(host, 800 + (host as u64 * 37) % 400);
    }
    for step in 0..500 {
        fleet.run_until(20_800 + step * 10);
        let sum = connections(&fleet, hosts);
        assert!(sum <= CONNECTIONS / 2, "{sum} connections after {} ms", step * 10);
    }
    fleet.run_until(32_000);
    assert!(connections(&fleet, hosts) >= before, "the hosts stay with few connections");
}

/// A host that is started anew alone is told of the others by them, and has its full share at once.
#[rstest]
fn a_host_that_starts_alone_has_its_share_soon(#[values(8, 28)] hosts: usize, #[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = started(hosts, 4, seed);
    fleet.run_until(20_000);
    let before = connections(&fleet, hosts);
    fleet.restart(5, 500);
    fleet.run_until(21_500);
    assert_eq!(connections(&fleet, hosts), before);
}

/// One host starts anew while the registry is away: it learns from the others what it needs.
#[rstest]
fn a_host_that_starts_without_the_registry_learns_from_others(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = started(8, 4, seed);
    fleet.store.away = true;
    fleet.restart(5, 500);
    fleet.run_until(10_500);
    assert_eq!(fleet.have(1), 8);
    assert!(fleet.may_use(5, "7-1"));
}

/// The registry is away for six seconds; leases of living leafs run out meanwhile. When it is back, the
/// list is empty for a moment, and fills over two seconds. Callers see nothing of it, since the leafs
/// are still there; a leaf that does not come back is gone.
#[rstest]
fn living_leafs_outlast_an_outage_of_the_registry(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = started(hosts, 4, seed);
    fleet.store.away = true;
    fleet.run_until(14_000);
    for shard in 0..20 {
        for replica in 0..2 {
            fleet.remove(&format!("leaf/{shard}-{replica}"));
        }
    }
    fleet.run_until(14_200);
    fleet.store.away = false;
    for step in 0..19 {
        fleet.run_until(14_200 + step * 100);
        let shard = step;
        for replica in 0..2 {
            let centre = (shard + replica) % 4;
            fleet.put(&format!("leaf/{shard}-{replica}"), &format!("s{shard} dc-{centre} ready"));
        }
        let missing: Vec<usize> = (0..hosts).filter(|&host| !fleet.may_use(host, "19-0")).collect();
        assert!(missing.is_empty(), "at {}: {missing:?} dropped a leaf that may come back", fleet.now);
        let gone: Vec<usize> = (0..hosts).filter(|&host| !fleet.may_use(host, "18-1")).collect();
        assert!(gone.is_empty(), "at {}: {gone:?} dropped a leaf that lives", fleet.now);
    }
    fleet.run_until(18_000);
    assert!((0..hosts).all(|host| !fleet.may_use(host, "19-0")), "a leaf that did not come back is used");
    assert!((0..hosts).all(|host| fleet.may_use(host, "18-1")));
}

/// A leaf is taken away on purpose. Some say so, some are just removed; either way no host sends it new
/// work after the time for which it still serves (three seconds).
#[rstest]
fn a_leaf_that_leaves_gets_nothing_in_time(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = started(hosts, 4, seed);
    fleet.put("leaf/3-0", "s3 dc-3 leaving");
    fleet.remove("leaf/4-0");
    fleet.run_until(10_900);
    for host in 0..hosts {
        assert!(!fleet.may_use(host, "3-0"), "host {host} still uses a leaf that leaves");
        assert!(!fleet.may_use(host, "4-0"), "host {host} still uses a leaf that was removed");
    }
}

/// The registry hears no watches for a second and then forgets its history, while changes are made and
/// a leaf leaves in the gap.
#[rstest]
fn a_registry_that_forgets_is_read_anew(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = started(8, 4, seed);
    fleet.store.is_deaf = true;
    fleet.put("config", "2 20");
    fleet.put("leaf/3-0", "s3 dc-3 leaving");
    fleet.run_until(9000);
    fleet.forget_history();
    fleet.run_until(10_500);
    assert_eq!(fleet.have(2), 8);
    assert!((0..8).all(|host| !fleet.may_use(host, "3-0")));
}

/// One entry is garbage. It concerns one leaf, and must not keep news of the others from anyone.
#[test]
fn a_broken_entry_hides_only_itself() {
    let mut fleet = started(8, 4, 1);
    fleet.put("leaf/5-0", "");
    fleet.put("config", "2 20");
    fleet.run_until(9000);
    assert_eq!(fleet.have(2), 8);
    assert!((0..8).all(|host| !fleet.may_use(host, "5-0") && fleet.may_use(host, "5-1")));
}

fn states(fleet: &Fleet, host: usize, state: State) -> usize {
    fleet.hosts[host].core.members().filter(|(_, other)| *other == state).count()
}

/// Hosts that start together know each other soon, from three seeds.
#[rstest]
fn hosts_find_each_other(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = Fleet::new(hosts, 4, &policy(), seed);
    fleet.publish(1, 20, 2);
    fleet.run_until(8000);
    for host in 0..hosts {
        assert_eq!(states(&fleet, host, State::Alive), hosts - 1, "host {host}");
    }
}

/// A host that hears nothing of another for a while must not take it for dead: in a large fleet that is
/// the usual case, and requests are passed on only to hosts that live.
#[rstest]
fn nobody_is_taken_for_silent_in_calm(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = started(hosts, 4, seed);
    for second in 8..60 {
        fleet.run_until(second * 1000);
        for host in 0..hosts {
            assert_eq!(states(&fleet, host, State::Silent), 0, "host {host} at {second} s");
        }
    }
}

/// A host is cut off from all others: within seconds it gets no more work from any. When the cut heals
/// it is a member again as soon.
#[rstest]
fn a_host_that_is_cut_off_is_silent_until_it_is_back(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = started(hosts, 4, seed);
    fleet.hosts[5].is_cut = true;
    fleet.run_until(15_000);
    let knowing = (0..hosts).filter(|&host| host != 5 && states(&fleet, host, State::Silent) == 1).count();
    assert_eq!(knowing, hosts - 1);
    fleet.hosts[5].is_cut = false;
    fleet.run_until(25_000);
    for host in 0..hosts {
        assert_eq!(states(&fleet, host, State::Silent), 0, "host {host}");
    }
}

/// A host is cut off from everything for twelve seconds. Calls and connections from that time stay stuck
/// for seconds after the cut heals, and the host would go on sending work to a leaf that left meanwhile.
#[rstest]
fn a_host_that_was_cut_off_is_up_to_date_soon(#[values(8, 67)] hosts: usize, #[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = started(hosts, 4, seed);
    fleet.hosts[3].is_cut = true;
    fleet.run_until(20_000);
    fleet.hosts[3].is_cut = false;
    fleet.put("config", "2 20");
    fleet.put("leaf/3-0", "s3 dc-3 leaving");
    fleet.run_until(23_000);
    assert!(!fleet.may_use(3, "3-0"), "still uses a leaf that leaves");
    assert_eq!(fleet.have(2), hosts);
}

/// The same with a shorter cut. Connections on which the host had sent during the cut stayed stuck, among them
/// those on which it answers: others took it for silent again and again for ten seconds, and passed it over.
#[rstest]
fn a_host_that_was_cut_off_is_a_member_again_soon(
    #[values(8, 67)] hosts: usize,
    #[values(3, 7)] cut_s: u64,
    #[values(1, 2, 3, 4, 5, 6, 15, 30, 36, 38)] seed: u64,
) {
    let mut fleet = started(hosts, 4, seed);
    fleet.hosts[5].is_cut = true;
    let healed = 8000 + cut_s * 1000;
    fleet.run_until(healed);
    fleet.hosts[5].is_cut = false;
    fleet.run_until(healed + 4500);
    for step in 0..60 {
        fleet.run_until(healed + 4500 + step * 100);
        for host in 0..hosts {
            assert_eq!(states(&fleet, host, State::Silent), 0, "host {host} at {} ms", fleet.now - healed);
        }
    }
}

/// Whoever reads the log after a cut finds that the others lost the host, and that they have it again.
#[test]
fn a_lost_host_and_its_return_are_told() {
    let mut fleet = started(8, 4, 1);
    fleet.hosts[5].is_cut = true;
    fleet.run_until(14_000);
    fleet.hosts[5].is_cut = false;
    fleet.run_until(22_000);
    let told = |wanted: fn(&note::Note) -> bool| fleet.hosts.iter().any(|host| host.notes.iter().any(wanted));
    assert!(told(|note| matches!(note, note::Note::Silent { names } if names.contains(&"host-5".into()))));
    assert!(told(|note| matches!(note, note::Note::Replied { peer } if *peer == fleet::peer(5))));
    assert!(fleet.hosts[5].notes.iter().any(|note| matches!(note, note::Note::PartitionHealed { .. })));
}

/// Three hundred hosts start at once. Each digest names others, and small hosts spent their first seconds on
/// compiling a view for each; callers were served only after five.
#[rstest]
fn many_hosts_that_start_compile_few_views(#[values(1, 2)] seed: u64) {
    let mut fleet = Fleet::new(300, 4, &policy(), seed);
    fleet.publish(1, 90, 3);
    fleet.run_until(2500);
    let most = fleet.hosts.iter().map(|host| host.views.len()).max();
    let mean = fleet.hosts.iter().map(|host| host.views.len()).sum::<usize>() / 300;
    assert!(mean <= 14, "{mean} views a host, {most:?} at most");
    assert!(fleet.hosts.iter().all(|host| !host.views.is_empty()));
}

/// A host dies for good, as thousands do in a year. It counts for shares of connections for a minute, in case it
/// is only cut off, and must be forgotten then: hosts that forget it a moment later than others must not
/// remind them of it, or it is a member for ever and shares shrink with each one that dies.
#[rstest]
fn a_dead_host_is_forgotten_for_good(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = started(hosts, 4, seed);
    fleet.hosts[5].is_cut = true;
    fleet.run_until(100_000);
    for second in 100..160 {
        fleet.run_until(second * 1000);
        for host in (0..hosts).filter(|&host| host != 5) {
            let members = fleet.hosts[host].core.members().count();
            assert_eq!(members, hosts - 2, "host {host} at {second} s");
        }
    }
}

/// A host is asked to stop: the others pass nothing more on to it after a second.
#[rstest]
fn a_host_that_leaves_is_known_to_leave(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = started(hosts, 4, seed);
    fleet.leave(5);
    fleet.run_until(9500);
    let knowing = (0..hosts).filter(|&host| host != 5 && states(&fleet, host, State::Leaving) == 1).count();
    assert!(knowing >= (hosts - 1) * 9 / 10, "{knowing} of {hosts}");
}

/// An index is cut anew: 405 leafs start within seconds, report their warm-up step by step, and the old
/// 270 leave. Links of small hosts are thin and bytes between data centres dear, so the news must reach
/// everyone in time without every host asking for all of it again.
#[test]
fn a_busy_registry_costs_few_bytes() {
    let mut fleet = Fleet::new(67, 4, &policy(), 1)
        .measured(|message, packs| peer::encode(message, packs).map_or(0, |bytes| bytes.len()));
    fleet.publish(1, 90, 3);
    fleet.run_until(8000);
    let before: u64 = fleet.hosts.iter().map(|host| host.sent_bytes).sum();
    for step in 0..4_u64 {
        for leaf in 0..405_u64 {
            fleet.run_until(8000 + step * 1200 + leaf * 2);
            fleet.put(&format!("leaf/new-{leaf}"), &format!("n{} dc-{} ready {step}", leaf / 3, leaf % 4));
        }
    }
    for leaf in 0..270 {
        fleet.run_until(13_000 + leaf * 4);
        fleet.put(&format!("leaf/{}-{}", leaf / 3, leaf % 3), &format!("s{} dc-0 leaving", leaf / 3));
    }
    fleet.run_until(18_000);
    assert!((0..67).all(|host| fleet.may_use(host, "new-404") && !fleet.may_use(host, "89-2")));
    let sent: u64 = fleet.hosts.iter().map(|host| host.sent_bytes).sum();
    let rate = (sent - before) / 67 / 10;
    println!("{rate} bytes a second a host");
    assert!(rate < 19_000, "{rate} bytes a second a host");
}

/// Views of one host never go back, whatever the registry, its answers and other hosts say.
#[rstest]
fn views_never_go_back(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut fleet = started(8, 4, seed);
    for change in 2..30 {
        fleet.put("config", &format!("{change} 20"));
        match change % 6 {
            0 => fleet.store.refuses = (0..8).filter(|host| (host + change as usize).is_multiple_of(3)).collect(),
            1 => fleet.store.away = true,
            2 => fleet.store.away = false,
            3 => fleet.forget_history(),
            4 => fleet.store.refuses.clear(),
            _ => fleet.restart(change as usize % 8, 200),
        }
        fleet.run_until(8000 + change * 150);
    }
    for host in &fleet.hosts {
        let numbers: Vec<u64> = host.views.iter().map(|view| view.number).collect();
        assert!(numbers.is_sorted(), "{numbers:?}");
    }
    fleet.store.away = false;
    fleet.store.refuses.clear();
    fleet.run_until(18_000);
    assert_eq!(fleet.have(29), 8);
}

/// The registry takes calls and answers none for two seconds, and its restart loses those that waited. A
/// change had just sent all watching hosts to it at the same moment, so each waited in vain, for as long as
/// a watch may last, and callers met a configuration that was replaced seconds ago.
#[rstest]
fn a_registry_that_lost_all_calls_is_asked_again_soon(
    #[values(6, 8, 67)] hosts: usize,
    #[values(300, 2300, 5000)] mute_for: u64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut fleet = started(hosts, 4, seed);
    fleet.put("leaf/3-0", "s3 dc-3 leaving");
    fleet.run_until(8150);
    fleet.set_mute(true);
    fleet.run_until(8150 + mute_for);
    fleet.set_mute(false);
    fleet.put("config", "2 20");
    fleet.run_until(8150 + mute_for + 4000);
    assert_eq!(fleet.have(2), hosts);
}

/// Half of the machines lose power, among them the two of a data centre that watch the registry. The third
/// one went on sending work to a leaf that said right then that it leaves, until it had noticed that nobody
/// tells it anything any more.
#[rstest]
fn a_host_whose_watchers_died_is_up_to_date_in_time(
    #[values(9, 40)] hosts: usize,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let mut fleet = started(hosts, 4, seed);
    let watchers: Vec<usize> = (0..hosts).filter(|&host| fleet.hosts[host].core.is_watcher()).collect();
    for host in 0..hosts {
        let is_home = host % 4 == 0;
        let dies = if is_home { watchers.contains(&host) } else { host % 2 == 1 };
        if dies {
            fleet.restart(host, 4000);
        }
    }
    fleet.run_until(8200);
    fleet.put("leaf/3-0", "s3 dc-3 leaving");
    fleet.put("config", "2 20");
    fleet.run_until(8200 + 2700);
    for host in 0..hosts {
        assert!(!fleet.may_use(host, "3-0"), "host {host} still uses a leaf that leaves");
    }
}

/// Right after a change, on which all that wait for one ask again, the registry falls silent for five
/// seconds: it takes calls and answers none of them, not even later.
/// Meanwhile some hosts are cut off from everything for longer, whichever they are, and a change is made just
/// after the registry is back. Callers of the other hosts met the configuration before it for up to seven
/// seconds: those that ask with short waits were among the cut, and the calls of the rest were lost with
/// waits of ten seconds.
#[rstest]
fn a_silent_registry_and_cut_hosts_do_not_keep_a_change_away(
    #[values(6, 8, 9, 24)] hosts: usize,
    #[values(1, 2)] share_of_three: usize,
    #[values(-300, 400, 1400, 2700, 4900)] cut_after: i64,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    const SILENT: u64 = 9000;
    const BACK: u64 = SILENT + 5100;
    let mut fleet = started(hosts, 3, seed);
    let cut_at = SILENT.saturating_add_signed(cut_after);
    fleet.run_until(SILENT - 400);
    fleet.put("leaf/7-0", "s7 dc-1 leaving");
    let mut left = fleet.draw(hosts);
    let cut = left.split_off(hosts - hosts * share_of_three / 3);
    for at in [cut_at.min(SILENT), cut_at.max(SILENT)] {
        fleet.run_until(at);
        if at == SILENT {
            fleet.set_mute(true);
        }
        if at == cut_at {
            cut.iter().for_each(|&host| fleet.hosts[host].is_cut = true);
        }
    }
    fleet.run_until(BACK);
    fleet.set_mute(false);
    fleet.run_until(BACK + 900);
    fleet.put("config", "2 20");
    fleet.put("leaf/3-0", "s3 dc-0 leaving");
    fleet.run_until(BACK + 900 + 2900);
    for host in left {
        assert!(!fleet.may_use(host, "3-0"), "host {host} still uses a leaf that leaves");
        assert_eq!(fleet.view(host).map(|view| view.number), Some(2), "host {host} has the configuration before");
    }
}

/// A leaf says that it leaves, dies, and starts again under its id: the mark of the life before must not keep
/// work from this one. And when this one leaves, what the life before wrote, and the registry got late, must not
/// bring it back.
#[rstest]
fn a_mark_holds_for_one_life_of_a_leaf(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = started(hosts, 4, seed);
    let all = |fleet: &Fleet, may: bool| (0..hosts).all(|host| fleet.may_use(host, "3-0") == may);
    fleet.put("leaf/3-0", "s3 dc-3 ready born=100");
    fleet.put("leaf/3-0", "s3 dc-3 leaving born=100");
    fleet.run_until(11_000);
    assert!(all(&fleet, false), "a leaf that leaves is used");
    fleet.put("leaf/3-0", "s3 dc-3 ready born=200");
    fleet.run_until(14_000);
    assert!(all(&fleet, true), "the mark of the life before binds this one");
    fleet.put("leaf/3-0", "s3 dc-3 leaving born=100");
    fleet.run_until(17_000);
    assert!(all(&fleet, true), "a late word of the life before binds this one");
    fleet.put("leaf/3-0", "s3 dc-3 leaving born=200");
    fleet.run_until(20_000);
    assert!(all(&fleet, false), "a leaf that leaves is used");
    fleet.put("leaf/3-0", "s3 dc-3 ready born=100");
    fleet.run_until(23_000);
    assert!(all(&fleet, false), "a late word of the life before brings it back");
}
