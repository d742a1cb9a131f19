//! Simulated leaves with slots, a queue, a speed and index versions.

use std::collections::VecDeque;

use shallothub_core::{id, view};

/// Simulated time, in microseconds.
pub(crate) type Micros = u64;

/// Dimensions of one service, as in the requirements.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) name: &'static str,
    pub(crate) shards: usize,
    pub(crate) replicas: usize,
    pub(crate) slots: usize,
    pub(crate) connections: u32,
    /// Time to open a connection.
    pub(crate) connect: Micros,
    /// One-way delay between host and leaf.
    pub(crate) link: Micros,
    /// Mean service time of a search.
    pub(crate) service: Micros,
    pub(crate) deadline_ms: u64,
    pub(crate) settle_ms: Option<u64>,
    pub(crate) least_coverage: f64,
}

pub(crate) const GUESTFRONT: Size = Size {
    name: "guestfront sweep",
    shards: 20,
    replicas: 2,
    slots: 2,
    connections: 25,
    connect: 6000,
    link: 500,
    service: 4000,
    deadline_ms: 250,
    settle_ms: Some(200),
    least_coverage: 0.95,
};

pub(crate) const PROOFDESK: Size = Size {
    name: "proofdesk reference check",
    shards: 20,
    replicas: 2,
    slots: 2,
    connections: 25,
    connect: 6000,
    link: 1500,
    service: 4000,
    deadline_ms: 1500,
    settle_ms: None,
    least_coverage: 0.97,
};

impl Size {
    pub(crate) fn leaves(&self) -> usize {
        self.shards * self.replicas
    }

    /// Maximum queries per second, as limited by the slots.
    pub(crate) fn capacity(&self) -> f64 {
        (self.replicas * self.slots) as f64 * 1e6 / self.service as f64
    }
}

/// A search that is queued or running at a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Job {
    pub(crate) host: usize,
    pub(crate) attempt: id::Attempt,
    pub(crate) want: Option<view::Snapshot>,
    pub(crate) deadline: Micros,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Leaf {
    pub(crate) is_up: bool,
    pub(crate) slowdown: u64,
    pub(crate) version: u64,
    pub(crate) previous_version: Option<u64>,
    pub(crate) running: Vec<Job>,
    pub(crate) queue: VecDeque<Job>,
    /// Whether the leaf always reports a load of zero.
    pub(crate) hides_load: bool,
}

/// Queue length at which a leaf refuses further jobs.
pub(crate) const QUEUE_CAPACITY: usize = 16;

impl Leaf {
    pub(crate) fn load(&self) -> u32 {
        if self.hides_load { 0 } else { (self.running.len() + self.queue.len()) as u32 }
    }

    pub(crate) fn remove(&mut self, host: usize, attempt: id::Attempt) -> bool {
        let matches = |job: &Job| job.host == host && job.attempt == attempt;
        self.queue.retain(|job| !matches(job));
        let running_before = self.running.len();
        self.running.retain(|job| !matches(job));
        running_before != self.running.len()
    }

    pub(crate) fn snapshot(&self, want: Option<view::Snapshot>) -> view::Snapshot {
        let version = match want {
            Some(want) if Some(want.version) == self.previous_version => want.version,
            _ => self.version,
        };
        view::Snapshot { epoch: 1, version }
    }

    pub(crate) fn other_snapshot(&self, given: view::Snapshot) -> Option<view::Snapshot> {
        let version = if given.version == self.version { self.previous_version? } else { self.version };
        Some(view::Snapshot { epoch: 1, version })
    }
}
