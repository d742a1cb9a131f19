//! Requests that one host relays to another, which gathers on its behalf.
//!
//! The caller's request is sent unchanged (method, path, headers, body), over HTTP/1.1 to the other host's
//! relay address, with the headers below added. The response is the one for the caller, with `OUTCOME`
//! and `RETRY_AFTER` added; the relaying host removes these before it forwards the response.

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, HeaderName, HeaderValue};
use http_body_util::Full;
use shallothub_core::{clock, traffic::event, view};

use crate::protocol;

/// Request header: the name of the relaying host.
const RELAY: HeaderName = HeaderName::from_static("x-shallot-relay");
/// Request header: the caller's remaining timeout, in ms.
const TIMEOUT: HeaderName = HeaderName::from_static("x-shallot-patience-ms");
/// Request header: time after which to answer without the shards that have not replied, in ms.
const SETTLE: HeaderName = HeaderName::from_static("x-shallot-settle-ms");
/// Request header: the attempt, if the request is suspected of crashing servers and this is its trial.
const TRIAL: HeaderName = HeaderName::from_static("x-shallot-trial");
/// Response header: `answered`, `not_run` or `unknown`.
const OUTCOME: HeaderName = HeaderName::from_static("x-shallot-outcome");
/// Response header: delay before the next request to this host, in ms.
const RETRY_AFTER: HeaderName = HeaderName::from_static("x-shallot-retry-after-ms");

/// Metadata that the relaying host adds to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Metadata {
    /// The name of the relaying host.
    pub from: CompactString,
    /// The caller's remaining timeout; `None` if the header is missing or malformed.
    pub timeout: Option<clock::Millis>,
    /// The core's relay parameters.
    pub relayed: event::Relayed,
}

/// Builds the request that relays `request`, with `remaining` as its timeout.
pub fn request(
    request: &protocol::Request,
    host: &str,
    relayed: event::Relayed,
    remaining: clock::Millis,
) -> http::Request<Full<Bytes>> {
    let mut out = http::Request::new(Full::new(request.body.clone()));
    *out.method_mut() = request.method.clone();
    *out.uri_mut() = request.target.clone();
    let mut headers = request.headers.clone();
    let host = HeaderValue::from_str(host);
    headers.insert(RELAY, host.unwrap_or_else(|_| HeaderValue::from_static("unnamed")));
    headers.insert(TIMEOUT, HeaderValue::from(remaining.0));
    // Values that a caller set itself must not reach the other host.
    headers.remove(SETTLE);
    headers.remove(TRIAL);
    if let Some(settle) = relayed.settle {
        headers.insert(SETTLE, HeaderValue::from(settle.0));
    }
    if let Some(trial) = relayed.trial {
        headers.insert(TRIAL, HeaderValue::from(trial));
    }
    *out.headers_mut() = headers;
    out
}

/// Removes the relay headers from a relayed request and parses them; `None` if the request was not relayed.
pub fn take_metadata(headers: &mut HeaderMap) -> Option<Metadata> {
    let from = CompactString::from(headers.remove(RELAY)?.to_str().unwrap_or_default());
    let timeout = millis(headers.remove(TIMEOUT));
    let settle = millis(headers.remove(SETTLE));
    let trial = number(headers.remove(TRIAL));
    Some(Metadata { from, timeout, relayed: event::Relayed { settle, trial } })
}

/// Adds the headers for the relaying host to a response.
pub fn set_outcome(headers: &mut HeaderMap, outcome: event::Outcome, retry_after: Option<clock::Millis>) {
    headers.insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
    if let Some(span) = retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(span.0));
    }
}

/// Parses the response of the other host; without a valid `OUTCOME`, whether the request ran is unknown.
pub fn reply(head: &http::response::Parts, body: Bytes) -> protocol::Reply {
    let mut headers = head.headers.clone();
    let outcome = headers.remove(OUTCOME);
    let retry_after = millis(headers.remove(RETRY_AFTER));
    protocol::strip_hop_by_hop(&mut headers);
    let response = Box::new(protocol::Response { status: head.status, headers, body });
    let has_outcome = |expected: event::Outcome| outcome.as_ref().is_some_and(|value| value == expected.as_str());
    let end = if has_outcome(event::Outcome::Answered) {
        let snapshot = view::Snapshot { epoch: 0, version: 0 };
        let part = event::Part { snapshot, held: None, hits: 0, load: None, queue: None };
        protocol::End::Answered { part, payload: protocol::Payload::Whole(response) }
    } else if has_outcome(event::Outcome::NotRun) {
        protocol::End::Refused { retry_after }
    } else if has_outcome(event::Outcome::Unknown) {
        protocol::End::Failed { response: Some(response) }
    } else {
        return protocol::Reply::lost(event::Loss::Unusable);
    };
    protocol::Reply { end, is_matched: true, keep_alive: None }
}

fn millis(value: Option<HeaderValue>) -> Option<clock::Millis> {
    number(value).map(clock::Millis)
}

fn number(value: Option<HeaderValue>) -> Option<u64> {
    value?.to_str().ok()?.parse().ok()
}
