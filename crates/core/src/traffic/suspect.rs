//! Requests that crash servers: detection in one traffic core, and handling of suspected requests.
//!
//! A broken attempt proves nothing, since connections are reset and servers drained. But if no connection to
//! its server can be opened within moments, or the server is gone or has restarted, the server died while it
//! ran the request. Every request that was lost there is reported to the control core; the harmless ones are soon
//! answered by another server, which is reported too.
//!
//! Shortly after a loss, the core opens a new connection to the server without sending a request: without other
//! traffic to the server, nothing would show whether it died.
//!
//! A suspected request is sent once the control core grants it a trial: to one server, and a gather to one shard
//! before it fans out. When a request becomes a suspect, its queued shards are not sent any more. Its running ones
//! continue, but are sent to no second server after a loss, and end when the request is held.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use crate::{clock, id, suspect};

use super::{event, note, query, timer::Timer, why};

/// Standings of the requests that may crash servers.
pub(crate) type Suspects = Arc<IndexMap<suspect::Fingerprint, suspect::Standing>>;

/// Time after a loss in which the death of the server is attributed to it, in ms: the server's registry entry
/// may expire some seconds later. A live server replies sooner.
const CRASH_WINDOW: clock::Millis = clock::Millis(6000);
/// Delay between a loss and the connection probe, in ms. A dying process may close its listener last.
const PROBE_DELAY: clock::Millis = clock::Millis(10);
/// Timeout of a connection probe, in ms.
const PROBE_TIMEOUT: clock::Millis = clock::Millis(300);
/// Time that a query waits for the grant of a trial, in ms: a message to another host and back.
const GRANT_TIMEOUT: clock::Millis = clock::Millis(60);
/// Retry-after for a trial that failed, or while another trial runs, in ms.
pub(super) const TRIAL_RETRY_AFTER: clock::Millis = clock::Millis(2000);
/// Retry-after for a request that is suspected but not held, in ms: most are harmless, and the running trial
/// shows it.
const SUSPECT_RETRY_AFTER: clock::Millis = clock::Millis(200);
/// Maximum number of losses remembered for each server. A server runs few requests at once.
const MAX_LOSSES: usize = 16;

/// How long an answer clears a request, in ms; at most twice as long. Many instances of a popular request run
/// at once on servers that die together, and are lost there as often as the request that crashed them.
const ANSWER_WINDOW: clock::Millis = clock::Millis(10_000);
/// Number of answered requests that are remembered, at most twice as many: 16 bytes each, and as much again for
/// the set.
const ANSWERED_CAPACITY: usize = 4096;

/// Requests that servers answered recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answered {
    newer: IndexSet<suspect::Fingerprint>,
    older: IndexSet<suspect::Fingerprint>,
    since: clock::Millis,
}

impl Answered {
    fn add(&mut self, now: clock::Millis, fingerprint: suspect::Fingerprint) {
        self.rotate(now);
        self.newer.insert(fingerprint);
        if self.newer.len() >= ANSWERED_CAPACITY {
            self.since = clock::Millis::ZERO;
        }
    }

    fn contains(&mut self, now: clock::Millis, fingerprint: &suspect::Fingerprint) -> bool {
        self.rotate(now);
        self.newer.contains(fingerprint) || self.older.contains(fingerprint)
    }

    fn rotate(&mut self, now: clock::Millis) {
        let age = now.since(self.since);
        if age < ANSWER_WINDOW {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= ANSWER_WINDOW + ANSWER_WINDOW && self.since != clock::Millis::ZERO {
            self.older.clear();
        }
        self.since = now;
    }
}

/// A request that was lost with its connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loss {
    at: clock::Millis,
    fingerprint: suspect::Fingerprint,
    attempt: u64,
}

/// State of the connection probe that checks whether a server is alive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Probe {
    /// No probe.
    #[default]
    None,
    /// A probe is scheduled.
    Due,
    /// A probe was sent at this time.
    Sent(clock::Millis),
}

/// How this host treats a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hold {
    /// Not suspected; the request is sent.
    None,
    /// Suspected; this attempt is a granted trial.
    Granted,
    /// Suspected; a trial may be requested.
    Open,
    /// Suspected; no trial may be granted now.
    Closed {
        /// Fingerprint of the request.
        fingerprint: suspect::Fingerprint,
        /// Time until a trial may be granted.
        retry_after: clock::Millis,
    },
}

/// Losses at one server since it last sent anything.
#[derive(Clone, Debug, Default)]
pub(crate) struct Losses(Vec<Loss>);

impl Losses {
    fn add(&mut self, loss: Loss) {
        if self.0.len() < MAX_LOSSES {
            self.0.push(loss);
        }
    }

    /// Removes all losses, since the server has shown that it is alive.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}

impl super::Core {
    /// Whether a new request is held back as a suspect, and whether it may run as a trial.
    pub(super) fn hold(&mut self, request: &event::Request) -> Hold {
        let Some((fingerprint, standing)) =
            request.fingerprint.and_then(|fingerprint| Some((fingerprint, self.standing(fingerprint)?)))
        else {
            return Hold::None;
        };
        if request.relayed.is_some_and(|relayed| relayed.trial.is_some()) {
            return Hold::Granted;
        }
        let is_running = self.trials.get(&fingerprint).is_some_and(|query| self.queries.get(query.0).is_some());
        if standing.trial_at() <= self.now && !is_running {
            return Hold::Open;
        }
        Hold::Closed { fingerprint, retry_after: self.retry_after(standing) }
    }

    /// Retry-after for a request that is not sent now.
    fn retry_after(&self, standing: suspect::Standing) -> clock::Millis {
        let min = if standing.cancels_running() { TRIAL_RETRY_AFTER } else { SUSPECT_RETRY_AFTER };
        standing.trial_at().since(self.now).max(min)
    }

    /// Standing of a request, unless it was answered here recently.
    fn standing(&mut self, fingerprint: suspect::Fingerprint) -> Option<suspect::Standing> {
        let standing = *self.suspects.get(&fingerprint)?;
        (!self.answered.contains(self.now, &fingerprint)).then_some(standing)
    }

    /// Whether `query` may crash servers.
    pub(super) fn is_suspect(&self, query: &query::Query) -> bool {
        query.fingerprint.is_some_and(|fingerprint| self.suspects.contains_key(&fingerprint))
    }

    /// Requests a trial for `query` from the control core.
    pub(super) fn request_trial(&mut self, query: id::Query) {
        let Some((fingerprint, attempt)) =
            self.queries.get(query.0).and_then(|row| Some((row.fingerprint?, row.caller_attempt)))
        else {
            return;
        };
        let queries = &self.queries;
        self.trials.retain(|_, query| queries.get(query.0).is_some());
        self.trials.insert(fingerprint, query);
        self.timers.push(self.now + GRANT_TIMEOUT, Timer::TrialTimeout(query));
        self.outputs.push(event::Output::RequestTrial(suspect::Trial { fingerprint, attempt }));
    }

    /// Handles a trial granted by the control core: starts its query, if it still waits.
    pub(super) fn on_trial_granted(&mut self, trial: suspect::Trial) {
        let Some(&query) = self.trials.get(&trial.fingerprint) else {
            return;
        };
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        if row.caller_attempt != trial.attempt || row.trial != query::Trial::Requested {
            return;
        }
        row.trial = query::Trial::Granted;
        let class = row.class;
        self.classes[class].queue.push_back(query);
        self.admit_class(class);
    }

    /// Ends a query whose trial was not granted in time: another trial runs, or the granting host did not
    /// reply.
    pub(super) fn on_trial_timeout(&mut self, query: id::Query) {
        if self.queries.get(query.0).is_some_and(|row| row.trial == query::Trial::Requested) {
            self.finish_held(query);
        }
    }

    /// Reports the trial of an ended query as unused if it reached no server.
    pub(super) fn report_unused_trial(&mut self, row: &query::Query) {
        let has_reached = row.shards.iter().any(|shard| shard.reached_servers() > 0);
        let Some(fingerprint) = row.fingerprint.filter(|_| row.trial == query::Trial::Granted && !has_reached) else {
            return;
        };
        self.outputs.push(event::Output::TrialUnused(suspect::Trial { fingerprint, attempt: row.caller_attempt }));
    }

    /// Standing that blocks `query`, if any: it is not a trial, and no server has answered it.
    fn blocking_standing(&mut self, query: id::Query) -> Option<suspect::Standing> {
        let row = self.queries.get(query.0)?;
        if row.trial != query::Trial::None || row.last_answer.is_some() {
            return None;
        }
        let fingerprint = row.fingerprint?;
        self.standing(fingerprint)
    }

    /// Ends `query` if its request may only be sent as a trial. Returns whether it did.
    pub(super) fn finish_if_blocked(&mut self, query: id::Query) -> bool {
        let is_blocked = self.blocking_standing(query).is_some();
        if is_blocked {
            self.finish_held(query);
        }
        is_blocked
    }

    fn finish_held(&mut self, query: id::Query) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let Some(fingerprint) = row.fingerprint else {
            return;
        };
        let may_have_run = row.may_have_run || row.shards.iter().any(|shard| shard.live_count() > 0);
        let code = if may_have_run { event::Code::AttemptLost } else { event::Code::CrashesServers };
        let standing = self.standing(fingerprint);
        let retry_after = standing.map_or(TRIAL_RETRY_AFTER, |standing| self.retry_after(standing));
        self.finish_with_reason(query, code, Some(retry_after), why::Why::Crashes { fingerprint, retry_after });
    }

    /// Logs an attempt of `query` at `server` if its request is suspected.
    pub(super) fn log_suspect(&mut self, query: id::Query, shard_index: u32, server: id::Server) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let Some(fingerprint) = row.fingerprint.filter(|fingerprint| self.suspects.contains_key(fingerprint)) else {
            return;
        };
        let is_trial = row.trial == query::Trial::Granted;
        let (caller, shard) = (row.caller, row.target(shard_index).shard.clone());
        let server = self.server_name(server);
        self.log(note::Note::Suspect { caller, fingerprint, shard, server, is_trial });
    }

    /// Records a broken attempt, since it may have crashed its server, and schedules a probe.
    pub(super) fn record_loss(&mut self, attempt: &query::Attempt) {
        let Some(query) = self.queries.get(attempt.query.0).filter(|_| !attempt.is_relay) else {
            return;
        };
        let caller_attempt = query.caller_attempt;
        let Some(fingerprint) = query.fingerprint.filter(|fingerprint| !self.answered.contains(self.now, fingerprint))
        else {
            return;
        };
        let loss = Loss { at: self.now, fingerprint, attempt: caller_attempt };
        let server = &mut self.servers[attempt.server.index()];
        server.losses.add(loss);
        if server.probe == Probe::None {
            server.probe = Probe::Due;
            self.timers.push(self.now + PROBE_DELAY, Timer::Probe(attempt.server));
        }
    }

    /// Records an attempt that was cancelled without a reply, since its server may still run it and crash. Most
    /// servers drop cancelled work, so this schedules no probe.
    pub(super) fn record_abandoned(&mut self, query: &query::Query, attempt: id::Attempt) {
        let Some(server) = self.attempts.get(attempt.0).filter(|row| !row.is_relay).map(|row| row.server) else {
            return;
        };
        let Some(fingerprint) = query.fingerprint.filter(|fingerprint| !self.answered.contains(self.now, fingerprint))
        else {
            return;
        };
        let loss = Loss { at: self.now, fingerprint, attempt: query.caller_attempt };
        self.servers[server.index()].losses.add(loss);
    }

    /// Opens a probe connection to a server with losses, if one of its connections is free.
    pub(super) fn send_probe(&mut self, server: id::Server) {
        let address = self.view.server(server).map(|published| published.address.clone());
        let state = &mut self.servers[server.index()];
        if state.probe != Probe::Due {
            return;
        }
        state.probe = Probe::None;
        let Some(address) = address.filter(|_| !state.losses.0.is_empty() && state.inflight < state.share) else {
            return;
        };
        state.probe = Probe::Sent(self.now);
        state.inflight += 1;
        self.timers.push(self.now + PROBE_TIMEOUT, Timer::ProbeTimeout(server));
        self.outputs.push(event::Output::Probe { server, address });
    }

    pub(super) fn on_probed(&mut self, server: id::Server, liveness: event::Liveness) {
        let state = &mut self.servers[server.index()];
        if !matches!(state.probe, Probe::Sent(_)) {
            return;
        }
        state.probe = Probe::None;
        match liveness {
            event::Liveness::Listening => state.losses.clear(),
            event::Liveness::Dead => self.on_server_gone(server),
            event::Liveness::Unknown => {}
        }
        self.release(server);
    }

    pub(super) fn on_probe_timeout(&mut self, server: id::Server) {
        let is_timed_out = |at: clock::Millis| self.now.since(at) >= PROBE_TIMEOUT;
        if matches!(self.servers[server.index()].probe, Probe::Sent(at) if is_timed_out(at)) {
            self.on_probed(server, event::Liveness::Unknown);
        }
    }

    /// Handles a server that no longer listens, or whose address belongs to another one.
    pub(super) fn on_server_gone(&mut self, server: id::Server) {
        let (name, incarnation) = (self.server_name(server), self.servers[server.index()].incarnation);
        self.report_crash(server, &name, incarnation);
    }

    /// Reports the recent losses of a dead server as crashes.
    pub(super) fn report_crash(&mut self, server: id::Server, name: &str, incarnation: u64) {
        let losses = std::mem::take(&mut self.servers[server.index()].losses);
        for loss in losses.0 {
            if self.now.since(loss.at) > CRASH_WINDOW {
                continue;
            }
            let Loss { fingerprint, attempt, .. } = loss;
            // A server that reports no incarnation may crash again under the same name.
            let server = match incarnation {
                0 => compact_str::format_compact!("{name}#{attempt:016x}"),
                _ => compact_str::format_compact!("{name}@{incarnation}"),
            };
            self.outputs.push(event::Output::Crashed(suspect::Crash { fingerprint, attempt, server }));
        }
    }

    /// Updates the standings of suspects, reports those that were answered here recently as cleared, and ends
    /// running queries of those that are held.
    pub(super) fn on_suspects(&mut self, suspects: Suspects) {
        for fingerprint in suspects.keys() {
            if self.answered.contains(self.now, fingerprint) {
                self.outputs.push(event::Output::Cleared(*fingerprint));
            }
        }
        self.suspects = suspects;
        let running: Vec<id::Query> =
            self.queries.iter().filter(|(_, row)| self.is_suspect(row)).map(|(key, _)| id::Query(key)).collect();
        for query in running {
            if self.blocking_standing(query).is_some_and(suspect::Standing::cancels_running) {
                self.finish_held(query);
            }
        }
    }

    /// Records that a server answered `query`, which shows that its request did not crash that server.
    pub(super) fn record_answered(&mut self, query: id::Query) {
        let Some(row) = self.queries.get(query.0).filter(|row| row.last_answer.is_none()) else {
            return;
        };
        let Some(fingerprint) = row.fingerprint else {
            return;
        };
        self.answered.add(self.now, fingerprint);
        for server in &mut self.servers {
            server.losses.0.retain(|loss| loss.fingerprint != fingerprint);
        }
        if self.suspects.contains_key(&fingerprint) {
            self.outputs.push(event::Output::Cleared(fingerprint));
        }
    }
}
