//! Requests that are held, and proof that a server died, at one host.

#[expect(unreachable_pub, reason = "a module of this test alone")]
mod sharded;

use std::sync::Arc;

use compact_str::CompactString;
use rstest::rstest;
use shallothub_core::{
    clock, id,
    suspect::{Fingerprint, Standing, Trial},
    traffic::{self, event, policy},
    view,
};

use sharded::one_leaf;

const ASKED: Fingerprint = Fingerprint(1);

fn view(shards: usize, connections: u32) -> view::View {
    sharded::view(shards, 2, connections)
}

/// One host, and the time there.
struct Host {
    now: u64,
    core: traffic::Core,
}

impl Host {
    fn new(view: view::View) -> Self {
        let lane = traffic::Lane { index: 0, count: 1 };
        let core = traffic::Core::new(policy::Policy::default(), lane, 1, clock::Millis(1));
        let mut host = Self { now: 1, core };
        host.step(event::Input::View(Arc::new(view)));
        host
    }

    fn step(&mut self, input: event::Input) -> Vec<event::Output> {
        self.core.step(clock::Millis(self.now), [input])
    }

    fn ask(&mut self, caller: u64) -> Vec<event::Output> {
        let request = event::Request { fingerprint: Some(ASKED), ..one_leaf::request(caller) };
        self.step(event::Input::Request(request))
    }

    /// Control says what this host does with the request.
    fn set(&mut self, standing: Option<Standing>) -> Vec<event::Output> {
        let suspects = standing.map(|standing| (ASKED, standing)).into_iter().collect();
        self.step(event::Input::Suspects(Arc::new(suspects)))
    }

    fn reply(&mut self, attempt: id::Attempt, reply: event::Reply) -> Vec<event::Output> {
        self.step(event::Input::Reply { attempt, reply })
    }

    /// Serves harmless requests until the servers' limits have grown and the budgets for hedges are full.
    fn warm_up(&mut self) {
        for caller in 1000..1100 {
            for attempt in sent(&self.step(event::Input::Request(one_leaf::request(caller)))) {
                self.now += 1;
                self.reply(attempt, answered());
            }
        }
    }

    /// Steps each ms for `span` ms.
    fn wait(&mut self, span: u64) -> Vec<event::Output> {
        let mut outputs = Vec::new();
        for _ in 0..span {
            self.now += 1;
            outputs.extend(self.step(event::Input::Tick));
        }
        outputs
    }
}

fn sent(outputs: &[event::Output]) -> Vec<id::Attempt> {
    let sent = |output: &event::Output| match output {
        event::Output::Dispatch(dispatch) => Some(dispatch.attempt),
        _ => None,
    };
    outputs.iter().filter_map(sent).collect()
}

fn cancelled(outputs: &[event::Output]) -> usize {
    outputs.iter().filter(|output| matches!(output, event::Output::Cancel { .. })).count()
}

fn answers(outputs: &[event::Output]) -> Vec<(event::Outcome, event::Code)> {
    let answer = |output: &event::Output| match output {
        event::Output::Answer(answer) => Some((answer.outcome, answer.code)),
        _ => None,
    };
    outputs.iter().filter_map(answer).collect()
}

fn crashed(outputs: &[event::Output]) -> Vec<CompactString> {
    let server = |output: &event::Output| match output {
        event::Output::Crashed(crash) => Some(crash.server.clone()),
        _ => None,
    };
    outputs.iter().filter_map(server).collect()
}

fn asked_trial(outputs: &[event::Output]) -> Option<Trial> {
    outputs.iter().find_map(|output| match output {
        event::Output::RequestTrial(trial) => Some(*trial),
        _ => None,
    })
}

fn answered() -> event::Reply {
    let snapshot = view::Snapshot { epoch: 1, version: 1 };
    event::Reply::Answered(event::Part { snapshot, held: None, hits: 1, load: None, queue: None })
}

fn held(until: u64) -> Option<Standing> {
    Some(Standing::Held { trial_at: clock::Millis(until) })
}

/// A search runs on all shards when its host learns that it crashes servers: the servers that still run it must not
/// die as well, and its caller hears that nobody knows what came of it.
#[test]
fn what_runs_already_ends_when_it_is_held() {
    let mut host = Host::new(view(6, 8));
    let outputs = host.ask(1);
    assert_eq!(sent(&outputs).len(), 6);
    let outputs = host.set(held(5000));
    assert_eq!(cancelled(&outputs), 6);
    assert_eq!(answers(&outputs), [(event::Outcome::Unknown, event::Code::AttemptLost)]);
}

/// A search waits for room at busy servers when it becomes known to crash them. It must not reach them after that.
#[rstest]
#[case::suspect(Standing::Suspect { trial_at: clock::Millis(5000) })]
#[case::held(Standing::Held { trial_at: clock::Millis(5000) })]
fn what_waits_for_a_server_is_not_sent(#[case] standing: Standing) {
    let mut host = Host::new(view(1, 1));
    let first = sent(&host.step(event::Input::Request(one_leaf::request(1))));
    let second = sent(&host.step(event::Input::Request(one_leaf::request(2))));
    assert_eq!((first.len(), second.len()), (1, 1));
    assert!(sent(&host.ask(3)).is_empty());
    let mut outputs = host.set(Some(standing));
    outputs.extend(host.reply(first[0], answered()));
    assert!(sent(&outputs).is_empty());
    assert_eq!(answers(&outputs)[0], (event::Outcome::NotRun, event::Code::CrashesServers));
}

/// What a server answered meanwhile goes on: it is not what crashes servers.
#[test]
fn what_a_server_answered_goes_on() {
    let mut host = Host::new(view(2, 8));
    let attempts = sent(&host.ask(1));
    host.reply(attempts[0], answered());
    let outputs = host.set(held(5000));
    assert!(outputs.iter().any(|output| matches!(output, event::Output::Cleared(ASKED))));
    assert_eq!(cancelled(&outputs), 0);
    let outputs = host.reply(attempts[1], answered());
    assert_eq!(answers(&outputs), [(event::Outcome::Answered, event::Code::Ok)]);
}

/// A request becomes suspected while it runs: a server that is silent since may be dying of it, and a second one must
/// not get it.
#[test]
fn what_becomes_suspected_is_not_hedged() {
    let mut host = Host::new(view(1, 8));
    host.warm_up();
    assert_eq!(sent(&host.ask(1)).len(), 1);
    host.set(Some(Standing::Suspect { trial_at: clock::Millis(5000) }));
    assert!(sent(&host.wait(200)).is_empty());
}

/// A search runs on all shards when its host learns that one server died of it: the others may answer.
#[test]
fn what_runs_already_goes_on_while_it_is_suspected() {
    let mut host = Host::new(view(6, 8));
    let attempts = sent(&host.ask(1));
    let outputs = host.set(Some(Standing::Suspect { trial_at: clock::Millis(5000) }));
    assert_eq!(cancelled(&outputs), 0);
    for attempt in &attempts[..5] {
        assert!(answers(&host.reply(*attempt, answered())).is_empty());
    }
    assert_eq!(answers(&host.reply(attempts[5], answered())), [(event::Outcome::Answered, event::Code::Ok)]);
}

/// A request that is suspected or held reaches one server when a trial is granted, and none before. While it waits for
/// that or runs, further attempts are refused.
#[rstest]
#[case::suspect(Standing::Suspect { trial_at: clock::Millis(1) })]
#[case::held(Standing::Held { trial_at: clock::Millis(1) })]
fn a_trial_reaches_one_server(#[case] standing: Standing) {
    let mut host = Host::new(view(3, 8));
    host.set(Some(standing));
    let outputs = host.ask(1);
    assert!(sent(&outputs).is_empty() && answers(&outputs).is_empty());
    let trial = asked_trial(&outputs).expect("it asks for a trial");
    let refused = [(event::Outcome::NotRun, event::Code::CrashesServers)];
    assert_eq!(answers(&host.ask(2)), refused);
    // That a trial was granted is told before to whom.
    assert!(answers(&host.set(held(2000))).is_empty());
    let attempts = sent(&host.step(event::Input::TrialGranted(trial)));
    assert_eq!(attempts.len(), 1);
    assert_eq!(answers(&host.ask(3)), refused);
    let outputs = host.reply(attempts[0], event::Reply::Refused { retry_after: None });
    assert!(sent(&outputs).is_empty());
    assert_eq!(answers(&outputs), refused);
}

/// The first server of a trial answers: the request is harmless, and its other shards are asked.
#[test]
fn a_trial_that_is_answered_goes_to_all_shards() {
    let mut host = Host::new(view(3, 8));
    host.set(held(1));
    let trial = asked_trial(&host.ask(1)).expect("it asks for a trial");
    let attempts = sent(&host.step(event::Input::TrialGranted(trial)));
    let outputs = host.reply(attempts[0], answered());
    assert!(outputs.iter().any(|output| matches!(output, event::Output::Cleared(ASKED))));
    let attempts = sent(&outputs);
    assert_eq!(attempts.len(), 2);
    host.reply(attempts[0], answered());
    let outputs = host.reply(attempts[1], answered());
    assert_eq!(answers(&outputs), [(event::Outcome::Answered, event::Code::Ok)]);
}

/// Nobody grants the trial, since another one runs or a message was lost: the caller is told at once, and a grant that
/// comes too late sends nothing.
#[test]
fn a_trial_that_nobody_grants_is_refused() {
    let mut host = Host::new(view(1, 8));
    host.set(held(1));
    let trial = asked_trial(&host.ask(1)).expect("it asks for a trial");
    let outputs = host.wait(100);
    assert_eq!(answers(&outputs), [(event::Outcome::NotRun, event::Code::CrashesServers)]);
    assert!(sent(&host.step(event::Input::TrialGranted(trial))).is_empty());
}

/// No server of a trial could be reached: it is told, so that it does not count.
#[test]
fn a_trial_that_reached_nobody_is_told() {
    let mut host = Host::new(view(1, 8));
    host.set(held(1));
    let trial = asked_trial(&host.ask(1)).expect("it asks for a trial");
    let mut outputs = host.step(event::Input::TrialGranted(trial));
    while host.now < one_leaf::DEADLINE.0 + 100 {
        if outputs.iter().any(|output| matches!(output, event::Output::TrialUnused(unused) if *unused == trial)) {
            return;
        }
        let attempts = sent(&outputs);
        outputs = host.wait(1);
        for attempt in attempts {
            outputs.extend(host.reply(attempt, event::Reply::NotSent));
        }
    }
    panic!("it counts");
}

/// A server is dead and nobody else asks it: a connection that is refused proves it.
#[rstest]
#[case::dead(event::Liveness::Dead, 1)]
#[case::alive(event::Liveness::Listening, 0)]
#[case::unknown(event::Liveness::Unknown, 0)]
fn a_connection_proves_that_a_server_died(#[case] liveness: event::Liveness, #[case] crashes: usize) {
    let mut view = view(1, 8);
    view.classes[0].idempotent = false;
    let mut host = Host::new(view);
    let attempts = sent(&host.ask(1));
    host.reply(attempts[0], event::Reply::Lost(event::Loss::Broken));
    let outputs = host.wait(50);
    let probed = outputs.iter().find_map(|output| match output {
        event::Output::Probe { server, .. } => Some(*server),
        _ => None,
    });
    let outputs = host.step(event::Input::Probed { server: probed.expect("a probe"), liveness });
    assert_eq!(crashed(&outputs).len(), crashes);
}

/// A probe holds one of the connections that a server accepts from this host, also when nothing comes of it.
#[test]
fn a_probe_holds_a_connection() {
    let mut view = view(1, 2);
    view.classes[0].idempotent = false;
    view.classes[0].branches[0].targets[0].replicas.truncate(1);
    let mut host = Host::new(view);
    host.warm_up();
    let attempts = sent(&host.ask(1));
    host.reply(attempts[0], event::Reply::Lost(event::Loss::Broken));
    let outputs = host.wait(50);
    assert!(outputs.iter().any(|output| matches!(output, event::Output::Probe { .. })));
    let mut busy = 0;
    for caller in 2..6 {
        busy += sent(&host.step(event::Input::Request(one_leaf::request(caller)))).len();
    }
    assert!(busy <= 1, "{busy} attempts beside the probe, where two connections are accepted");
    let mut outputs = host.wait(400);
    outputs.extend(host.step(event::Input::Request(one_leaf::request(6))));
    assert!(!sent(&outputs).is_empty(), "the connection does not come back");
    assert!(!outputs.iter().any(|output| matches!(output, event::Output::Breach(_))), "{outputs:?}");
}

/// A server died and started anew at its address before anybody asked it again: the new one says that it is another,
/// which is proof, and no reason to forget what was lost.
#[test]
fn another_server_at_the_address_proves_that_one_died() {
    let mut view = view(1, 8);
    view.classes[0].branches[0].targets[0].replicas.truncate(1);
    let mut host = Host::new(view);
    host.warm_up();
    let first = sent(&host.ask(1));
    let second = sent(&host.step(event::Input::Request(one_leaf::request(2))));
    host.reply(first[0], event::Reply::Lost(event::Loss::Broken));
    let outputs = host.reply(second[0], event::Reply::Misdirected);
    assert_eq!(crashed(&outputs), ["leaf-0-0@1"]);
}

/// A server that fails part of its requests answers 500 before it runs what would crash it. That speaks for nothing.
#[test]
fn a_failure_speaks_for_nobody() {
    let mut host = Host::new(view(1, 8));
    host.set(Some(Standing::Suspect { trial_at: clock::Millis(1) }));
    let trial = asked_trial(&host.ask(1)).expect("it asks for a trial");
    let attempts = sent(&host.step(event::Input::TrialGranted(trial)));
    let outputs = host.reply(attempts[0], event::Reply::Failed);
    assert!(!outputs.iter().any(|output| matches!(output, event::Output::Cleared(_))), "{outputs:?}");
}

/// A deployment has one server, which tells no incarnation and dies each time under the same name. Each death counts.
#[test]
fn a_server_without_an_incarnation_dies_more_than_once() {
    let mut view = view(1, 8);
    view.classes[0].idempotent = false;
    view.classes[0].branches[0].targets[0].replicas.truncate(1);
    view.servers.iter_mut().flatten().for_each(|server| server.incarnation = 0);
    let mut host = Host::new(view);
    let mut deaths = Vec::new();
    for caller in 1..4 {
        let attempts = sent(&host.ask(caller));
        host.reply(attempts[0], event::Reply::Lost(event::Loss::Broken));
        for output in host.wait(50) {
            if let event::Output::Probe { server, .. } = output {
                deaths.extend(crashed(&host.step(event::Input::Probed { server, liveness: event::Liveness::Dead })));
            }
        }
    }
    deaths.dedup();
    assert_eq!(deaths.len(), 3, "{deaths:?}");
}

/// A caller hangs up before its request has crashed its server, each time: a server that runs on all the same dies of
/// it, and that counts.
#[test]
fn what_a_caller_gave_up_counts_too() {
    let mut view = view(1, 8);
    view.classes[0].branches[0].targets[0].replicas.truncate(1);
    let mut host = Host::new(view);
    assert_eq!(sent(&host.ask(1)).len(), 1);
    host.step(event::Input::HangUp(id::Caller(1)));
    host.wait(50);
    let attempts = sent(&host.step(event::Input::Request(one_leaf::request(2))));
    let outputs = host.reply(attempts[0], event::Reply::NotSent);
    assert_eq!(crashed(&outputs), ["leaf-0-0@1"]);
}
