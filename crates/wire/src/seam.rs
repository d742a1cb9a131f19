//! The three sides on which a node meets others, whichever interface it speaks.
//!
//! A node has one core and one shell. What differs between the product's own interface and that of
//! a platform stands behind three traits: [`Callers`] reads requests and writes answers, [`Leafs`]
//! writes attempts and reads what came back, and [`Registry`] reads a source that is followed by its
//! changes. Implementations translate between names on the wire and the types here, and decide
//! nothing: what may be sent again, what is whole and what is told to whom follows from these types.

use std::fmt;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use serde_json::value::RawValue;
use shallothub_core::{clock, control, control::mirror, id, traffic::event};

/// Where a request wants to go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// To the selector of this name.
    Class(CompactString),
    /// To the route of this host and path.
    Route {
        /// The host that the request names.
        host: CompactString,
        /// The path, without its query.
        path: CompactString,
    },
}

/// What a caller says about its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The caller's own name for the request, for logs; empty if it gives none.
    pub name: CompactString,
    /// Where it goes.
    pub to: Destination,
    /// Time that the caller still gives, in ms from now.
    pub patience: Option<clock::Millis>,
    /// The key by which it runs at most once.
    pub key: Option<CompactString>,
}

/// A request with its body, as it is handed on.
#[derive(Clone, Debug)]
pub struct Request {
    /// What the caller says about it.
    pub ask: Ask,
    /// The method.
    pub method: http::Method,
    /// Path and query.
    pub target: http::Uri,
    /// The headers, less those that concern one connection only.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Who sends an attempt, for names of attempts that are unique over hosts and restarts.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'h> {
    /// The host's name.
    pub host: &'h str,
    /// Tells two lives of the host apart.
    pub start: u64,
    /// The traffic thread.
    pub lane: u32,
}

/// What a backend server's answer holds, besides how the attempt ended.
#[derive(Clone, Debug)]
pub enum Payload {
    /// The hits of a shard, in JSON.
    Hits(Box<RawValue>),
    /// The records of a shard.
    Records {
        /// The server's signature, to be named with the answer.
        signature: CompactString,
        /// The records.
        bytes: Bytes,
    },
    /// The whole answer, to be handed on as it is.
    Whole(Box<Whole>),
}

/// A server's whole answer.
#[derive(Clone, Debug)]
pub struct Whole {
    /// Its status.
    pub status: http::StatusCode,
    /// Its headers, less those that concern one connection only.
    pub headers: http::HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// What came of an attempt whose answer arrived whole.
#[derive(Clone, Debug)]
pub struct Reply {
    /// How it ended, for the core.
    pub end: event::Reply,
    /// What it holds; `None` unless the end is an answer or a failure that can be handed on.
    pub payload: Option<Payload>,
    /// Whether it belongs to this attempt; a stray answer means that the connection is out of step
    /// and cannot be used again.
    pub is_own: bool,
    /// How long the server keeps the connection open while it is idle, if it says so.
    pub idle: Option<clock::Millis>,
}

impl Reply {
    /// An answer that cannot be used: whether the request ran is unknown.
    pub fn lost(loss: event::Loss) -> Self {
        Self { end: event::Reply::Lost(loss), payload: None, is_own: false, idle: None }
    }
}

/// One shard's part of an answer.
#[derive(Clone, Debug)]
pub struct Part {
    /// The shard.
    pub shard: CompactString,
    /// What its server answered.
    pub payload: Payload,
}

/// A core's answer with what belongs to it.
#[derive(Debug)]
pub struct Answer {
    /// The core's part.
    pub core: event::Answer,
    /// The shards' parts, one for each that contributed.
    pub parts: Vec<Part>,
    /// A server's own failure, to be handed on.
    pub failure: Option<Payload>,
    /// Name for `shallotctl explain`; `None` if the request never became a query.
    pub name: Option<CompactString>,
}

/// Why a request was turned away before it reached the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status.
    pub status: http::StatusCode,
    /// A stable code, for logs and answers.
    pub code: &'static str,
    /// Why, for a person, with the remedy.
    pub message: String,
}

/// The callers' side.
pub trait Callers: Sync + fmt::Debug {
    /// What the head of a request says. `headers` are all that the caller sent.
    ///
    /// # Errors
    /// A header that cannot be read, with place and remedy.
    fn read(&self, target: &http::Uri, headers: &http::HeaderMap) -> Result<Ask, Refusal>;

    /// The answer to a request that reached the core.
    fn answer(&self, answer: Answer) -> http::Response<Bytes>;

    /// The answer to a request that did not.
    fn refuse(&self, refusal: &Refusal) -> http::Response<Bytes>;

    /// Whether every path of the callers' address is a request to be handed on; else the node's own
    /// pages are served beside.
    fn is_exclusive(&self) -> bool;
}

/// The backend servers' side.
pub trait Leafs: Sync + fmt::Debug {
    /// The name of an attempt on the wire.
    fn name(&self, origin: Origin<'_>, attempt: id::Attempt) -> CompactString;

    /// The request of an attempt with `left` ms to go; `None` if it cannot be written.
    fn request(
        &self,
        dispatch: &event::Dispatch,
        name: &str,
        request: &Request,
        left: clock::Millis,
    ) -> Option<http::Request<Full<Bytes>>>;

    /// What came back, with its whole body.
    fn reply(
        &self,
        dispatch: &event::Dispatch,
        name: &str,
        request: &Request,
        head: &http::response::Parts,
        body: Bytes,
    ) -> Reply;
}

/// A source that is read whole and followed by its changes, over HTTP.
pub trait Registry: Sync + fmt::Debug {
    /// Path and query of a page of a whole read.
    fn list(&self, after: Option<&str>) -> String;

    /// Path and query of the question for changes after `revision`.
    fn follow(&self, after: u64, wait: clock::Millis) -> String;

    /// The page in an answer, or a description of what is wrong with it.
    ///
    /// # Errors
    /// The answer holds no page.
    fn page(&self, headers: &http::HeaderMap, body: &[u8]) -> Result<mirror::Page, String>;

    /// The changes in an answer.
    ///
    /// # Errors
    /// The answer holds no changes.
    fn changes(
        &self,
        status: http::StatusCode,
        headers: &http::HeaderMap,
        body: &[u8],
    ) -> Result<mirror::Changes, String>;
}

/// An interface: the three sides, and how its documents are read.
#[derive(Clone, Copy, Debug)]
pub struct Interface {
    /// The callers' side.
    pub callers: &'static dyn Callers,
    /// The backend servers' side.
    pub leafs: &'static dyn Leafs,
    /// How documents are read, and where they come from.
    pub reader: control::Reader,
    /// The registry, if documents come from one.
    pub registry: Option<&'static dyn Registry>,
}

/// Headers that concern one connection only, besides those that `Connection` names. Source: RFC 9110,
/// section 7.6.1, and `Content-Length`, which the body's own length replaces.
const OF_ONE_CONNECTION: [http::HeaderName; 8] = [
    http::header::CONNECTION,
    http::header::TRANSFER_ENCODING,
    http::header::CONTENT_LENGTH,
    http::header::TE,
    http::header::TRAILER,
    http::header::UPGRADE,
    http::header::EXPECT,
    http::HeaderName::from_static("keep-alive"),
];

/// Takes out the headers that concern one connection only.
pub fn strip(headers: &mut http::HeaderMap) {
    let mut named: Vec<http::HeaderName> = Vec::new();
    for value in headers.get_all(http::header::CONNECTION) {
        for token in value.to_str().unwrap_or_default().split(',') {
            named.extend(token.trim().parse::<http::HeaderName>().ok());
        }
    }
    for name in named {
        headers.remove(name);
    }
    for name in OF_ONE_CONNECTION {
        headers.remove(name);
    }
    headers.remove("proxy-connection");
}
