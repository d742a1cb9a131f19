//! The product's own interface, an implementation of the traits in [`protocol`]: `POST /query/CLASS` from
//! callers, `POST /search` to backend servers.

use std::borrow::Cow;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;
use serde_json::value::RawValue;
use shallothub_core::{clock, id, traffic::event};

use crate::{caller, content, leaf, protocol};

/// The product's own interface, towards callers and backend servers.
#[derive(Clone, Copy, Debug)]
pub struct Own;

impl protocol::Frontend for Own {
    fn parse(&self, target: &http::Uri, headers: &HeaderMap) -> Result<protocol::Head, protocol::Refusal> {
        let timeout = match header_text(headers, caller::DEADLINE)? {
            None => None,
            Some(value) => match value.parse::<u64>() {
                Ok(value) => Some(clock::Millis(value)),
                Err(_) => {
                    return Err(bad_header(format!(
                        "`{}` is not a number of milliseconds: `{value}`",
                        caller::DEADLINE
                    )));
                }
            },
        };
        let key = header_text(headers, caller::KEY)?.map(CompactString::from);
        let class = CompactString::from(target.path().rsplit('/').next().unwrap_or_default());
        Ok(protocol::Head {
            name: key.clone().unwrap_or_default(),
            destination: protocol::Destination::Class(class),
            timeout,
            key,
        })
    }

    fn answer(&self, answer: protocol::Answer) -> http::Response<Bytes> {
        let core = &answer.core;
        // Selectors have answers of this shape only.
        let parts = if let content::Content::Hits(parts) = &answer.content { parts.as_slice() } else { &[] };
        let parts = parts
            .iter()
            .map(|part| caller::Part { shard: part.shard.clone(), hits: Cow::Borrowed(&*part.hits as &RawValue) });
        let body = caller::Answer {
            query: answer.name.clone(),
            outcome: core.outcome,
            code: core.code,
            message: CompactString::const_new(core.code.message()),
            snapshot: core.snapshot,
            shards: (core.contributed.len() + core.missing.len()) as u32,
            missing: core.missing.clone(),
            retry_after_ms: core.retry_after,
            cost: core.cost,
            parts: parts.collect(),
        };
        let status = StatusCode::from_u16(caller::status(core.outcome, core.code));
        let mut response = json(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &body);
        let headers = response.headers_mut();
        if let Ok(outcome) = HeaderValue::from_str(&format_compact!("{}", core.outcome)) {
            headers.insert(caller::OUTCOME, outcome);
        }
        if let Some(retry_after) = core.retry_after {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(retry_after.0.div_ceil(1000)));
            headers.insert(caller::RETRY_AFTER, HeaderValue::from(retry_after.0));
        }
        response
    }

    fn refuse(&self, refusal: &protocol::Refusal) -> http::Response<Bytes> {
        let body = caller::Refusal {
            outcome: event::Outcome::NotRun,
            code: CompactString::const_new(refusal.code),
            message: CompactString::from(refusal.message.as_str()),
        };
        json(refusal.status, &body)
    }

    fn is_exclusive(&self) -> bool {
        false
    }
}

impl protocol::Backend for Own {
    fn attempt_name(&self, origin: protocol::Origin<'_>, attempt: id::Attempt) -> CompactString {
        leaf::attempt_name(origin.host, origin.start, origin.lane, attempt)
    }

    fn shared_reply_id<'r>(&self, _request: &'r protocol::Request) -> Option<&'r [u8]> {
        None
    }

    fn request(
        &self,
        dispatch: &event::Dispatch,
        name: &str,
        request: &protocol::Request,
        remaining: clock::Millis,
    ) -> Option<http::Request<Full<Bytes>>> {
        let mut builder = http::Request::post(leaf::PATH)
            .header(header::HOST, dispatch.address.as_str())
            .header(leaf::ATTEMPT, name)
            .header(leaf::SHARD, dispatch.shard.as_str())
            .header(leaf::EPOCH, dispatch.epoch)
            .header(leaf::DEADLINE, remaining.0);
        if let Some(want) = dispatch.want {
            builder = builder.header(leaf::WANT_VERSION, want.version);
        }
        if let Some(key) = &dispatch.key {
            builder = builder.header(leaf::KEY, key.as_str());
        }
        builder.body(Full::new(request.body.clone())).ok()
    }

    fn reply(
        &self,
        dispatch: &event::Dispatch,
        name: &str,
        _request: &protocol::Request,
        head: &http::response::Parts,
        body: Bytes,
    ) -> protocol::Reply {
        if head.status == StatusCode::OK {
            return parse_reply(dispatch, name, &body);
        }
        let echo = head.headers.get(leaf::ATTEMPT);
        if echo.is_some_and(|echo| echo != name) {
            return protocol::Reply::lost(event::Loss::Mismatched);
        }
        let end = match head.status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                protocol::End::Refused { retry_after: retry_after(&head.headers) }
            }
            StatusCode::CONFLICT => protocol::End::Duplicate,
            _ => protocol::End::Lost(event::Loss::Unusable),
        };
        // A second copy of a response without an id would pass for the reply to the next request.
        protocol::Reply { end, is_matched: echo.is_some(), keep_alive: None }
    }
}

/// Parses a complete reply. Whether the request ran is unknown if the reply is malformed or belongs to another attempt.
fn parse_reply(dispatch: &event::Dispatch, name: &str, bytes: &Bytes) -> protocol::Reply {
    let Ok(reply) = serde_json::from_slice::<leaf::Reply<'_>>(bytes) else {
        return protocol::Reply::lost(event::Loss::Unusable);
    };
    if reply.attempt != name || reply.shard != dispatch.shard {
        return protocol::Reply::lost(event::Loss::Mismatched);
    }
    let part =
        event::Part { snapshot: reply.snapshot, held: reply.held, hits: reply.count, load: reply.load, queue: None };
    let payload = protocol::Payload::Hits(reply.hits.to_owned());
    protocol::Reply { end: protocol::End::Answered { part, payload }, is_matched: true, keep_alive: None }
}

fn retry_after(headers: &HeaderMap) -> Option<clock::Millis> {
    headers.get(leaf::RETRY_AFTER)?.to_str().ok()?.parse().ok()
}

fn header_text<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h str>, protocol::Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(bad_header(format!("`{name}` contains non-ASCII characters"))),
    }
}

fn bad_header(message: String) -> protocol::Refusal {
    protocol::Refusal { status: StatusCode::BAD_REQUEST, code: "bad_header", message }
}

/// Builds a response with `value` as the JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> http::Response<Bytes> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = http::Response::new(Bytes::from(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
