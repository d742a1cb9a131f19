//! Host to host: pushing changes down a tree, and digests that repair what the tree lost.

use compact_str::CompactString;
use rand::Rng;

use crate::{catalog, clock, rendezvous, view};

use super::{Core, Output, Source, member, message, note};

/// Time for a push to arrive, in ms, before what a digest told is asked for: a few hops and the pause
/// between two reads of the registry.
const PUSH_WAIT: clock::Millis = clock::Millis(500);
/// Part of the exchanges in which a seed is asked too.
const SEED_PART: f64 = 0.1;
/// Hosts told at once that this one leaves; the others hear of it from them.
const TOLD_OF_LEAVING: usize = 4;
/// Shortest pause between two exchanges of digests.
const GOSSIP_LEAST: clock::Millis = clock::Millis(50);

impl Core {
    fn say(&mut self, to: CompactString, body: message::Body) {
        let from = self.identity.peer.clone();
        let message = message::Message { protocol: message::PROTOCOL, from, body };
        self.outputs.push(Output::Send { to, message });
    }

    fn digest(&mut self, known: usize, sent: Option<clock::Millis>, echo: Option<clock::Millis>) -> message::Body {
        let members = self.named_members(known);
        message::Body::Digest(message::Digest {
            members,
            known: self.members.count() as u32,
            stamps: [self.shelves[0].stamp, self.shelves[1].stamp],
            ages: [self.age(catalog::Kind::Config), self.age(catalog::Kind::Hosts)],
            sent,
            echo,
        })
    }

    /// This host and some that it knows, for a host that knows `known` hosts.
    fn named_members(&mut self, known: usize) -> Vec<message::Member> {
        if matches!(self.reader.source, Source::Documents) {
            return Vec::new();
        }
        let mut members = self.members.named(known, &mut self.random);
        let state = if self.is_leaving { message::State::Leaving } else { message::State::Alive };
        members.push(message::Member {
            peer: self.identity.peer.clone(),
            name: self.identity.name.clone(),
            data_centre: self.identity.data_centre.clone(),
            relay: self.identity.relay.clone(),
            power: self.identity.power,
            turn: self.turn,
            state,
        });
        members
    }

    fn hear_of(&mut self, from: &CompactString, members: &[message::Member]) {
        let mut has_news = self.members.hear_from(self.now, from) != member::News::None;
        for member in members {
            if member.peer == self.identity.peer {
                self.contradict(member);
                continue;
            }
            let news = self.members.hear(self.now, member);
            has_news |= news != member::News::None;
            if news != member::News::Joined {
                continue;
            }
            let known = self.members.count();
            self.outputs.push(Output::Note(note::Note::Joined { name: member.name.clone(), known }));
        }
        if has_news {
            self.compile();
            self.refresh_peers();
        }
    }

    /// Others say of this host what is not so: a later turn makes its own word the one that holds.
    fn contradict(&mut self, member: &message::Member) {
        let is_wrong =
            member.state == message::State::Silent || member.state > message::State::Alive && !self.is_leaving;
        if member.turn > self.turn || member.turn == self.turn && is_wrong {
            self.turn = member.turn + 1;
        }
    }

    /// Counts members that did not reply, asks doubtful ones again, and forgets those long gone.
    fn review_members(&mut self) {
        let review = self.members.review(self.now, self.policy.gossip);
        let has_news = !review.silent.is_empty();
        if has_news {
            self.outputs.push(Output::Note(note::Note::Silent { names: review.silent }));
        }
        for to in review.unanswered {
            self.outputs.push(Output::Reconnect { to });
        }
        for peer in review.doubtful {
            self.send_digest(peer);
        }
        let is_forgotten = self.members.forget(self.now, self.policy.member_forget);
        if is_forgotten {
            let known = self.members.count();
            self.outputs.push(Output::Note(note::Note::Forgotten { known }));
        }
        if has_news || is_forgotten {
            self.compile();
            self.refresh_peers();
        }
    }

    fn send_digest(&mut self, to: CompactString) {
        self.members.ask(self.now, &to);
        let known = self.members.count();
        let body = self.digest(known, Some(self.now), None);
        self.say(to, body);
    }

    /// Compares digests with a few random hosts when it is time.
    pub(super) fn gossip(&mut self) {
        if self.gossip_at > self.now {
            return;
        }
        let jitter = self.random.random_range(0..=self.policy.gossip.0 / 4);
        let pause = if self.view.is_some() { self.policy.gossip } else { self.policy.start_wait };
        self.gossip_at = self.now + pause.max(GOSSIP_LEAST) + clock::Millis(jitter);
        if matches!(self.reader.source, Source::Registry { .. }) {
            self.review_members();
        }
        self.probe();
    }

    fn probe(&mut self) {
        if matches!(self.reader.source, Source::Registry { .. }) {
            self.probe_members(self.policy.gossip_peers as usize);
            return;
        }
        let known: Vec<CompactString> = if self.peers.is_empty() {
            self.identity.seeds.iter().filter(|seed| **seed != self.identity.peer).cloned().collect()
        } else {
            self.peers.keys().cloned().collect()
        };
        let count = (self.policy.gossip_peers as usize).min(known.len());
        let first = if known.is_empty() { 0 } else { self.random.random_range(0..known.len()) };
        for step in 0..count {
            let stride = 1 + known.len() / self.policy.gossip_peers.max(1) as usize;
            self.send_digest(known[(first + step * stride) % known.len()].clone());
        }
    }

    /// Sends digests to `count` random members. A seed is added while few are known, and now and then
    /// later: two halves that lost each other for long find together again only by what the settings
    /// name.
    fn probe_members(&mut self, count: usize) {
        let mut to = self.members.pick(count, &mut self.random);
        let seeds: Vec<CompactString> =
            self.identity.seeds.iter().filter(|seed| **seed != self.identity.peer).cloned().collect();
        let wants_seed = self.members.count() <= self.identity.seeds.len() || self.random.random_bool(SEED_PART);
        if wants_seed && !seeds.is_empty() {
            let place = self.random.random_range(0..seeds.len());
            to.push(seeds[place].clone());
        }
        to.sort_unstable();
        to.dedup();
        for peer in to {
            self.send_digest(peer);
        }
    }

    /// Tells some hosts at once that this one leaves, so that they pass nothing more on to it.
    pub(super) fn on_leaving(&mut self) {
        self.is_leaving = true;
        self.turn += 1;
        if matches!(self.reader.source, Source::Registry { .. }) {
            self.probe_members(TOLD_OF_LEAVING);
        }
    }

    pub(super) fn on_revalidate(&mut self) {
        self.revalidate_at = Some(self.now);
        if matches!(self.reader.source, Source::Registry { .. }) {
            self.confirm_with_registry();
        }
        self.probe();
    }

    pub(super) fn on_message(&mut self, message: message::Message) {
        self.stats.received += 1;
        if message.protocol > message::PROTOCOL {
            self.stats.unknown += 1;
            return;
        }
        match message.body {
            message::Body::Digest(digest) => self.on_digest(message.from, &digest),
            message::Body::Ask(ask) => self.on_ask(message.from, &ask),
            message::Body::Catalog(update) => self.on_update(message.from, update),
        }
    }

    fn on_digest(&mut self, from: CompactString, digest: &message::Digest) {
        if matches!(self.reader.source, Source::Registry { .. }) {
            self.hear_of(&from, &digest.members);
        }
        for kind in catalog::Kind::ALL {
            if self.must_ask(kind, digest.stamps[kind.index()]) {
                self.ask(from.clone(), kind);
            }
        }
        if digest.sent.is_some() {
            let body = self.digest(digest.known as usize, None, digest.sent);
            self.say(from, body);
        }
        if let Some(echo) = digest.echo {
            self.on_echo(digest, echo);
        }
    }

    /// Whether to ask for a newer catalog that another host has. Most are pushed and are on their way;
    /// only what did not come for a while is asked for.
    fn must_ask(&mut self, kind: catalog::Kind, theirs: view::Stamp) -> bool {
        let is_registry = matches!(self.reader.source, Source::Registry { .. });
        let shelf = &mut self.shelves[kind.index()];
        if theirs <= shelf.stamp || shelf.refused == Some(theirs) {
            return false;
        }
        if shelf.stamp.version == 0 || !is_registry {
            return true;
        }
        let (_, since) = *shelf.newer.get_or_insert((theirs, self.now));
        let is_late = self.now.since(since) >= PUSH_WAIT;
        if is_late {
            shelf.newer = None;
        }
        is_late
    }

    /// A reply to this host's own digest: what the peer has was confirmed `age` before `echo`.
    fn on_echo(&mut self, digest: &message::Digest, echo: clock::Millis) {
        for kind in catalog::Kind::ALL {
            let Some(age) = digest.ages[kind.index()] else {
                continue;
            };
            let shelf = &mut self.shelves[kind.index()];
            if digest.stamps[kind.index()] != shelf.stamp {
                continue;
            }
            let fresh_at = echo - age;
            shelf.fresh_at = Some(shelf.fresh_at.map_or(fresh_at, |held| held.max(fresh_at)));
        }
        self.confirm(digest, echo);
    }

    /// After a pause, one peer that was asked since and has nothing newer is enough.
    fn confirm(&mut self, digest: &message::Digest, echo: clock::Millis) {
        let Some(asked) = self.revalidate_at else {
            return;
        };
        let is_newer =
            catalog::Kind::ALL.iter().any(|kind| digest.stamps[kind.index()] > self.shelves[kind.index()].stamp);
        let is_recent = digest.ages.iter().all(|age| age.is_some_and(|age| age <= self.policy.stale));
        if echo < asked || is_newer || !is_recent {
            return;
        }
        self.revalidate_at = None;
        self.outputs.push(Output::Revalidated);
    }

    fn ask(&mut self, to: CompactString, kind: catalog::Kind) {
        let have = self.shelves[kind.index()].current.texts.keys().copied().collect();
        self.say(to, message::Body::Ask(message::Ask { kind, have }));
    }

    fn on_ask(&mut self, from: CompactString, ask: &message::Ask) {
        let shelf = &self.shelves[ask.kind.index()];
        if shelf.current.manifest.parts.is_empty() {
            return;
        }
        let mut parts = Vec::new();
        for (key, digest) in &shelf.current.manifest.parts {
            let text = if ask.have.contains(digest) { None } else { shelf.current.texts.get(digest).cloned() };
            parts.push(message::Part { key: key.clone(), digest: *digest, text });
        }
        let version = shelf.current.manifest.version;
        let digest = shelf.stamp.digest;
        let update = message::Update { kind: ask.kind, base: None, version, digest, removed: Vec::new(), parts };
        self.say(from, message::Body::Catalog(update));
    }

    fn on_update(&mut self, from: CompactString, update: message::Update) {
        let kind = update.kind;
        let shelf = &mut self.shelves[kind.index()];
        if update.version < shelf.stamp.version && !crate::mutant::is(crate::mutant::Mutant::AcceptOlder) {
            return;
        }
        let mut manifest = match update.base {
            None => catalog::Manifest { version: update.version, ..Default::default() },
            Some(base) if can_build_on(base, &update, shelf.stamp) => shelf.current.manifest.clone(),
            Some(_) => {
                let theirs = view::Stamp { version: update.version, digest: update.digest };
                if self.must_ask(kind, theirs) {
                    self.ask(from, kind);
                }
                return;
            }
        };
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
        let is_older = stamp <= shelf.stamp && !crate::mutant::is(crate::mutant::Mutant::AcceptOlder);
        if is_older || shelf.refused == Some(stamp) {
            return;
        }
        let is_other = update.digest != 0 && update.digest != stamp.digest;
        if is_other {
            self.ask(from, kind);
            return;
        }
        shelf.current.texts.extend(texts);
        if !shelf.current.lacks(&manifest).is_empty() {
            self.ask(from, kind);
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
    let stamp = current.manifest.stamp();
    message::Update { kind, base: Some(base), version: stamp.version, digest: stamp.digest, removed, parts }
}
