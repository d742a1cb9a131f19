//! The choice among all replicas of a shard by the expected time to a usable answer.

#[expect(unreachable_pub, reason = "a module of this test alone")]
mod one_leaf;

use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use rstest::rstest;
use shallothub_core::{
    clock, evidence, id,
    traffic::{self, estimate, event, note, policy},
    view,
};

const NOW: clock::Millis = clock::Millis(10_000);

fn context() -> estimate::Context {
    estimate::Context { now: NOW, usual: 10.0, far_cost: 2.0, score_band: 1.5, is_last: false }
}

fn replica(distance: view::Distance) -> estimate::Replica {
    estimate::Replica {
        rank: 0,
        distance,
        wait: 0.0,
        load: 0.0,
        slots: 2,
        own: estimate::Samples::default(),
        standing: None,
    }
}

fn near() -> estimate::Replica {
    replica(view::Distance::Near)
}

fn far() -> estimate::Replica {
    replica(view::Distance::Far)
}

/// Samples of `answers` usual answers and then `rejections`, 600 ms apart, the last one now.
fn samples(answers: u64, rejections: u64) -> estimate::Samples {
    let mut own = estimate::Samples::default();
    let count = answers + rejections;
    for index in 0..count {
        let at = NOW - clock::Millis((count - index - 1) * 600);
        if index < answers {
            own.record_answer(at, 1.0);
        } else {
            own.record_failure(at);
        }
    }
    own
}

fn rejecting(may_try: bool) -> evidence::Standing {
    evidence::Standing { rejection: 0.6, failure: 0.0, slowness: 1.0, is_silent: false, may_try }
}

/// The replicas that any random number selects.
fn selected(replicas: &[estimate::Replica], context: &estimate::Context) -> Vec<usize> {
    let mut selected: Vec<usize> =
        (0..12).filter_map(|draw| estimate::choose(replicas, context, draw)).collect::<Vec<_>>();
    selected.sort_unstable();
    selected.dedup();
    selected
}

/// Guards against preferring a near replica that rejects most requests until it has rejected several times: each
/// rejection takes the extra attempt that five requests earn.
#[rstest]
fn a_rejecting_near_replica_loses_after_its_first_rejections(#[values(0, 1, 2, 4, 15)] answers: u64) {
    let rejections = (1..=2).find(|&rejections| {
        let rejecting = estimate::Replica { own: samples(answers, rejections), ..near() };
        selected(&[rejecting, far(), far()], &context()) == [1, 2]
    });
    assert!(rejections.is_some(), "still chosen after two rejections");
}

/// A rejection long ago does not keep a replica out of use, since an avoided server yields no samples.
#[test]
fn a_near_replica_is_tried_again_after_some_seconds() {
    let rejecting = estimate::Replica { own: samples(5, 3), ..near() };
    let after = |seconds: u64| estimate::Context { now: NOW + clock::Millis(seconds * 1000), ..context() };
    assert_eq!(selected(&[rejecting, far()], &after(2)), [1]);
    assert_eq!(selected(&[rejecting, far()], &after(12)), [0]);
}

/// Guards against needless traffic between data centres.
#[rstest]
#[case::idle(near(), true)]
#[case::one_running(estimate::Replica { load: 1.0, ..near() }, true)]
#[case::share_in_use(estimate::Replica { load: 2.0, wait: 5.0, ..near() }, true)]
#[case::long_queue(estimate::Replica { load: 2.0, wait: 20.0, ..near() }, false)]
#[case::paused(estimate::Replica { wait: 100.0, ..near() }, false)]
fn a_near_replica_with_a_short_queue_is_kept(#[case] near: estimate::Replica, #[case] is_kept: bool) {
    let expected: &[usize] = if is_kept { &[0] } else { &[1, 2] };
    assert_eq!(selected(&[near, far(), far()], &context()), expected);
}

/// One slow answer is a pause of the leaf; several are a slow leaf.
#[rstest]
#[case::pause(1, &[0])]
#[case::slow(4, &[1])]
fn a_slow_near_replica_loses_after_some_answers(#[case] slow: u64, #[case] expected: &[usize]) {
    let mut own = samples(6, 0);
    for _ in 0..slow {
        own.record_answer(NOW, 8.0);
    }
    assert_eq!(selected(&[estimate::Replica { own, ..near() }, far()], &context()), expected);
}

/// Guards against all hosts sending to one replica because it is a little better.
#[test]
fn the_choice_within_the_band_is_random() {
    let busy = estimate::Replica { load: 1.0, ..near() };
    assert_eq!(selected(&[near(), busy, near(), far()], &context()), [0, 1, 2]);
    let busier = estimate::Replica { load: 2.0, ..near() };
    assert_eq!(selected(&[near(), busier], &context()), [0]);
}

/// A failure of the last attempt that is allowed loses the shard.
#[test]
fn the_last_attempt_weighs_failures_more() {
    let doubtful = estimate::Replica { own: samples(6, 1), wait: 0.0, ..near() };
    let last = estimate::Context { is_last: true, ..context() };
    let cost = |context: &estimate::Context| doubtful.estimate(context).failure;
    assert!(cost(&last) >= 2.0 * cost(&context()), "{} {}", cost(&last), cost(&context()));
    let cheap = |is_last| estimate::Context { score_band: 2.3, is_last, ..context() };
    assert_eq!(selected(&[doubtful, far()], &cheap(false)), [0]);
    assert_eq!(selected(&[doubtful, far()], &cheap(true)), [1]);
}

#[test]
fn conditions_that_make_an_attempt_useless_come_first() {
    let ejected = estimate::Replica { rank: estimate::AVOIDED, ..near() };
    let slow = estimate::Replica { wait: 500.0, ..far() };
    assert_eq!(selected(&[ejected, slow], &context()), [1]);
    assert_eq!(estimate::choose(&[], &context(), 0), None);
}

/// What other hosts report counts where this host has not sent anything recently.
#[test]
fn a_standing_fills_in_for_own_samples() {
    let reported = estimate::Replica { standing: Some(rejecting(false)), ..near() };
    assert_eq!(selected(&[reported, far()], &context()), [1]);
    let old = estimate::Replica { own: samples(6, 0), ..reported };
    let later = estimate::Context { now: NOW + clock::Millis(4000), ..context() };
    assert_eq!(selected(&[old, far()], &later), [1]);
}

/// Guards against reports that are late or false: a server that this host has just seen answer well counts as good.
#[rstest]
#[case::none(0, &[1])]
#[case::one(1, &[1])]
#[case::several(3, &[0])]
fn own_good_answers_outweigh_a_standing(#[case] answers: u64, #[case] expected: &[usize]) {
    let standing = evidence::Standing { is_silent: true, slowness: 10.0, ..rejecting(false) };
    let reported = estimate::Replica { own: samples(answers, 0), standing: Some(standing), ..near() };
    assert_eq!(selected(&[reported, far()], &context()), expected);
    let rejecting = estimate::Replica { own: samples(answers, 1), ..reported };
    assert_eq!(selected(&[rejecting, far()], &context()), [1]);
}

/// A server with a standing is the last choice, but is used if all others are worse.
#[test]
fn a_server_out_of_use_is_chosen_only_if_all_others_are_worse() {
    let mild = evidence::Standing { rejection: 0.01, ..rejecting(false) };
    let out_of_use = estimate::Replica { standing: Some(mild), ..near() };
    assert_eq!(selected(&[out_of_use, far(), far()], &context()), [0]);
    let other = estimate::Replica { load: 1.0, ..near() };
    let standing = evidence::Standing { rejection: 0.1, ..mild };
    let worse = estimate::Replica { standing: Some(standing), ..near() };
    assert_eq!(selected(&[worse, other], &context()), [1]);
    let failing = estimate::Replica { own: samples(0, 6), ..far() };
    assert_eq!(selected(&[estimate::Replica { standing: Some(rejecting(false)), ..near() }, failing], &context()), [0]);
    let silent = evidence::Standing { is_silent: true, ..mild };
    let slow = estimate::Replica { wait: 500.0, ..far() };
    assert_eq!(selected(&[estimate::Replica { standing: Some(silent), ..near() }, slow], &context()), [1]);
    assert_eq!(selected(&[estimate::Replica { standing: Some(silent), ..near() }], &context()), [0]);
}

/// The hosts that find out whether a server has recovered send to it as if it were healthy, although it rejected their
/// own requests, but not attempts that could not be repeated.
#[test]
fn a_host_that_may_try_sends_as_if_the_server_were_healthy() {
    let tried = estimate::Replica { own: samples(0, 3), standing: Some(rejecting(true)), ..near() };
    assert_eq!(selected(&[tried, far()], &context()), [0]);
    assert_eq!(selected(&[tried, near()], &context()), [0, 1]);
    let last = estimate::Context { is_last: true, ..context() };
    assert_eq!(selected(&[tried, far()], &last), [1]);
}

/// When a standing ends because other hosts got answers, older own rejections do not keep the server out of use. Newer
/// ones do: the reports that ended the standing may be older.
#[rstest]
#[case::old(1500, &[0])]
#[case::new(300, &[1])]
fn own_rejections_before_the_end_of_a_standing_are_discarded(#[case] age: u64, #[case] expected: &[usize]) {
    let now = NOW + clock::Millis(age);
    let mut own = samples(0, 5);
    own.on_standing_end(now);
    assert_eq!(
        selected(&[estimate::Replica { own, ..near() }, far()], &estimate::Context { now, ..context() }),
        expected
    );
}

/// Values that no correct host reports neither attract requests nor leave a shard without a replica.
#[rstest]
fn absurd_reports_leave_a_choice(#[values(f64::NAN, f64::INFINITY, -5.0)] value: f64) {
    let standing = evidence::Standing { rejection: value, failure: value, slowness: value, ..rejecting(false) };
    let absurd = estimate::Replica { standing: Some(standing), ..near() };
    assert!(absurd.estimate(&context()).total().is_finite());
    assert_eq!(selected(&[absurd, absurd], &context()).len(), 1);
    assert_eq!(selected(&[absurd, near()], &context()), [1]);
}

/// One host with the replicas of one shard, the first one near.
struct Host {
    core: traffic::Core,
    now: u64,
    caller: u64,
    notes: Vec<note::Note>,
}

impl Host {
    fn new(distances: &[view::Distance], policy: policy::Policy) -> Self {
        let mut view = (*one_leaf::view(8)).clone();
        let leaf = view.servers.remove(0).expect("the leaf");
        for (index, &distance) in distances.iter().enumerate() {
            let name = format_compact!("leaf-{index}");
            view.servers.push(Some(view::Server { address: name.clone(), name, distance, ..leaf.clone() }));
        }
        let class = &mut view.classes[0];
        class.branches[0].targets[0].replicas = (0..distances.len() as u32).map(id::Server).collect();
        let mut core = traffic::Core::new(policy, traffic::Lane { index: 0, count: 1 }, 1, clock::Millis(1));
        core.step(clock::Millis(1), [event::Input::View(Arc::new(view))]);
        Self { core, now: 1, caller: 0, notes: Vec::new() }
    }

    fn step(&mut self, input: event::Input) -> Option<event::Dispatch> {
        let mut sent = None;
        for output in self.core.step(clock::Millis(self.now), [input]) {
            match output {
                event::Output::Dispatch(dispatch) => sent = Some(dispatch),
                event::Output::Note(note) => self.notes.push(note),
                _ => {}
            }
        }
        sent
    }

    /// Sends a request 300 ms after the previous one, which is answered after 5 ms. Returns the index of the replica.
    fn request(&mut self) -> usize {
        self.now += 300;
        self.caller += 1;
        let sent = self.step(event::Input::Request(one_leaf::request(self.caller))).expect("an attempt");
        self.now += 5;
        let snapshot = view::Snapshot { epoch: 1, version: 1 };
        let part = event::Part { snapshot, held: None, hits: 1, load: None, queue: None };
        self.step(event::Input::Reply { attempt: sent.attempt, reply: event::Reply::Answered(part) });
        sent.server.index()
    }

    fn report(&mut self, standings: &[(u32, evidence::Standing)]) {
        let standings: IndexMap<_, _> =
            standings.iter().map(|&(server, standing)| (id::Server(server), standing)).collect();
        self.step(event::Input::Evidence(Arc::new(standings)));
    }

    fn out_of_use_notes(&self) -> Vec<(Vec<CompactString>, usize, bool)> {
        let mut found = Vec::new();
        for note in &self.notes {
            match note {
                note::Note::OutOfUse { servers, count } => found.push((servers.clone(), *count, true)),
                note::Note::BackInUse { servers, count } => found.push((servers.clone(), *count, false)),
                _ => {}
            }
        }
        found
    }
}

const DISTANCES: [view::Distance; 3] = [view::Distance::Near, view::Distance::Far, view::Distance::Far];

fn expected_time() -> policy::Policy {
    policy::Policy { expected_time: true, far_cost: 2.0, score_band: 1.5, ..policy::Policy::default() }
}

/// A standing that arrives takes a server out of use that this host has not used recently; its end brings it back. The
/// counters and one log line each show it.
#[test]
fn a_standing_decides_until_it_ends() {
    let mut host = Host::new(&DISTANCES, expected_time());
    assert_eq!(host.request(), 0);
    host.now += 8000;
    host.report(&[(0, rejecting(false))]);
    assert_ne!(host.request(), 0);
    let stats = host.core.stats();
    assert_eq!((stats.far_choices, stats.standing_choices), (1, 1));
    host.report(&[]);
    assert_eq!(host.request(), 0);
    host.now += 1000;
    host.step(event::Input::Tick);
    assert_eq!(host.core.stats().standing_choices, 1);
    assert_eq!(host.out_of_use_notes(), [(vec!["leaf-0".into()], 1, true), (vec!["leaf-0".into()], 1, false)]);
}

/// Hosts with the setting off, and shards with two replicas, ignore standings.
#[rstest]
#[case::off(3, policy::Policy { expected_time: false, ..expected_time() })]
#[case::two_replicas(2, expected_time())]
fn standings_have_no_effect_elsewhere(#[case] replicas: usize, #[case] policy: policy::Policy) {
    let mut host = Host::new(&DISTANCES[..replicas], policy);
    host.report(&[(0, rejecting(false))]);
    for _ in 0..5 {
        assert_eq!(host.request(), 0);
    }
    let stats = host.core.stats();
    assert_eq!((stats.far_choices, stats.standing_choices), (0, 0));
}

/// Guards against a log that grows with the size of a fault, or with reports that change all the time.
#[test]
fn log_lines_about_standings_are_bounded() {
    let mut host = Host::new(&[view::Distance::Near; 40], expected_time());
    let standings: Vec<_> = (0..40).map(|server| (server, rejecting(false))).collect();
    for step in 0..200 {
        host.now += 20;
        host.report(if step % 2 == 0 { &standings } else { &[] });
    }
    let notes = host.out_of_use_notes();
    assert!((1..=5).contains(&notes.len()), "{} lines in 4 s", notes.len());
    assert!(notes.iter().all(|(servers, ..)| servers.len() <= 4), "{notes:?}");
    assert_eq!(notes[0].1, 40);
}

/// The evidence and the parts of the estimate are available for the explanation of a query.
#[test]
fn estimates_of_a_shard_can_be_read() {
    let mut host = Host::new(&DISTANCES, expected_time());
    host.request();
    host.report(&[(1, rejecting(false))]);
    let estimates = host.core.estimates("ask", "a");
    let names: Vec<&str> = estimates.iter().map(|(name, ..)| name.as_str()).collect();
    assert_eq!(names, ["leaf-0", "leaf-1", "leaf-2"]);
    assert!(estimates[0].1.own.number(clock::Millis(host.now)) > 0.9);
    assert!(estimates[1].1.standing.is_some() && estimates[1].2.failure > 0.0);
    assert!(estimates[2].2.distance > 0.0);
    assert!(host.core.estimates("ask", "b").is_empty());
}
