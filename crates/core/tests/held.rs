//! Handling of suspect and held requests, and detection of server crashes, at one host.

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

const SUSPECT: Fingerprint = Fingerprint(1);

fn view(shards: usize, connections: u32) -> view::View {
    sharded::view(shards, 2, connections)
}

/// One host and its clock, in ms.
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

    fn send_request(&mut self, caller: u64) -> Vec<event::Output> {
        let request = event::Request { fingerprint: Some(SUSPECT), ..one_leaf::request(caller) };
        self.step(event::Input::Request(request))
    }

    /// Delivers the standing of the request from the control core.
    fn set_standing(&mut self, standing: Option<Standing>) -> Vec<event::Output> {
        let suspects = standing.map(|standing| (SUSPECT, standing)).into_iter().collect();
        self.step(event::Input::Suspects(Arc::new(suspects)))
    }

    fn reply(&mut self, attempt: id::Attempt, reply: event::Reply) -> Vec<event::Output> {
        self.step(event::Input::Reply { attempt, reply })
    }

    /// Serves harmless requests until the servers' limits have grown and the hedge budgets are full.
    fn warm_up(&mut self) {
        for caller in 1000..1100 {
            for attempt in sent(&self.step(event::Input::Request(one_leaf::request(caller)))) {
                self.now += 1;
                self.reply(attempt, answered());
            }
        }
    }

    /// Ticks every ms for `span` ms.
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

fn requested_trial(outputs: &[event::Output]) -> Option<Trial> {
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

/// A request runs on all shards when its host learns that it crashes servers: its attempts must be cancelled, so that
/// the other servers don't crash too, and its caller must get `Unknown`.
#[test]
fn running_attempts_are_cancelled_when_a_request_is_held() {
    let mut host = Host::new(view(6, 8));
    let outputs = host.send_request(1);
    assert_eq!(sent(&outputs).len(), 6);
    let outputs = host.set_standing(held(5000));
    assert_eq!(cancelled(&outputs), 6);
    assert_eq!(answers(&outputs), [(event::Outcome::Unknown, event::Code::AttemptLost)]);
}

/// A request is queued for busy servers when it becomes known to crash them. It must not be sent after that.
#[rstest]
#[case::suspect(Standing::Suspect { trial_at: clock::Millis(5000) })]
#[case::held(Standing::Held { trial_at: clock::Millis(5000) })]
fn a_queued_request_is_not_sent_once_it_is_suspect(#[case] standing: Standing) {
    let mut host = Host::new(view(1, 1));
    let first = sent(&host.step(event::Input::Request(one_leaf::request(1))));
    let second = sent(&host.step(event::Input::Request(one_leaf::request(2))));
    assert_eq!((first.len(), second.len()), (1, 1));
    assert!(sent(&host.send_request(3)).is_empty());
    let mut outputs = host.set_standing(Some(standing));
    outputs.extend(host.reply(first[0], answered()));
    assert!(sent(&outputs).is_empty());
    assert_eq!(answers(&outputs)[0], (event::Outcome::NotRun, event::Code::CrashesServers));
}

/// A server answered the request before it was held: it does not crash servers, and must go on.
#[test]
fn a_request_that_a_server_answered_is_not_cancelled() {
    let mut host = Host::new(view(2, 8));
    let attempts = sent(&host.send_request(1));
    host.reply(attempts[0], answered());
    let outputs = host.set_standing(held(5000));
    assert!(outputs.iter().any(|output| matches!(output, event::Output::Cleared(SUSPECT))));
    assert_eq!(cancelled(&outputs), 0);
    let outputs = host.reply(attempts[1], answered());
    assert_eq!(answers(&outputs), [(event::Outcome::Answered, event::Code::Ok)]);
}

/// A request becomes suspect while it runs: a server that does not reply may be crashing on it, and a second one must
/// not get it.
#[test]
fn a_suspect_is_not_hedged() {
    let mut host = Host::new(view(1, 8));
    host.warm_up();
    assert_eq!(sent(&host.send_request(1)).len(), 1);
    host.set_standing(Some(Standing::Suspect { trial_at: clock::Millis(5000) }));
    assert!(sent(&host.wait(200)).is_empty());
}

/// A request runs on all shards when its host learns that one server crashed on it: the others may still answer.
#[test]
fn running_attempts_continue_when_a_request_is_suspect() {
    let mut host = Host::new(view(6, 8));
    let attempts = sent(&host.send_request(1));
    let outputs = host.set_standing(Some(Standing::Suspect { trial_at: clock::Millis(5000) }));
    assert_eq!(cancelled(&outputs), 0);
    for attempt in &attempts[..5] {
        assert!(answers(&host.reply(*attempt, answered())).is_empty());
    }
    assert_eq!(answers(&host.reply(attempts[5], answered())), [(event::Outcome::Answered, event::Code::Ok)]);
}

/// A suspect or held request must reach no server before a trial is granted, and then only one. While the trial is
/// pending or runs, further requests are refused.
#[rstest]
#[case::suspect(Standing::Suspect { trial_at: clock::Millis(1) })]
#[case::held(Standing::Held { trial_at: clock::Millis(1) })]
fn a_trial_reaches_one_server(#[case] standing: Standing) {
    let mut host = Host::new(view(3, 8));
    host.set_standing(Some(standing));
    let outputs = host.send_request(1);
    assert!(sent(&outputs).is_empty() && answers(&outputs).is_empty());
    let trial = requested_trial(&outputs).expect("a trial is requested");
    let refused = [(event::Outcome::NotRun, event::Code::CrashesServers)];
    assert_eq!(answers(&host.send_request(2)), refused);
    // The new standing arrives before the grant itself.
    assert!(answers(&host.set_standing(held(2000))).is_empty());
    let attempts = sent(&host.step(event::Input::TrialGranted(trial)));
    assert_eq!(attempts.len(), 1);
    assert_eq!(answers(&host.send_request(3)), refused);
    let outputs = host.reply(attempts[0], event::Reply::Refused { retry_after: None });
    assert!(sent(&outputs).is_empty());
    assert_eq!(answers(&outputs), refused);
}

/// The first server of a trial answers: the request is cleared and must be sent to its other shards.
#[test]
fn a_trial_that_is_answered_goes_to_all_shards() {
    let mut host = Host::new(view(3, 8));
    host.set_standing(held(1));
    let trial = requested_trial(&host.send_request(1)).expect("a trial is requested");
    let attempts = sent(&host.step(event::Input::TrialGranted(trial)));
    let outputs = host.reply(attempts[0], answered());
    assert!(outputs.iter().any(|output| matches!(output, event::Output::Cleared(SUSPECT))));
    let attempts = sent(&outputs);
    assert_eq!(attempts.len(), 2);
    host.reply(attempts[0], answered());
    let outputs = host.reply(attempts[1], answered());
    assert_eq!(answers(&outputs), [(event::Outcome::Answered, event::Code::Ok)]);
}

/// A trial is not granted, since another one runs or a message was lost: the caller must be refused at once, and a late
/// grant must send nothing.
#[test]
fn a_trial_without_a_grant_is_refused() {
    let mut host = Host::new(view(1, 8));
    host.set_standing(held(1));
    let trial = requested_trial(&host.send_request(1)).expect("a trial is requested");
    let outputs = host.wait(100);
    assert_eq!(answers(&outputs), [(event::Outcome::NotRun, event::Code::CrashesServers)]);
    assert!(sent(&host.step(event::Input::TrialGranted(trial))).is_empty());
}

/// No server of a trial could be reached: the trial must be reported as unused, so that it does not count.
#[test]
fn a_trial_that_reached_no_server_is_reported_as_unused() {
    let mut host = Host::new(view(1, 8));
    host.set_standing(held(1));
    let trial = requested_trial(&host.send_request(1)).expect("a trial is requested");
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
    panic!("the trial was not reported as unused");
}

/// A server crashed and gets no other requests: a probe whose connection is refused must prove the crash.
#[rstest]
#[case::dead(event::Liveness::Dead, 1)]
#[case::alive(event::Liveness::Listening, 0)]
#[case::unknown(event::Liveness::Unknown, 0)]
fn a_refused_connection_proves_a_crash(#[case] liveness: event::Liveness, #[case] crashes: usize) {
    let mut view = view(1, 8);
    view.classes[0].idempotent = false;
    let mut host = Host::new(view);
    let attempts = sent(&host.send_request(1));
    host.reply(attempts[0], event::Reply::Lost(event::Loss::Broken));
    let outputs = host.wait(50);
    let probed = outputs.iter().find_map(|output| match output {
        event::Output::Probe { server, .. } => Some(*server),
        _ => None,
    });
    let outputs = host.step(event::Input::Probed { server: probed.expect("a probe"), liveness });
    assert_eq!(crashed(&outputs).len(), crashes);
}

/// A probe must count against the connections that a server accepts from this host, also if it gets no result.
#[test]
fn a_probe_holds_a_connection() {
    let mut view = view(1, 2);
    view.classes[0].idempotent = false;
    view.classes[0].branches[0].targets[0].replicas.truncate(1);
    let mut host = Host::new(view);
    host.warm_up();
    let attempts = sent(&host.send_request(1));
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
    assert!(!sent(&outputs).is_empty(), "the connection of the probe was not released");
    assert!(!outputs.iter().any(|output| matches!(output, event::Output::Breach(_))), "{outputs:?}");
}

/// A server crashed and restarted at its address before the next request: `Misdirected` from the new incarnation must
/// count as proof of the crash, and must not discard the lost attempts.
#[test]
fn a_new_server_at_the_address_proves_a_crash() {
    let mut view = view(1, 8);
    view.classes[0].branches[0].targets[0].replicas.truncate(1);
    let mut host = Host::new(view);
    host.warm_up();
    let first = sent(&host.send_request(1));
    let second = sent(&host.step(event::Input::Request(one_leaf::request(2))));
    host.reply(first[0], event::Reply::Lost(event::Loss::Broken));
    let outputs = host.reply(second[0], event::Reply::Misdirected);
    assert_eq!(crashed(&outputs), ["leaf-0-0@1"]);
}

/// A server that fails part of its requests may answer 500 before it runs the crashing request: this must not clear it.
#[test]
fn a_failed_reply_does_not_clear_a_suspect() {
    let mut host = Host::new(view(1, 8));
    host.set_standing(Some(Standing::Suspect { trial_at: clock::Millis(1) }));
    let trial = requested_trial(&host.send_request(1)).expect("a trial is requested");
    let attempts = sent(&host.step(event::Input::TrialGranted(trial)));
    let outputs = host.reply(attempts[0], event::Reply::Failed);
    assert!(!outputs.iter().any(|output| matches!(output, event::Output::Cleared(_))), "{outputs:?}");
}

/// A server that reports no incarnation crashes repeatedly under the same name: each crash must count.
#[test]
fn each_crash_of_a_server_without_incarnations_counts() {
    let mut view = view(1, 8);
    view.classes[0].idempotent = false;
    view.classes[0].branches[0].targets[0].replicas.truncate(1);
    view.servers.iter_mut().flatten().for_each(|server| server.incarnation = 0);
    let mut host = Host::new(view);
    let mut reported = Vec::new();
    for caller in 1..4 {
        let attempts = sent(&host.send_request(caller));
        host.reply(attempts[0], event::Reply::Lost(event::Loss::Broken));
        for output in host.wait(50) {
            if let event::Output::Probe { server, .. } = output {
                reported.extend(crashed(&host.step(event::Input::Probed { server, liveness: event::Liveness::Dead })));
            }
        }
    }
    reported.dedup();
    assert_eq!(reported.len(), 3, "{reported:?}");
}

/// A caller hangs up before its request crashes the server, which still runs it: the crash must count.
#[test]
fn a_crash_after_the_caller_hung_up_counts() {
    let mut view = view(1, 8);
    view.classes[0].branches[0].targets[0].replicas.truncate(1);
    let mut host = Host::new(view);
    assert_eq!(sent(&host.send_request(1)).len(), 1);
    host.step(event::Input::HangUp(id::Caller(1)));
    host.wait(50);
    let attempts = sent(&host.step(event::Input::Request(one_leaf::request(2))));
    let outputs = host.reply(attempts[0], event::Reply::NotSent);
    assert_eq!(crashed(&outputs), ["leaf-0-0@1"]);
}
