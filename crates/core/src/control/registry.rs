//! Reading a registry: a keyspace that is read whole once and then followed by its changes.
//!
//! The items become the parts of the two catalogs, under the revision up to which the copy is
//! complete. From there on everything is as with published documents: a higher version replaces a
//! lower one, whether it came from the registry or from another host, and never the other way round.

use std::sync::Arc;

use compact_str::CompactString;
use rand::Rng;

use crate::{catalog, clock, plan, revision, view};

use super::{Core, Output, hold, message, mirror, note};

/// Pause after changes before the next ones are asked for, in ms. Changes come in bursts (a start of many
/// servers, a warm-up that is reported step by step), and each answer costs a call of every watching host; the
/// bounds for taking notice are some seconds. Against 200 it saved a quarter to a third of all calls.
const NEWS_PAUSE: clock::Millis = clock::Millis(500);
/// Least time between a call that failed and the next one, in ms; jitter adds as much again. A registry that
/// is back is seen in well under the two seconds in which its entries return.
const FAILURE_PAUSE: clock::Millis = clock::Millis(300);
/// How many times longer a host waits that asks in place of others: it is one of several.
const STAND_IN_PAUSE: f64 = 2.0;
/// Least pause after a call that failed late.
const RETRY_LEAST: clock::Millis = clock::Millis(50);
/// Longest time for an answer beyond the wait for changes. Answers take milliseconds, and some tenths of a
/// second when the registry is slow; what takes longer is lost, and the sooner it is asked for again the better.
const ANSWER_PATIENCE: clock::Millis = clock::Millis(1000);
/// Part of the longest wait that a call waits at least. A change answers the calls of all hosts at once; if
/// the next ones waited equally long, all would be lost together to a registry that goes away for a moment.
const WAIT_LEAST: f64 = 0.6;

/// Which call is on its way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Call {
    #[default]
    None,
    Page,
    Changes {
        /// Told apart from a call that was given up.
        ticket: u64,
        /// Sent to confirm the view after a pause.
        confirms: bool,
    },
}

/// What is known of the registry.
#[derive(Debug, Default)]
pub(super) struct Registry {
    mirror: mirror::Mirror,
    call: Call,
    tickets: u64,
    must_read: bool,
    /// Ask once, although another host watches.
    must_look: bool,
    call_at: clock::Millis,
    /// When the call on its way was sent.
    called_at: clock::Millis,
    pub(super) held: hold::Held,
}

impl Core {
    /// Sends the call that is due: a whole read when nothing is known, else the question for changes.
    pub(super) fn ask_registry(&mut self) {
        self.expire_held();
        if self.registry.call == Call::None && !self.is_watcher() && !self.registry.must_look {
            self.registry.held.on_rest();
        }
        if self.registry.call != Call::None || self.registry.call_at > self.now || !self.may_ask() {
            return;
        }
        self.take_catalogs();
        if self.registry.mirror.at().number == 0 || self.registry.must_read {
            self.registry.must_read = false;
            self.registry.call = Call::Page;
            self.registry.called_at = self.now;
            self.outputs.push(Output::List { after: None });
            return;
        }
        let wait = self.wait();
        self.follow(wait, false);
    }

    /// Begins to follow the registry where the catalogs in force end, which other hosts brought, if that is later
    /// than what this host read itself. A host that comes to watch need not read hundreds of entries that it has.
    fn take_catalogs(&mut self) {
        let is_later = self.complete_to > self.registry.mirror.at().version() && !self.registry.must_read;
        if !is_later || self.shelves.iter().any(|shelf| shelf.stamp.version == 0) {
            return;
        }
        let changed_at = [self.shelves[0].stamp.version, self.shelves[1].stamp.version];
        let mut parts = Vec::new();
        for shelf in &self.shelves {
            for (key, digest) in &shelf.current.manifest.parts {
                let Some(text) = shelf.current.texts.get(digest) else {
                    return;
                };
                parts.push((key.clone(), *digest, Arc::clone(text)));
            }
        }
        let at = revision::Revision::from_version(self.complete_to);
        self.registry.mirror.take_catalogs(at, changed_at, parts.into_iter());
    }

    /// Remembers up to which revision another host's catalogs are complete.
    pub(super) fn hear_claim(&mut self, digest: &message::Digest) {
        if digest.complete_to > self.claim.1 {
            self.claim = (digest.stamps, digest.complete_to);
        }
        self.believe_claim();
    }

    /// The same catalogs are complete up to the same revision, whoever has them.
    pub(super) fn believe_claim(&mut self) {
        if self.claim.0 == [self.shelves[0].stamp, self.shelves[1].stamp] {
            self.complete_to = self.complete_to.max(self.claim.1);
        }
    }

    /// How long the next call may wait for changes. A registry that falls silent takes calls that it never
    /// answers, and each host must notice that by itself: whom else it could hear of it from may be cut off.
    fn wait(&mut self) -> clock::Millis {
        // While the registry does not answer, a long wait would only hide that it is back.
        if !self.is_watcher() || self.registry.held.is_away() {
            return clock::Millis::ZERO;
        }
        let most = self.policy.notice - ANSWER_PATIENCE;
        most.scale(self.random.random_range(WAIT_LEAST..=1.0))
    }

    /// Asks the registry once and at once, since those who watch it for this host may be gone.
    pub(super) fn look_at_registry(&mut self) {
        self.registry.must_look = true;
    }

    /// Another host has had something since `since` of which the registry told this one nothing: the call on
    /// its way may be lost.
    pub(super) fn doubt_registry(&mut self, since: clock::Millis) {
        let is_waiting = matches!(self.registry.call, Call::Changes { confirms: false, .. });
        if is_waiting && self.registry.called_at <= since {
            self.follow(clock::Millis::ZERO, false);
        }
    }

    /// A watcher always asks; another host does when nobody told it anything for long.
    fn may_ask(&self) -> bool {
        // One catalog may come a moment before the other.
        if self.lacks_any() && self.now < self.first_read_at() {
            return false;
        }
        if self.is_starting() {
            return true;
        }
        // Only a host that has read the registry itself follows it from the start on.
        let may_watch = self.registry.mirror.at().number > 0 || !self.is_joining();
        let fresh_at = self.shelves[catalog::Kind::Hosts.index()].fresh_at.unwrap_or(self.started_at);
        let is_stale = self.now.since(fresh_at) > self.policy.stale;
        self.is_watcher() && may_watch || self.registry.must_look || is_stale
    }

    fn follow(&mut self, wait: clock::Millis, confirms: bool) {
        let registry = &mut self.registry;
        registry.tickets += 1;
        registry.must_look = false;
        registry.called_at = self.now;
        registry.call = Call::Changes { ticket: registry.tickets, confirms };
        let (ticket, after) = (registry.tickets, registry.mirror.at().number);
        self.outputs.push(Output::Follow { ticket, after, wait, patience: ANSWER_PATIENCE });
    }

    /// After a pause the call on its way may be dead: asks anew, without waiting for changes.
    pub(super) fn confirm_with_registry(&mut self) {
        if self.registry.mirror.at().number == 0 {
            return;
        }
        self.follow(clock::Millis::ZERO, true);
    }

    pub(super) fn on_page(&mut self, page: Option<mirror::Page>) {
        if self.registry.call != Call::Page {
            return;
        }
        let Some(page) = page else {
            self.registry.mirror.abandon();
            self.registry.must_read = true;
            self.on_registry_failure();
            return;
        };
        self.on_registry_answer();
        let Some(kinds) = self.kinds() else {
            return;
        };
        let at = self.registry.mirror.at();
        let versions_in_force = [self.shelves[0].stamp.version, self.shelves[1].stamp.version];
        match self.registry.mirror.take_page(page, kinds, versions_in_force) {
            mirror::ReadProgress::Next { after } => self.outputs.push(Output::List { after: Some(after) }),
            mirror::ReadProgress::EraChanged => {
                self.registry.call = Call::None;
                self.registry.must_read = true;
            }
            mirror::ReadProgress::Stale { read_at } => {
                self.registry.call = Call::None;
                // It may lag behind the copy and reject requests for changes until it has caught up.
                self.registry.call_at = self.now + FAILURE_PAUSE;
                self.stats.platform_stale += 1;
                self.outputs.push(Output::Note(note::Note::StaleRead { at, read_at }));
            }
            mirror::ReadProgress::Done => {
                self.registry.call = Call::None;
                self.rebuild();
            }
        }
    }

    pub(super) fn on_changes(&mut self, ticket: u64, changes: mirror::Changes) {
        let Call::Changes { ticket: current, confirms } = self.registry.call else {
            return;
        };
        if current != ticket {
            return;
        }
        self.registry.call = Call::None;
        match changes {
            mirror::Changes::Failed => self.on_registry_failure(),
            mirror::Changes::HistoryGone => {
                self.on_registry_answer();
                self.registry.must_read = true;
                let at = self.registry.mirror.at();
                self.outputs.push(Output::Note(note::Note::HistoryGone { at }));
            }
            mirror::Changes::News { era, .. } if era > self.registry.mirror.at().era => {
                self.on_registry_answer();
                // Revisions of two eras are not comparable, and items in the copy may no longer exist.
                self.registry.must_read = true;
                let at = self.registry.mirror.at();
                self.outputs.push(Output::Note(note::Note::Restored { at, era }));
            }
            mirror::Changes::News { era, .. } if era < self.registry.mirror.at().era => self.stats.platform_stale += 1,
            mirror::Changes::News { events, at, .. } => {
                self.on_registry_answer();
                if !events.is_empty() {
                    self.registry.call_at = self.now + NEWS_PAUSE;
                }
                let Some(kinds) = self.kinds() else {
                    return;
                };
                if !self.registry.mirror.take_changes(events, at, kinds) {
                    self.stats.platform_stale += 1;
                    return;
                }
                self.rebuild();
                if confirms && self.revalidation_requested_at.take().is_some() {
                    self.outputs.push(Output::Revalidated);
                }
            }
        }
    }

    fn on_registry_answer(&mut self) {
        let was_away = self.registry.held.is_away();
        self.registry.held.on_answer(self.now);
        if was_away {
            self.must_announce = true;
            let at = self.registry.mirror.at();
            self.outputs.push(Output::Note(note::Note::SourceBack { at }));
        }
    }

    fn on_registry_failure(&mut self) {
        self.stats.platform_failures += 1;
        self.registry.call = Call::None;
        let jitter = self.random.random_range(0..=FAILURE_PAUSE.0);
        let pause =
            (FAILURE_PAUSE + clock::Millis(jitter)).scale(if self.is_backup_watcher { STAND_IN_PAUSE } else { 1.0 });
        self.registry.call_at = (self.registry.called_at + pause).max(self.now + RETRY_LEAST);
        if self.registry.held.on_failure() {
            self.must_announce = true;
            let at = self.registry.mirror.at();
            self.outputs.push(Output::Note(note::Note::SourceLost { at }));
        }
    }

    /// Makes catalogs of the copy, and adopts those whose content changed.
    fn rebuild(&mut self) {
        for kind in catalog::Kind::ALL {
            let is_new = self.registry.mirror.changed_at(kind) > self.shelves[kind.index()].stamp.version;
            if is_new {
                self.rebuild_catalog(kind);
            }
            self.shelves[kind.index()].fresh_at = Some(self.now);
        }
        // A document that was refused is in the copy and not in force.
        if self.shelves.iter().all(|shelf| shelf.refused.is_none_or(|refused| refused <= shelf.stamp)) {
            self.complete_to = self.complete_to.max(self.registry.mirror.at().version());
        }
    }

    fn kinds(&self) -> Option<mirror::Kinds> {
        match self.reader.source {
            super::Source::Registry { kind_of, essence } => Some(mirror::Kinds { kind_of, essence }),
            super::Source::Documents => None,
        }
    }

    /// Makes a catalog of a copy that changed later than what is in force.
    fn rebuild_catalog(&mut self, kind: catalog::Kind) {
        let Some(kinds) = self.kinds() else {
            return;
        };
        let parts = self.registry.mirror.parts(kind, kinds.kind_of);
        let is_unwritten = parts.is_empty() && kind == catalog::Kind::Config;
        if is_unwritten {
            return;
        }
        let mut manifest = catalog::Manifest { version: self.registry.mirror.changed_at(kind), ..Default::default() };
        for (key, digest, _) in &parts {
            manifest.parts.insert(key.clone(), *digest);
        }
        let view::Stamp { version, digest, .. } = manifest.stamp();
        let outdated = self.shelves[kind.index()].outdated;
        if outdated.is_some_and(|stamp| (stamp.version, stamp.digest) == (version, digest)) {
            return;
        }
        for (key, digest, text) in &parts {
            manifest.number = manifest.number.max(self.document_number(kind, key, *digest, text));
        }
        let stamp = manifest.stamp();
        let shelf = &mut self.shelves[kind.index()];
        if shelf.refused == Some(stamp) || shelf.take_version(stamp) {
            return;
        }
        if stamp < shelf.stamp {
            self.skip_outdated(kind, stamp);
            return;
        }
        for (_, digest, text) in parts {
            shelf.current.texts.entry(digest).or_insert(text);
        }
        shelf.pending = Some(manifest);
        if self.try_adopt(kind) {
            self.must_announce |= self.is_watcher();
        }
    }

    /// The number that operators gave the document `key`. For a configuration that cannot be parsed, the number in
    /// force, so that it is refused with its faults and not skipped as outdated.
    fn document_number(&self, kind: catalog::Kind, key: &CompactString, digest: catalog::Digest, text: &str) -> u64 {
        if kind != catalog::Kind::Config {
            return 0;
        }
        let shelf = &self.shelves[kind.index()];
        let number = match shelf.part(key, digest) {
            Some(part) => part.number(),
            None => (self.reader.part)(key, text).ok().as_ref().and_then(plan::Part::number),
        };
        number.unwrap_or(shelf.stamp.number)
    }

    /// Keeps the document in force: a registry that was restored from a backup holds an older one until operators write
    /// the later one again.
    fn skip_outdated(&mut self, kind: catalog::Kind, stamp: view::Stamp) {
        let shelf = &mut self.shelves[kind.index()];
        shelf.outdated = Some(stamp);
        self.stats.platform_stale += 1;
        let in_force = shelf.stamp;
        self.outputs.push(Output::Note(note::Note::Outdated { kind, stamp, in_force }));
    }

    /// Holds the servers that a new list lacks, and lets go of those that it names again.
    pub(super) fn hold_missing(&mut self, before: &catalog::Manifest, after: &catalog::Manifest) {
        let mut missing: Vec<Arc<plan::Part>> = Vec::new();
        let shelf = &self.shelves[catalog::Kind::Hosts.index()];
        for (key, digest) in &before.parts {
            if !after.parts.contains_key(key) {
                missing.extend(shelf.part(key, *digest).cloned());
            }
        }
        for part in missing {
            let plan::Part::Leaf(leaf) = &*part else {
                continue;
            };
            if leaf.leaving {
                continue;
            }
            let until = self.registry.held.add(self.now, leaf, self.policy.serve_on);
            let span = until - self.now;
            self.outputs.push(Output::Note(note::Note::Held { server: leaf.name.clone(), span }));
        }
        for (key, digest) in &after.parts {
            if let Some(plan::Part::Leaf(leaf)) = shelf.part(key, *digest).map(|part| &**part) {
                self.registry.held.remove(&leaf.name);
            }
        }
        self.registry.held.review(after.parts.len(), self.policy.serve_on);
    }

    /// Temporarily keeps removed servers that the restored list `after` names again out of use, and evacuations that it
    /// lacks in force. A server that is held, or that this process has not seen before, does not count as removed.
    pub(super) fn override_restored(&mut self, before: &catalog::Manifest, after: &catalog::Manifest) {
        let shelf = &self.shelves[catalog::Kind::Hosts.index()];
        let (mut removed, mut evacuated) = (Vec::new(), Vec::new());
        for (key, digest) in after.parts.iter().filter(|(key, _)| !before.parts.contains_key(*key)) {
            if let Some(plan::Part::Leaf(leaf)) = shelf.part(key, *digest).map(|part| &**part)
                && self.servers.contains(&leaf.name)
                && !self.registry.held.contains(&leaf.name)
            {
                removed.push(leaf.name.clone());
            }
        }
        for (key, digest) in before.parts.iter().filter(|(key, _)| !after.parts.contains_key(*key)) {
            if let Some(plan::Part::Evacuation(data_centres)) = shelf.part(key, *digest).map(|part| &**part) {
                evacuated.extend(data_centres.iter().cloned());
            }
        }
        for name in &removed {
            self.restore_overrides.add_removed(self.now, name.clone());
        }
        for data_centre in &evacuated {
            self.restore_overrides.add_evacuated(self.now, data_centre.clone());
        }
        if !removed.is_empty() || !evacuated.is_empty() {
            self.outputs.push(Output::Note(note::Note::RestoreOverridden { removed, evacuated }));
        }
    }

    fn expire_held(&mut self) {
        let has_expired = self.restore_overrides.expire(self.now);
        let gone = self.registry.held.expire(self.now);
        if !gone.is_empty() {
            self.outputs.push(Output::Note(note::Note::Gone { servers: gone }));
        } else if !has_expired {
            return;
        }
        self.compile();
    }

    /// When a system of the registry must run at the latest.
    pub(super) fn registry_timer(&self) -> clock::Millis {
        let held = self.registry.held.next().unwrap_or(clock::Millis::MAX);
        let held = held.min(self.restore_overrides.next().unwrap_or(clock::Millis::MAX));
        let is_idle = self.registry.call == Call::None;
        let call = match is_idle {
            true if self.may_ask() => self.registry.call_at,
            true if self.lacks_any() => self.registry.call_at.max(self.first_read_at()),
            _ => clock::Millis::MAX,
        };
        held.min(call)
    }
}
