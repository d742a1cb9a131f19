//! What one observer reports of one server incarnation.

use std::cmp;

use crate::clock;

use super::{
    EXPIRY,
    counts::{Counts, Deviations},
};

/// Steps of a fraction in [`Levels`].
const FRACTION_STEPS: f64 = 255.0;
/// Steps of slowness for each doubling.
const SLOWNESS_STEPS: f64 = 8.0;
/// Steps of one attempt.
const ATTEMPT_STEPS: f64 = 4.0;

/// Orders the opinions of one observer on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Differs between runs of the observer's process.
    pub tag: u16,
    /// Incremented with each change of one of the observer's opinions.
    pub sequence: u32,
}

/// Quantised levels of an opinion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Levels {
    /// Fraction of attempts that are rejected, in steps of 1/255.
    pub rejection: u8,
    /// Fraction of attempts that fail or are lost, in steps of 1/255.
    pub failure: u8,
    /// Logarithm of the slowness, in steps of an eighth of a doubling.
    pub slowness: u8,
    /// Number of attempts, in quarters.
    pub attempts: u8,
}

impl Levels {
    fn new(counts: &Counts) -> Self {
        // Casts to integers saturate.
        Self {
            rejection: (counts.rejection() * FRACTION_STEPS).round() as u8,
            failure: (counts.failure() * FRACTION_STEPS).round() as u8,
            slowness: (counts.slowness().log2() * SLOWNESS_STEPS).round() as u8,
            attempts: (counts.attempts() * ATTEMPT_STEPS).round() as u8,
        }
    }

    /// Fraction of attempts that are rejected.
    pub fn rejection_fraction(self) -> f64 {
        f64::from(self.rejection) / FRACTION_STEPS
    }

    /// Fraction of attempts that fail or are lost.
    pub fn failure_fraction(self) -> f64 {
        f64::from(self.failure) / FRACTION_STEPS
    }

    /// Logarithm of the slowness, to base 2.
    pub fn log_slowness(self) -> f64 {
        f64::from(self.slowness) / SLOWNESS_STEPS
    }

    /// Number of attempts.
    pub fn attempt_count(self) -> f64 {
        f64::from(self.attempts) / ATTEMPT_STEPS
    }
}

/// An observer's opinion on a server, with instants of the local clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Opinion {
    /// Decides which of two opinions of one observer is newer.
    pub version: Version,
    /// How often and how much the server deviates.
    pub levels: Levels,
    /// In which ways it deviates.
    pub deviations: Deviations,
    /// When the observer last had a result.
    pub sampled_at: clock::Millis,
    /// When it last had one that was not a usual answer; `None` if that is not recent.
    pub bad_at: Option<clock::Millis>,
    /// Number of consecutive answers since then, up to [`super::RECOVERY_ANSWERS`].
    pub streak: u8,
    /// When the oldest of these arrived.
    pub streak_at: clock::Millis,
}

impl Opinion {
    pub(super) fn new(counts: &Counts, sampled_at: clock::Millis) -> Self {
        Self { levels: Levels::new(counts), deviations: counts.deviations(), sampled_at, ..Self::default() }
    }

    /// The newer one of two opinions of one observer. Of two copies of the same one, the result has the earliest
    /// instants, because an age does not contain the time in transit. Commutative, associative and idempotent.
    pub fn merge(self, other: Self) -> Self {
        match self.content().cmp(&other.content()) {
            cmp::Ordering::Less => other,
            cmp::Ordering::Greater => self,
            cmp::Ordering::Equal => Self {
                sampled_at: self.sampled_at.min(other.sampled_at),
                bad_at: self.bad_at.min(other.bad_at),
                streak_at: self.streak_at.min(other.streak_at),
                ..self
            },
        }
    }

    fn content(&self) -> (Version, Levels, Deviations, u8) {
        (self.version, self.levels, self.deviations, self.streak)
    }

    pub(super) fn is_expired(&self, now: clock::Millis) -> bool {
        now.since(self.sampled_at) >= EXPIRY
    }

    /// The ways in which the server deviates according to results after `cleared_at`, in the last [`EXPIRY`].
    pub(super) fn deviations_since(&self, now: clock::Millis, cleared_at: clock::Millis) -> Deviations {
        let is_current = self.bad_at.is_some_and(|at| at > cleared_at && now.since(at) < EXPIRY);
        if is_current { self.deviations } else { Deviations::NONE }
    }

    /// How severe the deviation is, in four steps; a recovery is as important as the most severe deviation.
    pub(super) fn severity(&self) -> u8 {
        if self.deviations.contains(Deviations::SILENT) || self.deviations.is_empty() {
            return 3;
        }
        let slowness = self.levels.slowness.saturating_mul(4);
        self.levels.rejection.max(self.levels.failure).max(slowness) / 64
    }
}
