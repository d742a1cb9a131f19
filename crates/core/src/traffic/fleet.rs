//! This host's share of the fleet-wide bounds on extra attempts.
//!
//! Operators bound the extra attempts at a service, summed over all hosts and any window of time, by a ratio of
//! the requests plus a slack. Hosts do not coordinate: each applies the ratio to its own requests and takes an
//! equal share of the slack, so the sum holds under any network partition.
//!
//! Part of the slack is refilled over time. A bucket holds half of the share and refills with the other half in
//! each window, so no window spends more than the whole share. A host starts without tokens, so that its runs
//! before and after a restart together stay within one share; it has tokens some seconds later. Without the
//! refill, a host that queries each shard two or three times a second earned a token only every two seconds,
//! and could not bypass a leaf that stalled for a moment.

use indexmap::IndexMap;

use crate::{budget, clock, id};

use super::policy;

/// Fraction of the slack that is distributed. The rest covers hosts that have joined and are not yet known to
/// all, which makes shares too large for a moment.
const DISTRIBUTED_FRACTION: f64 = 0.85;
/// Fraction of a host's share that may be spent in a burst; the rest is refilled over time.
const BURST_FRACTION: f64 = 0.5;

/// Token buckets by service.
#[derive(Debug)]
pub(crate) struct Fleet {
    bound: Option<policy::Fleet>,
    /// This lane's share of the slack for services without a share of their own.
    default_share: f64,
    buckets: Vec<budget::Bucket>,
}

impl Fleet {
    pub(crate) fn new(bound: Option<policy::Fleet>) -> Self {
        Self { bound, default_share: 1.0, buckets: Vec::new() }
    }

    /// Sets this lane's shares of the slack: `default_share`, and `shares` for the services listed there. The
    /// latter are for the whole host and are divided by `lanes`.
    pub(crate) fn set_limit_shares(
        &mut self,
        now: clock::Millis,
        default_share: f64,
        shares: &IndexMap<id::Service, f64>,
        lanes: u32,
    ) {
        self.default_share = default_share / f64::from(lanes);
        let Some(bound) = self.bound else {
            return;
        };
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            if !shares.contains_key(&id::Service(index as u32)) {
                set_limit_share(bucket, now, &bound, self.default_share);
            }
        }
        for (&service, share) in shares {
            if let Some(bucket) = self.bucket(now, service) {
                set_limit_share(bucket, now, &bound, share / f64::from(lanes));
            }
        }
    }

    fn bucket(&mut self, now: clock::Millis, service: id::Service) -> Option<&mut budget::Bucket> {
        if service == id::Service::PEERS {
            return None;
        }
        let bound = self.bound?;
        while self.buckets.len() <= service.index() {
            let mut bucket = budget::Bucket::empty(bound.ratio, 0.0);
            // No tokens accrue for the time before the first request.
            bucket.fill(now);
            set_limit_share(&mut bucket, now, &bound, self.default_share);
            self.buckets.push(bucket);
        }
        let bucket = self.buckets.get_mut(service.index())?;
        bucket.fill(now);
        Some(bucket)
    }

    /// Records a request for `service`.
    pub(crate) fn earn(&mut self, now: clock::Millis, service: id::Service) {
        if let Some(bucket) = self.bucket(now, service) {
            bucket.earn(1);
        }
    }

    /// Whether an extra attempt at `service` is allowed.
    pub(crate) fn has_token(&mut self, now: clock::Millis, service: id::Service) -> bool {
        self.bucket(now, service).is_none_or(|bucket| bucket.has_token())
    }

    /// Counts an extra attempt that [`Fleet::has_token`] allowed.
    pub(crate) fn spend(&mut self, now: clock::Millis, service: id::Service) {
        if let Some(bucket) = self.bucket(now, service) {
            bucket.spend();
        }
    }

    /// Returns the token of an attempt that never reached a server.
    pub(crate) fn refund(&mut self, now: clock::Millis, service: id::Service) {
        if let Some(bucket) = self.bucket(now, service) {
            bucket.refund();
        }
    }

    /// Whether the bound holds for `service`.
    pub(crate) fn is_within_bound(&mut self, now: clock::Millis, service: id::Service) -> bool {
        self.bucket(now, service).is_none_or(|bucket| bucket.is_within_bound())
    }
}

/// Sets the capacity and refill rate of a bucket for `share` of the slack.
fn set_limit_share(bucket: &mut budget::Bucket, now: clock::Millis, bound: &policy::Fleet, share: f64) {
    let slack = bound.slack * DISTRIBUTED_FRACTION * share;
    bucket.set_capacity(slack * BURST_FRACTION);
    bucket.set_rate(now, slack * (1.0 - BURST_FRACTION) / bound.window.0.max(1) as f64);
}
