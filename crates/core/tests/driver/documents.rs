//! Documents that the fake platform publishes.

use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use shallothub_core::catalog;

use super::leaf;

pub const HOSTS: usize = 4;
pub const SHARDS: usize = 6;
pub const REPLICAS: usize = 2;
pub const MAILERS: usize = 3;
/// Connections that a leaf accepts: one or two for each of the hosts that may run.
pub const CONNECTIONS: u32 = 13;
/// Maximum number of entry hosts that run at once.
pub const MAX_HOSTS: u32 = 6;

pub fn host_name(host: usize) -> CompactString {
    format_compact!("host-{host}")
}

pub fn data_centre(host: usize) -> &'static str {
    if host < HOSTS / 2 { "east" } else { "west" }
}

pub fn peer(host: usize) -> CompactString {
    format_compact!("10.0.0.{host}:7000")
}

pub fn services(epoch: u64) -> String {
    let mut text =
        format!("entry_hosts_most: {MAX_HOSTS}\nservices:\n  - name: search\n    epoch: {epoch}\n    shards: [");
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("s{shard}")).collect();
    text.push_str(&shards.join(", "));
    text.push_str("]\n    servers:\n");
    for shard in 0..SHARDS {
        for replica in 0..REPLICAS {
            text.push_str(&format!(
                "      - {{name: leaf-{shard}-{replica}, shards: [s{shard}], connections: {CONNECTIONS}, slots: 2}}\n"
            ));
        }
    }
    text.push_str("  - name: mail\n    epoch: 1\n    shards: [m0]\n    servers:\n");
    for mailer in 0..MAILERS {
        text.push_str(&format!(
            "      - {{name: mail-{mailer}, shards: [m0], connections: {CONNECTIONS}, slots: 2}}\n"
        ));
    }
    text
}

pub fn selectors(change: u64) -> String {
    format!(
        "# change {change}
selectors:
  - {{name: sweep, service: search, deadline_ms: 250, settle_ms: 150, least_coverage: 0.5, idempotent: true, hedge: true, priority: 0}}
  - {{name: check, service: search, deadline_ms: 600, least_coverage: 1.0, idempotent: true, hedge: true, priority: 1}}
  - {{name: letter, service: mail, reach: one, deadline_ms: 800, least_coverage: 1.0, idempotent: false, priority: 2}}
"
    )
}

pub fn hosts(leaving_hosts: &[usize], leaves: &[leaf::Leaf]) -> String {
    let mut text = "entry_hosts:\n".to_owned();
    for host in 0..HOSTS {
        let state = if leaving_hosts.contains(&host) { "leaving" } else { "live" };
        text.push_str(&format!(
            "  - {{name: {}, data_centre: {}, peer: \"{}\", state: {state}}}\n",
            host_name(host),
            data_centre(host),
            peer(host)
        ));
    }
    text.push_str("backend_servers:\n");
    for leaf in leaves {
        let state = if leaf.listed_leaving { "leaving" } else { "live" };
        text.push_str(&format!(
            "  - {{name: {}, data_centre: east, address: \"{}\", state: {state}, incarnation: {}}}\n",
            leaf.name, leaf.name, leaf.incarnation
        ));
    }
    text
}

/// Formats the manifest of `parts`.
pub fn manifest(version: u64, parts: &IndexMap<CompactString, String>) -> String {
    let mut text = format!("version: {version}\nparts:\n");
    for (key, part) in parts {
        text.push_str(&format!("  {key}: \"{}\"\n", catalog::Digest::of(part)));
    }
    text
}
