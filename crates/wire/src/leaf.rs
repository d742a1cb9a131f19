//! The protocol to backend servers.
//!
//! `POST /search` with the caller's body and the headers below. The server answers 200 with a
//! [`Reply`]; 429 or 503 if it refused *before* running (shedding, draining, deadline passed, other
//! epoch), with an optional [`RETRY_AFTER`]; 409 if a request with this [`KEY`] runs or ran before,
//! perhaps through another host; anything else counts as an unknown end.
//! Closing the connection cancels.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use shallothub_core::{catalog, view};

/// The path.
pub const PATH: &str = "/search";
/// Request header: the attempt, to be echoed in the reply.
pub const ATTEMPT: &str = "x-shallot-attempt";
/// Request header: the shard to search.
pub const SHARD: &str = "x-shallot-shard";
/// Request header: the partition epoch in which the shard's name is meant.
pub const EPOCH: &str = "x-shallot-epoch";
/// Request header: time left, in ms; the server must not begin later.
pub const DEADLINE: &str = "x-shallot-deadline-ms";
/// Request header: index version to answer from, if the server still holds it. Optional.
pub const WANT: &str = "x-shallot-want-version";
/// Request header: key of a request that must run at most once. Optional.
pub const KEY: &str = "x-shallot-key";
/// Refusal header: when to come back, in ms. Optional.
pub const RETRY_AFTER: &str = "x-shallot-retry-after-ms";

/// A shard's whole answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct Reply<'b> {
    /// The attempt from the request. Another's answer is known by it and dropped.
    pub attempt: CompactString,
    /// The shard from the request.
    pub shard: CompactString,
    /// The snapshot from which it was computed.
    pub snapshot: view::Snapshot,
    /// Another snapshot that the server still holds.
    #[serde(default)]
    pub held: Option<view::Snapshot>,
    /// Number of hits.
    pub count: u32,
    /// Requests that run or wait at the server.
    #[serde(default)]
    pub load: Option<u32>,
    /// The hits, in any JSON.
    #[serde(borrow)]
    pub hits: &'b RawValue,
}

/// The name of an attempt on the wire: unique over hosts, lanes, restarts and the life of a host.
pub fn attempt_name(host: &str, start: u64, lane: u32, attempt: impl std::fmt::Display) -> CompactString {
    let origin = catalog::Digest::of(host).0 ^ start.rotate_left(17);
    compact_str::format_compact!("{origin:x}-{lane}-{attempt}")
}
