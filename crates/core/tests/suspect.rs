//! The table of requests that crash servers: when a request is held or convicted, how many trials it gets, and that
//! all hosts converge.

use compact_str::format_compact;
use proptest::prelude::*;
use rstest::rstest;
use shallothub_core::{
    clock,
    suspect::{Crash, Fingerprint, Record, Standing, Table, Trial},
};

const NOW: clock::Millis = clock::Millis(1000);
const DAY: u64 = 86_400_000;

fn crash(fingerprint: u128, attempt: u64, server: usize) -> Crash {
    let server = format_compact!("leaf-{server}");
    Crash { fingerprint: Fingerprint(fingerprint), attempt, server }
}

fn trial(attempt: u64) -> Trial {
    Trial { fingerprint: Fingerprint(1), attempt }
}

fn is_held(table: &Table, fingerprint: u128) -> bool {
    table.standing(Fingerprint(fingerprint)).is_some_and(|standing| standing.cancels_running())
}

fn is_convicted(table: &Table, fingerprint: u128) -> bool {
    matches!(table.standing(Fingerprint(fingerprint)), Some(Standing::Convicted { .. }))
}

/// A table in which request 1 crashed three servers.
fn held_table() -> Table {
    let mut table = Table::default();
    for server in 1..4 {
        table.record_crash(NOW, &crash(1, server as u64, server));
    }
    assert!(is_held(&table, 1));
    table
}

fn later(ms: u64) -> clock::Millis {
    NOW + clock::Millis(ms)
}

/// Crashes of three servers, in one attempt or several, hold a request; fewer don't, and crashes alone never convict.
#[rstest]
#[case::one_loss(&[(1, 1)], false)]
#[case::two_servers(&[(1, 1), (2, 2), (3, 1)], false)]
#[case::one_attempt_at_five_servers(&[(1, 1), (1, 2), (1, 3), (1, 4), (1, 5)], true)]
#[case::three_servers_in_two_attempts(&[(1, 1), (1, 2), (2, 3)], true)]
#[case::three_servers_in_three_attempts(&[(1, 1), (2, 2), (3, 3)], true)]
fn three_servers_hold_a_request(#[case] crashes: &[(u64, usize)], #[case] holds: bool) {
    let mut table = Table::default();
    for &(attempt, server) in crashes {
        table.record_crash(NOW, &crash(1, attempt, server));
    }
    assert_eq!(is_held(&table, 1), holds);
    assert!(!is_convicted(&table, 1));
    assert_eq!(table.standing(Fingerprint(2)), None);
}

/// Two trials that crash servers convict a request. Crashes of attempts that began earlier must not count as trials.
#[test]
fn two_crashed_trials_convict() {
    let mut table = held_table();
    assert!(table.grant_trial(NOW, trial(10)));
    table.record_crash(NOW, &crash(1, 9, 9));
    table.record_crash(NOW, &crash(1, 10, 10));
    assert!(!is_convicted(&table, 1));
    assert!(table.grant_trial(later(2000), trial(11)));
    table.record_crash(later(2000), &crash(1, 11, 11));
    assert!(is_convicted(&table, 1));
}

/// A trial counts from its grant: while one runs, no host may grant a second one.
#[test]
fn no_second_trial_begins_while_one_runs() {
    let mut table = held_table();
    let mut other = held_table();
    assert!(table.grant_trial(NOW, trial(10)));
    other.merge(NOW, &table.record(NOW, Fingerprint(1)));
    for at in [0, 500, 1999] {
        assert!(!table.grant_trial(later(at), trial(11)) && !other.grant_trial(later(at), trial(12)));
    }
    assert!(other.grant_trial(later(2000), trial(12)));
}

/// Two hosts without contact each granted a trial, and both crashed servers: merged, the records convict, and no other
/// trial is granted. A host that starts later must not delay the next trial.
#[test]
fn crashed_trials_at_two_hosts_convict() {
    let (mut here, mut there) = (held_table(), held_table());
    for (table, attempt) in [(&mut here, 10), (&mut there, 11)] {
        assert!(table.grant_trial(NOW, trial(attempt)));
        table.record_crash(NOW, &crash(1, attempt, attempt as usize));
    }
    here.merge(NOW, &there.record(NOW, Fingerprint(1)));
    assert!(is_convicted(&here, 1));
    assert!(!here.grant_trial(later(3_600_000), trial(12)));
    let mut fresh = Table::default();
    fresh.merge(later(10_000_000), &here.record(later(10_000_000), Fingerprint(1)));
    assert!(fresh.grant_trial(later(11_000_000), trial(12)));
}

/// Trials that servers refuse prove nothing, but must be limited in number. Those that reached no server don't count.
#[test]
fn trials_without_a_result_are_limited() {
    let mut table = held_table();
    let mut reached = 0;
    for step in 0..300_u64 {
        let attempt = trial(100 + step);
        if !table.grant_trial(later(step * 1000), attempt) {
            continue;
        }
        if step.is_multiple_of(4) {
            assert!(table.cancel_trial(later(step * 1000), attempt));
            continue;
        }
        reached += 1;
    }
    assert_eq!(reached, 3);
    assert!(!is_convicted(&table, 1));
}

/// An answer clears the recorded crashes, also on hosts that receive the answer before the crashes.
#[test]
fn an_answer_clears_a_request() {
    let before = held_table();
    let mut table = held_table();
    assert!(table.record_answer(NOW, Fingerprint(1)));
    assert_eq!(table.standing(Fingerprint(1)), None);
    let mut other = Table::default();
    other.merge(NOW, &table.record(NOW, Fingerprint(1)));
    other.merge(NOW, &before.record(NOW, Fingerprint(1)));
    assert_eq!(other.standing(Fingerprint(1)), None);
    // Later crashes count again.
    other.record_crash(NOW, &crash(1, 20, 20));
    assert!(matches!(other.standing(Fingerprint(1)), Some(Standing::Suspect { .. })));
}

proptest! {
    /// Hosts receive the same crashes, trials and answers in any order, duplicated and through other hosts.
    #[test]
    fn merge_order_does_not_matter(
        events in prop::collection::vec((0_u64..4, 0_usize..5, prop::bool::weighted(0.1)), 1..12),
        order in prop::collection::vec(any::<u32>(), 12),
    ) {
        // Each event gives the record of one host.
        let records: Vec<Record> = events
            .iter()
            .map(|&(attempt, server, is_answered)| {
                let mut table = held_table();
                table.grant_trial(NOW, trial(attempt));
                table.record_crash(NOW, &crash(1, attempt, server));
                if is_answered {
                    table.record_answer(NOW, Fingerprint(1));
                }
                table.record(NOW, Fingerprint(1))
            })
            .collect();
        let mut here = Table::default();
        records.iter().for_each(|record| { here.merge(NOW, record); });
        let mut shuffled: Vec<_> = records.iter().zip(order).collect();
        shuffled.sort_by_key(|(_, order)| *order);
        let mut there = Table::default();
        for (record, _) in shuffled {
            let mut other = Table::default();
            other.merge(NOW, record);
            for _ in 0..2 {
                there.merge(NOW, &other.record(NOW, Fingerprint(1)));
            }
        }
        prop_assert_eq!(here.standing(Fingerprint(1)), there.standing(Fingerprint(1)));
        prop_assert_eq!(here.digest(), there.digest());
    }
}

/// Hosts keep requesting trials, and each trial crashes its server: three may be granted in a day, and no more in the
/// month after it.
#[test]
fn repeated_trials_are_limited() {
    let mut tables: Vec<Table> = vec![Table::default(); 8];
    for (attempt, table) in tables.iter_mut().enumerate().skip(1).take(3) {
        table.record_crash(NOW, &crash(1, attempt as u64, attempt));
    }
    let exchange = |tables: &mut Vec<Table>, now| {
        let records: Vec<_> = tables.iter_mut().flat_map(|table| table.take_records(now, 16)).collect();
        tables.iter_mut().for_each(|table| {
            records.iter().for_each(|record| {
                table.merge(now, record);
            })
        });
    };
    exchange(&mut tables, NOW);
    let mut trials = Vec::new();
    let mut now = NOW;
    while now.0 < 20 * DAY {
        now = now + clock::Millis(60_000);
        for table in &mut tables {
            table.expire(now);
            assert!(is_held(table, 1), "no longer held at {now}");
        }
        let host = (now.0 / 60_000) as usize % 8;
        let attempt = trial(100 + trials.len() as u64);
        if tables[host].grant_trial(now, attempt) {
            trials.push(now);
            tables[host].record_crash(now, &crash(1, attempt.attempt, 100 + trials.len()));
        }
        exchange(&mut tables, now);
    }
    assert_eq!(trials.len(), 3, "{trials:?}");
}

/// A flood of different suspects must evict the oldest suspects, and never a held request.
#[test]
fn a_flood_of_suspects_drops_nothing_that_is_held() {
    let mut table = held_table();
    for fingerprint in 10..20_000 {
        table.record_crash(NOW + clock::Millis(fingerprint as u64), &crash(fingerprint, 1, 1));
    }
    assert!(table.len() <= 1024);
    assert!(is_held(&table, 1));
    assert!(table.standing(Fingerprint(19_999)).is_some());
    assert!(table.standing(Fingerprint(10)).is_none());
}

/// Suspects expire after some hours. If they expired sooner, one sent every few minutes would never be convicted.
#[test]
fn a_suspect_expires() {
    let mut table = Table::default();
    table.record_crash(NOW, &crash(1, 1, 1));
    assert!(!table.expire(later(3_600_000)));
    assert!(matches!(table.standing(Fingerprint(1)), Some(Standing::Suspect { .. })));
    assert!(table.expire(later(4 * 3_600_000)) && table.is_empty());
}

/// A crashing request without records is sent one attempt at a time: the first untested, two as trials, then no more.
#[test]
fn three_attempts_convict_an_expired_request() {
    let mut table = Table::default();
    table.record_crash(NOW, &crash(1, 1, 1));
    let mut attempts = 1;
    for step in 0..100 {
        let now = later(step * 100);
        if table.grant_trial(now, trial(100 + step)) {
            attempts += 1;
            table.record_crash(now, &crash(1, 100 + step, 100 + step as usize));
        }
    }
    assert_eq!(attempts, 3);
    assert!(is_convicted(&table, 1));
}
