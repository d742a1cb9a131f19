//! Distribution of catalogs: pushed down a tree, announced to some hosts, and requested by hosts that a push did
//! not reach.
//!
//! Pushes are cheap, but fail silently when a host in the tree has just died. So hosts that got a catalog from
//! its source also announce its stamp to random hosts, most of which get their pushes from another host. A host
//! that receives a newer stamp in an announcement or a digest requests the catalog if it does not arrive in time.

use compact_str::CompactString;
use rand::Rng;

use crate::{catalog, clock, mutant, rendezvous, view};

use super::{Announcement, Core, Output, Replica, Source, message, note};

/// Time for a push to arrive before an announced catalog is requested: a few hops of some tens of ms each on small
/// hosts. If the hosts that start pushes have died, distribution takes this long at each hop.
const PUSH_TIMEOUT: clock::Millis = clock::Millis(250);
/// Minimum interval between announcements of a host. A busy registry changes several times a second.
const MIN_ANNOUNCE_INTERVAL: clock::Millis = clock::Millis(500);
/// Maximum number of recipients of an announcement. Other hosts learn the stamp from digests.
const MAX_ANNOUNCE_TARGETS: usize = 16;

impl Core {
    /// Whether to request a newer catalog from `from` at once. Most are already being pushed, so in registry mode
    /// the catalog is recorded and requested only if it does not arrive in time.
    pub(super) fn should_request(
        &mut self,
        kind: catalog::Kind,
        peer_stamp: view::Stamp,
        from: &CompactString,
    ) -> bool {
        let is_registry = matches!(self.reader.source, Source::Registry { .. });
        let is_near = self.is_near(from);
        let replica = &mut self.replicas[kind.index()];
        if peer_stamp <= replica.stamp || replica.refused == Some(peer_stamp) {
            return false;
        }
        if !is_registry {
            return true;
        }
        if replica.adopt_version(peer_stamp) {
            return false;
        }
        if replica.stamp.version == 0 {
            return false;
        }
        let since = replica.newer.as_ref().map_or(self.now, |newer| newer.since);
        // A nearby host is preferred to one with a higher stamp; what it lacks is requested later.
        let has_nearer = replica.newer.as_ref().is_some_and(|newer| newer.is_near && !is_near);
        if !has_nearer {
            replica.newer = Some(Announcement { stamp: peer_stamp, from: from.clone(), is_near, since });
        }
        false
    }

    /// Requests the announced catalogs that did not arrive in time.
    pub(super) fn request_overdue(&mut self) {
        let is_fetcher = self.is_fetcher();
        for kind in catalog::Kind::ALL {
            let replica = &mut self.replicas[kind.index()];
            let is_overdue = replica.newer.as_ref().is_some_and(|newer| newer.due(is_fetcher) <= self.now);
            let Some(newer) = replica.newer.take_if(|_| is_overdue) else {
                continue;
            };
            self.request(newer.from, kind);
            self.retry_stalled_call(newer.since);
        }
    }

    /// When [`Core::request_overdue`] or [`Core::announce`] must run next.
    pub(super) fn spread_timer(&self) -> clock::Millis {
        let is_fetcher = self.is_fetcher();
        let overdue =
            self.replicas.iter().filter_map(|replica| replica.newer.as_ref()).map(|newer| newer.due(is_fetcher));
        let announce = if self.must_announce { self.announce_at } else { clock::Millis::MAX };
        overdue.min().unwrap_or(clock::Millis::MAX).min(announce)
    }

    /// Announces this host's stamps to some hosts, and whether the registry is reachable.
    pub(super) fn announce(&mut self) {
        if !self.must_announce || self.announce_at > self.now {
            return;
        }
        self.must_announce = false;
        self.announce_at = self.now + MIN_ANNOUNCE_INTERVAL;
        // While the registry is unreachable for some hosts, watchers need announcements as well.
        let is_registry_partitioned =
            self.registry.held.is_registry_unreachable() || !self.members.without_registry().is_empty();
        let mut others = Vec::new();
        for (address, host) in &self.peers {
            let is_live = host.state == crate::plan::State::Live;
            let is_near = host.data_centre == self.identity.data_centre;
            let is_target = is_registry_partitioned || is_near && !self.watcher_peers.contains(address);
            if is_live && is_target {
                others.push(address.clone());
            }
        }
        for _ in 0..MAX_ANNOUNCE_TARGETS.min(others.len()) {
            let index = self.random.random_range(0..others.len());
            let to = others.swap_remove(index);
            self.send_stamps(to);
        }
    }

    /// Sends a host the stamps of this one in a digest without members.
    pub(super) fn send_stamps(&mut self, to: CompactString) {
        let body = message::Body::Digest(Box::new(message::Digest {
            stamps: [self.replicas[0].stamp, self.replicas[1].stamp],
            ages: [self.age(catalog::Kind::Config), self.age(catalog::Kind::Hosts)],
            known: self.members.count() as u32,
            is_away: self.registry.held.is_registry_unreachable(),
            complete_to: self.complete_to,
            suspects: self.suspects.table.digest(),
            evidence: self.evidence_digest(),
            ..message::Digest::default()
        }));
        self.send(to, body);
    }

    /// Requests the changes since this host's catalog, or the whole catalog if there is none.
    pub(super) fn request(&mut self, to: CompactString, kind: catalog::Kind) {
        let stamp = self.replicas[kind.index()].stamp;
        let is_registry = matches!(self.reader.source, Source::Registry { .. });
        if !is_registry || stamp.version == 0 {
            self.request_whole(to, kind);
            return;
        }
        self.send(to, message::Body::Ask(message::Request { kind, have: Vec::new(), base: Some(stamp) }));
    }

    /// Requests a whole catalog, without the texts that this host has.
    fn request_whole(&mut self, to: CompactString, kind: catalog::Kind) {
        let have = self.replicas[kind.index()].current.texts.keys().copied().collect();
        self.send(to, message::Body::Ask(message::Request { kind, have, base: None }));
    }

    pub(super) fn on_catalog_request(&mut self, from: CompactString, request: &message::Request) {
        let replica = &self.replicas[request.kind.index()];
        if replica.current.manifest.parts.is_empty() {
            return;
        }
        let update = request.base.and_then(|base| replica.update_since(request.kind, base));
        let update = update.unwrap_or_else(|| replica.full_update(request));
        self.send(from, message::Body::Catalog(update));
    }

    pub(super) fn on_update(&mut self, from: CompactString, update: message::Update) {
        let kind = update.kind;
        let replica = &mut self.replicas[kind.index()];
        let peer_stamp = update.stamp();
        let is_older = (peer_stamp.number, peer_stamp.version) < (replica.stamp.number, replica.stamp.version);
        if is_older && !mutant::is(mutant::Mutant::AcceptOlder) {
            return;
        }
        let mut manifest = match update.base {
            None => catalog::Manifest::default(),
            Some(base) if is_applicable(base, &update, replica.stamp) => replica.current.manifest.clone(),
            Some(_) => {
                if self.should_request(kind, peer_stamp, &from) {
                    self.request(from, kind);
                }
                return;
            }
        };
        manifest.number = update.number;
        manifest.version = update.version;
        for key in &update.removed {
            manifest.parts.swap_remove(key);
        }
        let mut texts = Vec::new();
        for part in update.parts {
            if let Some(text) = part.text
                && catalog::Digest::of(&text) == part.digest
            {
                texts.push((part.digest, text));
            }
            manifest.parts.insert(part.key, part.digest);
        }
        manifest.parts.sort_unstable_keys();
        let stamp = manifest.stamp();
        let is_mismatch = update.digest != 0 && update.digest != stamp.digest;
        if is_mismatch {
            // The result differs from the sender's catalog. Adopted under its version, it would not be corrected later.
            if peer_stamp > replica.stamp && replica.refused != Some(peer_stamp) {
                self.request_whole(from, kind);
            }
            return;
        }
        let is_older = stamp <= replica.stamp && !mutant::is(mutant::Mutant::AcceptOlder);
        if is_older || replica.refused == Some(stamp) {
            return;
        }
        if replica.adopt_version(stamp) {
            return;
        }
        replica.current.texts.extend(texts);
        if !replica.current.missing_parts(&manifest).is_empty() {
            self.request_whole(from, kind);
            return;
        }
        replica.pending = Some(manifest);
        if self.try_adopt(kind) {
            self.outputs.push(Output::Note(note::Note::FromPeer { from, stamp }));
        }
    }

    /// Pushes the changes to this host's children in the tree of its data centre and, from the root, to the
    /// roots of the other data centres if documents are the source.
    pub(super) fn push(&mut self, kind: catalog::Kind, before: &catalog::Manifest, base: view::Stamp) {
        let replica = &self.replicas[kind.index()];
        let update = difference(kind, before, base, &replica.current);
        for to in self.children() {
            self.send(to, message::Body::Catalog(update.clone()));
        }
    }

    fn children(&self) -> Vec<CompactString> {
        let Some(index) = self.ranked.iter().position(|name| *name == self.identity.name) else {
            return Vec::new();
        };
        let fanout = self.policy.fanout as usize;
        let first = index * fanout + 1;
        // Watchers read the platform themselves and need no push.
        let skipped = first.max(self.policy.watchers as usize);
        let end = first + fanout;
        let mut names: Vec<CompactString> = self.ranked.iter().take(end).skip(skipped).cloned().collect();
        // A registry is watched in every data centre, and digests are exchanged between them.
        let is_registry = matches!(self.reader.source, Source::Registry { .. });
        if index == 0 && !is_registry {
            names.extend(self.other_roots());
        }
        let mut addresses = Vec::new();
        for (address, host) in &self.peers {
            if names.contains(&host.name) {
                addresses.push(address.clone());
            }
        }
        addresses
    }

    /// The highest-ranked live host of each other data centre.
    fn other_roots(&self) -> Vec<CompactString> {
        let mut data_centres: Vec<&CompactString> = self.peers.values().map(|host| &host.data_centre).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        let mut roots = Vec::new();
        for data_centre in data_centres {
            if *data_centre == self.identity.data_centre {
                continue;
            }
            let is_candidate = |host: &&crate::plan::EntryHost| {
                host.data_centre == *data_centre && host.state == crate::plan::State::Live
            };
            let mut names: Vec<CompactString> =
                self.peers.values().filter(is_candidate).map(|host| host.name.clone()).collect();
            rendezvous::rank(data_centre, &mut names);
            roots.extend(names.into_iter().next());
        }
        roots
    }
}

impl Announcement {
    /// When to request the catalog. Hosts that are not fetchers of their data centre wait longer for a remote one,
    /// so that a fetcher can get it first and announce it nearby.
    fn due(&self, is_fetcher: bool) -> clock::Millis {
        let is_direct = self.is_near || is_fetcher;
        self.since + if is_direct { PUSH_TIMEOUT } else { PUSH_TIMEOUT + PUSH_TIMEOUT }
    }
}

impl Replica {
    /// The whole catalog, with only the texts that the requester lacks.
    fn full_update(&self, request: &message::Request) -> message::Update {
        let mut parts = Vec::with_capacity(self.current.manifest.parts.len());
        for (key, digest) in &self.current.manifest.parts {
            let text = if request.have.contains(digest) { None } else { self.current.texts.get(digest).cloned() };
            parts.push(message::Part { key: key.clone(), digest: *digest, text });
        }
        let view::Stamp { number, version, digest } = self.stamp;
        message::Update { kind: request.kind, base: None, number, version, digest, removed: Vec::new(), parts }
    }

    /// The changes since `base`; `None` if the history does not reach back to it.
    fn update_since(&self, kind: catalog::Kind, base: view::Stamp) -> Option<message::Update> {
        let (mut parts, mut removed) = (Vec::new(), Vec::new());
        for key in self.history.changed_after(base.version)? {
            let Some(digest) = self.current.manifest.parts.get(key) else {
                removed.push(key.clone());
                continue;
            };
            let text = self.current.texts.get(digest).cloned();
            parts.push(message::Part { key: key.clone(), digest: *digest, text });
        }
        let view::Stamp { number, version, digest } = self.stamp;
        Some(message::Update { kind, base: Some(base), number, version, digest, removed, parts })
    }
}

/// Whether the difference `update` can be applied to the manifest of `current`. Versions of a registry are
/// points of one history, so a difference from an earlier version contains the latest value of everything
/// that changed since. The digest of the result verifies this.
fn is_applicable(base: view::Stamp, update: &message::Update, current: view::Stamp) -> bool {
    base == current || update.digest != 0 && base.version <= current.version && current.version > 0
}

fn difference(
    kind: catalog::Kind,
    before: &catalog::Manifest,
    base: view::Stamp,
    current: &catalog::Catalog,
) -> message::Update {
    let mut parts = Vec::new();
    for (key, digest) in &current.manifest.parts {
        if before.parts.get(key) == Some(digest) {
            continue;
        }
        parts.push(message::Part { key: key.clone(), digest: *digest, text: current.texts.get(digest).cloned() });
    }
    let mut removed = Vec::new();
    for key in before.parts.keys() {
        if !current.manifest.parts.contains_key(key) {
            removed.push(key.clone());
        }
    }
    let view::Stamp { number, version, digest } = current.manifest.stamp();
    message::Update { kind, base: Some(base), number, version, digest, removed, parts }
}
