//! Gossip membership: how entry hosts discover each other when no published list contains them.
//!
//! A host gets its seeds from the settings. Each second it probes a few random members with a digest
//! and expects a reply. A member that leaves two probes in a row unanswered is marked silent, and
//! digests disseminate this like a join or a leave. A lack of updates about a member has no effect, so
//! the cost per host does not grow with the fleet, and members of a large fleet are not declared dead
//! just because no update about them arrived. A host that learns that it was marked silent refutes it.
//!
//! Silent members get no work, but count in shares of limits until they expire, because a host on the
//! other side of a partition keeps using its share. Based on Das, Gupta and Motivala, "SWIM: scalable
//! weakly-consistent infection-style process group membership protocol" (2002).

use std::cmp;

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, rngs};
use xxhash_rust::xxh3;

use crate::{clock, plan};

use super::message;

/// Maximum number of members in a digest besides the sender; those sent least often since their last change go first.
const MAX_MEMBERS: usize = 8;
/// Time for which a state change is included in digests to hosts whose knowledge is unknown. A change reaches about
/// a thousand hosts in about ten rounds of digests, which are a second apart. A host that missed it gets it in the
/// reply to one of its own digests.
const CHANGE_GOSSIP_TIME: clock::Millis = clock::Millis(10_000);
/// [`MAX_MEMBERS`] for a recipient that knows fewer members than this host.
const MAX_MEMBERS_TO_LAGGING: usize = 32;
/// [`MAX_MEMBERS`] for a recipient that knows less than [`KNOWN_FRACTION`] of the members. When a large fleet starts
/// at once, each seed gets hundreds of digests together, and its replies must fit the bandwidth of its link.
const MAX_MEMBERS_TO_NEW: usize = 64;
/// Average number of digests per round that all hosts of a large data centre together send to other data centres.
/// At this rate changes leave a data centre within a fraction of a second, and the traffic between data centres does
/// not grow with the number of hosts.
const FAR_PROBES: f64 = 8.0;
/// A recipient that knows less than this fraction of this host's members is treated as new.
const KNOWN_FRACTION: f64 = 0.9;
/// Consecutive unanswered probes after which a member is marked silent.
const MAX_UNANSWERED: u8 = 2;

#[derive(Clone, Debug)]
struct Record {
    member: message::Member,
    /// When this host last learnt of a change of its state or demand.
    changed_at: clock::Millis,
    /// The same for its demand alone; `None` before the first change.
    demand_changed_at: Option<clock::Millis>,
    /// Number of digests in which it was sent since its last update.
    times_sent: u32,
    /// Consecutive probes without a reply.
    unanswered_probes: u8,
    /// When the oldest unanswered probe was sent.
    probed_at: Option<clock::Millis>,
    /// Whether the member reported that the registry is unreachable for it.
    is_registry_unreachable: bool,
}

/// The effect of an update on a member's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// No relevant change.
    None,
    /// The member was added.
    Joined,
    /// Its state or CPU capacity changed.
    Updated,
    /// Only its demand changed.
    Demand,
}

/// The recipient of a digest, as far as it affects which members are included.
#[derive(Clone, Copy, Debug)]
pub(super) enum Recipient<'r> {
    /// A host whose knowledge of members is unknown.
    Unknown,
    /// A host that sent a digest.
    Known {
        /// Number of hosts known to it.
        member_count: usize,
        /// Its data centre; empty if unknown.
        data_centre: &'r str,
        /// For each bucket, whether its digest differs from this host's; empty if it sent no comparable digests.
        differing: &'r [bool],
    },
}

/// The result of checking for unanswered probes.
#[derive(Debug, Default)]
pub(super) struct Timeouts {
    /// Names of members newly marked silent.
    pub(super) silent: Vec<CompactString>,
    /// Addresses of members to probe again.
    pub(super) retries: Vec<CompactString>,
    /// Addresses of all hosts that did not reply.
    pub(super) timed_out: Vec<CompactString>,
}

/// The members known to this host, by peer address.
#[derive(Debug, Default)]
pub(super) struct Members {
    records: IndexMap<CompactString, Record>,
    /// Probed hosts that are not members, such as seeds that never replied, with the time of the probe.
    non_members: IndexMap<CompactString, clock::Millis>,
    /// Cached digest of each bucket; `None` after a record changed.
    bucket_digests: Option<Vec<u32>>,
    /// Whether the last host that replied has different member records.
    is_differing: bool,
}

/// Number of buckets per member while hosts differ. With small buckets, few members are sent that the recipient
/// already has.
const BUCKETS_PER_MEMBER: f64 = 0.25;
/// Maximum number of buckets; the digest of each takes five bytes.
const MAX_BUCKETS: usize = 256;

/// The bucket, out of `bucket_count`, of the member at `peer`.
fn bucket(peer: &str, bucket_count: usize) -> usize {
    xxh3::xxh3_64(peer.as_bytes()) as usize % bucket_count.max(1)
}

/// A digest of `member`'s address, incarnation, state and demand. The digests of a bucket are combined by XOR, so that
/// order does not matter. Nodes of earlier versions do not include the demand, so their digests differ from those of
/// hosts that know one; each digest then carries [`MAX_MEMBERS`] records.
fn member_digest(member: &message::Member) -> u32 {
    let seed = member.incarnation << 2 | member.state as u64;
    let seed = seed ^ u64::from(member.demand.0) << 32;
    xxh3::xxh3_64_with_seed(member.peer.as_bytes(), seed) as u32
}

/// For each bucket, whether the two hosts' digests differ; empty if the numbers of buckets differ.
pub(super) fn differing(left: &[u32], right: &[u32]) -> Vec<bool> {
    if left.len() != right.len() {
        return Vec::new();
    }
    left.iter().zip(right).map(|(left, right)| left != right).collect()
}

impl Members {
    /// Number of known hosts, including this one.
    pub(super) fn count(&self) -> usize {
        self.records.len() + 1
    }

    /// Whether the host at `peer` accepts compressed messages.
    pub(super) fn packs(&self, peer: &CompactString) -> bool {
        self.records.get(peer).is_some_and(|record| record.member.packs)
    }

    /// The digests of all members and of the `local` host, by bucket.
    pub(super) fn digests(&mut self, bucket_count: usize, local: &message::Member) -> Vec<u32> {
        if bucket_count == 0 {
            return Vec::new();
        }
        let records = &self.records;
        let cached = self.bucket_digests.take().filter(|cached| cached.len() == bucket_count);
        let cached = cached.unwrap_or_else(|| {
            let mut digests = vec![0; bucket_count];
            for (peer, record) in records {
                digests[bucket(peer, bucket_count)] ^= member_digest(&record.member);
            }
            digests
        });
        let mut digests = cached.clone();
        self.bucket_digests = Some(cached);
        digests[bucket(&local.peer, bucket_count)] ^= member_digest(local);
        digests
    }

    /// Number of buckets in digests to a host whose own digests are unknown.
    pub(super) fn bucket_count(&self) -> usize {
        if !self.is_differing {
            return 1;
        }
        ((self.count() as f64 * BUCKETS_PER_MEMBER) as usize).clamp(1, MAX_BUCKETS)
    }

    /// Records whether the last host that replied has different member records.
    pub(super) fn set_differing(&mut self, is_differing: bool) {
        self.is_differing = is_differing;
    }

    /// Merges a received record of `member`. An unknown member that is silent or leaving is ignored: hosts remove
    /// such members at different times, and would otherwise keep adding them back to each other's lists.
    pub(super) fn merge(&mut self, now: clock::Millis, member: &message::Member) -> Change {
        let Some(record) = self.records.get_mut(&member.peer) else {
            if member.state != message::State::Alive {
                return Change::None;
            }
            let member = member.clone();
            let record = Record {
                member,
                changed_at: now,
                demand_changed_at: None,
                times_sent: 0,
                unanswered_probes: 0,
                probed_at: None,
                is_registry_unreachable: false,
            };
            self.bucket_digests = None;
            self.records.insert(record.member.peer.clone(), record);
            return Change::Joined;
        };
        // A host of an earlier version that passed on a record dropped its demand.
        let order = |member: &message::Member| (member.incarnation, member.state, member.demand);
        if order(member) <= order(&record.member) {
            return Change::None;
        }
        let is_changed = record.member.state != member.state || record.member.power != member.power;
        let is_demand_changed = record.member.demand != member.demand;
        record.member = member.clone();
        record.times_sent = 0;
        self.bucket_digests = None;
        if !is_changed && !is_demand_changed {
            return Change::None;
        }
        record.changed_at = now;
        if is_demand_changed {
            record.demand_changed_at = Some(now);
        }
        if is_changed { Change::Updated } else { Change::Demand }
    }

    /// Whether the member at `peer` is silent or has unanswered probes.
    pub(super) fn is_unresponsive(&self, peer: &CompactString) -> bool {
        self.records
            .get(peer)
            .is_some_and(|record| record.unanswered_probes > 0 || record.member.state == message::State::Silent)
    }

    /// Marks the member at `peer` as alive after a message from it, regardless of what other hosts report.
    pub(super) fn mark_alive(&mut self, now: clock::Millis, peer: &CompactString) -> Change {
        self.non_members.swap_remove(peer);
        let Some(record) = self.records.get_mut(peer) else {
            return Change::None;
        };
        record.unanswered_probes = 0;
        record.probed_at = None;
        if record.member.state != message::State::Silent {
            return Change::None;
        }
        record.member.state = message::State::Alive;
        record.member.incarnation += 1;
        self.bucket_digests = None;
        record.changed_at = now;
        record.times_sent = 0;
        Change::Updated
    }

    /// Records whether the registry is unreachable for the member at `peer`. Returns `true` on a change.
    pub(super) fn set_registry_unreachable(&mut self, peer: &CompactString, is_unreachable: bool) -> bool {
        self.records.get_mut(peer).is_some_and(|record| {
            std::mem::replace(&mut record.is_registry_unreachable, is_unreachable) != is_unreachable
        })
    }

    /// Names of the alive members for which the registry is unreachable.
    pub(super) fn without_registry(&self) -> IndexSet<CompactString> {
        let records = self
            .records
            .values()
            .filter(|record| record.is_registry_unreachable && record.member.state == message::State::Alive);
        records.map(|record| record.member.name.clone()).collect()
    }

    /// Records that a probe was sent to the host at `peer`.
    pub(super) fn record_probe(&mut self, now: clock::Millis, peer: &CompactString) {
        match self.records.get_mut(peer) {
            Some(record) => record.probed_at.get_or_insert(now),
            None => self.non_members.entry(peer.clone()).or_insert(now),
        };
    }

    /// Counts probes that were not answered within `timeout`. If this host has received nothing since it sent a
    /// probe, it may be partitioned itself and does not mark the member: the false report would spread once
    /// the partition heals, and many hosts would stop using healthy members.
    pub(super) fn take_timeouts(
        &mut self,
        now: clock::Millis,
        last_received_at: clock::Millis,
        timeout: clock::Millis,
    ) -> Timeouts {
        let mut timeouts = Timeouts::default();
        for (peer, record) in &mut self.records {
            let Some(probed_at) = record.probed_at.take_if(|at| now.since(*at) >= timeout) else {
                continue;
            };
            timeouts.timed_out.push(peer.clone());
            if record.member.state == message::State::Silent || probed_at >= last_received_at {
                continue;
            }
            record.unanswered_probes = record.unanswered_probes.saturating_add(1);
            if record.unanswered_probes < MAX_UNANSWERED {
                timeouts.retries.push(peer.clone());
                continue;
            }
            record.member.state = message::State::Silent;
            self.bucket_digests = None;
            record.changed_at = now;
            record.times_sent = 0;
            timeouts.silent.push(record.member.name.clone());
        }
        let is_timed_out = |at: &clock::Millis| now.since(*at) >= timeout;
        timeouts
            .timed_out
            .extend(self.non_members.iter().filter(|(_, at)| is_timed_out(at)).map(|(peer, _)| peer.clone()));
        self.non_members.retain(|_, at| !is_timed_out(at));
        timeouts
    }

    /// Removes members that have been silent or leaving for longer than `retention`. Returns whether there were any.
    pub(super) fn remove_expired(&mut self, now: clock::Millis, retention: clock::Millis) -> bool {
        let before = self.records.len();
        self.records.retain(|_, record| {
            let is_alive = record.member.state == message::State::Alive;
            is_alive || now.since(record.changed_at) <= retention
        });
        let is_removed = self.records.len() < before;
        if is_removed {
            self.bucket_digests = None;
        }
        is_removed
    }

    /// Names and states of all members.
    pub(super) fn states(&self) -> impl Iterator<Item = (&CompactString, message::State)> {
        self.records.values().map(|record| (&record.member.name, record.member.state))
    }

    /// All members as entry hosts; silent ones are listed as leaving.
    pub(super) fn hosts(&self) -> Vec<plan::EntryHost> {
        let mut hosts = Vec::new();
        for (peer, record) in &self.records {
            let is_alive = record.member.state == message::State::Alive;
            hosts.push(plan::EntryHost {
                name: record.member.name.clone(),
                data_centre: record.member.data_centre.clone(),
                peer: peer.clone(),
                state: if is_alive { plan::State::Live } else { plan::State::Leaving },
            });
        }
        hosts
    }

    /// Members that accept relayed requests.
    pub(super) fn relays(&self) -> Vec<plan::Relay> {
        let mut relays = Vec::new();
        for record in self.records.values() {
            let member = &record.member;
            if member.relay.is_empty() {
                continue;
            }
            relays.push(plan::Relay {
                name: member.name.clone(),
                data_centre: member.data_centre.clone(),
                address: member.relay.clone(),
                power: member.power,
                is_open: member.state == message::State::Alive,
                demand: member.demand,
            });
        }
        relays
    }

    /// Selects the members to include in a digest: only recent changes if the recipient's knowledge is unknown, else
    /// members of differing buckets, those sent least often first. Members near a new recipient have priority.
    pub(super) fn select_for(
        &mut self,
        now: clock::Millis,
        recipient: &Recipient<'_>,
        random: &mut rngs::SmallRng,
    ) -> Vec<message::Member> {
        let count = self.count();
        let (limit, near_to, differing) = match *recipient {
            Recipient::Unknown => (MAX_MEMBERS, "", &[][..]),
            Recipient::Known { member_count, data_centre, differing }
                if (member_count as f64) < KNOWN_FRACTION * count as f64 =>
            {
                (MAX_MEMBERS_TO_NEW, data_centre, differing)
            }
            Recipient::Known { member_count, differing, .. } if member_count < count => {
                (MAX_MEMBERS_TO_LAGGING, "", differing)
            }
            Recipient::Known { differing, .. } => (MAX_MEMBERS, "", differing),
        };
        let mut candidates: Vec<(bool, u32, u32, usize)> = Vec::with_capacity(self.records.len());
        let mut changed_demands = 0;
        for (index, (peer, record)) in self.records.iter().enumerate() {
            let is_selected = match (recipient, differing) {
                (Recipient::Unknown, _) => now.since(record.changed_at) <= CHANGE_GOSSIP_TIME,
                (_, []) => true,
                (_, differing) => differing[bucket(peer, differing.len())],
            };
            if !is_selected {
                continue;
            }
            changed_demands +=
                usize::from(record.demand_changed_at.is_some_and(|at| now.since(at) <= CHANGE_GOSSIP_TIME));
            let is_near = record.member.data_centre == near_to;
            candidates.push((!is_near, record.times_sent, random.random(), index));
        }
        // When load rises everywhere, the demand of most hosts changes within seconds.
        let limit = limit.max(changed_demands.min(MAX_MEMBERS_TO_LAGGING)).min(candidates.len());
        if limit > 0 && limit < candidates.len() {
            candidates.select_nth_unstable(limit - 1);
        }
        let mut members = Vec::with_capacity(limit);
        for &(.., index) in &candidates[..limit] {
            let Some((_, record)) = self.records.get_index_mut(index) else {
                continue;
            };
            record.times_sent = record.times_sent.saturating_add(1);
            members.push(record.member.clone());
        }
        members
    }

    /// Up to `count` random alive members of each data centre.
    pub(super) fn sample_each_data_centre(&self, count: usize, random: &mut rngs::SmallRng) -> Vec<CompactString> {
        let mut by_data_centre: IndexMap<&CompactString, Vec<&CompactString>> = IndexMap::new();
        for (peer, record) in &self.records {
            if record.member.state == message::State::Alive {
                by_data_centre.entry(&record.member.data_centre).or_default().push(peer);
            }
        }
        let mut picked = Vec::new();
        for mut peers in by_data_centre.into_values() {
            for _ in 0..count.min(peers.len()) {
                picked.push(peers.swap_remove(random.random_range(0..peers.len())).clone());
            }
        }
        picked
    }

    /// Up to `count` random members to probe, most of them in `data_centre`. Sometimes a silent member is added,
    /// to detect its recovery.
    pub(super) fn pick_probe_targets(
        &self,
        count: usize,
        data_centre: &str,
        random: &mut rngs::SmallRng,
    ) -> Vec<CompactString> {
        let mut alive = Vec::new();
        let mut near = Vec::new();
        let mut silent = Vec::new();
        for (peer, record) in &self.records {
            if record.member.state == message::State::Silent {
                silent.push(peer);
                continue;
            }
            alive.push(peer);
            if record.member.data_centre == data_centre {
                near.push(peer);
            }
        }
        let probes = (count * (near.len() + 1)) as f64;
        let far_fraction = (FAR_PROBES / probes.max(1.0)).min(1.0);
        let mut picked = Vec::new();
        for _ in 0..cmp::min(count, alive.len()) {
            let is_near = !near.is_empty() && !random.random_bool(far_fraction);
            let pool = if is_near { &mut near } else { &mut alive };
            let peer = pool.swap_remove(random.random_range(0..pool.len()));
            picked.push(peer.clone());
        }
        let silent_fraction = silent.len() as f64 / (silent.len() + alive.len() + picked.len()).max(1) as f64;
        if !silent.is_empty() && (picked.is_empty() || random.random_bool(silent_fraction.clamp(0.1, 1.0))) {
            picked.push(silent[random.random_range(0..silent.len())].clone());
        }
        picked
    }
}
