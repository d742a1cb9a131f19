//! Admission by urgency while the capacity of shared servers is exceeded.
//!
//! The load pattern: for seconds or minutes, callers at many hosts together send more than a set of servers can run.
//! Priority at each host's own queues then decides too late and knows nothing of the other hosts. Here, every request
//! gets a [`Level`] on arrival from its class's priority and a hash, and a [`Threshold`] that all hosts of the fleet
//! agree on decides which levels are admitted. The rest is rejected before any work is done.
//!
//! The threshold follows the measured wait for capacity: admitted work shrinks by 5% an interval while the wait is
//! above the limit and grows by 1% otherwise. Precedent: DAGOR (Zhou et al., "Overload control for scaling WeChat
//! microservices", 2018). [`exchange::Exchange`] is the part that hosts share.

pub mod exchange;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{clock, ratio, view};

/// Number of buckets of each priority. A bucket is a 64th of a class, finer than a step of the threshold.
pub const BUCKETS: f64 = 64.0;
/// Number of bands of levels: one for each priority, and the last one for requests beyond a caller group's share.
pub const BANDS: usize = view::Class::PRIORITIES + 1;
/// Fraction of a returning caller's bucket that remains. Within its own class it overtakes half of the new callers; a
/// shift into a more urgent class would let a storm of retries displace that class.
const RETURNER_FACTOR: f64 = 0.5;
/// Factor on admitted work in each interval in which the wait is above the limit. DAGOR uses the same step.
const DECREASE: f64 = 0.95;
/// Growth of admitted work in an interval in which the wait is not above the limit. DAGOR uses the same step.
const INCREASE: f64 = 0.01;
/// Factor on the wait from one interval to the next below which a queue is draining. The threshold then stays: queues that
/// were filled before it took effect need a second or more to drain, and further steps would reject urgent requests
/// that the servers have capacity for.
const DRAINING: f64 = 0.95;
/// Minimum work to admit while the wait is above the limit, relative to the work that servers run meanwhile. The rest
/// drains the queues; rejecting more would leave servers idle afterwards.
const DRAIN_FRACTION: f64 = 0.8;
/// If servers run less than this fraction of the admitted work, they are out of order rather than overloaded, and the wait
/// says little about their capacity. Admitted work then shrinks by 1% an interval: a threshold that rejects most
/// requests during an outage would keep callers out after it.
const OUTAGE_FRACTION: f64 = 0.3;
const OUTAGE_DECREASE: f64 = 0.99;
/// The same for the first step, in the first moments of an outage, relative to the most work that servers recently ran.
const ONSET_FRACTION: f64 = 0.6;
/// Demand below this fraction of the work that servers can run ends an overload: it cannot saturate them again.
const RELEASE_FRACTION: f64 = 0.9;
/// Growth after the end of an overload, relative to the work that servers can run. From a fifth of it, a threshold opens in
/// three intervals.
const RELEASE: f64 = 0.32;
/// Fraction of the limit below which a wait shows that servers have more capacity than the threshold admits.
const ROOM_FRACTION: f64 = 0.5;
/// Number of doublings of the growth while there is no wait, and fewer in proportion to it.
const MAX_DOUBLINGS: f64 = 3.0;
/// Fraction of the most work that servers recently ran below which nearly all of them are silent. While a part of them
/// runs, a threshold spares the urgent requests.
const SILENCE_FRACTION: f64 = 0.15;
/// Number of intervals after an outage in which no rejection begins. The waits that end then began in the outage.
const RECOVERY_INTERVALS: u32 = 10;
/// Iterations of the search for a threshold, which is then exact to less than a thousandth of a bucket.
const SEARCH_STEPS: u32 = 24;
/// Fraction of the most urgent class's target latency that the wait for capacity may take. The rest is needed for the
/// run itself, which for a gather is as long as that of its slowest shard.
pub const WAIT_FRACTION: f64 = 0.25;

/// Settings of admission by urgency.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Time between two adjustments of a threshold, in ms. Default 200: several waits are measured in it, and five
    /// adjustments take effect in the second within which hosts have to agree.
    pub interval: clock::Millis,
    /// Minimum fraction of each class's requests that is admitted, relative to the mean of all classes. Default 0.25.
    pub floor: ratio::Ratio,
}

impl Default for Policy {
    fn default() -> Self {
        Self { interval: clock::Millis(200), floor: ratio::Ratio::try_from(0.25).unwrap_or_default() }
    }
}

/// What the level of a request depends on.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Priority of its class.
    pub priority: u8,
    /// Hash of the request.
    pub hash: u64,
    /// Whether its caller was rejected before and came back.
    pub is_returner: bool,
    /// Whether its caller group has already sent its share.
    pub is_excess: bool,
}

/// The rank of a request for admission; lower levels are admitted first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Level(f64);

impl Level {
    /// The level of a request.
    pub fn new(arrival: &Arrival) -> Self {
        // With 32 bits of the hash, the float of a level is exact.
        let position = (arrival.hash >> 32) as f64 / (1_u64 << 32) as f64;
        let factor = if arrival.is_returner { RETURNER_FACTOR } else { 1.0 };
        let priority = usize::from(arrival.priority).min(view::Class::PRIORITIES - 1);
        let level = priority as f64 * BUCKETS + position * factor * BUCKETS;
        if !arrival.is_excess {
            return Self(level);
        }
        Self(Threshold::EXCESS.0 + level / view::Class::PRIORITIES as f64)
    }

    /// Whether it is among the `fraction` of its class that is admitted at any threshold. Requests beyond a caller
    /// group's share never are.
    pub fn is_guaranteed(self, fraction: f64) -> bool {
        self.0 < Threshold::EXCESS.0 && self.0 % BUCKETS < fraction * BUCKETS
    }

    /// The level as a number.
    pub fn get(self) -> f64 {
        self.0
    }
}

/// The level from which on requests are rejected.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Threshold(f64);

impl Default for Threshold {
    fn default() -> Self {
        Self::OPEN
    }
}

impl Threshold {
    /// Admits every request.
    pub const OPEN: Self = Self(BUCKETS * BANDS as f64);
    /// Admits every request except those beyond a caller group's share.
    const EXCESS: Self = Self(BUCKETS * view::Class::PRIORITIES as f64);

    /// The threshold at a level; [`Threshold::OPEN`] for a number that is none.
    pub fn new(level: f64) -> Self {
        if level.is_nan() { Self::OPEN } else { Self(level.clamp(0.0, Self::OPEN.0)) }
    }

    /// The threshold as a level.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Whether it admits every request.
    pub fn is_open(self) -> bool {
        self.0 >= Self::OPEN.0
    }

    /// Whether a request of this level is admitted.
    pub fn admits(self, level: Level) -> bool {
        self.is_open() || level.0 < self.0
    }

    /// The admitted fraction of a band whose levels are equally frequent.
    pub fn admitted_fraction(self, band: usize) -> f64 {
        ((self.0 - band as f64 * BUCKETS) / BUCKETS).clamp(0.0, 1.0)
    }
}

/// The admitted fraction of returning callers, where `fraction` of the new ones of the band is admitted.
pub fn returners_fraction(fraction: f64) -> f64 {
    (fraction / RETURNER_FACTOR).min(1.0)
}

/// Work per second that callers ask for, rejected requests included, by band of levels. A unit of work is the time of an
/// attempt without a wait, in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Work of new callers.
    pub new: [f64; BANDS],
    /// Work of callers that were rejected before and came back.
    pub returning: [f64; BANDS],
}

impl Demand {
    /// Adds the demand at another traffic core.
    pub fn add(&mut self, other: &Self) {
        for band in 0..BANDS {
            self.new[band] += other.new[band];
            self.returning[band] += other.returning[band];
        }
    }

    /// The work that `threshold` admits, with at least a fraction `least` of each priority.
    fn admitted(&self, threshold: Threshold, least: f64) -> f64 {
        let mut admitted = 0.0;
        for band in 0..BANDS {
            let least = if band < view::Class::PRIORITIES { least } else { 0.0 };
            let fraction = threshold.admitted_fraction(band).max(least);
            admitted += self.new[band] * fraction + self.returning[band] * returners_fraction(fraction);
        }
        admitted
    }

    fn total(&self) -> f64 {
        self.new.iter().chain(&self.returning).sum()
    }

    /// The mean fraction of all work that `threshold` admits.
    pub fn admission(&self, threshold: Threshold, floor: f64) -> f64 {
        let total = self.total();
        if total > 0.0 { self.admitted(threshold, self.least(threshold, floor)) / total } else { 1.0 }
    }

    /// The fraction of each priority that is admitted at `threshold` in any case.
    fn least(&self, threshold: Threshold, floor: f64) -> f64 {
        let total = self.total();
        if total > 0.0 { floor * self.admitted(threshold, 0.0) / total } else { 0.0 }
    }

    /// The highest threshold that admits at most `target`.
    fn threshold(&self, target: f64, floor: f64) -> Threshold {
        let total = self.total();
        if target >= total {
            return Threshold::OPEN;
        }
        let least = floor * target / total;
        let (mut low, mut high) = (0.0, Threshold::OPEN.0);
        for _ in 0..SEARCH_STEPS {
            let middle = (low + high) / 2.0;
            if self.admitted(Threshold(middle), least) <= target {
                low = middle;
            } else {
                high = middle;
            }
        }
        Threshold(low)
    }
}

/// What a host knows of an interval.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    /// Mean wait for capacity, in ms.
    pub wait: f64,
    /// Acceptable wait for capacity.
    pub limit: clock::Millis,
    /// Recent demand, in work per second.
    pub demand: Demand,
    /// Recent work per second that servers ran for the host.
    pub served: f64,
    /// The most of it in the last seconds.
    pub capacity: f64,
}

impl Interval {
    /// Whether the servers run so little that they are out of order. Rejections do not help them, and would keep callers
    /// out once they run again.
    fn is_outage(&self) -> bool {
        self.served < self.capacity * SILENCE_FRACTION
    }

    /// Whether servers run at least what new callers ask for, so that a backlog drains without rejections.
    fn is_draining_unaided(&self) -> bool {
        self.served >= self.demand.new.iter().sum()
    }
}

/// Adjusts one host's threshold for one set of servers.
///
/// What is adjusted is the work that is admitted, and the threshold follows from it and from the demand. So a change of the
/// demand moves the threshold at once, and the end of an overload opens it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Controller {
    threshold: Threshold,
    /// Work per second to admit; `None` until a wait is above the limit.
    target: Option<f64>,
    /// Wait in the previous interval.
    wait: f64,
    /// Number of intervals until the waits measured are no longer those of an outage; 0 if there was none.
    recovery_intervals: u32,
}

impl Controller {
    /// The threshold.
    pub fn threshold(&self) -> Threshold {
        self.threshold
    }

    /// Whether an outage has ended so recently that its waits are still measured.
    pub fn is_recovering(&self) -> bool {
        self.recovery_intervals > 0
    }

    /// Adjusts the threshold after an interval.
    pub fn step(&mut self, interval: &Interval, floor: f64) {
        let limit = interval.limit.0 as f64;
        let last_wait = std::mem::replace(&mut self.wait, interval.wait);
        // Waits are known only once requests end, so a rising wait counts with its expected value in the next interval.
        let rise = if self.target.is_some() { (interval.wait - last_wait).max(0.0) } else { 0.0 };
        let is_over = interval.wait + rise > limit;
        self.recovery_intervals = match self.target {
            None if is_over && interval.is_outage() => RECOVERY_INTERVALS,
            _ => self.recovery_intervals.saturating_sub(1),
        };
        self.target = match self.target {
            None if self.is_recovering() || interval.is_draining_unaided() => None,
            _ if is_over => Some(self.lowered(interval, interval.wait < last_wait * DRAINING)),
            target => target.map(|target| self.raised(interval, target)),
        };
        self.refresh(interval, floor);
    }

    /// The target after an interval in which the wait was above the limit. The queues of hosts and servers refuse what
    /// exceeds the work that servers run, so the first step is taken from that.
    fn lowered(&self, interval: &Interval, is_draining: bool) -> f64 {
        let target = match self.target {
            Some(target) if is_draining => target,
            Some(target) if interval.served < target * OUTAGE_FRACTION => target * OUTAGE_DECREASE,
            Some(target) => target * DECREASE,
            None if interval.served < interval.capacity * ONSET_FRACTION => {
                interval.capacity * DRAIN_FRACTION * DECREASE
            }
            None => interval.served * DRAIN_FRACTION * DECREASE,
        };
        target.max(interval.served * DRAIN_FRACTION)
    }

    /// The target after an interval in which the wait was not above the limit.
    fn raised(&self, interval: &Interval, target: f64) -> f64 {
        let new_demand: f64 = interval.demand.new.iter().sum();
        if new_demand < interval.capacity * RELEASE_FRACTION {
            return target + target.max(interval.capacity) * RELEASE;
        }
        let slack = (1.0 - interval.wait / (interval.limit.0 as f64 * ROOM_FRACTION)).max(0.0);
        target + target.max(interval.capacity) * INCREASE * (MAX_DOUBLINGS * slack).exp2()
    }

    /// Sets the threshold from the target, and forgets a target that the demand is clearly below.
    fn refresh(&mut self, interval: &Interval, floor: f64) {
        let Some(target) = self.target else {
            self.threshold = Threshold::OPEN;
            return;
        };
        self.threshold = interval.demand.threshold(target, floor);
        let is_over = interval.wait <= interval.limit.0 as f64;
        if is_over && interval.demand.total() < target * RELEASE_FRACTION {
            self.target = None;
        }
    }

    /// Takes over a threshold that other hosts have decided on.
    fn follow(&mut self, threshold: Threshold) {
        *self = Self { threshold, ..Self::default() };
    }

    /// Moves the target towards the work that `threshold` admits. Keeps the targets of hosts together, which begin with
    /// what each has served.
    fn approach(&mut self, threshold: Threshold, interval: &Interval, floor: f64, weight: f64) {
        let total = interval.demand.total();
        if let Some(target) = &mut self.target {
            let admitted = total * interval.demand.admission(threshold, floor);
            *target += (admitted - *target) * weight;
        }
    }
}

/// Requests per second that callers of a class send to one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Rate {
    /// All requests.
    pub total: f32,
    /// Requests beyond the share of the host's callers.
    pub excess: f32,
    /// Requests within the share of callers that were rejected before and came back.
    pub returning: f32,
    /// Requests within the share that were admitted.
    pub admitted: f32,
}

impl Rate {
    /// Adds the requests of another host or core.
    pub fn add(&mut self, other: &Self) {
        self.total += other.total;
        self.excess += other.excess;
        self.returning += other.returning;
        self.admitted += other.admitted;
    }

    fn is_valid(&self) -> bool {
        [self.total, self.excess, self.returning, self.admitted].iter().all(|rate| rate.is_finite() && *rate >= 0.0)
    }
}

/// What hosts know of the requests of one class at all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mix {
    /// Requests per second that callers may send to one host before they count as excess; `None` if too few hosts report
    /// the class.
    pub share: Option<f64>,
    /// Fraction of the requests within shares that hosts admit.
    pub admitted: f64,
    /// Fraction of the requests within shares that come from returning callers.
    pub returning: f64,
}

/// A traffic core's measurements of one set of servers in an interval.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Name of the set; the same on all hosts with the same configuration.
    pub set: CompactString,
    /// Acceptable wait for capacity.
    pub limit: clock::Millis,
    /// Mean wait for capacity, in ms.
    pub wait: f64,
    /// Number of measured waits; 0 if there were too few.
    pub waits: u32,
    /// Recent demand, in work per second.
    pub demand: Demand,
    /// Recent work per second that servers ran.
    pub served: f64,
    /// The most of it in the last seconds.
    pub capacity: f64,
    /// Requests of callers by class.
    pub rates: IndexMap<CompactString, Rate>,
}

/// A traffic core's measurements of an interval.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Index of the core on its host.
    pub lane: u32,
    /// The settings in force.
    pub policy: Policy,
    /// The sets of servers with a wait above the limit, or for which a [`State`] is in force.
    pub samples: Vec<Sample>,
}

/// What traffic cores apply to requests for a set of servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// The threshold.
    pub threshold: Threshold,
    /// The last measured wait for capacity.
    pub wait: clock::Millis,
    /// Mean fraction of all classes' work that is admitted.
    pub admission: f64,
    /// What is known of the requests of each class.
    pub classes: IndexMap<CompactString, Mix>,
}

impl Default for State {
    /// Admits every request.
    fn default() -> Self {
        Self { threshold: Threshold::OPEN, wait: clock::Millis::ZERO, admission: 1.0, classes: IndexMap::new() }
    }
}
