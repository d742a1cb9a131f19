//! Routes by host and path, and servers that register themselves.
//!
//! This is the other form of a configuration: it names services instead of shards and servers, and
//! the servers of a service are those that say so. A shard is then a service with its replicas.

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};

use crate::{clock, ratio, route, view};

use super::{
    Fault, Place, Regions, WarmUp,
    compile::{self, Fleet},
    relay,
};

/// A configuration of routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routing {
    /// The operators' own number of this configuration, for logs.
    pub number: u64,
    /// Its routes.
    pub routes: Vec<Route>,
    /// The services that they name.
    pub services: Vec<Backing>,
    /// Bounds on callers.
    pub limits: Option<route::Limits>,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: CompactString,
    /// The host that requests name.
    pub host: CompactString,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: CompactString,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Longest time to an answer.
    pub timeout: clock::Millis,
    /// Time within which an answer is worth most, from the caller's first attempt.
    pub aim: Option<clock::Millis>,
    /// Most servers to which one request may be sent, for each shard.
    pub servers_most: u8,
    /// 0 is served first.
    pub priority: u8,
    /// Regions in which its requests may be run and gathered; none if that may be anywhere.
    pub homes: Vec<CompactString>,
    /// Where its requests go.
    pub to: Destination,
}

/// Where a route's requests go.
#[derive(Clone, Debug, PartialEq)]
pub enum Destination {
    /// To one server of one of these services, in proportion to the weights.
    Services(Vec<(CompactString, f64)>),
    /// To one server of each of these services, whose records are merged.
    Gather {
        /// The shards.
        services: Vec<CompactString>,
        /// Records in an answer.
        top: u32,
        /// Least share of shards for an answer.
        least_coverage: ratio::Ratio,
    },
}

/// A service to which routes lead.
#[derive(Clone, Debug, PartialEq)]
pub struct Backing {
    /// Unique name.
    pub name: CompactString,
    /// Connections that each of its servers accepts from all hosts together.
    pub connections: u32,
    /// What each of them bears while it warms up, if there is a bound.
    pub warm_up: Option<WarmUp>,
}

/// A server that registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaf {
    /// Unique among servers; one that starts again may keep it.
    pub name: CompactString,
    /// Its service.
    pub service: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// `IP:PORT` of its HTTP interface.
    pub address: CompactString,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it finishes what it has and goes.
    pub leaving: bool,
    /// Whether it warms up.
    pub warming: bool,
    /// Tells two lives of a server under one name apart: the later one is greater. 0 if it does not say.
    pub incarnation: u64,
}

/// Faults of routes. Two routes of one name, host and prefix would each be right half of the time.
pub(super) fn check(document: &CompactString, routing: &Routing, faults: &mut Vec<Fault>) {
    let mut names = IndexSet::new();
    let mut places = IndexSet::new();
    for route in &routing.routes {
        let mut fault = |problem: String, remedy: &str| {
            let remedy = remedy.to_owned();
            faults.push(Fault { document: document.clone(), place: Place::default(), problem, remedy });
        };
        let name = &route.name;
        if !names.insert(name) {
            fault(format!("the route `{name}` is defined twice"), "give one of the two another name");
        }
        if !places.insert((&route.host, &route.prefix)) {
            let place = format!("{}{}", route.host, route.prefix);
            fault(format!("route `{name}`: another one has the place `{place}` too"), "keep one of the two");
        }
        let is_framed = route.prefix.starts_with('/') && route.prefix.ends_with('/');
        if !is_framed {
            fault(format!("route `{name}`: the prefix `{}` is no directory", route.prefix), "begin and end with /");
        }
        if route.homes.iter().any(CompactString::is_empty) {
            fault(format!("route `{name}`: one of its homes has no name"), "name regions, or give it no homes");
        }
        if route.timeout == clock::Millis::ZERO {
            fault(format!("route `{name}` gives no time"), "set a time above 0");
        }
        match &route.to {
            Destination::Services(branches) => {
                let is_weighted = branches.iter().all(|(_, weight)| weight.is_finite() && *weight >= 0.0);
                let total: f64 = branches.iter().map(|(_, weight)| weight).sum();
                if branches.is_empty() || !is_weighted || total <= 0.0 {
                    fault(format!("route `{name}` leads nowhere"), "name a service, or weights above 0");
                }
            }
            Destination::Gather { services, .. } => {
                let distinct: IndexSet<_> = services.iter().collect();
                if services.is_empty() || distinct.len() < services.len() {
                    fault(format!("route `{name}` names no shard, or one twice"), "name each shard once");
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

/// Adds the classes and routes of `routing` to `view`, with the servers of `leafs`.
pub(super) fn add(
    view: &mut view::View,
    routing: &Routing,
    leafs: &IndexMap<&CompactString, &Leaf>,
    fleet: &Fleet<'_>,
    registry: &mut view::Registry,
) {
    view.number = routing.number;
    view.limits = routing.limits;
    let sharings = sharings(routing, leafs, fleet);
    let regions = fleet.regions;
    let mut shares = IndexMap::new();
    let mut senders: IndexMap<&CompactString, IndexSet<&CompactString>> = IndexMap::new();
    for ((services, _), sharing) in &sharings {
        for service in *services {
            // Two gathers over one service have the same leafs, and most often the same owners.
            let share = shares.entry(service.clone()).or_insert(0);
            *share = sharing.share().max(*share);
            view.parts.insert(registry.intern_service(service), sharing.part());
            senders.entry(service).or_default().extend(sharing.owners(fleet));
        }
    }
    add_senders(view, routing, &senders, fleet, registry);
    let by_service = compile::add_leafs(view, routing, leafs, fleet, &shares, registry);
    let mut target = |service: &CompactString, homes: &[CompactString]| {
        let leafs = by_service.get(service).map_or(&[][..], Vec::as_slice);
        let is_home = |leaf: &&Leaf| view::is_home(homes, region(regions, &leaf.data_centre));
        view::Target {
            shard: service.clone(),
            service: registry.intern_service(service),
            replicas: leafs.iter().filter(|(_, leaf)| is_home(leaf)).map(|(id, _)| *id).collect(),
        }
    };
    let mut classes = Vec::new();
    for route in &routing.routes {
        let mut branches = Vec::new();
        match &route.to {
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
        if let Destination::Gather { services, .. } = &route.to
            && let Some(sharing) = sharings.get(&(services.as_slice(), route.homes.as_slice()))
        {
            class.relay = sharing.target(services.len(), fleet, view, registry);
        }
        view.classes.insert(class.name.clone(), class);
    }
}

/// Adds the hosts that may send to servers that warm up: of a service that is gathered from, those that gather.
fn add_senders(
    view: &mut view::View,
    routing: &Routing,
    owners: &IndexMap<&CompactString, IndexSet<&CompactString>>,
    fleet: &Fleet<'_>,
    registry: &mut view::Registry,
) {
    let Some(this) = fleet.this.filter(|_| fleet.is_settled) else {
        return;
    };
    for service in routing.services.iter().filter(|service| service.warm_up.is_some()) {
        let hosts: Vec<CompactString> = match owners.get(&service.name) {
            Some(owners) => owners.iter().copied().cloned().collect(),
            None => [this].into_iter().chain(fleet.relays).map(|host| host.name.clone()).collect(),
        };
        view.senders.insert(registry.intern_service(&service.name), hosts);
    }
}

/// The region of `data_centre`; empty if that is not known.
pub(super) fn region<'r>(regions: Option<&'r Regions>, data_centre: &str) -> &'r str {
    regions.and_then(|regions| regions.get(data_centre)).map_or("", CompactString::as_str)
}

/// A set of shards, and the homes of the routes that gather from it.
type Set<'r> = (&'r [CompactString], &'r [CompactString]);

/// How the gathers' shards are shared among hosts, by set of shards and homes.
fn sharings<'r>(
    routing: &'r Routing,
    leafs: &IndexMap<&CompactString, &Leaf>,
    fleet: &Fleet<'_>,
) -> IndexMap<Set<'r>, relay::Sharing> {
    let mut sharings = IndexMap::new();
    let Some(this) = fleet.this else {
        return sharings;
    };
    let mut by_service: IndexMap<CompactString, Vec<&Leaf>> = IndexMap::new();
    for leaf in leafs.values() {
        by_service.entry(leaf.service.clone()).or_default().push(leaf);
    }
    let connections: IndexMap<&CompactString, u32> =
        routing.services.iter().map(|service| (&service.name, service.connections)).collect();
    for route in &routing.routes {
        let Destination::Gather { services, .. } = &route.to else {
            continue;
        };
        let key = (services.as_slice(), route.homes.as_slice());
        if sharings.contains_key(&key) {
            continue;
        }
        // The set is named by its first shard, so that gathers over one set have the same owners.
        let set = services.first().map_or("", CompactString::as_str);
        let accepted = services.iter().filter_map(|service| connections.get(service)).min().copied().unwrap_or(1);
        let gather = relay::Gather { set, services, homes: &route.homes, connections: accepted };
        let sharing = relay::Sharing::new(&gather, &by_service, this, fleet.relays, fleet.regions);
        sharings.insert(key, sharing);
    }
    sharings
}

fn class(route: &Route, branches: Vec<view::Branch>) -> view::Class {
    let (shape, least_coverage) = match &route.to {
        Destination::Services(_) => (view::Shape::Whole, ratio::Ratio::ONE),
        Destination::Gather { top, least_coverage, .. } => (view::Shape::Records { top: *top }, *least_coverage),
    };
    let service = match &route.to {
        Destination::Services(services) => services.first().map(|(service, _)| service.clone()),
        Destination::Gather { services, .. } => services.first().cloned(),
    };
    view::Class {
        name: route.name.clone(),
        service: service.unwrap_or_default(),
        epoch: 0,
        deadline: route.timeout,
        aim: route.aim,
        shape,
        servers_most: Some(route.servers_most.max(1)),
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
