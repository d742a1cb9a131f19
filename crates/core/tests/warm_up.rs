//! Many hosts send to servers that warm up, which crash under a load that warm ones withstand.

#[expect(unreachable_pub, reason = "a module of this test alone")]
mod one_leaf;

use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use rand::{Rng, SeedableRng, rngs};
use rstest::rstest;
use shallothub_core::{
    clock, id,
    traffic::{self, event, policy, warm_up},
    view,
};

/// Requests per second that a server withstands while it warms up. [`TOLERANCE`] is how far all hosts together may
/// exceed it in any one second.
const RATE: f64 = 6.0;
const TOLERANCE: view::Tolerance = view::Tolerance { overage: 1.5, slack: 5.0 };
/// Maximum requests in any one second: `RATE * overage + slack`.
const BOUND: usize = 14;
/// Warm-up time of a server, in ms.
const WARM_UP: u64 = 3000;
/// Number of servers of the only shard.
const REPLICAS: usize = 3;
/// Minimum fraction of requests answered by warm servers: some connections take longer to open than callers wait.
const MIN_ANSWERED: f64 = 0.95;
const SERVICE: id::Service = id::Service(0);

/// The state of the servers and senders as one host knows it.
#[derive(Clone, Debug, Default)]
struct Knowledge {
    /// Servers that report that they warm up.
    warming: [bool; REPLICAS],
    /// Servers whose data centre is evacuated.
    evacuated: [bool; REPLICAS],
    /// Servers that are listed.
    listed: [bool; REPLICAS],
    /// Hosts that may send to servers that warm up.
    senders: Vec<CompactString>,
}

fn view(host: &str, revision: u64, known: &Knowledge) -> event::Input {
    let mut view = (*one_leaf::view(8)).clone();
    let leaf = view.servers[0].clone().expect("the leaf");
    view.servers.clear();
    let class = &mut view.classes[0];
    class.branches[0].targets[0].replicas = (0..REPLICAS as u32).map(id::Server).collect();
    for server in 0..REPLICAS {
        let name = format_compact!("leaf-{server}");
        let warm_up = view::WarmUp {
            is_warming: known.warming[server],
            duration: clock::Millis(WARM_UP),
            rate: RATE,
            service: SERVICE,
        };
        let entry = view::Server {
            address: name.clone(),
            name,
            evacuated: known.evacuated[server],
            warm_up: Some(warm_up),
            ..leaf.clone()
        };
        view.servers.push(known.listed[server].then_some(entry));
    }
    view.hosts_revision = view::Stamp { version: revision, digest: 1, ..view::Stamp::default() };
    view.host = host.into();
    view.tolerance = TOLERANCE;
    view.senders.insert(SERVICE, known.senders.clone());
    event::Input::View(Arc::new(view))
}

fn core(seed: u64) -> traffic::Core {
    let policy = policy::Policy { prefer_room: true, ..policy::Policy::default() };
    traffic::Core::new(policy, traffic::Lane { index: 0, count: 1 }, seed, clock::Millis(1))
}

fn request(caller: u64) -> event::Input {
    event::Input::Request(one_leaf::request(caller))
}

/// A change to a host's knowledge.
type Change = fn(&mut Knowledge);

/// Hosts that share the servers of one shard, in steps of [`STEP`] ms.
struct Fleet {
    now: u64,
    random: rngs::SmallRng,
    names: Vec<CompactString>,
    hosts: Vec<traffic::Core>,
    known: Vec<Knowledge>,
    revision: u64,
    /// Times of the arrivals at each server, in ms.
    arrivals: [Vec<u64>; REPLICAS],
    /// Replies in flight: due time in ms, host and attempt.
    replies: Vec<(u64, usize, id::Attempt)>,
    /// Changes in flight: due time in ms, host and change.
    changes: Vec<(u64, usize, Change)>,
    callers: u64,
    answered: u64,
    requests: u64,
    breaches: Vec<String>,
}

const STEP: u64 = 5;
/// Maximum time between two steps of a host, in ms.
const TICK_INTERVAL: u64 = 200;

impl Fleet {
    fn new(hosts: usize, listed: bool, seed: u64) -> Self {
        let names: Vec<CompactString> = (0..hosts).map(|host| format_compact!("host-{host}")).collect();
        let mut random = rngs::SmallRng::seed_from_u64(seed);
        let mut known = Vec::new();
        for host in 0..hosts {
            // Some hosts do not know all others yet, and some have just started.
            let is_new = random.random_bool(0.03);
            let knows = |other: &usize, random: &mut rngs::SmallRng| *other == host || random.random_bool(0.98);
            let senders = (0..hosts).filter(|other| !is_new && knows(other, &mut random));
            let senders = senders.collect::<Vec<_>>().into_iter().map(|other| names[other].clone()).collect();
            known.push(Knowledge { listed: [listed; REPLICAS], senders, ..Knowledge::default() });
        }
        let mut fleet = Self {
            now: 1,
            hosts: (0..hosts as u64).map(|host| core(seed * 1000 + host)).collect(),
            random,
            names,
            known,
            revision: 1,
            arrivals: Default::default(),
            replies: Vec::new(),
            changes: Vec::new(),
            callers: 0,
            answered: 0,
            requests: 0,
            breaches: Vec::new(),
        };
        for host in 0..hosts {
            fleet.update_view(host);
        }
        fleet
    }

    /// Gives a host a view of its current knowledge.
    fn update_view(&mut self, host: usize) {
        self.revision += 1;
        let view = view(&self.names[host], self.revision, &self.known[host]);
        self.step(host, [view]);
    }

    /// Sends a change to all hosts; each receives it at a random time within `lag` ms.
    fn broadcast(&mut self, lag: u64, change: Change) {
        for host in 0..self.hosts.len() {
            let at = self.now + self.random.random_range(0..=lag);
            self.changes.push((at, host, change));
        }
    }

    fn step(&mut self, host: usize, inputs: impl IntoIterator<Item = event::Input>) {
        for output in self.hosts[host].step(clock::Millis(self.now), inputs) {
            match output {
                event::Output::Dispatch(dispatch) => {
                    // Some connections are slow to open.
                    let is_slow = self.random.random_bool(0.01);
                    let delay = self.random.random_range(1..if is_slow { 250 } else { 10 });
                    self.arrivals[dispatch.server.index()].push(self.now + delay);
                    let work = self.random.random_range(4..20);
                    self.replies.push((self.now + delay + work, host, dispatch.attempt));
                }
                event::Output::Answer(answer) => {
                    self.answered += u64::from(answer.outcome == event::Outcome::Answered);
                }
                event::Output::Breach(breach) => self.breaches.push(format!("{breach:?}")),
                _ => {}
            }
        }
    }

    /// Runs for `duration` ms, in which callers send `rate` requests per second to random hosts.
    fn run(&mut self, duration: u64, rate: f64) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP;
            let now = self.now;
            let due = |at: &u64| *at <= now;
            for (_, host, change) in self.changes.extract_if(.., |scheduled| due(&scheduled.0)).collect::<Vec<_>>() {
                change(&mut self.known[host]);
                self.update_view(host);
            }
            for (_, host, attempt) in self.replies.extract_if(.., |scheduled| due(&scheduled.0)).collect::<Vec<_>>() {
                let snapshot = view::Snapshot { epoch: 1, version: 1 };
                let part = event::Part { snapshot, held: None, hits: 1, load: None, queue: None };
                self.step(host, [event::Input::Reply { attempt, reply: event::Reply::Answered(part) }]);
            }
            let mut expected = rate * STEP as f64 / 1000.0;
            while expected > 0.0 {
                if self.random.random_bool(expected.min(1.0)) {
                    let host = self.random.random_range(0..self.hosts.len());
                    self.callers += 1;
                    self.requests += 1;
                    self.step(host, [request(self.callers)]);
                }
                expected -= 1.0;
            }
            for host in 0..self.hosts.len() {
                // Nodes check their clock periodically; a longer gap counts as a stopped process.
                let is_tick_due = (now / STEP + host as u64).is_multiple_of(TICK_INTERVAL / STEP);
                if is_tick_due || self.hosts[host].next_timer().is_some_and(|at| at.0 <= now) {
                    self.step(host, [event::Input::Tick]);
                }
            }
        }
    }

    /// Maximum number of arrivals at one server in any one second between `from` and `until`.
    fn peak_rate(&self, from: u64, until: u64) -> usize {
        let mut peak = 0;
        for arrivals in &self.arrivals {
            let mut sorted: Vec<u64> = arrivals.iter().copied().filter(|at| (from..until).contains(at)).collect();
            sorted.sort_unstable();
            for first in 0..sorted.len() {
                let count = sorted[first..].iter().take_while(|&&at| at < sorted[first] + 1000).count();
                peak = peak.max(count);
            }
        }
        peak
    }
}

/// All servers of a shard start together, and every host learns of them within a second. They crash if all hosts send
/// their first requests at once, or if each host sends as much as a single one may.
#[rstest]
#[case::gathering_hosts(16, 60)]
#[case::all_hosts(78, 20)]
#[case::a_large_fleet(300, 4)]
fn servers_that_start_together_are_not_overloaded(#[case] hosts: usize, #[case] seeds: u64) {
    let mut answered_while_warming = Vec::new();
    let mut warm = (0, 0);
    for seed in 1..=seeds {
        let mut fleet = Fleet::new(hosts, false, seed);
        fleet.run(500, 60.0);
        let since = fleet.now;
        fleet.broadcast(1000, |known| (known.listed, known.warming) = ([true; REPLICAS], [true; REPLICAS]));
        fleet.run(WARM_UP, 60.0);
        let peak = fleet.peak_rate(since, since + WARM_UP);
        assert!(peak <= BOUND, "seed {seed}: {peak} requests in one second at a server that warms up");
        answered_while_warming.push(fleet.answered);
        fleet.broadcast(1500, |known| known.warming = [false; REPLICAS]);
        fleet.run(2000, 60.0);
        let (answered, requests) = (fleet.answered, fleet.requests);
        fleet.run(1000, 60.0);
        warm.0 += fleet.answered - answered;
        warm.1 += fleet.requests - requests;
        assert!(fleet.breaches.is_empty(), "{:?}", fleet.breaches);
    }
    let mean = answered_while_warming.iter().sum::<u64>() / seeds;
    let answered_fraction = warm.0 as f64 / warm.1 as f64;
    assert!(answered_fraction > MIN_ANSWERED, "warm servers answer a fraction of {answered_fraction:.3}");
    println!("{hosts} hosts: {mean} requests are answered while all servers warm up");
    assert!(mean >= 10, "{answered_while_warming:?}");
}

/// One of three servers starts while the others are warm: it receives few requests, and callers are not affected.
#[rstest]
fn a_server_that_starts_alone_receives_few_requests(#[values(16, 78)] hosts: usize, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(hosts, true, seed);
    fleet.run(1000, 60.0);
    fleet.broadcast(1000, |known| known.warming[0] = true);
    fleet.run(1000, 60.0);
    let since = fleet.now;
    fleet.run(WARM_UP, 60.0);
    let peak = fleet.peak_rate(since, fleet.now);
    let arrivals_at_first = fleet.arrivals[0].iter().filter(|&&at| at > since).count();
    assert!(peak > BOUND && arrivals_at_first <= 3 * BOUND, "{arrivals_at_first} requests at the server that warms up");
    let answered_fraction = fleet.answered as f64 / fleet.requests as f64;
    assert!(answered_fraction > MIN_ANSWERED, "a fraction of {answered_fraction:.3} is answered");
}

/// An evacuation ends shortly after the servers have become cold, which only their next report shows. Some hosts learn
/// of its end before others do.
#[rstest]
#[case::gathering_hosts(16, 40)]
#[case::all_hosts(78, 10)]
fn cold_servers_are_not_overloaded_after_an_evacuation(#[case] hosts: usize, #[case] seeds: u64) {
    for seed in 1..=seeds {
        let mut fleet = Fleet::new(hosts, true, seed);
        fleet.run(500, 60.0);
        fleet.broadcast(200, |known| known.evacuated = [true; REPLICAS]);
        fleet.run(1500, 60.0);
        let since = fleet.now;
        fleet.broadcast(800, |known| known.evacuated = [false; REPLICAS]);
        fleet.run(1200, 60.0);
        fleet.broadcast(800, |known| known.warming = [true; REPLICAS]);
        fleet.run(WARM_UP - 1200, 60.0);
        let peak = fleet.peak_rate(since, fleet.now);
        assert!((1..=BOUND).contains(&peak), "seed {seed}: {peak} requests in one second");
        fleet.broadcast(800, |known| known.warming = [false; REPLICAS]);
        fleet.run(1500, 60.0);
        assert!(fleet.breaches.is_empty(), "{:?}", fleet.breaches);
    }
}

/// A host that may not send to any of the listed servers refuses at once, so that the caller can try another host.
#[test]
fn a_host_that_may_send_nothing_refuses_at_once() {
    let mut core = core(1);
    let known = Knowledge { listed: [true; REPLICAS], warming: [true; REPLICAS], ..Knowledge::default() };
    core.step(clock::Millis(1), [view("host-0", 2, &known)]);
    let outputs = core.step(clock::Millis(10), [request(1)]);
    let [event::Output::Note(_), event::Output::Answer(answer)] = &outputs[..] else {
        let [event::Output::Answer(answer)] = &outputs[..] else { panic!("{outputs:?}") };
        assert_eq!((answer.outcome, answer.code), (event::Outcome::NotRun, event::Code::NoReplica));
        assert!(answer.retry_after.is_some());
        assert!(answer.why.to_string().contains("warms up and gets nothing from this host"));
        return;
    };
    panic!("{answer:?}");
}

/// Guards against a server limited for ever because its report that it is warm was lost with the registry.
#[test]
fn a_warm_up_limit_expires_without_further_reports() {
    let mut core = core(1);
    let known = Knowledge { listed: [true; REPLICAS], warming: [true; REPLICAS], ..Knowledge::default() };
    core.step(clock::Millis(1), [view("host-0", 2, &known)]);
    let outputs = core.step(clock::Millis(31_000), [event::Input::Tick, request(1)]);
    let outputs: Vec<_> = outputs.into_iter().chain(core.step(clock::Millis(31_500), [request(2)])).collect();
    assert!(outputs.iter().any(|output| matches!(output, event::Output::Dispatch(_))), "{outputs:?}");
}

/// The shares of all hosts never exceed the bound, however many hosts there are, and from 16 hosts on use at least
/// 30 % of the rate.
#[rstest]
fn the_shares_of_all_hosts_stay_within_the_bound(
    #[values(1, 2, 7, 16, 78, 295)] hosts: usize,
    #[values(0.4, 2.0, 6.0, 40.0)] rate: f64,
    #[values(view::Tolerance::default(), TOLERANCE)] tolerance: view::Tolerance,
) {
    let names: Vec<CompactString> = (0..hosts).map(|host| format_compact!("host-{host}")).collect();
    let bound = (rate * tolerance.overage + tolerance.slack).max(1.0);
    for server in 0..20 {
        let mut maximum = 0;
        let mut mean = 0.0;
        for host in &names {
            let pause = warm_up::pause(&format!("leaf-{server}"), rate, tolerance, host, &names);
            let Some(pause) = pause else { continue };
            // A connection may take up to 250 ms to open, so two requests may arrive that much closer together.
            maximum += 1 + (1249 / pause.0) as usize;
            mean += 1000.0 / pause.0 as f64;
        }
        assert!(maximum as f64 <= bound, "{maximum} requests in one second");
        assert!(mean <= rate * 1.001, "{mean} requests per second");
        assert!(hosts < 16 || mean >= 0.3 * rate.min(hosts as f64), "{mean} of {rate} requests per second");
    }
    assert_eq!(warm_up::pause("leaf", rate, tolerance, "unheard-of", &names), None);
    assert_eq!(warm_up::pause("leaf", rate, tolerance, "host-0", &[]), None);
}
