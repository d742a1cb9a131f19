//! Nodes as child processes, with in-process test doubles of the platform.

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

/// Interval at which awaited conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum wait for a node to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes of a page, the unit of `/proc/PID/statm`.
const PAGE_BYTES: u64 = 4096;
/// Host name in the clients' requests.
pub const HOST: &str = "soak.example";

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of shards behind the gather route.
    pub shards: usize,
    /// Number of leafs of each shard.
    pub replicas: usize,
    /// Whether every second leaf is in [`FAR_DATA_CENTRE`], with the other leafs and the nodes in a second data centre.
    pub has_two_data_centres: bool,
}

/// Data centre of every second leaf when [`Size::has_two_data_centres`] is set.
pub const FAR_DATA_CENTRE: &str = "there";

/// A leaf and the proxy in front of it.
#[derive(Debug)]
pub struct Leaf {
    /// Registry entry of the leaf.
    pub entry: plan::Leaf,
    /// The backend server itself.
    pub replica: Arc<replica::Replica>,
    /// Proxy between the nodes and the leaf.
    pub proxy: Arc<proxy::Proxy>,
    /// Address of the leaf itself, behind the proxy.
    pub address: net::SocketAddr,
    /// Whether the leaf crashed and its entry was removed.
    pub has_crashed: bool,
}

/// A node process.
#[derive(Debug)]
pub struct Node {
    /// Host name in the node's settings.
    pub name: CompactString,
    /// Address for callers.
    pub listen: net::SocketAddr,
    /// Address of the readiness endpoint.
    pub ready: net::SocketAddr,
    /// Address of the status and metrics endpoints.
    pub admin: net::SocketAddr,
    /// Address for messages from other nodes.
    pub peer: net::SocketAddr,
    /// Path of the settings file.
    pub settings: path::PathBuf,
    /// Path of the log file, which lacks the first line of the output.
    pub log: path::PathBuf,
    child: process::Child,
}

/// The nodes, the leafs and the store of one run.
#[derive(Debug)]
pub struct Deployment {
    /// The store of server entries and configuration.
    pub registry: Arc<registry::Registry>,
    /// Proxy between the nodes and the store.
    pub registry_proxy: Arc<proxy::Proxy>,
    /// All leafs ever started, including crashed and leaving ones.
    pub leafs: Vec<Leaf>,
    /// The nodes, in order of their first start.
    pub nodes: Vec<Node>,
    /// The configuration that was last written to the store.
    pub routing: plan::Routing,
    program: path::PathBuf,
    directory: path::PathBuf,
    size: Size,
    leafs_started: usize,
    /// Extra YAML lines for the settings of nodes started from now on.
    pub extra_settings: String,
}

impl Deployment {
    /// Starts leafs and store, but no nodes. `program` is the node's executable; `directory` takes settings and
    /// logs.
    ///
    /// # Errors
    /// Fails if a port cannot be bound or the directory cannot be created.
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
            leafs_started: 0,
            size,
            extra_settings: String::new(),
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
    /// Fails if no port can be bound.
    pub async fn start_leaf(&mut self, service: &str, slots: u32) -> std::io::Result<()> {
        let is_far = self.size.has_two_data_centres && self.leafs_started.is_multiple_of(2);
        self.start_leaf_in(if is_far { FAR_DATA_CENTRE } else { "here" }, service, slots).await
    }

    /// Like [`Deployment::start_leaf`], in the given data centre.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start_leaf_in(&mut self, data_centre: &str, service: &str, slots: u32) -> std::io::Result<()> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let proxy = proxy::Proxy::start(address).await?;
        let id = format_compact!("i-{}", self.leafs_started);
        self.leafs_started += 1;
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
        self.leafs.push(Leaf { entry, replica, proxy, address, has_crashed: false });
        Ok(())
    }

    /// Writes a configuration whose gather route covers `shards`.
    pub fn configure(&mut self, number: u64, shards: &[CompactString]) {
        self.routing = routing(number, shards);
        self.registry.configure(&self.routing);
    }

    /// Starts a node and returns its index in `nodes`.
    ///
    /// # Errors
    /// Fails if the process cannot be started, or its first line does not list its addresses.
    pub fn start_node(&mut self) -> std::io::Result<usize> {
        let index = self.nodes.len();
        let node = self.spawn(index)?;
        self.nodes.push(node);
        Ok(index)
    }

    /// Starts an exited node again.
    ///
    /// # Errors
    /// Fails as [`Deployment::start_node`] does.
    pub fn restart_node(&mut self, index: usize) -> std::io::Result<()> {
        let node = self.spawn(index)?;
        self.nodes[index] = node;
        Ok(())
    }

    fn spawn(&self, index: usize) -> std::io::Result<Node> {
        let name = format_compact!("node-{index}");
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
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
            self.extra_settings,
        );
        std::fs::write(&settings, text)?;
        let mut child = process::Command::new(&self.program)
            .arg("--settings")
            .arg(&settings)
            .stdout(process::Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or_else(|| std::io::Error::other("the node has no stdout pipe"))?;
        let mut lines = BufReader::new(output).lines();
        let line =
            lines.next().ok_or_else(|| std::io::Error::other("the node closed its output before the first line"))??;
        let line: serde_json::Value = serde_json::from_str(&line)?;
        let address = |field: &str| {
            let text = line[field].as_str().unwrap_or_default();
            text.parse()
                .map_err(|_| std::io::Error::other(format!("no address `{field}` in the node's first line: {line}")))
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
        // Without a reader the node would block once the pipe is full.
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

    /// Waits until a node is ready; returns `false` on a time-out.
    pub async fn wait_ready(&self, index: usize) -> bool {
        let deadline = std::time::Instant::now() + READY_TIMEOUT;
        while std::time::Instant::now() < deadline {
            if is_ready(self.nodes[index].ready).await {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Sends a signal to a node's process.
    pub fn signal(&self, index: usize, signal: Signal) {
        let pid = Pid::from_raw(self.nodes[index].child.id() as i32);
        signal::kill(pid, signal).ok();
    }

    /// Waits for a node's process to exit; returns its exit code, or `None` after a signal.
    pub async fn wait_exit(&mut self, index: usize) -> Option<i32> {
        loop {
            if let Ok(Some(status)) = self.nodes[index].child.try_wait() {
                return status.code();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the number of file descriptors that a node's process has open.
    pub fn descriptors(&self, index: usize) -> usize {
        let entries = std::fs::read_dir(format!("/proc/{}/fd", self.nodes[index].child.id()));
        entries.map_or(0, |entries| entries.count())
    }

    /// Returns the resident memory of a node's process, in bytes.
    pub fn resident(&self, index: usize) -> u64 {
        let statm = std::fs::read_to_string(format!("/proc/{}/statm", self.nodes[index].child.id()));
        let pages = statm.ok().and_then(|statm| statm.split(' ').nth(1)?.parse::<u64>().ok());
        pages.unwrap_or(0) * PAGE_BYTES
    }

    /// Whether a node's process is still running.
    pub fn is_running(&mut self, index: usize) -> bool {
        matches!(self.nodes[index].child.try_wait(), Ok(None))
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

/// Whether the node with the readiness endpoint at `address` is ready.
pub async fn is_ready(address: net::SocketAddr) -> bool {
    crate::client::get_status(address, "/readyz").await.is_some_and(|status| status == 200)
}

/// Returns the shard names of one partitioning of the index.
pub fn shards(partitioning: usize, count: usize) -> Vec<CompactString> {
    let prefix = if partitioning == 0 { String::new() } else { format!("cut{partitioning}-") };
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
    let upstream = |name| plan::Upstream { name, connections: 40, warm_up: None };
    plan::Routing {
        number,
        routes: vec![route("gather", true, gather), route("read", true, letters()), route("write", false, letters())],
        services: services.into_iter().map(upstream).collect(),
        limits: Some(route::Limits {
            header_bytes: 8192,
            body_bytes: 65_536,
            header_wait: clock::Millis(2000),
            idle: clock::Millis(10_000),
        }),
    }
}
