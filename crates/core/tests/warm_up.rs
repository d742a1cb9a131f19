//! Servers that warm up and crash under a load that warm ones do not notice, asked by many hosts at once.

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

/// Requests a second that a server bears while it warms up, and how far above all hosts may be in one second.
const RATE: f64 = 6.0;
const TOLERANCE: view::Tolerance = view::Tolerance { overage: 1.5, slack: 5.0 };
/// `RATE * overage + slack`.
const BOUND: usize = 14;
/// How long it warms up, in ms.
const SPAN: u64 = 3000;
/// Servers of the one shard.
const REPLICAS: usize = 3;
/// Share of the requests that are served when all is well: some connections take longer than callers wait.
const WELL: f64 = 0.95;
const SERVICE: id::Service = id::Service(0);

/// What a host knows at a moment.
#[derive(Clone, Debug, Default)]
struct Known {
    /// Servers that say that they warm up.
    warming: [bool; REPLICAS],
    /// Servers whose data centre is evacuated.
    evacuated: [bool; REPLICAS],
    /// Servers that are listed.
    listed: [bool; REPLICAS],
    /// Hosts that may send to servers that warm up.
    senders: Vec<CompactString>,
}

fn view(host: &str, revision: u64, known: &Known) -> event::Input {
    let mut view = (*one_leaf::view(8)).clone();
    let leaf = view.servers[0].clone().expect("the leaf");
    view.servers.clear();
    let class = &mut view.classes[0];
    class.branches[0].targets[0].replicas = (0..REPLICAS as u32).map(id::Server).collect();
    for server in 0..REPLICAS {
        let name = format_compact!("leaf-{server}");
        let warm_up = view::WarmUp {
            is_warming: known.warming[server],
            duration: clock::Millis(SPAN),
            rate: RATE,
            service: SERVICE,
        };
        let row = view::Server {
            address: name.clone(),
            name,
            evacuated: known.evacuated[server],
            warm_up: Some(warm_up),
            ..leaf.clone()
        };
        view.servers.push(known.listed[server].then_some(row));
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

/// What a host hears.
type Change = fn(&mut Known);

/// Hosts that share the servers of one shard, in steps of [`STEP`] ms.
struct Fleet {
    now: u64,
    random: rngs::SmallRng,
    names: Vec<CompactString>,
    hosts: Vec<traffic::Core>,
    known: Vec<Known>,
    revision: u64,
    /// Arrivals at each server, in ms.
    arrivals: [Vec<u64>; REPLICAS],
    /// Replies on their way: when, to which host, to which attempt.
    replies: Vec<(u64, usize, id::Attempt)>,
    /// Views on their way: when, to which host, and what changes.
    news: Vec<(u64, usize, Change)>,
    callers: u64,
    answered: u64,
    asked: u64,
    breaches: Vec<String>,
}

const STEP: u64 = 5;
/// Longest time between two steps of a host, in ms.
const TICK: u64 = 200;

impl Fleet {
    fn new(hosts: usize, listed: bool, seed: u64) -> Self {
        let names: Vec<CompactString> = (0..hosts).map(|host| format_compact!("host-{host}")).collect();
        let mut random = rngs::SmallRng::seed_from_u64(seed);
        let mut known = Vec::new();
        for host in 0..hosts {
            // Some hosts have not heard of all others yet, and some have just started.
            let is_new = random.random_bool(0.03);
            let knows = |other: &usize, random: &mut rngs::SmallRng| *other == host || random.random_bool(0.98);
            let senders = (0..hosts).filter(|other| !is_new && knows(other, &mut random));
            let senders = senders.collect::<Vec<_>>().into_iter().map(|other| names[other].clone()).collect();
            known.push(Known { listed: [listed; REPLICAS], senders, ..Known::default() });
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
            news: Vec::new(),
            callers: 0,
            answered: 0,
            asked: 0,
            breaches: Vec::new(),
        };
        for host in 0..hosts {
            fleet.show(host);
        }
        fleet
    }

    /// Gives a host a view of what it knows.
    fn show(&mut self, host: usize) {
        self.revision += 1;
        let view = view(&self.names[host], self.revision, &self.known[host]);
        self.step(host, [view]);
    }

    /// All hosts hear of a change within `lag` ms, each at its own time.
    fn tell(&mut self, lag: u64, change: Change) {
        for host in 0..self.hosts.len() {
            let at = self.now + self.random.random_range(0..=lag);
            self.news.push((at, host, change));
        }
    }

    fn step(&mut self, host: usize, inputs: impl IntoIterator<Item = event::Input>) {
        for output in self.hosts[host].step(clock::Millis(self.now), inputs) {
            match output {
                event::Output::Dispatch(dispatch) => {
                    // Some connections take long to open.
                    let is_slow = self.random.random_bool(0.01);
                    let delay = self.random.random_range(1..if is_slow { 250 } else { 10 });
                    self.arrivals[dispatch.server.index()].push(self.now + delay);
                    let takes = self.random.random_range(4..20);
                    self.replies.push((self.now + delay + takes, host, dispatch.attempt));
                }
                event::Output::Answer(answer) => {
                    self.answered += u64::from(answer.outcome == event::Outcome::Answered);
                }
                event::Output::Breach(breach) => self.breaches.push(format!("{breach:?}")),
                _ => {}
            }
        }
    }

    /// Lets `span` ms pass, in which callers ask `rate` times a second at random hosts.
    fn run(&mut self, span: u64, rate: f64) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            let now = self.now;
            let due = |at: &u64| *at <= now;
            for (_, host, change) in self.news.extract_if(.., |row| due(&row.0)).collect::<Vec<_>>() {
                change(&mut self.known[host]);
                self.show(host);
            }
            for (_, host, attempt) in self.replies.extract_if(.., |row| due(&row.0)).collect::<Vec<_>>() {
                let snapshot = view::Snapshot { epoch: 1, version: 1 };
                let part = event::Part { snapshot, held: None, hits: 1, load: None, queue: None };
                self.step(host, [event::Input::Reply { attempt, reply: event::Reply::Answered(part) }]);
            }
            let mut asked = rate * STEP as f64 / 1000.0;
            while asked > 0.0 {
                if self.random.random_bool(asked.min(1.0)) {
                    let host = self.random.random_range(0..self.hosts.len());
                    self.callers += 1;
                    self.asked += 1;
                    self.step(host, [request(self.callers)]);
                }
                asked -= 1.0;
            }
            for host in 0..self.hosts.len() {
                // Nodes look at their clock now and then; one that does not was stopped.
                let is_time = (now / STEP + host as u64).is_multiple_of(TICK / STEP);
                if is_time || self.hosts[host].next_timer().is_some_and(|at| at.0 <= now) {
                    self.step(host, [event::Input::Tick]);
                }
            }
        }
    }

    /// Most arrivals at one server in any second between `from` and `until`.
    fn most_in_a_second(&self, from: u64, until: u64) -> usize {
        let mut most = 0;
        for arrivals in &self.arrivals {
            let mut sorted: Vec<u64> = arrivals.iter().copied().filter(|at| (from..until).contains(at)).collect();
            sorted.sort_unstable();
            for first in 0..sorted.len() {
                let within = sorted[first..].iter().take_while(|&&at| at < sorted[first] + 1000).count();
                most = most.max(within);
            }
        }
        most
    }
}

/// All servers of a shard start together, and every host hears of them within a second. They crash if all hosts
/// send their first requests at once, and again if each sends as much as it would alone.
#[rstest]
#[case::gathering_hosts(16, 60)]
#[case::all_hosts(78, 20)]
#[case::a_large_fleet(300, 4)]
fn servers_that_start_together_bear_their_load(#[case] hosts: usize, #[case] seeds: u64) {
    let mut served = Vec::new();
    let mut warm = (0, 0);
    for seed in 1..=seeds {
        let mut fleet = Fleet::new(hosts, false, seed);
        fleet.run(500, 60.0);
        let since = fleet.now;
        fleet.tell(1000, |known| (known.listed, known.warming) = ([true; REPLICAS], [true; REPLICAS]));
        fleet.run(SPAN, 60.0);
        let most = fleet.most_in_a_second(since, since + SPAN);
        assert!(most <= BOUND, "seed {seed}: {most} requests in a second at a server that warms up");
        served.push(fleet.answered);
        fleet.tell(1500, |known| known.warming = [false; REPLICAS]);
        fleet.run(2000, 60.0);
        let (answered, asked) = (fleet.answered, fleet.asked);
        fleet.run(1000, 60.0);
        warm.0 += fleet.answered - answered;
        warm.1 += fleet.asked - asked;
        assert!(fleet.breaches.is_empty(), "{:?}", fleet.breaches);
    }
    let mean = served.iter().sum::<u64>() / seeds;
    let share = warm.0 as f64 / warm.1 as f64;
    assert!(share > WELL, "warm servers serve {share:.3}");
    println!("{hosts} hosts: {mean} requests are served while all servers warm up");
    assert!(mean >= 10, "{served:?}");
}

/// One of three servers starts while the two others are warm: callers notice nothing, and it gets little.
#[rstest]
fn a_server_that_starts_alone_is_left_in_peace(#[values(16, 78)] hosts: usize, #[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(hosts, true, seed);
    fleet.run(1000, 60.0);
    fleet.tell(1000, |known| known.warming[0] = true);
    fleet.run(1000, 60.0);
    let since = fleet.now;
    fleet.run(SPAN, 60.0);
    let most = fleet.most_in_a_second(since, fleet.now);
    let of_first = fleet.arrivals[0].iter().filter(|&&at| at > since).count();
    assert!(most > BOUND && of_first <= 3 * BOUND, "{of_first} at the server that warms up");
    let share = fleet.answered as f64 / fleet.asked as f64;
    assert!(share > WELL, "{share:.3} are served");
}

/// An evacuation ends. The servers have become cold a moment before, and say so only with their next report. Some
/// hosts hear that the evacuation is over before the others do.
#[rstest]
#[case::gathering_hosts(16, 40)]
#[case::all_hosts(78, 10)]
fn servers_are_cold_after_an_evacuation(#[case] hosts: usize, #[case] seeds: u64) {
    for seed in 1..=seeds {
        let mut fleet = Fleet::new(hosts, true, seed);
        fleet.run(500, 60.0);
        fleet.tell(200, |known| known.evacuated = [true; REPLICAS]);
        fleet.run(1500, 60.0);
        let since = fleet.now;
        fleet.tell(800, |known| known.evacuated = [false; REPLICAS]);
        fleet.run(1200, 60.0);
        fleet.tell(800, |known| known.warming = [true; REPLICAS]);
        fleet.run(SPAN - 1200, 60.0);
        let most = fleet.most_in_a_second(since, fleet.now);
        assert!((1..=BOUND).contains(&most), "seed {seed}: {most} requests in a second");
        fleet.tell(800, |known| known.warming = [false; REPLICAS]);
        fleet.run(1500, 60.0);
        assert!(fleet.breaches.is_empty(), "{:?}", fleet.breaches);
    }
}

/// A host that may send nothing to the only servers that there are says so at once, and the caller can ask another.
#[test]
fn a_host_without_the_right_refuses_at_once() {
    let mut core = core(1);
    let known = Known { listed: [true; REPLICAS], warming: [true; REPLICAS], ..Known::default() };
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

/// A server's word that it is warm is lost with the registry. It must not be spared for ever.
#[test]
fn a_server_is_not_spared_for_ever() {
    let mut core = core(1);
    let known = Known { listed: [true; REPLICAS], warming: [true; REPLICAS], ..Known::default() };
    core.step(clock::Millis(1), [view("host-0", 2, &known)]);
    let outputs = core.step(clock::Millis(31_000), [event::Input::Tick, request(1)]);
    let outputs: Vec<_> = outputs.into_iter().chain(core.step(clock::Millis(31_500), [request(2)])).collect();
    assert!(outputs.iter().any(|output| matches!(output, event::Output::Dispatch(_))), "{outputs:?}");
}

/// The parts of all hosts never make more than the bound, however many hosts there are, and use a good part of it
/// where there are enough of them.
#[rstest]
fn the_parts_of_all_hosts_keep_the_bound(
    #[values(1, 2, 7, 16, 78, 295)] hosts: usize,
    #[values(0.4, 2.0, 6.0, 40.0)] rate: f64,
    #[values(view::Tolerance::default(), TOLERANCE)] tolerance: view::Tolerance,
) {
    let names: Vec<CompactString> = (0..hosts).map(|host| format_compact!("host-{host}")).collect();
    let bound = (rate * tolerance.overage + tolerance.slack).max(1.0);
    for server in 0..20 {
        let mut most = 0;
        let mut mean = 0.0;
        for host in &names {
            let pause = warm_up::pause(&format!("leaf-{server}"), rate, tolerance, host, &names);
            let Some(pause) = pause else { continue };
            // A connection may take up to 250 ms to open, so requests may be that much nearer to each other.
            most += 1 + (1249 / pause.0) as usize;
            mean += 1000.0 / pause.0 as f64;
        }
        assert!(most as f64 <= bound, "{most} in a second");
        assert!(mean <= rate * 1.001, "{mean} a second");
        assert!(hosts < 16 || mean >= 0.3 * rate.min(hosts as f64), "{mean} a second of {rate}");
    }
    assert_eq!(warm_up::pause("leaf", rate, tolerance, "unheard-of", &names), None);
    assert_eq!(warm_up::pause("leaf", rate, tolerance, "host-0", &[]), None);
}
