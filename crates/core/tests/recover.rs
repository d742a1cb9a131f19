//! Coming back after trouble: whatever a core learned in bad times must not keep it from serving in
//! good ones.

#[expect(unreachable_pub, reason = "a module of this test alone")]
mod one_leaf;

use std::sync::Arc;

use compact_str::CompactString;
use shallothub_core::{
    clock, ratio,
    traffic::{self, event, note, policy},
    view,
};

/// One request at `now`; leafs answer at once, or never. The outcomes of whatever ended.
fn ask(core: &mut traffic::Core, now: clock::Millis, caller: u64, is_up: bool) -> Vec<event::Outcome> {
    let request = one_leaf::request(caller);
    let mut outputs = core.step(now, [event::Input::Request(request)]);
    let mut ended = Vec::new();
    while let Some(output) = outputs.pop() {
        match output {
            event::Output::Dispatch(dispatch) if is_up => {
                let snapshot = view::Snapshot { epoch: 1, version: 1 };
                let part = event::Part { snapshot, held: None, hits: 1, load: None, queue: None };
                let reply = event::Reply::Answered(part);
                outputs.extend(core.step(now, [event::Input::Reply { attempt: dispatch.attempt, reply }]));
            }
            event::Output::Answer(answer) => ended.push(answer.outcome),
            _ => {}
        }
    }
    ended
}

/// All leafs of a service hang for a minute, and every sweep runs into its deadline. Then they are
/// well again, but the host goes on refusing each request at once: it expects a run to take as long
/// as the deadline, and as it lets nothing run, it never learns better.
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
        ask(&mut core, now, caller, false);
    }
    now = now + one_leaf::DEADLINE;
    core.step(now, [event::Input::Tick]);
    let mut answered = 0;
    for _ in 0..400 {
        caller += 1;
        now = now + clock::Millis(25);
        let ended = ask(&mut core, now, caller, true);
        answered += usize::from(ended.contains(&event::Outcome::Answered));
    }
    // The leaf was left out for up to 32 s after its failures, but with no other to ask it is asked.
    assert!(answered > 350, "{answered} of 400 were answered");
}

/// An editor's check waits for a backoff after its leaf refused it, and just then the host is stopped
/// for five seconds. On waking, the backoff is over before the deadline is looked at, so the check,
/// which nobody waits for any more, was sent, on a view in which its leaf may long have left.
#[test]
fn a_host_that_wakes_sends_nothing_that_expired() {
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
    let told = outputs
        .iter()
        .any(|output| matches!(output, event::Output::Answer(answer) if answer.outcome == event::Outcome::NotRun));
    assert!(outputs.iter().any(|output| matches!(output, event::Output::Revalidate)));
    assert_eq!((sent, told), (0, true), "{outputs:?}");
}

/// Many letters come within a minute, more than a host can remember the keys of. The next one is told
/// that it was not run and when to come back; it must not be told that its key ran.
#[test]
fn a_full_memory_of_keys_refuses_and_says_so() {
    let policy = policy::Policy { key_ceiling: 2, ..policy::Policy::default() };
    let mut core = traffic::Core::new(policy, traffic::Lane { index: 0, count: 1 }, 1, clock::Millis(1));
    let mut letters = view::View::clone(&one_leaf::view(8));
    letters.classes[0].idempotent = false;
    core.step(clock::Millis(1), [event::Input::View(Arc::new(letters))]);
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

/// A host is stopped for five seconds, as virtual machines are. Its view may be old: the leaf may have
/// left. A letter, which may run once only, waits for the view to be found fresh; its sender is told to
/// come back. Lookups do not.
#[test]
fn a_host_that_wakes_takes_no_letters_before_its_view_is_confirmed() {
    let mut core =
        traffic::Core::new(policy::Policy::default(), traffic::Lane { index: 0, count: 1 }, 1, clock::Millis(1));
    let mut letters = view::View::clone(&one_leaf::view(8));
    letters.classes[0].idempotent = false;
    core.step(clock::Millis(1), [event::Input::View(Arc::new(letters))]);
    core.step(clock::Millis(2), [event::Input::Tick]);
    let mut send = |now: u64, caller: u64, confirmed: bool| {
        let key = Some(compact_str::format_compact!("letter-{caller}"));
        let request = event::Request { key, ..one_leaf::request(caller) };
        let mut inputs = vec![event::Input::Request(request)];
        if confirmed {
            inputs.insert(0, event::Input::Revalidated);
        }
        let outputs = core.step(clock::Millis(now), inputs);
        let sent = outputs.iter().any(|output| matches!(output, event::Output::Dispatch(_)));
        let told = outputs.iter().find_map(|output| match output {
            event::Output::Answer(answer) => Some((answer.outcome, answer.code, answer.retry_after.is_some())),
            _ => None,
        });
        (sent, told)
    };
    let refused = Some((event::Outcome::NotRun, event::Code::Revalidating, true));
    assert_eq!(send(5000, 1, false), (false, refused));
    assert_eq!(send(5001, 2, false), (false, refused));
    assert_eq!(send(5002, 3, true), (true, None));
}

/// All four leafs of a service fail for a while. If all were left out, the first to come back would get
/// everything; so no more than half of them are out at once.
#[test]
fn no_more_than_half_of_the_leafs_are_left_out() {
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
    let mut out_until = indexmap::IndexMap::<CompactString, clock::Millis>::new();
    let mut most = 0;
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
                    out_until.insert(server, now + pause);
                    most = most.max(out_until.values().filter(|until| **until > now).count());
                }
                _ => {}
            }
        }
    }
    assert_eq!(most, 2);
}

/// A leaf fails until it is left out, and is well again later. Whoever reads the log finds both.
#[test]
fn a_server_left_out_and_its_return_are_told() {
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
    let first = |wanted: fn(&note::Note) -> bool| notes.iter().position(wanted);
    let out = first(|note| matches!(note, note::Note::Ejected { .. })).expect("it was left out");
    let back = first(|note| matches!(note, note::Note::Restored { .. })).expect("it is back");
    assert!(out < back);
    assert_eq!(notes.iter().filter(|note| matches!(note, note::Note::Restored { .. })).count(), 1);
}
