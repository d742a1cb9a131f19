//! The choice of the hosts that gather for a set of shards, and their shares of its servers' connections.
//!
//! A gather sends one request to each of many servers. If every host gathered, each would need
//! connections to each server, most bytes would cross data centres, and the latency would be that of
//! the weakest host with that many messages. So only some hosts, the *owners*, gather: those with enough
//! processing capacity, in the data centres of the servers. The others relay a request as one message.
//!
//! The choice is a pure function of the membership list, so hosts agree without communication. While
//! their lists differ, a host may gather for itself or receive relayed requests without being an owner,
//! and both work. A fraction of each server's connections is reserved for *standbys*, hosts that gather
//! when no owner is reachable.

use std::cmp;

use compact_str::CompactString;
use indexmap::IndexSet;

use crate::rendezvous;

/// Fraction of a server's connections for owners; the rest is reserved for standbys, if there are any.
pub(super) const OWNERS_FRACTION: f64 = 0.75;
/// Minimum connections of an owner to each server: one in use and one for a concurrent second request.
const MIN_OWNER_CONNECTIONS: f64 = 2.0;
/// Minimum processing capacity of an owner, as a fraction of the strongest host's. The slowest part of a
/// gather determines its latency, so a much weaker host would make all its gathers late.
const MIN_POWER_FRACTION: f64 = 0.5;
/// Minimum number of owners; with fewer, one failure leaves none.
const MIN_OWNERS: usize = 2;

/// A host that may gather.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Unique name.
    pub name: CompactString,
    /// The data centre that it runs in.
    pub data_centre: CompactString,
    /// Its processing capacity, in thousandths of a core.
    pub power: u32,
}

/// The hosts that gather for a set of shards, by index in the list of candidates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tiers {
    /// Hosts that gather.
    pub owners: Vec<usize>,
    /// Hosts that gather when no owner is reachable.
    pub standbys: Vec<usize>,
}

impl Tiers {
    /// Chooses the tiers for a set of shards whose servers are in the data centres `homes` and accept `connections`
    /// each.
    pub fn new(set_key: &str, homes: &IndexSet<CompactString>, candidates: &[Candidate], connections: u32) -> Self {
        let is_home = |index: usize| homes.contains(&candidates[index].data_centre);
        let mut order: Vec<usize> = (0..candidates.len()).collect();
        order.sort_by_cached_key(|&index| {
            let candidate = &candidates[index];
            let weight = rendezvous::weight(set_key, &candidate.name);
            (!is_home(index), cmp::Reverse(candidate.power), cmp::Reverse(weight), candidate.name.clone())
        });
        let mut owners = with_enough_power(&order, candidates, is_home);
        if owners.len() < MIN_OWNERS {
            owners = with_enough_power(&order, candidates, |_| true);
        }
        let max_owners = (f64::from(connections) * OWNERS_FRACTION / MIN_OWNER_CONNECTIONS) as usize;
        owners.truncate(max_owners.max(1));
        let mut standbys: Vec<usize> = order.into_iter().filter(|index| !owners.contains(index)).collect();
        standbys.truncate((f64::from(connections) * (1.0 - OWNERS_FRACTION)) as usize);
        Self { owners, standbys }
    }

    /// The share, from 0 to 1, of fleet-wide limits for the candidate at `index`.
    pub fn limit_share(&self, index: usize) -> f64 {
        if self.owners.contains(&index) {
            let total = if self.standbys.is_empty() { 1.0 } else { OWNERS_FRACTION };
            return total / self.owners.len() as f64;
        }
        if self.standbys.contains(&index) {
            return (1.0 - OWNERS_FRACTION) / self.standbys.len() as f64;
        }
        0.0
    }

    /// The number of a server's `connections` for the candidate at `index`.
    pub fn connection_share(&self, index: usize, connections: u32) -> u32 {
        (f64::from(connections) * self.limit_share(index)) as u32
    }
}

/// The candidates that are `eligible` and have enough processing capacity, in `order`.
fn with_enough_power(order: &[usize], candidates: &[Candidate], eligible: impl Fn(usize) -> bool) -> Vec<usize> {
    let all = order.iter().copied().filter(|&index| eligible(index));
    let greatest = all.clone().map(|index| candidates[index].power).max().unwrap_or_default();
    let threshold = f64::from(greatest) * MIN_POWER_FRACTION;
    all.filter(|&index| f64::from(candidates[index].power) >= threshold).collect()
}
