//! How a starting host gets its first catalogs.
//!
//! When a large fleet starts all at once, it must not read the registry hundreds of times, nor transfer the same
//! catalogs between data centres hundreds of times. So the seeds in the settings read the registry, the first hosts of
//! each data centre by rank (the fetchers) fetch the catalogs from other data centres, and the remaining hosts fetch
//! them within their data centre. A host ranks only the hosts that it has discovered; if these are few, it may act as a
//! fetcher too early, which costs one extra transfer. No host depends on a single other one: a host that waits too long
//! requests the catalogs from another data centre, and finally reads the registry.

use compact_str::CompactString;
use rand::{Rng, rngs};

use crate::{catalog, clock, view};

use super::{Core, Source, Standing, message};

/// Number of hosts in a data centre that fetch catalogs from another one.
const FETCHERS: usize = 2;
/// Time after which a host that is not a fetcher also requests catalogs from another data centre, counted from when
/// another host was first known to have them. Through a fetcher they take some ten milliseconds on small hosts, and
/// a failed fetcher must not delay the other hosts.
const REMOTE_WAIT: clock::Millis = clock::Millis(200);
/// Timeout of a request for a catalog, after which it may be sent again, possibly to another host.
const REQUEST_TIMEOUT: clock::Millis = clock::Millis(250);
/// Time after the start at which fetchers read the registry themselves because no host seems to have catalogs: the
/// seeds may have failed or been refused by the registry. Jitter adds up to half as much.
const FETCHER_READ_DELAY: clock::Millis = clock::Millis(500);
/// The same for all other hosts; jitter adds up to as much again. Hundreds of them then read the registry within
/// about a second, which it can serve, and which happens only if all seeds and fetchers have failed.
const OTHER_READ_DELAY: clock::Millis = clock::Millis(1200);
/// Interval between exchanges of digests on a host that has no catalogs yet.
pub(super) const DIGEST_INTERVAL: clock::Millis = clock::Millis(80);
/// Maximum number of waiting hosts that are notified once this host has catalogs.
const MAX_WAITING: usize = 512;

/// State of a host that lacks catalogs.
#[derive(Debug, Default)]
pub(super) struct Start {
    /// Hosts without catalogs that contacted this host when it had none either.
    waiting: Vec<CompactString>,
    /// When another host was first known to have catalogs, and a host of another data centre that has them.
    available_at: Option<clock::Millis>,
    remote: Option<CompactString>,
    /// When each catalog was last requested, by [`catalog::Kind::index`].
    requested_at: [Option<clock::Millis>; 2],
    /// When this host reads the registry if it gets no catalogs from others: as a fetcher, and otherwise.
    fetcher_read_at: clock::Millis,
    other_read_at: clock::Millis,
    /// Whether another host of this data centre is known.
    has_neighbours: bool,
}

impl Start {
    pub(super) fn new(now: clock::Millis, random: &mut rngs::SmallRng) -> Self {
        Self {
            fetcher_read_at: now
                + FETCHER_READ_DELAY
                + clock::Millis(random.random_range(0..=FETCHER_READ_DELAY.0 / 2)),
            other_read_at: now + OTHER_READ_DELAY + clock::Millis(random.random_range(0..=OTHER_READ_DELAY.0)),
            ..Self::default()
        }
    }
}

impl Core {
    /// Whether this host lacks a catalog, which no host may have yet.
    pub(super) fn lacks_catalog(&self) -> bool {
        self.replicas.iter().any(|replica| replica.stamp.version == 0)
    }

    /// Whether this host has no catalog at all.
    pub(super) fn is_starting(&self) -> bool {
        self.replicas.iter().all(|replica| replica.stamp.version == 0)
    }

    /// Handles a digest from `from` on a host that lacks catalogs.
    pub(super) fn on_bootstrap_digest(&mut self, from: &CompactString, digest: &message::Digest) {
        let is_registry = matches!(self.reader.source, Source::Registry { .. });
        if !is_registry || !self.lacks_catalog() {
            return;
        }
        let has_none = digest.stamps.iter().all(|stamp| stamp.version == 0);
        if has_none {
            if digest.sent.is_some() && self.start.waiting.len() < MAX_WAITING && !self.start.waiting.contains(from) {
                self.start.waiting.push(from.clone());
            }
        } else {
            self.start.available_at.get_or_insert(self.now);
            if self.is_near(from) {
                self.request_missing(from, digest.stamps);
            } else {
                self.start.remote = Some(from.clone());
                self.request_remote(digest.stamps);
            }
        }
        let has_neighbours = self.ranked.len() > 1;
        if has_neighbours && !std::mem::replace(&mut self.start.has_neighbours, true) {
            // Neighbours may have the missing catalogs.
            self.gossip_at = self.now;
        }
    }

    /// Requests the catalogs that this host lacks, except those with a recent request in flight.
    fn request_missing(&mut self, from: &CompactString, stamps: [view::Stamp; 2]) {
        for kind in catalog::Kind::ALL {
            let is_lacking = self.replicas[kind.index()].stamp.version == 0 && stamps[kind.index()].version > 0;
            let requested_at = &mut self.start.requested_at[kind.index()];
            let is_requested = requested_at.is_some_and(|at| self.now.since(at) < REQUEST_TIMEOUT);
            if !is_lacking || is_requested {
                continue;
            }
            *requested_at = Some(self.now);
            self.request(from.clone(), kind);
        }
    }

    /// Requests catalogs from another data centre if this host is a fetcher or has waited for [`REMOTE_WAIT`].
    fn request_remote(&mut self, stamps: [view::Stamp; 2]) {
        let Some(from) = self.start.remote.clone() else {
            return;
        };
        let has_timed_out = self.start.available_at.is_some_and(|at| self.now.since(at) >= REMOTE_WAIT);
        if self.is_fetcher() || has_timed_out {
            self.request_missing(&from, stamps);
        }
    }

    /// Notifies the waiting hosts that this one has catalogs now.
    pub(super) fn notify_waiting(&mut self) {
        if self.start.waiting.is_empty() || self.lacks_catalog() {
            return;
        }
        for to in std::mem::take(&mut self.start.waiting) {
            self.send_stamps(to);
        }
    }

    /// When this host reads the registry if it gets no catalogs from others. Seeds read at once, others wait for them.
    pub(super) fn registry_read_at(&self) -> clock::Millis {
        let seeds = &self.identity.seeds;
        let is_seed = seeds.contains(&self.identity.peer);
        let has_others = seeds.iter().any(|seed| *seed != self.identity.peer);
        if is_seed || !has_others {
            return self.started_at;
        }
        if self.is_fetcher() { self.start.fetcher_read_at } else { self.start.other_read_at }
    }

    /// Whether this host is one of the first of its data centre by rank, among the hosts that it has discovered.
    pub(super) fn is_fetcher(&self) -> bool {
        self.ranked.iter().take(FETCHERS).any(|name| *name == self.identity.name)
    }

    /// Whether the host at `peer` is in this host's data centre.
    pub(super) fn is_near(&self, peer: &CompactString) -> bool {
        self.peers.get(peer).is_some_and(|host| host.data_centre == self.identity.data_centre)
    }

    /// Whether this host has just started and may not have discovered many others yet.
    pub(super) fn is_joining(&self) -> bool {
        self.standing == Standing::Joining
    }
}
