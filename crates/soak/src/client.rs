//! Clients that send requests on persistent connections and check each response.

use std::{net, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt;
use shallothub_core::merge;
use shallothub_platform::opposite;
use shallothub_standin::replica;
use tokio::{task, time::timeout};

use crate::deployment;

/// Maximum wait for a response; longer than a node may ever take.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Deadline that a client sends with each request, in ms.
pub const DEADLINE_MS: u64 = 1500;

/// Kind of a request, which selects its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Scattered to all shards, with merged results.
    Gather,
    /// Sent to one leaf; idempotent.
    Read,
    /// Sent to one leaf, at most once.
    Write,
}

impl Kind {
    /// Returns the name of the route for this kind.
    pub fn route(self) -> &'static str {
        match self {
            Self::Gather => "gather",
            Self::Read => "read",
            Self::Write => "write",
        }
    }
}

/// Outcome of a request, as the client observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A correct response with a success status.
    Served {
        /// Services whose parts are in the response.
        services: Vec<CompactString>,
        /// Number of shards reported as missing.
        missing: usize,
    },
    /// A complete response with this non-success status.
    Status(u16),
    /// The connection closed before a complete response.
    Cut,
    /// No connection could be opened.
    NoConnection,
    /// No response within the time-out.
    Silence,
    /// An incorrect response, with a description of the fault.
    Wrong(String),
}

/// A client with one persistent connection.
#[derive(Debug)]
pub struct Client {
    address: net::SocketAddr,
    sender: Option<http1::SendRequest<Full<Bytes>>>,
}

impl Client {
    /// Creates a client of the node at `address`, which connects on its first request.
    pub fn new(address: net::SocketAddr) -> Self {
        Self { address, sender: None }
    }

    /// Sends one request. `name` must be unique to each request.
    pub async fn send(&mut self, kind: Kind, name: &str) -> Outcome {
        let (head, outcome) = self.send_for_head(kind, name).await;
        drop(head);
        outcome
    }

    /// Sends one request, and also returns the head of the response.
    pub async fn send_for_head(&mut self, kind: Kind, name: &str) -> (Option<http::response::Parts>, Outcome) {
        let mut sender = match self.sender.take() {
            Some(sender) if !sender.is_closed() => sender,
            _ => match connect(self.address).await {
                Some(sender) => sender,
                None => return (None, Outcome::NoConnection),
            },
        };
        let mut request = http::Request::new(Full::new(match kind {
            Kind::Write => Bytes::from(format!("a letter called {name}")),
            _ => Bytes::new(),
        }));
        *request.method_mut() = if kind == Kind::Write { http::Method::POST } else { http::Method::GET };
        if let Ok(uri) = format!("/{}/{name}", kind.route()).parse() {
            *request.uri_mut() = uri;
        }
        *request.headers_mut() = opposite::request_headers(deployment::HOST, name, DEADLINE_MS);
        if sender.ready().await.is_err() {
            return (None, Outcome::Cut);
        }
        let response = match timeout(RESPONSE_TIMEOUT, sender.send_request(request)).await {
            Err(_) => return (None, Outcome::Silence),
            Ok(Err(_)) => return (None, Outcome::Cut),
            Ok(Ok(response)) => response,
        };
        let (head, body) = response.into_parts();
        let Ok(Ok(body)) = timeout(RESPONSE_TIMEOUT, body.collect()).await else {
            return (Some(head), Outcome::Cut);
        };
        self.sender = Some(sender);
        let outcome = check(kind, name, &head, &body.to_bytes());
        (Some(head), outcome)
    }
}

async fn connect(address: net::SocketAddr) -> Option<http1::SendRequest<Full<Bytes>>> {
    let stream = timeout(Duration::from_secs(1), tokio::net::TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
    task::spawn(async move {
        connection.await.ok();
    });
    Some(sender)
}

/// Fetches `path` from a node; returns the status, or `None` on failure.
pub async fn get_status(address: net::SocketAddr, path: &str) -> Option<u16> {
    page(address, path).await.map(|(status, _)| status)
}

/// Fetches `path` from a node; returns status and body, or `None` on failure.
pub async fn page(address: net::SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    let mut sender = connect(address).await?;
    let request = http::Request::get(path).header("host", "node").body(Full::new(Bytes::new())).ok()?;
    let response = timeout(RESPONSE_TIMEOUT, sender.send_request(request)).await.ok()?.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}

/// Compares a response with the expected one.
fn check(kind: Kind, name: &str, head: &http::response::Parts, body: &Bytes) -> Outcome {
    let headers = opposite::Response::parse(&head.headers);
    if !head.status.is_success() {
        return match &headers.signature {
            Some(signature) if replica::parse_signature(signature).is_none_or(|(request, _)| request != name) => {
                Outcome::Wrong(format!("a failure signed {signature}"))
            }
            _ => Outcome::Status(head.status.as_u16()),
        };
    }
    match kind {
        Kind::Gather => check_merged(name, &headers, body),
        Kind::Read | Kind::Write => check_whole(name, &headers, body),
    }
}

fn check_whole(name: &str, headers: &opposite::Response, body: &Bytes) -> Outcome {
    let Some((request, service)) = headers.signature.as_deref().and_then(replica::parse_signature) else {
        return Outcome::Wrong("a success without a signature".to_owned());
    };
    if request != name || *body != replica::whole_body(service, name).as_bytes() {
        return Outcome::Wrong(format!("the answer of {request} ({service}) with {} bytes", body.len()));
    }
    Outcome::Served { services: vec![service.into()], missing: 0 }
}

fn check_merged(name: &str, headers: &opposite::Response, body: &Bytes) -> Outcome {
    let mut services: Vec<CompactString> = Vec::new();
    let mut parts = Vec::new();
    for signature in &headers.parts {
        let Some((request, service)) = replica::parse_signature(signature) else {
            return Outcome::Wrong(format!("a part signed {signature}"));
        };
        if request != name || services.iter().any(|other| other == service) {
            return Outcome::Wrong(format!("a part of {request} ({service}), or one that is there twice"));
        }
        services.push(service.into());
        parts.push(replica::records(service, name));
    }
    let merged = merge::greatest(parts.iter().map(Vec::as_slice), 10);
    if services.is_empty() || *body != merged {
        return Outcome::Wrong(format!("{} parts, and a body that is not theirs", services.len()));
    }
    Outcome::Served { services, missing: headers.missing }
}
