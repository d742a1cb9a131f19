//! What operators and the platform publish, made for a fleet of stand-ins.

use std::{fmt::Write, net};

use compact_str::{CompactString, format_compact};
use shallothub_core::{catalog, plan};
use shallothub_settings::document;

/// The manifest of `parts` in YAML.
pub fn manifest(version: u64, parts: &[(CompactString, String)]) -> String {
    let mut manifest = catalog::Manifest { version, ..catalog::Manifest::default() };
    for (key, text) in parts {
        manifest.parts.insert(key.clone(), catalog::Digest::of(text));
    }
    serde_saphyr::to_string(&manifest).unwrap_or_default()
}

/// A service of `shards` shards with `replicas` replicas each, one server a replica.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name; servers are called NAME-SHARD-REPLICA.
    pub name: CompactString,
    /// Partition epoch.
    pub epoch: u64,
    /// Shards.
    pub shards: u32,
    /// Replicas of each.
    pub replicas: u32,
    /// Connections that a server accepts.
    pub connections: u32,
    /// Slots of a server.
    pub slots: u32,
}

impl Service {
    /// The names of its servers, by shard and then by replica.
    pub fn servers(&self) -> Vec<CompactString> {
        let mut names = Vec::new();
        for shard in 0..self.shards {
            for replica in 0..self.replicas {
                names.push(format_compact!("{}-{shard:03}-{replica}", self.name));
            }
        }
        names
    }

    /// The operators' document of this service.
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

/// A part of the list of hosts in YAML.
pub fn hosts(entry_hosts: &[plan::EntryHost], backend_servers: &[plan::BackendServer]) -> String {
    let hosts = document::Hosts { entry_hosts: entry_hosts.to_vec(), backend_servers: backend_servers.to_vec() };
    serde_saphyr::to_string(&hosts).unwrap_or_default()
}

/// A live backend server at `address`.
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

/// A live entry host that listens for others at `peer`.
pub fn entry_host(name: &str, data_centre: &str, peer: net::SocketAddr) -> plan::EntryHost {
    plan::EntryHost {
        name: CompactString::from(name),
        data_centre: CompactString::from(data_centre),
        peer: format_compact!("{peer}"),
        state: plan::State::Live,
    }
}
