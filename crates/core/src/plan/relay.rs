//! Relaying of gathers: the assignment of gathers to hosts, and the relay targets of the others.

use compact_str::{CompactString, format_compact};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{id, view};

use super::{Fleet, Leaf, gatherers, gatherers::transition, owner, routing};

/// Minimum number of shards for which a request is relayed: below it, the hop to another host costs more
/// than it saves.
const MIN_SHARDS: usize = 4;
/// Minimum number of leaves in a data centre whose hosts gather, as a fraction of that in the largest one.
const MIN_CENTRE_FRACTION: f64 = 0.5;
/// Limit on requests in flight from this host to another one. Each is answered in well under a second.
const MAX_IN_FLIGHT: u32 = 64;

/// An entry host as a candidate to gather requests for others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Unique name.
    pub name: CompactString,
    /// The data centre that it runs in.
    pub data_centre: CompactString,
    /// `IP:PORT` at which it accepts relayed requests; empty if it accepts none.
    pub address: CompactString,
    /// Its processing capacity, in thousandths of a core.
    pub power: u32,
    /// Whether it accepts new work.
    pub is_open: bool,
    /// The gathers that callers send to it.
    pub demand: gatherers::Demand,
}

/// The properties of a gather that determine which hosts perform it.
pub(super) struct Gather<'g> {
    /// Key of the set of shards.
    pub(super) set_key: &'g str,
    /// The shards' services.
    pub(super) services: &'g [CompactString],
    /// Regions in which it may be performed; empty for any region.
    pub(super) homes: &'g [CompactString],
    /// Limit on connections of each leaf.
    pub(super) connections: u32,
}

impl Gather<'_> {
    fn key(&self) -> transition::Key {
        let mut hasher = xxh3::Xxh3::new();
        for name in self.services.iter().chain([&CompactString::default()]).chain(self.homes) {
            hasher.update(name.as_bytes());
            hasher.update(&[0]);
        }
        transition::Key(hasher.digest())
    }
}

/// The assignment of one gather to hosts, as computed by this host.
pub(super) struct Assignment {
    /// Candidates that gather, and those that do when none of them is reachable.
    owners: Vec<usize>,
    standbys: Vec<usize>,
    /// This host's share of fleet-wide limits, from 0 to 1.
    local_share: f64,
    /// The choice by what this host knows now, which may not be in force yet.
    fresh: transition::Fresh,
    /// The index of each candidate in the list of this host, at [`LOCAL`], and the relays. Hosts of regions in which
    /// the gather may not be performed are not candidates.
    host_indexes: Vec<usize>,
    connections: u32,
}

/// This host's index in the list of all hosts.
const LOCAL: usize = 0;

impl Assignment {
    /// Assigns `gather` to hosts of `fleet`, in which this host is `local`, given the `leaves` by service.
    pub(super) fn new(
        gather: &Gather<'_>,
        leaves: &IndexMap<CompactString, Vec<&Leaf>>,
        local: &Relay,
        fleet: &Fleet<'_>,
    ) -> Self {
        let is_home = |data_centre: &str| view::is_home(gather.homes, routing::region(fleet.regions, data_centre));
        let hosts: Vec<&Relay> = [local].into_iter().chain(fleet.relays).collect();
        let (mut candidates, mut host_indexes) = (Vec::new(), Vec::new());
        for (index, host) in hosts.iter().enumerate() {
            if is_home(&host.data_centre) {
                candidates.push(candidate(host));
                host_indexes.push(index);
            }
        }
        if candidates.is_empty() {
            // No host is in a permitted region. Servers with a limit below the number of hosts refuse some connections.
            let choice = gatherers::Choice::without_candidates(hosts.len());
            let connections = gather.connections.max(hosts.len() as u32);
            return Self::from_choice(gather, &choice, &hosts, (0..hosts.len()).collect(), connections, None);
        }
        let homes = centres(gather.services, leaves, is_home);
        let connections = gather.connections;
        let set = gatherers::Set { key: gather.set_key, shards: gather.services.len(), homes: &homes, connections };
        let demand = gatherers::Demand::sum(hosts.iter().map(|host| host.demand));
        let policy = fleet.gatherers.map(|gatherers| gatherers.policy);
        let choice = gatherers::Choice::new(&set, &candidates, policy, demand);
        let mut assignment = Self::from_choice(gather, &choice, &hosts, host_indexes, connections, demand);
        if let Some(gatherers) = fleet.gatherers {
            assignment.follow(&choice, &hosts, gatherers.transitions);
        }
        assignment
    }

    fn from_choice(
        gather: &Gather<'_>,
        choice: &gatherers::Choice,
        hosts: &[&Relay],
        host_indexes: Vec<usize>,
        connections: u32,
        demand: Option<gatherers::Demand>,
    ) -> Self {
        let local = host_indexes.first().filter(|&&host| host == LOCAL).map(|_| 0);
        let local_share = local.map_or(0.0, |index| choice.limit_share(index));
        let (owners, standbys) = (choice.tiers.owners.clone(), choice.tiers.standbys.clone());
        let holders: IndexSet<usize> = owners.iter().chain(&choice.reserves).chain(&standbys).copied().collect();
        let holders: Vec<&Relay> = holders.into_iter().map(|index| hosts[host_indexes[index]]).collect();
        let fresh = transition::Fresh {
            key: gather.key(),
            set: CompactString::from(gather.set_key),
            hosts: owners.iter().map(|&index| hosts[host_indexes[index]].name.clone()).collect(),
            demand,
            reason: choice.reason,
            share: local_share,
            // The smallest share that rounds down to one connection.
            min_share: (1.0 + f64::EPSILON) / f64::from(connections.max(1)),
            has_closed: holders.iter().any(|host| !host.is_open),
            holders: holders.into_iter().map(|host| host.name.clone()).collect(),
        };
        Self { owners, standbys, local_share, fresh, host_indexes, connections }
    }

    /// Uses the hosts and the share that are in force instead of those of `choice`.
    fn follow(&mut self, choice: &gatherers::Choice, hosts: &[&Relay], transitions: &transition::Transitions) {
        let (Some(in_force), Some(share)) = (transitions.hosts(self.fresh.key), transitions.share(self.fresh.key))
        else {
            return;
        };
        self.local_share = share;
        let host = |index: usize| hosts[self.host_indexes[index]];
        let find = |name: &CompactString| (0..self.host_indexes.len()).find(|&index| host(index).name == *name);
        let mut owners: Vec<usize> = in_force.iter().filter_map(find).collect();
        let open = owners.iter().filter(|&&index| host(index).is_open).count();
        // Hosts that leave or are silent are replaced at once; see `transition`.
        let replacements = choice.reserves.iter().filter(|&&index| host(index).is_open && !owners.contains(&index));
        let replacements: Vec<usize> = replacements.take(in_force.len().saturating_sub(open)).copied().collect();
        owners.extend(replacements);
        if owners.is_empty() {
            return;
        }
        let others = choice.tiers.owners.iter().chain(&choice.tiers.standbys).copied();
        self.standbys = others.filter(|index| !owners.contains(index)).collect();
        self.owners = owners;
    }

    /// The choice by what this host knows now, which may not be in force yet.
    pub(super) fn into_fresh(self) -> transition::Fresh {
        self.fresh
    }

    /// This host's index among the candidates, if it is one.
    fn local(&self) -> Option<usize> {
        self.host_indexes.first().filter(|&&host| host == LOCAL).map(|_| 0)
    }

    /// The number of connections to each leaf that this host may use.
    pub(super) fn connection_share(&self) -> u32 {
        (f64::from(self.connections) * self.local_share) as u32
    }

    /// This host's share of fleet-wide limits, from 0 to 1.
    pub(super) fn limit_share(&self) -> f64 {
        self.local_share
    }

    /// The names of the hosts that gather.
    pub(super) fn owners<'f>(&self, fleet: &Fleet<'f>) -> Vec<&'f CompactString> {
        let hosts: Vec<&Relay> = fleet.local.into_iter().chain(fleet.relays).collect();
        let owners = self.owners.iter().filter_map(|&index| self.host_indexes.get(index));
        owners.filter_map(|&index| hosts.get(index)).map(|host| &host.name).collect()
    }

    /// The hosts to which this one relays the gather; `None` if it gathers itself.
    pub(super) fn target(
        &self,
        shards: usize,
        fleet: &Fleet<'_>,
        view: &mut view::View,
        registry: &mut view::Registry,
    ) -> Option<view::Target> {
        let is_owner = self.local().is_some_and(|index| self.owners.contains(&index));
        // A host that has just started, or that no longer gathers, may have no connections.
        let has_connections = fleet.gatherers.is_none() || self.connection_share() > 0;
        if is_owner && has_connections || shards < MIN_SHARDS {
            return None;
        }
        let local = fleet.local?;
        let mut replicas = Vec::new();
        let owners = self.owners.iter().map(|&index| (index, false));
        let standbys = self.standbys.iter().map(|&index| (index, true));
        for (index, is_standby) in owners.chain(standbys) {
            let index = self.host_indexes.get(index).and_then(|host| host.checked_sub(1));
            let Some(relay) = index.and_then(|index| fleet.relays.get(index)) else {
                continue;
            };
            if !relay.is_open {
                continue;
            }
            let distance = match (is_standby, relay.data_centre == local.data_centre) {
                (true, _) => view::Distance::Last,
                (false, true) => view::Distance::Near,
                (false, false) => view::Distance::Far,
            };
            let region = routing::region(fleet.regions, &relay.data_centre);
            replicas.push(add_peer(relay, distance, region, view, registry));
        }
        (!replicas.is_empty()).then(|| view::Target {
            shard: CompactString::const_new("peer"),
            service: id::Service::PEERS,
            replicas,
        })
    }
}

fn candidate(relay: &Relay) -> owner::Candidate {
    owner::Candidate { name: relay.name.clone(), data_centre: relay.data_centre.clone(), power: relay.power }
}

/// The `allowed` data centres with many of the leaves; see [`MIN_CENTRE_FRACTION`].
fn centres(
    services: &[CompactString],
    leaves: &IndexMap<CompactString, Vec<&Leaf>>,
    allowed: impl Fn(&str) -> bool,
) -> IndexSet<CompactString> {
    let mut counts: IndexMap<&CompactString, usize> = IndexMap::new();
    for leaf in services.iter().filter_map(|service| leaves.get(service)).flatten() {
        if allowed(&leaf.data_centre) {
            *counts.entry(&leaf.data_centre).or_default() += 1;
        }
    }
    let largest = counts.values().copied().max().unwrap_or_default();
    let is_large = |count: usize| count as f64 >= MIN_CENTRE_FRACTION * largest as f64;
    counts.into_iter().filter(|(_, count)| is_large(*count)).map(|(centre, _)| centre.clone()).collect()
}

fn add_peer(
    relay: &Relay,
    distance: view::Distance,
    region: &str,
    view: &mut view::View,
    registry: &mut view::Registry,
) -> id::Server {
    let id = registry.intern(&format_compact!("peer {}", relay.name));
    let server = view::Server {
        name: relay.name.clone(),
        address: relay.address.clone(),
        incarnation: 0,
        connections: MAX_IN_FLIGHT,
        slots: MAX_IN_FLIGHT,
        leaving: false,
        evacuated: false,
        region: CompactString::from(region),
        distance,
        own_share: Some(MAX_IN_FLIGHT),
        is_peer: true,
        warm_up: None,
    };
    super::compile::put_server(view, id, server);
    id
}
