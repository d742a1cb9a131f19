//! Incarnations of servers that restart under the same name.
//!
//! An entry contains the start time of its server. An entry that a server wrote before it died can reach the
//! registry, or this host, after the first entry of its next incarnation. A healthy server would then get the
//! address of the dead one, where nothing listens, or be considered leaving. So an entry of an earlier incarnation
//! than the latest known one is ignored, and the latest incarnation's entry is used.

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::{clock, plan};

/// How long the incarnation of an unlisted server is kept. Delayed writes of a dead server arrive within
/// seconds.
const RETENTION: clock::Millis = clock::Millis(60_000);

#[derive(Debug)]
struct Record {
    /// The entry of its latest incarnation.
    leaf: plan::Leaf,
    /// When an entry of any incarnation was last listed.
    listed_at: clock::Millis,
    /// Whether the listed entry is of an earlier incarnation.
    is_outdated: bool,
}

/// The latest incarnation of each server, by name.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    records: IndexMap<CompactString, Record>,
}

impl Incarnations {
    /// Applies the list that is in force from `now` on.
    pub(super) fn update<'p>(&mut self, now: clock::Millis, parts: impl IntoIterator<Item = &'p plan::Part>) {
        for part in parts {
            let plan::Part::Leaf(leaf) = part else {
                continue;
            };
            // Most servers never restart under the same name and have no start time in their entry.
            if leaf.incarnation == 0 {
                continue;
            }
            let record = self.records.entry(leaf.name.clone()).or_insert_with(|| Record {
                leaf: leaf.clone(),
                listed_at: now,
                is_outdated: false,
            });
            record.listed_at = now;
            record.is_outdated = leaf.incarnation < record.leaf.incarnation;
            if !record.is_outdated {
                record.leaf = leaf.clone();
            }
        }
        self.records.retain(|_, record| now.since(record.listed_at) <= RETENTION);
    }

    /// The latest entries of the servers whose listed entry is of an earlier incarnation.
    pub(super) fn restarted(&self) -> Vec<plan::Leaf> {
        self.records.values().filter(|record| record.is_outdated).map(|record| record.leaf.clone()).collect()
    }
}
