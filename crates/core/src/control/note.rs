//! Log events about the registry, other hosts, entries and suspected requests.

use compact_str::CompactString;

use crate::{catalog, clock, plan, plan::gatherers::transition, revision, suspect, urgency::exchange, view};

/// An event for the host's log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// The registry stopped answering.
    RegistryLost {
        /// The revision of this host's copy.
        at: revision::Revision,
    },
    /// The registry answers again.
    RegistryRecovered {
        /// The revision of this host's copy.
        at: revision::Revision,
    },
    /// The registry has discarded the changes since the known revision; a full read follows.
    HistoryCompacted {
        /// The revision of this host's copy.
        at: revision::Revision,
    },
    /// The registry was restored from a backup and lost later changes; a full read follows.
    Restored {
        /// The revision of this host's copy, of an earlier era.
        at: revision::Revision,
        /// The registry's new era.
        era: u64,
    },
    /// The registry's document is older than the one in force and is not applied.
    Outdated {
        /// The catalog of the document.
        kind: catalog::Kind,
        /// The stamp of the registry's document.
        stamp: view::Stamp,
        /// The stamp in force.
        in_force: view::Stamp,
    },
    /// A full read of the registry was discarded because it is older than this host's copy.
    StaleRead {
        /// The revision of this host's copy.
        at: revision::Revision,
        /// The registry's revision on the first page of the read.
        read_at: revision::Revision,
    },
    /// Outdated contents of a restored registry are temporarily overridden.
    RestoreOverridden {
        /// Servers that were removed before the restore and are listed again; they get no requests.
        removed: Vec<CompactString>,
        /// Data centres whose evacuations are missing from the list and stay in force.
        evacuated: Vec<CompactString>,
    },
    /// A catalog was adopted from another host.
    FromPeer {
        /// Peer address of the host, `IP:PORT`.
        from: CompactString,
        /// The stamp of the catalog.
        stamp: view::Stamp,
    },
    /// New hosts were discovered.
    Joined {
        /// Names of the new hosts.
        names: Vec<CompactString>,
        /// Number of hosts known now, including this one.
        known: usize,
    },
    /// This host receives messages again after a period in which it received none.
    PartitionHealed {
        /// Duration of that period, in ms.
        silence: clock::Millis,
    },
    /// This host's standing changed, and with it its share of servers' connections.
    Standing {
        /// The new standing.
        standing: super::Standing,
        /// Number of hosts known, including this one.
        known: usize,
    },
    /// Hosts did not reply in time, and get no more requests.
    Silent {
        /// Names of the hosts.
        names: Vec<CompactString>,
    },
    /// A silent host sent a message again.
    Replied {
        /// Peer address of the host, `IP:PORT`.
        peer: CompactString,
    },
    /// Hosts were removed from the membership after a long silence.
    Forgotten {
        /// Number of hosts known now, including this one.
        known: usize,
    },
    /// An entry is missing from the list; its server still gets requests for a limited time.
    Held {
        /// Name of the server.
        server: CompactString,
        /// How long the server still gets requests, in ms.
        span: clock::Millis,
    },
    /// Held servers were not listed again in time, and get no more requests.
    HoldExpired {
        /// Names of the servers.
        servers: Vec<CompactString>,
    },
    /// Operators changed the set of evacuated data centres.
    Evacuated {
        /// All data centres that are evacuated now.
        data_centres: Vec<CompactString>,
        /// Number of servers that get no new requests because of it.
        servers: usize,
        /// The stamp of the list of hosts in force.
        stamp: view::Stamp,
    },
    /// A request was in flight on a server that died.
    Crash(suspect::Crash),
    /// The standing of a request that may crash servers changed, by evidence of this host or of another one.
    Suspect {
        /// Identifies the request's content.
        fingerprint: suspect::Fingerprint,
        /// The new standing on this host.
        standing: suspect::Standing,
        /// Number of known servers that the request was lost with.
        servers: usize,
        /// Number of known attempts of callers that contained the request.
        attempts: usize,
    },
    /// This host granted a trial of a suspected request.
    TrialGranted(suspect::Trial),
    /// A suspected request was cleared, because a server answered it or an operator released it.
    Cleared(suspect::Fingerprint),
    /// Servers got a standing or lost it since the last event of this kind.
    ServerStandings {
        /// Names of the servers that got one.
        began: Vec<CompactString>,
        /// Names of the servers that lost it.
        ended: Vec<CompactString>,
        /// Number of servers with a standing now.
        standings: usize,
    },
    /// A threshold of admission by urgency has started or ceased to reject requests.
    Urgency(exchange::Change),
    /// An entry could not be parsed and is ignored.
    Unreadable(plan::Fault),
    /// The hosts that gather for a set of shards changed.
    Gathering(transition::Gathering),
}
