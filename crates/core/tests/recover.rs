//! Recovery after faults: measurements taken during a fault must not keep a core from serving afterwards.

#[expect(unreachable_pub, reason = "a module of this test alone")]
mod one_leaf;

use std::sync::Arc;

use compact_str::CompactString;
use shallothub_core::{
    clock, ratio,
    traffic::{self, event, note, policy},
    view,
};

/// Sends a request at `now`; leafs answer at once if `is_up`, else never. Returns the outcomes of completed requests.
fn send_request(core: &mut traffic::Core, now: clock::Millis, caller: u64, is_up: bool) -> Vec<event::Outcome> {
    let request = one_leaf::request(caller);
    let mut outputs = core.step(now, [event::Input::Request(request)]);
    let mut outcomes = Vec::new();
    while let Some(output) = outputs.pop() {
        match output {
            event::Output::Dispatch(dispatch) if is_up => {
                let snapshot = view::Snapshot { epoch: 1, version: 1 };
                let part = event::Part { snapshot, held: None, hits: 1, load: None, queue: None };
                let reply = event::Reply::Answered(part);
                outputs.extend(core.step(now, [event::Input::Reply { attempt: dispatch.attempt, reply }]));
            }
            event::Output::Answer(answer) => outcomes.push(answer.outcome),
            _ => {}
        }
    }
    outcomes
}

/// Guards against a host that refuses all requests after its leafs hung for a minute and recovered. From the missed
/// deadlines it expected each request to take that long, and as it admitted none, it never measured again.
#[test]
fn a_class_serves_again_after_all_its_leafs_hung() {
    let lane = traffic::Lane { index: 0, count: 1 };
    let mut core = traffic::Core::new(policy::Policy::default(), lane, 1, clock::Millis(1));
    core.step(clock::Millis(1), [event::Input::View(one_leaf::view(8))]);
    let mut now = clock::Millis(2);
    let mut caller = 0;
    while now < clock::Millis(60_000) {
        caller += 1;
        now = now + clock::Millis(5);
        send_request(&mut core, now, caller, false);
    }
    now = now + one_leaf::DEADLINE;
    core.step(now, [event::Input::Tick]);
    let mut answered = 0;
    for _ in 0..400 {
        caller += 1;
        now = now + clock::Millis(25);
        let outcomes = send_request(&mut core, now, caller, true);
        answered += usize::from(outcomes.contains(&event::Outcome::Answered));
    }
    // The leaf is ejected for up to 32 s after its failures, but is used if there is no other.
    assert!(answered > 350, "{answered} of 400 were answered");
}

/// Guards against sending an expired request. It waits for a backoff after a refusal when the host is stopped for five
/// seconds; on resuming, the end of the backoff was handled before the deadline, and the request was sent on an
/// outdated view, in which its leaf may have left.
#[test]
fn a_resumed_host_sends_no_expired_requests() {
    let lane = traffic::Lane { index: 0, count: 1 };
    let mut core = traffic::Core::new(policy::Policy::default(), lane, 1, clock::Millis(1));
    core.step(clock::Millis(1), [event::Input::View(one_leaf::view(8))]);
    let request = one_leaf::request(1);
    let outputs = core.step(clock::Millis(2), [event::Input::Request(request)]);
    let attempt = outputs.iter().find_map(|output| match output {
        event::Output::Dispatch(dispatch) => Some(dispatch.attempt),
        _ => None,
    });
    let reply = event::Reply::Refused { retry_after: None };
    core.step(clock::Millis(4), [event::Input::Reply { attempt: attempt.expect("sent"), reply }]);
    let outputs = core.step(clock::Millis(5000), [event::Input::Tick]);
    let sent = outputs.iter().filter(|output| matches!(output, event::Output::Dispatch(_))).count();
    let is_refused = outputs
        .iter()
        .any(|output| matches!(output, event::Output::Answer(answer) if answer.outcome == event::Outcome::NotRun));
    assert!(outputs.iter().any(|output| matches!(output, event::Output::Revalidate)));
    assert_eq!((sent, is_refused), (0, true), "{outputs:?}");
}

/// More requests with idempotency keys arrive than the key table holds. The next one is refused as not run, with a
/// retry delay; it must not be reported as a duplicate.
#[test]
fn a_full_key_table_refuses_new_keys() {
    let policy = policy::Policy { key_ceiling: 2, ..policy::Policy::default() };
    let mut core = traffic::Core::new(policy, traffic::Lane { index: 0, count: 1 }, 1, clock::Millis(1));
    let mut view = view::View::clone(&one_leaf::view(8));
    view.classes[0].idempotent = false;
    core.step(clock::Millis(1), [event::Input::View(Arc::new(view))]);
    let mut codes = Vec::new();
    for caller in 1..=3 {
        let key = Some(compact_str::format_compact!("letter-{caller}"));
        let request = event::Request { key, ..one_leaf::request(caller) };
        for output in core.step(clock::Millis(2), [event::Input::Request(request)]) {
            if let event::Output::Answer(answer) = output {
                codes.push((answer.caller.0, answer.outcome, answer.code, answer.retry_after.is_some()));
            }
        }
    }
    assert_eq!(codes, [(3, event::Outcome::NotRun, event::Code::Overloaded, true)]);
}

/// A host is stopped for five seconds, as happens to virtual machines, and its view may be outdated: the leaf may have
/// left. Until the view is confirmed, requests that are not idempotent are refused with a retry delay; others
/// are not.
#[test]
fn a_resumed_host_refuses_non_idempotent_requests_before_its_view_is_confirmed() {
    let mut core =
        traffic::Core::new(policy::Policy::default(), traffic::Lane { index: 0, count: 1 }, 1, clock::Millis(1));
    let mut view = view::View::clone(&one_leaf::view(8));
    view.classes[0].idempotent = false;
    core.step(clock::Millis(1), [event::Input::View(Arc::new(view))]);
    core.step(clock::Millis(2), [event::Input::Tick]);
    let mut send = |now: u64, caller: u64, is_confirmed: bool| {
        let key = Some(compact_str::format_compact!("letter-{caller}"));
        let request = event::Request { key, ..one_leaf::request(caller) };
        let mut inputs = vec![event::Input::Request(request)];
        if is_confirmed {
            inputs.insert(0, event::Input::Revalidated);
        }
        let outputs = core.step(clock::Millis(now), inputs);
        let sent = outputs.iter().any(|output| matches!(output, event::Output::Dispatch(_)));
        let answer = outputs.iter().find_map(|output| match output {
            event::Output::Answer(answer) => Some((answer.outcome, answer.code, answer.retry_after.is_some())),
            _ => None,
        });
        (sent, answer)
    };
    let refused = Some((event::Outcome::NotRun, event::Code::Revalidating, true));
    assert_eq!(send(5000, 1, false), (false, refused));
    assert_eq!(send(5001, 2, false), (false, refused));
    assert_eq!(send(5002, 3, true), (true, None));
}

/// All four leafs of a service fail for a while. At most half of them are ejected at once; if all were, the first to
/// be restored would receive all requests.
#[test]
fn at_most_half_of_the_leafs_are_ejected() {
    let mut core =
        traffic::Core::new(policy::Policy::default(), traffic::Lane { index: 0, count: 1 }, 1, clock::Millis(1));
    let mut view = view::View::clone(&one_leaf::view(8));
    let mut registry = view::Registry::default();
    let mut replicas = Vec::new();
    let mut servers = Vec::new();
    for leaf in 0..4 {
        let name = compact_str::format_compact!("leaf-{leaf}");
        replicas.push(registry.intern(&name));
        servers.push(Some(view::Server { name, ..view.servers[0].clone().expect("the leaf") }));
    }
    view.servers = servers;
    view.classes[0].branches[0].targets[0].replicas = replicas;
    core.step(clock::Millis(1), [event::Input::View(Arc::new(view))]);
    let mut ejected_until = indexmap::IndexMap::<CompactString, clock::Millis>::new();
    let mut peak = 0;
    let mut now = clock::Millis(2);
    for caller in 1..2000 {
        now = now + clock::Millis(10);
        let request = one_leaf::request(caller);
        let mut outputs = core.step(now, [event::Input::Request(request)]);
        while let Some(output) = outputs.pop() {
            match output {
                event::Output::Dispatch(dispatch) => {
                    let reply = event::Reply::Failed;
                    outputs.extend(core.step(now, [event::Input::Reply { attempt: dispatch.attempt, reply }]));
                }
                event::Output::Note(note::Note::Ejected { server, pause }) => {
                    ejected_until.insert(server, now + pause);
                    peak = peak.max(ejected_until.values().filter(|until| **until > now).count());
                }
                _ => {}
            }
        }
    }
    assert_eq!(peak, 2);
}

/// A leaf fails until it is ejected and recovers later. Both changes are reported for the log.
#[test]
fn the_ejection_and_the_return_of_a_server_are_reported() {
    let lane = traffic::Lane { index: 0, count: 1 };
    let policy = policy::Policy { ejection_ceiling: ratio::Ratio::ONE, ..policy::Policy::default() };
    let mut core = traffic::Core::new(policy, lane, 1, clock::Millis(1));
    core.step(clock::Millis(1), [event::Input::View(one_leaf::view(8))]);
    let mut notes = Vec::new();
    for round in 1..2000_u64 {
        let now = clock::Millis(round * 10);
        let request = one_leaf::request(round);
        let mut outputs = core.step(now, [event::Input::Request(request)]);
        while let Some(output) = outputs.pop() {
            match output {
                event::Output::Dispatch(dispatch) => {
                    let snapshot = view::Snapshot { epoch: 1, version: 1 };
                    let part = event::Part { snapshot, held: None, hits: 1, load: None, queue: None };
                    let reply = if round < 500 { event::Reply::NotSent } else { event::Reply::Answered(part) };
                    outputs.extend(core.step(now, [event::Input::Reply { attempt: dispatch.attempt, reply }]));
                }
                event::Output::Note(note) => notes.push(note),
                _ => {}
            }
        }
    }
    let first = |predicate: fn(&note::Note) -> bool| notes.iter().position(predicate);
    let ejected = first(|note| matches!(note, note::Note::Ejected { .. })).expect("an ejection");
    let restored = first(|note| matches!(note, note::Note::Restored { .. })).expect("a return");
    assert!(ejected < restored);
    assert_eq!(notes.iter().filter(|note| matches!(note, note::Note::Restored { .. })).count(), 1);
}
