//! HTTP client for the platform's configuration service or registry.
//!
//! A connection is reused for later calls. It can break without a reset, and a watch that waits on it
//! would then wait for its whole timeout, so TCP keepalive probes it while it is idle.

use std::{io, net, time as std_time};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt;
use snafu::{ResultExt, Snafu};
use tokio::{task, time::timeout};

use crate::metered;

/// Timeout for opening a connection. The kernel retries an attempt that began during a network partition only
/// seconds after the partition heals.
const CONNECT_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(1);
/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: std_time::Duration = std_time::Duration::from_secs(1);
/// Number of unanswered probes after which the kernel closes the connection.
const KEEPALIVE_RETRIES: u32 = 2;

/// Timeout of a call that reads a value or a page, which may be a megabyte over a slow link.
pub(crate) const READ_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(2);

/// Why a call returned no response.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("cannot connect to the platform at {address}"))]
    Connect { address: net::SocketAddr, source: io::Error },
    #[snafu(display("the connection failed during the request for {path}"))]
    Call { path: String, source: hyper::Error },
    #[snafu(display("the response to {path} is larger than {limit} bytes or was cut off"))]
    Body { path: String, limit: usize },
    #[snafu(display("the request for {path} timed out"))]
    Timeout { path: String },
    #[snafu(display("the path {path} is not a valid URI"))]
    Uri { path: String, source: http::Error },
}

impl Error {
    /// Whether the error lies in the value rather than in reaching the platform.
    pub(crate) fn is_value_fault(&self) -> bool {
        matches!(self, Self::Body { .. })
    }
}

/// A response with its complete body.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: http::StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
}

/// A client with at most one connection, which is opened on demand.
#[derive(Debug, Default)]
pub(crate) struct Client {
    connection: Option<Connection>,
}

/// An open connection. Dropping it closes it at once, also in the middle of a response that timed out.
#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Empty<Bytes>>,
    driver: task::AbortHandle,
    /// Bounds the bytes of each response.
    budget: metered::Budget,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Client {
    /// Gets `path` within `max_time`; `limit` is the maximum body size in bytes.
    pub(crate) async fn get(
        &mut self,
        address: net::SocketAddr,
        path: &str,
        max_time: std_time::Duration,
        limit: usize,
    ) -> Result<Response, Error> {
        let connection = self.connection.take();
        match timeout(max_time, call(address, connection, path, limit)).await {
            Ok(Ok((connection, response))) => {
                self.connection = Some(connection);
                Ok(response)
            }
            Ok(Err(error)) => Err(error),
            Err(_) => TimeoutSnafu { path }.fail(),
        }
    }
}

async fn call(
    address: net::SocketAddr,
    cached: Option<Connection>,
    path: &str,
    limit: usize,
) -> Result<(Connection, Response), Error> {
    let mut connection = match reuse(cached).await {
        Some(connection) => connection,
        None => connect(address, path).await?,
    };
    let request = http::Request::get(path).header(http::header::HOST, address.to_string());
    let request = request.body(Empty::<Bytes>::new()).context(UriSnafu { path })?;
    connection.budget.reset();
    let response = connection.sender.send_request(request).await.context(CallSnafu { path })?;
    let (head, body) = response.into_parts();
    let Ok(body) = connection.budget.collect(body, limit).await else {
        return BodySnafu { path, limit }.fail();
    };
    Ok((connection, Response { status: head.status, headers: head.headers, body }))
}

/// Returns the cached connection if it can still be used.
async fn reuse(cached: Option<Connection>) -> Option<Connection> {
    let mut connection = cached?;
    connection.sender.ready().await.ok()?;
    Some(connection)
}

async fn connect(address: net::SocketAddr, path: &str) -> Result<Connection, Error> {
    let connecting = timeout(CONNECT_TIMEOUT, tokio::net::TcpStream::connect(address));
    let Ok(stream) = connecting.await else {
        return TimeoutSnafu { path }.fail();
    };
    let stream = stream.context(ConnectSnafu { address })?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    // Without keepalive a broken connection is detected later, by the call's timeout.
    socket2::SockRef::from(&stream).set_tcp_keepalive(&keepalive).ok();
    let (stream, budget) = metered::Stream::new(stream);
    let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
    let (sender, connection) = handshake.context(CallSnafu { path })?;
    let driver = task::spawn_local(connection).abort_handle();
    Ok(Connection { sender, driver, budget })
}
