//! Counters of a traffic core, and summaries of queries that ended recently.

use std::collections::VecDeque;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{clock, id};

use super::event;

/// Number of summaries kept for `shallotctl explain`.
const CAPACITY: usize = 1024;

/// Counters since the start of the core, and the current sizes of its tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stats {
    /// Queries currently in flight or queued.
    pub queries: usize,
    /// Attempts currently in flight.
    pub attempts: usize,
    /// Request keys currently remembered.
    pub keys: usize,
    /// Timers currently armed.
    pub timers: usize,
    /// Servers currently ejected.
    pub ejected: usize,
    /// Servers in the current view that get no new work because another server was found at their address.
    pub replaced: usize,
    /// First attempts sent.
    pub first: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Retries sent, including repeats for a common snapshot.
    pub retries: u64,
    /// Attempts that provably never reached a server.
    pub not_sent: u64,
    /// Attempts that a server refused before running them.
    pub refused: u64,
    /// Attempts with an unknown outcome.
    pub lost: u64,
    /// Replies to attempts that were cancelled or are unknown.
    pub late: u64,
    /// Queries whose replies came from more than one snapshot.
    pub mixed: u64,
    /// Queries restarted because the data was repartitioned.
    pub restarts: u64,
    /// Detected pauses of the process.
    pub pauses: u64,
    /// Ejections of servers.
    pub ejections: u64,
    /// Choices of a replica in another data centre although a near one was open.
    pub far_choices: u64,
    /// Choices that the standing of a server changed.
    pub standing_choices: u64,
    /// Reports on single servers that deviate from the usual or have a standing.
    pub observed: u64,
    /// Queries ended early because they could not reach their least coverage.
    pub hopeless: u64,
    /// Tokens given to complete a query in time.
    pub tokens_complete: u64,
    /// Tokens given for coverage beyond the least.
    pub tokens_coverage: u64,
    /// Tokens given to complete a late query.
    pub tokens_late: u64,
    /// Extra attempts for which the reserve for more useful ones withheld a token.
    pub tokens_withheld: u64,
    /// Extra attempts for which the budget of the class had no token.
    pub denied_by_class: u64,
    /// Extra attempts for which the bound of the service had no token.
    pub denied_by_service: u64,
    /// Invariant violations.
    pub breaches: u64,
}

/// How one query ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Id of the query.
    pub query: id::Query,
    /// Name of its class.
    pub class: CompactString,
    /// Whether it ran.
    pub outcome: event::Outcome,
    /// Why it ended as it did.
    pub code: event::Code,
    /// Time from arrival to answer.
    pub took: clock::Millis,
    /// Number of attempts made for it.
    pub cost: event::Cost,
    /// Shards that did not contribute, with the servers that were tried for each.
    pub missing: Vec<(CompactString, Vec<CompactString>)>,
}

#[derive(Debug, Default)]
pub(crate) struct Ring {
    summaries: VecDeque<Summary>,
}

impl Ring {
    pub(crate) fn push(&mut self, summary: Summary) {
        if self.summaries.len() == CAPACITY {
            self.summaries.pop_front();
        }
        self.summaries.push_back(summary);
    }

    pub(crate) fn find(&self, query: id::Query) -> Option<&Summary> {
        self.summaries.iter().rev().find(|summary| summary.query == query)
    }
}
