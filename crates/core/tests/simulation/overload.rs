//! Load beyond the capacity of the leafs: further classes, phases of load, and the exchange of thresholds between hosts
//! with its faults.

#![allow(dead_code, reason = "each test uses a part of the simulation")]

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;
use rand::Rng;
use shallothub_core::{
    clock, ratio,
    traffic::event,
    urgency::{Threshold, exchange},
    view,
};

use super::{Query, Simulation};

/// Time between two checks whether a host's thresholds are due, in ms.
const CHECK_INTERVAL: u64 = 10;
/// One-way time of a message of thresholds between two hosts, in ms.
const MESSAGE_DELAY: u64 = 20;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub priority: u8,
    /// Mean work at a leaf, in ms.
    pub work: f64,
    pub target_latency: u64,
    pub deadline: u64,
    /// Whether a request goes to one leaf of one shard; otherwise to all shards.
    pub is_single: bool,
    /// Part of the leafs' capacity that its requests need at load 1.
    pub share: f64,
}

/// Further load of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    pub kinds: Vec<Kind>,
    /// Load relative to the capacity of the leafs, each from a time in ms on.
    pub load: Vec<(u64, f64)>,
    /// A host whose callers of a kind send more than at other hosts, by a factor.
    pub group: Option<(usize, usize, f64)>,
    /// A host that sends false figures.
    pub false_host: Option<usize>,
    /// Time in ms in which hosts with odd and with even numbers do not reach each other.
    pub partition: Option<(u64, u64)>,
    /// A time in ms at which the kinds get new priorities.
    pub new_priorities: Option<(u64, Vec<u8>)>,
    /// Whether hosts do not exchange thresholds.
    pub is_unshared: bool,
}

/// The end of one try of a request.
#[derive(Clone, Copy, Debug)]
pub struct End {
    pub kind: usize,
    pub host: usize,
    /// Times of the caller's first try, of this one, and of its end, in ms.
    pub first_at: u64,
    pub at: u64,
    pub ended: u64,
    pub outcome: event::Outcome,
    /// Fraction of the shards in the answer.
    pub coverage: f64,
    /// Whether the caller tries again.
    pub is_retried: bool,
}

#[derive(Debug)]
pub enum Event {
    Request { host: usize, kind: usize, is_sent: bool },
    Check { host: usize },
    Records { host: usize, records: Vec<exchange::Record> },
    NewView,
}

impl super::Plan {
    /// Requests per second of a kind at load 1, over all hosts.
    fn base_rate(&self, kind: &Kind) -> f64 {
        let capacity = (self.shards * self.replicas * self.slots) as f64 * 1000.0;
        let targets = if kind.is_single { 1.0 } else { self.shards as f64 };
        kind.share * capacity / (kind.work * targets)
    }
}

impl Simulation {
    pub(super) fn start_overload(&mut self, has_thresholds: bool) {
        for host in 0..self.plan.hosts {
            for kind in 0..self.plan.overload.kinds.len() {
                self.schedule(0, super::Event::Overload(Event::Request { host, kind, is_sent: false }));
            }
            if has_thresholds {
                self.schedule(CHECK_INTERVAL, super::Event::Overload(Event::Check { host }));
            }
        }
        if let Some((at, _)) = self.plan.overload.new_priorities {
            self.schedule(at, super::Event::Overload(Event::NewView));
        }
    }

    pub(super) fn on_overload(&mut self, event: Event) {
        match event {
            Event::Request { host, kind, is_sent } => self.request_of(host, kind, is_sent),
            Event::Check { host } => self.check(host),
            Event::Records { host, records } => self.exchanges[host].merge(clock::Millis(self.now), records),
            Event::NewView => self.change_priorities(),
        }
    }

    /// Schedules the next request of a kind at a host, and sends the one that is due.
    fn request_of(&mut self, host: usize, kind: usize, is_sent: bool) {
        if self.now > self.plan.seconds * 1000 {
            return;
        }
        let overload = &self.plan.overload;
        let load = overload.load.iter().rev().find(|(from, _)| *from <= self.now).map_or(0.0, |(_, load)| *load);
        let factor = match overload.group {
            Some((group_host, group_kind, factor)) if (group_host, group_kind) == (host, kind) => factor,
            _ => 1.0,
        };
        let rate = self.plan.base_rate(&overload.kinds[kind]) * load * factor / self.plan.hosts as f64;
        // Without load, the next phase may begin at any time.
        let gap = if rate > 0.0 { -1000.0 / rate * (1.0 - self.random.random::<f64>()).ln() } else { f64::MAX };
        let is_next_sent = gap < 100.0;
        let event = Event::Request { host, kind, is_sent: is_next_sent };
        self.schedule(self.now + gap.min(100.0).round() as u64, super::Event::Overload(event));
        if is_sent {
            // Callers of the group stay with its host.
            let home = (factor > 1.0).then_some(host);
            let (now, kind) = (self.now, Some(kind));
            let query = Query { first_at: now, at: now, is_light: false, kind, home, retries: 0 };
            self.send_request(host, query);
        }
    }

    fn check(&mut self, host: usize) {
        self.schedule(self.now + CHECK_INTERVAL, super::Event::Overload(Event::Check { host }));
        let now = clock::Millis(self.now);
        if !self.exchanges[host].advance(now) {
            return;
        }
        let states = Arc::clone(self.exchanges[host].states());
        self.step(host, event::Input::Urgency(states));
        let mut records = self.exchanges[host].records(now);
        if records.is_empty() || self.plan.overload.is_unshared {
            return;
        }
        if self.plan.overload.false_host == Some(host) {
            for vote in &mut records[0].votes {
                (vote.threshold, vote.waits, vote.wait) = (Threshold::new(0.0), 1_000_000, clock::Millis(100_000));
            }
        }
        for _ in 0..exchange::FANOUT {
            let to = self.random.random_range(0..self.plan.hosts);
            let is_separated = self
                .plan
                .overload
                .partition
                .is_some_and(|(from, until)| (from..until).contains(&self.now) && to % 2 != host % 2);
            self.outcome.messages = (self.outcome.messages.0 + 1, self.now);
            if !is_separated {
                let event = Event::Records { host: to, records: records.clone() };
                self.schedule(self.now + MESSAGE_DELAY, super::Event::Overload(event));
            }
        }
    }

    fn change_priorities(&mut self) {
        let Some((_, priorities)) = self.plan.overload.new_priorities.clone() else {
            return;
        };
        for (kind, priority) in self.plan.overload.kinds.iter_mut().zip(priorities) {
            kind.priority = priority;
        }
        for host in 0..self.plan.hosts {
            let mut view = super::view(&self.plan, host);
            view.stamp.version += 1;
            view.hosts_revision.version += 1;
            self.step(host, event::Input::View(Arc::new(view)));
        }
    }

    pub(super) fn on_end(&mut self, host: usize, query: Query, answer: &event::Answer) {
        let Some(kind) = query.kind else {
            return;
        };
        let is_answered = answer.outcome == event::Outcome::Answered;
        let relayed = answer.contributed.first().and_then(|(_, attempt)| self.relayed_shards.get(&(host, *attempt)));
        let contributed = relayed.copied().unwrap_or(answer.contributed.len());
        let targets = if self.plan.overload.kinds[kind].is_single { 1 } else { self.plan.shards };
        let is_retried = !is_answered && self.retry(query, answer.retry_after);
        self.outcome.ends.push(End {
            kind,
            host,
            first_at: query.first_at,
            at: query.at,
            ended: self.now,
            outcome: answer.outcome,
            coverage: if is_answered { contributed as f64 / targets as f64 } else { 0.0 },
            is_retried,
        });
    }
}

/// Adds the classes of the kinds, as variants of `class`.
pub(super) fn add_classes(plan: &super::Plan, class: &view::Class, classes: &mut IndexMap<CompactString, view::Class>) {
    if !plan.overload.kinds.is_empty() {
        classes.clear();
    }
    for kind in &plan.overload.kinds {
        let mut class = view::Class {
            name: CompactString::const_new(kind.name),
            deadline: clock::Millis(kind.deadline),
            target_latency: Some(clock::Millis(kind.target_latency)),
            priority: kind.priority,
            ..class.clone()
        };
        if kind.is_single {
            class.least_coverage = ratio::Ratio::ONE;
            class.branches = class.branches[0]
                .targets
                .iter()
                .map(|target| view::Branch { weight: 1.0, targets: vec![target.clone()] })
                .collect();
        }
        classes.insert(class.name.clone(), class);
    }
}

/// Figures of the requests of a kind that were sent first within a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub requests: u64,
    pub in_time: u64,
    pub answered: u64,
    /// Tries, and those of them that did run.
    pub tries: u64,
    pub admitted: u64,
    /// Longest time to an answer that a try did not run.
    pub longest_rejection: u64,
    /// Number of such answers after more than 10 ms.
    pub late_rejections: u64,
    /// Work in answers, in ms of slots.
    pub work: f64,
}

impl super::Outcome {
    /// Figures of a kind at the hosts for which `is_counted`.
    pub fn figures(
        &self,
        plan: &super::Plan,
        kind: usize,
        span: std::ops::Range<u64>,
        is_counted: impl Fn(usize) -> bool,
    ) -> Figures {
        let mut figures = Figures::default();
        let class = &plan.overload.kinds[kind];
        let targets = if class.is_single { 1.0 } else { plan.shards as f64 };
        for end in &self.ends {
            if end.kind != kind || !is_counted(end.host) {
                continue;
            }
            if span.contains(&end.ended) {
                figures.work += end.coverage * class.work * targets;
            }
            if !span.contains(&end.first_at) {
                continue;
            }
            figures.requests += u64::from(!end.is_retried);
            figures.tries += 1;
            if end.outcome == event::Outcome::NotRun {
                let took = end.ended - end.at;
                figures.longest_rejection = figures.longest_rejection.max(took);
                figures.late_rejections += u64::from(took > 10);
                continue;
            }
            figures.admitted += 1;
            if end.outcome == event::Outcome::Answered {
                figures.answered += 1;
                figures.in_time += u64::from(end.ended - end.first_at <= class.target_latency);
            }
        }
        figures
    }
}
