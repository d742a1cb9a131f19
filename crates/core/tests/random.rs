//! Randomised fault injection: each seed draws faults singly and in pairs, also of one kind twice, and the
//! promises are checked against the executions that the leaves logged.
//!
//! CI runs a fixed set of seeds. `SHALLOT_SEEDS=N` runs N of them from `SHALLOT_FIRST` on; see
//! `scripts/soak`. A seed that ever failed is a named case of [`seeds_that_once_failed`].

#[expect(unreachable_pub, reason = "a module of this test alone")]
mod driver;

use driver::simulation;
use indexmap::IndexMap;
use rstest::rstest;
use shallothub_core::{clock, mutant};

const SPAN: clock::Millis = clock::Millis(30_000);
/// Faults of every kind.
const ALL: &[&str] = &[];
const SEEDS_IN_CI: u64 = 60;

fn run(seed: u64, fault_names: &'static [&'static str]) -> simulation::Simulation {
    let mut simulation = simulation::Simulation::new(seed, fault_names);
    simulation.run(SPAN);
    simulation
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Queries of the classes sweep, check and letter run while hosts are killed, frozen and cut off,
/// leaves straggle, shed load, roll their index and leave, and the platform lags. Every promise must
/// hold in the leaves' execution log.
#[test]
fn promises_hold_under_random_faults() {
    let first = env_number("SHALLOT_FIRST", 1);
    let count = env_number("SHALLOT_SEEDS", SEEDS_IN_CI);
    let mut faults: IndexMap<&'static str, u64> = IndexMap::new();
    let mut totals = [0_u64; 6];
    let mut failed = Vec::new();
    for seed in first..first + count {
        let simulation = run(seed, ALL);
        let oracle = &simulation.oracle;
        for (total, value) in totals.iter_mut().zip([
            simulation.steps,
            oracle.queries,
            oracle.answered,
            oracle.not_run,
            oracle.unknown,
            oracle.executions,
        ]) {
            *total += value;
        }
        for (name, times) in &simulation.faults {
            *faults.entry(name).or_default() += times;
        }
        if let Some(breach) = oracle.breaches.first() {
            failed.push(format!("seed {seed}: {} breaches, first {breach}", oracle.breaches.len()));
        }
    }
    let [steps, queries, answered, not_run, unknown, executions] = totals;
    println!(
        "seeds {first}..{}, steps {steps}, queries {queries}: answered {answered}, not run {not_run},",
        first + count
    );
    println!("unknown {unknown}; executions {executions}; faults {faults:?}; seeds with a breach {}", failed.len());
    assert!(failed.is_empty(), "{}", failed.join("\n"));
    assert!(answered > queries / 2, "too few queries were answered for a meaningful check: {answered} of {queries}");
}

/// Seeds that once failed, each with the fault it found. Runs of a seed change with the driver, so
/// the faults have regression tests of their own too.
#[rstest]
// A hedge that was due in the step that delivered a leaving mark still went to the leaving leaf.
#[case::timer_before_view(8)]
fn seeds_that_once_failed(#[case] seed: u64) {
    let simulation = run(seed, ALL);
    assert!(simulation.oracle.breaches.is_empty(), "{}", simulation.oracle.breaches[0]);
}

/// Mutation test of the checks: with one guard disabled, one of the first seeds must break the promise
/// that the guard protects.
#[rstest]
#[case::mix_snapshots(mutant::Mutant::MixSnapshots, "one_snapshot", ALL)]
#[case::count_silent(mutant::Mutant::CountSilent, "true_coverage", ALL)]
#[case::accept_late(mutant::Mutant::AcceptLate, "own_whole_answer", ALL)]
#[case::assume_not_run(mutant::Mutant::AssumeNotRun, "not_run_means_not_run", ALL)]
#[case::retry_unknown(mutant::Mutant::RetryUnknown, "at_most_once", ALL)]
#[case::forget_keys(mutant::Mutant::ForgetKeys, "at_most_once", ALL)]
#[case::ignore_pause(mutant::Mutant::IgnorePause, "no_work_to_leaving", &["freeze", "leaf leaves", "leaf restarts cold"])]
#[case::forget_leaving(mutant::Mutant::ForgetLeaving, "no_work_to_leaving", ALL)]
#[case::choose_leaving(mutant::Mutant::ChooseLeaving, "no_work_to_leaving", ALL)]
#[case::accept_older(mutant::Mutant::AcceptOlder, "config_monotonic", ALL)]
#[case::unbounded_extra(mutant::Mutant::UnboundedExtra, "bounded_extra_load", ALL)]
#[case::share_by_reach(mutant::Mutant::ShareByReach, "bounded_connections", ALL)]
fn a_missing_guard_is_caught(
    #[case] guard: mutant::Mutant,
    #[case] promise: &str,
    #[case] fault_names: &'static [&'static str],
) {
    const SEEDS: u64 = 60;
    mutant::set(Some(guard));
    for seed in 1..=SEEDS {
        let simulation = run(seed, fault_names);
        // Breaches that the program itself reports don't count: the execution log must show one.
        let is_logged = |breach: &&String| breach.starts_with(promise) && !breach.contains("by the program");
        if let Some(breach) = simulation.oracle.breaches.iter().find(is_logged) {
            println!("{guard:?}: seed {seed}: {breach}");
            mutant::set(None);
            return;
        }
    }
    mutant::set(None);
    panic!("no seed of 1 to {SEEDS} detected {guard:?} as a breach of {promise}");
}
