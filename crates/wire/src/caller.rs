//! What callers send and get.
//!
//! `POST /query/CLASS` with the query as the body, which is passed to the backend servers as it is.
//! The answer is an [`Answer`] in JSON. Its HTTP status follows from outcome and code, see
//! [`status`].

use std::borrow::Cow;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use shallothub_core::{clock, traffic::event, view};

/// Request header: time that the caller still gives, in ms from now. Optional.
pub const DEADLINE: &str = "x-shallot-deadline-ms";
/// Request header: the key by which a request that is not idempotent runs at most once. Optional.
pub const KEY: &str = "x-shallot-key";
/// Answer header: the outcome.
pub const OUTCOME: &str = "x-shallot-outcome";
/// Answer header: when to come back, in ms; beside the usual `Retry-After` in whole seconds.
pub const RETRY_AFTER: &str = "x-shallot-retry-after-ms";

/// The only answer to a request.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer<'b> {
    /// Name for `shallotctl explain`; absent if the request never became a query.
    pub query: Option<CompactString>,
    /// Whether it ran.
    pub outcome: event::Outcome,
    /// Why, as a stable code.
    pub code: event::Code,
    /// Why, for a person.
    pub message: CompactString,
    /// The one snapshot of all parts.
    pub snapshot: Option<view::Snapshot>,
    /// Shards asked.
    pub shards: u32,
    /// Shards that did not contribute.
    pub missing: Vec<CompactString>,
    /// When to come back, from now.
    pub retry_after_ms: Option<clock::Millis>,
    /// What it cost.
    pub cost: event::Cost,
    /// One part for each shard that contributed.
    #[serde(borrow)]
    pub parts: Vec<Part<'b>>,
}

/// One shard's part of an answer.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part<'b> {
    /// The shard.
    pub shard: CompactString,
    /// Its hits, as the backend server wrote them.
    #[serde(borrow)]
    pub hits: Cow<'b, RawValue>,
}

/// The HTTP status of an answer.
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

/// An error before a request became a query: a wrong path, a body that is too large.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Always [`event::Outcome::NotRun`].
    pub outcome: event::Outcome,
    /// A stable code.
    pub code: CompactString,
    /// Why, for a person, with the remedy.
    pub message: CompactString,
}
