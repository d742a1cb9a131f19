//! The node's HTTP endpoints (health, readiness, metrics, status, explanations), and the product's own
//! interface for callers, built on xitca-web.

use std::{cell::RefCell, convert::Infallible, net, rc::Rc, time as std_time};

use bytes::Bytes;
use compact_str::CompactString;
use serde::Serialize;
use shallothub_core::{control, traffic::event};
use shallothub_wire::{own, protocol};
use tokio::time::timeout;
use xitca_http::HttpServiceBuilder;
use xitca_service::{Service, ServiceExt, fn_service};
use xitca_web::{
    App, WebContext,
    http::{HeaderValue, StatusCode, WebResponse, header},
    route::{get, post},
};

use super::{Shell, inbound, ingress};
use crate::shared;

/// Timeout for the thread that handles a request to `/explain`.
const EXPLAIN_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(1);

type Lane = Rc<Shell>;
type Context<'r> = WebContext<'r, Lane>;

thread_local! {
    /// The thread's lane. The library requires its builders to be `Send`, which a lane is not, so the
    /// builder of the handlers' state takes it from here.
    static LANE: RefCell<Option<Lane>> = const { RefCell::new(None) };
}

/// Sets the lane of this thread, which [`service`] requires.
pub(super) fn set_lane(shell: &Lane) {
    LANE.set(Some(Rc::clone(shell)));
}

/// The endpoints as a service for connections.
pub(super) async fn service(
    shell: Lane,
) -> Result<impl Service<(xitca_io::net::TcpStream, net::SocketAddr)>, &'static str> {
    let app = App::new()
        .at("/query/{class}", post(fn_service(query)))
        .at("/healthz", get(fn_service(health)))
        .at("/readyz", get(fn_service(readiness)))
        .at("/metrics", get(fn_service(metrics)))
        .at("/status", get(fn_service(status)))
        .at("/release/{fingerprint}", post(fn_service(release)))
        .at("/explain/selector/{name}", get(fn_service(explain_selector)))
        .at("/explain/query/{*name}", get(fn_service(explain_query)))
        .with_async_state(async || LANE.with_borrow(Clone::clone).ok_or("no lane on this thread"))
        .enclosed_fn(finish_request)
        .finish()
        .enclosed(HttpServiceBuilder::h1().with_tls(inbound::Acceptor(shell)));
    app.call(()).await.map_err(|_| "no lane on this thread")
}

/// Marks the end of each request on its connection; see [`inbound::Connection::finish_request`].
async fn finish_request<S, E>(service: &S, ctx: Context<'_>) -> Result<WebResponse, E>
where
    S: for<'r> Service<Context<'r>, Response = WebResponse, Error = E>,
{
    let shell = Rc::clone(ctx.state());
    let address = *ctx.req().body().socket_addr();
    let result = service.call(ctx).await;
    if let Some(connection) = shell.inbound_connection(address) {
        connection.finish_request(result.as_ref().is_ok_and(ingress::is_last));
    }
    result
}

async fn query(ctx: Context<'_>) -> Result<WebResponse, Infallible> {
    let shell = Rc::clone(ctx.state());
    if shell.shared.interface.frontend.is_exclusive() {
        return Ok(refusal(&shell, StatusCode::NOT_FOUND, "wrong_address", "callers have an address of their own"));
    }
    let request = ctx.req();
    let incoming = ingress::Incoming {
        method: request.method().clone(),
        target: request.uri().clone(),
        headers: request.headers().clone(),
        body: std::mem::take(&mut *ctx.body_borrow_mut()),
    };
    Ok(ingress::serve(&shell, ingress::Source::Callers, incoming, None, None).await)
}

fn refusal(shell: &Shell, status: StatusCode, code: &'static str, message: &str) -> WebResponse {
    let refusal = protocol::Refusal { status, code, message: message.to_owned() };
    let mut response = ingress::respond(shell, protocol::Frontend::refuse(&own::Own, &refusal));
    // The rest of the request's body is not read, so the connection cannot be reused.
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn json<T: Serialize>(shell: &Shell, value: &T) -> WebResponse {
    ingress::respond(shell, own::json(StatusCode::OK, value))
}

fn text_response(
    shell: &Shell,
    status: StatusCode,
    content_type: &'static str,
    bytes: impl Into<Bytes>,
) -> WebResponse {
    let mut response = http::Response::new(bytes.into());
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    ingress::respond(shell, response)
}

async fn health(ctx: Context<'_>) -> Result<WebResponse, Infallible> {
    Ok(text_response(ctx.state(), StatusCode::OK, "text/plain", "alive\n"))
}

async fn readiness(ctx: Context<'_>) -> Result<WebResponse, Infallible> {
    let phase = ctx.state().shared.phase();
    if phase == shared::Phase::Ready {
        return Ok(text_response(ctx.state(), StatusCode::OK, "text/plain", "ready\n"));
    }
    Ok(text_response(ctx.state(), StatusCode::SERVICE_UNAVAILABLE, "text/plain", format!("{phase:?}\n")))
}

async fn metrics(ctx: Context<'_>) -> Result<WebResponse, Infallible> {
    let text = ctx.state().shared.metrics.encode();
    Ok(text_response(ctx.state(), StatusCode::OK, "text/plain; version=0.0.4", text))
}

async fn status(ctx: Context<'_>) -> Result<WebResponse, Infallible> {
    let shell = ctx.state();
    Ok(json(shell, &**shell.shared.status.load()))
}

/// Handles an operator's release of a request that this host suspects of crashing servers.
async fn release(ctx: Context<'_>) -> Result<WebResponse, Infallible> {
    let shell = Rc::clone(ctx.state());
    let text = ctx.req().uri().path().trim_start_matches("/release/").to_owned();
    let Ok(fingerprint) = text.parse() else {
        let message = "a fingerprint is 32 hexadecimal digits, as `shallotctl status` shows";
        return Ok(refusal(&shell, StatusCode::BAD_REQUEST, "no_fingerprint", message));
    };
    let is_known = shell.shared.status.load().suspects.iter().any(|record| record.fingerprint == Some(fingerprint));
    if !is_known {
        let message = "this host remembers no such request";
        return Ok(refusal(&shell, StatusCode::NOT_FOUND, "unknown_fingerprint", message));
    }
    shell.shared.control.send(shared::ToControl::Input(control::Input::Release(fingerprint))).ok();
    Ok(text_response(&shell, StatusCode::OK, "text/plain", "released on this host\n"))
}

async fn explain_selector(ctx: Context<'_>) -> Result<WebResponse, Infallible> {
    let shell = Rc::clone(ctx.state());
    let name = CompactString::from(ctx.req().uri().path().trim_start_matches("/explain/selector/"));
    let (reply, receiver) = tokio::sync::oneshot::channel();
    shell.shared.control.send(shared::ToControl::Explain(name, reply)).ok();
    match timeout(EXPLAIN_TIMEOUT, receiver).await {
        Ok(Ok(Some(reasons))) => Ok(json(&shell, &reasons)),
        _ => Ok(refusal(&shell, StatusCode::NOT_FOUND, "unknown_class", event::Code::UnknownClass.message())),
    }
}

async fn explain_query(ctx: Context<'_>) -> Result<WebResponse, Infallible> {
    let shell = Rc::clone(ctx.state());
    let name = CompactString::from(ctx.req().uri().path().trim_start_matches("/explain/query/"));
    let lane = name.rsplit('/').nth(1).and_then(|lane| lane.parse::<usize>().ok());
    if let Some(lane) = lane.and_then(|lane| shell.shared.lanes.get(lane)) {
        let (reply, receiver) = tokio::sync::oneshot::channel();
        lane.send(shared::ToLane::Explain(name, reply)).ok();
        if let Ok(Ok(Some(text))) = timeout(EXPLAIN_TIMEOUT, receiver).await {
            return Ok(text_response(&shell, StatusCode::OK, "text/plain", text));
        }
    }
    let message = "this host remembers no such query; ask the host that the name begins with, soon after the answer";
    Ok(refusal(&shell, StatusCode::NOT_FOUND, "unknown_query", message))
}
