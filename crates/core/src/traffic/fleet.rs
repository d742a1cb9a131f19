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
//!
//! Classes that use a service share its bucket. With `plan_repeats`, a class leaves a reserve to each more urgent class
//! that uses the service, so that searches of less urgent classes cannot take all tokens while many attempts fail.

use indexmap::IndexMap;

use crate::{budget, clock, id, view};

use super::{policy, repeats};

/// Fraction of the slack that is distributed. The rest covers hosts that have joined and are not yet known to
/// all, which makes shares too large for a moment.
const DISTRIBUTED_FRACTION: f64 = 0.85;
/// Fraction of a host's share that may be spent in a burst; the rest is refilled over time.
const BURST_FRACTION: f64 = 0.5;

/// Reserve for each more urgent class that uses the service, as a fraction of the bucket's capacity: three classes
/// leave the least urgent one half of the bucket.
const CLASS_RESERVE: f64 = 0.25;
/// How long a class uses a service after its last request.
const USE_WINDOW: clock::Millis = clock::Millis(10_000);
/// Time in which the reserve falls to zero for a class from which it withholds tokens, so that no class is locked out
/// of a service. Longer than the deadlines of most classes, so that it does not reorder requests that compete.
const RESERVE_DECAY: clock::Millis = clock::Millis(4000);

/// How long tokens count as scarce after a search ended for lack of them. Covers the time that an empty bucket of a host
/// with few requests takes to gain two tokens.
const SCARCITY_WINDOW: clock::Millis = clock::Millis(4000);

/// The classes that use a service.
#[derive(Clone, Debug, Default)]
struct Uses {
    /// Time of the last request, by priority.
    last: [Option<clock::Millis>; view::Class::PRIORITIES],
    /// Since when the reserve has withheld tokens, by priority.
    withheld_since: [Option<clock::Millis>; view::Class::PRIORITIES],
}

/// Token buckets by service.
#[derive(Debug)]
pub(crate) struct Fleet {
    bound: Option<policy::Fleet>,
    /// This lane's share of the slack for services without a share of their own.
    default_share: f64,
    buckets: Vec<budget::Bucket>,
    uses: Vec<Uses>,
    /// Until when tokens count as scarce.
    scarce_until: Option<clock::Millis>,
}

impl Fleet {
    pub(crate) fn new(bound: Option<policy::Fleet>) -> Self {
        Self { bound, default_share: 1.0, buckets: Vec::new(), uses: Vec::new(), scarce_until: None }
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
            self.uses.push(Uses::default());
        }
        let bucket = self.buckets.get_mut(service.index())?;
        bucket.fill(now);
        Some(bucket)
    }

    /// Records a request of a class with `priority` for `service`.
    pub(crate) fn earn(&mut self, now: clock::Millis, service: id::Service, priority: u8) {
        if let Some(bucket) = self.bucket(now, service) {
            bucket.earn(1);
            self.uses[service.index()].last[level(priority)] = Some(now);
        }
    }

    /// The bucket of `service` as a class with `priority` sees it.
    pub(crate) fn account(&mut self, now: clock::Millis, service: id::Service, priority: u8) -> repeats::Account {
        let Some(bucket) = self.bucket(now, service) else {
            return repeats::Account::UNBOUNDED;
        };
        let (tokens, capacity, inflow) = (bucket.tokens(), bucket.capacity(), bucket.inflow(now));
        let reserve = self.uses[service.index()].reserve(now, priority) * capacity;
        let is_scarce = self.scarce_until.is_some_and(|until| now < until);
        repeats::Account { tokens, capacity, inflow, reserve, is_scarce }
    }

    /// Records that a search ended for lack of tokens. They count as scarce at all services, since the next search
    /// may lack them at others.
    pub(crate) fn on_scarcity(&mut self, now: clock::Millis) {
        self.scarce_until = Some(now + SCARCITY_WINDOW);
    }

    /// Records that the reserve withheld a token from a class.
    pub(crate) fn on_withheld(&mut self, now: clock::Millis, service: id::Service, priority: u8) {
        if let Some(uses) = self.uses.get_mut(service.index()) {
            uses.withheld_since[level(priority)].get_or_insert(now);
        }
    }

    /// Records that a class got a token.
    pub(crate) fn on_granted(&mut self, service: id::Service, priority: u8) {
        if let Some(uses) = self.uses.get_mut(service.index()) {
            uses.withheld_since[level(priority)] = None;
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

impl Uses {
    /// Fraction of the bucket that a class leaves to more urgent ones.
    fn reserve(&self, now: clock::Millis, priority: u8) -> f64 {
        let level = level(priority);
        let is_in_use = |last: &&Option<clock::Millis>| last.is_some_and(|last| now.since(last) < USE_WINDOW);
        let more_urgent = self.last[..level].iter().filter(is_in_use).count();
        let withheld_for = self.withheld_since[level].map_or(clock::Millis::ZERO, |since| now.since(since));
        let decay = 1.0 - withheld_for.0 as f64 / RESERVE_DECAY.0 as f64;
        CLASS_RESERVE * more_urgent as f64 * decay.max(0.0)
    }
}

fn level(priority: u8) -> usize {
    usize::from(priority).min(view::Class::PRIORITIES - 1)
}

/// Sets the capacity and refill rate of a bucket for `share` of the slack.
fn set_limit_share(bucket: &mut budget::Bucket, now: clock::Millis, bound: &policy::Fleet, share: f64) {
    let slack = bound.slack * DISTRIBUTED_FRACTION * share;
    bucket.set_capacity(slack * BURST_FRACTION);
    bucket.set_rate(now, slack * (1.0 - BURST_FRACTION) / bound.window.0.max(1) as f64);
}
