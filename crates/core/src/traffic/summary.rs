//! Counters of a traffic core, and the story of queries that ended lately.

use std::collections::VecDeque;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{clock, id};

use super::event;

/// Queries whose story is kept for `shallotctl explain`.
const KEPT: usize = 1024;

/// Counters since the start of the core, and the present sizes of its tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stats {
    /// Queries in flight or queued, now.
    pub queries: usize,
    /// Attempts in flight, now.
    pub attempts: usize,
    /// Request keys remembered, now.
    pub keys: usize,
    /// Timers, now.
    pub timers: usize,
    /// Servers left out, now.
    pub ejected: usize,
    /// Servers in the view that get no new work because another server was found at their address, now.
    pub replaced: usize,
    /// First attempts.
    pub first: u64,
    /// Hedges.
    pub hedges: u64,
    /// Retries and re-asks.
    pub retries: u64,
    /// Attempts that provably never reached a server.
    pub not_sent: u64,
    /// Attempts that a server refused before running them.
    pub refused: u64,
    /// Attempts with an unknown end.
    pub lost: u64,
    /// Replies whose attempt was given up or unknown.
    pub late: u64,
    /// Queries whose replies came from more than one snapshot.
    pub mixed: u64,
    /// Queries begun again because the shards were cut anew.
    pub restarts: u64,
    /// Times that the process was found to have been stopped.
    pub pauses: u64,
    /// Ejections of servers.
    pub ejections: u64,
    /// Promises that did not hold.
    pub breaches: u64,
}

/// How one query ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Which query.
    pub query: id::Query,
    /// Its class.
    pub class: CompactString,
    /// Its fate.
    pub outcome: event::Outcome,
    /// Why.
    pub code: event::Code,
    /// Time from arrival to answer.
    pub took: clock::Millis,
    /// Its attempts.
    pub cost: event::Cost,
    /// Shards that did not contribute, with the servers that were tried for each.
    pub missing: Vec<(CompactString, Vec<CompactString>)>,
}

#[derive(Debug, Default)]
pub(crate) struct Ring {
    kept: VecDeque<Summary>,
}

impl Ring {
    pub(crate) fn push(&mut self, summary: Summary) {
        if self.kept.len() == KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(summary);
    }

    pub(crate) fn find(&self, query: id::Query) -> Option<&Summary> {
        self.kept.iter().rev().find(|summary| summary.query == query)
    }
}
