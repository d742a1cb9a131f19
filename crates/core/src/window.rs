//! Quantiles of the most recent samples.
//!
//! Decisions depend on recent latencies, which a histogram over all time would hide behind old samples.
//! The window keeps the last `SIZE` samples and sorts a copy every `REFRESH_INTERVAL` samples, so
//! that reading a quantile is an array look-up.

use crate::clock;

const SIZE: usize = 512;
const REFRESH_INTERVAL: usize = 64;

/// A sliding window of latencies.
#[derive(Clone, Debug, Default)]
pub struct Window {
    samples: Vec<u32>,
    next: usize,
    sorted: Vec<u32>,
    unsorted: usize,
}

impl Window {
    /// Adds a sample, which replaces the oldest one once the window is full.
    pub fn record(&mut self, sample: clock::Millis) {
        let sample = sample.0.min(u64::from(u32::MAX)) as u32;
        if self.samples.len() < SIZE {
            self.samples.push(sample);
        } else {
            self.samples[self.next] = sample;
            self.next = (self.next + 1) % SIZE;
        }
        self.unsorted += 1;
        if self.unsorted >= REFRESH_INTERVAL || self.sorted.len() < REFRESH_INTERVAL {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        self.sorted.clone_from(&self.samples);
        self.sorted.sort_unstable();
        self.unsorted = 0;
    }

    /// The sample at quantile `q`, from 0 to 1; `None` before the first sample. May lag by the refresh interval.
    pub fn quantile(&self, q: f64) -> Option<clock::Millis> {
        let last = self.sorted.len().checked_sub(1)?;
        let rank = (q * last as f64).round() as usize;
        Some(clock::Millis(u64::from(self.sorted[rank.min(last)])))
    }

    /// The number of samples in the window.
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Whether the window has no samples yet.
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }
}
