//! Prometheus metrics: histograms per class and service, counters of outcomes and invariant violations.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};
use snafu::ResultExt;

use shallothub_core::{control, invariant, traffic, traffic::event};

use crate::error;

const LATENCY_BUCKETS: [f64; 16] =
    [1.0, 2.0, 3.0, 5.0, 8.0, 12.0, 20.0, 35.0, 60.0, 100.0, 150.0, 240.0, 400.0, 700.0, 1500.0, 5000.0];
const COVERAGE_BUCKETS: [f64; 8] = [0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0];

/// All metrics of a node.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Time from request to answer, in ms, by class and outcome.
    pub query_ms: HistogramVec,
    /// Fraction of the shards that contributed to an answer, by class.
    pub coverage: HistogramVec,
    /// Time from dispatch to reply, in ms, by service.
    pub attempt_ms: HistogramVec,
    /// Answers by class, outcome and code.
    pub answers: IntCounterVec,
    /// Invariant violations, by name.
    pub breaches: IntCounterVec,
    /// Counters and table sizes of the traffic cores, by lane and name.
    pub lane: IntGaugeVec,
    /// Requests that admission by urgency admitted and rejected, by lane, class and decision.
    pub urgency: IntGaugeVec,
    /// Counters of the control core, by name.
    pub control: IntGaugeVec,
    /// Bytes of messages between hosts, by direction.
    pub peer_bytes: IntCounterVec,
    /// Connections opened to backend servers.
    pub connections: IntCounter,
    /// Idle connections to backend servers that an attempt did not use, since they had carried its request before.
    pub reuses_avoided: IntCounter,
    /// Requests relayed to another host and answered by it.
    pub relayed: IntCounter,
    /// Requests rejected before they reached the core, by code.
    pub refusals: IntCounterVec,
    /// Bytes held, by kind; none if no bound on memory is set.
    pub held_bytes: IntGaugeVec,
    /// Holders of bytes that were closed, by kind.
    pub held_closed: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Result<Self, error::Error> {
        Self::register().context(error::MetricsSnafu)
    }

    fn register() -> Result<Self, prometheus::Error> {
        let histogram = |name: &str, help: &str, buckets: &[f64], labels: &[&str]| {
            HistogramVec::new(HistogramOpts::new(name, help).buckets(buckets.to_vec()), labels)
        };
        let metrics = Self {
            registry: Registry::new(),
            query_ms: histogram(
                "shallothub_query_ms",
                "Time from request to answer",
                &LATENCY_BUCKETS,
                &["class", "outcome"],
            )?,
            coverage: histogram("shallothub_coverage", "Share of shards in an answer", &COVERAGE_BUCKETS, &["class"])?,
            attempt_ms: histogram(
                "shallothub_attempt_ms",
                "Time from dispatch to reply",
                &LATENCY_BUCKETS,
                &["service"],
            )?,
            answers: IntCounterVec::new(Opts::new("shallothub_answers", "Answers"), &["class", "outcome", "code"])?,
            breaches: IntCounterVec::new(Opts::new("shallothub_breaches", "Promises that did not hold"), &["promise"])?,
            lane: IntGaugeVec::new(Opts::new("shallothub_lane", "Counters and sizes of a lane"), &["lane", "name"])?,
            urgency: IntGaugeVec::new(
                Opts::new("shallothub_urgency", "Requests admitted and rejected by urgency"),
                &["lane", "class", "decision"],
            )?,
            control: IntGaugeVec::new(Opts::new("shallothub_control", "Counters of control"), &["name"])?,
            peer_bytes: IntCounterVec::new(
                Opts::new("shallothub_peer_bytes", "Bytes of messages between hosts"),
                &["direction"],
            )?,
            connections: IntCounter::new("shallothub_connections", "Connections opened to backend servers")?,
            reuses_avoided: IntCounter::new(
                "shallothub_reuses_avoided",
                "Idle connections that had carried an earlier attempt of the same request",
            )?,
            relayed: IntCounter::new("shallothub_relayed", "Requests that another host gathered for this one")?,
            refusals: IntCounterVec::new(
                Opts::new("shallothub_refusals", "Requests turned away before they reached the core"),
                &["code"],
            )?,
            held_bytes: IntGaugeVec::new(Opts::new("shallothub_held_bytes", "Bytes held"), &["kind"])?,
            held_closed: IntCounterVec::new(
                Opts::new("shallothub_held_closed", "Bodies and answers closed for lack of memory or progress"),
                &["kind"],
            )?,
        };
        metrics.registry.register(Box::new(metrics.query_ms.clone()))?;
        metrics.registry.register(Box::new(metrics.coverage.clone()))?;
        metrics.registry.register(Box::new(metrics.attempt_ms.clone()))?;
        metrics.registry.register(Box::new(metrics.answers.clone()))?;
        metrics.registry.register(Box::new(metrics.breaches.clone()))?;
        metrics.registry.register(Box::new(metrics.lane.clone()))?;
        metrics.registry.register(Box::new(metrics.urgency.clone()))?;
        metrics.registry.register(Box::new(metrics.control.clone()))?;
        metrics.registry.register(Box::new(metrics.connections.clone()))?;
        metrics.registry.register(Box::new(metrics.reuses_avoided.clone()))?;
        metrics.registry.register(Box::new(metrics.refusals.clone()))?;
        metrics.registry.register(Box::new(metrics.relayed.clone()))?;
        metrics.registry.register(Box::new(metrics.held_bytes.clone()))?;
        metrics.registry.register(Box::new(metrics.held_closed.clone()))?;
        metrics.registry.register(Box::new(metrics.peer_bytes.clone()))?;
        for name in invariant::Name::ALL {
            metrics.breaches.with_label_values(&[name.as_str()]).inc_by(0);
        }
        Ok(metrics)
    }

    /// Counts and logs an invariant violation.
    pub fn record_breach(&self, breach: &invariant::Breach) {
        self.breaches.with_label_values(&[breach.name.as_str()]).inc();
        tracing::error!(promise = %breach.name, detail = %breach.detail, "a promise did not hold");
    }

    /// Counts a request that was rejected before it reached the core.
    pub fn record_rejection(&self, code: &str) {
        self.refusals.with_label_values(&[code]).inc();
    }

    /// Records an answer to a query over `shards` shards, `took_ms` after the request.
    pub fn record_answer(&self, class: &str, answer: &event::Answer, shards: usize, took_ms: f64) {
        let outcome = answer.outcome.as_str();
        self.query_ms.with_label_values(&[class, outcome]).observe(took_ms);
        self.answers.with_label_values(&[class, outcome, answer.code.as_str()]).inc();
        if answer.via.is_some() {
            self.relayed.inc();
            return;
        }
        if answer.outcome == event::Outcome::Answered && shards > 0 {
            let share = answer.contributed.len() as f64 / shards as f64;
            self.coverage.with_label_values(&[class]).observe(share);
        }
    }

    /// Sets the gauges of a lane from its counters.
    pub fn set_lane(&self, lane: usize, stats: &traffic::summary::Stats) {
        let lane = lane.to_string();
        let gauges = [
            ("queries", stats.queries as i64),
            ("attempts", stats.attempts as i64),
            ("keys", stats.keys as i64),
            ("timers", stats.timers as i64),
            ("ejected", stats.ejected as i64),
            ("replaced", stats.replaced as i64),
            ("first_attempts", stats.first as i64),
            ("hedges", stats.hedges as i64),
            ("retries", stats.retries as i64),
            ("not_sent", stats.not_sent as i64),
            ("refused", stats.refused as i64),
            ("lost", stats.lost as i64),
            ("late_replies", stats.late as i64),
            ("mixed_queries", stats.mixed as i64),
            ("restarts", stats.restarts as i64),
            ("pauses", stats.pauses as i64),
            ("ejections", stats.ejections as i64),
            ("far_choices", stats.far_choices as i64),
            ("standing_choices", stats.standing_choices as i64),
            ("observed", stats.observed as i64),
            ("hopeless", stats.hopeless as i64),
            ("tokens_complete", stats.tokens_complete as i64),
            ("tokens_coverage", stats.tokens_coverage as i64),
            ("tokens_late", stats.tokens_late as i64),
            ("tokens_withheld", stats.tokens_withheld as i64),
            ("denied_by_class", stats.denied_by_class as i64),
            ("denied_by_service", stats.denied_by_service as i64),
        ];
        for (name, value) in gauges {
            self.lane.with_label_values(&[lane.as_str(), name]).set(value);
        }
    }

    /// Sets the numbers of requests of a class that a lane admitted and rejected by urgency.
    pub fn set_urgency(&self, lane: usize, class: &str, admitted: u64, rejected: u64) {
        let lane = lane.to_string();
        for (decision, count) in [("admitted", admitted), ("rejected", rejected)] {
            self.urgency.with_label_values(&[lane.as_str(), class, decision]).set(count as i64);
        }
    }

    /// Sets the gauges of the control core from its counters.
    pub fn set_control(&self, stats: &control::Stats) {
        let gauges = [
            ("platform_calls", stats.platform_calls),
            ("platform_failures", stats.platform_failures),
            ("platform_stale", stats.platform_stale),
            ("messages_sent", stats.sent),
            ("messages_received", stats.received),
            ("messages_unknown", stats.unknown),
            ("catalogs_adopted", stats.adopted),
            ("catalogs_refused", stats.refused),
            ("evacuations", stats.evacuations),
            ("suspects", stats.suspects),
            ("held", stats.held),
            ("convicted", stats.convicted),
            ("opinions", stats.opinions),
            ("standings", stats.standings),
            ("evidence_merged", stats.evidence_merged),
            ("evidence_sent", stats.evidence_sent),
            ("evidence_bytes", stats.evidence_bytes),
            ("entries", stats.entries),
            ("servers", stats.servers),
            ("servers_held", stats.servers_held),
            ("gatherer_changes", stats.gatherer_changes),
            ("gatherers", stats.gatherers),
            ("demand_thousandths", u64::from(stats.demand.0)),
        ];
        for (name, value) in gauges {
            self.control.with_label_values(&[name]).set(value as i64);
        }
    }

    /// All metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = Vec::new();
        // Encoding to memory fails only on inconsistent metrics, and the set of metrics is fixed.
        TextEncoder::new().encode(&self.registry.gather(), &mut text).ok();
        String::from_utf8(text).unwrap_or_default()
    }
}
