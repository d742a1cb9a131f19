//! Lives of servers that start again under the name that they had.
//!
//! An entry says when its server started. What a server wrote before it died can reach the registry, or this
//! host, after the first entry of its next life: a server that is well would be taken for the dead one, at an
//! address where nobody listens, or for one that leaves. So an entry of an earlier life than the latest known
//! counts for nothing, and the server goes on as its present life described itself.

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::{clock, plan};

/// How long the life of a server that is not listed is remembered. What is on its way from a dead server
/// arrives within seconds.
const REMEMBERED: clock::Millis = clock::Millis(60_000);

#[derive(Debug)]
struct Row {
    /// As its latest life described itself.
    leaf: plan::Leaf,
    /// When any entry of it was last listed.
    listed_at: clock::Millis,
    /// Whether the listed entry is of an earlier life.
    is_outdated: bool,
}

/// See the module.
#[derive(Debug, Default)]
pub(super) struct Lives {
    rows: IndexMap<CompactString, Row>,
}

impl Lives {
    /// Takes the list that is in force from `now` on.
    pub(super) fn take<'p>(&mut self, now: clock::Millis, parts: impl IntoIterator<Item = &'p plan::Part>) {
        for part in parts {
            let plan::Part::Leaf(leaf) = part else {
                continue;
            };
            // Most servers never start again under their name, and do not say when they did.
            if leaf.incarnation == 0 {
                continue;
            }
            let row = self.rows.entry(leaf.name.clone()).or_insert_with(|| Row {
                leaf: leaf.clone(),
                listed_at: now,
                is_outdated: false,
            });
            row.listed_at = now;
            row.is_outdated = leaf.incarnation < row.leaf.incarnation;
            if !row.is_outdated {
                row.leaf = leaf.clone();
            }
        }
        self.rows.retain(|_, row| now.since(row.listed_at) <= REMEMBERED);
    }

    /// The servers whose listed entry is of an earlier life.
    pub(super) fn reborn(&self) -> Vec<plan::Leaf> {
        self.rows.values().filter(|row| row.is_outdated).map(|row| row.leaf.clone()).collect()
    }
}
