//! Routing: which replica gets an attempt, when it is sent, and when another one is allowed.

use std::sync::Arc;

use rand::Rng;

use crate::{clock, id, invariant, mutant, view};

use super::{event, note, query, server, suspect, timer::Timer};

/// First backoff before a shard whose replicas were all tried is asked again.
const BACKOFF: clock::Millis = clock::Millis(5);
/// Most times that a shard waits for the retry budget.
const BUDGET_WAITS: u8 = 4;

impl super::Core {
    /// Sends an attempt for a shard, or lets it wait for room at a server.
    pub(super) fn place(&mut self, query: id::Query, part: u32, kind: query::Kind) {
        let Some(server) = self.choose(query, part) else {
            self.fail_part(query, part);
            return;
        };
        if self.has_room(server) {
            self.send(query, part, server, kind);
            return;
        }
        if self.servers[server.index()].share == 0 {
            self.fail_part(query, part);
            return;
        }
        self.wait_at(query, part, server);
    }

    /// Whether an attempt may be sent to `server` now.
    pub(super) fn has_room(&self, server: id::Server) -> bool {
        !self.is_holding && self.servers[server.index()].has_capacity(self.now)
    }

    fn wait_at(&mut self, query: id::Query, part: u32, server: id::Server) {
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        row.shards[part as usize].is_waiting = true;
        let priority = usize::from(row.selector().priority).min(view::Class::PRIORITIES - 1);
        let state = &mut self.servers[server.index()];
        state.waiting[priority].push_back(server::Wait { query, shard_index: part });
        if state.inflight == 0 {
            self.timers.push(state.ready_at(self.now).max(self.now + clock::Millis(1)), Timer::Pump(server));
        }
    }

    pub(super) fn send(&mut self, query: id::Query, part: u32, server: id::Server, kind: query::Kind) {
        let now = self.now;
        if self.finish_if_blocked(query) {
            return;
        }
        let Some(published) = self.view.server(server) else {
            self.fail_part(query, part);
            return;
        };
        let name = published.name.clone();
        let address = published.address.clone();
        let (is_leaving, is_evacuated) = (published.leaving, published.evacuated);
        let relayed = self.queries.get(query.0).and_then(|row| self.relay_params(row));
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        let class = row.class;
        let view = Arc::clone(&row.view);
        let selector = &view.classes[row.selector];
        let is_paid = std::mem::take(&mut row.shards[part as usize].is_paid);
        let attempt = query::Attempt {
            query,
            shard_index: part,
            server,
            sent: now,
            kind,
            class,
            is_paid,
            is_relay: relayed.is_some(),
        };
        let attempt = id::Attempt(self.attempts.insert(attempt));
        if kind == query::Kind::Retry {
            self.note_extra(query, part, server, note::Cause::Failure);
        }
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        let state = &mut row.shards[part as usize];
        state.is_waiting = false;
        state.record_tried(server);
        state.add_live(attempt);
        match kind {
            query::Kind::First => row.cost.first += 1,
            query::Kind::Hedge => row.cost.hedges += 1,
            query::Kind::Retry => row.cost.retries += 1,
        }
        let dispatch = event::Dispatch {
            attempt,
            query,
            caller: row.caller,
            server,
            name,
            address,
            shard: row.target(part).shard.clone(),
            key: row.key.clone(),
            deadline: row.deadline,
            epoch: selector.epoch,
            want: row.want,
            shape: selector.shape,
            relayed,
            idempotent: selector.idempotent,
        };
        let service = row.target(part).service;
        let repeats = !selector.idempotent && row.may_have_run;
        if repeats {
            let detail = format!("{query} {attempt} after an attempt that may have run");
            self.breach(invariant::Name::AtMostOnce, detail);
        }
        if is_leaving {
            self.breach(invariant::Name::NoWorkToLeaving, format!("{query} {attempt} to {server}"));
        }
        if is_evacuated {
            self.breach(invariant::Name::NoWorkToEvacuated, format!("{query} {attempt} to {server}"));
        }
        self.count_attempt(class, service, server, kind);
        self.note_suspect(query, part, server);
        self.outputs.push(event::Output::Dispatch(dispatch));
    }

    fn count_attempt(&mut self, class: usize, service: id::Service, server: id::Server, kind: query::Kind) {
        match kind {
            query::Kind::First => self.stats.first += 1,
            query::Kind::Hedge => self.stats.hedges += 1,
            query::Kind::Retry => self.stats.retries += 1,
        }
        let state = &mut self.servers[server.index()];
        state.inflight += 1;
        if !state.warm_up.on_sent(self.now) {
            self.breach(invariant::Name::BoundedWarmUp, format!("{server} warms up"));
        }
        let state = &self.servers[server.index()];
        if state.inflight > state.share {
            let detail = format!("{server}: {} in flight, share {}", state.inflight, state.share);
            self.breach(invariant::Name::BoundedConnections, detail);
        }
        let row = &self.classes[class];
        if row.hedges.is_within_bound() && row.retries.is_within_bound() && self.fleet.holds(self.now, service) {
            return;
        }
        let detail = format!("{}: {} hedges, {} retries", row.name, row.hedges.spent(), row.retries.spent());
        self.breach(invariant::Name::BoundedExtraLoad, detail);
    }

    /// Frees the attempt's connection and lets the next shard that waits there go.
    pub(super) fn release(&mut self, server: id::Server) {
        let state = &mut self.servers[server.index()];
        state.inflight = state.inflight.saturating_sub(1);
        if state.waiting_len() > 0 {
            self.pump(server);
        }
    }

    /// Sends what waits at a server while it has room.
    pub(super) fn pump(&mut self, server: id::Server) {
        if !self.is_open(server) || self.servers[server.index()].is_blocked(self.now) {
            self.requeue(server);
            return;
        }
        while self.has_room(server) {
            let state = &mut self.servers[server.index()];
            let Some(wait) = state.waiting.iter_mut().find_map(|queue| queue.pop_front()) else {
                return;
            };
            if !self.still_waits(wait) {
                continue;
            }
            let kind = self.kind_of_next(wait);
            let class = self.queries.get(wait.query.0).map(|row| &row.selector().name);
            if class.is_some_and(|class| !self.is_in_home_region(class, server)) {
                self.place(wait.query, wait.shard_index, kind);
                continue;
            }
            self.send(wait.query, wait.shard_index, server, kind);
        }
        let state = &self.servers[server.index()];
        if state.inflight == 0 && state.waiting_len() > 0 {
            let at = state.ready_at(self.now).max(self.now + clock::Millis(1));
            self.timers.push(at, Timer::Pump(server));
        }
    }

    fn still_waits(&self, wait: server::Wait) -> bool {
        let Some(row) = self.queries.get(wait.query.0) else {
            return false;
        };
        row.shards.get(wait.shard_index as usize).is_some_and(|part| part.is_waiting)
    }

    fn kind_of_next(&self, wait: server::Wait) -> query::Kind {
        let tries = self.queries.get(wait.query.0).map_or(0, |row| row.shards[wait.shard_index as usize].tries);
        if tries == 0 { query::Kind::First } else { query::Kind::Retry }
    }

    /// Places again what waits at a server that takes no new work any more.
    pub(super) fn requeue(&mut self, server: id::Server) {
        let waiting = std::mem::take(&mut self.servers[server.index()].waiting);
        for wait in waiting.into_iter().flatten() {
            if !self.still_waits(wait) {
                continue;
            }
            let kind = self.kind_of_next(wait);
            self.place(wait.query, wait.shard_index, kind);
        }
    }

    /// An attempt failed. `was_not_run` says that this is proved, not assumed.
    pub(super) fn retry(&mut self, query: id::Query, part: u32, was_not_run: bool, is_free: bool) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        // A trial reaches one server.
        if row.trial == query::Trial::Granted && row.last_answer.is_none() && !is_free {
            let code = if was_not_run { event::Code::CrashesServers } else { event::Code::AttemptLost };
            self.finish_unanswered(query, code, Some(suspect::TRIAL_RETRY_AFTER));
            return;
        }
        let selector = row.selector();
        let state = row.shards[part as usize];
        if state.is_pending() || state.has_reply() {
            self.settle(query);
            return;
        }
        // What may crash servers is not sent to a second one after a loss.
        let is_repeatable = selector.idempotent && !row.is_forwarded && !self.is_suspect(row);
        let is_allowed = is_repeatable || was_not_run || mutant::is(mutant::Mutant::RetryUnknown);
        if !is_allowed {
            self.finish_unanswered(query, event::Code::AttemptLost, None);
            return;
        }
        let replicas = &row.target(part).replicas;
        let may_try_more = selector.max_servers.is_none_or(|most| state.reached_servers() < usize::from(most));
        let has_fresh = may_try_more && replicas.iter().any(|&id| !state.was_tried(id) && self.is_open(id));
        let is_spent = state.tries >= self.policy.attempts_per_shard;
        // A host that did nothing is no loss, and this one can gather itself.
        let is_free = is_free || row.is_forwarded && was_not_run;
        let is_exhausted = row.is_forwarded && !has_fresh;
        if is_exhausted && self.gather_locally(query) {
            return;
        }
        if is_spent {
            self.fail_part(query, part);
            return;
        }
        if !is_free && !self.spend(query, part, query::Kind::Retry) {
            self.wait_for_budget(query, part, was_not_run);
            return;
        }
        if has_fresh {
            self.place(query, part, query::Kind::Retry);
            return;
        }
        self.back_off(query, part, state.tries);
    }

    fn back_off(&mut self, query: id::Query, part: u32, doublings: u8) {
        let backoff = BACKOFF.0 << doublings.min(5);
        let jitter = self.random.random_range(0..=backoff);
        if let Some(row) = self.queries.get_mut(query.0) {
            row.shards[part as usize].is_waiting = true;
        }
        self.timers.push(self.now + clock::Millis(backoff + jitter), Timer::Retry(query, part));
    }

    /// A shard whose server refused it may wait a few times for the budget to fill again; giving it
    /// up at the first empty budget would waste what its sisters have done for the query. What may
    /// have run already is given up at once.
    fn wait_for_budget(&mut self, query: id::Query, part: u32, was_not_run: bool) {
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        let state = &mut row.shards[part as usize];
        if !was_not_run || state.budget_waits >= BUDGET_WAITS {
            self.fail_part(query, part);
            return;
        }
        state.budget_waits += 1;
        state.needs_budget = true;
        let doublings = state.budget_waits;
        self.back_off(query, part, doublings);
    }

    /// Takes a token for an extra attempt at a shard from the class's budget and from this host's part
    /// of the fleet's; from both or from none.
    pub(super) fn spend(&mut self, query: id::Query, part: u32, kind: query::Kind) -> bool {
        let Some(row) = self.queries.get(query.0) else {
            return false;
        };
        let service = row.target(part).service;
        let class = &mut self.classes[row.class];
        let bucket = if kind == query::Kind::Hedge { &mut class.hedges } else { &mut class.retries };
        if mutant::is(mutant::Mutant::UnboundedExtra) && kind != query::Kind::Hedge {
            bucket.force_spend();
            return true;
        }
        if self.fleet.has_token(self.now, service) && bucket.spend() {
            self.fleet.spend(self.now, service);
            // A query that begins anew pays for all its shards before it has their rows again.
            let row = self.queries.get_mut(query.0);
            if let Some(state) = row.and_then(|row| row.shards.get_mut(part as usize)) {
                state.is_paid = true;
            }
            return true;
        }
        let cause = if kind == query::Kind::Hedge { note::Cause::Silence } else { note::Cause::Failure };
        let shard = row.target(part).shard.clone();
        let caller = row.caller;
        self.note(note::Note::Denied { caller, shard, cause });
        false
    }

    pub(super) fn note_extra(&mut self, query: id::Query, part: u32, server: id::Server, cause: note::Cause) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let caller = row.caller;
        let shard = row.target(part).shard.clone();
        let after = self.now.since(row.arrived);
        let server = self.server_name(server);
        self.note(note::Note::Extra { caller, shard, server, cause, after });
    }

    pub(super) fn on_backoff_end(&mut self, query: id::Query, part: u32) {
        if !self.still_waits(server::Wait { query, shard_index: part }) {
            return;
        }
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        let state = &mut row.shards[part as usize];
        state.is_waiting = false;
        let needs_budget = std::mem::take(&mut state.needs_budget);
        if needs_budget && !self.spend(query, part, query::Kind::Retry) {
            self.wait_for_budget(query, part, true);
            return;
        }
        self.place(query, part, query::Kind::Retry);
    }
}
