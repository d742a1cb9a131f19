//! A fake backend server and the log of its executions.

use compact_str::CompactString;
use shallothub_core::{clock, view};

/// Identifies a query: the host, its life, and the caller's number on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Requester {
    pub host: usize,
    pub life: u32,
    pub caller: u64,
}

/// A query that a leaf started to execute.
#[derive(Clone, Debug)]
pub struct Execution {
    pub requester: Requester,
    pub key: Option<CompactString>,
    pub idempotent: bool,
}

#[derive(Clone, Debug)]
pub struct Leaf {
    pub name: CompactString,
    pub up: bool,
    pub incarnation: u64,
    pub epoch: u64,
    pub version: u64,
    pub held: Option<u64>,
    /// Whether the published list of hosts marks it as leaving.
    pub listed_leaving: bool,
    /// When this incarnation was marked as leaving.
    pub leaving_since: Option<clock::Millis>,
    pub slowdown: u64,
    pub shedding: bool,
    pub busy: u32,
    /// Open connections from all hosts.
    pub connections: u32,
    pub peak_connections: u32,
}

impl Leaf {
    pub fn new(name: CompactString) -> Self {
        Self {
            name,
            up: true,
            incarnation: 1,
            epoch: 1,
            version: 1,
            held: None,
            listed_leaving: false,
            leaving_since: None,
            slowdown: 1,
            shedding: false,
            busy: 0,
            connections: 0,
            peak_connections: 0,
        }
    }

    pub fn snapshot(&self, want: Option<view::Snapshot>) -> view::Snapshot {
        let current = view::Snapshot { epoch: self.epoch, version: self.version };
        match want {
            Some(want) if want.epoch == self.epoch && Some(want.version) == self.held => want,
            _ => current,
        }
    }

    pub fn other_snapshot(&self, given: view::Snapshot) -> Option<view::Snapshot> {
        let version = if given.version == self.version { self.held? } else { self.version };
        Some(view::Snapshot { epoch: self.epoch, version })
    }
}
