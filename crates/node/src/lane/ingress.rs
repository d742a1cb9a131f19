//! The callers' side: from a request on a connection to its one answer.

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

use super::{Shell, link};
use crate::{shared, time};

/// How long another host should not ask this one after it said that it leaves; by then it is gone.
const LEFT: clock::Millis = clock::Millis(5000);
/// Bytes of a head besides its headers' names and values, for each header: colon, space, line end.
const HEADER_FRAME: usize = 4;

/// Who sends requests on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    /// Callers.
    Callers,
    /// Other hosts, which pass callers' requests on.
    Hosts,
}

/// Serves a request on a connection where every path is a request.
pub(super) async fn handle(
    shell: &Rc<Shell>,
    side: Side,
    request: Request<RequestExt<RequestBody>>,
) -> Result<Response<ResponseBody>, Infallible> {
    let (head, ext) = request.into_parts();
    let (ext, body) = ext.replace_body(());
    let link = shell.link(*ext.socket_addr());
    if link.as_ref().is_some_and(link::Link::is_closed) {
        let refusal = protocol::Refusal {
            status: StatusCode::BAD_REQUEST,
            code: "after_last",
            message: "an earlier answer ended this connection; send the request on a new one".to_owned(),
        };
        return Ok(turn_away(shell, &refusal, Some(*ext.socket_addr())));
    }
    let incoming = Incoming { method: head.method, target: head.uri, headers: head.headers, body };
    let response = serve(shell, side, incoming, link.as_ref(), Some(*ext.socket_addr())).await;
    if let Some(link) = link {
        let is_last = response.headers().get(header::CONNECTION).is_some_and(|value| value == "close");
        link.end(is_last);
    }
    Ok(response)
}

/// A request as it comes in.
pub(super) struct Incoming {
    pub(super) method: Method,
    pub(super) target: http::Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: RequestBody,
}

/// Serves a request. Where there is a `link`, a caller that hangs up is noticed.
pub(super) async fn serve(
    shell: &Rc<Shell>,
    side: Side,
    mut incoming: Incoming,
    link: Option<&link::Link>,
    from: Option<net::SocketAddr>,
) -> Response<ResponseBody> {
    let _guard = shell.shared.enter_request();
    let started = std_time::Instant::now();
    let order = if side == Side::Hosts { relay::take_metadata(&mut incoming.headers) } else { None };
    if side == Side::Hosts && shell.shared.phase() >= shared::Phase::Draining {
        return leave(shell);
    }
    let (request, patience) = match receive(shell, incoming).await {
        Ok((request, patience)) => (request, order.as_ref().map_or(patience, |order| order.timeout)),
        Err(refusal) => return turn_away(shell, &refusal, from),
    };
    let spent = started.elapsed().as_millis() as u64;
    let patience = patience.map(|patience| patience - clock::Millis(spent));
    let name = request.head.name.clone();
    let (caller, receiver) = shell.request(request, patience, order.as_ref().map(|order| order.relayed));
    let mut hang_up = HangUp { shell: Rc::clone(shell), caller: Some(caller) };
    let answer = tokio::select! {
        biased;
        answer = receiver => answer.ok(),
        () = gone(link) => None,
    };
    let Some(answer) = answer else {
        // The core hears of it when `hang_up` is dropped, and nobody reads this.
        tracing::info!(request = %name, took_ms = started.elapsed().as_millis() as u64, "the caller hung up");
        drop(hang_up);
        return close(respond(shell, Response::new(Bytes::new())));
    };
    hang_up.caller = None;
    let from = order.as_ref().map(|order| order.from.as_str());
    report(shell, &name, from, &answer, started);
    let (outcome, retry_after) = (answer.core.outcome, answer.core.retry_after);
    let mut response = respond(shell, shell.shared.interface.frontend.answer(answer));
    if side == Side::Hosts {
        relay::set_outcome(response.headers_mut(), outcome, retry_after);
    }
    response
}

/// Answers a request that is not read any further.
fn turn_away(shell: &Shell, refusal: &protocol::Refusal, from: Option<net::SocketAddr>) -> Response<ResponseBody> {
    tracing::info!(code = refusal.code, detail = %refusal.message, from = ?from, "turned a request away");
    shell.shared.metrics.refused(refusal.code);
    close(respond(shell, shell.shared.interface.frontend.refuse(refusal)))
}

/// Tells another host to ask someone else: this one leaves, and will not be asked again.
fn leave(shell: &Shell) -> Response<ResponseBody> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    relay::set_outcome(response.headers_mut(), event::Outcome::NotRun, Some(LEFT));
    close(respond(shell, response))
}

async fn gone(link: Option<&link::Link>) {
    match link {
        Some(link) => link.gone().await,
        None => std::future::pending().await,
    }
}

/// Tells the core that the caller is gone if the handler is dropped before its answer.
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

/// Reads a request within bounds.
async fn receive(
    shell: &Shell,
    incoming: Incoming,
) -> Result<(protocol::Request, Option<clock::Millis>), protocol::Refusal> {
    let Incoming { method, target, mut headers, body } = incoming;
    check_framing(&headers)?;
    check_head(shell, &target, &headers)?;
    let ask = shell.shared.interface.frontend.parse(&target, &headers)?;
    let body = if body_is_empty(&headers) { Bytes::new() } else { read_within(shell, body).await? };
    protocol::strip_hop_by_hop(&mut headers);
    let patience = ask.timeout;
    Ok((protocol::Request { head: ask, method, target: origin_form(target), headers, body }, patience))
}

fn body_is_empty(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::TRANSFER_ENCODING)
        && headers.get(header::CONTENT_LENGTH).is_none_or(|length| length == "0")
}

/// Path and query, without scheme and host.
fn origin_form(target: http::Uri) -> http::Uri {
    match target.path_and_query() {
        Some(path) if target.authority().is_some() => http::Uri::from(path.clone()),
        _ => target,
    }
}

/// The library passes over transfer codings that it does not know, and reads a length with a sign.
/// Either could make it take a body for the next request, so both are turned away.
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
        bytes += name.as_str().len() + value.len() + HEADER_FRAME;
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

async fn read_within(shell: &Shell, body: RequestBody) -> Result<Bytes, protocol::Refusal> {
    let settings = &shell.shared.settings;
    let most = shell.limits().map_or(settings.request_bytes_max, |limits| limits.body_bytes);
    match timeout(time::duration(settings.body_wait_ms), read(body, most)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(protocol::Refusal {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            code: "body_too_large",
            message: format!("the body is over {most} bytes; send a smaller one"),
        }),
        Ok(Err(BodyError::Broken)) => Err(protocol::Refusal {
            status: StatusCode::BAD_REQUEST,
            code: "body_broken",
            message: "the body ended before its length".to_owned(),
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
}

async fn read(body: RequestBody, limit: usize) -> Result<Bytes, BodyError> {
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
    }
    Ok(bytes.freeze())
}

/// The library's response of `response`. A draining node ends its connections with their answers.
pub(super) fn respond(shell: &Shell, response: http::Response<Bytes>) -> Response<ResponseBody> {
    let response = response.map(ResponseBody::from);
    if shell.shared.phase() >= shared::Phase::Draining { close(response) } else { response }
}

/// Ends the connection with this answer; of a request that was turned away, the rest is not read.
fn close(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// One line and the counters for an answer.
fn report(shell: &Shell, request: &str, from: Option<&str>, answer: &protocol::Answer, started: std_time::Instant) {
    let core = &answer.core;
    let shards = core.contributed.len() + core.missing.len();
    // The name of an unknown class comes from the caller; as a label it would grow without bound.
    let class = if core.code == event::Code::UnknownClass { "unknown" } else { core.class.as_str() };
    let took = started.elapsed().as_secs_f64() * 1000.0;
    shell.shared.metrics.answered(class, core, shards, took);
    let name = answer.name.as_deref().unwrap_or_default();
    let missing = format_compact!("{}", core.missing.join(","));
    // What decided it, and by which configuration and which list of servers; of a whole answer nobody asks.
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
