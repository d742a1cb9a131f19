//! A copy of a keyspace that is read whole and then followed by its changes.
//!
//! Each item carries the revision of its last change, and the copy the revision up to which it is
//! complete. Applying a change twice, or one that is older than the item, changes nothing, so pages
//! that were read while changes went on, and answers that come twice, do no harm. The copy never
//! goes back: what is older than it is left out.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::{catalog, revision};

/// An item as the source has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: CompactString,
    /// Its value.
    pub text: Arc<str>,
    /// The revision of its last change.
    pub revision: u64,
}

/// One page of a whole read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Its items, by key.
    pub items: Vec<Item>,
    /// Whether there are more after it.
    pub has_more: bool,
    /// The source's revision when it was read.
    pub at: u64,
    /// How many times the source was restored from a backup; see [`revision::Revision`].
    pub era: u64,
}

/// A change of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It was written.
    Put(Item),
    /// It was removed.
    Gone {
        /// Its key.
        key: CompactString,
        /// The revision of the removal.
        revision: u64,
    },
}

/// What came of asking for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// These, and none besides up to `at`.
    News {
        /// In order.
        events: Vec<Event>,
        /// The revision up to which they are complete.
        at: u64,
        /// How many times the source was restored from a backup.
        era: u64,
    },
    /// The source has forgotten them; it must be read whole.
    HistoryGone,
    /// It did not answer, or refused.
    Failed,
}

#[derive(Clone, Debug)]
struct Row {
    revision: u64,
    digest: catalog::Digest,
    text: Arc<str>,
}

/// The state of a whole read after a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReadProgress {
    /// The next page is needed.
    Next {
        /// The key after which it begins.
        after: CompactString,
    },
    /// The page is of another era than the first one, so the read was discarded.
    EraChanged,
    /// The read was older than the copy and was discarded.
    Stale {
        /// The source's revision on the first page.
        read_at: revision::Revision,
    },
    /// The read is complete and has replaced the copy.
    Done,
}

/// How items are told apart.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kinds {
    pub(super) kind_of: fn(&str) -> Option<catalog::Kind>,
    pub(super) essence: fn(&str, Arc<str>) -> Arc<str>,
}

/// See the module.
#[derive(Clone, Debug, Default)]
pub(super) struct Mirror {
    rows: IndexMap<CompactString, Row>,
    at: revision::Revision,
    /// The version of the last change of each catalog's items, by [`catalog::Kind::index`]. All hosts
    /// that follow the changes find the same one, so the same content has the same version.
    changed_at: [u64; 2],
    /// Pages of a whole read that is not finished, and the revision of the first.
    reading: Option<(revision::Revision, Vec<Item>)>,
}

impl Mirror {
    /// The revision up to which the copy is complete; the default before the first whole read.
    pub(super) fn at(&self) -> revision::Revision {
        self.at
    }

    /// Takes a page. When it was the last, the whole read replaces the copy, unless the copy is newer.
    /// `versions_in_force` are the versions of the catalogs in force, by [`catalog::Kind::index`].
    pub(super) fn take_page(&mut self, page: Page, kinds: Kinds, versions_in_force: [u64; 2]) -> ReadProgress {
        let at = revision::Revision { era: page.era, number: page.at };
        let (first, items) = self.reading.get_or_insert((at, Vec::new()));
        if first.era != at.era {
            self.reading = None;
            return ReadProgress::EraChanged;
        }
        let last = page.items.last().map(|item| item.key.clone());
        items.extend(page.items);
        if let Some(after) = last.filter(|_| page.has_more) {
            return ReadProgress::Next { after };
        }
        // Complete is what the first page saw; later pages may show newer items, which is harmless.
        let (at, items) = self.reading.take().unwrap_or_default();
        if at < self.at {
            return ReadProgress::Stale { read_at: at };
        }
        let old_at = std::mem::replace(&mut self.at, at);
        let before = std::mem::take(&mut self.rows);
        let changed_at = self.changed_at;
        for item in items {
            self.put(item, kinds);
        }
        self.changed_at = changed_at;
        self.note_differences(&before, at, kinds);
        for kind in catalog::Kind::ALL {
            // A catalog in force that is later than the old copy came from another host. It may differ from the new
            // copy even if the old copy does not.
            if old_at.version() < versions_in_force[kind.index()] {
                self.changed_at[kind.index()] = at.version();
            }
        }
        ReadProgress::Done
    }

    /// A whole read does not tell when an item went, so its own revision stands for that.
    fn note_differences(&mut self, before: &IndexMap<CompactString, Row>, at: revision::Revision, kinds: Kinds) {
        for kind in catalog::Kind::ALL {
            let is_kind = |key: &str| (kinds.kind_of)(key) == Some(kind);
            let count = |rows: &IndexMap<CompactString, Row>| rows.keys().filter(|key| is_kind(key)).count();
            let is_same = |(key, row): (&CompactString, &Row)| {
                !is_kind(key) || before.get(key).is_some_and(|old| old.digest == row.digest)
            };
            let is_changed = count(before) != count(&self.rows) || !self.rows.iter().all(is_same);
            if is_changed {
                self.changed_at[kind.index()] = at.version();
            }
        }
    }

    /// Takes the catalogs of another host in place of a whole read: they are complete up to the revision `at`, and
    /// `changed_at` are their versions.
    pub(super) fn take_catalogs(
        &mut self,
        at: revision::Revision,
        changed_at: [u64; 2],
        parts: impl Iterator<Item = (CompactString, catalog::Digest, Arc<str>)>,
    ) {
        self.abandon();
        // When each item changed is not told, but what comes later has a greater revision than all of them.
        self.rows = parts.map(|(key, digest, text)| (key, Row { revision: at.number, digest, text })).collect();
        self.at = at;
        self.changed_at = changed_at;
    }

    /// Forgets the pages of a whole read that did not come to its end.
    pub(super) fn abandon(&mut self) {
        self.reading = None;
    }

    /// Takes changes of the copy's era; `false` if they are older than the copy.
    pub(super) fn take_changes(&mut self, events: Vec<Event>, at: u64, kinds: Kinds) -> bool {
        for event in events {
            match event {
                Event::Put(item) => self.put(item, kinds),
                Event::Gone { key, revision } => self.remove(&key, revision, kinds),
            }
        }
        let is_older = at < self.at.number;
        self.at.number = self.at.number.max(at);
        !is_older
    }

    fn put(&mut self, item: Item, kinds: Kinds) {
        let Some(kind) = (kinds.kind_of)(&item.key) else {
            return;
        };
        let old = self.rows.get(&item.key);
        if old.is_some_and(|row| row.revision >= item.revision) {
            return;
        }
        let text = (kinds.essence)(&item.key, item.text);
        let digest = catalog::Digest::of(&text);
        if old.is_none_or(|row| row.digest != digest) {
            self.note_change(kind, item.revision);
        }
        self.rows.insert(item.key, Row { revision: item.revision, digest, text });
    }

    fn remove(&mut self, key: &CompactString, revision: u64, kinds: Kinds) {
        let is_older = self.rows.get(key).is_some_and(|row| row.revision < revision);
        if !is_older {
            return;
        }
        self.rows.swap_remove(key);
        if let Some(kind) = (kinds.kind_of)(key) {
            self.note_change(kind, revision);
        }
    }

    fn note_change(&mut self, kind: catalog::Kind, revision: u64) {
        let version = revision::Revision { era: self.at.era, number: revision }.version();
        let changed_at = &mut self.changed_at[kind.index()];
        *changed_at = version.max(*changed_at);
    }

    /// The version of the last change of the items of `kind`.
    pub(super) fn changed_at(&self, kind: catalog::Kind) -> u64 {
        self.changed_at[kind.index()]
    }

    /// The items of `kind` as a catalog's parts, with their texts.
    pub(super) fn parts(
        &self,
        kind: catalog::Kind,
        kind_of: fn(&str) -> Option<catalog::Kind>,
    ) -> Vec<(CompactString, catalog::Digest, Arc<str>)> {
        let mut parts = Vec::new();
        for (key, row) in &self.rows {
            if kind_of(key) != Some(kind) {
                continue;
            }
            parts.push((key.clone(), row.digest, Arc::clone(&row.text)));
        }
        parts.sort_unstable_by(|left, right| left.0.cmp(&right.0));
        parts
    }
}
