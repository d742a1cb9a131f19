//! Guards that a test may take out, to show that the checks can fail.
//!
//! Without the `mutants` feature every question is a constant `false` and costs nothing. With it,
//! a test picks one guard for its thread, and the randomised run must then report a breach; the
//! table in `docs/PROOFS.md` lists which seed caught which guard.

use std::cell;

/// A guard of the core that can be taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Replies of any snapshot are put into one answer.
    MixSnapshots,
    /// Silent shards are reported as covered.
    CountSilent,
    /// A reply is accepted although its attempt was given up.
    AcceptLate,
    /// A query whose attempts have an unknown fate is reported as not run.
    AssumeNotRun,
    /// A query that is not idempotent is sent again after an unknown fate.
    RetryUnknown,
    /// Requests whose deadline passed during a pause are dispatched all the same.
    IgnorePause,
    /// A later host list may clear a leaving mark.
    ForgetLeaving,
    /// A leaving server may still be chosen.
    ChooseLeaving,
    /// An older configuration replaces a newer one.
    AcceptOlder,
    /// Hedges and retries need no budget.
    UnboundedExtra,
    /// The connection share follows from the hosts that can be reached.
    ShareByReach,
    /// Servers of an evacuated data centre get work as before.
    IgnoreEvacuation,
    /// A key of a request that is not idempotent is forgotten at once.
    ForgetKeys,
}

thread_local! {
    static CURRENT: cell::Cell<Option<Mutant>> = const { cell::Cell::new(None) };
}

/// Takes out `mutant`'s guard for this thread, or none. Has no effect without the feature.
pub fn set(mutant: Option<Mutant>) {
    CURRENT.set(mutant);
}

/// Whether any guard is out. A test that takes one out wants to see what callers would get, so the
/// program then does not withhold what breaks a promise.
pub fn is_any() -> bool {
    cfg!(feature = "mutants") && CURRENT.get().is_some()
}

/// Whether the guard of `mutant` is out.
#[inline]
pub fn is(mutant: Mutant) -> bool {
    cfg!(feature = "mutants") && CURRENT.get() == Some(mutant)
}
