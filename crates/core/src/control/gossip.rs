//! Gossip between hosts: digests repair lost pushes and disseminate membership.

use compact_str::CompactString;
use rand::Rng;

use crate::{catalog, clock};

use super::{
    Core, Output, Source, Standing, member, message, note, start,
    views::{COMPILE_PAUSE, JOINED_PAUSE},
};

/// Time after which a digest counts as unanswered. A reply takes a few milliseconds, or 100 ms on a busy host
/// with a tenth of a core.
const REPLY_TIMEOUT: clock::Millis = clock::Millis(500);
/// Time without messages from any other host after which this one counts as partitioned. In normal operation it
/// receives messages from two or more hosts each second.
const PARTITION_TIMEOUT: clock::Millis = clock::Millis(2000);
/// Maximum average number of additional digests per second that a watcher receives from the hosts of its data
/// centre. They detect its failure sooner than random probes would.
const WATCHER_PROBES: f64 = 8.0;
/// Maximum probability of also probing a seed in a round.
const SEED_PROBABILITY: f64 = 0.1;
/// Maximum average number of additional digests per second that all hosts together send to seeds. They rejoin the
/// two halves of a partitioned fleet, for which one host that reaches the other half is enough.
const SEED_PROBES: f64 = 6.0;
/// Hosts of each data centre that are notified at once when this one leaves; they notify the others by gossip.
const LEAVE_FANOUT: usize = 2;
/// Time after the start for which a host's member list may be incomplete, unless a settled host has sent it the
/// full list. Three or four rounds of digests reach a hundred hosts.
const JOINING_PERIOD: clock::Millis = clock::Millis(1500);
/// Interval between rounds of digests in the joining period.
const JOINING_INTERVAL: clock::Millis = clock::Millis(150);
/// Time after the start for which servers may still count connections of the previous fleet, if it failed as a
/// whole: a machine that loses power closes none, and servers keep idle ones for some seconds.
const REBORN_PERIOD: clock::Millis = clock::Millis(8000);
/// Minimum interval between two rounds of digests.
const MIN_GOSSIP_INTERVAL: clock::Millis = clock::Millis(50);

impl Core {
    pub(super) fn send(&mut self, to: CompactString, body: message::Body) {
        let compress = self.members.packs(&to);
        self.send_as(to, compress, body);
    }

    /// Sends a message whose content is hardly compressible.
    pub(super) fn send_uncompressed(&mut self, to: CompactString, body: message::Body) {
        self.send_as(to, false, body);
    }

    fn send_as(&mut self, to: CompactString, compress: bool, body: message::Body) {
        let from = self.identity.peer.clone();
        let message = message::Message { protocol: message::PROTOCOL, from, body };
        self.outputs.push(Output::Send { to, compress, message });
    }

    fn digest(
        &mut self,
        recipient: &member::Recipient<'_>,
        sent: Option<clock::Millis>,
        echo: Option<clock::Millis>,
    ) -> message::Body {
        let members = self.digest_members(recipient);
        let bucket_count = match recipient {
            member::Recipient::Unknown => self.members.bucket_count(),
            member::Recipient::Known { differing, .. } => differing.len(),
        };
        message::Body::Digest(Box::new(message::Digest {
            members,
            known: self.members.count() as u32,
            members_digest: self.members_digest(bucket_count),
            suspects: self.suspects.table.digest(),
            evidence: self.evidence_digest(),
            is_settled: self.standing == Standing::Settled,
            is_away: self.registry.held.is_registry_unreachable(),
            complete_to: self.complete_to,
            stamps: [self.replicas[0].stamp, self.replicas[1].stamp],
            ages: [self.age(catalog::Kind::Config), self.age(catalog::Kind::Hosts)],
            sent,
            echo,
        }))
    }

    /// Sends this host's member record, without requesting a reply.
    pub(super) fn send_local_member(&mut self, to: CompactString) {
        let body = message::Body::Digest(Box::new(message::Digest {
            members: vec![self.local_member()],
            known: self.members.count() as u32,
            suspects: self.suspects.table.digest(),
            is_away: self.registry.held.is_registry_unreachable(),
            complete_to: self.complete_to,
            stamps: [self.replicas[0].stamp, self.replicas[1].stamp],
            ages: [self.age(catalog::Kind::Config), self.age(catalog::Kind::Hosts)],
            ..message::Digest::default()
        }));
        self.send(to, body);
    }

    /// The members to include in a digest to `recipient`, and this host.
    fn digest_members(&mut self, recipient: &member::Recipient<'_>) -> Vec<message::Member> {
        if matches!(self.reader.source, Source::Documents) {
            return Vec::new();
        }
        let mut members = self.members.select_for(self.now, recipient, &mut self.random);
        members.push(self.local_member());
        members
    }

    fn local_member(&self) -> message::Member {
        message::Member {
            peer: self.identity.peer.clone(),
            name: self.identity.name.clone(),
            data_centre: self.identity.data_centre.clone(),
            relay: self.identity.relay.clone(),
            power: self.identity.power,
            incarnation: self.incarnation,
            packs: true,
            demand: self.gatherers.published,
            state: if self.is_leaving { message::State::Leaving } else { message::State::Alive },
        }
    }

    /// Digests of all members, this host included, by bucket; empty if documents list the hosts.
    fn members_digest(&mut self, bucket_count: usize) -> Vec<u32> {
        if matches!(self.reader.source, Source::Documents) {
            return Vec::new();
        }
        let local = self.local_member();
        self.members.digests(bucket_count, &local)
    }

    fn merge_members(&mut self, from: &CompactString, members: &[message::Member]) {
        if self.members.is_unresponsive(from) {
            // It may have been partitioned. Data sent meanwhile can stall the connection for as long again, and this
            // host's replies would not arrive.
            self.outputs.push(Output::Reconnect { to: from.clone() });
        }
        let has_recovered = self.members.mark_alive(self.now, from) != member::Change::None;
        if has_recovered {
            self.outputs.push(Output::Note(note::Note::Replied { peer: from.clone() }));
        }
        let mut has_changed = has_recovered;
        let mut has_demand = false;
        let mut joined = Vec::new();
        for member in members {
            if member.peer == self.identity.peer {
                self.refute(member);
                continue;
            }
            let change = self.members.merge(self.now, member);
            has_changed |= change == member::Change::Updated;
            has_demand |= change == member::Change::Demand;
            if change == member::Change::Joined {
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
        if has_demand {
            self.schedule_choice();
        }
    }

    /// Refutes an outdated or false record of this host with a higher incarnation number, which takes precedence.
    fn refute(&mut self, member: &message::Member) {
        let is_wrong =
            member.state == message::State::Silent || member.state > message::State::Alive && !self.is_leaving;
        if member.incarnation > self.incarnation || member.incarnation == self.incarnation && is_wrong {
            self.incarnation = member.incarnation + 1;
        }
        // Another host had incremented the number before this one published a lower demand with the same number.
        if member.incarnation == self.incarnation && member.demand > self.gatherers.published {
            self.incarnation += 1;
        }
    }

    /// Handles members that did not reply: marks them silent or probes them again, and removes expired ones.
    fn check_replies(&mut self) {
        self.reply_check_at = clock::Millis::MAX;
        let timeouts = self.members.take_timeouts(self.now, self.last_received_at, REPLY_TIMEOUT);
        let has_lost_watcher = timeouts.timed_out.iter().any(|peer| self.watcher_peers.contains(peer));
        if has_lost_watcher {
            self.request_poll();
        }
        let has_silent = !timeouts.silent.is_empty();
        if has_silent {
            self.outputs.push(Output::Note(note::Note::Silent { names: timeouts.silent }));
        }
        for to in timeouts.timed_out {
            self.outputs.push(Output::Reconnect { to });
        }
        for peer in timeouts.retries {
            self.send_digest(peer);
        }
        let has_removed = self.members.remove_expired(self.now, self.policy.member_forget);
        if has_removed {
            let known = self.members.count();
            self.outputs.push(Output::Note(note::Note::Forgotten { known }));
        }
        if has_silent || has_removed {
            self.refresh_peers();
            self.schedule_compile(COMPILE_PAUSE);
        }
    }

    fn send_digest(&mut self, to: CompactString) {
        self.members.record_probe(self.now, &to);
        self.reply_check_at = self.reply_check_at.min(self.now + REPLY_TIMEOUT);
        let body = self.digest(&member::Recipient::Unknown, Some(self.now), None);
        self.send(to, body);
    }

    /// Sends digests to a few random hosts when the next round is due, and checks for missing replies.
    pub(super) fn gossip(&mut self) {
        if self.reply_check_at <= self.now {
            self.check_replies();
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
            (_, Standing::Joining) => JOINING_INTERVAL,
            _ => self.policy.gossip,
        };
        self.gossip_at = self.now + pause.max(MIN_GOSSIP_INTERVAL) + clock::Millis(jitter);
        self.advance_standing();
        self.probe();
    }

    /// Up to `count` random live hosts.
    pub(super) fn random_peers(&mut self, count: usize) -> Vec<CompactString> {
        let is_live = |host: &&crate::plan::EntryHost| host.state == crate::plan::State::Live;
        let others = self.peers.values().filter(is_live).map(|host| host.peer.clone()).collect();
        self.pick_random(others, count)
    }

    /// Up to `count` random elements of `others`.
    pub(super) fn pick_random(&mut self, mut others: Vec<CompactString>, count: usize) -> Vec<CompactString> {
        let mut chosen = Vec::new();
        while chosen.len() < count && !others.is_empty() {
            let index = self.random.random_range(0..others.len());
            chosen.push(others.swap_remove(index));
        }
        chosen
    }

    /// Advances the standing by age. A host that got no full member list from a settled host while joining
    /// started together with the whole fleet.
    fn advance_standing(&mut self) {
        let age = self.now.since(self.started_at);
        match self.standing {
            Standing::Joining if age >= JOINING_PERIOD => self.set_standing(Standing::Reborn),
            Standing::Reborn if age >= REBORN_PERIOD => self.set_standing(Standing::Settled),
            _ => {}
        }
    }

    fn set_standing(&mut self, standing: Standing) {
        if self.standing == standing {
            return;
        }
        if self.standing == Standing::Joining {
            // Hosts that started together would otherwise send their digests in lockstep.
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

    /// Sends digests to `count` random members. A seed is added while few are known, and sometimes later:
    /// after a long partition, the two halves have removed each other and can rejoin only through the seeds
    /// in the settings.
    fn probe_members(&mut self, count: usize) {
        let mut to = self.members.pick_probe_targets(count, &self.identity.data_centre, &mut self.random);
        if !self.is_watcher() {
            let probability = (WATCHER_PROBES / self.ranked.len().max(1) as f64).min(1.0);
            to.extend(self.watcher_peers.iter().filter(|_| self.random.random_bool(probability)).cloned());
        }
        let seeds: Vec<CompactString> =
            self.identity.seeds.iter().filter(|seed| **seed != self.identity.peer).cloned().collect();
        let count = self.members.count();
        let probability = SEED_PROBABILITY.min(SEED_PROBES / count as f64);
        let needs_seed = count <= self.identity.seeds.len() || self.random.random_bool(probability);
        if needs_seed && !seeds.is_empty() {
            let index = self.random.random_range(0..seeds.len());
            to.push(seeds[index].clone());
        }
        to.sort_unstable();
        to.dedup();
        for peer in to {
            self.send_digest(peer);
        }
    }

    /// Notifies some hosts at once that this one is leaving, so that they relay nothing more to it.
    pub(super) fn on_leaving(&mut self) {
        self.is_leaving = true;
        self.incarnation += 1;
        if matches!(self.reader.source, Source::Registry { .. }) {
            for peer in self.members.sample_each_data_centre(LEAVE_FANOUT, &mut self.random) {
                self.send_digest(peer);
            }
        }
    }

    pub(super) fn on_revalidate(&mut self) {
        self.revalidation_requested_at = Some(self.now);
        if matches!(self.reader.source, Source::Registry { .. }) {
            self.confirm_with_registry();
        }
        self.probe();
    }

    /// Resets connections on the first message after a partition. Connections that were used meanwhile may stay
    /// stalled for as long as the partition lasted, including those that carry this host's replies. Other hosts would
    /// consider it silent until each stall was detected separately.
    fn detect_partition_end(&mut self) {
        let silence = self.now.since(self.last_received_at);
        self.last_received_at = self.now;
        let is_registry = matches!(self.reader.source, Source::Registry { .. });
        if !is_registry || silence < PARTITION_TIMEOUT {
            return;
        }
        self.outputs.push(Output::Note(note::Note::PartitionHealed { silence }));
        for to in self.peers.keys() {
            self.outputs.push(Output::Reconnect { to: to.clone() });
        }
    }

    pub(super) fn on_message(&mut self, message: message::Message) {
        self.stats.received += 1;
        self.detect_partition_end();
        if message.protocol > message::PROTOCOL {
            self.stats.unknown += 1;
            return;
        }
        match message.body {
            message::Body::Digest(digest) => self.on_digest(message.from, &digest),
            message::Body::Ask(request) => self.on_catalog_request(message.from, &request),
            message::Body::Catalog(update) => self.on_update(message.from, update),
            message::Body::Suspects(records) => self.on_suspects(&records),
            message::Body::AskTrial(trial) => self.on_trial_request(message.from, *trial),
            message::Body::GrantTrial(trial) => self.on_grant_trial(*trial),
            message::Body::Evidence(update) => self.on_evidence(&update),
            message::Body::Urgency(records) => self.on_urgency_records(records),
        }
    }

    fn on_digest(&mut self, from: CompactString, digest: &message::Digest) {
        if matches!(self.reader.source, Source::Registry { .. }) {
            self.merge_members(&from, &digest.members);
            self.record_known_members(digest.known as usize);
            if self.members.set_registry_unreachable(&from, digest.is_away) {
                self.refresh_peers();
            }
            if digest.is_settled && self.members.count() >= digest.known as usize {
                self.set_standing(Standing::Settled);
            }
        }
        if digest.suspects != self.suspects.table.digest() {
            self.send_suspects_to(from.clone());
        }
        self.sync_evidence(&from, digest.evidence);
        if digest.echo.is_some() && !digest.members_digest.is_empty() {
            let own_digests = self.members_digest(digest.members_digest.len());
            self.members.set_differing(digest.members_digest != own_digests);
        }
        self.on_bootstrap_digest(&from, digest);
        self.record_peer_completeness(digest);
        for kind in catalog::Kind::ALL {
            if self.should_request(kind, digest.stamps[kind.index()], &from) {
                self.request(from.clone(), kind);
            }
        }
        if digest.sent.is_some() {
            let sender = digest.members.iter().find(|member| member.peer == from);
            let own_digests = self.members_digest(digest.members_digest.len());
            let recipient = member::Recipient::Known {
                member_count: digest.known as usize,
                data_centre: sender.map_or("", |member| member.data_centre.as_str()),
                differing: &member::differing(&digest.members_digest, &own_digests),
            };
            let body = self.digest(&recipient, None, digest.sent);
            self.send(from, body);
        }
        if let Some(echo) = digest.echo {
            self.on_echo(digest, echo);
        }
    }

    /// Handles the reply to this host's digest: the peer's catalogs were confirmed their `age` before `echo`.
    fn on_echo(&mut self, digest: &message::Digest, echo: clock::Millis) {
        for kind in catalog::Kind::ALL {
            let Some(age) = digest.ages[kind.index()] else {
                continue;
            };
            let replica = &mut self.replicas[kind.index()];
            if digest.stamps[kind.index()] != replica.stamp {
                continue;
            }
            let fresh_at = echo - age;
            replica.confirmed_at = Some(replica.confirmed_at.map_or(fresh_at, |held| held.max(fresh_at)));
        }
        self.confirm(digest, echo);
    }

    /// Completes a revalidation: one recent reply to a digest that was sent since the request is enough if the peer
    /// has nothing newer.
    fn confirm(&mut self, digest: &message::Digest, echo: clock::Millis) {
        let Some(requested_at) = self.revalidation_requested_at else {
            return;
        };
        let is_newer =
            catalog::Kind::ALL.iter().any(|kind| digest.stamps[kind.index()] > self.replicas[kind.index()].stamp);
        let is_recent = digest.ages.iter().all(|age| age.is_some_and(|age| age <= self.policy.stale));
        if echo < requested_at || is_newer || !is_recent {
            return;
        }
        self.revalidation_requested_at = None;
        self.outputs.push(Output::Revalidated);
    }
}
