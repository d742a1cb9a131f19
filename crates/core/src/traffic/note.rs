//! Decisions to log: those that affect a request beyond its first attempts, or change the state of a server.

use compact_str::CompactString;

use crate::{clock, id, suspect};

use super::{event, repeats};

/// A decision, with its inputs.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// Another attempt was sent for a shard.
    Extra {
        /// The caller of the request.
        caller: id::Caller,
        /// Name of the shard.
        shard: CompactString,
        /// Name of the server that receives the attempt.
        server: CompactString,
        /// Reason for the attempt.
        cause: Cause,
        /// Time since the request arrived.
        after: clock::Millis,
    },
    /// An attempt was sent of a request that is suspected of crashing servers.
    Suspect {
        /// The caller of the request.
        caller: id::Caller,
        /// Fingerprint of the request.
        fingerprint: suspect::Fingerprint,
        /// Name of the shard.
        shard: CompactString,
        /// Name of the server that receives the attempt.
        server: CompactString,
        /// Whether the attempt is a trial.
        is_trial: bool,
    },
    /// Another attempt was due, but the budget has no token.
    Denied {
        /// The caller of the request.
        caller: id::Caller,
        /// Name of the shard.
        shard: CompactString,
        /// Reason for the attempt.
        cause: Cause,
    },
    /// Queries were ended because they could not reach their least coverage.
    Hopeless {
        /// The caller of the last of them.
        caller: id::Caller,
        /// The numbers that decided.
        shortfall: repeats::Shortfall,
        /// Time since its request arrived.
        after: clock::Millis,
        /// Number of these queries since the previous note.
        count: u64,
    },
    /// An attempt failed.
    Failed {
        /// The caller of the request; `None` if it has already been answered.
        caller: Option<id::Caller>,
        /// Name of the server.
        server: CompactString,
        /// How the attempt ended.
        end: event::Reply,
        /// Time since the attempt was sent.
        took: clock::Millis,
    },
    /// New queries avoid a server because attempts there got no reply.
    Silent {
        /// Name of the server.
        server: CompactString,
        /// Time since the attempt was sent.
        silent_for: clock::Millis,
        /// How long the server is avoided.
        pause: clock::Millis,
    },
    /// A server was ejected after several consecutive failures.
    Ejected {
        /// Name of the server.
        server: CompactString,
        /// Duration of the ejection.
        pause: clock::Millis,
    },
    /// Servers were taken out of use because other hosts agree that they deviate from the usual.
    OutOfUse {
        /// Names of the first of them.
        servers: Vec<CompactString>,
        /// Number of all of them.
        count: usize,
    },
    /// Servers that other hosts' observations took out of use are used again.
    BackInUse {
        /// Names of the first of them.
        servers: Vec<CompactString>,
        /// Number of all of them.
        count: usize,
    },
    /// An ejected server answers again.
    Restored {
        /// Name of the server.
        server: CompactString,
    },
    /// The process was suspended for a while.
    Paused {
        /// Time between the two steps around the pause.
        gap: clock::Millis,
        /// Number of queries whose deadline passed during the pause.
        expired: usize,
    },
    /// A newer view took effect.
    View {
        /// Number of servers in the view.
        servers: usize,
        /// Number of these that are leaving.
        leaving: usize,
        /// Number of these in evacuated data centres.
        evacuated: usize,
    },
}

/// Reason for another attempt at a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The earlier attempt has been silent for longer than most take.
    Silence,
    /// The server refused or failed, or the outcome is unknown and the request is idempotent.
    Failure,
    /// Replies are from different snapshots.
    Snapshot,
}

impl Cause {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Silence => "silence",
            Self::Failure => "failure",
            Self::Snapshot => "snapshot",
        }
    }
}
