//! Events that change what a host believes of the registry, of other hosts or of entries, for its log.

use compact_str::CompactString;

use crate::{catalog, clock, plan, revision, suspect, view};

/// An event.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// The registry does not answer any more.
    SourceLost {
        /// The revision that is known.
        at: revision::Revision,
    },
    /// The registry answers again.
    SourceBack {
        /// The revision that is known.
        at: revision::Revision,
    },
    /// The registry forgot the changes since the known revision; it is read whole.
    HistoryGone {
        /// The revision that is known.
        at: revision::Revision,
    },
    /// The registry was restored from a backup and lost later changes; it is read whole.
    Restored {
        /// The revision that is known, of an earlier era.
        at: revision::Revision,
        /// The era of the registry.
        era: u64,
    },
    /// The registry's document is older than the one in force and is not applied.
    Outdated {
        /// Which catalog.
        kind: catalog::Kind,
        /// The stamp of the registry's document.
        stamp: view::Stamp,
        /// The stamp in force.
        in_force: view::Stamp,
    },
    /// A whole read of the registry was discarded because it is older than the known revision.
    StaleRead {
        /// The revision that is known.
        at: revision::Revision,
        /// The registry's revision on the first page of the read.
        read_at: revision::Revision,
    },
    /// Outdated contents of a restored registry are temporarily overridden.
    RestoreOverridden {
        /// Servers that were removed before the restore and are listed again; they get no work.
        removed: Vec<CompactString>,
        /// Data centres whose evacuations are missing from the list and stay in force.
        evacuated: Vec<CompactString>,
    },
    /// A catalog came from another host.
    FromPeer {
        /// `IP:PORT` of the host.
        from: CompactString,
        /// Which one.
        stamp: view::Stamp,
    },
    /// Other hosts were heard of for the first time.
    Joined {
        /// Their names.
        names: Vec<CompactString>,
        /// Hosts known now, this one included.
        known: usize,
    },
    /// This host hears from others again after a while in which it heard from none.
    CutOff {
        /// How long it heard nothing.
        silence: clock::Millis,
    },
    /// This host's standing changed, and with it its share of servers' connections.
    Standing {
        /// What it is now.
        standing: super::Standing,
        /// Hosts known, this one included.
        known: usize,
    },
    /// Hosts do not reply, and get no more work.
    Silent {
        /// Their names.
        names: Vec<CompactString>,
    },
    /// A host that was silent says something again.
    Replies {
        /// Its `IP:PORT` for other hosts.
        peer: CompactString,
    },
    /// Hosts were silent for so long that they no longer count.
    Forgotten {
        /// Hosts known now, this one included.
        known: usize,
    },
    /// An entry is missing from the list, and its server still gets work for a while.
    Held {
        /// The server.
        server: CompactString,
        /// For how long.
        span: clock::Millis,
    },
    /// Servers are missing from the list for too long.
    Gone {
        /// Their names.
        servers: Vec<CompactString>,
    },
    /// Operators evacuated data centres, or took it back.
    Evacuated {
        /// The data centres that are evacuated now.
        data_centres: Vec<CompactString>,
        /// Servers that get no new work because of it.
        servers: usize,
        /// The list of hosts that says so.
        stamp: view::Stamp,
    },
    /// A request was lost with a server that died.
    Crash(suspect::Crash),
    /// What this host does with a request that may crash servers changed, by its own evidence or another host's word.
    Suspect {
        /// What is asked.
        fingerprint: suspect::Fingerprint,
        /// What this host does with it.
        standing: suspect::Standing,
        /// Servers that it was lost with, as far as they are named.
        servers: usize,
        /// Callers' attempts in which it was, as far as they are named.
        attempts: usize,
    },
    /// This host granted a trial of a request that is suspected.
    Trial(suspect::Trial),
    /// A request that was suspected of crashing servers was answered by one, or an operator let it go.
    Cleared(suspect::Fingerprint),
    /// An entry cannot be read and is left out.
    Unreadable(plan::Fault),
}
