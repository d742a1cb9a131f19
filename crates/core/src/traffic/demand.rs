//! Measurement of the gathers that callers send to this host, by which gathering hosts are chosen.
//!
//! Load pattern: demand that swings by half of its mean within 17 s and doubles for some seconds, of which each host
//! sees two or three gathers a second. A mean over [`MEAN_TIME`] smooths the random variation of such a rate. The
//! demand rises with it but falls with [`FALL_TIME`], so that a swing does not remove hosts in each trough that are
//! needed again some seconds later.

use crate::{clock, plan::gatherers};

use super::event;

/// Time constant of the mean rate: about ten gathers of a host with two a second.
const MEAN_TIME: clock::Millis = clock::Millis(5000);
/// Time constant with which the demand falls to the mean; longer than a swing of 17 s.
const FALL_TIME: clock::Millis = clock::Millis(30_000);
/// Minimum time between two updates, and so between two reports.
const INTERVAL: clock::Millis = clock::Millis(1000);

/// The rate of gathers from callers.
#[derive(Debug)]
pub(super) struct Meter {
    received: u64,
    updated_at: clock::Millis,
    mean: f64,
    rate: f64,
    reported: gatherers::Demand,
}

impl Meter {
    pub(super) fn new(now: clock::Millis) -> Self {
        Self { received: 0, updated_at: now, mean: 0.0, rate: 0.0, reported: gatherers::Demand::LOWEST }
    }

    /// Counts a gather.
    pub(super) fn record(&mut self) {
        self.received += 1;
    }

    /// Updates the rate if that is due; returns the demand if its step changed.
    fn update(&mut self, now: clock::Millis) -> Option<gatherers::Demand> {
        let span = now.since(self.updated_at);
        if span < INTERVAL {
            return None;
        }
        let weight = |time: clock::Millis| 1.0 - (-(span.0 as f64) / time.0 as f64).exp();
        let received = std::mem::take(&mut self.received) as f64 * 1000.0 / span.0 as f64;
        self.updated_at = now;
        self.mean += (received - self.mean) * weight(MEAN_TIME);
        self.rate =
            if self.mean > self.rate { self.mean } else { self.rate + (self.mean - self.rate) * weight(FALL_TIME) };
        let demand = self.reported.follow(self.rate);
        if demand == self.reported {
            return None;
        }
        self.reported = demand;
        Some(demand)
    }
}

impl super::Core {
    /// Reports the demand if its step changed.
    pub(super) fn report_demand(&mut self) {
        if let Some(demand) = self.demand.update(self.now) {
            self.outputs.push(event::Output::Demand { lane: self.lane.index, demand });
        }
    }
}
