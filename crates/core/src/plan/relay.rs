//! Hosts that gather for each other.

use compact_str::{CompactString, format_compact};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{id, view};

use super::{Fleet, Leaf, Regions, owner, routing};

/// Fewest shards for which a request is passed on: with less, the way to another host costs more than
/// it saves.
const SHARDS_LEAST: usize = 4;
/// Part of the busiest data centre's servers that another one has at least in which hosts gather too.
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

/// A gather, as far as it matters who does it.
pub(super) struct Gather<'g> {
    /// Names the set of shards.
    pub(super) set: &'g str,
    /// The shards' services.
    pub(super) services: &'g [CompactString],
    /// Regions in which it may be done; none if that may be anywhere.
    pub(super) homes: &'g [CompactString],
    /// Connections that each leaf accepts.
    pub(super) connections: u32,
}

/// How the shards of one gather are shared among hosts, as this one sees it.
pub(super) struct Sharing {
    tiers: owner::Tiers,
    /// Each candidate's place among this host and the relays, in which this host is [`THIS`]. Hosts of regions in
    /// which the gather may not be done are no candidates.
    places: Vec<usize>,
    connections: u32,
}

/// This host's place in the list of all hosts.
const THIS: usize = 0;

impl Sharing {
    /// The sharing of `gather` over `leafs`, by service, among `this` host and `relays`.
    pub(super) fn new(
        gather: &Gather<'_>,
        leafs: &IndexMap<CompactString, Vec<&Leaf>>,
        this: &Relay,
        relays: &[Relay],
        regions: Option<&Regions>,
    ) -> Self {
        let is_home = |data_centre: &str| view::is_home(gather.homes, routing::region(regions, data_centre));
        let (mut candidates, mut places) = (Vec::new(), Vec::new());
        for (place, host) in [this].into_iter().chain(relays).enumerate() {
            if is_home(&host.data_centre) {
                candidates.push(candidate(host));
                places.push(place);
            }
        }
        if candidates.is_empty() {
            return Self::alone(1 + relays.len(), gather.connections);
        }
        let centres = centres(gather.services, leafs, is_home);
        let tiers = owner::Tiers::new(gather.set, &centres, &candidates, gather.connections);
        Self { tiers, places, connections: gather.connections }
    }

    /// No host is where the gather may be done for others, so each of `hosts` does it for its own callers. Servers
    /// that accept fewer connections than there are hosts turn some away.
    fn alone(hosts: usize, connections: u32) -> Self {
        let places: Vec<usize> = (0..hosts).collect();
        let tiers = owner::Tiers { owners: places.clone(), seconds: Vec::new() };
        Self { tiers, places, connections: connections.max(hosts as u32) }
    }

    /// This host's place among the candidates, if it is one.
    fn this(&self) -> Option<usize> {
        self.places.first().filter(|&&place| place == THIS).map(|_| 0)
    }

    /// This host's share of the connections of each leaf.
    pub(super) fn share(&self) -> u32 {
        self.this().map_or(0, |place| self.tiers.share(place, self.connections))
    }

    /// This host's part of the bounds that all hosts keep together, as a share.
    pub(super) fn part(&self) -> f64 {
        self.this().map_or(0.0, |place| self.tiers.part(place))
    }

    /// The names of the hosts that gather.
    pub(super) fn owners<'f>(&self, fleet: &Fleet<'f>) -> Vec<&'f CompactString> {
        let hosts: Vec<&Relay> = fleet.this.into_iter().chain(fleet.relays).collect();
        let owners = self.tiers.owners.iter().filter_map(|&place| self.places.get(place));
        owners.filter_map(|&place| hosts.get(place)).map(|host| &host.name).collect()
    }

    /// The hosts that gather for this one; `None` if it gathers itself.
    pub(super) fn target(
        &self,
        shards: usize,
        fleet: &Fleet<'_>,
        view: &mut view::View,
        registry: &mut view::Registry,
    ) -> Option<view::Target> {
        let is_owner = self.this().is_some_and(|place| self.tiers.owners.contains(&place));
        if is_owner || shards < SHARDS_LEAST {
            return None;
        }
        let this = fleet.this?;
        let mut replicas = Vec::new();
        let owners = self.tiers.owners.iter().map(|&place| (place, false));
        let seconds = self.tiers.seconds.iter().map(|&place| (place, true));
        for (place, is_second) in owners.chain(seconds) {
            let place = self.places.get(place).and_then(|place| place.checked_sub(1));
            let Some(relay) = place.and_then(|place| fleet.relays.get(place)) else {
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

/// Data centres that hold many of the leafs, of those that are `allowed`.
fn centres(
    services: &[CompactString],
    leafs: &IndexMap<CompactString, Vec<&Leaf>>,
    allowed: impl Fn(&str) -> bool,
) -> IndexSet<CompactString> {
    let mut counts: IndexMap<&CompactString, usize> = IndexMap::new();
    for leaf in services.iter().filter_map(|service| leafs.get(service)).flatten() {
        if allowed(&leaf.data_centre) {
            *counts.entry(&leaf.data_centre).or_default() += 1;
        }
    }
    let most = counts.values().copied().max().unwrap_or_default();
    let is_home = |count: usize| count as f64 >= HOME_PART * most as f64;
    counts.into_iter().filter(|(_, count)| is_home(*count)).map(|(centre, _)| centre.clone()).collect()
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
        connections: IN_FLIGHT,
        slots: IN_FLIGHT,
        leaving: false,
        evacuated: false,
        region: CompactString::from(region),
        distance,
        own_share: Some(IN_FLIGHT),
        is_peer: true,
        warm_up: None,
    };
    super::compile::put_server(view, id, server);
    id
}
