//! Routing: which replica gets an attempt, when it is sent, and when another one is allowed.

use std::sync::Arc;

use rand::Rng;

use crate::{clock, id, invariant, mutant, rendezvous, view};

use super::{event, query, server, timer::Timer};

/// First backoff before a shard whose replicas were all tried is asked again.
const BACKOFF: clock::Millis = clock::Millis(5);
/// Most times that a shard waits for the retry budget.
const BUDGET_WAITS: u8 = 4;
/// How long queries pick a snapshot before they start after replies were mixed.
const ROLLING: clock::Millis = clock::Millis(10_000);

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
        !self.is_holding && self.servers[server.index()].has_room(self.now)
    }

    fn wait_at(&mut self, query: id::Query, part: u32, server: id::Server) {
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        row.parts[part as usize].is_waiting = true;
        let priority = usize::from(row.selector().priority).min(view::Class::PRIORITIES - 1);
        let state = &mut self.servers[server.index()];
        state.waiting[priority].push_back(server::Wait { query, part });
        if state.inflight == 0 {
            self.timers.push(state.shed_until().max(self.now + clock::Millis(1)), Timer::Pump(server));
        }
    }

    /// The replica for a shard: open, not tried yet, in use, preferably with the wanted snapshot;
    /// of two random ones that qualify, the one that should answer sooner.
    fn choose(&mut self, query: id::Query, part: u32) -> Option<id::Server> {
        let row = self.queries.get(query.0)?;
        let view = Arc::clone(&row.view);
        let class = &view.classes[row.selector];
        let state = row.parts[part as usize];
        let want = row.want;
        let replicas = &class.targets[part as usize].replicas;
        if !class.idempotent && row.key.is_some() {
            return self.choose_by_key(query, part);
        }
        let mut best: Option<(u8, u32, id::Server)> = None;
        let mut second: Option<(u8, u32, id::Server)> = None;
        for &id in replicas {
            if !self.is_open(id) {
                continue;
            }
            let rank = self.rank(id, &state, want);
            let candidate = (rank, self.random.random::<u32>(), id);
            if best.is_none_or(|held| candidate < held) {
                second = best.replace(candidate);
                continue;
            }
            if second.is_none_or(|held| candidate < held) {
                second = Some(candidate);
            }
        }
        let (rank, _, first) = best?;
        let Some((second_rank, _, second)) = second else {
            return Some(first);
        };
        if second_rank != rank || !self.policy.two_choices {
            return Some(first);
        }
        let weight = self.policy.reported_load_weight;
        let scores = [first, second].map(|id| self.servers[id.index()].score(self.now, weight));
        Some(if scores[1] < scores[0] { second } else { first })
    }

    /// Smaller is better. Classes of replicas are kept apart so that load decides only among equals.
    fn rank(&self, id: id::Server, part: &query::Part, want: Option<view::Snapshot>) -> u8 {
        let state = &self.servers[id.index()];
        let was_tried = part.was_tried(id);
        let is_out = state.is_ejected(self.now) && self.policy.ejection;
        let lacks = want.is_some_and(|want| state.holds[0].is_some() && !state.holds(want));
        let is_full = state.share == 0;
        u8::from(was_tried) * 8 + u8::from(is_full) * 4 + u8::from(is_out) * 2 + u8::from(lacks)
    }

    /// The replica that owns the request key on every host that has the same view, so that the
    /// server can refuse a duplicate that came through another host.
    fn choose_by_key(&self, query: id::Query, part: u32) -> Option<id::Server> {
        let row = self.queries.get(query.0)?;
        let key = row.key.as_ref()?;
        let target = &row.selector().targets[part as usize];
        let mut best: Option<(u64, id::Server)> = None;
        for &id in &target.replicas {
            let Some(published) = self.view.server(id) else {
                continue;
            };
            if !self.is_open(id) {
                continue;
            }
            let candidate = (rendezvous::weight(key, &published.name), id);
            if best.is_none_or(|held| candidate > held) {
                best = Some(candidate);
            }
        }
        best.map(|(_, id)| id)
    }

    /// Whether new work may go to `id` by the view in force, which may be newer than the query's.
    fn is_open(&self, id: id::Server) -> bool {
        if mutant::is(mutant::Mutant::ChooseLeaving) {
            return self.view.server(id).is_some();
        }
        self.view.is_open(id)
    }

    pub(super) fn send(&mut self, query: id::Query, part: u32, server: id::Server, kind: query::Kind) {
        let now = self.now;
        let Some(published) = self.view.server(server) else {
            self.fail_part(query, part);
            return;
        };
        let address = published.address.clone();
        let is_leaving = published.leaving;
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        let class = row.class;
        let view = Arc::clone(&row.view);
        let selector = &view.classes[row.selector];
        let attempt = id::Attempt(self.attempts.insert(query::Attempt { query, part, server, sent: now, kind }));
        let state = &mut row.parts[part as usize];
        state.is_waiting = false;
        state.note_tried(server);
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
            address,
            shard: selector.targets[part as usize].shard.clone(),
            key: row.key.clone(),
            deadline: row.deadline,
            epoch: selector.epoch,
            want: row.want,
        };
        let repeats = !selector.idempotent && row.may_have_run;
        if repeats {
            let detail = format!("{query} {attempt} after an attempt that may have run");
            self.breach(invariant::Name::AtMostOnce, detail);
        }
        if is_leaving {
            self.breach(invariant::Name::NoWorkToLeaving, format!("{query} {attempt} to {server}"));
        }
        self.count_attempt(class, server, kind);
        self.outputs.push(event::Output::Dispatch(dispatch));
    }

    fn count_attempt(&mut self, class: usize, server: id::Server, kind: query::Kind) {
        match kind {
            query::Kind::First => self.stats.first += 1,
            query::Kind::Hedge => self.stats.hedges += 1,
            query::Kind::Retry => self.stats.retries += 1,
        }
        let state = &mut self.servers[server.index()];
        state.inflight += 1;
        if state.inflight > state.share {
            let detail = format!("{server}: {} in flight, share {}", state.inflight, state.share);
            self.breach(invariant::Name::BoundedConnections, detail);
        }
        let row = &self.classes[class];
        if row.hedges.holds() && row.retries.holds() {
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
        if !self.is_open(server) {
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
            self.send(wait.query, wait.part, server, kind);
        }
        let state = &self.servers[server.index()];
        if state.inflight == 0 && state.waiting_len() > 0 {
            let at = state.shed_until().max(self.now + clock::Millis(1));
            self.timers.push(at, Timer::Pump(server));
        }
    }

    fn still_waits(&self, wait: server::Wait) -> bool {
        let Some(row) = self.queries.get(wait.query.0) else {
            return false;
        };
        row.parts.get(wait.part as usize).is_some_and(|part| part.is_waiting)
    }

    fn kind_of_next(&self, wait: server::Wait) -> query::Kind {
        let tries = self.queries.get(wait.query.0).map_or(0, |row| row.parts[wait.part as usize].tries);
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
            self.place(wait.query, wait.part, kind);
        }
    }

    /// An attempt failed. `was_not_run` says that this is proved, not assumed.
    pub(super) fn retry(&mut self, query: id::Query, part: u32, was_not_run: bool, is_free: bool) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let selector = row.selector();
        let state = row.parts[part as usize];
        if state.is_pending() || state.has_reply() {
            self.settle(query);
            return;
        }
        let is_allowed = selector.idempotent || was_not_run || mutant::is(mutant::Mutant::RetryUnknown);
        if !is_allowed {
            self.finish_unanswered(query, event::Code::AttemptLost, None);
            return;
        }
        let class = row.class;
        let replicas = &selector.targets[part as usize].replicas;
        let has_fresh = replicas.iter().any(|&id| !state.was_tried(id) && self.view.is_open(id));
        let is_spent = state.tries >= self.policy.attempts_per_shard;
        if is_spent {
            self.fail_part(query, part);
            return;
        }
        if !is_free && !self.spend_retry(class) {
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
            row.parts[part as usize].is_waiting = true;
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
        let state = &mut row.parts[part as usize];
        if !was_not_run || state.waits >= BUDGET_WAITS {
            self.fail_part(query, part);
            return;
        }
        state.waits += 1;
        state.needs_budget = true;
        let doublings = state.waits;
        self.back_off(query, part, doublings);
    }

    pub(super) fn spend_retry(&mut self, class: usize) -> bool {
        if mutant::is(mutant::Mutant::UnboundedExtra) {
            self.classes[class].retries.force();
            return true;
        }
        self.classes[class].retries.spend()
    }

    pub(super) fn on_backoff_end(&mut self, query: id::Query, part: u32) {
        if !self.still_waits(server::Wait { query, part }) {
            return;
        }
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        let class = row.class;
        let state = &mut row.parts[part as usize];
        state.is_waiting = false;
        let needs_budget = std::mem::take(&mut state.needs_budget);
        if needs_budget && !self.spend_retry(class) {
            self.wait_for_budget(query, part, true);
            return;
        }
        self.place(query, part, query::Kind::Retry);
    }

    /// Sets the timer after which silent attempts of `query` may be hedged.
    pub(super) fn arm_hedge(&mut self, query: id::Query, since: clock::Millis) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let selector = row.selector();
        if !selector.hedge || !selector.idempotent || self.policy.hedge_fraction <= 0.0 {
            return;
        }
        let delay = self.hedge_delay(row.class);
        self.timers.push(since + delay, Timer::Hedge(query));
    }

    fn hedge_delay(&self, class: usize) -> clock::Millis {
        let usual = self.classes[class].attempts.quantile(self.policy.hedge_quantile);
        usual.unwrap_or(clock::Millis(50)).max(self.policy.hedge_floor)
    }

    /// Asks a second replica for shards that are silent for longer than most.
    pub(super) fn hedge(&mut self, query: id::Query) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let class = row.class;
        let delay = self.hedge_delay(class);
        let mut next: Option<clock::Millis> = None;
        for part in 0..row.parts.len() as u32 {
            let Some(sent) = self.silent_since(query, part) else {
                continue;
            };
            if self.now.since(sent) < delay {
                next = Some(next.map_or(sent, |held| held.min(sent)));
                continue;
            }
            if !self.hedge_part(query, part, class) {
                next = Some(self.now);
            }
        }
        if let Some(since) = next {
            self.arm_hedge(query, since);
        }
    }

    /// When the only live attempt of a shard without a reply was sent.
    fn silent_since(&self, query: id::Query, part: u32) -> Option<clock::Millis> {
        let state = &self.queries.get(query.0)?.parts[part as usize];
        if state.has_reply() || state.live_count() != 1 {
            return None;
        }
        let attempt = state.live.iter().flatten().next()?;
        self.attempts.get(attempt.0).map(|attempt| attempt.sent)
    }

    /// Sends one hedge, if another replica has room right now and the budget allows; never into a
    /// queue, where it would only add load to servers that are already behind.
    fn hedge_part(&mut self, query: id::Query, part: u32, class: usize) -> bool {
        let Some(server) = self.choose(query, part) else {
            return true;
        };
        let Some(row) = self.queries.get(query.0) else {
            return true;
        };
        if row.parts[part as usize].was_tried(server) {
            return true;
        }
        if !self.has_room(server) || self.servers[server.index()].waiting_len() > 0 {
            return false;
        }
        if !self.classes[class].hedges.spend() {
            return false;
        }
        self.send(query, part, server, query::Kind::Hedge);
        true
    }

    /// While versions roll, starts a query with the snapshot that most shards can give.
    pub(super) fn pick_snapshot(&mut self, query: id::Query) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        if self.classes[row.class].rolling_until < self.now {
            return;
        }
        let epoch = row.selector().epoch;
        let mut reach: Vec<(view::Snapshot, usize)> = Vec::new();
        for target in &row.selector().targets {
            let mut seen: Vec<view::Snapshot> = Vec::new();
            for &id in &target.replicas {
                if !self.is_open(id) {
                    continue;
                }
                let held = self.servers[id.index()].holds;
                seen.extend(held.iter().flatten().filter(|snapshot| snapshot.epoch == epoch));
            }
            seen.sort_unstable();
            seen.dedup();
            for snapshot in seen {
                match reach.iter_mut().find(|(other, _)| *other == snapshot) {
                    Some((_, shards)) => *shards += 1,
                    None => reach.push((snapshot, 1)),
                }
            }
        }
        let want = reach.into_iter().max_by_key(|&(snapshot, shards)| (shards, snapshot));
        if let Some(row) = self.queries.get_mut(query.0) {
            row.want = want.map(|(snapshot, _)| snapshot);
        }
    }

    /// Replies are mixed: queries to come pick their snapshot before they start.
    pub(super) fn note_rolling(&mut self, class: usize) {
        self.classes[class].rolling_until = self.now + ROLLING;
    }
}
