//! From accepted parts to a view.

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};

use crate::{id, mutant, view};

use super::{
    BackendServer, EntryHost, Leaf, Part, Regions, Relay, Selector, Server, Service, State, WarmUp, routing, targets,
};

/// Most connections to a server of a host that is not settled. After the death of a whole fleet each host
/// knows only itself at first and would take all, while the server may still count those of the dead.
const UNSETTLED_SHARE: u32 = 1;

/// What a host knows that no document says.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fleet<'l> {
    /// This host; `None` if the documents say all that is needed.
    pub this: Option<&'l Relay>,
    /// The other hosts that take requests of this one.
    pub relays: &'l [Relay],
    /// Entry hosts that may hold connections, this one included, as far as hosts heard of each
    /// other; 0 if the documents list them.
    pub members: u32,
    /// Whether this host may take its full share of connections; see [`crate::control::Standing`].
    pub is_settled: bool,
    /// Servers whose entry is missing but that still count.
    pub held: &'l [Leaf],
    /// Servers whose listed entry is of an earlier life, as their present one described itself.
    pub reborn: &'l [Leaf],
    /// How far above their bound all hosts together may be at servers that warm up.
    pub tolerance: view::Tolerance,
    /// The region of each data centre, if that is known.
    pub regions: Option<&'l Regions>,
}

/// Builds the view of accepted parts. Leaving marks are added to `registry` and taken from it, so
/// that a mark once seen stays for that incarnation.
pub fn compile<'p>(
    stamps: [view::Stamp; 2],
    parts: impl IntoIterator<Item = &'p Part>,
    fleet: Fleet<'p>,
    registry: &mut view::Registry,
) -> view::View {
    let mut most = 0;
    let mut entry_hosts = 0;
    let mut listed: IndexMap<&CompactString, &BackendServer> = IndexMap::new();
    let mut services = IndexMap::new();
    let mut selectors = Vec::new();
    let mut leafs: IndexMap<&CompactString, &Leaf> = IndexMap::new();
    let mut routings = Vec::new();
    let mut evacuated = IndexSet::new();
    let mut entry_names = Vec::new();
    for part in parts {
        match part {
            Part::Services { entry_hosts_most, services: rows } => {
                most = most.max(*entry_hosts_most);
                services.extend(rows.iter().map(|service: &Service| (&service.name, service)));
            }
            Part::Selectors(rows) => selectors.extend(rows),
            Part::Hosts { entry_hosts: hosts, backend_servers } => {
                entry_hosts += count_hosts(hosts);
                entry_names.extend(hosts.iter().map(|host| host.name.clone()));
                listed.extend(backend_servers.iter().map(|server| (&server.name, server)));
            }
            Part::Routing(routing) => routings.push(routing),
            Part::Leaf(leaf) => {
                leafs.insert(&leaf.name, leaf);
            }
            Part::Evacuation(data_centres) => evacuated.extend(data_centres.iter().cloned()),
            Part::Unreadable(_) => {}
        }
    }
    for leaf in fleet.held {
        leafs.entry(&leaf.name).or_insert(leaf);
    }
    for leaf in fleet.reborn {
        leafs.insert(&leaf.name, leaf);
    }
    let mut view = view::View {
        stamp: stamps[0],
        hosts_revision: stamps[1],
        host: fleet.this.map(|this| this.name.clone()).unwrap_or_default(),
        tolerance: fleet.tolerance,
        hosts: if mutant::is(mutant::Mutant::ShareByReach) { entry_hosts } else { most.max(entry_hosts) },
        evacuated,
        ..view::View::default()
    };
    view.hosts = view.hosts.max(fleet.members);
    for server in services.values().flat_map(|service| &service.servers) {
        add_server(&mut view, server, listed.get(&server.name).copied(), fleet.regions, registry);
    }
    for service in services.values().filter(|service| service.warm_up.is_some()) {
        add_warm_up(&mut view, service, &listed, &entry_names, registry);
    }
    for selector in selectors {
        let Some(service) = services.get(&selector.service) else {
            continue;
        };
        let class = class(selector, service, &view, registry);
        view.classes.insert(selector.name.clone(), class);
    }
    for routing in routings {
        routing::add(&mut view, routing, &leafs, &fleet, registry);
    }
    view
}

/// Adds the servers that registered themselves, and returns them by service. `shares` are this host's
/// shares of connections, by service, where they do not follow from the number of hosts.
pub(super) fn add_leafs<'l>(
    view: &mut view::View,
    routing: &routing::Routing,
    leafs: &IndexMap<&CompactString, &'l Leaf>,
    fleet: &Fleet<'_>,
    shares: &IndexMap<CompactString, u32>,
    registry: &mut view::Registry,
) -> IndexMap<CompactString, Vec<(id::Server, &'l Leaf)>> {
    let here = fleet.this.map_or("", |this| this.data_centre.as_str());
    let services: IndexMap<&CompactString, &routing::Backing> =
        routing.services.iter().map(|service| (&service.name, service)).collect();
    let mut by_service: IndexMap<CompactString, Vec<(id::Server, &Leaf)>> = IndexMap::new();
    for &leaf in leafs.values() {
        let backing = services.get(&leaf.service);
        let accepted = backing.map_or(0, |backing| backing.connections);
        let warm_up = backing.and_then(|backing| backing.warm_up);
        // A server that accepts fewer connections than there are hosts turns some away; that is better
        // than hosts that cannot reach it at all.
        let equal = (accepted / view.hosts.max(1)).max(1);
        let share = shares.get(&leaf.service).copied().unwrap_or(equal);
        let id = registry.intern(&leaf.name);
        if leaf.leaving {
            registry.mark_leaving(id, leaf.incarnation);
        }
        let server = view::Server {
            name: leaf.name.clone(),
            address: leaf.address.clone(),
            incarnation: leaf.incarnation,
            connections: accepted,
            slots: leaf.slots,
            leaving: registry.is_leaving(id, leaf.incarnation),
            evacuated: is_evacuated(view, &leaf.data_centre),
            region: CompactString::from(routing::region(fleet.regions, &leaf.data_centre)),
            distance: if leaf.data_centre == here { view::Distance::Near } else { view::Distance::Far },
            own_share: Some(if fleet.is_settled { share } else { share.min(UNSETTLED_SHARE) }),
            is_peer: false,
            warm_up: warm_up.map(|warm_up| bound(warm_up, leaf.warming, &leaf.service, registry)),
        };
        put_server(view, id, server);
        by_service.entry(leaf.service.clone()).or_default().push((id, leaf));
    }
    by_service
}

fn bound(warm_up: WarmUp, is_warming: bool, service: &str, registry: &mut view::Registry) -> view::WarmUp {
    let WarmUp { span, rate } = warm_up;
    view::WarmUp { is_warming, span, rate, service: registry.intern_service(service) }
}

fn is_evacuated(view: &view::View, data_centre: &CompactString) -> bool {
    view.evacuated.contains(data_centre) && !mutant::is(mutant::Mutant::IgnoreEvacuation)
}

/// Puts a server into its place in the view.
pub(super) fn put_server(view: &mut view::View, id: id::Server, server: view::Server) {
    if view.servers.len() <= id.index() {
        view.servers.resize(id.index() + 1, None);
    }
    view.servers[id.index()] = Some(server);
}

/// Entry hosts that may hold connections: leaving ones do until they are gone.
fn count_hosts(hosts: &[EntryHost]) -> u32 {
    let mut count = 0;
    for host in hosts {
        let is_gone = mutant::is(mutant::Mutant::ShareByReach) && host.state == State::Leaving;
        count += u32::from(!is_gone);
    }
    count
}

fn add_server(
    view: &mut view::View,
    server: &Server,
    listed: Option<&BackendServer>,
    regions: Option<&Regions>,
    registry: &mut view::Registry,
) {
    let id = registry.intern(&server.name);
    if view.servers.len() <= id.index() {
        view.servers.resize(id.index() + 1, None);
    }
    let Some(listed) = listed else {
        return;
    };
    let is_marked = listed.state == State::Leaving;
    if is_marked {
        registry.mark_leaving(id, listed.incarnation);
    }
    let row = view::Server {
        name: server.name.clone(),
        address: listed.address.clone(),
        incarnation: listed.incarnation,
        connections: server.connections,
        slots: server.slots,
        leaving: is_marked || registry.is_leaving(id, listed.incarnation),
        evacuated: is_evacuated(view, &listed.data_centre),
        region: CompactString::from(routing::region(regions, &listed.data_centre)),
        distance: view::Distance::Near,
        own_share: None,
        is_peer: false,
        warm_up: None,
    };
    put_server(view, id, row);
}

/// Adds what the servers of `service` bear while they warm up, and that all listed hosts may send to them.
fn add_warm_up(
    view: &mut view::View,
    service: &Service,
    listed: &IndexMap<&CompactString, &BackendServer>,
    entry_hosts: &[CompactString],
    registry: &mut view::Registry,
) {
    let Some(warm_up) = service.warm_up else {
        return;
    };
    view.senders.insert(registry.intern_service(&service.name), entry_hosts.to_vec());
    for server in &service.servers {
        let id = registry.intern(&server.name);
        let is_warming = listed.get(&server.name).is_some_and(|listed| listed.warming);
        if let Some(row) = view.servers[id.index()].as_mut() {
            row.warm_up = Some(bound(warm_up, is_warming, &service.name, registry));
        }
    }
}

fn class(selector: &Selector, service: &Service, view: &view::View, registry: &mut view::Registry) -> view::Class {
    let budget = registry.intern_service(&service.name);
    let mut compiled = Vec::new();
    for (shard, servers) in targets(selector, service) {
        let ids = servers.iter().map(|server| registry.intern(&server.name));
        let is_home = |id: &id::Server| {
            let region = view.server(*id).map_or("", |server| server.region.as_str());
            view::is_home(&selector.homes, region)
        };
        let replicas = ids.filter(is_home).collect();
        compiled.push(view::Target { shard, service: budget, replicas });
    }
    view::Class {
        name: selector.name.clone(),
        service: selector.service.clone(),
        epoch: service.epoch,
        deadline: selector.deadline,
        aim: None,
        shape: view::Shape::Hits,
        servers_most: None,
        settle: selector.settle,
        least_coverage: selector.least_coverage,
        enough_hits: selector.enough_hits,
        idempotent: selector.idempotent,
        hedge: selector.hedge,
        priority: selector.priority,
        homes: selector.homes.clone(),
        branches: vec![view::Branch { weight: 1.0, targets: compiled }],
        relay: None,
    }
}
