//! Handling of silent attempts: hedges to a second replica, and avoidance of servers that do not reply.

use crate::{clock, id};

use super::{note, query, relay, timer::Timer};

/// Delay before a hedge while the class has no sample yet.
const DEFAULT_DELAY: clock::Millis = clock::Millis(50);

impl super::Core {
    /// Arms the timer after which silent attempts of `query` may be hedged.
    pub(super) fn arm_hedge(&mut self, query: id::Query, since: clock::Millis) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let selector = row.selector();
        if !selector.hedge || !selector.idempotent || self.policy.hedge_fraction <= 0.0 || self.is_suspect(row) {
            return;
        }
        let delay = self.hedge_delay(row.class, row);
        self.timers.push(since + delay, Timer::Hedge(query));
    }

    /// Time after which an attempt may be hedged. With a target latency, at most half of it, so that the other
    /// half is left for the hedge.
    fn hedge_delay(&self, class: usize, query: &query::Query) -> clock::Millis {
        if query.is_forwarded {
            return self.relay_delay(class);
        }
        let target_latency = query.selector().target_latency;
        let quantile = self.classes[class].attempt_times.quantile(self.policy.hedge_quantile);
        let latest = target_latency.map_or(clock::Millis::MAX, |target| clock::Millis(target.0 / 2));
        quantile.unwrap_or(DEFAULT_DELAY).min(latest).max(self.policy.hedge_floor)
    }

    /// Time after which the server of an attempt counts as silent. Longer than the hedge delay, since a few
    /// attempts are slow on a healthy server.
    fn silence_delay(&self, class: usize, query: &query::Query) -> clock::Millis {
        let delay = self.hedge_delay(class, query);
        if query.is_forwarded {
            return delay;
        }
        let quantile = self.classes[class].attempt_times.quantile(self.policy.silence_quantile);
        quantile.unwrap_or(DEFAULT_DELAY).min(delay + delay).max(delay)
    }

    /// Hedges shards that have been silent for longer than most attempts take, and marks servers as silent that
    /// exceed nearly all of them.
    pub(super) fn hedge(&mut self, query: id::Query) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        // The query may have become a suspect since the timer was set.
        let may_hedge = !self.is_suspect(row);
        let delay = self.hedge_delay(row.class, row);
        let silence = self.silence_delay(row.class, row);
        let is_forwarded = row.is_forwarded;
        let mut needed = self.hedges_needed(row);
        let mut next: Option<clock::Millis> = None;
        let mut schedule_check = |at: clock::Millis| next = Some(next.map_or(at, |current| current.min(at)));
        for shard_index in 0..row.shards.len() as u32 {
            let Some(sent) = self.silent_since(query, shard_index) else {
                continue;
            };
            let age = self.now.since(sent);
            if age >= silence {
                self.mark_silent(query, shard_index, sent);
            } else {
                schedule_check(sent + silence);
            }
            if is_forwarded {
                self.wait_for_host(query, sent);
                return;
            }
            if age < delay {
                schedule_check(sent + delay);
            } else if may_hedge && !self.hedge_shard(query, shard_index, &mut needed) {
                schedule_check(self.now + delay);
            }
        }
        if let Some(at) = next {
            self.timers.push(at.max(self.now + clock::Millis(1)), Timer::Hedge(query));
        }
    }

    /// Marks the server of a silent attempt, so that new queries avoid it. A server's pause outlasts most
    /// searches, so other queries need not wait for it too.
    fn mark_silent(&mut self, query: id::Query, shard_index: u32, sent: clock::Millis) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let class = row.class;
        let live = row.shards[shard_index as usize].live.iter().flatten().next();
        let Some(server) = live.and_then(|attempt| self.attempts.get(attempt.0)).map(|attempt| attempt.server) else {
            return;
        };
        let is_peer = self.view.server(server).is_some_and(|server| server.is_peer);
        let pause = if is_peer { relay::SILENCE_PAUSE } else { self.policy.silence };
        let pause = self.servers[server.index()].mark_silent(self.now, pause);
        if let Some(pause) = pause {
            let silent_for = self.now.since(sent);
            self.observe_wait(server, class, sent);
            self.log(note::Note::Silent { server: self.server_name(server), silent_for, pause });
        }
    }

    /// Send time of the oldest live attempt of a shard without a reply.
    fn silent_since(&self, query: id::Query, shard_index: u32) -> Option<clock::Millis> {
        let state = &self.queries.get(query.0)?.shards[shard_index as usize];
        if state.has_reply() {
            return None;
        }
        let attempt = state.live.iter().flatten().next()?;
        self.attempts.get(attempt.0).map(|attempt| attempt.sent)
    }

    /// Sends one hedge if another replica has free capacity and the budget allows it. Never queues the hedge,
    /// which would add load to servers that are already behind. Returns `false` if it should be tried again
    /// later. `needed` is the number of hedges that the least coverage needs.
    fn hedge_shard(&mut self, query: id::Query, shard_index: u32, needed: &mut usize) -> bool {
        let Some(server) = self.choose(query, shard_index) else {
            return true;
        };
        let Some(row) = self.queries.get(query.0) else {
            return true;
        };
        let state = &row.shards[shard_index as usize];
        if state.was_tried(server) || state.live_count() == query::MAX_LIVE {
            return true;
        }
        if !self.has_capacity(server) || self.servers[server.index()].waiting_len() > 0 {
            return false;
        }
        if !self.spend_hedge(query, shard_index, needed) {
            return false;
        }
        self.log_extra(query, shard_index, server, note::Cause::Silence);
        self.send(query, shard_index, server, query::Kind::Hedge);
        true
    }
}
