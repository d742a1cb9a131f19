//! Inputs, outputs and counters of the control core.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{catalog, clock, evidence, id, invariant, plan, plan::gatherers, suspect, urgency, view};

use super::{message, mirror, note};

/// An event that the control core handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed and nothing else happened.
    Tick,
    /// The result of [`Output::ReadManifest`] or [`Output::Watch`].
    Manifest {
        /// The catalog of the manifest.
        kind: catalog::Kind,
        /// Whether it is the result of a watch.
        is_watch: bool,
        /// Text of the manifest; `None` if the platform could not be reached.
        text: Option<Arc<str>>,
    },
    /// The result of [`Output::ReadPart`].
    Part {
        /// The catalog that the part belongs to.
        kind: catalog::Kind,
        /// The key as in the request.
        key: CompactString,
        /// Text of the part; `None` if the platform could not be reached.
        text: Option<Arc<str>>,
    },
    /// The response to [`Output::List`]; `None` if the call failed.
    Page(Option<mirror::Page>),
    /// The result of [`Output::WatchRegistry`].
    Changes {
        /// The ticket of the call.
        ticket: u64,
        /// The changes, or why there are none.
        changes: mirror::Changes,
    },
    /// A message from another host.
    Peer(message::Message),
    /// A traffic core resumed after a pause of the process and needs the view confirmed.
    Revalidate,
    /// This host is draining: it finishes its requests and then stops.
    Leaving,
    /// The seeds in the settings changed; the new ones, `IP:PORT`.
    Seeds(Vec<CompactString>),
    /// A request was in flight on a server that died.
    Crashed(suspect::Crash),
    /// A server answered a request that is suspected of crashing servers.
    Cleared(suspect::Fingerprint),
    /// A lane requests a trial: permission to send an attempt of a suspected request.
    RequestTrial(suspect::Trial),
    /// A granted trial has ended without reaching a server.
    TrialUnused(suspect::Trial),
    /// An operator cleared a suspected request on this host.
    Release(suspect::Fingerprint),
    /// A lane reports results of attempts at backend servers that deviate from the usual or have a standing.
    Observed(Vec<evidence::Sample>),
    /// The rate of gathers that callers send to a lane changed.
    Demand {
        /// Index of the lane.
        lane: u32,
        /// The new rate.
        demand: gatherers::Demand,
    },
    /// A lane's measurements for admission by urgency.
    Urgency(urgency::Report),
}

/// An action for the shell to perform.
#[derive(Clone, Debug)]
pub enum Output {
    /// Read a manifest of the platform.
    ReadManifest(catalog::Kind),
    /// Wait until the platform's manifest has another version than `after`.
    Watch {
        /// The catalog of the manifest.
        kind: catalog::Kind,
        /// The version in force on this host; 0 if there is none.
        after: u64,
    },
    /// Read a part from the platform.
    ReadPart {
        /// The catalog that the part belongs to.
        kind: catalog::Kind,
        /// The key under which the manifest lists the part.
        key: CompactString,
    },
    /// Read a page of a full read of the registry.
    List {
        /// The last key of the previous page; `None` for the first page.
        after: Option<CompactString>,
    },
    /// Request changes from the registry. A previous call of this kind that is still in flight is cancelled.
    WatchRegistry {
        /// Identifies the call; returned with [`Input::Changes`].
        ticket: u64,
        /// The revision up to which this host has all changes.
        after: u64,
        /// How long the registry may wait for a change before it answers, in ms.
        wait: clock::Millis,
        /// Timeout of the call, counted from the end of `wait`, in ms.
        timeout: clock::Millis,
    },
    /// Log an event.
    Note(note::Note),
    /// Send a message to another host.
    Send {
        /// Peer address of the host, `IP:PORT`.
        to: CompactString,
        /// Whether the host is known to accept compressed messages.
        compress: bool,
        /// The message, uncompressed.
        message: message::Message,
    },
    /// Close the connection, if any, to a host that did not reply; the next message opens a new one. A connection
    /// whose bytes were held up by a network partition stays stuck long after the partition heals.
    Reconnect {
        /// Peer address of the host, `IP:PORT`.
        to: CompactString,
    },
    /// A newer view is in force.
    View(Arc<view::View>),
    /// The new standings of requests that may crash servers; they replace all earlier ones.
    Suspects(Arc<IndexMap<suspect::Fingerprint, suspect::Standing>>),
    /// The new standings of backend servers that deviate from the usual; they replace all earlier ones.
    Evidence(Arc<IndexMap<id::Server, evidence::Standing>>),
    /// The thresholds in force by set of servers; they replace all earlier ones.
    Urgency(Arc<IndexMap<CompactString, urgency::State>>),
    /// The attempt that requested a trial with [`Input::RequestTrial`] may be sent.
    TrialGranted(suspect::Trial),
    /// The view was confirmed after [`Input::Revalidate`].
    Revalidated,
    /// A document was refused; the last valid one stays in force.
    Refused {
        /// The catalog of the document.
        kind: catalog::Kind,
        /// The stamp of the refused version.
        stamp: view::Stamp,
        /// All faults found, not only the first.
        faults: Vec<plan::Fault>,
    },
    /// Log and count a violated invariant.
    Breach(invariant::Breach),
}

/// Counters since the process started, except where a field is a current value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stats {
    /// Reads and watches of the platform.
    pub platform_calls: u64,
    /// Reads and watches that the platform did not answer.
    pub platform_failures: u64,
    /// Responses of the platform that were older than the catalog in force or the copy of the registry.
    pub platform_stale: u64,
    /// Messages sent to other hosts.
    pub sent: u64,
    /// Messages received from other hosts.
    pub received: u64,
    /// Messages of a newer protocol version than this host supports.
    pub unknown: u64,
    /// Catalog versions adopted, of both kinds.
    pub adopted: u64,
    /// Catalog versions refused, of both kinds.
    pub refused: u64,
    /// Requests that may crash servers, now.
    pub suspects: u64,
    /// Of these, the ones that were lost with several servers.
    pub held: u64,
    /// Of these, the ones that are known to crash servers.
    pub convicted: u64,
    /// Opinions on backend servers that are held, of this host and of others, now.
    pub opinions: u64,
    /// Servers with a standing, now.
    pub standings: u64,
    /// Opinions of other hosts that were new.
    pub evidence_merged: u64,
    /// Updates with opinions sent to other hosts.
    pub evidence_sent: u64,
    /// Maximum size of these together, in bytes.
    pub evidence_bytes: u64,
    /// Times that the set of evacuated data centres changed.
    pub evacuations: u64,
    /// Entries in the list of hosts in force, now.
    pub entries: u64,
    /// Servers in the view except entry hosts, now.
    pub servers: u64,
    /// Of these, the ones that are missing from the list of hosts and still get requests.
    pub servers_held: u64,
    /// Times that the gathering hosts of a set of shards changed.
    pub gatherer_changes: u64,
    /// Hosts that gather, now; of the set of shards with most of them. 0 if they are not chosen by demand.
    pub gatherers: u64,
    /// The gathers that callers send to this host, as published to other hosts.
    pub demand: gatherers::Demand,
}
