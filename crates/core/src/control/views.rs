//! Compiles catalogs and members into the view in force, and selects the watchers.

use std::{iter, sync::Arc};

use crate::{catalog, clock, mutant, plan, rendezvous, view};

use super::{Core, Output, Source, Standing, note};

/// Number of standby watchers in a data centre, which poll a registry while hosts ranked before them cannot reach it.
const STANDBY_WATCHERS: usize = 3;

/// Minimum time between two views if only members changed. Compiling a view of 270 servers takes about 10 ms on a
/// host with an eighth of a core.
pub(super) const COMPILE_PAUSE: clock::Millis = clock::Millis(100);
/// The same if members only joined. New members need not get requests at once, whereas requests to members that are
/// leaving or silent must stop quickly.
pub(super) const JOINED_PAUSE: clock::Millis = clock::Millis(500);

/// What a view is compiled from besides catalogs.
pub(super) struct Inputs {
    held: Vec<plan::Leaf>,
    restarted: Vec<plan::Leaf>,
    relays: Vec<plan::Relay>,
    local: plan::Relay,
    evacuated: plan::Part,
}

impl Core {
    /// Compiles the view if a scheduled compilation is due. Changes of members are batched because each digest brings
    /// some while many hosts start.
    pub(super) fn compile_if_due(&mut self) {
        if self.compile_at.is_some_and(|at| at <= self.now) {
            self.compile();
        }
    }

    /// Schedules a compilation after members changed, `pause` after the last one at the earliest.
    pub(super) fn schedule_compile(&mut self, pause: clock::Millis) {
        let at = self.compiled_at + pause;
        self.compile_at = Some(self.compile_at.map_or(at, |due| due.min(at)));
    }

    pub(super) fn compile(&mut self) {
        self.compile_at = None;
        self.compiled_at = self.now;
        if self.replicas.iter().any(|replica| replica.stamp.version == 0) {
            return;
        }
        if mutant::is(mutant::Mutant::ForgetLeaving) {
            self.servers.clear_marks();
        }
        let stamps = [self.replicas[0].stamp, self.replicas[1].stamp];
        let inputs = self.inputs();
        self.choose_gatherers(&inputs);
        let mut servers = std::mem::take(&mut self.servers);
        let mut view = plan::compile(stamps, self.parts(&inputs), self.fleet(&inputs), &mut servers);
        self.servers = servers;
        self.set_evidence_servers(&mut view);
        let view = Arc::new(view);
        self.log_evacuations(&view);
        self.stats.entries = self.replicas[catalog::Kind::Hosts.index()].current.manifest.parts.len() as u64;
        self.stats.servers = view.servers.iter().flatten().filter(|server| !server.is_peer).count() as u64;
        self.stats.servers_held = inputs.held.len() as u64;
        self.view = Some(Arc::clone(&view));
        self.refresh_peers();
        self.outputs.push(Output::View(view));
    }

    /// What a view is compiled from besides catalogs.
    pub(super) fn inputs(&self) -> Inputs {
        Inputs {
            held: self.registry.held.leaves(),
            restarted: self.incarnations.restarted(),
            relays: self.members.relays(),
            local: plan::Relay {
                name: self.identity.name.clone(),
                data_centre: self.identity.data_centre.clone(),
                address: self.identity.relay.clone(),
                power: self.identity.power,
                is_open: true,
                demand: self.gatherers.published,
            },
            evacuated: plan::Part::Evacuation(self.restore_overrides.evacuated()),
        }
    }

    /// The parts of both catalogs that are in use.
    pub(super) fn parts<'p>(&'p self, inputs: &'p Inputs) -> impl Iterator<Item = &'p plan::Part> {
        let overrides = &self.restore_overrides;
        let is_used =
            move |part: &&plan::Part| !matches!(part, plan::Part::Leaf(leaf) if overrides.is_removed(&leaf.name));
        let parts = self.replicas.iter().flat_map(|replica| replica.parsed.values()).map(|part| &**part);
        parts.filter(is_used).chain(iter::once(&inputs.evacuated))
    }

    pub(super) fn fleet<'p>(&'p self, inputs: &'p Inputs) -> plan::Fleet<'p> {
        let members = match self.reader.source {
            Source::Documents => 0,
            Source::Registry { .. } => self.members.count().max(self.identity.seeds.len()) as u32,
        };
        let tolerance = view::Tolerance { overage: self.policy.warm_up_overage, slack: self.policy.warm_up_slack };
        let transitions = &self.gatherers.transitions;
        plan::Fleet {
            local: Some(&inputs.local),
            members,
            is_settled: self.standing == Standing::Settled,
            relays: &inputs.relays,
            held: &inputs.held,
            restarted: &inputs.restarted,
            tolerance,
            regions: Some(&self.identity.regions),
            gatherers: self.policy.gatherers.as_ref().map(|policy| plan::Gatherers { policy, transitions }),
        }
    }

    /// Logs the evacuated data centres when they change.
    pub(super) fn log_evacuations(&mut self, view: &view::View) {
        let is_same = match &self.view {
            Some(before) => before.evacuated == view.evacuated,
            None => view.evacuated.is_empty(),
        };
        if is_same {
            return;
        }
        self.stats.evacuations += 1;
        let servers = view.servers.iter().flatten().filter(|server| server.evacuated).count();
        let data_centres = view.evacuated.iter().cloned().collect();
        self.outputs.push(Output::Note(note::Note::Evacuated { data_centres, servers, stamp: view.hosts_revision }));
    }

    /// Rebuilds the peers and their ranking from the list of hosts in force.
    pub(super) fn refresh_peers(&mut self) {
        self.peers.clear();
        self.ranked.clear();
        if matches!(self.reader.source, Source::Registry { .. }) {
            self.refresh_from_members();
            return;
        }
        for part in self.replicas[catalog::Kind::Hosts.index()].parsed.values() {
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

    /// The same for a registry, with which hosts are discovered by gossip. Also selects the watchers.
    pub(super) fn refresh_from_members(&mut self) {
        self.ranked.push(self.identity.name.clone());
        for host in self.members.hosts() {
            if host.state == plan::State::Live && host.data_centre == self.identity.data_centre {
                self.ranked.push(host.name.clone());
            }
            self.peers.insert(host.peer.clone(), host);
        }
        rendezvous::rank(&self.identity.data_centre, &mut self.ranked);
        let max_watchers = self.policy.watchers as usize;
        let without_registry = self.members.without_registry();
        let rank = self.ranked.iter().position(|name| *name == self.identity.name).unwrap_or_default();
        let reachable_before = self.ranked[..rank].iter().filter(|name| !without_registry.contains(*name)).count();
        self.is_standby_watcher =
            (max_watchers..max_watchers + STANDBY_WATCHERS).contains(&rank) && reachable_before < max_watchers;
        let watchers = &self.ranked[..self.ranked.len().min(max_watchers)];
        let is_watcher = |host: &plan::EntryHost| watchers.contains(&host.name);
        self.watcher_peers =
            self.peers.iter().filter(|(_, host)| is_watcher(host)).map(|(address, _)| address.clone()).collect();
    }
}
