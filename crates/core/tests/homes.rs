//! Requests that may be run and gathered in some regions only: neither they nor their bodies go anywhere else.

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
    REGIONS.iter().map(|region| (centre(region), CompactString::from(*region))).collect()
}

fn centre(region: &str) -> CompactString {
    format_compact!("{region}-1")
}

fn leaf(service: &str, centre: &str) -> plan::Part {
    plan::Part::Leaf(plan::Leaf {
        name: format_compact!("{service}-{centre}"),
        service: service.into(),
        data_centre: centre.into(),
        address: format_compact!("{service}-{centre}:80"),
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

/// Each service has a leaf in each region and one where nobody knows the region, but for those in `dark`.
fn parts(homes: &[&str], dark: &str) -> Vec<plan::Part> {
    let gather = plan::Destination::Gather {
        services: (0..SHARDS).map(shard).collect(),
        top: 10,
        least_coverage: ratio::Ratio::ONE,
    };
    let split = plan::Destination::Services(vec![("letters".into(), 1.0), ("mail".into(), 3.0)]);
    let services: Vec<CompactString> = (0..SHARDS).map(shard).chain(["letters".into(), "mail".into()]).collect();
    let mut parts = Vec::new();
    for service in &services {
        for centre in REGIONS.iter().filter(|region| **region != dark).map(|region| centre(region)) {
            parts.push(leaf(service, &centre));
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

/// Six hosts in each region, of which the first two are strong.
fn hosts() -> Vec<plan::Relay> {
    let mut hosts = Vec::new();
    for region in REGIONS {
        for host in 0..6 {
            hosts.push(plan::Relay {
                name: format_compact!("host-{region}-{host}"),
                data_centre: centre(region),
                address: format_compact!("{region}-{host}:7391"),
                power: if host < 2 { 500 } else { 120 },
                is_open: true,
            });
        }
    }
    hosts
}

/// The view of the host at `place`.
fn view(place: usize, homes: &[&str], dark: &str, revision: u64) -> view::View {
    view_among(hosts(), place, homes, dark, revision)
}

/// The same where these are all hosts.
fn view_among(mut relays: Vec<plan::Relay>, place: usize, homes: &[&str], dark: &str, revision: u64) -> view::View {
    let this = relays.remove(place);
    let (regions, parts) = (regions(), parts(homes, dark));
    let fleet = plan::Fleet {
        local: Some(&this),
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

/// Whatever the host, leafs and hosts that gather for it are in the homes; a leaf whose region nobody knows is in
/// none. Routes without homes are free.
#[rstest]
#[case::one(&["east"])]
#[case::two(&["south", "west"])]
#[case::unknown(&["north"])]
#[case::anywhere(&[])]
fn leafs_and_hosts_outside_of_the_homes_get_nothing(#[case] homes: &[&str]) {
    let is_home = |region: &str| homes.is_empty() || homes.contains(&region);
    let (mut leafs, mut relays) = (0, 0);
    for place in 0..hosts().len() {
        let view = view(place, homes, "", 1);
        for class in view.classes.values() {
            for &id in class.branches.iter().flat_map(|branch| &branch.targets).flat_map(|target| &target.replicas) {
                assert!(is_home(region_of(&view, id)), "{} to a leaf in {}", class.name, region_of(&view, id));
                leafs += 1;
            }
            for &id in class.relay.iter().flat_map(|relay| &relay.replicas) {
                assert!(is_home(region_of(&view, id)), "a body goes to a host in {}", region_of(&view, id));
                relays += 1;
            }
        }
    }
    let is_anywhere = homes != ["north"];
    assert_eq!((leafs > 0, relays > 0), (is_anywhere, is_anywhere));
}

/// A host that gathers for a route at home does not for one whose homes are elsewhere, and holds no connections for it.
#[test]
fn hosts_outside_of_the_homes_do_not_gather_for_others() {
    let view = view(0, &["west"], "", 1);
    let relay = view.classes["sweep"].relay.as_ref().expect("it is passed on");
    assert!(relay.replicas.iter().all(|&id| region_of(&view, id) == "west"));
    assert!(view.limit_shares.values().all(|part| *part == 0.0), "{:?}", view.limit_shares);
}

/// No host stands in the only home, but leafs do. The host that a caller reached asks them itself, and hands the body
/// to no other host; else what has such a home would be served nowhere.
#[test]
fn a_home_without_hosts_is_served_from_elsewhere() {
    let hosts: Vec<plan::Relay> = hosts().into_iter().filter(|host| !host.name.contains("south")).collect();
    for place in 0..hosts.len() {
        let view = view_among(hosts.clone(), place, &["south"], "", 1);
        assert!(view.classes["sweep"].relay.is_none());
        let mut core = core(view);
        let sent = dispatched(&ask(&mut core, 10, "sweep"));
        assert_eq!(sent.len(), SHARDS, "the host at {place}");
        assert!(sent.iter().all(|dispatch| dispatch.name.contains("south") && dispatch.relayed.is_none()));
    }
}

fn core(view: view::View) -> traffic::Core {
    let lane = traffic::Lane { index: 0, count: 1 };
    let mut core = traffic::Core::new(policy::Policy::default(), lane, 1, clock::Millis(1));
    core.step(clock::Millis(1), [event::Input::View(Arc::new(view))]);
    core
}

fn ask(core: &mut traffic::Core, now: u64, class: &str) -> Vec<event::Output> {
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

/// All leafs at home are gone. Callers hear at once that nothing was run and when to come back; the leafs of other
/// regions are well and get nothing.
#[rstest]
fn a_home_without_leafs_is_a_refusal(#[values("sweep", "split")] class: &str) {
    let mut core = core(view(0, &["east"], "east", 1));
    let outputs = ask(&mut core, 10, class);
    assert!(dispatched(&outputs).is_empty());
    let answer = outputs.iter().find_map(|output| match output {
        event::Output::Answer(answer) => Some(answer),
        _ => None,
    });
    let answer = answer.expect("an answer at once");
    assert_eq!((answer.outcome, answer.code), (event::Outcome::NotRun, event::Code::NoReplica));
    assert!(answer.retry_after.is_some());
}

/// The same while requests wait to be passed on: their bodies go to no host outside of the new homes.
#[test]
fn a_change_of_homes_holds_for_requests_that_are_passed_on() {
    let mut core = core(view(2, &[], "", 1));
    let mut sent = Vec::new();
    for step in 0..12 {
        sent.extend(dispatched(&ask(&mut core, 10 + step, "sweep")));
    }
    let at_home = |dispatch: &event::Dispatch| dispatch.name.contains("south");
    assert!(sent.iter().any(|dispatch| dispatch.relayed.is_some() && !at_home(dispatch)), "{sent:?}");
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
    let again = dispatched(&outputs);
    assert!(!again.is_empty());
    assert!(again.iter().all(at_home), "{again:?}");
}

/// Operators give a route homes while its requests run. What fails then is tried again at home only.
#[test]
fn a_change_of_homes_holds_for_requests_that_run() {
    let mut core = core(view(0, &[], "", 1));
    let mut sent = Vec::new();
    for step in 0..12 {
        sent.extend(dispatched(&ask(&mut core, 10 + step, "split")));
    }
    let at_home = |dispatch: &event::Dispatch| dispatch.name.contains("south");
    assert!(!sent.iter().all(at_home));
    let mut outputs = core.step(clock::Millis(30), [event::Input::View(Arc::new(view(0, &["south"], "", 2)))]);
    for dispatch in sent {
        let reply = event::Reply::Refused { retry_after: None };
        outputs.extend(core.step(clock::Millis(31), [event::Input::Reply { attempt: dispatch.attempt, reply }]));
    }
    for step in 0..20 {
        outputs.extend(core.step(clock::Millis(32 + step * 5), [event::Input::Tick]));
    }
    let again = dispatched(&outputs);
    assert!(!again.is_empty());
    assert!(again.iter().all(at_home), "{again:?}");
}
