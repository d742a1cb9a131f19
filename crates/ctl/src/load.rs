//! An open-loop load: arrivals follow a clock and never wait for answers, so a slow system is not
//! spared the load that would have come (no coordinated omission). Latency counts from the instant
//! at which a request was due, not from the one at which it was sent.

use std::{
    cell::RefCell,
    net,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compact_str::CompactString;
use hdrhistogram::Histogram;
use http_body_util::Full;
use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs};
use serde::{Deserialize, Serialize};
use shallothub_core::traffic::event;
use shallothub_wire::caller;
use tokio::{task, time};

use crate::{client, error};

/// Longest latency that a histogram holds, in microseconds.
const LATENCY_MAX: u64 = 120_000_000;
/// Longest wait for the last answers.
const LINGER: Duration = Duration::from_secs(10);

/// A load to generate.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Nodes that get requests in turn.
    pub targets: Vec<net::SocketAddr>,
    /// The selector to ask for.
    pub class: CompactString,
    /// Arrivals a second, spread as a Poisson process.
    pub rate: f64,
    /// How long.
    pub span: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Whether each request carries a key of its own.
    pub with_keys: bool,
}

/// What came of a load. Latencies are in ms.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// The selector.
    pub class: CompactString,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Requests sent.
    pub requests: u64,
    /// Answers a second that were answered.
    pub goodput: f64,
    /// Median latency of answered requests.
    pub p50: f64,
    /// 99 of 100 answered requests were faster.
    pub p99: f64,
    /// 999 of 1000 answered requests were faster.
    pub p999: f64,
    /// Median latency of refusals.
    pub refusal_p50: f64,
    /// Mean coverage of answered requests.
    pub coverage_mean: f64,
    /// Least coverage of an answered request.
    pub coverage_least: f64,
    /// Attempts for each first attempt.
    pub attempts_per_first: f64,
    /// Requests by outcome.
    pub outcomes: IndexMap<CompactString, u64>,
    /// Requests by code.
    pub codes: IndexMap<CompactString, u64>,
    /// Refusals without a time to come back.
    pub without_retry_after: u64,
    /// Answers whose body contradicts itself: parts and missing do not add up.
    pub wrong_coverage: u64,
    /// Requests that got no HTTP answer.
    pub errors: u64,
}

struct Tally {
    answered: Histogram<u64>,
    refused: Histogram<u64>,
    coverage_sum: f64,
    coverage_least: f64,
    first: u64,
    extra: u64,
    report: Report,
}

impl Tally {
    fn new(plan: &Plan) -> Result<Self, error::Error> {
        let histogram = || match Histogram::new_with_max(LATENCY_MAX, 3) {
            Ok(histogram) => Ok(histogram),
            Err(error) => error::WriteSnafu { detail: error.to_string() }.fail(),
        };
        let report = Report { class: plan.class.clone(), seed: plan.seed, ..Report::default() };
        Ok(Self {
            answered: histogram()?,
            refused: histogram()?,
            coverage_sum: 0.0,
            coverage_least: 1.0,
            first: 0,
            extra: 0,
            report,
        })
    }

    fn record(&mut self, due: Instant, body: &[u8]) {
        let Ok(answer) = serde_json::from_slice::<caller::Answer<'_>>(body) else {
            self.report.errors += 1;
            return;
        };
        let took = due.elapsed().as_micros() as u64;
        *self.report.outcomes.entry(compact_str::format_compact!("{}", answer.outcome)).or_default() += 1;
        *self.report.codes.entry(compact_str::format_compact!("{}", answer.code)).or_default() += 1;
        self.first += u64::from(answer.cost.first);
        self.extra += u64::from(answer.cost.hedges + answer.cost.retries);
        if answer.outcome != event::Outcome::Answered {
            self.refused.saturating_record(took);
            self.report.without_retry_after += u64::from(answer.retry_after_ms.is_none());
            return;
        }
        self.answered.saturating_record(took);
        let shards = answer.shards as usize;
        let is_wrong = answer.parts.len() + answer.missing.len() != shards;
        self.report.wrong_coverage += u64::from(is_wrong);
        let coverage = answer.parts.len() as f64 / shards.max(1) as f64;
        self.coverage_sum += coverage;
        self.coverage_least = self.coverage_least.min(coverage);
    }

    fn finish(mut self, plan: &Plan) -> Report {
        let ms = |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        let answered = self.answered.len();
        self.report.goodput = answered as f64 / plan.span.as_secs_f64();
        self.report.p50 = ms(&self.answered, 0.5);
        self.report.p99 = ms(&self.answered, 0.99);
        self.report.p999 = ms(&self.answered, 0.999);
        self.report.refusal_p50 = ms(&self.refused, 0.5);
        if answered > 0 {
            self.report.coverage_mean = self.coverage_sum / answered as f64;
            self.report.coverage_least = self.coverage_least;
        }
        self.report.attempts_per_first = (self.first + self.extra) as f64 / self.first.max(1) as f64;
        self.report
    }
}

/// Idle connections by target.
type Idle = Rc<RefCell<IndexMap<net::SocketAddr, Vec<client::Connection>>>>;

/// Generates the load and waits for the last answers. Must run inside a local task set.
pub async fn run(plan: &Plan) -> Result<Report, error::Error> {
    let tally = Rc::new(RefCell::new(Tally::new(plan)?));
    let idle: Idle = Rc::default();
    let mut random = rngs::SmallRng::seed_from_u64(plan.seed);
    let mut running = task::JoinSet::new();
    let start = Instant::now();
    let mut due = start;
    let mut number = 0_u64;
    loop {
        let gap = -(1.0 - random.random::<f64>()).ln() / plan.rate;
        due += Duration::from_secs_f64(gap);
        if due.duration_since(start) >= plan.span {
            break;
        }
        time::sleep_until(due.into()).await;
        let target = plan.targets[number as usize % plan.targets.len()];
        let key = plan.with_keys.then(|| compact_str::format_compact!("load-{}-{number}", plan.seed));
        number += 1;
        running.spawn_local(one(plan.class.clone(), target, key, due, Rc::clone(&tally), Rc::clone(&idle)));
        while running.try_join_next().is_some() {}
    }
    let drained = async { while running.join_next().await.is_some() {} };
    let is_late = time::timeout(LINGER, drained).await.is_err();
    let mut tally = match Rc::try_unwrap(tally) {
        Ok(tally) => tally.into_inner(),
        Err(shared) => shared.replace(Tally::new(plan)?),
    };
    tally.report.requests = number;
    if is_late {
        tally.report.errors += running.len() as u64;
    }
    Ok(tally.finish(plan))
}

async fn one(
    class: CompactString,
    target: net::SocketAddr,
    key: Option<CompactString>,
    due: Instant,
    tally: Rc<RefCell<Tally>>,
    idle: Idle,
) {
    let called = call(&class, target, key, &idle).await;
    match called {
        Ok(body) => tally.borrow_mut().record(due, &body),
        Err(_) => tally.borrow_mut().report.errors += 1,
    }
}

async fn call(
    class: &str,
    target: net::SocketAddr,
    key: Option<CompactString>,
    idle: &Idle,
) -> Result<Bytes, error::Error> {
    let mut request = http::Request::post(format!("/query/{class}")).header(http::header::HOST, target.to_string());
    if let Some(key) = key {
        request = request.header(caller::KEY, key.as_str());
    }
    let body = Full::new(Bytes::from_static(b"{\"text\":\"krabi\"}"));
    let request = snafu::ResultExt::context(request.body(body), error::RequestSnafu)?;
    let kept = idle.borrow_mut().get_mut(&target).and_then(Vec::pop).filter(client::Connection::is_open);
    let mut connection = match kept {
        Some(connection) => connection,
        None => client::Connection::open(target).await?,
    };
    let response = connection.call(request).await?;
    if connection.is_open() {
        idle.borrow_mut().entry(target).or_default().push(connection);
    }
    Ok(response.into_body())
}
