//! The promises, held against what clients and leafs saw.

use std::{net, time::Duration};

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use shallothub_standin::replica;

use crate::{
    client::{End, Kind},
    deployment::Deployment,
};

/// Bound on extra arrivals at a service: share of its requests, and slack. As in the nodes' settings.
const EXTRA_RATIO: f64 = 0.2;
const EXTRA_SLACK: f64 = 56.0;
/// Least share of shards in a success. As in the configuration.
const LEAST_COVERAGE: f64 = 0.7;

/// A request and what came of it.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its name.
    pub name: CompactString,
    /// Its kind.
    pub kind: Kind,
    /// The node that was asked.
    pub node: usize,
    /// Its address, which each of its processes has anew.
    pub address: net::SocketAddr,
    /// When it was asked, from the run's begin.
    pub begun: Duration,
    /// When its answer was there.
    pub ended: Duration,
    /// What came of it.
    pub end: End,
    /// Whether all that went on around it was planned work or nothing.
    pub is_calm: bool,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct Judge {
    rows: Vec<Row>,
    /// Sets of shards that a configuration ever named, as sorted names, in this order.
    sets: IndexSet<Vec<CompactString>>,
    /// The newest set that each process served, and when.
    newest: IndexMap<net::SocketAddr, (usize, Duration)>,
    /// Extra arrivals at each service, less the allowed part of its requests; the least there was.
    least_extra: IndexMap<CompactString, f64>,
    /// Services whose bound did not hold.
    over: IndexSet<CompactString>,
    breaches: Vec<String>,
}

impl Judge {
    /// A configuration names these shards from now on.
    pub fn note_set(&mut self, mut shards: Vec<CompactString>) {
        shards.sort_unstable();
        self.sets.insert(shards);
    }

    /// Takes a request's end.
    pub fn take(&mut self, row: Row) {
        self.judge_end(&row);
        self.rows.push(row);
    }

    /// Records a promise that did not hold.
    pub fn breach(&mut self, promise: &str, detail: impl std::fmt::Display) {
        self.breaches.push(format!("{promise}: {detail}"));
    }

    /// Promises that did not hold so far.
    pub fn breaches(&self) -> &[String] {
        &self.breaches
    }

    fn judge_end(&mut self, row: &Row) {
        let about = format!("{:?} {} at node {}", row.kind, row.name, row.node);
        match &row.end {
            End::Wrong(what) => self.breach("own_whole_answer", format!("{about}: {what}")),
            End::Cut if row.is_calm => self.breach("planned_work_cuts_nothing", about),
            End::Silence if row.is_calm => self.breach("an_answer_in_time", about),
            End::Served { services, missing } if row.kind == Kind::Gather => {
                self.judge_set(&about, row, services, *missing);
            }
            _ => {}
        }
    }

    fn judge_set(&mut self, about: &str, row: &Row, services: &[CompactString], missing: usize) {
        let place = self.sets.iter().position(|set| services.iter().all(|service| set.contains(service)));
        let Some(place) = place else {
            self.breach("one_set", format!("{about}: {services:?}"));
            return;
        };
        let size = self.sets[place].len();
        let (newest, at) = self.newest.get(&row.address).copied().unwrap_or_default();
        if place < newest && row.begun > at {
            self.breach("never_back", format!("{about}: set {place} after {newest}"));
        } else if place > newest {
            self.newest.insert(row.address, (place, row.ended));
        }
        if services.len() + missing != size {
            let detail = format!("{about}: {} in, {missing} missing, of {size}", services.len());
            self.breach("true_coverage", detail);
        } else if (services.len() as f64) < LEAST_COVERAGE * size as f64 - 1e-9 {
            self.breach("least_coverage", format!("{about}: {} of {size}", services.len()));
        }
    }

    /// Holds the extra arrivals at each service against their bound, which is for any span of time: from
    /// each earlier call to this one.
    pub fn judge_extra(&mut self, deployment: &Deployment) {
        let mut arrivals: IndexMap<CompactString, (u64, IndexSet<CompactString>)> = IndexMap::new();
        for leaf in &deployment.leafs {
            let ledger = leaf.replica.ledger();
            let row = arrivals.entry(leaf.replica.service.clone()).or_default();
            row.0 += ledger.refused + ledger.runs.values().map(|count| u64::from(*count)).sum::<u64>();
            row.1.extend(ledger.runs.into_keys());
        }
        for (service, (count, names)) in arrivals {
            let extra = count as f64 - names.len() as f64 * (1.0 + EXTRA_RATIO);
            let least = self.least_extra.entry(service.clone()).or_insert(0.0);
            *least = least.min(extra);
            let grown = extra - *least;
            if grown > EXTRA_SLACK && self.over.insert(service.clone()) {
                self.breach("bounded_extra_load", format!("{service}: {grown:.0} more than its part of requests"));
            }
        }
    }

    /// What only the ledgers tell, at the end.
    pub fn judge_ledgers(&mut self, deployment: &Deployment) {
        self.judge_extra(deployment);
        let mut runs: IndexMap<CompactString, u32> = IndexMap::new();
        for leaf in &deployment.leafs {
            let ledger = leaf.replica.ledger();
            self.judge_ledger(&leaf.replica.id, &ledger);
            for (name, count) in ledger.runs {
                *runs.entry(name).or_default() += count;
            }
        }
        for row in std::mem::take(&mut self.rows) {
            let count = runs.get(&row.name).copied().unwrap_or_default();
            if row.kind == Kind::Write && count > 1 {
                self.breach("at_most_once", format!("{} ran {count} times", row.name));
            }
            let is_said_not_run = matches!(row.end, End::Told(408 | 421 | 429 | 503));
            if is_said_not_run && row.kind == Kind::Write && count > 0 {
                self.breach("not_run_means_not_run", format!("{} was told so and ran", row.name));
            }
            self.rows.push(row);
        }
    }

    /// What the nodes say of their own promises.
    pub fn judge_logs(&mut self, deployment: &Deployment) {
        for node in &deployment.nodes {
            let text = std::fs::read_to_string(&node.log).unwrap_or_default();
            for line in text.lines().filter(|line| line.contains("a promise did not hold")) {
                self.breach("own_word", format!("{}: {line}", node.name));
            }
        }
    }

    fn judge_ledger(&mut self, id: &str, ledger: &replica::Ledger) {
        if ledger.unnamed > 0 {
            self.breach("own_request", format!("{id} got {} requests without a name", ledger.unnamed));
        }
    }

    /// How requests ended, by kind and end.
    pub fn summary(&self) -> IndexMap<String, usize> {
        let mut counts = IndexMap::new();
        for row in &self.rows {
            let end = match &row.end {
                End::Served { missing: 0, .. } => "served".to_owned(),
                End::Served { .. } => "served in part".to_owned(),
                End::Told(status) => format!("told {status}"),
                other => format!("{other:?}").to_lowercase(),
            };
            *counts.entry(format!("{} {end}", row.kind.route())).or_default() += 1;
        }
        counts.sort_keys();
        counts
    }

    /// Requests so far.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there was no request yet.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
