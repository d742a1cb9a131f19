//! Routes with home regions: requests and their bodies must not be sent to leafs or hosts in other regions.

use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use rstest::rstest;
use shallothub_core::{
    clock, id, plan, ratio,
    traffic::{self, event, policy},
    view,
};

const REGIONS: [&str; 3] = ["east", "south", "west"];
const SHARDS: usize = 6;

fn regions() -> plan::Regions {
    REGIONS.iter().map(|region| (data_centre_of(region), CompactString::from(*region))).collect()
}

fn data_centre_of(region: &str) -> CompactString {
    format_compact!("{region}-1")
}

fn leaf(service: &str, data_centre: &str) -> plan::Part {
    plan::Part::Leaf(plan::Leaf {
        name: format_compact!("{service}-{data_centre}"),
        service: service.into(),
        data_centre: data_centre.into(),
        address: format_compact!("{service}-{data_centre}:80"),
        slots: 2,
        leaving: false,
        warming: false,
        incarnation: 0,
    })
}

fn route(name: &str, homes: &[&str], destination: plan::Destination) -> plan::Route {
    plan::Route {
        name: name.into(),
        host: "example".into(),
        prefix: format_compact!("/{name}/"),
        idempotent: true,
        timeout: clock::Millis(600),
        target_latency: None,
        max_servers: 3,
        priority: 0,
        homes: homes.iter().map(|home| CompactString::from(*home)).collect(),
        destination,
    }
}

fn shard(shard: usize) -> CompactString {
    format_compact!("s{shard}")
}

/// Each service has a leaf in each region except `without_leafs`, and one in a data centre of unknown region.
fn parts(homes: &[&str], without_leafs: &str) -> Vec<plan::Part> {
    let gather = plan::Destination::Gather {
        services: (0..SHARDS).map(shard).collect(),
        top: 10,
        least_coverage: ratio::Ratio::ONE,
    };
    let split = plan::Destination::Services(vec![("letters".into(), 1.0), ("mail".into(), 3.0)]);
    let services: Vec<CompactString> = (0..SHARDS).map(shard).chain(["letters".into(), "mail".into()]).collect();
    let mut parts = Vec::new();
    for service in &services {
        for data_centre in
            REGIONS.iter().filter(|region| **region != without_leafs).map(|region| data_centre_of(region))
        {
            parts.push(leaf(service, &data_centre));
        }
        parts.push(leaf(service, "nowhere"));
    }
    let backing = |name: CompactString| plan::Upstream { name, connections: 40, warm_up: None };
    parts.push(plan::Part::Routing(plan::Routing {
        number: 1,
        routes: vec![route("sweep", homes, gather), route("split", homes, split)],
        services: services.into_iter().map(backing).collect(),
        limits: None,
    }));
    parts
}

/// Six hosts in each region, of which the first two have more power.
fn hosts() -> Vec<plan::Relay> {
    let mut hosts = Vec::new();
    for region in REGIONS {
        for host in 0..6 {
            hosts.push(plan::Relay {
                name: format_compact!("host-{region}-{host}"),
                data_centre: data_centre_of(region),
                address: format_compact!("{region}-{host}:7391"),
                power: if host < 2 { 500 } else { 120 },
                is_open: true,
                demand: plan::gatherers::Demand::NONE,
            });
        }
    }
    hosts
}

/// The view of `hosts()[index]`.
fn view(index: usize, homes: &[&str], without_leafs: &str, revision: u64) -> view::View {
    view_among(hosts(), index, homes, without_leafs, revision)
}

/// The view of `relays[index]` in a fleet of just `relays`.
fn view_among(
    mut relays: Vec<plan::Relay>,
    index: usize,
    homes: &[&str],
    without_leafs: &str,
    revision: u64,
) -> view::View {
    let local = relays.remove(index);
    let (regions, parts) = (regions(), parts(homes, without_leafs));
    let fleet = plan::Fleet {
        local: Some(&local),
        relays: &relays,
        members: relays.len() as u32 + 1,
        is_settled: true,
        regions: Some(&regions),
        ..plan::Fleet::default()
    };
    let stamps = [
        view::Stamp { version: 1, digest: 1, ..view::Stamp::default() },
        view::Stamp { version: revision, digest: 1, ..view::Stamp::default() },
    ];
    plan::compile(stamps, &parts, fleet, &mut view::Registry::default())
}

fn region_of(view: &view::View, id: id::Server) -> &str {
    let name = &view.server(id).expect("a server").name;
    REGIONS.into_iter().find(|region| name.contains(region)).unwrap_or("nowhere")
}

/// On every host, the target leafs and relays of a route must be in its homes; a leaf of unknown region is in none.
/// Routes without homes are unrestricted.
#[rstest]
#[case::one(&["east"])]
#[case::two(&["south", "west"])]
#[case::unknown(&["north"])]
#[case::anywhere(&[])]
fn leafs_and_hosts_outside_the_homes_are_not_targets(#[case] homes: &[&str]) {
    let is_home = |region: &str| homes.is_empty() || homes.contains(&region);
    let (mut leafs, mut relays) = (0, 0);
    for index in 0..hosts().len() {
        let view = view(index, homes, "", 1);
        for class in view.classes.values() {
            for &id in class.branches.iter().flat_map(|branch| &branch.targets).flat_map(|target| &target.replicas) {
                assert!(is_home(region_of(&view, id)), "{} targets a leaf in {}", class.name, region_of(&view, id));
                leafs += 1;
            }
            for &id in class.relay.iter().flat_map(|relay| &relay.replicas) {
                assert!(is_home(region_of(&view, id)), "a body is relayed to a host in {}", region_of(&view, id));
                relays += 1;
            }
        }
    }
    let is_anywhere = homes != ["north"];
    assert_eq!((leafs > 0, relays > 0), (is_anywhere, is_anywhere));
}

/// A host must not gather for a route whose homes are in other regions, and must hold no connections for it.
#[test]
fn hosts_outside_the_homes_hold_no_connections_for_a_route() {
    let view = view(0, &["west"], "", 1);
    let relay = view.classes["sweep"].relay.as_ref().expect("the route is relayed");
    assert!(relay.replicas.iter().all(|&id| region_of(&view, id) == "west"));
    assert!(view.limit_shares.values().all(|share| *share == 0.0), "{:?}", view.limit_shares);
}

/// The only home has leafs but no hosts. The host that received the request sends it to them itself and relays the
/// body to no other host; otherwise routes with such a home would not be served at all.
#[test]
fn a_home_without_hosts_is_served_by_the_receiving_host() {
    let hosts: Vec<plan::Relay> = hosts().into_iter().filter(|host| !host.name.contains("south")).collect();
    for index in 0..hosts.len() {
        let view = view_among(hosts.clone(), index, &["south"], "", 1);
        assert!(view.classes["sweep"].relay.is_none());
        let mut core = core(view);
        let sent = dispatched(&send_request(&mut core, 10, "sweep"));
        assert_eq!(sent.len(), SHARDS, "host {index}");
        assert!(sent.iter().all(|dispatch| dispatch.name.contains("south") && dispatch.relayed.is_none()));
    }
}

fn core(view: view::View) -> traffic::Core {
    let lane = traffic::Lane { index: 0, count: 1 };
    let mut core = traffic::Core::new(policy::Policy::default(), lane, 1, clock::Millis(1));
    core.step(clock::Millis(1), [event::Input::View(Arc::new(view))]);
    core
}

fn send_request(core: &mut traffic::Core, now: u64, class: &str) -> Vec<event::Output> {
    let request = event::Request {
        caller: id::Caller(now),
        class: class.into(),
        timeout: None,
        key: None,
        relayed: None,
        fingerprint: None,
    };
    core.step(clock::Millis(now), [event::Input::Request(request)])
}

fn dispatched(outputs: &[event::Output]) -> Vec<event::Dispatch> {
    let dispatch = |output: &event::Output| match output {
        event::Output::Dispatch(dispatch) => Some(dispatch.clone()),
        _ => None,
    };
    outputs.iter().filter_map(dispatch).collect()
}

/// All leafs in the home are gone. Callers must get an immediate `NotRun` with a retry delay; the healthy leafs of
/// other regions must get nothing.
#[rstest]
fn a_home_without_leafs_refuses_at_once(#[values("sweep", "split")] class: &str) {
    let mut core = core(view(0, &["east"], "east", 1));
    let outputs = send_request(&mut core, 10, class);
    assert!(dispatched(&outputs).is_empty());
    let answer = outputs.iter().find_map(|output| match output {
        event::Output::Answer(answer) => Some(answer),
        _ => None,
    });
    let answer = answer.expect("an immediate answer");
    assert_eq!((answer.outcome, answer.code), (event::Outcome::NotRun, event::Code::NoReplica));
    assert!(answer.retry_after.is_some());
}

/// Homes are added while requests are being relayed: retries must not relay bodies outside the new homes.
#[test]
fn a_change_of_homes_applies_to_relayed_requests() {
    let mut core = core(view(2, &[], "", 1));
    let mut sent = Vec::new();
    for step in 0..12 {
        sent.extend(dispatched(&send_request(&mut core, 10 + step, "sweep")));
    }
    let is_in_home = |dispatch: &event::Dispatch| dispatch.name.contains("south");
    assert!(sent.iter().any(|dispatch| dispatch.relayed.is_some() && !is_in_home(dispatch)), "{sent:?}");
    let mut outputs = core.step(clock::Millis(30), [event::Input::View(Arc::new(view(2, &["south"], "", 2)))]);
    for dispatch in sent {
        outputs.extend(core.step(
            clock::Millis(31),
            [event::Input::Reply { attempt: dispatch.attempt, reply: event::Reply::NotSent }],
        ));
    }
    for step in 0..20 {
        outputs.extend(core.step(clock::Millis(32 + step * 5), [event::Input::Tick]));
    }
    let retried = dispatched(&outputs);
    assert!(!retried.is_empty());
    assert!(retried.iter().all(is_in_home), "{retried:?}");
}

/// Homes are added to a route while its requests run: failed attempts must be retried in the new homes only.
#[test]
fn a_change_of_homes_applies_to_running_requests() {
    let mut core = core(view(0, &[], "", 1));
    let mut sent = Vec::new();
    for step in 0..12 {
        sent.extend(dispatched(&send_request(&mut core, 10 + step, "split")));
    }
    let is_in_home = |dispatch: &event::Dispatch| dispatch.name.contains("south");
    assert!(!sent.iter().all(is_in_home));
    let mut outputs = core.step(clock::Millis(30), [event::Input::View(Arc::new(view(0, &["south"], "", 2)))]);
    for dispatch in sent {
        let reply = event::Reply::Refused { retry_after: None };
        outputs.extend(core.step(clock::Millis(31), [event::Input::Reply { attempt: dispatch.attempt, reply }]));
    }
    for step in 0..20 {
        outputs.extend(core.step(clock::Millis(32 + step * 5), [event::Input::Tick]));
    }
    let retried = dispatched(&outputs);
    assert!(!retried.is_empty());
    assert!(retried.iter().all(is_in_home), "{retried:?}");
}
