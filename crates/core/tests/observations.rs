//! Reports of a lane on servers that deviate from the usual: in batches, and none while all servers are healthy.

#[expect(unreachable_pub, reason = "a module of this test alone")]
mod sharded;

use std::sync::Arc;

use rstest::rstest;
use shallothub_core::{
    clock::Millis,
    evidence, id,
    traffic::{self, event, policy},
    view,
};

/// Reply times of healthy servers, in ms, with the long tail that servers have under load.
const USUAL: [u64; 5] = [8, 9, 10, 12, 30];

/// A lane, and what the servers of replica 0 reply.
struct Lane {
    core: traffic::Core,
    now: u64,
    caller: u64,
    /// Reply of the servers with even numbers; the others answer.
    reply: Option<event::Reply>,
    /// Reply time of the servers with even numbers, in ms.
    took: u64,
    reports: Vec<(u64, Vec<evidence::Sample>)>,
}

fn answered() -> event::Reply {
    let snapshot = view::Snapshot { epoch: 1, version: 0 };
    event::Reply::Answered(event::Part { snapshot, held: None, hits: 1, load: None, queue: None })
}

impl Lane {
    fn new(replicas: usize, policy: Option<evidence::Policy>) -> Self {
        let settings = policy::Policy { hedge_fraction: 0.2, silence: Millis(150), ..policy::Policy::default() };
        let mut core = traffic::Core::new(settings, traffic::Lane { index: 0, count: 1 }, 1, Millis(1));
        let view = view::View { evidence: policy, ..sharded::view(4, replicas, 20) };
        core.step(Millis(1), [event::Input::View(Arc::new(view))]);
        Self { core, now: 1, caller: 0, reply: Some(answered()), took: 10, reports: Vec::new() }
    }

    /// Sends 50 requests a second for `ms` milliseconds.
    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        let mut replies: Vec<(u64, id::Attempt, event::Reply)> = Vec::new();
        while self.now < until {
            self.now += 1;
            let mut inputs = vec![event::Input::Tick];
            if self.now.is_multiple_of(20) {
                self.caller += 1;
                inputs.push(event::Input::Request(sharded::one_leaf::request(self.caller)));
            }
            let due = replies.extract_if(.., |(at, ..)| *at <= self.now);
            inputs.extend(due.map(|(_, attempt, reply)| event::Input::Reply { attempt, reply }));
            for output in self.core.step(Millis(self.now), inputs) {
                match output {
                    event::Output::Dispatch(dispatch) => {
                        let is_affected = dispatch.server.0.is_multiple_of(2);
                        let usual = USUAL[(self.caller % 5) as usize];
                        let took = if is_affected { self.took.max(usual) } else { usual };
                        let reply = if is_affected { self.reply.clone() } else { Some(answered()) };
                        replies.extend(reply.map(|reply| (self.now + took, dispatch.attempt, reply)));
                    }
                    event::Output::Observed(samples) => self.reports.push((self.now, samples)),
                    _ => {}
                }
            }
        }
    }

    fn sum(&self, count: fn(&evidence::Counts) -> f64) -> f64 {
        self.reports.iter().flat_map(|(_, samples)| samples).map(|sample| count(&sample.counts)).sum()
    }
}

/// Guards against reports, and timers, while all servers are healthy, or where no shard has three replicas, or while
/// the exchange is off.
#[rstest]
#[case::healthy(3, Some(evidence::Policy::default()), answered())]
#[case::two_replicas(2, Some(evidence::Policy::default()), event::Reply::Refused { retry_after: None })]
#[case::off(3, None, event::Reply::Refused { retry_after: None })]
fn nothing_is_reported(#[case] replicas: usize, #[case] policy: Option<evidence::Policy>, #[case] reply: event::Reply) {
    let mut lane = Lane::new(replicas, policy);
    lane.reply = Some(reply);
    lane.run(3000);
    assert!(lane.reports.is_empty(), "{} reports", lane.reports.len());
    assert_eq!(lane.core.stats().observed, 0);
}

/// Guards against a kind of failure that a lane does not report, and against reports more often than once in an
/// interval, or on servers that answer as usual.
#[rstest]
#[case::refused(Some(event::Reply::Refused { retry_after: None }), 10, |counts: &evidence::Counts| counts.refused)]
#[case::failed(Some(event::Reply::Failed), 10, |counts: &evidence::Counts| counts.failed)]
#[case::lost(Some(event::Reply::Lost(event::Loss::Broken)), 10, |counts: &evidence::Counts| counts.failed)]
#[case::not_sent(Some(event::Reply::NotSent), 10, |counts: &evidence::Counts| counts.failed)]
#[case::silent(None, 10, |counts: &evidence::Counts| counts.silent)]
#[case::slow(Some(answered()), 90, |counts: &evidence::Counts| counts.slow)]
fn a_deviation_is_reported(
    #[case] reply: Option<event::Reply>,
    #[case] took: u64,
    #[case] count: fn(&evidence::Counts) -> f64,
) {
    let mut lane = Lane::new(3, Some(evidence::Policy::default()));
    lane.run(3000);
    assert!(lane.reports.is_empty(), "{} reports", lane.reports.len());
    let from = lane.now;
    (lane.reply, lane.took) = (reply, took);
    lane.run(2000);
    let (first, _) = lane.reports.first().expect("a report");
    assert!(*first <= from + 600, "after {} ms", first - from);
    assert!(lane.sum(count) > 0.5, "{} reports", lane.reports.len());
    assert!(lane.reports.windows(2).all(|pair| pair[1].0 - pair[0].0 >= 200), "{} reports", lane.reports.len());
    let affected: Vec<evidence::Incarnation> = (0..4)
        .flat_map(|shard| (0..3).map(move |replica| (shard, replica)))
        .filter(|(shard, replica)| (shard * 3 + replica) % 2 == 0)
        .map(|(shard, replica)| evidence::Incarnation::new(&format!("leaf-{shard}-{replica}"), 1))
        .collect();
    let reported: Vec<evidence::Incarnation> =
        lane.reports.iter().flat_map(|(_, samples)| samples).map(|sample| sample.server).collect();
    assert!(reported.iter().all(|server| affected.contains(server)), "a healthy server is reported");
}

/// Guards against a recovery that nobody reports: a server with a standing is reported although it answers as usual.
#[test]
fn a_server_with_a_standing_is_reported() {
    let mut lane = Lane::new(3, Some(evidence::Policy::default()));
    lane.run(1000);
    assert!(lane.reports.is_empty());
    let standing = evidence::Standing { rejection: 0.5, failure: 0.0, slowness: 1.0, is_silent: false, may_try: true };
    let standings = Arc::new([(id::Server(0), standing)].into_iter().collect());
    lane.core.step(Millis(lane.now), [event::Input::Evidence(standings)]);
    lane.run(1000);
    let samples: Vec<&evidence::Sample> = lane.reports.iter().flat_map(|(_, samples)| samples).collect();
    assert!(samples.iter().all(|sample| sample.server == evidence::Incarnation::new("leaf-0-0", 1)));
    assert!(samples.iter().any(|sample| sample.streak == evidence::RECOVERY_ANSWERS));
}
