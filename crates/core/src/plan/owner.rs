//! Which hosts gather for a set of shards, and how its servers' connections are cut among hosts.
//!
//! A gather sends one request to each of many servers. Done by every host, it needs connections from
//! each host to each server, sends most bytes across data centres, and takes as long as the weakest
//! host needs for that many messages. So only some hosts gather: those with enough processor, in the
//! data centres where the servers are. The others pass a request on whole, as one message.
//!
//! The choice is a pure function of what all hosts know, so they agree without talking about it; when
//! they know different hosts for a while, a host gathers for itself or is asked although it is not an
//! owner, and both still work. A part of each server's connections is kept for *seconds*, hosts that
//! gather when no owner can be reached.

use std::cmp;

use compact_str::CompactString;
use indexmap::IndexSet;

use crate::rendezvous;

/// Part of a server's connections that owners get where other hosts need some too.
const OWNERS_PART: f64 = 0.75;
/// Least connections of an owner to each server: one in use, one for a second request at the same time.
const OWNER_CONNECTIONS: f64 = 2.0;
/// Part of the strongest host's processor that an owner has at least. The slowest part of a gather
/// decides when it is done, so a host much weaker than the rest would make all its gathers late.
const STRONG: f64 = 0.5;
/// Fewest owners; with less, one failure leaves nobody.
const OWNERS_LEAST: usize = 2;

/// A host that may gather.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Its processor, in thousandths of a core.
    pub power: u32,
}

/// Who gathers for a set of shards, by place in the list of candidates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tiers {
    /// Hosts that gather.
    pub owners: Vec<usize>,
    /// Hosts that gather when no owner can be reached.
    pub seconds: Vec<usize>,
}

impl Tiers {
    /// The tiers of the set called `set`, whose servers are in `homes` and accept `connections` each.
    pub fn new(set: &str, homes: &IndexSet<CompactString>, candidates: &[Candidate], connections: u32) -> Self {
        let is_home = |place: usize| homes.contains(&candidates[place].data_centre);
        let mut order: Vec<usize> = (0..candidates.len()).collect();
        order.sort_by_cached_key(|&place| {
            let candidate = &candidates[place];
            let weight = rendezvous::weight(set, &candidate.name);
            (!is_home(place), cmp::Reverse(candidate.power), cmp::Reverse(weight), candidate.name.clone())
        });
        let mut owners = strong(&order, candidates, is_home);
        if owners.len() < OWNERS_LEAST {
            owners = strong(&order, candidates, |_| true);
        }
        let most = (f64::from(connections) * OWNERS_PART / OWNER_CONNECTIONS) as usize;
        owners.truncate(most.max(1));
        let mut seconds: Vec<usize> = order.into_iter().filter(|place| !owners.contains(place)).collect();
        seconds.truncate((f64::from(connections) * (1.0 - OWNERS_PART)) as usize);
        Self { owners, seconds }
    }

    /// The part, as a share, that the candidate at `place` has of a bound that all hosts keep together.
    pub fn part(&self, place: usize) -> f64 {
        if self.owners.contains(&place) {
            let part = if self.seconds.is_empty() { 1.0 } else { OWNERS_PART };
            return part / self.owners.len() as f64;
        }
        if self.seconds.contains(&place) {
            return (1.0 - OWNERS_PART) / self.seconds.len() as f64;
        }
        0.0
    }

    /// How many of a server's `connections` the candidate at `place` may hold.
    pub fn share(&self, place: usize, connections: u32) -> u32 {
        (f64::from(connections) * self.part(place)) as u32
    }
}

/// The candidates that have enough processor, of those that `may` own, in `order`.
fn strong(order: &[usize], candidates: &[Candidate], may: impl Fn(usize) -> bool) -> Vec<usize> {
    let of_all = order.iter().copied().filter(|&place| may(place));
    let most = of_all.clone().map(|place| candidates[place].power).max().unwrap_or_default();
    let least = f64::from(most) * STRONG;
    of_all.filter(|&place| f64::from(candidates[place].power) >= least).collect()
}
