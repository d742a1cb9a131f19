//! Gathering: replies become one answer of one snapshot with its true coverage.

use std::sync::Arc;

use crate::{clock, id, view};

use super::{event, note, query, server, timer::Timer};

/// Most times that a query begins anew because the shards were cut anew.
const RESTARTS: u8 = 2;
/// When to come back after an answer that lacked shards.
pub(super) const COME_BACK: clock::Millis = clock::Millis(250);

impl super::Core {
    pub(super) fn on_reply(&mut self, attempt: id::Attempt, reply: event::Reply) {
        // A reply of an attempt that was given up, or of another life of the row, misses here.
        let Some(row) = self.attempts.remove(attempt.0) else {
            self.stats.late += 1;
            return;
        };
        if let Some(query) = self.queries.get_mut(row.query.0) {
            query.shards[row.shard_index as usize].remove_live(attempt);
        }
        let is_broken = reply == event::Reply::Lost(event::Loss::Broken);
        let is_other = matches!(reply, event::Reply::NotSent | event::Reply::Misdirected);
        if !is_other && !is_broken {
            self.servers[row.server.index()].losses.clear();
        }
        if reply != event::Reply::NotSent {
            self.servers[row.server.index()].on_activity(self.now);
        }
        match reply {
            event::Reply::Answered(part) => self.on_part(attempt, row, part),
            event::Reply::Failed => self.on_failed(attempt, row),
            event::Reply::Refused { retry_after } => self.on_refused(row, retry_after),
            event::Reply::Misdirected => self.on_misdirected(row),
            event::Reply::Duplicate => self.on_duplicate(row),
            event::Reply::NotSent => self.on_not_sent(row),
            event::Reply::Lost(loss) => self.on_lost(row, loss),
        }
    }

    fn on_part(&mut self, attempt: id::Attempt, row: query::Attempt, part: event::Part) {
        let took = self.now.since(row.sent);
        let was_out = self.servers[row.server.index()].is_ejected(self.now);
        if self.servers[row.server.index()].was_ejected() {
            self.note(note::Note::Restored { server: self.server_name(row.server) });
        }
        let usual = self.classes[row.class].median_attempt_time(row.is_relay);
        let state = &mut self.servers[row.server.index()];
        state.on_answer(self.now, took, usual, &part);
        state.snapshots = [Some(part.snapshot), part.held];
        self.ejected = self.ejected.saturating_sub(usize::from(was_out));
        self.release(row.server);
        let class = row.class;
        if row.is_relay {
            self.classes[class].relay_times.record(took);
        } else {
            self.classes[class].attempt_times.record(took);
        }
        let via = row.is_relay.then(|| self.server_name(row.server));
        self.record_answered(row.query);
        let Some(query) = self.queries.get_mut(row.query.0) else {
            return;
        };
        query.may_have_run = true;
        let is_canary = std::mem::take(&mut query.is_canary);
        query.last_answer = Some((row.shard_index, row.server, row.sent));
        query.via = via;
        let epoch = query.selector().epoch;
        if part.snapshot.epoch != epoch {
            query.seen_epoch = Some(part.snapshot.epoch);
            self.on_other_epoch(row.query, row.shard_index);
            return;
        }
        let got = query::Reply { snapshot: part.snapshot, attempt, hits: part.hits };
        query.add_reply(row.shard_index as usize, got);
        let is_mixed = query.groups.len() > 1;
        if is_mixed {
            self.record_rollout(class);
        }
        self.cancel_siblings(row.query, row.shard_index, part.snapshot);
        if is_canary {
            self.place_from(row.query, row.shard_index + 1);
            if let Some(query) = self.queries.get_mut(row.query.0) {
                query.is_placing = false;
            }
        }
        self.settle(row.query);
    }

    /// Gives up the other live attempts of a shard that has its reply.
    fn cancel_siblings(&mut self, query: id::Query, part: u32, snapshot: view::Snapshot) {
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        if row.want.is_some_and(|want| want != snapshot) {
            return;
        }
        let live = std::mem::take(&mut row.shards[part as usize].live);
        for attempt in live.into_iter().flatten() {
            self.cancel(attempt);
        }
    }

    /// Nobody needs the attempt any more: ends it at once, with its connection, so that the server drops
    /// it. A new connection takes 1 to 6 ms of a slot, what was asked for takes 10 to 30 ms. Letting
    /// attempts run on for up to 300 ms saved connections and lost slots: where searches take 28 ms, answers
    /// within the aim times the square of their coverage came to 0.848 of all requests in place of 0.877
    /// (15 runs of 34 s with faults, the same seeds), and to the same where they take 11 or 15 ms.
    pub(super) fn cancel(&mut self, attempt: id::Attempt) {
        let Some(row) = self.attempts.remove(attempt.0) else {
            return;
        };
        let took = self.now.since(row.sent);
        let usual = self.classes[row.class].median_attempt_time(row.is_relay);
        self.servers[row.server.index()].on_cancel(self.now, took, usual);
        self.outputs.push(event::Output::Cancel { attempt });
        self.timers.push(self.now + self.policy.close_lag, Timer::ConnectionClosed(row.server));
    }

    fn note_failed(&mut self, row: query::Attempt, end: event::Reply) {
        let caller = self.queries.get(row.query.0).map(|query| query.caller);
        let server = self.server_name(row.server);
        let took = self.now.since(row.sent);
        self.note(note::Note::Failed { caller, server, end, took });
    }

    /// The server ran the request and failed. Another one may do better; what may run once has run.
    fn on_failed(&mut self, attempt: id::Attempt, row: query::Attempt) {
        self.stats.lost += 1;
        self.note_failed(row, event::Reply::Failed);
        if let Some(query) = self.queries.get_mut(row.query.0) {
            query.may_have_run = true;
            query.failure = Some(attempt);
        }
        // Another host did what could be done; its failure to gather says nothing of the host itself.
        if row.is_relay {
            self.release(row.server);
            self.finish_unanswered(row.query, event::Code::ServerFailed, None);
            return;
        }
        self.note_failure(row.server);
        self.release(row.server);
        self.retry(row.query, row.shard_index, false, false);
    }

    /// The server that was meant is gone, and another one has its address.
    fn on_misdirected(&mut self, row: query::Attempt) {
        self.stats.refused += 1;
        self.note_failed(row, event::Reply::Misdirected);
        self.on_server_gone(row.server);
        // The reply to a request sent before the address changed says nothing about the current address.
        let state = &mut self.servers[row.server.index()];
        state.is_replaced |= row.sent > state.address_since;
        self.release(row.server);
        self.requeue(row.server);
        self.retry(row.query, row.shard_index, true, false);
    }

    fn on_refused(&mut self, row: query::Attempt, retry_after: Option<clock::Millis>) {
        self.stats.refused += 1;
        self.note_failed(row, event::Reply::Refused { retry_after });
        self.servers[row.server.index()].on_shed(self.now, retry_after);
        self.release(row.server);
        self.retry(row.query, row.shard_index, true, false);
    }

    /// This attempt did not run, but one with its key did, so the request is not "not run".
    fn on_duplicate(&mut self, row: query::Attempt) {
        if let Some(query) = self.queries.get_mut(row.query.0) {
            query.may_have_run = true;
        }
        self.release(row.server);
        self.finish_unanswered(row.query, event::Code::DuplicateKey, None);
    }

    fn on_not_sent(&mut self, row: query::Attempt) {
        self.stats.not_sent += 1;
        self.note_failed(row, event::Reply::NotSent);
        self.on_server_gone(row.server);
        self.refund(row);
        self.note_failure(row.server);
        self.release(row.server);
        self.retry(row.query, row.shard_index, true, true);
    }

    /// The attempt never reached a server, so it was no load.
    fn refund(&mut self, row: query::Attempt) {
        let class = row.class;
        let Some(query) = self.queries.get(row.query.0) else {
            return;
        };
        let service = query.target(row.shard_index).service;
        if row.kind == query::Kind::Hedge {
            self.classes[class].hedges.refund();
        }
        if row.is_paid {
            self.fleet.refund(self.now, service);
        }
        if let Some(query) = self.queries.get_mut(row.query.0) {
            query.shards[row.shard_index as usize].record_unsent(row.server);
        }
    }

    fn on_lost(&mut self, row: query::Attempt, loss: event::Loss) {
        self.stats.lost += 1;
        self.note_failed(row, event::Reply::Lost(loss));
        if loss == event::Loss::Broken {
            self.record_loss(&row);
        }
        if let Some(query) = self.queries.get_mut(row.query.0) {
            query.may_have_run = true;
        }
        self.note_failure(row.server);
        self.release(row.server);
        self.retry(row.query, row.shard_index, false, false);
    }

    /// The server of an attempt started anew, which says nothing bad of its new life.
    pub(super) fn on_restarted(&mut self, attempt: id::Attempt) {
        let Some(row) = self.attempts.remove(attempt.0) else {
            return;
        };
        self.stats.lost += 1;
        self.note_failed(row, event::Reply::Lost(event::Loss::Restarted));
        if let Some(query) = self.queries.get_mut(row.query.0) {
            query.shards[row.shard_index as usize].remove_live(attempt);
            query.may_have_run = true;
        }
        self.release(row.server);
        self.retry(row.query, row.shard_index, false, false);
    }

    fn note_failure(&mut self, server: id::Server) {
        let must_go = self.servers[server.index()].on_failure(self.now, &self.policy);
        let is_out = self.servers[server.index()].is_ejected(self.now);
        if !must_go || is_out {
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
        self.note(note::Note::Ejected { server: self.server_name(server), pause });
        self.requeue(server);
    }

    /// The server cut its data anew. Shards of two epochs are never put together: the query begins
    /// again if the new cut is already in force here, and fails otherwise.
    fn on_other_epoch(&mut self, query: id::Query, part: u32) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let selector = row.selector();
        let seen = row.seen_epoch.unwrap_or_default();
        let is_in_force =
            self.view.classes.get(&selector.name).is_some_and(|class| class.epoch == seen && seen > selector.epoch);
        if is_in_force && selector.idempotent && row.restarts < RESTARTS {
            self.restart(query);
            return;
        }
        if !selector.idempotent {
            self.finish_unanswered(query, event::Code::Repartitioned, Some(COME_BACK));
            return;
        }
        self.retry(query, part, false, false);
    }

    fn restart(&mut self, query: id::Query) {
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        row.restarts += 1;
        row.may_have_run = true;
        let parts = std::mem::take(&mut row.shards);
        self.stats.restarts += 1;
        for attempt in parts.iter().flat_map(|part| part.live).flatten() {
            self.cancel(attempt);
        }
        for part in 0..parts.len() as u32 {
            if !self.spend(query, part, query::Kind::Retry) {
                self.finish_unanswered(query, event::Code::Repartitioned, Some(COME_BACK));
                return;
            }
        }
        self.begin(query);
    }

    /// A shard is given up. The query ends at once when the rest cannot meet the least coverage.
    pub(super) fn fail_part(&mut self, query: id::Query, part: u32) {
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        if row.is_forwarded && row.shards[part as usize].live_count() == 0 && self.gather_locally(query) {
            return;
        }
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        let state = &mut row.shards[part as usize];
        state.is_waiting = false;
        if state.is_failed || state.has_reply() {
            self.settle(query);
            return;
        }
        state.is_failed = true;
        row.failed_shards += 1;
        let total = row.shards.len();
        let reachable = total - row.failed_shards;
        let goes_on = row.is_canary && (part as usize) + 1 < total;
        if !row.selector().least_coverage.is_met(reachable, total) {
            let code = self.shortfall(query);
            self.finish_unanswered(query, code, Some(COME_BACK));
            return;
        }
        if goes_on {
            self.place(query, part + 1, query::Kind::First);
            return;
        }
        self.settle(query);
    }

    fn shortfall(&self, query: id::Query) -> event::Code {
        let saw_epoch = self.queries.get(query.0).is_some_and(|row| row.seen_epoch.is_some());
        if saw_epoch { event::Code::Repartitioned } else { event::Code::InsufficientCoverage }
    }

    /// Looks whether the query can be answered now, and asks again where snapshots differ.
    pub(super) fn settle(&mut self, query: id::Query) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        if row.started.is_none() || row.is_placing {
            return;
        }
        let selector = row.selector();
        let total = row.shards.len();
        let best = row.largest_group();
        let shards = best.map_or(0, |group| group.shard_count);
        let is_enough = shards > 0 && selector.least_coverage.is_met(shards, total);
        let has_hits = best.zip(selector.enough_hits).is_some_and(|(group, enough)| group.hits >= enough);
        let is_time = row.settle_at.is_some_and(|settle_at| self.now >= settle_at);
        if total > 0 && shards == total {
            self.finish_answered(query);
            return;
        }
        if is_enough && (has_hits || is_time) {
            self.finish_answered(query);
            return;
        }
        if row.groups.len() > 1 && self.policy.reask {
            self.reask(query);
        }
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        if row.is_pending() {
            return;
        }
        if is_enough {
            self.finish_answered(query);
            return;
        }
        let code = self.shortfall(query);
        self.finish_unanswered(query, code, Some(COME_BACK));
    }

    /// Replies are of several snapshots: takes the snapshot that can reach most shards, and asks
    /// just the shards that answered from another one again, at a replica that holds it.
    fn reask(&mut self, query: id::Query) {
        let Some(target) = self.best_reachable(query) else {
            return;
        };
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        if row.want != Some(target) {
            row.want = Some(target);
            self.stats.mixed += 1;
        }
        for part in 0..row.shards.len() as u32 {
            let Some(server) = self.reask_server(query, part, target) else {
                continue;
            };
            if !self.has_room(server) {
                continue;
            }
            if !self.spend(query, part, query::Kind::Retry) {
                return;
            }
            self.send(query, part, server, query::Kind::Retry);
        }
    }

    /// A replica that holds `target`, if the shard answered from another snapshot and is not being
    /// asked.
    fn reask_server(&self, query: id::Query, part: u32, target: view::Snapshot) -> Option<id::Server> {
        let row = self.queries.get(query.0)?;
        let state = row.shards[part as usize];
        if !state.has_reply() || state.reply_of(target).is_some() || state.is_pending() {
            return None;
        }
        if state.tries >= self.policy.attempts_per_shard {
            return None;
        }
        self.holder(row, part, target)
    }

    fn holder(&self, row: &query::Query, part: u32, target: view::Snapshot) -> Option<id::Server> {
        let replicas = &row.target(part).replicas;
        let mut holders = replicas.iter().copied().filter(|&id| {
            self.is_open(id)
                && self.is_in_home_region(&row.selector().name, id)
                && self.servers[id.index()].has_snapshot(target)
                && !self.servers[id.index()].is_ejected(self.now)
        });
        holders.next()
    }

    /// The snapshot that most shards gave or can still give; the newest of equals.
    fn best_reachable(&self, query: id::Query) -> Option<view::Snapshot> {
        let row = self.queries.get(query.0)?;
        let mut best: Option<(usize, usize, view::Snapshot)> = None;
        for group in &row.groups {
            let mut reach = group.shard_count;
            for (part, state) in row.shards.iter().enumerate() {
                if state.reply_of(group.snapshot).is_some() {
                    continue;
                }
                let may_come = state.is_pending() || self.holder(row, part as u32, group.snapshot).is_some();
                reach += usize::from(may_come);
            }
            let candidate = (reach, group.shard_count, group.snapshot);
            if best.is_none_or(|held| candidate > held) {
                best = Some(candidate);
            }
        }
        best.map(|(.., snapshot)| snapshot)
    }

    pub(super) fn on_deadline(&mut self, query: id::Query) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        if row.started.is_none() {
            let retry_after = self.classes[row.class].retry_after();
            self.finish_unanswered(query, event::Code::Expired, Some(retry_after));
            return;
        }
        let shards = row.largest_group().map_or(0, |group| group.shard_count);
        if shards > 0 && row.selector().least_coverage.is_met(shards, row.shards.len()) {
            self.finish_answered(query);
            return;
        }
        let is_one = row.shards.len() == 1;
        let code = if is_one { event::Code::TimedOut } else { self.shortfall(query) };
        let retry_after = self.classes[row.class].retry_after();
        self.finish_unanswered(query, code, Some(retry_after.max(COME_BACK)));
    }

    /// The views that queries in flight still pin, for the tests of memory.
    pub fn pinned_views(&self) -> usize {
        let mut views: Vec<*const view::View> = self.queries.iter().map(|(_, row)| Arc::as_ptr(&row.view)).collect();
        views.sort_unstable();
        views.dedup();
        views.len()
    }
}
