//! A minimal view with one leaf, one shard and one selector.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;
use shallothub_core::{clock, id, ratio, traffic::event, view};

/// Deadline of the selector.
pub const DEADLINE: clock::Millis = clock::Millis(250);

/// A view with one leaf that accepts `connections`, and the selector `ask` that routes to it.
pub fn view(connections: u32) -> Arc<view::View> {
    let mut registry = view::Registry::default();
    let name = CompactString::const_new("leaf");
    let replicas = vec![registry.intern(&name)];
    let address = name.clone();
    let server = view::Server {
        address,
        name,
        incarnation: 1,
        connections,
        slots: connections,
        leaving: false,
        evacuated: false,
        region: CompactString::default(),
        distance: view::Distance::Near,
        own_share: None,
        is_peer: false,
        warm_up: None,
    };
    let class = view::Class {
        name: CompactString::const_new("ask"),
        service: CompactString::const_new("s"),
        epoch: 1,
        deadline: DEADLINE,
        settle: None,
        least_coverage: ratio::Ratio::ONE,
        enough_hits: None,
        idempotent: true,
        hedge: false,
        priority: 0,
        branches: vec![view::Branch {
            weight: 1.0,
            targets: vec![view::Target { shard: CompactString::const_new("a"), service: id::Service(0), replicas }],
        }],
        target_latency: None,
        shape: view::Shape::Hits,
        max_servers: None,
        homes: Vec::new(),
        relay: None,
    };
    let stamp = view::Stamp { version: 1, digest: 1, ..view::Stamp::default() };
    let mut classes = IndexMap::new();
    classes.insert(class.name.clone(), class);
    Arc::new(view::View {
        stamp,
        hosts_revision: stamp,
        hosts: 1,
        classes,
        servers: vec![Some(server)],
        ..view::View::default()
    })
}

/// A request of `caller` for the selector.
pub fn request(caller: u64) -> event::Request {
    event::Request {
        caller: id::Caller(caller),
        class: CompactString::const_new("ask"),
        timeout: None,
        key: None,
        relayed: None,
        fingerprint: None,
    }
}
