//! The end of a query: its one answer, and what is remembered of it.

use compact_str::CompactString;

use crate::{clock, id, invariant, mutant, view};

use super::{event, gather::COME_BACK, query, summary, why};

/// What an answer says.
struct Ending {
    outcome: event::Outcome,
    code: event::Code,
    why: why::Why,
    retry_after: Option<clock::Millis>,
    snapshot: Option<view::Snapshot>,
    contributed: Vec<(CompactString, id::Attempt)>,
    missing: Vec<CompactString>,
}

impl super::Core {
    /// Answers with what the best snapshot has.
    pub(super) fn finish_answered(&mut self, query: id::Query) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let Some(best) = row.largest_group() else {
            return;
        };
        let mut contributed = Vec::with_capacity(best.shard_count);
        let mut missing = Vec::new();
        let mut is_one_snapshot = true;
        for (part, target) in row.shards.iter().zip(row.targets()) {
            let got =
                if mutant::is(mutant::Mutant::MixSnapshots) { part.replies[0] } else { part.reply_of(best.snapshot) };
            let Some(got) = got else {
                missing.push(target.shard.clone());
                continue;
            };
            is_one_snapshot &= got.snapshot == best.snapshot;
            contributed.push((target.shard.clone(), got.attempt));
        }
        if mutant::is(mutant::Mutant::CountSilent) {
            missing.clear();
        }
        if !is_one_snapshot {
            self.breach(invariant::Name::OneSnapshot, format!("{query}: not all of {}", best.snapshot));
        }
        let is_true = contributed.len() + missing.len() == self.queries.get(query.0).map_or(0, |row| row.shards.len());
        if !is_true {
            let detail = format!("{query}: {} in, {} missing", contributed.len(), missing.len());
            self.breach(invariant::Name::TrueCoverage, detail);
        }
        let is_sound = is_one_snapshot && is_true;
        if !is_sound && !mutant::is_any() {
            self.finish_unanswered(query, event::Code::Withheld, Some(COME_BACK));
            return;
        }
        let code = if missing.is_empty() { event::Code::Ok } else { event::Code::Partial };
        let (outcome, snapshot) = (event::Outcome::Answered, Some(best.snapshot));
        let why = why::Why::CodeOnly;
        self.end(query, Ending { outcome, code, why, retry_after: None, snapshot, contributed, missing });
    }

    /// Ends a query without an answer. It counts as not run only if nothing was dispatched, or each
    /// attempt was proved not to have run.
    pub(super) fn finish_unanswered(
        &mut self,
        query: id::Query,
        code: event::Code,
        retry_after: Option<clock::Millis>,
    ) {
        self.finish_because(query, code, retry_after, why::Why::CodeOnly);
    }

    /// Like [`Self::finish_unanswered`], with what decided it.
    pub(super) fn finish_because(
        &mut self,
        query: id::Query,
        code: event::Code,
        retry_after: Option<clock::Millis>,
        why: why::Why,
    ) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let is_live = row.shards.iter().any(|part| part.live_count() > 0);
        let may_have_run = row.may_have_run || is_live;
        let is_not_run = !may_have_run || mutant::is(mutant::Mutant::AssumeNotRun);
        let outcome = if is_not_run { event::Outcome::NotRun } else { event::Outcome::Unknown };
        let is_handed_on = row.failure.is_some() && row.shape() == view::Shape::Whole;
        let code = if is_handed_on { event::Code::ServerFailed } else { code };
        let missing = row.targets().iter().map(|target| target.shard.clone()).collect();
        self.end(query, Ending { outcome, code, why, retry_after, snapshot: None, contributed: Vec::new(), missing });
    }

    fn end(&mut self, query: id::Query, ending: Ending) {
        let Ending { outcome, code, mut why, retry_after, snapshot, contributed, missing } = ending;
        let mut late = None;
        if let Some(row) = self.queries.get(query.0) {
            late = self.late(row).filter(|_| outcome == event::Outcome::Answered);
            if why == why::Why::CodeOnly && (code != event::Code::Ok || late.is_some()) {
                why = self.waited_for(row);
            }
        }
        let Some(row) = self.queries.remove(query.0) else {
            return;
        };
        if self.callers.swap_remove(&row.caller) != Some(query) {
            self.breach(invariant::Name::OwnWholeAnswer, format!("{query}: {:?} has no such query", row.caller));
        }
        self.report_unused_trial(&row);
        for attempt in row.shards.iter().flat_map(|part| part.live).flatten() {
            if outcome != event::Outcome::Answered && row.last_answer.is_none() {
                self.record_abandoned(&row, attempt);
            }
            self.cancel(attempt);
        }
        self.remember_key(&row, outcome);
        self.end_run(&row, outcome);
        self.summarise(query, &row, outcome, code, &missing);
        self.outputs.push(event::Output::Answer(event::Answer {
            caller: row.caller,
            query: Some(query),
            class: self.classes[row.class].name.clone(),
            outcome,
            code,
            why,
            late,
            snapshot,
            contributed,
            missing,
            shape: row.shape(),
            via: row.via.clone(),
            failure: row.failure.filter(|_| code == event::Code::ServerFailed),
            retry_after,
            cost: row.cost,
        }));
    }

    fn remember_key(&mut self, row: &query::Query, outcome: event::Outcome) {
        let Some(key) = &row.key else {
            return;
        };
        if row.selector().idempotent {
            return;
        }
        let until = self.now + self.policy.key_window;
        self.keys.end(key, (outcome != event::Outcome::NotRun).then_some(until));
    }

    fn end_run(&mut self, row: &query::Query, outcome: event::Outcome) {
        let Some(started) = row.started else {
            return;
        };
        let took = self.now.since(started);
        let selector = row.selector();
        let usual = selector.settle.unwrap_or(selector.deadline);
        let target = selector.target_latency.unwrap_or_else(|| usual.scale(self.policy.latency_target.get()));
        let is_good = outcome == event::Outcome::Answered && took <= target;
        let class = &mut self.classes[row.class];
        class.running = class.running.saturating_sub(1);
        class.on_run_end(self.now, took, is_good, self.policy.running_ceiling);
    }

    /// How long after its aim an answer that leaves now is.
    fn late(&self, row: &query::Query) -> Option<clock::Millis> {
        row.selector().target_latency?;
        let aim = row.settle_at? + self.policy.aim_margin;
        (self.now > aim).then(|| self.now.since(aim))
    }

    /// What an answer still waits for, or waited for last.
    fn waited_for(&self, row: &query::Query) -> why::Why {
        let silent = self.silent(row);
        if !silent.is_empty() {
            return why::Why::Silent(silent);
        }
        let Some((part, server, sent)) = row.last_answer else {
            return why::Why::CodeOnly;
        };
        why::Why::Last {
            shard: row.target(part).shard.clone(),
            server: row.view.server(server).map(|server| server.name.clone()).unwrap_or_default(),
            sent_after: sent.since(row.arrived),
            took: self.now.since(sent),
        }
    }

    /// The shards whose part is not in an answer and did not fail: who is waited for, and since when.
    fn silent(&self, row: &query::Query) -> Vec<why::Silent> {
        let mut silent = Vec::new();
        for (part, target) in row.shards.iter().zip(row.targets()) {
            if part.has_reply() {
                continue;
            }
            let attempts = part.live.iter().flatten().filter_map(|attempt| self.attempts.get(attempt.0));
            let first = attempts.min_by_key(|attempt| attempt.sent);
            if first.is_none() && !part.is_waiting {
                continue;
            }
            let server = first.and_then(|attempt| row.view.server(attempt.server)).map(|server| server.name.clone());
            let since = first.map_or(row.arrived, |attempt| attempt.sent);
            silent.push(why::Silent {
                shard: target.shard.clone(),
                server: server.unwrap_or_default(),
                elapsed: self.now.since(since),
            });
        }
        silent
    }

    fn summarise(
        &mut self,
        query: id::Query,
        row: &query::Query,
        outcome: event::Outcome,
        code: event::Code,
        missing: &[CompactString],
    ) {
        let mut tried = Vec::new();
        for (part, target) in row.shards.iter().zip(row.targets()) {
            if !missing.contains(&target.shard) {
                continue;
            }
            let names = part.tried.iter().flatten().filter_map(|&id| row.view.server(id));
            tried.push((target.shard.clone(), names.map(|server| server.name.clone()).collect()));
        }
        self.recent.push(summary::Summary {
            query,
            class: self.classes[row.class].name.clone(),
            outcome,
            code,
            took: self.now.since(row.arrived),
            cost: row.cost,
            missing: tried,
        });
    }
}
