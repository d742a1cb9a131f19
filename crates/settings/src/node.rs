//! The settings of one node, from the file given with `--settings`.

use std::net;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use shallothub_core::{clock, control, plan, traffic};

use crate::yaml;

/// The interface that a node speaks to callers, backend servers and its source of configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Interface {
    /// The product's own.
    #[default]
    Own,
    /// That of the users' platform.
    Platform,
}

/// Settings of one node. Times are in milliseconds, sizes in bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This host's name in the platform's list of hosts.
    pub name: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// The region of each data centre, for selectors and routes that may be served in some regions only. Default
    /// none; what has homes is then served nowhere.
    #[serde(default)]
    pub regions: plan::Regions,
    /// Which interface it speaks. Default `own`.
    #[serde(default)]
    pub interface: Interface,
    /// `IP:PORT` for callers; with the interface `own` also for health and metrics.
    pub listen: net::SocketAddr,
    /// `IP:PORT` for the balancer's question whether the node is ready, if not at `listen`.
    #[serde(default)]
    pub ready: Option<net::SocketAddr>,
    /// `IP:PORT` for metrics, status and explanations, if not at `listen`.
    #[serde(default)]
    pub admin: Option<net::SocketAddr>,
    /// `IP:PORT` at which it takes requests of other hosts, to gather for them. Default none.
    #[serde(default)]
    pub relay: Option<net::SocketAddr>,
    /// Processor that it may use, in cores. A host with much less than others passes gathers on to
    /// them. Default 1.
    #[serde(default = "whole")]
    pub processor: f64,
    /// `IP:PORT` for the other hosts.
    pub peer: net::SocketAddr,
    /// `IP:PORT` of the platform's configuration service.
    pub platform: net::SocketAddr,
    /// Hosts to ask on start before the platform, `IP:PORT`; write the same two or three on every
    /// host of a data centre, also on these themselves. Default none.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// Most descriptors that the process may have open; connections to backend servers take a part of
    /// them at most. Default 4096.
    #[serde(default = "descriptors")]
    pub descriptors: u32,
    /// Traffic threads. Each gets a part of this host's share of connections, so a small share
    /// wants one thread. Default 1.
    #[serde(default = "one")]
    pub traffic_threads: u32,
    /// Log filter, such as `info` or `shallothub_node=debug`; read again on SIGHUP. Default `info`.
    #[serde(default = "info")]
    pub log: CompactString,
    /// Largest request body, in bytes. Default 65536.
    #[serde(default = "request_bytes")]
    pub request_bytes_max: usize,
    /// Largest answer of one shard, in bytes. Default 1048576.
    #[serde(default = "reply_bytes")]
    pub reply_bytes_max: usize,
    /// Longest time to read a request's body, in ms. Default 2000.
    #[serde(default = "body_wait")]
    pub body_wait_ms: clock::Millis,
    /// Time to go on serving after SIGTERM so that the balancer notices, in ms. Default 3000.
    #[serde(default = "balancer_lag")]
    pub balancer_lag_ms: clock::Millis,
    /// Longest time to finish requests after that, in ms. Default 10000.
    #[serde(default = "drain_most")]
    pub drain_most_ms: clock::Millis,
    /// Knobs of the decisions on traffic.
    #[serde(default)]
    pub traffic: traffic::policy::Policy,
    /// Knobs of the decisions on configuration.
    #[serde(default)]
    pub control: control::Policy,
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

/// Least descriptors of a process: listeners, links to hosts and the platform, logs, and some
/// connections on either side.
const DESCRIPTORS_LEAST: u32 = 64;

/// Reads and checks settings; `document` names the file in faults.
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
        fault("`regions` has a data centre or a region without a name", "write DATA_CENTRE: REGION");
    }
    if settings.traffic_threads == 0 {
        fault("`traffic_threads` is 0", "set it to 1 or more");
    }
    if settings.peer == settings.listen && settings.listen.port() != 0 {
        fault("`peer` and `listen` are the same address", "give them two ports");
    }
    if settings.peer.ip().is_unspecified() {
        fault("`peer` names no address that other hosts could reach", "write this host's IP number");
    }
    if settings.interface == Interface::Platform && settings.ready.is_none() {
        fault("`ready` is missing", "write the address at which the platform asks whether the node is ready");
    }
    if settings.processor.is_nan() || settings.processor <= 0.0 {
        fault("`processor` is not above 0", "write the cores that the node may use, such as 0.25");
    }
    let others = [Some(settings.peer), settings.ready, settings.admin, settings.relay];
    for (place, address) in others.iter().enumerate().filter_map(|(place, address)| Some((place, (*address)?))) {
        let is_taken = address == settings.listen || others[..place].contains(&Some(address));
        if is_taken && address.port() != 0 && address != settings.peer {
            fault("`ready`, `admin` or `relay` is an address that is taken", "give each a port of its own");
        }
    }
    if settings.name.is_empty() || settings.data_centre.is_empty() {
        fault("`name` or `data_centre` is empty", "write them as in the platform's list of hosts");
    }
    if settings.traffic.hedge_fraction < 0.0 || settings.traffic.retry_fraction < 0.0 {
        fault("a budget under `traffic` is negative", "set `hedge_fraction` and `retry_fraction` to 0 or more");
    }
    if settings.traffic.fleet.is_some_and(|fleet| fleet.ratio < 0.0 || fleet.slack < 0.0) {
        fault("a bound under `traffic.fleet` is negative", "set `ratio` and `slack` to 0 or more");
    }
    let is_quantile = |quantile: f64| quantile > 0.0 && quantile < 1.0;
    if !is_quantile(settings.traffic.hedge_quantile) || !is_quantile(settings.traffic.silence_quantile) {
        fault("`traffic.hedge_quantile` or `silence_quantile` is no quantile", "set it between 0 and 1");
    }
    if settings.descriptors < DESCRIPTORS_LEAST {
        fault("`descriptors` is below 64", "give the process 64 or more");
    }
    if settings.traffic.score_band < 1.0 {
        fault("`traffic.score_band` is below 1", "set it to 1 or more");
    }
    if settings.control.warm_up_overage < 1.0 || settings.control.warm_up_slack < 0.0 {
        fault("`control.warm_up_overage` is below 1, or `warm_up_slack` below 0", "set them to 1 and 0 or more");
    }
    if settings.control.watchers == 0 || settings.control.fanout == 0 {
        fault("`control` has no watchers or no fanout", "set both to 1 or more");
    }
    faults
}
