//! The protocol between the node and backend servers.
//!
//! `POST /search` with the caller's body and the headers below. The server replies 200 with a
//! [`Reply`]; 429 or 503 if it refused *before* running (shedding, draining, deadline passed, other
//! epoch), with an optional [`RETRY_AFTER`]; 409 if a request with this [`KEY`] is running or ran before,
//! possibly through another host. With any other status it is unknown whether the request ran.
//! Closing the connection cancels the request. Responses without a [`Reply`] echo [`ATTEMPT`]; the connection of one
//! that does not is closed, and a response with another attempt's id does not count as a reply.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use shallothub_core::{catalog, view};

/// The path of search requests.
pub const PATH: &str = "/search";
/// Request header: the attempt id, which the reply echoes. Response header unless the body is a [`Reply`].
pub const ATTEMPT: &str = "x-shallot-attempt";
/// Request header: the shard to search.
pub const SHARD: &str = "x-shallot-shard";
/// Request header: the partition epoch to which the shard's name belongs.
pub const EPOCH: &str = "x-shallot-epoch";
/// Request header: remaining time, in ms; the server must not start the request after it.
pub const DEADLINE: &str = "x-shallot-deadline-ms";
/// Request header: the index version to search, if the server still holds it. Optional.
pub const WANT_VERSION: &str = "x-shallot-want-version";
/// Request header: idempotency key of a request that must run at most once. Optional.
pub const KEY: &str = "x-shallot-key";
/// Response header of a refusal: the retry delay, in ms. Optional.
pub const RETRY_AFTER: &str = "x-shallot-retry-after-ms";

/// The body of a successful reply.
#[derive(Debug, Serialize, Deserialize)]
pub struct Reply<'b> {
    /// The attempt id from the request. A reply with another id is dropped.
    pub attempt: CompactString,
    /// The shard from the request.
    pub shard: CompactString,
    /// The snapshot that was searched.
    pub snapshot: view::Snapshot,
    /// Another snapshot that the server still holds, if any.
    #[serde(default)]
    pub held: Option<view::Snapshot>,
    /// Number of hits, which is compared with the class's `enough_hits`.
    pub count: u32,
    /// Number of requests running or queued at the server.
    #[serde(default)]
    pub load: Option<u32>,
    /// The hits, as arbitrary JSON.
    #[serde(borrow)]
    pub hits: &'b RawValue,
}

/// Returns the id of an attempt on the wire, which is unique across hosts, lanes, and restarts of a host.
pub fn attempt_name(host: &str, start: u64, lane: u32, attempt: impl std::fmt::Display) -> CompactString {
    let origin = catalog::Digest::of(host).0 ^ start.rotate_left(17);
    compact_str::format_compact!("{origin:x}-{lane}-{attempt}")
}
