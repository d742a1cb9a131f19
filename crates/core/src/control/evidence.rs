//! Exchange of evidence about backend servers; see [`crate::evidence`].
//!
//! An opinion is sent to a few random hosts at once, and each host to which it is new sends it on in the same way, until
//! it has reached all of them with high probability. Where gathering hosts are chosen, only they receive evidence: the
//! others send requests to few of the servers, and most bytes would go to hosts that cannot use them. Updates are limited in number and bytes. When
//! there is more to send than that allows, the most severe and newest opinions go first.
//!
//! Digests contain a digest of the set of servers with a standing. A host whose set differs, because it was partitioned
//! or has just started, gets an update.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::{clock, evidence, id, plan, view};

use super::{Core, Output, message, note};

/// Minimum time between two publications of the standings to the lanes. While the state of many servers changes at
/// once, each publication copies all standings and wakes all lanes.
const PUBLISH_INTERVAL: clock::Millis = clock::Millis(50);
/// Time between two checks for expired opinions, while there are any.
const SWEEP_INTERVAL: clock::Millis = clock::Millis(250);
/// Minimum time between two log events.
const NOTE_INTERVAL: clock::Millis = clock::Millis(1000);
/// Number of seconds whose bytes may be sent at once.
const BURST_SECONDS: f64 = 2.0;

/// The evidence and the state of its exchange.
#[derive(Debug)]
pub(super) struct Exchange {
    policy: Option<evidence::Policy>,
    table: evidence::Table,
    /// Bytes and messages that may be sent now, and when these were last updated.
    bytes: f64,
    messages: f64,
    refilled_at: clock::Millis,
    /// When the last update was sent to a host with other standings.
    synced_at: clock::Millis,
    /// The standings that were last published to the lanes, and when.
    published: Arc<IndexMap<id::Server, evidence::Standing>>,
    published_at: clock::Millis,
    /// Whether the standings may have changed since.
    is_changed: bool,
    sweep_at: clock::Millis,
    /// Servers whose standing began or ended since the last log event.
    began: Vec<CompactString>,
    ended: Vec<CompactString>,
    noted_at: clock::Millis,
}

impl Exchange {
    pub(super) fn new(policy: Option<evidence::Policy>, name: &str, seed: u64, now: clock::Millis) -> Self {
        // Half of the range, which leaves room for versions that supersede those of earlier runs.
        let tag = (seed ^ seed >> 32) as u16 >> 1;
        Self {
            policy,
            table: evidence::Table::new(evidence::Observer::new(name), tag),
            bytes: policy.map_or(0.0, |policy| f64::from(policy.bytes_per_second) * BURST_SECONDS),
            messages: policy.map_or(0.0, |policy| f64::from(policy.peers)),
            refilled_at: now,
            synced_at: clock::Millis::ZERO,
            published: Arc::default(),
            published_at: clock::Millis::ZERO,
            is_changed: false,
            sweep_at: clock::Millis::MAX,
            began: Vec::new(),
            ended: Vec::new(),
            noted_at: clock::Millis::ZERO,
        }
    }

    fn refill(&mut self, now: clock::Millis) {
        let Some(policy) = self.policy else {
            return;
        };
        let elapsed = now.since(self.refilled_at).0 as f64;
        let rate = f64::from(policy.bytes_per_second);
        self.bytes = (self.bytes + rate * elapsed / 1000.0).min(rate * BURST_SECONDS);
        let peers = f64::from(policy.peers);
        self.messages = (self.messages + peers * elapsed / policy.interval.0 as f64).min(peers);
        self.refilled_at = now;
    }

    /// Encoded size of the next update.
    fn next_size(&self) -> f64 {
        evidence::Update::size(self.table.pending().min(evidence::Update::MAX_RECORDS)) as f64
    }

    /// When the next update may be sent, if there is one.
    fn next_send_at(&self) -> clock::Millis {
        let Some(policy) = self.policy.filter(|_| self.table.has_update()) else {
            return clock::Millis::MAX;
        };
        let wait = |missing: f64, rate: f64| clock::Millis((missing.max(0.0) / rate).ceil() as u64);
        let bytes = wait(self.next_size() - self.bytes, f64::from(policy.bytes_per_second) / 1000.0);
        let message = wait(1.0 - self.messages, f64::from(policy.peers) / policy.interval.0 as f64);
        self.refilled_at + bytes.max(message)
    }
}

impl Core {
    /// Sets the servers about which evidence is exchanged from a new view, and tells the lanes through the view whether
    /// there are any.
    pub(super) fn set_evidence_servers(&mut self, view: &mut view::View) {
        let Some(policy) = self.exchange.policy else {
            return;
        };
        let servers = evidence::keys(view, policy.min_replicas);
        view.evidence = Some(policy).filter(|_| !servers.is_empty());
        let hosts = self.peers.values().filter(|host| self.uses_evidence(host)).count() + 1;
        self.exchange.table.set_servers(servers, hosts);
        self.exchange.is_changed |= !self.exchange.published.is_empty();
    }

    pub(super) fn on_observed(&mut self, samples: &[evidence::Sample]) {
        if self.exchange.policy.is_some() {
            self.exchange.table.observe(self.now, samples);
            self.on_evidence_change();
        }
    }

    pub(super) fn on_evidence(&mut self, update: &evidence::Update) {
        if self.exchange.policy.is_none() {
            self.stats.unknown += 1;
            return;
        }
        let merged = self.exchange.table.merge(self.now, &update.records);
        self.stats.evidence_merged += merged as u64;
        if merged > 0 {
            self.on_evidence_change();
        }
    }

    fn on_evidence_change(&mut self) {
        self.exchange.is_changed = true;
        if self.exchange.sweep_at == clock::Millis::MAX {
            self.exchange.sweep_at = self.now + SWEEP_INTERVAL;
        }
    }

    /// Expires opinions, publishes changed standings and sends an update, each when it is due.
    pub(super) fn exchange_evidence(&mut self) {
        if self.exchange.sweep_at <= self.now {
            self.exchange.table.expire(self.now);
            let is_empty = self.exchange.table.is_empty();
            self.exchange.sweep_at = if is_empty { clock::Millis::MAX } else { self.now + SWEEP_INTERVAL };
            self.exchange.is_changed = true;
        }
        if self.exchange.is_changed && self.exchange.published_at + PUBLISH_INTERVAL <= self.now {
            self.publish_standings();
        }
        if self.note_at() <= self.now {
            self.note_standings();
        }
        if self.exchange.table.has_update() {
            self.exchange.refill(self.now);
            if self.exchange.next_send_at() <= self.now {
                self.send_evidence();
            }
        }
    }

    /// Sends an update to as many hosts as there are messages left in the interval. After a pause these are all at once;
    /// while there is always something new, they are spread over the interval, so that a record waits for a fraction of
    /// it on each hop.
    fn send_evidence(&mut self) {
        let affordable = (self.exchange.bytes / self.exchange.next_size()).min(self.exchange.messages);
        // A waiting time is rounded, so that the last message may be short of one by a rounding error.
        let peers = self.evidence_peers((affordable + 0.001) as usize);
        self.exchange.messages -= peers.len().max(1) as f64;
        if peers.is_empty() {
            return;
        }
        let max = evidence::Update::MAX_RECORDS;
        let records = self.exchange.table.take_update(self.now, max, peers.len() as u32);
        for to in peers {
            self.send_records(to, records.clone());
        }
    }

    /// Whether evidence is sent to a host: to those that gather, and to all where gathering hosts are not chosen.
    fn uses_evidence(&self, host: &plan::EntryHost) -> bool {
        let mut sets = self.gatherers.transitions.all().peekable();
        sets.peek().is_none() || sets.any(|gathering| gathering.hosts.contains(&host.name))
    }

    /// Up to `count` random live hosts that use evidence.
    fn evidence_peers(&mut self, count: usize) -> Vec<CompactString> {
        let is_live = |host: &&plan::EntryHost| host.state == plan::State::Live && self.uses_evidence(host);
        let others = self.peers.values().filter(is_live).map(|host| host.peer.clone()).collect();
        self.pick_random(others, count)
    }

    fn send_records(&mut self, to: CompactString, records: Vec<evidence::Record>) {
        if records.is_empty() {
            return;
        }
        let size = evidence::Update::size(records.len());
        self.exchange.bytes -= size as f64;
        self.stats.evidence_sent += 1;
        self.stats.evidence_bytes += size as u64;
        self.send_uncompressed(to, message::Body::Evidence(evidence::Update { records }));
    }

    /// Sends an update to a host whose digest of the standings differs. While opinions wait to be sent, only a host
    /// without any standings gets one, because the others are probably about to get them.
    pub(super) fn sync_evidence(&mut self, to: &CompactString, digest: u32) {
        let Some(policy) = self.exchange.policy else {
            return;
        };
        if self.peers.get(to).is_some_and(|host| !self.uses_evidence(host)) {
            return;
        }
        let own = self.exchange.table.digest();
        let is_busy = self.exchange.table.has_update() && digest != 0;
        if own == digest || own == 0 || is_busy || self.now.since(self.exchange.synced_at) < policy.interval {
            return;
        }
        self.exchange.refill(self.now);
        if self.exchange.bytes < evidence::Update::size(evidence::Update::MAX_RECORDS) as f64 {
            return;
        }
        self.exchange.synced_at = self.now;
        let records = self.exchange.table.sync_records(self.now);
        self.send_records(to.clone(), records);
    }

    /// Digest of the servers with a standing; 0 if there are none.
    pub(super) fn evidence_digest(&self) -> u32 {
        self.exchange.table.digest()
    }

    fn publish_standings(&mut self) {
        self.exchange.is_changed = false;
        let standings = self.exchange.table.standings(self.now);
        self.stats.opinions = self.exchange.table.len() as u64;
        self.stats.standings = standings.len() as u64;
        if standings == *self.exchange.published {
            return;
        }
        self.exchange.published_at = self.now;
        let standings = Arc::new(standings);
        let before = std::mem::replace(&mut self.exchange.published, Arc::clone(&standings));
        let name = |server: &id::Server| self.view.as_ref().and_then(|view| Some(view.server(*server)?.name.clone()));
        let began = standings.keys().filter(|server| !before.contains_key(*server)).filter_map(name);
        self.exchange.began.extend(began);
        let ended = before.keys().filter(|server| !standings.contains_key(*server)).filter_map(name);
        self.exchange.ended.extend(ended);
        self.outputs.push(Output::Evidence(standings));
    }

    /// When the next log event is due.
    fn note_at(&self) -> clock::Millis {
        if self.exchange.began.is_empty() && self.exchange.ended.is_empty() {
            return clock::Millis::MAX;
        }
        match self.exchange.noted_at {
            clock::Millis::ZERO => self.now,
            at => at + NOTE_INTERVAL,
        }
    }

    fn note_standings(&mut self) {
        self.exchange.noted_at = self.now;
        let began = std::mem::take(&mut self.exchange.began);
        let ended = std::mem::take(&mut self.exchange.ended);
        let standings = self.exchange.published.len();
        self.outputs.push(Output::Note(note::Note::ServerStandings { began, ended, standings }));
    }

    /// The latest time for the next call of [`Core::step`] for the exchange of evidence.
    pub fn evidence_timer(&self) -> clock::Millis {
        let publish_at = match self.exchange.is_changed {
            true => self.exchange.published_at + PUBLISH_INTERVAL,
            false => clock::Millis::MAX,
        };
        let send_at = if self.peers.is_empty() { clock::Millis::MAX } else { self.exchange.next_send_at() };
        publish_at.min(self.exchange.sweep_at).min(send_at).min(self.note_at())
    }

    /// The servers with a standing on this host.
    pub fn server_standings(&self) -> Vec<evidence::Summary> {
        let mut summaries = Vec::new();
        for (&id, &standing) in self.exchange.published.iter() {
            let Some(server) = self.view.as_ref().and_then(|view| view.server(id)) else {
                continue;
            };
            let observers = self.exchange.table.observers(id);
            summaries.push(evidence::Summary { server: server.name.clone(), standing, observers });
        }
        summaries
    }
}
