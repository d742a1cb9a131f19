//! The little HTTP server under both stand-ins.

use std::{convert::Infallible, future::Future, pin::Pin, sync::Arc, sync::atomic};

use bytes::Bytes;
use http_body_util::{BodyExt, combinators::BoxBody};
use hyper::{body, service};
use hyper_util::rt;
use tokio::{net, task};

/// An answer's body.
pub type Body = BoxBody<Bytes, Infallible>;

/// An answer on its way; `None` cuts the connection without one.
pub type Pending = Pin<Box<dyn Future<Output = Option<http::Response<Body>>> + Send>>;

/// A body that is there at once.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    http_body_util::Full::new(bytes.into()).boxed()
}

/// An answer with `status` and `bytes`.
pub fn answer(status: u16, bytes: impl Into<Bytes>) -> http::Response<Body> {
    let mut response = http::Response::new(full(bytes));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// Connections of one server.
#[derive(Debug, Default)]
pub struct Connections {
    /// Open now.
    pub open: atomic::AtomicU32,
    /// Most that were ever open.
    pub most: atomic::AtomicU32,
    /// Refused because there were too many.
    pub refused: atomic::AtomicU32,
}

#[derive(Debug)]
struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut on purpose")
    }
}

impl std::error::Error for Cut {}

/// Serves connections until the runtime ends. More than `limit` at once are closed unserved.
pub async fn serve(
    listener: net::TcpListener,
    limit: u32,
    connections: Arc<Connections>,
    handler: Arc<dyn Fn(http::Request<body::Incoming>) -> Pending + Send + Sync>,
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
        connections.most.fetch_max(open, atomic::Ordering::SeqCst);
        let handler = Arc::clone(&handler);
        let connections = Arc::clone(&connections);
        task::spawn(async move {
            let _ = stream.set_nodelay(true);
            let service = service::service_fn(move |request| {
                let pending = handler(request);
                async move { pending.await.ok_or(Cut) }
            });
            // An error here is a caller that went away or a cut on purpose; both are expected.
            let _ =
                hyper::server::conn::http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service).await;
            connections.open.fetch_sub(1, atomic::Ordering::SeqCst);
        });
    }
}
