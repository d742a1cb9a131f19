//! What happens in a run, drawn from its seed.

use std::{collections::VecDeque, time::Duration};

use nix::sys::signal::Signal;
use rand::{Rng, rngs};
use shallothub_core::plan;
use shallothub_standin::{registry, replica};

use crate::{
    deployment::{self, Deployment},
    proxy,
};

/// A fault or planned work, with what it strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node is asked to stop, and started again.
    Term(usize),
    /// A node is killed, and started again.
    Kill(usize),
    /// All nodes are killed at once, and started again.
    KillAll,
    /// A node stands still.
    Freeze(usize),
    /// A node is told that its settings changed.
    HangUp(usize),
    /// The way to a leaf is spoiled.
    LeafWay(usize, proxy::Way),
    /// All connections of a leaf are reset.
    LeafReset(usize),
    /// A leaf misbehaves now and then.
    LeafManner(usize, replica::Manner),
    /// All leafs of a leaf's service fail each request.
    ServiceFails(usize),
    /// A leaf is slow.
    LeafSlow(usize),
    /// A leaf says that it leaves, and goes; another one comes.
    LeafLeaves(usize),
    /// A leaf is gone without a word; another one comes.
    LeafCrash(usize),
    /// The store misbehaves.
    Store(registry::Mode),
    /// The way to the store is spoiled.
    StoreWay(proxy::Way),
    /// The store forgets its history.
    StoreForgets,
    /// The configuration changes.
    Configure,
    /// The index is cut anew.
    Reshard,
    /// Operators evacuate the data centre of every second leaf.
    Evacuate,
    /// A leaf says that it warms up.
    LeafWarms(usize),
}

const MANNERS: [replica::Manner; 9] = [
    replica::Manner::Failing,
    replica::Manner::Refusing,
    replica::Manner::Mute,
    replica::Manner::BreakingOff,
    replica::Manner::Resetting,
    replica::Manner::Garbled,
    replica::Manner::Doubled,
    replica::Manner::Mistaken,
    replica::Manner::Unframed,
];
const WAYS: [proxy::Way; 4] = [proxy::Way::Late, proxy::Way::CutForth, proxy::Way::CutBack, proxy::Way::Silent];
const MODES: [registry::Mode; 4] =
    [registry::Mode::Busy, registry::Mode::Away, registry::Mode::Silent, registry::Mode::Slow(300)];

impl Fault {
    /// Draws a fault for a deployment of `nodes` nodes and `leafs` leafs, over two data centres or one. What a seed
    /// draws for one data centre stays the same.
    pub fn draw(random: &mut rngs::SmallRng, nodes: usize, leafs: usize, is_wide: bool) -> Self {
        if is_wide && random.random_bool(0.15) {
            let leaf = random.random_range(0..leafs);
            return if random.random_bool(0.5) { Self::Evacuate } else { Self::LeafWarms(leaf) };
        }
        let node = random.random_range(0..nodes);
        let leaf = random.random_range(0..leafs);
        let way = WAYS[random.random_range(0..WAYS.len())];
        match random.random_range(0..100) {
            0..8 => Self::Term(node),
            8..14 => Self::Kill(node),
            14..17 => Self::KillAll,
            17..23 => Self::Freeze(node),
            23..26 => Self::HangUp(node),
            26..38 => Self::LeafWay(leaf, way),
            38..44 => Self::LeafReset(leaf),
            44..57 => Self::LeafManner(leaf, MANNERS[random.random_range(0..MANNERS.len())]),
            57..60 => Self::ServiceFails(leaf),
            60..66 => Self::LeafSlow(leaf),
            66..74 => Self::LeafLeaves(leaf),
            74..78 => Self::LeafCrash(leaf),
            78..85 => Self::Store(MODES[random.random_range(0..MODES.len())]),
            85..89 => Self::StoreWay(way),
            89..92 => Self::StoreForgets,
            92..98 => Self::Configure,
            _ => Self::Reshard,
        }
    }

    /// Whether operators do this on purpose, so that callers must not notice.
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

/// What has to be done later to end a fault.
#[derive(Clone, Copy, Debug)]
pub struct Mend {
    /// When, from the run's begin.
    pub at: Duration,
    /// Which fault.
    pub fault: Fault,
}

/// Carries faults out and mends them.
#[derive(Debug, Default)]
pub struct Injector {
    /// Faults that go on.
    pub open: VecDeque<Mend>,
    /// Cuts of the index so far.
    cuts: usize,
    number: u64,
}

impl Injector {
    /// Whether `fault` may begin: a node that is down cannot be struck again.
    pub fn may_begin(&self, fault: Fault) -> bool {
        let node = |fault| match fault {
            Fault::Term(node) | Fault::Kill(node) | Fault::Freeze(node) | Fault::HangUp(node) => Some(node),
            _ => None,
        };
        for open in &self.open {
            let is_all = open.fault == Fault::KillAll && (node(fault).is_some() || fault == Fault::KillAll);
            let is_same = node(fault).is_some() && node(fault) == node(open.fault);
            let is_any = fault == Fault::KillAll && node(open.fault).is_some();
            let is_cut = fault == Fault::Reshard && open.fault == Fault::Reshard;
            if is_all || is_same || is_any || is_cut {
                return false;
            }
        }
        true
    }

    /// Begins a fault at `now` that is to last for `span`.
    pub async fn begin(&mut self, deployment: &mut Deployment, fault: Fault, now: Duration, span: Duration) {
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
            Fault::LeafWay(leaf, way) => deployment.leafs[leaf].proxy.set(way),
            Fault::LeafReset(leaf) => deployment.leafs[leaf].proxy.reset(),
            Fault::LeafManner(leaf, manner) => deployment.leafs[leaf].replica.set(|knobs| {
                knobs.manner = manner;
                knobs.one_in = 3;
            }),
            Fault::ServiceFails(leaf) => {
                for leaf in service_of(deployment, leaf) {
                    leaf.replica.set(|knobs| knobs.manner = replica::Manner::Failing);
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
                deployment.leafs[leaf].is_gone = true;
                deployment.registry.unregister(&deployment.leafs[leaf].entry.clone());
                self.replace(deployment, leaf).await;
            }
            Fault::Store(mode) => deployment.registry.set(mode),
            Fault::StoreWay(way) => deployment.registry_proxy.set(way),
            Fault::StoreForgets => deployment.registry.forget(),
            Fault::Configure => self.configure(deployment),
            Fault::Reshard => self.reshard(deployment).await,
            Fault::Evacuate => deployment.registry.set_evacuated(deployment::FAR, true),
            Fault::LeafWarms(leaf) => set_warming(deployment, leaf, true),
        }
        self.open.push_back(Mend { at: now + span, fault });
    }

    /// Ends a fault.
    pub async fn mend(&mut self, deployment: &mut Deployment, fault: Fault) {
        match fault {
            Fault::Term(node) | Fault::Kill(node) => restart(deployment, node).await,
            Fault::KillAll => {
                for node in 0..deployment.nodes.len() {
                    restart(deployment, node).await;
                }
            }
            Fault::Freeze(node) => deployment.signal(node, Signal::SIGCONT),
            Fault::LeafWay(leaf, _) => {
                deployment.leafs[leaf].proxy.set(proxy::Way::Open);
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
            Fault::Evacuate => deployment.registry.set_evacuated(deployment::FAR, false),
            Fault::LeafWarms(leaf) => set_warming(deployment, leaf, false),
            Fault::Store(_) => deployment.registry.set(registry::Mode::Proper),
            Fault::StoreWay(_) => {
                deployment.registry_proxy.set(proxy::Way::Open);
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

    /// The next cut's leafs start, the configuration names them, and the old ones say that they leave.
    async fn reshard(&mut self, deployment: &mut Deployment) {
        self.cuts += 1;
        let old = deployment.leafs.len();
        // Another number of shards than before, so that a mixed answer cannot look whole.
        let count = 4 + self.cuts % 3;
        let shards = deployment::shards(self.cuts, count);
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
        for leaf in 0..old {
            let entry = &mut deployment.leafs[leaf].entry;
            if entry.service != "letters" && !entry.leaving {
                entry.leaving = true;
                let entry = entry.clone();
                deployment.registry.register(&entry);
            }
        }
    }
}

/// A leaf that is gone has no entry any more.
fn set_warming(deployment: &mut Deployment, leaf: usize, is_warming: bool) {
    let leaf = &mut deployment.leafs[leaf];
    leaf.entry.warming = is_warming;
    if !leaf.is_gone {
        deployment.registry.register(&leaf.entry);
    }
}

/// The leafs of the service of a leaf.
fn service_of(deployment: &Deployment, leaf: usize) -> impl Iterator<Item = &deployment::Leaf> {
    let service = deployment.leafs[leaf].entry.service.clone();
    deployment.leafs.iter().filter(move |other| other.entry.service == service)
}

async fn restart(deployment: &mut Deployment, node: usize) {
    deployment.wait_end(node).await;
    if let Err(error) = deployment.restart_node(node) {
        println!("node {node} did not start again: {error}");
    }
}
