//! The choice of gathering hosts by demand and strength.
//!
//! Load pattern: many hosts of similar strength, and demand that a few of them could gather. [`owner`] takes every host
//! with half of the strongest one's processor, as many as get two connections to each server. With 19 owners of 24
//! hosts, each uses a given server once in two seconds: it opens most connections anew, because servers close idle
//! ones, and it has few samples of each server. So from the owners of [`owner`] this module takes only as many as the
//! demand needs, and gives them connections in proportion to their strength.
//!
//! The choice is a pure function of the member list, the demand that each member publishes and the settings. The order
//! in which hosts are added does not depend on demand, so another demand only adds or removes hosts at its end. While a
//! host is known that publishes no demand, such as one of a previous version, the choice is that of [`owner`], which is
//! how that host decides. [`transition`] bounds what happens while hosts disagree.

pub mod transition;

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::owner;

/// Processor time of a gather for each of its shards, in seconds of a whole core: 5.4 ms for 90 shards, measured.
const CORE_SECONDS_PER_SHARD: f64 = 0.0054 / 90.0;
/// Minimum connections of a gathering host to each server: one in use and one for a concurrent second request.
const MIN_CONNECTIONS: f64 = 2.0;

/// The parameters of the choice.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Hosts are added until gathering is expected to use at most this fraction of their processors. Default 0.3: a
    /// burst to three times the published demand, which takes seconds to be noticed, still fits.
    pub utilisation: f64,
    /// Minimum number of gathering hosts, if that many qualify. Default 6: the loss of a third of them leaves four,
    /// which use 0.45 of their processors.
    pub min: u32,
    /// Minimum number of gathering hosts in each data centre with many of the servers, if that many qualify. Default 2,
    /// so that the loss of one host sends no gathers of its data centre to another one.
    pub min_per_data_centre: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self { utilisation: 0.3, min: 6, min_per_data_centre: 2 }
    }
}

/// A rate of gathers, in thousandths of a gather per second, rounded to a step.
///
/// Steps differ by a factor of [`Demand::STEP`], so that the random variation of a rate seldom changes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Demand(pub u32);

impl Demand {
    /// No demand is published.
    pub const NONE: Self = Self(0);
    /// The lowest step that is published.
    pub const LOWEST: Self = Self(100);
    /// Ratio of two consecutive steps.
    pub const STEP: f64 = 1.5;
    /// The highest step's distance from the lowest.
    const MAX_POSITION: f64 = 40.0;
    /// Distance of a rate from the current step, in steps, from which another step applies. Half a step would let a
    /// rate between two steps alternate between them.
    const HYSTERESIS: f64 = 0.75;

    /// Gathers per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1000.0
    }

    /// The step for `rate` gathers per second if this is the current one.
    pub fn follow(self, rate: f64) -> Self {
        let position = |per_second: f64| (per_second / Self::LOWEST.per_second()).max(1e-9).log(Self::STEP);
        let wanted = position(rate).clamp(0.0, Self::MAX_POSITION);
        if self != Self::NONE && (wanted - position(self.per_second())).abs() < Self::HYSTERESIS {
            return self;
        }
        Self((f64::from(Self::LOWEST.0) * Self::STEP.powf(wanted.round())).round() as u32)
    }

    /// The sum of all `demands`; `None` if one of them is not published.
    pub fn sum(demands: impl IntoIterator<Item = Self>) -> Option<Self> {
        let mut sum = 0_u32;
        for demand in demands {
            if demand == Self::NONE {
                return None;
            }
            sum = sum.saturating_add(demand.0);
        }
        Some(Self(sum))
    }
}

/// What determined the number of gathering hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// A known host publishes no demand, so all hosts that qualify gather.
    #[default]
    DemandUnknown,
    /// No more hosts qualify than are needed.
    AllNeeded,
    /// The minimum number of hosts.
    Minimum,
    /// The minimum number of hosts in each data centre.
    DataCentres,
    /// The demand.
    Demand,
}

impl Reason {
    /// The name of the reason in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DemandUnknown => "a host publishes no demand",
            Self::AllNeeded => "all that qualify are needed",
            Self::Minimum => "minimum",
            Self::DataCentres => "minimum per data centre",
            Self::Demand => "demand",
        }
    }
}

/// A set of shards whose gathers are assigned to hosts.
#[derive(Clone, Copy, Debug)]
pub struct Set<'s> {
    /// Key of the set.
    pub key: &'s str,
    /// Number of its shards.
    pub shards: usize,
    /// Data centres with many of its servers.
    pub homes: &'s IndexSet<CompactString>,
    /// Limit on connections of each server.
    pub connections: u32,
}

/// The gathering hosts of a set of shards.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The hosts that gather, and those that do when none of them is reachable.
    pub tiers: owner::Tiers,
    /// Hosts that qualify but are not needed, in the order in which demand adds them: they replace gathering hosts that
    /// fail.
    pub reserves: Vec<usize>,
    /// What determined the number of gathering hosts.
    pub reason: Reason,
    /// Each candidate's share of fleet-wide limits, from 0 to 1; empty if `tiers` determines it.
    shares: Vec<f64>,
}

impl Choice {
    /// Chooses among `candidates` by the sum of the `demand` of all hosts; `None` if a host publishes none.
    pub fn new(
        set: &Set<'_>,
        candidates: &[owner::Candidate],
        policy: Option<&Policy>,
        demand: Option<Demand>,
    ) -> Self {
        let tiers = owner::Tiers::new(set.key, set.homes, candidates, set.connections);
        let (Some(policy), Some(demand)) = (policy, demand) else {
            return Self::all(tiers, Reason::DemandUnknown);
        };
        let (count, reason, order) = required(&tiers.owners, candidates, set.shards, policy, demand);
        if count >= tiers.owners.len() {
            return Self::all(tiers, Reason::AllNeeded);
        }
        let unassigned = unassigned(set, &tiers, candidates);
        Self::reduced(&tiers, order.split_at(count), candidates, set.connections, unassigned, reason)
    }

    fn all(tiers: owner::Tiers, reason: Reason) -> Self {
        Self { tiers, reserves: Vec::new(), reason, shares: Vec::new() }
    }

    /// Only `owners` of the hosts that qualify gather; the `reserves` become standbys before others, so that a host that
    /// no longer gathers keeps a connection for the requests that still reach it.
    ///
    /// The share `unassigned` is left to nobody.
    fn reduced(
        all: &owner::Tiers,
        (owners, reserves): (&[usize], &[usize]),
        candidates: &[owner::Candidate],
        connections: u32,
        unassigned: f64,
        reason: Reason,
    ) -> Self {
        let owners_total = owner::OWNERS_FRACTION * (1.0 - unassigned);
        let standbys_total = (1.0 - owner::OWNERS_FRACTION) * (1.0 - unassigned);
        let mut standbys: Vec<usize> = reserves.iter().chain(&all.standbys).copied().collect();
        standbys.truncate((f64::from(connections) * standbys_total) as usize);
        let mut shares = vec![0.0; candidates.len()];
        let powers: Vec<f64> = owners.iter().map(|&index| power(&candidates[index])).collect();
        let min_share = MIN_CONNECTIONS / f64::from(connections.max(1));
        for (&index, share) in owners.iter().zip(proportional(owners_total, &powers, min_share)) {
            shares[index] = share;
        }
        for &index in &standbys {
            shares[index] = standbys_total / standbys.len() as f64;
        }
        let tiers = owner::Tiers { owners: owners.to_vec(), standbys };
        Self { tiers, reserves: reserves.to_vec(), reason, shares }
    }

    /// Each of `count` hosts gathers for its own callers, because none is in a permitted region.
    pub(super) fn without_candidates(count: usize) -> Self {
        let tiers = owner::Tiers { owners: (0..count).collect(), standbys: Vec::new() };
        Self::all(tiers, Reason::AllNeeded)
    }

    /// The share, from 0 to 1, of fleet-wide limits for the candidate at `index`.
    pub fn limit_share(&self, index: usize) -> f64 {
        self.shares.get(index).copied().unwrap_or_else(|| self.tiers.limit_share(index))
    }

    /// The number of a server's `connections` for the candidate at `index`.
    pub fn connection_share(&self, index: usize, connections: u32) -> u32 {
        (f64::from(connections) * self.limit_share(index)) as u32
    }
}

/// The greatest share that one host takes which does not know this rule, before other hosts know of it: one of
/// `candidates` that is replaced by such a host, or another host of at most the same strength that joins.
fn unassigned(set: &Set<'_>, all: &owner::Tiers, candidates: &[owner::Candidate]) -> f64 {
    let mut greatest = (0..candidates.len()).map(|index| all.limit_share(index)).fold(0.0, f64::max);
    let max_power = all.owners.iter().map(|&index| candidates[index].power).max().unwrap_or_default();
    let data_centre = set.homes.first().cloned().unwrap_or_default();
    // The strongest becomes an owner, the weakest perhaps the only standby.
    for power in [max_power, 0] {
        let mut with_joined = candidates.to_vec();
        with_joined.push(owner::Candidate { name: CompactString::default(), data_centre: data_centre.clone(), power });
        let tiers = owner::Tiers::new(set.key, set.homes, &with_joined, set.connections);
        greatest = greatest.max(tiers.limit_share(candidates.len()));
    }
    greatest
}

/// A candidate's strength. Hosts that report none count as equally weak.
fn power(candidate: &owner::Candidate) -> f64 {
    f64::from(candidate.power.max(1))
}

/// The number of hosts that gather, the reason, and the order in which hosts are added.
fn required(
    qualified: &[usize],
    candidates: &[owner::Candidate],
    shards: usize,
    policy: &Policy,
    demand: Demand,
) -> (usize, Reason, Vec<usize>) {
    let (order, per_data_centre) = ranked(qualified, candidates, policy.min_per_data_centre as usize);
    let (mut count, mut reason) = (policy.min.max(1) as usize, Reason::Minimum);
    if per_data_centre > count {
        (count, reason) = (per_data_centre, Reason::DataCentres);
    }
    let cores_needed = demand.per_second() * shards as f64 * CORE_SECONDS_PER_SHARD / policy.utilisation;
    let mut cores = 0.0;
    let mut by_demand = 0;
    while by_demand < order.len() && cores < cores_needed {
        cores += power(&candidates[order[by_demand]]) / 1000.0;
        by_demand += 1;
    }
    if by_demand > count {
        (count, reason) = (by_demand, Reason::Demand);
    }
    (count, reason, order)
}

/// Sorts `qualified`, which is in descending order of strength: first `per_data_centre` hosts of each data centre, whose
/// total number is the second result, then in turn the next one of the data centre with the least strength so far.
fn ranked(qualified: &[usize], candidates: &[owner::Candidate], per_data_centre: usize) -> (Vec<usize>, usize) {
    let mut by_data_centre: IndexMap<&CompactString, Vec<usize>> = IndexMap::new();
    for &index in qualified {
        by_data_centre.entry(&candidates[index].data_centre).or_default().push(index);
    }
    let centres: Vec<Vec<usize>> = by_data_centre.into_values().collect();
    let mut taken = vec![0; centres.len()];
    let mut strengths = vec![0.0; centres.len()];
    let mut order = Vec::with_capacity(qualified.len());
    let mut take = |centre: usize, order: &mut Vec<usize>, strengths: &mut Vec<f64>| {
        let Some(&index) = centres[centre].get(taken[centre]) else {
            return;
        };
        taken[centre] += 1;
        strengths[centre] += power(&candidates[index]);
        order.push(index);
    };
    let largest = centres.iter().map(Vec::len).max().unwrap_or_default();
    for _ in 0..per_data_centre.min(largest) {
        for centre in 0..centres.len() {
            take(centre, &mut order, &mut strengths);
        }
    }
    let required = order.len();
    while order.len() < qualified.len() {
        let before = order.len();
        let weakest = (0..centres.len()).min_by(|&left, &right| strengths[left].total_cmp(&strengths[right]));
        let Some(weakest) = weakest else {
            break;
        };
        take(weakest, &mut order, &mut strengths);
        if order.len() == before {
            // All hosts of this data centre are taken.
            strengths[weakest] = f64::INFINITY;
        }
    }
    (order, required)
}

/// Divides `total` in proportion to `powers`, but into parts of at least `min` if that is possible.
fn proportional(total: f64, powers: &[f64], min: f64) -> Vec<f64> {
    let min = min.min(total / powers.len().max(1) as f64);
    let mut is_raised = vec![false; powers.len()];
    loop {
        let raised = is_raised.iter().filter(|raised| **raised).count();
        let rest = (total - min * raised as f64).max(0.0);
        let weight: f64 = powers.iter().zip(&is_raised).filter(|(_, raised)| !**raised).map(|(power, _)| power).sum();
        let shares: Vec<f64> = powers
            .iter()
            .zip(&is_raised)
            .map(|(power, raised)| if *raised { min } else { rest * power / weight })
            .collect();
        let Some(lowest) = (0..shares.len()).find(|&index| !is_raised[index] && shares[index] < min - 1e-12) else {
            return shares;
        };
        is_raised[lowest] = true;
    }
}
