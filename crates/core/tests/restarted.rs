//! A server restarts under the same name and without its previous state.

#[expect(unreachable_pub, reason = "a module of this test alone")]
mod one_leaf;

use std::sync::Arc;

use rstest::rstest;
use shallothub_core::{
    clock,
    traffic::{self, event, policy},
    view,
};

/// A view of a leaf with this incarnation, and of a second replica if `leafs` is 2, at this host list `revision`.
fn view(incarnation: u64, revision: u64, is_idempotent: bool, leafs: usize) -> event::Input {
    let mut view = view::View::clone(&one_leaf::view(8));
    let mut registry = view::Registry::default();
    let first = view.servers[0].clone().expect("a leaf");
    view.servers.clear();
    let class = view.classes.get_mut("ask").expect("a class");
    class.idempotent = is_idempotent;
    class.branches[0].targets[0].replicas.clear();
    for leaf in 0..leafs {
        let name = compact_str::format_compact!("leaf{leaf}");
        class.branches[0].targets[0].replicas.push(registry.intern(&name));
        let incarnation = if leaf == 0 { incarnation } else { 1 };
        view.servers.push(Some(view::Server { name, incarnation, ..first.clone() }));
    }
    view.hosts_revision = view::Stamp { version: revision, digest: 1, ..view::Stamp::default() };
    event::Input::View(Arc::new(view))
}

fn core() -> traffic::Core {
    let policy = policy::Policy { score_band: 1.5, ..policy::Policy::default() };
    traffic::Core::new(policy, traffic::Lane { index: 0, count: 1 }, 1, clock::Millis(1))
}

fn request(caller: u64) -> event::Input {
    event::Input::Request(one_leaf::request(caller))
}

fn dispatched(outputs: &[event::Output]) -> Vec<&event::Dispatch> {
    let mut dispatched = Vec::new();
    for output in outputs {
        if let event::Output::Dispatch(dispatch) = output {
            dispatched.push(dispatch);
        }
    }
    dispatched
}

fn answers(outputs: &[event::Output]) -> Vec<(event::Outcome, event::Code)> {
    let answer = |output: &event::Output| match output {
        event::Output::Answer(answer) => Some((answer.outcome, answer.code)),
        _ => None,
    };
    outputs.iter().filter_map(answer).collect()
}

/// Sends a request at `now`. Attempts are answered after 5 ms, or lost at the first leaf if `is_hung`. Returns the
/// number of attempts to the first leaf.
fn serve(core: &mut traffic::Core, now: u64, caller: u64, is_hung: bool) -> usize {
    let now = clock::Millis(now);
    let mut outputs = core.step(now, [request(caller)]);
    let mut to_first = 0;
    while let Some(output) = outputs.pop() {
        let event::Output::Dispatch(dispatch) = output else {
            continue;
        };
        let is_first = dispatch.server.0 == 0;
        to_first += usize::from(is_first);
        let snapshot = view::Snapshot { epoch: 1, version: 1 };
        let part = event::Part { snapshot, held: None, hits: 1, load: None, queue: None };
        let reply =
            if is_first && is_hung { event::Reply::Lost(event::Loss::Broken) } else { event::Reply::Answered(part) };
        let replied_at = now + clock::Millis(5);
        outputs.extend(core.step(replied_at, [event::Input::Reply { attempt: dispatch.attempt, reply }]));
    }
    to_first
}

/// A leaf hung and was avoided and ejected. After a restart it gets requests at once: measurements of the previous
/// incarnation do not apply to the new one.
#[test]
fn a_restarted_leaf_is_not_rated_by_its_previous_incarnation() {
    let mut core = core();
    core.step(clock::Millis(1), [view(1, 1, true, 2)]);
    let to_first: Vec<usize> = (1..80).map(|caller| serve(&mut core, caller * 10, caller, true)).collect();
    assert_eq!(to_first[60..].iter().sum::<usize>(), 0, "a hung leaf still gets requests");
    core.step(clock::Millis(800), [view(2, 2, true, 2)]);
    let to_first: usize = (100..110).map(|caller| serve(&mut core, caller * 10, caller, false)).sum();
    assert!(to_first > 2, "the new incarnation gets too few requests");
}

/// An attempt is in flight at a leaf that loses power and restarts, so no reply will come. It is retried at the other
/// replica as soon as the new incarnation is known, not after the silence timeout.
#[test]
fn attempts_in_flight_are_retried_at_another_replica_at_once() {
    let mut core = core();
    core.step(clock::Millis(1), [view(1, 1, true, 2)]);
    let outputs = core.step(clock::Millis(10), [request(1)]);
    let first = dispatched(&outputs)[0].server;
    let (first_incarnation, second_incarnation) = if first.0 == 0 { (2, 1) } else { (1, 2) };
    let mut view = view(first_incarnation, 2, true, 2);
    if let event::Input::View(view) = &mut view
        && let Some(server) = &mut Arc::get_mut(view).expect("one owner").servers[1]
    {
        server.incarnation = second_incarnation;
    }
    let outputs = core.step(clock::Millis(20), [view]);
    assert!(outputs.iter().any(|output| matches!(output, event::Output::Cancel { .. })));
    let retries = dispatched(&outputs);
    assert_eq!(retries.len(), 1);
    assert_ne!(retries[0].server, first);
    assert!(answers(&outputs).is_empty());
}

/// The same with a request that is not idempotent: the caller gets an unknown outcome at once instead of waiting for
/// the whole deadline, and the request is not sent to the new incarnation.
#[test]
fn a_non_idempotent_request_in_flight_is_not_sent_again() {
    let mut core = core();
    core.step(clock::Millis(1), [view(1, 1, false, 1)]);
    assert_eq!(dispatched(&core.step(clock::Millis(10), [request(1)])).len(), 1);
    let outputs = core.step(clock::Millis(20), [view(2, 2, false, 1)]);
    assert!(dispatched(&outputs).is_empty());
    assert_eq!(answers(&outputs), [(event::Outcome::Unknown, event::Code::AttemptLost)]);
}

/// Pooled connections to the previous incarnation get no reply or a reset, and a request that is not idempotent would
/// end with an unknown outcome on them.
#[test]
fn connections_to_the_previous_incarnation_are_closed() {
    let mut core = core();
    core.step(clock::Millis(1), [view(1, 1, true, 1)]);
    let outputs = core.step(clock::Millis(20), [view(2, 2, true, 1)]);
    let kept: Vec<u32> = outputs
        .iter()
        .filter_map(|output| match output {
            event::Output::Trim { limit, .. } => Some(*limit),
            _ => None,
        })
        .collect();
    assert_eq!(kept, [0, 8]);
}

/// A newer list with the same incarnation closes no connections and cancels no attempts.
#[rstest]
#[case::without_incarnation(0)]
#[case::with_incarnation(1)]
fn a_newer_list_with_the_same_incarnation_cancels_nothing(#[case] incarnation: u64) {
    let mut core = core();
    core.step(clock::Millis(1), [view(incarnation, 1, true, 1)]);
    core.step(clock::Millis(10), [request(1)]);
    let outputs = core.step(clock::Millis(20), [view(incarnation, 2, true, 1)]);
    assert!(!outputs.iter().any(|output| matches!(output, event::Output::Trim { .. } | event::Output::Cancel { .. })));
}

/// A view with one leaf at `address` that reports no incarnation, or with no leaf if `address` is `None`.
fn view_at(address: Option<&'static str>, revision: u64) -> event::Input {
    let event::Input::View(view) = view(0, revision, true, 1) else {
        unreachable!("`view` returns `Input::View`");
    };
    let mut view = view::View::clone(&view);
    match (address, &mut view.servers[0]) {
        (Some(address), Some(server)) => server.address = address.into(),
        (_, server) => *server = None,
    }
    event::Input::View(Arc::new(view))
}

/// Guards against a server without an incarnation staying excluded after a misdirected reply from its former address,
/// even though the list has since given it a new address.
#[rstest]
fn a_server_with_another_address_is_used_again(#[values(true, false)] stays_listed: bool) {
    let mut core = core();
    core.step(clock::Millis(1), [view_at(Some("former"), 1)]);
    let outputs = core.step(clock::Millis(2), [request(1)]);
    let attempt = dispatched(&outputs)[0].attempt;
    core.step(clock::Millis(3), [event::Input::Reply { attempt, reply: event::Reply::Misdirected }]);
    let outputs = core.step(clock::Millis(4), [view_at(Some("former"), 2), request(2)]);
    assert!(dispatched(&outputs).is_empty(), "a request was sent to the address of another server");
    if !stays_listed {
        core.step(clock::Millis(5), [view_at(None, 3)]);
    }
    let outputs = core.step(clock::Millis(6), [view_at(Some("latter"), 4), request(3)]);
    assert_eq!(dispatched(&outputs).len(), 1, "no request was sent to the new address");
}

/// Guards against a late misdirected reply from a server's former address excluding the server at its new address.
#[test]
fn a_late_misdirected_reply_does_not_exclude_the_new_address() {
    let mut core = core();
    core.step(clock::Millis(1), [view_at(Some("former"), 1)]);
    let outputs = core.step(clock::Millis(2), [request(1)]);
    let attempt = dispatched(&outputs)[0].attempt;
    core.step(clock::Millis(3), [view_at(Some("latter"), 2)]);
    core.step(clock::Millis(4), [event::Input::Reply { attempt, reply: event::Reply::Misdirected }]);
    let outputs = core.step(clock::Millis(600), [view_at(Some("latter"), 3), request(2)]);
    assert_eq!(dispatched(&outputs).len(), 1, "no request was sent to the new address");
}
