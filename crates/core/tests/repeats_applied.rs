//! The plan of repeats in one traffic core.

#[expect(unreachable_pub, reason = "a module of this test alone")]
mod sharded;

use std::sync::Arc;

use compact_str::CompactString;
use rstest::rstest;
use shallothub_core::{
    clock, id, ratio,
    traffic::{self, event, policy},
    view,
};

const START: u64 = 1000;
/// Priority of the class `ask`; `urgent` has priority 0.
const PRIORITY: u8 = 1;

/// A policy with a bucket of `capacity` tokens, which is empty at the first request and fills in 10 s.
fn policy(plan_repeats: bool, capacity: f64) -> policy::Policy {
    let slack = capacity / 0.85 / 0.5;
    let fleet = Some(policy::Fleet { ratio: 0.0, slack, ..policy::Fleet::default() });
    policy::Policy { plan_repeats, fleet, hedge_floor: clock::Millis(4), ..policy::Policy::default() }
}

fn view(shards: usize, replicas: usize, least_coverage: f64) -> view::View {
    let mut view = sharded::view(shards, replicas, 8);
    let ask = &mut view.classes[0];
    ask.least_coverage = ratio::Ratio::try_from(least_coverage).expect("a ratio");
    ask.priority = PRIORITY;
    ask.hedge = false;
    let urgent = view::Class { name: CompactString::const_new("urgent"), priority: 0, ..ask.clone() };
    view.classes.insert(urgent.name.clone(), urgent);
    view
}

/// A core, its time and the attempts without a reply.
struct Driver {
    core: traffic::Core,
    now: u64,
    caller: u64,
    attempts: Vec<event::Dispatch>,
    answers: Vec<(u64, event::Answer)>,
    cancelled: usize,
}

impl Driver {
    fn new(policy: policy::Policy, view: view::View) -> Self {
        let lane = traffic::Lane { index: 0, count: 1 };
        let mut core = traffic::Core::new(policy, lane, 1, clock::Millis(START));
        core.step(clock::Millis(START), [event::Input::View(Arc::new(view))]);
        Self { core, now: START, caller: 0, attempts: Vec::new(), answers: Vec::new(), cancelled: 0 }
    }

    fn step(&mut self, inputs: Vec<event::Input>) {
        for output in self.core.step(clock::Millis(self.now), inputs) {
            match output {
                event::Output::Dispatch(dispatch) => self.attempts.push(dispatch),
                event::Output::Answer(answer) => self.answers.push((self.now, answer)),
                event::Output::Cancel { .. } => self.cancelled += 1,
                event::Output::Breach(breach) => panic!("{breach:?}"),
                _ => {}
            }
        }
    }

    /// Answers a request of `class`, and waits for `span` ms.
    fn fill(&mut self, class: &'static str, span: u64) {
        self.request(class);
        while !self.attempts.is_empty() {
            self.accept();
        }
        self.answers.clear();
        self.wait(span);
    }

    /// Runs timers for `span` ms.
    fn wait(&mut self, span: u64) {
        for _ in 0..span {
            self.now += 1;
            self.step(vec![event::Input::Tick]);
        }
    }

    fn request(&mut self, class: &'static str) {
        self.caller += 1;
        let class = CompactString::const_new(class);
        let request = event::Request { class, ..sharded::one_leaf::request(self.caller) };
        self.step(vec![event::Input::Request(request)]);
    }

    /// Replies to the oldest attempt without a reply.
    fn reply(&mut self, reply: event::Reply) {
        let attempt = self.attempts.remove(0).attempt;
        self.step(vec![event::Input::Reply { attempt, reply }]);
    }

    fn refuse(&mut self) {
        self.reply(event::Reply::Refused { retry_after: None });
    }

    fn accept(&mut self) {
        let snapshot = view::Snapshot { epoch: 1, version: 1 };
        self.reply(event::Reply::Answered(event::Part { snapshot, held: None, hits: 1, load: None, queue: None }));
    }

    /// Sends a request of one shard and refuses its first attempt. Returns whether another attempt is made within
    /// 10 ms, and answers it.
    fn is_repeated(&mut self, class: &'static str) -> bool {
        assert!(self.attempts.is_empty());
        self.request(class);
        self.refuse();
        self.wait(10);
        let is_repeated = !self.attempts.is_empty();
        if is_repeated {
            self.accept();
        }
        // The pause after a refusal ends.
        self.wait(20);
        is_repeated
    }
}

/// Guards against a search without tokens that waits for them while its other shards do work. A host that has just
/// started has no tokens either.
#[test]
fn a_hopeless_search_ends_at_once() {
    let mut driver = Driver::new(policy(true, 0.0), view(6, 3, 1.0));
    driver.request("ask");
    assert_eq!(driver.attempts.len(), 6);
    driver.wait(3);
    let refused_at = driver.now;
    driver.refuse();
    driver.wait(10);
    let (at, answer) = &driver.answers[0];
    assert!(*at <= refused_at + 10, "after {} ms", at - refused_at);
    assert_eq!((answer.outcome, answer.code), (event::Outcome::Unknown, event::Code::InsufficientCoverage));
    assert!(answer.retry_after.is_some_and(|after| after.0 >= 20), "{:?}", answer.retry_after);
    assert!(answer.why.to_string().starts_with("0 shards answered and 5 are pending of 6 needed"), "{}", answer.why);
    assert_eq!(driver.cancelled, 5);
    assert_eq!(driver.core.stats().hopeless, 1);
}

/// A search whose only attempt was rejected has run nowhere.
#[test]
fn a_hopeless_search_that_ran_nowhere_is_reported_so() {
    let mut driver = Driver::new(policy(true, 0.0), view(1, 3, 1.0));
    driver.request("ask");
    driver.refuse();
    let (at, answer) = &driver.answers[0];
    assert_eq!((*at, answer.outcome), (driver.now, event::Outcome::NotRun));
}

/// Guards against callers that come back together.
#[test]
fn retry_delays_are_spread_over_the_refill() {
    let mut delays = Vec::new();
    // A token is gained every 5 s; callers come back within 2 s all the same, to notice the end of the fault.
    let mut driver = Driver::new(policy(true, 2.0), view(1, 3, 1.0));
    for _ in 0..20 {
        driver.request("ask");
        driver.refuse();
        // The server is paused after the refusal.
        driver.wait(15);
        let (_, answer) = driver.answers.pop().expect("an answer");
        delays.extend(answer.retry_after);
    }
    assert_eq!(delays.len(), 20);
    let (min, max) = (delays.iter().min().expect("some"), delays.iter().max().expect("some"));
    assert!(max.0 > 1000 && max.0 <= 2020 && min.0 < 600, "{min} to {max}");
}

/// A search whose token arrives before its deadline waits for it and is answered.
#[test]
fn a_search_waits_for_a_token_that_arrives_in_time() {
    let mut driver = Driver::new(policy(true, 200.0), view(2, 3, 1.0));
    driver.request("ask");
    driver.refuse();
    driver.accept();
    driver.wait(60);
    assert_eq!(driver.attempts.len(), 1, "a token is gained every 50 ms");
    driver.accept();
    assert_eq!(driver.answers[0].1.code, event::Code::Ok);
}

/// Guards against a less urgent class that takes all tokens of a service, and against one that is locked out: the
/// reserve falls to zero for it within 4 s.
#[test]
fn urgent_classes_come_first() {
    let mut driver = Driver::new(policy(true, 4.0), view(1, 3, 1.0));
    // 1.6 tokens. The less urgent class leaves a quarter of the capacity.
    driver.fill("urgent", 4000);
    assert!(!driver.is_repeated("ask"));
    assert_eq!(driver.core.stats().tokens_withheld, 1);
    assert!(driver.is_repeated("urgent"));
    // 2.2 tokens, of which the urgent class takes one.
    driver.wait(3900);
    assert!(driver.is_repeated("urgent"));
    assert!(driver.is_repeated("ask"));
}

/// A class leaves nothing to classes that do not use the service.
#[test]
fn a_class_alone_may_take_all_tokens() {
    let mut driver = Driver::new(policy(true, 4.0), view(1, 3, 1.0));
    driver.fill("ask", 4000);
    assert!(driver.is_repeated("ask"));
}

/// Guards against hedges for coverage beyond the least that take the last token, which the next search may need to
/// become complete.
#[rstest]
#[case::needed(1.0, 4000, 1)]
#[case::last_token(0.5, 4000, 0)]
#[case::several_tokens(0.5, 8000, 1)]
fn hedges_leave_the_last_token(#[case] least_coverage: f64, #[case] fill_time: u64, #[case] hedges: u64) {
    let mut view = view(2, 3, least_coverage);
    view.classes[0].hedge = true;
    let mut driver = Driver::new(policy(true, 4.0), view);
    driver.fill("ask", fill_time);
    driver.request("ask");
    driver.accept();
    driver.wait(150);
    assert_eq!(driver.core.stats().hedges, hedges);
}

/// Requests that run at most once, shards with too few replicas and hosts without the setting decide as before: the
/// shard waits for the budget several times and fails after more than 100 ms.
#[rstest]
#[case::not_idempotent(true, 3, false)]
#[case::two_replicas(true, 2, true)]
#[case::off(false, 3, true)]
fn other_requests_are_not_affected(#[case] plan_repeats: bool, #[case] replicas: usize, #[case] idempotent: bool) {
    let run = |plan_repeats: bool| {
        let mut view = view(2, replicas, 1.0);
        view.classes[0].idempotent = idempotent;
        let mut driver = Driver::new(policy(plan_repeats, 0.0), view);
        driver.request("ask");
        driver.refuse();
        driver.accept();
        driver.wait(400);
        let (at, answer) = driver.answers.remove(0);
        (at, answer.code, answer.outcome, answer.retry_after, answer.cost, driver.core.stats())
    };
    let result = run(plan_repeats);
    assert_eq!(result, run(false));
    assert!(result.0 > START + 100, "{result:?}");
    assert_eq!(result.5.hopeless, 0);
}

/// Guards against a repeat at a third server where a class allows two: the refused first attempt counts as one.
#[test]
fn repeats_stay_within_the_servers_that_a_class_allows() {
    let mut view = view(1, 3, 1.0);
    view.classes[0].max_servers = Some(2);
    let mut driver = Driver::new(policy(true, 100.0), view);
    driver.fill("ask", 5000);
    driver.request("ask");
    let mut servers: Vec<id::Server> = Vec::new();
    while let Some(dispatch) = driver.attempts.first() {
        servers.push(dispatch.server);
        driver.refuse();
        driver.wait(200);
    }
    assert!(servers.len() > 2, "{servers:?}");
    servers.sort_unstable();
    servers.dedup();
    assert_eq!(servers.len(), 2, "{servers:?}");
}
