//! When each part of a catalog changed, so that a host that has an older one is sent the difference.
//!
//! Versions of a registry are points of one history. A host that takes a version notes it for each part that
//! differs from the version before, which is when the part changed or a little later; so all that changed after
//! some version is among the parts that are noted with a later one. Whoever builds on a difference checks the
//! digest of the result.

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::catalog;

/// Parts that were removed and are remembered, beside those of the catalog. Enough for a service's servers to be
/// replaced some times in the minute or so in which hosts ask for differences.
const REMOVED_MOST: usize = 4096;

/// See the module.
#[derive(Debug, Default)]
pub(super) struct History {
    /// The version from which on all changes are here.
    since: u64,
    changed: IndexMap<CompactString, u64>,
}

impl History {
    /// Notes that `after` follows `before`; an empty `before` begins the history anew.
    pub(super) fn take(&mut self, before: &catalog::Manifest, after: &catalog::Manifest) {
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
        self.forget(after);
    }

    /// Forgets the oldest changes when many parts were removed.
    fn forget(&mut self, current: &catalog::Manifest) {
        let most = current.parts.len() + REMOVED_MOST;
        if self.changed.len() <= most {
            return;
        }
        let mut versions: Vec<u64> = self.changed.values().copied().collect();
        versions.sort_unstable();
        self.since = versions[versions.len() - most / 2];
        self.changed.retain(|_, version| *version > self.since);
    }

    /// The keys of the parts that may have changed after `version`; `None` if that is not known.
    pub(super) fn after(&self, version: u64) -> Option<impl Iterator<Item = &CompactString>> {
        let is_known = self.since > 0 && version >= self.since;
        is_known.then(|| self.changed.iter().filter(move |(_, changed)| **changed > version).map(|(key, _)| key))
    }
}
