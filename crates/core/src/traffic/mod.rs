//! The traffic core: from a caller's request to its one answer.
//!
//! [`Core::step`] takes a batch of inputs and runs the systems over the tables in one fixed order:
//! pause guard, timers, inputs, admission. Outputs are collected in the order in which the shell
//! must carry them out. A view that leads the batch is taken before the timers. One core serves one
//! traffic thread and shares nothing with another.
//!
//! The systems stand in modules of their own: [`admit`] (limits and refusals), [`choose`] (which
//! replica), [`dispatch`] (sending, queues at servers, retries), [`warm_up`] (servers that have just
//! started), [`suspect`] (requests that crash servers), [`hedge`] (silence) and [`gather`] (snapshots,
//! coverage, answers).

mod admit;
mod capacity;
mod choose;
mod class;
mod dispatch;
pub mod event;
mod finish;
mod fleet;
mod gather;
mod hedge;
mod key;
pub mod note;
pub mod policy;
mod query;
mod relay;
mod server;
pub mod summary;
mod suspect;
mod timer;
pub mod warm_up;
pub mod why;

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;
use rand::{SeedableRng, rngs};

use crate::{clock, id, invariant, mutant, table, view};

use event::{Input, Output};
use timer::Timer;

/// Which of a host's traffic cores this is; the host's share of connections is cut among them.
#[derive(Clone, Copy, Debug)]
pub struct Lane {
    /// From zero.
    pub index: u32,
    /// Traffic cores on this host.
    pub count: u32,
}

impl Lane {
    /// This lane's part of a host's `share` of the connections to `server`. The remainder moves
    /// with the server's index, so that no lane is always the one left without.
    fn part(self, share: u32, server: id::Server) -> u32 {
        let count = self.count.max(1);
        let place = (self.index + server.0) % count;
        share / count + u32::from(place < share % count)
    }
}

/// The decisions of one traffic thread.
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
    /// Queries that are trials or ask for one, by what they ask.
    trials: IndexMap<crate::suspect::Fingerprint, id::Query>,
    fleet: fleet::Fleet,
    ejected: usize,
    /// Set from a pause until control confirmed the view.
    paused_at: Option<clock::Millis>,
    /// Set from a pause until its grace is over or control confirmed the view: nothing is sent.
    is_holding: bool,
    outputs: Vec<Output>,
    stats: summary::Stats,
    recent: summary::Ring,
}

impl Core {
    /// A core with an empty view, at the instant `now`.
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
            ejected: 0,
            paused_at: None,
            is_holding: false,
            outputs: Vec::new(),
            stats: summary::Stats::default(),
            recent: summary::Ring::default(),
        }
    }

    /// Runs the systems once. `now` must not be earlier than in the step before.
    pub fn step(&mut self, now: clock::Millis, inputs: impl IntoIterator<Item = Input>) -> Vec<Output> {
        let is_pause = self.is_pause(now);
        let gap = now.since(self.now);
        self.now = now.max(self.now);
        if is_pause {
            self.on_pause(gap);
        }
        let mut inputs = inputs.into_iter().peekable();
        // A view goes before the timers: a hedge or retry that is due in this very step would
        // otherwise still go by the old view, to a server whose leaving mark is in the new one.
        while let Some(view) = inputs.next_if(|input| matches!(input, Input::View(_))) {
            self.take(view);
        }
        self.run_timers();
        for input in inputs {
            self.take(input);
        }
        self.admit_waiting();
        std::mem::take(&mut self.outputs)
    }

    /// When the core must be stepped again at the latest, if nothing else happens.
    pub fn next_timer(&self) -> Option<clock::Millis> {
        self.timers.next()
    }

    /// The view in force.
    pub fn view(&self) -> &Arc<view::View> {
        &self.view
    }

    /// Counters since the start.
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

    /// Number of servers in the view that get no new work because another server was found at their address.
    fn count_replaced(&self) -> usize {
        let in_view = self.servers.iter().zip(&self.view.servers).filter(|(_, published)| published.is_some());
        in_view.filter(|(server, _)| server.is_replaced).count()
    }

    /// Whether `query` has no answer yet.
    pub fn is_live(&self, query: id::Query) -> bool {
        self.queries.get(query.0).is_some()
    }

    /// The summary of a query that ended lately, by id.
    pub fn summary(&self, query: id::Query) -> Option<&summary::Summary> {
        self.recent.find(query)
    }

    /// Queries that run at once and the limit on them, by class.
    pub fn admission(&self) -> impl Iterator<Item = (&str, u32, u32, usize)> {
        self.classes.values().map(|row| (row.name.as_str(), row.running, row.limit(), row.queue.len()))
    }

    /// A gap between steps means that the process was stopped.
    fn is_pause(&self, now: clock::Millis) -> bool {
        let has_view = self.view.stamp != view::Stamp::default();
        has_view && now.since(self.now) >= self.policy.pause && !mutant::is(mutant::Mutant::IgnorePause)
    }

    /// What expired meanwhile ends first, before a retry or hedge that was due earlier than the
    /// deadline could still send it. Nothing at all is sent on the old view until control confirmed
    /// it or the grace is over.
    fn on_pause(&mut self, gap: clock::Millis) {
        self.stats.pauses += 1;
        self.paused_at = Some(self.now);
        self.is_holding = true;
        let mut expired = Vec::new();
        for (key, query) in self.queries.iter() {
            if query.deadline <= self.now {
                expired.push(id::Query(key));
            }
        }
        self.note(note::Note::Paused { gap, expired: expired.len() });
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
                Timer::Settle(query) => self.settle(query),
                Timer::Hedge(query) => self.hedge(query),
                Timer::Retry(query, part) => self.on_backoff_end(query, part),
                Timer::Pump(server) => self.pump(server),
                Timer::ConnectionClosed(server) => self.release(server),
                Timer::TrialTimeout(query) => self.on_trial_timeout(query),
                Timer::Probe(server) => self.send_probe(server),
                Timer::ProbeTimeout(server) => self.on_probe_timeout(server),
                Timer::Resume => self.resume(),
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::View(view) => self.on_view(view),
            Input::Request(request) => self.on_request(request),
            Input::Reply { attempt, reply } => self.on_reply(attempt, reply),
            Input::HangUp(caller) => self.on_hang_up(caller),
            Input::Revalidated => self.on_revalidated(),
            Input::Suspects(suspects) => self.on_suspects(suspects),
            Input::Granted(trial) => self.on_granted(trial),
            Input::Probed { server, finding } => self.on_probed(server, finding),
            Input::Tick => {}
        }
    }

    fn on_view(&mut self, view: Arc<view::View>) {
        let is_older = (view.stamp, view.hosts_revision) < (self.view.stamp, self.view.hosts_revision);
        if is_older {
            let detail = format!("view {} after {}", view.stamp, self.view.stamp);
            self.breach(invariant::Name::ConfigMonotonic, detail);
            return;
        }
        self.clear_replaced(&view);
        self.view = view;
        let usual = 1.0 / f64::from(self.view.hosts.max(1));
        self.fleet.set_shares(self.now, usual, &self.view.limit_shares, self.lane.count.max(1));
        self.servers.resize_with(self.view.servers.len().max(self.servers.len()), Default::default);
        let mut reborn = Vec::new();
        for index in 0..self.servers.len() {
            let server = id::Server(index as u32);
            if self.refresh_server(server) {
                reborn.push(server);
            }
        }
        for server in reborn {
            self.end_life(server);
        }
        let servers = self.view.servers.iter().flatten().count();
        let leaving = self.view.servers.iter().flatten().filter(|server| server.leaving).count();
        let evacuated = self.view.servers.iter().flatten().filter(|server| server.evacuated).count();
        self.note(note::Note::View { servers, leaving, evacuated });
    }

    /// Clears `is_replaced` for servers whose address in `view` differs from the one in the current view, or that `view`
    /// no longer lists. A misdirected reply concerns only the address that it came from.
    fn clear_replaced(&mut self, view: &view::View) {
        for (index, row) in self.servers.iter_mut().enumerate() {
            let server = id::Server(index as u32);
            let before = self.view.server(server).map(|published| &published.address);
            let after = view.server(server).map(|published| &published.address);
            if before != after {
                row.is_replaced = false;
                row.address_since = self.now;
            }
        }
    }

    /// Takes what the view in force says of a server. `true` if it has started anew.
    fn refresh_server(&mut self, id: id::Server) -> bool {
        self.note_restart(id);
        let row = &mut self.servers[id.index()];
        let Some(published) = self.view.server(id) else {
            row.share = 0;
            row.warm_up = warm_up::WarmUp::default();
            self.outputs.push(Output::Trim { server: id, keep: 0 });
            self.requeue(id);
            return false;
        };
        let share = self.lane.part(published.share(self.view.hosts), id);
        let is_changed = share != row.share;
        row.share = share;
        row.slots = published.slots.max(1);
        let is_reborn = row.incarnation != published.incarnation;
        if is_reborn {
            row.restart(published.incarnation);
            // Connections to its life before lead nowhere.
            self.outputs.push(Output::Trim { server: id, keep: 0 });
        }
        if is_changed || is_reborn {
            self.outputs.push(Output::Trim { server: id, keep: share });
        }
        let is_back = row.set_evacuated(published.evacuated);
        row.warm_up.update(self.now, published.warm_up.as_ref(), is_back);
        // One lane holds the right to send for the whole host.
        let holds = id.0 % self.lane.count.max(1) == self.lane.index;
        if row.warm_up.is_cold(self.now) {
            let bound = published.warm_up.filter(|_| holds);
            row.warm_up.set_pause(bound.and_then(|bound| self.view.warm_up_pause(&published.name, &bound)));
        }
        if !published.is_open() || self.servers[id.index()].is_blocked(self.now) {
            self.requeue(id);
        }
        self.pump(id);
        is_reborn
    }

    /// A server that is gone from the view, or lives anew, died of what was lost there a moment ago, if anything was.
    fn note_restart(&mut self, id: id::Server) {
        let before = self.servers[id.index()].incarnation;
        let is_over = self.view.server(id).is_none_or(|published| published.incarnation != before);
        if is_over {
            let name = self.server_name(id);
            let name = if name.is_empty() { compact_str::format_compact!("{id}") } else { name };
            self.report_crash(id, &name, before);
        }
    }

    /// What is in flight at a server's life before will not be answered: other replicas are asked at once, and
    /// callers whose request may run only once are told, who would else wait for their deadline.
    fn end_life(&mut self, server: id::Server) {
        let lost: Vec<id::Attempt> =
            self.attempts.iter().filter(|(_, row)| row.server == server).map(|(key, _)| id::Attempt(key)).collect();
        for attempt in lost {
            // The end of another one may have ended its query.
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

    fn note(&mut self, note: note::Note) {
        self.outputs.push(Output::Note(note));
    }

    /// The name of a server, for logs.
    fn server_name(&self, server: id::Server) -> CompactString {
        self.view.server(server).map(|server| server.name.clone()).unwrap_or_default()
    }

    fn breach(&mut self, name: invariant::Name, detail: String) {
        self.stats.breaches += 1;
        self.outputs.push(Output::Breach(invariant::Breach { name, detail }));
    }
}
