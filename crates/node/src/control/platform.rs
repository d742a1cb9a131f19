//! Calls of the platform's configuration service.

use std::{io, net, str, sync::Arc, time as std_time};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt;
use shallothub_core::{catalog, clock};
use snafu::{ResultExt, Snafu};
use tokio::{task, time::timeout};

use crate::time;

/// Longest time for a call beyond the wait of a watch.
const PATIENCE: std_time::Duration = std_time::Duration::from_secs(2);

/// Why there is no value.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("no connection to the platform at {address}"))]
    Connect { address: net::SocketAddr, source: io::Error },
    #[snafu(display("the platform broke off at {path}"))]
    Call { path: String, source: hyper::Error },
    #[snafu(display("the platform answered {path} with {status}"))]
    Status { path: String, status: http::StatusCode },
    #[snafu(display("the value at {path} is over {limit} bytes; cut it into parts, or it was broken off"))]
    TooLarge { path: String, limit: usize },
    #[snafu(display("the value at {path} is not UTF-8"))]
    Text { path: String, source: str::Utf8Error },
    #[snafu(display("the platform did not answer {path} in time"))]
    Silent { path: String },
    #[snafu(display("the path {path} is no URI"))]
    Uri { path: String, source: http::Error },
}

impl Error {
    /// Whether the value is at fault, and not the way to it.
    pub(crate) fn is_fault(&self) -> bool {
        matches!(self, Self::TooLarge { .. } | Self::Text { .. })
    }
}

/// Reads or watches `path`; `wait` is the longest wait of a watch.
pub(crate) async fn get(address: net::SocketAddr, path: &str, wait: clock::Millis) -> Result<Arc<str>, Error> {
    let patience = PATIENCE + time::duration(wait);
    match timeout(patience, call(address, path)).await {
        Ok(result) => result,
        Err(_) => SilentSnafu { path }.fail(),
    }
}

async fn call(address: net::SocketAddr, path: &str) -> Result<Arc<str>, Error> {
    let stream = tokio::net::TcpStream::connect(address).await.context(ConnectSnafu { address })?;
    let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(CallSnafu { path })?;
    task::spawn_local(connection);
    let request = http::Request::get(path).header(http::header::HOST, address.to_string());
    let request = request.body(Empty::<Bytes>::new()).context(UriSnafu { path })?;
    let response = sender.send_request(request).await.context(CallSnafu { path })?;
    let status = response.status();
    if status != http::StatusCode::OK {
        return StatusSnafu { path, status }.fail();
    }
    let body = Limited::new(response.into_body(), catalog::VALUE_MAX).collect().await;
    let Ok(body) = body else {
        return TooLargeSnafu { path, limit: catalog::VALUE_MAX }.fail();
    };
    let bytes = body.to_bytes();
    let text = str::from_utf8(&bytes).context(TextSnafu { path })?;
    Ok(Arc::from(text))
}
