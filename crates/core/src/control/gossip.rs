//! Host to host: digests, which repair what pushes lost, and members, who are found by them.

use compact_str::CompactString;
use rand::Rng;

use crate::{catalog, clock};

use super::{
    Core, Output, Source, Standing, member, message, note, start,
    views::{COMPILE_PAUSE, JOINED_PAUSE},
};

/// Time after which a digest counts as not answered, in ms. An answer takes some milliseconds; a host with a
/// tenth of a core that does much else takes a hundred.
const REPLY_PATIENCE: clock::Millis = clock::Millis(500);
/// Silence of all other hosts, in ms, after which this one is cut off from them. In calm it hears from two or
/// more in each second.
const CUT_OFF: clock::Millis = clock::Millis(2000);
/// Most digests a second, on average, that a watching host gets from those for which it watches, besides the
/// usual ones. They notice its death sooner than a random host would.
const WATCHER_PROBES: f64 = 8.0;
/// Part of the exchanges in which a seed is asked too.
const SEED_PART: f64 = 0.1;
/// Most digests a second, on average, that all hosts together send to seeds besides the usual ones. It is for
/// two halves of a fleet that lost each other, and one host of each that finds the other half is enough.
const SEED_PROBES: f64 = 6.0;
/// Hosts of each data centre told at once that this one leaves; the others hear of it from them.
const TOLD_OF_LEAVING: usize = 2;
/// Time after the start for which a host may not have heard of many others, unless one that has been up
/// for longer told it. Three or four rounds of digests spread the word among a hundred hosts.
const JOINING: clock::Millis = clock::Millis(1500);
/// Pause between two exchanges in that time.
const JOINING_PAUSE: clock::Millis = clock::Millis(150);
/// Time after the start for which servers may still count connections of the fleet before, if it died as a
/// whole: a machine that loses power closes none, and servers keep idle ones for some seconds.
const REBORN: clock::Millis = clock::Millis(8000);
/// Shortest pause between two exchanges of digests.
const GOSSIP_LEAST: clock::Millis = clock::Millis(50);

impl Core {
    pub(super) fn say(&mut self, to: CompactString, body: message::Body) {
        let from = self.identity.peer.clone();
        let message = message::Message { protocol: message::PROTOCOL, from, body };
        let packs = self.members.packs(&to);
        self.outputs.push(Output::Send { to, packs, message });
    }

    fn digest(
        &mut self,
        to: &member::Reader<'_>,
        sent: Option<clock::Millis>,
        echo: Option<clock::Millis>,
    ) -> message::Body {
        let members = self.named_members(to);
        let parts = match to {
            member::Reader::Unheard => self.members.parts(),
            member::Reader::Told { differs, .. } => differs.len(),
        };
        message::Body::Digest(Box::new(message::Digest {
            members,
            known: self.members.count() as u32,
            members_digest: self.members_digest(parts),
            suspects: self.suspects.table.digest(),
            is_settled: self.standing == Standing::Settled,
            is_away: self.registry.held.is_unreachable(),
            complete_to: self.complete_to,
            stamps: [self.shelves[0].stamp, self.shelves[1].stamp],
            ages: [self.age(catalog::Kind::Config), self.age(catalog::Kind::Hosts)],
            sent,
            echo,
        }))
    }

    /// This host and some that it knows.
    fn named_members(&mut self, to: &member::Reader<'_>) -> Vec<message::Member> {
        if matches!(self.reader.source, Source::Documents) {
            return Vec::new();
        }
        let mut members = self.members.named(self.now, to, &mut self.random);
        members.push(self.this_member());
        members
    }

    fn this_member(&self) -> message::Member {
        message::Member {
            peer: self.identity.peer.clone(),
            name: self.identity.name.clone(),
            data_centre: self.identity.data_centre.clone(),
            relay: self.identity.relay.clone(),
            power: self.identity.power,
            turn: self.turn,
            packs: true,
            state: if self.is_leaving { message::State::Leaving } else { message::State::Alive },
        }
    }

    /// Digests of all members, this host included, in `parts` parts; none where documents list them.
    fn members_digest(&mut self, parts: usize) -> Vec<u32> {
        if matches!(self.reader.source, Source::Documents) {
            return Vec::new();
        }
        let this = self.this_member();
        self.members.digest(parts, &this)
    }

    fn hear_of(&mut self, from: &CompactString, members: &[message::Member]) {
        if self.members.is_doubtful(from) {
            // It may have been cut off. What was sent meanwhile can hold up the connection for as long again, and
            // what this host answers would not arrive.
            self.outputs.push(Output::Reconnect { to: from.clone() });
        }
        let is_back = self.members.hear_from(self.now, from) != member::News::None;
        if is_back {
            self.outputs.push(Output::Note(note::Note::Replied { peer: from.clone() }));
        }
        let mut has_changed = is_back;
        let mut joined = Vec::new();
        for member in members {
            if member.peer == self.identity.peer {
                self.contradict(member);
                continue;
            }
            let news = self.members.hear(self.now, member);
            has_changed |= news == member::News::Changed;
            if news == member::News::Joined {
                joined.push(member.name.clone());
            }
        }
        if !joined.is_empty() {
            let known = self.members.count();
            self.outputs.push(Output::Note(note::Note::Joined { names: joined, known }));
            self.refresh_peers();
            self.schedule_compile(JOINED_PAUSE);
        }
        if has_changed {
            self.refresh_peers();
            self.schedule_compile(COMPILE_PAUSE);
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
        self.review_at = clock::Millis::MAX;
        let review = self.members.review(self.now, self.heard_at, REPLY_PATIENCE);
        let lost_watcher = review.unanswered.iter().any(|peer| self.watcher_peers.contains(peer));
        if lost_watcher {
            self.request_poll();
        }
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
            self.refresh_peers();
            self.schedule_compile(COMPILE_PAUSE);
        }
    }

    fn send_digest(&mut self, to: CompactString) {
        self.members.ask(self.now, &to);
        self.review_at = self.review_at.min(self.now + REPLY_PATIENCE);
        let body = self.digest(&member::Reader::Unheard, Some(self.now), None);
        self.say(to, body);
    }

    /// Compares digests with a few random hosts when it is time, and looks who did not answer.
    pub(super) fn gossip(&mut self) {
        if self.review_at <= self.now {
            self.review_members();
        }
        if self.gossip_at > self.now {
            return;
        }
        let is_registry = matches!(self.reader.source, Source::Registry { .. });
        let mut jitter = self.random.random_range(0..=self.policy.gossip.0 / 4);
        let pause = match (self.view.is_some(), self.standing) {
            (false, _) if !is_registry => self.policy.start_wait,
            (false, Standing::Joining) => {
                jitter /= 8;
                start::DIGEST_INTERVAL
            }
            (_, Standing::Joining) => JOINING_PAUSE,
            _ => self.policy.gossip,
        };
        self.gossip_at = self.now + pause.max(GOSSIP_LEAST) + clock::Millis(jitter);
        self.age_standing();
        self.probe();
    }

    /// Some other hosts at random.
    pub(super) fn random_peers(&mut self, count: usize) -> Vec<CompactString> {
        let is_live = |host: &&crate::plan::EntryHost| host.state == crate::plan::State::Live;
        let mut others: Vec<CompactString> =
            self.peers.values().filter(is_live).map(|host| host.peer.clone()).collect();
        let mut chosen = Vec::new();
        while chosen.len() < count && !others.is_empty() {
            let place = self.random.random_range(0..others.len());
            chosen.push(others.swap_remove(place));
        }
        chosen
    }

    /// A host that nobody who is settled told of the others began together with all of them.
    fn age_standing(&mut self) {
        let age = self.now.since(self.started_at);
        match self.standing {
            Standing::Joining if age >= JOINING => self.stand(Standing::Reborn),
            Standing::Reborn if age >= REBORN => self.stand(Standing::Settled),
            _ => {}
        }
    }

    fn stand(&mut self, standing: Standing) {
        if self.standing == standing {
            return;
        }
        if self.standing == Standing::Joining {
            // Hosts that started together would go on to exchange digests in step.
            self.gossip_at = self.now + clock::Millis(self.random.random_range(0..=self.policy.gossip.0));
        }
        self.standing = standing;
        self.outputs.push(Output::Note(note::Note::Standing { standing, known: self.members.count() }));
        self.compile();
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
        let mut to = self.members.pick(count, &self.identity.data_centre, &mut self.random);
        if !self.is_watcher() {
            let part = (WATCHER_PROBES / self.ranked.len().max(1) as f64).min(1.0);
            to.extend(self.watcher_peers.iter().filter(|_| self.random.random_bool(part)).cloned());
        }
        let seeds: Vec<CompactString> =
            self.identity.seeds.iter().filter(|seed| **seed != self.identity.peer).cloned().collect();
        let count = self.members.count();
        let part = SEED_PART.min(SEED_PROBES / count as f64);
        let wants_seed = count <= self.identity.seeds.len() || self.random.random_bool(part);
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
            for peer in self.members.some_of_each(TOLD_OF_LEAVING, &mut self.random) {
                self.send_digest(peer);
            }
        }
    }

    pub(super) fn on_revalidate(&mut self) {
        self.revalidate_at = Some(self.now);
        if matches!(self.reader.source, Source::Registry { .. }) {
            self.confirm_with_registry();
        }
        self.probe();
    }

    /// This host was cut off, and hears from others again. Connections on which it spoke meanwhile may stay
    /// stuck for as long as the cut took, the ones included on which it answers. Others would take it for
    /// silent until each of them was noticed by itself.
    fn notice_end_of_cut(&mut self) {
        let silence = self.now.since(self.heard_at);
        self.heard_at = self.now;
        let is_registry = matches!(self.reader.source, Source::Registry { .. });
        if !is_registry || silence < CUT_OFF {
            return;
        }
        self.outputs.push(Output::Note(note::Note::PartitionHealed { silence }));
        for to in self.peers.keys() {
            self.outputs.push(Output::Reconnect { to: to.clone() });
        }
    }

    pub(super) fn on_message(&mut self, message: message::Message) {
        self.stats.received += 1;
        self.notice_end_of_cut();
        if message.protocol > message::PROTOCOL {
            self.stats.unknown += 1;
            return;
        }
        match message.body {
            message::Body::Digest(digest) => self.on_digest(message.from, &digest),
            message::Body::Ask(ask) => self.on_ask(message.from, &ask),
            message::Body::Catalog(update) => self.on_update(message.from, update),
            message::Body::Suspects(rows) => self.on_suspects(&rows),
            message::Body::AskTrial(asked) => self.on_ask_trial(message.from, *asked),
            message::Body::GrantTrial(granted) => self.on_grant_trial(*granted),
        }
    }

    fn on_digest(&mut self, from: CompactString, digest: &message::Digest) {
        if matches!(self.reader.source, Source::Registry { .. }) {
            self.hear_of(&from, &digest.members);
            if self.members.set_away(&from, digest.is_away) {
                self.refresh_peers();
            }
            if digest.is_settled && self.members.count() >= digest.known as usize {
                self.stand(Standing::Settled);
            }
        }
        if digest.suspects != self.suspects.table.digest() {
            self.tell_differing(from.clone());
        }
        if digest.echo.is_some() && !digest.members_digest.is_empty() {
            let own = self.members_digest(digest.members_digest.len());
            self.members.set_differing(digest.members_digest != own);
        }
        self.on_bootstrap_digest(&from, digest);
        self.record_claim(digest);
        for kind in catalog::Kind::ALL {
            if self.must_ask(kind, digest.stamps[kind.index()], &from) {
                self.ask(from.clone(), kind);
            }
        }
        if digest.sent.is_some() {
            let sender = digest.members.iter().find(|member| member.peer == from);
            let own = self.members_digest(digest.members_digest.len());
            let reader = member::Reader::Told {
                known: digest.known as usize,
                data_centre: sender.map_or("", |member| member.data_centre.as_str()),
                differs: &member::differs(&digest.members_digest, &own),
            };
            let body = self.digest(&reader, None, digest.sent);
            self.say(from, body);
        }
        if let Some(echo) = digest.echo {
            self.on_echo(digest, echo);
        }
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
            shelf.confirmed_at = Some(shelf.confirmed_at.map_or(fresh_at, |held| held.max(fresh_at)));
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
}
