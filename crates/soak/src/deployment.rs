//! Nodes as child processes, over stand-ins of the platform in this one.

use std::{
    io::{BufRead, BufReader},
    net, path, process,
    sync::Arc,
    time::Duration,
};

use compact_str::{CompactString, format_compact};
use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};
use shallothub_core::{clock, plan, ratio, route};
use shallothub_standin::{registry, replica};

use crate::proxy;

/// How often something that must come is looked for.
const LOOK: Duration = Duration::from_millis(20);
/// Longest wait for a node to be ready.
const READY_MOST: Duration = Duration::from_secs(30);
/// The host that clients name.
pub const HOST: &str = "soak.example";

/// The size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Nodes.
    pub nodes: usize,
    /// Shards of the gather.
    pub shards: usize,
    /// Leafs of each shard.
    pub replicas: usize,
    /// Whether every second leaf is in [`FAR`], the others and the nodes being in another data centre.
    pub is_wide: bool,
}

/// The data centre of every second leaf in a wide deployment.
pub const FAR: &str = "there";

/// A leaf with the proxy before it.
#[derive(Debug)]
pub struct Leaf {
    /// Its entry.
    pub entry: plan::Leaf,
    /// What runs.
    pub replica: Arc<replica::Replica>,
    /// What stands before it.
    pub proxy: Arc<proxy::Proxy>,
    /// Its own address, behind the proxy.
    pub address: net::SocketAddr,
    /// Whether it crashed, so that it has no entry any more.
    pub is_gone: bool,
}

/// A node.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub name: CompactString,
    /// Where it serves callers.
    pub listen: net::SocketAddr,
    /// Where it tells whether it is ready.
    pub ready: net::SocketAddr,
    /// Where it shows status and metrics.
    pub admin: net::SocketAddr,
    /// Where it hears other nodes.
    pub peer: net::SocketAddr,
    /// Its settings file.
    pub settings: path::PathBuf,
    /// The file of its log lines, without the first.
    pub log: path::PathBuf,
    child: process::Child,
}

/// Everything together.
#[derive(Debug)]
pub struct Deployment {
    /// The store.
    pub registry: Arc<registry::Registry>,
    /// What stands before the store.
    pub registry_proxy: Arc<proxy::Proxy>,
    /// The leafs.
    pub leafs: Vec<Leaf>,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The configuration that was written last.
    pub routing: plan::Routing,
    program: path::PathBuf,
    directory: path::PathBuf,
    size: Size,
    started: usize,
    /// Extra lines for the nodes' settings.
    pub extra: String,
}

impl Deployment {
    /// Starts the stand-ins, and no node yet. `program` is the node's, and `directory` is for settings.
    ///
    /// # Errors
    /// No port or directory can be had.
    pub async fn start(program: &path::Path, directory: &path::Path, size: Size) -> std::io::Result<Self> {
        std::fs::create_dir_all(directory)?;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let registry_proxy = proxy::Proxy::start(listener.local_addr()?).await?;
        let registry = registry::Registry::start(listener);
        let mut deployment = Self {
            registry,
            registry_proxy,
            leafs: Vec::new(),
            nodes: Vec::new(),
            routing: plan::Routing::default(),
            program: program.to_owned(),
            directory: directory.to_owned(),
            started: 0,
            size,
            extra: String::new(),
        };
        for shard in 0..size.shards {
            for _ in 0..size.replicas {
                deployment.start_leaf(&format!("shard{shard}"), 2).await?;
            }
        }
        for _ in 0..3 {
            deployment.start_leaf("letters", 4).await?;
        }
        deployment.configure(1, &shards(0, size.shards));
        Ok(deployment)
    }

    /// Starts a leaf of `service` and registers it.
    ///
    /// # Errors
    /// No port can be had.
    pub async fn start_leaf(&mut self, service: &str, slots: u32) -> std::io::Result<()> {
        let is_far = self.size.is_wide && self.started.is_multiple_of(2);
        self.start_leaf_in(if is_far { FAR } else { "here" }, service, slots).await
    }

    /// The same in a data centre.
    ///
    /// # Errors
    /// No port can be had.
    pub async fn start_leaf_in(&mut self, data_centre: &str, service: &str, slots: u32) -> std::io::Result<()> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let proxy = proxy::Proxy::start(address).await?;
        let id = format_compact!("i-{}", self.started);
        self.started += 1;
        let entry = plan::Leaf {
            incarnation: 0,
            name: id.clone(),
            service: service.into(),
            data_centre: data_centre.into(),
            address: format_compact!("{}", proxy.address),
            slots,
            leaving: false,
            warming: false,
        };
        let replica = replica::Replica::start(&id, service, slots, listener);
        self.registry.register(&entry);
        self.leafs.push(Leaf { entry, replica, proxy, address, is_gone: false });
        Ok(())
    }

    /// Writes a configuration whose gather names `shards`.
    pub fn configure(&mut self, number: u64, shards: &[CompactString]) {
        self.routing = routing(number, shards);
        self.registry.configure(&self.routing);
    }

    /// Starts a node; its place in the list.
    ///
    /// # Errors
    /// The process cannot be started, or its first line is not what it should be.
    pub fn start_node(&mut self) -> std::io::Result<usize> {
        let place = self.nodes.len();
        let node = self.spawn(place)?;
        self.nodes.push(node);
        Ok(place)
    }

    /// Starts a node that ended anew.
    ///
    /// # Errors
    /// As for [`Deployment::start_node`].
    pub fn restart_node(&mut self, place: usize) -> std::io::Result<()> {
        let node = self.spawn(place)?;
        self.nodes[place] = node;
        Ok(())
    }

    fn spawn(&self, place: usize) -> std::io::Result<Node> {
        let name = format_compact!("node-{place}");
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != place)
            .map(|(_, node)| format!("\"{}\"", node.peer))
            .collect();
        let settings = self.directory.join(format!("{name}.yaml"));
        let any = "\"127.0.0.1:0\"";
        let text = format!(
            "interface: platform\nname: {name}\ndata_centre: here\nlisten: {any}\nready: {any}\nadmin: {any}\nrelay: {any}\n\
             peer: {any}\nplatform: \"{}\"\nseeds: [{}]\nbalancer_lag_ms: 600\ndrain_most_ms: 3000\n\
             traffic: {{hedge_fraction: 0.2, hedge_quantile: 0.92, hedge_floor: 8, retry_fraction: 0.2, prefer_room: true, \
             adaptive_admission: false, running_ceiling: 96, margin: 15, aim_margin: 16, silence: 150, \
             score_band: 1.5, refuse_by_wait: true, fleet: {{ratio: 0.2, slack: 56}}}}\n\
             control: {{watchers: 2, start_wait: 0, serve_on: 3000}}\n{}",
            self.registry_proxy.address,
            seeds.join(", "),
            self.extra,
        );
        std::fs::write(&settings, text)?;
        let mut child = process::Command::new(&self.program)
            .arg("--settings")
            .arg(&settings)
            .stdout(process::Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or_else(|| std::io::Error::other("no output"))?;
        let mut lines = BufReader::new(output).lines();
        let line = lines.next().ok_or_else(|| std::io::Error::other("no first line"))??;
        let line: serde_json::Value = serde_json::from_str(&line)?;
        let address = |field: &str| {
            let text = line[field].as_str().unwrap_or_default();
            text.parse().map_err(|_| std::io::Error::other(format!("no address `{field}` in {line}")))
        };
        let log = self.directory.join(format!("{name}-{}.log", child.id()));
        let node = Node {
            listen: address("listen")?,
            ready: address("ready")?,
            admin: address("admin")?,
            peer: address("peer")?,
            name,
            settings,
            log: log.clone(),
            child,
        };
        // Whoever does not read the output would stop the node once the pipe is full.
        std::thread::spawn(move || {
            let mut file = std::fs::File::create(log).ok();
            for line in lines.map_while(Result::ok) {
                if let Some(file) = &mut file {
                    std::io::Write::write_all(file, format!("{line}\n").as_bytes()).ok();
                }
            }
        });
        Ok(node)
    }

    /// Waits until a node is ready; `false` if it does not become so.
    pub async fn wait_ready(&self, place: usize) -> bool {
        let end = std::time::Instant::now() + READY_MOST;
        while std::time::Instant::now() < end {
            if is_ready(self.nodes[place].ready).await {
                return true;
            }
            tokio::time::sleep(LOOK).await;
        }
        false
    }

    /// Sends a signal to a node's process.
    pub fn signal(&self, place: usize, signal: Signal) {
        let pid = Pid::from_raw(self.nodes[place].child.id() as i32);
        signal::kill(pid, signal).ok();
    }

    /// Waits for the end of a node's process; its exit code.
    pub async fn wait_end(&mut self, place: usize) -> Option<i32> {
        loop {
            if let Ok(Some(status)) = self.nodes[place].child.try_wait() {
                return status.code();
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Descriptors that a node's process has open.
    pub fn descriptors(&self, place: usize) -> usize {
        let entries = std::fs::read_dir(format!("/proc/{}/fd", self.nodes[place].child.id()));
        entries.map_or(0, |entries| entries.count())
    }

    /// Whether a node's process runs.
    pub fn is_running(&mut self, place: usize) -> bool {
        matches!(self.nodes[place].child.try_wait(), Ok(None))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.child.kill().ok();
            node.child.wait().ok();
            std::fs::remove_file(&node.settings).ok();
        }
    }
}

/// Whether the node whose readiness is told at `address` is ready.
pub async fn is_ready(address: net::SocketAddr) -> bool {
    crate::client::get(address, "/readyz").await.is_some_and(|status| status == 200)
}

/// The names of shards, of one cut of the index.
pub fn shards(cut: usize, count: usize) -> Vec<CompactString> {
    let prefix = if cut == 0 { String::new() } else { format!("cut{cut}-") };
    (0..count).map(|shard| format_compact!("{prefix}shard{shard}")).collect()
}

fn routing(number: u64, shards: &[CompactString]) -> plan::Routing {
    let route = |name: &str, idempotent, destination| plan::Route {
        name: name.into(),
        host: HOST.into(),
        prefix: format_compact!("/{name}/"),
        idempotent,
        timeout: clock::Millis(1500),
        target_latency: Some(clock::Millis(300)),
        max_servers: 2,
        priority: 1,
        homes: Vec::new(),
        destination,
    };
    let gather = plan::Destination::Gather {
        services: shards.to_vec(),
        top: 10,
        least_coverage: ratio::Ratio::try_from(0.7).unwrap_or_default(),
    };
    let letters = || plan::Destination::Services(vec![(CompactString::const_new("letters"), 1.0)]);
    let mut services: Vec<CompactString> = shards.to_vec();
    services.push("letters".into());
    let backing = |name| plan::Upstream { name, connections: 40, warm_up: None };
    plan::Routing {
        number,
        routes: vec![route("gather", true, gather), route("read", true, letters()), route("write", false, letters())],
        services: services.into_iter().map(backing).collect(),
        limits: Some(route::Limits {
            header_bytes: 8192,
            body_bytes: 65_536,
            header_wait: clock::Millis(2000),
            idle: clock::Millis(10_000),
        }),
    }
}
