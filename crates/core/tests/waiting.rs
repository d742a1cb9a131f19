//! The order in which requests that wait at a server are sent.

#[expect(unreachable_pub, reason = "a module of this test alone")]
mod one_leaf;

use std::sync::Arc;

use compact_str::CompactString;
use shallothub_core::{
    clock, id,
    traffic::{self, event, policy},
    urgency::Policy,
    view,
};

/// A core with one leaf that takes one request at a time, and the classes `ask` and `idle` of the highest and the lowest
/// priority.
fn core(urgency: Option<Policy>) -> traffic::Core {
    let mut view = view::View::clone(&one_leaf::view(1));
    let idle = view::Class { name: CompactString::const_new("idle"), priority: 3, ..view.classes[0].clone() };
    view.classes.insert(idle.name.clone(), idle);
    for class in view.classes.values_mut() {
        class.deadline = clock::Millis(60_000);
    }
    let policy = policy::Policy { urgency, adaptive_admission: false, ..policy::Policy::default() };
    let mut core = traffic::Core::new(policy, traffic::Lane { index: 0, count: 1 }, 1, clock::Millis(1));
    core.step(clock::Millis(1), [event::Input::View(Arc::new(view))]);
    core
}

fn dispatched(outputs: Vec<event::Output>) -> Option<(id::Attempt, id::Caller)> {
    outputs.into_iter().find_map(|output| match output {
        event::Output::Dispatch(dispatch) => Some((dispatch.attempt, dispatch.caller)),
        _ => None,
    })
}

fn answered(attempt: id::Attempt) -> event::Input {
    let snapshot = view::Snapshot { epoch: 1, version: 1 };
    let part = event::Part { snapshot, held: None, hits: 1, load: None, queue: None };
    event::Input::Reply { attempt, reply: event::Reply::Answered(part) }
}

/// Number of requests of the highest priority that are sent before one of the lowest, if 40 wait. With `swapped`, a new
/// view swaps the priorities while they wait.
fn sent_before(urgency: Option<Policy>, is_swapped: bool) -> usize {
    const LAST: u64 = 42;
    let mut core = core(urgency);
    let mut next = dispatched(core.step(clock::Millis(2), [event::Input::Request(one_leaf::request(1))]));
    for caller in 2..LAST {
        core.step(clock::Millis(2), [event::Input::Request(one_leaf::request(caller))]);
    }
    let idle = event::Request { class: CompactString::const_new("idle"), ..one_leaf::request(LAST) };
    core.step(clock::Millis(2), [event::Input::Request(idle)]);
    if is_swapped {
        let mut view = view::View::clone(core.view());
        view.stamp.version += 1;
        view.hosts_revision.version += 1;
        view.classes[0].priority = 3;
        view.classes[1].priority = 0;
        core.step(clock::Millis(3), [event::Input::View(Arc::new(view))]);
    }
    for sent in 0..LAST {
        let (attempt, caller) = next.expect("a request was sent");
        if caller == id::Caller(LAST) {
            return sent as usize;
        }
        next = dispatched(core.step(clock::Millis(10 + sent), [answered(attempt)]));
    }
    unreachable!("the last request was sent")
}

/// Guards against strict priority that starves the last class at a server while others keep it busy. Without admission by
/// urgency, the order stays strict.
#[test]
fn each_waiting_priority_gets_some_sends() {
    let with = sent_before(Some(Policy::default()), false);
    assert!((10..=18).contains(&with), "{with} sent before");
    assert_eq!(sent_before(None, false), 41);
}

/// Guards against requests that keep their place under old priorities when a new view reverses these.
#[test]
fn a_new_view_orders_waiting_requests() {
    assert_eq!(sent_before(Some(Policy::default()), true), 1);
}

/// A core that runs one query at a time, with one that runs and three that wait.
fn waiting_core() -> (traffic::Core, id::Attempt) {
    let policy = policy::Policy { adaptive_admission: false, running_ceiling: 1, ..policy::Policy::default() };
    let mut core = traffic::Core::new(policy, traffic::Lane { index: 0, count: 1 }, 1, clock::Millis(1));
    core.step(clock::Millis(1), [event::Input::View(one_leaf::view(9))]);
    let running = dispatched(core.step(clock::Millis(2), [event::Input::Request(one_leaf::request(1))]));
    for caller in 2..5 {
        assert!(dispatched(core.step(clock::Millis(2), [event::Input::Request(one_leaf::request(caller))])).is_none());
    }
    (core, running.expect("a request was sent").0)
}

/// The next view of `core`, whose only class has the given name.
fn next_view(core: &traffic::Core, name: &'static str) -> event::Input {
    let mut view = view::View::clone(core.view());
    view.stamp.version += 1;
    let name = CompactString::const_new(name);
    let class = view::Class { name: name.clone(), ..view.classes[0].clone() };
    view.classes = [(name, class)].into_iter().collect();
    event::Input::View(Arc::new(view))
}

/// Guards against a place among the running queries that is never given back, because the class of a waiting query is
/// removed before it starts.
#[test]
fn a_class_that_is_removed_while_queries_wait_is_served_when_it_returns() {
    let (mut core, attempt) = waiting_core();
    let removed = next_view(&core, "other");
    core.step(clock::Millis(3), [removed]);
    core.step(clock::Millis(4), [answered(attempt)]);
    let restored = next_view(&core, "ask");
    core.step(clock::Millis(5), [restored]);
    let outputs = core.step(clock::Millis(6), [event::Input::Request(one_leaf::request(9))]);
    assert_eq!(dispatched(outputs).map(|(_, caller)| caller), Some(id::Caller(9)));
}

/// Guards against waiting requests that are denied when their class is removed, although another class allows them.
#[test]
fn queries_that_wait_for_a_removed_class_are_routed_again() {
    let (mut core, attempt) = waiting_core();
    let removed = next_view(&core, "wide");
    let mut rerouted = Vec::new();
    for output in core.step(clock::Millis(12), [removed]) {
        match output {
            event::Output::Reroute { caller, timeout, waited } => rerouted.push((caller, timeout, waited)),
            event::Output::Answer(answer) => panic!("{answer:?}"),
            _ => {}
        }
    }
    let (timeout, waited) = (one_leaf::DEADLINE - clock::Millis(10), clock::Millis(10));
    assert_eq!(rerouted, [2, 3, 4].map(|caller| (id::Caller(caller), timeout, waited)));
    core.step(clock::Millis(12), [answered(attempt)]);
    let wide = event::Request { class: CompactString::const_new("wide"), ..one_leaf::request(2) };
    let outputs = core.step(clock::Millis(12), [event::Input::Request(wide)]);
    assert_eq!(dispatched(outputs).map(|(_, caller)| caller), Some(id::Caller(2)));
}
