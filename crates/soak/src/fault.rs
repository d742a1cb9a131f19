//! Faults and planned operations of a run, drawn from its seed.

use std::{collections::VecDeque, time::Duration};

use nix::sys::signal::Signal;
use rand::{Rng, rngs};
use shallothub_core::plan;
use shallothub_standin::{registry, replica};

use crate::{
    deployment::{self, Deployment},
    proxy,
};

/// A fault or planned operation, with its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node gets SIGTERM, and is restarted.
    Term(usize),
    /// A node is killed, and restarted.
    Kill(usize),
    /// All nodes are killed at once, and restarted.
    KillAll,
    /// A node's process is suspended.
    Freeze(usize),
    /// A node gets SIGHUP to reload its settings.
    HangUp(usize),
    /// The proxy of a leaf disturbs its connections.
    LeafWay(usize, proxy::Mode),
    /// All connections of a leaf are reset.
    LeafReset(usize),
    /// A leaf misbehaves on one of three requests.
    LeafManner(usize, replica::Behaviour),
    /// All leafs of the given leaf's service fail every request.
    ServiceFails(usize),
    /// A leaf responds slowly.
    LeafSlow(usize),
    /// A leaf registers as leaving; another one replaces it.
    LeafLeaves(usize),
    /// A leaf crashes without draining; another one replaces it.
    LeafCrash(usize),
    /// The store misbehaves.
    Store(registry::Mode),
    /// The proxy of the store disturbs its connections.
    StoreWay(proxy::Mode),
    /// The store compacts its history.
    StoreForgets,
    /// Operators publish a new version of the configuration.
    Configure,
    /// The index is partitioned into another set of shards.
    Reshard,
    /// Operators evacuate the data centre of every second leaf.
    Evacuate,
    /// A leaf registers as warming up.
    LeafWarms(usize),
}

const BEHAVIOURS: [replica::Behaviour; 9] = [
    replica::Behaviour::Failing,
    replica::Behaviour::Refusing,
    replica::Behaviour::Mute,
    replica::Behaviour::BreakingOff,
    replica::Behaviour::Resetting,
    replica::Behaviour::Garbled,
    replica::Behaviour::Doubled,
    replica::Behaviour::Mistaken,
    replica::Behaviour::Unframed,
];
const PROXY_MODES: [proxy::Mode; 4] =
    [proxy::Mode::Late, proxy::Mode::CutForth, proxy::Mode::CutBack, proxy::Mode::Silent];
const STORE_MODES: [registry::Mode; 4] =
    [registry::Mode::Busy, registry::Mode::Away, registry::Mode::Silent, registry::Mode::Slow(300)];

impl Fault {
    /// Draws a fault for a deployment of `nodes` nodes and `leafs` leafs, in two data centres or one. The draws of a
    /// seed for one data centre stay the same as before two were supported.
    pub fn draw(random: &mut rngs::SmallRng, nodes: usize, leafs: usize, has_two_data_centres: bool) -> Self {
        if has_two_data_centres && random.random_bool(0.15) {
            let leaf = random.random_range(0..leafs);
            return if random.random_bool(0.5) { Self::Evacuate } else { Self::LeafWarms(leaf) };
        }
        let node = random.random_range(0..nodes);
        let leaf = random.random_range(0..leafs);
        let mode = PROXY_MODES[random.random_range(0..PROXY_MODES.len())];
        match random.random_range(0..100) {
            0..8 => Self::Term(node),
            8..14 => Self::Kill(node),
            14..17 => Self::KillAll,
            17..23 => Self::Freeze(node),
            23..26 => Self::HangUp(node),
            26..38 => Self::LeafWay(leaf, mode),
            38..44 => Self::LeafReset(leaf),
            44..57 => Self::LeafManner(leaf, BEHAVIOURS[random.random_range(0..BEHAVIOURS.len())]),
            57..60 => Self::ServiceFails(leaf),
            60..66 => Self::LeafSlow(leaf),
            66..74 => Self::LeafLeaves(leaf),
            74..78 => Self::LeafCrash(leaf),
            78..85 => Self::Store(STORE_MODES[random.random_range(0..STORE_MODES.len())]),
            85..89 => Self::StoreWay(mode),
            89..92 => Self::StoreForgets,
            92..98 => Self::Configure,
            _ => Self::Reshard,
        }
    }

    /// Whether this is a planned operation, which callers must not notice.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Term(_)
                | Self::HangUp(_)
                | Self::LeafLeaves(_)
                | Self::Configure
                | Self::Reshard
                | Self::Evacuate
                | Self::LeafWarms(_)
        )
    }
}

/// A fault in progress, to be ended later.
#[derive(Clone, Copy, Debug)]
pub struct ActiveFault {
    /// Time at which the fault is due to end, from the start of the run.
    pub ends_at: Duration,
    /// The fault or planned operation itself.
    pub fault: Fault,
}

/// Starts and ends faults.
#[derive(Debug, Default)]
pub struct Injector {
    /// Faults in progress.
    pub active: VecDeque<ActiveFault>,
    /// Number of repartitionings so far.
    partitionings: usize,
    number: u64,
}

impl Injector {
    /// Whether `fault` may start: a node with a fault in progress gets no second one, and a resharding must end before
    /// the next.
    pub fn may_start(&self, fault: Fault) -> bool {
        let node = |fault| match fault {
            Fault::Term(node) | Fault::Kill(node) | Fault::Freeze(node) | Fault::HangUp(node) => Some(node),
            _ => None,
        };
        for active in &self.active {
            let is_all_down = active.fault == Fault::KillAll && (node(fault).is_some() || fault == Fault::KillAll);
            let is_same_node = node(fault).is_some() && node(fault) == node(active.fault);
            let is_any_down = fault == Fault::KillAll && node(active.fault).is_some();
            let is_resharding = fault == Fault::Reshard && active.fault == Fault::Reshard;
            if is_all_down || is_same_node || is_any_down || is_resharding {
                return false;
            }
        }
        true
    }

    /// Starts a fault at `now` that lasts for `duration`.
    pub async fn start(&mut self, deployment: &mut Deployment, fault: Fault, now: Duration, duration: Duration) {
        match fault {
            Fault::Term(node) => deployment.signal(node, Signal::SIGTERM),
            Fault::Kill(node) => deployment.signal(node, Signal::SIGKILL),
            Fault::KillAll => {
                for node in 0..deployment.nodes.len() {
                    deployment.signal(node, Signal::SIGKILL);
                }
            }
            Fault::Freeze(node) => deployment.signal(node, Signal::SIGSTOP),
            Fault::HangUp(node) => deployment.signal(node, Signal::SIGHUP),
            Fault::LeafWay(leaf, mode) => deployment.leafs[leaf].proxy.set(mode),
            Fault::LeafReset(leaf) => deployment.leafs[leaf].proxy.reset(),
            Fault::LeafManner(leaf, behaviour) => deployment.leafs[leaf].replica.set(|knobs| {
                knobs.behaviour = behaviour;
                knobs.one_in = 3;
            }),
            Fault::ServiceFails(leaf) => {
                for leaf in service_of(deployment, leaf) {
                    leaf.replica.set(|knobs| knobs.behaviour = replica::Behaviour::Failing);
                }
            }
            Fault::LeafSlow(leaf) => deployment.leafs[leaf].replica.set(|knobs| knobs.work_ms = 120),
            Fault::LeafLeaves(leaf) => {
                deployment.leafs[leaf].entry.leaving = true;
                deployment.registry.register(&deployment.leafs[leaf].entry.clone());
                self.replace(deployment, leaf).await;
            }
            Fault::LeafCrash(leaf) => {
                deployment.leafs[leaf].replica.crash();
                deployment.leafs[leaf].has_crashed = true;
                deployment.registry.unregister(&deployment.leafs[leaf].entry.clone());
                self.replace(deployment, leaf).await;
            }
            Fault::Store(mode) => deployment.registry.set(mode),
            Fault::StoreWay(mode) => deployment.registry_proxy.set(mode),
            Fault::StoreForgets => deployment.registry.compact(),
            Fault::Configure => self.configure(deployment),
            Fault::Reshard => self.reshard(deployment).await,
            Fault::Evacuate => deployment.registry.set_evacuated(deployment::FAR_DATA_CENTRE, true),
            Fault::LeafWarms(leaf) => set_warming(deployment, leaf, true),
        }
        self.active.push_back(ActiveFault { ends_at: now + duration, fault });
    }

    /// Ends a fault and restores normal operation.
    pub async fn finish(&mut self, deployment: &mut Deployment, fault: Fault) {
        match fault {
            Fault::Term(node) | Fault::Kill(node) => restart(deployment, node).await,
            Fault::KillAll => {
                for node in 0..deployment.nodes.len() {
                    restart(deployment, node).await;
                }
            }
            Fault::Freeze(node) => deployment.signal(node, Signal::SIGCONT),
            Fault::LeafWay(leaf, _) => {
                deployment.leafs[leaf].proxy.set(proxy::Mode::Open);
                deployment.leafs[leaf].proxy.reset();
            }
            Fault::LeafManner(leaf, _) | Fault::LeafSlow(leaf) => {
                deployment.leafs[leaf].replica.set(|knobs| *knobs = replica::Knobs::default());
            }
            Fault::ServiceFails(leaf) => {
                for leaf in service_of(deployment, leaf) {
                    leaf.replica.set(|knobs| *knobs = replica::Knobs::default());
                }
            }
            Fault::Evacuate => deployment.registry.set_evacuated(deployment::FAR_DATA_CENTRE, false),
            Fault::LeafWarms(leaf) => set_warming(deployment, leaf, false),
            Fault::Store(_) => deployment.registry.set(registry::Mode::Proper),
            Fault::StoreWay(_) => {
                deployment.registry_proxy.set(proxy::Mode::Open);
                deployment.registry_proxy.reset();
            }
            _ => {}
        }
    }

    async fn replace(&self, deployment: &mut Deployment, leaf: usize) {
        let plan::Leaf { data_centre, service, slots, .. } = deployment.leafs[leaf].entry.clone();
        if let Err(error) = deployment.start_leaf_in(&data_centre, &service, slots).await {
            println!("no leaf in its place: {error}");
        }
    }

    fn configure(&mut self, deployment: &mut Deployment) {
        self.number += 10;
        let mut routing = deployment.routing.clone();
        routing.number += 10;
        deployment.registry.configure(&routing);
        deployment.routing = routing;
    }

    /// Starts leafs for the next partitioning, configures it, and registers the old leafs as leaving.
    async fn reshard(&mut self, deployment: &mut Deployment) {
        self.partitionings += 1;
        let old_count = deployment.leafs.len();
        // The number of shards differs from the previous one, so that a mixed response cannot pass as complete.
        let count = 4 + self.partitionings % 3;
        let shards = deployment::shards(self.partitionings, count);
        for shard in &shards {
            for _ in 0..2 {
                if let Err(error) = deployment.start_leaf(shard, 2).await {
                    println!("no leaf of the next cut: {error}");
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        let number = deployment.routing.number + 10;
        deployment.configure(number, &shards);
        for leaf in 0..old_count {
            let entry = &mut deployment.leafs[leaf].entry;
            if entry.service != "letters" && !entry.leaving {
                entry.leaving = true;
                let entry = entry.clone();
                deployment.registry.register(&entry);
            }
        }
    }
}

/// Sets the warm-up flag of a leaf, and updates its entry unless it crashed and has none.
fn set_warming(deployment: &mut Deployment, leaf: usize, is_warming: bool) {
    let leaf = &mut deployment.leafs[leaf];
    leaf.entry.warming = is_warming;
    if !leaf.has_crashed {
        deployment.registry.register(&leaf.entry);
    }
}

/// Returns all leafs of the given leaf's service.
fn service_of(deployment: &Deployment, leaf: usize) -> impl Iterator<Item = &deployment::Leaf> {
    let service = deployment.leafs[leaf].entry.service.clone();
    deployment.leafs.iter().filter(move |other| other.entry.service == service)
}

async fn restart(deployment: &mut Deployment, node: usize) {
    deployment.wait_exit(node).await;
    if let Err(error) = deployment.restart_node(node) {
        println!("node {node} did not start again: {error}");
    }
}
