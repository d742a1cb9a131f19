//! Telling other hosts which requests crash servers, and granting trials of them.
//!
//! News of a request goes to some random hosts at once, and each that finds it new passes it on in the same way, so
//! that hundreds of hosts have it after a few hops. Besides, digests tell whether two hosts remember the same, which
//! repairs what was lost and reaches hosts that were cut off or have just started.
//!
//! A host that has an attempt of a request that is suspected asks one host for a trial, which all that know the same hosts
//! choose alike. It sends what it knows of the request with it, since the host that grants may have started a moment
//! ago. Where hosts disagree for a while on who grants, each of them grants no more than the table allows.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::{clock, plan, suspect};

use super::{Core, Output, Standing, message, note};

/// Hosts that are told news at once. With so many the word reaches all but one of a million in five hops.
const TOLD: usize = 6;
/// Rows in one message of news.
const ROWS: usize = 16;
/// Rows in one message to a host whose digest differs.
const ROWS_DIFFERING: usize = 64;
/// Least time between two messages of news of requests that are held, in ms.
const PAUSE: clock::Millis = clock::Millis(50);
/// The same for requests that are suspected.
const SUSPECT_PAUSE: clock::Millis = clock::Millis(100);

/// What is known of requests that crash servers, and what of it is to be told.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    pub(super) table: suspect::Table,
    /// What the lanes were told last.
    published: Arc<IndexMap<suspect::Fingerprint, suspect::Standing>>,
    /// When news was told last.
    told_at: clock::Millis,
    /// When a row is forgotten next.
    next_at: Option<clock::Millis>,
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

    /// An operator lets a request go, on this host.
    pub(super) fn on_release(&mut self, fingerprint: suspect::Fingerprint) {
        if self.suspects.table.release(fingerprint) {
            self.outputs.push(Output::Note(note::Note::Cleared(fingerprint)));
            self.publish_suspects();
        }
    }

    pub(super) fn on_suspects(&mut self, rows: &[suspect::Record]) {
        let mut is_new = false;
        for told in rows {
            is_new |= self.suspects.table.merge(self.now, told);
        }
        if is_new {
            self.publish_suspects();
        }
    }

    /// A lane has an attempt of a request that is suspected.
    pub(super) fn ask_trial(&mut self, trial: suspect::Trial) {
        let Some(to) = self.grantor(trial.fingerprint) else {
            if self.grant(trial) {
                self.outputs.push(Output::Granted(trial));
            }
            return;
        };
        let row = self.suspects.table.record(self.now, trial.fingerprint);
        self.say(to, message::Body::AskTrial(Box::new(message::Trial { trial, row })));
    }

    /// The other host that grants trials of a request; `None` if this one does.
    fn grantor(&self, fingerprint: suspect::Fingerprint) -> Option<CompactString> {
        let live = || self.peers.values().filter(|host| host.state == plan::State::Live);
        let mut hosts: Vec<CompactString> = live().map(|host| host.name.clone()).collect();
        hosts.push(self.identity.name.clone());
        let grantor = suspect::grantor(fingerprint, &hosts);
        live().find(|host| Some(&host.name) == grantor).map(|host| host.peer.clone())
    }

    /// Another host has one.
    pub(super) fn on_ask_trial(&mut self, from: CompactString, asked: message::Trial) {
        self.on_suspects(std::slice::from_ref(&asked.row));
        // A host that knows of fewer others may ask the wrong one.
        let is_granted = self.grantor(asked.trial.fingerprint).is_none() && self.grant(asked.trial);
        let row = self.suspects.table.record(self.now, asked.trial.fingerprint);
        let body = match is_granted {
            true => message::Body::GrantTrial(Box::new(message::Trial { row, ..asked })),
            false => message::Body::Suspects(vec![row]),
        };
        self.say(from, body);
    }

    pub(super) fn on_grant_trial(&mut self, granted: message::Trial) {
        self.on_suspects(std::slice::from_ref(&granted.row));
        self.outputs.push(Output::Granted(granted.trial));
    }

    pub(super) fn take_back_trial(&mut self, trial: suspect::Trial) {
        if self.suspects.table.cancel_trial(self.now, trial) {
            self.publish_suspects();
        }
    }

    fn grant(&mut self, trial: suspect::Trial) -> bool {
        // A host that has just started may not know who else could grant.
        let is_granted = self.standing == Standing::Settled && self.suspects.table.grant_trial(self.now, trial);
        if is_granted {
            self.outputs.push(Output::Note(note::Note::Trial(trial)));
            self.publish_suspects();
        }
        is_granted
    }

    /// Tells the lanes what this host does with requests from now on.
    fn publish_suspects(&mut self) {
        let standings = self.suspects.table.standings();
        let is_convicted = |standing: &&suspect::Standing| matches!(standing, suspect::Standing::Convicted { .. });
        self.stats.suspects = standings.len() as u64;
        self.stats.held = standings.values().filter(|standing| standing.cancels_running()).count() as u64;
        self.stats.convicted = standings.values().filter(is_convicted).count() as u64;
        self.suspects.next_at = self.suspects.table.next_expiry();
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

    /// Sends news, and forgets what is over.
    pub(super) fn tell_suspects(&mut self) {
        if self.suspects.next_at.is_some_and(|at| at <= self.now) {
            self.suspects.table.expire(self.now);
            self.publish_suspects();
        }
        if self.news_at() <= self.now {
            self.suspects.told_at = self.now;
            self.send_suspects();
        }
    }

    /// When news is told next.
    fn news_at(&self) -> clock::Millis {
        let Some(is_held) = self.suspects.table.has_held_update().filter(|_| !self.peers.is_empty()) else {
            return clock::Millis::MAX;
        };
        let pause = if is_held { PAUSE } else { SUSPECT_PAUSE };
        match self.suspects.told_at {
            clock::Millis::ZERO => self.now,
            at => at + pause,
        }
    }

    /// Tells some random hosts.
    fn send_suspects(&mut self) {
        let peers = self.random_peers(TOLD);
        if peers.is_empty() || self.suspects.table.is_empty() {
            return;
        }
        let rows = self.suspects.table.take_records(self.now, ROWS);
        for to in peers {
            self.say(to, message::Body::Suspects(rows.clone()));
        }
    }

    /// Tells a host whose digest differs.
    pub(super) fn tell_differing(&mut self, to: CompactString) {
        if !self.suspects.table.is_empty() {
            let rows = self.suspects.table.take_records(self.now, ROWS_DIFFERING);
            self.say(to, message::Body::Suspects(rows));
        }
    }

    /// When [`Core::tell_suspects`] must run.
    pub(super) fn suspects_timer(&self) -> clock::Millis {
        self.suspects.next_at.unwrap_or(clock::Millis::MAX).min(self.news_at())
    }
}
