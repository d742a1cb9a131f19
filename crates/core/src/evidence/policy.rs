//! Settings of the exchange.

use serde::{Deserialize, Serialize};

use crate::clock;

/// Settings of the exchange of evidence between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Minimum time between two updates of a host, and between two reports of a lane, in ms. Default 200: five hops
    /// then reach 300 hosts within a second.
    pub interval: clock::Millis,
    /// Number of random hosts that each update is sent to. Default 3.
    pub peers: u32,
    /// Maximum bytes of updates that a host sends in a second, on average. Default 6000, about a thousandth of the
    /// slowest link of 45 Mbit/s. Up to two seconds' worth may be sent at once.
    pub bytes_per_second: u32,
    /// Minimum number of open replicas of a shard; evidence about the servers of other shards is neither collected nor
    /// exchanged. Default 3: with two, the only alternative is what the first repeat uses anyway.
    pub min_replicas: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self { interval: clock::Millis(200), peers: 3, bytes_per_second: 6000, min_replicas: 3 }
    }
}
