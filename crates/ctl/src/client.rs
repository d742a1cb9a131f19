//! An HTTP client for the pages and queries of a node.

use std::net;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt;
use snafu::ResultExt;
use tokio::task;

use crate::error;

/// A persistent connection, which sends one request at a time.
#[derive(Debug)]
pub struct Connection {
    address: net::SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Connects to `address`.
    pub async fn open(address: net::SocketAddr) -> Result<Self, error::Error> {
        let stream = tokio::net::TcpStream::connect(address).await.context(error::ConnectSnafu { address })?;
        stream.set_nodelay(true).context(error::ConnectSnafu { address })?;
        let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
        let (sender, connection) = handshake.context(error::CallSnafu { address })?;
        task::spawn(connection);
        Ok(Self { address, sender })
    }

    /// Whether another request can be sent on it.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and reads the whole response.
    pub async fn call(&mut self, request: http::Request<Full<Bytes>>) -> Result<http::Response<Bytes>, error::Error> {
        let address = self.address;
        let response = self.sender.send_request(request).await.context(error::CallSnafu { address })?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.context(error::CallSnafu { address })?;
        // The connection may be closing; the next caller checks `is_open`.
        self.sender.ready().await.ok();
        Ok(http::Response::from_parts(head, body.to_bytes()))
    }
}

/// Sends a `GET` request for `path` on a new connection.
pub async fn get(address: net::SocketAddr, path: &str) -> Result<http::Response<Bytes>, error::Error> {
    call(http::Method::GET, address, path).await
}

/// Sends a `POST` request with an empty body to `path` on a new connection.
pub async fn post(address: net::SocketAddr, path: &str) -> Result<http::Response<Bytes>, error::Error> {
    call(http::Method::POST, address, path).await
}

async fn call(
    method: http::Method,
    address: net::SocketAddr,
    path: &str,
) -> Result<http::Response<Bytes>, error::Error> {
    let mut connection = Connection::open(address).await?;
    let request = http::Request::builder().method(method).uri(path).header(http::header::HOST, address.to_string());
    let request = request.body(Full::default()).context(error::RequestSnafu)?;
    connection.call(request).await
}
