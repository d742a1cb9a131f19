//! The promises that are asserted while the program runs, in release builds too.
//!
//! A breach never stops the node: it is counted by name and logged with the query's history, and
//! the answer that would have broken the promise is withheld where that is still possible.

use std::fmt;

/// A promise of the system, by the name used in logs, metrics and `docs/PROOFS.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Name {
    /// Every part of an answer has one index version and one partition epoch.
    OneSnapshot,
    /// Reported coverage is exactly the shards whose reply is in the body.
    TrueCoverage,
    /// Each answer goes once, to its own caller, with no part of another's.
    OwnWholeAnswer,
    /// No attempt of a query that is reported as not run was executed.
    NotRunMeansNotRun,
    /// A query that is not idempotent has at most one attempt that may have run.
    AtMostOnce,
    /// No dispatch goes to a server that the view in force marks as leaving.
    NoWorkToLeaving,
    /// No dispatch goes to a server whose data centre the view in force has as evacuated.
    NoWorkToEvacuated,
    /// The version in force never falls.
    ConfigMonotonic,
    /// Extra attempts stay inside their budget.
    BoundedExtraLoad,
    /// A server that warms up gets no more from this host than its part.
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

    /// The name in logs and metrics.
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

/// A promise that did not hold, with the history needed to find out why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The promise.
    pub name: Name,
    /// What was seen, with ids.
    pub detail: String,
}
