//! A data centre is evacuated while requests run: no further attempts are sent there.

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

const SHARDS: u32 = 4;

/// A view of [`SHARDS`] shards with one leaf each in the east, the even servers, and one in the west. Each leaf accepts
/// `connections`; `is_evacuated` selects the evacuated ones at this host list `revision`.
fn view(revision: u64, connections: u32, is_evacuated: impl Fn(usize) -> bool) -> event::Input {
    let mut view = (*one_leaf::view(connections)).clone();
    let leaf = view.servers[0].clone().expect("the leaf");
    let class = &mut view.classes[0];
    class.hedge = true;
    class.least_coverage = ratio::Ratio::try_from(0.5).expect("a ratio");
    class.branches[0].targets.clear();
    view.servers.clear();
    for shard in 0..SHARDS {
        for centre in 0..2 {
            let name = format_compact!("leaf-{shard}-{centre}");
            let evacuated = is_evacuated(view.servers.len());
            view.servers.push(Some(view::Server { address: name.clone(), name, evacuated, ..leaf.clone() }));
        }
        class.branches[0].targets.push(view::Target {
            shard: format_compact!("shard-{shard}"),
            service: id::Service(0),
            replicas: vec![id::Server(2 * shard), id::Server(2 * shard + 1)],
        });
    }
    view.hosts_revision = view::Stamp { version: revision, digest: 1, ..view::Stamp::default() };
    event::Input::View(Arc::new(view))
}

fn is_in_east(server: usize) -> bool {
    server.is_multiple_of(2)
}

fn core(connections: u32) -> traffic::Core {
    let lane = traffic::Lane { index: 0, count: 1 };
    let policy = policy::Policy { hedge_fraction: 1.0, ..policy::Policy::default() };
    let mut core = traffic::Core::new(policy, lane, 1, clock::Millis(1));
    core.step(clock::Millis(1), [view(1, connections, |_| false)]);
    core
}

fn request(caller: u64) -> event::Input {
    event::Input::Request(one_leaf::request(caller))
}

fn dispatched(outputs: &[event::Output]) -> Vec<event::Dispatch> {
    let dispatch = |output: &event::Output| match output {
        event::Output::Dispatch(dispatch) => Some(dispatch.clone()),
        _ => None,
    };
    outputs.iter().filter_map(dispatch).collect()
}

fn goes_east(dispatch: &event::Dispatch) -> bool {
    is_in_east(dispatch.server.index())
}

/// Guards against second attempts to an evacuated data centre for requests from before the evacuation. Whether an
/// attempt fails or stays silent, the next goes to the other data centre. Attempts already sent may complete.
#[rstest]
#[case::lost(Some(event::Reply::Lost(event::Loss::Broken)))]
#[case::refused(Some(event::Reply::Refused { retry_after: None }))]
#[case::not_sent(Some(event::Reply::NotSent))]
#[case::silent(None)]
fn running_requests_send_no_further_attempts_there(#[case] reply: Option<event::Reply>) {
    let mut core = core(8);
    let mut sent = Vec::new();
    // A leaf without measurements gets one attempt at a time, and a hedge needs a free connection.
    let callers = if reply.is_some() { 6 } else { 1 };
    for caller in 0..callers {
        sent.extend(dispatched(&core.step(clock::Millis(10 + caller), [request(caller)])));
    }
    assert!(sent.iter().any(goes_east));
    let mut outputs = core.step(clock::Millis(20), [view(2, 8, is_in_east)]);
    for dispatch in sent {
        let Some(reply) = reply.clone() else { continue };
        outputs.extend(core.step(clock::Millis(21), [event::Input::Reply { attempt: dispatch.attempt, reply }]));
    }
    for step in 0..40 {
        outputs.extend(core.step(clock::Millis(22 + step * 5), [event::Input::Tick]));
    }
    let second_attempts = dispatched(&outputs);
    assert!(!second_attempts.is_empty());
    assert!(!second_attempts.iter().any(goes_east), "{second_attempts:?}");
    assert!(!outputs.iter().any(|output| matches!(output, event::Output::Breach(_))));
}

/// Attempts wait for leafs with one connection each. Those that wait for a leaf in the evacuated data centre go to the
/// other one.
#[test]
fn attempts_that_wait_for_an_evacuated_leaf_go_elsewhere() {
    let mut core = core(1);
    let mut first = Vec::new();
    for caller in 0..4 {
        first.extend(dispatched(&core.step(clock::Millis(10), [request(caller)])));
    }
    let mut outputs = core.step(clock::Millis(20), [view(2, 1, is_in_east)]);
    for round in 0..40 {
        let at = clock::Millis(21 + round);
        for dispatch in std::mem::take(&mut first) {
            let snapshot = view::Snapshot { epoch: 1, version: 1 };
            let part = event::Part { snapshot, held: None, hits: 1, load: None, queue: None };
            let reply = event::Reply::Answered(part);
            outputs.extend(core.step(at, [event::Input::Reply { attempt: dispatch.attempt, reply }]));
        }
        outputs.extend(core.step(at, [event::Input::Tick]));
        let next = dispatched(&outputs);
        assert!(!next.iter().any(goes_east), "{next:?}");
        first = next;
        outputs.clear();
    }
}

/// Both leafs of some shards are evacuated. Answers list these shards as missing; if too few shards remain, the caller
/// is refused at once, as not run, with a retry delay.
#[rstest]
#[case::half(2, true)]
#[case::most(3, false)]
fn answers_lack_evacuated_shards(#[case] shards: usize, #[case] is_answered: bool) {
    let mut core = core(8);
    core.step(clock::Millis(5), [view(2, 8, |server| server < 2 * shards)]);
    let mut outputs = core.step(clock::Millis(10), [request(1)]);
    for dispatch in dispatched(&outputs) {
        assert!(dispatch.server.index() >= 2 * shards);
        let snapshot = view::Snapshot { epoch: 1, version: 1 };
        let part = event::Part { snapshot, held: None, hits: 1, load: None, queue: None };
        let reply = event::Reply::Answered(part);
        outputs.extend(core.step(clock::Millis(12), [event::Input::Reply { attempt: dispatch.attempt, reply }]));
    }
    let answer = outputs.iter().find_map(|output| match output {
        event::Output::Answer(answer) => Some(answer),
        _ => None,
    });
    let answer = answer.expect("an immediate answer");
    if is_answered {
        assert_eq!((answer.outcome, answer.contributed.len()), (event::Outcome::Answered, SHARDS as usize - shards));
        return;
    }
    assert_eq!((answer.outcome, answer.code), (event::Outcome::NotRun, event::Code::NoReplica));
    assert!(answer.retry_after.is_some() && answer.why.to_string().contains("is in an evacuated data centre"));
}
