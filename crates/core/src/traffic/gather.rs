//! Gathering: combines replies of one snapshot into one answer with its actual coverage.

use std::sync::Arc;

use crate::{clock, evidence, id, view};

use super::{event, note, query, server, timer::Timer};

/// Maximum number of restarts of a query because the data was repartitioned.
const MAX_RESTARTS: u8 = 2;
/// Retry delay after a refusal for lack of shards.
pub(super) const RETRY_AFTER: clock::Millis = clock::Millis(250);

impl super::Core {
    pub(super) fn on_reply(&mut self, id: id::Attempt, reply: event::Reply) {
        // The attempt was cancelled, or its table slot now belongs to another one.
        let Some(attempt) = self.attempts.remove(id.0) else {
            self.stats.late += 1;
            return;
        };
        if let Some(query) = self.queries.get_mut(attempt.query.0) {
            query.shards[attempt.shard_index as usize].remove_live(id);
        }
        let is_broken = reply == event::Reply::Lost(event::Loss::Broken);
        let is_undelivered = matches!(reply, event::Reply::NotSent | event::Reply::Misdirected);
        if !is_undelivered && !is_broken {
            self.servers[attempt.server.index()].losses.clear();
        }
        if reply != event::Reply::NotSent {
            self.servers[attempt.server.index()].on_activity(self.now);
        }
        match reply {
            event::Reply::Answered(answer) => self.on_answered(id, attempt, answer),
            event::Reply::Failed => self.on_failed(id, attempt),
            event::Reply::Refused { retry_after } => self.on_refused(attempt, retry_after),
            event::Reply::Misdirected => self.on_misdirected(attempt),
            event::Reply::Duplicate => self.on_duplicate(attempt),
            event::Reply::NotSent => self.on_not_sent(attempt),
            event::Reply::Lost(loss) => self.on_lost(attempt, loss),
        }
    }

    fn on_answered(&mut self, id: id::Attempt, attempt: query::Attempt, answer: event::Part) {
        let took = self.now.since(attempt.sent);
        let is_still_ejected = self.servers[attempt.server.index()].is_ejected(self.now);
        if self.servers[attempt.server.index()].was_ejected() {
            self.log(note::Note::Restored { server: self.server_name(attempt.server) });
        }
        self.observe(attempt.server, evidence::Attempt::Answered { ratio: self.ratio(&attempt) });
        let median = self.classes[attempt.class].median_attempt_time(attempt.is_relay);
        let state = &mut self.servers[attempt.server.index()];
        state.on_answer(self.now, took, median, &answer);
        state.snapshots = [Some(answer.snapshot), answer.held];
        self.ejected = self.ejected.saturating_sub(usize::from(is_still_ejected));
        if !attempt.is_relay {
            self.add_server_wait(&attempt, took, answer.queue);
        }
        self.release(attempt.server);
        let class = attempt.class;
        if attempt.is_relay {
            self.classes[class].relay_times.record(took);
        } else {
            self.classes[class].attempt_times.record(took);
        }
        let via = attempt.is_relay.then(|| self.server_name(attempt.server));
        self.record_answered(attempt.query);
        let Some(query) = self.queries.get_mut(attempt.query.0) else {
            return;
        };
        query.may_have_run = true;
        let is_canary = std::mem::take(&mut query.is_canary);
        query.last_answer = Some((attempt.shard_index, attempt.server, attempt.sent));
        query.via = via;
        let epoch = query.selector().epoch;
        if answer.snapshot.epoch != epoch {
            query.seen_epoch = Some(answer.snapshot.epoch);
            self.on_epoch_mismatch(attempt.query, attempt.shard_index);
            return;
        }
        let reply = query::Reply { snapshot: answer.snapshot, attempt: id, hits: answer.hits };
        query.add_reply(attempt.shard_index as usize, reply);
        let is_mixed = query.groups.len() > 1;
        if is_mixed {
            self.record_rollout(class);
        }
        self.cancel_siblings(attempt.query, attempt.shard_index, answer.snapshot);
        if is_canary {
            self.dispatch_from(attempt.query, attempt.shard_index + 1);
            if let Some(query) = self.queries.get_mut(attempt.query.0) {
                query.is_dispatching = false;
            }
        }
        self.settle(attempt.query);
    }

    /// Cancels the other live attempts of a shard that has its reply.
    fn cancel_siblings(&mut self, id: id::Query, shard_index: u32, snapshot: view::Snapshot) {
        let Some(query) = self.queries.get_mut(id.0) else {
            return;
        };
        if query.want.is_some_and(|want| want != snapshot) {
            return;
        }
        let live = std::mem::take(&mut query.shards[shard_index as usize].live);
        for attempt in live.into_iter().flatten() {
            self.cancel(attempt);
        }
    }

    /// Cancels an attempt that is no longer needed and closes its connection, so that the server drops the
    /// request. A new connection costs 1 to 6 ms of a slot, the request itself 10 to 30 ms. Letting cancelled
    /// attempts run for up to 300 ms saved connections but cost slots: with searches of 28 ms, answers within
    /// the target latency, weighted by the square of their coverage, fell from 0.877 to 0.848 of all requests (15
    /// runs of 34 s with faults, same seeds); with searches of 11 or 15 ms there was no difference.
    pub(super) fn cancel(&mut self, id: id::Attempt) {
        let Some(attempt) = self.attempts.remove(id.0) else {
            return;
        };
        self.observe(attempt.server, evidence::Attempt::Cancelled { sent: attempt.sent, ratio: self.ratio(&attempt) });
        let took = self.now.since(attempt.sent);
        let median = self.classes[attempt.class].median_attempt_time(attempt.is_relay);
        self.servers[attempt.server.index()].on_cancel(self.now, took, median);
        self.outputs.push(event::Output::Cancel { attempt: id });
        self.timers.push(self.now + self.policy.close_lag, Timer::ConnectionClosed(attempt.server));
    }

    fn log_failed(&mut self, attempt: query::Attempt, end: event::Reply) {
        let caller = self.queries.get(attempt.query.0).map(|query| query.caller);
        let server = self.server_name(attempt.server);
        let took = self.now.since(attempt.sent);
        self.log(note::Note::Failed { caller, server, end, took });
    }

    /// Handles a request that the server ran and failed: retries it at another replica unless it may run only once.
    fn on_failed(&mut self, id: id::Attempt, attempt: query::Attempt) {
        self.stats.lost += 1;
        self.log_failed(attempt, event::Reply::Failed);
        if let Some(query) = self.queries.get_mut(attempt.query.0) {
            query.may_have_run = true;
            query.failure = Some(id);
        }
        // A relay that failed to gather does not count as a failure of that host, and is not retried.
        if attempt.is_relay {
            self.release(attempt.server);
            self.finish_unanswered(attempt.query, event::Code::ServerFailed, None);
            return;
        }
        self.observe(attempt.server, evidence::Attempt::Failed);
        self.record_failure(attempt.server);
        self.release(attempt.server);
        self.retry(attempt.query, attempt.shard_index, false, false);
    }

    /// Handles a reply from another server that now has the intended server's address.
    fn on_misdirected(&mut self, attempt: query::Attempt) {
        self.stats.refused += 1;
        self.log_failed(attempt, event::Reply::Misdirected);
        self.on_server_gone(attempt.server);
        // A reply to a request sent before the address changed does not apply to the current address.
        let server_state = &mut self.servers[attempt.server.index()];
        server_state.is_replaced |= attempt.sent > server_state.address_since;
        self.release(attempt.server);
        self.requeue(attempt.server);
        self.retry(attempt.query, attempt.shard_index, true, false);
    }

    fn on_refused(&mut self, attempt: query::Attempt, retry_after: Option<clock::Millis>) {
        self.stats.refused += 1;
        self.log_failed(attempt, event::Reply::Refused { retry_after });
        self.observe(attempt.server, evidence::Attempt::Refused);
        self.servers[attempt.server.index()].on_shed(self.now, retry_after);
        self.release(attempt.server);
        self.retry(attempt.query, attempt.shard_index, true, false);
    }

    /// This attempt did not run, but another one with its key did or does, so the outcome must not be `NotRun`.
    fn on_duplicate(&mut self, attempt: query::Attempt) {
        if let Some(query) = self.queries.get_mut(attempt.query.0) {
            query.may_have_run = true;
        }
        self.release(attempt.server);
        self.finish_unanswered(attempt.query, event::Code::DuplicateKey, None);
    }

    fn on_not_sent(&mut self, attempt: query::Attempt) {
        self.stats.not_sent += 1;
        self.log_failed(attempt, event::Reply::NotSent);
        self.on_server_gone(attempt.server);
        self.refund(attempt);
        self.observe(attempt.server, evidence::Attempt::Failed);
        self.record_failure(attempt.server);
        self.release(attempt.server);
        self.retry(attempt.query, attempt.shard_index, true, true);
    }

    /// Returns the tokens of an attempt that never reached a server and so caused no load.
    fn refund(&mut self, attempt: query::Attempt) {
        let class = attempt.class;
        let Some(query) = self.queries.get(attempt.query.0) else {
            return;
        };
        let service = query.target(attempt.shard_index).service;
        if attempt.kind == query::Kind::Hedge {
            self.classes[class].hedges.refund();
        }
        if attempt.is_paid {
            self.fleet.refund(self.now, service);
        }
        self.on_budget_change();
        if let Some(query) = self.queries.get_mut(attempt.query.0) {
            query.shards[attempt.shard_index as usize].record_unsent(attempt.server);
        }
    }

    fn on_lost(&mut self, attempt: query::Attempt, loss: event::Loss) {
        self.stats.lost += 1;
        self.log_failed(attempt, event::Reply::Lost(loss));
        if loss == event::Loss::Broken {
            self.record_loss(&attempt);
        }
        if let Some(query) = self.queries.get_mut(attempt.query.0) {
            query.may_have_run = true;
        }
        self.observe(attempt.server, evidence::Attempt::Failed);
        self.record_failure(attempt.server);
        self.release(attempt.server);
        self.retry(attempt.query, attempt.shard_index, false, false);
    }

    /// Ends an attempt whose server restarted. It does not count as a failure of the new incarnation.
    pub(super) fn on_restarted(&mut self, id: id::Attempt) {
        let Some(attempt) = self.attempts.remove(id.0) else {
            return;
        };
        self.stats.lost += 1;
        self.log_failed(attempt, event::Reply::Lost(event::Loss::Restarted));
        if let Some(query) = self.queries.get_mut(attempt.query.0) {
            query.shards[attempt.shard_index as usize].remove_live(id);
            query.may_have_run = true;
        }
        self.release(attempt.server);
        self.retry(attempt.query, attempt.shard_index, false, false);
    }

    fn record_failure(&mut self, server: id::Server) {
        let should_eject = self.servers[server.index()].on_failure(self.now, &self.policy);
        let is_ejected = self.servers[server.index()].is_ejected(self.now);
        if !should_eject || is_ejected {
            return;
        }
        self.ejected = self.servers.iter().filter(|state| state.is_ejected(self.now)).count();
        let total = self.view.servers.iter().flatten().count();
        if !server::may_eject(self.ejected, total, self.policy.ejection_ceiling) {
            return;
        }
        self.servers[server.index()].eject(self.now, self.policy.ejection_base);
        self.ejected += 1;
        self.stats.ejections += 1;
        let pause = self.servers[server.index()].ejected_until - self.now;
        self.log(note::Note::Ejected { server: self.server_name(server), pause });
        self.requeue(server);
    }

    /// Handles a reply of another partition epoch. Shards of two epochs are never combined: an idempotent query
    /// restarts if the new epoch is already in force here. Otherwise the shard is retried, or the query fails if
    /// it may run only once.
    fn on_epoch_mismatch(&mut self, id: id::Query, shard_index: u32) {
        let Some(query) = self.queries.get(id.0) else {
            return;
        };
        let selector = query.selector();
        let reply_epoch = query.seen_epoch.unwrap_or_default();
        let is_in_force = self
            .view
            .classes
            .get(&selector.name)
            .is_some_and(|class| class.epoch == reply_epoch && reply_epoch > selector.epoch);
        if is_in_force && selector.idempotent && query.restarts < MAX_RESTARTS {
            self.restart(id);
            return;
        }
        if !selector.idempotent {
            self.finish_unanswered(id, event::Code::Repartitioned, Some(RETRY_AFTER));
            return;
        }
        self.retry(id, shard_index, false, false);
    }

    fn restart(&mut self, id: id::Query) {
        let Some(query) = self.queries.get_mut(id.0) else {
            return;
        };
        query.restarts += 1;
        query.may_have_run = true;
        let shards = std::mem::take(&mut query.shards);
        self.stats.restarts += 1;
        for attempt in shards.iter().flat_map(|shard| shard.live).flatten() {
            self.cancel(attempt);
        }
        for shard_index in 0..shards.len() as u32 {
            if !self.spend(id, shard_index, query::Kind::Retry) {
                self.finish_unanswered(id, event::Code::Repartitioned, Some(RETRY_AFTER));
                return;
            }
        }
        self.send_first_attempts(id);
    }

    /// Marks a shard as failed. The query ends at once if the rest cannot meet the least coverage.
    pub(super) fn fail_shard(&mut self, id: id::Query, shard_index: u32) {
        let Some(query) = self.queries.get_mut(id.0) else {
            return;
        };
        if query.is_forwarded && query.shards[shard_index as usize].live_count() == 0 && self.gather_locally(id) {
            return;
        }
        let Some(query) = self.queries.get_mut(id.0) else {
            return;
        };
        let shard = &mut query.shards[shard_index as usize];
        shard.is_waiting = false;
        if shard.is_failed || shard.has_reply() {
            self.settle(id);
            return;
        }
        shard.is_failed = true;
        self.plan_if_unplanned(id);
        let Some(query) = self.queries.get_mut(id.0) else {
            return;
        };
        query.failed_shards += 1;
        let total = query.shards.len();
        let reachable = total - query.failed_shards;
        let has_more_shards = query.is_canary && (shard_index as usize) + 1 < total;
        if !query.selector().least_coverage.is_met(reachable, total) {
            let code = self.shortfall_code(id);
            self.finish_unanswered(id, code, Some(RETRY_AFTER));
            return;
        }
        if has_more_shards {
            self.dispatch(id, shard_index + 1, query::Kind::First);
            return;
        }
        self.settle(id);
    }

    pub(super) fn shortfall_code(&self, id: id::Query) -> event::Code {
        let saw_epoch = self.queries.get(id.0).is_some_and(|query| query.seen_epoch.is_some());
        if saw_epoch { event::Code::Repartitioned } else { event::Code::InsufficientCoverage }
    }

    /// Answers the query if it can be answered now, and queries shards again whose snapshots differ.
    pub(super) fn settle(&mut self, id: id::Query) {
        let Some(query) = self.queries.get(id.0) else {
            return;
        };
        if query.run.is_none() || query.is_dispatching {
            return;
        }
        let selector = query.selector();
        let total = query.shards.len();
        let best = query.largest_group();
        let shards = best.map_or(0, |group| group.shard_count);
        let is_enough = shards > 0 && selector.least_coverage.is_met(shards, total);
        let has_hits = best.zip(selector.enough_hits).is_some_and(|(group, enough)| group.hits >= enough);
        let is_settle_due = query.settle_at.is_some_and(|settle_at| self.now >= settle_at);
        if total > 0 && shards == total {
            self.finish_answered(id);
            return;
        }
        if is_enough && (has_hits || is_settle_due) {
            self.finish_answered(id);
            return;
        }
        if query.groups.len() > 1 && self.policy.reask {
            self.requery(id);
        }
        let Some(query) = self.queries.get_mut(id.0) else {
            return;
        };
        if query.is_pending() {
            let is_nothing_in_flight = shards + query.failed_shards + query.unplanned >= total;
            if is_nothing_in_flight {
                self.plan_if_unplanned(id);
            }
            return;
        }
        if is_enough {
            self.finish_answered(id);
            return;
        }
        let code = self.shortfall_code(id);
        self.finish_unanswered(id, code, Some(RETRY_AFTER));
    }

    /// Resolves replies of several snapshots: selects the snapshot that can cover most shards, and queries
    /// the shards that answered from another one again, at a replica that holds it.
    fn requery(&mut self, id: id::Query) {
        let Some(target) = self.most_reachable_snapshot(id) else {
            return;
        };
        let Some(query) = self.queries.get_mut(id.0) else {
            return;
        };
        if query.want != Some(target) {
            query.want = Some(target);
            self.stats.mixed += 1;
        }
        for shard_index in 0..query.shards.len() as u32 {
            let Some(server) = self.requery_server(id, shard_index, target) else {
                continue;
            };
            if !self.has_capacity(server) {
                continue;
            }
            if !self.spend(id, shard_index, query::Kind::Retry) {
                return;
            }
            self.send(id, shard_index, server, query::Kind::Retry);
        }
    }

    /// A replica that holds `target`, if the shard answered from another snapshot and has no pending
    /// attempt.
    fn requery_server(&self, id: id::Query, shard_index: u32, target: view::Snapshot) -> Option<id::Server> {
        let query = self.queries.get(id.0)?;
        let shard = query.shards[shard_index as usize];
        if !shard.has_reply() || shard.reply_of(target).is_some() || shard.is_pending() {
            return None;
        }
        if shard.tries >= self.policy.attempts_per_shard {
            return None;
        }
        self.find_holder(query, shard_index, target)
    }

    fn find_holder(&self, query: &query::Query, shard_index: u32, target: view::Snapshot) -> Option<id::Server> {
        let replicas = &query.target(shard_index).replicas;
        let mut holders = replicas.iter().copied().filter(|&id| {
            self.is_open(id)
                && self.is_in_home_region(&query.selector().name, id)
                && self.servers[id.index()].has_snapshot(target)
                && !self.servers[id.index()].is_ejected(self.now)
        });
        holders.next()
    }

    /// The snapshot that most shards replied from or still can; on a tie, the one with most replies, then the newest.
    fn most_reachable_snapshot(&self, id: id::Query) -> Option<view::Snapshot> {
        let query = self.queries.get(id.0)?;
        let mut best: Option<(usize, usize, view::Snapshot)> = None;
        for group in &query.groups {
            let mut shard_count = group.shard_count;
            for (shard_index, shard) in query.shards.iter().enumerate() {
                if shard.reply_of(group.snapshot).is_some() {
                    continue;
                }
                let is_attainable =
                    shard.is_pending() || self.find_holder(query, shard_index as u32, group.snapshot).is_some();
                shard_count += usize::from(is_attainable);
            }
            let candidate = (shard_count, group.shard_count, group.snapshot);
            if best.is_none_or(|current| candidate > current) {
                best = Some(candidate);
            }
        }
        best.map(|(.., snapshot)| snapshot)
    }

    pub(super) fn on_deadline(&mut self, id: id::Query) {
        let Some(query) = self.queries.get(id.0) else {
            return;
        };
        if query.run.is_none() {
            let retry_after = self.classes[query.class].retry_after();
            self.finish_unanswered(id, event::Code::Expired, Some(retry_after));
            return;
        }
        let shards = query.largest_group().map_or(0, |group| group.shard_count);
        if shards > 0 && query.selector().least_coverage.is_met(shards, query.shards.len()) {
            self.finish_answered(id);
            return;
        }
        let is_single_shard = query.shards.len() == 1;
        let code = if is_single_shard { event::Code::TimedOut } else { self.shortfall_code(id) };
        let retry_after = self.classes[query.class].retry_after();
        self.finish_unanswered(id, code, Some(retry_after.max(RETRY_AFTER)));
    }

    /// Number of distinct views that queries in flight keep alive; used by memory tests.
    pub fn pinned_views(&self) -> usize {
        let mut views: Vec<*const view::View> =
            self.queries.iter().map(|(_, query)| Arc::as_ptr(&query.view)).collect();
        views.sort_unstable();
        views.dedup();
        views.len()
    }
}
