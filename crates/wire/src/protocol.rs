//! The traits of an interface, independent of the wire format.
//!
//! A node has one core and one shell. The differences between the product's own interface and that of
//! a platform are behind three traits: [`Frontend`] parses requests and builds responses, [`Backend`]
//! builds attempts and parses replies, and [`Registry`] reads a source and watches it for changes.
//! Implementations only translate between the wire format and the types here. Decisions, such as whether to
//! retry, whether an answer is complete and what to report to whom, are derived from these types.

use std::fmt;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use serde_json::value::RawValue;
use shallothub_core::{clock, control, control::mirror, id, traffic::event};

use crate::content;

/// The destination of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// The selector with this name.
    Class(CompactString),
    /// The route that matches this host and path.
    Route {
        /// The host in the request's `Host` header or URI.
        host: CompactString,
        /// The path, without the query string.
        path: CompactString,
    },
}

/// The parsed head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The caller's id of the request, for logs; empty if there is none.
    pub name: CompactString,
    /// The selector or route that serves the request.
    pub destination: Destination,
    /// The caller's timeout, from now; `None` if the caller set none.
    pub timeout: Option<clock::Millis>,
    /// The idempotency key; a request with a key runs at most once.
    pub key: Option<CompactString>,
}

/// A complete request, as it is forwarded.
#[derive(Clone, Debug)]
pub struct Request {
    /// The parsed head.
    pub head: Head,
    /// The HTTP method.
    pub method: http::Method,
    /// Path and query string.
    pub target: http::Uri,
    /// The headers, without hop-by-hop headers.
    pub headers: http::HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// The sender of an attempt, which makes attempt ids unique across hosts and restarts.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'h> {
    /// The name of the host.
    pub host: &'h str,
    /// Distinguishes incarnations of the host.
    pub start: u64,
    /// The index of the traffic thread.
    pub lane: u32,
}

/// The content of a backend server's reply.
#[derive(Clone, Debug)]
pub enum Payload {
    /// The hits of a shard, in JSON.
    Hits(Box<RawValue>),
    /// The records of a shard.
    Records(content::Records),
    /// The complete response, to be forwarded unchanged.
    Whole(Box<Response>),
}

impl Payload {
    /// The number of bytes of the content, without headers.
    pub fn len(&self) -> usize {
        match self {
            Self::Hits(hits) => hits.get().len(),
            Self::Records(records) => records.bytes.len(),
            Self::Whole(response) => response.body.len(),
        }
    }

    /// Whether there is no content.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The hits; `None` if this is another kind of payload.
    pub fn into_hits(self) -> Option<Box<RawValue>> {
        if let Self::Hits(hits) = self { Some(hits) } else { None }
    }

    /// The records; `None` if this is another kind of payload.
    pub fn into_records(self) -> Option<content::Records> {
        if let Self::Records(records) = self { Some(records) } else { None }
    }

    /// The complete response; `None` if this is another kind of payload.
    pub fn into_response(self) -> Option<Box<Response>> {
        if let Self::Whole(response) = self { Some(response) } else { None }
    }
}

/// A server's complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: http::StatusCode,
    /// The headers, without hop-by-hop headers.
    pub headers: http::HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// The end of an attempt, with the payload of its reply. A reply without a usable payload is no answer.
#[derive(Clone, Debug)]
pub enum End {
    /// The server ran it and its complete answer was received.
    Answered {
        /// What the core needs to know of the answer.
        part: event::Part,
        /// The content of the answer.
        payload: Payload,
    },
    /// The server ran it and reported a failure.
    Failed {
        /// The response to forward; `None` if failures of this attempt are not forwarded.
        response: Option<Box<Response>>,
    },
    /// The server refused it before running it.
    Refused {
        /// Time from now after which the server accepts a retry; `None` if it gave none.
        retry_after: Option<clock::Millis>,
    },
    /// Another server now has the address and did not run the request.
    Misdirected,
    /// The server knows the request key: the request is running or ran.
    Duplicate,
    /// No byte of it reached the server.
    NotSent,
    /// No usable reply; the attempt may or may not have run.
    Lost(event::Loss),
}

impl End {
    /// Separates the event for the core from the payload, which the core does not see.
    pub fn split(self) -> (event::Reply, Option<Payload>) {
        match self {
            Self::Answered { part, payload } => (event::Reply::Answered(part), Some(payload)),
            Self::Failed { response } => (event::Reply::Failed, response.map(Payload::Whole)),
            Self::Refused { retry_after } => (event::Reply::Refused { retry_after }, None),
            Self::Misdirected => (event::Reply::Misdirected, None),
            Self::Duplicate => (event::Reply::Duplicate, None),
            Self::NotSent => (event::Reply::NotSent, None),
            Self::Lost(loss) => (event::Reply::Lost(loss), None),
        }
    }
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct Reply {
    /// How the attempt ended.
    pub end: End,
    /// Whether the reply is known to belong to this attempt. Otherwise the connection may be out of sync and is
    /// not reused.
    pub is_matched: bool,
    /// How long the server keeps an idle connection open; `None` if it did not specify that.
    pub keep_alive: Option<clock::Millis>,
}

impl Reply {
    /// Creates the result of an attempt to which no reply can be matched.
    pub fn unmatched(end: End) -> Self {
        Self { end, is_matched: false, keep_alive: None }
    }

    /// Creates the result of an attempt of which it is unknown whether it ran.
    pub fn lost(loss: event::Loss) -> Self {
        Self::unmatched(End::Lost(loss))
    }
}

/// The core's answer with its content.
#[derive(Debug)]
pub struct Answer {
    /// The answer that the core decided on.
    pub core: event::Answer,
    /// What the caller receives of the servers' replies.
    pub content: content::Content,
    /// The query id for `shallotctl explain`; `None` if the request never became a query.
    pub name: Option<CompactString>,
}

/// The rejection of a request before it reached the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status of the response.
    pub status: http::StatusCode,
    /// The reason, as a stable code for logs and responses.
    pub code: &'static str,
    /// The reason and the remedy, human-readable.
    pub message: String,
}

/// The protocol between callers and the node.
pub trait Frontend: Sync + fmt::Debug {
    /// Parses the head of a request. `headers` are all headers that the caller sent.
    ///
    /// # Errors
    /// A header is malformed; the refusal names it and the remedy.
    fn parse(&self, target: &http::Uri, headers: &http::HeaderMap) -> Result<Head, Refusal>;

    /// Builds the response to a request that reached the core.
    fn answer(&self, answer: Answer) -> http::Response<Bytes>;

    /// Builds the response to a request that was rejected before.
    fn refuse(&self, refusal: &Refusal) -> http::Response<Bytes>;

    /// Whether every path at the callers' address is forwarded; otherwise the node's own pages are served there
    /// as well.
    fn is_exclusive(&self) -> bool;
}

/// The protocol between the node and backend servers.
pub trait Backend: Sync + fmt::Debug {
    /// Returns the id of an attempt on the wire; empty if the protocol has none.
    fn attempt_name(&self, origin: Origin<'_>, attempt: id::Attempt) -> CompactString;

    /// Returns the id by which the replies to all attempts of `request` are matched; `None` if each attempt has an id
    /// of its own.
    fn shared_reply_id<'r>(&self, request: &'r Request) -> Option<&'r [u8]>;

    /// Builds the request of an attempt, with `remaining` as its timeout; `None` if it cannot be encoded.
    fn request(
        &self,
        dispatch: &event::Dispatch,
        name: &str,
        request: &Request,
        remaining: clock::Millis,
    ) -> Option<http::Request<Full<Bytes>>>;

    /// Parses a response and its complete body.
    fn reply(
        &self,
        dispatch: &event::Dispatch,
        name: &str,
        request: &Request,
        head: &http::response::Parts,
        body: Bytes,
    ) -> Reply;
}

/// A configuration source that is listed and then watched for changes, over HTTP.
pub trait Registry: Sync + fmt::Debug {
    /// Returns path and query of the page after the key `after`, or of the first page.
    fn list_path(&self, after: Option<&str>) -> String;

    /// Returns path and query of a watch for changes after the revision `after`, which waits up to `wait`.
    fn watch_path(&self, after: u64, wait: clock::Millis) -> String;

    /// Parses a page of a listing.
    ///
    /// # Errors
    /// The response is not a valid page; the text describes the error.
    fn page(&self, headers: &http::HeaderMap, body: &[u8]) -> Result<mirror::Page, String>;

    /// Parses the response to a watch.
    ///
    /// # Errors
    /// The response holds no valid changes; the text describes the error.
    fn changes(
        &self,
        status: http::StatusCode,
        headers: &http::HeaderMap,
        body: &[u8],
    ) -> Result<mirror::Changes, String>;
}

/// An interface: the implementations of the three traits, and the functions that parse its documents.
#[derive(Clone, Copy, Debug)]
pub struct Interface {
    /// The protocol towards callers.
    pub frontend: &'static dyn Frontend,
    /// The protocol towards backend servers.
    pub backend: &'static dyn Backend,
    /// The source of documents and the functions that parse them.
    pub reader: control::Reader,
    /// The registry; `None` if documents come from another source.
    pub registry: Option<&'static dyn Registry>,
}

/// Hop-by-hop headers, besides those that `Connection` lists. Source: RFC 9110, section 7.6.1, and
/// `Content-Length`, which is set anew from the body.
const HOP_BY_HOP_HEADERS: [http::HeaderName; 8] = [
    http::header::CONNECTION,
    http::header::TRANSFER_ENCODING,
    http::header::CONTENT_LENGTH,
    http::header::TE,
    http::header::TRAILER,
    http::header::UPGRADE,
    http::header::EXPECT,
    http::HeaderName::from_static("keep-alive"),
];

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub fn strip_hop_by_hop(headers: &mut http::HeaderMap) {
    let mut named: Vec<http::HeaderName> = Vec::new();
    for value in headers.get_all(http::header::CONNECTION) {
        for token in value.to_str().unwrap_or_default().split(',') {
            named.extend(token.trim().parse::<http::HeaderName>().ok());
        }
    }
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove("proxy-connection");
}
