//! What this host and others recently observed of servers, and what of it is to be sent on.

use indexmap::{IndexMap, IndexSet};

use crate::{clock, id};

use super::{
    EXPIRY, RECOVERY_ANSWERS, Standing,
    counts::{Counts, Deviations},
    entry::{Entry, FRESH},
    key::{Incarnation, Observer},
    opinion::{Opinion, Version},
    record::{Record, Update},
    tally::Sample,
};

/// Added to the local clock, so that instants before the start of the process can be represented.
const ORIGIN: clock::Millis = clock::Millis(60_000);
/// Expected number of hosts that a record misses when it is sent only by chance is `exp(-MARGIN)`; digests repair it.
const MARGIN: f64 = 7.0;
/// Consecutive answers of one observer from which it reports them; other observers may have the rest.
const REPORTED_STREAK: u8 = 2;
/// Time after which a recovery that continues is reported again. Hosts with slow links take bad results for later than
/// they were, and thus for later than the first report of the recovery.
const RECOVERY_RENEWAL: clock::Millis = clock::Millis(1000);
/// Number of opinions on one server that are sent to a host with other standings: as many as must agree.
const SYNC_OPINIONS: usize = 3;

/// This host's results at one server.
#[derive(Clone, Debug, Default)]
struct Own {
    counts: Counts,
    updated_at: clock::Millis,
    bad_at: Option<clock::Millis>,
    streak: u8,
    streak_at: clock::Millis,
    /// What was last queued to be sent: the deviations, the consecutive answers, and when.
    queued: Option<(Deviations, u8, clock::Millis)>,
}

impl Own {
    fn add(&mut self, now: clock::Millis, sample: &Sample) {
        self.counts.decay(now.since(self.updated_at));
        self.counts.add(&sample.counts);
        self.updated_at = now;
        self.bad_at = self.bad_at.max(sample.bad_age.map(|age| now - age));
        let streak_at = now - sample.streak_age;
        if self.bad_at.is_some_and(|at| at >= self.streak_at) {
            self.streak = 0;
        }
        // Several lanes may have consecutive answers; the longest sequence counts.
        let is_current = sample.streak > 0 && self.bad_at.is_none_or(|at| at < streak_at);
        if is_current && sample.streak >= self.streak {
            (self.streak, self.streak_at) = (sample.streak.min(RECOVERY_ANSWERS), streak_at);
        }
    }

    fn opinion(&self, version: Version) -> Opinion {
        let opinion = Opinion::new(&self.counts, self.updated_at);
        Opinion { version, bad_at: self.bad_at, streak: self.streak, streak_at: self.streak_at, ..opinion }
    }
}

/// The evidence of this host and of others.
#[derive(Clone, Debug)]
pub struct Table {
    local: Observer,
    /// Version of this host's newest opinion.
    version: Version,
    /// The servers about which evidence is exchanged.
    servers: IndexMap<Incarnation, id::Server>,
    entries: IndexMap<Incarnation, Entry>,
    own: IndexMap<Incarnation, Own>,
    /// Opinions to be sent, with the number of hosts that they are still to be sent to.
    pending: IndexMap<(Incarnation, Observer), u32>,
    /// Servers with a standing.
    standing: IndexSet<Incarnation>,
    /// Number of hosts that a new opinion is sent to.
    fanout: u32,
    /// Where the next update for a host with other standings begins.
    sync_index: usize,
}

impl Table {
    /// An empty table of the host `local`; `tag` should differ between runs of its process.
    pub fn new(local: Observer, tag: u16) -> Self {
        Self {
            local,
            version: Version { tag, sequence: 0 },
            servers: IndexMap::new(),
            entries: IndexMap::new(),
            own: IndexMap::new(),
            pending: IndexMap::new(),
            standing: IndexSet::new(),
            fanout: 0,
            sync_index: 0,
        }
    }

    /// Sets the servers about which evidence is exchanged, and discards what is known of others. `hosts` is the number
    /// of hosts.
    pub fn set_servers(&mut self, servers: IndexMap<Incarnation, id::Server>, hosts: usize) {
        self.servers = servers;
        self.entries.retain(|server, _| self.servers.contains_key(server));
        self.own.retain(|server, _| self.servers.contains_key(server));
        self.pending.retain(|(server, _), _| self.servers.contains_key(server));
        self.standing.retain(|server| self.servers.contains_key(server));
        self.fanout = ((hosts.max(1) as f64).ln() + MARGIN).ceil() as u32;
    }

    /// Whether nothing is known of any server.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of opinions held.
    pub fn len(&self) -> usize {
        self.entries.values().map(|entry| entry.opinions.len()).sum()
    }

    /// Whether there are opinions to send.
    pub fn has_update(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Number of opinions to send.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// A digest of the set of servers with a standing; 0 if there are none.
    pub fn digest(&self) -> u32 {
        self.standing.iter().fold(0, |digest, server| digest ^ (server.0 ^ server.0 >> 32) as u32)
    }

    /// Adds results of this host.
    pub fn observe(&mut self, now: clock::Millis, samples: &[Sample]) {
        let now = now + ORIGIN;
        for sample in samples {
            if !self.servers.contains_key(&sample.server) {
                continue;
            }
            let own = self.own.entry(sample.server).or_default();
            own.add(now, sample);
            self.version.sequence += 1;
            let opinion = own.opinion(self.version);
            let entry = self.entries.entry(sample.server).or_default();
            entry.opinions.insert(self.local, opinion);
            self.assess(now, sample.server);
            self.queue_own(now, sample.server, &opinion);
        }
    }

    /// Queues this host's opinion if the deviations changed, the server recovered or the opinion that was last sent
    /// is about to expire.
    fn queue_own(&mut self, now: clock::Millis, server: Incarnation, opinion: &Opinion) {
        let (Some(entry), Some(own)) = (self.entries.get(&server), self.own.get_mut(&server)) else {
            return;
        };
        let is_answering = opinion.streak > 0 && opinion.bad_at.is_none_or(|at| at < opinion.streak_at);
        let is_recovery = is_answering && (opinion.streak >= REPORTED_STREAK || entry.is_cleared());
        let deviations = if is_recovery { Deviations::NONE } else { opinion.deviations };
        let is_new = match own.queued {
            None => true,
            Some((before, streak, at)) => {
                let renewal = if is_recovery { RECOVERY_RENEWAL } else { FRESH };
                now.since(at) >= renewal || (is_recovery && opinion.streak > streak) || before != deviations
            }
        };
        let is_telling = !deviations.is_empty()
            || is_recovery && (entry.is_standing() || entry.is_cleared() || own.queued.is_some());
        if !is_new || !is_telling || !entry.is_needed(now, server, self.local, opinion) {
            return;
        }
        own.queued = Some((deviations, opinion.streak, now));
        self.pending.insert((server, self.local), self.fanout);
    }

    /// Merges the opinions of other hosts. Returns the number of new ones.
    pub fn merge(&mut self, now: clock::Millis, records: &[Record]) -> usize {
        let now = now + ORIGIN;
        let mut count = 0;
        for record in records {
            if !self.servers.contains_key(&record.server) {
                continue;
            }
            let opinion = record.opinion(now);
            if record.observer == self.local {
                self.supersede(now, opinion.version);
                continue;
            }
            if opinion.is_expired(now) {
                continue;
            }
            count += usize::from(self.merge_opinion(now, record.server, record.observer, opinion));
        }
        count
    }

    fn merge_opinion(&mut self, now: clock::Millis, server: Incarnation, observer: Observer, opinion: Opinion) -> bool {
        let entry = self.entries.entry(server).or_default();
        let is_needed = entry.is_needed(now, server, observer, &opinion);
        if !entry.merge(server, observer, opinion) {
            // Other hosts spread it already, which matters if there is more to send than fits into an update.
            let is_busy = self.pending.len() > Update::MAX_RECORDS;
            if let Some(sends) = self.pending.get_mut(&(server, observer)).filter(|_| is_busy) {
                *sends = sends.saturating_sub(1);
            }
            return false;
        }
        if is_needed {
            self.pending.insert((server, observer), self.fanout);
        } else {
            self.pending.swap_remove(&(server, observer));
        }
        self.assess(now, server);
        self.queue_completed_recovery(now, server);
        true
    }

    /// Queues this host's answers if they complete the recovery that another observer reported. That one has too few
    /// alone.
    fn queue_completed_recovery(&mut self, now: clock::Millis, server: Incarnation) {
        let opinion = self.entries.get(&server).filter(|entry| entry.is_cleared());
        if let Some(opinion) = opinion.and_then(|entry| entry.opinions.get(&self.local)).copied() {
            self.queue_own(now, server, &opinion);
        }
    }

    /// Gives this host's opinions a later version than `seen`, which an earlier run of its process used.
    fn supersede(&mut self, now: clock::Millis, seen: Version) {
        if seen <= self.version {
            return;
        }
        self.version = Version { tag: seen.tag.saturating_add(1), sequence: 0 };
        for (&server, own) in &self.own {
            self.version.sequence += 1;
            let Some(entry) = self.entries.get_mut(&server) else {
                continue;
            };
            let opinion = own.opinion(self.version);
            entry.opinions.insert(self.local, opinion);
            if !opinion.deviations_since(now, clock::Millis::ZERO).is_empty() {
                self.pending.insert((server, self.local), self.fanout);
            }
        }
    }

    fn assess(&mut self, now: clock::Millis, server: Incarnation) {
        let Some(entry) = self.entries.get_mut(&server) else {
            return;
        };
        entry.assess(now, server, self.local);
        if entry.is_standing() {
            self.standing.insert(server);
        } else {
            self.standing.swap_remove(&server);
        }
    }

    /// Removes what has expired and ends standings that are due.
    pub fn expire(&mut self, now: clock::Millis) {
        let now = now + ORIGIN;
        let (local, standing) = (self.local, &mut self.standing);
        self.entries.retain(|server, entry| {
            entry.assess(now, *server, local);
            if !entry.is_standing() {
                standing.swap_remove(server);
            }
            entry.expire(now)
        });
        self.own.retain(|_, own| now.since(own.updated_at) < EXPIRY);
        self.pending.retain(|(server, observer), _| {
            self.entries.get(server).is_some_and(|entry| entry.opinions.contains_key(observer))
        });
    }

    /// The standings on this host, by server.
    pub fn standings(&self, now: clock::Millis) -> IndexMap<id::Server, Standing> {
        let now = now + ORIGIN;
        let mut standings = IndexMap::new();
        for server in &self.standing {
            let (Some(entry), Some(&id)) = (self.entries.get(server), self.servers.get(server)) else {
                continue;
            };
            if let Some(standing) = entry.standing(now, self.local) {
                standings.insert(id, standing);
            }
        }
        standings
    }

    /// Number of observers whose opinions on a server are known.
    pub fn observers(&self, server: id::Server) -> usize {
        let mut entries = self.entries.iter().filter(|(key, _)| self.servers.get(*key) == Some(&server));
        entries.next().map_or(0, |(_, entry)| entry.opinions.len())
    }

    /// Takes up to `max` opinions that are to be sent to `hosts` hosts, the most severe and newest first; of equally
    /// severe ones, those that were sent least often.
    pub fn take_update(&mut self, now: clock::Millis, max: usize, hosts: u32) -> Vec<Record> {
        let now = now + ORIGIN;
        self.pending.retain(|&(server, observer), _| {
            let entry = self.entries.get(&server);
            let opinion = entry.and_then(|entry| Some((entry, entry.opinions.get(&observer)?)));
            opinion.is_some_and(|(entry, opinion)| !entry.is_outranked(now, server, observer, opinion))
        });
        let mut order = Vec::with_capacity(self.pending.len());
        for (&(server, observer), &sends) in &self.pending {
            let opinion = self.entries.get(&server).and_then(|entry| entry.opinions.get(&observer));
            if let Some(opinion) = opinion.filter(|opinion| sends > 0 && !opinion.is_expired(now)) {
                order.push((opinion.severity(), sends, opinion.sampled_at, server, observer));
            }
        }
        order.sort_unstable_by(|left, right| right.cmp(left));
        let mut records = Vec::new();
        for &(.., server, observer) in order.iter().take(max) {
            if let Some(opinion) = self.entries.get(&server).and_then(|entry| entry.opinions.get(&observer)) {
                records.push(Record::new(now, server, observer, opinion));
            }
            if let Some(sends) = self.pending.get_mut(&(server, observer)) {
                *sends = sends.saturating_sub(hosts);
            }
        }
        self.pending.retain(|_, sends| *sends > 0);
        records
    }

    /// Opinions for a host with other standings: a few on each server with a standing, and on more servers with each
    /// call.
    pub fn sync_records(&mut self, now: clock::Millis) -> Vec<Record> {
        let now = now + ORIGIN;
        let mut records = Vec::new();
        for _ in 0..self.standing.len() {
            self.sync_index = (self.sync_index + 1) % self.standing.len();
            let Some((server, entry)) = self.entries.get_key_value(&self.standing[self.sync_index]) else {
                continue;
            };
            let is_current = |opinion: &&Opinion| !opinion.is_expired(now);
            let mut opinions: Vec<(&Observer, &Opinion)> =
                entry.opinions.iter().filter(|(_, opinion)| is_current(opinion)).collect();
            opinions.sort_by_key(|(_, opinion)| (opinion.deviations.is_empty(), std::cmp::Reverse(opinion.bad_at)));
            let chosen = opinions.into_iter().take(SYNC_OPINIONS);
            records.extend(chosen.map(|(&observer, opinion)| Record::new(now, *server, observer, opinion)));
            if records.len() + SYNC_OPINIONS > Update::MAX_RECORDS {
                break;
            }
        }
        records
    }
}
