//! A local copy of a keyspace, built by a full read and kept up to date by changes.
//!
//! Each item has the revision of its last change, and the copy has the revision up to which it is complete.
//! Applying a change is idempotent, and changes older than the item are ignored. Pages read during concurrent
//! changes and duplicate responses are therefore harmless. The revision of the copy never decreases: older data
//! is ignored.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::{catalog, revision};

/// An item of the source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Unique in the keyspace.
    pub key: CompactString,
    /// The value, a document in the source's format.
    pub text: Arc<str>,
    /// The revision of its last change.
    pub revision: u64,
}

/// One page of a full read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items in key order.
    pub items: Vec<Item>,
    /// Whether another page follows.
    pub has_more: bool,
    /// The source's revision at the time of the read.
    pub at: u64,
    /// How many times the source was restored from a backup; see [`revision::Revision`].
    pub era: u64,
}

/// A change of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The item was created or replaced.
    Put(Item),
    /// The item was removed.
    Delete {
        /// Key of the removed item.
        key: CompactString,
        /// The revision of the removal.
        revision: u64,
    },
}

/// The result of a request for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// All changes between the known revision and `at`.
    Delta {
        /// Changes in order of revision.
        events: Vec<Event>,
        /// The revision up to which `events` is complete.
        at: u64,
        /// How many times the source was restored from a backup.
        era: u64,
    },
    /// The source has discarded these changes; a full read is needed.
    Compacted,
    /// The source did not answer, or refused the request.
    Failed,
}

#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    digest: catalog::Digest,
    text: Arc<str>,
}

/// The state of a full read after a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReadProgress {
    /// The next page is needed.
    Next {
        /// The last key of the previous page.
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

/// Functions that interpret items of the source; see [`super::Source::Registry`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Schema {
    pub(super) kind_of: fn(&str) -> Option<catalog::Kind>,
    pub(super) normalize: fn(&str, Arc<str>) -> Arc<str>,
}

/// A local copy of the keyspace; see the module.
#[derive(Clone, Debug, Default)]
pub(super) struct Mirror {
    entries: IndexMap<CompactString, Entry>,
    at: revision::Revision,
    /// The version of the last change of each catalog's items, by [`catalog::Kind::index`]. It is the same on all
    /// hosts that follow the changes, so the same content has the same version.
    changed_at: [u64; 2],
    /// Items of an unfinished full read, and the revision of its first page.
    partial_read: Option<(revision::Revision, Vec<Item>)>,
}

impl Mirror {
    /// The revision up to which the copy is complete; the default before the first full read.
    pub(super) fn at(&self) -> revision::Revision {
        self.at
    }

    /// Adds a page to the full read. After the last page, the read replaces the copy, unless the copy is newer.
    /// `versions_in_force` are the versions of the catalogs in force, by [`catalog::Kind::index`].
    pub(super) fn add_page(&mut self, page: Page, schema: Schema, versions_in_force: [u64; 2]) -> ReadProgress {
        let at = revision::Revision { era: page.era, number: page.at };
        let (first, items) = self.partial_read.get_or_insert((at, Vec::new()));
        if first.era != at.era {
            self.partial_read = None;
            return ReadProgress::EraChanged;
        }
        let last = page.items.last().map(|item| item.key.clone());
        items.extend(page.items);
        if let Some(after) = last.filter(|_| page.has_more) {
            return ReadProgress::Next { after };
        }
        // The read is complete up to the revision of its first page. Later pages may hold newer items, which is
        // harmless.
        let (at, items) = self.partial_read.take().unwrap_or_default();
        if at < self.at {
            return ReadProgress::Stale { read_at: at };
        }
        let old_at = std::mem::replace(&mut self.at, at);
        let before = std::mem::take(&mut self.entries);
        let changed_at = self.changed_at;
        for item in items {
            self.put(item, schema);
        }
        self.changed_at = changed_at;
        self.mark_differences(&before, at, schema);
        for kind in catalog::Kind::ALL {
            // A catalog in force that is later than the old copy came from another host. It may differ from the new
            // copy even if the old copy does not.
            if old_at.version() < versions_in_force[kind.index()] {
                self.changed_at[kind.index()] = at.version();
            }
        }
        ReadProgress::Done
    }

    /// Marks the catalogs that differ from `before` as changed at `at`, the revision of a full read, since a full
    /// read does not contain the revisions of removals.
    fn mark_differences(&mut self, before: &IndexMap<CompactString, Entry>, at: revision::Revision, schema: Schema) {
        for kind in catalog::Kind::ALL {
            let is_kind = |key: &str| (schema.kind_of)(key) == Some(kind);
            let count = |entries: &IndexMap<CompactString, Entry>| entries.keys().filter(|key| is_kind(key)).count();
            let is_same = |(key, entry): (&CompactString, &Entry)| {
                !is_kind(key) || before.get(key).is_some_and(|old| old.digest == entry.digest)
            };
            let is_changed = count(before) != count(&self.entries) || !self.entries.iter().all(is_same);
            if is_changed {
                self.changed_at[kind.index()] = at.version();
            }
        }
    }

    /// Replaces the copy with catalogs from another host, in place of a full read. They are complete up to the
    /// revision `at`, and `changed_at` are their versions.
    pub(super) fn load(
        &mut self,
        at: revision::Revision,
        changed_at: [u64; 2],
        parts: impl Iterator<Item = (CompactString, catalog::Digest, Arc<str>)>,
    ) {
        self.abort_read();
        // The revision of each item is unknown, but every later change has a higher revision than `at`.
        self.entries = parts.map(|(key, digest, text)| (key, Entry { revision: at.number, digest, text })).collect();
        self.at = at;
        self.changed_at = changed_at;
    }

    /// Discards the pages of an unfinished full read.
    pub(super) fn abort_read(&mut self) {
        self.partial_read = None;
    }

    /// Applies changes of the copy's era; `false` if they are older than the copy.
    pub(super) fn apply_changes(&mut self, events: Vec<Event>, at: u64, schema: Schema) -> bool {
        for event in events {
            match event {
                Event::Put(item) => self.put(item, schema),
                Event::Delete { key, revision } => self.remove(&key, revision, schema),
            }
        }
        let is_older = at < self.at.number;
        self.at.number = self.at.number.max(at);
        !is_older
    }

    fn put(&mut self, item: Item, schema: Schema) {
        let Some(kind) = (schema.kind_of)(&item.key) else {
            return;
        };
        let old = self.entries.get(&item.key);
        if old.is_some_and(|entry| entry.revision >= item.revision) {
            return;
        }
        let text = (schema.normalize)(&item.key, item.text);
        let digest = catalog::Digest::of(&text);
        if old.is_none_or(|entry| entry.digest != digest) {
            self.mark_changed(kind, item.revision);
        }
        self.entries.insert(item.key, Entry { revision: item.revision, digest, text });
    }

    fn remove(&mut self, key: &CompactString, revision: u64, schema: Schema) {
        let is_older = self.entries.get(key).is_some_and(|entry| entry.revision < revision);
        if !is_older {
            return;
        }
        self.entries.swap_remove(key);
        if let Some(kind) = (schema.kind_of)(key) {
            self.mark_changed(kind, revision);
        }
    }

    fn mark_changed(&mut self, kind: catalog::Kind, revision: u64) {
        let version = revision::Revision { era: self.at.era, number: revision }.version();
        let changed_at = &mut self.changed_at[kind.index()];
        *changed_at = version.max(*changed_at);
    }

    /// The version of the last change of the items of `kind`.
    pub(super) fn changed_at(&self, kind: catalog::Kind) -> u64 {
        self.changed_at[kind.index()]
    }

    /// The items of `kind` as parts of a catalog, with their texts, sorted by key.
    pub(super) fn parts(
        &self,
        kind: catalog::Kind,
        kind_of: fn(&str) -> Option<catalog::Kind>,
    ) -> Vec<(CompactString, catalog::Digest, Arc<str>)> {
        let mut parts = Vec::new();
        for (key, entry) in &self.entries {
            if kind_of(key) != Some(kind) {
                continue;
            }
            parts.push((key.clone(), entry.digest, Arc::clone(&entry.text)));
        }
        parts.sort_unstable_by(|left, right| left.0.cmp(&right.0));
        parts
    }
}
