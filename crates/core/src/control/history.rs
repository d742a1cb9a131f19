//! Records in which version each part of a catalog changed, so that hosts with an older version can be sent a delta.
//!
//! Versions of a registry are totally ordered. When a host adopts a version, it records that version for each part
//! that differs from the previous one. The recorded version is the one in which the part changed or a slightly later
//! one, so the parts recorded after a version include all that changed since. A host that applies a delta verifies
//! the digest of the result.

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::catalog;

/// Maximum number of removed parts that are remembered. Enough for the servers of a service to be replaced several
/// times within the minute or so in which hosts request deltas.
const MAX_REMOVED: usize = 4096;

/// The version of the last change of each part; see the module.
#[derive(Debug, Default)]
pub(super) struct History {
    /// All changes after this version are recorded; 0 if nothing has been recorded.
    since: u64,
    changed: IndexMap<CompactString, u64>,
}

impl History {
    /// Records the parts that differ between `before` and its successor `after`. An empty `before` resets the history.
    pub(super) fn record(&mut self, before: &catalog::Manifest, after: &catalog::Manifest) {
        if before.parts.is_empty() {
            self.since = after.version;
            self.changed.clear();
            return;
        }
        for (key, digest) in &after.parts {
            if before.parts.get(key) != Some(digest) {
                self.changed.insert(key.clone(), after.version);
            }
        }
        for key in before.parts.keys().filter(|key| !after.parts.contains_key(*key)) {
            self.changed.insert(key.clone(), after.version);
        }
        self.trim(after);
    }

    /// Drops the oldest changes if too many are recorded.
    fn trim(&mut self, current: &catalog::Manifest) {
        let max_len = current.parts.len() + MAX_REMOVED;
        if self.changed.len() <= max_len {
            return;
        }
        let mut versions: Vec<u64> = self.changed.values().copied().collect();
        versions.sort_unstable();
        self.since = versions[versions.len() - max_len / 2];
        self.changed.retain(|_, version| *version > self.since);
    }

    /// The keys of the parts that may have changed after `version`; `None` if the history does not reach back that far.
    pub(super) fn changed_after(&self, version: u64) -> Option<impl Iterator<Item = &CompactString>> {
        let is_known = self.since > 0 && version >= self.since;
        is_known.then(|| self.changed.iter().filter(move |(_, changed)| **changed > version).map(|(key, _)| key))
    }
}
