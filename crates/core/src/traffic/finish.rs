//! Query completion: sends the single answer and records the result.

use compact_str::CompactString;

use crate::{clock, id, invariant, mutant, view};

use super::{class, event, gather::RETRY_AFTER, query, summary, why};

/// The result of a query.
struct Completion {
    outcome: event::Outcome,
    code: event::Code,
    why: why::Why,
    retry_after: Option<clock::Millis>,
    snapshot: Option<view::Snapshot>,
    contributed: Vec<(CompactString, id::Attempt)>,
    missing: Vec<CompactString>,
}

impl super::Core {
    /// Answers with the replies of the best snapshot.
    pub(super) fn finish_answered(&mut self, id: id::Query) {
        let Some(query) = self.queries.get(id.0) else {
            return;
        };
        let Some(best) = query.largest_group() else {
            return;
        };
        let mut contributed = Vec::with_capacity(best.shard_count);
        let mut missing = Vec::new();
        let mut is_one_snapshot = true;
        for (shard, target) in query.shards.iter().zip(query.targets()) {
            let reply =
                if mutant::is(mutant::Mutant::MixSnapshots) { shard.replies[0] } else { shard.reply_of(best.snapshot) };
            let Some(reply) = reply else {
                missing.push(target.shard.clone());
                continue;
            };
            is_one_snapshot &= reply.snapshot == best.snapshot;
            contributed.push((target.shard.clone(), reply.attempt));
        }
        if mutant::is(mutant::Mutant::CountSilent) {
            missing.clear();
        }
        if !is_one_snapshot {
            self.breach(
                invariant::Name::OneSnapshot,
                format!("{id}: not all replies are of snapshot {}", best.snapshot),
            );
        }
        let is_coverage_true =
            contributed.len() + missing.len() == self.queries.get(id.0).map_or(0, |query| query.shards.len());
        if !is_coverage_true {
            let detail = format!("{id}: {} shards contributed, {} missing", contributed.len(), missing.len());
            self.breach(invariant::Name::TrueCoverage, detail);
        }
        let is_valid = is_one_snapshot && is_coverage_true;
        if !is_valid && !mutant::is_any() {
            self.finish_unanswered(id, event::Code::Withheld, Some(RETRY_AFTER));
            return;
        }
        let code = if missing.is_empty() { event::Code::Ok } else { event::Code::Partial };
        let (outcome, snapshot) = (event::Outcome::Answered, Some(best.snapshot));
        let why = why::Why::CodeOnly;
        self.complete(id, Completion { outcome, code, why, retry_after: None, snapshot, contributed, missing });
    }

    /// Ends a query without an answer. The outcome is `NotRun` only if nothing was dispatched, or
    /// each attempt is proven not to have run.
    pub(super) fn finish_unanswered(
        &mut self,
        query: id::Query,
        code: event::Code,
        retry_after: Option<clock::Millis>,
    ) {
        self.finish_with_reason(query, code, retry_after, why::Why::CodeOnly);
    }

    /// Like [`Self::finish_unanswered`], with the reason for the log.
    pub(super) fn finish_with_reason(
        &mut self,
        id: id::Query,
        code: event::Code,
        retry_after: Option<clock::Millis>,
        why: why::Why,
    ) {
        let Some(query) = self.queries.get(id.0) else {
            return;
        };
        let is_live = query.shards.iter().any(|shard| shard.live_count() > 0);
        let may_have_run = query.may_have_run || is_live;
        let is_not_run = !may_have_run || mutant::is(mutant::Mutant::AssumeNotRun);
        let outcome = if is_not_run { event::Outcome::NotRun } else { event::Outcome::Unknown };
        let is_forwarded = query.failure.is_some() && query.shape() == view::Shape::Whole;
        let code = if is_forwarded { event::Code::ServerFailed } else { code };
        let missing = query.targets().iter().map(|target| target.shard.clone()).collect();
        self.complete(
            id,
            Completion { outcome, code, why, retry_after, snapshot: None, contributed: Vec::new(), missing },
        );
    }

    fn complete(&mut self, id: id::Query, completion: Completion) {
        let Completion { outcome, code, mut why, retry_after, snapshot, contributed, missing } = completion;
        let mut lateness = None;
        if let Some(query) = self.queries.get(id.0) {
            lateness = self.lateness(query).filter(|_| outcome == event::Outcome::Answered);
            if why == why::Why::CodeOnly && (code != event::Code::Ok || lateness.is_some()) {
                why = self.wait_reason(query);
            }
        }
        let Some(mut query) = self.withdraw(id) else {
            return;
        };
        for attempt in query.shards.iter().flat_map(|shard| shard.live).flatten() {
            if outcome != event::Outcome::Answered && query.last_answer.is_none() {
                self.record_abandoned(&query, attempt);
            }
            self.cancel(attempt);
        }
        self.remember_key(&query, outcome);
        self.record_wait(&query);
        if let Some(run) = query.run.take() {
            self.end_run(run, &query, outcome);
        }
        self.record_summary(id, &query, outcome, code, &missing);
        self.outputs.push(event::Output::Answer(event::Answer {
            caller: query.caller,
            query: Some(id),
            class: self.classes[query.class].name.clone(),
            outcome,
            code,
            why,
            lateness,
            snapshot,
            contributed,
            missing,
            shape: query.shape(),
            via: query.via.clone(),
            failure: query.failure.filter(|_| code == event::Code::ServerFailed),
            retry_after,
            cost: query.cost,
        }));
    }

    /// Removes a query from the tables, without an answer to its caller.
    pub(super) fn withdraw(&mut self, id: id::Query) -> Option<query::Query> {
        let query = self.queries.remove(id.0)?;
        self.remove_from_agenda(id);
        if self.callers.swap_remove(&query.caller) != Some(id) {
            self.breach(invariant::Name::OwnWholeAnswer, format!("{id}: not the query of {:?}", query.caller));
        }
        self.report_unused_trial(&query);
        Some(query)
    }

    pub(super) fn remember_key(&mut self, query: &query::Query, outcome: event::Outcome) {
        let Some(key) = &query.key else {
            return;
        };
        if query.selector().idempotent {
            return;
        }
        let until = self.now + self.policy.key_window;
        self.keys.end(key, (outcome != event::Outcome::NotRun).then_some(until));
    }

    fn end_run(&mut self, run: class::Run, query: &query::Query, outcome: event::Outcome) {
        let took = self.now.since(run.started());
        let selector = query.selector();
        let time_limit = selector.settle.unwrap_or(selector.deadline);
        let target = selector.target_latency.unwrap_or_else(|| time_limit.scale(self.policy.latency_target.get()));
        let is_within_target = outcome == event::Outcome::Answered && took <= target;
        self.classes[query.class].end_run(run, self.now, is_within_target, self.policy.running_ceiling);
    }

    /// The time by which an answer sent now misses its target latency; `None` if it meets it or has none.
    fn lateness(&self, query: &query::Query) -> Option<clock::Millis> {
        query.selector().target_latency?;
        let due_at = query.settle_at? + self.policy.aim_margin;
        (self.now > due_at).then(|| self.now.since(due_at))
    }

    /// The shards that an answer still waits for, or else the last one that replied.
    fn wait_reason(&self, query: &query::Query) -> why::Why {
        let silent = self.silent_shards(query);
        if !silent.is_empty() {
            return why::Why::Silent(silent);
        }
        let Some((shard_index, server, sent)) = query.last_answer else {
            return why::Why::CodeOnly;
        };
        why::Why::Last {
            shard: query.target(shard_index).shard.clone(),
            server: query.view.server(server).map(|server| server.name.clone()).unwrap_or_default(),
            sent_after: sent.since(query.arrived),
            took: self.now.since(sent),
        }
    }

    /// The shards that still wait for a reply, with the server and for how long.
    fn silent_shards(&self, query: &query::Query) -> Vec<why::Silent> {
        let mut silent = Vec::new();
        for (shard, target) in query.shards.iter().zip(query.targets()) {
            if shard.has_reply() {
                continue;
            }
            let attempts = shard.live.iter().flatten().filter_map(|attempt| self.attempts.get(attempt.0));
            let first = attempts.min_by_key(|attempt| attempt.sent);
            if first.is_none() && !shard.is_waiting {
                continue;
            }
            let server = first.and_then(|attempt| query.view.server(attempt.server)).map(|server| server.name.clone());
            let since = first.map_or(query.arrived, |attempt| attempt.sent);
            silent.push(why::Silent {
                shard: target.shard.clone(),
                server: server.unwrap_or_default(),
                elapsed: self.now.since(since),
            });
        }
        silent
    }

    fn record_summary(
        &mut self,
        id: id::Query,
        query: &query::Query,
        outcome: event::Outcome,
        code: event::Code,
        missing: &[CompactString],
    ) {
        let mut tried = Vec::new();
        for (shard, target) in query.shards.iter().zip(query.targets()) {
            if !missing.contains(&target.shard) {
                continue;
            }
            let names = shard.tried.iter().flatten().filter_map(|&id| query.view.server(id));
            tried.push((target.shard.clone(), names.map(|server| server.name.clone()).collect()));
        }
        self.recent.push(summary::Summary {
            query: id,
            class: self.classes[query.class].name.clone(),
            outcome,
            code,
            took: self.now.since(query.arrived),
            cost: query.cost,
            missing: tried,
        });
    }
}
