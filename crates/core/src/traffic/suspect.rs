//! Requests that crash servers: what one traffic core sees of them, and what it does with those that are suspected.
//!
//! An attempt that broke proves nothing, since connections are reset and servers drained. But when no connection can
//! be opened to its server within moments, or the server is gone or starts anew, the server died while it ran the
//! request. Every request that was lost there is told to control as lost with it; what is innocent among them is
//! answered by another server soon, which is told too.
//!
//! A server at which something was lost gets a new connection after a moment, without a request: while nobody else
//! asks it, nothing would tell whether it died.
//!
//! A suspected request is sent once control grants it a trial: to one server, and a gather to one shard before it fans
//! out. What waits for a server when its request becomes suspected is not sent any more. What runs already goes on,
//! but to no second server after a loss, and ends when its request is held.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use crate::{clock, id, suspect};

use super::{event, note, query, timer::Timer, why};

/// What this host does with requests that may crash servers.
pub(crate) type Suspects = Arc<IndexMap<suspect::Fingerprint, suspect::Standing>>;

/// Time after a loss in which its server proves to be dead, in ms: its entry may lapse some seconds later. A server that
/// lives says something sooner.
const PROOF: clock::Millis = clock::Millis(6000);
/// Time after a loss until its server is asked for a connection, in ms. A process that dies may close its listener last.
const PROBE_AFTER: clock::Millis = clock::Millis(10);
/// Time that this may take, in ms.
const PROBE_MOST: clock::Millis = clock::Millis(300);
/// Time that a query waits for the grant of a trial, in ms: a message to another host and back.
const GRANT_MOST: clock::Millis = clock::Millis(60);
/// When to come back after a trial that came to nothing, or while another one runs, in ms.
pub(super) const AFTER_TRIAL: clock::Millis = clock::Millis(2000);
/// The same for a request that is suspected and not held: most are harmless, and the trial that runs shows it.
const SUSPECT_AFTER: clock::Millis = clock::Millis(200);
/// Losses that are remembered for each server. It runs few requests at once.
const LOSSES_MOST: usize = 16;

/// How long an answer speaks for a request, in ms, and at most twice as long. Many of a popular request run at once on
/// servers that die together, and are lost there as often as what killed them.
const ANSWER_COUNTS: clock::Millis = clock::Millis(10_000);
/// Requests whose answers are remembered, and at most twice as many: 16 bytes each, and as much again for the set.
const ANSWERED_MOST: usize = 4096;

/// Requests that servers answered a moment ago.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answered {
    newer: IndexSet<suspect::Fingerprint>,
    older: IndexSet<suspect::Fingerprint>,
    since: clock::Millis,
}

impl Answered {
    fn add(&mut self, now: clock::Millis, fingerprint: suspect::Fingerprint) {
        self.turn(now);
        self.newer.insert(fingerprint);
        if self.newer.len() >= ANSWERED_MOST {
            self.since = clock::Millis::ZERO;
        }
    }

    fn holds(&mut self, now: clock::Millis, fingerprint: &suspect::Fingerprint) -> bool {
        self.turn(now);
        self.newer.contains(fingerprint) || self.older.contains(fingerprint)
    }

    fn turn(&mut self, now: clock::Millis) {
        let age = now.since(self.since);
        if age < ANSWER_COUNTS {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= ANSWER_COUNTS + ANSWER_COUNTS && self.since != clock::Millis::ZERO {
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

/// Whether a connection is opened to a server, to learn whether it lives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Probe {
    /// None is.
    #[default]
    None,
    /// One is about to be.
    Due,
    /// One is, since then.
    Sent(clock::Millis),
}

/// What this host does with a request that it is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hold {
    /// It is sent.
    None,
    /// It is suspected, and this attempt is a trial.
    Granted,
    /// It is suspected, and a trial may be granted.
    Open,
    /// It is suspected, and no trial may be granted now.
    Closed {
        /// What was asked.
        fingerprint: suspect::Fingerprint,
        /// Time until a trial may be granted.
        left: clock::Millis,
    },
}

/// Losses at one server since it last said anything.
#[derive(Clone, Debug, Default)]
pub(crate) struct Losses(Vec<Loss>);

impl Losses {
    fn add(&mut self, loss: Loss) {
        if self.0.len() < LOSSES_MOST {
            self.0.push(loss);
        }
    }

    /// The server said something, so it lives.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}

impl super::Core {
    /// Whether a request that is asked for is sent as a trial alone.
    pub(super) fn hold(&mut self, request: &event::Request) -> Hold {
        let Some((fingerprint, standing)) = request.fingerprint.and_then(|of| Some((of, self.standing(of)?))) else {
            return Hold::None;
        };
        if request.relayed.is_some_and(|relayed| relayed.trial.is_some()) {
            return Hold::Granted;
        }
        let running = self.trials.get(&fingerprint).is_some_and(|query| self.queries.get(query.0).is_some());
        if standing.until() <= self.now && !running {
            return Hold::Open;
        }
        Hold::Closed { fingerprint, left: self.come_back(standing) }
    }

    /// When to come back for a request that is not sent now.
    fn come_back(&self, standing: suspect::Standing) -> clock::Millis {
        let least = if standing.ends_running() { AFTER_TRIAL } else { SUSPECT_AFTER };
        standing.until().since(self.now).max(least)
    }

    /// What hosts do with a request, unless it was answered here a moment ago.
    fn standing(&mut self, fingerprint: suspect::Fingerprint) -> Option<suspect::Standing> {
        let standing = *self.suspects.get(&fingerprint)?;
        (!self.answered.holds(self.now, &fingerprint)).then_some(standing)
    }

    /// Whether `query` may crash servers.
    pub(super) fn is_suspect(&self, query: &query::Query) -> bool {
        query.fingerprint.is_some_and(|fingerprint| self.suspects.contains_key(&fingerprint))
    }

    /// Asks control whether `query` may be a trial.
    pub(super) fn ask_trial(&mut self, query: id::Query) {
        let Some((fingerprint, attempt)) =
            self.queries.get(query.0).and_then(|row| Some((row.fingerprint?, row.evidence)))
        else {
            return;
        };
        let queries = &self.queries;
        self.trials.retain(|_, query| queries.get(query.0).is_some());
        self.trials.insert(fingerprint, query);
        self.timers.push(self.now + GRANT_MOST, Timer::Trial(query));
        self.outputs.push(event::Output::RequestTrial(suspect::Trial { fingerprint, attempt }));
    }

    /// Control counted a trial: its query begins, if it still waits.
    pub(super) fn on_granted(&mut self, trial: suspect::Trial) {
        let Some(&query) = self.trials.get(&trial.fingerprint) else {
            return;
        };
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        if row.evidence != trial.attempt || row.trial != query::Trial::Asked {
            return;
        }
        row.trial = query::Trial::Granted;
        let class = row.class;
        self.classes[class].queue.push_back(query);
        self.admit_class(class);
    }

    /// Another trial runs, or nobody who could grant one says anything.
    pub(super) fn on_trial_refused(&mut self, query: id::Query) {
        if self.queries.get(query.0).is_some_and(|row| row.trial == query::Trial::Asked) {
            self.finish_held(query);
        }
    }

    /// A query ended; if it was a trial that reached no server, it does not count as one.
    pub(super) fn end_trial(&mut self, row: &query::Query) {
        let has_reached = row.parts.iter().any(|part| part.servers() > 0);
        let Some(fingerprint) = row.fingerprint.filter(|_| row.trial == query::Trial::Granted && !has_reached) else {
            return;
        };
        self.outputs.push(event::Output::TrialUnused(suspect::Trial { fingerprint, attempt: row.evidence }));
    }

    /// What hosts do with the request of `query`, if that bears on it: it is no trial, and no server answered it.
    fn bars(&mut self, query: id::Query) -> Option<suspect::Standing> {
        let row = self.queries.get(query.0)?;
        if row.trial != query::Trial::None || row.last.is_some() {
            return None;
        }
        let fingerprint = row.fingerprint?;
        self.standing(fingerprint)
    }

    /// Whether `query` may send nothing more, since its request is sent as a trial alone; ends it then.
    pub(super) fn ends_barred(&mut self, query: id::Query) -> bool {
        let is_barred = self.bars(query).is_some();
        if is_barred {
            self.finish_held(query);
        }
        is_barred
    }

    fn finish_held(&mut self, query: id::Query) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let Some(fingerprint) = row.fingerprint else {
            return;
        };
        let may_have_run = row.may_have_run || row.parts.iter().any(|part| part.live_count() > 0);
        let code = if may_have_run { event::Code::AttemptLost } else { event::Code::CrashesServers };
        let standing = self.standing(fingerprint);
        let left = standing.map_or(AFTER_TRIAL, |standing| self.come_back(standing));
        self.finish_with_reason(query, code, Some(left), why::Why::Crashes { fingerprint, left });
    }

    /// An attempt of `query` goes to `server`.
    pub(super) fn note_suspect(&mut self, query: id::Query, part: u32, server: id::Server) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let Some(fingerprint) = row.fingerprint.filter(|fingerprint| self.suspects.contains_key(fingerprint)) else {
            return;
        };
        let is_trial = row.trial == query::Trial::Granted;
        let (caller, shard) = (row.caller, row.target(part).shard.clone());
        let server = self.server_name(server);
        self.note(note::Note::Suspect { caller, fingerprint, shard, server, is_trial });
    }

    /// An attempt broke; its server may have died of it.
    pub(super) fn note_loss(&mut self, attempt: &query::Attempt) {
        let Some(query) = self.queries.get(attempt.query.0).filter(|_| !attempt.is_relay) else {
            return;
        };
        let evidence = query.evidence;
        let Some(fingerprint) = query.fingerprint.filter(|fingerprint| !self.answered.holds(self.now, fingerprint))
        else {
            return;
        };
        let loss = Loss { at: self.now, fingerprint, attempt: evidence };
        let server = &mut self.servers[attempt.server.index()];
        server.losses.add(loss);
        if server.probe == Probe::None {
            server.probe = Probe::Due;
            self.timers.push(self.now + PROBE_AFTER, Timer::Probe(attempt.server));
        }
    }

    /// An attempt is given up before anything came of it, and its server may run on and die of it. Most drop what is
    /// given up, so this is no reason to ask the server for a connection.
    pub(super) fn note_abandoned(&mut self, query: &query::Query, attempt: id::Attempt) {
        let Some(server) = self.attempts.get(attempt.0).filter(|row| !row.is_relay).map(|row| row.server) else {
            return;
        };
        let Some(fingerprint) = query.fingerprint.filter(|fingerprint| !self.answered.holds(self.now, fingerprint))
        else {
            return;
        };
        let loss = Loss { at: self.now, fingerprint, attempt: query.evidence };
        self.servers[server.index()].losses.add(loss);
    }

    /// Asks a server at which something was lost for a connection, if there is one to spare.
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
        self.timers.push(self.now + PROBE_MOST, Timer::ProbeEnd(server));
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
            event::Liveness::Dead => self.note_end(server),
            event::Liveness::Unknown => {}
        }
        self.release(server);
    }

    pub(super) fn on_probe_end(&mut self, server: id::Server) {
        let is_over = |at: clock::Millis| self.now.since(at) >= PROBE_MOST;
        if matches!(self.servers[server.index()].probe, Probe::Sent(at) if is_over(at)) {
            self.on_probed(server, event::Liveness::Unknown);
        }
    }

    /// Nobody listens at a server any more, or another one has its address.
    pub(super) fn note_end(&mut self, server: id::Server) {
        let (name, incarnation) = (self.server_name(server), self.servers[server.index()].incarnation);
        self.note_death(server, &name, incarnation);
    }

    /// A server is dead: what was lost there a moment ago was lost with it.
    pub(super) fn note_death(&mut self, server: id::Server, name: &str, incarnation: u64) {
        let losses = std::mem::take(&mut self.servers[server.index()].losses);
        for loss in losses.0 {
            if self.now.since(loss.at) > PROOF {
                continue;
            }
            let Loss { fingerprint, attempt, .. } = loss;
            // A server that tells no incarnation may die again under its name.
            let server = match incarnation {
                0 => compact_str::format_compact!("{name}#{attempt:016x}"),
                _ => compact_str::format_compact!("{name}@{incarnation}"),
            };
            self.outputs.push(event::Output::Crashed(suspect::Crash { fingerprint, attempt, server }));
        }
    }

    /// Takes what this host does with suspects, speaks for those that it saw answered a moment ago, and ends what runs
    /// already of those that are held.
    pub(super) fn on_suspects(&mut self, suspects: Suspects) {
        for fingerprint in suspects.keys() {
            if self.answered.holds(self.now, fingerprint) {
                self.outputs.push(event::Output::Cleared(*fingerprint));
            }
        }
        self.suspects = suspects;
        let running: Vec<id::Query> =
            self.queries.iter().filter(|(_, row)| self.is_suspect(row)).map(|(key, _)| id::Query(key)).collect();
        for query in running {
            if self.bars(query).is_some_and(suspect::Standing::ends_running) {
                self.finish_held(query);
            }
        }
    }

    /// A server answered `query`, so it is not what kills servers.
    pub(super) fn note_survivor(&mut self, query: id::Query) {
        let Some(row) = self.queries.get(query.0).filter(|row| row.last.is_none()) else {
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
