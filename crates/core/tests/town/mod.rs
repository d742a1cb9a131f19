//! A town: hosts, leafs and callers in fake time, for tests of decisions under load.
//!
//! Every host has a traffic core of its own and nothing else; they meet only at the leafs. A leaf has
//! slots and a queue, and can be slow, dark, shy (it refuses some requests) or failing for a span of
//! time; each pauses now and then. A request that its host gives up is dropped with its connection, and a new
//! connection takes a moment of a slot. A run is the same for the same seed.

mod leaf;

use std::{cmp, collections::BinaryHeap, sync::Arc};

use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs};
use shallothub_core::{
    clock, id, ratio,
    traffic::{self, event, policy},
    view,
};

/// One way between any two, in ms.
const HOP: u64 = 1;
/// Work of a light request, relative to another one's.
const LIGHT_WORK: f64 = 0.35;
/// Longest time between two steps of a host, in ms.
const TICK: u64 = 300;

/// What ails a leaf, for a span of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ill {
    /// Its work takes so many times as long.
    Slow(f64),
    /// It says nothing at all.
    Dark,
    /// It refuses this share of the requests before running them.
    Shy(f64),
    /// It runs this share of the requests and fails.
    Failing(f64),
}

/// What happens to a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostTrouble {
    /// It neither hears nor says anything any more.
    Silent,
    /// Its process is killed: its connections end.
    Killed,
}

/// A trouble at one leaf.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    pub leaf: usize,
    pub from: u64,
    pub until: u64,
    pub ill: Ill,
}

/// The size of a town and its load.
#[derive(Clone, Debug)]
pub struct Plan {
    pub hosts: usize,
    pub shards: usize,
    pub replicas: usize,
    pub slots: usize,
    pub queue: usize,
    pub connections: u32,
    /// Time of a slot that a new connection takes, in ms.
    pub handshake: u64,
    /// Mean work of a request at a leaf, in ms.
    pub work: f64,
    pub aim: u64,
    pub deadline: u64,
    pub least_coverage: f64,
    /// Requests a second over all hosts.
    pub rate: f64,
    /// Share of the requests that are light: a third of the work, half of the times, less urgent.
    pub light: f64,
    /// How often a caller asks again after a refusal, when it is told to and at another host.
    pub retries: u32,
    pub seconds: u64,
    /// A leaf stands still for `pause` ms once in `pause_every` ms.
    pub pause: u64,
    pub pause_every: u64,
    /// Data centres, over which hosts and the replicas of each shard are dealt in turn; 1 for no matter.
    pub centres: usize,
    /// Hosts that gather, the first ones; the others pass requests on to them.
    pub owners: usize,
    /// What happens to host 0, and from when on, in ms.
    pub host_trouble: Option<(u64, HostTrouble)>,
    pub troubles: Vec<Trouble>,
}

impl Default for Plan {
    /// A town of today's size: 8 hosts over 20 shards of 2 leafs.
    fn default() -> Self {
        Self {
            hosts: 8,
            shards: 20,
            replicas: 2,
            slots: 2,
            queue: 12,
            connections: 26,
            handshake: 6,
            work: 11.0,
            aim: 100,
            deadline: 600,
            least_coverage: 0.89,
            rate: 90.0,
            light: 0.0,
            retries: 1,
            seconds: 20,
            pause: 0,
            pause_every: 3000,
            centres: 1,
            owners: usize::MAX,
            host_trouble: None,
            troubles: Vec::new(),
        }
    }
}

impl Plan {
    /// One replica of each of the first `shards` shards has this trouble from 5 s on.
    pub fn one_replica_of(mut self, shards: usize, ill: Ill) -> Self {
        for shard in 0..shards {
            self.troubles.push(Trouble { leaf: shard * self.replicas, from: 5000, until: u64::MAX, ill });
        }
        self
    }
}

/// What came of a run, from 5 s on, when the cores have their first evidence and troubles begin.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub asked: u64,
    pub answered: u64,
    pub in_aim: u64,
    /// Answered with all shards, whenever.
    pub whole: u64,
    pub refused: u64,
    /// Mean of the squared share of shards, a tenth of it when late, nothing without an answer.
    pub worth: f64,
    /// The same for the light requests alone.
    pub light_worth: f64,
    /// The same for the others.
    pub main_worth: f64,
    /// Arrivals at leafs beyond the first for each request and shard, as a share of the first ones.
    pub extra: f64,
    /// Share of the arrivals that came from another data centre.
    pub far: f64,
    pub latencies: Vec<u64>,
    /// Time to a refusal or failure, the longest.
    pub longest_refusal: u64,
    pub breaches: Vec<String>,
}

impl Outcome {
    /// The latency below which this share of the answers lies.
    pub fn quantile(&self, q: f64) -> u64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let last = sorted.len().saturating_sub(1);
        sorted.get((q * last as f64).round() as usize).copied().unwrap_or_default()
    }
}

#[derive(Debug)]
enum Happening {
    Ask {
        host: usize,
    },
    /// A caller that was refused asks again.
    AskAgain {
        host: usize,
        asked: Asked,
    },
    Arrive {
        host: usize,
        dispatch: Box<event::Dispatch>,
    },
    /// A request that `from` passed on reaches `host`.
    Pass {
        host: usize,
        from: usize,
        dispatch: Box<event::Dispatch>,
    },
    /// A host closed the connection of an attempt.
    Drop {
        leaf: usize,
        asker: leaf::Asker,
    },
    /// A request that began at a leaf ends there.
    End {
        leaf: usize,
        begun: leaf::Begun,
    },
    Reply {
        host: usize,
        attempt: id::Attempt,
        reply: event::Reply,
    },
    Kill,
    /// A host looks at its clock, as nodes do when nothing else happens.
    Tick {
        host: usize,
    },
    /// A timer of the host's core may be due.
    Timer {
        host: usize,
    },
}

/// A caller's request.
#[derive(Clone, Copy, Debug)]
struct Asked {
    /// When the caller first asked.
    first_at: u64,
    /// When it asked this time.
    at: u64,
    is_light: bool,
    retries: u32,
}

impl Plan {
    /// Aim and deadline of a request.
    fn times(&self, is_light: bool) -> (u64, u64) {
        if is_light { (self.aim / 2, self.deadline / 2) } else { (self.aim, self.deadline) }
    }
}

pub struct Town {
    plan: Plan,
    now: u64,
    random: rngs::SmallRng,
    hosts: Vec<traffic::Core>,
    leafs: Vec<leaf::Leaf>,
    /// Where each attempt that is not answered went.
    sent: IndexMap<leaf::Asker, usize>,
    heap: BinaryHeap<cmp::Reverse<(u64, u64)>>,
    happenings: IndexMap<u64, Happening>,
    sequence: u64,
    /// Worth and number of the heavy and of the light requests.
    counted: [(f64, u64); 2],
    /// When the next look at each host's timers is due.
    armed_for: Vec<u64>,
    asked: IndexMap<(usize, u64), Asked>,
    /// Requests that were passed on: who passed them on, with which attempt, by host and caller there.
    passed: IndexMap<(usize, u64), (usize, id::Attempt)>,
    /// The caller's first host and number, by host and number where the request is gathered.
    origin: IndexMap<(usize, u64), (usize, u64)>,
    /// Shards in the answer to an attempt that was passed on.
    shares: IndexMap<(usize, id::Attempt), usize>,
    /// Leafs that a caller's request reached, by shard.
    reached: IndexMap<((usize, u64), usize), Vec<usize>>,
    /// Host 0 was killed.
    is_killed: bool,
    next_caller: u64,
    first: u64,
    arrivals: u64,
    far_arrivals: u64,
    outcome: Outcome,
}

/// The knobs of the deployments' settings.
pub fn knobs() -> policy::Policy {
    policy::Policy {
        hedge_fraction: 0.2,
        hedge_quantile: 0.92,
        hedge_floor: clock::Millis(8),
        retry_fraction: 0.2,
        prefer_room: true,
        adaptive_admission: false,
        running_ceiling: 96,
        margin: clock::Millis(8),
        aim_margin: clock::Millis(16),
        silence: clock::Millis(150),
        score_band: 1.5,
        refuse_by_wait: true,
        far_cost: 2.0,
        fleet: Some(policy::Fleet { ratio: 0.2, slack: 56.0, ..policy::Fleet::default() }),
        ..policy::Policy::default()
    }
}

/// Runs a town and tells what came of it.
pub fn run(plan: Plan, policy: &policy::Policy, seed: u64) -> Outcome {
    let mut town = Town::new(plan, policy, seed);
    town.play();
    town.outcome
}

impl Town {
    fn new(plan: Plan, policy: &policy::Policy, seed: u64) -> Self {
        let mut random = rngs::SmallRng::seed_from_u64(seed);
        let mut hosts = Vec::new();
        for host in 0..plan.hosts {
            let view = Arc::new(view(&plan, host));
            let lane = traffic::Lane { index: 0, count: 1 };
            let mut core = traffic::Core::new(policy.clone(), lane, seed ^ (host as u64) << 32, clock::Millis(1));
            core.step(clock::Millis(1), [event::Input::View(view)]);
            hosts.push(core);
        }
        let mut leafs = Vec::new();
        for _ in 0..plan.shards * plan.replicas {
            let pause_phase = random.random_range(0..plan.pause_every);
            leafs.push(leaf::Leaf::new(plan.slots, plan.queue, plan.pause, plan.pause_every, pause_phase));
        }
        let mut town = Self {
            now: 1,
            random,
            hosts,
            leafs,
            sent: IndexMap::new(),
            heap: BinaryHeap::new(),
            happenings: IndexMap::new(),
            sequence: 0,
            counted: [(0.0, 0); 2],
            armed_for: vec![u64::MAX; plan.hosts],
            asked: IndexMap::new(),
            passed: IndexMap::new(),
            origin: IndexMap::new(),
            shares: IndexMap::new(),
            reached: IndexMap::new(),
            is_killed: false,
            next_caller: 0,
            first: 0,
            arrivals: 0,
            far_arrivals: 0,
            outcome: Outcome::default(),
            plan,
        };
        if let Some((at, HostTrouble::Killed)) = town.plan.host_trouble {
            town.at(at, Happening::Kill);
        }
        for host in 0..town.plan.hosts {
            town.after_next_ask(host);
            town.at(TICK, Happening::Tick { host });
        }
        town
    }

    fn at(&mut self, at: u64, happening: Happening) {
        self.sequence += 1;
        self.happenings.insert(self.sequence, happening);
        self.heap.push(cmp::Reverse((at.max(self.now), self.sequence)));
    }

    fn after_next_ask(&mut self, host: usize) {
        let mean = 1000.0 * self.plan.hosts as f64 / self.plan.rate;
        let gap = -mean * (1.0 - self.random.random::<f64>()).ln();
        self.at(self.now + gap.round() as u64, Happening::Ask { host });
    }

    fn play(&mut self) {
        let end = self.plan.seconds * 1000;
        while let Some(cmp::Reverse((at, key))) = self.heap.pop() {
            if at > end + self.plan.deadline {
                break;
            }
            self.now = at;
            let Some(happening) = self.happenings.swap_remove(&key) else {
                continue;
            };
            match happening {
                Happening::Ask { host } if at <= end => self.ask(host),
                Happening::Ask { .. } => {}
                Happening::AskAgain { host, asked } => self.send_request(host, Asked { at, ..asked }),
                Happening::Pass { host, from, dispatch } => self.pass(host, from, &dispatch),
                Happening::Arrive { host, dispatch } => self.arrive(host, &dispatch),
                Happening::Drop { leaf, asker } => {
                    let next = self.leafs[leaf].drop_request(self.now, asker);
                    self.on_begun(leaf, next);
                }
                Happening::End { leaf, begun } => self.end(leaf, begun),
                Happening::Reply { host, attempt, reply } => self.step(host, event::Input::Reply { attempt, reply }),
                Happening::Kill => self.kill(),
                Happening::Tick { host } => {
                    self.step(host, event::Input::Tick);
                    self.at(self.now + TICK, Happening::Tick { host });
                }
                Happening::Timer { host } => {
                    if self.armed_for[host] == self.now {
                        self.armed_for[host] = u64::MAX;
                        self.step(host, event::Input::Tick);
                    }
                }
            }
        }
        let [main, light] = self.counted.map(|(worth, count)| (worth, count.max(1) as f64));
        self.outcome.main_worth = main.0 / main.1;
        self.outcome.light_worth = light.0 / light.1;
        // A heavy request is worth twice as much as a light one.
        let owed = 2.0 * self.counted[0].1 as f64 + self.counted[1].1 as f64;
        self.outcome.worth = (2.0 * main.0 + light.0) / owed.max(1.0);
        self.outcome.far = self.far_arrivals as f64 / self.arrivals.max(1) as f64;
        self.outcome.extra = self.arrivals as f64 / self.first.max(1) as f64 - 1.0;
    }

    fn ask(&mut self, host: usize) {
        self.after_next_ask(host);
        let is_light = self.random.random_bool(self.plan.light);
        if self.is_counted(self.now) {
            self.outcome.asked += 1;
            self.counted[usize::from(is_light)].1 += 1;
        }
        self.send_request(host, Asked { first_at: self.now, at: self.now, is_light, retries: 0 });
    }

    fn send_request(&mut self, host: usize, asked: Asked) {
        self.next_caller += 1;
        let caller = self.next_caller;
        self.asked.insert((host, caller), asked);
        if self.is_counted(self.now) {
            self.first += self.plan.shards as u64;
        }
        let (_, deadline) = self.plan.times(asked.is_light);
        let request = event::Request {
            caller: id::Caller(caller),
            class: CompactString::const_new(if asked.is_light { "strip" } else { "sweep" }),
            timeout: Some(clock::Millis((asked.first_at + deadline).saturating_sub(self.now))),
            key: None,
            relayed: None,
            fingerprint: None,
        };
        self.step(host, event::Input::Request(request));
    }

    /// Asks again elsewhere if the caller may, after what it was told but no more than a third of its time.
    fn ask_again(&mut self, asked: Asked, retry_after: Option<clock::Millis>) -> bool {
        let (_, deadline) = self.plan.times(asked.is_light);
        let left = (asked.first_at + deadline).saturating_sub(self.now);
        if asked.retries >= self.plan.retries || left < 10 {
            return false;
        }
        let wait = retry_after.map_or(0, |span| span.0).min(left / 3);
        let host = self.random.random_range(0..self.plan.hosts);
        self.at(self.now + wait, Happening::AskAgain { host, asked: Asked { retries: asked.retries + 1, ..asked } });
        true
    }

    fn is_gone(&self, host: usize) -> Option<HostTrouble> {
        let (from, trouble) = self.plan.host_trouble?;
        let has_begun = if trouble == HostTrouble::Killed { self.is_killed } else { self.now >= from };
        (host == 0 && has_begun).then_some(trouble)
    }

    /// Host 0 is killed, as soon as it has a request of another one: whoever passed one on to it sees the
    /// connection end.
    fn kill(&mut self) {
        let passed: Vec<_> = self.passed.iter().filter(|((host, _), _)| *host == 0).map(|(_, by)| *by).collect();
        if passed.is_empty() {
            self.at(self.now + 1, Happening::Kill);
            return;
        }
        self.is_killed = true;
        for (from, attempt) in passed {
            self.reply(from, attempt, 0, event::Reply::Lost(event::Loss::Broken));
        }
    }

    fn pass(&mut self, host: usize, from: usize, dispatch: &event::Dispatch) {
        match self.is_gone(host) {
            None => {}
            Some(HostTrouble::Silent) => return,
            Some(HostTrouble::Killed) => {
                self.reply(from, dispatch.attempt, 0, event::Reply::NotSent);
                return;
            }
        }
        self.next_caller += 1;
        let caller = self.next_caller;
        let is_light = self.is_light(from, dispatch.caller.0);
        self.passed.insert((host, caller), (from, dispatch.attempt));
        self.origin.insert((host, caller), (from, dispatch.caller.0));
        let request = event::Request {
            caller: id::Caller(caller),
            class: CompactString::const_new(if is_light { "strip" } else { "sweep" }),
            timeout: Some(dispatch.deadline - clock::Millis(self.now)),
            key: None,
            relayed: dispatch.relayed,
            fingerprint: None,
        };
        self.step(host, event::Input::Request(request));
    }

    fn is_counted(&self, asked: u64) -> bool {
        asked >= 5000
    }

    fn step(&mut self, host: usize, input: event::Input) {
        let now = clock::Millis(self.now);
        let outputs = self.hosts[host].step(now, [input]);
        for output in outputs {
            match output {
                event::Output::Dispatch(dispatch) if dispatch.relayed.is_some() => {
                    let peer = dispatch.server.index() - self.leafs.len();
                    self.at(self.now + HOP, Happening::Pass { host: peer, from: host, dispatch: Box::new(dispatch) });
                }
                event::Output::Dispatch(dispatch) => {
                    self.sent.insert((host, dispatch.attempt), dispatch.server.index());
                    self.at(self.now + HOP, Happening::Arrive { host, dispatch: Box::new(dispatch) });
                }
                event::Output::Cancel { attempt } => {
                    if let Some(leaf) = self.sent.swap_remove(&(host, attempt)) {
                        self.at(self.now + HOP, Happening::Drop { leaf, asker: (host, attempt) });
                    }
                }
                event::Output::Answer(answer) => self.on_answer(host, &answer),
                event::Output::Breach(breach) => self.outcome.breaches.push(format!("{breach:?}")),
                _ => {}
            }
        }
        if let Some(next) = self.hosts[host].next_timer() {
            let due = next.0.max(self.now + 1);
            if due < self.armed_for[host] {
                self.armed_for[host] = due;
                self.at(due, Happening::Timer { host });
            }
        }
    }

    fn ill(&self, leaf: usize) -> Option<Ill> {
        let is_on = |trouble: &&Trouble| trouble.leaf == leaf && trouble.from <= self.now && self.now < trouble.until;
        self.plan.troubles.iter().find(is_on).map(|trouble| trouble.ill)
    }

    fn is_light(&self, host: usize, caller: u64) -> bool {
        let origin = self.origin.get(&(host, caller)).copied().unwrap_or((host, caller));
        self.asked.get(&origin).is_some_and(|asked| asked.is_light)
    }

    /// A request may reach two leafs of a shard at most, over all hosts that handle it.
    fn note_reached(&mut self, host: usize, caller: u64, leaf: usize) {
        let origin = self.origin.get(&(host, caller)).copied().unwrap_or((host, caller));
        let reached = self.reached.entry((origin, leaf / self.plan.replicas)).or_default();
        if !reached.contains(&leaf) {
            reached.push(leaf);
        }
        if reached.len() > 2 {
            self.outcome.breaches.push(format!("{origin:?} reached {reached:?}"));
        }
    }

    fn arrive(&mut self, host: usize, dispatch: &event::Dispatch) {
        if self.is_gone(host).is_some() {
            return;
        }
        let attempt = dispatch.attempt;
        let leaf = dispatch.server.index();
        if !self.sent.contains_key(&(host, attempt)) {
            return;
        }
        self.note_reached(host, dispatch.caller.0, leaf);
        if self.is_counted(self.now) {
            self.arrivals += 1;
            let is_far = host % self.plan.centres != leaf % self.plan.replicas % self.plan.centres;
            self.far_arrivals += u64::from(is_far);
        }
        let ill = self.ill(leaf);
        let luck = self.random.random::<f64>();
        let slow = match ill {
            Some(Ill::Dark) => return,
            Some(Ill::Shy(share)) if luck < share => {
                self.reply(host, attempt, 1, event::Reply::Refused { retry_after: None });
                return;
            }
            Some(Ill::Failing(share)) if luck < share => {
                self.reply(host, attempt, 2, event::Reply::Failed);
                return;
            }
            Some(Ill::Slow(times)) => times,
            _ => 1.0,
        };
        let light = if self.is_light(host, dispatch.caller.0) { LIGHT_WORK } else { 1.0 };
        let work = self.plan.work * light * (0.5 + self.random.random::<f64>()) * slow;
        let handshake = if self.leafs[leaf].connect(host) { 0 } else { self.plan.handshake };
        match self.leafs[leaf].take(self.now, (host, attempt), work.round() as u64 + handshake) {
            Some(begun) => self.on_begun(leaf, begun),
            None => self.reply(host, attempt, 1, event::Reply::Refused { retry_after: None }),
        }
    }

    /// Notes when what began at a leaf ends.
    fn on_begun(&mut self, leaf: usize, begun: Vec<leaf::Begun>) {
        for begun in begun {
            self.at(begun.ends, Happening::End { leaf, begun });
        }
    }

    /// A request at a leaf is done: its answer tells the load that it leaves behind.
    fn end(&mut self, leaf: usize, begun: leaf::Begun) {
        let Some(next) = self.leafs[leaf].end(self.now, begun) else {
            return;
        };
        self.on_begun(leaf, next);
        let (running, waiting) = self.leafs[leaf].load();
        let snapshot = view::Snapshot { epoch: 0, version: 0 };
        let part = event::Part { snapshot, held: None, hits: 1, load: Some(running + waiting), queue: Some(waiting) };
        let (host, attempt) = begun.asker;
        self.reply(host, attempt, 0, event::Reply::Answered(part));
    }

    fn reply(&mut self, host: usize, attempt: id::Attempt, after: u64, reply: event::Reply) {
        self.sent.swap_remove(&(host, attempt));
        self.at(self.now + after + HOP, Happening::Reply { host, attempt, reply });
    }

    fn on_answer(&mut self, host: usize, answer: &event::Answer) {
        if self.is_gone(host).is_some() {
            return;
        }
        if let Some((from, attempt)) = self.passed.swap_remove(&(host, answer.caller.0)) {
            let snapshot = view::Snapshot { epoch: 0, version: 0 };
            let part =
                event::Part { snapshot, held: None, hits: answer.contributed.len() as u32, load: None, queue: None };
            let reply = match answer.outcome {
                event::Outcome::Answered => event::Reply::Answered(part),
                event::Outcome::NotRun => event::Reply::Refused { retry_after: answer.retry_after },
                event::Outcome::Unknown => event::Reply::Failed,
            };
            self.shares.insert((from, attempt), answer.contributed.len());
            self.reply(from, attempt, 0, reply);
            return;
        }
        let Some(asked) = self.asked.swap_remove(&(host, answer.caller.0)) else {
            self.outcome.breaches.push("answered twice".to_owned());
            return;
        };
        if !self.is_counted(asked.first_at) {
            return;
        }
        let took = self.now - asked.at;
        if answer.outcome != event::Outcome::Answered {
            self.outcome.refused += 1;
            self.outcome.longest_refusal = self.outcome.longest_refusal.max(took);
            self.ask_again(asked, answer.retry_after);
            return;
        }
        let took = self.now - asked.first_at;
        let (aim, _) = self.plan.times(asked.is_light);
        self.outcome.answered += 1;
        self.outcome.latencies.push(took);
        let passed = answer.contributed.first().and_then(|(_, attempt)| self.shares.get(&(host, *attempt)));
        let contributed = passed.copied().unwrap_or(answer.contributed.len());
        let share = contributed as f64 / self.plan.shards as f64;
        self.outcome.whole += u64::from(contributed == self.plan.shards);
        let is_in_aim = took <= aim;
        self.outcome.in_aim += u64::from(is_in_aim);
        // Served in time from a new attempt counts for the mean of in time and late.
        let is_in_new_aim = asked.retries > 0 && self.now - asked.at <= aim;
        let credit = if is_in_aim {
            1.0
        } else if is_in_new_aim {
            0.55
        } else {
            0.1
        };
        self.counted[usize::from(asked.is_light)].0 += share * share * credit;
    }
}

fn view(plan: &Plan, host: usize) -> view::View {
    let mut registry = view::Registry::default();
    let mut servers = Vec::new();
    let mut targets = Vec::new();
    for shard in 0..plan.shards {
        let mut replicas = Vec::new();
        let name = format_compact!("s{shard}");
        for replica in 0..plan.replicas {
            let leaf = format_compact!("{shard}-{replica}");
            replicas.push(registry.intern(&leaf));
            let is_near = replica % plan.centres == host % plan.centres;
            servers.push(Some(view::Server {
                address: leaf.clone(),
                name: leaf,
                incarnation: 0,
                connections: plan.connections,
                slots: plan.slots as u32,
                leaving: false,
                evacuated: false,
                region: CompactString::default(),
                distance: if is_near { view::Distance::Near } else { view::Distance::Far },
                own_share: None,
                is_peer: false,
                warm_up: None,
            }));
        }
        targets.push(view::Target { service: registry.intern_service(&name), shard: name, replicas });
    }
    let is_owner = host < plan.owners;
    let peers = if is_owner { 0 } else { plan.owners };
    let mut relays = Vec::new();
    for peer in 0..peers {
        let name = format_compact!("host-{peer}");
        relays.push(registry.intern(&name));
        servers.push(Some(view::Server {
            address: name.clone(),
            name,
            incarnation: 0,
            connections: 64,
            slots: 64,
            leaving: false,
            evacuated: false,
            region: CompactString::default(),
            distance: view::Distance::Near,
            own_share: Some(64),
            is_peer: true,
            warm_up: None,
        }));
    }
    let peer = view::Target { shard: CompactString::const_new("peer"), service: id::Service::PEERS, replicas: relays };
    let class = view::Class {
        homes: Vec::new(),
        name: CompactString::const_new("sweep"),
        service: CompactString::const_new("s0"),
        epoch: 0,
        deadline: clock::Millis(plan.deadline),
        target_latency: Some(clock::Millis(plan.aim)),
        shape: view::Shape::Records { top: 10 },
        max_servers: Some(2),
        relay: (!is_owner).then_some(peer),
        settle: None,
        least_coverage: ratio::Ratio::try_from(plan.least_coverage).unwrap_or_default(),
        enough_hits: None,
        idempotent: true,
        hedge: true,
        priority: 1,
        branches: vec![view::Branch { weight: 1.0, targets }],
    };
    // Where only some hosts gather, they share the bounds among them.
    let mut limit_shares = IndexMap::new();
    if plan.owners < plan.hosts {
        let part = if is_owner { 1.0 / plan.owners as f64 } else { 0.0 };
        limit_shares.extend((0..plan.shards as u32).map(|service| (id::Service(service), part)));
    }
    let stamp = view::Stamp { version: 1, digest: 1, ..view::Stamp::default() };
    let light = view::Class {
        name: CompactString::const_new("strip"),
        deadline: clock::Millis(plan.deadline / 2),
        target_latency: Some(clock::Millis(plan.aim / 2)),
        least_coverage: ratio::Ratio::try_from(0.75).unwrap_or_default(),
        priority: 2,
        ..class.clone()
    };
    let mut classes = IndexMap::new();
    classes.insert(light.name.clone(), light);
    classes.insert(class.name.clone(), class);
    view::View {
        stamp,
        hosts_revision: stamp,
        hosts: plan.hosts as u32,
        classes,
        servers,
        limit_shares,
        ..view::View::default()
    }
}
