//! One run: a deployment, clients under constant load, faults drawn from a seed, and the verdict.

use std::{
    path,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use compact_str::format_compact;
use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs};
use tokio::task;

use crate::{
    checker, client,
    deployment::{self, Deployment, Size},
    fault::{Fault, Injector},
};

/// Time after a fault within which requests still count as disturbed: the damage of a fault may be noticed
/// only later. A request that started before the fault is disturbed too.
const DISTURBANCE_PERIOD: Duration = Duration::from_millis(1500);
/// Pause of a client between requests.
const PAUSE: Duration = Duration::from_millis(25);
/// Fault-free time at the end, within which all nodes must recover.
const RECOVERY_PERIOD: Duration = Duration::from_secs(4);
/// Minimum number of requests that each node must serve at the end.
const MIN_SERVED: usize = 3;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the node's executable.
    pub program: path::PathBuf,
    /// Directory for settings and logs.
    pub directory: path::PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
    /// Duration of fault injection.
    pub duration: Duration,
    /// Size of the deployment.
    pub size: Size,
    /// Number of clients per node.
    pub clients: usize,
    /// Extra YAML lines for the nodes' settings.
    pub extra_settings: String,
}

/// Result of a run.
#[derive(Debug)]
pub struct Verdict {
    /// Violated guarantees, each with its details.
    pub breaches: Vec<String>,
    /// Injected faults, in order.
    pub faults: Vec<Fault>,
    /// Number of requests by kind and outcome.
    pub outcomes: IndexMap<String, usize>,
}

struct Shared {
    checker: Mutex<checker::Checker>,
    /// Start of the run.
    started: tokio::time::Instant,
    /// Latest time at which an unplanned fault started, was active or ended, relative to `started`.
    fault_at: Mutex<Option<Duration>>,
    is_over: AtomicBool,
    next_name: AtomicU64,
}

impl Shared {
    fn checker(&self) -> MutexGuard<'_, checker::Checker> {
        self.checker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn record_fault(&self) {
        *self.fault_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(self.now());
    }

    fn is_undisturbed_since(&self, started: Duration) -> bool {
        let fault_at = *self.fault_at.lock().unwrap_or_else(PoisonError::into_inner);
        fault_at.is_none_or(|fault_at| started > fault_at + DISTURBANCE_PERIOD)
    }
}

/// Executes a plan.
///
/// # Errors
/// Fails if leafs, store or nodes cannot be started.
pub async fn run(plan: &Plan) -> std::io::Result<Verdict> {
    let mut random = rngs::SmallRng::seed_from_u64(plan.seed);
    let mut deployment = Deployment::start(&plan.program, &plan.directory, plan.size).await?;
    deployment.extra_settings.clone_from(&plan.extra_settings);
    for _ in 0..plan.size.nodes {
        deployment.start_node()?;
    }
    let shared = Arc::new(Shared {
        checker: Mutex::default(),
        started: tokio::time::Instant::now(),
        fault_at: Mutex::default(),
        is_over: AtomicBool::new(false),
        next_name: AtomicU64::new(0),
    });
    shared.checker().add_shard_set(gather_shards(&deployment));
    for node in 0..plan.size.nodes {
        if !deployment.wait_ready(node).await {
            shared.checker().breach("starts", format!("node {node} is not ready"));
        }
    }
    let addresses = Arc::new(Mutex::new(addresses(&deployment)));
    let mut clients = task::JoinSet::new();
    for node in 0..plan.size.nodes {
        for _ in 0..plan.clients {
            let seed = random.random();
            clients.spawn(run_client(Arc::clone(&shared), Arc::clone(&addresses), node, seed));
        }
    }
    let faults = inject(plan, &mut random, &mut deployment, &shared, &addresses).await;
    check_recovery(plan, &deployment, &shared).await;
    shared.is_over.store(true, Ordering::SeqCst);
    while clients.join_next().await.is_some() {}
    let mut checker = shared.checker();
    checker.check_ledgers(&deployment);
    checker.check_logs(&deployment);
    Ok(Verdict { breaches: checker.breaches().to_vec(), faults, outcomes: checker.summary() })
}

fn addresses(deployment: &Deployment) -> Vec<std::net::SocketAddr> {
    deployment.nodes.iter().map(|node| node.listen).collect()
}

/// Sends requests to one node on a persistent connection until the run ends.
async fn run_client(shared: Arc<Shared>, addresses: Arc<Mutex<Vec<std::net::SocketAddr>>>, node: usize, seed: u64) {
    let mut random = rngs::SmallRng::seed_from_u64(seed);
    let address = || addresses.lock().unwrap_or_else(PoisonError::into_inner)[node];
    let mut current = address();
    let mut client = client::Client::new(current);
    while !shared.is_over.load(Ordering::SeqCst) {
        if address() != current {
            current = address();
            client = client::Client::new(current);
        }
        let kind = match random.random_range(0..4) {
            0 | 1 => client::Kind::Gather,
            2 => client::Kind::Read,
            _ => client::Kind::Write,
        };
        let name = format_compact!("r{:08x}", shared.next_name.fetch_add(1, Ordering::SeqCst));
        let started = shared.now();
        let outcome = client.send(kind, &name).await;
        let is_undisturbed = shared.is_undisturbed_since(started);
        let is_unreachable = outcome == client::Outcome::NoConnection;
        let record = checker::Record {
            name,
            kind,
            node,
            address: current,
            started,
            ended: shared.now(),
            outcome,
            is_undisturbed,
        };
        shared.checker().add(record);
        tokio::time::sleep(if is_unreachable { PAUSE * 4 } else { PAUSE }).await;
    }
}

async fn inject(
    plan: &Plan,
    random: &mut rngs::SmallRng,
    deployment: &mut Deployment,
    shared: &Shared,
    addresses: &Mutex<Vec<std::net::SocketAddr>>,
) -> Vec<Fault> {
    let started = shared.now();
    let mut injector = Injector::default();
    let mut faults = Vec::new();
    while shared.now() < started + plan.duration {
        let fault = Fault::draw(random, plan.size.nodes, deployment.leafs.len(), plan.size.has_two_data_centres);
        let duration = Duration::from_millis(random.random_range(200..2500));
        let pause = Duration::from_millis(random.random_range(50..700));
        if injector.may_start(fault) {
            faults.push(fault);
            record_if_unplanned(shared, fault);
            injector.start(deployment, fault, shared.now(), duration).await;
            shared.checker().add_shard_set(gather_shards(deployment));
        }
        tokio::time::sleep(pause).await;
        shared.checker().check_extra_load(deployment);
        let now = shared.now();
        end_due_faults(&mut injector, deployment, shared, now).await;
        *addresses.lock().unwrap_or_else(PoisonError::into_inner) = self::addresses(deployment);
    }
    end_due_faults(&mut injector, deployment, shared, Duration::MAX).await;
    *addresses.lock().unwrap_or_else(PoisonError::into_inner) = self::addresses(deployment);
    faults
}

fn record_if_unplanned(shared: &Shared, fault: Fault) {
    if !fault.is_planned() {
        shared.record_fault();
    }
}

fn gather_shards(deployment: &Deployment) -> Vec<compact_str::CompactString> {
    let mut shards = Vec::new();
    for route in &deployment.routing.routes {
        if let shallothub_core::plan::Destination::Gather { services, .. } = &route.destination {
            shards.clone_from(services);
        }
    }
    shards
}

async fn end_due_faults(injector: &mut Injector, deployment: &mut Deployment, shared: &Shared, now: Duration) {
    for active_fault in std::mem::take(&mut injector.active) {
        if active_fault.ends_at > now {
            record_if_unplanned(shared, active_fault.fault);
            injector.active.push_back(active_fault);
            continue;
        }
        injector.finish(deployment, active_fault.fault).await;
        record_if_unplanned(shared, active_fault.fault);
    }
}

/// Checks that after the last fault every node becomes ready and serves by the configuration in force, and that
/// leaving and evacuated servers get no more requests.
async fn check_recovery(plan: &Plan, deployment: &Deployment, shared: &Shared) {
    if plan.size.has_two_data_centres {
        deployment.registry.set_evacuated(deployment::FAR_DATA_CENTRE, true);
    }
    tokio::time::sleep(RECOVERY_PERIOD).await;
    let settled_at = std::time::Instant::now();
    let in_force = gather_shards(deployment);
    for node in 0..plan.size.nodes {
        if !deployment.wait_ready(node).await {
            shared.checker().breach("recovers", format!("node {node} is not ready"));
            continue;
        }
        let mut client = client::Client::new(deployment.nodes[node].listen);
        let mut served = 0;
        for _ in 0..MIN_SERVED * 4 {
            let name = format_compact!("r{:08x}", shared.next_name.fetch_add(1, Ordering::SeqCst));
            let outcome = client.send(client::Kind::Gather, &name).await;
            if let client::Outcome::Served { services, .. } = &outcome {
                served += 1;
                if !services.iter().all(|service| in_force.contains(service)) {
                    shared.checker().breach("configuration_in_force", format!("node {node}: {services:?}"));
                }
            }
            if served >= MIN_SERVED {
                break;
            }
            tokio::time::sleep(PAUSE * 4).await;
        }
        if served < MIN_SERVED {
            shared.checker().breach("recovers", format!("node {node} serves {served} of {}", MIN_SERVED * 4));
        }
    }
    for leaf in &deployment.leafs {
        let is_evacuated = plan.size.has_two_data_centres && leaf.entry.data_centre == deployment::FAR_DATA_CENTRE;
        let is_used = leaf.replica.ledger().last_request_at.is_some_and(|last| last > settled_at);
        if leaf.entry.leaving && is_used {
            shared.checker().breach("leaving_servers_rest", &leaf.entry.name);
        }
        if is_evacuated && is_used {
            shared.checker().breach("evacuated_servers_rest", &leaf.entry.name);
        }
    }
}
