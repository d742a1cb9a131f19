//! A fake backend server and its ledger.

use compact_str::CompactString;
use shallothub_core::{clock, view};

/// Who asks: a host, its life, and the caller's handle there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Asker {
    pub host: usize,
    pub life: u32,
    pub caller: u64,
}

/// A search that was begun.
#[derive(Clone, Debug)]
pub struct Execution {
    pub asker: Asker,
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
    /// In the list of hosts.
    pub listed_leaving: bool,
    /// Since when this incarnation is marked.
    pub marked_at: Option<clock::Millis>,
    pub slow: u64,
    pub shedding: bool,
    pub busy: u32,
    /// Attempts of all hosts that hold a connection.
    pub connections: u32,
    pub connections_most: u32,
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
            marked_at: None,
            slow: 1,
            shedding: false,
            busy: 0,
            connections: 0,
            connections_most: 0,
        }
    }

    pub fn snapshot(&self, want: Option<view::Snapshot>) -> view::Snapshot {
        let current = view::Snapshot { epoch: self.epoch, version: self.version };
        match want {
            Some(want) if want.epoch == self.epoch && Some(want.version) == self.held => want,
            _ => current,
        }
    }

    pub fn other(&self, given: view::Snapshot) -> Option<view::Snapshot> {
        let version = if given.version == self.version { self.held? } else { self.version };
        Some(view::Snapshot { epoch: self.epoch, version })
    }
}
