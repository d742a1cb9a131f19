//! State that the threads of a node share outside the query path.

use std::{
    net,
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU32, Ordering},
    },
};

use arc_swap::ArcSwap;
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use shallothub_core::{
    clock, control, evidence, id, plan,
    plan::gatherers::{self, transition},
    suspect, traffic, urgency, view,
};
use shallothub_settings::node;
use shallothub_wire::protocol;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::{memory, metrics, time};

/// The lifecycle phase of a node, for threads that do not control it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[repr(u8)]
pub enum Phase {
    /// Not ready: no view is in force yet.
    Starting,
    /// Ready: the load balancer may send requests.
    Ready,
    /// Not ready, but still accepting connections.
    Draining,
    /// Not accepting connections; finishing the requests in flight.
    Closing,
    /// No request is in flight, or the maximum drain time has passed.
    Stopped,
}

impl Phase {
    fn from_byte(byte: u8) -> Self {
        match byte {
            0 => Self::Starting,
            1 => Self::Ready,
            2 => Self::Draining,
            3 => Self::Closing,
            _ => Self::Stopped,
        }
    }
}

/// A message to a traffic lane.
#[derive(Debug)]
pub enum ToLane {
    /// A newer view is in force.
    View(Arc<view::View>),
    /// The view was confirmed after a pause of the process.
    Revalidated,
    /// The new standings of requests that may crash servers; they replace all earlier ones.
    Suspects(Arc<IndexMap<suspect::Fingerprint, suspect::Standing>>),
    /// The new standings of backend servers that deviate from the usual; they replace all earlier ones.
    Evidence(Arc<IndexMap<id::Server, evidence::Standing>>),
    /// The thresholds of admission by urgency, by set of servers; they replace all earlier ones.
    Urgency(Arc<IndexMap<CompactString, urgency::State>>),
    /// The attempt of a suspected request that requested a trial may be sent.
    TrialGranted(suspect::Trial),
    /// A request to explain the query of this name; the reply is `None` if the lane does not know it.
    Explain(CompactString, oneshot::Sender<Option<String>>),
}

/// A message to the control thread.
#[derive(Debug)]
pub enum ToControl {
    /// An encoded message from another host.
    Peer(Vec<u8>),
    /// An input of the control core, from a task of the control thread or from a lane.
    Input(control::Input),
    /// A lane resumed after a pause of the process and needs the view confirmed.
    Revalidate,
    /// The node is draining.
    Leaving,
    /// The seeds in the settings changed; the new ones, `IP:PORT`.
    Seeds(Vec<CompactString>),
    /// A request to explain which servers the selector of this name selects; the reply is `None` if there is no such
    /// selector.
    Explain(CompactString, oneshot::Sender<Option<Vec<(CompactString, plan::Reason)>>>),
}

/// The node's status for operators, published by the control thread.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// Name of the host in the settings.
    pub host: CompactString,
    /// Name of the host's data centre.
    pub data_centre: CompactString,
    /// Stamp of the configuration in force, `VERSION-DIGEST`.
    pub config: CompactString,
    /// Stamp of the list of hosts in force, `VERSION-DIGEST`.
    pub hosts: CompactString,
    /// Time since the configuration was last confirmed to be current, in ms; `None` if it never was.
    pub config_age_ms: Option<clock::Millis>,
    /// Time since the list of hosts was last confirmed to be current, in ms; `None` if it never was.
    pub hosts_age_ms: Option<clock::Millis>,
    /// Whether this host watches the platform on behalf of its data centre.
    pub watcher: bool,
    /// The first faults of the last refused document.
    pub refused: Vec<CompactString>,
    /// Counters of the control core.
    pub control: control::Stats,
    /// Whether a view is in force.
    pub has_view: bool,
    /// Names and states of the hosts discovered by gossip; empty if documents list the hosts.
    pub members: Vec<(CompactString, control::message::State)>,
    /// Names of the selectors in force.
    pub classes: Vec<CompactString>,
    /// Evacuated data centres, according to the list of hosts and the configuration in force.
    pub evacuated: Vec<CompactString>,
    /// This host's records of requests that may crash servers.
    pub suspects: Vec<suspect::Record>,
    /// Backend servers that deviate from the usual, as several hosts observed them.
    pub standings: Vec<evidence::Summary>,
    /// The gathers that callers send to this host, as published to other hosts.
    pub demand: gatherers::Demand,
    /// The hosts that gather for each set of shards; empty if they are not chosen by demand.
    pub gathering: Vec<transition::Gathering>,
    /// Bytes held by the process; `None` if no bound on memory is set.
    pub held: Option<memory::Status>,
    /// Thresholds of admission by urgency in force, by set of servers; empty while no wait for capacity is measured.
    pub urgency: IndexMap<CompactString, urgency::State>,
}

/// The addresses that a node listens on, with the assigned port where the settings contain port 0.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Accepts callers' requests.
    pub listen: net::SocketAddr,
    /// Accepts messages from other hosts.
    pub peer: net::SocketAddr,
    /// Serves readiness to the load balancer; `None` if it has no address of its own.
    pub ready: Option<net::SocketAddr>,
    /// Serves operators' pages; `None` if they have no address of their own.
    pub admin: Option<net::SocketAddr>,
    /// Accepts requests relayed by other hosts; `None` if relaying is disabled.
    pub relay: Option<net::SocketAddr>,
}

/// The shared state of one node.
#[derive(Debug)]
pub struct Shared {
    /// The settings read at start; reloaded ones are not stored here.
    pub settings: node::Settings,
    /// The wire interface that the settings select.
    pub interface: protocol::Interface,
    /// The addresses in use.
    pub addresses: Addresses,
    /// The node's clock, common to all threads.
    pub clock: time::Clock,
    /// Metrics, updated by all threads.
    pub metrics: metrics::Metrics,
    /// The bytes held, counted by all threads; `None` if the settings have no bound on memory.
    pub memory: Option<Arc<memory::Memory>>,
    /// The status last published by the control thread.
    pub status: ArcSwap<Status>,
    /// The counters last published by each lane.
    pub lane_stats: Vec<ArcSwap<traffic::summary::Stats>>,
    /// Channel to each lane.
    pub lanes: Vec<mpsc::UnboundedSender<ToLane>>,
    /// Channel to the control thread.
    pub control: mpsc::UnboundedSender<ToControl>,
    /// Notified on each change of phase; wakes tasks that wait for connections or requests.
    pub(crate) phase_changed: Notify,
    phase: AtomicU8,
    in_flight: Arc<AtomicU32>,
    open_connections: Arc<AtomicU32>,
}

impl Shared {
    /// Creates the state of a node in phase [`Phase::Starting`].
    pub fn new(
        settings: node::Settings,
        interface: protocol::Interface,
        addresses: Addresses,
        metrics: metrics::Metrics,
        lanes: Vec<mpsc::UnboundedSender<ToLane>>,
        control: mpsc::UnboundedSender<ToControl>,
    ) -> Self {
        let mut lane_stats = Vec::new();
        lane_stats.resize_with(lanes.len(), ArcSwap::default);
        let clock = time::Clock::new();
        let memory = settings.memory.map(|bound| memory::Memory::new(bound, clock.incarnation(), metrics.clone()));
        Self {
            settings,
            interface,
            addresses,
            clock,
            metrics,
            memory,
            status: ArcSwap::default(),
            lane_stats,
            lanes,
            control,
            phase_changed: Notify::new(),
            phase: AtomicU8::new(Phase::Starting as u8),
            in_flight: Arc::default(),
            open_connections: Arc::default(),
        }
    }

    /// The current lifecycle phase.
    pub fn phase(&self) -> Phase {
        Phase::from_byte(self.phase.load(Ordering::SeqCst))
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::SeqCst);
        self.phase_changed.notify_waiters();
    }

    /// Whether a view is in force, according to the published status.
    pub fn has_view(&self) -> bool {
        self.status.load().has_view
    }

    /// Number of requests that are not answered yet, from callers and relaying hosts.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Number of open connections from callers and relaying hosts.
    pub fn open_connections(&self) -> u32 {
        self.open_connections.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn track_request(&self) -> Guard {
        Guard::new(&self.in_flight)
    }

    /// Counts a connection as open until the guard is dropped, which must not be before its socket is closed.
    pub(crate) fn track_connection(&self) -> Guard {
        Guard::new(&self.open_connections)
    }
}

/// Counts one request or connection while it exists.
#[derive(Debug)]
pub(crate) struct Guard(Arc<AtomicU32>);

impl Guard {
    fn new(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(count))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
