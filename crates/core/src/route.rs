//! Routes: which class a request goes to that names a host and a path.
//!
//! Of the routes of a host, the one with the longest prefix of the path is taken. Prefixes begin and
//! end with a slash, so it is enough to look up the path's own prefixes, longest first; the cost is
//! that of the path's depth, however many routes there are.

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::clock;

/// Routes by host and prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// The class's name, by prefix, by host in lower case.
    hosts: IndexMap<CompactString, IndexMap<CompactString, CompactString>>,
}

impl Table {
    /// Adds a route; one with the same host and prefix is replaced.
    pub fn insert(&mut self, host: &str, prefix: &str, class: &str) {
        let host = CompactString::from(host.to_ascii_lowercase());
        let prefixes = self.hosts.entry(host).or_default();
        prefixes.insert(CompactString::from(prefix), CompactString::from(class));
    }

    /// The class of the route that `host` and `path` select. A port after the host is ignored, and
    /// so is the query after the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&CompactString> {
        let name = match host.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
            _ => host,
        };
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let mut rest = path.split_once('?').map_or(path, |(path, _)| path);
        while let Some(end) = rest.rfind('/') {
            if let Some(class) = prefixes.get(&rest[..=end]) {
                return Some(class);
            }
            rest = &rest[..end];
        }
        None
    }
}

/// Bounds on what a caller may send, and for how long it may be silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its last, in ms.
    pub header_wait: clock::Millis,
    /// Longest time that a connection may stay without a request, in ms.
    pub idle: clock::Millis,
}

/// Turns among which a new split's first one is drawn. A branch with a weight of one in a thousand still
/// has one of them, and going through them costs some microseconds once for each change of weights.
const ROUND: f64 = 1000.0;

/// Distributes requests over weighted branches, so that over any run of requests each of two branches
/// is within one request of its part, and each of more within two. Random choice would need hundreds of
/// requests to come as near, and a host with one request a second never sees that many between two
/// changes.
///
/// Smooth weighted round robin: each branch gains its weight, and the one with most loses the sum.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credits: Vec<f64>,
    weights: Vec<f64>,
}

impl Split {
    /// The branch for the next request; `start` (0 to 1) is where in its round a new split begins, so that
    /// many hosts at low rates do not all begin with the same branch.
    pub fn next(&mut self, weights: impl Iterator<Item = f64> + Clone, start: f64) -> usize {
        if !self.weights.iter().copied().eq(weights.clone()) {
            self.weights = weights.collect();
            self.credits = vec![0.0; self.weights.len()];
            for _ in 0..(start * ROUND) as u32 {
                self.turn();
            }
        }
        self.turn()
    }

    fn turn(&mut self) -> usize {
        let total: f64 = self.weights.iter().sum();
        let mut best = 0;
        for (branch, weight) in self.weights.iter().enumerate() {
            self.credits[branch] += weight;
            if self.credits[branch] > self.credits[best] {
                best = branch;
            }
        }
        self.credits[best] -= total;
        best
    }
}
