//! Relaying of gathers: the assignment of gathers to hosts, and the relay targets of the others.

use compact_str::{CompactString, format_compact};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{id, view};

use super::{Fleet, Leaf, Regions, owner, routing};

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

/// The assignment of one gather to hosts, as computed by this host.
pub(super) struct Assignment {
    tiers: owner::Tiers,
    /// The index of each candidate in the list of this host, at [`LOCAL`], and the relays. Hosts of regions in which
    /// the gather may not be performed are not candidates.
    host_indexes: Vec<usize>,
    connections: u32,
}

/// This host's index in the list of all hosts.
const LOCAL: usize = 0;

impl Assignment {
    /// Assigns `gather` to hosts among `local` and `relays`, given the `leaves` by service.
    pub(super) fn new(
        gather: &Gather<'_>,
        leaves: &IndexMap<CompactString, Vec<&Leaf>>,
        local: &Relay,
        relays: &[Relay],
        regions: Option<&Regions>,
    ) -> Self {
        let is_home = |data_centre: &str| view::is_home(gather.homes, routing::region(regions, data_centre));
        let (mut candidates, mut host_indexes) = (Vec::new(), Vec::new());
        for (index, host) in [local].into_iter().chain(relays).enumerate() {
            if is_home(&host.data_centre) {
                candidates.push(candidate(host));
                host_indexes.push(index);
            }
        }
        if candidates.is_empty() {
            return Self::without_candidates(1 + relays.len(), gather.connections);
        }
        let centres = centres(gather.services, leaves, is_home);
        let tiers = owner::Tiers::new(gather.set_key, &centres, &candidates, gather.connections);
        Self { tiers, host_indexes, connections: gather.connections }
    }

    /// No host is in a permitted region, so each of `count` hosts gathers for its own callers. Servers with a limit
    /// below the number of hosts refuse some connections.
    fn without_candidates(count: usize, connections: u32) -> Self {
        let host_indexes: Vec<usize> = (0..count).collect();
        let tiers = owner::Tiers { owners: host_indexes.clone(), standbys: Vec::new() };
        Self { tiers, host_indexes, connections: connections.max(count as u32) }
    }

    /// This host's index among the candidates, if it is one.
    fn local(&self) -> Option<usize> {
        self.host_indexes.first().filter(|&&host| host == LOCAL).map(|_| 0)
    }

    /// The number of connections to each leaf that this host may use.
    pub(super) fn connection_share(&self) -> u32 {
        self.local().map_or(0, |index| self.tiers.connection_share(index, self.connections))
    }

    /// This host's share of fleet-wide limits, from 0 to 1.
    pub(super) fn limit_share(&self) -> f64 {
        self.local().map_or(0.0, |index| self.tiers.limit_share(index))
    }

    /// The names of the hosts that gather.
    pub(super) fn owners<'f>(&self, fleet: &Fleet<'f>) -> Vec<&'f CompactString> {
        let hosts: Vec<&Relay> = fleet.local.into_iter().chain(fleet.relays).collect();
        let owners = self.tiers.owners.iter().filter_map(|&index| self.host_indexes.get(index));
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
        let is_owner = self.local().is_some_and(|index| self.tiers.owners.contains(&index));
        if is_owner || shards < MIN_SHARDS {
            return None;
        }
        let local = fleet.local?;
        let mut replicas = Vec::new();
        let owners = self.tiers.owners.iter().map(|&index| (index, false));
        let standbys = self.tiers.standbys.iter().map(|&index| (index, true));
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
