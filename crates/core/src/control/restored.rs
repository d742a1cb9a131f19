//! Temporary overrides for the outdated contents of a registry that was restored from a backup.
//!
//! Until entries expire or operators write again, a restored registry lists servers that had been removed and lacks
//! evacuations that were in force. Removed servers may still answer, but must not receive requests. So for a limited
//! time, a listed server that had been removed gets no requests, and an evacuation that is missing stays in force.
//!
//! A server counts as removed if this process has seen it before and it was neither listed nor held before the restore.
//! Other servers are not affected.

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::clock;

/// How long overrides last. Entries of removed servers expire in this time, and servers and operators write again.
const GRACE_PERIOD: clock::Millis = clock::Millis(4000);

/// The overrides in force; see the module.
#[derive(Debug, Default)]
pub(super) struct Overrides {
    /// Expiry times of overrides that keep removed servers out of use, by server name.
    removed: IndexMap<CompactString, clock::Millis>,
    /// Expiry times of overrides that keep evacuations in force, by data centre.
    evacuated: IndexMap<CompactString, clock::Millis>,
}

impl Overrides {
    /// Keeps the removed server `name` out of use for [`GRACE_PERIOD`].
    pub(super) fn add_removed(&mut self, now: clock::Millis, name: CompactString) {
        self.removed.insert(name, now + GRACE_PERIOD);
    }

    /// Keeps the evacuation of `data_centre` in force for [`GRACE_PERIOD`].
    pub(super) fn add_evacuated(&mut self, now: clock::Millis, data_centre: CompactString) {
        self.evacuated.insert(data_centre, now + GRACE_PERIOD);
    }

    /// Whether the server `name` is kept out of use.
    pub(super) fn is_removed(&self, name: &CompactString) -> bool {
        self.removed.contains_key(name)
    }

    /// The data centres whose evacuations are kept in force.
    pub(super) fn evacuated(&self) -> Vec<CompactString> {
        self.evacuated.keys().cloned().collect()
    }

    /// Drops expired overrides. Returns `true` if there were any.
    pub(super) fn expire(&mut self, now: clock::Millis) -> bool {
        let before = self.removed.len() + self.evacuated.len();
        self.removed.retain(|_, until| *until > now);
        self.evacuated.retain(|_, until| *until > now);
        self.removed.len() + self.evacuated.len() < before
    }

    /// When the next override expires.
    pub(super) fn next_expiry(&self) -> Option<clock::Millis> {
        self.removed.values().chain(self.evacuated.values()).min().copied()
    }
}
