//! Knobs of the control core, with their defaults and where these come from.

use serde::{Deserialize, Serialize};

use crate::clock;

/// Knobs of the control core.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Hosts of each data centre that watch the platform. Default 1.
    pub watchers: u32,
    /// Longest time until a watching host notices that a call of a registry was lost, in ms: the wait for
    /// changes and the time for an answer. Default 3000, which leaves a second of the four that hosts have
    /// after a registry's return to tell those that do not watch. Each watching host then makes a call in
    /// 1.6 s where nothing changes.
    pub notice: clock::Millis,
    /// Children of a host in the tree by which changes are pushed. Default 8.
    pub fanout: u32,
    /// Time between two exchanges of digests, in ms. Default 1000.
    pub gossip: clock::Millis,
    /// Hosts asked in each exchange. Default 2.
    pub gossip_peers: u32,
    /// Longest wait of a watch of a manifest before the platform answers that nothing changed, in ms.
    /// Default 10000.
    pub watch: clock::Millis,
    /// Age of the last confirmation after which a host reads the platform itself, in ms.
    /// Default 25000, more than two watches.
    pub stale: clock::Millis,
    /// Least time between two reads by a host that is no watcher, in ms; jitter adds as much again.
    /// Default 5000.
    pub read_pause: clock::Millis,
    /// Time that a starting host waits for peers before it reads the platform, in ms; jitter adds
    /// up to three times as much, and a host that is not among its own seeds waits ten times as
    /// long. Default 300.
    pub start_wait: clock::Millis,
    /// Silence after which another host no longer counts for shares of limits, in ms. It must outlast
    /// partitions, in which both sides go on. Default 60000.
    pub member_forget: clock::Millis,
    /// How long servers go on serving after they were removed from the list, in ms; one that is missing
    /// still gets work for a part of it. Default 3000.
    pub serve_on: clock::Millis,
    /// How many times the requests a second that a server bears while it warms up all hosts together may send it in
    /// one second. Default 1.
    pub warm_up_overage: f64,
    /// Requests that all hosts together may send it on top of that. Default 0.
    pub warm_up_slack: f64,
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
        }
    }
}
