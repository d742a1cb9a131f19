//! What the threads of a node show each other outside the way of a query.

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
use shallothub_core::{clock, control, plan, suspect, traffic, view};
use shallothub_settings::node;
use shallothub_wire::protocol;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::{metrics, time};

/// Where a node is in its life, for the threads that only look.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[repr(u8)]
pub enum Phase {
    /// No view yet.
    Starting,
    /// Serving.
    Ready,
    /// Not ready to the balancer, still accepting.
    Draining,
    /// Not accepting; finishing what is in flight.
    Closing,
    /// Nothing in flight.
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

/// A word to a traffic lane.
#[derive(Debug)]
pub enum ToLane {
    /// A newer view is in force.
    View(Arc<view::View>),
    /// The view was confirmed after a pause.
    Revalidated,
    /// What this host does from now on with requests that may crash servers.
    Suspects(Arc<IndexMap<suspect::Fingerprint, suspect::Standing>>),
    /// An attempt of a request that is suspected may be sent.
    Granted(suspect::Trial),
    /// What became of a query.
    Explain(CompactString, oneshot::Sender<Option<String>>),
}

/// A word to the control thread.
#[derive(Debug)]
pub enum ToControl {
    /// A message of another host.
    Peer(Vec<u8>),
    /// An input from a task of the control thread.
    Input(control::Input),
    /// A lane woke from a pause.
    Revalidate,
    /// The node is asked to stop.
    Leaving,
    /// The settings name other hosts to ask.
    Seeds(Vec<CompactString>),
    /// Why servers are reached by a selector or not.
    Explain(CompactString, oneshot::Sender<Option<Vec<(CompactString, plan::Reason)>>>),
}

/// A node's state, for operators. Published by the control thread.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// The host's name.
    pub host: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Configuration in force, `VERSION-DIGEST`.
    pub config: CompactString,
    /// List of hosts in force.
    pub hosts: CompactString,
    /// Time since the platform was last known to have no newer configuration.
    pub config_age_ms: Option<clock::Millis>,
    /// The same for the list of hosts.
    pub hosts_age_ms: Option<clock::Millis>,
    /// Whether this host watches the platform.
    pub watcher: bool,
    /// The last document that was refused, and why.
    pub refused: Vec<CompactString>,
    /// Counters of the control core.
    pub control: control::Stats,
    /// Whether a view is in force.
    pub has_view: bool,
    /// Other hosts that this one knows from hosts, and what they do.
    pub members: Vec<(CompactString, control::message::State)>,
    /// Selectors in force.
    pub classes: Vec<CompactString>,
    /// Data centres that are evacuated, by the list of hosts and the configuration in force.
    pub evacuated: Vec<CompactString>,
    /// Requests that may crash servers.
    pub suspects: Vec<suspect::Record>,
}

/// Where a node listens, with the ports that were given out where the settings say 0.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub listen: net::SocketAddr,
    /// For messages of other hosts.
    pub peer: net::SocketAddr,
    /// For the balancer, if apart.
    pub ready: Option<net::SocketAddr>,
    /// For operators, if apart.
    pub admin: Option<net::SocketAddr>,
    /// For requests of other hosts, if it takes them.
    pub relay: Option<net::SocketAddr>,
}

/// See the module.
#[derive(Debug)]
pub struct Shared {
    /// The node's settings.
    pub settings: node::Settings,
    /// The interface that it speaks.
    pub interface: protocol::Interface,
    /// Where it listens.
    pub addresses: Addresses,
    /// Where times are counted from.
    pub origin: time::Origin,
    /// Metrics of all threads.
    pub metrics: metrics::Metrics,
    /// The control thread's latest state.
    pub status: ArcSwap<Status>,
    /// The lanes' latest counters.
    pub lane_stats: Vec<ArcSwap<traffic::summary::Stats>>,
    /// Words to the lanes.
    pub lanes: Vec<mpsc::UnboundedSender<ToLane>>,
    /// Words to the control thread.
    pub control: mpsc::UnboundedSender<ToControl>,
    /// Wakes whoever waits for a caller when the node closes.
    pub(crate) closing: Notify,
    phase: AtomicU8,
    in_flight: AtomicU32,
}

impl Shared {
    /// State of a node that starts.
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
        Self {
            settings,
            interface,
            addresses,
            origin: time::Origin::new(),
            metrics,
            status: ArcSwap::default(),
            lane_stats,
            lanes,
            control,
            closing: Notify::new(),
            phase: AtomicU8::new(Phase::Starting as u8),
            in_flight: AtomicU32::new(0),
        }
    }

    /// Where the node is in its life.
    pub fn phase(&self) -> Phase {
        Phase::from_byte(self.phase.load(Ordering::SeqCst))
    }

    pub(crate) fn enter(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::SeqCst);
        self.closing.notify_waiters();
    }

    /// Whether a view is in force.
    pub fn has_view(&self) -> bool {
        self.status.load().has_view
    }

    /// Callers' requests that are not answered yet.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a caller's request until the guard is dropped.
    pub(crate) fn enter_request(self: &Arc<Self>) -> Guard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Guard(Arc::clone(self))
    }
}

/// A caller's request that is not answered yet.
#[derive(Debug)]
pub(crate) struct Guard(Arc<Shared>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
