//! One run: a deployment, clients that ask all the while, faults drawn from a seed, and the verdict.

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
    client,
    deployment::{self, Deployment, Size},
    fault::{Fault, Injector},
    judge,
};

/// How long around a fault a request does not count as calm: what was begun before it may still feel
/// it, and what it broke may be noticed later.
const UNCALM: Duration = Duration::from_millis(1500);
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(25);
/// Time without faults at the end, in which all must serve again.
const CALM: Duration = Duration::from_secs(4);
/// Requests of each node that must be served at the end.
const SERVED_LEAST: usize = 3;

/// What to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The node's program.
    pub program: path::PathBuf,
    /// A directory for settings and logs.
    pub directory: path::PathBuf,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// How long faults are injected.
    pub span: Duration,
    /// The deployment's size.
    pub size: Size,
    /// Clients of each node.
    pub clients: usize,
    /// Extra lines for the nodes' settings.
    pub extra: String,
}

/// What came of a run.
#[derive(Debug)]
pub struct Verdict {
    /// Promises that did not hold.
    pub breaches: Vec<String>,
    /// Faults in order.
    pub faults: Vec<Fault>,
    /// How requests ended.
    pub ends: IndexMap<String, usize>,
}

struct Seen {
    judge: Mutex<judge::Judge>,
    /// When the run began.
    begun: tokio::time::Instant,
    /// When the last unplanned fault began, ended or went on, from then.
    fault_at: Mutex<Option<Duration>>,
    is_over: AtomicBool,
    names: AtomicU64,
}

impl Seen {
    fn judge(&self) -> MutexGuard<'_, judge::Judge> {
        self.judge.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    fn note_fault(&self) {
        *self.fault_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(self.now());
    }

    fn is_calm_since(&self, begun: Duration) -> bool {
        let fault_at = *self.fault_at.lock().unwrap_or_else(PoisonError::into_inner);
        fault_at.is_none_or(|fault_at| begun > fault_at + UNCALM)
    }
}

/// Runs a plan.
///
/// # Errors
/// The stand-ins or nodes could not be started.
pub async fn run(plan: &Plan) -> std::io::Result<Verdict> {
    let mut random = rngs::SmallRng::seed_from_u64(plan.seed);
    let mut deployment = Deployment::start(&plan.program, &plan.directory, plan.size).await?;
    deployment.extra.clone_from(&plan.extra);
    for _ in 0..plan.size.nodes {
        deployment.start_node()?;
    }
    let seen = Arc::new(Seen {
        judge: Mutex::default(),
        begun: tokio::time::Instant::now(),
        fault_at: Mutex::default(),
        is_over: AtomicBool::new(false),
        names: AtomicU64::new(0),
    });
    seen.judge().note_set(set(&deployment));
    for node in 0..plan.size.nodes {
        if !deployment.wait_ready(node).await {
            seen.judge().breach("starts", format!("node {node} is not ready"));
        }
    }
    let addresses = Arc::new(Mutex::new(addresses(&deployment)));
    let mut clients = task::JoinSet::new();
    for node in 0..plan.size.nodes {
        for _ in 0..plan.clients {
            let seed = random.random();
            clients.spawn(ask_on(Arc::clone(&seen), Arc::clone(&addresses), node, seed));
        }
    }
    let faults = inject(plan, &mut random, &mut deployment, &seen, &addresses).await;
    recover(plan, &deployment, &seen).await;
    seen.is_over.store(true, Ordering::SeqCst);
    while clients.join_next().await.is_some() {}
    let mut judge = seen.judge();
    judge.judge_ledgers(&deployment);
    judge.judge_logs(&deployment);
    Ok(Verdict { breaches: judge.breaches().to_vec(), faults, ends: judge.summary() })
}

fn addresses(deployment: &Deployment) -> Vec<std::net::SocketAddr> {
    deployment.nodes.iter().map(|node| node.listen).collect()
}

/// A client of one node: it asks again and again on a kept connection.
async fn ask_on(seen: Arc<Seen>, addresses: Arc<Mutex<Vec<std::net::SocketAddr>>>, node: usize, seed: u64) {
    let mut random = rngs::SmallRng::seed_from_u64(seed);
    let address = || addresses.lock().unwrap_or_else(PoisonError::into_inner)[node];
    let mut held = address();
    let mut client = client::Client::new(held);
    while !seen.is_over.load(Ordering::SeqCst) {
        if address() != held {
            held = address();
            client = client::Client::new(held);
        }
        let kind = match random.random_range(0..4) {
            0 | 1 => client::Kind::Gather,
            2 => client::Kind::Read,
            _ => client::Kind::Write,
        };
        let name = format_compact!("r{:08x}", seen.names.fetch_add(1, Ordering::SeqCst));
        let begun = seen.now();
        let end = client.ask(kind, &name).await;
        let is_calm = seen.is_calm_since(begun);
        let is_away = end == client::End::NoConnection;
        let row = judge::Row { name, kind, node, address: held, begun, ended: seen.now(), end, is_calm };
        seen.judge().take(row);
        tokio::time::sleep(if is_away { PAUSE * 4 } else { PAUSE }).await;
    }
}

async fn inject(
    plan: &Plan,
    random: &mut rngs::SmallRng,
    deployment: &mut Deployment,
    seen: &Seen,
    addresses: &Mutex<Vec<std::net::SocketAddr>>,
) -> Vec<Fault> {
    let begun = seen.now();
    let mut injector = Injector::default();
    let mut faults = Vec::new();
    while seen.now() < begun + plan.span {
        let fault = Fault::draw(random, plan.size.nodes, deployment.leafs.len(), plan.size.is_wide);
        let span = Duration::from_millis(random.random_range(200..2500));
        let pause = Duration::from_millis(random.random_range(50..700));
        if injector.may_begin(fault) {
            faults.push(fault);
            note(seen, fault);
            injector.begin(deployment, fault, seen.now(), span).await;
            seen.judge().note_set(set(deployment));
        }
        tokio::time::sleep(pause).await;
        seen.judge().judge_extra(deployment);
        let now = seen.now();
        mend_due(&mut injector, deployment, seen, now).await;
        *addresses.lock().unwrap_or_else(PoisonError::into_inner) = self::addresses(deployment);
    }
    mend_due(&mut injector, deployment, seen, Duration::MAX).await;
    *addresses.lock().unwrap_or_else(PoisonError::into_inner) = self::addresses(deployment);
    faults
}

fn note(seen: &Seen, fault: Fault) {
    if !fault.is_planned() {
        seen.note_fault();
    }
}

fn set(deployment: &Deployment) -> Vec<compact_str::CompactString> {
    let mut shards = Vec::new();
    for route in &deployment.routing.routes {
        if let shallothub_core::plan::Destination::Gather { services, .. } = &route.destination {
            shards.clone_from(services);
        }
    }
    shards
}

async fn mend_due(injector: &mut Injector, deployment: &mut Deployment, seen: &Seen, now: Duration) {
    for mend in std::mem::take(&mut injector.open) {
        if mend.at > now {
            note(seen, mend.fault);
            injector.open.push_back(mend);
            continue;
        }
        injector.mend(deployment, mend.fault).await;
        note(seen, mend.fault);
    }
}

/// After the last fault every node must be ready and serve, by the configuration in force, and no server
/// that leaves may be asked any longer.
async fn recover(plan: &Plan, deployment: &Deployment, seen: &Seen) {
    if plan.size.is_wide {
        deployment.registry.set_evacuated(deployment::FAR, true);
    }
    tokio::time::sleep(CALM).await;
    let settled = std::time::Instant::now();
    let in_force = set(deployment);
    for node in 0..plan.size.nodes {
        if !deployment.wait_ready(node).await {
            seen.judge().breach("recovers", format!("node {node} is not ready"));
            continue;
        }
        let mut client = client::Client::new(deployment.nodes[node].listen);
        let mut served = 0;
        for _ in 0..SERVED_LEAST * 4 {
            let name = format_compact!("r{:08x}", seen.names.fetch_add(1, Ordering::SeqCst));
            let end = client.ask(client::Kind::Gather, &name).await;
            if let client::End::Served { services, .. } = &end {
                served += 1;
                if !services.iter().all(|service| in_force.contains(service)) {
                    seen.judge().breach("configuration_in_force", format!("node {node}: {services:?}"));
                }
            }
            if served >= SERVED_LEAST {
                break;
            }
            tokio::time::sleep(PAUSE * 4).await;
        }
        if served < SERVED_LEAST {
            seen.judge().breach("recovers", format!("node {node} serves {served} of {}", SERVED_LEAST * 4));
        }
    }
    for leaf in &deployment.leafs {
        let is_evacuated = plan.size.is_wide && leaf.entry.data_centre == deployment::FAR;
        let is_asked = leaf.replica.ledger().last.is_some_and(|last| last > settled);
        if leaf.entry.leaving && is_asked {
            seen.judge().breach("leaving_servers_rest", &leaf.entry.name);
        }
        if is_evacuated && is_asked {
            seen.judge().breach("evacuated_servers_rest", &leaf.entry.name);
        }
    }
}
