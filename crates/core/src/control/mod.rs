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

mod event;
mod gossip;
mod history;
mod hold;
mod life;
mod member;
pub mod message;
pub mod mirror;
pub mod note;
mod platform;
mod policy;
mod registry;
mod restored;
mod shelf;
mod spread;
mod start;
mod suspects;
mod views;

pub use event::{Input, Output, Stats};
pub use policy::Policy;

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;
use rand::{SeedableRng, rngs};
use serde::{Deserialize, Serialize};
use shelf::{Newer, Shelf};

use crate::{catalog, clock, id, plan, suspect, view};

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
    /// `IP:PORT` at which it takes requests of other hosts; empty if it takes none.
    pub relay: CompactString,
    /// Its processor, in thousandths of a core.
    pub power: u32,
    /// The region of each data centre, if operators have given them.
    pub regions: plan::Regions,
}

/// What a host knows of its own start, where hosts learn of each other by gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It started a moment ago, and may not have heard of many others yet.
    Joining,
    /// It heard of nobody who was there before: the whole fleet started together, perhaps after it died.
    Reborn,
    /// It knows the others, and takes its full share of what all hosts share.
    Settled,
}

/// Where configuration and lists of hosts come from.
#[derive(Clone, Copy, Debug)]
pub enum Source {
    /// Published documents: a manifest for each catalog, which names its parts.
    Documents,
    /// A keyspace that is read whole and followed by its changes. Entry hosts are not listed; they
    /// learn of each other by gossip.
    Registry {
        /// The catalog to which an item belongs, by its key; `None` if it is not for this system.
        kind_of: fn(&str) -> Option<catalog::Kind>,
        /// What of an item's text matters here, by its key. Texts that differ in the rest are the same
        /// item, which saves telling everybody about it.
        essence: fn(&str, Arc<str>) -> Arc<str>,
    },
}

/// The functions that read documents; they live in the settings package, which knows YAML, or with
/// the interface that knows the registry's format.
#[derive(Clone, Copy, Debug)]
pub struct Reader {
    /// Where the documents come from.
    pub source: Source,
    /// Reads a manifest.
    pub manifest: fn(&str) -> Result<catalog::Manifest, Vec<plan::Fault>>,
    /// Reads the part with this key.
    pub part: fn(&str, &str) -> Result<plan::Part, Vec<plan::Fault>>,
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
    servers: view::Registry,
    view: Option<Arc<view::View>>,
    /// When a view must be compiled since members changed, and when the last one was.
    compile_at: Option<clock::Millis>,
    compiled_at: clock::Millis,
    /// Other entry hosts that are listed, by the address at which they listen.
    peers: IndexMap<CompactString, plan::EntryHost>,
    /// Hosts of this data centre, by rank; the first ones watch, and the order is the push tree's.
    ranked: Vec<CompactString>,
    /// Addresses of the first ones, without this host.
    watcher_peers: Vec<CompactString>,
    /// Whether it asks in place of others, whom the registry turns away.
    is_stand_in: bool,
    members: member::Members,
    /// When another host was last heard.
    heard_at: clock::Millis,
    /// When to look which members did not answer.
    review_at: clock::Millis,
    /// Whether others are to be told what this host has from the registry, and the earliest time.
    must_announce: bool,
    announce_at: clock::Millis,
    is_leaving: bool,
    /// This host's own turn as a member.
    turn: u64,
    registry: registry::Registry,
    lives: life::Lives,
    restore_overrides: restored::Overrides,
    suspects: suspects::Suspects,
    gossip_at: clock::Millis,
    started_at: clock::Millis,
    standing: Standing,
    start: start::Start,
    /// The revision up to which the catalogs in force are complete; 0 if that is not known. It rises without
    /// a change of them too, and lets a host follow the registry that never read it.
    complete_to: u64,
    /// What another host said of that, with the catalogs that it has.
    claim: ([view::Stamp; 2], u64),
    /// When a traffic core asked for confirmation.
    revalidate_at: Option<clock::Millis>,
    outputs: Vec<Output>,
    stats: Stats,
}

impl Core {
    /// A core that knows nothing yet.
    pub fn new(policy: Policy, identity: Identity, reader: Reader, seed: u64, now: clock::Millis) -> Self {
        let mut random = rngs::SmallRng::seed_from_u64(seed);
        let start = start::Start::new(now, &mut random);
        let mut core = Self {
            policy,
            identity,
            reader,
            now,
            random,
            shelves: Default::default(),
            servers: view::Registry::default(),
            view: None,
            compile_at: None,
            compiled_at: now,
            peers: IndexMap::new(),
            ranked: Vec::new(),
            watcher_peers: Vec::new(),
            is_stand_in: false,
            members: member::Members::default(),
            heard_at: now,
            review_at: clock::Millis::MAX,
            must_announce: false,
            announce_at: clock::Millis::ZERO,
            is_leaving: false,
            turn: 0,
            registry: registry::Registry::default(),
            lives: life::Lives::default(),
            restore_overrides: restored::Overrides::default(),
            suspects: suspects::Suspects::default(),
            gossip_at: now,
            started_at: now,
            standing: match reader.source {
                Source::Documents => Standing::Settled,
                Source::Registry { .. } => Standing::Joining,
            },
            start,
            complete_to: 0,
            claim: Default::default(),
            revalidate_at: None,
            outputs: Vec::new(),
            stats: Stats::default(),
        };
        core.refresh_peers();
        core
    }

    /// Runs the systems once.
    pub fn step(&mut self, now: clock::Millis, inputs: impl IntoIterator<Item = Input>) -> Vec<Output> {
        self.now = now.max(self.now);
        for input in inputs {
            self.take(input);
        }
        match self.reader.source {
            Source::Documents => self.ask_platform(),
            Source::Registry { .. } => self.ask_registry(),
        }
        self.gossip();
        self.ask_for_late();
        self.tell_who_asked();
        self.announce();
        self.tell_suspects();
        self.compile_members();
        self.count_outputs()
    }

    /// When the core must be stepped again at the latest, if nothing else happens.
    pub fn next_timer(&self) -> clock::Millis {
        match self.reader.source {
            Source::Documents => self.now,
            Source::Registry { .. } => {
                let compile = self.compile_at.unwrap_or(clock::Millis::MAX);
                let told = self.spread_timer().min(self.suspects_timer());
                self.gossip_at.min(self.review_at).min(told).min(self.registry_timer()).min(compile)
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Tick => {}
            Input::Manifest { kind, watched, text } => self.on_manifest(kind, watched, text),
            Input::Part { kind, key, text } => self.on_part(kind, key, text),
            Input::Page(page) => self.on_page(page),
            Input::Changes { ticket, changes } => self.on_changes(ticket, changes),
            Input::Peer(message) => self.on_message(message),
            Input::Revalidate => self.on_revalidate(),
            Input::Leaving => self.on_leaving(),
            Input::Seeds(seeds) => self.identity.seeds = seeds,
            Input::Crashed(crash) => self.on_crash(crash),
            Input::Cleared(fingerprint) => self.on_cleared(fingerprint),
            Input::AskTrial(trial) => self.ask_trial(trial),
            Input::TrialUnused(trial) => self.take_back_trial(trial),
            Input::Release(fingerprint) => self.on_release(fingerprint),
        }
    }

    fn count_outputs(&mut self) -> Vec<Output> {
        let outputs = std::mem::take(&mut self.outputs);
        for output in &outputs {
            match output {
                Output::ReadManifest(_)
                | Output::Watch { .. }
                | Output::ReadPart { .. }
                | Output::List { .. }
                | Output::Follow { .. } => self.stats.platform_calls += 1,
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

    /// The other hosts that this one knows from hosts, and what they do; none if documents list them.
    pub fn members(&self) -> impl Iterator<Item = (&CompactString, message::State)> {
        self.members.states()
    }

    /// Requests that may crash servers, as this host knows them.
    pub fn suspects(&self) -> Vec<suspect::Record> {
        self.suspects.table.records(self.now)
    }

    /// Counters since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Whether this host watches the platform for its data centre.
    pub fn is_watcher(&self) -> bool {
        let most = self.policy.watchers as usize;
        self.is_stand_in || self.ranked.iter().take(most).any(|name| *name == self.identity.name)
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
                    reasons.push((server.name.clone(), plan::explain(selector, server, &mut self.servers, &view)));
                }
            }
        }
        Some(reasons)
    }

    /// The server called `name`, for tests and status.
    pub fn server(&mut self, name: &str) -> id::Server {
        self.servers.intern(name)
    }
}
