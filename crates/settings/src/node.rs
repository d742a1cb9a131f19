//! The settings of a node, from the file given with `--settings`.

use std::{net, ops};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use shallothub_core::{clock, control, plan, traffic};

use crate::yaml;

/// The interface towards callers, backend servers and the source of configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Interface {
    /// The product's own interface.
    #[default]
    Own,
    /// The interface of the users' platform.
    Platform,
}

/// Settings of a node. Times are in milliseconds, sizes in bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This host's name in the platform's list of hosts.
    pub name: CompactString,
    /// The host's data centre.
    pub data_centre: CompactString,
    /// The region of each data centre, for selectors and routes that are restricted to some regions. Default none;
    /// restricted selectors and routes are then not served.
    #[serde(default)]
    pub regions: plan::Regions,
    /// The interface that the node implements. Default `own`.
    #[serde(default)]
    pub interface: Interface,
    /// `IP:PORT` for callers; with the interface `own` also for health and metrics.
    pub listen: net::SocketAddr,
    /// `IP:PORT` for the load balancer's readiness checks, if not at `listen`.
    #[serde(default)]
    pub ready: Option<net::SocketAddr>,
    /// `IP:PORT` for metrics, status and query explanations, if not at `listen`.
    #[serde(default)]
    pub admin: Option<net::SocketAddr>,
    /// `IP:PORT` for requests relayed by other hosts, for which this host gathers. Default none.
    #[serde(default)]
    pub relay: Option<net::SocketAddr>,
    /// Processor time available to the node, in cores. A host with much less than others relays gathers to
    /// them. Default 1.
    #[serde(default = "whole")]
    pub processor: f64,
    /// `IP:PORT` for messages from other hosts.
    pub peer: net::SocketAddr,
    /// `IP:PORT` of the platform's configuration service.
    pub platform: net::SocketAddr,
    /// `IP:PORT` of hosts to contact at start before the platform. List the same two or three on every
    /// host of a data centre, including these hosts. Default none.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// Maximum number of open file descriptors of the process; connections to backend servers use at most a part
    /// of them. Default 4096.
    #[serde(default = "descriptors")]
    pub descriptors: u32,
    /// Number of traffic threads. Each gets a part of this host's share of connections, so use one thread for a
    /// small share. Default 1.
    #[serde(default = "one")]
    pub traffic_threads: u32,
    /// Log filter, such as `info` or `shallothub_node=debug`; reloaded on SIGHUP. Default `info`.
    #[serde(default = "info")]
    pub log: CompactString,
    /// Maximum size of a request body, in bytes. Default 65536.
    #[serde(default = "request_bytes")]
    pub request_bytes_max: usize,
    /// Maximum size of one shard's reply, in bytes. Default 1048576.
    #[serde(default = "reply_bytes")]
    pub reply_bytes_max: usize,
    /// Timeout for reading a request body, in ms. Default 2000.
    #[serde(default = "body_wait")]
    pub body_wait_ms: clock::Millis,
    /// Bound on the memory of the process. Absent, the default, nothing is bounded.
    #[serde(default)]
    pub memory: Option<Memory>,
    /// Time without progress after which the connection of a caller that does not read its answer is closed, in ms. The
    /// time in which a slow reader may show no progress is added to it, at most 65 s. Default 5000.
    #[serde(default = "answer_wait")]
    pub answer_wait_ms: clock::Millis,
    /// Time to keep serving after SIGTERM until the load balancer notices, in ms. Default 3000.
    #[serde(default = "balancer_lag")]
    pub balancer_lag_ms: clock::Millis,
    /// Timeout for finishing requests in flight and delivering their answers after that, in ms. Both times together should
    /// end shortly before the process is killed. Default 10000.
    #[serde(default = "drain_most")]
    pub drain_most_ms: clock::Millis,
    /// Parameters of the traffic core.
    #[serde(default)]
    pub traffic: traffic::policy::Policy,
    /// Parameters of the control core.
    #[serde(default)]
    pub control: control::Policy,
}

/// Bound on the memory of a process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Memory {
    /// Memory that the process may use, in units of 1,000,000 bytes.
    pub limit_mb: u32,
    /// Fraction of `limit_mb` above which new requests are refused. Default 0.6.
    #[serde(default = "mark")]
    pub mark: f64,
}

fn mark() -> f64 {
    0.6
}

fn answer_wait() -> clock::Millis {
    clock::Millis(5000)
}

fn whole() -> f64 {
    1.0
}

fn one() -> u32 {
    1
}

fn descriptors() -> u32 {
    4096
}

fn info() -> CompactString {
    CompactString::const_new("info")
}

fn request_bytes() -> usize {
    64 << 10
}

fn reply_bytes() -> usize {
    1 << 20
}

fn body_wait() -> clock::Millis {
    clock::Millis(2000)
}

fn balancer_lag() -> clock::Millis {
    clock::Millis(3000)
}

fn drain_most() -> clock::Millis {
    clock::Millis(10_000)
}

/// Minimum number of file descriptors: listeners, connections to hosts and the platform, logs, and some
/// connections to callers and backend servers.
const MIN_DESCRIPTORS: u32 = 64;

/// Minimum interval between updates with evidence. Shorter ones wake small hosts many times a second.
const MIN_EVIDENCE_INTERVAL: clock::Millis = clock::Millis(50);
/// Maximum number of hosts that an update with evidence is sent to at once.
const MAX_EVIDENCE_PEERS: u32 = 16;
/// Minimum rate of evidence. Two seconds' worth must hold the largest update, of 1,760 bytes.
const MIN_EVIDENCE_BYTES: u32 = 1000;
/// Minimum of `memory.limit_mb`: a process without any load uses up to 20 MB.
const MIN_MEMORY_MB: u32 = 40;
/// Maximum of `memory.mark`: without room above it, urgent requests are refused together with all others.
const MAX_MARK: f64 = 0.8;
/// Permitted intervals of admission by urgency, in ms: shorter ones measure too few waits, and hosts must agree within a
/// second.
const URGENCY_INTERVALS: ops::RangeInclusive<u64> = 50..=1000;

/// Parses and validates settings; `document` is the file name in faults.
pub fn read(document: &str, text: &str) -> Result<Settings, Vec<plan::Fault>> {
    let settings: Settings = yaml::read(document, text)?;
    let faults = check(document, &settings);
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

fn check(document: &str, settings: &Settings) -> Vec<plan::Fault> {
    let mut faults = Vec::new();
    let mut fault = |problem: &str, remedy: &str| {
        faults.push(plan::Fault {
            document: CompactString::from(document),
            position: plan::Position { line: 1, column: 1 },
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        });
    };
    if settings.regions.iter().any(|(data_centre, region)| data_centre.is_empty() || region.is_empty()) {
        fault("`regions` has a data centre or a region without a name", "use the form DATA_CENTRE: REGION");
    }
    if settings.traffic_threads == 0 {
        fault("`traffic_threads` is 0", "set it to 1 or more");
    }
    if settings.peer == settings.listen && settings.listen.port() != 0 {
        fault("`peer` and `listen` are the same address", "use different ports");
    }
    if settings.peer.ip().is_unspecified() {
        fault("`peer` is an unspecified address, which other hosts cannot reach", "set it to this host's IP address");
    }
    if settings.interface == Interface::Platform && settings.ready.is_none() {
        fault("`ready` is missing", "set the address for readiness checks of the platform");
    }
    if settings.processor.is_nan() || settings.processor <= 0.0 {
        fault("`processor` is not above 0", "set the number of cores that the node may use, such as 0.25");
    }
    let others = [Some(settings.peer), settings.ready, settings.admin, settings.relay];
    for (index, address) in others.iter().enumerate().filter_map(|(index, address)| Some((index, (*address)?))) {
        let is_taken = address == settings.listen || others[..index].contains(&Some(address));
        if is_taken && address.port() != 0 && address != settings.peer {
            fault("`ready`, `admin` or `relay` is an address that is taken", "use a different port for each");
        }
    }
    if settings.name.is_empty() || settings.data_centre.is_empty() {
        fault("`name` or `data_centre` is empty", "set them as in the platform's list of hosts");
    }
    if settings.traffic.hedge_fraction < 0.0 || settings.traffic.retry_fraction < 0.0 {
        fault("a budget under `traffic` is negative", "set `hedge_fraction` and `retry_fraction` to 0 or more");
    }
    if settings.traffic.fleet.is_some_and(|fleet| fleet.ratio < 0.0 || fleet.slack < 0.0) {
        fault("a bound under `traffic.fleet` is negative", "set `ratio` and `slack` to 0 or more");
    }
    let is_quantile = |quantile: f64| quantile > 0.0 && quantile < 1.0;
    if !is_quantile(settings.traffic.hedge_quantile) || !is_quantile(settings.traffic.silence_quantile) {
        fault("`traffic.hedge_quantile` or `silence_quantile` is no quantile", "set both between 0 and 1");
    }
    if settings.descriptors < MIN_DESCRIPTORS {
        fault("`descriptors` is below 64", "set it to 64 or more");
    }
    if let Some(memory) = settings.memory {
        if memory.limit_mb < MIN_MEMORY_MB {
            fault("`memory.limit_mb` is below 40", "set it to the memory of the host in MB, 40 or more");
        }
        if !(memory.mark > 0.0 && memory.mark <= MAX_MARK) {
            fault("`memory.mark` is not above 0 and up to 0.8", "set it to a fraction of `limit_mb`, such as 0.6");
        }
    }
    if settings.answer_wait_ms == clock::Millis::ZERO {
        fault("`answer_wait_ms` is 0", "set it to 1 or more, such as 5000");
    }
    if settings.traffic.score_band < 1.0 {
        fault("`traffic.score_band` is below 1", "set it to 1 or more");
    }
    if settings.traffic.min_replicas < 2 {
        fault("`traffic.min_replicas` is below 2", "set it to 2 or more; the default is 3");
    }
    if settings.traffic.expected_time && settings.traffic.far_cost < 1.0 {
        fault("`traffic.far_cost` is below 1, with `expected_time`", "set it to 1 or more");
    }
    if settings.traffic.urgency.is_some_and(|urgency| !URGENCY_INTERVALS.contains(&urgency.interval.0)) {
        fault("`traffic.urgency.interval` is not from 50 to 1000 ms", "set it to 50 or more, and at most 1000");
    }
    if settings.control.share_urgency && settings.traffic.urgency.is_none() {
        fault("`control.share_urgency` is set without `traffic.urgency`", "set `traffic.urgency`, such as to {}");
    }
    if settings.control.warm_up_overage < 1.0 || settings.control.warm_up_slack < 0.0 {
        fault("`control.warm_up_overage` is below 1, or `warm_up_slack` below 0", "set them to 1 and 0 or more");
    }
    if settings.control.evidence.is_some_and(|evidence| evidence.interval < MIN_EVIDENCE_INTERVAL) {
        fault("`control.evidence.interval` is below 50", "set it to 50 ms or more, such as 200");
    }
    if settings.control.evidence.is_some_and(|evidence| evidence.peers == 0 || evidence.peers > MAX_EVIDENCE_PEERS) {
        fault("`control.evidence.peers` is 0 or above 16", "set it from 1 to 16, such as 3");
    }
    if settings.control.evidence.is_some_and(|evidence| evidence.bytes_per_second < MIN_EVIDENCE_BYTES) {
        fault("`control.evidence.bytes_per_second` is below 1000", "set it to 1000 or more, such as 6000");
    }
    if settings.control.evidence.is_some_and(|evidence| evidence.min_replicas < 2) {
        fault("`control.evidence.min_replicas` is below 2", "set it to 2 or more, such as 3");
    }
    if settings.control.gatherers.is_some_and(|gatherers| !(0.01..=1.0).contains(&gatherers.utilisation)) {
        fault("`control.gatherers.utilisation` is not between 0.01 and 1", "set it to a fraction such as 0.3");
    }
    if settings.control.gatherers.is_some_and(|gatherers| gatherers.min == 0) {
        fault("`control.gatherers.min` is 0", "set it to 2 or more, so that one failure leaves a gathering host");
    }
    if settings.control.watchers == 0 || settings.control.fanout == 0 {
        fault("`control` has no watchers or no fanout", "set both to 1 or more");
    }
    faults
}
