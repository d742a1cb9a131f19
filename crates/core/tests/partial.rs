//! Answers that lack shards: whichever these are, the others are asked and the answer says what is missing.

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

/// One leaf for each of [`SHARDS`] shards; those in `closed` are leaving.
fn view(closed: &[usize], least_coverage: f64) -> Arc<view::View> {
    let mut view = (*one_leaf::view(4)).clone();
    let leaf = view.servers[0].clone().expect("the leaf");
    let class = &mut view.classes[0];
    class.least_coverage = ratio::Ratio::try_from(least_coverage).expect("a ratio");
    class.branches[0].targets.clear();
    view.servers.clear();
    for shard in 0..SHARDS {
        let name = format_compact!("leaf-{shard}");
        let leaving = closed.contains(&shard);
        view.servers.push(Some(view::Server { address: name.clone(), name, leaving, ..leaf.clone() }));
        class.branches[0].targets.push(view::Target {
            shard: format_compact!("shard-{shard}"),
            service: id::Service(0),
            replicas: vec![id::Server(shard as u32)],
        });
    }
    Arc::new(view)
}

fn ask(core: &mut traffic::Core, now: clock::Millis) -> Vec<event::Output> {
    let request = one_leaf::request(1);
    core.step(now, [event::Input::Request(request)])
}

fn answer(outputs: &[event::Output]) -> Option<&event::Answer> {
    outputs.iter().find_map(|output| match output {
        event::Output::Answer(answer) => Some(answer),
        _ => None,
    })
}

/// All leafs of some shards are gone, few enough for the least coverage. Guests got no answer at all for as
/// long as the first shard in the list was among them: it was given up before any other had been asked, and
/// a query of which nothing is on its way ends.
#[rstest]
fn the_other_shards_are_asked(#[values(&[0], &[0, 1], &[2], &[5], &[0, 5], &[4, 5])] closed: &[usize]) {
    let mut core =
        traffic::Core::new(policy::Policy::default(), traffic::Lane { index: 0, count: 1 }, 1, clock::Millis(1000));
    core.step(clock::Millis(1000), [event::Input::View(view(closed, 0.6))]);
    let outputs = ask(&mut core, clock::Millis(1001));
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
    assert_eq!(replies.len(), SHARDS - closed.len());
    let outputs = core.step(clock::Millis(1004), replies);
    let answer = answer(&outputs).expect("an answer");
    assert_eq!(answer.outcome, event::Outcome::Answered);
    assert_eq!(answer.contributed.len(), SHARDS - closed.len());
    assert_eq!(answer.missing.len(), closed.len());
}

/// One more is gone than the least coverage allows: callers are told at once, and nothing is sent.
#[test]
fn too_few_shards_are_refused_at_once() {
    let mut core =
        traffic::Core::new(policy::Policy::default(), traffic::Lane { index: 0, count: 1 }, 1, clock::Millis(1000));
    core.step(clock::Millis(1000), [event::Input::View(view(&[0, 2, 4], 0.6))]);
    let outputs = ask(&mut core, clock::Millis(1001));
    let answer = answer(&outputs).expect("an answer");
    assert_eq!((answer.outcome, answer.code), (event::Outcome::NotRun, event::Code::NoReplica));
    assert!(answer.retry_after.is_some());
    assert!(!outputs.iter().any(|output| matches!(output, event::Output::Dispatch(_))));
}
