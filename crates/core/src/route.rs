//! The mapping of a request's host and path to a class, and the split of requests over weighted branches.
//!
//! Among a host's routes, the one with the longest matching prefix of the path is selected. Prefixes begin
//! and end with a slash, so it suffices to look up the path's own prefixes, longest first; the cost
//! depends on the path's depth and not on the number of routes.

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::clock;

/// Routes by host and prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Names of classes by host, in lower case, and prefix.
    hosts: IndexMap<CompactString, IndexMap<CompactString, CompactString>>,
}

impl Table {
    /// Adds a route, replacing any with the same host and prefix.
    pub fn insert(&mut self, host: &str, prefix: &str, class: &str) {
        let host = CompactString::from(host.to_ascii_lowercase());
        let prefixes = self.hosts.entry(host).or_default();
        prefixes.insert(CompactString::from(prefix), CompactString::from(class));
    }

    /// The class of the route for `host` and `path`. A port in `host` and a query string in `path` are
    /// ignored.
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

/// Limits on the size of requests and on the idle time of callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for reading a complete request head, from its first byte, in ms.
    pub header_wait: clock::Millis,
    /// Timeout for idle connections, in ms.
    pub idle: clock::Millis,
}

/// Number of turns by which a new split may be offset. A branch with a weight of one in a thousand still
/// has one of them, and the offset costs some microseconds once for each change of weights.
const MAX_OFFSET: f64 = 1000.0;

/// Distributes requests over weighted branches by smooth weighted round robin: on each turn every branch
/// gains its weight in credit, and the branch with the most credit is chosen and pays the sum of all weights.
///
/// Over any run of requests, each of two branches is within one request of its share, and each of more
/// within two. Random choice would need hundreds of requests for the same accuracy, more than a host with
/// one request per second receives between two changes of weights.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credits: Vec<f64>,
    weights: Vec<f64>,
}

impl Split {
    /// The branch for the next request. After a change of weights, the split starts at `offset` (0 to 1) in its
    /// sequence, so that many hosts at low rates do not all start with the same branch.
    pub fn next(&mut self, weights: impl Iterator<Item = f64> + Clone, offset: f64) -> usize {
        if !self.weights.iter().copied().eq(weights.clone()) {
            self.weights = weights.collect();
            self.credits = vec![0.0; self.weights.len()];
            for _ in 0..(offset * MAX_OFFSET) as u32 {
                self.advance();
            }
        }
        self.advance()
    }

    fn advance(&mut self) -> usize {
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
