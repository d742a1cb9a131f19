//! Quantiles of the most recent samples.
//!
//! A histogram over all time would remember yesterday's fast servers; a decision needs the recent
//! past. The window keeps the last [`SIZE`] samples and sorts a copy every [`REFRESH`] samples, so
//! reading a quantile is a table look-up.

use crate::clock;

const SIZE: usize = 512;
const REFRESH: usize = 64;

/// The most recent latencies of one kind.
#[derive(Clone, Debug, Default)]
pub struct Window {
    samples: Vec<u32>,
    next: usize,
    sorted: Vec<u32>,
    stale: usize,
}

impl Window {
    /// Adds a sample.
    pub fn record(&mut self, sample: clock::Millis) {
        let sample = sample.0.min(u64::from(u32::MAX)) as u32;
        if self.samples.len() < SIZE {
            self.samples.push(sample);
        } else {
            self.samples[self.next] = sample;
            self.next = (self.next + 1) % SIZE;
        }
        self.stale += 1;
        if self.stale >= REFRESH || self.sorted.len() < REFRESH {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        self.sorted.clone_from(&self.samples);
        self.sorted.sort_unstable();
        self.stale = 0;
    }

    /// The sample below which the share `q` (0 to 1) lies; `None` before the first sample.
    pub fn quantile(&self, q: f64) -> Option<clock::Millis> {
        let last = self.sorted.len().checked_sub(1)?;
        let rank = (q * last as f64).round() as usize;
        Some(clock::Millis(u64::from(self.sorted[rank.min(last)])))
    }

    /// How many samples the window holds.
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Whether there is no sample yet.
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }
}
