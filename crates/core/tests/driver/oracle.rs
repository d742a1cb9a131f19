//! The test oracle: compares executions on the leaves with the answers to callers and records every breach.

use std::collections::BTreeMap;

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use shallothub_core::{
    clock, id,
    traffic::{event, policy},
    view,
};

use super::leaf;

/// Time after which a leaving server must get no work, if every host could have received its mark.
pub const LEAVING_GRACE: clock::Millis = clock::Millis(3000);

/// Burst of extra attempts that a class may make, for hedges and for retries each.
pub const BURST: f64 = 16.0;

/// A reply's body: its requester, shard and snapshot.
#[derive(Clone, Debug)]
pub struct Body {
    pub requester: leaf::Requester,
    pub shard: CompactString,
    pub snapshot: view::Snapshot,
}

#[derive(Debug, Default)]
pub struct Oracle {
    pub breaches: Vec<String>,
    pub queries: u64,
    pub answered: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub executions: u64,
    executed: IndexSet<leaf::Requester>,
    reported_not_run: IndexSet<leaf::Requester>,
    answered_requesters: IndexSet<leaf::Requester>,
    runs_by_key: IndexMap<CompactString, u32>,
    runs_by_requester: IndexMap<leaf::Requester, u32>,
    bodies: IndexMap<(usize, u32, id::Attempt), Body>,
    arrivals: BTreeMap<(usize, u32), u64>,
    first_attempts: BTreeMap<(usize, u32), u64>,
    attempted: IndexSet<(leaf::Requester, CompactString)>,
    stamps: BTreeMap<(usize, u32), [view::Stamp; 2]>,
}

impl Oracle {
    pub fn breach(&mut self, name: &str, detail: String) {
        self.breaches.push(format!("{name}: {detail}"));
    }

    pub fn on_execution(&mut self, execution: leaf::Execution) {
        self.executions += 1;
        let requester = execution.requester;
        self.executed.insert(requester);
        if self.reported_not_run.contains(&requester) {
            self.breach("not_run_means_not_run", format!("{requester:?} ran after it was reported as not run"));
        }
        if execution.idempotent {
            return;
        }
        let runs = self.runs_by_requester.entry(requester).or_default();
        *runs += 1;
        if *runs > 1 {
            self.breach("at_most_once", format!("{requester:?} ran again"));
        }
        if let Some(key) = execution.key {
            let runs = self.runs_by_key.entry(key.clone()).or_default();
            *runs += 1;
            if *runs > 1 {
                self.breach("at_most_once", format!("key {key} ran again"));
            }
        }
    }

    /// Counts an attempt that reached a leaf, which may run or refuse it.
    pub fn on_arrival(&mut self, requester: leaf::Requester, shard: &CompactString) {
        let host = (requester.host, requester.life);
        *self.arrivals.entry(host).or_default() += 1;
        if self.attempted.insert((requester, shard.clone())) {
            *self.first_attempts.entry(host).or_default() += 1;
        }
    }

    /// Checks the extra load of each life of a host against the budgets of its three classes.
    pub fn check_extra_load(&mut self) {
        let policy = policy::Policy::default();
        let fraction = policy.hedge_fraction + policy.retry_fraction;
        for (host, arrivals) in self.arrivals.clone() {
            let first = self.first_attempts.get(&host).copied().unwrap_or_default();
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

    pub fn on_answer(&mut self, requester: leaf::Requester, answer: &event::Answer, shards: usize) {
        if !self.answered_requesters.insert(requester) {
            self.breach("own_whole_answer", format!("{requester:?} was answered twice"));
        }
        match answer.outcome {
            event::Outcome::Answered => self.on_answered(requester, answer, shards),
            event::Outcome::Unknown => self.unknown += 1,
            event::Outcome::NotRun => {
                self.not_run += 1;
                self.reported_not_run.insert(requester);
                if self.executed.contains(&requester) {
                    self.breach(
                        "not_run_means_not_run",
                        format!("{requester:?} was reported as not run with {} but had run", answer.code),
                    );
                }
            }
        }
    }

    fn on_answered(&mut self, requester: leaf::Requester, answer: &event::Answer, shards: usize) {
        self.answered += 1;
        let mut seen = IndexSet::new();
        for (shard, attempt) in &answer.contributed {
            if !seen.insert(shard.clone()) {
                self.breach("true_coverage", format!("{requester:?}: {shard} counted twice"));
            }
            let Some(body) = self.bodies.get(&(requester.host, requester.life, *attempt)).cloned() else {
                self.breach("true_coverage", format!("{requester:?}: no reply from {shard}"));
                continue;
            };
            if body.requester != requester || body.shard != *shard {
                self.breach("own_whole_answer", format!("{requester:?} got the reply to {:?}", body.requester));
            }
            if Some(body.snapshot) != answer.snapshot {
                self.breach("one_snapshot", format!("{requester:?}: {} in {:?}", body.snapshot, answer.snapshot));
            }
        }
        if seen.len() + answer.missing.len() != shards {
            let detail =
                format!("{requester:?}: {} covered and {} missing of {shards}", seen.len(), answer.missing.len());
            self.breach("true_coverage", detail);
        }
        if answer.missing.iter().any(|shard| seen.contains(shard)) {
            self.breach("true_coverage", format!("{requester:?}: a shard is both covered and missing"));
        }
    }

    pub fn on_view(&mut self, host: usize, life: u32, view: &view::View) {
        let stamps = [view.stamp, view.hosts_revision];
        let latest = self.stamps.entry((host, life)).or_default();
        let before = std::mem::replace(latest, stamps);
        if stamps[0] < before[0] || stamps[1] < before[1] {
            self.breach("config_monotonic", format!("host {host}: {stamps:?} after {before:?}"));
        }
    }
}
