//! A token budget that bounds extra load to a fraction of useful load.
//!
//! Each first attempt earns a fraction of a token, and each hedge or retry spends one. While
//! backend servers fail, few first attempts are admitted, so little is earned and the budget runs
//! dry: a brown-out cannot be flooded by the tier's own retries. A bucket may also fill with time, where a
//! bound allows some extra attempts in each span of time however few requests there are.

use crate::clock;

/// A bucket of tokens earned by first attempts and spent by extra ones.
#[derive(Clone, Debug)]
pub struct Bucket {
    tokens: f64,
    fraction: f64,
    capacity: f64,
    /// The largest capacity that ever was; the bound on what was spent since the start.
    capacity_most: f64,
    /// Tokens that it gains in each ms.
    rate: f64,
    /// Until when these are counted, and all of them so far.
    filled_at: clock::Millis,
    gained: f64,
    earned: u64,
    spent: u64,
}

impl Bucket {
    /// A bucket that earns `fraction` tokens for each first attempt and holds `capacity` at most.
    /// It starts full, so that the first failures after a start can be mended.
    pub fn new(fraction: f64, capacity: f64) -> Self {
        Self {
            tokens: capacity,
            fraction,
            capacity,
            capacity_most: capacity,
            rate: 0.0,
            filled_at: clock::Millis::ZERO,
            gained: 0.0,
            earned: 0,
            spent: 0,
        }
    }

    /// A bucket like that of [`Bucket::new`] that starts without tokens. A host that is started anew
    /// may have spent its part just before it died, and a bound over a window of time counts both
    /// lives.
    pub fn empty(fraction: f64, capacity: f64) -> Self {
        Self { tokens: 0.0, ..Self::new(fraction, capacity) }
    }

    /// Changes the capacity; tokens above it are lost.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.capacity_most = self.capacity_most.max(capacity);
        self.tokens = self.tokens.min(capacity);
    }

    /// Changes how many tokens it gains in each ms from `now` on.
    pub fn set_rate(&mut self, now: clock::Millis, rate: f64) {
        self.fill(now);
        self.rate = rate;
    }

    /// Adds the tokens that it has gained until `now`.
    pub fn fill(&mut self, now: clock::Millis) {
        let gain = self.rate * now.since(self.filled_at).0 as f64;
        self.filled_at = self.filled_at.max(now);
        self.gained += gain;
        self.tokens = (self.tokens + gain).min(self.capacity);
    }

    /// Whether there is a token.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Records `count` first attempts.
    pub fn earn(&mut self, count: u64) {
        self.earned += count;
        self.tokens = (self.tokens + self.fraction * count as f64).min(self.capacity);
    }

    /// Takes one token; `false` if there is none.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.spent += 1;
        true
    }

    /// Takes a token that may not be there; only a mutant does this.
    pub(crate) fn force(&mut self) {
        self.spent += 1;
    }

    /// Gives back a token whose extra attempt never reached a server.
    pub fn refund(&mut self) {
        self.spent = self.spent.saturating_sub(1);
        self.tokens = (self.tokens + 1.0).min(self.capacity);
    }

    /// Extra attempts so far.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// The most extra attempts that the bound allows so far.
    pub fn bound(&self) -> f64 {
        self.fraction * self.earned as f64 + self.capacity_most + self.gained
    }

    /// Whether the bound on extra load holds; asserted as `bounded_extra_load`.
    pub fn holds(&self) -> bool {
        self.spent as f64 <= self.bound() + 1e-6
    }
}
