//! Partial answers: the available shards are queried, and the answer lists the missing ones.

#[expect(unreachable_pub, reason = "a module of this test alone")]
mod one_leaf;

use std::sync::Arc;

use compact_str::format_compact;
use rstest::rstest;
use shallothub_core::{
    clock, id, ratio,
    traffic::{self, event, policy},
    view,
};

const SHARDS: usize = 6;

/// A view with one leaf for each of [`SHARDS`] shards; the leafs of the `leaving_shards` are leaving.
fn view(leaving_shards: &[usize], least_coverage: f64) -> Arc<view::View> {
    let mut view = (*one_leaf::view(4)).clone();
    let leaf = view.servers[0].clone().expect("the leaf");
    let class = &mut view.classes[0];
    class.least_coverage = ratio::Ratio::try_from(least_coverage).expect("a ratio");
    class.branches[0].targets.clear();
    view.servers.clear();
    for shard in 0..SHARDS {
        let name = format_compact!("leaf-{shard}");
        let leaving = leaving_shards.contains(&shard);
        view.servers.push(Some(view::Server { address: name.clone(), name, leaving, ..leaf.clone() }));
        class.branches[0].targets.push(view::Target {
            shard: format_compact!("shard-{shard}"),
            service: id::Service(0),
            replicas: vec![id::Server(shard as u32)],
        });
    }
    Arc::new(view)
}

fn send_request(core: &mut traffic::Core, now: clock::Millis) -> Vec<event::Output> {
    let request = one_leaf::request(1);
    core.step(now, [event::Input::Request(request)])
}

fn answer(outputs: &[event::Output]) -> Option<&event::Answer> {
    outputs.iter().find_map(|output| match output {
        event::Output::Answer(answer) => Some(answer),
        _ => None,
    })
}

/// Guards against a query without an answer when the first listed shard has no leaf left, although the others reach
/// the least coverage: that shard failed before any other was dispatched, and a query with nothing in flight ends.
#[rstest]
fn the_available_shards_are_queried(#[values(&[0], &[0, 1], &[2], &[5], &[0, 5], &[4, 5])] leaving_shards: &[usize]) {
    let mut core =
        traffic::Core::new(policy::Policy::default(), traffic::Lane { index: 0, count: 1 }, 1, clock::Millis(1000));
    core.step(clock::Millis(1000), [event::Input::View(view(leaving_shards, 0.6))]);
    let outputs = send_request(&mut core, clock::Millis(1001));
    assert!(answer(&outputs).is_none(), "{:?}", answer(&outputs));
    let snapshot = view::Snapshot { epoch: 1, version: 1 };
    let part = event::Part { snapshot, held: None, hits: 1, load: None, queue: None };
    let mut replies = Vec::new();
    for output in outputs {
        if let event::Output::Dispatch(dispatch) = output {
            replies
                .push(event::Input::Reply { attempt: dispatch.attempt, reply: event::Reply::Answered(part.clone()) });
        }
    }
    assert_eq!(replies.len(), SHARDS - leaving_shards.len());
    let outputs = core.step(clock::Millis(1004), replies);
    let answer = answer(&outputs).expect("an answer");
    assert_eq!(answer.outcome, event::Outcome::Answered);
    assert_eq!(answer.contributed.len(), SHARDS - leaving_shards.len());
    assert_eq!(answer.missing.len(), leaving_shards.len());
}

/// If fewer shards are available than the least coverage needs, callers are refused at once and nothing is sent.
#[test]
fn requests_with_too_few_shards_are_refused_at_once() {
    let mut core =
        traffic::Core::new(policy::Policy::default(), traffic::Lane { index: 0, count: 1 }, 1, clock::Millis(1000));
    core.step(clock::Millis(1000), [event::Input::View(view(&[0, 2, 4], 0.6))]);
    let outputs = send_request(&mut core, clock::Millis(1001));
    let answer = answer(&outputs).expect("an answer");
    assert_eq!((answer.outcome, answer.code), (event::Outcome::NotRun, event::Code::NoReplica));
    assert!(answer.retry_after.is_some());
    assert!(!outputs.iter().any(|output| matches!(output, event::Output::Dispatch(_))));
}
