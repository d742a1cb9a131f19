//! Reads a registry: a keyspace that is listed once and then followed through its change feed.
//!
//! The items become the parts of the two catalogs, whose versions are revisions of the registry. From there on,
//! catalogs are handled like published documents: a higher version replaces a lower one, never the reverse, whether
//! it came from the registry or from another host.

use std::sync::Arc;

use compact_str::CompactString;
use rand::Rng;

use crate::{catalog, clock, plan, revision, view};

use super::{Core, Output, hold, message, mirror, note};

/// Pause between a response with changes and the next call. Changes come in bursts (many servers starting,
/// warm-up reported in steps), and each response costs every watching host a call, while the bounds for noticing
/// a change are several seconds. Compared with 200 ms, this saved a quarter to a third of all calls.
const CHANGES_PAUSE: clock::Millis = clock::Millis(500);
/// Minimum time between the start of a failed call and the next call; jitter adds up to as much again. The return
/// of a registry is detected well within the two seconds in which servers register again.
const RETRY_PAUSE: clock::Millis = clock::Millis(300);
/// Factor by which the retry pause is longer on a standby watcher, since several standbys poll at the same time.
const STANDBY_RETRY_FACTOR: f64 = 2.0;
/// Minimum delay before a retry, for calls that failed late.
const MIN_RETRY_DELAY: clock::Millis = clock::Millis(50);
/// Timeout of a call, beyond its wait for changes. Responses take milliseconds, and a few tenths of a second when
/// the registry is slow. A call that takes longer is lost and should be retried early.
const RESPONSE_TIMEOUT: clock::Millis = clock::Millis(1000);
/// Minimum wait of a call, as a fraction of the maximum. A change completes the calls of all hosts at once. If the
/// next calls all waited equally long, a short outage of the registry could lose all of them together.
const MIN_WAIT_FRACTION: f64 = 0.6;

/// The call in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Call {
    #[default]
    None,
    Page,
    Changes {
        /// Distinguishes the call from earlier ones that were abandoned.
        ticket: u64,
        /// Whether it was sent to revalidate the view after a pause of the process.
        is_revalidation: bool,
    },
}

/// State of reading the registry.
#[derive(Debug, Default)]
pub(super) struct Registry {
    mirror: mirror::Mirror,
    call: Call,
    last_ticket: u64,
    must_list: bool,
    /// Whether to poll once although another host watches.
    must_poll: bool,
    next_call_at: clock::Millis,
    /// When the call in flight was sent.
    sent_at: clock::Millis,
    pub(super) held: hold::Held,
}

impl Core {
    /// Sends the call that is due: a full read if there is no copy yet, otherwise a request for changes.
    pub(super) fn poll_registry(&mut self) {
        self.expire_held();
        if self.registry.call == Call::None && !self.is_watcher() && !self.registry.must_poll {
            self.registry.held.on_polling_stopped();
        }
        if self.registry.call != Call::None || self.registry.next_call_at > self.now || !self.may_poll() {
            return;
        }
        self.advance_mirror();
        if self.registry.mirror.at().number == 0 || self.registry.must_list {
            self.registry.must_list = false;
            self.registry.call = Call::Page;
            self.registry.sent_at = self.now;
            self.outputs.push(Output::List { after: None });
            return;
        }
        let wait = self.choose_wait();
        self.follow(wait, false);
    }

    /// Advances the copy to the catalogs in force if these came from other hosts and are later. A host that becomes
    /// a watcher then need not read hundreds of entries that it already has.
    fn advance_mirror(&mut self) {
        let is_later = self.complete_to > self.registry.mirror.at().version() && !self.registry.must_list;
        if !is_later || self.replicas.iter().any(|replica| replica.stamp.version == 0) {
            return;
        }
        let changed_at = [self.replicas[0].stamp.version, self.replicas[1].stamp.version];
        let mut parts = Vec::new();
        for replica in &self.replicas {
            for (key, digest) in &replica.current.manifest.parts {
                let Some(text) = replica.current.texts.get(digest) else {
                    return;
                };
                parts.push((key.clone(), *digest, Arc::clone(text)));
            }
        }
        let at = revision::Revision::from_version(self.complete_to);
        self.registry.mirror.load(at, changed_at, parts.into_iter());
    }

    /// Records the revision up to which the catalogs of the sender of `digest` are complete.
    pub(super) fn record_peer_completeness(&mut self, digest: &message::Digest) {
        if digest.complete_to > self.peer_completeness.1 {
            self.peer_completeness = (digest.stamps, digest.complete_to);
        }
        self.apply_peer_completeness();
    }

    /// Advances `complete_to` to the recorded revision if the catalogs in force are the same as that host's.
    pub(super) fn apply_peer_completeness(&mut self) {
        if self.peer_completeness.0 == [self.replicas[0].stamp, self.replicas[1].stamp] {
            self.complete_to = self.complete_to.max(self.peer_completeness.1);
        }
    }

    /// Chooses how long the next call may wait for changes. A registry that stops responding may accept calls that it
    /// never answers. Each host must detect that itself, since a partition may separate it from hosts that report it.
    fn choose_wait(&mut self) -> clock::Millis {
        // While the registry is unreachable, a long wait would only delay detecting its return.
        if !self.is_watcher() || self.registry.held.is_registry_unreachable() {
            return clock::Millis::ZERO;
        }
        let max_wait = self.policy.notice - RESPONSE_TIMEOUT;
        max_wait.scale(self.random.random_range(MIN_WAIT_FRACTION..=1.0))
    }

    /// Requests one immediate poll of the registry, since the hosts that watch it for this one may have failed.
    pub(super) fn request_poll(&mut self) {
        self.registry.must_poll = true;
    }

    /// Replaces a call in flight that was sent before `since`, the time from which another host had a newer version:
    /// the registry should have answered it, so it may be lost.
    pub(super) fn retry_stalled_call(&mut self, since: clock::Millis) {
        let is_waiting = matches!(self.registry.call, Call::Changes { is_revalidation: false, .. });
        if is_waiting && self.registry.sent_at <= since {
            self.follow(clock::Millis::ZERO, false);
        }
    }

    /// Whether this host may call the registry. Watchers always may, other hosts only if requested or if their
    /// catalogs have not been confirmed for too long.
    fn may_poll(&self) -> bool {
        // The other catalog may still arrive from another host.
        if self.lacks_catalog() && self.now < self.registry_read_at() {
            return false;
        }
        if self.is_starting() {
            return true;
        }
        // A joining host follows the registry only if it has read the registry itself.
        let may_watch = self.registry.mirror.at().number > 0 || !self.is_joining();
        let confirmed_at = self.replicas[catalog::Kind::Hosts.index()].confirmed_at.unwrap_or(self.started_at);
        let is_stale = self.now.since(confirmed_at) > self.policy.stale;
        self.is_watcher() && may_watch || self.registry.must_poll || is_stale
    }

    fn follow(&mut self, wait: clock::Millis, is_revalidation: bool) {
        let registry = &mut self.registry;
        registry.last_ticket += 1;
        registry.must_poll = false;
        registry.sent_at = self.now;
        registry.call = Call::Changes { ticket: registry.last_ticket, is_revalidation };
        let (ticket, after) = (registry.last_ticket, registry.mirror.at().number);
        self.outputs.push(Output::WatchRegistry { ticket, after, wait, timeout: RESPONSE_TIMEOUT });
    }

    /// Replaces the call in flight, which may be lost after a pause, by one that does not wait for changes.
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
            self.registry.mirror.abort_read();
            self.registry.must_list = true;
            self.on_registry_failure();
            return;
        };
        self.on_registry_response();
        let Some(schema) = self.schema() else {
            return;
        };
        let at = self.registry.mirror.at();
        let versions_in_force = [self.replicas[0].stamp.version, self.replicas[1].stamp.version];
        match self.registry.mirror.add_page(page, schema, versions_in_force) {
            mirror::ReadProgress::Next { after } => self.outputs.push(Output::List { after: Some(after) }),
            mirror::ReadProgress::EraChanged => {
                self.registry.call = Call::None;
                self.registry.must_list = true;
            }
            mirror::ReadProgress::Stale { read_at } => {
                self.registry.call = Call::None;
                // It may lag behind the copy and reject requests for changes until it has caught up.
                self.registry.next_call_at = self.now + RETRY_PAUSE;
                self.stats.platform_stale += 1;
                self.outputs.push(Output::Note(note::Note::StaleRead { at, read_at }));
            }
            mirror::ReadProgress::Done => {
                self.registry.call = Call::None;
                self.rebuild_catalogs();
            }
        }
    }

    pub(super) fn on_changes(&mut self, ticket: u64, changes: mirror::Changes) {
        let Call::Changes { ticket: current, is_revalidation } = self.registry.call else {
            return;
        };
        if current != ticket {
            return;
        }
        self.registry.call = Call::None;
        match changes {
            mirror::Changes::Failed => self.on_registry_failure(),
            mirror::Changes::Compacted => {
                self.on_registry_response();
                self.registry.must_list = true;
                let at = self.registry.mirror.at();
                self.outputs.push(Output::Note(note::Note::HistoryCompacted { at }));
            }
            mirror::Changes::Delta { era, .. } if era > self.registry.mirror.at().era => {
                self.on_registry_response();
                // Revisions of two eras are not comparable, and items in the copy may no longer exist.
                self.registry.must_list = true;
                let at = self.registry.mirror.at();
                self.outputs.push(Output::Note(note::Note::Restored { at, era }));
            }
            mirror::Changes::Delta { era, .. } if era < self.registry.mirror.at().era => self.stats.platform_stale += 1,
            mirror::Changes::Delta { events, at, .. } => {
                self.on_registry_response();
                if !events.is_empty() {
                    self.registry.next_call_at = self.now + CHANGES_PAUSE;
                }
                let Some(schema) = self.schema() else {
                    return;
                };
                if !self.registry.mirror.apply_changes(events, at, schema) {
                    self.stats.platform_stale += 1;
                    return;
                }
                self.rebuild_catalogs();
                if is_revalidation && self.revalidation_requested_at.take().is_some() {
                    self.outputs.push(Output::Revalidated);
                }
            }
        }
    }

    fn on_registry_response(&mut self) {
        let was_unreachable = self.registry.held.is_registry_unreachable();
        self.registry.held.on_response(self.now);
        if was_unreachable {
            self.must_announce = true;
            let at = self.registry.mirror.at();
            self.outputs.push(Output::Note(note::Note::RegistryRecovered { at }));
        }
    }

    fn on_registry_failure(&mut self) {
        self.stats.platform_failures += 1;
        self.registry.call = Call::None;
        let jitter = self.random.random_range(0..=RETRY_PAUSE.0);
        let pause = (RETRY_PAUSE + clock::Millis(jitter)).scale(if self.is_standby_watcher {
            STANDBY_RETRY_FACTOR
        } else {
            1.0
        });
        self.registry.next_call_at = (self.registry.sent_at + pause).max(self.now + MIN_RETRY_DELAY);
        if self.registry.held.on_failure() {
            self.must_announce = true;
            let at = self.registry.mirror.at();
            self.outputs.push(Output::Note(note::Note::RegistryLost { at }));
        }
    }

    /// Builds catalogs from the copy and adopts those that changed.
    fn rebuild_catalogs(&mut self) {
        for kind in catalog::Kind::ALL {
            let is_new = self.registry.mirror.changed_at(kind) > self.replicas[kind.index()].stamp.version;
            if is_new {
                self.rebuild_catalog(kind);
            }
            self.replicas[kind.index()].confirmed_at = Some(self.now);
        }
        // A refused document is in the copy but not in force.
        if self.replicas.iter().all(|replica| replica.refused.is_none_or(|refused| refused <= replica.stamp)) {
            self.complete_to = self.complete_to.max(self.registry.mirror.at().version());
        }
    }

    fn schema(&self) -> Option<mirror::Schema> {
        match self.reader.source {
            super::Source::Registry { kind_of, normalize } => Some(mirror::Schema { kind_of, normalize }),
            super::Source::Documents => None,
        }
    }

    /// Builds the catalog `kind` from a copy that is later than the catalog in force.
    fn rebuild_catalog(&mut self, kind: catalog::Kind) {
        let Some(schema) = self.schema() else {
            return;
        };
        let parts = self.registry.mirror.parts(kind, schema.kind_of);
        let is_unwritten = parts.is_empty() && kind == catalog::Kind::Config;
        if is_unwritten {
            return;
        }
        let mut manifest = catalog::Manifest { version: self.registry.mirror.changed_at(kind), ..Default::default() };
        for (key, digest, _) in &parts {
            manifest.parts.insert(key.clone(), *digest);
        }
        let view::Stamp { version, digest, .. } = manifest.stamp();
        let outdated = self.replicas[kind.index()].outdated;
        if outdated.is_some_and(|stamp| (stamp.version, stamp.digest) == (version, digest)) {
            return;
        }
        for (key, digest, text) in &parts {
            manifest.number = manifest.number.max(self.document_number(kind, key, *digest, text));
        }
        let stamp = manifest.stamp();
        let replica = &mut self.replicas[kind.index()];
        if replica.refused == Some(stamp) || replica.adopt_version(stamp) {
            return;
        }
        if stamp < replica.stamp {
            self.skip_outdated(kind, stamp);
            return;
        }
        for (_, digest, text) in parts {
            replica.current.texts.entry(digest).or_insert(text);
        }
        replica.pending = Some(manifest);
        if self.try_adopt(kind) {
            self.must_announce |= self.is_watcher();
        }
    }

    /// The number that operators assigned to the document `key`. For a configuration that cannot be parsed, the number
    /// in force, so that it is refused with its faults and not skipped as outdated.
    fn document_number(&self, kind: catalog::Kind, key: &CompactString, digest: catalog::Digest, text: &str) -> u64 {
        if kind != catalog::Kind::Config {
            return 0;
        }
        let replica = &self.replicas[kind.index()];
        let number = match replica.part(key, digest) {
            Some(part) => part.number(),
            None => (self.reader.part)(key, text).ok().as_ref().and_then(plan::Part::number),
        };
        number.unwrap_or(replica.stamp.number)
    }

    /// Keeps the document in force. A registry that was restored from a backup has an older one until operators write
    /// the later one again.
    fn skip_outdated(&mut self, kind: catalog::Kind, stamp: view::Stamp) {
        let replica = &mut self.replicas[kind.index()];
        replica.outdated = Some(stamp);
        self.stats.platform_stale += 1;
        let in_force = replica.stamp;
        self.outputs.push(Output::Note(note::Note::Outdated { kind, stamp, in_force }));
    }

    /// Holds the servers that are missing from a new list, and releases those that are listed again.
    pub(super) fn hold_missing(&mut self, before: &catalog::Manifest, after: &catalog::Manifest) {
        let mut missing: Vec<Arc<plan::Part>> = Vec::new();
        let replica = &self.replicas[catalog::Kind::Hosts.index()];
        for (key, digest) in &before.parts {
            if !after.parts.contains_key(key) {
                missing.extend(replica.part(key, *digest).cloned());
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
            if let Some(plan::Part::Leaf(leaf)) = replica.part(key, *digest).map(|part| &**part) {
                self.registry.held.remove(&leaf.name);
            }
        }
        self.registry.held.extend_if_bulk(after.parts.len(), self.policy.serve_on);
    }

    /// Temporarily overrides the restored list `after`: removed servers that it lists again stay out of use, and
    /// evacuations that it lacks stay in force. A server that is held, or that this process has not seen before, does
    /// not count as removed.
    pub(super) fn override_restored(&mut self, before: &catalog::Manifest, after: &catalog::Manifest) {
        let replica = &self.replicas[catalog::Kind::Hosts.index()];
        let (mut removed, mut evacuated) = (Vec::new(), Vec::new());
        for (key, digest) in after.parts.iter().filter(|(key, _)| !before.parts.contains_key(*key)) {
            if let Some(plan::Part::Leaf(leaf)) = replica.part(key, *digest).map(|part| &**part)
                && self.servers.contains(&leaf.name)
                && !self.registry.held.contains(&leaf.name)
            {
                removed.push(leaf.name.clone());
            }
        }
        for (key, digest) in before.parts.iter().filter(|(key, _)| !after.parts.contains_key(*key)) {
            if let Some(plan::Part::Evacuation(data_centres)) = replica.part(key, *digest).map(|part| &**part) {
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
        let expired = self.registry.held.expire(self.now);
        if !expired.is_empty() {
            self.outputs.push(Output::Note(note::Note::HoldExpired { servers: expired }));
        } else if !has_expired {
            return;
        }
        self.compile();
    }

    /// The time of the next call or expiry.
    pub(super) fn registry_timer(&self) -> clock::Millis {
        let held = self.registry.held.next_expiry().unwrap_or(clock::Millis::MAX);
        let held = held.min(self.restore_overrides.next_expiry().unwrap_or(clock::Millis::MAX));
        let is_idle = self.registry.call == Call::None;
        let call = match is_idle {
            true if self.may_poll() => self.registry.next_call_at,
            true if self.lacks_catalog() => self.registry.next_call_at.max(self.registry_read_at()),
            _ => clock::Millis::MAX,
        };
        held.min(call)
    }
}
