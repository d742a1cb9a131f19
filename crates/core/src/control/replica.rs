//! This host's replica of each catalog: the version in force, the version being collected, and how it is adopted.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::{catalog, clock, invariant, plan, revision, view};

use super::{Core, Output, history, note};

/// The catalog in force, the one being collected, and the state of reads of the platform.
#[derive(Debug, Default)]
pub(super) struct Replica {
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
    /// A newer version that another host has announced and that has not arrived yet.
    pub(super) newer: Option<Announcement>,
    /// When it was last confirmed that the platform has nothing newer.
    pub(super) confirmed_at: Option<clock::Millis>,
    pub(super) is_watching: bool,
    pub(super) next_watch_at: clock::Millis,
    pub(super) next_read_at: clock::Millis,
}

impl Replica {
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

    /// Adopts a later version of the content in force; `false` if `stamp` is of other content. Hosts that read
    /// the registry at different times may assign different versions to the same content, which then need not be
    /// transferred.
    pub(super) fn adopt_version(&mut self, stamp: view::Stamp) -> bool {
        let is_same = self.stamp.version > 0 && stamp.digest == self.stamp.digest;
        if is_same && stamp > self.stamp {
            self.stamp = stamp;
            self.current.manifest.number = stamp.number;
            self.current.manifest.version = stamp.version;
        }
        is_same
    }
}

/// A newer version of a catalog that another host has.
#[derive(Debug)]
pub(super) struct Announcement {
    pub(super) stamp: view::Stamp,
    pub(super) from: CompactString,
    /// Whether `from` is in this host's data centre.
    pub(super) is_near: bool,
    /// When this host first learned of a version newer than its own.
    pub(super) since: clock::Millis,
}

impl Core {
    /// Puts the pending manifest in force if it is complete and has no faults. Callers have checked that it is
    /// newer. This is the only place where the manifest in force is replaced.
    pub(super) fn try_adopt(&mut self, kind: catalog::Kind) -> bool {
        let replica = &mut self.replicas[kind.index()];
        let Some(manifest) = replica.pending.take() else {
            return false;
        };
        if !replica.current.missing_parts(&manifest).is_empty() {
            replica.pending = Some(manifest);
            return false;
        }
        let stamp = manifest.stamp();
        if let Err(faults) = self.validate(kind, &manifest) {
            self.replicas[kind.index()].retain_parts_in_force();
            self.refuse(kind, stamp, faults);
            return false;
        }
        self.put_in_force(kind, manifest, stamp);
        true
    }

    /// Checks the documents of `manifest`. The result depends on the documents alone, so all hosts agree on it.
    pub(super) fn validate(
        &mut self,
        kind: catalog::Kind,
        manifest: &catalog::Manifest,
    ) -> Result<(), Vec<plan::Fault>> {
        let reader = self.reader;
        let replica = &mut self.replicas[kind.index()];
        let mut faults = Vec::new();
        for (key, digest) in &manifest.parts {
            if replica.part(key, *digest).is_some() {
                continue;
            }
            let text = &replica.current.texts[digest];
            match (reader.part)(key, text) {
                Ok(part) => {
                    if let plan::Part::Unreadable(fault) = &part {
                        self.outputs.push(Output::Note(note::Note::Unreadable(fault.clone())));
                    }
                    replica.parsed.insert((key.clone(), *digest), Arc::new(part));
                }
                Err(found) => faults.extend(found),
            }
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let parts = manifest.parts.iter().map(|(key, digest)| (key, &*replica.parsed[&(key.clone(), *digest)]));
        let faults = plan::check(parts);
        if faults.is_empty() { Ok(()) } else { Err(faults) }
    }

    pub(super) fn refuse(&mut self, kind: catalog::Kind, stamp: view::Stamp, faults: Vec<plan::Fault>) {
        let replica = &mut self.replicas[kind.index()];
        let is_known = replica.refused == Some(stamp);
        replica.refused = Some(stamp);
        if is_known {
            return;
        }
        self.stats.refused += 1;
        self.outputs.push(Output::Refused { kind, stamp, faults });
    }

    pub(super) fn put_in_force(&mut self, kind: catalog::Kind, manifest: catalog::Manifest, stamp: view::Stamp) {
        let replica = &mut self.replicas[kind.index()];
        if stamp < replica.stamp {
            let detail = format!("{kind}: {stamp} after {}", replica.stamp);
            self.outputs.push(Output::Breach(invariant::Breach { name: invariant::Name::ConfigMonotonic, detail }));
        }
        let before = replica.current.manifest.clone();
        let old_stamp = replica.stamp;
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
        let replica = &mut self.replicas[kind.index()];
        replica.history.record(&before, &manifest);
        replica.current.adopt(manifest);
        replica.retain_parts_in_force();
        if kind == catalog::Kind::Hosts {
            self.incarnations.update(self.now, replica.parsed.values().map(|part| &**part));
        }
        replica.stamp = stamp;
        if replica.newer.as_ref().is_some_and(|newer| newer.stamp <= stamp) {
            replica.newer = None;
        }
        self.stats.adopted += 1;
        self.apply_peer_completeness();
        self.compile();
        // The first catalog of a starting host is not pushed: other hosts have it already, or request it.
        let is_initial = old_stamp.version == 0 && self.is_joining();
        if !is_initial {
            self.push(kind, &before, old_stamp);
        }
    }
}
