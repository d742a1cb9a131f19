//! Mutation testing: guards that a test can disable, to show that the checks detect their absence.
//!
//! Without the `mutants` feature, every check of a mutant is a constant `false` and has no cost. With it,
//! a test disables one guard for its thread, and the randomised run must then report a breach; the
//! table in `docs/PROOFS.md` lists the seed that detected each mutant.

use std::cell;

/// A mutation of the core that disables one guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Replies of different snapshots are merged into one answer.
    MixSnapshots,
    /// Shards that did not reply are reported as covered.
    CountSilent,
    /// A reply is accepted although its attempt was abandoned.
    AcceptLate,
    /// A query whose attempts have an unknown outcome is reported as not run.
    AssumeNotRun,
    /// A query that is not idempotent is retried after an unknown outcome.
    RetryUnknown,
    /// Requests whose deadline passed during a process pause are still dispatched.
    IgnorePause,
    /// A later host list can clear a leaving mark.
    ForgetLeaving,
    /// A leaving server can still be chosen.
    ChooseLeaving,
    /// An older configuration replaces a newer one.
    AcceptOlder,
    /// Hedges and retries are not limited by a budget.
    UnboundedExtra,
    /// The connection share depends on the reachable hosts instead of the published ones.
    ShareByReach,
    /// Servers of an evacuated data centre still get new work.
    IgnoreEvacuation,
    /// The key of a request that is not idempotent is dropped immediately.
    ForgetKeys,
}

thread_local! {
    static CURRENT: cell::Cell<Option<Mutant>> = const { cell::Cell::new(None) };
}

/// Activates `mutant` for this thread, or none. Has no effect without the `mutants` feature.
pub fn set(mutant: Option<Mutant>) {
    CURRENT.set(mutant);
}

/// Whether any mutant is active. Answers that break a promise are then not withheld, so that a test sees
/// what callers would receive.
pub fn is_any() -> bool {
    cfg!(feature = "mutants") && CURRENT.get().is_some()
}

/// Whether `mutant` is active on this thread.
#[inline]
pub fn is(mutant: Mutant) -> bool {
    cfg!(feature = "mutants") && CURRENT.get() == Some(mutant)
}
