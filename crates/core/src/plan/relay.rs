//! Hosts that gather for each other.

use compact_str::{CompactString, format_compact};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{id, view};

use super::{Fleet, Leaf, owner};

/// Fewest shards for which a request is passed on: with less, the way to another host costs more than
/// it saves.
const SHARDS_LEAST: usize = 4;
/// Part of the busiest data centre's servers that a home has at least.
const HOME_PART: f64 = 0.5;
/// Requests that this host may have in flight at another one. Each is answered in well under a second.
const IN_FLIGHT: u32 = 64;

/// An entry host that takes requests of others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Its name.
    pub name: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// `IP:PORT` at which it takes requests; empty if it takes none.
    pub address: CompactString,
    /// Its processor, in thousandths of a core.
    pub power: u32,
    /// Whether it takes new work.
    pub is_open: bool,
}

/// How the shards of one gather are shared among hosts, as this one sees it.
pub(super) struct Sharing {
    tiers: owner::Tiers,
    connections: u32,
}

/// This host's place in the list of candidates.
const THIS: usize = 0;

impl Sharing {
    /// The sharing of the set of `services`, each with its leafs, among `this` host and `relays`.
    pub(super) fn new(
        set: &str,
        services: &[CompactString],
        leafs: &IndexMap<CompactString, Vec<&Leaf>>,
        connections: u32,
        this: &Relay,
        relays: &[Relay],
    ) -> Self {
        let mut candidates = vec![candidate(this)];
        candidates.extend(relays.iter().map(candidate));
        let homes = homes(services, leafs);
        Self { tiers: owner::Tiers::new(set, &homes, &candidates, connections), connections }
    }

    /// This host's share of the connections of each leaf.
    pub(super) fn share(&self) -> u32 {
        self.tiers.share(THIS, self.connections)
    }

    /// This host's part of the bounds that all hosts keep together, as a share.
    pub(super) fn part(&self) -> f64 {
        self.tiers.part(THIS)
    }

    /// The names of the hosts that gather.
    pub(super) fn owners<'f>(&self, fleet: &Fleet<'f>) -> Vec<&'f CompactString> {
        let hosts: Vec<&Relay> = fleet.this.into_iter().chain(fleet.relays).collect();
        self.tiers.owners.iter().filter_map(|&place| hosts.get(place)).map(|host| &host.name).collect()
    }

    /// The hosts that gather for this one; `None` if it gathers itself.
    pub(super) fn target(
        &self,
        shards: usize,
        this: &Relay,
        relays: &[Relay],
        view: &mut view::View,
        registry: &mut view::Registry,
    ) -> Option<view::Target> {
        let is_owner = self.tiers.owners.contains(&THIS);
        if is_owner || shards < SHARDS_LEAST {
            return None;
        }
        let mut replicas = Vec::new();
        let owners = self.tiers.owners.iter().map(|&place| (place, false));
        let seconds = self.tiers.seconds.iter().map(|&place| (place, true));
        for (place, is_second) in owners.chain(seconds) {
            let Some(relay) = place.checked_sub(1).and_then(|place| relays.get(place)) else {
                continue;
            };
            if !relay.is_open {
                continue;
            }
            let distance = match (is_second, relay.data_centre == this.data_centre) {
                (true, _) => view::Distance::Last,
                (false, true) => view::Distance::Near,
                (false, false) => view::Distance::Far,
            };
            replicas.push(add_peer(relay, distance, view, registry));
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

/// Data centres that hold many of the leafs.
fn homes(services: &[CompactString], leafs: &IndexMap<CompactString, Vec<&Leaf>>) -> IndexSet<CompactString> {
    let mut counts: IndexMap<&CompactString, usize> = IndexMap::new();
    for leaf in services.iter().filter_map(|service| leafs.get(service)).flatten() {
        *counts.entry(&leaf.data_centre).or_default() += 1;
    }
    let most = counts.values().copied().max().unwrap_or_default();
    let is_home = |count: usize| count as f64 >= HOME_PART * most as f64;
    counts.into_iter().filter(|(_, count)| is_home(*count)).map(|(centre, _)| centre.clone()).collect()
}

fn add_peer(
    relay: &Relay,
    distance: view::Distance,
    view: &mut view::View,
    registry: &mut view::Registry,
) -> id::Server {
    let id = registry.intern(&format_compact!("peer {}", relay.name));
    let server = view::Server {
        name: relay.name.clone(),
        address: relay.address.clone(),
        incarnation: 0,
        connections: IN_FLIGHT,
        slots: IN_FLIGHT,
        leaving: false,
        evacuated: false,
        distance,
        own_share: Some(IN_FLIGHT),
        is_peer: true,
        warm_up: None,
    };
    super::compile::put_server(view, id, server);
    id
}
