//! A traffic core's state of a server, from its own measurements.

use std::collections::VecDeque;

use crate::{clock, id, ratio, view};

use super::{estimate, event, policy, suspect, warm_up};

/// Weight of the newest sample in the moving averages of slowness and failure rate.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Slowness of a server with typical latency for its class, and of one without samples.
const BASELINE_SLOWNESS: f64 = 1.0;
/// Upper bound of one slowness sample, so that a single stall does not exclude a server for long.
const MAX_SLOWNESS: f64 = 20.0;
/// Time in which old samples lose half of their weight, in ms. An avoided server yields no samples, so without
/// the decay it would be avoided forever.
const SAMPLE_HALF_LIFE: f64 = 3000.0;
/// Factor by which the expected latency grows if every attempt fails: the attempt is lost, another one needs a
/// budget token, and most of the caller's timeout may be used up.
const FAILURE_PENALTY: f64 = 8.0;
/// Initial concurrency limit of a cold server, also the lower bound; grows by one with each success.
const COLD_LIMIT: f64 = 1.0;
/// Factor on the concurrency limit after a shed.
const SHED_FACTOR: f64 = 0.7;
/// Factor on the concurrency limit when the server's queue is long.
const QUEUE_FACTOR: f64 = 0.8;
/// Pause after a shed without a retry-after.
const DEFAULT_SHED_PAUSE: clock::Millis = clock::Millis(10);
/// Upper bound of the pause after a shed, against servers that report a wrong retry-after.
const MAX_SHED_PAUSE: clock::Millis = clock::Millis(1000);
/// Maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Maximum number of doublings of the time that a silent server is avoided.
const MAX_SILENCE_DOUBLINGS: u32 = 4;
/// Number of sends to a server for which a waiting priority may be passed over by more urgent ones. Each waiting
/// priority gets at least one send in 17, so that strict priority does not starve any while all are waiting.
const MAX_PASSED_OVER: u8 = 16;
/// Half-life of a reported load, in ms.
const LOAD_HALF_LIFE: f64 = 200.0;

/// A shard of a query that waits for capacity at a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    pub(crate) query: id::Query,
    pub(crate) shard_index: u32,
    pub(crate) since: clock::Millis,
}

/// A row of the server table.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    /// Attempts in flight; each holds one connection.
    pub(crate) inflight: u32,
    /// This core's share of the server's connections.
    pub(crate) share: u32,
    /// Number of requests that the server runs concurrently.
    pub(crate) slots: u32,
    pub(crate) incarnation: u64,
    pub(crate) snapshots: [Option<view::Snapshot>; 2],
    pub(crate) waiting: [VecDeque<Wait>; view::Class::PRIORITIES],
    /// How often in a row each waiting priority was passed over by more urgent ones.
    passed_over: [u8; view::Class::PRIORITIES],
    pub(crate) ejected_until: clock::Millis,
    /// Another server answered at its address; no requests are sent until its listed address or incarnation
    /// changes, or it is removed from the view.
    pub(crate) is_replaced: bool,
    /// When its listed address last changed. Misdirected replies to requests sent until then do not set
    /// `is_replaced`.
    pub(crate) address_since: clock::Millis,
    /// Request limit while the server warms up.
    pub(crate) warm_up: warm_up::WarmUp,
    /// Whether its data centre is evacuated.
    is_evacuated: bool,
    /// Requests that were lost at the server.
    pub(crate) losses: suspect::Losses,
    /// State of the connection probe that checks whether the server is alive.
    pub(crate) probe: suspect::Probe,
    /// Until when the server is avoided because attempts were silent, and how often in a row that happened.
    silent_until: clock::Millis,
    consecutive_silences: u32,
    /// When the server last sent anything.
    last_active: clock::Millis,
    limit: f64,
    /// When the limit was last cut because of the server's queue.
    decreased_at: clock::Millis,
    /// Moving average of the reply time, relative to the class's median.
    slowness: f64,
    /// Moving average of attempts that were refused, failed or lost: 0 for none, 1 for all.
    failure_rate: f64,
    /// When the two averages were last updated.
    sampled_at: clock::Millis,
    answers: u64,
    /// Results of recent attempts, for estimates.
    pub(crate) samples: estimate::Samples,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    shed_until: clock::Millis,
    load: f64,
    load_at: clock::Millis,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            inflight: 0,
            share: 0,
            slots: 1,
            incarnation: 0,
            snapshots: [None; 2],
            waiting: Default::default(),
            passed_over: [0; view::Class::PRIORITIES],
            ejected_until: clock::Millis::ZERO,
            is_replaced: false,
            address_since: clock::Millis::ZERO,
            warm_up: warm_up::WarmUp::default(),
            is_evacuated: false,
            losses: suspect::Losses::default(),
            probe: suspect::Probe::default(),
            silent_until: clock::Millis::ZERO,
            consecutive_silences: 0,
            last_active: clock::Millis::ZERO,
            limit: COLD_LIMIT,
            decreased_at: clock::Millis::ZERO,
            slowness: BASELINE_SLOWNESS,
            failure_rate: 0.0,
            sampled_at: clock::Millis::ZERO,
            answers: 0,
            samples: estimate::Samples::default(),
            consecutive_failures: 0,
            consecutive_ejections: 0,
            shed_until: clock::Millis::ZERO,
            load: 0.0,
            load_at: clock::Millis::ZERO,
        }
    }
}

impl Server {
    /// Resets the measurements when the server returns under a new incarnation: its cache is cold and its index
    /// may differ. In-flight and queued work stays counted.
    pub(crate) fn restart(&mut self, incarnation: u64) {
        let reset = Self {
            inflight: self.inflight,
            share: self.share,
            slots: self.slots,
            incarnation,
            waiting: std::mem::take(&mut self.waiting),
            probe: self.probe,
            ..Self::default()
        };
        *self = reset;
    }

    pub(crate) fn has_capacity(&self, now: clock::Millis) -> bool {
        self.ready_at(now) <= now && self.inflight < self.share.min(self.limit as u32)
    }

    /// When the server's pause after a shed and its warm-up allow the next attempt.
    pub(crate) fn ready_at(&self, now: clock::Millis) -> clock::Millis {
        self.shed_until.max(self.warm_up.next_at(now).unwrap_or(clock::Millis::MAX))
    }

    /// Whether this host may not send it any requests while it warms up.
    pub(crate) fn is_blocked(&self, now: clock::Millis) -> bool {
        self.warm_up.next_at(now).is_none()
    }

    /// Sets whether its data centre is evacuated. Returns `true` if the evacuation has just ended: the
    /// measurements are out of date then and are reset, so that load returns gradually.
    pub(crate) fn set_evacuated(&mut self, is_evacuated: bool) -> bool {
        let is_reinstated = self.is_evacuated && !is_evacuated;
        self.is_evacuated = is_evacuated;
        if is_reinstated {
            self.limit = COLD_LIMIT;
            self.answers = 0;
            self.slowness = BASELINE_SLOWNESS;
            self.failure_rate = 0.0;
            self.samples = estimate::Samples::default();
        }
        is_reinstated
    }

    pub(crate) fn is_ejected(&self, now: clock::Millis) -> bool {
        self.ejected_until > now
    }

    /// Whether it was ejected and has not answered since.
    pub(crate) fn was_ejected(&self) -> bool {
        self.consecutive_ejections > 0
    }

    pub(crate) fn is_silent(&self, now: clock::Millis) -> bool {
        self.silent_until > now
    }

    /// Marks the server as silent after an attempt without a reply for longer than most. All queries avoid it
    /// until it sends something, or for a pause that doubles with each consecutive silence. Returns the pause
    /// if it begins now.
    pub(crate) fn mark_silent(&mut self, now: clock::Millis, base: clock::Millis) -> Option<clock::Millis> {
        if base == clock::Millis::ZERO || self.is_silent(now) {
            return None;
        }
        let pause = clock::Millis(base.0 << self.consecutive_silences.min(MAX_SILENCE_DOUBLINGS));
        self.silent_until = now + pause;
        self.consecutive_silences += 1;
        Some(pause)
    }

    /// Records that the server sent something, of whatever kind.
    pub(crate) fn on_activity(&mut self, now: clock::Millis) {
        self.last_active = now;
        self.silent_until = clock::Millis::ZERO;
        self.consecutive_silences = 0;
    }

    /// Removes the next shard to send: the first of the most urgent priority, or of one that was passed over too often
    /// if `has_guarantee`.
    pub(crate) fn pop_waiting(&mut self, has_guarantee: bool) -> Option<Wait> {
        let is_due = |priority: &usize| {
            has_guarantee && self.passed_over[*priority] >= MAX_PASSED_OVER && !self.waiting[*priority].is_empty()
        };
        let due = (0..view::Class::PRIORITIES).find(is_due);
        let next = due.or_else(|| self.waiting.iter().position(|queue| !queue.is_empty()))?;
        self.passed_over[next] = 0;
        for priority in next + 1..view::Class::PRIORITIES {
            let is_waiting = !self.waiting[priority].is_empty();
            self.passed_over[priority] = if is_waiting { self.passed_over[priority].saturating_add(1) } else { 0 };
        }
        self.waiting[next].pop_front()
    }

    /// Number of shards queued here ahead of a new one of `priority`.
    pub(crate) fn waiting_ahead(&self, priority: usize) -> usize {
        self.waiting.iter().take(priority + 1).map(VecDeque::len).sum()
    }

    /// Expected wait of a shard behind `ahead` others, where `median` is the median attempt time.
    pub(crate) fn expected_wait(&self, ahead: usize, median: clock::Millis) -> clock::Millis {
        let rounds = (ahead + 1) as f64 / self.limit.min(f64::from(self.share)).max(1.0);
        median.scale(rounds * self.slowness.max(BASELINE_SLOWNESS))
    }

    /// Whether it sent anything after `since`.
    pub(crate) fn was_active_since(&self, since: clock::Millis) -> bool {
        self.last_active > since
    }

    pub(crate) fn waiting_len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Expected reply time of a new attempt, relative to the class's median; lower is better.
    pub(crate) fn score(&self, now: clock::Millis, load_weight: f64) -> f64 {
        let queue = (u64::from(self.inflight) + self.waiting_len() as u64 + 1) as f64;
        let weight = self.sample_weight(now);
        let slowness = BASELINE_SLOWNESS + (self.slowness - BASELINE_SLOWNESS) * weight;
        (queue + self.reported_load(now, load_weight))
            * slowness.max(0.1)
            * (1.0 + FAILURE_PENALTY * self.failure_rate * weight)
    }

    fn reported_load(&self, now: clock::Millis, load_weight: f64) -> f64 {
        let age = now.since(self.load_at).0 as f64;
        load_weight * self.load * (0.5_f64).powf(age / LOAD_HALF_LIFE)
    }

    /// This host's attempts in flight, and the reported load by its weight.
    pub(crate) fn load(&self, now: clock::Millis, load_weight: f64) -> f64 {
        f64::from(self.inflight) + self.reported_load(now, load_weight)
    }

    /// Remaining weight of the samples.
    fn sample_weight(&self, now: clock::Millis) -> f64 {
        (0.5_f64).powf(now.since(self.sampled_at).0 as f64 / SAMPLE_HALF_LIFE)
    }

    fn add_sample(&mut self, now: clock::Millis, slowness: Option<f64>, failure: f64) {
        let weight = self.sample_weight(now);
        self.slowness = BASELINE_SLOWNESS + (self.slowness - BASELINE_SLOWNESS) * weight;
        self.failure_rate *= weight;
        self.sampled_at = now;
        self.failure_rate += SAMPLE_WEIGHT * (failure - self.failure_rate);
        if let Some(sample) = slowness {
            self.slowness += SAMPLE_WEIGHT * (sample.min(MAX_SLOWNESS) - self.slowness);
        }
    }

    /// Estimated probability that an attempt is refused, fails or is lost.
    pub(crate) fn failure_probability(&self, now: clock::Millis) -> f64 {
        self.failure_rate * self.sample_weight(now)
    }

    pub(crate) fn has_snapshot(&self, snapshot: view::Snapshot) -> bool {
        self.snapshots.contains(&Some(snapshot))
    }

    /// Records an answer after `took`; `median` is the median attempt time of the class.
    pub(crate) fn on_answer(
        &mut self,
        now: clock::Millis,
        took: clock::Millis,
        median: clock::Millis,
        answer: &event::Part,
    ) {
        self.add_sample(now, Some(ratio(took, median)), 0.0);
        self.samples.record_answer(now, ratio(took, median));
        self.answers += 1;
        self.consecutive_failures = 0;
        self.consecutive_ejections = 0;
        self.ejected_until = clock::Millis::ZERO;
        self.adapt_limit(now, median, answer.queue);
        if let Some(load) = answer.load {
            self.load = f64::from(load);
            self.load_at = now;
        }
    }

    /// Cuts the limit of a server whose queue is longer than the number of requests it runs concurrently:
    /// requests in its queue wait behind those of all hosts, requests queued here are sent by priority.
    fn adapt_limit(&mut self, now: clock::Millis, median: clock::Millis, queue: Option<u32>) {
        let queue = queue.unwrap_or_default();
        if queue == 0 {
            self.grow_limit();
            return;
        }
        let is_long = queue > self.slots;
        if is_long && now.since(self.decreased_at) >= median {
            self.decreased_at = now;
            self.limit = (self.limit * QUEUE_FACTOR).max(COLD_LIMIT);
        }
    }

    /// Slow start doubles a cold server's limit each round; later it grows by one a round.
    fn grow_limit(&mut self) {
        let step = if self.answers < 16 { 1.0 } else { 1.0 / self.limit };
        self.limit = (self.limit + step).min(f64::from(self.share.max(1)));
    }

    pub(crate) fn on_shed(&mut self, now: clock::Millis, retry_after: Option<clock::Millis>) {
        self.add_sample(now, None, 1.0);
        self.samples.record_failure(now);
        self.limit = (self.limit * SHED_FACTOR).max(COLD_LIMIT);
        let pause = retry_after.unwrap_or(DEFAULT_SHED_PAUSE).min(MAX_SHED_PAUSE);
        self.shed_until = self.shed_until.max(now + pause);
    }

    /// Records an attempt that was cancelled after `took`, which is a lower bound of its latency.
    pub(crate) fn on_cancel(&mut self, now: clock::Millis, took: clock::Millis, median: clock::Millis) {
        let sample = ratio(took, median);
        self.samples.record_cancel(now, sample);
        if sample > self.slowness {
            self.add_sample(now, Some(sample), 0.0);
        }
    }

    /// Records a failure; returns `true` if the server should now be ejected.
    pub(crate) fn on_failure(&mut self, now: clock::Millis, policy: &policy::Policy) -> bool {
        self.add_sample(now, None, 1.0);
        self.samples.record_failure(now);
        self.consecutive_failures += 1;
        self.limit = (self.limit * SHED_FACTOR).max(COLD_LIMIT);
        policy.ejection && self.consecutive_failures >= policy.ejection_failures
    }

    /// Ejects the server. Afterwards one attempt may probe it: `limit` is one until it answers, and a further
    /// failure ejects it for twice as long.
    pub(crate) fn eject(&mut self, now: clock::Millis, base: clock::Millis) {
        let factor = 1_u64 << self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + clock::Millis(base.0 * factor);
        self.consecutive_ejections += 1;
        self.limit = COLD_LIMIT;
        self.answers = 0;
    }
}

fn ratio(took: clock::Millis, median: clock::Millis) -> f64 {
    took.0 as f64 / median.0.max(1) as f64
}

/// Whether one more of `total` servers may be ejected when `ejected` are already.
pub(crate) fn may_eject(ejected: usize, total: usize, ceiling: ratio::Ratio) -> bool {
    (ejected + 1) as f64 <= ceiling.get() * total as f64
}
