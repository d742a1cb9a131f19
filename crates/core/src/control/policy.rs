//! Tuning parameters of the control core, with the reasons for their defaults.

use serde::{Deserialize, Serialize};

use crate::{clock, evidence, plan::gatherers};

/// Tuning parameters of the control core.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Number of hosts in each data centre that watch the platform. Default 1.
    pub watchers: u32,
    /// Maximum time until a watching host detects that a call to a registry was lost, in ms: the wait for changes
    /// plus the response timeout. Default 3000. Hosts have four seconds after a registry's return, so this leaves
    /// one second to notify those that do not watch. Without changes, each watching host makes a call every 1.6 s.
    pub notice: clock::Millis,
    /// Number of children of each host in the push tree. Default 8.
    pub fanout: u32,
    /// Interval between exchanges of digests, in ms. Default 1000.
    pub gossip: clock::Millis,
    /// Number of hosts contacted in each exchange. Default 2.
    pub gossip_peers: u32,
    /// Maximum wait of a manifest watch before the platform answers that nothing changed, in ms.
    /// Default 10000.
    pub watch: clock::Millis,
    /// Age of the last confirmation after which a host reads the platform itself, in ms.
    /// Default 25000, longer than two watches.
    pub stale: clock::Millis,
    /// Minimum time between two reads by a host that is not a watcher, in ms; jitter adds up to as much again.
    /// Default 5000.
    pub read_pause: clock::Millis,
    /// Time that a starting host waits for catalogs from peers before it reads the platform, in ms; jitter adds
    /// up to three times as much, and a host that is not among its own seeds waits ten times as long. Default 300.
    pub start_wait: clock::Millis,
    /// Silence after which another host no longer counts for shares of limits, in ms. Must be longer than network
    /// partitions, during which both sides keep running. Default 60000.
    pub member_forget: clock::Millis,
    /// How long servers keep serving after they were removed from the list, in ms. A missing server still gets
    /// requests for a fraction of this time. Default 3000.
    pub serve_on: clock::Millis,
    /// How many requests all hosts together may send to a warming server in one second, as a multiple of the
    /// requests per second that it can handle while it warms up. Default 1.
    pub warm_up_overage: f64,
    /// Additional requests that all hosts together may send to such a server. Default 0.
    pub warm_up_slack: f64,
    /// Exchange of evidence about backend servers; default none, which switches it off.
    pub evidence: Option<evidence::Policy>,
    /// How many hosts gather, by demand and strength. Default none: all that are strong enough gather.
    pub gatherers: Option<gatherers::Policy>,
    /// Whether hosts exchange their thresholds of admission by urgency. Otherwise each uses its own. Default false.
    pub share_urgency: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            watchers: 1,
            notice: clock::Millis(3000),
            fanout: 8,
            gossip: clock::Millis(1000),
            gossip_peers: 2,
            watch: clock::Millis(10_000),
            stale: clock::Millis(25_000),
            read_pause: clock::Millis(5000),
            start_wait: clock::Millis(300),
            member_forget: clock::Millis(60_000),
            serve_on: clock::Millis(3000),
            warm_up_overage: 1.0,
            warm_up_slack: 0.0,
            evidence: None,
            gatherers: None,
            share_urgency: false,
        }
    }
}
