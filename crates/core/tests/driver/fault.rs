//! Fault injection: the kinds of faults, their durations, and their repair.

use rand::Rng;
use shallothub_core::clock;

use super::{documents, simulation};

/// An active fault, as needed to repair it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    Kill(usize),
    Cut(Vec<(usize, usize)>),
    CutPlatform(Vec<usize>),
    CutLeaf(usize, usize),
    Slow(usize),
    LeafLost(usize),
    Shed,
    PlatformDown,
    PlatformStale,
    Leave(usize),
    HostLeaves(usize),
}

/// A kind of fault: its name, the function that injects it, and bounds on its duration in ms.
pub struct Kind {
    pub name: &'static str,
    inject: fn(&mut simulation::Simulation) -> Option<Fault>,
    min_ms: u64,
    max_ms: u64,
}

const fn kind(
    name: &'static str,
    inject: fn(&mut simulation::Simulation) -> Option<Fault>,
    min_ms: u64,
    max_ms: u64,
) -> Kind {
    Kind { name, inject, min_ms, max_ms }
}

/// All kinds of faults.
pub const ALL: [Kind; 18] = [
    kind("kill", kill, 100, 2000),
    kind("cut", |simulation| cut(simulation, false), 500, 4000),
    kind("cut one way", |simulation| cut(simulation, true), 500, 4000),
    kind("partition", partition, 500, 4000),
    kind("freeze", freeze, 0, 0),
    kind("straggler", slow_leaf, 500, 5000),
    kind("replica lost", stop_leaf, 500, 4000),
    kind("shed storm", shed_load, 100, 600),
    kind("leaf restarts cold", restart_leaf, 0, 0),
    kind("platform stale", make_platform_stale, 500, 5000),
    kind("platform away", fail_platform, 500, 5000),
    kind("versions roll", roll_version, 0, 0),
    kind("repartition", repartition, 0, 0),
    kind("leaf leaves", mark_leaf_leaving, 3500, 8000),
    kind("operators race", race_operators, 0, 0),
    kind("host leaves", host_leaves, 500, 3000),
    kind("cut to a leaf", cut_leaf, 500, 4000),
    kind("surge", surge, 0, 0),
];

/// Injects one or two random faults and schedules the next draw.
pub fn draw(simulation: &mut simulation::Simulation) {
    simulation.after(300, 1500, simulation::Event::Fault);
    let count = if simulation.random.random_bool(0.4) { 2 } else { 1 };
    for _ in 0..count {
        let names = simulation.fault_names;
        let kinds: Vec<&Kind> = ALL.iter().filter(|kind| names.is_empty() || names.contains(&kind.name)).collect();
        let kind = kinds[simulation.random.random_range(0..kinds.len())];
        *simulation.faults.entry(kind.name).or_default() += 1;
        if let Some(fault) = (kind.inject)(simulation) {
            simulation.after(kind.min_ms, kind.max_ms, simulation::Event::Repair(fault));
        }
    }
}

fn any_host(simulation: &mut simulation::Simulation) -> usize {
    simulation.random.random_range(0..documents::HOSTS)
}

fn any_leaf(simulation: &mut simulation::Simulation) -> usize {
    simulation.random.random_range(0..simulation.leaves.len())
}

/// Sends a burst of queries to every host.
fn surge(simulation: &mut simulation::Simulation) -> Option<Fault> {
    for host in 0..documents::HOSTS {
        for _ in 0..30 {
            simulation.send_query(host);
        }
    }
    None
}

/// Extends the period in which injected faults may keep updates from hosts.
fn disturb(simulation: &mut simulation::Simulation, span: u64) {
    simulation.disturbed_until = simulation.disturbed_until.max(simulation.now + clock::Millis(span + 1500));
}

fn kill(simulation: &mut simulation::Simulation) -> Option<Fault> {
    let host = any_host(simulation);
    if !simulation.hosts[host].up {
        return None;
    }
    disturb(simulation, 2000);
    simulation.hosts[host].up = false;
    for (_, leaf) in std::mem::take(&mut simulation.hosts[host].connections) {
        simulation.leaves[leaf].connections -= 1;
    }
    Some(Fault::Kill(host))
}

fn cut(simulation: &mut simulation::Simulation, one_way: bool) -> Option<Fault> {
    let host = any_host(simulation);
    disturb(simulation, 4000);
    let mut links = Vec::new();
    for other in 0..documents::HOSTS {
        links.push((host, other));
        if !one_way {
            links.push((other, host));
        }
    }
    simulation.cut_peers.extend(links.iter().copied());
    Some(Fault::Cut(links))
}

fn cut_leaf(simulation: &mut simulation::Simulation) -> Option<Fault> {
    let (host, leaf) = (any_host(simulation), any_leaf(simulation));
    simulation.cut_leaves.insert((host, leaf));
    Some(Fault::CutLeaf(host, leaf))
}

fn partition(simulation: &mut simulation::Simulation) -> Option<Fault> {
    disturb(simulation, 4000);
    let half = documents::HOSTS / 2;
    let mut links = Vec::new();
    for east in 0..half {
        for west in half..documents::HOSTS {
            links.push((east, west));
            links.push((west, east));
        }
    }
    simulation.cut_peers.extend(links.iter().copied());
    let west: Vec<usize> = (half..documents::HOSTS).collect();
    simulation.cut_platform.extend(west.iter().copied());
    simulation.after(500, 4000, simulation::Event::Repair(Fault::CutPlatform(west)));
    Some(Fault::Cut(links))
}

fn freeze(simulation: &mut simulation::Simulation) -> Option<Fault> {
    let host = any_host(simulation);
    let span = simulation.random.random_range(200..6000);
    simulation.hosts[host].frozen_until = simulation.now + clock::Millis(span);
    None
}

fn slow_leaf(simulation: &mut simulation::Simulation) -> Option<Fault> {
    let leaf = any_leaf(simulation);
    simulation.leaves[leaf].slowdown = 10;
    Some(Fault::Slow(leaf))
}

fn stop_leaf(simulation: &mut simulation::Simulation) -> Option<Fault> {
    let leaf = any_leaf(simulation);
    simulation.leaves[leaf].up = false;
    Some(Fault::LeafLost(leaf))
}

fn shed_load(simulation: &mut simulation::Simulation) -> Option<Fault> {
    for leaf in &mut simulation.leaves {
        leaf.shedding = true;
    }
    Some(Fault::Shed)
}

fn restart_leaf(simulation: &mut simulation::Simulation) -> Option<Fault> {
    let leaf = any_leaf(simulation);
    let state = &mut simulation.leaves[leaf];
    state.incarnation += 1;
    state.busy = 0;
    state.listed_leaving = false;
    state.leaving_since = None;
    simulation.publish_hosts();
    None
}

fn make_platform_stale(simulation: &mut simulation::Simulation) -> Option<Fault> {
    disturb(simulation, 5000);
    if simulation.platform.stale.is_none() {
        simulation.platform.stale = Some(simulation.platform.values.clone());
    }
    Some(Fault::PlatformStale)
}

fn fail_platform(simulation: &mut simulation::Simulation) -> Option<Fault> {
    disturb(simulation, 5000);
    simulation.platform.is_down = true;
    Some(Fault::PlatformDown)
}

/// Rolls a new index version out: to a random half of the leaves now, to the rest with the next roll.
fn roll_version(simulation: &mut simulation::Simulation) -> Option<Fault> {
    let newest = simulation.leaves.iter().map(|leaf| leaf.version).max().unwrap_or(1);
    let next = if simulation.leaves.iter().all(|leaf| leaf.version == newest) { newest + 1 } else { newest };
    for leaf in 0..simulation.leaves.len() {
        let is_due = next == newest || simulation.random.random_bool(0.5);
        let state = &mut simulation.leaves[leaf];
        if is_due && state.version != next {
            state.held = Some(state.version);
            state.version = next;
        }
    }
    None
}

fn repartition(simulation: &mut simulation::Simulation) -> Option<Fault> {
    for leaf in &mut simulation.leaves {
        if leaf.name.starts_with("leaf") {
            leaf.epoch += 1;
            leaf.held = None;
        }
    }
    simulation.publish_config();
    None
}

fn mark_leaf_leaving(simulation: &mut simulation::Simulation) -> Option<Fault> {
    let leaf = any_leaf(simulation);
    let now = simulation.now;
    let state = &mut simulation.leaves[leaf];
    if state.leaving_since.is_some() {
        return None;
    }
    state.listed_leaving = true;
    state.leaving_since = Some(now);
    simulation.publish_hosts();
    Some(Fault::Leave(leaf))
}

/// Two operators publish different documents under one version.
fn race_operators(simulation: &mut simulation::Simulation) -> Option<Fault> {
    simulation.publish_config();
    simulation.platform.versions[0] -= 1;
    simulation.publish_config();
    None
}

fn host_leaves(simulation: &mut simulation::Simulation) -> Option<Fault> {
    let host = any_host(simulation);
    if simulation.leaving_hosts.len() + 1 < documents::HOSTS && !simulation.leaving_hosts.contains(&host) {
        simulation.leaving_hosts.push(host);
        simulation.publish_hosts();
    }
    Some(Fault::HostLeaves(host))
}

/// Repairs a fault.
pub fn repair(simulation: &mut simulation::Simulation, fault: Fault) {
    match fault {
        Fault::Kill(host) => {
            let life = simulation.hosts[host].life + 1;
            simulation.hosts[host] = simulation::host(host, life, simulation.seed, simulation.now);
            simulation.at(simulation.now, simulation::Event::Tick { host, life });
        }
        Fault::Cut(links) => simulation.cut_peers.retain(|link| !links.contains(link)),
        Fault::CutPlatform(hosts) => simulation.cut_platform.retain(|host| !hosts.contains(host)),
        Fault::CutLeaf(host, leaf) => {
            simulation.cut_leaves.swap_remove(&(host, leaf));
        }
        Fault::Slow(leaf) => simulation.leaves[leaf].slowdown = 1,
        Fault::LeafLost(leaf) => {
            let state = &mut simulation.leaves[leaf];
            state.up = true;
            state.busy = 0;
        }
        Fault::Shed => {
            for leaf in &mut simulation.leaves {
                leaf.shedding = false;
            }
        }
        Fault::PlatformDown => simulation.platform.is_down = false,
        Fault::PlatformStale => simulation.platform.stale = None,
        Fault::Leave(leaf) => list_as_live(simulation, leaf),
        Fault::HostLeaves(host) => {
            simulation.leaving_hosts.retain(|other| *other != host);
            simulation.publish_hosts();
        }
    }
}

/// Publishes a stale list that shows the leaving leaf as live again, under the same incarnation.
fn list_as_live(simulation: &mut simulation::Simulation, leaf: usize) {
    simulation.leaves[leaf].listed_leaving = false;
    simulation.publish_hosts();
}
