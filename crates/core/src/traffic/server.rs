//! What a traffic core knows of a backend server from its own evidence.

use std::collections::VecDeque;

use crate::{clock, id, ratio, view};

use super::{event, policy, suspect, warm_up};

/// Weight of the newest sample in the moving averages of slowness and trouble.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Slowness of a server that answers as fast as its class usually does, and of one without evidence.
const USUAL: f64 = 1.0;
/// Most slowness that one sample may show: a single stall must not hide a server for long.
const SLOWNESS_MOST: f64 = 20.0;
/// Time in which evidence that is not renewed loses half of its weight, in ms. A server that is
/// passed over gives no evidence, so without this it would be passed over for ever.
const EVIDENCE_HALF_LIFE: f64 = 3000.0;
/// How many times longer an answer takes from a server where every attempt fails: the attempt is
/// lost, another one has to be paid for, and most of a caller's time may be gone.
const TROUBLE_COST: f64 = 8.0;
/// Concurrency at which a cold server starts; it grows by one with each success.
const COLD_LIMIT: f64 = 1.0;
/// What a shed leaves of the concurrency.
const SHED_CUT: f64 = 0.7;
/// What a long queue at the server leaves of the concurrency.
const QUEUE_CUT: f64 = 0.8;
/// Pause after a shed that names none.
const SHED_PAUSE: clock::Millis = clock::Millis(10);
/// Longest pause that a shed may ask for: a server that lies about it is asked again.
const SHED_PAUSE_MAX: clock::Millis = clock::Millis(1000);
/// Most doublings of the time out of use.
const EJECTION_DOUBLINGS: u32 = 5;
/// Most doublings of the time that a silent server is passed over.
const SILENCE_DOUBLINGS: u32 = 4;
/// Age at which a reported load counts half, in ms.
const LOAD_HALF_LIFE: f64 = 200.0;

/// A shard of a query that waits for a server to have room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    pub(crate) query: id::Query,
    pub(crate) part: u32,
}

/// One row of the table of servers.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    /// Attempts in flight; each holds one connection.
    pub(crate) inflight: u32,
    /// This core's share of the server's connections.
    pub(crate) share: u32,
    /// Requests that the server runs at once.
    pub(crate) slots: u32,
    pub(crate) incarnation: u64,
    pub(crate) holds: [Option<view::Snapshot>; 2],
    pub(crate) waiting: [VecDeque<Wait>; view::Class::PRIORITIES],
    pub(crate) ejected_until: clock::Millis,
    /// Another server answered at its address; no requests are sent until its listed address or incarnation changes, or
    /// it is removed from the view.
    pub(crate) is_replaced: bool,
    /// When its listed address last changed. Misdirected replies to requests sent until then do not set `is_replaced`.
    pub(crate) address_since: clock::Millis,
    /// How little it gets while it warms up.
    pub(crate) warm_up: warm_up::WarmUp,
    /// Its data centre is evacuated.
    is_evacuated: bool,
    /// Requests that were lost there.
    pub(crate) losses: suspect::Losses,
    /// Whether a connection is opened to learn whether it lives.
    pub(crate) probe: suspect::Probe,
    /// Until when it is passed over because attempts were silent, and how often in a row.
    silent_until: clock::Millis,
    silences: u32,
    /// When it last said anything.
    word_at: clock::Millis,
    limit: f64,
    /// When the concurrency was last cut for the server's queue.
    cut_at: clock::Millis,
    /// Moving average of the time to an answer, relative to what is usual in the class.
    slowness: f64,
    /// Moving average of attempts that were refused, failed or lost: 0 for none, 1 for all.
    trouble: f64,
    /// When the two averages were last brought up to date.
    evidence_at: clock::Millis,
    answered: u64,
    failures: u32,
    ejections: u32,
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
            holds: [None; 2],
            waiting: Default::default(),
            ejected_until: clock::Millis::ZERO,
            is_replaced: false,
            address_since: clock::Millis::ZERO,
            warm_up: warm_up::WarmUp::default(),
            is_evacuated: false,
            losses: suspect::Losses::default(),
            probe: suspect::Probe::default(),
            silent_until: clock::Millis::ZERO,
            silences: 0,
            word_at: clock::Millis::ZERO,
            limit: COLD_LIMIT,
            cut_at: clock::Millis::ZERO,
            slowness: USUAL,
            trouble: 0.0,
            evidence_at: clock::Millis::ZERO,
            answered: 0,
            failures: 0,
            ejections: 0,
            shed_until: clock::Millis::ZERO,
            load: 0.0,
            load_at: clock::Millis::ZERO,
        }
    }
}

impl Server {
    /// Forgets what was learned, when the server comes back under a new incarnation: its cache is
    /// cold and its index may be another. What is in flight and waiting stays counted.
    pub(crate) fn restart(&mut self, incarnation: u64) {
        let fresh = Self {
            inflight: self.inflight,
            share: self.share,
            slots: self.slots,
            incarnation,
            waiting: std::mem::take(&mut self.waiting),
            probe: self.probe,
            ..Self::default()
        };
        *self = fresh;
    }

    pub(crate) fn has_room(&self, now: clock::Millis) -> bool {
        self.ready_at(now) <= now && self.inflight < self.share.min(self.limit as u32)
    }

    /// When the next attempt may be sent, as far as the server has a say in it.
    pub(crate) fn ready_at(&self, now: clock::Millis) -> clock::Millis {
        self.shed_until.max(self.warm_up.next_at(now).unwrap_or(clock::Millis::MAX))
    }

    /// Whether this host may send it anything in the time to come.
    pub(crate) fn is_barred(&self, now: clock::Millis) -> bool {
        self.warm_up.next_at(now).is_none()
    }

    /// Takes whether its data centre is evacuated. `true` if that has just ended: what was learned of it is of
    /// another time, and it gets its load back by and by.
    pub(crate) fn set_evacuated(&mut self, is_evacuated: bool) -> bool {
        let is_back = self.is_evacuated && !is_evacuated;
        self.is_evacuated = is_evacuated;
        if is_back {
            self.limit = COLD_LIMIT;
            self.answered = 0;
            self.slowness = USUAL;
            self.trouble = 0.0;
        }
        is_back
    }

    pub(crate) fn is_ejected(&self, now: clock::Millis) -> bool {
        self.ejected_until > now
    }

    /// Whether it was left out and has not answered since.
    pub(crate) fn was_ejected(&self) -> bool {
        self.ejections > 0
    }

    pub(crate) fn is_silent(&self, now: clock::Millis) -> bool {
        self.silent_until > now
    }

    /// An attempt has been silent for longer than most. The server is passed over by all queries
    /// until it speaks, or for a pause that doubles each time that an attempt after it is silent too.
    /// The pause, if it begins now.
    pub(crate) fn note_silent(&mut self, now: clock::Millis, base: clock::Millis) -> Option<clock::Millis> {
        if base == clock::Millis::ZERO || self.is_silent(now) {
            return None;
        }
        let pause = clock::Millis(base.0 << self.silences.min(SILENCE_DOUBLINGS));
        self.silent_until = now + pause;
        self.silences += 1;
        Some(pause)
    }

    /// The server said something, whatever it was.
    pub(crate) fn on_word(&mut self, now: clock::Millis) {
        self.word_at = now;
        self.silent_until = clock::Millis::ZERO;
        self.silences = 0;
    }

    /// Shards that wait here and go before one of `priority`.
    pub(crate) fn waiting_ahead(&self, priority: usize) -> usize {
        self.waiting.iter().take(priority + 1).map(VecDeque::len).sum()
    }

    /// How long a shard waits behind `ahead` others, if attempts usually take `usual`.
    pub(crate) fn expected_wait(&self, ahead: usize, usual: clock::Millis) -> clock::Millis {
        let rounds = (ahead + 1) as f64 / self.limit.min(f64::from(self.share)).max(1.0);
        usual.scale(rounds * self.slowness.max(USUAL))
    }

    /// Whether it said anything after `since`.
    pub(crate) fn spoke_since(&self, since: clock::Millis) -> bool {
        self.word_at > since
    }

    pub(crate) fn waiting_len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Expected time to an answer if asked now, relative to what is usual; smaller is better.
    pub(crate) fn score(&self, now: clock::Millis, load_weight: f64) -> f64 {
        let queue = (u64::from(self.inflight) + self.waiting_len() as u64 + 1) as f64;
        let age = now.since(self.load_at).0 as f64;
        let hint = load_weight * self.load * (0.5_f64).powf(age / LOAD_HALF_LIFE);
        let left = self.evidence_left(now);
        let slowness = USUAL + (self.slowness - USUAL) * left;
        (queue + hint) * slowness.max(0.1) * (1.0 + TROUBLE_COST * self.trouble * left)
    }

    /// What is left of the weight of the evidence.
    fn evidence_left(&self, now: clock::Millis) -> f64 {
        (0.5_f64).powf(now.since(self.evidence_at).0 as f64 / EVIDENCE_HALF_LIFE)
    }

    fn add_evidence(&mut self, now: clock::Millis, slowness: Option<f64>, trouble: f64) {
        let left = self.evidence_left(now);
        self.slowness = USUAL + (self.slowness - USUAL) * left;
        self.trouble *= left;
        self.evidence_at = now;
        self.trouble += SAMPLE_WEIGHT * (trouble - self.trouble);
        if let Some(sample) = slowness {
            self.slowness += SAMPLE_WEIGHT * (sample.min(SLOWNESS_MOST) - self.slowness);
        }
    }

    pub(crate) fn holds(&self, snapshot: view::Snapshot) -> bool {
        self.holds.contains(&Some(snapshot))
    }

    /// It answered after `took`; `usual` is what attempts of the class usually take.
    pub(crate) fn on_answer(
        &mut self,
        now: clock::Millis,
        took: clock::Millis,
        usual: clock::Millis,
        part: &event::Part,
    ) {
        self.add_evidence(now, Some(ratio(took, usual)), 0.0);
        self.answered += 1;
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = clock::Millis::ZERO;
        self.adapt(now, usual, part.queue);
        if let Some(load) = part.load {
            self.load = f64::from(load);
            self.load_at = now;
        }
    }

    /// A server whose queue is longer than what it runs at once gets less from here: what waits there
    /// waits behind everybody's requests, and what waits here goes by priority.
    fn adapt(&mut self, now: clock::Millis, usual: clock::Millis, queue: Option<u32>) {
        let queue = queue.unwrap_or_default();
        if queue == 0 {
            self.grow();
            return;
        }
        let is_long = queue > self.slots;
        if is_long && now.since(self.cut_at) >= usual {
            self.cut_at = now;
            self.limit = (self.limit * QUEUE_CUT).max(COLD_LIMIT);
        }
    }

    /// Slow start doubles a cold server's concurrency each round; later it grows by one a round.
    fn grow(&mut self) {
        let step = if self.answered < 16 { 1.0 } else { 1.0 / self.limit };
        self.limit = (self.limit + step).min(f64::from(self.share.max(1)));
    }

    pub(crate) fn on_shed(&mut self, now: clock::Millis, retry_after: Option<clock::Millis>) {
        self.add_evidence(now, None, 1.0);
        self.limit = (self.limit * SHED_CUT).max(COLD_LIMIT);
        let pause = retry_after.unwrap_or(SHED_PAUSE).min(SHED_PAUSE_MAX);
        self.shed_until = self.shed_until.max(now + pause);
    }

    /// An attempt was given up after `took`: it would have taken at least that.
    pub(crate) fn on_silence(&mut self, now: clock::Millis, took: clock::Millis, usual: clock::Millis) {
        let sample = ratio(took, usual);
        if sample > self.slowness {
            self.add_evidence(now, Some(sample), 0.0);
        }
    }

    /// Counts a failure; `true` if the server should now be left out for a while.
    pub(crate) fn on_failure(&mut self, now: clock::Millis, policy: &policy::Policy) -> bool {
        self.add_evidence(now, None, 1.0);
        self.failures += 1;
        self.limit = (self.limit * SHED_CUT).max(COLD_LIMIT);
        policy.ejection && self.failures >= policy.ejection_failures
    }

    /// Leaves the server out. When the time is over one attempt may try it: `limit` is one until it
    /// answers, and a further failure ejects it again for twice as long.
    pub(crate) fn eject(&mut self, now: clock::Millis, base: clock::Millis) {
        let factor = 1_u64 << self.ejections.min(EJECTION_DOUBLINGS);
        self.ejected_until = now + clock::Millis(base.0 * factor);
        self.ejections += 1;
        self.limit = COLD_LIMIT;
        self.answered = 0;
    }
}

fn ratio(took: clock::Millis, usual: clock::Millis) -> f64 {
    took.0 as f64 / usual.0.max(1) as f64
}

/// Whether one more of `total` servers may be out when `out` are already.
pub(crate) fn may_eject(out: usize, total: usize, ceiling: ratio::Ratio) -> bool {
    (out + 1) as f64 <= ceiling.get() * total as f64
}
