//! A minimal HTTP server for the test doubles.

use std::{convert::Infallible, future::Future, pin::Pin, sync::Arc, sync::atomic};

use bytes::Bytes;
use http_body_util::{BodyExt, combinators::BoxBody};
use hyper::{body, service};
use hyper_util::rt;
use tokio::{net, task};

/// Body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// A pending response; `None` closes the connection without one.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Option<http::Response<Body>>> + Send>>;

/// Returns a body with all of `bytes` in one frame.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    http_body_util::Full::new(bytes.into()).boxed()
}

/// Returns a response with `status` and body `bytes`; an invalid status becomes 500.
pub fn answer(status: u16, bytes: impl Into<Bytes>) -> http::Response<Body> {
    let mut response = http::Response::new(full(bytes));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// Connection counters of one server.
#[derive(Debug, Default)]
pub struct Connections {
    /// Number of open connections.
    pub open: atomic::AtomicU32,
    /// Highest number of connections open at once.
    pub peak: atomic::AtomicU32,
    /// Number of connections refused over the limit.
    pub refused: atomic::AtomicU32,
}

#[derive(Debug)]
struct DeliberateClose;

impl std::fmt::Display for DeliberateClose {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed on purpose")
    }
}

impl std::error::Error for DeliberateClose {}

/// Serves connections until the runtime shuts down. Connections over `limit` are closed at once.
pub async fn serve(
    listener: net::TcpListener,
    limit: u32,
    connections: Arc<Connections>,
    handler: Arc<dyn Fn(http::Request<body::Incoming>) -> ResponseFuture + Send + Sync>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let open = connections.open.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        if open > limit {
            connections.open.fetch_sub(1, atomic::Ordering::SeqCst);
            connections.refused.fetch_add(1, atomic::Ordering::SeqCst);
            continue;
        }
        connections.peak.fetch_max(open, atomic::Ordering::SeqCst);
        let handler = Arc::clone(&handler);
        let connections = Arc::clone(&connections);
        task::spawn(async move {
            let _ = stream.set_nodelay(true);
            let service = service::service_fn(move |request| {
                let pending = handler(request);
                async move { pending.await.ok_or(DeliberateClose) }
            });
            // An error here is a client that disconnected or a deliberate close; both are expected.
            let _ =
                hyper::server::conn::http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service).await;
            connections.open.fetch_sub(1, atomic::Ordering::SeqCst);
        });
    }
}
