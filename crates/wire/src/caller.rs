//! The protocol between callers and the node.
//!
//! `POST /query/CLASS` with the query as the body, which is passed to the backend servers unchanged.
//! The response is an [`Answer`] in JSON. Its HTTP status is derived from outcome and code by
//! [`status`].

use std::borrow::Cow;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use shallothub_core::{clock, traffic::event, view};

/// Request header: the caller's timeout, in ms from now. Optional.
pub const DEADLINE: &str = "x-shallot-deadline-ms";
/// Request header: idempotency key; a request that is not idempotent runs at most once per key. Optional.
pub const KEY: &str = "x-shallot-key";
/// Response header: the outcome, as in [`Answer::outcome`].
pub const OUTCOME: &str = "x-shallot-outcome";
/// Response header: the retry delay, in ms; sent along with the standard `Retry-After` in whole seconds.
pub const RETRY_AFTER: &str = "x-shallot-retry-after-ms";

/// The response to a request that reached the core.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer<'b> {
    /// The query id for `shallotctl explain`; `None` if the request never became a query.
    pub query: Option<CompactString>,
    /// Whether the request was answered, did not run, or has an unknown outcome.
    pub outcome: event::Outcome,
    /// The reason for the outcome, as a stable code.
    pub code: event::Code,
    /// The reason for the outcome, human-readable.
    pub message: CompactString,
    /// The snapshot from which all parts were computed; `None` unless answered.
    pub snapshot: Option<view::Snapshot>,
    /// Number of shards that the request covers.
    pub shards: u32,
    /// Shards that did not contribute.
    pub missing: Vec<CompactString>,
    /// Delay after which the caller may retry.
    pub retry_after_ms: Option<clock::Millis>,
    /// Number of first attempts, hedges and retries.
    pub cost: event::Cost,
    /// The results, one per shard that contributed.
    #[serde(borrow)]
    pub parts: Vec<Part<'b>>,
}

/// The result of one shard.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part<'b> {
    /// The name of the shard.
    pub shard: CompactString,
    /// The hits, exactly as the backend server encoded them.
    #[serde(borrow)]
    pub hits: Cow<'b, RawValue>,
}

/// Returns the HTTP status of an answer; only `answered` maps to 200.
pub fn status(outcome: event::Outcome, code: event::Code) -> u16 {
    match (outcome, code) {
        (event::Outcome::Answered, _) => 200,
        (_, event::Code::UnknownClass) => 404,
        (_, event::Code::DeadlinePassed) => 400,
        (_, event::Code::DuplicateKey) => 409,
        (event::Outcome::NotRun, _) => 503,
        (event::Outcome::Unknown, _) => 504,
    }
}

/// The response to a request that was rejected before it became a query, such as one with an unknown path or too
/// large a body.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Always [`event::Outcome::NotRun`].
    pub outcome: event::Outcome,
    /// The reason, as a stable code.
    pub code: CompactString,
    /// The reason and the remedy, human-readable.
    pub message: CompactString,
}
