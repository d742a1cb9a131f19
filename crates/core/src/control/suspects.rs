//! Distribution of the records of requests that crash servers, and granting of their trials.
//!
//! An update is sent to a few random hosts at once, and each host to which it is new forwards it in the same way, so
//! that it reaches hundreds of hosts in a few hops. Digests show whether the tables of two hosts differ, which repairs
//! lost updates and reaches hosts that were partitioned or have just started.
//!
//! A host that has an attempt of a suspected request requests a trial from one host, the grantor. Hosts with the same
//! member list choose the same grantor. The request includes the sender's record, because the grantor may have just
//! started. While hosts disagree on the grantor, each of them grants no more than its table allows.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::{clock, plan, suspect};

use super::{Core, Output, Standing, message, note};

/// Number of hosts to which an update is sent. With this fan-out it reaches all but one in a million in five hops.
const FANOUT: usize = 6;
/// Maximum number of records in an update.
const MAX_UPDATE_RECORDS: usize = 16;
/// Maximum number of records in a message to a host whose digest differs.
const MAX_SYNC_RECORDS: usize = 64;
/// Minimum interval between updates if they contain held requests.
const MIN_HELD_INTERVAL: clock::Millis = clock::Millis(50);
/// Minimum interval between updates that contain only suspected requests.
const MIN_SUSPECT_INTERVAL: clock::Millis = clock::Millis(100);

/// Requests that may crash servers, and the state of their distribution.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    pub(super) table: suspect::Table,
    /// The standings that were last published to the lanes.
    published: Arc<IndexMap<suspect::Fingerprint, suspect::Standing>>,
    /// When the last update was sent; zero if none was.
    sent_at: clock::Millis,
    /// When the next record expires.
    expires_at: Option<clock::Millis>,
}

impl Core {
    pub(super) fn on_crash(&mut self, crash: suspect::Crash) {
        if self.suspects.table.record_crash(self.now, &crash) {
            self.outputs.push(Output::Note(note::Note::Crash(crash)));
            self.publish_suspects();
        }
    }

    pub(super) fn on_cleared(&mut self, fingerprint: suspect::Fingerprint) {
        if self.suspects.table.record_answer(self.now, fingerprint) {
            self.outputs.push(Output::Note(note::Note::Cleared(fingerprint)));
            self.publish_suspects();
        }
    }

    /// Removes a request from this host's table on behalf of an operator.
    pub(super) fn on_release(&mut self, fingerprint: suspect::Fingerprint) {
        if self.suspects.table.release(fingerprint) {
            self.outputs.push(Output::Note(note::Note::Cleared(fingerprint)));
            self.publish_suspects();
        }
    }

    pub(super) fn on_suspects(&mut self, records: &[suspect::Record]) {
        let mut is_new = false;
        for record in records {
            is_new |= self.suspects.table.merge(self.now, record);
        }
        if is_new {
            self.publish_suspects();
        }
    }

    /// Requests a trial for a lane's attempt of a suspected request, or grants it if this host is the grantor.
    pub(super) fn request_trial(&mut self, trial: suspect::Trial) {
        let Some(to) = self.grantor(trial.fingerprint) else {
            if self.grant(trial) {
                self.outputs.push(Output::TrialGranted(trial));
            }
            return;
        };
        let record = self.suspects.table.record(self.now, trial.fingerprint);
        self.send(to, message::Body::AskTrial(Box::new(message::Trial { trial, record })));
    }

    /// The address of the host that grants trials of a request; `None` if it is this host.
    fn grantor(&self, fingerprint: suspect::Fingerprint) -> Option<CompactString> {
        let live = || self.peers.values().filter(|host| host.state == plan::State::Live);
        let mut hosts: Vec<CompactString> = live().map(|host| host.name.clone()).collect();
        hosts.push(self.identity.name.clone());
        let grantor = suspect::grantor(fingerprint, &hosts);
        live().find(|host| Some(&host.name) == grantor).map(|host| host.peer.clone())
    }

    /// Replies to another host's request for a trial.
    pub(super) fn on_trial_request(&mut self, from: CompactString, request: message::Trial) {
        self.on_suspects(std::slice::from_ref(&request.record));
        // A host with an incomplete member list may have sent the request to the wrong grantor.
        let is_granted = self.grantor(request.trial.fingerprint).is_none() && self.grant(request.trial);
        let record = self.suspects.table.record(self.now, request.trial.fingerprint);
        let body = match is_granted {
            true => message::Body::GrantTrial(Box::new(message::Trial { record, ..request })),
            false => message::Body::Suspects(vec![record]),
        };
        self.send(from, body);
    }

    pub(super) fn on_grant_trial(&mut self, grant: message::Trial) {
        self.on_suspects(std::slice::from_ref(&grant.record));
        self.outputs.push(Output::TrialGranted(grant.trial));
    }

    pub(super) fn on_trial_unused(&mut self, trial: suspect::Trial) {
        if self.suspects.table.cancel_trial(self.now, trial) {
            self.publish_suspects();
        }
    }

    fn grant(&mut self, trial: suspect::Trial) -> bool {
        // A host that has just started may not know the actual grantor yet.
        let is_granted = self.standing == Standing::Settled && self.suspects.table.grant_trial(self.now, trial);
        if is_granted {
            self.outputs.push(Output::Note(note::Note::TrialGranted(trial)));
            self.publish_suspects();
        }
        is_granted
    }

    /// Publishes the current standings to the lanes.
    fn publish_suspects(&mut self) {
        let standings = self.suspects.table.standings();
        let is_convicted = |standing: &&suspect::Standing| matches!(standing, suspect::Standing::Convicted { .. });
        self.stats.suspects = standings.len() as u64;
        self.stats.held = standings.values().filter(|standing| standing.cancels_running()).count() as u64;
        self.stats.convicted = standings.values().filter(is_convicted).count() as u64;
        self.suspects.expires_at = self.suspects.table.next_expiry();
        let standings = Arc::new(standings);
        let before = std::mem::replace(&mut self.suspects.published, Arc::clone(&standings));
        for (&fingerprint, &standing) in standings.iter() {
            let is_same = before.get(&fingerprint).is_some_and(|before| before.as_str() == standing.as_str());
            if is_same {
                continue;
            }
            let (servers, attempts) = self.suspects.table.evidence_counts(fingerprint);
            self.outputs.push(Output::Note(note::Note::Suspect { fingerprint, standing, servers, attempts }));
        }
        self.outputs.push(Output::Suspects(standings));
    }

    /// Removes expired records, and sends an update when one is due.
    pub(super) fn gossip_suspects(&mut self) {
        if self.suspects.expires_at.is_some_and(|at| at <= self.now) {
            self.suspects.table.expire(self.now);
            self.publish_suspects();
        }
        if self.next_send_at() <= self.now {
            self.suspects.sent_at = self.now;
            self.send_suspects();
        }
    }

    /// When the next update is due.
    fn next_send_at(&self) -> clock::Millis {
        let Some(is_held) = self.suspects.table.has_held_update().filter(|_| !self.peers.is_empty()) else {
            return clock::Millis::MAX;
        };
        let pause = if is_held { MIN_HELD_INTERVAL } else { MIN_SUSPECT_INTERVAL };
        match self.suspects.sent_at {
            clock::Millis::ZERO => self.now,
            at => at + pause,
        }
    }

    /// Sends an update to a few random hosts.
    fn send_suspects(&mut self) {
        let peers = self.random_peers(FANOUT);
        if peers.is_empty() || self.suspects.table.is_empty() {
            return;
        }
        let records = self.suspects.table.take_records(self.now, MAX_UPDATE_RECORDS);
        for to in peers {
            self.send(to, message::Body::Suspects(records.clone()));
        }
    }

    /// Sends records to a host whose digest differs.
    pub(super) fn send_suspects_to(&mut self, to: CompactString) {
        if !self.suspects.table.is_empty() {
            let records = self.suspects.table.take_records(self.now, MAX_SYNC_RECORDS);
            self.send(to, message::Body::Suspects(records));
        }
    }

    /// When [`Core::gossip_suspects`] must run next.
    pub(super) fn suspects_timer(&self) -> clock::Millis {
        self.suspects.expires_at.unwrap_or(clock::Millis::MAX).min(self.next_send_at())
    }
}
