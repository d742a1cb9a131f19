//! One run: hosts with real traffic cores, simulated leaves, and simulated time in microseconds.

use std::{cmp, collections::BinaryHeap, sync::Arc};

use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs};
use shallothub_core::{
    clock, id, ratio,
    traffic::{self, event, policy},
    view,
};

use crate::{fleet, fleet::Micros, report};

pub(crate) const HOSTS: usize = 8;

/// A scheduled change to one leaf.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Change {
    Slow(usize, u64),
    Lost(usize),
    Roll(usize),
    HideLoad(usize),
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) size: fleet::Size,
    pub(crate) policy: policy::Policy,
    pub(crate) hedge: bool,
    /// Arrivals per second over all hosts, each from its start time on.
    pub(crate) rates: Vec<(Micros, f64)>,
    pub(crate) end: Micros,
    pub(crate) changes: Vec<(Micros, Change)>,
    /// Requests that arrive before this time are not counted.
    pub(crate) warm_up: Micros,
}

enum Event {
    Request,
    Step(usize),
    Arrive(usize, fleet::Job),
    Done(usize, fleet::Job),
    Reply(usize, id::Attempt, event::Reply),
    Change(Change),
}

struct Host {
    core: traffic::Core,
    /// Number of idle connections, by leaf.
    idle: Vec<u32>,
    busy: IndexMap<id::Attempt, usize>,
    arrivals: IndexMap<id::Caller, Micros>,
    next: u64,
}

pub(crate) struct Run {
    setup: Setup,
    now: Micros,
    random: rngs::SmallRng,
    hosts: Vec<Host>,
    pub(crate) leaves: Vec<fleet::Leaf>,
    /// Number of open connections, by leaf.
    open: Vec<u32>,
    snapshots: IndexMap<(usize, id::Attempt), view::Snapshot>,
    heap: BinaryHeap<cmp::Reverse<(Micros, u64)>>,
    events: IndexMap<u64, Event>,
    sequence: u64,
    report: report::Report,
}

pub(crate) fn view(size: &fleet::Size, hedge: bool) -> view::View {
    let mut registry = view::Registry::default();
    let mut servers = Vec::new();
    let mut targets = Vec::new();
    for shard in 0..size.shards {
        let mut replicas = Vec::new();
        for replica in 0..size.replicas {
            let name = format_compact!("{shard}-{replica}");
            replicas.push(registry.intern(&name));
            servers.push(Some(view::Server {
                address: name.clone(),
                name,
                incarnation: 1,
                connections: size.connections,
                slots: size.slots as u32,
                leaving: false,
                evacuated: false,
                region: CompactString::default(),
                distance: view::Distance::Near,
                own_share: None,
                is_peer: false,
                warm_up: None,
            }));
        }
        let service = registry.intern_service("service");
        targets.push(view::Target { shard: format_compact!("s{shard}"), service, replicas });
    }
    let class = view::Class {
        name: CompactString::const_new("ask"),
        service: CompactString::const_new("service"),
        epoch: 1,
        deadline: clock::Millis(size.deadline_ms),
        settle: size.settle_ms.map(clock::Millis),
        least_coverage: ratio::Ratio::try_from(size.least_coverage).unwrap_or_default(),
        enough_hits: None,
        idempotent: true,
        hedge,
        priority: 0,
        target_latency: None,
        shape: view::Shape::Hits,
        max_servers: None,
        homes: Vec::new(),
        relay: None,
        branches: vec![view::Branch { weight: 1.0, targets }],
    };
    let stamp = view::Stamp { version: 1, digest: 1, ..view::Stamp::default() };
    let mut classes = IndexMap::new();
    classes.insert(class.name.clone(), class);
    view::View { stamp, hosts_revision: stamp, hosts: HOSTS as u32, classes, servers, ..view::View::default() }
}

fn millis(at: Micros) -> clock::Millis {
    clock::Millis(1 + at / 1000)
}

impl Run {
    pub(crate) fn new(setup: Setup, seed: u64) -> Self {
        let count = setup.size.leaves();
        let view = Arc::new(view(&setup.size, setup.hedge));
        let mut hosts = Vec::new();
        for host in 0..HOSTS {
            let lane = traffic::Lane { index: 0, count: 1 };
            let mut core = traffic::Core::new(setup.policy.clone(), lane, seed ^ (host as u64) << 8, clock::Millis(1));
            core.step(clock::Millis(1), [event::Input::View(Arc::clone(&view))]);
            hosts.push(Host { core, idle: vec![0; count], busy: IndexMap::new(), arrivals: IndexMap::new(), next: 0 });
        }
        let leaf = fleet::Leaf { is_up: true, slowdown: 1, version: 1, ..fleet::Leaf::default() };
        let mut run = Self {
            now: 0,
            random: rngs::SmallRng::seed_from_u64(seed),
            hosts,
            leaves: vec![leaf; count],
            open: vec![0; count],
            snapshots: IndexMap::new(),
            heap: BinaryHeap::new(),
            events: IndexMap::new(),
            sequence: 0,
            report: report::Report::default(),
            setup,
        };
        run.schedule(0, Event::Request);
        for host in 0..HOSTS {
            run.schedule(0, Event::Step(host));
        }
        for (at, change) in run.setup.changes.clone() {
            run.schedule(at, Event::Change(change));
        }
        run
    }

    fn schedule(&mut self, at: Micros, scheduled: Event) {
        self.sequence += 1;
        self.heap.push(cmp::Reverse((at, self.sequence)));
        self.events.insert(self.sequence, scheduled);
    }

    pub(crate) fn execute(mut self) -> report::Report {
        while let Some(cmp::Reverse((at, sequence))) = self.heap.pop() {
            if at > self.setup.end {
                break;
            }
            self.now = at;
            match self.events.swap_remove(&sequence) {
                Some(scheduled) => self.handle(scheduled),
                None => continue,
            }
        }
        for host in &self.hosts {
            let stats = host.core.stats();
            self.report.mixed += stats.mixed;
            self.report.first += stats.first;
        }
        self.report
    }

    fn handle(&mut self, scheduled: Event) {
        match scheduled {
            Event::Request => self.send_request(),
            Event::Step(host) => {
                self.step(host, event::Input::Tick);
                let due = self.hosts[host].core.next_timer().map_or(u64::MAX, |due| due.0.saturating_sub(1) * 1000);
                let at = due.max(self.now + 1000).min(self.now + 10_000);
                self.schedule(at, Event::Step(host));
            }
            Event::Arrive(leaf, job) => self.arrive(leaf, job),
            Event::Done(leaf, job) => self.complete(leaf, job),
            Event::Reply(host, attempt, reply) => {
                self.release(host, attempt, true);
                self.step(host, event::Input::Reply { attempt, reply });
            }
            Event::Change(change) => self.change(change),
        }
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::Slow(leaf, times) => self.leaves[leaf].slowdown = times,
            Change::HideLoad(leaf) => self.leaves[leaf].hides_load = true,
            Change::Roll(leaf) => {
                let leaf = &mut self.leaves[leaf];
                leaf.previous_version = Some(leaf.version);
                leaf.version += 1;
            }
            Change::Lost(leaf) => {
                self.leaves[leaf].is_up = false;
                let lost = std::mem::take(&mut self.leaves[leaf].running);
                let waiting = std::mem::take(&mut self.leaves[leaf].queue);
                for job in lost.into_iter().chain(waiting) {
                    self.schedule(
                        self.now + self.setup.size.link,
                        Event::Reply(job.host, job.attempt, event::Reply::Lost(event::Loss::Broken)),
                    );
                }
                for host in &mut self.hosts {
                    host.idle[leaf] = 0;
                }
            }
        }
    }

    fn rate(&self) -> f64 {
        self.setup.rates.iter().rev().find(|(from, _)| *from <= self.now).map_or(1.0, |(_, rate)| *rate)
    }

    fn send_request(&mut self) {
        let gap = -(1.0 - self.random.random::<f64>()).ln() / self.rate() * 1e6;
        self.schedule(self.now + gap as Micros, Event::Request);
        let host = self.random.random_range(0..HOSTS);
        let sender = &mut self.hosts[host];
        sender.next += 1;
        let caller = id::Caller(sender.next);
        sender.arrivals.insert(caller, self.now);
        self.report.requests += u64::from(self.now >= self.setup.warm_up);
        let class = CompactString::const_new("ask");
        self.step(
            host,
            event::Input::Request(event::Request {
                caller,
                class,
                timeout: None,
                key: None,
                relayed: None,
                fingerprint: None,
            }),
        );
    }

    fn step(&mut self, host: usize, input: event::Input) {
        for output in self.hosts[host].core.step(millis(self.now), [input]) {
            match output {
                event::Output::Dispatch(dispatch) => self.dispatch(host, &dispatch),
                event::Output::Cancel { attempt } => self.cancel(host, attempt),
                event::Output::Answer(answer) => self.answer(host, &answer),
                event::Output::Breach(breach) => panic!("{breach:?}"),
                event::Output::Reroute { .. } => unreachable!("no class is removed"),
                event::Output::Trim { .. }
                | event::Output::Revalidate
                | event::Output::Demand { .. }
                | event::Output::Crashed(_)
                | event::Output::Observed(_)
                | event::Output::RequestTrial(_)
                | event::Output::TrialUnused(_)
                | event::Output::Urgency(_)
                | event::Output::Probe { .. }
                | event::Output::Cleared(_)
                | event::Output::Note(_) => {}
            }
        }
    }

    fn dispatch(&mut self, host: usize, dispatch: &event::Dispatch) {
        let leaf = dispatch.server.index();
        let attempt = dispatch.attempt;
        let size = self.setup.size;
        self.hosts[host].busy.insert(attempt, leaf);
        let is_new = self.hosts[host].idle[leaf] == 0;
        if is_new {
            self.open[leaf] += 1;
            self.report.connections_over_limit += u64::from(self.open[leaf] > size.connections);
        } else {
            self.hosts[host].idle[leaf] -= 1;
        }
        if !self.leaves[leaf].is_up {
            self.schedule(self.now + 2 * size.link, Event::Reply(host, attempt, event::Reply::NotSent));
            return;
        }
        let setup = if is_new { size.connect } else { 0 };
        let deadline = dispatch.deadline.0 * 1000;
        let job = fleet::Job { host, attempt, want: dispatch.want, deadline };
        self.schedule(self.now + setup + size.link, Event::Arrive(leaf, job));
    }

    /// Returns the connection of a finished attempt to the idle pool, or closes that of a cancelled one.
    fn release(&mut self, host: usize, attempt: id::Attempt, keep: bool) {
        let Some(leaf) = self.hosts[host].busy.swap_remove(&attempt) else {
            return;
        };
        if keep && self.leaves[leaf].is_up {
            self.hosts[host].idle[leaf] += 1;
        } else {
            self.open[leaf] = self.open[leaf].saturating_sub(1);
        }
    }

    fn cancel(&mut self, host: usize, attempt: id::Attempt) {
        let Some(leaf) = self.hosts[host].busy.get(&attempt).copied() else {
            return;
        };
        self.release(host, attempt, false);
        if self.leaves[leaf].remove(host, attempt) {
            self.begin_next(leaf);
        }
    }

    fn arrive(&mut self, leaf: usize, job: fleet::Job) {
        if !self.hosts[job.host].busy.contains_key(&job.attempt) {
            return;
        }
        self.report.arrivals += 1;
        let target = &mut self.leaves[leaf];
        if !target.is_up {
            self.schedule(
                self.now + self.setup.size.link,
                Event::Reply(job.host, job.attempt, event::Reply::Lost(event::Loss::Broken)),
            );
            return;
        }
        if target.queue.len() >= fleet::QUEUE_CAPACITY {
            let reply = event::Reply::Refused { retry_after: None };
            self.schedule(self.now + self.setup.size.link, Event::Reply(job.host, job.attempt, reply));
            return;
        }
        target.queue.push_back(job);
        self.begin_next(leaf);
    }

    fn begin_next(&mut self, leaf: usize) {
        while self.leaves[leaf].running.len() < self.setup.size.slots {
            let Some(job) = self.leaves[leaf].queue.pop_front() else {
                return;
            };
            if job.deadline < self.now {
                continue;
            }
            let mean = (self.setup.size.service * self.leaves[leaf].slowdown) as f64;
            let sample = (-(1.0 - self.random.random::<f64>()).ln()).min(10.0);
            self.leaves[leaf].running.push(job);
            self.schedule(self.now + (mean * sample) as Micros, Event::Done(leaf, job));
        }
    }

    fn complete(&mut self, leaf: usize, job: fleet::Job) {
        if !self.leaves[leaf].remove(job.host, job.attempt) {
            return;
        }
        let target = &self.leaves[leaf];
        let snapshot = target.snapshot(job.want);
        let part = event::Part {
            snapshot,
            held: target.other_snapshot(snapshot),
            hits: 1,
            load: Some(target.load()),
            queue: None,
        };
        self.snapshots.insert((job.host, job.attempt), snapshot);
        let reply = event::Reply::Answered(part);
        self.schedule(self.now + self.setup.size.link, Event::Reply(job.host, job.attempt, reply));
        self.begin_next(leaf);
    }

    fn answer(&mut self, host: usize, answer: &event::Answer) {
        let arrived = self.hosts[host].arrivals.swap_remove(&answer.caller).unwrap_or(self.now);
        let shards = self.setup.size.shards;
        for (_, attempt) in &answer.contributed {
            let snapshot = self.snapshots.swap_remove(&(host, *attempt));
            self.report.snapshot_mismatches += u64::from(snapshot != answer.snapshot);
        }
        if arrived < self.setup.warm_up {
            return;
        }
        let coverage = answer.contributed.len() as f64 / shards as f64;
        self.report.record(self.now, self.now - arrived, answer.outcome, coverage);
    }
}
