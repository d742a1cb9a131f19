//! Faults: what is drawn, how long it lasts, and how it is mended.

use rand::Rng;
use shallothub_core::clock;

use super::{documents, world};

/// A fault that will be mended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    Kill(usize),
    Cut(Vec<(usize, usize)>),
    CutPlatform(Vec<usize>),
    CutLeaf(usize, usize),
    Slow(usize),
    LeafLost(usize),
    Shed,
    PlatformAway,
    PlatformStale,
    Leave(usize),
    HostLeaves(usize),
}

/// A kind of fault: its name, how it begins, and for how long it lasts, in ms.
pub struct Kind {
    pub name: &'static str,
    begin: fn(&mut world::World) -> Option<Fault>,
    least: u64,
    most: u64,
}

const fn kind(name: &'static str, begin: fn(&mut world::World) -> Option<Fault>, least: u64, most: u64) -> Kind {
    Kind { name, begin, least, most }
}

/// Every kind.
pub const ALL: [Kind; 18] = [
    kind("kill", kill, 100, 2000),
    kind("cut", |world| cut(world, false), 500, 4000),
    kind("cut one way", |world| cut(world, true), 500, 4000),
    kind("partition", partition, 500, 4000),
    kind("freeze", freeze, 0, 0),
    kind("straggler", slow, 500, 5000),
    kind("replica lost", lose, 500, 4000),
    kind("shed storm", shed, 100, 600),
    kind("leaf restarts cold", restart_leaf, 0, 0),
    kind("platform stale", stale, 500, 5000),
    kind("platform away", away, 500, 5000),
    kind("versions roll", roll, 0, 0),
    kind("repartition", repartition, 0, 0),
    kind("leaf leaves", leave, 3500, 8000),
    kind("operators race", race, 0, 0),
    kind("host leaves", host_leaves, 500, 3000),
    kind("cut to a leaf", cut_leaf, 500, 4000),
    kind("surge", surge, 0, 0),
];

/// Draws one fault, or a pair, and the time of the next draw.
pub fn draw(world: &mut world::World) {
    world.after(300, 1500, world::Happening::Fault);
    let count = if world.random.random_bool(0.4) { 2 } else { 1 };
    for _ in 0..count {
        let names = world.menu;
        let kinds: Vec<&Kind> = ALL.iter().filter(|kind| names.is_empty() || names.contains(&kind.name)).collect();
        let kind = kinds[world.random.random_range(0..kinds.len())];
        *world.faults.entry(kind.name).or_default() += 1;
        if let Some(fault) = (kind.begin)(world) {
            world.after(kind.least, kind.most, world::Happening::Mend(fault));
        }
    }
}

fn any_host(world: &mut world::World) -> usize {
    world.random.random_range(0..documents::HOSTS)
}

fn any_leaf(world: &mut world::World) -> usize {
    world.random.random_range(0..world.leaves.len())
}

/// Many callers at once.
fn surge(world: &mut world::World) -> Option<Fault> {
    for host in 0..documents::HOSTS {
        for _ in 0..30 {
            world.ask(host);
        }
    }
    None
}

/// Until when hosts may lack news for a reason that is not theirs.
fn disturb(world: &mut world::World, span: u64) {
    world.disturbed_until = world.disturbed_until.max(world.now + clock::Millis(span + 1500));
}

fn kill(world: &mut world::World) -> Option<Fault> {
    let host = any_host(world);
    if !world.hosts[host].up {
        return None;
    }
    disturb(world, 2000);
    world.hosts[host].up = false;
    for (_, leaf) in std::mem::take(&mut world.hosts[host].connections) {
        world.leaves[leaf].connections -= 1;
    }
    Some(Fault::Kill(host))
}

fn cut(world: &mut world::World, one_way: bool) -> Option<Fault> {
    let host = any_host(world);
    disturb(world, 4000);
    let mut links = Vec::new();
    for other in 0..documents::HOSTS {
        links.push((host, other));
        if !one_way {
            links.push((other, host));
        }
    }
    world.cut_peers.extend(links.iter().copied());
    Some(Fault::Cut(links))
}

fn cut_leaf(world: &mut world::World) -> Option<Fault> {
    let (host, leaf) = (any_host(world), any_leaf(world));
    world.cut_leaves.insert((host, leaf));
    Some(Fault::CutLeaf(host, leaf))
}

fn partition(world: &mut world::World) -> Option<Fault> {
    disturb(world, 4000);
    let half = documents::HOSTS / 2;
    let mut links = Vec::new();
    for east in 0..half {
        for west in half..documents::HOSTS {
            links.push((east, west));
            links.push((west, east));
        }
    }
    world.cut_peers.extend(links.iter().copied());
    let west: Vec<usize> = (half..documents::HOSTS).collect();
    world.cut_platform.extend(west.iter().copied());
    world.after(500, 4000, world::Happening::Mend(Fault::CutPlatform(west)));
    Some(Fault::Cut(links))
}

fn freeze(world: &mut world::World) -> Option<Fault> {
    let host = any_host(world);
    let span = world.random.random_range(200..6000);
    world.hosts[host].frozen_until = world.now + clock::Millis(span);
    None
}

fn slow(world: &mut world::World) -> Option<Fault> {
    let leaf = any_leaf(world);
    world.leaves[leaf].slow = 10;
    Some(Fault::Slow(leaf))
}

fn lose(world: &mut world::World) -> Option<Fault> {
    let leaf = any_leaf(world);
    world.leaves[leaf].up = false;
    Some(Fault::LeafLost(leaf))
}

fn shed(world: &mut world::World) -> Option<Fault> {
    for leaf in &mut world.leaves {
        leaf.shedding = true;
    }
    Some(Fault::Shed)
}

fn restart_leaf(world: &mut world::World) -> Option<Fault> {
    let leaf = any_leaf(world);
    let row = &mut world.leaves[leaf];
    row.incarnation += 1;
    row.busy = 0;
    row.listed_leaving = false;
    row.marked_at = None;
    world.publish_hosts();
    None
}

fn stale(world: &mut world::World) -> Option<Fault> {
    disturb(world, 5000);
    if world.platform.stale.is_none() {
        world.platform.stale = Some(world.platform.values.clone());
    }
    Some(Fault::PlatformStale)
}

fn away(world: &mut world::World) -> Option<Fault> {
    disturb(world, 5000);
    world.platform.away = true;
    Some(Fault::PlatformAway)
}

/// Each leaf changes over when it likes; the first ones now, the rest with the next roll.
fn roll(world: &mut world::World) -> Option<Fault> {
    let newest = world.leaves.iter().map(|leaf| leaf.version).max().unwrap_or(1);
    let next = if world.leaves.iter().all(|leaf| leaf.version == newest) { newest + 1 } else { newest };
    for leaf in 0..world.leaves.len() {
        let is_due = next == newest || world.random.random_bool(0.5);
        let row = &mut world.leaves[leaf];
        if is_due && row.version != next {
            row.held = Some(row.version);
            row.version = next;
        }
    }
    None
}

fn repartition(world: &mut world::World) -> Option<Fault> {
    for leaf in &mut world.leaves {
        if leaf.name.starts_with("leaf") {
            leaf.epoch += 1;
            leaf.held = None;
        }
    }
    world.publish_config();
    None
}

fn leave(world: &mut world::World) -> Option<Fault> {
    let leaf = any_leaf(world);
    let now = world.now;
    let row = &mut world.leaves[leaf];
    if row.marked_at.is_some() {
        return None;
    }
    row.listed_leaving = true;
    row.marked_at = Some(now);
    world.publish_hosts();
    Some(Fault::Leave(leaf))
}

/// Two operators publish different documents under one version.
fn race(world: &mut world::World) -> Option<Fault> {
    world.publish_config();
    world.platform.versions[0] -= 1;
    world.publish_config();
    None
}

fn host_leaves(world: &mut world::World) -> Option<Fault> {
    let host = any_host(world);
    if world.leaving_hosts.len() + 1 < documents::HOSTS && !world.leaving_hosts.contains(&host) {
        world.leaving_hosts.push(host);
        world.publish_hosts();
    }
    Some(Fault::HostLeaves(host))
}

/// Ends a fault.
pub fn mend(world: &mut world::World, fault: Fault) {
    match fault {
        Fault::Kill(host) => {
            let life = world.hosts[host].life + 1;
            world.hosts[host] = world::host(host, life, world.seed, world.now);
            world.at(world.now, world::Happening::Tick { host, life });
        }
        Fault::Cut(links) => world.cut_peers.retain(|link| !links.contains(link)),
        Fault::CutPlatform(hosts) => world.cut_platform.retain(|host| !hosts.contains(host)),
        Fault::CutLeaf(host, leaf) => {
            world.cut_leaves.swap_remove(&(host, leaf));
        }
        Fault::Slow(leaf) => world.leaves[leaf].slow = 1,
        Fault::LeafLost(leaf) => {
            let row = &mut world.leaves[leaf];
            row.up = true;
            row.busy = 0;
        }
        Fault::Shed => {
            for leaf in &mut world.leaves {
                leaf.shedding = false;
            }
        }
        Fault::PlatformAway => world.platform.away = false,
        Fault::PlatformStale => world.platform.stale = None,
        Fault::Leave(leaf) => lie_about(world, leaf),
        Fault::HostLeaves(host) => {
            world.leaving_hosts.retain(|other| *other != host);
            world.publish_hosts();
        }
    }
}

/// A lagging list shows the leaving leaf as live once more, under the same incarnation.
fn lie_about(world: &mut world::World, leaf: usize) {
    world.leaves[leaf].listed_leaving = false;
    world.publish_hosts();
}
