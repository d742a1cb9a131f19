//! Silence: when a second replica is asked, and which servers are passed over because of it.

use crate::{clock, id};

use super::{note, query, relay, timer::Timer};

/// Delay before a hedge while the class has no sample yet.
const DELAY_PRIOR: clock::Millis = clock::Millis(50);

impl super::Core {
    /// Sets the timer after which silent attempts of `query` may be hedged.
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

    /// After how long an attempt counts as silent. Where there is an aim, no later than leaves half of
    /// it for the hedge.
    fn hedge_delay(&self, class: usize, query: &query::Query) -> clock::Millis {
        if query.is_passed_on {
            return self.relay_delay(class);
        }
        let aim = query.selector().target_latency;
        let usual = self.classes[class].attempts.quantile(self.policy.hedge_quantile);
        let latest = aim.map_or(clock::Millis::MAX, |aim| clock::Millis(aim.0 / 2));
        usual.unwrap_or(DELAY_PRIOR).min(latest).max(self.policy.hedge_floor)
    }

    /// After how long the server of an attempt counts as silent. Later than a hedge: one attempt in some
    /// takes longer than most, and its server is well.
    fn silence_delay(&self, class: usize, query: &query::Query) -> clock::Millis {
        let delay = self.hedge_delay(class, query);
        if query.is_passed_on {
            return delay;
        }
        let usual = self.classes[class].attempts.quantile(self.policy.silence_quantile);
        usual.unwrap_or(DELAY_PRIOR).min(delay + delay).max(delay)
    }

    /// Asks a second replica for shards that are silent for longer than most, and passes servers over
    /// that are silent for longer than nearly all.
    pub(super) fn hedge(&mut self, query: id::Query) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        // It may have become a suspect since the timer was set.
        let may_hedge = !self.is_suspect(row);
        let delay = self.hedge_delay(row.class, row);
        let silence = self.silence_delay(row.class, row);
        let is_passed_on = row.is_passed_on;
        let mut next: Option<clock::Millis> = None;
        let mut look_at = |at: clock::Millis| next = Some(next.map_or(at, |held| held.min(at)));
        for part in 0..row.parts.len() as u32 {
            let Some(sent) = self.silent_since(query, part) else {
                continue;
            };
            let age = self.now.since(sent);
            if age >= silence {
                self.note_silent(query, part, sent);
            } else {
                look_at(sent + silence);
            }
            if is_passed_on {
                self.wait_for_host(query, sent);
                return;
            }
            if age < delay {
                look_at(sent + delay);
            } else if may_hedge && !self.hedge_part(query, part) {
                look_at(self.now + delay);
            }
        }
        if let Some(at) = next {
            self.timers.push(at.max(self.now + clock::Millis(1)), Timer::Hedge(query));
        }
    }

    /// The server of a silent attempt is passed over by the queries to come. A pause of a server is
    /// longer than most searches, so what one query waits for in vain, the next ones need not.
    fn note_silent(&mut self, query: id::Query, part: u32, sent: clock::Millis) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let live = row.parts[part as usize].live.iter().flatten().next();
        let Some(server) = live.and_then(|attempt| self.attempts.get(attempt.0)).map(|attempt| attempt.server) else {
            return;
        };
        let is_peer = self.view.server(server).is_some_and(|server| server.is_peer);
        let pause = if is_peer { relay::SILENCE } else { self.policy.silence };
        let pause = self.servers[server.index()].note_silent(self.now, pause);
        if let Some(pause) = pause {
            let silent_for = self.now.since(sent);
            self.note(note::Note::Silent { server: self.server_name(server), silent_for, pause });
        }
    }

    /// When the oldest live attempt of a shard without a reply was sent.
    fn silent_since(&self, query: id::Query, part: u32) -> Option<clock::Millis> {
        let state = &self.queries.get(query.0)?.parts[part as usize];
        if state.has_reply() {
            return None;
        }
        let attempt = state.live.iter().flatten().next()?;
        self.attempts.get(attempt.0).map(|attempt| attempt.sent)
    }

    /// Sends one hedge, if another replica has room right now and the budget allows; never into a
    /// queue, where it would only add load to servers that are already behind.
    fn hedge_part(&mut self, query: id::Query, part: u32) -> bool {
        let Some(server) = self.choose(query, part) else {
            return true;
        };
        let Some(row) = self.queries.get(query.0) else {
            return true;
        };
        let state = &row.parts[part as usize];
        if state.was_tried(server) || state.live_count() == query::LIVE {
            return true;
        }
        if !self.has_room(server) || self.servers[server.index()].waiting_len() > 0 {
            return false;
        }
        if !self.spend(query, part, query::Kind::Hedge) {
            return false;
        }
        self.note_extra(query, part, server, note::Cause::Silence);
        self.send(query, part, server, query::Kind::Hedge);
        true
    }
}
