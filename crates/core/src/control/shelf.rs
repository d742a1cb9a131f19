//! Catalogs: the one in force, the one that is being collected, and how one takes the other's place.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::{catalog, clock, invariant, plan, revision, view};

use super::{Core, Output, history, note};

/// One catalog in force, the one that is being collected, and what is known of the platform's.
#[derive(Debug, Default)]
pub(super) struct Shelf {
    pub(super) current: catalog::Catalog,
    pub(super) history: history::History,
    pub(super) stamp: view::Stamp,
    /// Parsed parts by key and digest of the text. The digest alone does not identify a part: parsing depends on the
    /// key, and entries with different keys can have the same text.
    pub(super) parsed: IndexMap<(CompactString, catalog::Digest), Arc<plan::Part>>,
    /// A newer manifest whose parts are being collected.
    pub(super) pending: Option<catalog::Manifest>,
    pub(super) refused: Option<view::Stamp>,
    /// The registry's manifest that was skipped because it is older than the catalog in force.
    pub(super) outdated: Option<view::Stamp>,
    /// Another host has something newer that did not come yet.
    pub(super) newer: Option<Newer>,
    /// When the platform was last known to have nothing newer.
    pub(super) fresh_at: Option<clock::Millis>,
    pub(super) is_watching: bool,
    pub(super) watch_at: clock::Millis,
    pub(super) read_at: clock::Millis,
}

impl Shelf {
    /// The parsed part for `key` and the text with `digest`, or `None` if it has not been parsed.
    pub(super) fn part(&self, key: &CompactString, digest: catalog::Digest) -> Option<&Arc<plan::Part>> {
        self.parsed.get(&(key.clone(), digest))
    }

    /// Drops parsed parts that are not in the catalog in force, such as those of a refused document, because views are
    /// compiled from all parsed parts.
    fn retain_parts_in_force(&mut self) {
        let parts = &self.current.manifest.parts;
        self.parsed.retain(|(key, digest), _| parts.get(key) == Some(digest));
    }

    /// Takes a later version of the content in force; `false` if `stamp` is of other content. Hosts that read
    /// the registry at different moments may give the same content different versions, and nobody needs to
    /// send it for that.
    pub(super) fn take_version(&mut self, stamp: view::Stamp) -> bool {
        let is_same = self.stamp.version > 0 && stamp.digest == self.stamp.digest;
        if is_same && stamp > self.stamp {
            self.stamp = stamp;
            self.current.manifest.number = stamp.number;
            self.current.manifest.version = stamp.version;
        }
        is_same
    }
}

/// What another host said to have.
#[derive(Debug)]
pub(super) struct Newer {
    pub(super) stamp: view::Stamp,
    pub(super) from: CompactString,
    /// Whether `from` is in this host's data centre.
    pub(super) is_near: bool,
    /// When this host first heard of something newer than it has.
    pub(super) since: clock::Millis,
}

impl Core {
    /// Puts a collected manifest in force if it has no fault. Whoever collects it has looked whether it
    /// is newer, and what is in force changes here alone.
    pub(super) fn try_adopt(&mut self, kind: catalog::Kind) -> bool {
        let shelf = &mut self.shelves[kind.index()];
        let Some(manifest) = shelf.pending.take() else {
            return false;
        };
        if !shelf.current.missing_parts(&manifest).is_empty() {
            shelf.pending = Some(manifest);
            return false;
        }
        let stamp = manifest.stamp();
        if let Err(faults) = self.judge(kind, &manifest) {
            self.shelves[kind.index()].retain_parts_in_force();
            self.refuse(kind, stamp, faults);
            return false;
        }
        self.put_in_force(kind, manifest, stamp);
        true
    }

    /// Acceptance: a pure function of the documents, so that every host judges alike.
    pub(super) fn judge(&mut self, kind: catalog::Kind, manifest: &catalog::Manifest) -> Result<(), Vec<plan::Fault>> {
        let reader = self.reader;
        let shelf = &mut self.shelves[kind.index()];
        let mut faults = Vec::new();
        for (key, digest) in &manifest.parts {
            if shelf.part(key, *digest).is_some() {
                continue;
            }
            let text = &shelf.current.texts[digest];
            match (reader.part)(key, text) {
                Ok(part) => {
                    if let plan::Part::Unreadable(fault) = &part {
                        self.outputs.push(Output::Note(note::Note::Unreadable(fault.clone())));
                    }
                    shelf.parsed.insert((key.clone(), *digest), Arc::new(part));
                }
                Err(found) => faults.extend(found),
            }
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let parts = manifest.parts.iter().map(|(key, digest)| (key, &*shelf.parsed[&(key.clone(), *digest)]));
        let faults = plan::check(parts);
        if faults.is_empty() { Ok(()) } else { Err(faults) }
    }

    pub(super) fn refuse(&mut self, kind: catalog::Kind, stamp: view::Stamp, faults: Vec<plan::Fault>) {
        let shelf = &mut self.shelves[kind.index()];
        let is_known = shelf.refused == Some(stamp);
        shelf.refused = Some(stamp);
        if is_known {
            return;
        }
        self.stats.refused += 1;
        self.outputs.push(Output::Refused { kind, stamp, faults });
    }

    pub(super) fn put_in_force(&mut self, kind: catalog::Kind, manifest: catalog::Manifest, stamp: view::Stamp) {
        let shelf = &mut self.shelves[kind.index()];
        if stamp < shelf.stamp {
            let detail = format!("{kind}: {stamp} after {}", shelf.stamp);
            self.outputs.push(Output::Breach(invariant::Breach { name: invariant::Name::ConfigMonotonic, detail }));
        }
        let before = shelf.current.manifest.clone();
        let old_stamp = shelf.stamp;
        if kind == catalog::Kind::Hosts {
            let era = |stamp: view::Stamp| revision::Revision::from_version(stamp.version).era;
            if era(stamp) > era(old_stamp) {
                // Servers need time to register again after a restore, as after an outage.
                self.registry.held.on_restored(self.now);
                if old_stamp.version > 0 {
                    self.override_restored(&before, &manifest);
                }
            }
            self.hold_missing(&before, &manifest);
        }
        let shelf = &mut self.shelves[kind.index()];
        shelf.history.take(&before, &manifest);
        shelf.current.adopt(manifest);
        shelf.retain_parts_in_force();
        if kind == catalog::Kind::Hosts {
            self.lives.take(self.now, shelf.parsed.values().map(|part| &**part));
        }
        shelf.stamp = stamp;
        if shelf.newer.as_ref().is_some_and(|newer| newer.stamp <= stamp) {
            shelf.newer = None;
        }
        self.stats.adopted += 1;
        self.believe_claim();
        self.compile();
        // What a starting host takes the others have, or ask for.
        let is_taken = old_stamp.version == 0 && self.is_joining();
        if !is_taken {
            self.push(kind, &before, old_stamp);
        }
    }
}
