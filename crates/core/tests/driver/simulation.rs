//! Event-driven simulation of hosts, leaves, platform and links.

use std::{cmp, collections, sync::Arc};

use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs};
use shallothub_core::{
    catalog, clock, control, id,
    traffic::{self, event, policy},
    view,
};
use shallothub_settings::document;

use super::{documents, fault, leaf, oracle};

const TICK: clock::Millis = clock::Millis(50);

#[derive(Clone, Debug)]
pub enum Event {
    /// A host handles its timers.
    Tick {
        host: usize,
        life: u32,
    },
    Arrive {
        host: usize,
        life: u32,
        dispatch: Box<event::Dispatch>,
    },
    /// A leaf finished a query.
    Done {
        host: usize,
        life: u32,
        leaf: usize,
        incarnation: u64,
        dispatch: Box<event::Dispatch>,
    },
    Traffic {
        host: usize,
        life: u32,
        input: event::Input,
    },
    Control {
        host: usize,
        life: u32,
        input: control::Input,
    },
    Caller {
        host: usize,
    },
    Fault,
    Repair(fault::Fault),
}

#[derive(Debug)]
pub struct Host {
    pub up: bool,
    pub life: u32,
    pub frozen_until: clock::Millis,
    pub traffic: traffic::Core,
    pub control: control::Core,
    /// Leaf of each attempt that holds a connection.
    pub connections: IndexMap<id::Attempt, usize>,
    pub next_caller: u64,
    /// Incarnations of leaves that a view marked as leaving in this life of the host.
    pub known_leaving: indexmap::IndexSet<(CompactString, u64)>,
}

#[derive(Debug, Default)]
pub struct Platform {
    pub values: IndexMap<CompactString, Arc<str>>,
    pub stale: Option<IndexMap<CompactString, Arc<str>>>,
    pub is_down: bool,
    pub versions: [u64; 2],
    pub calls: u64,
}

pub struct Simulation {
    pub now: clock::Millis,
    pub random: rngs::SmallRng,
    pub seed: u64,
    pub fault_names: &'static [&'static str],
    pub steps: u64,
    pub hosts: Vec<Host>,
    pub leaves: Vec<leaf::Leaf>,
    pub platform: Platform,
    pub oracle: oracle::Oracle,
    /// Cut links between hosts, as (sender, receiver).
    pub cut_peers: indexmap::IndexSet<(usize, usize)>,
    pub cut_platform: indexmap::IndexSet<usize>,
    pub cut_leaves: indexmap::IndexSet<(usize, usize)>,
    pub faults: IndexMap<&'static str, u64>,
    pub disturbed_until: clock::Millis,
    pub leaving_hosts: Vec<usize>,
    pub change: u64,
    heap: collections::BinaryHeap<cmp::Reverse<(clock::Millis, u64)>>,
    events: IndexMap<u64, Event>,
    sequence: u64,
}

pub fn host(host: usize, life: u32, seed: u64, now: clock::Millis) -> Host {
    let control = control::Policy {
        gossip: clock::Millis(300),
        watch: clock::Millis(1000),
        stale: clock::Millis(2500),
        read_pause: clock::Millis(500),
        start_wait: clock::Millis(50),
        ..control::Policy::default()
    };
    let identity = control::Identity {
        name: documents::host_name(host),
        data_centre: CompactString::from(documents::data_centre(host)),
        peer: documents::peer(host),
        seeds: (0..documents::HOSTS).map(documents::peer).collect(),
        relay: CompactString::default(),
        regions: Default::default(),
        power: 0,
    };
    let seed = seed ^ (host as u64) << 32 ^ u64::from(life) << 40;
    let policy = policy::Policy { burst: oracle::BURST, ..policy::Policy::default() };
    Host {
        up: true,
        life,
        frozen_until: clock::Millis::ZERO,
        traffic: traffic::Core::new(policy, traffic::Lane { index: 0, count: 1 }, seed, now),
        control: control::Core::new(control, identity, document::READER, seed, now),
        connections: IndexMap::new(),
        next_caller: 0,
        known_leaving: indexmap::IndexSet::new(),
    }
}

impl Simulation {
    /// Injects only faults of the kinds in `fault_names`, or of all kinds if it is empty.
    pub fn new(seed: u64, fault_names: &'static [&'static str]) -> Self {
        let now = clock::Millis(1);
        let mut leaves = Vec::new();
        for shard in 0..documents::SHARDS {
            for replica in 0..documents::REPLICAS {
                leaves.push(leaf::Leaf::new(format_compact!("leaf-{shard}-{replica}")));
            }
        }
        for mailer in 0..documents::MAILERS {
            leaves.push(leaf::Leaf::new(format_compact!("mail-{mailer}")));
        }
        let mut simulation = Self {
            now,
            random: rngs::SmallRng::seed_from_u64(seed),
            seed,
            fault_names,
            steps: 0,
            hosts: (0..documents::HOSTS).map(|index| host(index, 0, seed, now)).collect(),
            leaves,
            platform: Platform::default(),
            oracle: oracle::Oracle::default(),
            cut_peers: indexmap::IndexSet::new(),
            cut_platform: indexmap::IndexSet::new(),
            cut_leaves: indexmap::IndexSet::new(),
            faults: IndexMap::new(),
            disturbed_until: clock::Millis::ZERO,
            leaving_hosts: Vec::new(),
            change: 0,
            heap: collections::BinaryHeap::new(),
            events: IndexMap::new(),
            sequence: 0,
        };
        simulation.publish_config();
        simulation.publish_hosts();
        for host in 0..documents::HOSTS {
            simulation.at(now, Event::Tick { host, life: 0 });
            simulation.at(now + clock::Millis(500), Event::Caller { host });
        }
        simulation.at(now + clock::Millis(1500), Event::Fault);
        simulation
    }

    pub fn at(&mut self, at: clock::Millis, scheduled: Event) {
        self.sequence += 1;
        self.heap.push(cmp::Reverse((at, self.sequence)));
        self.events.insert(self.sequence, scheduled);
    }

    pub fn after(&mut self, min_ms: u64, max_ms: u64, scheduled: Event) {
        let delay = self.random.random_range(min_ms..=max_ms);
        self.at(self.now + clock::Millis(delay), scheduled);
    }

    pub fn run(&mut self, until: clock::Millis) {
        while let Some(cmp::Reverse((at, sequence))) = self.heap.pop() {
            if at > until {
                break;
            }
            self.now = at.max(self.now);
            if let Some(scheduled) = self.events.swap_remove(&sequence) {
                self.steps += 1;
                self.handle(scheduled);
            }
        }
        self.oracle.check_extra_load();
    }

    fn handle(&mut self, scheduled: Event) {
        match scheduled {
            Event::Fault => fault::draw(self),
            Event::Repair(fault) => fault::repair(self, fault),
            Event::Caller { host } => self.on_caller(host),
            Event::Tick { host, life } => self.on_tick(host, life, Event::Tick { host, life }),
            Event::Traffic { host, life, ref input } => {
                let input = input.clone();
                if self.is_awake(host, life, &scheduled) {
                    if let event::Input::Reply { attempt, .. } = &input {
                        self.close(host, *attempt);
                    }
                    self.traffic(host, [input]);
                }
            }
            Event::Control { host, life, ref input } => {
                let input = input.clone();
                if self.is_awake(host, life, &scheduled) {
                    self.control(host, [input]);
                }
            }
            Event::Arrive { host, life, dispatch } => self.on_arrive(host, life, dispatch),
            Event::Done { host, life, leaf, incarnation, dispatch } => {
                self.on_done(host, life, leaf, incarnation, &dispatch);
            }
        }
    }

    /// Whether a host can handle an event now; events for a frozen host are rescheduled for its wake-up.
    fn is_awake(&mut self, host: usize, life: u32, scheduled: &Event) -> bool {
        let state = &self.hosts[host];
        if !state.up || state.life != life {
            return false;
        }
        if state.frozen_until > self.now {
            let at = state.frozen_until;
            self.at(at, scheduled.clone());
            return false;
        }
        true
    }

    fn on_tick(&mut self, host: usize, life: u32, scheduled: Event) {
        if !self.is_awake(host, life, &scheduled) {
            return;
        }
        self.traffic(host, [event::Input::Tick]);
        self.control(host, [control::Input::Tick]);
        let due = self.hosts[host].traffic.next_timer().unwrap_or(clock::Millis::MAX);
        let at = due.max(self.now + clock::Millis(1)).min(self.now + TICK);
        self.at(at, scheduled);
    }

    pub fn on_caller(&mut self, host: usize) {
        self.after(1, 24, Event::Caller { host });
        self.send_query(host);
    }

    /// Sends a query of a random class to `host`.
    pub fn send_query(&mut self, host: usize) {
        let state = &mut self.hosts[host];
        if !state.up {
            return;
        }
        let class = ["sweep", "check", "letter"][self.random.random_range(0..3)];
        state.next_caller += 1;
        let caller = state.next_caller;
        let life = state.life;
        self.oracle.queries += 1;
        // One letter in four reuses the idempotency key of an earlier letter to the same host.
        let number = if self.random.random_bool(0.25) { caller.saturating_sub(3) } else { caller };
        let has_key = class == "letter" && self.random.random_bool(0.8);
        let key = has_key.then(|| format_compact!("{host}-{life}-{number}"));
        let request_timeout = self.random.random_bool(0.2).then(|| clock::Millis(self.random.random_range(0..400)));
        let class = CompactString::const_new(class);
        let request = event::Request {
            caller: id::Caller(caller),
            class,
            timeout: request_timeout,
            key,
            relayed: None,
            fingerprint: None,
        };
        let scheduled = Event::Traffic { host, life, input: event::Input::Request(request) };
        self.at(self.now, scheduled);
    }

    pub fn traffic<const N: usize>(&mut self, host: usize, inputs: [event::Input; N]) {
        let now = self.now;
        for output in self.hosts[host].traffic.step(now, inputs) {
            self.apply_traffic_output(host, output);
        }
    }

    fn apply_traffic_output(&mut self, host: usize, output: event::Output) {
        let life = self.hosts[host].life;
        match output {
            event::Output::Dispatch(dispatch) => self.on_dispatch(host, life, dispatch),
            event::Output::Cancel { attempt } => self.close(host, attempt),
            event::Output::Answer(answer) => {
                let requester = leaf::Requester { host, life, caller: answer.caller.0 };
                let shards = if answer.class == "letter" { 1 } else { documents::SHARDS };
                self.oracle.on_answer(requester, &answer, shards);
            }
            event::Output::Reroute { .. } => panic!("no class of this simulation is removed"),
            event::Output::Revalidate => {
                self.at(self.now, Event::Control { host, life, input: control::Input::Revalidate });
            }
            event::Output::Crashed(crash) => {
                self.at(self.now, Event::Control { host, life, input: control::Input::Crashed(crash) });
            }
            event::Output::Cleared(fingerprint) => {
                self.at(self.now, Event::Control { host, life, input: control::Input::Cleared(fingerprint) });
            }
            event::Output::RequestTrial(trial) => {
                self.at(self.now, Event::Control { host, life, input: control::Input::RequestTrial(trial) });
            }
            event::Output::TrialUnused(trial) => {
                self.at(self.now, Event::Control { host, life, input: control::Input::TrialUnused(trial) });
            }
            event::Output::Observed(samples) => self.control(host, [control::Input::Observed(samples)]),
            event::Output::Probe { .. } => panic!("no request of this simulation has a fingerprint"),
            event::Output::Demand { lane, demand } => {
                self.at(self.now, Event::Control { host, life, input: control::Input::Demand { lane, demand } });
            }
            event::Output::Urgency(report) => {
                self.at(self.now, Event::Control { host, life, input: control::Input::Urgency(report) });
            }
            event::Output::Trim { .. } | event::Output::Note(_) => {}
            event::Output::Breach(breach) => {
                self.oracle.breach(breach.name.as_str(), format!("by the program: {}", breach.detail));
            }
        }
    }

    fn on_dispatch(&mut self, host: usize, life: u32, dispatch: event::Dispatch) {
        let Some(leaf) = self.leaves.iter().position(|leaf| leaf.name == dispatch.address) else {
            return;
        };
        self.check_leaving(host, leaf);
        let state = &mut self.leaves[leaf];
        state.connections += 1;
        state.peak_connections = state.peak_connections.max(state.connections);
        if state.connections > documents::CONNECTIONS {
            let detail = format!("{}: {} connections", state.name, state.connections);
            self.oracle.breach("bounded_connections", detail);
        }
        self.hosts[host].connections.insert(dispatch.attempt, leaf);
        let is_cut = self.cut_leaves.contains(&(host, leaf)) || !self.leaves[leaf].up;
        let attempt = dispatch.attempt;
        if !is_cut {
            self.after(1, 3, Event::Arrive { host, life, dispatch: Box::new(dispatch) });
            return;
        }
        // Half of the attempts over a cut link are known not to have been sent; the others are unknown.
        let reply =
            if self.random.random_bool(0.5) { event::Reply::NotSent } else { event::Reply::Lost(event::Loss::Broken) };
        self.after(1, 20, Event::Traffic { host, life, input: event::Input::Reply { attempt, reply } });
    }

    /// Records a breach if this host knows that the leaf is leaving, or had time enough to learn it.
    fn check_leaving(&mut self, host: usize, leaf: usize) {
        let state = &self.leaves[leaf];
        let is_known = self.hosts[host].known_leaving.contains(&(state.name.clone(), state.incarnation));
        let is_old = state.leaving_since.is_some_and(|at| self.now.since(at) > oracle::LEAVING_GRACE);
        let was_undisturbed = state.leaving_since.is_some_and(|at| at > self.disturbed_until);
        if is_known || is_old && was_undisturbed {
            let view = self.hosts[host].traffic.view();
            let seen = view.servers.iter().flatten().find(|server| server.name == state.name);
            let detail = format!(
                "host {host} to {} at {}, frozen until {:?}, leaving since {:?}, known {is_known}, incarnation {}, in view {seen:?} of {}",
                state.name,
                self.now,
                self.hosts.iter().map(|host| host.frozen_until.0).collect::<Vec<_>>(),
                state.leaving_since,
                state.incarnation,
                view.hosts_revision
            );
            self.oracle.breach("no_work_to_leaving", detail);
        }
    }

    fn close(&mut self, host: usize, attempt: id::Attempt) {
        if let Some(leaf) = self.hosts[host].connections.swap_remove(&attempt) {
            self.leaves[leaf].connections -= 1;
        }
    }

    fn on_arrive(&mut self, host: usize, life: u32, dispatch: Box<event::Dispatch>) {
        let Some(leaf) = self.leaves.iter().position(|leaf| leaf.name == dispatch.address) else {
            return;
        };
        let attempt = dispatch.attempt;
        let state = &mut self.leaves[leaf];
        if !state.up {
            let input = event::Input::Reply { attempt, reply: event::Reply::Lost(event::Loss::Broken) };
            self.after(1, 5, Event::Traffic { host, life, input });
            return;
        }
        let is_mail = state.name.starts_with("mail");
        let requester = leaf::Requester { host, life, caller: dispatch.caller.0 };
        self.oracle.on_arrival(requester, &dispatch.shard);
        let is_late = dispatch.deadline <= self.now;
        let is_refused = state.shedding || state.busy >= 6 || is_late || !is_mail && dispatch.epoch != state.epoch;
        if is_refused {
            let reply = event::Reply::Refused { retry_after: None };
            self.after(1, 3, Event::Traffic { host, life, input: event::Input::Reply { attempt, reply } });
            return;
        }
        state.busy += 1;
        let incarnation = state.incarnation;
        let took = 2 * state.slowdown;
        self.oracle.on_execution(leaf::Execution { requester, key: dispatch.key.clone(), idempotent: !is_mail });
        self.after(took, took * 3, Event::Done { host, life, leaf, incarnation, dispatch });
    }

    fn on_done(&mut self, host: usize, life: u32, leaf: usize, incarnation: u64, dispatch: &event::Dispatch) {
        let is_cut = self.cut_leaves.contains(&(host, leaf));
        let state = &mut self.leaves[leaf];
        let is_gone = !state.up || state.incarnation != incarnation;
        if !is_gone {
            state.busy = state.busy.saturating_sub(1);
        }
        let attempt = dispatch.attempt;
        let mut reply = event::Reply::Lost(event::Loss::Broken);
        // One connection in a hundred breaks during a reply.
        let is_broken = self.random.random_bool(0.01);
        if !is_gone && !is_cut && !is_broken {
            let is_mail = state.name.starts_with("mail");
            let snapshot =
                if is_mail { view::Snapshot { epoch: 1, version: 1 } } else { state.snapshot(dispatch.want) };
            let held = if is_mail { None } else { state.other_snapshot(snapshot) };
            reply =
                event::Reply::Answered(event::Part { snapshot, held, hits: 1, load: Some(state.busy), queue: None });
            let requester = leaf::Requester { host, life, caller: dispatch.caller.0 };
            self.oracle.on_body(
                host,
                life,
                attempt,
                oracle::Body { requester, shard: dispatch.shard.clone(), snapshot },
            );
        }
        // Replies may be reordered, and replies to cancelled attempts still arrive.
        self.after(1, 12, Event::Traffic { host, life, input: event::Input::Reply { attempt, reply } });
    }

    pub fn control<const N: usize>(&mut self, host: usize, inputs: [control::Input; N]) {
        let now = self.now;
        for output in self.hosts[host].control.step(now, inputs) {
            self.apply_control_output(host, output);
        }
    }

    fn apply_control_output(&mut self, host: usize, output: control::Output) {
        let life = self.hosts[host].life;
        match output {
            control::Output::ReadManifest(kind) => self.platform_call(host, kind, false, 0),
            control::Output::Watch { kind, after } => self.platform_call(host, kind, true, after),
            control::Output::ReadPart { kind, key } => {
                let text = self.platform_value(host, &key);
                self.after(2, 10, Event::Control { host, life, input: control::Input::Part { kind, key, text } });
            }
            control::Output::Send { to, message, .. } => self.send(host, &to, message),
            control::Output::View(view) => self.on_view(host, life, view),
            control::Output::Revalidated => self.traffic(host, [event::Input::Revalidated]),
            control::Output::Suspects(suspects) => self.traffic(host, [event::Input::Suspects(suspects)]),
            control::Output::Evidence(standings) => self.traffic(host, [event::Input::Evidence(standings)]),
            control::Output::Urgency(states) => self.traffic(host, [event::Input::Urgency(states)]),
            control::Output::TrialGranted(trial) => self.traffic(host, [event::Input::TrialGranted(trial)]),
            control::Output::Refused { stamp, .. } => {
                self.oracle.breach("accepted", format!("host {host} refused {stamp}"));
            }
            control::Output::Note(_) | control::Output::Reconnect { .. } => {}
            control::Output::List { .. } | control::Output::WatchRegistry { .. } => {
                self.oracle.breach("source", "documents are not listed".to_owned());
            }
            control::Output::Breach(breach) => {
                self.oracle.breach(breach.name.as_str(), format!("by the program: {}", breach.detail));
            }
        }
    }

    fn on_view(&mut self, host: usize, life: u32, view: Arc<view::View>) {
        self.oracle.on_view(host, life, &view);
        for server in view.servers.iter().flatten() {
            let listed = self.leaves.iter().find(|leaf| leaf.name == server.name);
            let is_marked =
                listed.is_some_and(|leaf| leaf.leaving_since.is_some() && leaf.incarnation == server.incarnation);
            if server.leaving && is_marked {
                self.hosts[host].known_leaving.insert((server.name.clone(), server.incarnation));
            }
        }
        self.traffic(host, [event::Input::View(view)]);
    }

    fn send(&mut self, from: usize, to: &str, message: control::message::Message) {
        let Some(host) = (0..documents::HOSTS).find(|&host| documents::peer(host) == to) else {
            return;
        };
        if self.cut_peers.contains(&(from, host)) || self.random.random_bool(0.02) {
            return;
        }
        let life = self.hosts[host].life;
        self.after(1, 15, Event::Control { host, life, input: control::Input::Peer(message.clone()) });
        if self.random.random_bool(0.02) {
            self.after(1, 2000, Event::Control { host, life, input: control::Input::Peer(message) });
        }
    }

    fn platform_value(&mut self, host: usize, key: &str) -> Option<Arc<str>> {
        self.platform.calls += 1;
        if self.platform.is_down || self.cut_platform.contains(&host) {
            return None;
        }
        self.platform.stale.as_ref().unwrap_or(&self.platform.values).get(key).cloned()
    }

    /// Reads a manifest; a watch is a read whose reply is delayed if nothing changed.
    fn platform_call(&mut self, host: usize, kind: catalog::Kind, watched: bool, after: u64) {
        let life = self.hosts[host].life;
        let text = self.platform_value(host, kind.manifest_key());
        let version = text.as_deref().and_then(|text| document::manifest(text).ok()).map(|manifest| manifest.version);
        let input = control::Input::Manifest { kind, is_watch: watched, text };
        let has_changed = !watched || version.is_none_or(|version| version != after);
        let wait = if has_changed { 2 } else { 100 };
        self.after(wait, wait + 8, Event::Control { host, life, input });
    }

    pub fn publish(&mut self, kind: catalog::Kind, parts: &IndexMap<CompactString, String>) {
        let version = &mut self.platform.versions[kind.index()];
        *version += 1;
        let manifest = documents::manifest(*version, parts);
        for (key, text) in parts {
            self.platform.values.insert(key.clone(), Arc::from(text.as_str()));
        }
        self.platform.values.insert(CompactString::from(kind.manifest_key()), Arc::from(manifest));
    }

    pub fn publish_config(&mut self) {
        self.change += 1;
        let epoch = self.leaves[0].epoch;
        let mut parts = IndexMap::new();
        parts.insert(CompactString::const_new("shallothub/services/main"), documents::services(epoch));
        parts.insert(CompactString::const_new("shallothub/selectors/main"), documents::selectors(self.change));
        self.publish(catalog::Kind::Config, &parts);
    }

    pub fn publish_hosts(&mut self) {
        let text = documents::hosts(&self.leaving_hosts, &self.leaves);
        let mut parts = IndexMap::new();
        parts.insert(CompactString::const_new("shallothub/hosts/main"), text);
        self.publish(catalog::Kind::Hosts, &parts);
    }
}
