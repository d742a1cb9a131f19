//! Reasons why an answer is incomplete or late, for the log and for explaining it to a caller.

use std::fmt;

use compact_str::CompactString;

use crate::{clock, suspect, urgency};

use super::repeats;

/// Maximum number of shards listed by name; the rest is counted.
const MAX_LISTED: usize = 4;

/// The inputs of a decision to refuse or end a request, or the shards that were still pending.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Why {
    /// No detail beyond the code.
    #[default]
    CodeOnly,
    /// Too few shards have a server that takes new work.
    Closed {
        /// Number of shards that have one.
        open: usize,
        /// Total number of shards.
        shards: usize,
        /// Shards without one, with the state of each of their servers.
        closed: Vec<Closed>,
    },
    /// Too many requests of the class are running or queued.
    Queue {
        /// Number of running requests.
        running: u32,
        /// Maximum number of running requests.
        limit: u32,
        /// Number of queued requests.
        waiting: usize,
        /// Expected wait of a new request.
        wait: clock::Millis,
        /// 90th percentile of run times.
        run: clock::Millis,
        /// The caller's timeout.
        timeout: clock::Millis,
    },
    /// It was queued for too long.
    Waited {
        /// Time spent in the queue.
        wait: clock::Millis,
        /// Median run time.
        run: clock::Millis,
        /// Remaining time until the deadline.
        remaining: clock::Millis,
    },
    /// The servers have too little capacity for an answer in time.
    Busy {
        /// Expected wait for capacity at the servers that are needed.
        wait: clock::Millis,
        /// 80th percentile of attempt times.
        attempt: clock::Millis,
        /// Remaining time until the answer is due.
        remaining: clock::Millis,
    },
    /// The servers have too little capacity for requests of this urgency.
    Urgency {
        /// The request's level.
        level: urgency::Level,
        /// The threshold in force.
        threshold: urgency::Threshold,
        /// Time over which rejected callers are told to come back.
        drain: clock::Millis,
    },
    /// The caller's timeout is too short.
    ShortTimeout {
        /// The caller's timeout.
        timeout: clock::Millis,
    },
    /// The process was suspended, and its view has not been confirmed since.
    Paused {
        /// Time since the process resumed.
        since_resume: clock::Millis,
    },
    /// The request crashed servers and is not run for a while.
    Crashes {
        /// Fingerprint of the request.
        fingerprint: suspect::Fingerprint,
        /// Time until it may be tried again.
        retry_after: clock::Millis,
    },
    /// Too few of its shards could still answer.
    Hopeless(repeats::Shortfall),
    /// Attempts without a reply when the answer was sent.
    Silent(Vec<Silent>),
    /// The shard that was answered last.
    Last {
        /// Name of the shard.
        shard: CompactString,
        /// Name of the server that answered.
        server: CompactString,
        /// Time from the request's arrival to the attempt.
        sent_after: clock::Millis,
        /// Time from the attempt to the end of the query.
        took: clock::Millis,
    },
}

/// A shard without a server that takes new work.
#[derive(Clone, Debug, PartialEq)]
pub struct Closed {
    /// Name of the shard.
    pub shard: CompactString,
    /// Its servers, each with the reason why it takes no new work.
    pub servers: Vec<(CompactString, &'static str)>,
}

/// A shard that was still pending.
#[derive(Clone, Debug, PartialEq)]
pub struct Silent {
    /// Name of the shard.
    pub shard: CompactString,
    /// Name of the server; empty if the shard waited for capacity at one.
    pub server: CompactString,
    /// Time since the attempt was sent, or since the request's arrival if none was.
    pub elapsed: clock::Millis,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CodeOnly => Ok(()),
            Self::Closed { open, shards, closed } => {
                write!(f, "{open} of {shards} shards have a server")?;
                for entry in closed.iter().take(MAX_LISTED) {
                    write!(f, "; {}:", entry.shard)?;
                    if entry.servers.is_empty() {
                        write!(f, " none is listed")?;
                    }
                    for (server, state) in entry.servers.iter().take(MAX_LISTED) {
                        write!(f, " {server} {state}")?;
                    }
                }
                write_omitted(f, closed.len())
            }
            Self::Queue { running, limit, waiting, wait, run, timeout } => {
                write!(
                    f,
                    "{running} of {limit} run, {waiting} wait for about {wait}, a run takes {run}, the caller gives {timeout}"
                )
            }
            Self::Waited { wait, run, remaining } => {
                write!(f, "waited {wait}, a run takes {run}, {remaining} are left")
            }
            Self::Busy { wait, attempt, remaining } => {
                write!(f, "servers have room in about {wait}, an attempt takes {attempt}, {remaining} are left")
            }
            Self::Urgency { level, threshold, drain } => {
                let (level, threshold) = (level.get(), threshold.get());
                write!(f, "level {level:.1} is above the threshold {threshold:.1}, servers have room in about {drain}")
            }
            Self::ShortTimeout { timeout } => write!(f, "the caller gives {timeout}"),
            Self::Paused { since_resume } => {
                write!(f, "the process went on {since_resume} ago, and its view is not confirmed")
            }
            Self::Crashes { fingerprint, retry_after } => {
                write!(f, "request {fingerprint} is not run for {retry_after}")
            }
            Self::Hopeless(shortfall) => write!(f, "{shortfall}"),
            Self::Last { shard, server, sent_after, took } => {
                write!(f, "the last part was {shard} from {server}, asked after {sent_after}, which took {took}")
            }
            Self::Silent(silent) => {
                for (index, entry) in silent.iter().take(MAX_LISTED).enumerate() {
                    let comma = if index > 0 { ", " } else { "" };
                    let server = if entry.server.is_empty() { "room" } else { &entry.server };
                    write!(f, "{comma}{} waits for {server} since {}", entry.shard, entry.elapsed)?;
                }
                write_omitted(f, silent.len())
            }
        }
    }
}

fn write_omitted(f: &mut fmt::Formatter<'_>, count: usize) -> fmt::Result {
    match count.checked_sub(MAX_LISTED) {
        None | Some(0) => Ok(()),
        Some(omitted) => write!(f, "; and {omitted} more"),
    }
}
