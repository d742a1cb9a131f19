//! Routes by host and path, and servers that register themselves.
//!
//! This is the alternative form of a configuration: it lists services instead of shards and servers, and
//! servers register under a service. A shard is then a service with its replicas.

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};

use crate::{clock, ratio, route, view};

use super::{
    Fault, Position, Regions, WarmUp,
    compile::{self, Fleet},
    relay,
};

/// A configuration in the form of routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routing {
    /// The operators' number of this configuration, for logs.
    pub number: u64,
    /// Routes, by host and path.
    pub routes: Vec<Route>,
    /// The services that the routes refer to.
    pub services: Vec<Upstream>,
    /// Limits on callers, if any are set.
    pub limits: Option<route::Limits>,
}

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: CompactString,
    /// The host name in requests.
    pub host: CompactString,
    /// Path prefix; begins and ends with a slash.
    pub prefix: CompactString,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Maximum time to an answer.
    pub timeout: clock::Millis,
    /// Time within which an answer should arrive, measured from the caller's first attempt.
    pub target_latency: Option<clock::Millis>,
    /// Maximum number of servers that one request is sent to for each shard.
    pub max_servers: u8,
    /// Priority; 0 is the highest. See [`view::Class::priority`].
    pub priority: u8,
    /// Regions in which its requests may be run and gathered; empty for any region.
    pub homes: Vec<CompactString>,
    /// The services that its requests are sent to.
    pub destination: Destination,
}

/// The services of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Destination {
    /// Requests go to one server of one of these services, in proportion to the weights.
    Services(Vec<(CompactString, f64)>),
    /// Requests go to one server of each of these services, and the records are merged.
    Gather {
        /// The services that act as shards.
        services: Vec<CompactString>,
        /// Maximum number of records in an answer.
        top: u32,
        /// Minimum share of shards in an answer.
        least_coverage: ratio::Ratio,
    },
}

/// A service that routes refer to.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Unique name.
    pub name: CompactString,
    /// Limit on connections to each of its servers, from all hosts together.
    pub connections: u32,
    /// The limits of a server that warms up; `None` if there are none.
    pub warm_up: Option<WarmUp>,
}

/// A server that registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaf {
    /// Unique among servers; may be reused after a restart.
    pub name: CompactString,
    /// Name of the service that it registered under.
    pub service: CompactString,
    /// The data centre that it runs in.
    pub data_centre: CompactString,
    /// `IP:PORT` of its HTTP interface.
    pub address: CompactString,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts no new work and exits once its running work is done.
    pub leaving: bool,
    /// Whether it reports that it warms up.
    pub warming: bool,
    /// Distinguishes restarts of a server under one name, increasing with each; 0 if it reports none.
    pub incarnation: u64,
}

/// Reports faults of routes. Names must be unique, and so must pairs of host and prefix, because either of two equal
/// ones could apply.
pub(super) fn check(document: &CompactString, routing: &Routing, faults: &mut Vec<Fault>) {
    let mut names = IndexSet::new();
    let mut prefixes = IndexSet::new();
    for route in &routing.routes {
        let mut fault = |problem: String, remedy: &str| {
            let remedy = remedy.to_owned();
            faults.push(Fault { document: document.clone(), position: Position::default(), problem, remedy });
        };
        let name = &route.name;
        if !names.insert(name) {
            fault(format!("the route `{name}` is defined twice"), "give one of the two another name");
        }
        if !prefixes.insert((&route.host, &route.prefix)) {
            let prefix = format!("{}{}", route.host, route.prefix);
            fault(format!("route `{name}`: another route also has the prefix `{prefix}`"), "keep one of the two");
        }
        let has_slashes = route.prefix.starts_with('/') && route.prefix.ends_with('/');
        if !has_slashes {
            fault(
                format!("route `{name}`: the prefix `{}` does not begin and end with a slash", route.prefix),
                "begin and end with /",
            );
        }
        if route.homes.iter().any(CompactString::is_empty) {
            fault(format!("route `{name}`: one of its homes has no name"), "name regions, or give it no homes");
        }
        if route.timeout == clock::Millis::ZERO {
            fault(format!("route `{name}` has no timeout"), "set a timeout above 0");
        }
        match &route.destination {
            Destination::Services(branches) => {
                let is_weighted = branches.iter().all(|(_, weight)| weight.is_finite() && *weight >= 0.0);
                let total: f64 = branches.iter().map(|(_, weight)| weight).sum();
                if branches.is_empty() || !is_weighted || total <= 0.0 {
                    fault(
                        format!("route `{name}` has no service with a valid weight"),
                        "name a service, or weights above 0",
                    );
                }
            }
            Destination::Gather { services, .. } => {
                let distinct: IndexSet<_> = services.iter().collect();
                if services.is_empty() || distinct.len() < services.len() {
                    fault(format!("route `{name}` lists no shard, or one shard twice"), "name each shard once");
                }
                if !route.idempotent {
                    fault(
                        format!("route `{name}` reaches many shards but must run at most once"),
                        "make it idempotent",
                    );
                }
            }
        }
    }
}

/// Adds the classes and routes of `routing` to `view`, with the servers of `leaves`.
pub(super) fn add(
    view: &mut view::View,
    routing: &Routing,
    leaves: &IndexMap<&CompactString, &Leaf>,
    fleet: &Fleet<'_>,
    registry: &mut view::Registry,
) {
    view.number = routing.number;
    view.limits = routing.limits;
    let assignments = assignments(routing, leaves, fleet);
    let regions = fleet.regions;
    let mut shares = IndexMap::new();
    let mut senders: IndexMap<&CompactString, IndexSet<&CompactString>> = IndexMap::new();
    for ((services, _), assignment) in &assignments {
        for service in *services {
            // Two gathers over one service have the same leaves and usually the same owners.
            let share = shares.entry(service.clone()).or_insert(0);
            *share = assignment.connection_share().max(*share);
            view.limit_shares.insert(registry.intern_service(service), assignment.limit_share());
            senders.entry(service).or_default().extend(assignment.owners(fleet));
        }
    }
    add_senders(view, routing, &senders, fleet, registry);
    let by_service = compile::add_leaves(view, routing, leaves, fleet, &shares, registry);
    let mut target = |service: &CompactString, homes: &[CompactString]| {
        let leaves = by_service.get(service).map_or(&[][..], Vec::as_slice);
        let is_home = |leaf: &&Leaf| view::is_home(homes, region(regions, &leaf.data_centre));
        view::Target {
            shard: service.clone(),
            service: registry.intern_service(service),
            replicas: leaves.iter().filter(|(_, leaf)| is_home(leaf)).map(|(id, _)| *id).collect(),
        }
    };
    let mut classes = Vec::new();
    for route in &routing.routes {
        let mut branches = Vec::new();
        match &route.destination {
            Destination::Services(services) => {
                for (service, weight) in services.iter().filter(|(_, weight)| *weight > 0.0) {
                    branches.push(view::Branch { weight: *weight, targets: vec![target(service, &route.homes)] });
                }
            }
            Destination::Gather { services, .. } => {
                let targets = services.iter().map(|service| target(service, &route.homes)).collect();
                branches.push(view::Branch { weight: 1.0, targets });
            }
        }
        view.routes.insert(&route.host, &route.prefix, &route.name);
        classes.push(class(route, branches));
    }
    for (route, mut class) in routing.routes.iter().zip(classes) {
        if let Destination::Gather { services, .. } = &route.destination
            && let Some(assignment) = assignments.get(&(services.as_slice(), route.homes.as_slice()))
        {
            class.relay = assignment.target(services.len(), fleet, view, registry);
        }
        view.classes.insert(class.name.clone(), class);
    }
}

/// Adds the hosts that may send to servers that warm up: the owners of a service's gathers, or else all hosts.
fn add_senders(
    view: &mut view::View,
    routing: &Routing,
    owners: &IndexMap<&CompactString, IndexSet<&CompactString>>,
    fleet: &Fleet<'_>,
    registry: &mut view::Registry,
) {
    let Some(local) = fleet.local.filter(|_| fleet.is_settled) else {
        return;
    };
    for service in routing.services.iter().filter(|service| service.warm_up.is_some()) {
        let hosts: Vec<CompactString> = match owners.get(&service.name) {
            Some(owners) => owners.iter().copied().cloned().collect(),
            None => [local].into_iter().chain(fleet.relays).map(|host| host.name.clone()).collect(),
        };
        view.senders.insert(registry.intern_service(&service.name), hosts);
    }
}

/// The region of `data_centre`; empty if unknown.
pub(super) fn region<'r>(regions: Option<&'r Regions>, data_centre: &str) -> &'r str {
    regions.and_then(|regions| regions.get(data_centre)).map_or("", CompactString::as_str)
}

/// The shards of a gather and the home regions of its route, which together identify its assignment.
pub(super) type GatherKey<'r> = (&'r [CompactString], &'r [CompactString]);

/// The assignments of the gathers to hosts, by shards and home regions.
pub(super) fn assignments<'r>(
    routing: &'r Routing,
    leaves: &IndexMap<&CompactString, &Leaf>,
    fleet: &Fleet<'_>,
) -> IndexMap<GatherKey<'r>, relay::Assignment> {
    let mut assignments = IndexMap::new();
    let Some(local) = fleet.local else {
        return assignments;
    };
    let mut by_service: IndexMap<CompactString, Vec<&Leaf>> = IndexMap::new();
    for leaf in leaves.values() {
        by_service.entry(leaf.service.clone()).or_default().push(leaf);
    }
    let connections: IndexMap<&CompactString, u32> =
        routing.services.iter().map(|service| (&service.name, service.connections)).collect();
    for route in &routing.routes {
        let Destination::Gather { services, .. } = &route.destination else {
            continue;
        };
        let key = (services.as_slice(), route.homes.as_slice());
        if assignments.contains_key(&key) {
            continue;
        }
        // The first shard is the key of the set, so that gathers over one set have the same owners.
        let set_key = services.first().map_or("", CompactString::as_str);
        let accepted = services.iter().filter_map(|service| connections.get(service)).min().copied().unwrap_or(1);
        let gather = relay::Gather { set_key, services, homes: &route.homes, connections: accepted };
        let assignment = relay::Assignment::new(&gather, &by_service, local, fleet);
        assignments.insert(key, assignment);
    }
    assignments
}

fn class(route: &Route, branches: Vec<view::Branch>) -> view::Class {
    let (shape, least_coverage) = match &route.destination {
        Destination::Services(_) => (view::Shape::Whole, ratio::Ratio::ONE),
        Destination::Gather { top, least_coverage, .. } => (view::Shape::Records { top: *top }, *least_coverage),
    };
    let service = match &route.destination {
        Destination::Services(services) => services.first().map(|(service, _)| service.clone()),
        Destination::Gather { services, .. } => services.first().cloned(),
    };
    view::Class {
        name: route.name.clone(),
        service: service.unwrap_or_default(),
        epoch: 0,
        deadline: route.timeout,
        target_latency: route.target_latency,
        shape,
        max_servers: Some(route.max_servers.max(1)),
        settle: None,
        least_coverage,
        enough_hits: None,
        idempotent: route.idempotent,
        hedge: route.idempotent,
        priority: route.priority.min(view::Class::PRIORITIES as u8 - 1),
        homes: route.homes.clone(),
        branches,
        relay: None,
    }
}
