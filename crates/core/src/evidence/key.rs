//! Short identifiers of servers and observers, which are equal on all hosts.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{id, view};

/// Identifies one incarnation of a server: a hash of its name and its incarnation number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The identifier of the `incarnation` of the server `name`.
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self(xxh3::xxh3_64_with_seed(name.as_bytes(), incarnation))
    }

    /// The weight of `observer` for this server; the observers with the greatest weights try it.
    pub(super) fn weight(self, observer: Observer) -> u64 {
        xxh3::xxh3_64_with_seed(&observer.0.to_le_bytes(), self.0)
    }
}

/// Identifies an entry host that observes servers: a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Observer(pub u32);

impl Observer {
    /// The identifier of the host `name`.
    pub fn new(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// The servers of `view` about which evidence is exchanged: those of shards with at least `min_replicas` open replicas.
pub fn keys(view: &view::View, min_replicas: u32) -> IndexMap<Incarnation, id::Server> {
    let mut keys = IndexMap::new();
    for class in view.classes.values() {
        for target in class.branches.iter().flat_map(|branch| &branch.targets) {
            let open = target.replicas.iter().filter(|&&server| view.is_open(server)).count();
            if open < min_replicas as usize {
                continue;
            }
            for &server in &target.replicas {
                let Some(published) = view.server(server).filter(|published| !published.is_peer) else {
                    continue;
                };
                keys.insert(Incarnation::new(&published.name, published.incarnation), server);
            }
        }
    }
    keys
}
