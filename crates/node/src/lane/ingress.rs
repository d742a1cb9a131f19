//! The callers' side: HTTP by xitca-web.
//!
//! The accept loop is our own. The library's server, when told to stop, leaves new connections in
//! the listener's backlog, where they are reset when the process ends; a draining node must keep
//! accepting until the balancer has noticed, then take what is in the backlog, and only then close.

use std::{borrow::Cow, cell::RefCell, convert::Infallible, net, pin::pin, rc::Rc, time as std_time};

use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, format_compact};
use serde::Serialize;
use shallothub_core::{clock, id, traffic::event};
use shallothub_wire::caller;
use tokio::{task, time::timeout};
use xitca_http::HttpServiceBuilder;
use xitca_service::{Service, ServiceExt, fn_service};
use xitca_web::{
    App, WebContext,
    body::{BodyExt, RequestBody, ResponseBody},
    http::{HeaderMap, HeaderValue, StatusCode, WebResponse, header},
    route::{get, post},
};

use super::{Answer, Shell};
use crate::{shared, time};

/// How often the accept loop looks whether the node closes.
const LOOK: std_time::Duration = std_time::Duration::from_millis(20);
/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: std_time::Duration = std_time::Duration::from_millis(50);
/// Longest word for `/explain`.
const EXPLAIN_WAIT: std_time::Duration = std_time::Duration::from_secs(1);

type Lane = Rc<Shell>;
type Context<'r> = WebContext<'r, Lane>;

thread_local! {
    /// The thread's lane. The library wants its builders to be `Send`, which a lane is not, so the
    /// builder of the handlers' state finds it here.
    static LANE: RefCell<Option<Lane>> = const { RefCell::new(None) };
}

/// Accepts and serves connections until the node closes.
pub(super) async fn accept(shell: Lane, listener: net::TcpListener) {
    LANE.set(Some(Rc::clone(&shell)));
    let app = App::new()
        .at("/query/{class}", post(fn_service(query)))
        .at("/healthz", get(fn_service(health)))
        .at("/readyz", get(fn_service(readiness)))
        .at("/metrics", get(fn_service(metrics)))
        .at("/status", get(fn_service(status)))
        .at("/explain/selector/{name}", get(fn_service(explain_selector)))
        .at("/explain/query/{*name}", get(fn_service(explain_query)))
        .with_async_state(async || LANE.with_borrow(Clone::clone).ok_or("no lane on this thread"))
        .finish()
        .enclosed(HttpServiceBuilder::h1());
    let service = match app.call(()).await {
        Ok(service) => Rc::new(service),
        Err(error) => {
            tracing::error!(detail = ?error, "the callers' side did not start");
            return;
        }
    };
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(detail = %error, "the callers' side has no listener");
            return;
        }
    };
    loop {
        let is_closing = shell.shared.phase() >= shared::Phase::Closing;
        // While closing, only what waits in the backlog is taken; then the listener is dropped.
        let accepted = match timeout(LOOK, listener.accept()).await {
            Ok(accepted) => accepted,
            Err(_) if is_closing => return,
            Err(_) => continue,
        };
        let Ok((stream, address)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let service = Rc::clone(&service);
        task::spawn_local(async move {
            stream.set_nodelay(true).ok();
            // An error ends the connection; a caller that went away is no news.
            service.call((xitca_io::net::TcpStream::from(stream), address)).await.ok();
        });
    }
}

async fn query(ctx: Context<'_>) -> Result<WebResponse, Infallible> {
    let shell = Rc::clone(ctx.state());
    let _guard = shell.shared.enter_request();
    let started = std_time::Instant::now();
    let path = ctx.req().uri().path();
    let class = CompactString::from(path.rsplit('/').next().unwrap_or_default());
    let headers = match Headers::read(ctx.req().headers()) {
        Ok(headers) => headers,
        Err(message) => return Ok(refusal(&shell, StatusCode::BAD_REQUEST, "bad_header", &message)),
    };
    let body = std::mem::take(&mut *ctx.body_borrow_mut());
    let settings = &shell.shared.settings;
    let body = match timeout(time::duration(settings.body_wait_ms), read(body, settings.request_bytes_max)).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLarge)) => {
            let message = format!("the body is over {} bytes; send a smaller one", settings.request_bytes_max);
            return Ok(refusal(&shell, StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", &message));
        }
        Ok(Err(BodyError::Broken)) => {
            return Ok(refusal(&shell, StatusCode::BAD_REQUEST, "body_broken", "the body ended before its length"));
        }
        Err(_) => {
            let message = format!("the body did not come within {}", settings.body_wait_ms);
            return Ok(refusal(&shell, StatusCode::REQUEST_TIMEOUT, "body_late", &message));
        }
    };
    let patience = headers.patience.map(|patience| {
        let spent = started.elapsed().as_millis() as u64;
        patience - clock::Millis(spent)
    });
    let (caller, receiver) = shell.request(class, patience, headers.key, body);
    let mut hang_up = HangUp { shell: Rc::clone(&shell), caller: Some(caller) };
    let answer = receiver.await;
    hang_up.caller = None;
    let Ok(answer) = answer else {
        return Ok(refusal(
            &shell,
            StatusCode::INTERNAL_SERVER_ERROR,
            "no_answer",
            "the node has no answer; ask again",
        ));
    };
    Ok(respond(&shell, &answer, started))
}

/// Tells the core that the caller is gone if the handler is dropped before its answer.
struct HangUp {
    shell: Lane,
    caller: Option<id::Caller>,
}

impl Drop for HangUp {
    fn drop(&mut self) {
        if let Some(caller) = self.caller {
            self.shell.step([event::Input::HangUp(caller)]);
        }
    }
}

struct Headers {
    patience: Option<clock::Millis>,
    key: Option<CompactString>,
}

impl Headers {
    fn read(headers: &HeaderMap) -> Result<Self, String> {
        let patience = match text(headers, caller::DEADLINE)? {
            None => None,
            Some(value) => match value.parse::<u64>() {
                Ok(value) => Some(clock::Millis(value)),
                Err(_) => return Err(format!("`{}` is no number of ms from now: `{value}`", caller::DEADLINE)),
            },
        };
        let key = text(headers, caller::KEY)?.map(CompactString::from);
        Ok(Self { patience, key })
    }
}

fn text<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h str>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(format!("`{name}` has characters that are not ASCII")),
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

fn respond(shell: &Shell, answer: &Answer, started: std_time::Instant) -> WebResponse {
    let core = &answer.answer;
    let shards = core.contributed.len() + core.missing.len();
    let parts =
        answer.parts.iter().map(|(shard, hits)| caller::Part { shard: shard.clone(), hits: Cow::Borrowed(hits) });
    let body = caller::Answer {
        query: answer.name.clone(),
        outcome: core.outcome,
        code: core.code,
        message: CompactString::const_new(core.code.sentence()),
        snapshot: core.snapshot,
        shards: shards as u32,
        missing: core.missing.clone(),
        retry_after_ms: core.retry_after,
        cost: core.cost,
        parts: parts.collect(),
    };
    count(shell, core, shards, started);
    let query = answer.name.as_deref().unwrap_or_default();
    let took_ms = started.elapsed().as_millis() as u64;
    tracing::debug!(class = %core.class, query, outcome = %core.outcome, code = %core.code, took_ms, "answered");
    let status = StatusCode::from_u16(caller::status(core.outcome, core.code));
    let mut response = json(shell, status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &body);
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

fn count(shell: &Shell, answer: &event::Answer, shards: usize, started: std_time::Instant) {
    // The name of an unknown class comes from the caller; as a label it would grow without bound.
    let class = if answer.code == event::Code::UnknownClass { "unknown" } else { answer.class.as_str() };
    let outcome = format_compact!("{}", answer.outcome);
    let metrics = &shell.shared.metrics;
    let took = started.elapsed().as_secs_f64() * 1000.0;
    metrics.query_ms.with_label_values(&[class, &outcome]).observe(took);
    metrics.answers.with_label_values(&[class, &outcome, answer.code.as_str()]).inc();
    if answer.outcome == event::Outcome::Answered && shards > 0 {
        let share = answer.contributed.len() as f64 / shards as f64;
        metrics.coverage.with_label_values(&[class]).observe(share);
    }
}

fn refusal(shell: &Shell, status: StatusCode, code: &str, message: &str) -> WebResponse {
    let refusal = caller::Refusal {
        outcome: event::Outcome::NotRun,
        code: CompactString::from(code),
        message: CompactString::from(message),
    };
    let mut response = json(shell, status, &refusal);
    // What is left of the request's body is not read, so the connection cannot be used again.
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn json<T: Serialize>(shell: &Shell, status: StatusCode, value: &T) -> WebResponse {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    plain(shell, status, "application/json", bytes)
}

fn plain(shell: &Shell, status: StatusCode, kind: &'static str, bytes: impl Into<Bytes>) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::from(bytes.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    if shell.shared.phase() >= shared::Phase::Draining {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn health(ctx: Context<'_>) -> Result<WebResponse, Infallible> {
    Ok(plain(ctx.state(), StatusCode::OK, "text/plain", "alive\n"))
}

async fn readiness(ctx: Context<'_>) -> Result<WebResponse, Infallible> {
    let phase = ctx.state().shared.phase();
    if phase == shared::Phase::Ready {
        return Ok(plain(ctx.state(), StatusCode::OK, "text/plain", "ready\n"));
    }
    Ok(plain(ctx.state(), StatusCode::SERVICE_UNAVAILABLE, "text/plain", format!("{phase:?}\n")))
}

async fn metrics(ctx: Context<'_>) -> Result<WebResponse, Infallible> {
    let text = ctx.state().shared.metrics.text();
    Ok(plain(ctx.state(), StatusCode::OK, "text/plain; version=0.0.4", text))
}

async fn status(ctx: Context<'_>) -> Result<WebResponse, Infallible> {
    let shell = ctx.state();
    Ok(json(shell, StatusCode::OK, &**shell.shared.status.load()))
}

async fn explain_selector(ctx: Context<'_>) -> Result<WebResponse, Infallible> {
    let shell = Rc::clone(ctx.state());
    let name = CompactString::from(ctx.req().uri().path().trim_start_matches("/explain/selector/"));
    let (reply, receiver) = tokio::sync::oneshot::channel();
    shell.shared.control.send(shared::ToControl::Explain(name, reply)).ok();
    match timeout(EXPLAIN_WAIT, receiver).await {
        Ok(Ok(Some(reasons))) => Ok(json(&shell, StatusCode::OK, &reasons)),
        _ => Ok(refusal(&shell, StatusCode::NOT_FOUND, "unknown_class", event::Code::UnknownClass.sentence())),
    }
}

async fn explain_query(ctx: Context<'_>) -> Result<WebResponse, Infallible> {
    let shell = Rc::clone(ctx.state());
    let name = CompactString::from(ctx.req().uri().path().trim_start_matches("/explain/query/"));
    let lane = name.rsplit('/').nth(1).and_then(|lane| lane.parse::<usize>().ok());
    if let Some(lane) = lane.and_then(|lane| shell.shared.lanes.get(lane)) {
        let (reply, receiver) = tokio::sync::oneshot::channel();
        lane.send(shared::ToLane::Explain(name, reply)).ok();
        if let Ok(Ok(Some(text))) = timeout(EXPLAIN_WAIT, receiver).await {
            return Ok(plain(&shell, StatusCode::OK, "text/plain", text));
        }
    }
    let message = "this host remembers no such query; ask the host that the name begins with, soon after the answer";
    Ok(refusal(&shell, StatusCode::NOT_FOUND, "unknown_query", message))
}
