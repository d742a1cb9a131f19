//! Admission by class: the concurrency limit, the queue, and which requests are refused on arrival.
//!
//! The limit follows additive increase, multiplicative decrease on the run time of queries: it grows by one a
//! round while runs stay within the latency target, and is cut at most once a round when a run exceeds the
//! target or ends without an answer. A request that could not be answered in time is refused on arrival, with
//! the time after which the queue will have drained.

use std::collections::VecDeque;

use compact_str::CompactString;

use crate::{budget, clock, id, route, window};

use super::policy;

const INITIAL_LIMIT: f64 = 16.0;
const DECREASE_FACTOR: f64 = 0.8;
const MIN_LIMIT: f64 = 1.0;
const INTERVAL_WEIGHT: f64 = 0.05;
/// Assumed attempt time before there is a sample.
const DEFAULT_ATTEMPT_TIME: clock::Millis = clock::Millis(10);
/// Minimum time between two decreases of the limit.
const MIN_DECREASE_INTERVAL: clock::Millis = clock::Millis(50);
/// Lower bound of the retry-after sent to callers.
const RETRY_AFTER_MIN: clock::Millis = clock::Millis(20);
/// Upper bound of the retry-after, so that callers notice the end of an overload.
const RETRY_AFTER_MAX: clock::Millis = clock::Millis(2000);

/// Minimum time for which the longest timeout is remembered; a lower maximum takes effect after that.
const TIMEOUT_WINDOW: clock::Millis = clock::Millis(10_000);

/// The longest recent timeout of a class's callers, over two consecutive windows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Timeouts {
    max: [clock::Millis; 2],
    since: clock::Millis,
}

impl Timeouts {
    /// Records a caller's timeout and returns the longest one of both windows.
    pub(crate) fn record(&mut self, now: clock::Millis, timeout: clock::Millis) -> clock::Millis {
        if now.since(self.since) >= TIMEOUT_WINDOW {
            self.max = [clock::Millis::ZERO, self.max[0]];
            self.since = now;
        }
        self.max[0] = self.max[0].max(timeout);
        self.max[0].max(self.max[1])
    }
}

/// A place among the running queries of a class. Only [`Class::begin_run`] hands one out, and [`Class::end_run`] takes it
/// back.
#[derive(Debug)]
pub(crate) struct Run {
    started: clock::Millis,
}

impl Run {
    /// The time at which the query began to run.
    pub(crate) fn started(&self) -> clock::Millis {
        self.started
    }
}

/// A row of the class table.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) name: CompactString,
    running: u32,
    pub(crate) queue: VecDeque<id::Query>,
    /// Time from a query's start to its end.
    pub(crate) run_times: window::Window,
    /// Time from an attempt's dispatch to its reply.
    pub(crate) attempt_times: window::Window,
    /// Time from forwarding a request to another host to its reply.
    pub(crate) relay_times: window::Window,
    pub(crate) hedges: budget::Bucket,
    pub(crate) retries: budget::Bucket,
    /// Queries pick a snapshot before they start until this time, because replies were mixed.
    pub(crate) rollout_until: clock::Millis,
    /// Distributes requests over the class's branches.
    pub(crate) split: route::Split,
    /// The longest recent timeout of callers.
    pub(crate) timeouts: Timeouts,
    limit: f64,
    decreased_at: clock::Millis,
    last_end: clock::Millis,
    /// Moving average of the time between two ends of runs, in ms.
    end_interval: f64,
}

impl Class {
    pub(crate) fn new(name: CompactString, policy: &policy::Policy) -> Self {
        Self {
            name,
            running: 0,
            queue: VecDeque::new(),
            run_times: window::Window::default(),
            attempt_times: window::Window::default(),
            relay_times: window::Window::default(),
            hedges: budget::Bucket::new(policy.hedge_fraction, policy.burst),
            retries: budget::Bucket::new(policy.retry_fraction, policy.burst),
            rollout_until: clock::Millis::ZERO,
            split: route::Split::default(),
            timeouts: Timeouts::default(),
            limit: INITIAL_LIMIT,
            decreased_at: clock::Millis::ZERO,
            last_end: clock::Millis::ZERO,
            end_interval: 1.0,
        }
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// The number of running queries.
    pub(crate) fn running(&self) -> u32 {
        self.running
    }

    pub(crate) fn has_capacity(&self, policy: &policy::Policy) -> bool {
        let limit = if policy.adaptive_admission { self.limit() } else { policy.running_ceiling };
        self.running < limit
    }

    /// Median time of an attempt at a backend server, or at another host if `is_relay`.
    pub(crate) fn median_attempt_time(&self, is_relay: bool) -> clock::Millis {
        let window = if is_relay { &self.relay_times } else { &self.attempt_times };
        window.quantile(0.5).unwrap_or(DEFAULT_ATTEMPT_TIME)
    }

    /// 80th percentile of attempt times.
    pub(crate) fn p80_attempt_time(&self) -> clock::Millis {
        self.attempt_times.quantile(0.8).unwrap_or(DEFAULT_ATTEMPT_TIME)
    }

    /// Median run time.
    pub(crate) fn median_run_time(&self) -> clock::Millis {
        self.run_times.quantile(0.5).unwrap_or(clock::Millis(1))
    }

    /// 90th percentile of run times.
    pub(crate) fn p90_run_time(&self) -> clock::Millis {
        self.run_times.quantile(0.9).unwrap_or(clock::Millis(1))
    }

    /// Expected wait of a query that joins the queue now.
    pub(crate) fn expected_wait(&self) -> clock::Millis {
        clock::Millis(((self.queue.len() + 1) as f64 * self.end_interval).ceil() as u64)
    }

    /// Retry-after for a refused caller.
    pub(crate) fn retry_after(&self) -> clock::Millis {
        let drain_time = self.expected_wait() + self.median_run_time();
        drain_time.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Takes a place for a query that begins to run.
    pub(crate) fn begin_run(&mut self, now: clock::Millis) -> Run {
        self.running += 1;
        Run { started: now }
    }

    /// Takes the place of `run` back, records its time and adjusts the limit, up to `ceiling`.
    pub(crate) fn end_run(&mut self, run: Run, now: clock::Millis, has_met_target: bool, ceiling: u32) {
        self.running -= 1;
        let took = now.since(run.started);
        self.observe_interval(now);
        self.run_times.record(took);
        if has_met_target {
            if f64::from(self.running) + 1.0 >= self.limit * 0.8 {
                self.limit = (self.limit + 1.0 / self.limit).min(f64::from(ceiling));
            }
            return;
        }
        if now.since(self.decreased_at) < MIN_DECREASE_INTERVAL.max(took) {
            return;
        }
        self.decreased_at = now;
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
    }

    /// Samples the interval only while queries are queued: an idle class ends runs too rarely to show its
    /// service rate.
    fn observe_interval(&mut self, now: clock::Millis) {
        let gap = now.since(self.last_end).0 as f64;
        self.last_end = now;
        if !self.queue.is_empty() {
            self.end_interval += INTERVAL_WEIGHT * (gap - self.end_interval);
        }
    }
}
