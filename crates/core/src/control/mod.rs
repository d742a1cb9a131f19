//! The control core: which configuration is in force, and how it reaches every host.
//!
//! The platform can only be read, and counts every call and every waiting watch. So in each data
//! centre a few hosts watch it, chosen by rendezvous hashing over the published list without any
//! election; they push changes down a tree, and every host compares digests with two others each
//! second, which repairs whatever the tree lost. A host that cannot learn from others reads for
//! itself, spread by jitter.
//!
//! Versions only rise: [`Core`] adopts a catalog only if its stamp is higher than the one in force,
//! whatever the platform or a peer says later. A document with faults is refused as a whole, and the
//! last good one stays in force.

mod gossip;
pub mod message;
mod platform;

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;
use rand::{SeedableRng, rngs};
use serde::{Deserialize, Serialize};

use crate::{catalog, clock, id, invariant, mutant, plan, rendezvous, view};

/// Knobs of the control core.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Hosts of each data centre that watch the platform. Default 1.
    pub watchers: u32,
    /// Children of a host in the tree by which changes are pushed. Default 8.
    pub fanout: u32,
    /// Time between two exchanges of digests, in ms. Default 1000.
    pub gossip: clock::Millis,
    /// Hosts asked in each exchange. Default 2.
    pub gossip_peers: u32,
    /// Longest wait of a watch before the platform answers that nothing changed, in ms.
    /// Default 10000.
    pub watch: clock::Millis,
    /// Age of the last confirmation after which a host reads the platform itself, in ms.
    /// Default 25000, more than two watches.
    pub stale: clock::Millis,
    /// Least time between two reads by a host that is no watcher, in ms; jitter adds as much again.
    /// Default 5000.
    pub read_pause: clock::Millis,
    /// Time that a starting host waits for peers before it reads the platform, in ms; jitter adds
    /// up to three times as much, and a host that is not among its own seeds waits ten times as
    /// long. Default 300.
    pub start_wait: clock::Millis,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            watchers: 1,
            fanout: 8,
            gossip: clock::Millis(1000),
            gossip_peers: 2,
            watch: clock::Millis(10_000),
            stale: clock::Millis(25_000),
            read_pause: clock::Millis(5000),
            start_wait: clock::Millis(300),
        }
    }
}

/// Who this host is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its name in the list of hosts.
    pub name: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// `IP:PORT` at which it listens for other hosts.
    pub peer: CompactString,
    /// Hosts to ask before any list is known, `IP:PORT`, alike on every host of a data centre; this
    /// host may be one of them.
    pub seeds: Vec<CompactString>,
}

/// The functions that read documents; they live in the settings package, which knows YAML.
#[derive(Clone, Copy, Debug)]
pub struct Reader {
    /// Reads a manifest.
    pub manifest: fn(&str) -> Result<catalog::Manifest, Vec<plan::Fault>>,
    /// Reads the part with this key.
    pub part: fn(&str, &str) -> Result<plan::Part, Vec<plan::Fault>>,
}

/// Something that happened outside.
#[derive(Clone, Debug)]
pub enum Input {
    /// Only time passed.
    Tick,
    /// The platform answered a read or a watch of a manifest; `None` if it could not be reached.
    Manifest {
        /// Which.
        kind: catalog::Kind,
        /// Whether it answers a watch.
        watched: bool,
        /// Its text.
        text: Option<Arc<str>>,
    },
    /// The platform answered a read of a part.
    Part {
        /// Which catalog it was read for.
        kind: catalog::Kind,
        /// Its key.
        key: CompactString,
        /// Its text.
        text: Option<Arc<str>>,
    },
    /// Another host says something.
    Peer(message::Message),
    /// A traffic core woke from a pause.
    Revalidate,
}

/// Something for the shell to do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Read a manifest of the platform.
    ReadManifest(catalog::Kind),
    /// Wait until the platform's manifest has another version than `after`.
    Watch {
        /// Which.
        kind: catalog::Kind,
        /// The version that is known.
        after: u64,
    },
    /// Read a part.
    ReadPart {
        /// For which catalog.
        kind: catalog::Kind,
        /// Its key.
        key: CompactString,
    },
    /// Send a message to the host that listens at `to`.
    Send {
        /// `IP:PORT`.
        to: CompactString,
        /// What.
        message: message::Message,
    },
    /// A newer view is in force.
    View(Arc<view::View>),
    /// The view was confirmed after [`Input::Revalidate`].
    Revalidated,
    /// A document was refused; the last good one stays in force.
    Refused {
        /// Which catalog.
        kind: catalog::Kind,
        /// What would have been adopted.
        stamp: view::Stamp,
        /// Every fault.
        faults: Vec<plan::Fault>,
    },
    /// Log and count a promise that did not hold.
    Breach(invariant::Breach),
}

/// One catalog in force, the one that is being collected, and what is known of the platform's.
#[derive(Debug, Default)]
struct Shelf {
    current: catalog::Catalog,
    stamp: view::Stamp,
    parsed: IndexMap<catalog::Digest, Arc<plan::Part>>,
    /// A newer manifest whose parts are being collected.
    pending: Option<catalog::Manifest>,
    refused: Option<view::Stamp>,
    /// When the platform was last known to have nothing newer.
    fresh_at: Option<clock::Millis>,
    is_watching: bool,
    watch_at: clock::Millis,
    read_at: clock::Millis,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stats {
    /// Reads and watches of the platform.
    pub platform_calls: u64,
    /// Reads and watches that it did not answer.
    pub platform_failures: u64,
    /// Answers of the platform that were older than what is in force.
    pub platform_stale: u64,
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    pub received: u64,
    /// Messages that this node does not understand.
    pub unknown: u64,
    /// Catalogs adopted.
    pub adopted: u64,
    /// Catalogs refused.
    pub refused: u64,
}

/// The decisions of the control thread.
#[derive(Debug)]
pub struct Core {
    policy: Policy,
    identity: Identity,
    reader: Reader,
    now: clock::Millis,
    random: rngs::SmallRng,
    shelves: [Shelf; 2],
    registry: view::Registry,
    view: Option<Arc<view::View>>,
    /// Other entry hosts that are listed, by the address at which they listen.
    peers: IndexMap<CompactString, plan::EntryHost>,
    /// Hosts of this data centre, by rank; the first ones watch, and the order is the push tree's.
    ranked: Vec<CompactString>,
    gossip_at: clock::Millis,
    started_at: clock::Millis,
    /// When a traffic core asked for confirmation.
    revalidate_at: Option<clock::Millis>,
    outputs: Vec<Output>,
    stats: Stats,
}

impl Core {
    /// A core that knows nothing yet.
    pub fn new(policy: Policy, identity: Identity, reader: Reader, seed: u64, now: clock::Millis) -> Self {
        Self {
            policy,
            identity,
            reader,
            now,
            random: rngs::SmallRng::seed_from_u64(seed),
            shelves: Default::default(),
            registry: view::Registry::default(),
            view: None,
            peers: IndexMap::new(),
            ranked: Vec::new(),
            gossip_at: now,
            started_at: now,
            revalidate_at: None,
            outputs: Vec::new(),
            stats: Stats::default(),
        }
    }

    /// Runs the systems once.
    pub fn step(&mut self, now: clock::Millis, inputs: impl IntoIterator<Item = Input>) -> Vec<Output> {
        self.now = now.max(self.now);
        for input in inputs {
            self.take(input);
        }
        self.ask_platform();
        self.gossip();
        self.count_outputs()
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Tick => {}
            Input::Manifest { kind, watched, text } => self.on_manifest(kind, watched, text),
            Input::Part { kind, key, text } => self.on_part(kind, key, text),
            Input::Peer(message) => self.on_message(message),
            Input::Revalidate => self.on_revalidate(),
        }
    }

    fn count_outputs(&mut self) -> Vec<Output> {
        let outputs = std::mem::take(&mut self.outputs);
        for output in &outputs {
            match output {
                Output::ReadManifest(_) | Output::Watch { .. } | Output::ReadPart { .. } => {
                    self.stats.platform_calls += 1;
                }
                Output::Send { .. } => self.stats.sent += 1,
                _ => {}
            }
        }
        outputs
    }

    /// The view in force, if there is one.
    pub fn view(&self) -> Option<&Arc<view::View>> {
        self.view.as_ref()
    }

    /// The stamp of the catalog in force.
    pub fn stamp(&self, kind: catalog::Kind) -> view::Stamp {
        self.shelves[kind.index()].stamp
    }

    /// Time since the platform was last known to have nothing newer.
    pub fn age(&self, kind: catalog::Kind) -> Option<clock::Millis> {
        self.shelves[kind.index()].fresh_at.map(|at| self.now.since(at))
    }

    /// Counters since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Whether this host watches the platform for its data centre.
    pub fn is_watcher(&self) -> bool {
        let most = self.policy.watchers as usize;
        self.ranked.iter().take(most).any(|name| *name == self.identity.name)
    }

    /// Why each server of the selector's service is reached or not; `None` if there is no such
    /// selector.
    pub fn explain(&mut self, selector: &str) -> Option<Vec<(CompactString, plan::Reason)>> {
        let view = Arc::clone(self.view.as_ref()?);
        let parts: Vec<Arc<plan::Part>> = self.shelves[0].parsed.values().cloned().collect();
        let mut found = None;
        for part in &parts {
            let plan::Part::Selectors(rows) = &**part else {
                continue;
            };
            found = found.or_else(|| rows.iter().find(|row| row.name == selector));
        }
        let selector = found?;
        let mut reasons = Vec::new();
        for part in &parts {
            let plan::Part::Services { services, .. } = &**part else {
                continue;
            };
            for service in services.iter().filter(|service| service.name == selector.service) {
                for server in &service.servers {
                    reasons.push((server.name.clone(), plan::explain(selector, server, &mut self.registry, &view)));
                }
            }
        }
        Some(reasons)
    }

    /// Puts a collected manifest in force if it is newer and has no fault.
    fn try_adopt(&mut self, kind: catalog::Kind) -> bool {
        let shelf = &mut self.shelves[kind.index()];
        let Some(manifest) = shelf.pending.take() else {
            return false;
        };
        if !shelf.current.lacks(&manifest).is_empty() {
            shelf.pending = Some(manifest);
            return false;
        }
        let stamp = manifest.stamp();
        if stamp <= shelf.stamp && !mutant::is(mutant::Mutant::AcceptOlder) {
            return false;
        }
        if let Err(faults) = self.judge(kind, &manifest) {
            self.refuse(kind, stamp, faults);
            return false;
        }
        self.put_in_force(kind, manifest, stamp);
        true
    }

    /// Acceptance: a pure function of the documents, so that every host judges alike.
    fn judge(&mut self, kind: catalog::Kind, manifest: &catalog::Manifest) -> Result<(), Vec<plan::Fault>> {
        let reader = self.reader;
        let shelf = &mut self.shelves[kind.index()];
        let mut faults = Vec::new();
        for (key, digest) in &manifest.parts {
            if shelf.parsed.contains_key(digest) {
                continue;
            }
            let text = &shelf.current.texts[digest];
            match (reader.part)(key, text) {
                Ok(part) => {
                    shelf.parsed.insert(*digest, Arc::new(part));
                }
                Err(found) => faults.extend(found),
            }
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let parts = manifest.parts.iter().map(|(key, digest)| (key, &*shelf.parsed[digest]));
        let faults = plan::check(parts);
        if faults.is_empty() { Ok(()) } else { Err(faults) }
    }

    fn refuse(&mut self, kind: catalog::Kind, stamp: view::Stamp, faults: Vec<plan::Fault>) {
        let shelf = &mut self.shelves[kind.index()];
        let is_known = shelf.refused == Some(stamp);
        shelf.refused = Some(stamp);
        if is_known {
            return;
        }
        self.stats.refused += 1;
        self.outputs.push(Output::Refused { kind, stamp, faults });
    }

    fn put_in_force(&mut self, kind: catalog::Kind, manifest: catalog::Manifest, stamp: view::Stamp) {
        let shelf = &mut self.shelves[kind.index()];
        if stamp < shelf.stamp {
            let detail = format!("{kind}: {stamp} after {}", shelf.stamp);
            self.outputs.push(Output::Breach(invariant::Breach { name: invariant::Name::ConfigMonotonic, detail }));
        }
        let before = shelf.current.manifest.clone();
        let old_stamp = shelf.stamp;
        shelf.current.adopt(manifest);
        shelf.parsed.retain(|digest, _| shelf.current.texts.contains_key(digest));
        shelf.stamp = stamp;
        self.stats.adopted += 1;
        self.compile();
        self.push(kind, &before, old_stamp);
    }

    fn compile(&mut self) {
        if self.shelves.iter().any(|shelf| shelf.current.manifest.parts.is_empty()) {
            return;
        }
        if mutant::is(mutant::Mutant::ForgetLeaving) {
            self.registry.forget_marks();
        }
        let stamps = [self.shelves[0].stamp, self.shelves[1].stamp];
        let parts = self.shelves.iter().flat_map(|shelf| shelf.parsed.values()).map(|part| &**part);
        let view = Arc::new(plan::compile(stamps, parts, &mut self.registry));
        self.view = Some(Arc::clone(&view));
        self.refresh_peers();
        self.outputs.push(Output::View(view));
    }

    /// Reads the entry hosts out of the list in force.
    fn refresh_peers(&mut self) {
        self.peers.clear();
        self.ranked.clear();
        for part in self.shelves[catalog::Kind::Hosts.index()].parsed.values() {
            let plan::Part::Hosts { entry_hosts, .. } = &**part else {
                continue;
            };
            for host in entry_hosts {
                if host.state == plan::State::Live && host.data_centre == self.identity.data_centre {
                    self.ranked.push(host.name.clone());
                }
                if host.name != self.identity.name {
                    self.peers.insert(host.peer.clone(), host.clone());
                }
            }
        }
        rendezvous::rank(&self.identity.data_centre, &mut self.ranked);
    }

    /// The server called `name`, for tests and status.
    pub fn server(&mut self, name: &str) -> id::Server {
        self.registry.intern(name)
    }
}
