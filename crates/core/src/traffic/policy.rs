//! Settings of the traffic decisions, with their defaults and the measurements behind them.

use serde::{Deserialize, Serialize};

use crate::{clock, ratio, urgency};

/// Settings of one traffic core. `docs/design/` lists the alternatives considered for each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Hedges allowed for each first attempt. Default 0.04: together with the retries it keeps the extra load
    /// of a healthy fleet with one straggler in a hundred below 5%.
    pub hedge_fraction: f64,
    /// Quantile of the class's recent attempt latency after which a hedge may be sent. Default 0.95.
    pub hedge_quantile: f64,
    /// Minimum delay before a hedge, in ms. Default 4.
    pub hedge_floor: clock::Millis,
    /// Retries allowed for each first attempt. Default 0.06.
    pub retry_fraction: f64,
    /// Burst size of the hedge budget and of the retry budget, in extra attempts. Default 64.
    pub burst: f64,
    /// Maximum number of attempts for one shard of one query. Default 4.
    pub attempts_per_shard: u8,
    /// Whether servers with consecutive failures are ejected for a while. Default true.
    pub ejection: bool,
    /// Duration of the first ejection, in ms; doubles each time. Default 1000.
    pub ejection_base: clock::Millis,
    /// Maximum fraction of a service's servers that may be ejected at once. Default 0.5.
    pub ejection_ceiling: ratio::Ratio,
    /// Consecutive failures before an ejection. Default 3.
    pub ejection_failures: u32,
    /// Whether a replica is chosen by this core's own measurements (two random choices) rather than at random.
    pub two_choices: bool,
    /// Whether a replica with free capacity is preferred to one without. Default false.
    pub prefer_room: bool,
    /// Weight of the load that a server reports, which decays with its half-life. Default 0: it lags and
    /// misleads, and this core's own measurements did better (see `docs/MEASUREMENTS.md`).
    pub reported_load_weight: f64,
    /// Whether the limit on concurrent queries adapts. Default true.
    pub adaptive_admission: bool,
    /// Whether a request is refused on arrival if the wait for capacity at the servers would make its answer
    /// miss the target latency. Default false.
    pub refuse_by_wait: bool,
    /// Fraction of the deadline that a query's run may take before the admission limit is cut. Default 0.4.
    pub latency_target: ratio::Ratio,
    /// Fraction of a request's timeout that it may be expected to wait before it runs; a request with a longer
    /// expected wait is refused on arrival. Default 0.25.
    pub queue_share: ratio::Ratio,
    /// Maximum number of concurrent queries of a class in one traffic core. Default 512.
    pub running_ceiling: u32,
    /// Maximum number of queued queries of a class. Default 256.
    pub queue_ceiling: u32,
    /// Gap between steps that counts as a pause of the process, in ms. Default 1000.
    pub pause: clock::Millis,
    /// Maximum time that idempotent work is held back after a pause, in ms. Default 200.
    pub revalidate_grace: clock::Millis,
    /// How long the key of a finished request that is not idempotent is remembered, in ms. Default 60000.
    pub key_window: clock::Millis,
    /// Maximum number of keys remembered. Default 65536.
    pub key_ceiling: usize,
    /// How long a connection that was closed to cancel an attempt still counts, in ms: the server notices the
    /// close only after a while, and a new connection in its place would exceed its limit. Default 20.
    pub close_lag: clock::Millis,
    /// Whether shards that answered from another snapshot are queried again. Default true.
    pub reask: bool,
    /// Time reserved for sending the answer to the caller, in ms; attempts must end that long before the
    /// caller's deadline. Default 2.
    pub margin: clock::Millis,
    /// How long before the target latency an answer must be sent to be in time, in ms: covers the request's
    /// transit to this host, which the host cannot measure, and the answer's way back. Default 10.
    pub aim_margin: clock::Millis,
    /// Quantile of the class's recent attempt latency after which a server counts as silent, but at most twice
    /// the hedge delay. Default 0.98.
    pub silence_quantile: f64,
    /// How long a silent server is avoided at first, in ms; doubles while it stays silent. 0 disables this.
    /// Default 0.
    pub silence: clock::Millis,
    /// Replicas whose expected latency is within this factor of the best count as equal, and the choice is
    /// random: small differences are noise, and following them would send all traffic to one server. Default 1.
    pub score_band: f64,
    /// Factor on the expected latency of replicas in other data centres. Traffic between data centres has a
    /// cost, so a local replica is preferred until it is slower by this factor. Default 1.
    pub far_cost: f64,
    /// Whether all replicas of a shard are compared by the expected time to a usable answer, which takes the place of
    /// `two_choices` and `prefer_room`. Default false.
    pub expected_time: bool,
    /// Minimum number of open replicas of a shard for `expected_time` and `plan_repeats` to apply. Default 3: with
    /// two, the only alternative is the one that the first repeat uses anyway.
    pub min_replicas: u8,
    /// Whether repeats are planned for a search as a whole: one that cannot reach its least coverage ends at once, and
    /// extra attempts go where they make a search complete in time. Default false.
    pub plan_repeats: bool,
    /// This host's share of the fleet-wide bound on extra attempts at each service. Default none.
    pub fleet: Option<Fleet>,
    /// Whether requests are admitted by urgency while shared servers lack capacity, and how. Default none: each host
    /// then decides by its own queues alone.
    pub urgency: Option<urgency::Policy>,
}

/// A bound on extra attempts at one service, over all hosts and any window of time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Extra attempts allowed for each request. Default 0.
    pub ratio: f64,
    /// Further extra attempts allowed in each window, over all hosts. Default 0.
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
            expected_time: false,
            min_replicas: 3,
            plan_repeats: false,
            fleet: None,
            urgency: None,
        }
    }
}
