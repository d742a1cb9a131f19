//! The traffic core: processes each caller's request up to its single answer.
//!
//! [`Core::step`] takes a batch of inputs and runs the systems over the tables in one fixed order:
//! pause detection, timers, inputs, admission. Outputs are collected in the order in which the shell
//! must execute them. Views at the head of the batch are applied before the timers. One core serves
//! one traffic thread and shares no state with others.
//!
//! Each system has its own module: `admit` (limits and refusals), `choose` (replica selection, by [`estimate`]),
//! `dispatch` (sending, per-server queues, retries), [`warm_up`] (servers that have just started),
//! `suspect` (requests that crash servers), [`repeats`] and `judge` (the plan of repeats), `hedge` (silent
//! attempts), `gather` (snapshots, coverage, answers), `observe` (reports on servers that deviate from the usual) and
//! `urgency` (admission while shared servers lack capacity).

mod admit;
mod capacity;
mod choose;
mod class;
mod demand;
mod dispatch;
pub mod estimate;
pub mod event;
mod finish;
mod fleet;
mod gather;
mod hedge;
mod judge;
mod key;
pub mod note;
mod observe;
pub mod policy;
mod query;
mod relay;
pub mod repeats;
mod reroute;
mod server;
mod standing;
pub mod summary;
mod suspect;
mod timer;
mod urgency;
pub mod warm_up;
pub mod why;

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;
use rand::{SeedableRng, rngs};

use crate::{clock, evidence, id, invariant, mutant, table, view};

use event::{Input, Output};
use timer::Timer;

/// The position of one traffic core among those of its host, which split the host's connections.
#[derive(Clone, Copy, Debug)]
pub struct Lane {
    /// Zero-based index.
    pub index: u32,
    /// Number of traffic cores on this host.
    pub count: u32,
}

impl Lane {
    /// This lane's portion of a host's `share` of the connections to `server`. The remainder rotates
    /// with the server's index, so that no lane always gets the smaller portion.
    fn connection_share(self, share: u32, server: id::Server) -> u32 {
        let count = self.count.max(1);
        let offset = (self.index + server.0) % count;
        share / count + u32::from(offset < share % count)
    }
}

/// The state and decision logic of one traffic thread.
#[derive(Debug)]
pub struct Core {
    policy: policy::Policy,
    lane: Lane,
    now: clock::Millis,
    random: rngs::SmallRng,
    view: Arc<view::View>,
    servers: Vec<server::Server>,
    classes: IndexMap<CompactString, class::Class>,
    queries: table::Table<query::Query>,
    callers: IndexMap<id::Caller, id::Query>,
    attempts: table::Table<query::Attempt>,
    timers: timer::Heap,
    keys: key::Table,
    suspects: suspect::Suspects,
    answered: suspect::Answered,
    /// Queries that run as a trial or wait for the grant of one, by request fingerprint.
    trials: IndexMap<crate::suspect::Fingerprint, id::Query>,
    fleet: fleet::Fleet,
    /// Searches that wait for tokens or are to be planned.
    agenda: judge::Agenda,
    demand: demand::Meter,
    urgency: urgency::Urgency,
    ejected: usize,
    /// Standings of servers that other hosts report on; see [`crate::evidence`].
    standings: Arc<IndexMap<id::Server, evidence::Standing>>,
    report: standing::Report,
    observations: observe::Observations,
    /// Set from a process pause until the control core confirms the view.
    paused_at: Option<clock::Millis>,
    /// Set from a process pause until the grace period ends or the control core confirms the view.
    is_sending_paused: bool,
    outputs: Vec<Output>,
    stats: summary::Stats,
    recent: summary::Ring,
}

impl Core {
    /// Creates a core with an empty view at time `now`.
    pub fn new(policy: policy::Policy, lane: Lane, seed: u64, now: clock::Millis) -> Self {
        let fleet = fleet::Fleet::new(policy.fleet);
        Self {
            policy,
            lane,
            now,
            random: rngs::SmallRng::seed_from_u64(seed),
            view: Arc::default(),
            servers: Vec::new(),
            classes: IndexMap::new(),
            queries: table::Table::default(),
            callers: IndexMap::new(),
            attempts: table::Table::default(),
            timers: timer::Heap::default(),
            keys: key::Table::default(),
            suspects: suspect::Suspects::default(),
            answered: suspect::Answered::default(),
            trials: IndexMap::new(),
            fleet,
            agenda: judge::Agenda::default(),
            demand: demand::Meter::new(now),
            urgency: urgency::Urgency::new(seed),
            ejected: 0,
            standings: Arc::default(),
            report: standing::Report::default(),
            observations: observe::Observations::default(),
            paused_at: None,
            is_sending_paused: false,
            outputs: Vec::new(),
            stats: summary::Stats::default(),
            recent: summary::Ring::default(),
        }
    }

    /// Runs the systems once. `now` must not be earlier than in the previous step.
    pub fn step(&mut self, now: clock::Millis, inputs: impl IntoIterator<Item = Input>) -> Vec<Output> {
        let is_pause = self.is_pause(now);
        let gap = now.since(self.now);
        self.now = now.max(self.now);
        if is_pause {
            self.on_pause(gap);
        }
        let mut inputs = inputs.into_iter().peekable();
        // Views are applied before the timers: a hedge or retry that is due in this step would
        // otherwise use the old view and might go to a server that the new view marks as leaving.
        while let Some(view) = inputs.next_if(|input| matches!(input, Input::View(_))) {
            self.apply(view);
        }
        self.run_timers();
        for input in inputs {
            self.apply(input);
        }
        self.plan_due();
        self.admit_waiting();
        self.plan_due();
        self.report_standings();
        self.report_demand();
        self.report_urgency();
        std::mem::take(&mut self.outputs)
    }

    /// The latest time of the next step if no input arrives; `None` without pending timers.
    pub fn next_timer(&self) -> Option<clock::Millis> {
        self.timers.next()
    }

    /// The view in force.
    pub fn view(&self) -> &Arc<view::View> {
        &self.view
    }

    /// Counters since the core was created, with the current table sizes.
    pub fn stats(&self) -> summary::Stats {
        summary::Stats {
            queries: self.queries.len(),
            attempts: self.attempts.len(),
            keys: self.keys.len(),
            timers: self.timers.len(),
            ejected: self.ejected,
            replaced: self.count_replaced(),
            ..self.stats
        }
    }

    /// Number of servers in the view that get no new work because another server answered at their address.
    fn count_replaced(&self) -> usize {
        let in_view = self.servers.iter().zip(&self.view.servers).filter(|(_, published)| published.is_some());
        in_view.filter(|(server, _)| server.is_replaced).count()
    }

    /// The standing of a backend server; `None` if it does not deviate from the usual as far as hosts know.
    pub fn server_standing(&self, server: id::Server) -> Option<&evidence::Standing> {
        self.standings.get(&server)
    }

    /// Whether `query` is still unanswered.
    pub fn is_live(&self, query: id::Query) -> bool {
        self.queries.get(query.0).is_some()
    }

    /// The summary of a recently completed query; `None` if it is not among those kept.
    pub fn summary(&self, query: id::Query) -> Option<&summary::Summary> {
        self.recent.find(query)
    }

    /// Name, running queries, concurrency limit and queue length of each class.
    pub fn admission(&self) -> impl Iterator<Item = (&str, u32, u32, usize)> {
        self.classes.values().map(|class| (class.name.as_str(), class.running(), class.limit(), class.queue.len()))
    }

    /// Whether the time since the previous step shows that the process was stopped.
    fn is_pause(&self, now: clock::Millis) -> bool {
        let has_view = self.view.stamp != view::Stamp::default();
        has_view && now.since(self.now) >= self.policy.pause && !mutant::is(mutant::Mutant::IgnorePause)
    }

    /// Ends the queries that expired during the pause first, because a retry or hedge that was due
    /// before their deadline would still be sent. Nothing is sent on the old view until the control
    /// core confirms it or the grace period ends.
    fn on_pause(&mut self, gap: clock::Millis) {
        self.stats.pauses += 1;
        self.paused_at = Some(self.now);
        self.is_sending_paused = true;
        let mut expired = Vec::new();
        for (key, query) in self.queries.iter() {
            if query.deadline <= self.now {
                expired.push(id::Query(key));
            }
        }
        self.log(note::Note::Paused { gap, expired: expired.len() });
        for query in expired {
            self.on_deadline(query);
        }
        self.timers.push(self.now + self.policy.revalidate_grace, Timer::Resume);
        self.outputs.push(Output::Revalidate);
    }

    fn run_timers(&mut self) {
        while let Some(timer) = self.timers.pop(self.now) {
            match timer {
                Timer::Deadline(query) => self.on_deadline(query),
                Timer::Settle(query) => {
                    self.plan_if_unplanned(query);
                    self.settle(query);
                }
                Timer::Hedge(query) => self.hedge(query),
                Timer::Retry(query, shard_index) => self.on_backoff_end(query, shard_index),
                Timer::Plan => self.on_plan_timer(),
                Timer::SendWaiting(server) => self.send_waiting(server),
                Timer::ConnectionClosed(server) => self.release(server),
                Timer::TrialTimeout(query) => self.on_trial_timeout(query),
                Timer::Probe(server) => self.send_probe(server),
                Timer::ProbeTimeout(server) => self.on_probe_timeout(server),
                Timer::Resume => self.resume(),
                Timer::Report => self.report_observations(),
            }
        }
    }

    fn apply(&mut self, input: Input) {
        match input {
            Input::View(view) => self.on_view(view),
            Input::Request(request) => self.on_request(request),
            Input::Reply { attempt, reply } => self.on_reply(attempt, reply),
            Input::HangUp(caller) => self.on_hang_up(caller),
            Input::Revalidated => self.on_revalidated(),
            Input::Suspects(suspects) => self.on_suspects(suspects),
            Input::Evidence(standings) => self.on_evidence(standings),
            Input::Urgency(states) => self.on_urgency(states),
            Input::TrialGranted(trial) => self.on_trial_granted(trial),
            Input::Probed { server, liveness } => self.on_probed(server, liveness),
            Input::Tick => {}
        }
    }

    fn on_view(&mut self, view: Arc<view::View>) {
        let is_older = (view.stamp, view.hosts_revision) < (self.view.stamp, self.view.hosts_revision);
        if is_older {
            let detail = format!("received view {} after {}", view.stamp, self.view.stamp);
            self.breach(invariant::Name::ConfigMonotonic, detail);
            return;
        }
        self.clear_replaced(&view);
        self.observations.set_view(&view);
        self.view = view;
        self.refresh_urgency();
        let equal_share = 1.0 / f64::from(self.view.hosts.max(1));
        self.fleet.set_limit_shares(self.now, equal_share, &self.view.limit_shares, self.lane.count.max(1));
        self.servers.resize_with(self.view.servers.len().max(self.servers.len()), Default::default);
        let mut restarted = Vec::new();
        for index in 0..self.servers.len() {
            let server = id::Server(index as u32);
            if self.refresh_server(server) {
                restarted.push(server);
            }
        }
        for server in restarted {
            self.fail_lost_attempts(server);
        }
        let servers = self.view.servers.iter().flatten().count();
        let leaving = self.view.servers.iter().flatten().filter(|server| server.leaving).count();
        let evacuated = self.view.servers.iter().flatten().filter(|server| server.evacuated).count();
        self.log(note::Note::View { servers, leaving, evacuated });
        self.reroute_waiting();
    }

    /// Clears `is_replaced` for servers whose address in `view` differs from the one in the current view, or that
    /// `view` no longer lists. A misdirected reply applies only to the address that it came from.
    fn clear_replaced(&mut self, view: &view::View) {
        for (index, state) in self.servers.iter_mut().enumerate() {
            let server = id::Server(index as u32);
            let before = self.view.server(server).map(|published| &published.address);
            let after = view.server(server).map(|published| &published.address);
            if before != after {
                state.is_replaced = false;
                state.address_since = self.now;
            }
        }
    }

    /// Updates a server's state from the view in force. Returns `true` if the server has restarted.
    fn refresh_server(&mut self, id: id::Server) -> bool {
        self.report_if_ended(id);
        let state = &mut self.servers[id.index()];
        let Some(published) = self.view.server(id) else {
            state.share = 0;
            state.warm_up = warm_up::WarmUp::default();
            self.outputs.push(Output::Trim { server: id, limit: 0 });
            self.requeue(id);
            return false;
        };
        let share = self.lane.connection_share(published.share(self.view.hosts), id);
        let is_changed = share != state.share;
        state.share = share;
        state.slots = published.slots.max(1);
        let has_restarted = state.incarnation != published.incarnation;
        if has_restarted {
            state.restart(published.incarnation);
            // Connections to the previous incarnation are dead.
            self.outputs.push(Output::Trim { server: id, limit: 0 });
        }
        if is_changed || has_restarted {
            self.outputs.push(Output::Trim { server: id, limit: share });
        }
        let is_reopened = state.set_evacuated(published.evacuated);
        state.warm_up.update(self.now, published.warm_up.as_ref(), is_reopened);
        // A single lane sends the host's requests to a server that warms up.
        let is_sender = id.0 % self.lane.count.max(1) == self.lane.index;
        if state.warm_up.is_cold(self.now) {
            let bound = published.warm_up.filter(|_| is_sender);
            state.warm_up.set_pause(bound.and_then(|bound| self.view.warm_up_pause(&published.name, &bound)));
        }
        if !published.is_open() || self.servers[id.index()].is_blocked(self.now) {
            self.requeue(id);
        }
        self.send_waiting(id);
        has_restarted
    }

    /// Attributes the end of a server that left the view or restarted to the requests recently lost there, if any.
    fn report_if_ended(&mut self, id: id::Server) {
        let before = self.servers[id.index()].incarnation;
        let has_ended = self.view.server(id).is_none_or(|published| published.incarnation != before);
        if has_ended {
            let name = self.server_name(id);
            let name = if name.is_empty() { compact_str::format_compact!("{id}") } else { name };
            self.report_crash(id, &name, before);
        }
    }

    /// Ends the attempts in flight at a server's previous incarnation, which can no longer answer. Idempotent
    /// requests are retried at other replicas at once; for others the caller gets an error before its deadline.
    fn fail_lost_attempts(&mut self, server: id::Server) {
        let lost: Vec<id::Attempt> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.server == server)
            .map(|(key, _)| id::Attempt(key))
            .collect();
        for attempt in lost {
            // Ending a previous attempt may have ended this one's query.
            if self.attempts.get(attempt.0).is_none() {
                continue;
            }
            self.outputs.push(Output::Cancel { attempt });
            self.on_restarted(attempt);
        }
    }

    fn on_hang_up(&mut self, caller: id::Caller) {
        let Some(&query) = self.callers.get(&caller) else {
            return;
        };
        self.finish_unanswered(query, event::Code::CallerGone, None);
    }

    fn on_revalidated(&mut self) {
        self.paused_at = None;
        self.resume();
    }

    fn log(&mut self, note: note::Note) {
        self.outputs.push(Output::Note(note));
    }

    /// The name of a server for log messages; empty if the view does not list it.
    fn server_name(&self, server: id::Server) -> CompactString {
        self.view.server(server).map(|server| server.name.clone()).unwrap_or_default()
    }

    fn breach(&mut self, name: invariant::Name, detail: String) {
        self.stats.breaches += 1;
        self.outputs.push(Output::Breach(invariant::Breach { name, detail }));
    }
}
