//! Inputs and outputs of a traffic core.

use std::{fmt, sync::Arc};

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{clock, evidence, id, invariant, plan::gatherers, suspect, urgency, view};

use super::{gather::RETRY_AFTER, note, why};

/// An event for the core to process.
#[derive(Clone, Debug)]
pub enum Input {
    /// A newer view took effect.
    View(Arc<view::View>),
    /// A caller sent a request.
    Request(Request),
    /// A dispatched attempt ended.
    Reply {
        /// The id from its [`Dispatch`].
        attempt: id::Attempt,
        /// The result.
        reply: Reply,
    },
    /// The caller closed its connection and will not read an answer.
    HangUp(id::Caller),
    /// The new policy for requests that may crash servers; replaces the previous one.
    Suspects(Arc<IndexMap<suspect::Fingerprint, suspect::Standing>>),
    /// The new standings of backend servers that deviate from the usual; they replace all earlier ones.
    Evidence(Arc<IndexMap<id::Server, evidence::Standing>>),
    /// The thresholds in force by set of servers; they replace all earlier ones.
    Urgency(Arc<IndexMap<CompactString, urgency::State>>),
    /// A trial requested with [`Output::RequestTrial`] was granted.
    TrialGranted(suspect::Trial),
    /// The result of [`Output::Probe`].
    Probed {
        /// The probed server.
        server: id::Server,
        /// Whether it accepted the connection.
        liveness: Liveness,
    },
    /// The control core confirmed the view after [`Output::Revalidate`].
    Revalidated,
    /// No event; the step only runs due timers.
    Tick,
}

/// The state of a server as determined by opening a connection to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It accepts connections.
    Listening,
    /// The connection was refused: no process listens at its address.
    Dead,
    /// The connection attempt had another result, or no connection was available for it.
    Unknown,
}

/// A caller's request, without its body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The shell's handle, to which the answer is sent.
    pub caller: id::Caller,
    /// Name of the selector.
    pub class: CompactString,
    /// Time from now until the caller gives up; `None` for the selector's deadline, which also bounds it.
    pub timeout: Option<clock::Millis>,
    /// The request key. Non-idempotent requests that share a key run at most once.
    pub key: Option<CompactString>,
    /// Set if another host relayed the request to be gathered here.
    pub relayed: Option<Relayed>,
    /// Fingerprint of the request's content; `None` if crashes are not tracked for it.
    pub fingerprint: Option<suspect::Fingerprint>,
}

/// The parameters that a host sends along with a request that it relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Relayed {
    /// Time from now after which the answer is sent without the shards that have not replied.
    pub settle: Option<clock::Millis>,
    /// The attempt number of a granted trial; `None` if the request is not a trial.
    pub trial: Option<u64>,
}

/// The result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The server ran it and its complete answer was received.
    Answered(Part),
    /// The server ran it and reported a failure, which can be forwarded to the caller.
    Failed,
    /// The server refused it before running it.
    Refused {
        /// Time from now after which the server accepts a retry; `None` if it gave none.
        retry_after: Option<clock::Millis>,
    },
    /// Another server now has the address and did not run the request.
    Misdirected,
    /// The server knows the request key: the request is running or ran, perhaps through another host.
    Duplicate,
    /// It is proven that no byte of it reached the server.
    NotSent,
    /// No usable reply; the attempt may or may not have run.
    Lost(Loss),
}

impl Reply {
    /// The name of the result in log lines.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed => "failed",
            Self::Refused { .. } => "refused",
            Self::Misdirected => "misdirected",
            Self::Duplicate => "duplicate",
            Self::NotSent => "not_sent",
            Self::Lost(_) => "lost",
        }
    }

    /// Further details for log lines, if there are any.
    pub fn detail(&self) -> Option<&'static str> {
        match self {
            Self::Lost(loss) => Some(loss.as_str()),
            Self::NotSent => Some("no connection could be opened, or it closed before anything was sent"),
            _ => None,
        }
    }
}

/// The reason why the result of a sent attempt is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The connection broke before the complete answer was received.
    Broken,
    /// The answer belongs to another request.
    Mismatched,
    /// The answer contains neither a result nor a statement that the attempt did not run.
    Unusable,
    /// The answer's signature is missing or malformed, so that nothing shows that the answer is the server's.
    Unsigned,
    /// The server sent more bytes than a reply may have.
    TooLarge,
    /// The server restarted, so its previous incarnation can no longer answer.
    Restarted,
}

impl Loss {
    /// A description for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "the connection broke before the whole answer was here",
            Self::Mismatched => "the answer belongs to another request",
            Self::Unusable => "the answer is invalid",
            Self::Unsigned => "the answer's signature is missing or malformed",
            Self::TooLarge => "the server sent more bytes than a reply may have",
            Self::Restarted => "the server restarted before it answered",
        }
    }
}

/// One shard's answer without its body, which the shell keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The index snapshot from which it was computed.
    pub snapshot: view::Snapshot,
    /// Another snapshot that the server still holds, if it reports one.
    pub held: Option<view::Snapshot>,
    /// Number of hits in the answer.
    pub hits: u32,
    /// Requests running or queued at the server, if it reports them.
    pub load: Option<u32>,
    /// The queued ones among these, if it reports them.
    pub queue: Option<u32>,
}

/// An action for the shell; actions must be executed in order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send an attempt to a server.
    Dispatch(Dispatch),
    /// Cancel an attempt and close its connection; a later reply is ignored.
    Cancel {
        /// The id from its [`Dispatch`].
        attempt: id::Attempt,
    },
    /// Send a caller the single answer to its request.
    Answer(Answer),
    /// Route a request again under the view in force, as a new [`Input::Request`] of the same caller. It was sent to no
    /// server, and its class is gone.
    Reroute {
        /// The caller, which has no answer yet.
        caller: id::Caller,
        /// Time from now until the caller gives up.
        timeout: clock::Millis,
        /// Time since the request arrived.
        waited: clock::Millis,
    },
    /// Limit the connections to a server, because this core's share of them changed.
    Trim {
        /// The server whose connections are limited.
        server: id::Server,
        /// Maximum number of connections, idle and in use.
        limit: u32,
    },
    /// Request confirmation from the control core that the view is still current.
    Revalidate,
    /// Report a request that was lost at a server that crashed.
    Crashed(suspect::Crash),
    /// Report that a server answered a suspected request.
    Cleared(suspect::Fingerprint),
    /// Request a trial, which permits an attempt of a suspected request; [`Input::TrialGranted`] grants it.
    RequestTrial(suspect::Trial),
    /// Report measurements that thresholds are decided from.
    Urgency(urgency::Report),
    /// Report that a granted trial ended without reaching a server.
    TrialUnused(suspect::Trial),
    /// Open a connection to a server without sending anything, to check whether it is alive. It occupies one of this
    /// lane's connections until [`Input::Probed`].
    Probe {
        /// The server to probe.
        server: id::Server,
        /// Its address, `IP:PORT`.
        address: CompactString,
    },
    /// Report results of attempts at servers that deviate from the usual or have a standing.
    Observed(Vec<evidence::Sample>),
    /// Report that the step of the rate of gathers from callers changed; at most once a second.
    Demand {
        /// Index of this lane.
        lane: u32,
        /// The new rate.
        demand: gatherers::Demand,
    },
    /// Log and count the violation of an invariant.
    Breach(invariant::Breach),
    /// Log a decision.
    Note(note::Note),
}

/// An attempt to send.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The id for its [`Input::Reply`].
    pub attempt: id::Attempt,
    /// The query that it belongs to.
    pub query: id::Query,
    /// The caller whose request body is sent.
    pub caller: id::Caller,
    /// The destination.
    pub server: id::Server,
    /// The destination's name.
    pub name: CompactString,
    /// The destination's address, `IP:PORT`.
    pub address: CompactString,
    /// Name of the requested shard.
    pub shard: CompactString,
    /// The request key, by which the server rejects duplicates.
    pub key: Option<CompactString>,
    /// The time after which the answer is useless; the server must not start the request later.
    pub deadline: clock::Millis,
    /// Partition epoch to which the shard's name belongs.
    pub epoch: u64,
    /// The snapshot to answer from, if the server still holds it.
    pub want: Option<view::Snapshot>,
    /// The format of the answer to the caller.
    pub shape: view::Shape,
    /// Set if the server is another host that gathers on behalf of this one.
    pub relayed: Option<Relayed>,
    /// Whether the request may run twice. If not, connections that have been idle for long are not
    /// reused: one that has gone stale would risk an unknown outcome.
    pub idempotent: bool,
}

/// Whether a request ran, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran and was answered.
    Answered,
    /// It did not run on any shard.
    NotRun,
    /// It may have run on some shards.
    Unknown,
}

impl Outcome {
    /// The name of the outcome in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The reason for a request's outcome; a stable code in answers, logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// Every shard contributed, or enough hits were found.
    Ok,
    /// The least coverage was met, but some shards are missing.
    Partial,
    /// No selector has this name, or no route matches.
    UnknownClass,
    /// The host has no configuration yet.
    Starting,
    /// The request's timeout is too short to do any work.
    DeadlinePassed,
    /// Too many shards have no server that accepts new requests.
    NoReplica,
    /// The class is at its limit, and the request could not be served in time if queued.
    Overloaded,
    /// Its deadline passed while it was queued.
    Expired,
    /// The query has a single shard, whose server did not answer in time.
    TimedOut,
    /// Fewer shards answered than the least coverage requires.
    InsufficientCoverage,
    /// The data was repartitioned while it ran.
    Repartitioned,
    /// The process resumed after a pause, and its view is not yet confirmed.
    Revalidating,
    /// A request with this key is running or ran.
    DuplicateKey,
    /// Its only attempt ended with an unknown result.
    AttemptLost,
    /// The server ran it and failed; its own answer is forwarded.
    ServerFailed,
    /// The host to which it was relayed did not respond.
    HostSilent,
    /// It was lost with several servers that crashed, and runs only as a trial.
    CrashesServers,
    /// The caller closed its connection.
    CallerGone,
    /// The answer was withheld because it would have violated an invariant.
    Withheld,
}

impl Code {
    /// The name of the code in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Partial => "partial",
            Self::UnknownClass => "unknown_class",
            Self::Starting => "starting",
            Self::DeadlinePassed => "deadline_passed",
            Self::NoReplica => "no_replica",
            Self::Overloaded => "overloaded",
            Self::Expired => "expired",
            Self::InsufficientCoverage => "insufficient_coverage",
            Self::TimedOut => "timed_out",
            Self::Repartitioned => "repartitioned",
            Self::Revalidating => "revalidating",
            Self::DuplicateKey => "duplicate_key",
            Self::AttemptLost => "attempt_lost",
            Self::ServerFailed => "server_failed",
            Self::HostSilent => "host_silent",
            Self::CrashesServers => "crashes_servers",
            Self::CallerGone => "caller_gone",
            Self::Withheld => "withheld",
        }
    }

    /// A human-readable description, sent to callers.
    pub fn message(self) -> &'static str {
        match self {
            Self::Ok => "The answer is complete.",
            Self::Partial => "The answer lacks the shards listed as missing.",
            Self::UnknownClass => "No selector has this name; `shallotctl explain` lists them.",
            Self::Starting => "This host knows no configuration yet; come back later.",
            Self::DeadlinePassed => "The request's deadline is in the past; send one in the future.",
            Self::NoReplica => "Too many shards have no server that takes new work.",
            Self::Overloaded => "This kind of request is at its limit; come back later.",
            Self::Expired => "The deadline would have passed before the request could run.",
            Self::InsufficientCoverage => "Fewer shards answered than this kind of request needs.",
            Self::TimedOut => "The server that was asked did not answer in time.",
            Self::Repartitioned => "The shards were cut anew while the request ran; ask again.",
            Self::Revalidating => "This host woke from a pause and is checking its view; ask again.",
            Self::DuplicateKey => "A request with this key is running or ran; it was not run again.",
            Self::AttemptLost => "The only attempt came to an unknown end; it was not sent again.",
            Self::ServerFailed => "The server ran the request and failed.",
            Self::HostSilent => "The host that gathers for this one says nothing; ask again.",
            Self::CrashesServers => "Servers died of this request several times; it is not run for a while.",
            Self::CallerGone => "The caller hung up.",
            Self::Withheld => "The answer would have broken a promise and was withheld.",
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The single answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The caller that it is sent to.
    pub caller: id::Caller,
    /// The query; `None` if the request was refused before it became one.
    pub query: Option<id::Query>,
    /// The class that the caller requested.
    pub class: CompactString,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The reason for the outcome.
    pub code: Code,
    /// The inputs of the decision, for the log.
    pub why: why::Why,
    /// The time by which it misses the target latency; `None` if it meets it.
    pub lateness: Option<clock::Millis>,
    /// The snapshot of all contributions; `None` unless answered.
    pub snapshot: Option<view::Snapshot>,
    /// The shards in the answer, each with the attempt whose reply body it uses.
    pub contributed: Vec<(CompactString, id::Attempt)>,
    /// The shards that did not contribute.
    pub missing: Vec<CompactString>,
    /// The format of the answer.
    pub shape: view::Shape,
    /// The attempt whose failure is forwarded as the answer, if any.
    pub failure: Option<id::Attempt>,
    /// The host that gathered it, if it was relayed.
    pub via: Option<CompactString>,
    /// Time from now after which to retry; set on every refusal that may be temporary.
    pub retry_after: Option<clock::Millis>,
    /// The attempts made for it.
    pub cost: Cost,
}

impl Answer {
    /// This answer without its results, for a caller that must not receive them.
    pub fn withheld(mut self) -> Self {
        self.missing.extend(self.contributed.drain(..).map(|(shard, _)| shard));
        Self {
            outcome: Outcome::Unknown,
            code: Code::Withheld,
            lateness: None,
            snapshot: None,
            failure: None,
            retry_after: Some(RETRY_AFTER),
            ..self
        }
    }
}

/// The number of attempts made for one query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// First attempts, normally one per shard.
    pub first: u32,
    /// Attempts at a second replica while the first was silent.
    pub hedges: u32,
    /// Attempts after a failure, or to get another snapshot.
    pub retries: u32,
}
