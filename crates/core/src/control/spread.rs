//! How a catalog reaches other hosts: pushed down a tree, announced to some, and asked for where it does
//! not come.
//!
//! A push is the cheap way, and it fails silently when a host in the tree died a moment ago. So hosts that
//! have a catalog from its source also announce its stamp, to hosts of which another one is in charge, and
//! whoever hears of a stamp, in an announcement or in a digest, asks for what did not come in time.

use compact_str::CompactString;
use rand::Rng;

use crate::{catalog, clock, mutant, rendezvous, view};

use super::{Core, Newer, Output, Shelf, Source, message, note};

/// Time for a push to arrive, in ms, before what a host told is asked for: some hops of a few tens of ms on small
/// hosts. What goes on without pushes, since those who begin them died, takes this long at each hop.
const PUSH_WAIT: clock::Millis = clock::Millis(250);
/// Least time between two announcements of a host, in ms. A busy registry changes several times a second.
const ANNOUNCE_PAUSE: clock::Millis = clock::Millis(500);
/// Most hosts that are told in one announcement. The others hear of it by digests.
const ANNOUNCED: usize = 16;

impl Core {
    /// Whether to ask `from` at once for a newer catalog that it has. Most are pushed and are on their way;
    /// what does not come for a while is asked for later.
    pub(super) fn must_ask(&mut self, kind: catalog::Kind, theirs: view::Stamp, from: &CompactString) -> bool {
        let is_registry = matches!(self.reader.source, Source::Registry { .. });
        let is_near = self.is_near(from);
        let shelf = &mut self.shelves[kind.index()];
        if theirs <= shelf.stamp || shelf.refused == Some(theirs) {
            return false;
        }
        if !is_registry {
            return true;
        }
        if shelf.take_version(theirs) {
            return false;
        }
        if shelf.stamp.version == 0 {
            return false;
        }
        let since = shelf.newer.as_ref().map_or(self.now, |newer| newer.since);
        // Who is nearby goes before who has more: what is still missing then is asked for later.
        let has_nearer = shelf.newer.as_ref().is_some_and(|newer| newer.is_near && !is_near);
        if !has_nearer {
            shelf.newer = Some(Newer { stamp: theirs, from: from.clone(), is_near, since });
        }
        false
    }

    /// Asks for what others have and what did not come in time.
    pub(super) fn ask_for_late(&mut self) {
        let brings = self.is_bringer();
        for kind in catalog::Kind::ALL {
            let shelf = &mut self.shelves[kind.index()];
            let is_late = shelf.newer.as_ref().is_some_and(|newer| newer.due(brings) <= self.now);
            let Some(newer) = shelf.newer.take_if(|_| is_late) else {
                continue;
            };
            self.ask(newer.from, kind);
            self.doubt_registry(newer.since);
        }
    }

    /// When [`Core::ask_for_late`] must run, and [`Core::announce`].
    pub(super) fn spread_timer(&self) -> clock::Millis {
        let brings = self.is_bringer();
        let late = self.shelves.iter().filter_map(|shelf| shelf.newer.as_ref()).map(|newer| newer.due(brings));
        let announce = if self.must_announce { self.announce_at } else { clock::Millis::MAX };
        late.min().unwrap_or(clock::Millis::MAX).min(announce)
    }

    /// Tells some hosts what this one has from the registry, and whether it still hears from it.
    pub(super) fn announce(&mut self) {
        if !self.must_announce || self.announce_at > self.now {
            return;
        }
        self.must_announce = false;
        self.announce_at = self.now + ANNOUNCE_PAUSE;
        // Where the registry turns hosts away, those that watch it need to be told as well.
        let is_torn = self.registry.held.is_away() || !self.members.away().is_empty();
        let mut others = Vec::new();
        for (address, host) in &self.peers {
            let is_live = host.state == crate::plan::State::Live;
            let is_near = host.data_centre == self.identity.data_centre;
            let is_told = is_torn || is_near && !self.watcher_peers.contains(address);
            if is_live && is_told {
                others.push(address.clone());
            }
        }
        for _ in 0..ANNOUNCED.min(others.len()) {
            let place = self.random.random_range(0..others.len());
            let to = others.swap_remove(place);
            self.tell_stamps(to);
        }
    }

    /// Tells a host what this one has, and nothing of others.
    pub(super) fn tell_stamps(&mut self, to: CompactString) {
        let body = message::Body::Digest(Box::new(message::Digest {
            stamps: [self.shelves[0].stamp, self.shelves[1].stamp],
            ages: [self.age(catalog::Kind::Config), self.age(catalog::Kind::Hosts)],
            known: self.members.count() as u32,
            is_away: self.registry.held.is_away(),
            complete_to: self.complete_to,
            suspects: self.suspects.table.digest(),
            ..message::Digest::default()
        }));
        self.say(to, body);
    }

    /// Asks for what this host lacks of a catalog.
    pub(super) fn ask(&mut self, to: CompactString, kind: catalog::Kind) {
        let stamp = self.shelves[kind.index()].stamp;
        let is_registry = matches!(self.reader.source, Source::Registry { .. });
        if !is_registry || stamp.version == 0 {
            self.ask_whole(to, kind);
            return;
        }
        self.say(to, message::Body::Ask(message::Ask { kind, have: Vec::new(), base: Some(stamp) }));
    }

    /// Asks for a whole catalog, less the texts that this host has.
    fn ask_whole(&mut self, to: CompactString, kind: catalog::Kind) {
        let have = self.shelves[kind.index()].current.texts.keys().copied().collect();
        self.say(to, message::Body::Ask(message::Ask { kind, have, base: None }));
    }

    pub(super) fn on_ask(&mut self, from: CompactString, ask: &message::Ask) {
        let shelf = &self.shelves[ask.kind.index()];
        if shelf.current.manifest.parts.is_empty() {
            return;
        }
        let update = ask.base.and_then(|base| shelf.since(ask.kind, base));
        let update = update.unwrap_or_else(|| shelf.whole(ask));
        self.say(from, message::Body::Catalog(update));
    }

    pub(super) fn on_update(&mut self, from: CompactString, update: message::Update) {
        let kind = update.kind;
        let shelf = &mut self.shelves[kind.index()];
        let theirs = update.stamp();
        let is_older = (theirs.number, theirs.version) < (shelf.stamp.number, shelf.stamp.version);
        if is_older && !mutant::is(mutant::Mutant::AcceptOlder) {
            return;
        }
        let mut manifest = match update.base {
            None => catalog::Manifest::default(),
            Some(base) if can_build_on(base, &update, shelf.stamp) => shelf.current.manifest.clone(),
            Some(_) => {
                if self.must_ask(kind, theirs, &from) {
                    self.ask(from, kind);
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
        let is_other = update.digest != 0 && update.digest != stamp.digest;
        if is_other {
            // The result is not the sender's catalog. Under the sender's version it would not be corrected later.
            if theirs > shelf.stamp && shelf.refused != Some(theirs) {
                self.ask_whole(from, kind);
            }
            return;
        }
        let is_older = stamp <= shelf.stamp && !mutant::is(mutant::Mutant::AcceptOlder);
        if is_older || shelf.refused == Some(stamp) {
            return;
        }
        if shelf.take_version(stamp) {
            return;
        }
        shelf.current.texts.extend(texts);
        if !shelf.current.missing_parts(&manifest).is_empty() {
            self.ask_whole(from, kind);
            return;
        }
        shelf.pending = Some(manifest);
        if self.try_adopt(kind) {
            self.outputs.push(Output::Note(note::Note::FromPeer { from, stamp }));
        }
    }

    /// Sends what changed to this host's children in the tree of its data centre, and, from the
    /// root, to the roots of the other data centres.
    pub(super) fn push(&mut self, kind: catalog::Kind, before: &catalog::Manifest, base: view::Stamp) {
        let shelf = &self.shelves[kind.index()];
        let update = difference(kind, before, base, &shelf.current);
        for to in self.children() {
            self.say(to, message::Body::Catalog(update.clone()));
        }
    }

    fn children(&self) -> Vec<CompactString> {
        let Some(place) = self.ranked.iter().position(|name| *name == self.identity.name) else {
            return Vec::new();
        };
        let fanout = self.policy.fanout as usize;
        let first = place * fanout + 1;
        // A host that watches for itself needs no push.
        let skipped = first.max(self.policy.watchers as usize);
        let end = first + fanout;
        let mut names: Vec<CompactString> = self.ranked.iter().take(end).skip(skipped).cloned().collect();
        // A registry is watched in every data centre, and digests cross between them.
        let is_registry = matches!(self.reader.source, Source::Registry { .. });
        if place == 0 && !is_registry {
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

    /// The first host by rank of each other data centre.
    fn other_roots(&self) -> Vec<CompactString> {
        let mut centres: Vec<&CompactString> = self.peers.values().map(|host| &host.data_centre).collect();
        centres.sort_unstable();
        centres.dedup();
        let mut roots = Vec::new();
        for centre in centres {
            if *centre == self.identity.data_centre {
                continue;
            }
            let is_there =
                |host: &&crate::plan::EntryHost| host.data_centre == *centre && host.state == crate::plan::State::Live;
            let mut names: Vec<CompactString> =
                self.peers.values().filter(is_there).map(|host| host.name.clone()).collect();
            rendezvous::rank(centre, &mut names);
            roots.extend(names.into_iter().next());
        }
        roots
    }
}

impl Newer {
    /// When it is asked for. A host that does not bring catalogs to its data centre leaves that to those that do
    /// for a while, and hears of it nearby then.
    fn due(&self, brings: bool) -> clock::Millis {
        let is_direct = self.is_near || brings;
        self.since + if is_direct { PUSH_WAIT } else { PUSH_WAIT + PUSH_WAIT }
    }
}

impl Shelf {
    /// The catalog, with the texts that whoever asks lacks.
    fn whole(&self, ask: &message::Ask) -> message::Update {
        let mut parts = Vec::with_capacity(self.current.manifest.parts.len());
        for (key, digest) in &self.current.manifest.parts {
            let text = if ask.have.contains(digest) { None } else { self.current.texts.get(digest).cloned() };
            parts.push(message::Part { key: key.clone(), digest: *digest, text });
        }
        let view::Stamp { number, version, digest } = self.stamp;
        message::Update { kind: ask.kind, base: None, number, version, digest, removed: Vec::new(), parts }
    }

    /// What has changed since `base`, if that is known.
    fn since(&self, kind: catalog::Kind, base: view::Stamp) -> Option<message::Update> {
        let (mut parts, mut removed) = (Vec::new(), Vec::new());
        for key in self.history.after(base.version)? {
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

/// Whether the difference `update` can be applied to the manifest of `current`. Versions of a registry
/// are points of one history, so a difference from an earlier point holds the latest value of all that
/// changed since, and the digest of the result tells whether that was so.
fn can_build_on(base: view::Stamp, update: &message::Update, current: view::Stamp) -> bool {
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
