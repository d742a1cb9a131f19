//! Compiles accepted parts to a view.

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};

use crate::{id, mutant, view};

use super::{
    BackendServer, EntryHost, Leaf, Part, Regions, Relay, Selector, Server, Service, State, WarmUp, gatherers,
    gatherers::transition, routing, targets,
};

/// Limit on connections to a server from a host that is not settled. After a restart of the whole fleet each host
/// knows only itself at first and would use all connections, while the server may still count those of the old hosts.
const UNSETTLED_SHARE: u32 = 1;

/// This host's knowledge of the fleet that is not in the documents.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fleet<'l> {
    /// This host; `None` to compile from the documents alone.
    pub local: Option<&'l Relay>,
    /// The other known hosts, to which this one may relay requests.
    pub relays: &'l [Relay],
    /// Number of known entry hosts that may hold connections, including this one; 0 if the documents
    /// list them.
    pub members: u32,
    /// Whether this host may use its full share of connections; see [`crate::control::Standing`].
    pub is_settled: bool,
    /// Servers that stay in the view although their entry is missing.
    pub held: &'l [Leaf],
    /// Servers whose listed entry is of an earlier incarnation, as described by their current one.
    pub restarted: &'l [Leaf],
    /// Permitted excess of all hosts together over the rate limit of servers that warm up.
    pub tolerance: view::Tolerance,
    /// The region of each data centre, if known.
    pub regions: Option<&'l Regions>,
    /// How gathering hosts are chosen by demand; `None` if they are not.
    pub gatherers: Option<Gatherers<'l>>,
}

/// How gathering hosts are chosen by demand, and those that are in force.
#[derive(Clone, Copy, Debug)]
pub struct Gatherers<'l> {
    /// The parameters of the choice.
    pub policy: &'l gatherers::Policy,
    /// The choices in force.
    pub transitions: &'l transition::Transitions,
}

/// The gathering hosts of each set of shards by what this host knows now; see [`transition::Transitions::update`].
pub fn gathering_choices<'p>(parts: impl IntoIterator<Item = &'p Part>, fleet: Fleet<'p>) -> Vec<transition::Fresh> {
    let mut leaves = IndexMap::new();
    let mut routings = Vec::new();
    for part in parts {
        match part {
            Part::Routing(routing) => routings.push(routing),
            Part::Leaf(leaf) => {
                leaves.insert(&leaf.name, leaf);
            }
            _ => {}
        }
    }
    add_unlisted(&mut leaves, &fleet);
    let mut choices = Vec::new();
    for routing in routings {
        choices.extend(routing::assignments(routing, &leaves, &fleet).into_values().map(|held| held.into_fresh()));
    }
    choices
}

/// Adds the servers that differ from the listed ones.
fn add_unlisted<'l>(leaves: &mut IndexMap<&'l CompactString, &'l Leaf>, fleet: &Fleet<'l>) {
    for leaf in fleet.held {
        leaves.entry(&leaf.name).or_insert(leaf);
    }
    for leaf in fleet.restarted {
        leaves.insert(&leaf.name, leaf);
    }
}

/// Compiles accepted parts to a view. Leaving marks are added to `registry` and read from it, so that
/// a mark persists for that incarnation.
pub fn compile<'p>(
    stamps: [view::Stamp; 2],
    parts: impl IntoIterator<Item = &'p Part>,
    fleet: Fleet<'p>,
    registry: &mut view::Registry,
) -> view::View {
    let mut max_entry_hosts = 0;
    let mut entry_hosts = 0;
    let mut listed: IndexMap<&CompactString, &BackendServer> = IndexMap::new();
    let mut services = IndexMap::new();
    let mut selectors = Vec::new();
    let mut leaves: IndexMap<&CompactString, &Leaf> = IndexMap::new();
    let mut routings = Vec::new();
    let mut evacuated = IndexSet::new();
    let mut entry_names = Vec::new();
    for part in parts {
        match part {
            Part::Services { entry_hosts_most, services: configured } => {
                max_entry_hosts = max_entry_hosts.max(*entry_hosts_most);
                services.extend(configured.iter().map(|service: &Service| (&service.name, service)));
            }
            Part::Selectors(configured) => selectors.extend(configured),
            Part::Hosts { entry_hosts: hosts, backend_servers } => {
                entry_hosts += count_hosts(hosts);
                entry_names.extend(hosts.iter().map(|host| host.name.clone()));
                listed.extend(backend_servers.iter().map(|server| (&server.name, server)));
            }
            Part::Routing(routing) => routings.push(routing),
            Part::Leaf(leaf) => {
                leaves.insert(&leaf.name, leaf);
            }
            Part::Evacuation(data_centres) => evacuated.extend(data_centres.iter().cloned()),
            Part::Unreadable(_) => {}
        }
    }
    add_unlisted(&mut leaves, &fleet);
    let mut view = view::View {
        stamp: stamps[0],
        hosts_revision: stamps[1],
        host: fleet.local.map(|local| local.name.clone()).unwrap_or_default(),
        tolerance: fleet.tolerance,
        hosts: if mutant::is(mutant::Mutant::ShareByReach) { entry_hosts } else { max_entry_hosts.max(entry_hosts) },
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
        routing::add(&mut view, routing, &leaves, &fleet, registry);
    }
    view
}

/// Adds the servers that registered themselves, and returns them by service. `shares` are this host's
/// shares of connections by service; services that are not in it are shared equally by all hosts.
pub(super) fn add_leaves<'l>(
    view: &mut view::View,
    routing: &routing::Routing,
    leaves: &IndexMap<&CompactString, &'l Leaf>,
    fleet: &Fleet<'_>,
    shares: &IndexMap<CompactString, u32>,
    registry: &mut view::Registry,
) -> IndexMap<CompactString, Vec<(id::Server, &'l Leaf)>> {
    let local_data_centre = fleet.local.map_or("", |local| local.data_centre.as_str());
    let services: IndexMap<&CompactString, &routing::Upstream> =
        routing.services.iter().map(|service| (&service.name, service)).collect();
    let mut by_service: IndexMap<CompactString, Vec<(id::Server, &Leaf)>> = IndexMap::new();
    for &leaf in leaves.values() {
        let upstream = services.get(&leaf.service);
        let accepted = upstream.map_or(0, |upstream| upstream.connections);
        let warm_up = upstream.and_then(|upstream| upstream.warm_up);
        // At least one connection per host: a server with a limit below the number of hosts refuses some
        // connections, which is better than hosts that never use it.
        let equal_share = (accepted / view.hosts.max(1)).max(1);
        let share = shares.get(&leaf.service).copied().unwrap_or(equal_share);
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
            distance: if leaf.data_centre == local_data_centre { view::Distance::Near } else { view::Distance::Far },
            own_share: Some(if fleet.is_settled { share } else { share.min(UNSETTLED_SHARE) }),
            is_peer: false,
            warm_up: warm_up.map(|warm_up| warm_up_limits(warm_up, leaf.warming, &leaf.service, registry)),
        };
        put_server(view, id, server);
        by_service.entry(leaf.service.clone()).or_default().push((id, leaf));
    }
    by_service
}

fn warm_up_limits(warm_up: WarmUp, is_warming: bool, service: &str, registry: &mut view::Registry) -> view::WarmUp {
    let WarmUp { duration, rate } = warm_up;
    view::WarmUp { is_warming, duration, rate, service: registry.intern_service(service) }
}

fn is_evacuated(view: &view::View, data_centre: &CompactString) -> bool {
    view.evacuated.contains(data_centre) && !mutant::is(mutant::Mutant::IgnoreEvacuation)
}

/// Stores a server at its index in the view.
pub(super) fn put_server(view: &mut view::View, id: id::Server, server: view::Server) {
    if view.servers.len() <= id.index() {
        view.servers.resize(id.index() + 1, None);
    }
    view.servers[id.index()] = Some(server);
}

/// Counts entry hosts that may hold connections, including leaving ones.
fn count_hosts(hosts: &[EntryHost]) -> u32 {
    let mut count = 0;
    for host in hosts {
        let is_skipped = mutant::is(mutant::Mutant::ShareByReach) && host.state == State::Leaving;
        count += u32::from(!is_skipped);
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
    let compiled = view::Server {
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
    put_server(view, id, compiled);
}

/// Adds the warm-up limits of the servers of `service`, with all listed hosts as senders.
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
        if let Some(compiled) = view.servers[id.index()].as_mut() {
            compiled.warm_up = Some(warm_up_limits(warm_up, is_warming, &service.name, registry));
        }
    }
}

fn class(selector: &Selector, service: &Service, view: &view::View, registry: &mut view::Registry) -> view::Class {
    let service_id = registry.intern_service(&service.name);
    let mut compiled = Vec::new();
    for (shard, servers) in targets(selector, service) {
        let ids = servers.iter().map(|server| registry.intern(&server.name));
        let is_home = |id: &id::Server| {
            let region = view.server(*id).map_or("", |server| server.region.as_str());
            view::is_home(&selector.homes, region)
        };
        let replicas = ids.filter(is_home).collect();
        compiled.push(view::Target { shard, service: service_id, replicas });
    }
    view::Class {
        name: selector.name.clone(),
        service: selector.service.clone(),
        epoch: service.epoch,
        deadline: selector.deadline,
        target_latency: None,
        shape: view::Shape::Hits,
        max_servers: None,
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
