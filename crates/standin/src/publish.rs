//! Builds the documents that operators and the platform publish, for a fleet of test backends.

use std::{fmt::Write, net};

use compact_str::{CompactString, format_compact};
use shallothub_core::{catalog, plan};
use shallothub_settings::document;

/// Builds the YAML manifest of `parts`, given as pairs of key and text.
pub fn manifest(version: u64, parts: &[(CompactString, String)]) -> String {
    let mut manifest = catalog::Manifest { version, ..catalog::Manifest::default() };
    for (key, text) in parts {
        manifest.parts.insert(key.clone(), catalog::Digest::of(text));
    }
    serde_saphyr::to_string(&manifest).unwrap_or_default()
}

/// A service of `shards` shards with `replicas` replicas each; every replica is a server of its own.
#[derive(Clone, Debug)]
pub struct Service {
    /// Service name; servers are named NAME-SHARD-REPLICA.
    pub name: CompactString,
    /// Partition epoch of the service.
    pub epoch: u64,
    /// Number of shards.
    pub shards: u32,
    /// Number of replicas of each shard.
    pub replicas: u32,
    /// Maximum number of open connections to a server.
    pub connections: u32,
    /// Maximum number of concurrent requests on a server.
    pub slots: u32,
}

impl Service {
    /// Returns the server names, ordered by shard and then by replica.
    pub fn servers(&self) -> Vec<CompactString> {
        let mut names = Vec::new();
        for shard in 0..self.shards {
            for replica in 0..self.replicas {
                names.push(format_compact!("{}-{shard:03}-{replica}", self.name));
            }
        }
        names
    }

    /// Builds the operators' YAML document for this service.
    pub fn document(&self, entry_hosts_most: u32) -> String {
        let mut text = format!("entry_hosts_most: {entry_hosts_most}\nservices:\n");
        let _ = writeln!(text, "  - name: {}\n    epoch: {}\n    shards:", self.name, self.epoch);
        for shard in 0..self.shards {
            let _ = writeln!(text, "      - s{shard:03}");
        }
        text.push_str("    servers:\n");
        for (index, name) in self.servers().iter().enumerate() {
            let shard = index as u32 / self.replicas;
            let _ = writeln!(text, "      - name: {name}\n        shards: [s{shard:03}]");
            let _ = writeln!(text, "        labels: {{role: search}}");
            let _ = writeln!(text, "        connections: {}\n        slots: {}", self.connections, self.slots);
        }
        text
    }
}

/// Builds a part of the host list in YAML.
pub fn hosts(entry_hosts: &[plan::EntryHost], backend_servers: &[plan::BackendServer]) -> String {
    let hosts = document::Hosts { entry_hosts: entry_hosts.to_vec(), backend_servers: backend_servers.to_vec() };
    serde_saphyr::to_string(&hosts).unwrap_or_default()
}

/// Returns the entry of a live backend server at `address`.
pub fn backend_server(name: &CompactString, data_centre: &str, address: net::SocketAddr) -> plan::BackendServer {
    plan::BackendServer {
        name: name.clone(),
        data_centre: CompactString::from(data_centre),
        address: format_compact!("{address}"),
        state: plan::State::Live,
        warming: false,
        incarnation: 1,
    }
}

/// Returns the entry of a live entry host whose address for other hosts is `peer`.
pub fn entry_host(name: &str, data_centre: &str, peer: net::SocketAddr) -> plan::EntryHost {
    plan::EntryHost {
        name: CompactString::from(name),
        data_centre: CompactString::from(data_centre),
        peer: format_compact!("{peer}"),
        state: plan::State::Live,
    }
}
