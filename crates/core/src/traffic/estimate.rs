//! Estimate of the time until an attempt at a replica yields a usable answer, and the choice by it.
//!
//! Load pattern: for some seconds, one or two of the three replicas of each shard reject most attempts or are several
//! times slower, while another data centre holds a healthy replica. A choice between the two nearest replicas prefers
//! the rejecting near one until it has rejected several times, and each rejection costs an extra attempt, of which
//! the bound on extra load allows one for five requests. So all replicas are compared by one figure, in ms, that
//! includes what a rejection costs. `docs/design/replica-choice.md` gives the reasons for the constants.

use serde::{Deserialize, Serialize};

use crate::{clock, evidence, view};

/// Time in which own samples of rejections and failures lose half of their number, in ms. A host sees a leaf once or
/// twice a second, so this keeps seven samples. With 1500, hosts tried rejecting replicas again so often that repeats
/// used up the bound on extra load.
const FAILURE_HALF_LIFE: u64 = 3000;
/// The same for slowness. Healthy leaves pause now and then; with 3000, more traffic went to other data centres than
/// without estimates.
const SLOWNESS_HALF_LIFE: u64 = 1500;
/// Minimum weight of the newest sample in a mean. With a quarter, one rejection after a long run of answers suffices
/// for a far replica to be preferred to a near one at the deployed `far_cost` 2 and `score_band` 1.5.
const MIN_SAMPLE_WEIGHT: f64 = 0.25;
/// Lower bound of a slowness, so that a fast server keeps an estimate.
const MIN_SLOWNESS: f64 = 0.1;
/// Upper bound of one slowness sample, so that a single stall does not exclude a server for long.
const MAX_SLOWNESS: f64 = 20.0;
/// Number of own samples that weigh as much as the standing, or as the assumption that a server is healthy without one.
const PRIOR_NUMBER: f64 = 1.0;
/// Cost of a repeat, in usual attempts. It takes the token that five requests earn; with 8, a near replica would lose
/// only after its second rejection.
const REPEAT_COST: f64 = 10.0;
/// Cost of a failure after which no other replica is allowed, in usual attempts. The shard is lost, or is late after
/// the wait for the same replica, so it costs twice a repeat.
const LOSS_COST: f64 = 20.0;
/// Upper bound of the probability of a failure, which keeps the cost finite.
const MAX_PROBABILITY: f64 = 0.95;
/// Own answers in a row, without a rejection, that outweigh what other hosts report.
const CLEARING_ANSWERS: u32 = 3;
/// A slower answer, relative to the usual reply time, does not count towards [`CLEARING_ANSWERS`]; other hosts report a
/// server from there on.
const SLOW: f64 = 3.0;
/// How long [`CLEARING_ANSWERS`] count after the last of them. A server may have begun to fail since.
const CLEARING_WINDOW: clock::Millis = clock::Millis(1500);
/// Bad samples of the last second survive the end of a standing; the evidence that ended it may be older than they are.
const RECENT: clock::Millis = clock::Millis(1000);
/// Rank of a replica that is avoided because it is ejected or silent.
pub const AVOIDED: u8 = 16;

/// Mean of recent samples, which lose half of their number in `HALF_LIFE` ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Mean<const HALF_LIFE: u64> {
    value: f64,
    /// Number of samples at `at`, of which older ones count less.
    number: f64,
    at: clock::Millis,
}

impl<const HALF_LIFE: u64> Mean<HALF_LIFE> {
    fn number_at(self, now: clock::Millis) -> f64 {
        self.number * (-(now.since(self.at).0 as f64) / HALF_LIFE as f64).exp2()
    }

    /// Weight against other evidence, from 0 to 1.
    fn weight(self, now: clock::Millis) -> f64 {
        let number = self.number_at(now);
        number / (number + PRIOR_NUMBER)
    }

    fn add(&mut self, now: clock::Millis, sample: f64) {
        self.number = self.number_at(now) + 1.0;
        self.value += (1.0 / self.number).max(MIN_SAMPLE_WEIGHT) * (sample - self.value);
        self.at = now;
    }

    /// The mean, filled in with `other` as far as own samples are few or old.
    fn combine(self, now: clock::Millis, other: f64) -> f64 {
        let weight = self.weight(now);
        weight * self.value + (1.0 - weight) * other
    }
}

/// What this host recently observed of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Samples {
    failure: Mean<FAILURE_HALF_LIFE>,
    slowness: Mean<SLOWNESS_HALF_LIFE>,
    answers_in_row: u32,
    /// When an attempt last was rejected, failed, lost or slow.
    bad_at: clock::Millis,
}

impl Samples {
    /// Records an answer that took `slowness` times the usual reply time.
    pub fn record_answer(&mut self, now: clock::Millis, slowness: f64) {
        self.failure.add(now, 0.0);
        self.slowness.add(now, slowness.min(MAX_SLOWNESS));
        self.answers_in_row = self.answers_in_row.saturating_add(1);
        self.end_row_if_slow(now, slowness);
    }

    fn end_row_if_slow(&mut self, now: clock::Millis, slowness: f64) {
        if slowness >= SLOW {
            self.answers_in_row = 0;
            self.bad_at = now;
        }
    }

    /// Records an attempt that was rejected, failed or lost.
    pub fn record_failure(&mut self, now: clock::Millis) {
        self.failure.add(now, 1.0);
        self.answers_in_row = 0;
        self.bad_at = now;
    }

    /// Records an attempt that was cancelled after `slowness` times the usual reply time, a lower bound of its own.
    pub fn record_cancel(&mut self, now: clock::Millis, slowness: f64) {
        if slowness > self.slowness.combine(now, 1.0) {
            self.slowness.add(now, slowness.min(MAX_SLOWNESS));
        }
        self.end_row_if_slow(now, slowness);
    }

    /// Discards the samples at the end of a standing: answers to other hosts are newer than what was bad here.
    pub fn on_standing_end(&mut self, now: clock::Millis) {
        if now.since(self.bad_at) > RECENT {
            *self = Self::default();
        }
    }

    /// Number of recent attempts with a known result, of which older ones count less.
    pub fn number(&self, now: clock::Millis) -> f64 {
        self.failure.number_at(now)
    }

    /// Whether the server has just answered well several times in a row.
    pub fn is_good(&self, now: clock::Millis) -> bool {
        self.answers_in_row >= CLEARING_ANSWERS && now.since(self.failure.at) <= CLEARING_WINDOW
    }
}

/// What is known of one replica of a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Replica {
    /// Conditions that would make an attempt useless; lower is better. Replicas of the lowest rank are compared.
    pub rank: u8,
    /// How far it is from this host.
    pub distance: view::Distance,
    /// Expected wait at this host for capacity, in ms.
    pub wait: f64,
    /// This host's attempts in flight at it, and the load that it reports if that counts.
    pub load: f64,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// What this host observed.
    pub own: Samples,
    /// What other hosts agree on; `None` if it does not deviate as far as they know.
    pub standing: Option<evidence::Standing>,
}

/// What is common to the replicas of a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Context {
    /// The present time.
    pub now: clock::Millis,
    /// Median attempt time of the class, in ms.
    pub usual: f64,
    /// Factor on the time of a usual attempt in another data centre; see `policy::Policy`.
    pub far_cost: f64,
    /// Replicas within this factor of the best count as equal; see `policy::Policy`.
    pub score_band: f64,
    /// Whether no other replica of the shard is allowed after this attempt.
    pub is_last: bool,
}

/// The parts of an estimate, in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Wait for capacity, at this host and at the server.
    pub wait: f64,
    /// Run time, queues of other hosts at the server included.
    pub run: f64,
    /// Expected cost of a rejection or failure.
    pub failure: f64,
    /// Cost of traffic between data centres.
    pub distance: f64,
}

impl Estimate {
    /// The figure by which replicas are compared.
    pub fn total(&self) -> f64 {
        self.wait + self.run + self.failure + self.distance
    }
}

impl Replica {
    /// Whether this host is to find out whether the server has recovered, so that it counts as healthy. An attempt that
    /// could not be repeated is not used for that.
    fn is_tried(&self, context: &Context) -> bool {
        self.standing.is_some_and(|standing| standing.may_try) && !context.is_last
    }

    /// The standing as far as it applies here. Own good answers take precedence over it.
    fn standing_in_force(&self, context: &Context) -> Option<evidence::Standing> {
        self.standing.filter(|_| !self.is_tried(context) && !self.own.is_good(context.now))
    }

    /// Whether a standing takes the replica out of use unless all others are worse.
    pub fn is_out_of_use(&self, context: &Context) -> bool {
        self.standing_in_force(context).is_some()
    }

    /// Probability of a rejection, failure or loss, and the reply time relative to the usual one.
    fn expectation(&self, context: &Context) -> (f64, f64) {
        if self.is_tried(context) {
            return (0.0, 1.0);
        }
        let standing = self.standing_in_force(context);
        let failure = standing.map_or(0.0, |known| {
            1.0 - (1.0 - bound(known.rejection, 0.0, 1.0)) * (1.0 - bound(known.failure, 0.0, 1.0))
        });
        let slowness = standing.map_or(1.0, |known| bound(known.slowness, 1.0, MAX_SLOWNESS));
        (self.own.failure.combine(context.now, failure), self.own.slowness.combine(context.now, slowness))
    }

    /// Estimates the time until an attempt here yields a usable answer.
    pub fn estimate(&self, context: &Context) -> Estimate {
        let (probability, slowness) = self.expectation(context);
        let probability = probability.min(MAX_PROBABILITY);
        let run = context.usual * slowness.max(MIN_SLOWNESS);
        let cost = if context.is_last { LOSS_COST } else { REPEAT_COST };
        let is_near = self.distance == view::Distance::Near;
        Estimate {
            wait: self.wait + run * self.load / f64::from(self.slots.max(1)),
            run,
            failure: context.usual * cost * probability / (1.0 - probability),
            distance: if is_near { 0.0 } else { context.usual * (context.far_cost - 1.0).max(0.0) },
        }
    }

    fn full_rank(&self, context: &Context) -> u8 {
        let is_silent = self.standing_in_force(context).is_some_and(|standing| standing.is_silent);
        if is_silent { self.rank | AVOIDED } else { self.rank }
    }
}

/// Selects the replica of the lowest rank with the least estimate. Among those within the band of the best and at the
/// same distance, `draw` decides, so that hosts with the same evidence do not all send to one server. A far replica
/// within the band does not replace a near one. One that a standing takes out of use is selected only if all others
/// are worse. Returns its index, `None` without replicas.
pub fn choose(replicas: &[Replica], context: &Context, draw: u32) -> Option<usize> {
    let rank = replicas.iter().map(|replica| replica.full_rank(context)).min()?;
    let mut candidates: Vec<(usize, f64)> = Vec::with_capacity(replicas.len());
    let mut out_of_use: Option<(usize, f64)> = None;
    for (index, replica) in replicas.iter().enumerate() {
        if replica.full_rank(context) != rank {
            continue;
        }
        let total = replica.estimate(context).total();
        if !replica.is_out_of_use(context) {
            candidates.push((index, total));
        } else if out_of_use.is_none_or(|(_, least)| total < least) {
            out_of_use = Some((index, total));
        }
    }
    let best = candidates.iter().map(|&(_, total)| total).fold(f64::INFINITY, f64::min);
    if let Some((index, total)) = out_of_use
        && total < best
    {
        return Some(index);
    }
    let nearest =
        |&(index, total): &(usize, f64)| (total <= best * context.score_band).then(|| replicas[index].distance);
    let distance = candidates.iter().filter_map(nearest).min()?;
    candidates.retain(|candidate| nearest(candidate) == Some(distance));
    candidates.get(draw as usize % candidates.len().max(1)).map(|&(index, _)| index)
}

/// A reported value within its bounds; other hosts may send any.
fn bound(value: f64, low: f64, high: f64) -> f64 {
    if value.is_nan() { high } else { value.clamp(low, high) }
}

/// Whether the standings of other hosts change the selection.
pub fn is_decided_by_standing(replicas: &[Replica], context: &Context, draw: u32, chosen: usize) -> bool {
    if replicas.iter().all(|replica| replica.standing.is_none()) {
        return false;
    }
    let mut own = replicas.to_vec();
    for replica in &mut own {
        replica.standing = None;
    }
    choose(&own, context, draw) != Some(chosen)
}
