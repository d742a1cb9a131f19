//! The judge: it knows what the leaves did and what callers were told, and names every breach.

use std::collections::BTreeMap;

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use shallothub_core::{
    clock, id,
    traffic::{event, policy},
    view,
};

use super::leaf;

/// Time after which no work may go to a server whose mark every host could have learned.
pub const LEAVING_MOST: clock::Millis = clock::Millis(3000);

/// Extra attempts that a class may make in a burst, for hedges and for retries each.
pub const BURST: f64 = 16.0;

/// A reply's body: whose it is, and from which shard and snapshot.
#[derive(Clone, Debug)]
pub struct Body {
    pub asker: leaf::Asker,
    pub shard: CompactString,
    pub snapshot: view::Snapshot,
}

#[derive(Debug, Default)]
pub struct Judge {
    pub breaches: Vec<String>,
    pub queries: u64,
    pub answered: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub executions: u64,
    executed: IndexSet<leaf::Asker>,
    told_not_run: IndexSet<leaf::Asker>,
    answered_to: IndexSet<leaf::Asker>,
    by_key: IndexMap<CompactString, u32>,
    by_letter: IndexMap<leaf::Asker, u32>,
    bodies: IndexMap<(usize, u32, id::Attempt), Body>,
    arrivals: BTreeMap<(usize, u32), u64>,
    first: BTreeMap<(usize, u32), u64>,
    asked: IndexSet<(leaf::Asker, CompactString)>,
    stamps: BTreeMap<(usize, u32), [view::Stamp; 2]>,
}

impl Judge {
    pub fn breach(&mut self, name: &str, detail: String) {
        self.breaches.push(format!("{name}: {detail}"));
    }

    pub fn on_execution(&mut self, execution: leaf::Execution) {
        self.executions += 1;
        let asker = execution.asker;
        self.executed.insert(asker);
        if self.told_not_run.contains(&asker) {
            self.breach("not_run_means_not_run", format!("{asker:?} ran after it was reported as not run"));
        }
        if execution.idempotent {
            return;
        }
        let runs = self.by_letter.entry(asker).or_default();
        *runs += 1;
        if *runs > 1 {
            self.breach("at_most_once", format!("{asker:?} ran again"));
        }
        if let Some(key) = execution.key {
            let runs = self.by_key.entry(key.clone()).or_default();
            *runs += 1;
            if *runs > 1 {
                self.breach("at_most_once", format!("key {key} ran again"));
            }
        }
    }

    /// An attempt reached a leaf, which may run or refuse it.
    pub fn on_arrival(&mut self, asker: leaf::Asker, shard: &CompactString) {
        let host = (asker.host, asker.life);
        *self.arrivals.entry(host).or_default() += 1;
        if self.asked.insert((asker, shard.clone())) {
            *self.first.entry(host).or_default() += 1;
        }
    }

    /// Extra load of each life of a host against the budgets of its three classes.
    pub fn judge_extra_load(&mut self) {
        let policy = policy::Policy::default();
        let fraction = policy.hedge_fraction + policy.retry_fraction;
        for (host, arrivals) in self.arrivals.clone() {
            let first = self.first.get(&host).copied().unwrap_or_default();
            let allowed = fraction * first as f64 + 3.0 * 2.0 * BURST;
            let extra = arrivals - first;
            if extra as f64 > allowed {
                self.breach(
                    "bounded_extra_load",
                    format!("host {host:?}: {extra} extra of {first}, allowed {allowed}"),
                );
            }
        }
    }

    pub fn on_body(&mut self, host: usize, life: u32, attempt: id::Attempt, body: Body) {
        self.bodies.insert((host, life, attempt), body);
    }

    pub fn on_answer(&mut self, asker: leaf::Asker, answer: &event::Answer, shards: usize) {
        if !self.answered_to.insert(asker) {
            self.breach("own_whole_answer", format!("{asker:?} was answered twice"));
        }
        match answer.outcome {
            event::Outcome::Answered => self.on_answered(asker, answer, shards),
            event::Outcome::Unknown => self.unknown += 1,
            event::Outcome::NotRun => {
                self.not_run += 1;
                self.told_not_run.insert(asker);
                if self.executed.contains(&asker) {
                    self.breach("not_run_means_not_run", format!("{asker:?} {} had run", answer.code));
                }
            }
        }
    }

    fn on_answered(&mut self, asker: leaf::Asker, answer: &event::Answer, shards: usize) {
        self.answered += 1;
        let mut seen = IndexSet::new();
        for (shard, attempt) in &answer.contributed {
            if !seen.insert(shard.clone()) {
                self.breach("true_coverage", format!("{asker:?}: {shard} counted twice"));
            }
            let Some(body) = self.bodies.get(&(asker.host, asker.life, *attempt)).cloned() else {
                self.breach("true_coverage", format!("{asker:?}: no body of {shard}"));
                continue;
            };
            if body.asker != asker || body.shard != *shard {
                self.breach("own_whole_answer", format!("{asker:?} got the part of {:?}", body.asker));
            }
            if Some(body.snapshot) != answer.snapshot {
                self.breach("one_snapshot", format!("{asker:?}: {} in {:?}", body.snapshot, answer.snapshot));
            }
        }
        if seen.len() + answer.missing.len() != shards {
            let detail = format!("{asker:?}: {} in and {} missing of {shards}", seen.len(), answer.missing.len());
            self.breach("true_coverage", detail);
        }
        if answer.missing.iter().any(|shard| seen.contains(shard)) {
            self.breach("true_coverage", format!("{asker:?}: a shard is in and missing"));
        }
    }

    pub fn on_view(&mut self, host: usize, life: u32, view: &view::View) {
        let stamps = [view.stamp, view.hosts_revision];
        let held = self.stamps.entry((host, life)).or_default();
        let before = std::mem::replace(held, stamps);
        if stamps[0] < before[0] || stamps[1] < before[1] {
            self.breach("config_monotonic", format!("host {host}: {stamps:?} after {before:?}"));
        }
    }
}
