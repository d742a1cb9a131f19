//! The table of requests that crash servers: when one is held or convicted, how often it is tried, and that all hosts
//! come to the same end.

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

/// A table in which three servers crashed of request 1.
fn held() -> Table {
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

/// Three servers hold a request, in one attempt or in several; less does not, and crashes alone never convict.
#[rstest]
#[case::one_loss(&[(1, 1)], false)]
#[case::two_servers(&[(1, 1), (2, 2), (3, 1)], false)]
#[case::a_search_that_reaches_many(&[(1, 1), (1, 2), (1, 3), (1, 4), (1, 5)], true)]
#[case::once_more(&[(1, 1), (1, 2), (2, 3)], true)]
#[case::twice_more(&[(1, 1), (2, 2), (3, 3)], true)]
fn three_servers_hold_a_request(#[case] crashes: &[(u64, usize)], #[case] holds: bool) {
    let mut table = Table::default();
    for &(attempt, server) in crashes {
        table.record_crash(NOW, &crash(1, attempt, server));
    }
    assert_eq!(is_held(&table, 1), holds);
    assert!(!is_convicted(&table, 1));
    assert_eq!(table.standing(Fingerprint(2)), None);
}

/// A request is convicted by its trials: two of them crash servers. Crashes of attempts that began before count as
/// none.
#[test]
fn two_crashed_trials_convict() {
    let mut table = held();
    assert!(table.grant_trial(NOW, trial(10)));
    table.record_crash(NOW, &crash(1, 9, 9));
    table.record_crash(NOW, &crash(1, 10, 10));
    assert!(!is_convicted(&table, 1));
    assert!(table.grant_trial(later(2000), trial(11)));
    table.record_crash(later(2000), &crash(1, 11, 11));
    assert!(is_convicted(&table, 1));
}

/// A trial counts when it begins: while one runs there is no second one, wherever it is asked for.
#[test]
fn no_second_trial_begins_while_one_runs() {
    let mut table = held();
    let mut other = held();
    assert!(table.grant_trial(NOW, trial(10)));
    other.merge(NOW, &table.record(NOW, Fingerprint(1)));
    for at in [0, 500, 1999] {
        assert!(!table.grant_trial(later(at), trial(11)) && !other.grant_trial(later(at), trial(12)));
    }
    assert!(other.grant_trial(later(2000), trial(12)));
}

/// Two hosts that do not hear of each other each granted a trial, and both crashed servers: together that convicts, and
/// nobody grants another one. A host that starts later does not put the next one off.
#[test]
fn trials_at_two_hosts_convict_together() {
    let (mut here, mut there) = (held(), held());
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

/// Trials whose servers refuse them prove nothing, and do not go on for ever. Those that reached no server are none.
#[test]
fn trials_without_an_end_are_few() {
    let mut table = held();
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

/// An answer takes back what is known, also from hosts that hear of it before they hear what it takes back.
#[test]
fn an_answer_takes_back_what_is_known() {
    let before = held();
    let mut table = held();
    assert!(table.record_answer(NOW, Fingerprint(1)));
    assert_eq!(table.standing(Fingerprint(1)), None);
    let mut other = Table::default();
    other.merge(NOW, &table.record(NOW, Fingerprint(1)));
    other.merge(NOW, &before.record(NOW, Fingerprint(1)));
    assert_eq!(other.standing(Fingerprint(1)), None);
    // What crashes later counts anew.
    other.record_crash(NOW, &crash(1, 20, 20));
    assert!(matches!(other.standing(Fingerprint(1)), Some(Standing::Suspect { .. })));
}

proptest! {
    /// Hosts hear of the same crashes, trials and answers in any order, some twice, some by another host.
    #[test]
    fn order_does_not_matter(
        events in prop::collection::vec((0_u64..4, 0_usize..5, prop::bool::weighted(0.1)), 1..12),
        order in prop::collection::vec(any::<u32>(), 12),
    ) {
        // Each event is what one host knows.
        let told: Vec<Record> = events
            .iter()
            .map(|&(attempt, server, is_answered)| {
                let mut table = held();
                table.grant_trial(NOW, trial(attempt));
                table.record_crash(NOW, &crash(1, attempt, server));
                if is_answered {
                    table.record_answer(NOW, Fingerprint(1));
                }
                table.record(NOW, Fingerprint(1))
            })
            .collect();
        let mut here = Table::default();
        told.iter().for_each(|told| { here.merge(NOW, told); });
        let mut shuffled: Vec<_> = told.iter().zip(order).collect();
        shuffled.sort_by_key(|(_, order)| *order);
        let mut there = Table::default();
        for (told, _) in shuffled {
            let mut other = Table::default();
            other.merge(NOW, told);
            for _ in 0..2 {
                there.merge(NOW, &other.record(NOW, Fingerprint(1)));
            }
        }
        prop_assert_eq!(here.standing(Fingerprint(1)), there.standing(Fingerprint(1)));
        prop_assert_eq!(here.digest(), there.digest());
    }
}

/// Hosts ask for trials all the time, and each trial crashes its server: three in a day, and in the month after it.
#[test]
fn trials_are_few() {
    let mut tables: Vec<Table> = vec![Table::default(); 8];
    for (attempt, table) in tables.iter_mut().enumerate().skip(1).take(3) {
        table.record_crash(NOW, &crash(1, attempt as u64, attempt));
    }
    let spread = |tables: &mut Vec<Table>, now| {
        let told: Vec<_> = tables.iter_mut().flat_map(|table| table.take_records(now, 16)).collect();
        tables.iter_mut().for_each(|table| {
            told.iter().for_each(|told| {
                table.merge(now, told);
            })
        });
    };
    spread(&mut tables, NOW);
    let mut trials = Vec::new();
    let mut now = NOW;
    while now.0 < 20 * DAY {
        now = now + clock::Millis(60_000);
        for table in &mut tables {
            table.expire(now);
            assert!(is_held(table, 1), "let go after {now}");
        }
        let host = (now.0 / 60_000) as usize % 8;
        let attempt = trial(100 + trials.len() as u64);
        if tables[host].grant_trial(now, attempt) {
            trials.push(now);
            tables[host].record_crash(now, &crash(1, attempt.attempt, 100 + trials.len()));
        }
        spread(&mut tables, now);
    }
    assert_eq!(trials.len(), 3, "{trials:?}");
}

/// A flood of different suspects drops the oldest of them, and never what is held.
#[test]
fn a_flood_of_suspects_drops_nothing_that_is_held() {
    let mut table = held();
    for fingerprint in 10..20_000 {
        table.record_crash(NOW + clock::Millis(fingerprint as u64), &crash(fingerprint, 1, 1));
    }
    assert!(table.len() <= 1024);
    assert!(is_held(&table, 1));
    assert!(table.standing(Fingerprint(19_999)).is_some());
    assert!(table.standing(Fingerprint(10)).is_none());
}

/// Suspects are forgotten after some hours. One that comes every few minutes would else never be convicted.
#[test]
fn a_suspect_is_forgotten() {
    let mut table = Table::default();
    table.record_crash(NOW, &crash(1, 1, 1));
    assert!(!table.expire(later(3_600_000)));
    assert!(matches!(table.standing(Fingerprint(1)), Some(Standing::Suspect { .. })));
    assert!(table.expire(later(4 * 3_600_000)) && table.is_empty());
}

/// A request that nobody knows any more comes one attempt at a time: the first is sent, two are trials, and no more.
#[test]
fn three_attempts_convict_what_nobody_knew() {
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
