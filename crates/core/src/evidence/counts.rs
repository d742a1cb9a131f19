//! Counts of the results of attempts, with decay, and what deviates from the usual in them.

use crate::clock;

/// Half-life of the counts, in ms. Older results say little about a server whose state changes within seconds.
const HALF_LIFE: f64 = 1000.0;
/// Fraction of attempts that are rejected, or that fail, from which a server deviates.
const DEVIATING_FRACTION: f64 = 0.25;
/// Reply time relative to the usual one from which a server, or a single attempt, is slow.
pub(super) const SLOW_RATIO: f64 = 3.0;
/// Minimum weight of slow attempts from which a server deviates: two within two seconds. Servers that pause for 100 ms
/// every 2.4 s make single attempts ten times slower.
const MIN_SLOW_WEIGHT: f64 = 1.25;
/// Maximum of a single ratio, as in the lanes' own measurements.
const MAX_RATIO: f64 = 20.0;

/// A set of the ways in which a server can deviate from the usual.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Deviations(pub u8);

impl Deviations {
    /// None.
    pub const NONE: Self = Self(0);
    /// It rejects attempts.
    pub const REJECTS: Self = Self(1);
    /// It fails attempts or their answers are lost.
    pub const FAILS: Self = Self(2);
    /// It is slow.
    pub const SLOW: Self = Self(4);
    /// It does not reply.
    pub const SILENT: Self = Self(8);
    /// All, each alone.
    pub const ALL: [Self; 4] = [Self::REJECTS, Self::FAILS, Self::SLOW, Self::SILENT];

    /// Whether there is none.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Whether `other` is a part of this set.
    pub fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }

    fn with(self, other: Self, is_present: bool) -> Self {
        if is_present { Self(self.0 | other.0) } else { self }
    }
}

/// Decayed numbers of attempts by result.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Attempts that were answered.
    pub answered: f64,
    /// Attempts that were rejected before they ran.
    pub refused: f64,
    /// Attempts that failed or whose answers were lost.
    pub failed: f64,
    /// Attempts without a reply, since the server last replied.
    pub silent: f64,
    /// Attempts that were answered slowly, or were cancelled after that time.
    pub slow: f64,
    /// Attempts with a known reply time or a lower bound of it.
    pub(super) timed: f64,
    /// Sum of the logarithms of their reply times, relative to the usual one. A mean of logarithms is not dominated by a
    /// single stall.
    pub(super) log_ratios: f64,
}

impl Counts {
    /// Reduces the counts by their decay in `elapsed`.
    pub fn decay(&mut self, elapsed: clock::Millis) {
        if elapsed == clock::Millis::ZERO {
            return;
        }
        let factor = (0.5_f64).powf(elapsed.0 as f64 / HALF_LIFE);
        for count in [
            &mut self.answered,
            &mut self.refused,
            &mut self.failed,
            &mut self.silent,
            &mut self.slow,
            &mut self.timed,
            &mut self.log_ratios,
        ] {
            *count *= factor;
        }
    }

    /// Adds later results.
    pub fn add(&mut self, later: &Self) {
        if later.replies() > 0.0 {
            self.silent = 0.0;
        }
        self.silent = self.silent.max(later.silent);
        self.answered += later.answered;
        self.refused += later.refused;
        self.failed += later.failed;
        self.slow += later.slow;
        self.timed += later.timed;
        self.log_ratios += later.log_ratios;
    }

    /// Adds the reply time of an attempt, relative to the usual one, or a lower bound of it.
    pub(super) fn add_ratio(&mut self, ratio: f64) {
        self.timed += 1.0;
        self.log_ratios += ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        if ratio >= SLOW_RATIO {
            self.slow += 1.0;
        }
    }

    /// The same without the attempts that were answered.
    pub(super) fn without_answers(self) -> Self {
        Self { refused: self.refused, failed: self.failed, silent: self.silent, ..Self::default() }
    }

    fn replies(&self) -> f64 {
        self.answered + self.refused + self.failed
    }

    /// Number of attempts.
    pub fn attempts(&self) -> f64 {
        self.replies() + self.silent
    }

    fn fraction(&self, count: f64) -> f64 {
        if count > 0.0 { count / self.attempts() } else { 0.0 }
    }

    /// Fraction of attempts that were rejected.
    pub fn rejection(&self) -> f64 {
        self.fraction(self.refused)
    }

    /// Fraction of attempts that failed or whose answers were lost.
    pub fn failure(&self) -> f64 {
        self.fraction(self.failed)
    }

    /// Geometric mean of the reply times, relative to the usual one; at least 1.
    pub fn slowness(&self) -> f64 {
        if self.timed > 0.0 { (self.log_ratios / self.timed).exp().max(1.0) } else { 1.0 }
    }

    /// The ways in which the results deviate from the usual.
    pub fn deviations(&self) -> Deviations {
        if self.refused + self.failed + self.silent + self.slow == 0.0 {
            return Deviations::NONE;
        }
        let is_slow = self.slow >= MIN_SLOW_WEIGHT && self.slow >= self.timed / 2.0 && self.slowness() >= SLOW_RATIO;
        Deviations::NONE
            .with(Deviations::REJECTS, self.rejection() >= DEVIATING_FRACTION)
            .with(Deviations::FAILS, self.failure() >= DEVIATING_FRACTION)
            .with(Deviations::SLOW, is_slow)
            .with(Deviations::SILENT, self.silent > 0.0)
    }
}
