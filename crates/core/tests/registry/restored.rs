//! A registry that is restored from a backup: later writes are lost, and their revisions are reused.

use rand::{Rng, SeedableRng, rngs};
use rstest::rstest;

use super::{
    entries::server_names,
    fleet::{Backup, Fleet},
    start_fleet,
};

/// Longest time until a change is in force on all hosts, in ms.
const IN_FORCE_LIMIT: u64 = 3000;
/// Length of the outage before a restore, in ms.
const OUTAGE: u64 = 1500;

/// Takes the registry down for [`OUTAGE`] and restores it from `backup`.
fn restore(fleet: &mut Fleet, backup: &Backup) {
    fleet.store.is_unavailable = true;
    fleet.fail_watches();
    fleet.run_until(fleet.now + OUTAGE);
    fleet.restore(backup);
    fleet.store.is_unavailable = false;
}

/// The number of the configuration in the view of each host; 0 without a view.
fn config_numbers(fleet: &Fleet) -> Vec<u64> {
    (0..fleet.hosts.len()).map(|host| fleet.view(host).map_or(0, |view| view.number)).collect()
}

/// Runs until `until` and checks that no host goes back to an older configuration.
fn run_until(fleet: &mut Fleet, until: u64) {
    let mut before = config_numbers(fleet);
    while fleet.now < until {
        fleet.run_until((fleet.now + 20).min(until));
        let now = config_numbers(fleet);
        for (host, (before, now)) in before.iter().zip(&now).enumerate() {
            assert!(now >= before, "host {host} went back from {before} to {now} at {} ms", fleet.now);
        }
        before = now;
    }
}

/// Guards against changes that are missed after a restore because the registry's revision is lower than the known one,
/// or has passed it since.
#[rstest]
fn a_change_after_a_restore_is_in_force_in_time(
    #[values(8, 67)] hosts: usize,
    #[values(0, 1, 30)] written_since: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = start_fleet(hosts, 4, seed);
    let backup = fleet.backup();
    fleet.put("config", "2 20");
    fleet.run_until(fleet.now + 2000);
    for leaf in 0..10 {
        fleet.put(&format!("leaf/{leaf}-0"), &format!("s{leaf} dc-{} ready beat", leaf % 4));
    }
    fleet.run_until(fleet.now + 1000);
    assert_eq!(fleet.hosts_with_config(2), hosts);
    restore(&mut fleet, &backup);
    for beat in 0..written_since {
        fleet.put("leaf/5-1", &format!("s5 dc-2 ready {beat}"));
    }
    fleet.put("config", "3 20");
    let until = fleet.now + IN_FORCE_LIMIT;
    run_until(&mut fleet, until);
    assert_eq!(fleet.hosts_with_config(3), hosts);
}

/// Guards against hosts that go back to the older configuration in a restored registry before operators write the lost
/// one again, and against hosts that start in the meantime and apply the older one.
#[rstest]
fn a_lost_configuration_stays_in_force(#[values(8, 67)] hosts: usize, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    let backup = fleet.backup();
    fleet.put("config", "2 20");
    fleet.run_until(fleet.now + 3000);
    restore(&mut fleet, &backup);
    fleet.restart(5, 500);
    fleet.hosts[5].views.clear();
    let until = fleet.now + 4000;
    run_until(&mut fleet, until);
    assert_eq!(fleet.hosts_with_config(2), hosts, "before it is written again");
    fleet.put("config", "2 20");
    let until = fleet.now + IN_FORCE_LIMIT;
    run_until(&mut fleet, until);
    fleet.put("config", "4 20");
    let until = fleet.now + IN_FORCE_LIMIT;
    run_until(&mut fleet, until);
    assert_eq!(fleet.hosts_with_config(4), hosts, "after a later one is written");
}

/// Guards against dropping servers that register again within two seconds of a restore, and against using a server that
/// is leaving.
#[rstest]
fn servers_outlast_a_restore(#[values(8, 67)] hosts: usize, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    let backup = fleet.backup();
    fleet.put("leaf/3-new", "s3 dc-1 ready");
    fleet.put("leaf/4-0", "s4 dc-0 leaving");
    fleet.run_until(fleet.now + 2000);
    assert!((0..hosts).all(|host| fleet.may_use(host, "3-new") && !fleet.may_use(host, "4-0")));
    restore(&mut fleet, &backup);
    for step in 0..90 {
        if step == 18 {
            fleet.put("leaf/3-new", "s3 dc-1 ready");
        }
        fleet.run_until(fleet.now + 100);
        for host in 0..hosts {
            assert!(fleet.may_use(host, "3-new"), "host {host} dropped a live server after {step} steps");
            assert!(!fleet.may_use(host, "4-0"), "host {host} uses a leaving server after {step} steps");
        }
    }
}

/// Guards against using a removed server that the backup lists until its entry lapses, and against never using a server
/// again whose entry does not lapse.
#[rstest]
fn a_removed_server_gets_no_work_after_a_restore(
    #[values(8, 67)] hosts: usize,
    #[values(true, false)] lapses: bool,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = start_fleet(hosts, 4, seed);
    let backup = fleet.backup();
    fleet.remove("leaf/4-0");
    fleet.run_until(fleet.now + 5000);
    restore(&mut fleet, &backup);
    for step in 0..36 {
        fleet.run_until(fleet.now + 100);
        for host in 0..hosts {
            assert!(!fleet.may_use(host, "4-0"), "host {host} uses a removed server after {step} steps");
        }
    }
    if lapses {
        fleet.remove("leaf/4-0");
    }
    fleet.run_until(fleet.now + 4000);
    for host in 0..hosts {
        assert_eq!(fleet.may_use(host, "4-0"), !lapses, "host {host}");
    }
}

/// Guards against treating a server that registers for the first time right after a restore as removed.
#[rstest]
fn a_new_server_is_used_right_after_a_restore(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    let backup = fleet.backup();
    fleet.put("config", "2 20");
    fleet.run_until(fleet.now + 2000);
    restore(&mut fleet, &backup);
    fleet.put("leaf/4-new", "s4 dc-1 ready");
    fleet.run_until(fleet.now + 3000);
    assert!((0..hosts).all(|host| fleet.may_use(host, "4-new")));
}

/// Guards against using an evacuated data centre after a restore before operators evacuate it again, and against an
/// evacuation that never ends although operators do not write it again.
#[rstest]
fn an_evacuation_outlasts_a_restore(
    #[values(8, 67)] hosts: usize,
    #[values(true, false)] is_written_again: bool,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = start_fleet(hosts, 4, seed);
    let backup = fleet.backup();
    fleet.put("evacuate/dc-1", "");
    fleet.run_until(fleet.now + 3000);
    restore(&mut fleet, &backup);
    for step in 0..30 {
        fleet.run_until(fleet.now + 100);
        for host in 0..hosts {
            assert!(!fleet.may_use(host, "1-0"), "host {host} uses an evacuated data centre after {step} steps");
        }
    }
    if is_written_again {
        fleet.put("evacuate/dc-1", "");
    }
    fleet.run_until(fleet.now + 4000);
    for host in 0..hosts {
        assert_eq!(fleet.may_use(host, "1-0"), !is_written_again, "host {host}");
    }
}

/// Guards against hosts that read a restored registry repeatedly without a pause.
#[rstest]
fn a_restore_costs_few_reads(#[values(8, 67)] hosts: usize, #[values(1, 2)] seed: u64) {
    let mut fleet = start_fleet(hosts, 4, seed);
    let backup = fleet.backup();
    fleet.put("config", "2 20");
    fleet.run_until(fleet.now + 2000);
    let reads = fleet.store.reads;
    restore(&mut fleet, &backup);
    fleet.run_until(fleet.now + 4000);
    let reads = fleet.store.reads - reads;
    assert!(reads <= 3 * hosts as u64, "{reads} full reads");
}

/// Guards against views that differ from the registry after random writes, outages, partitions, restarts and restores,
/// and against going back to an older configuration in between.
#[rstest]
fn restores_leave_the_latest_configuration_and_list(
    #[values(3, 12)] hosts: usize,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
) {
    run_random_operations(hosts, seed, true);
}

/// Guards against hosts that keep an outdated list of servers after taking the version of a difference that does not
/// apply to it, or after a full read that equals their copy but not the list in force.
#[rstest]
#[case(3, 1335, false)]
#[case(12, 1096, false)]
#[case(12, 1335, false)]
#[case(12, 2214, false)]
#[case(12, 2271, false)]
#[case(12, 2366, false)]
#[case(3, 1029, true)]
#[case(3, 1197, true)]
#[case(3, 2045, true)]
#[case(12, 1019, true)]
#[case(12, 2027, true)]
#[case(12, 2228, true)]
#[case(12, 2238, true)]
#[case(12, 2325, true)]
#[case(3, 2396, true)]
fn hosts_with_one_version_have_one_list(#[case] hosts: usize, #[case] seed: u64, #[case] has_restores: bool) {
    run_random_operations(hosts, seed, has_restores);
}

/// Runs random writes, removals, outages, losses of the history, partitions, restarts and, with `has_restores`,
/// restores. Checks that no host goes back to an older configuration and that all views match the registry at the end.
fn run_random_operations(hosts: usize, seed: u64, has_restores: bool) {
    let mut random = rngs::SmallRng::seed_from_u64(seed);
    let mut fleet = start_fleet(hosts, 3, seed);
    let mut number = 1;
    let mut backup = fleet.backup();
    for _ in 0..40 {
        let until = fleet.now + random.random_range(1..800);
        run_until(&mut fleet, until);
        let key = format!("leaf/{}-new", random.random_range(0..4));
        match random.random_range(0..12) {
            0..3 => {
                number += random.random_range(1..4);
                fleet.put("config", &format!("{number} 20"));
            }
            3..5 => fleet.put(&key, &format!("s{} dc-0 ready", &key[5..6])),
            5 => fleet.remove(&key),
            6 => fleet.store.is_unavailable = !fleet.store.is_unavailable,
            7 => backup = fleet.backup(),
            8 if has_restores => {
                restore(&mut fleet, &backup);
                backup = fleet.backup();
                let until = fleet.now + random.random_range(1..1500);
                run_until(&mut fleet, until);
                fleet.put("config", &format!("{number} 20"));
            }
            9 => fleet.compact_history(),
            10 => {
                let host = random.random_range(0..hosts);
                fleet.hosts[host].is_partitioned = !fleet.hosts[host].is_partitioned;
            }
            _ => {
                let host = random.random_range(0..hosts);
                fleet.restart(host, random.random_range(100..1000));
                fleet.hosts[host].views.clear();
            }
        }
    }
    fleet.store.is_unavailable = false;
    fleet.hosts.iter_mut().for_each(|host| host.is_partitioned = false);
    let until = fleet.now + 12_000;
    run_until(&mut fleet, until);
    assert_eq!(fleet.hosts_with_config(number), hosts);
    let mut listed: Vec<String> =
        fleet.store.keys_with_prefix("leaf/").map(|key| key["leaf/".len()..].to_owned()).collect();
    listed.sort_unstable();
    for host in 0..hosts {
        assert_eq!(server_names(&fleet, host), listed, "host {host}: servers in the view (left) and listed (right)");
    }
}
