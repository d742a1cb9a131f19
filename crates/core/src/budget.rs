//! A token bucket that limits hedges and retries to a fraction of first attempts.
//!
//! Each first attempt earns a fraction of a token, and each hedge or retry spends one. While
//! backend servers fail, few first attempts are admitted, so few tokens are earned and the budget is
//! exhausted: retries cannot amplify an overload. A bucket may also gain tokens over time, for a limit that
//! permits some extra attempts per unit of time regardless of the number of requests.

use crate::clock;

/// Half-life of the average of earned tokens, in ms. A host with one search a second keeps some of them in view, and a
/// rise of demand within a second is noticed.
const EARN_HALF_LIFE: f64 = 2000.0;

/// Frequency of earning from which tokens are waited for, per ms: an estimate of their arrival is right within 10 ms,
/// the time in which a hopeless search must end.
const STEADY_FREQUENCY: f64 = 0.1;

fn decay(age: clock::Millis) -> f64 {
    (0.5_f64).powf(age.0 as f64 / EARN_HALF_LIFE)
}

/// A token bucket: first attempts earn tokens, extra attempts spend them.
#[derive(Clone, Debug)]
pub struct Bucket {
    tokens: f64,
    fraction: f64,
    capacity: f64,
    /// The largest capacity so far; part of the bound on attempts since the start.
    max_capacity: f64,
    /// Tokens gained per ms.
    rate: f64,
    /// Moving averages of the tokens earned and of the times that some were earned, per ms, and when they were last
    /// updated.
    earn_rate: f64,
    earn_frequency: f64,
    earned_at: clock::Millis,
    /// Instant up to which time-based tokens are added, and their total so far.
    filled_at: clock::Millis,
    gained: f64,
    earned: u64,
    spent: u64,
}

impl Bucket {
    /// A bucket that earns `fraction` tokens for each first attempt and holds at most `capacity`.
    /// It starts full, so that attempts that fail soon after a start can be retried.
    pub fn new(fraction: f64, capacity: f64) -> Self {
        Self {
            tokens: capacity,
            fraction,
            capacity,
            max_capacity: capacity,
            rate: 0.0,
            earn_rate: 0.0,
            earn_frequency: 0.0,
            earned_at: clock::Millis::ZERO,
            filled_at: clock::Millis::ZERO,
            gained: 0.0,
            earned: 0,
            spent: 0,
        }
    }

    /// Like [`Bucket::new`], but starts empty. A host may have spent its share just before a restart,
    /// and a limit over a window of time includes the attempts before and after it.
    pub fn empty(fraction: f64, capacity: f64) -> Self {
        Self { tokens: 0.0, ..Self::new(fraction, capacity) }
    }

    /// Changes the capacity; tokens above it are discarded.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.max_capacity = self.max_capacity.max(capacity);
        self.tokens = self.tokens.min(capacity);
    }

    /// Sets the number of tokens gained per ms from `now` on.
    pub fn set_rate(&mut self, now: clock::Millis, rate: f64) {
        self.fill(now);
        self.rate = rate;
    }

    /// Adds the tokens gained since the last call, up to `now`.
    pub fn fill(&mut self, now: clock::Millis) {
        let gain = self.rate * now.since(self.filled_at).0 as f64;
        self.filled_at = self.filled_at.max(now);
        self.gained += gain;
        self.tokens = (self.tokens + gain).min(self.capacity);
    }

    /// Whether at least one token is available.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// The number of tokens.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// The maximum number of tokens.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Tokens that arrive per ms: those gained over time, and the recent average of those earned if some are earned at
    /// least every 10 ms. Rarer ones arrive too irregularly to wait for. The average is up to date only if
    /// [`Bucket::fill`] is called before [`Bucket::earn`].
    pub fn inflow(&self, now: clock::Millis) -> f64 {
        let decay = decay(now.since(self.earned_at));
        let is_steady = self.earn_frequency * decay >= STEADY_FREQUENCY;
        if is_steady { self.rate + self.earn_rate * decay } else { self.rate }
    }

    /// Records `count` first attempts and adds the tokens that they earn.
    pub fn earn(&mut self, count: u64) {
        let earned = self.fraction * count as f64;
        let decay = decay(self.filled_at.since(self.earned_at));
        let weight = std::f64::consts::LN_2 / EARN_HALF_LIFE;
        self.earn_rate = self.earn_rate * decay + earned * weight;
        self.earn_frequency = self.earn_frequency * decay + weight;
        self.earned_at = self.filled_at;
        self.earned += count;
        self.tokens = (self.tokens + self.fraction * count as f64).min(self.capacity);
    }

    /// Spends one token; `false` if none is available.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.spent += 1;
        true
    }

    /// Counts an extra attempt without taking a token; used only by a mutant.
    pub(crate) fn force_spend(&mut self) {
        self.spent += 1;
    }

    /// Returns a token whose extra attempt did not reach a server.
    pub fn refund(&mut self) {
        self.spent = self.spent.saturating_sub(1);
        self.tokens = (self.tokens + 1.0).min(self.capacity);
    }

    /// The number of extra attempts since the start, without refunded ones.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// The number of extra attempts permitted since the start.
    pub fn bound(&self) -> f64 {
        self.fraction * self.earned as f64 + self.max_capacity + self.gained
    }

    /// Whether the extra attempts are within the bound; asserted as `bounded_extra_load`.
    pub fn is_within_bound(&self) -> bool {
        self.spent as f64 <= self.bound() + 1e-6
    }
}
