//! How a host that knows nothing yet gets its first catalogs.
//!
//! A large fleet that starts as a whole must not read the registry hundreds of times, nor carry the same
//! catalogs hundreds of times from one data centre to another. So the hosts that the settings name as seeds read
//! the registry, the first hosts of a data centre by rank take the catalogs from there, and the others take them
//! from a host nearby. Who is first follows from whom a host has heard of; a host that has heard of few takes
//! itself for one too early, which costs a copy. Nobody depends on one host: whoever waits for too long asks
//! further away, and the registry in the end.

use compact_str::CompactString;
use rand::{Rng, rngs};

use crate::{catalog, clock, view};

use super::{Core, Source, Standing, message};

/// Hosts of a data centre that bring catalogs from another one.
const BRINGERS: usize = 2;
/// Time after another host was heard to have catalogs after which one far away is asked for them, too. The way
/// through a bringer takes some ten milliseconds on small hosts, and a lost bringer must not hold up the rest.
const FAR_WAIT: clock::Millis = clock::Millis(200);
/// Time after which catalogs that were asked for and did not come are asked for again, perhaps elsewhere.
const ASK_PATIENCE: clock::Millis = clock::Millis(250);
/// Time after the start at which the first hosts of a data centre read the registry themselves, since no host
/// seems to have catalogs: the seeds may be gone, or turned away. Jitter adds half as much.
const FIRST_READ: clock::Millis = clock::Millis(500);
/// The same for all other hosts; jitter adds as much again. Hundreds of them then read the registry within a
/// second or so, which it answers, and which happens only if all the hosts before them have failed.
const LAST_READ: clock::Millis = clock::Millis(1200);
/// Pause between two rounds of digests of a host that knows nothing yet.
pub(super) const PAUSE: clock::Millis = clock::Millis(80);
/// Most hosts that are told when this one has catalogs that it lacked when they asked.
const TOLD_MOST: usize = 512;

/// What is known while there are no catalogs.
#[derive(Debug, Default)]
pub(super) struct Start {
    /// Hosts that asked when there was nothing to tell.
    asked_by: Vec<CompactString>,
    /// When another host was first heard to have catalogs, and one far away that has.
    heard_at: Option<clock::Millis>,
    far: Option<CompactString>,
    /// When each catalog was last asked for.
    asked_at: [Option<clock::Millis>; 2],
    /// When this host reads the registry if nobody tells it anything: as one of the first of its data centre,
    /// and as another one.
    first_read: clock::Millis,
    last_read: clock::Millis,
    /// Whether a host of the own data centre is known.
    has_neighbours: bool,
}

impl Start {
    pub(super) fn new(now: clock::Millis, random: &mut rngs::SmallRng) -> Self {
        Self {
            first_read: now + FIRST_READ + clock::Millis(random.random_range(0..=FIRST_READ.0 / 2)),
            last_read: now + LAST_READ + clock::Millis(random.random_range(0..=LAST_READ.0)),
            ..Self::default()
        }
    }
}

impl Core {
    /// Whether this host lacks a catalog. It may be that nobody has one yet.
    pub(super) fn lacks_any(&self) -> bool {
        self.shelves.iter().any(|shelf| shelf.stamp.version == 0)
    }

    /// Whether this host knows nothing at all.
    pub(super) fn is_starting(&self) -> bool {
        self.shelves.iter().all(|shelf| shelf.stamp.version == 0)
    }

    /// Takes what a digest of `from` means for a host that lacks catalogs.
    pub(super) fn learn_first(&mut self, from: &CompactString, digest: &message::Digest) {
        let is_registry = matches!(self.reader.source, Source::Registry { .. });
        if !is_registry || !self.lacks_any() {
            return;
        }
        let has_none = digest.stamps.iter().all(|stamp| stamp.version == 0);
        if has_none {
            if digest.sent.is_some() && self.start.asked_by.len() < TOLD_MOST && !self.start.asked_by.contains(from) {
                self.start.asked_by.push(from.clone());
            }
        } else {
            self.start.heard_at.get_or_insert(self.now);
            if self.is_near(from) {
                self.ask_first(from, digest.stamps);
            } else {
                self.start.far = Some(from.clone());
                self.ask_far(digest.stamps);
            }
        }
        let has_neighbours = self.ranked.len() > 1;
        if has_neighbours && !std::mem::replace(&mut self.start.has_neighbours, true) {
            // Neighbours may have what this host lacks.
            self.gossip_at = self.now;
        }
    }

    /// Asks for the catalogs that this host lacks and has not asked for a moment ago.
    fn ask_first(&mut self, from: &CompactString, theirs: [view::Stamp; 2]) {
        for kind in catalog::Kind::ALL {
            let is_lacking = self.shelves[kind.index()].stamp.version == 0 && theirs[kind.index()].version > 0;
            let asked_at = &mut self.start.asked_at[kind.index()];
            let is_asked = asked_at.is_some_and(|at| self.now.since(at) < ASK_PATIENCE);
            if !is_lacking || is_asked {
                continue;
            }
            *asked_at = Some(self.now);
            self.request(from.clone(), kind);
        }
    }

    /// Asks a host of another data centre if this one should bring the catalogs here, or has waited for long.
    fn ask_far(&mut self, theirs: [view::Stamp; 2]) {
        let Some(from) = self.start.far.clone() else {
            return;
        };
        let has_waited = self.start.heard_at.is_some_and(|at| self.now.since(at) >= FAR_WAIT);
        if self.is_bringer() || has_waited {
            self.ask_first(&from, theirs);
        }
    }

    /// Tells the hosts that asked too early that this one has catalogs now.
    pub(super) fn tell_who_asked(&mut self) {
        if self.start.asked_by.is_empty() || self.lacks_any() {
            return;
        }
        for to in std::mem::take(&mut self.start.asked_by) {
            self.send_stamps(to);
        }
    }

    /// When this host reads the registry if nobody tells it anything. Seeds do at once, the others wait for them.
    pub(super) fn first_read_at(&self) -> clock::Millis {
        let seeds = &self.identity.seeds;
        let is_seed = seeds.contains(&self.identity.peer);
        let has_others = seeds.iter().any(|seed| *seed != self.identity.peer);
        if is_seed || !has_others {
            return self.started_at;
        }
        if self.is_bringer() { self.start.first_read } else { self.start.last_read }
    }

    /// Whether this host is one of the first of its data centre, as far as it has heard of others.
    pub(super) fn is_bringer(&self) -> bool {
        self.ranked.iter().take(BRINGERS).any(|name| *name == self.identity.name)
    }

    /// Whether the host at `peer` is in this host's data centre.
    pub(super) fn is_near(&self, peer: &CompactString) -> bool {
        self.peers.get(peer).is_some_and(|host| host.data_centre == self.identity.data_centre)
    }

    /// Whether this host started a moment ago, and may not have heard of many others yet.
    pub(super) fn is_joining(&self) -> bool {
        self.standing == Standing::Joining
    }
}
