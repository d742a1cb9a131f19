//! Every knob of the traffic decisions, with its default and the measurement that set it.

use serde::{Deserialize, Serialize};

use crate::{clock, ratio};

/// Knobs of one traffic core. `docs/design/` gives the ways weighed for each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Hedges allowed for each first attempt. Default 0.04: with the retries' share it keeps the
    /// extra load of a healthy fleet with one straggler in a hundred below 5%.
    pub hedge_fraction: f64,
    /// Quantile of the class's recent attempt latency after which a hedge may go out. Default 0.95.
    pub hedge_quantile: f64,
    /// Shortest wait before a hedge, in ms. Default 4.
    pub hedge_floor: clock::Millis,
    /// Retries allowed for each first attempt. Default 0.06.
    pub retry_fraction: f64,
    /// Extra attempts that may be spent in a burst, for hedges and for retries each. Default 64.
    pub burst: f64,
    /// Most attempts for one shard of one query. Default 4.
    pub attempts_per_shard: u8,
    /// Whether servers that keep failing are left out for a while. Default true.
    pub ejection: bool,
    /// First time out of use after an ejection, in ms; doubles each time. Default 1000.
    pub ejection_base: clock::Millis,
    /// Largest share of a service's servers that may be out at once. Default 0.5.
    pub ejection_ceiling: ratio::Ratio,
    /// Consecutive failures before an ejection. Default 3.
    pub ejection_failures: u32,
    /// Whether a replica is chosen by own evidence (two random choices); else at random.
    pub two_choices: bool,
    /// Whether a replica that cannot take an attempt at once is passed over for one that can. Default
    /// false.
    pub prefer_room: bool,
    /// Weight of the load that a server reports, aged by its half-life. Default 0: it lags and
    /// misleads, and own evidence did better (see `docs/MEASUREMENTS.md`).
    pub reported_load_weight: f64,
    /// Whether the number of queries that run at once adapts. Default true.
    pub adaptive_admission: bool,
    /// Whether a request is refused when it comes that would wait for room at the servers for so long
    /// that its answer could not be inside the aim. Default false.
    pub refuse_by_wait: bool,
    /// Share of the deadline that a query's run may take before admission is cut. Default 0.4.
    pub latency_target: ratio::Ratio,
    /// Share of a request's time that it may be expected to wait before it runs; one that would wait
    /// longer is refused when it comes. Default 0.25.
    pub queue_share: ratio::Ratio,
    /// Most queries of a class that run at once in one traffic core. Default 512.
    pub running_ceiling: u32,
    /// Most queries of a class that wait to run. Default 256.
    pub queue_ceiling: u32,
    /// A gap between steps that counts as a pause of the process, in ms. Default 1000.
    pub pause: clock::Millis,
    /// Longest time that repeatable work is held back after a pause, in ms. Default 200.
    pub revalidate_grace: clock::Millis,
    /// How long the key of a finished request that is not idempotent is remembered, in ms.
    /// Default 60000.
    pub key_window: clock::Millis,
    /// Most keys remembered. Default 65536.
    pub key_ceiling: usize,
    /// How long a connection that was closed to cancel an attempt still counts, in ms: the server
    /// learns of the close only after a while, and a new connection in its place would be one too
    /// many. Default 20.
    pub close_lag: clock::Millis,
    /// Whether shards that answered from another snapshot are asked again. Default true.
    pub reask: bool,
    /// Time that an answer needs on its way to the caller, in ms; no attempt is given the very end of
    /// a caller's time. Default 2.
    pub margin: clock::Millis,
    /// Time before the aim at which an answer must leave to be in time, in ms: the way of the request
    /// to this host, which the host does not see, and the way back. Default 10.
    pub aim_margin: clock::Millis,
    /// Quantile of the class's recent attempt latency after which a server counts as silent, but no later
    /// than twice the wait before a hedge. Default 0.98.
    pub silence_quantile: f64,
    /// First time that a server is passed over after it was silent for longer than most, in ms;
    /// doubles while it stays silent. 0 passes over none. Default 0.
    pub silence: clock::Millis,
    /// Replicas whose expected time is within this factor of the best are equal, and chance decides:
    /// small differences are noise, and all would follow it to one server. Default 1.
    pub score_band: f64,
    /// How many times the expected time of a replica in another data centre counts: bytes between data
    /// centres cost, and a replica nearby is preferred until it is so much slower. Default 1.
    pub far_cost: f64,
    /// This host's part of the bound on extra attempts that all hosts together must keep for each
    /// service. Default none.
    pub fleet: Option<Fleet>,
}

/// A bound on extra attempts at one service, over all hosts and any window of time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Extra attempts allowed for each request. Default 0.
    pub ratio: f64,
    /// Extra attempts allowed besides in each window, by all hosts together. Default 0.
    pub slack: f64,
    /// Length of the window, in ms. Default 10000.
    pub window: clock::Millis,
}

impl Default for Fleet {
    fn default() -> Self {
        Self { ratio: 0.0, slack: 0.0, window: clock::Millis(10_000) }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            hedge_fraction: 0.04,
            hedge_quantile: 0.95,
            hedge_floor: clock::Millis(4),
            retry_fraction: 0.06,
            burst: 64.0,
            attempts_per_shard: 4,
            ejection: true,
            ejection_base: clock::Millis(1000),
            ejection_ceiling: ratio::Ratio::try_from(0.5).unwrap_or_default(),
            ejection_failures: 3,
            two_choices: true,
            prefer_room: false,
            reported_load_weight: 0.0,
            adaptive_admission: true,
            refuse_by_wait: false,
            latency_target: ratio::Ratio::try_from(0.4).unwrap_or_default(),
            queue_share: ratio::Ratio::try_from(0.25).unwrap_or_default(),
            running_ceiling: 512,
            queue_ceiling: 256,
            pause: clock::Millis(1000),
            revalidate_grace: clock::Millis(200),
            key_window: clock::Millis(60_000),
            key_ceiling: 65_536,
            close_lag: clock::Millis(20),
            reask: true,
            margin: clock::Millis(2),
            aim_margin: clock::Millis(10),
            silence_quantile: 0.98,
            silence: clock::Millis::ZERO,
            score_band: 1.0,
            far_cost: 1.0,
            fleet: None,
        }
    }
}
