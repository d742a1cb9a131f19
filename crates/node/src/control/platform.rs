//! Calls of the platform's configuration service or registry.
//!
//! A connection is kept from call to call. It may go silent for good without a reset, and a watch that
//! waits on it would then wait in vain, so the kernel probes it while it is idle.

use std::{io, net, time as std_time};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt;
use snafu::{ResultExt, Snafu};
use tokio::{task, time::timeout};

/// Longest time to open a connection. One that was begun during a cut would be tried again by the kernel
/// only seconds after it heals.
const CONNECT: std_time::Duration = std_time::Duration::from_secs(1);
/// Idle time after which the kernel probes a connection, and time between probes.
const PROBE: std_time::Duration = std_time::Duration::from_secs(1);
/// Probes without an answer after which the connection is dead.
const PROBES: u32 = 2;

/// Longest time for a call that reads a value or a page, which may be a megabyte on a thin link.
pub(crate) const READ_PATIENCE: std_time::Duration = std_time::Duration::from_secs(2);

/// Why there is no value.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("no connection to the platform at {address}"))]
    Connect { address: net::SocketAddr, source: io::Error },
    #[snafu(display("the platform broke off at {path}"))]
    Call { path: String, source: hyper::Error },
    #[snafu(display("the answer to {path} is over {limit} bytes, or it was broken off"))]
    TooLarge { path: String, limit: usize },
    #[snafu(display("the platform did not answer {path} in time"))]
    Silent { path: String },
    #[snafu(display("the path {path} is no URI"))]
    Uri { path: String, source: http::Error },
}

impl Error {
    /// Whether the value is at fault, and not the way to it.
    pub(crate) fn is_fault(&self) -> bool {
        matches!(self, Self::TooLarge { .. })
    }
}

/// An answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: http::StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
}

/// A connection to the platform, opened when it is needed.
#[derive(Debug, Default)]
pub(crate) struct Client {
    sender: Option<http1::SendRequest<Empty<Bytes>>>,
}

impl Client {
    /// Gets `path` within `patience`; `limit` is the largest body in bytes.
    pub(crate) async fn get(
        &mut self,
        address: net::SocketAddr,
        path: &str,
        patience: std_time::Duration,
        limit: usize,
    ) -> Result<Answer, Error> {
        let sender = self.sender.take();
        match timeout(patience, call(address, sender, path, limit)).await {
            Ok(Ok((sender, answer))) => {
                self.sender = Some(sender);
                Ok(answer)
            }
            Ok(Err(error)) => Err(error),
            Err(_) => SilentSnafu { path }.fail(),
        }
    }
}

async fn call(
    address: net::SocketAddr,
    kept: Option<http1::SendRequest<Empty<Bytes>>>,
    path: &str,
    limit: usize,
) -> Result<(http1::SendRequest<Empty<Bytes>>, Answer), Error> {
    let mut sender = match ready(kept).await {
        Some(sender) => sender,
        None => connect(address, path).await?,
    };
    let request = http::Request::get(path).header(http::header::HOST, address.to_string());
    let request = request.body(Empty::<Bytes>::new()).context(UriSnafu { path })?;
    let response = sender.send_request(request).await.context(CallSnafu { path })?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, limit).collect().await;
    let Ok(body) = body else {
        return TooLargeSnafu { path, limit }.fail();
    };
    Ok((sender, Answer { status: head.status, headers: head.headers, body: body.to_bytes() }))
}

/// The kept connection, if it can still be used.
async fn ready(kept: Option<http1::SendRequest<Empty<Bytes>>>) -> Option<http1::SendRequest<Empty<Bytes>>> {
    let mut sender = kept?;
    sender.ready().await.ok()?;
    Some(sender)
}

async fn connect(address: net::SocketAddr, path: &str) -> Result<http1::SendRequest<Empty<Bytes>>, Error> {
    let connecting = timeout(CONNECT, tokio::net::TcpStream::connect(address));
    let Ok(stream) = connecting.await else {
        return SilentSnafu { path }.fail();
    };
    let stream = stream.context(ConnectSnafu { address })?;
    let probing = socket2::TcpKeepalive::new().with_time(PROBE).with_interval(PROBE).with_retries(PROBES);
    // Without probes a silent connection is noticed later, by the call's patience.
    socket2::SockRef::from(&stream).set_tcp_keepalive(&probing).ok();
    let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
    let (sender, connection) = handshake.context(CallSnafu { path })?;
    task::spawn_local(connection);
    Ok(sender)
}
