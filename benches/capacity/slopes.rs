//! The measurements; each one varies its size over about two orders of magnitude.

use std::{sync::Arc, time::Instant};

use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use shallothub_core::{
    catalog, clock,
    control::{self, message},
    id, plan,
    traffic::{self, event, policy},
    view,
};
use shallothub_settings::document;
use shallothub_wire::peer;

use crate::{allocator, mesh, points::Points};

/// Number of leaves of one service: 120 shards with two replicas each.
const LEAVES_PER_SERVICE: usize = 240;
const LEAVES: [usize; 5] = [240, 1440, 4320, 14_400, 43_200];

fn service_text(index: usize, leaves: usize) -> String {
    let shards = (leaves / 2).max(1);
    let names: Vec<String> = (0..shards).map(|shard| format!("s{shard}")).collect();
    let mut text = format!(
        "entry_hosts_most: 8\nservices:\n  - name: service-{index}\n    shards: [{}]\n    servers:\n",
        names.join(", ")
    );
    for leaf in 0..leaves {
        text.push_str(&format!(
            "      - {{name: leaf-{index}-{leaf}, shards: [s{}], labels: {{role: search}}, connections: 25, slots: 2}}\n",
            leaf % shards
        ));
    }
    text
}

fn selector_text(services: usize, each: usize) -> String {
    let mut text = "selectors:\n".to_owned();
    for service in 0..services {
        for kind in 0..each {
            text.push_str(&format!(
                "  - {{name: ask-{service}-{kind}, service: service-{service}, match: {{role: search}}, deadline_ms: 240, least_coverage: 0.9, idempotent: true, hedge: true}}\n"
            ));
        }
    }
    text
}

fn host_text(index: usize, leaves: usize) -> String {
    let mut text = "backend_servers:\n".to_owned();
    for leaf in 0..leaves {
        text.push_str(&format!(
            "  - {{name: leaf-{index}-{leaf}, data_centre: dc-{}, address: \"10.1.{}.{}:8080\", state: live, incarnation: 1}}\n",
            leaf % 13,
            leaf / 250,
            leaf % 250
        ));
    }
    text
}

type Parts = IndexMap<CompactString, String>;

fn documents(leaves: usize) -> [Parts; 2] {
    let services = leaves / LEAVES_PER_SERVICE;
    let mut config = Parts::new();
    let mut host_parts = Parts::new();
    for index in 0..services {
        config.insert(format_compact!("shallothub/services/{index:04}"), service_text(index, LEAVES_PER_SERVICE));
        host_parts.insert(format_compact!("shallothub/hosts/{index:04}"), host_text(index, LEAVES_PER_SERVICE));
    }
    for first in (0..services).step_by(60) {
        let count = 60.min(services - first);
        config.insert(format_compact!("shallothub/selectors/{first:04}"), selector_part(first, count));
    }
    [config, host_parts]
}

fn selector_part(first: usize, count: usize) -> String {
    let mut text = "selectors:\n".to_owned();
    for line in selector_text(first + count, 1).lines().skip(1 + first) {
        text.push_str(line);
        text.push('\n');
    }
    text
}

fn update(kind: catalog::Kind, version: u64, parts: &Parts) -> message::Message {
    let parts = parts.iter().map(|(key, text)| message::Part {
        key: key.clone(),
        digest: catalog::Digest::of(text),
        text: Some(Arc::from(text.as_str())),
    });
    let update = message::Update {
        kind,
        base: None,
        number: 0,
        version,
        digest: 0,
        removed: Vec::new(),
        parts: parts.collect(),
    };
    message::Message { protocol: message::PROTOCOL, from: mesh::peer(1), body: message::Body::Catalog(update) }
}

fn control_core() -> control::Core {
    let identity = control::Identity {
        name: CompactString::const_new("host-0"),
        data_centre: CompactString::const_new("dc-0"),
        peer: mesh::peer(0),
        seeds: vec![mesh::peer(1)],
        relay: CompactString::default(),
        regions: Default::default(),
        power: 0,
    };
    control::Core::new(control::Policy::default(), identity, document::READER, 1, clock::Millis(1))
}

fn traffic_core(view: &Arc<view::View>) -> traffic::Core {
    let lane = traffic::Lane { index: 0, count: 1 };
    let mut core = traffic::Core::new(policy::Policy::default(), lane, 1, clock::Millis(1));
    core.step(clock::Millis(1), [event::Input::View(Arc::clone(view))]);
    core
}

fn load(leaves: usize) -> (control::Core, Arc<view::View>) {
    let [config, host_parts] = documents(leaves);
    let mut core = control_core();
    core.step(clock::Millis(2), [control::Input::Peer(update(catalog::Kind::Config, 1, &config))]);
    core.step(clock::Millis(3), [control::Input::Peer(update(catalog::Kind::Hosts, 1, &host_parts))]);
    let view = Arc::clone(core.view().expect("a view"));
    (core, view)
}

/// Returns the shortest time of `count` calls, in microseconds: other load on the machine can only add to it.
fn shortest_us(count: usize, mut call: impl FnMut()) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..count {
        let start = Instant::now();
        call();
        best = best.min(start.elapsed().as_secs_f64() * 1e6);
    }
    best
}

/// Measures memory, start-up and updates by the number of leaves.
pub(crate) fn leaves(points: &mut Points) {
    for leaves in LEAVES {
        let [config, host_parts] = documents(leaves);
        let messages = [update(catalog::Kind::Config, 1, &config), update(catalog::Kind::Hosts, 1, &host_parts)];
        let bytes: usize = messages.iter().map(|message| peer::encode(message, false).expect("encoded").len()).sum();
        points.add("start_bytes_by_leaf", leaves, bytes as f64);
        let before = allocator::live_bytes();
        let start = Instant::now();
        let (core, view) = load(leaves);
        points.add("start_us_by_leaf", leaves, start.elapsed().as_secs_f64() * 1e6);
        let control = allocator::live_bytes() - before;
        points.add("control_bytes_by_leaf", leaves, control as f64);
        let before = allocator::live_bytes();
        let mut traffic = traffic_core(&view);
        points.add("traffic_bytes_by_leaf", leaves, (allocator::live_bytes() - before) as f64);
        let mut next = clock::Millis(10);
        let mut version = 1;
        points.add(
            "traffic_view_us_by_leaf",
            leaves,
            shortest_us(5, || {
                version += 1;
                let mut newer = view::View::clone(&view);
                newer.stamp.version = version;
                let newer = Arc::new(newer);
                next = next + clock::Millis(1);
                traffic.step(next, [event::Input::View(newer)]);
            }),
        );
        update_leaf(points, leaves, core, host_parts);
    }
}

/// Measures an update that marks one leaf as leaving: one part of the host list is sent as a delta.
fn update_leaf(points: &mut Points, leaves: usize, mut core: control::Core, host_parts: Parts) {
    let key = CompactString::const_new("shallothub/hosts/0000");
    let mut texts = [host_parts[&key].clone(), host_parts[&key].clone()];
    texts[1] = texts[1].replacen("state: live", "state: leaving", 1);
    let mut version = 1;
    let mut now = clock::Millis(100);
    let mut bytes = 0;
    let took = shortest_us(5, || {
        version += 1;
        let text = &texts[version as usize % 2];
        let part =
            message::Part { key: key.clone(), digest: catalog::Digest::of(text), text: Some(Arc::from(text.as_str())) };
        let base = Some(core.stamp(catalog::Kind::Hosts));
        let update = message::Update {
            kind: catalog::Kind::Hosts,
            base,
            number: 0,
            version,
            digest: 0,
            removed: Vec::new(),
            parts: vec![part],
        };
        let message =
            message::Message { protocol: message::PROTOCOL, from: mesh::peer(1), body: message::Body::Catalog(update) };
        bytes = peer::encode(&message, false).expect("encoded").len();
        now = now + clock::Millis(1);
        core.step(now, [control::Input::Peer(message)]);
        assert_eq!(core.stamp(catalog::Kind::Hosts).version, version);
    });
    points.add("change_us_by_leaf", leaves, took);
    points.add("change_bytes_by_leaf", leaves, bytes as f64);
    let digest = message::Message {
        protocol: message::PROTOCOL,
        from: mesh::peer(1),
        body: message::Body::Digest(Box::new(message::Digest {
            stamps: [core.stamp(catalog::Kind::Config), core.stamp(catalog::Kind::Hosts)],
            ages: [Some(clock::Millis(9999)); 2],
            sent: Some(clock::Millis(123_456_789)),
            echo: None,
            members: Vec::new(),
            known: 0,
            is_settled: true,
            is_away: false,
            ..message::Digest::default()
        })),
    };
    points.add("digest_bytes_by_leaf", leaves, peer::encode(&digest, false).expect("encoded").len() as f64);
    let digests = 100;
    let took = shortest_us(5, || {
        for _ in 0..digests {
            now = now + clock::Millis(1);
            core.step(now, [control::Input::Peer(digest.clone())]);
        }
    });
    points.add("digest_us_by_leaf", leaves, took / f64::from(digests));
    let took = shortest_us(5, || {
        for _ in 0..digests {
            now = now + clock::Millis(1);
            core.step(now, [control::Input::Tick]);
        }
    });
    points.add("tick_us_by_leaf", leaves, took / f64::from(digests));
}

/// Measures the size and parse time of one part by its number of leaves.
pub(crate) fn parts(points: &mut Points) {
    for leaves in [10, 30, 100, 300, 1000] {
        let text = host_text(0, leaves);
        points.add("part_bytes_by_leaf", leaves, text.len() as f64);
        points.add(
            "parse_us_by_leaf",
            leaves,
            shortest_us(20, || {
                let part = document::part("shallothub/hosts/x", &text).expect("parsed");
                assert!(matches!(part, plan::Part::Hosts { .. }));
            }),
        );
    }
}

fn send_request(core: &mut traffic::Core, now: clock::Millis, caller: u64) -> Vec<event::Output> {
    let class = CompactString::const_new("ask-0-0");
    let request = event::Request {
        caller: id::Caller(caller),
        class,
        timeout: None,
        key: None,
        relayed: None,
        fingerprint: None,
    };
    core.step(now, [event::Input::Request(request)])
}

fn one_service_view(leaves: usize, connections: u32) -> Arc<view::View> {
    let (_, view) = {
        let mut config = Parts::new();
        let text = service_text(0, leaves).replace("connections: 25", &format!("connections: {connections}"));
        config.insert(CompactString::const_new("shallothub/services/0"), text);
        config.insert(CompactString::const_new("shallothub/selectors/0"), selector_text(1, 1));
        let mut host_parts = Parts::new();
        host_parts.insert(CompactString::const_new("shallothub/hosts/0"), host_text(0, leaves));
        let mut core = control_core();
        core.step(clock::Millis(2), [control::Input::Peer(update(catalog::Kind::Config, 1, &config))]);
        core.step(clock::Millis(3), [control::Input::Peer(update(catalog::Kind::Hosts, 1, &host_parts))]);
        let view = Arc::clone(core.view().expect("a view"));
        (core, view)
    };
    view
}

/// Measures the memory of queries in flight, each to 120 shards.
pub(crate) fn queries(points: &mut Points) {
    let view = one_service_view(LEAVES_PER_SERVICE, 4_000_000);
    for count in [10, 30, 100, 300, 1000] {
        let policy =
            policy::Policy { adaptive_admission: false, running_ceiling: u32::MAX, ..policy::Policy::default() };
        let mut core = traffic::Core::new(policy, traffic::Lane { index: 0, count: 1 }, 1, clock::Millis(1));
        core.step(clock::Millis(1), [event::Input::View(Arc::clone(&view))]);
        let before = allocator::live_bytes();
        for caller in 0..count {
            drop(send_request(&mut core, clock::Millis(2), caller as u64));
        }
        points.add("query_bytes_by_query", count, (allocator::live_bytes() - before) as f64);
    }
}

/// Measures the time of a query in the core, from request to answer, by its number of shards.
pub(crate) fn attempts(points: &mut Points) {
    for leaves in [24, 72, 240, 720, 2400] {
        let view = one_service_view(leaves, 4000);
        let mut core = traffic_core(&view);
        let mut now = clock::Millis(2);
        let mut caller = 0;
        let rounds = 50;
        let took = shortest_us(20, || {
            for _ in 0..rounds {
                caller += 1;
                now = now + clock::Millis(1);
                run_query(&mut core, now, caller);
            }
        });
        points.add("query_us_by_attempt", leaves / 2, took / f64::from(rounds));
    }
}

fn run_query(core: &mut traffic::Core, now: clock::Millis, caller: u64) {
    let mut outputs = send_request(core, now, caller);
    let snapshot = view::Snapshot { epoch: 0, version: 1 };
    let mut answered = false;
    while !outputs.is_empty() {
        let mut next = Vec::new();
        for output in outputs {
            match output {
                event::Output::Dispatch(dispatch) => {
                    let part = event::Part { snapshot, held: None, hits: 1, load: None, queue: None };
                    let reply = event::Reply::Answered(part);
                    next.extend(core.step(now, [event::Input::Reply { attempt: dispatch.attempt, reply }]));
                }
                event::Output::Answer(answer) => answered = answer.outcome == event::Outcome::Answered,
                _ => {}
            }
        }
        outputs = next;
    }
    assert!(answered, "the query was answered");
}

/// Measures memory and compile time by the number of selectors of one service with 120 shards.
fn compile(count: usize) -> (f64, f64) {
    let services = plan::Part::Services {
        entry_hosts_most: 8,
        services: match document::part("shallothub/services/0", &service_text(0, LEAVES_PER_SERVICE)) {
            Ok(plan::Part::Services { services, .. }) => services,
            _ => Vec::new(),
        },
    };
    let selectors = document::part("shallothub/selectors/0", &selector_text(1, count)).expect("parsed");
    let mut registry = view::Registry::default();
    let before = allocator::live_bytes();
    let view = plan::compile(Default::default(), [&services, &selectors], plan::Fleet::default(), &mut registry);
    let bytes = (allocator::live_bytes() - before) as f64;
    assert_eq!(view.classes.len(), count);
    let took = shortest_us(5, || {
        plan::compile(Default::default(), [&services, &selectors], plan::Fleet::default(), &mut registry);
    });
    (bytes, took)
}

/// Measures the memory and compile time of a view by its number of selectors.
pub(crate) fn selectors(points: &mut Points) {
    for count in [4, 13, 40, 130, 400] {
        let (bytes, took) = compile(count);
        points.add("view_bytes_by_selector", count, bytes);
        points.add("compile_us_by_selector", count, took);
    }
}

/// Measures the memory of a view with a fixed number of leaves by the number of shards.
pub(crate) fn shards(points: &mut Points) {
    const LEAVES: usize = 2400;
    for count in [24, 80, 240, 800, 2400] {
        let text = service_text(0, LEAVES);
        let services = match document::part("shallothub/services/0", &text) {
            Ok(plan::Part::Services { mut services, .. }) => {
                assign_shards(&mut services[0], count);
                plan::Part::Services { entry_hosts_most: 8, services }
            }
            _ => continue,
        };
        let selectors = document::part("shallothub/selectors/0", &selector_text(1, 1)).expect("parsed");
        let mut registry = view::Registry::default();
        let before = allocator::live_bytes();
        let view = plan::compile(Default::default(), [&services, &selectors], plan::Fleet::default(), &mut registry);
        points.add("view_bytes_by_shard", count, (allocator::live_bytes() - before) as f64);
        assert_eq!(view.classes[0].branches[0].targets.len(), count);
    }
}

fn assign_shards(service: &mut plan::Service, count: usize) {
    service.shards = (0..count).map(|shard| format_compact!("s{shard}")).collect();
    for (index, server) in service.servers.iter_mut().enumerate() {
        server.shards = vec![format_compact!("s{}", index % count)];
    }
}

/// Measures dissemination, messages and platform calls by the number of hosts in 13 data centres. Every core
/// holds the full host list, so memory grows quadratically and limits the size of the mesh.
pub(crate) fn hosts(points: &mut Points) {
    for count in [13, 39, 130, 390, 1300] {
        let mut mesh = mesh::Mesh::new(count, 13, &control::Policy::default(), 1);
        mesh.measure = Some(|message| peer::encode(message, false).expect("encoded").len());
        mesh.run(20_000);
        let ready = mesh.hosts.iter().filter(|host| host.has_view).count();
        assert_eq!(ready, count, "every host has a view");
        points.add("start_platform_calls_by_host", count, (mesh.reads + mesh.watches) as f64);
        let (calls, bytes) = (mesh.reads + mesh.watches, total(&mesh));
        let start = Instant::now();
        mesh.run(20_000);
        let took = start.elapsed().as_secs_f64();
        points.add("steady_platform_calls_s_by_host", count, (mesh.reads + mesh.watches - calls) as f64 / 20.0);
        points.add("steady_bytes_s_by_host", count, (total(&mesh) - bytes) as f64 / 20.0 / count as f64);
        points.add("steady_control_us_s_by_host", count, took * 1e6 / 20.0 / count as f64);
        let since = mesh.now;
        mesh.publish_config(2);
        mesh.run(8000);
        let mut times: Vec<u64> = mesh.times(catalog::Kind::Config, since).into_iter().flatten().collect();
        assert_eq!(times.len(), count, "the change is in force on every host");
        times.sort_unstable();
        points.add("change_ms_median_by_host", count, times[count / 2] as f64);
        points.add("change_ms_max_by_host", count, times[count - 1] as f64);
        let before = total(&mesh);
        let sent_before: Vec<u64> = mesh.hosts.iter().map(|host| host.sent_bytes).collect();
        mesh.publish_hosts(&[count / 2]);
        mesh.run(1000);
        points.add("host_change_bytes_by_host", count, (total(&mesh) - before) as f64 / count as f64);
        let largest = mesh.hosts.iter().zip(sent_before).map(|(host, before)| host.sent_bytes - before).max();
        points.add("host_change_bytes_most_by_host", count, largest.unwrap_or(0) as f64);
        // The outage lasts long enough for every host's last confirmation to become stale.
        mesh.platform_down = true;
        mesh.run(40_000);
        let calls = mesh.reads + mesh.watches;
        mesh.run(30_000);
        points.add("outage_platform_calls_s_by_host", count, (mesh.reads + mesh.watches - calls) as f64 / 30.0);
    }
}

fn total(mesh: &mesh::Mesh) -> u64 {
    mesh.hosts.iter().map(|host| host.sent_bytes + host.received_bytes).sum()
}

/// Measures the memory and update time of one control core by the number of entry hosts in its list.
pub(crate) fn entry_hosts(points: &mut Points) {
    for count in [78, 260, 780, 2600, 7800] {
        let mut config = Parts::new();
        config.insert(CompactString::const_new("shallothub/services/0"), service_text(0, LEAVES_PER_SERVICE));
        config.insert(CompactString::const_new("shallothub/selectors/0"), selector_text(1, 1));
        let mut host_parts = Parts::new();
        host_parts.insert(CompactString::const_new("shallothub/hosts/leaves"), host_text(0, LEAVES_PER_SERVICE));
        for first in (0..count).step_by(100) {
            let text = entry_host_text(first, count.min(first + 100));
            host_parts.insert(format_compact!("shallothub/hosts/{first:05}"), text);
        }
        let before = allocator::live_bytes();
        let mut core = control_core();
        core.step(clock::Millis(2), [control::Input::Peer(update(catalog::Kind::Config, 1, &config))]);
        core.step(clock::Millis(3), [control::Input::Peer(update(catalog::Kind::Hosts, 1, &host_parts))]);
        points.add("control_bytes_by_host", count, (allocator::live_bytes() - before) as f64);
        let key = CompactString::const_new("shallothub/hosts/00000");
        let mut version = 1;
        points.add(
            "host_change_us_by_host",
            count,
            shortest_us(5, || {
                version += 1;
                let text = host_parts[&key].replacen("peer: \"10.0", &format!("peer: \"{version}.0"), 1);
                let digest = catalog::Digest::of(&text);
                let part = message::Part { key: key.clone(), digest, text: Some(Arc::from(text)) };
                let base = Some(core.stamp(catalog::Kind::Hosts));
                let update = message::Update {
                    kind: catalog::Kind::Hosts,
                    base,
                    number: 0,
                    version,
                    digest: 0,
                    removed: Vec::new(),
                    parts: vec![part],
                };
                let body = message::Body::Catalog(update);
                let message = message::Message { protocol: message::PROTOCOL, from: mesh::peer(1), body };
                core.step(clock::Millis(3 + version), [control::Input::Peer(message)]);
                assert_eq!(core.stamp(catalog::Kind::Hosts).version, version);
            }),
        );
    }
}

fn entry_host_text(first: usize, end: usize) -> String {
    let mut text = "entry_hosts:\n".to_owned();
    for host in first..end {
        let peer = mesh::peer(host);
        text.push_str(&format!(
            "  - {{name: host-{host}, data_centre: dc-{}, peer: \"{peer}\", state: live}}\n",
            host % 13
        ));
    }
    text
}
