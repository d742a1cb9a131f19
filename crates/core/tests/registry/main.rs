//! Configuration and leafs from a registry: changes are in force on all hosts within seconds, no host goes back to an
//! older configuration, and hosts that the registry refuses get changes from other hosts.

mod cold_start;
mod crashing;
mod entries;
mod evacuation;
mod evidence;
#[expect(unreachable_pub, reason = "a module of this test alone")]
mod fleet;
mod gatherers;
mod restored;
mod suspects;
mod urgency;

use fleet::Fleet;
use rstest::rstest;
use shallothub_core::{
    clock,
    control::{self, message::State, note},
};
use shallothub_wire::peer;

/// Connections that a server accepts, as in the configuration of `fleet`.
const CONNECTIONS: u32 = 56;

fn policy() -> control::Policy {
    control::Policy { watchers: 2, start_wait: clock::Millis::ZERO, ..control::Policy::default() }
}

fn start_fleet(hosts: usize, data_centres: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(hosts, data_centres, &policy(), seed);
    fleet.publish(1, 20, 2);
    fleet.run_until(8000);
    assert_eq!(fleet.hosts_with_config(1), hosts);
    fleet
}

/// Guards against a configuration change that is not in force on all hosts within a second.
#[rstest]
fn a_change_is_in_force_on_all_hosts_within_a_second(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    fleet.put("config", "2 20");
    fleet.run_until(9000);
    assert_eq!(fleet.hosts_with_config(2), hosts);
}

/// Guards against hosts that miss a change because the registry refuses them, three of eight here, while it serves the
/// others.
#[rstest]
fn hosts_refused_by_the_registry_get_changes_from_others(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = start_fleet(8, 4, seed);
    fleet.store.refused_hosts.extend([0, 1, 2]);
    fleet.run_until(9000);
    fleet.put("config", "2 20");
    fleet.run_until(12_000);
    assert_eq!(fleet.hosts_with_config(2), 8);
}

/// Guards against a change that spreads no further when the registry serves only one host and refuses the rest, the
/// watchers among them: leaving leafs would get work until the others are served again.
#[rstest]
fn one_host_served_by_the_registry_updates_all_others(
    #[values(8, 12)] hosts: usize,
    #[values(0, 3, 5, 7)] served: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = start_fleet(hosts, 4, seed);
    fleet.store.refused_hosts.extend((0..hosts).filter(|&host| host != served));
    fleet.run_until(12_000);
    fleet.put("leaf/3-0", "s3 dc-3 leaving");
    fleet.put("config", "2 20");
    fleet.run_until(14_700);
    assert_eq!(fleet.hosts_with_config(2), hosts);
    assert!((0..hosts).all(|host| !fleet.may_use(host, "3-0")));
}

/// Guards against a slow recovery when all processes of the fleet restart while the registry is available.
#[rstest]
fn a_restarted_fleet_recovers_within_a_second(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = start_fleet(8, 4, seed);
    for host in 0..8 {
        fleet.restart(host, 800 + host as u64 * 10);
    }
    fleet.run_until(10_000);
    assert_eq!(fleet.hosts_with_config(1), 8);
}

/// Connections of all hosts to one server.
fn connections(fleet: &Fleet, hosts: usize) -> u32 {
    let mut sum = 0;
    for view in (0..hosts).filter_map(|host| fleet.view(host)) {
        sum += view.servers.iter().flatten().next().map_or(0, |server| server.share(view.hosts));
    }
    sum
}

/// Guards against too many connections when all hosts start together, each knowing only itself at first. Servers reset
/// connections beyond their limit, and those of machines that lost power count until they are closed as idle, so
/// callers would wait for seconds after the fleet is back.
#[rstest]
fn hosts_that_start_together_share_connections(#[values(8, 28)] hosts: usize, #[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
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
    assert!(connections(&fleet, hosts) >= before, "the hosts do not regain their share of connections");
}

/// Guards against a restarted host that keeps less than its full share of connections although the others are known to
/// it at once.
#[rstest]
fn a_restarted_host_regains_its_share_of_connections(#[values(8, 28)] hosts: usize, #[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    fleet.run_until(20_000);
    let before = connections(&fleet, hosts);
    fleet.restart(5, 500);
    fleet.run_until(21_500);
    assert_eq!(connections(&fleet, hosts), before);
}

/// Guards against a host that has no view after a restart while the registry is unavailable: it fetches the catalogs
/// from other hosts.
#[rstest]
fn a_host_that_starts_without_the_registry_gets_catalogs_from_others(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = start_fleet(8, 4, seed);
    fleet.store.is_unavailable = true;
    fleet.restart(5, 500);
    fleet.run_until(10_500);
    assert_eq!(fleet.hosts_with_config(1), 8);
    assert!(fleet.may_use(5, "7-1"));
}

/// Guards against dropping live leafs after a registry outage of six seconds in which their leases expired. Afterwards
/// the list is empty at first and fills within two seconds. A leaf that does not register again is dropped.
#[rstest]
fn live_leafs_outlast_a_registry_outage(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    fleet.store.is_unavailable = true;
    fleet.run_until(14_000);
    for shard in 0..20 {
        for replica in 0..2 {
            fleet.remove(&format!("leaf/{shard}-{replica}"));
        }
    }
    fleet.run_until(14_200);
    fleet.store.is_unavailable = false;
    for step in 0..19 {
        fleet.run_until(14_200 + step * 100);
        let shard = step;
        for replica in 0..2 {
            let data_centre = (shard + replica) % 4;
            fleet.put(&format!("leaf/{shard}-{replica}"), &format!("s{shard} dc-{data_centre} ready"));
        }
        let missing: Vec<usize> = (0..hosts).filter(|&host| !fleet.may_use(host, "19-0")).collect();
        assert!(missing.is_empty(), "at {}: {missing:?} dropped a leaf that may register again", fleet.now);
        let dropped: Vec<usize> = (0..hosts).filter(|&host| !fleet.may_use(host, "18-1")).collect();
        assert!(dropped.is_empty(), "at {}: {dropped:?} dropped a live leaf", fleet.now);
    }
    fleet.run_until(18_000);
    assert!((0..hosts).all(|host| !fleet.may_use(host, "19-0")), "a leaf that did not register again is used");
    assert!((0..hosts).all(|host| fleet.may_use(host, "18-1")));
}

/// Guards against work for a leaf that is marked as leaving, or whose entry is removed, later than the three seconds
/// for which it still serves.
#[rstest]
fn a_leaving_leaf_gets_no_work_after_the_time_limit(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    fleet.put("leaf/3-0", "s3 dc-3 leaving");
    fleet.remove("leaf/4-0");
    fleet.run_until(10_900);
    for host in 0..hosts {
        assert!(!fleet.may_use(host, "3-0"), "host {host} still uses a leaving leaf");
        assert!(!fleet.may_use(host, "4-0"), "host {host} still uses a leaf that was removed");
    }
}

/// Guards against changes that are missed when the registry notifies no watch for a second and then discards its
/// history.
#[rstest]
fn a_registry_without_history_is_read_in_full(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = start_fleet(8, 4, seed);
    fleet.store.has_stalled_watches = true;
    fleet.put("config", "2 20");
    fleet.put("leaf/3-0", "s3 dc-3 leaving");
    fleet.run_until(9000);
    fleet.compact_history();
    fleet.run_until(10_500);
    assert_eq!(fleet.hosts_with_config(2), 8);
    assert!((0..8).all(|host| !fleet.may_use(host, "3-0")));
}

/// Guards against an unreadable entry that hides more than its own leaf or holds up other changes.
#[test]
fn an_unreadable_entry_affects_only_its_own_leaf() {
    let mut fleet = start_fleet(8, 4, 1);
    fleet.put("leaf/5-0", "");
    fleet.put("config", "2 20");
    fleet.run_until(9000);
    assert_eq!(fleet.hosts_with_config(2), 8);
    assert!((0..8).all(|host| !fleet.may_use(host, "5-0") && fleet.may_use(host, "5-1")));
}

fn count_members(fleet: &Fleet, host: usize, state: State) -> usize {
    fleet.hosts[host].core.members().filter(|(_, other)| *other == state).count()
}

/// Guards against incomplete membership after a start of all hosts from three seeds.
#[rstest]
fn all_hosts_become_members_of_each_other(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = Fleet::new(hosts, 4, &policy(), seed);
    fleet.publish(1, 20, 2);
    fleet.run_until(8000);
    for host in 0..hosts {
        assert_eq!(count_members(&fleet, host, State::Alive), hosts - 1, "host {host}");
    }
}

/// Guards against marking a host as silent because it was not heard from for a while, which is usual in a large fleet.
/// Requests are forwarded only to live hosts.
#[rstest]
fn no_host_is_silent_without_failures(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    for second in 8..60 {
        fleet.run_until(second * 1000);
        for host in 0..hosts {
            assert_eq!(count_members(&fleet, host, State::Silent), 0, "host {host} at {second} s");
        }
    }
}

/// Guards against forwarding work to a partitioned host for more than a few seconds, and against a host that is still
/// silent well after the partition heals.
#[rstest]
fn a_partitioned_host_is_silent_until_it_is_back(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    fleet.hosts[5].is_partitioned = true;
    fleet.run_until(15_000);
    let informed = (0..hosts).filter(|&host| host != 5 && count_members(&fleet, host, State::Silent) == 1).count();
    assert_eq!(informed, hosts - 1);
    fleet.hosts[5].is_partitioned = false;
    fleet.run_until(25_000);
    for host in 0..hosts {
        assert_eq!(count_members(&fleet, host, State::Silent), 0, "host {host}");
    }
}

/// Guards against a host that uses a leaving leaf for seconds after a twelve-second partition heals, because its calls
/// and connections from that time are still stalled.
#[rstest]
fn a_host_is_up_to_date_soon_after_a_partition(#[values(8, 67)] hosts: usize, #[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    fleet.hosts[3].is_partitioned = true;
    fleet.run_until(20_000);
    fleet.hosts[3].is_partitioned = false;
    fleet.put("config", "2 20");
    fleet.put("leaf/3-0", "s3 dc-3 leaving");
    fleet.run_until(23_000);
    assert!(!fleet.may_use(3, "3-0"), "still uses a leaving leaf");
    assert_eq!(fleet.hosts_with_config(2), hosts);
}

/// Guards against a host that others mark as silent repeatedly for ten seconds after a shorter partition. Connections
/// on which it sent during the partition stayed stalled, among them those for its replies.
#[rstest]
fn a_host_is_a_member_again_soon_after_a_partition(
    #[values(8, 67)] hosts: usize,
    #[values(3, 7)] partition_s: u64,
    #[values(1, 2, 3, 4, 5, 6, 15, 30, 36, 38)] seed: u64,
) {
    let mut fleet = start_fleet(hosts, 4, seed);
    fleet.hosts[5].is_partitioned = true;
    let healed_at = 8000 + partition_s * 1000;
    fleet.run_until(healed_at);
    fleet.hosts[5].is_partitioned = false;
    fleet.run_until(healed_at + 4500);
    for step in 0..60 {
        fleet.run_until(healed_at + 4500 + step * 100);
        for host in 0..hosts {
            assert_eq!(count_members(&fleet, host, State::Silent), 0, "host {host} at {} ms", fleet.now - healed_at);
        }
    }
}

/// Guards against a log without an entry for the loss of a host or for its return.
#[test]
fn a_lost_host_and_its_return_are_logged() {
    let mut fleet = start_fleet(8, 4, 1);
    fleet.hosts[5].is_partitioned = true;
    fleet.run_until(14_000);
    fleet.hosts[5].is_partitioned = false;
    fleet.run_until(22_000);
    let is_logged = |wanted: fn(&note::Note) -> bool| fleet.hosts.iter().any(|host| host.notes.iter().any(wanted));
    assert!(is_logged(|note| matches!(note, note::Note::Silent { names } if names.contains(&"host-5".into()))));
    assert!(is_logged(|note| matches!(note, note::Note::Replied { peer } if *peer == fleet::peer(5))));
    assert!(fleet.hosts[5].notes.iter().any(|note| matches!(note, note::Note::PartitionHealed { .. })));
}

/// Guards against compiling a view for each digest that names new hosts when 300 hosts start at once. Small hosts were
/// busy compiling and served callers only after five seconds.
#[rstest]
fn many_starting_hosts_compile_few_views(#[values(1, 2)] seed: u64) {
    let mut fleet = Fleet::new(300, 4, &policy(), seed);
    fleet.publish(1, 90, 3);
    fleet.run_until(2500);
    let max_views = fleet.hosts.iter().map(|host| host.views.len()).max();
    let mean_views = fleet.hosts.iter().map(|host| host.views.len()).sum::<usize>() / 300;
    assert!(mean_views <= 14, "{mean_views} views per host, at most {max_views:?}");
    assert!(fleet.hosts.iter().all(|host| !host.views.is_empty()));
}

/// Guards against a dead host that stays a member for ever because hosts that forget it later than others announce it
/// again; the shares of connections would shrink with each dead host. It counts for shares for a minute in case it is
/// only partitioned. Thousands of hosts die in a year.
#[rstest]
fn a_dead_host_does_not_become_a_member_again(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    fleet.hosts[5].is_partitioned = true;
    fleet.run_until(100_000);
    for second in 100..160 {
        fleet.run_until(second * 1000);
        for host in (0..hosts).filter(|&host| host != 5) {
            let members = fleet.hosts[host].core.members().count();
            assert_eq!(members, hosts - 2, "host {host} at {second} s");
        }
    }
}

/// Guards against forwarding requests to a host more than a second after it began to shut down.
#[rstest]
fn a_leaving_host_is_announced_as_leaving(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    fleet.leave(5);
    fleet.run_until(9500);
    let informed = (0..hosts).filter(|&host| host != 5 && count_members(&fleet, host, State::Leaving) == 1).count();
    assert!(informed >= (hosts - 1) * 9 / 10, "{informed} of {hosts}");
}

/// Guards against excessive traffic between hosts while an index is resharded: 405 leafs start within seconds and
/// report their warm-up in steps, and the previous 270 leave. Small hosts have little bandwidth and traffic between
/// data centres is expensive, so hosts must not each fetch all of the list again.
#[test]
fn many_registry_changes_cause_little_traffic() {
    let mut fleet = Fleet::new(67, 4, &policy(), 1)
        .with_message_size(|message, packs| peer::encode(message, packs).map_or(0, |bytes| bytes.len()));
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
    println!("{rate} bytes per second per host");
    assert!(rate < 19_000, "{rate} bytes per second per host");
}

/// Guards against a view that goes back to an older configuration, whatever the registry, its answers and other hosts
/// send.
#[rstest]
fn views_never_go_back(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut fleet = start_fleet(8, 4, seed);
    for number in 2..30 {
        fleet.put("config", &format!("{number} 20"));
        match number % 6 {
            0 => fleet.store.refused_hosts = (0..8).filter(|host| (host + number as usize).is_multiple_of(3)).collect(),
            1 => fleet.store.is_unavailable = true,
            2 => fleet.store.is_unavailable = false,
            3 => fleet.compact_history(),
            4 => fleet.store.refused_hosts.clear(),
            _ => fleet.restart(number as usize % 8, 200),
        }
        fleet.run_until(8000 + number * 150);
    }
    for host in &fleet.hosts {
        let numbers: Vec<u64> = host.views.iter().map(|view| view.number).collect();
        assert!(numbers.is_sorted(), "{numbers:?}");
    }
    fleet.store.is_unavailable = false;
    fleet.store.refused_hosts.clear();
    fleet.run_until(18_000);
    assert_eq!(fleet.hosts_with_config(29), 8);
}

/// Guards against an outdated configuration after the registry accepts calls, answers none of them for two seconds and
/// loses them in a restart. A change had just made all watchers call it at the same moment, so each waited for the
/// longest time that a watch may last.
#[rstest]
fn calls_lost_by_the_registry_are_repeated_soon(
    #[values(6, 8, 67)] hosts: usize,
    #[values(300, 2300, 5000)] unresponsive_ms: u64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut fleet = start_fleet(hosts, 4, seed);
    fleet.put("leaf/3-0", "s3 dc-3 leaving");
    fleet.run_until(8150);
    fleet.set_unresponsive(true);
    fleet.run_until(8150 + unresponsive_ms);
    fleet.set_unresponsive(false);
    fleet.put("config", "2 20");
    fleet.run_until(8150 + unresponsive_ms + 4000);
    assert_eq!(fleet.hosts_with_config(2), hosts);
}

/// Guards against work for a leaving leaf after half of the machines lose power, among them both watchers of a data
/// centre. The third host used the leaf until it noticed that it received no updates.
#[rstest]
fn a_host_is_up_to_date_after_its_watchers_die(#[values(9, 40)] hosts: usize, #[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    let watchers: Vec<usize> = (0..hosts).filter(|&host| fleet.hosts[host].core.is_watcher()).collect();
    for host in 0..hosts {
        let is_in_first_data_centre = host % 4 == 0;
        let is_killed = if is_in_first_data_centre { watchers.contains(&host) } else { host % 2 == 1 };
        if is_killed {
            fleet.restart(host, 4000);
        }
    }
    fleet.run_until(8200);
    fleet.put("leaf/3-0", "s3 dc-3 leaving");
    fleet.put("config", "2 20");
    fleet.run_until(8200 + 2700);
    for host in 0..hosts {
        assert!(!fleet.may_use(host, "3-0"), "host {host} still uses a leaving leaf");
    }
}

/// Guards against an outdated configuration for up to seven seconds when the registry accepts calls for five seconds
/// and never answers them, right after a change on which all watchers call again. Meanwhile some hosts are partitioned
/// for longer, and a change is made just after the registry is back. The hosts with short waits were among the
/// partitioned, and the calls of the rest were lost with waits of ten seconds.
#[rstest]
fn an_unresponsive_registry_and_partitioned_hosts_do_not_delay_a_change(
    #[values(6, 8, 9, 24)] hosts: usize,
    #[values(1, 2)] partitioned_thirds: usize,
    #[values(-300, 400, 1400, 2700, 4900)] partition_after: i64,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    const UNRESPONSIVE_AT: u64 = 9000;
    const RECOVERED_AT: u64 = UNRESPONSIVE_AT + 5100;
    let mut fleet = start_fleet(hosts, 3, seed);
    let partition_at = UNRESPONSIVE_AT.saturating_add_signed(partition_after);
    fleet.run_until(UNRESPONSIVE_AT - 400);
    fleet.put("leaf/7-0", "s7 dc-1 leaving");
    let mut connected = fleet.shuffled_hosts(hosts);
    let partitioned = connected.split_off(hosts - hosts * partitioned_thirds / 3);
    for at in [partition_at.min(UNRESPONSIVE_AT), partition_at.max(UNRESPONSIVE_AT)] {
        fleet.run_until(at);
        if at == UNRESPONSIVE_AT {
            fleet.set_unresponsive(true);
        }
        if at == partition_at {
            partitioned.iter().for_each(|&host| fleet.hosts[host].is_partitioned = true);
        }
    }
    fleet.run_until(RECOVERED_AT);
    fleet.set_unresponsive(false);
    fleet.run_until(RECOVERED_AT + 900);
    fleet.put("config", "2 20");
    fleet.put("leaf/3-0", "s3 dc-0 leaving");
    fleet.run_until(RECOVERED_AT + 900 + 2900);
    for host in connected {
        assert!(!fleet.may_use(host, "3-0"), "host {host} still uses a leaving leaf");
        assert_eq!(fleet.view(host).map(|view| view.number), Some(2), "host {host} has the previous configuration");
    }
}

/// Guards against applying the leaving mark of an earlier incarnation of a leaf to a restarted one, and against a late
/// write of the earlier incarnation that makes a leaving leaf usable again.
#[rstest]
fn a_leaving_mark_applies_to_one_incarnation_of_a_leaf(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    let all = |fleet: &Fleet, expected: bool| (0..hosts).all(|host| fleet.may_use(host, "3-0") == expected);
    fleet.put("leaf/3-0", "s3 dc-3 ready born=100");
    fleet.put("leaf/3-0", "s3 dc-3 leaving born=100");
    fleet.run_until(11_000);
    assert!(all(&fleet, false), "a leaving leaf is used");
    fleet.put("leaf/3-0", "s3 dc-3 ready born=200");
    fleet.run_until(14_000);
    assert!(all(&fleet, true), "the mark of the previous incarnation is applied to the restarted leaf");
    fleet.put("leaf/3-0", "s3 dc-3 leaving born=100");
    fleet.run_until(17_000);
    assert!(all(&fleet, true), "a late write of the previous incarnation is applied to the restarted leaf");
    fleet.put("leaf/3-0", "s3 dc-3 leaving born=200");
    fleet.run_until(20_000);
    assert!(all(&fleet, false), "a leaving leaf is used");
    fleet.put("leaf/3-0", "s3 dc-3 ready born=100");
    fleet.run_until(23_000);
    assert!(all(&fleet, false), "a late write of the previous incarnation makes a leaving leaf usable");
}
