//! The control core: selects the configuration in force and distributes it to all hosts.
//!
//! The platform is read-only, and every call and pending watch on it is counted. So a few hosts
//! per data centre watch it, chosen by rendezvous hashing over the published host list, without an
//! election. They push changes down a tree, and every host exchanges digests with two others each
//! second to repair lost pushes. A host that receives nothing from its peers reads the platform
//! itself, with jitter to spread the load.
//!
//! Versions are monotonic: [`Core`] adopts a catalog only if its stamp is higher than the one in force,
//! regardless of what the platform or a peer returns later. An invalid document is rejected as a whole,
//! and the last valid one stays in force.

mod event;
mod evidence;
mod gatherers;
mod gossip;
mod history;
mod hold;
mod incarnation;
mod member;
pub mod message;
pub mod mirror;
pub mod note;
mod platform;
mod policy;
mod registry;
mod replica;
mod restored;
mod spread;
mod start;
mod suspects;
mod urgency;
mod views;

pub use event::{Input, Output, Stats};
pub use policy::Policy;

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;
use rand::{SeedableRng, rngs};
use replica::{Announcement, Replica};
use serde::{Deserialize, Serialize};

use crate::{catalog, clock, id, plan, plan::gatherers::transition, suspect, urgency::exchange, view};

/// The identity of this host and its static settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name in the list of hosts.
    pub name: CompactString,
    /// Name of the host's data centre.
    pub data_centre: CompactString,
    /// `IP:PORT` that accepts messages from other hosts.
    pub peer: CompactString,
    /// `IP:PORT` of the hosts to contact before any host list is known. Identical on all hosts of a data
    /// centre, and may include this host.
    pub seeds: Vec<CompactString>,
    /// `IP:PORT` that accepts requests relayed by other hosts; empty if relaying is disabled.
    pub relay: CompactString,
    /// CPU capacity, in thousandths of a core.
    pub power: u32,
    /// The region of each data centre; empty if not configured.
    pub regions: plan::Regions,
}

/// The start-up phase of a host when membership is discovered by gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Just started; the member list may be incomplete.
    Joining,
    /// No settled member was found: the whole fleet started at once, possibly after a complete failure.
    Reborn,
    /// The member list is complete; the host uses its full share of fleet-wide limits.
    Settled,
}

/// The source of the configuration and the host lists.
#[derive(Clone, Copy, Debug)]
pub enum Source {
    /// Published documents: one manifest per catalog, which lists its parts.
    Documents,
    /// A keyspace that is read in full and then followed through its changes. Entry hosts are not listed
    /// in it; they discover each other by gossip.
    Registry {
        /// Maps an item's key to its catalog; `None` for items of other systems.
        kind_of: fn(&str) -> Option<catalog::Kind>,
        /// Reduces an item's text, given its key, to the content that is relevant here. Changes to the
        /// rest of the text are not distributed to other hosts.
        normalize: fn(&str, Arc<str>) -> Arc<str>,
    },
}

/// Parsers for documents. They are implemented in the settings package (YAML) or by the interface that
/// defines the registry's format.
#[derive(Clone, Copy, Debug)]
pub struct Reader {
    /// The source whose documents are parsed.
    pub source: Source,
    /// Parses a manifest.
    pub manifest: fn(&str) -> Result<catalog::Manifest, Vec<plan::Fault>>,
    /// Parses a part, given its key and text.
    pub part: fn(&str, &str) -> Result<plan::Part, Vec<plan::Fault>>,
}

/// The state machine of the control thread.
#[derive(Debug)]
pub struct Core {
    policy: Policy,
    identity: Identity,
    reader: Reader,
    now: clock::Millis,
    random: rngs::SmallRng,
    replicas: [Replica; 2],
    servers: view::Registry,
    view: Option<Arc<view::View>>,
    /// When a view must be compiled because members changed, and when the last one was compiled.
    compile_at: Option<clock::Millis>,
    compiled_at: clock::Millis,
    /// The other entry hosts, by peer address.
    peers: IndexMap<CompactString, plan::EntryHost>,
    /// Hosts of this data centre in rendezvous order; the first ones are watchers, and the push tree uses this order.
    ranked: Vec<CompactString>,
    /// Addresses of the watchers, without this host.
    watcher_peers: Vec<CompactString>,
    /// Whether this host watches as a standby because the registry is unreachable for higher-ranked hosts.
    is_standby_watcher: bool,
    members: member::Members,
    /// When a message from another host was last received.
    last_received_at: clock::Millis,
    /// When to check for unanswered digests.
    reply_check_at: clock::Millis,
    /// Whether to announce this host's registry state, and the earliest time for it.
    must_announce: bool,
    announce_at: clock::Millis,
    is_leaving: bool,
    /// This host's incarnation number as a member; see [`message::Member::incarnation`].
    incarnation: u64,
    registry: registry::Registry,
    incarnations: incarnation::Incarnations,
    restore_overrides: restored::Overrides,
    suspects: suspects::Suspects,
    exchange: evidence::Exchange,
    gatherers: gatherers::Gatherers,
    urgency: exchange::Exchange,
    gossip_at: clock::Millis,
    started_at: clock::Millis,
    standing: Standing,
    start: start::Start,
    /// The revision up to which the catalogs in force are complete; 0 if unknown. It also rises when the
    /// catalogs do not change, and lets a host follow the registry without a full read.
    complete_to: u64,
    /// The highest `complete_to` reported by a peer, with the stamps of that peer's catalogs.
    peer_completeness: ([view::Stamp; 2], u64),
    /// When a traffic core last requested revalidation.
    revalidation_requested_at: Option<clock::Millis>,
    outputs: Vec<Output>,
    stats: Stats,
}

impl Core {
    /// Creates a core without any catalog in force.
    pub fn new(policy: Policy, identity: Identity, reader: Reader, seed: u64, now: clock::Millis) -> Self {
        let mut random = rngs::SmallRng::seed_from_u64(seed);
        let start = start::Start::new(now, &mut random);
        let exchange = evidence::Exchange::new(policy.evidence, &identity.name, seed, now);
        let urgency = exchange::Exchange::new(identity.name.clone());
        let mut core = Self {
            policy,
            identity,
            reader,
            now,
            random,
            replicas: Default::default(),
            servers: view::Registry::default(),
            view: None,
            compile_at: None,
            compiled_at: now,
            peers: IndexMap::new(),
            ranked: Vec::new(),
            watcher_peers: Vec::new(),
            is_standby_watcher: false,
            members: member::Members::default(),
            last_received_at: now,
            reply_check_at: clock::Millis::MAX,
            must_announce: false,
            announce_at: clock::Millis::ZERO,
            is_leaving: false,
            incarnation: 0,
            registry: registry::Registry::default(),
            incarnations: incarnation::Incarnations::default(),
            restore_overrides: restored::Overrides::default(),
            suspects: suspects::Suspects::default(),
            exchange,
            gatherers: gatherers::Gatherers::default(),
            urgency,
            gossip_at: now,
            started_at: now,
            standing: match reader.source {
                Source::Documents => Standing::Settled,
                Source::Registry { .. } => Standing::Joining,
            },
            start,
            complete_to: 0,
            peer_completeness: Default::default(),
            revalidation_requested_at: None,
            outputs: Vec::new(),
            stats: Stats::default(),
        };
        core.publish_lowest_demand();
        core.refresh_peers();
        core
    }

    /// Processes `inputs`, runs all subsystems once and returns the resulting actions.
    pub fn step(&mut self, now: clock::Millis, inputs: impl IntoIterator<Item = Input>) -> Vec<Output> {
        self.now = now.max(self.now);
        for input in inputs {
            self.handle_input(input);
        }
        match self.reader.source {
            Source::Documents => self.poll_platform(),
            Source::Registry { .. } => self.poll_registry(),
        }
        self.gossip();
        self.request_overdue();
        self.notify_waiting();
        self.announce();
        self.gossip_suspects();
        self.exchange_evidence();
        self.publish_demand();
        self.choose_if_due();
        self.advance_urgency();
        self.compile_if_due();
        self.count_outputs()
    }

    /// The latest time for the next call of [`Core::step`] if no input arrives.
    pub fn next_timer(&self) -> clock::Millis {
        match self.reader.source {
            Source::Documents => self.now,
            Source::Registry { .. } => {
                let compile = self.compile_at.unwrap_or(clock::Millis::MAX);
                let outgoing = self
                    .spread_timer()
                    .min(self.suspects_timer())
                    .min(self.evidence_timer())
                    .min(self.gatherers_timer())
                    .min(self.urgency.next_timer());
                self.gossip_at.min(self.reply_check_at).min(outgoing).min(self.registry_timer()).min(compile)
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Tick => {}
            Input::Manifest { kind, is_watch, text } => self.on_manifest(kind, is_watch, text),
            Input::Part { kind, key, text } => self.on_part(kind, key, text),
            Input::Page(page) => self.on_page(page),
            Input::Changes { ticket, changes } => self.on_changes(ticket, changes),
            Input::Peer(message) => self.on_message(message),
            Input::Revalidate => self.on_revalidate(),
            Input::Leaving => self.on_leaving(),
            Input::Seeds(seeds) => self.identity.seeds = seeds,
            Input::Crashed(crash) => self.on_crash(crash),
            Input::Cleared(fingerprint) => self.on_cleared(fingerprint),
            Input::RequestTrial(trial) => self.request_trial(trial),
            Input::TrialUnused(trial) => self.on_trial_unused(trial),
            Input::Release(fingerprint) => self.on_release(fingerprint),
            Input::Observed(samples) => self.on_observed(&samples),
            Input::Demand { lane, demand } => self.on_demand(lane, demand),
            Input::Urgency(report) => self.urgency.report(self.now, report),
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
                | Output::WatchRegistry { .. } => self.stats.platform_calls += 1,
                Output::Send { .. } => self.stats.sent += 1,
                _ => {}
            }
        }
        outputs
    }

    /// The view in force; `None` until both catalogs have been adopted.
    pub fn view(&self) -> Option<&Arc<view::View>> {
        self.view.as_ref()
    }

    /// The stamp of the catalog in force; its version is 0 if there is none.
    pub fn stamp(&self, kind: catalog::Kind) -> view::Stamp {
        self.replicas[kind.index()].stamp
    }

    /// Time since the catalog was last confirmed to be current; `None` if it never was.
    pub fn age(&self, kind: catalog::Kind) -> Option<clock::Millis> {
        self.replicas[kind.index()].confirmed_at.map(|at| self.now.since(at))
    }

    /// Names and states of the members discovered by gossip; empty if documents list the hosts.
    pub fn members(&self) -> impl Iterator<Item = (&CompactString, message::State)> {
        self.members.states()
    }

    /// The hosts that gather for each set of shards; empty if they are not chosen by demand.
    pub fn gathering(&self) -> impl Iterator<Item = &transition::Gathering> {
        self.gatherers.transitions.all()
    }

    /// This host's records of requests that may crash servers.
    pub fn suspects(&self) -> Vec<suspect::Record> {
        self.suspects.table.records(self.now)
    }

    /// Counters since the core was created.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Whether this host watches the platform on behalf of its data centre.
    pub fn is_watcher(&self) -> bool {
        let watchers = self.policy.watchers as usize;
        self.is_standby_watcher || self.ranked.iter().take(watchers).any(|name| *name == self.identity.name)
    }

    /// For each server of the selector's service, the reason why it is selected or not; `None` if there is
    /// no such selector.
    pub fn explain(&mut self, selector: &str) -> Option<Vec<(CompactString, plan::Reason)>> {
        let view = Arc::clone(self.view.as_ref()?);
        let parts: Vec<Arc<plan::Part>> = self.replicas[0].parsed.values().cloned().collect();
        let mut found = None;
        for part in &parts {
            let plan::Part::Selectors(selectors) = &**part else {
                continue;
            };
            found = found.or_else(|| selectors.iter().find(|candidate| candidate.name == selector));
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

    /// The index of the server called `name`, for tests and status pages.
    pub fn server(&mut self, name: &str) -> id::Server {
        self.servers.intern(name)
    }
}
