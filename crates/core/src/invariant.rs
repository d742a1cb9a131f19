//! Invariants (*promises* in logs and metrics) that are checked at run time, also in release builds.
//!
//! A violation (*breach*) does not stop the node: it is counted by name and logged with the query's
//! history, and the answer that would violate the invariant is withheld if that is still possible.

use std::fmt;

/// The name of a promise, as used in logs, metrics and `docs/PROOFS.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Name {
    /// All parts of an answer have the same index version and partition epoch.
    OneSnapshot,
    /// The reported coverage is exactly the set of shards whose reply is in the body.
    TrueCoverage,
    /// Each answer is sent once, to its own caller, and has no part of another answer.
    OwnWholeAnswer,
    /// No attempt of a query that is reported as not run has been executed.
    NotRunMeansNotRun,
    /// At most one attempt of a query that is not idempotent may have run.
    AtMostOnce,
    /// No attempt is dispatched to a server that the current view marks as leaving.
    NoWorkToLeaving,
    /// No attempt is dispatched to a server whose data centre is evacuated in the current view.
    NoWorkToEvacuated,
    /// The version of the current configuration never decreases.
    ConfigMonotonic,
    /// Hedges and retries stay within their budget.
    BoundedExtraLoad,
    /// This host sends a server that warms up no more than this host's share of its limit.
    BoundedWarmUp,
    /// Attempts in flight at a server never exceed this host's share of its connections.
    BoundedConnections,
}

impl Name {
    /// Every promise, in the order of `docs/PROOFS.md`.
    pub const ALL: [Self; 11] = [
        Self::OneSnapshot,
        Self::TrueCoverage,
        Self::OwnWholeAnswer,
        Self::NotRunMeansNotRun,
        Self::AtMostOnce,
        Self::NoWorkToLeaving,
        Self::NoWorkToEvacuated,
        Self::ConfigMonotonic,
        Self::BoundedExtraLoad,
        Self::BoundedWarmUp,
        Self::BoundedConnections,
    ];

    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OneSnapshot => "one_snapshot",
            Self::TrueCoverage => "true_coverage",
            Self::OwnWholeAnswer => "own_whole_answer",
            Self::NotRunMeansNotRun => "not_run_means_not_run",
            Self::AtMostOnce => "at_most_once",
            Self::NoWorkToLeaving => "no_work_to_leaving",
            Self::NoWorkToEvacuated => "no_work_to_evacuated",
            Self::ConfigMonotonic => "config_monotonic",
            Self::BoundedExtraLoad => "bounded_extra_load",
            Self::BoundedWarmUp => "bounded_warm_up",
            Self::BoundedConnections => "bounded_connections",
        }
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A violated promise, with the history needed to diagnose it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The violated promise.
    pub name: Name,
    /// Description of the violation, with the ids involved.
    pub detail: String,
}
