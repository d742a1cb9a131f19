//! Checks the system's guarantees against what clients and leafs observed.

use std::{net, time::Duration};

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use shallothub_standin::replica;

use crate::{
    client::{Kind, Outcome},
    deployment::Deployment,
};

/// Bound on extra arrivals at a service: a share of its requests plus slack, as in the nodes' settings.
const EXTRA_RATIO: f64 = 0.2;
const EXTRA_SLACK: f64 = 56.0;
/// Minimum share of shards in a successful response, as in the configuration.
const LEAST_COVERAGE: f64 = 0.7;

/// A finished request and its outcome.
#[derive(Clone, Debug)]
pub struct Record {
    /// Unique name of the request.
    pub name: CompactString,
    /// Kind of the request.
    pub kind: Kind,
    /// Index of the node that received the request.
    pub node: usize,
    /// Address of the node; every process of a node has a new one.
    pub address: net::SocketAddr,
    /// Time at which the request was sent, from the start of the run.
    pub started: Duration,
    /// Time at which the response was complete, from the start of the run.
    pub ended: Duration,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Whether no unplanned fault was active during the request or shortly before it.
    pub is_undisturbed: bool,
}

/// Collects observations and the violations found in them.
#[derive(Debug, Default)]
pub struct Checker {
    records: Vec<Record>,
    /// Shard sets of all configurations, as sorted names, in order of publication.
    shard_sets: IndexSet<Vec<CompactString>>,
    /// Index of the newest set that each process served, and the time of that response.
    newest: IndexMap<net::SocketAddr, (usize, Duration)>,
    /// Lowest value so far, by service, of the extra arrivals less the allowed share of its requests.
    lowest_extra: IndexMap<CompactString, f64>,
    /// Services that exceeded their bound.
    over_bound: IndexSet<CompactString>,
    breaches: Vec<String>,
}

impl Checker {
    /// Records the shard set of a new configuration.
    pub fn add_shard_set(&mut self, mut shards: Vec<CompactString>) {
        shards.sort_unstable();
        self.shard_sets.insert(shards);
    }

    /// Checks and stores a finished request.
    pub fn add(&mut self, record: Record) {
        self.check_outcome(&record);
        self.records.push(record);
    }

    /// Records a violated guarantee.
    pub fn breach(&mut self, promise: &str, detail: impl std::fmt::Display) {
        self.breaches.push(format!("{promise}: {detail}"));
    }

    /// Returns the violations so far.
    pub fn breaches(&self) -> &[String] {
        &self.breaches
    }

    fn check_outcome(&mut self, record: &Record) {
        let context = format!("{:?} {} at node {}", record.kind, record.name, record.node);
        match &record.outcome {
            Outcome::Wrong(detail) => self.breach("own_whole_answer", format!("{context}: {detail}")),
            Outcome::Cut if record.is_undisturbed => self.breach("planned_work_cuts_nothing", context),
            Outcome::Silence if record.is_undisturbed => self.breach("an_answer_in_time", context),
            Outcome::Served { services, missing } if record.kind == Kind::Gather => {
                self.check_shard_set(&context, record, services, *missing);
            }
            _ => {}
        }
    }

    fn check_shard_set(&mut self, context: &str, record: &Record, services: &[CompactString], missing: usize) {
        let index = self.shard_sets.iter().position(|set| services.iter().all(|service| set.contains(service)));
        let Some(index) = index else {
            self.breach("one_set", format!("{context}: {services:?}"));
            return;
        };
        let size = self.shard_sets[index].len();
        let (newest, at) = self.newest.get(&record.address).copied().unwrap_or_default();
        if index < newest && record.started > at {
            self.breach("never_back", format!("{context}: set {index} after {newest}"));
        } else if index > newest {
            self.newest.insert(record.address, (index, record.ended));
        }
        if services.len() + missing != size {
            let detail = format!("{context}: {} in, {missing} missing, of {size}", services.len());
            self.breach("true_coverage", detail);
        } else if (services.len() as f64) < LEAST_COVERAGE * size as f64 - 1e-9 {
            self.breach("least_coverage", format!("{context}: {} of {size}", services.len()));
        }
    }

    /// Checks the extra arrivals at each service against their bound, which applies to any period: from
    /// each earlier call to this one.
    pub fn check_extra_load(&mut self, deployment: &Deployment) {
        let mut arrivals: IndexMap<CompactString, (u64, IndexSet<CompactString>)> = IndexMap::new();
        for leaf in &deployment.leafs {
            let ledger = leaf.replica.ledger();
            let totals = arrivals.entry(leaf.replica.service.clone()).or_default();
            totals.0 += ledger.refused + ledger.runs.values().map(|count| u64::from(*count)).sum::<u64>();
            totals.1.extend(ledger.runs.into_keys());
        }
        for (service, (count, names)) in arrivals {
            let extra = count as f64 - names.len() as f64 * (1.0 + EXTRA_RATIO);
            let lowest = self.lowest_extra.entry(service.clone()).or_insert(0.0);
            *lowest = lowest.min(extra);
            let excess = extra - *lowest;
            if excess > EXTRA_SLACK && self.over_bound.insert(service.clone()) {
                self.breach("bounded_extra_load", format!("{service}: {excess:.0} more than its part of requests"));
            }
        }
    }

    /// Runs the checks that need the complete ledgers, at the end of a run.
    pub fn check_ledgers(&mut self, deployment: &Deployment) {
        self.check_extra_load(deployment);
        let mut runs: IndexMap<CompactString, u32> = IndexMap::new();
        for leaf in &deployment.leafs {
            let ledger = leaf.replica.ledger();
            self.check_ledger(&leaf.replica.id, &ledger);
            for (name, count) in ledger.runs {
                *runs.entry(name).or_default() += count;
            }
        }
        for record in std::mem::take(&mut self.records) {
            let count = runs.get(&record.name).copied().unwrap_or_default();
            if record.kind == Kind::Write && count > 1 {
                self.breach("at_most_once", format!("{} ran {count} times", record.name));
            }
            let is_reported_not_run = matches!(record.outcome, Outcome::Status(408 | 421 | 429 | 503));
            if is_reported_not_run && record.kind == Kind::Write && count > 0 {
                self.breach("not_run_means_not_run", format!("{} was told so and ran", record.name));
            }
            self.records.push(record);
        }
    }

    /// Reports the violations that the nodes logged themselves.
    pub fn check_logs(&mut self, deployment: &Deployment) {
        for node in &deployment.nodes {
            let text = std::fs::read_to_string(&node.log).unwrap_or_default();
            for line in text.lines().filter(|line| line.contains("a promise did not hold")) {
                self.breach("own_word", format!("{}: {line}", node.name));
            }
        }
    }

    fn check_ledger(&mut self, id: &str, ledger: &replica::Ledger) {
        if ledger.without_id > 0 {
            self.breach("own_request", format!("{id} got {} requests without a name", ledger.without_id));
        }
    }

    /// Returns the number of requests by kind and outcome.
    pub fn summary(&self) -> IndexMap<String, usize> {
        let mut counts = IndexMap::new();
        for record in &self.records {
            let outcome = match &record.outcome {
                Outcome::Served { missing: 0, .. } => "served".to_owned(),
                Outcome::Served { .. } => "served in part".to_owned(),
                Outcome::Status(status) => format!("told {status}"),
                other => format!("{other:?}").to_lowercase(),
            };
            *counts.entry(format!("{} {outcome}", record.kind.route())).or_default() += 1;
        }
        counts.sort_keys();
        counts
    }

    /// Number of requests so far.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there were no requests yet.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
