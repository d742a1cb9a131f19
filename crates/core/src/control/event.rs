//! What goes into the control core and what comes out, and what it counts.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{catalog, clock, invariant, plan, suspect, view};

use super::{message, mirror, note};

/// Something that happened outside.
#[derive(Clone, Debug)]
pub enum Input {
    /// Only time passed.
    Tick,
    /// The platform answered a read or a watch of a manifest; `None` if it could not be reached.
    Manifest {
        /// Which.
        kind: catalog::Kind,
        /// Whether it answers a watch.
        watched: bool,
        /// Its text.
        text: Option<Arc<str>>,
    },
    /// The platform answered a read of a part.
    Part {
        /// Which catalog it was read for.
        kind: catalog::Kind,
        /// Its key.
        key: CompactString,
        /// Its text.
        text: Option<Arc<str>>,
    },
    /// The answer to [`Output::List`]; `None` if there was none.
    Page(Option<mirror::Page>),
    /// The answer to [`Output::Follow`].
    Changes {
        /// Which call.
        ticket: u64,
        /// What came of it.
        changes: mirror::Changes,
    },
    /// Another host says something.
    Peer(message::Message),
    /// A traffic core woke from a pause.
    Revalidate,
    /// This host finishes what it has and goes.
    Leaving,
    /// The settings name other hosts to ask.
    Seeds(Vec<CompactString>),
    /// A request was lost with a server that died.
    Crashed(suspect::Crash),
    /// A server answered a request that is suspected of crashing servers.
    Cleared(suspect::Fingerprint),
    /// A lane has an attempt of a request that is suspected.
    AskTrial(suspect::Trial),
    /// A trial that was granted has ended and reached no server.
    TrialUnused(suspect::Trial),
    /// An operator lets such a request go on this host.
    Release(suspect::Fingerprint),
}

/// Something for the shell to do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Read a manifest of the platform.
    ReadManifest(catalog::Kind),
    /// Wait until the platform's manifest has another version than `after`.
    Watch {
        /// Which.
        kind: catalog::Kind,
        /// The version that is known.
        after: u64,
    },
    /// Read a part.
    ReadPart {
        /// For which catalog.
        kind: catalog::Kind,
        /// Its key.
        key: CompactString,
    },
    /// Read a page of the whole registry.
    List {
        /// The key after which it begins; `None` for the first page.
        after: Option<CompactString>,
    },
    /// Ask the registry for changes. A call of this kind that is still on its way is given up.
    Follow {
        /// To be given back with the answer.
        ticket: u64,
        /// The revision that is known.
        after: u64,
        /// How long the registry may wait for a change, in ms.
        wait: clock::Millis,
        /// Time after the wait at which a call that is not answered is given up, in ms.
        patience: clock::Millis,
    },
    /// Log an event that changes what this host believes.
    Note(note::Note),
    /// Send a message to the host that listens at `to`.
    Send {
        /// `IP:PORT`.
        to: CompactString,
        /// Whether that host is known to read packed messages.
        packs: bool,
        /// What.
        message: message::Message,
    },
    /// Give up the connection to a host that did not reply, if there is one; the next message opens
    /// another. One on which bytes were held up by a cut stays stuck for long after it heals.
    Reconnect {
        /// `IP:PORT`.
        to: CompactString,
    },
    /// A newer view is in force.
    View(Arc<view::View>),
    /// What this host does from now on with requests that may crash servers.
    Suspects(Arc<IndexMap<suspect::Fingerprint, suspect::Standing>>),
    /// The attempt that asked for it with [`Input::AskTrial`] may be sent.
    Granted(suspect::Trial),
    /// The view was confirmed after [`Input::Revalidate`].
    Revalidated,
    /// A document was refused; the last good one stays in force.
    Refused {
        /// Which catalog.
        kind: catalog::Kind,
        /// What would have been adopted.
        stamp: view::Stamp,
        /// Every fault.
        faults: Vec<plan::Fault>,
    },
    /// Log and count a promise that did not hold.
    Breach(invariant::Breach),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stats {
    /// Reads and watches of the platform.
    pub platform_calls: u64,
    /// Reads and watches that it did not answer.
    pub platform_failures: u64,
    /// Answers of the platform that were older than what is in force.
    pub platform_stale: u64,
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    pub received: u64,
    /// Messages that this node does not understand.
    pub unknown: u64,
    /// Catalogs adopted.
    pub adopted: u64,
    /// Catalogs refused.
    pub refused: u64,
    /// Requests that may crash servers.
    pub suspects: u64,
    /// Of these, the ones that were lost with several servers.
    pub held: u64,
    /// Of these, the ones that crash servers.
    pub convicted: u64,
    /// Times that other data centres than before were evacuated.
    pub evacuations: u64,
    /// Entries in the list of hosts in force, now.
    pub entries: u64,
    /// Servers in the view except entry hosts, now.
    pub servers: u64,
    /// Of these, the ones that are missing from the list of hosts and held.
    pub servers_held: u64,
}
