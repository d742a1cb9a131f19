//! An open-loop load generator: arrivals follow a schedule and never wait for answers, so a slow
//! system still receives the full load (no coordinated omission). Latency is measured from the
//! instant at which a request was due, not from the one at which it was sent.

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

/// Maximum latency that a histogram records, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Maximum wait for outstanding answers after the last arrival.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Parameters of the load.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Nodes to send requests to, in rotation.
    pub targets: Vec<net::SocketAddr>,
    /// Name of the selector to query.
    pub class: CompactString,
    /// Mean arrivals per second, as a Poisson process.
    pub rate: f64,
    /// Time over which requests arrive.
    pub duration: Duration,
    /// Seed of the random arrival times.
    pub seed: u64,
    /// Whether each request carries its own idempotency key.
    pub with_keys: bool,
}

/// Results of a load. Latencies are in ms.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Name of the selector that was queried.
    pub class: CompactString,
    /// Seed of the random arrival times.
    pub seed: u64,
    /// Number of requests that were due, including those that failed.
    pub requests: u64,
    /// Requests per second with the outcome `answered`.
    pub goodput: f64,
    /// Median latency of answered requests.
    pub p50: f64,
    /// 99th percentile of the latency of answered requests.
    pub p99: f64,
    /// 99.9th percentile of the latency of answered requests.
    pub p999: f64,
    /// Median latency of requests with another outcome than `answered`.
    pub refusal_p50: f64,
    /// Mean coverage of answered requests, the fraction of shards in an answer.
    pub coverage_mean: f64,
    /// Minimum coverage of an answered request.
    pub coverage_least: f64,
    /// Ratio of all attempts, with hedges and retries, to first attempts.
    pub attempts_per_first: f64,
    /// Number of answers by outcome.
    pub outcomes: IndexMap<CompactString, u64>,
    /// Number of answers by code.
    pub codes: IndexMap<CompactString, u64>,
    /// Refusals without a retry-after time.
    pub without_retry_after: u64,
    /// Inconsistent answers, in which parts and missing shards do not add up to all shards.
    pub wrong_coverage: u64,
    /// Requests without a readable answer.
    pub errors: u64,
}

struct Tally {
    answered: Histogram<u64>,
    refused: Histogram<u64>,
    coverage_sum: f64,
    coverage_least: f64,
    first_attempts: u64,
    extra_attempts: u64,
    report: Report,
}

impl Tally {
    fn new(plan: &Plan) -> Result<Self, error::Error> {
        let histogram = || match Histogram::new_with_max(MAX_LATENCY_US, 3) {
            Ok(histogram) => Ok(histogram),
            Err(error) => error::WriteSnafu { detail: error.to_string() }.fail(),
        };
        let report = Report { class: plan.class.clone(), seed: plan.seed, ..Report::default() };
        Ok(Self {
            answered: histogram()?,
            refused: histogram()?,
            coverage_sum: 0.0,
            coverage_least: 1.0,
            first_attempts: 0,
            extra_attempts: 0,
            report,
        })
    }

    fn record(&mut self, due: Instant, body: &[u8]) {
        let Ok(answer) = serde_json::from_slice::<caller::Answer<'_>>(body) else {
            self.report.errors += 1;
            return;
        };
        let latency = due.elapsed().as_micros() as u64;
        *self.report.outcomes.entry(compact_str::format_compact!("{}", answer.outcome)).or_default() += 1;
        *self.report.codes.entry(compact_str::format_compact!("{}", answer.code)).or_default() += 1;
        self.first_attempts += u64::from(answer.cost.first);
        self.extra_attempts += u64::from(answer.cost.hedges + answer.cost.retries);
        if answer.outcome != event::Outcome::Answered {
            self.refused.saturating_record(latency);
            self.report.without_retry_after += u64::from(answer.retry_after_ms.is_none());
            return;
        }
        self.answered.saturating_record(latency);
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
        self.report.goodput = answered as f64 / plan.duration.as_secs_f64();
        self.report.p50 = ms(&self.answered, 0.5);
        self.report.p99 = ms(&self.answered, 0.99);
        self.report.p999 = ms(&self.answered, 0.999);
        self.report.refusal_p50 = ms(&self.refused, 0.5);
        if answered > 0 {
            self.report.coverage_mean = self.coverage_sum / answered as f64;
            self.report.coverage_least = self.coverage_least;
        }
        self.report.attempts_per_first =
            (self.first_attempts + self.extra_attempts) as f64 / self.first_attempts.max(1) as f64;
        self.report
    }
}

/// Idle connections by target, for reuse.
type Pool = Rc<RefCell<IndexMap<net::SocketAddr, Vec<client::Connection>>>>;

/// Generates the load and waits up to 10 s for outstanding answers. Must run inside a local task set.
pub async fn run(plan: &Plan) -> Result<Report, error::Error> {
    let tally = Rc::new(RefCell::new(Tally::new(plan)?));
    let pool: Pool = Rc::default();
    let mut rng = rngs::SmallRng::seed_from_u64(plan.seed);
    let mut running = task::JoinSet::new();
    let start = Instant::now();
    let mut due = start;
    let mut sent = 0_u64;
    loop {
        let interarrival = -(1.0 - rng.random::<f64>()).ln() / plan.rate;
        due += Duration::from_secs_f64(interarrival);
        if due.duration_since(start) >= plan.duration {
            break;
        }
        time::sleep_until(due.into()).await;
        let target = plan.targets[sent as usize % plan.targets.len()];
        let key = plan.with_keys.then(|| compact_str::format_compact!("load-{}-{sent}", plan.seed));
        sent += 1;
        running.spawn_local(run_request(plan.class.clone(), target, key, due, Rc::clone(&tally), Rc::clone(&pool)));
        while running.try_join_next().is_some() {}
    }
    let drain = async { while running.join_next().await.is_some() {} };
    let has_timed_out = time::timeout(DRAIN_TIMEOUT, drain).await.is_err();
    let mut tally = match Rc::try_unwrap(tally) {
        Ok(tally) => tally.into_inner(),
        Err(shared) => shared.replace(Tally::new(plan)?),
    };
    tally.report.requests = sent;
    if has_timed_out {
        tally.report.errors += running.len() as u64;
    }
    Ok(tally.finish(plan))
}

async fn run_request(
    class: CompactString,
    target: net::SocketAddr,
    key: Option<CompactString>,
    due: Instant,
    tally: Rc<RefCell<Tally>>,
    pool: Pool,
) {
    let result = call(&class, target, key, &pool).await;
    match result {
        Ok(body) => tally.borrow_mut().record(due, &body),
        Err(_) => tally.borrow_mut().report.errors += 1,
    }
}

async fn call(
    class: &str,
    target: net::SocketAddr,
    key: Option<CompactString>,
    pool: &Pool,
) -> Result<Bytes, error::Error> {
    let mut request = http::Request::post(format!("/query/{class}")).header(http::header::HOST, target.to_string());
    if let Some(key) = key {
        request = request.header(caller::KEY, key.as_str());
    }
    let body = Full::new(Bytes::from_static(b"{\"text\":\"krabi\"}"));
    let request = snafu::ResultExt::context(request.body(body), error::RequestSnafu)?;
    let pooled = pool.borrow_mut().get_mut(&target).and_then(Vec::pop).filter(client::Connection::is_open);
    let mut connection = match pooled {
        Some(connection) => connection,
        None => client::Connection::open(target).await?,
    };
    let response = connection.call(request).await?;
    if connection.is_open() {
        pool.borrow_mut().entry(target).or_default().push(connection);
    }
    Ok(response.into_body())
}
