//! Handles incoming requests: reads a request from a connection and sends its single answer.

use std::{convert::Infallible, net, pin::pin, rc::Rc, time as std_time};

use bytes::{Bytes, BytesMut};
use compact_str::format_compact;
use shallothub_core::{
    clock, id,
    traffic::{event, why},
};
use shallothub_wire::{protocol, relay};
use tokio::time::timeout;
use xitca_http::http::RequestExt;
use xitca_web::{
    body::{BodyExt, RequestBody, ResponseBody},
    http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header},
};

use super::{Shell, inbound, overload};
use crate::{
    memory::{self, Held},
    shared, time,
};

/// Time for which other hosts should relay nothing to this one once it is draining; by then it has stopped.
const DRAINING_RETRY_AFTER: clock::Millis = clock::Millis(5000);
/// Bytes of each header in a head besides its name and value: colon, space and line end.
const HEADER_OVERHEAD: usize = 4;

/// The senders of requests on a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// Callers, directly.
    Callers,
    /// Other hosts, which relay callers' requests.
    Hosts,
}

/// Serves a request on a connection where every path is a request.
pub(super) async fn handle(
    shell: &Rc<Shell>,
    source: Source,
    request: Request<RequestExt<RequestBody>>,
) -> Result<Response<ResponseBody>, Infallible> {
    let (head, ext) = request.into_parts();
    let (ext, body) = ext.replace_body(());
    let connection = shell.inbound_connection(*ext.socket_addr());
    if connection.as_ref().is_some_and(inbound::Connection::has_sent_close) {
        let refusal = protocol::Refusal {
            status: StatusCode::BAD_REQUEST,
            code: "after_last",
            message: "an earlier answer ended this connection; send the request on a new one".to_owned(),
        };
        return Ok(reject(shell, &refusal, Some(*ext.socket_addr())));
    }
    let incoming = Incoming { method: head.method, target: head.uri, headers: head.headers, body };
    let response = serve(shell, source, incoming, connection.as_ref(), Some(*ext.socket_addr())).await;
    if let Some(connection) = connection {
        connection.finish_request(is_last(&response));
    }
    Ok(response)
}

/// Whether the connection is closed after `response`.
pub(super) fn is_last(response: &Response<ResponseBody>) -> bool {
    response.headers().get(header::CONNECTION).is_some_and(|value| value == "close")
}

/// A request whose body has not been read.
pub(super) struct Incoming {
    pub(super) method: Method,
    pub(super) target: http::Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: RequestBody,
}

/// Serves a request. With a `connection`, it detects that the caller hangs up.
pub(super) async fn serve(
    shell: &Rc<Shell>,
    source: Source,
    mut incoming: Incoming,
    connection: Option<&inbound::Connection>,
    from: Option<net::SocketAddr>,
) -> Response<ResponseBody> {
    let _guard = shell.shared.track_request();
    let started = std_time::Instant::now();
    let relay_metadata = if source == Source::Hosts { relay::take_metadata(&mut incoming.headers) } else { None };
    if source == Source::Hosts && shell.shared.phase() >= shared::Phase::Draining {
        return refuse_while_draining(shell);
    }
    let (request, caller_timeout, _held) = match read_request(shell, incoming).await {
        Ok((request, caller_timeout, held)) => {
            (request, relay_metadata.as_ref().map_or(caller_timeout, |metadata| metadata.timeout), held)
        }
        Err(Rejection::Refused(refusal)) => return reject(shell, &refusal, from),
        Err(Rejection::Overloaded(overload)) => return reject_overload(shell, source, overload, from),
    };
    let elapsed = started.elapsed().as_millis() as u64;
    let caller_timeout = caller_timeout.map(|caller_timeout| caller_timeout - clock::Millis(elapsed));
    let name = request.head.name.clone();
    let (caller, receiver) =
        shell.request(request, caller_timeout, relay_metadata.as_ref().map(|metadata| metadata.relayed));
    let mut hang_up = HangUp { shell: Rc::clone(shell), caller: Some(caller) };
    let answer = tokio::select! {
        biased;
        answer = receiver => answer.ok(),
        () = caller_closed(connection) => None,
    };
    let Some(super::Answer { answer, _held: _replies_held }) = answer else {
        // Dropping `hang_up` notifies the core; nobody reads this response.
        tracing::info!(request = %name, took_ms = started.elapsed().as_millis() as u64, "the caller hung up");
        drop(hang_up);
        return close_after(respond(shell, Response::new(Bytes::new())));
    };
    hang_up.caller = None;
    let from = relay_metadata.as_ref().map(|metadata| metadata.from.as_str());
    record_answer(shell, &name, from, &answer, started);
    let (outcome, retry_after) = (answer.core.outcome, answer.core.retry_after);
    let mut response = respond(shell, shell.shared.interface.frontend.answer(answer));
    if source == Source::Hosts {
        relay::set_outcome(response.headers_mut(), outcome, retry_after);
    }
    response
}

/// Answers a rejected request, of which nothing more is read.
fn reject(shell: &Shell, refusal: &protocol::Refusal, from: Option<net::SocketAddr>) -> Response<ResponseBody> {
    tracing::info!(code = refusal.code, detail = %refusal.message, from = ?from, "turned a request away");
    shell.shared.metrics.record_rejection(refusal.code);
    close_after(respond(shell, shell.shared.interface.frontend.refuse(refusal)))
}

/// Answers a request for which there is no memory, of which nothing more is read.
fn reject_overload(
    shell: &Shell,
    source: Source,
    overload: overload::Overload,
    from: Option<net::SocketAddr>,
) -> Response<ResponseBody> {
    shell.shared.metrics.record_rejection(event::Code::Overloaded.as_str());
    let retry_after = overload.retry_after;
    tracing::debug!(class = %overload.class, retry_after_ms = retry_after.0, from = ?from, "no memory for a request");
    let mut response = respond(shell, shell.shared.interface.frontend.answer(overload.answer()));
    if source == Source::Hosts {
        relay::set_outcome(response.headers_mut(), event::Outcome::NotRun, Some(retry_after));
    }
    close_after(response)
}

/// Refuses a relayed request while this host drains, so that the sender uses another host from now on.
fn refuse_while_draining(shell: &Shell) -> Response<ResponseBody> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    relay::set_outcome(response.headers_mut(), event::Outcome::NotRun, Some(DRAINING_RETRY_AFTER));
    close_after(respond(shell, response))
}

async fn caller_closed(connection: Option<&inbound::Connection>) {
    match connection {
        Some(connection) => connection.closed().await,
        None => std::future::pending().await,
    }
}

/// Notifies the core that the caller hung up if the handler is dropped before the answer.
struct HangUp {
    shell: Rc<Shell>,
    caller: Option<id::Caller>,
}

impl Drop for HangUp {
    fn drop(&mut self) {
        if let Some(caller) = self.caller {
            self.shell.step([event::Input::HangUp(caller)]);
        }
    }
}

/// Why a request is not read.
enum Rejection {
    /// It is malformed, too large or late.
    Refused(protocol::Refusal),
    /// There is no memory for it.
    Overloaded(overload::Overload),
}

impl From<protocol::Refusal> for Rejection {
    fn from(refusal: protocol::Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Reads a request within the limits in force, the timeout that its caller gave, and the count of its body's bytes.
async fn read_request(
    shell: &Shell,
    incoming: Incoming,
) -> Result<(protocol::Request, Option<clock::Millis>, Option<Held>), Rejection> {
    let Incoming { method, target, mut headers, body } = incoming;
    check_framing(&headers)?;
    check_head(shell, &target, &headers)?;
    let head = shell.shared.interface.frontend.parse(&target, &headers)?;
    let announced = if body_is_empty(&headers) { 0 } else { announced_length(shell, &headers) };
    shell.check_memory(&head.destination, announced).map_err(Rejection::Overloaded)?;
    let (body, held) = if body_is_empty(&headers) { (Bytes::new(), None) } else { read_body(shell, body).await? };
    protocol::strip_hop_by_hop(&mut headers);
    let caller_timeout = head.timeout;
    Ok((protocol::Request { head, method, target: origin_form(target), headers, body }, caller_timeout, held))
}

/// The most bytes that the body may have: its announced length, or the limit if it comes in chunks.
fn announced_length(shell: &Shell, headers: &HeaderMap) -> usize {
    let length = headers.get(header::CONTENT_LENGTH).and_then(|length| length.to_str().ok()?.parse().ok());
    length.unwrap_or_else(|| body_limit(shell))
}

fn body_limit(shell: &Shell) -> usize {
    shell.limits().map_or(shell.shared.settings.request_bytes_max, |limits| limits.body_bytes)
}

fn body_is_empty(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::TRANSFER_ENCODING)
        && headers.get(header::CONTENT_LENGTH).is_none_or(|length| length == "0")
}

/// The target in origin form: path and query, without scheme and host.
fn origin_form(target: http::Uri) -> http::Uri {
    match target.path_and_query() {
        Some(path) if target.authority().is_some() => http::Uri::from(path.clone()),
        _ => target,
    }
}

/// Rejects ambiguous framing. The library ignores unknown transfer codings and accepts a length with a
/// sign; either could make it parse a body as the next request.
fn check_framing(headers: &HeaderMap) -> Result<(), protocol::Refusal> {
    let refusal = |message: &str| protocol::Refusal {
        status: StatusCode::BAD_REQUEST,
        code: "bad_framing",
        message: message.to_owned(),
    };
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    if let Some(coding) = codings.next() {
        let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
        if !is_chunked || codings.next().is_some() || headers.contains_key(header::CONTENT_LENGTH) {
            return Err(refusal("send the body with a length, or in chunks and no other coding"));
        }
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    if let Some(length) = lengths.next() {
        let is_number = !length.is_empty() && length.as_bytes().iter().all(u8::is_ascii_digit);
        if !is_number || lengths.next().is_some() {
            return Err(refusal("`Content-Length` must be one number"));
        }
    }
    Ok(())
}

fn check_head(shell: &Shell, target: &http::Uri, headers: &HeaderMap) -> Result<(), protocol::Refusal> {
    let Some(limits) = shell.limits() else {
        return Ok(());
    };
    let mut bytes = target.path_and_query().map_or(0, |path| path.as_str().len());
    for (name, value) in headers {
        bytes += name.as_str().len() + value.len() + HEADER_OVERHEAD;
    }
    if bytes <= limits.header_bytes {
        return Ok(());
    }
    Err(protocol::Refusal {
        status: StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        code: "head_too_large",
        message: format!("the head is over {} bytes; send a smaller one", limits.header_bytes),
    })
}

async fn read_body(shell: &Shell, body: RequestBody) -> Result<(Bytes, Option<Held>), protocol::Refusal> {
    let settings = &shell.shared.settings;
    let limit = body_limit(shell);
    let held = Held::new(shell.shared.memory.as_ref(), memory::Kind::Bodies, memory::Size::ZERO, shell.now());
    let read = async {
        tokio::select! {
            biased;
            body = read_limited(shell, body, limit, held.as_ref()) => body,
            () = memory::notified(held.as_ref().map(Held::closer)) => Err(BodyError::Closed),
        }
    };
    match timeout(time::duration(settings.body_wait_ms), read).await {
        Ok(Ok(body)) => Ok((body, held)),
        Ok(Err(BodyError::TooLarge)) => Err(protocol::Refusal {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            code: "body_too_large",
            message: format!("the body is over {limit} bytes; send a smaller one"),
        }),
        Ok(Err(BodyError::Broken)) => Err(protocol::Refusal {
            status: StatusCode::BAD_REQUEST,
            code: "body_broken",
            message: "the body ended before its length".to_owned(),
        }),
        Ok(Err(BodyError::Closed)) => Err(protocol::Refusal {
            status: StatusCode::REQUEST_TIMEOUT,
            code: "body_late",
            message: "the body came too slowly while memory was short; send it again".to_owned(),
        }),
        Err(_) => Err(protocol::Refusal {
            status: StatusCode::REQUEST_TIMEOUT,
            code: "body_late",
            message: format!("the body did not come within {}", settings.body_wait_ms),
        }),
    }
}

enum BodyError {
    TooLarge,
    Broken,
    /// It was closed to free memory.
    Closed,
}

async fn read_limited(shell: &Shell, body: RequestBody, limit: usize, held: Option<&Held>) -> Result<Bytes, BodyError> {
    let mut body = pin!(body);
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.as_mut().data().await {
        let Ok(chunk) = chunk else {
            return Err(BodyError::Broken);
        };
        if bytes.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge);
        }
        bytes.extend_from_slice(&chunk);
        if let Some(held) = held {
            held.advance(memory::Size::of(bytes.capacity()), shell.now());
        }
    }
    if held.is_some_and(|held| !held.convert(memory::Kind::Forwarded)) {
        return Err(BodyError::Closed);
    }
    Ok(bytes.freeze())
}

/// Converts `response` to the library's type. A draining node closes each connection after its answer.
pub(super) fn respond(shell: &Shell, response: http::Response<Bytes>) -> Response<ResponseBody> {
    let response = response.map(ResponseBody::from);
    if shell.shared.phase() >= shared::Phase::Draining { close_after(response) } else { response }
}

/// Closes the connection after this answer, so that the rest of a rejected request is not read.
fn close_after(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Logs an answer and updates the metrics.
fn record_answer(
    shell: &Shell,
    request: &str,
    from: Option<&str>,
    answer: &protocol::Answer,
    started: std_time::Instant,
) {
    let core = &answer.core;
    let shards = core.contributed.len() + core.missing.len();
    // The caller chooses the name of an unknown class; as label values, such names would be unbounded.
    let class = if core.code == event::Code::UnknownClass { "unknown" } else { core.class.as_str() };
    let took = started.elapsed().as_secs_f64() * 1000.0;
    shell.shared.metrics.record_answer(class, core, shards, took);
    let name = answer.name.as_deref().unwrap_or_default();
    let missing = format_compact!("{}", core.missing.join(","));
    // The inputs of the decision, and, unless the answer is complete, the versions of the documents in force.
    let why = (core.why != why::Why::CodeOnly).then(|| tracing::field::display(&core.why));
    let versions = (core.code != event::Code::Ok).then(|| shell.versions());
    tracing::info!(
        request,
        query = name,
        class,
        outcome = %core.outcome,
        code = %core.code,
        took_ms = took as u64,
        late_ms = core.lateness.map(|span| span.0),
        from,
        via = core.via.as_deref(),
        shards,
        missing = %missing,
        first = core.cost.first,
        hedges = core.cost.hedges,
        retries = core.cost.retries,
        retry_after_ms = core.retry_after.map(|span| span.0),
        why,
        stamp = versions.map(|(config, _)| tracing::field::display(config)),
        hosts = versions.map(|(_, hosts)| tracing::field::display(hosts)),
        "answered"
    );
}
