//! Discrete-event simulation of hosts, leafs and callers, for tests of decisions under load.
//!
//! Each host runs its own traffic core; hosts share no state and interact only through the leafs and relayed
//! requests. A leaf has slots and a queue, pauses periodically, and can be slow, unresponsive, refusing or
//! failing for a time. A canceled attempt is dropped with its connection, and opening a connection occupies a
//! slot. Runs are deterministic for a given seed.

mod arrivals;
mod leaf;
pub mod overload;

use std::{cmp, collections::BinaryHeap, sync::Arc};

use compact_str::{CompactString, format_compact};
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng, rngs};
use shallothub_core::{
    clock, evidence, id, ratio,
    traffic::{self, event, policy},
    urgency::exchange,
    view,
};

/// One-way network latency between any two nodes, in ms.
const HOP: u64 = 1;
/// Work of a light request, relative to a heavy one.
const LIGHT_WORK: f64 = 0.35;
/// Time before the target latency at which a host counts an answer as late, in ms.
const AIM_MARGIN: u64 = 16;
/// Maximum time between two steps of a host, in ms.
const TICK_INTERVAL: u64 = 300;

/// A fault of a leaf.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeafFault {
    /// Work takes longer by this factor.
    Slow(f64),
    /// Requests get no reply.
    Unresponsive,
    /// This fraction of the requests is refused before it runs.
    Refusing(f64),
    /// This fraction of the requests runs and fails.
    Failing(f64),
}

/// A fault of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostFault {
    /// It neither receives nor sends anything.
    Silent,
    /// Its process is killed, which closes its connections.
    Killed,
}

/// A fault injected at one leaf, with its times in ms.
#[derive(Clone, Copy, Debug)]
pub struct Injection {
    pub leaf: usize,
    pub from: u64,
    pub until: u64,
    pub fault: LeafFault,
}

/// A change of the hosts that gather.
#[derive(Clone, Debug)]
pub struct Change {
    /// Time of the change, in ms; each host learns of it up to 500 ms later.
    pub at: u64,
    /// See [`Plan::owners`].
    pub owners: usize,
    /// See [`Plan::connection_shares`].
    pub connection_shares: Vec<u32>,
}

/// The deployment that is simulated, its load and its faults.
#[derive(Clone, Debug)]
pub struct Plan {
    pub hosts: usize,
    pub shards: usize,
    pub replicas: usize,
    pub slots: usize,
    pub queue: usize,
    pub connections: u32,
    /// Slot time that opening a connection takes, in ms.
    pub handshake: u64,
    /// Mean work of a request at a leaf, in ms.
    pub work: f64,
    pub target_latency: u64,
    pub deadline: u64,
    pub least_coverage: f64,
    /// Requests per second over all hosts.
    pub rate: f64,
    /// Fraction of the requests that are light: a third of the work, half of the time limits, less urgent.
    pub light_fraction: f64,
    /// Maximum number of retries by a caller after refusals, each after the returned delay and at a random host.
    pub retries: u32,
    pub seconds: u64,
    /// Each leaf pauses for `pause` ms once in every `pause_interval` ms.
    pub pause: u64,
    pub pause_interval: u64,
    /// Data centres, to which hosts and the replicas of each shard are assigned in turn.
    pub data_centres: usize,
    /// Number of hosts that gather, counted from host 0; the others relay requests to them.
    pub owners: usize,
    /// Connections to each leaf of each host; an equal part of `connections` for hosts that it does not list.
    pub connection_shares: Vec<u32>,
    /// Changes of `owners` and `connection_shares`, in chronological order.
    pub changes: Vec<Change>,
    /// Time after which a leaf closes an idle connection, in ms.
    pub idle_timeout: u64,
    /// Fault of host 0 and its start, in ms.
    pub host_fault: Option<(u64, HostFault)>,
    pub injections: Vec<Injection>,
    /// Standings of leafs that all hosts receive, with the time in ms; each replaces the previous ones.
    pub standings: Vec<(u64, IndexMap<id::Server, evidence::Standing>)>,
    /// Results are of requests that arrive within this time, in ms.
    pub measured: (u64, u64),
    /// Further classes, their load and faults of the exchange of thresholds.
    pub overload: overload::Plan,
}

impl Default for Plan {
    /// A deployment of the present size: 8 hosts over 20 shards of 2 leafs.
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
            target_latency: 100,
            deadline: 600,
            least_coverage: 0.89,
            rate: 90.0,
            light_fraction: 0.0,
            retries: 1,
            seconds: 20,
            pause: 0,
            pause_interval: 3000,
            data_centres: 1,
            owners: usize::MAX,
            connection_shares: Vec::new(),
            changes: Vec::new(),
            idle_timeout: u64::MAX,
            host_fault: None,
            injections: Vec::new(),
            standings: Vec::new(),
            measured: (5000, u64::MAX),
            overload: overload::Plan::default(),
        }
    }
}

impl Plan {
    /// Injects `fault` at one replica of each of the first `shards` shards from 5 s on.
    pub fn with_faulty_replicas(mut self, shards: usize, fault: LeafFault) -> Self {
        for shard in 0..shards {
            self.injections.push(Injection { leaf: shard * self.replicas, from: 5000, until: u64::MAX, fault });
        }
        self
    }

    /// Injects `fault` at one replica of each shard with an even number and at two of the others, from `from` to
    /// `until` ms. Half of the leafs of each data centre are affected if there are as many data centres as replicas.
    pub fn with_half_faulty(mut self, from: u64, until: u64, fault: LeafFault) -> Self {
        for shard in 0..self.shards {
            for offset in 0..=shard % 2 {
                let leaf = shard * self.replicas + (shard / 2 + offset) % self.replicas;
                self.injections.push(Injection { leaf, from, until, fault });
            }
        }
        self
    }
}

/// Results of a run within the measured time, by default from 5 s on, when the cores have their first measurements and
/// faults begin.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub requests: u64,
    pub answered: u64,
    pub in_time: u64,
    /// Answers with all shards, late ones included.
    pub complete: u64,
    pub refused: u64,
    /// Mean of the squared shard coverage: a tenth of it if late, 0 without an answer.
    pub utility: f64,
    /// Utility of the light requests alone.
    pub light_utility: f64,
    /// Utility of the heavy requests alone.
    pub heavy_utility: f64,
    /// Arrivals at leafs beyond the first for each request and shard, relative to the first ones.
    pub extra_ratio: f64,
    /// Fraction of the arrivals that came from another data centre.
    pub far_ratio: f64,
    /// Connections opened to leafs.
    pub opened: u64,
    /// The same in each second.
    pub opened_by_second: IndexMap<u64, u64>,
    /// Requests that were not answered.
    pub lost: u64,
    pub latencies: Vec<u64>,
    /// Maximum time to a refusal or failure, in ms.
    pub longest_refusal: u64,
    /// Answers without the least coverage.
    pub insufficient: u64,
    /// Time from the request's arrival at a host to each of these, in ms.
    pub insufficient_after: Vec<u64>,
    /// Time to each of these from the last event that can have made it certain, in ms: a failed attempt of the request,
    /// an extra attempt of another request at its host, or the passing of its target latency.
    pub insufficient_lag: Vec<u64>,
    /// Extra attempts that were made for these.
    pub insufficient_cost: u64,
    /// The largest number of extra arrivals at a shard in any 10 s of the run, less 0.2 of the requests in that time.
    pub max_slack_used: f64,
    /// Sums of the counters of all hosts.
    pub stats: Totals,
    pub breaches: Vec<String>,
    /// Ends of the tries of requests of further classes.
    pub ends: Vec<overload::End>,
    /// Messages of thresholds between hosts, and when the last one was sent, in ms.
    pub messages: (u64, u64),
}

/// Sums of counters over all hosts, over the whole run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub hedges: u64,
    pub retries: u64,
    pub hopeless: u64,
    pub denied_by_class: u64,
    pub denied_by_service: u64,
    pub withheld: u64,
}

impl Outcome {
    /// The `q` quantile of the latency of answers, in ms.
    pub fn quantile(&self, q: f64) -> u64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let last = sorted.len().saturating_sub(1);
        sorted.get((q * last as f64).round() as usize).copied().unwrap_or_default()
    }
}

#[derive(Debug)]
enum Event {
    Request {
        host: usize,
    },
    /// A caller retries a refused request.
    Retry {
        host: usize,
        query: Query,
    },
    Arrive {
        host: usize,
        dispatch: Box<event::Dispatch>,
    },
    /// A request relayed by `from` reaches `host`.
    Relay {
        host: usize,
        from: usize,
        dispatch: Box<event::Dispatch>,
    },
    /// A host closed the connection of an attempt.
    Cancel {
        leaf: usize,
        sender: leaf::Sender,
    },
    /// A leaf completes a request.
    Complete {
        leaf: usize,
        run: leaf::Run,
    },
    Reply {
        host: usize,
        attempt: id::Attempt,
        reply: event::Reply,
    },
    Kill,
    /// All hosts receive the standings at this index of the plan.
    Standings(usize),
    /// A host learns of a change of the hosts that gather, given by its index in the plan.
    Change {
        host: usize,
        change: usize,
    },
    /// A host checks its clock, as nodes do when idle.
    Tick {
        host: usize,
    },
    /// A timer of the host's core may be due.
    Timer {
        host: usize,
    },
    Overload(overload::Event),
}

/// A caller's request.
#[derive(Clone, Copy, Debug)]
struct Query {
    /// Time of the caller's first try, in ms.
    first_at: u64,
    /// Time of the current try, in ms.
    at: u64,
    is_light: bool,
    /// Index of a further class.
    kind: Option<usize>,
    /// The host at which the caller retries; `None` for any.
    home: Option<usize>,
    retries: u32,
}

impl Plan {
    fn class_name(&self, query: &Query) -> CompactString {
        match query.kind {
            Some(kind) => CompactString::const_new(self.overload.kinds[kind].name),
            None => CompactString::const_new(if query.is_light { "strip" } else { "sweep" }),
        }
    }

    /// Mean work of a request at a leaf, in ms.
    fn work_of(&self, query: &Query) -> f64 {
        match query.kind {
            Some(kind) => self.overload.kinds[kind].work,
            None if query.is_light => self.work * LIGHT_WORK,
            None => self.work,
        }
    }

    /// Target latency and deadline of a request, in ms.
    fn time_limits(&self, query: &Query) -> (u64, u64) {
        if let Some(kind) = query.kind {
            return (self.overload.kinds[kind].target_latency, self.overload.kinds[kind].deadline);
        }
        if query.is_light { (self.target_latency / 2, self.deadline / 2) } else { (self.target_latency, self.deadline) }
    }
}

pub struct Simulation {
    plan: Plan,
    now: u64,
    random: rngs::SmallRng,
    hosts: Vec<traffic::Core>,
    exchanges: Vec<exchange::Exchange>,
    leafs: Vec<leaf::Leaf>,
    /// The leaf of each unanswered attempt.
    sent: IndexMap<leaf::Sender, usize>,
    schedule: BinaryHeap<cmp::Reverse<(u64, u64)>>,
    events: IndexMap<u64, Event>,
    sequence: u64,
    /// Total utility and number of the heavy and of the light requests.
    utilities: [(f64, u64); 2],
    /// When the next check of each host's timers is due.
    timers_due: Vec<u64>,
    /// Unanswered requests, by host and caller number.
    queries: IndexMap<(usize, u64), Query>,
    /// Sending host and attempt of relayed requests, by gathering host and its caller number.
    relayed: IndexMap<(usize, u64), (usize, id::Attempt)>,
    /// The relaying host and its caller number, by gathering host and its caller number.
    origins: IndexMap<(usize, u64), (usize, u64)>,
    /// Number of shards in the answer to a relayed attempt.
    relayed_shards: IndexMap<(usize, id::Attempt), usize>,
    /// Leafs that a caller's request reached, by request and shard.
    reached: IndexMap<((usize, u64), usize), Vec<usize>>,
    /// Whether host 0 was killed.
    is_killed: bool,
    next_caller: u64,
    first_attempts: u64,
    arrivals: u64,
    far_arrivals: u64,
    /// The request of each unanswered attempt.
    attempt_callers: IndexMap<leaf::Sender, u64>,
    /// Shards to which a host has sent an attempt of a request.
    dispatched: IndexSet<(usize, u64, usize)>,
    /// When the last attempt of a request failed, by host and caller number.
    failed_at: IndexMap<(usize, u64), u64>,
    /// When each host last sent an extra attempt.
    extra_sent_at: Vec<u64>,
    shard_arrivals: Vec<arrivals::Arrivals>,
    outcome: Outcome,
}

/// The policy in the settings of the deployments.
pub fn deployed_policy() -> policy::Policy {
    policy::Policy {
        hedge_fraction: 0.2,
        hedge_quantile: 0.92,
        hedge_floor: clock::Millis(8),
        retry_fraction: 0.2,
        prefer_room: true,
        adaptive_admission: false,
        running_ceiling: 96,
        margin: clock::Millis(8),
        aim_margin: clock::Millis(AIM_MARGIN),
        silence: clock::Millis(150),
        score_band: 1.5,
        refuse_by_wait: true,
        far_cost: 2.0,
        fleet: Some(policy::Fleet { ratio: 0.2, slack: 56.0, ..policy::Fleet::default() }),
        ..policy::Policy::default()
    }
}

/// Runs a simulation and returns its results.
pub fn run(plan: Plan, policy: &policy::Policy, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(plan, policy, seed);
    simulation.run();
    simulation.outcome
}

impl Simulation {
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
            let pause_phase = random.random_range(0..plan.pause_interval);
            let leaf = leaf::Leaf::new(plan.slots, plan.queue, plan.pause, plan.pause_interval, pause_phase);
            leafs.push(leaf.with_idle_timeout(plan.idle_timeout));
        }
        let mut simulation = Self {
            now: 1,
            random,
            exchanges: (0..plan.hosts).map(|host| exchange::Exchange::new(format_compact!("host-{host}"))).collect(),
            hosts,
            leafs,
            sent: IndexMap::new(),
            schedule: BinaryHeap::new(),
            events: IndexMap::new(),
            sequence: 0,
            utilities: [(0.0, 0); 2],
            timers_due: vec![u64::MAX; plan.hosts],
            queries: IndexMap::new(),
            relayed: IndexMap::new(),
            origins: IndexMap::new(),
            relayed_shards: IndexMap::new(),
            reached: IndexMap::new(),
            is_killed: false,
            next_caller: 0,
            first_attempts: 0,
            arrivals: 0,
            far_arrivals: 0,
            attempt_callers: IndexMap::new(),
            dispatched: IndexSet::new(),
            failed_at: IndexMap::new(),
            extra_sent_at: vec![0; plan.hosts],
            shard_arrivals: vec![arrivals::Arrivals::default(); plan.shards],
            outcome: Outcome::default(),
            plan,
        };
        if let Some((at, HostFault::Killed)) = simulation.plan.host_fault {
            simulation.schedule(at, Event::Kill);
        }
        for index in 0..simulation.plan.standings.len() {
            let (at, _) = simulation.plan.standings[index];
            simulation.schedule(at, Event::Standings(index));
        }
        for change in 0..simulation.plan.changes.len() {
            for host in 0..simulation.plan.hosts {
                let delay = simulation.random.random_range(0..500);
                simulation.schedule(simulation.plan.changes[change].at + delay, Event::Change { host, change });
            }
        }
        simulation.start_overload(policy.urgency.is_some());
        for host in 0..simulation.plan.hosts {
            simulation.schedule_request(host);
            simulation.schedule(TICK_INTERVAL, Event::Tick { host });
        }
        simulation
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        self.schedule.push(cmp::Reverse((at.max(self.now), self.sequence)));
    }

    fn schedule_request(&mut self, host: usize) {
        if self.plan.rate <= 0.0 {
            return;
        }
        let mean = 1000.0 * self.plan.hosts as f64 / self.plan.rate;
        let gap = -mean * (1.0 - self.random.random::<f64>()).ln();
        self.schedule(self.now + gap.round() as u64, Event::Request { host });
    }

    fn run(&mut self) {
        let end = self.plan.seconds * 1000;
        while let Some(cmp::Reverse((at, key))) = self.schedule.pop() {
            if at > end + self.plan.deadline {
                break;
            }
            self.now = at;
            let Some(event) = self.events.swap_remove(&key) else {
                continue;
            };
            match event {
                Event::Request { host } if at <= end => self.request(host),
                Event::Request { .. } => {}
                Event::Retry { host, query } => self.send_request(host, Query { at, ..query }),
                Event::Relay { host, from, dispatch } => self.relay(host, from, &dispatch),
                Event::Arrive { host, dispatch } => self.on_arrival(host, &dispatch),
                Event::Cancel { leaf, sender } => {
                    let started = self.leafs[leaf].cancel(self.now, sender);
                    self.schedule_completions(leaf, started);
                }
                Event::Complete { leaf, run } => self.complete(leaf, run),
                Event::Reply { host, attempt, reply } => {
                    let caller = self.attempt_callers.swap_remove(&(host, attempt));
                    if let Some(caller) = caller.filter(|_| !matches!(reply, event::Reply::Answered(_))) {
                        self.failed_at.insert((host, caller), self.now);
                    }
                    self.step(host, event::Input::Reply { attempt, reply });
                }
                Event::Kill => self.kill(),
                Event::Standings(index) => {
                    let standings = Arc::new(self.plan.standings[index].1.clone());
                    for host in 0..self.hosts.len() {
                        self.step(host, event::Input::Evidence(Arc::clone(&standings)));
                    }
                }
                Event::Change { host, change } => self.change(host, change),
                Event::Overload(event) => self.on_overload(event),
                Event::Tick { host } => {
                    self.step(host, event::Input::Tick);
                    self.schedule(self.now + TICK_INTERVAL, Event::Tick { host });
                }
                Event::Timer { host } => {
                    if self.timers_due[host] == self.now {
                        self.timers_due[host] = u64::MAX;
                        self.step(host, event::Input::Tick);
                    }
                }
            }
        }
        let [heavy, light] = self.utilities.map(|(utility, count)| (utility, count.max(1) as f64));
        self.outcome.heavy_utility = heavy.0 / heavy.1;
        self.outcome.light_utility = light.0 / light.1;
        // A heavy request has twice the weight of a light one.
        let weight = 2.0 * self.utilities[0].1 as f64 + self.utilities[1].1 as f64;
        self.outcome.utility = (2.0 * heavy.0 + light.0) / weight.max(1.0);
        self.outcome.far_ratio = self.far_arrivals as f64 / self.arrivals.max(1) as f64;
        self.outcome.extra_ratio = self.arrivals as f64 / self.first_attempts.max(1) as f64 - 1.0;
        self.outcome.max_slack_used =
            self.shard_arrivals.iter().map(arrivals::Arrivals::max_slack_used).fold(0.0, f64::max);
        for host in &self.hosts {
            let stats = host.stats();
            let totals = &mut self.outcome.stats;
            totals.hedges += stats.hedges;
            totals.retries += stats.retries;
            totals.hopeless += stats.hopeless;
            totals.denied_by_class += stats.denied_by_class;
            totals.denied_by_service += stats.denied_by_service;
            totals.withheld += stats.tokens_withheld;
        }
    }

    fn change(&mut self, host: usize, change: usize) {
        let Change { owners, connection_shares, .. } = self.plan.changes[change].clone();
        let plan = Plan { owners, connection_shares, ..self.plan.clone() };
        let version = change as u64 + 2;
        let stamp = view::Stamp { version, digest: 1, ..view::Stamp::default() };
        let view = view::View { stamp, hosts_revision: stamp, ..view(&plan, host) };
        self.step(host, event::Input::View(Arc::new(view)));
    }

    fn request(&mut self, host: usize) {
        self.schedule_request(host);
        let is_light = self.random.random_bool(self.plan.light_fraction);
        if self.is_measured(self.now) {
            self.outcome.requests += 1;
            self.utilities[usize::from(is_light)].1 += 1;
        }
        self.send_request(
            host,
            Query { first_at: self.now, at: self.now, is_light, kind: None, home: None, retries: 0 },
        );
    }

    fn send_request(&mut self, host: usize, query: Query) {
        self.next_caller += 1;
        let caller = self.next_caller;
        self.queries.insert((host, caller), query);
        if self.is_measured(self.now) {
            self.first_attempts += self.plan.shards as u64;
        }
        let (_, deadline) = self.plan.time_limits(&query);
        let request = event::Request {
            caller: id::Caller(caller),
            class: self.plan.class_name(&query),
            timeout: Some(clock::Millis((query.first_at + deadline).saturating_sub(self.now))),
            key: None,
            relayed: None,
            fingerprint: None,
        };
        self.step(host, event::Input::Request(request));
    }

    /// Schedules a retry at a random host if retries and time are left, after `retry_after` but at most a third of the
    /// remaining time.
    fn retry(&mut self, query: Query, retry_after: Option<clock::Millis>) -> bool {
        let (_, deadline) = self.plan.time_limits(&query);
        let remaining = (query.first_at + deadline).saturating_sub(self.now);
        if query.retries >= self.plan.retries || remaining < 10 {
            return false;
        }
        let delay = retry_after.map_or(0, |span| span.0).min(remaining / 3);
        let random_host = self.random.random_range(0..self.plan.hosts);
        let host = query.home.unwrap_or(random_host);
        self.schedule(self.now + delay, Event::Retry { host, query: Query { retries: query.retries + 1, ..query } });
        true
    }

    fn active_host_fault(&self, host: usize) -> Option<HostFault> {
        let (from, fault) = self.plan.host_fault?;
        let is_active = if fault == HostFault::Killed { self.is_killed } else { self.now >= from };
        (host == 0 && is_active).then_some(fault)
    }

    /// Kills host 0 as soon as another host has relayed a request to it. The relaying hosts see their connections
    /// end.
    fn kill(&mut self) {
        let relayed: Vec<_> =
            self.relayed.iter().filter(|((host, _), _)| *host == 0).map(|(_, sender)| *sender).collect();
        if relayed.is_empty() {
            self.schedule(self.now + 1, Event::Kill);
            return;
        }
        self.is_killed = true;
        for (from, attempt) in relayed {
            self.reply(from, attempt, 0, event::Reply::Lost(event::Loss::Broken));
        }
    }

    fn relay(&mut self, host: usize, from: usize, dispatch: &event::Dispatch) {
        match self.active_host_fault(host) {
            None => {}
            Some(HostFault::Silent) => return,
            Some(HostFault::Killed) => {
                self.reply(from, dispatch.attempt, 0, event::Reply::NotSent);
                return;
            }
        }
        self.next_caller += 1;
        let caller = self.next_caller;
        let class =
            self.query_of(from, dispatch.caller.0).map(|query| self.plan.class_name(&query)).unwrap_or_default();
        self.relayed.insert((host, caller), (from, dispatch.attempt));
        self.origins.insert((host, caller), (from, dispatch.caller.0));
        let request = event::Request {
            caller: id::Caller(caller),
            class,
            timeout: Some(dispatch.deadline - clock::Millis(self.now)),
            key: None,
            relayed: dispatch.relayed,
            fingerprint: None,
        };
        self.step(host, event::Input::Request(request));
    }

    fn is_measured(&self, at: u64) -> bool {
        (self.plan.measured.0..self.plan.measured.1).contains(&at)
    }

    fn step(&mut self, host: usize, input: event::Input) {
        let now = clock::Millis(self.now);
        let outputs = self.hosts[host].step(now, [input]);
        for output in outputs {
            match output {
                event::Output::Dispatch(dispatch) if dispatch.relayed.is_some() => {
                    let peer = dispatch.server.index() - self.leafs.len();
                    self.schedule(
                        self.now + HOP,
                        Event::Relay { host: peer, from: host, dispatch: Box::new(dispatch) },
                    );
                }
                event::Output::Dispatch(dispatch) => {
                    let shard = dispatch.server.index() / self.plan.replicas;
                    if !self.dispatched.insert((host, dispatch.caller.0, shard)) {
                        self.extra_sent_at[host] = self.now;
                    }
                    self.attempt_callers.insert((host, dispatch.attempt), dispatch.caller.0);
                    self.sent.insert((host, dispatch.attempt), dispatch.server.index());
                    self.schedule(self.now + HOP, Event::Arrive { host, dispatch: Box::new(dispatch) });
                }
                event::Output::Cancel { attempt } => {
                    if let Some(leaf) = self.sent.swap_remove(&(host, attempt)) {
                        self.schedule(self.now + HOP, Event::Cancel { leaf, sender: (host, attempt) });
                    }
                }
                event::Output::Answer(answer) => self.on_answer(host, &answer),
                event::Output::Urgency(report) => self.exchanges[host].report(now, report),
                event::Output::Breach(breach) => self.outcome.breaches.push(format!("{breach:?}")),
                _ => {}
            }
        }
        if let Some(next) = self.hosts[host].next_timer() {
            let due = next.0.max(self.now + 1);
            if due < self.timers_due[host] {
                self.timers_due[host] = due;
                self.schedule(due, Event::Timer { host });
            }
        }
    }

    fn active_leaf_fault(&self, leaf: usize) -> Option<LeafFault> {
        let is_active =
            |injection: &&Injection| injection.leaf == leaf && injection.from <= self.now && self.now < injection.until;
        self.plan.injections.iter().find(is_active).map(|injection| injection.fault)
    }

    /// The caller's request that a request at `host` belongs to; `None` once it was answered.
    fn query_of(&self, host: usize, caller: u64) -> Option<Query> {
        let origin = self.origins.get(&(host, caller)).copied().unwrap_or((host, caller));
        self.queries.get(&origin).copied()
    }

    /// Records that a request reached `leaf`. Over all hosts that handle it, it may reach at most two leafs of a shard.
    /// Returns whether it reached the shard before.
    fn record_reached(&mut self, host: usize, caller: u64, leaf: usize) -> bool {
        let origin = self.origins.get(&(host, caller)).copied().unwrap_or((host, caller));
        let reached = self.reached.entry((origin, leaf / self.plan.replicas)).or_default();
        let is_extra = !reached.is_empty();
        if !reached.contains(&leaf) {
            reached.push(leaf);
        }
        if reached.len() > 2 {
            self.outcome
                .breaches
                .push(format!("request {origin:?} reached more than two leafs of a shard: {reached:?}"));
        }
        is_extra
    }

    fn on_arrival(&mut self, host: usize, dispatch: &event::Dispatch) {
        if self.active_host_fault(host).is_some() {
            return;
        }
        let attempt = dispatch.attempt;
        let leaf = dispatch.server.index();
        if !self.sent.contains_key(&(host, attempt)) {
            return;
        }
        let is_extra = self.record_reached(host, dispatch.caller.0, leaf);
        self.shard_arrivals[leaf / self.plan.replicas].record(self.now, is_extra);
        if self.is_measured(self.now) {
            self.arrivals += 1;
            let is_far = host % self.plan.data_centres != leaf % self.plan.replicas % self.plan.data_centres;
            self.far_arrivals += u64::from(is_far);
        }
        let fault = self.active_leaf_fault(leaf);
        let sample = self.random.random::<f64>();
        let slowdown = match fault {
            Some(LeafFault::Unresponsive) => return,
            Some(LeafFault::Refusing(fraction)) if sample < fraction => {
                self.reply(host, attempt, 1, event::Reply::Refused { retry_after: None });
                return;
            }
            Some(LeafFault::Failing(fraction)) if sample < fraction => {
                self.reply(host, attempt, 2, event::Reply::Failed);
                return;
            }
            Some(LeafFault::Slow(factor)) => factor,
            _ => 1.0,
        };
        let query = self.query_of(host, dispatch.caller.0);
        let work = query.map_or(self.plan.work, |query| self.plan.work_of(&query))
            * (0.5 + self.random.random::<f64>())
            * slowdown;
        let is_reused = self.leafs[leaf].connect(self.now, host);
        if !is_reused && self.is_measured(self.now) {
            self.outcome.opened += 1;
            *self.outcome.opened_by_second.entry(self.now / 1000).or_default() += 1;
        }
        let handshake = if is_reused { 0 } else { self.plan.handshake };
        match self.leafs[leaf].submit(self.now, (host, attempt), work.round() as u64 + handshake) {
            Some(started) => self.schedule_completions(leaf, started),
            None => self.reply(host, attempt, 1, event::Reply::Refused { retry_after: None }),
        }
    }

    /// Schedules the completion of the requests that started at a leaf.
    fn schedule_completions(&mut self, leaf: usize, started: Vec<leaf::Run>) {
        for run in started {
            self.schedule(run.ends, Event::Complete { leaf, run });
        }
    }

    /// Completes a request at a leaf. The reply reports the remaining load.
    fn complete(&mut self, leaf: usize, run: leaf::Run) {
        let Some(started) = self.leafs[leaf].complete(self.now, run) else {
            return;
        };
        self.schedule_completions(leaf, started);
        let (running, waiting) = self.leafs[leaf].load();
        let snapshot = view::Snapshot { epoch: 0, version: 0 };
        let part = event::Part { snapshot, held: None, hits: 1, load: Some(running + waiting), queue: Some(waiting) };
        let (host, attempt) = run.sender;
        self.reply(host, attempt, 0, event::Reply::Answered(part));
    }

    fn reply(&mut self, host: usize, attempt: id::Attempt, delay: u64, reply: event::Reply) {
        self.sent.swap_remove(&(host, attempt));
        self.schedule(self.now + delay + HOP, Event::Reply { host, attempt, reply });
    }

    fn on_answer(&mut self, host: usize, answer: &event::Answer) {
        if self.active_host_fault(host).is_some() {
            return;
        }
        if let Some((from, attempt)) = self.relayed.swap_remove(&(host, answer.caller.0)) {
            let snapshot = view::Snapshot { epoch: 0, version: 0 };
            let part =
                event::Part { snapshot, held: None, hits: answer.contributed.len() as u32, load: None, queue: None };
            let reply = match answer.outcome {
                event::Outcome::Answered => event::Reply::Answered(part),
                event::Outcome::NotRun => event::Reply::Refused { retry_after: answer.retry_after },
                event::Outcome::Unknown => event::Reply::Failed,
            };
            self.relayed_shards.insert((from, attempt), answer.contributed.len());
            self.reply(from, attempt, 0, reply);
            return;
        }
        let Some(query) = self.queries.swap_remove(&(host, answer.caller.0)) else {
            self.outcome.breaches.push("a request was answered twice".to_owned());
            return;
        };
        if query.kind.is_some() {
            self.on_end(host, query, answer);
            return;
        }
        if !self.is_measured(query.first_at) {
            return;
        }
        let latency = self.now - query.at;
        if answer.outcome != event::Outcome::Answered {
            self.outcome.refused += 1;
            self.outcome.longest_refusal = self.outcome.longest_refusal.max(latency);
            if answer.code == event::Code::InsufficientCoverage {
                self.outcome.insufficient_cost += u64::from(answer.cost.hedges + answer.cost.retries);
                self.record_insufficient(host, answer.caller.0, query);
            }
            let is_retried = self.retry(query, answer.retry_after);
            self.outcome.lost += u64::from(!is_retried);
            return;
        }
        let latency = self.now - query.first_at;
        let (target_latency, _) = self.plan.time_limits(&query);
        self.outcome.answered += 1;
        self.outcome.latencies.push(latency);
        let relayed_shards =
            answer.contributed.first().and_then(|(_, attempt)| self.relayed_shards.get(&(host, *attempt)));
        let contributed = relayed_shards.copied().unwrap_or(answer.contributed.len());
        let coverage = contributed as f64 / self.plan.shards as f64;
        self.outcome.complete += u64::from(contributed == self.plan.shards);
        let is_in_time = latency <= target_latency;
        self.outcome.in_time += u64::from(is_in_time);
        // A retry answered in time, counted from the retry, scores the mean of in time and late.
        let is_retry_in_time = query.retries > 0 && self.now - query.at <= target_latency;
        let timeliness = if is_in_time {
            1.0
        } else if is_retry_in_time {
            0.55
        } else {
            0.1
        };
        self.utilities[usize::from(query.is_light)].0 += coverage * coverage * timeliness;
    }

    fn record_insufficient(&mut self, host: usize, caller: u64, query: Query) {
        self.outcome.insufficient += 1;
        self.outcome.insufficient_after.push(self.now - query.at);
        let (target, _) = self.plan.time_limits(&query);
        let due_at = (query.first_at + target).saturating_sub(AIM_MARGIN);
        let passed = if due_at <= self.now { due_at } else { 0 };
        let failed_at = self.failed_at.get(&(host, caller)).copied().unwrap_or_default();
        self.outcome.insufficient_lag.push(self.now - failed_at.max(self.extra_sent_at[host]).max(passed));
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
            let is_near = replica % plan.data_centres == host % plan.data_centres;
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
                own_share: plan.connection_shares.get(host).copied(),
                is_peer: false,
                warm_up: None,
            }));
        }
        targets.push(view::Target { service: registry.intern_service(&name), shard: name, replicas });
    }
    let is_owner = host < plan.owners && plan.connection_shares.get(host) != Some(&0);
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
    let relay = view::Target { shard: CompactString::const_new("peer"), service: id::Service::PEERS, replicas: relays };
    let class = view::Class {
        homes: Vec::new(),
        name: CompactString::const_new("sweep"),
        service: CompactString::const_new("s0"),
        epoch: 0,
        deadline: clock::Millis(plan.deadline),
        target_latency: Some(clock::Millis(plan.target_latency)),
        shape: view::Shape::Records { top: 10 },
        max_servers: Some(2),
        relay: (!is_owner).then_some(relay),
        settle: None,
        least_coverage: ratio::Ratio::try_from(plan.least_coverage).unwrap_or_default(),
        enough_hits: None,
        idempotent: true,
        hedge: true,
        priority: 1,
        branches: vec![view::Branch { weight: 1.0, targets }],
    };
    // Only the gathering hosts share the fleet-wide limits.
    let mut limit_shares = IndexMap::new();
    if plan.owners < plan.hosts {
        let share = if is_owner { 1.0 / plan.owners as f64 } else { 0.0 };
        limit_shares.extend((0..plan.shards as u32).map(|service| (id::Service(service), share)));
    }
    let stamp = view::Stamp { version: 1, digest: 1, ..view::Stamp::default() };
    let light = view::Class {
        name: CompactString::const_new("strip"),
        deadline: clock::Millis(plan.deadline / 2),
        target_latency: Some(clock::Millis(plan.target_latency / 2)),
        least_coverage: ratio::Ratio::try_from(0.75).unwrap_or_default(),
        priority: 2,
        ..class.clone()
    };
    let mut classes = IndexMap::new();
    classes.insert(light.name.clone(), light);
    overload::add_classes(plan, &class, &mut classes);
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
