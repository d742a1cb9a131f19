//! Dispatch: sends attempts to replicas, queues them at busy servers, and retries failed ones.

use std::sync::Arc;

use rand::Rng;

use crate::{clock, id, invariant, mutant, view};

use super::{event, note, query, server, suspect, timer::Timer};

/// Initial backoff before a retry for a shard whose replicas have all been tried.
const INITIAL_BACKOFF: clock::Millis = clock::Millis(5);
/// Maximum number of times that a shard waits for the retry budget.
const MAX_BUDGET_WAITS: u8 = 4;

/// Backoff before a retry after `doublings` attempts, without jitter.
pub(super) fn backoff(doublings: u8) -> clock::Millis {
    clock::Millis(INITIAL_BACKOFF.0 << doublings.min(5))
}

impl super::Core {
    /// Sends an attempt for a shard, or queues it until a server has capacity.
    pub(super) fn dispatch(&mut self, query: id::Query, shard_index: u32, kind: query::Kind) {
        let Some(server) = self.choose(query, shard_index) else {
            self.fail_shard(query, shard_index);
            return;
        };
        if self.has_capacity(server) {
            self.send(query, shard_index, server, kind);
            return;
        }
        if self.servers[server.index()].share == 0 {
            self.fail_shard(query, shard_index);
            return;
        }
        self.queue_at(query, shard_index, server);
    }

    /// Whether an attempt may be sent to `server` now.
    pub(super) fn has_capacity(&self, server: id::Server) -> bool {
        !self.is_sending_paused && self.servers[server.index()].has_capacity(self.now)
    }

    fn queue_at(&mut self, id: id::Query, shard_index: u32, server: id::Server) {
        let Some(query) = self.queries.get_mut(id.0) else {
            return;
        };
        query.shards[shard_index as usize].is_waiting = true;
        let priority = usize::from(query.selector().priority).min(view::Class::PRIORITIES - 1);
        let server_state = &mut self.servers[server.index()];
        server_state.waiting[priority].push_back(server::Wait { query: id, shard_index, since: self.now });
        if server_state.inflight == 0 {
            self.timers
                .push(server_state.ready_at(self.now).max(self.now + clock::Millis(1)), Timer::SendWaiting(server));
        }
    }

    pub(super) fn send(&mut self, id: id::Query, shard_index: u32, server: id::Server, kind: query::Kind) {
        let now = self.now;
        if self.finish_if_blocked(id) {
            return;
        }
        let Some(published) = self.view.server(server) else {
            self.fail_shard(id, shard_index);
            return;
        };
        let name = published.name.clone();
        let address = published.address.clone();
        let (is_leaving, is_evacuated) = (published.leaving, published.evacuated);
        let relayed = self.queries.get(id.0).and_then(|query| self.relay_params(query));
        let Some(query) = self.queries.get_mut(id.0) else {
            return;
        };
        let class = query.class;
        let view = Arc::clone(&query.view);
        let selector = &view.classes[query.selector];
        let is_paid = std::mem::take(&mut query.shards[shard_index as usize].is_paid);
        let attempt = query::Attempt {
            query: id,
            shard_index,
            server,
            sent: now,
            kind,
            class,
            is_paid,
            is_relay: relayed.is_some(),
        };
        let attempt = id::Attempt(self.attempts.insert(attempt));
        if kind == query::Kind::Retry {
            self.log_extra(id, shard_index, server, note::Cause::Failure);
        }
        let Some(query) = self.queries.get_mut(id.0) else {
            return;
        };
        let shard = &mut query.shards[shard_index as usize];
        shard.is_waiting = false;
        shard.record_tried(server);
        shard.add_live(attempt);
        match kind {
            query::Kind::First => query.cost.first += 1,
            query::Kind::Hedge => query.cost.hedges += 1,
            query::Kind::Retry => query.cost.retries += 1,
        }
        let dispatch = event::Dispatch {
            attempt,
            query: id,
            caller: query.caller,
            server,
            name,
            address,
            shard: query.target(shard_index).shard.clone(),
            key: query.key.clone(),
            deadline: query.deadline,
            epoch: selector.epoch,
            want: query.want,
            shape: selector.shape,
            relayed,
            idempotent: selector.idempotent,
        };
        let service = query.target(shard_index).service;
        let may_run_twice = !selector.idempotent && query.may_have_run;
        if may_run_twice {
            let detail = format!("{id} {attempt} after an attempt that may have run");
            self.breach(invariant::Name::AtMostOnce, detail);
        }
        if is_leaving {
            self.breach(invariant::Name::NoWorkToLeaving, format!("{id} {attempt} to {server}"));
        }
        if is_evacuated {
            self.breach(invariant::Name::NoWorkToEvacuated, format!("{id} {attempt} to {server}"));
        }
        self.count_attempt(class, service, server, kind);
        self.log_suspect(id, shard_index, server);
        self.outputs.push(event::Output::Dispatch(dispatch));
    }

    fn count_attempt(&mut self, class: usize, service: id::Service, server: id::Server, kind: query::Kind) {
        match kind {
            query::Kind::First => self.stats.first += 1,
            query::Kind::Hedge => self.stats.hedges += 1,
            query::Kind::Retry => self.stats.retries += 1,
        }
        let server_state = &mut self.servers[server.index()];
        server_state.inflight += 1;
        if !server_state.warm_up.on_sent(self.now) {
            self.breach(invariant::Name::BoundedWarmUp, format!("{server}: sent beyond the warm-up limit"));
        }
        let server_state = &self.servers[server.index()];
        if server_state.inflight > server_state.share {
            let detail = format!("{server}: {} in flight, share {}", server_state.inflight, server_state.share);
            self.breach(invariant::Name::BoundedConnections, detail);
        }
        let class_state = &self.classes[class];
        if class_state.hedges.is_within_bound()
            && class_state.retries.is_within_bound()
            && self.fleet.is_within_bound(self.now, service)
        {
            return;
        }
        let detail = format!(
            "{}: {} hedges, {} retries",
            class_state.name,
            class_state.hedges.spent(),
            class_state.retries.spent()
        );
        self.breach(invariant::Name::BoundedExtraLoad, detail);
    }

    /// Releases an attempt's connection and sends the next attempt that is queued at the server.
    pub(super) fn release(&mut self, server: id::Server) {
        let server_state = &mut self.servers[server.index()];
        server_state.inflight = server_state.inflight.saturating_sub(1);
        if server_state.waiting_len() > 0 {
            self.send_waiting(server);
        }
    }

    /// Sends attempts that are queued at a server while it has capacity.
    pub(super) fn send_waiting(&mut self, server: id::Server) {
        if !self.is_open(server) || self.servers[server.index()].is_blocked(self.now) {
            self.requeue(server);
            return;
        }
        let has_guarantee = self.policy.urgency.is_some();
        while self.has_capacity(server) {
            let server_state = &mut self.servers[server.index()];
            let Some(wait) = server_state.pop_waiting(has_guarantee) else {
                return;
            };
            if !self.is_waiting(wait) {
                continue;
            }
            let kind = self.next_kind(wait);
            self.add_wait(wait.query, wait.shard_index, self.now.since(wait.since));
            let class = self.queries.get(wait.query.0).map(|query| &query.selector().name);
            if class.is_some_and(|class| !self.is_in_home_region(class, server)) {
                self.dispatch(wait.query, wait.shard_index, kind);
                continue;
            }
            self.send(wait.query, wait.shard_index, server, kind);
        }
        let server_state = &self.servers[server.index()];
        if server_state.inflight == 0 && server_state.waiting_len() > 0 {
            let at = server_state.ready_at(self.now).max(self.now + clock::Millis(1));
            self.timers.push(at, Timer::SendWaiting(server));
        }
    }

    fn is_waiting(&self, wait: server::Wait) -> bool {
        let Some(query) = self.queries.get(wait.query.0) else {
            return false;
        };
        query.shards.get(wait.shard_index as usize).is_some_and(|shard| shard.is_waiting && !shard.is_unplanned)
    }

    fn next_kind(&self, wait: server::Wait) -> query::Kind {
        let tries = self.queries.get(wait.query.0).map_or(0, |query| query.shards[wait.shard_index as usize].tries);
        if tries == 0 { query::Kind::First } else { query::Kind::Retry }
    }

    /// Dispatches the attempts queued at a server again, because it no longer accepts new requests.
    pub(super) fn requeue(&mut self, server: id::Server) {
        let waiting = std::mem::take(&mut self.servers[server.index()].waiting);
        for wait in waiting.into_iter().flatten() {
            if !self.is_waiting(wait) {
                continue;
            }
            let kind = self.next_kind(wait);
            self.dispatch(wait.query, wait.shard_index, kind);
        }
    }

    /// Handles a failed attempt. `is_known_not_run` is set if it is proven that the attempt did not run; `is_free` if
    /// the retry costs no budget.
    pub(super) fn retry(&mut self, id: id::Query, shard_index: u32, is_known_not_run: bool, is_free: bool) {
        let Some(query) = self.queries.get(id.0) else {
            return;
        };
        // A trial is sent to one server only.
        if query.trial == query::Trial::Granted && query.last_answer.is_none() && !is_free {
            let code = if is_known_not_run { event::Code::CrashesServers } else { event::Code::AttemptLost };
            self.finish_unanswered(id, code, Some(suspect::TRIAL_RETRY_AFTER));
            return;
        }
        let selector = query.selector();
        let shard = query.shards[shard_index as usize];
        if shard.is_pending() || shard.has_reply() {
            self.settle(id);
            return;
        }
        // A request that may crash servers is not sent to a second one after a loss.
        let is_repeatable = selector.idempotent && !query.is_forwarded && !self.is_suspect(query);
        let is_allowed = is_repeatable || is_known_not_run || mutant::is(mutant::Mutant::RetryUnknown);
        if !is_allowed {
            self.finish_unanswered(id, event::Code::AttemptLost, None);
            return;
        }
        let replicas = &query.target(shard_index).replicas;
        let may_try_more = selector.max_servers.is_none_or(|max| shard.reached_servers() < usize::from(max));
        let has_untried = may_try_more && replicas.iter().any(|&id| !shard.was_tried(id) && self.is_open(id));
        let is_out_of_attempts = shard.tries >= self.policy.attempts_per_shard;
        // If the other host did not run the request, the retry is free: this host can gather itself.
        let is_free = is_free || query.is_forwarded && is_known_not_run;
        let is_relay_exhausted = query.is_forwarded && !has_untried;
        if is_relay_exhausted && self.gather_locally(id) {
            return;
        }
        if is_out_of_attempts {
            self.fail_shard(id, shard_index);
            return;
        }
        if !is_free && self.is_planned(id, shard_index) {
            self.await_plan(id, shard_index);
            return;
        }
        if !is_free && !self.spend(id, shard_index, query::Kind::Retry) {
            self.wait_for_budget(id, shard_index, is_known_not_run);
            return;
        }
        if has_untried {
            self.dispatch(id, shard_index, query::Kind::Retry);
            return;
        }
        self.back_off(id, shard_index, shard.tries);
    }

    pub(super) fn back_off(&mut self, id: id::Query, shard_index: u32, doublings: u8) {
        let backoff = backoff(doublings).0;
        let jitter = self.random.random_range(0..=backoff);
        if let Some(query) = self.queries.get_mut(id.0) {
            query.shards[shard_index as usize].is_waiting = true;
        }
        self.timers.push(self.now + clock::Millis(backoff + jitter), Timer::Retry(id, shard_index));
    }

    /// Lets a shard whose attempt did not run wait a few times for the retry budget to refill; failing
    /// it at the first empty budget would waste the work of the query's other shards. A shard whose
    /// attempt may have run fails at once.
    fn wait_for_budget(&mut self, id: id::Query, shard_index: u32, is_known_not_run: bool) {
        let Some(query) = self.queries.get_mut(id.0) else {
            return;
        };
        let shard = &mut query.shards[shard_index as usize];
        if !is_known_not_run || shard.budget_waits >= MAX_BUDGET_WAITS {
            self.fail_shard(id, shard_index);
            return;
        }
        shard.budget_waits += 1;
        shard.needs_budget = true;
        let doublings = shard.budget_waits;
        self.back_off(id, shard_index, doublings);
    }

    /// Takes a token for an extra attempt at a shard from the class's budget and from this host's share
    /// of the fleet budget; from both or from neither.
    pub(super) fn spend(&mut self, id: id::Query, shard_index: u32, kind: query::Kind) -> bool {
        let Some(query) = self.queries.get(id.0) else {
            return false;
        };
        let service = query.target(shard_index).service;
        let class = &mut self.classes[query.class];
        let bucket = if kind == query::Kind::Hedge { &mut class.hedges } else { &mut class.retries };
        if mutant::is(mutant::Mutant::UnboundedExtra) && kind != query::Kind::Hedge {
            bucket.force_spend();
            return true;
        }
        let has_token = self.fleet.has_token(self.now, service);
        if has_token && bucket.spend() {
            self.fleet.spend(self.now, service);
            self.on_budget_change();
            // A restarted query pays for all its shards before their entries exist again.
            let query = self.queries.get_mut(id.0);
            if let Some(shard) = query.and_then(|query| query.shards.get_mut(shard_index as usize)) {
                shard.is_paid = true;
            }
            return true;
        }
        if has_token {
            self.stats.denied_by_class += 1;
        } else {
            self.stats.denied_by_service += 1;
        }
        let cause = if kind == query::Kind::Hedge { note::Cause::Silence } else { note::Cause::Failure };
        let shard = query.target(shard_index).shard.clone();
        let caller = query.caller;
        self.log(note::Note::Denied { caller, shard, cause });
        false
    }

    pub(super) fn log_extra(&mut self, id: id::Query, shard_index: u32, server: id::Server, cause: note::Cause) {
        let Some(query) = self.queries.get(id.0) else {
            return;
        };
        let caller = query.caller;
        let shard = query.target(shard_index).shard.clone();
        let after = self.now.since(query.arrived);
        let server = self.server_name(server);
        self.log(note::Note::Extra { caller, shard, server, cause, after });
    }

    pub(super) fn on_backoff_end(&mut self, id: id::Query, shard_index: u32) {
        if !self.is_waiting(server::Wait { query: id, shard_index, since: self.now }) {
            return;
        }
        let Some(query) = self.queries.get_mut(id.0) else {
            return;
        };
        let shard = &mut query.shards[shard_index as usize];
        shard.is_waiting = false;
        let needs_budget = std::mem::take(&mut shard.needs_budget);
        if needs_budget && !self.spend(id, shard_index, query::Kind::Retry) {
            self.wait_for_budget(id, shard_index, true);
            return;
        }
        self.dispatch(id, shard_index, query::Kind::Retry);
    }
}
