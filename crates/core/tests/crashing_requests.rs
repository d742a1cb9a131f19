//! Requests that crash the servers that run them, among many harmless ones.

#[expect(unreachable_pub, reason = "a module of this test alone")]
mod sharded;

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng, rngs};
use rstest::rstest;
use shallothub_core::{
    clock, id, ratio,
    suspect::{Fingerprint, Standing, Table},
    traffic::{self, event, note, policy},
    view,
};

use sharded::one_leaf;

const HOSTS: usize = 6;
const REPLICAS: usize = 3;
const STEP_MS: u64 = 5;
/// Interval at which hosts exchange their tables of suspects.
const GOSSIP_INTERVAL_MS: u64 = 1000;
/// Time until a crashed server is up again.
const RESTART_MS: u64 = 2000;
const CRASHING: Fingerprint = Fingerprint(1);
/// Requested about 40 times a second.
const POPULAR: Fingerprint = Fingerprint(2);

/// Faults of servers that no request caused.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// About a third of all servers crash at once, every 4 s.
    Crashes,
    /// All connections to about a third of the servers are reset, every 500 ms.
    Resets,
    /// A random server crashes every 700 ms.
    Flaps,
}

struct Leaf {
    down_until: u64,
    /// Running attempts: time of the reply, host, attempt and fingerprint.
    running: Vec<(u64, usize, id::Attempt, Fingerprint)>,
}

/// Hosts and the leafs of some shards, with a caller that repeats the crashing request at any host, and other callers.
struct Cluster {
    now: u64,
    random: rngs::SmallRng,
    hosts: Vec<traffic::Core>,
    tables: Vec<Table>,
    leafs: Vec<Leaf>,
    requested: IndexMap<u64, Fingerprint>,
    callers: u64,
    /// Crashes caused by the crashing request.
    crashed_servers: usize,
    refused: IndexSet<Fingerprint>,
    answered: u64,
    breaches: Vec<String>,
    /// Servers that crashed while they ran a request, and when.
    crashes: IndexMap<Fingerprint, IndexSet<(usize, u64)>>,
    /// When a server last answered a request.
    last_answers: IndexMap<Fingerprint, u64>,
    /// When harmless requests were first refused, and when next answered.
    refusals: IndexMap<Fingerprint, (u64, Option<u64>)>,
    /// Harmless requests that were ever convicted.
    convicted: IndexSet<Fingerprint>,
}

fn view(shards: usize) -> Arc<view::View> {
    let mut view = sharded::view(shards, REPLICAS, 8);
    view.servers.iter_mut().flatten().for_each(|server| server.incarnation = 0);
    view.classes[0].max_servers = Some(2);
    let least = if shards > 1 { 0.5 } else { 1.0 };
    view.classes[0].least_coverage = ratio::Ratio::try_from(least).expect("a ratio");
    Arc::new(view)
}

impl Cluster {
    fn new(shards: usize, seed: u64) -> Self {
        let policy = policy::Policy { prefer_room: true, retry_fraction: 0.2, ..policy::Policy::default() };
        let lane = traffic::Lane { index: 0, count: 1 };
        let mut hosts: Vec<traffic::Core> = (0..HOSTS as u64)
            .map(|host| traffic::Core::new(policy.clone(), lane, seed * 100 + host, clock::Millis(1)))
            .collect();
        for host in &mut hosts {
            host.step(clock::Millis(1), [event::Input::View(view(shards))]);
        }
        let leaf = || Leaf { down_until: 0, running: Vec::new() };
        Self {
            now: 1,
            random: rngs::SmallRng::seed_from_u64(seed),
            hosts,
            tables: vec![Table::default(); HOSTS],
            leafs: (0..shards * REPLICAS).map(|_| leaf()).collect(),
            requested: IndexMap::new(),
            callers: 0,
            crashed_servers: 0,
            refused: IndexSet::new(),
            answered: 0,
            breaches: Vec::new(),
            crashes: IndexMap::new(),
            last_answers: IndexMap::new(),
            refusals: IndexMap::new(),
            convicted: IndexSet::new(),
        }
    }

    fn send_request(&mut self, fingerprint: Fingerprint) {
        self.callers += 1;
        self.requested.insert(self.callers, fingerprint);
        let request = event::Request { fingerprint: Some(fingerprint), ..one_leaf::request(self.callers) };
        let host = self.random.random_range(0..HOSTS);
        self.step(host, event::Input::Request(request));
    }

    fn step(&mut self, host: usize, input: event::Input) {
        let now = clock::Millis(self.now);
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.hosts[host].step(now, [input]) {
                match output {
                    event::Output::Dispatch(dispatch) => {
                        let fingerprint = self.requested[&dispatch.caller.0];
                        let leaf = &mut self.leafs[dispatch.server.index()];
                        let attempt = dispatch.attempt;
                        if leaf.down_until > self.now {
                            inputs.push(event::Input::Reply { attempt, reply: event::Reply::NotSent });
                            continue;
                        }
                        let duration = self.random.random_range(10..30);
                        leaf.running.push((self.now + duration, host, attempt, fingerprint));
                    }
                    event::Output::Cancel { attempt } => {
                        for leaf in &mut self.leafs {
                            leaf.running.retain(|run| (run.1, run.2) != (host, attempt));
                        }
                    }
                    event::Output::Answer(answer) => {
                        let fingerprint = self.requested[&answer.caller.0];
                        if answer.code == event::Code::CrashesServers {
                            assert_eq!(answer.outcome, event::Outcome::NotRun);
                            assert!(answer.retry_after.is_some());
                            self.refused.insert(fingerprint);
                            self.on_refused(fingerprint);
                        }
                        if answer.outcome == event::Outcome::Answered {
                            self.answered += 1;
                            self.refusals.entry(fingerprint).and_modify(|refusal| {
                                refusal.1.get_or_insert(self.now);
                            });
                        }
                    }
                    event::Output::Crashed(crash) => {
                        self.tables[host].record_crash(now, &crash);
                        inputs.push(self.standings(host));
                    }
                    event::Output::Cleared(fingerprint) => {
                        self.tables[host].record_answer(now, fingerprint);
                        inputs.push(self.standings(host));
                    }
                    event::Output::RequestTrial(trial) => {
                        // The first host grants all trials, and all hosts receive the grants at once.
                        if !self.tables[0].grant_trial(now, trial) {
                            continue;
                        }
                        let record = self.tables[0].record(now, trial.fingerprint);
                        self.tables.iter_mut().for_each(|table| {
                            table.merge(now, &record);
                        });
                        inputs.push(event::Input::TrialGranted(trial));
                    }
                    event::Output::TrialUnused(trial) => {
                        self.tables[host].cancel_trial(now, trial);
                    }
                    event::Output::Probe { server, .. } => {
                        let is_down = self.leafs[server.index()].down_until > self.now;
                        let liveness = if is_down { event::Liveness::Dead } else { event::Liveness::Listening };
                        inputs.push(event::Input::Probed { server, liveness });
                    }
                    event::Output::Breach(breach) => self.breaches.push(format!("{breach:?}")),
                    _ => {}
                }
            }
        }
    }

    /// A harmless request may be refused only if a server crashed while running it and none has answered it since.
    /// Answers count after two gossip intervals, since the host that saw one may have to receive the suspicion first.
    fn on_refused(&mut self, fingerprint: Fingerprint) {
        if fingerprint == CRASHING {
            return;
        }
        let answered_at =
            self.last_answers.get(&fingerprint).filter(|at| self.now - **at > 2 * GOSSIP_INTERVAL_MS).copied();
        let counts = |crash: &&(usize, u64)| answered_at.is_none_or(|at| crash.1 > at);
        let crashes = self.crashes.get(&fingerprint).map_or(0, |crashes| crashes.iter().filter(counts).count());
        assert!(crashes >= 1, "{fingerprint} was refused although no server crashed while running it");
        self.refusals.entry(fingerprint).or_insert((self.now, None));
    }

    fn standings(&self, host: usize) -> event::Input {
        event::Input::Suspects(Arc::new(self.tables[host].standings()))
    }

    /// All hosts exchange their tables of suspects.
    fn gossip(&mut self) {
        let now = clock::Millis(self.now);
        let records: Vec<_> = self.tables.iter().flat_map(|table| table.records(now)).collect();
        for host in 0..HOSTS {
            for record in &records {
                self.tables[host].merge(now, record);
            }
            let standings = self.standings(host);
            self.step(host, standings);
            for (fingerprint, standing) in self.tables[host].standings() {
                if fingerprint != CRASHING && matches!(standing, Standing::Convicted { .. }) {
                    self.convicted.insert(fingerprint);
                }
            }
        }
    }

    /// Breaks all connections to a leaf, which loses its running attempts.
    fn disconnect(&mut self, leaf: usize) {
        for (_, host, attempt, _) in std::mem::take(&mut self.leafs[leaf].running) {
            self.step(host, event::Input::Reply { attempt, reply: event::Reply::Lost(event::Loss::Broken) });
        }
    }

    fn crash(&mut self, leaf: usize) {
        self.leafs[leaf].down_until = self.now + RESTART_MS;
        for (.., fingerprint) in &self.leafs[leaf].running {
            self.crashes.entry(*fingerprint).or_default().insert((leaf, self.now));
        }
        self.disconnect(leaf);
    }

    fn inject_fault(&mut self, fault: Fault) {
        let selected: Vec<usize> = (0..self.leafs.len()).filter(|_| self.random.random_bool(0.34)).collect();
        match fault {
            Fault::None => {}
            Fault::Crashes if self.now % 4000 < STEP_MS => selected.into_iter().for_each(|leaf| self.crash(leaf)),
            Fault::Resets if self.now % 500 < STEP_MS => selected.into_iter().for_each(|leaf| self.disconnect(leaf)),
            Fault::Flaps if self.now % 700 < STEP_MS => {
                let leaf = self.random.random_range(0..self.leafs.len());
                self.crash(leaf);
            }
            _ => {}
        }
    }

    /// Runs for `span` ms. The crashing request is sent `crash_rate` times a second, the popular one 40 times a
    /// second, and 40 requests a second are sent once and once again if they fail.
    fn run(&mut self, span: u64, crash_rate: f64, fault: Fault) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP_MS;
            if self.random.random_bool(crash_rate * STEP_MS as f64 / 1000.0) {
                self.send_request(CRASHING);
            }
            for _ in 0..2 {
                if self.random.random_bool(40.0 * STEP_MS as f64 / 1000.0) {
                    let is_popular = self.random.random_bool(0.5);
                    let unique = Fingerprint(u128::from(self.callers / 2) + 100);
                    self.send_request(if is_popular { POPULAR } else { unique });
                }
            }
            self.inject_fault(fault);
            for leaf in 0..self.leafs.len() {
                let is_due = |run: &(u64, usize, id::Attempt, Fingerprint)| run.0 <= self.now;
                let due: Vec<_> = self.leafs[leaf].running.iter().filter(|run| is_due(run)).copied().collect();
                self.leafs[leaf].running.retain(|run| run.0 > self.now);
                if due.iter().any(|run| run.3 == CRASHING) {
                    self.crashed_servers += 1;
                    self.leafs[leaf].running.extend(due);
                    self.crash(leaf);
                    continue;
                }
                for (_, host, attempt, fingerprint) in due {
                    self.last_answers.insert(fingerprint, self.now);
                    let snapshot = view::Snapshot { epoch: 1, version: 1 };
                    let part = event::Part { snapshot, held: None, hits: 1, load: None, queue: None };
                    self.step(host, event::Input::Reply { attempt, reply: event::Reply::Answered(part) });
                }
            }
            if self.now % GOSSIP_INTERVAL_MS < STEP_MS {
                self.gossip();
            }
            for host in 0..HOSTS {
                let is_tick_due = (self.now / STEP_MS + host as u64).is_multiple_of(40);
                if is_tick_due || self.hosts[host].next_timer().is_some_and(|at| at.0 <= self.now) {
                    self.step(host, event::Input::Tick);
                }
            }
        }
    }
}

/// A caller sends a request that crashes its server to any host, ten times a second. Without tables of suspects,
/// each request of the caller crashed two servers, as long as any were left.
#[rstest]
fn a_crashing_request_is_refused_after_a_few_crashes(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut cluster = Cluster::new(1, seed);
    cluster.run(1000, 0.0, Fault::None);
    cluster.run(20_000, 10.0, Fault::None);
    assert!(cluster.refused.contains(&CRASHING) && cluster.refused.len() == 1, "{:?}", cluster.refused);
    // Until the hosts have exchanged their tables, each of them may dispatch the request.
    assert!(cluster.crashed_servers <= 8, "{} servers crashed", cluster.crashed_servers);
    assert!(cluster.breaches.is_empty(), "{:?}", cluster.breaches);
}

/// A crashing request goes to all of twelve shards: its first execution may crash one or two servers of each shard,
/// later ones must crash one at a time.
#[rstest]
fn a_scattered_crashing_request_is_retried_on_one_shard(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = Cluster::new(12, seed);
    cluster.run(1000, 0.0, Fault::None);
    cluster.run(20_000, 2.0, Fault::None);
    assert!(cluster.refused.contains(&CRASHING) && cluster.refused.len() == 1, "{:?}", cluster.refused);
    assert!(cluster.crashed_servers <= 24 + 24 + 6, "{} servers crashed", cluster.crashed_servers);
}

/// Servers crash, flap and reset connections, with and without a crashing request. Harmless requests must never be
/// convicted, and are refused only after three servers crashed while running them with no answer in between, and only
/// until a server is available.
#[rstest]
#[case::crashes(Fault::Crashes)]
#[case::resets(Fault::Resets)]
#[case::flaps(Fault::Flaps)]
fn harmless_requests_are_not_refused(
    #[case] fault: Fault,
    #[values(1, 4)] shards: usize,
    #[values(0.0, 3.0)] crash_rate: f64,
) {
    for seed in [1, 2, 3, 4, 5, 6, 94, 288, 405] {
        let mut cluster = Cluster::new(shards, seed);
        cluster.run(20_000, crash_rate, fault);
        assert!(cluster.convicted.is_empty(), "seed {seed}: {:?}", cluster.convicted);
        assert!(cluster.refusals.len() <= 1, "seed {seed}: {:?}", cluster.refusals);
        if let Some(&(refused, answered)) = cluster.refusals.get(&POPULAR) {
            let answered_at = answered.unwrap_or(u64::MAX);
            assert!(
                answered_at - refused <= RESTART_MS + 1000,
                "seed {seed}: refused at {refused}, answered at {answered_at}"
            );
        }
        assert!(cluster.answered > 300, "{}", cluster.answered);
        assert!(cluster.breaches.is_empty(), "{:?}", cluster.breaches);
    }
}

/// Sends a suspect request and grants its trial.
fn trial(core: &mut traffic::Core, request: event::Request) -> Vec<event::Output> {
    let suspects = [(CRASHING, Standing::Suspect { trial_at: clock::Millis(1) })].into_iter().collect();
    core.step(clock::Millis(2), [event::Input::Suspects(Arc::new(suspects))]);
    let outputs = core.step(clock::Millis(3), [event::Input::Request(request)]);
    let requested = outputs.iter().find_map(|output| match output {
        event::Output::RequestTrial(trial) => Some(*trial),
        _ => None,
    });
    core.step(clock::Millis(3), [event::Input::TrialGranted(requested.expect("a trial is requested"))])
}

/// A suspect whose connection breaks must not be retried on a second server, and its caller must get `Unknown` at once.
#[test]
fn a_suspect_is_not_retried_on_a_second_server() {
    let mut cluster = Cluster::new(1, 1);
    let request = event::Request { fingerprint: Some(CRASHING), ..one_leaf::request(1) };
    let outputs = trial(&mut cluster.hosts[0], request);
    let sent: Vec<_> = outputs
        .iter()
        .filter_map(|output| match output {
            event::Output::Dispatch(dispatch) => Some(dispatch.attempt),
            _ => None,
        })
        .collect();
    assert_eq!(sent.len(), 1);
    let reply = event::Reply::Lost(event::Loss::Broken);
    let outputs = cluster.hosts[0].step(clock::Millis(9), [event::Input::Reply { attempt: sent[0], reply }]);
    let is_unknown = |output: &event::Output| matches!(output, event::Output::Answer(answer) if answer.outcome == event::Outcome::Unknown);
    assert!(outputs.iter().any(is_unknown), "{outputs:?}");
    assert!(!outputs.iter().any(|output| matches!(output, event::Output::Dispatch(_))));
}

/// A host relays a request, and the gathering host fails it, since the servers of all shards crash on it. That reply
/// comes from a host, not from a server: it must not clear the request.
#[test]
fn a_failure_of_another_host_does_not_clear_a_suspect() {
    let policy = policy::Policy::default();
    let lane = traffic::Lane { index: 0, count: 1 };
    let mut core = traffic::Core::new(policy, lane, 1, clock::Millis(1));
    let mut view = view::View::clone(&view(4));
    let peer = id::Server(view.servers.len() as u32);
    let leaf = view.servers[0].clone();
    view.servers.push(leaf.map(|leaf| view::Server { name: "host-1".into(), is_peer: true, ..leaf }));
    let shard = CompactString::const_new("peer");
    view.classes[0].relay = Some(view::Target { shard, service: id::Service::PEERS, replicas: vec![peer] });
    core.step(clock::Millis(1), [event::Input::View(Arc::new(view))]);
    let request = event::Request { fingerprint: Some(CRASHING), ..one_leaf::request(1) };
    let outputs = trial(&mut core, request);
    let relayed_attempt = outputs.iter().find_map(|output| match output {
        event::Output::Dispatch(dispatch) => Some((dispatch.attempt, dispatch.relayed?)),
        _ => None,
    });
    let (attempt, relayed) = relayed_attempt.expect("the request is relayed");
    assert!(relayed.trial.is_some(), "the gathering host would request another trial");
    let outputs = core.step(clock::Millis(9), [event::Input::Reply { attempt, reply: event::Reply::Failed }]);
    assert!(!outputs.iter().any(|output| matches!(output, event::Output::Cleared(_))), "{outputs:?}");
}

/// Operators must be able to find in the log why a request was refused, and which server a suspect went to.
#[test]
fn outputs_name_the_server_and_fingerprint_of_a_suspect() {
    let mut cluster = Cluster::new(1, 1);
    let request = event::Request { fingerprint: Some(CRASHING), ..one_leaf::request(1) };
    let outputs = trial(&mut cluster.hosts[0], request);
    let is_named = |output: &event::Output| {
        let event::Output::Note(note::Note::Suspect { fingerprint, server, .. }) = output else {
            return false;
        };
        *fingerprint == CRASHING && server.starts_with("leaf-0-")
    };
    assert!(outputs.iter().any(is_named), "{outputs:?}");
    let standings = [(POPULAR, Standing::Convicted { trial_at: clock::Millis(5000) })].into_iter().collect();
    cluster.hosts[0].step(clock::Millis(3), [event::Input::Suspects(Arc::new(standings))]);
    let request = event::Request { fingerprint: Some(POPULAR), ..one_leaf::request(2) };
    let outputs = cluster.hosts[0].step(clock::Millis(3), [event::Input::Request(request)]);
    let is_explained = |output: &event::Output| matches!(output, event::Output::Answer(answer) if answer.why.to_string().contains(&POPULAR.to_string()));
    assert!(outputs.iter().any(is_explained), "{outputs:?}");
}
