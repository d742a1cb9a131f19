//! The world: hosts, leaves, platform and links, stepped by a heap of events.

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

use super::{documents, fault, judge, leaf};

const TICK: clock::Millis = clock::Millis(50);

#[derive(Clone, Debug)]
pub enum Happening {
    /// A host looks at its clock.
    Tick {
        host: usize,
        life: u32,
    },
    Arrive {
        host: usize,
        life: u32,
        dispatch: Box<event::Dispatch>,
    },
    /// A leaf is done with a search.
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
    Mend(fault::Fault),
}

#[derive(Debug)]
pub struct Host {
    pub up: bool,
    pub life: u32,
    pub frozen_until: clock::Millis,
    pub traffic: traffic::Core,
    pub control: control::Core,
    /// Leaf and state of attempts that hold a connection.
    pub connections: IndexMap<id::Attempt, usize>,
    pub next_caller: u64,
    /// Incarnations of leaves that this life of the host was told are leaving.
    pub marks: indexmap::IndexSet<(CompactString, u64)>,
}

#[derive(Debug, Default)]
pub struct Platform {
    pub values: IndexMap<CompactString, Arc<str>>,
    pub stale: Option<IndexMap<CompactString, Arc<str>>>,
    pub away: bool,
    pub versions: [u64; 2],
    pub calls: u64,
}

pub struct World {
    pub now: clock::Millis,
    pub random: rngs::SmallRng,
    pub seed: u64,
    pub menu: &'static [&'static str],
    pub steps: u64,
    pub hosts: Vec<Host>,
    pub leaves: Vec<leaf::Leaf>,
    pub platform: Platform,
    pub judge: judge::Judge,
    /// Cut links between hosts, one way.
    pub cut_peers: indexmap::IndexSet<(usize, usize)>,
    pub cut_platform: indexmap::IndexSet<usize>,
    pub cut_leaves: indexmap::IndexSet<(usize, usize)>,
    pub faults: IndexMap<&'static str, u64>,
    pub disturbed_until: clock::Millis,
    pub leaving_hosts: Vec<usize>,
    pub change: u64,
    heap: collections::BinaryHeap<cmp::Reverse<(clock::Millis, u64)>>,
    happenings: IndexMap<u64, Happening>,
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
    let policy = policy::Policy { burst: judge::BURST, ..policy::Policy::default() };
    Host {
        up: true,
        life,
        frozen_until: clock::Millis::ZERO,
        traffic: traffic::Core::new(policy, traffic::Lane { index: 0, count: 1 }, seed, now),
        control: control::Core::new(control, identity, document::READER, seed, now),
        connections: IndexMap::new(),
        next_caller: 0,
        marks: indexmap::IndexSet::new(),
    }
}

impl World {
    /// A world whose faults are of the kinds in `menu`; of all kinds if it is empty.
    pub fn new(seed: u64, menu: &'static [&'static str]) -> Self {
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
        let mut world = Self {
            now,
            random: rngs::SmallRng::seed_from_u64(seed),
            seed,
            menu,
            steps: 0,
            hosts: (0..documents::HOSTS).map(|index| host(index, 0, seed, now)).collect(),
            leaves,
            platform: Platform::default(),
            judge: judge::Judge::default(),
            cut_peers: indexmap::IndexSet::new(),
            cut_platform: indexmap::IndexSet::new(),
            cut_leaves: indexmap::IndexSet::new(),
            faults: IndexMap::new(),
            disturbed_until: clock::Millis::ZERO,
            leaving_hosts: Vec::new(),
            change: 0,
            heap: collections::BinaryHeap::new(),
            happenings: IndexMap::new(),
            sequence: 0,
        };
        world.publish_config();
        world.publish_hosts();
        for host in 0..documents::HOSTS {
            world.at(now, Happening::Tick { host, life: 0 });
            world.at(now + clock::Millis(500), Happening::Caller { host });
        }
        world.at(now + clock::Millis(1500), Happening::Fault);
        world
    }

    pub fn at(&mut self, at: clock::Millis, happening: Happening) {
        self.sequence += 1;
        self.heap.push(cmp::Reverse((at, self.sequence)));
        self.happenings.insert(self.sequence, happening);
    }

    pub fn after(&mut self, least: u64, most: u64, happening: Happening) {
        let delay = self.random.random_range(least..=most);
        self.at(self.now + clock::Millis(delay), happening);
    }

    pub fn run(&mut self, until: clock::Millis) {
        while let Some(cmp::Reverse((at, sequence))) = self.heap.pop() {
            if at > until {
                break;
            }
            self.now = at.max(self.now);
            if let Some(happening) = self.happenings.swap_remove(&sequence) {
                self.steps += 1;
                self.happen(happening);
            }
        }
        self.judge.judge_extra_load();
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Fault => fault::draw(self),
            Happening::Mend(fault) => fault::mend(self, fault),
            Happening::Caller { host } => self.on_caller(host),
            Happening::Tick { host, life } => self.on_tick(host, life, Happening::Tick { host, life }),
            Happening::Traffic { host, life, ref input } => {
                let input = input.clone();
                if self.is_awake(host, life, &happening) {
                    if let event::Input::Reply { attempt, .. } = &input {
                        self.close(host, *attempt);
                    }
                    self.traffic(host, [input]);
                }
            }
            Happening::Control { host, life, ref input } => {
                let input = input.clone();
                if self.is_awake(host, life, &happening) {
                    self.control(host, [input]);
                }
            }
            Happening::Arrive { host, life, dispatch } => self.on_arrive(host, life, dispatch),
            Happening::Done { host, life, leaf, incarnation, dispatch } => {
                self.on_done(host, life, leaf, incarnation, &dispatch);
            }
        }
    }

    /// Whether a host takes something now; what comes to a frozen host waits for its waking.
    fn is_awake(&mut self, host: usize, life: u32, happening: &Happening) -> bool {
        let row = &self.hosts[host];
        if !row.up || row.life != life {
            return false;
        }
        if row.frozen_until > self.now {
            let at = row.frozen_until;
            self.at(at, happening.clone());
            return false;
        }
        true
    }

    fn on_tick(&mut self, host: usize, life: u32, happening: Happening) {
        if !self.is_awake(host, life, &happening) {
            return;
        }
        self.traffic(host, [event::Input::Tick]);
        self.control(host, [control::Input::Tick]);
        let due = self.hosts[host].traffic.next_timer().unwrap_or(clock::Millis::MAX);
        let at = due.max(self.now + clock::Millis(1)).min(self.now + TICK);
        self.at(at, happening);
    }

    pub fn on_caller(&mut self, host: usize) {
        self.after(1, 24, Happening::Caller { host });
        self.ask(host);
    }

    /// A caller asks `host` for something.
    pub fn ask(&mut self, host: usize) {
        let row = &mut self.hosts[host];
        if !row.up {
            return;
        }
        let class = ["sweep", "check", "letter"][self.random.random_range(0..3)];
        row.next_caller += 1;
        let caller = row.next_caller;
        let life = row.life;
        self.judge.queries += 1;
        // One letter in four repeats the key of a letter that went to the same host before.
        let number = if self.random.random_bool(0.25) { caller.saturating_sub(3) } else { caller };
        let has_key = class == "letter" && self.random.random_bool(0.8);
        let key = has_key.then(|| format_compact!("{host}-{life}-{number}"));
        let patience = self.random.random_bool(0.2).then(|| clock::Millis(self.random.random_range(0..400)));
        let class = CompactString::const_new(class);
        let request = event::Request {
            caller: id::Caller(caller),
            class,
            timeout: patience,
            key,
            relayed: None,
            fingerprint: None,
        };
        let happening = Happening::Traffic { host, life, input: event::Input::Request(request) };
        self.at(self.now, happening);
    }

    pub fn traffic<const N: usize>(&mut self, host: usize, inputs: [event::Input; N]) {
        let now = self.now;
        for output in self.hosts[host].traffic.step(now, inputs) {
            self.carry_out_traffic(host, output);
        }
    }

    fn carry_out_traffic(&mut self, host: usize, output: event::Output) {
        let life = self.hosts[host].life;
        match output {
            event::Output::Dispatch(dispatch) => self.on_dispatch(host, life, dispatch),
            event::Output::Cancel { attempt } => self.close(host, attempt),
            event::Output::Answer(answer) => {
                let asker = leaf::Asker { host, life, caller: answer.caller.0 };
                let shards = if answer.class == "letter" { 1 } else { documents::SHARDS };
                self.judge.on_answer(asker, &answer, shards);
            }
            event::Output::Revalidate => {
                self.at(self.now, Happening::Control { host, life, input: control::Input::Revalidate });
            }
            event::Output::Crashed(crash) => {
                self.at(self.now, Happening::Control { host, life, input: control::Input::Crashed(crash) });
            }
            event::Output::Cleared(fingerprint) => {
                self.at(self.now, Happening::Control { host, life, input: control::Input::Cleared(fingerprint) });
            }
            event::Output::RequestTrial(trial) => {
                self.at(self.now, Happening::Control { host, life, input: control::Input::RequestTrial(trial) });
            }
            event::Output::TrialUnused(trial) => {
                self.at(self.now, Happening::Control { host, life, input: control::Input::TrialUnused(trial) });
            }
            event::Output::Probe { .. } => panic!("no request of this world has a fingerprint"),
            event::Output::Trim { .. } | event::Output::Note(_) => {}
            event::Output::Breach(breach) => {
                self.judge.breach(breach.name.as_str(), format!("by the program: {}", breach.detail));
            }
        }
    }

    fn on_dispatch(&mut self, host: usize, life: u32, dispatch: event::Dispatch) {
        let Some(leaf) = self.leaves.iter().position(|leaf| leaf.name == dispatch.address) else {
            return;
        };
        self.judge_leaving(host, leaf);
        let row = &mut self.leaves[leaf];
        row.connections += 1;
        row.connections_most = row.connections_most.max(row.connections);
        if row.connections > documents::CONNECTIONS {
            let detail = format!("{}: {} connections", row.name, row.connections);
            self.judge.breach("bounded_connections", detail);
        }
        self.hosts[host].connections.insert(dispatch.attempt, leaf);
        let is_cut = self.cut_leaves.contains(&(host, leaf)) || !self.leaves[leaf].up;
        let attempt = dispatch.attempt;
        if !is_cut {
            self.after(1, 3, Happening::Arrive { host, life, dispatch: Box::new(dispatch) });
            return;
        }
        // Half of the cut attempts are proved not to have been sent; of the others nothing is known.
        let reply =
            if self.random.random_bool(0.5) { event::Reply::NotSent } else { event::Reply::Lost(event::Loss::Broken) };
        self.after(1, 20, Happening::Traffic { host, life, input: event::Input::Reply { attempt, reply } });
    }

    /// Work for a leaf that this host knows to be leaving, or could have known for long.
    fn judge_leaving(&mut self, host: usize, leaf: usize) {
        let row = &self.leaves[leaf];
        let is_known = self.hosts[host].marks.contains(&(row.name.clone(), row.incarnation));
        let is_old = row.marked_at.is_some_and(|at| self.now.since(at) > judge::LEAVING_MOST);
        let was_calm = row.marked_at.is_some_and(|at| at > self.disturbed_until);
        if is_known || is_old && was_calm {
            let view = self.hosts[host].traffic.view();
            let seen = view.servers.iter().flatten().find(|server| server.name == row.name);
            let detail = format!(
                "host {host} to {} at {}, frozen until {:?}, marked at {:?}, known {is_known}, incarnation {}, in view {seen:?} of {}",
                row.name,
                self.now,
                self.hosts.iter().map(|host| host.frozen_until.0).collect::<Vec<_>>(),
                row.marked_at,
                row.incarnation,
                view.hosts_revision
            );
            self.judge.breach("no_work_to_leaving", detail);
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
        let row = &mut self.leaves[leaf];
        if !row.up {
            let input = event::Input::Reply { attempt, reply: event::Reply::Lost(event::Loss::Broken) };
            self.after(1, 5, Happening::Traffic { host, life, input });
            return;
        }
        let is_mail = row.name.starts_with("mail");
        let asker = leaf::Asker { host, life, caller: dispatch.caller.0 };
        self.judge.on_arrival(asker, &dispatch.shard);
        let is_late = dispatch.deadline <= self.now;
        let is_refused = row.shedding || row.busy >= 6 || is_late || !is_mail && dispatch.epoch != row.epoch;
        if is_refused {
            let reply = event::Reply::Refused { retry_after: None };
            self.after(1, 3, Happening::Traffic { host, life, input: event::Input::Reply { attempt, reply } });
            return;
        }
        row.busy += 1;
        let incarnation = row.incarnation;
        let took = 2 * row.slow;
        self.judge.on_execution(leaf::Execution { asker, key: dispatch.key.clone(), idempotent: !is_mail });
        self.after(took, took * 3, Happening::Done { host, life, leaf, incarnation, dispatch });
    }

    fn on_done(&mut self, host: usize, life: u32, leaf: usize, incarnation: u64, dispatch: &event::Dispatch) {
        let is_cut = self.cut_leaves.contains(&(host, leaf));
        let row = &mut self.leaves[leaf];
        let is_gone = !row.up || row.incarnation != incarnation;
        if !is_gone {
            row.busy = row.busy.saturating_sub(1);
        }
        let attempt = dispatch.attempt;
        let mut reply = event::Reply::Lost(event::Loss::Broken);
        // Now and then a connection breaks in the middle of an answer.
        let is_broken = self.random.random_bool(0.01);
        if !is_gone && !is_cut && !is_broken {
            let is_mail = row.name.starts_with("mail");
            let snapshot = if is_mail { view::Snapshot { epoch: 1, version: 1 } } else { row.snapshot(dispatch.want) };
            let held = if is_mail { None } else { row.other(snapshot) };
            reply = event::Reply::Answered(event::Part { snapshot, held, hits: 1, load: Some(row.busy), queue: None });
            let asker = leaf::Asker { host, life, caller: dispatch.caller.0 };
            self.judge.on_body(host, life, attempt, judge::Body { asker, shard: dispatch.shard.clone(), snapshot });
        }
        // Replies overtake each other, and one of a cancelled attempt comes all the same.
        self.after(1, 12, Happening::Traffic { host, life, input: event::Input::Reply { attempt, reply } });
    }

    pub fn control<const N: usize>(&mut self, host: usize, inputs: [control::Input; N]) {
        let now = self.now;
        for output in self.hosts[host].control.step(now, inputs) {
            self.carry_out_control(host, output);
        }
    }

    fn carry_out_control(&mut self, host: usize, output: control::Output) {
        let life = self.hosts[host].life;
        match output {
            control::Output::ReadManifest(kind) => self.platform_call(host, kind, false, 0),
            control::Output::Watch { kind, after } => self.platform_call(host, kind, true, after),
            control::Output::ReadPart { kind, key } => {
                let text = self.platform_value(host, &key);
                self.after(2, 10, Happening::Control { host, life, input: control::Input::Part { kind, key, text } });
            }
            control::Output::Send { to, message, .. } => self.send(host, &to, message),
            control::Output::View(view) => self.on_view(host, life, view),
            control::Output::Revalidated => self.traffic(host, [event::Input::Revalidated]),
            control::Output::Suspects(suspects) => self.traffic(host, [event::Input::Suspects(suspects)]),
            control::Output::TrialGranted(trial) => self.traffic(host, [event::Input::TrialGranted(trial)]),
            control::Output::Refused { stamp, .. } => {
                self.judge.breach("accepted", format!("host {host} refused {stamp}"));
            }
            control::Output::Note(_) | control::Output::Reconnect { .. } => {}
            control::Output::List { .. } | control::Output::Follow { .. } => {
                self.judge.breach("source", "documents are not listed".to_owned());
            }
            control::Output::Breach(breach) => {
                self.judge.breach(breach.name.as_str(), format!("by the program: {}", breach.detail));
            }
        }
    }

    fn on_view(&mut self, host: usize, life: u32, view: Arc<view::View>) {
        self.judge.on_view(host, life, &view);
        for server in view.servers.iter().flatten() {
            let listed = self.leaves.iter().find(|leaf| leaf.name == server.name);
            let is_marked =
                listed.is_some_and(|leaf| leaf.marked_at.is_some() && leaf.incarnation == server.incarnation);
            if server.leaving && is_marked {
                self.hosts[host].marks.insert((server.name.clone(), server.incarnation));
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
        self.after(1, 15, Happening::Control { host, life, input: control::Input::Peer(message.clone()) });
        if self.random.random_bool(0.02) {
            self.after(1, 2000, Happening::Control { host, life, input: control::Input::Peer(message) });
        }
    }

    fn platform_value(&mut self, host: usize, key: &str) -> Option<Arc<str>> {
        self.platform.calls += 1;
        if self.platform.away || self.cut_platform.contains(&host) {
            return None;
        }
        self.platform.stale.as_ref().unwrap_or(&self.platform.values).get(key).cloned()
    }

    /// A watch is a read that is answered late when nothing changed.
    fn platform_call(&mut self, host: usize, kind: catalog::Kind, watched: bool, after: u64) {
        let life = self.hosts[host].life;
        let text = self.platform_value(host, kind.manifest_key());
        let version = text.as_deref().and_then(|text| document::manifest(text).ok()).map(|manifest| manifest.version);
        let input = control::Input::Manifest { kind, is_watch: watched, text };
        let is_news = !watched || version.is_none_or(|version| version != after);
        let wait = if is_news { 2 } else { 100 };
        self.after(wait, wait + 8, Happening::Control { host, life, input });
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
