//! Admission by class: how many queries run at once, and which are refused at once.
//!
//! Additive increase, multiplicative decrease on the time that queries take: while runs stay inside
//! the latency target the limit grows by one a round; a run that exceeds it, or ends without an
//! answer, cuts the limit, at most once a round. A request that could not be served in time is
//! refused when it comes, with the time after which the queue will have drained.

use std::collections::VecDeque;

use compact_str::CompactString;

use crate::{budget, clock, id, route, window};

use super::policy;

const START_LIMIT: f64 = 16.0;
const CUT: f64 = 0.8;
const LEAST_LIMIT: f64 = 1.0;
const INTERVAL_WEIGHT: f64 = 0.05;
/// What an attempt takes before there is a sample.
const ATTEMPT_PRIOR: clock::Millis = clock::Millis(10);
/// Shortest time between two cuts.
const CUT_PAUSE: clock::Millis = clock::Millis(50);
/// Shortest time to come back that is ever named.
const RETRY_AFTER_LEAST: clock::Millis = clock::Millis(20);
/// Longest, so that a caller notices the end of an overload.
const RETRY_AFTER_MOST: clock::Millis = clock::Millis(2000);

/// How long the most patience of callers is remembered at least; then a change to less is noticed.
const PATIENCE_SPAN: clock::Millis = clock::Millis(10_000);

/// The most patience that callers of a class had lately, in two spans of time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Patience {
    most: [clock::Millis; 2],
    since: clock::Millis,
}

impl Patience {
    /// Records a caller's patience and returns the most.
    pub(crate) fn most(&mut self, now: clock::Millis, patience: clock::Millis) -> clock::Millis {
        if now.since(self.since) >= PATIENCE_SPAN {
            self.most = [clock::Millis::ZERO, self.most[0]];
            self.since = now;
        }
        self.most[0] = self.most[0].max(patience);
        self.most[0].max(self.most[1])
    }
}

/// One row of the table of classes.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) name: CompactString,
    pub(crate) running: u32,
    pub(crate) queue: VecDeque<id::Query>,
    /// Time from a query's start to its end.
    pub(crate) runs: window::Window,
    /// Time from an attempt's dispatch to its answer.
    pub(crate) attempts: window::Window,
    /// Time from passing a request on to its answer.
    pub(crate) relays: window::Window,
    pub(crate) hedges: budget::Bucket,
    pub(crate) retries: budget::Bucket,
    /// Until when queries pick a snapshot before they start, because replies were mixed.
    pub(crate) rolling_until: clock::Millis,
    /// Distributes requests over the class's alternatives.
    pub(crate) split: route::Split,
    /// The most patience that callers have.
    pub(crate) patience: Patience,
    limit: f64,
    cut_at: clock::Millis,
    ended_at: clock::Millis,
    /// Moving average of the time between two ends of runs, in ms.
    interval: f64,
}

impl Class {
    pub(crate) fn new(name: CompactString, policy: &policy::Policy) -> Self {
        Self {
            name,
            running: 0,
            queue: VecDeque::new(),
            runs: window::Window::default(),
            attempts: window::Window::default(),
            relays: window::Window::default(),
            hedges: budget::Bucket::new(policy.hedge_fraction, policy.burst),
            retries: budget::Bucket::new(policy.retry_fraction, policy.burst),
            rolling_until: clock::Millis::ZERO,
            split: route::Split::default(),
            patience: Patience::default(),
            limit: START_LIMIT,
            cut_at: clock::Millis::ZERO,
            ended_at: clock::Millis::ZERO,
            interval: 1.0,
        }
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit as u32
    }

    pub(crate) fn has_room(&self, policy: &policy::Policy) -> bool {
        let limit = if policy.adaptive_admission { self.limit() } else { policy.running_ceiling };
        self.running < limit
    }

    /// What an attempt usually takes at a backend server, or at another host.
    pub(crate) fn usual_attempt(&self, is_relay: bool) -> clock::Millis {
        let window = if is_relay { &self.relays } else { &self.attempts };
        window.quantile(0.5).unwrap_or(ATTEMPT_PRIOR)
    }

    /// Time in which most attempts end.
    pub(crate) fn slow_attempt(&self) -> clock::Millis {
        self.attempts.quantile(0.8).unwrap_or(ATTEMPT_PRIOR)
    }

    /// Typical time of a run.
    pub(crate) fn typical_run(&self) -> clock::Millis {
        self.runs.quantile(0.5).unwrap_or(clock::Millis(1))
    }

    /// Time in which most runs end.
    pub(crate) fn slow_run(&self) -> clock::Millis {
        self.runs.quantile(0.9).unwrap_or(clock::Millis(1))
    }

    /// Expected wait of a query that joins the queue now.
    pub(crate) fn expected_wait(&self) -> clock::Millis {
        clock::Millis(((self.queue.len() + 1) as f64 * self.interval).ceil() as u64)
    }

    /// When a refused caller should come back.
    pub(crate) fn retry_after(&self) -> clock::Millis {
        let drained = self.expected_wait() + self.typical_run();
        drained.clamp(RETRY_AFTER_LEAST, RETRY_AFTER_MOST)
    }

    /// A run ended after `took`, inside its target or not.
    pub(crate) fn on_end(&mut self, now: clock::Millis, took: clock::Millis, is_good: bool, ceiling: u32) {
        self.observe_interval(now);
        self.runs.record(took);
        if is_good {
            if f64::from(self.running) + 1.0 >= self.limit * 0.8 {
                self.limit = (self.limit + 1.0 / self.limit).min(f64::from(ceiling));
            }
            return;
        }
        if now.since(self.cut_at) < CUT_PAUSE.max(took) {
            return;
        }
        self.cut_at = now;
        self.limit = (self.limit * CUT).max(LEAST_LIMIT);
    }

    /// Only ends while others wait tell the service rate; an idle class ends seldom.
    fn observe_interval(&mut self, now: clock::Millis) {
        let gap = now.since(self.ended_at).0 as f64;
        self.ended_at = now;
        if !self.queue.is_empty() {
            self.interval += INTERVAL_WEIGHT * (gap - self.interval);
        }
    }
}
