//! Applies the plan of repeats of [`repeats`] to the searches of a core.
//!
//! A shard whose attempt failed is not repeated by itself. Its search is planned once, a moment later, when the other
//! failures of the same time are known, and again when tokens may have arrived or other searches have changed the
//! accounts. Answers do not cause a plan, except the last one that a search waits for.

use indexmap::{IndexMap, IndexSet};
use rand::Rng;

use crate::{clock, evidence, id, view};

use super::{dispatch, gather, note, query, repeats, timer::Timer, why};

/// Time from a failed attempt until its search is planned. The rejections of one search arrive within about 2 ms of each
/// other, and tokens given to the first ones are lost if the later ones make the search hopeless.
const FAILURE_DELAY: clock::Millis = clock::Millis(2);
/// Time from a change of an account until the searches that wait for tokens are planned again. Bounds the plans to 200
/// a second however many attempts are repeated, and a search that becomes hopeless ends within 10 ms.
const CHANGE_DELAY: clock::Millis = clock::Millis(5);
/// Lower bound of the span of retry delays of hopeless searches: callers that return at once find the same tokens.
const RETRY_AFTER_MIN: clock::Millis = clock::Millis(20);
/// Upper bound of that span, so that callers notice the end of a fault.
const RETRY_AFTER_MAX: clock::Millis = clock::Millis(2000);
/// Minimum time between two log lines about hopeless searches: dozens a second may end during a fault.
const LOG_INTERVAL: clock::Millis = clock::Millis(1000);
/// Lower bound of the probability that an attempt succeeds: evidence is never certain.
const MIN_PROBABILITY: f64 = 0.02;

/// The searches to plan.
#[derive(Debug, Default)]
pub(super) struct Agenda {
    /// Searches with an event in this step.
    due: IndexSet<id::Query>,
    /// Searches with shards that wait for a token.
    waiting: IndexSet<id::Query>,
    /// When the next timer for the waiting searches fires.
    timer: Option<clock::Millis>,
    /// When a hopeless search was last logged, and the number of those since.
    logged_at: Option<clock::Millis>,
    unlogged: u64,
}

impl super::Core {
    /// Whether extra attempts for a shard are planned.
    pub(super) fn is_planned(&self, id: id::Query, shard_index: u32) -> bool {
        if !self.policy.plan_repeats {
            return false;
        }
        let Some(query) = self.queries.get(id.0) else {
            return false;
        };
        if query.is_forwarded || !query.selector().idempotent || query.is_canary || self.is_suspect(query) {
            return false;
        }
        let replicas = &query.target(shard_index).replicas;
        let open = replicas.iter().filter(|&&id| self.is_open(id)).count();
        open >= usize::from(self.policy.min_replicas)
    }

    /// Lets a shard whose attempt failed wait for the plan: at the end of this step if no shard has an attempt left,
    /// otherwise a moment later.
    pub(super) fn await_plan(&mut self, id: id::Query, shard_index: u32) {
        let Some(query) = self.queries.get_mut(id.0) else {
            return;
        };
        let shard = &mut query.shards[shard_index as usize];
        if !shard.is_unplanned {
            shard.is_unplanned = true;
            shard.is_waiting = true;
            shard.is_denied = false;
            query.unplanned += 1;
        }
        let replied: usize = query.groups.iter().map(|group| group.shard_count).sum();
        if replied + query.failed_shards + query.unplanned >= query.shards.len() {
            self.agenda.due.insert(id);
            return;
        }
        self.agenda.waiting.insert(id);
        self.set_plan_timer(self.now + FAILURE_DELAY);
    }

    /// Plans a search at the end of this step if shards of it wait for a token.
    pub(super) fn plan_if_unplanned(&mut self, id: id::Query) {
        if self.queries.get(id.0).is_some_and(|query| query.unplanned > 0) {
            self.agenda.due.insert(id);
        }
    }

    /// Removes a search that has ended.
    pub(super) fn remove_from_agenda(&mut self, id: id::Query) {
        self.agenda.waiting.swap_remove(&id);
    }

    /// Plans the waiting searches soon, because an account has changed.
    pub(super) fn on_budget_change(&mut self) {
        if !self.agenda.waiting.is_empty() {
            self.set_plan_timer(self.now + CHANGE_DELAY);
        }
    }

    fn set_plan_timer(&mut self, at: clock::Millis) {
        if self.agenda.timer.is_none_or(|timer| at < timer) {
            self.agenda.timer = Some(at);
            self.timers.push(at, Timer::Plan);
        }
    }

    pub(super) fn on_plan_timer(&mut self) {
        if self.agenda.timer.is_none_or(|at| at > self.now) {
            return;
        }
        self.agenda.timer = None;
        self.agenda.due.extend(std::mem::take(&mut self.agenda.waiting));
    }

    /// Plans the searches that have had an event: those in time before late ones, then by urgency.
    pub(super) fn plan_due(&mut self) {
        while !self.agenda.due.is_empty() {
            let due = std::mem::take(&mut self.agenda.due);
            let mut searches = Vec::with_capacity(due.len());
            for id in due {
                if let Some(query) = self.queries.get(id.0) {
                    let is_late = query.settle_at.is_some_and(|at| at <= self.now);
                    searches.push((is_late, query.selector().priority, query.deadline, id));
                }
            }
            searches.sort_unstable();
            for (.., id) in searches {
                self.plan_search(id);
            }
        }
    }

    fn plan_search(&mut self, id: id::Query) {
        let Some(query) = self.queries.get(id.0).filter(|query| query.unplanned > 0) else {
            return;
        };
        let priority = query.selector().priority;
        let total = query.shards.len();
        let mut accounts = Vec::new();
        let mut services = IndexMap::new();
        let mut shards = Vec::with_capacity(total);
        for shard_index in 0..total as u32 {
            shards.push(self.prospect(id, shard_index, priority, &mut services, &mut accounts));
        }
        let Some(query) = self.queries.get(id.0) else {
            return;
        };
        let bucket = &self.classes[query.class].retries;
        let needed = query.selector().least_coverage.smallest_part(total);
        let until_deadline = query.deadline.since(self.now);
        let search = repeats::Search {
            needed,
            until_target: query.settle_at.map_or(until_deadline, |at| at.since(self.now)).min(until_deadline),
            until_deadline,
            class: repeats::Account {
                tokens: bucket.tokens(),
                capacity: bucket.capacity(),
                inflow: bucket.inflow(self.now),
                reserve: 0.0,
                is_scarce: true,
            },
        };
        match repeats::plan(&search, &shards, &accounts) {
            repeats::Decision::Hopeless(shortfall) => self.finish_hopeless(id, shortfall),
            repeats::Decision::Proceed(steps) => self.take_steps(id, steps),
        }
    }

    /// What may become of a shard. Adds the account of its service if it can be repeated.
    fn prospect(
        &mut self,
        id: id::Query,
        shard_index: u32,
        priority: u8,
        services: &mut IndexMap<id::Service, usize>,
        accounts: &mut Vec<repeats::Account>,
    ) -> repeats::Prospect {
        let Some(query) = self.queries.get(id.0) else {
            return repeats::Prospect::Lost;
        };
        let shard = &query.shards[shard_index as usize];
        if shard.has_reply() {
            return repeats::Prospect::Answered;
        }
        if shard.is_failed {
            return repeats::Prospect::Lost;
        }
        if !shard.is_unplanned {
            return repeats::Prospect::Pending;
        }
        let Some((probability, expected)) = self.best_repeat(query, shard_index) else {
            return repeats::Prospect::Lost;
        };
        let service = query.target(shard_index).service;
        let account = *services.entry(service).or_insert_with(|| {
            accounts.push(self.fleet.account(self.now, service, priority));
            accounts.len() - 1
        });
        repeats::Prospect::Repeatable(repeats::Repeat { probability, expected, account })
    }

    /// Probability of success and expected time of the best attempt that can still be made for a shard.
    fn best_repeat(&self, query: &query::Query, shard_index: u32) -> Option<(f64, clock::Millis)> {
        let selector = query.selector();
        let shard = &query.shards[shard_index as usize];
        let may_try_more = selector.max_servers.is_none_or(|max| shard.reached_servers() < usize::from(max));
        let median = self.classes[query.class].median_attempt_time(false);
        let mut best: Option<(bool, f64, clock::Millis)> = None;
        for &server in &query.target(shard_index).replicas {
            let state = &self.servers[server.index()];
            let was_tried = shard.was_tried(server);
            let may_send = self.is_open(server) && state.share > 0 && state.warm_up.may_send(self.now);
            let is_allowed = was_tried || may_try_more;
            if !may_send || !is_allowed || !self.is_in_home_region(&selector.name, server) {
                continue;
            }
            let reported = self.server_standing(server).map_or(0.0, reported_failure);
            let failure = state.failure_probability(self.now).max(reported);
            let probability = (1.0 - failure).max(MIN_PROBABILITY);
            let wait = self.wait_at_server(server, usize::from(selector.priority), median);
            let backoff = if was_tried { dispatch::backoff(shard.tries) } else { clock::Millis::ZERO };
            let candidate = (!was_tried, probability, wait.max(backoff) + median);
            let is_better = best.is_none_or(|(is_untried, probability, time)| {
                (candidate.0, candidate.1) > (is_untried, probability)
                    || (candidate.0, candidate.1) == (is_untried, probability) && candidate.2 < time
            });
            if is_better {
                best = Some(candidate);
            }
        }
        best.map(|(_, probability, time)| (probability, time))
    }

    fn take_steps(&mut self, id: id::Query, steps: repeats::Steps) {
        for (shard_index, purpose) in steps.repeats {
            self.repeat(id, shard_index, purpose);
        }
        let caller = self.queries.get(id.0).map(|query| query.caller);
        for target in self.count_denied(id) {
            if let Some(caller) = caller {
                self.log(note::Note::Denied { caller, shard: target.shard, cause: note::Cause::Failure });
            }
        }
        for shard_index in steps.dropped {
            self.leave_plan(id, shard_index);
            self.fail_shard(id, shard_index);
        }
        if self.queries.get(id.0).is_none_or(|query| query.unplanned == 0) {
            return;
        }
        self.agenda.waiting.insert(id);
        if let Some(wait) = steps.wait {
            self.set_plan_timer(self.now + wait.max(clock::Millis(1)));
        }
    }

    /// Ends a shard's wait for the plan.
    fn leave_plan(&mut self, id: id::Query, shard_index: u32) {
        let Some(query) = self.queries.get_mut(id.0) else {
            return;
        };
        let shard = &mut query.shards[shard_index as usize];
        if shard.is_unplanned {
            shard.is_unplanned = false;
            shard.is_waiting = false;
            query.unplanned -= 1;
        }
    }

    fn repeat(&mut self, id: id::Query, shard_index: u32, purpose: repeats::Purpose) {
        let is_waiting = self.queries.get(id.0).is_some_and(|query| query.shards[shard_index as usize].is_unplanned);
        if !is_waiting || !self.spend(id, shard_index, query::Kind::Retry) {
            return;
        }
        self.record_grant(id, shard_index, purpose);
        self.leave_plan(id, shard_index);
        let Some(query) = self.queries.get(id.0) else {
            return;
        };
        let shard = &query.shards[shard_index as usize];
        let max_servers = query.selector().max_servers;
        let may_try_more = max_servers.is_none_or(|max| shard.reached_servers() < usize::from(max));
        let mut replicas = query.target(shard_index).replicas.iter();
        if may_try_more && replicas.any(|&id| !shard.was_tried(id) && self.is_open(id)) {
            self.dispatch(id, shard_index, query::Kind::Retry);
            return;
        }
        self.back_off(id, shard_index, shard.tries);
    }

    fn record_grant(&mut self, id: id::Query, shard_index: u32, purpose: repeats::Purpose) {
        match purpose {
            repeats::Purpose::Complete => self.stats.tokens_complete += 1,
            repeats::Purpose::Coverage => self.stats.tokens_coverage += 1,
            repeats::Purpose::Late => self.stats.tokens_late += 1,
        }
        if let Some(query) = self.queries.get(id.0) {
            self.fleet.on_granted(query.target(shard_index).service, query.selector().priority);
        }
    }

    /// Counts the shards that got no token, once for each wait, and returns them.
    fn count_denied(&mut self, id: id::Query) -> Vec<view::Target> {
        let mut denied = Vec::new();
        let Some(query) = self.queries.get_mut(id.0) else {
            return denied;
        };
        let priority = query.selector().priority;
        let has_class_token = self.classes[query.class].retries.has_token();
        for shard in 0..query.shards.len() {
            let state = &mut query.shards[shard];
            if state.is_unplanned && !std::mem::replace(&mut state.is_denied, true) {
                denied.push(query.target(shard as u32).clone());
            }
        }
        for target in &denied {
            if !has_class_token {
                self.stats.denied_by_class += 1;
            } else if !self.fleet.has_token(self.now, target.service) {
                self.stats.denied_by_service += 1;
            } else {
                self.stats.tokens_withheld += 1;
                self.fleet.on_withheld(self.now, target.service, priority);
            }
        }
        denied
    }

    /// Ends a search that cannot reach its least coverage. Callers return spread over the time in which the accounts
    /// refill, since those of a fault come back together otherwise.
    fn finish_hopeless(&mut self, id: id::Query, shortfall: repeats::Shortfall) {
        self.count_denied(id);
        self.stats.hopeless += 1;
        self.fleet.on_scarcity(self.now);
        self.log_hopeless(id, shortfall);
        let span = shortfall.refill.unwrap_or(gather::RETRY_AFTER).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        let retry_after = clock::Millis(RETRY_AFTER_MIN.0 + self.random.random_range(0..=span.0));
        let code = self.shortfall_code(id);
        self.finish_with_reason(id, code, Some(retry_after), why::Why::Hopeless(shortfall));
    }

    /// Logs at most one hopeless search in [`LOG_INTERVAL`], with the number of those since the last one logged. Each
    /// answer has its reason besides.
    fn log_hopeless(&mut self, id: id::Query, shortfall: repeats::Shortfall) {
        self.agenda.unlogged += 1;
        let Some(query) = self.queries.get(id.0) else {
            return;
        };
        if self.agenda.logged_at.is_some_and(|at| self.now.since(at) < LOG_INTERVAL) {
            return;
        }
        let (caller, after) = (query.caller, self.now.since(query.arrived));
        self.agenda.logged_at = Some(self.now);
        let count = std::mem::take(&mut self.agenda.unlogged);
        self.log(note::Note::Hopeless { caller, shortfall, after, count });
    }

    /// Number of unanswered shards that may be hedged to make `query` complete, without those hedged already.
    pub(super) fn hedges_needed(&self, query: &query::Query) -> usize {
        if !self.policy.plan_repeats {
            return 0;
        }
        let needed = query.selector().least_coverage.smallest_part(query.shards.len());
        let mut covered = 0;
        for shard in &query.shards {
            covered += usize::from(shard.has_reply() || shard.live_count() == query::MAX_LIVE);
        }
        needed.saturating_sub(covered)
    }

    /// Spends a token on a hedge. `needed` is the number of hedges that the least coverage needs; the others leave a
    /// reserve for searches that lack shards.
    pub(super) fn spend_hedge(&mut self, id: id::Query, shard_index: u32, needed: &mut usize) -> bool {
        if !self.is_planned(id, shard_index) {
            return self.spend(id, shard_index, query::Kind::Hedge);
        }
        let Some(query) = self.queries.get(id.0) else {
            return false;
        };
        let is_late = query.settle_at.is_some_and(|at| at <= self.now);
        let purpose = match (is_late, *needed) {
            (true, _) => repeats::Purpose::Late,
            (false, 0) => repeats::Purpose::Coverage,
            (false, _) => repeats::Purpose::Complete,
        };
        let (service, priority) = (query.target(shard_index).service, query.selector().priority);
        // A hedge is a guess that an attempt in flight is lost, so it always leaves the reserve.
        let account = repeats::Account { is_scarce: true, ..self.fleet.account(self.now, service, priority) };
        if account.tokens >= 1.0 && !account.has_token(purpose, 0) {
            self.stats.tokens_withheld += 1;
            self.fleet.on_withheld(self.now, service, priority);
            return false;
        }
        if !self.spend(id, shard_index, query::Kind::Hedge) {
            return false;
        }
        self.record_grant(id, shard_index, purpose);
        *needed = needed.saturating_sub(1);
        true
    }
}

/// Probability that an attempt at a server with this standing fails.
fn reported_failure(standing: &evidence::Standing) -> f64 {
    if standing.is_silent { 1.0 } else { standing.rejection + standing.failure }
}
