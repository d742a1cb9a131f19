//! The timers of a core: a heap ordered by time, whose entries are validated when they fire.
//!
//! Timers are never cancelled. They refer to entities by generational key, so a timer that outlives its entity
//! is ignored when it fires.

use std::{cmp, collections};

use crate::{clock, id};

/// Action to take when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// End the query at its deadline.
    Deadline(id::Query),
    /// Answer the query if it has enough coverage by its settle time.
    Settle(id::Query),
    /// Check the query for attempts to hedge.
    Hedge(id::Query),
    /// Retry a shard of the query.
    Retry(id::Query, u32),
    /// Plan the repeats of the searches that wait for tokens.
    Plan,
    /// Send the work queued for the server.
    SendWaiting(id::Server),
    /// Release the connection of a cancelled attempt, which the server has closed by now.
    ConnectionClosed(id::Server),
    /// End the query if the trial that it requested was not granted.
    TrialTimeout(id::Query),
    /// Probe whether the server is alive by opening a connection.
    Probe(id::Server),
    /// End the server's connection probe.
    ProbeTimeout(id::Server),
    /// Resume sending after the grace period of a pause.
    Resume,
    /// Report observations of servers to the control core.
    Report,
}

#[derive(Debug, Default)]
pub(crate) struct Heap {
    entries: collections::BinaryHeap<cmp::Reverse<(clock::Millis, u64, Timer)>>,
    sequence: u64,
}

impl Heap {
    pub(crate) fn push(&mut self, at: clock::Millis, timer: Timer) {
        self.sequence += 1;
        self.entries.push(cmp::Reverse((at, self.sequence, timer)));
    }

    /// Removes and returns the next timer that is due at `now`.
    pub(crate) fn pop(&mut self, now: clock::Millis) -> Option<Timer> {
        let cmp::Reverse((at, ..)) = self.entries.peek()?;
        if *at > now {
            return None;
        }
        self.entries.pop().map(|cmp::Reverse((.., timer))| timer)
    }

    pub(crate) fn next(&self) -> Option<clock::Millis> {
        self.entries.peek().map(|cmp::Reverse((at, ..))| *at)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}
