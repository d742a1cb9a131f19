//! Clients: they ask on kept connections, and check each answer against what it must be.

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

/// Longest wait for an answer; beyond any that a node may take.
const PATIENCE: Duration = Duration::from_secs(4);
/// Time that a client names with its requests, in ms.
pub const LEFT_MS: u64 = 1500;

/// What kind of request it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// To all shards.
    Gather,
    /// To one leaf, repeatable.
    Read,
    /// To one leaf, at most once.
    Write,
}

impl Kind {
    /// The name of its route.
    pub fn route(self) -> &'static str {
        match self {
            Self::Gather => "gather",
            Self::Read => "read",
            Self::Write => "write",
        }
    }
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A success.
    Served {
        /// The services whose parts are in it.
        services: Vec<CompactString>,
        /// Shards that are said to be left out.
        missing: usize,
    },
    /// An answer of this status, without success.
    Told(u16),
    /// The connection ended before a complete answer.
    Cut,
    /// No connection could be had.
    NoConnection,
    /// Nothing came.
    Silence,
    /// An answer that must not be.
    Wrong(String),
}

/// A kept connection.
#[derive(Debug)]
pub struct Client {
    address: net::SocketAddr,
    sender: Option<http1::SendRequest<Full<Bytes>>>,
}

impl Client {
    /// A client of the node at `address`; it connects when it asks.
    pub fn new(address: net::SocketAddr) -> Self {
        Self { address, sender: None }
    }

    /// Asks once. `name` must be new for each request.
    pub async fn ask(&mut self, kind: Kind, name: &str) -> End {
        let (shown, end) = self.ask_shown(kind, name).await;
        drop(shown);
        end
    }

    /// Asks once, and also gives the head of the answer.
    pub async fn ask_shown(&mut self, kind: Kind, name: &str) -> (Option<http::response::Parts>, End) {
        let mut sender = match self.sender.take() {
            Some(sender) if !sender.is_closed() => sender,
            _ => match connect(self.address).await {
                Some(sender) => sender,
                None => return (None, End::NoConnection),
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
        *request.headers_mut() = opposite::request_headers(deployment::HOST, name, LEFT_MS);
        if sender.ready().await.is_err() {
            return (None, End::Cut);
        }
        let response = match timeout(PATIENCE, sender.send_request(request)).await {
            Err(_) => return (None, End::Silence),
            Ok(Err(_)) => return (None, End::Cut),
            Ok(Ok(response)) => response,
        };
        let (head, body) = response.into_parts();
        let Ok(Ok(body)) = timeout(PATIENCE, body.collect()).await else {
            return (Some(head), End::Cut);
        };
        self.sender = Some(sender);
        let end = check(kind, name, &head, &body.to_bytes());
        (Some(head), end)
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

/// The status of a page of a node.
pub async fn get(address: net::SocketAddr, path: &str) -> Option<u16> {
    page(address, path).await.map(|(status, _)| status)
}

/// A page of a node.
pub async fn page(address: net::SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    let mut sender = connect(address).await?;
    let request = http::Request::get(path).header("host", "node").body(Full::new(Bytes::new())).ok()?;
    let response = timeout(PATIENCE, sender.send_request(request)).await.ok()?.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}

/// Holds an answer against what it must be.
fn check(kind: Kind, name: &str, head: &http::response::Parts, body: &Bytes) -> End {
    let got = opposite::Response::parse(&head.headers);
    if !head.status.is_success() {
        return match &got.signature {
            Some(signature) if replica::signed(signature).is_none_or(|(request, _)| request != name) => {
                End::Wrong(format!("a failure signed {signature}"))
            }
            _ => End::Told(head.status.as_u16()),
        };
    }
    match kind {
        Kind::Gather => check_merged(name, &got, body),
        Kind::Read | Kind::Write => check_whole(name, &got, body),
    }
}

fn check_whole(name: &str, got: &opposite::Response, body: &Bytes) -> End {
    let Some((request, service)) = got.signature.as_deref().and_then(replica::signed) else {
        return End::Wrong("a success without a signature".to_owned());
    };
    if request != name || *body != replica::whole(service, name).as_bytes() {
        return End::Wrong(format!("the answer of {request} ({service}) with {} bytes", body.len()));
    }
    End::Served { services: vec![service.into()], missing: 0 }
}

fn check_merged(name: &str, got: &opposite::Response, body: &Bytes) -> End {
    let mut services: Vec<CompactString> = Vec::new();
    let mut parts = Vec::new();
    for signature in &got.parts {
        let Some((request, service)) = replica::signed(signature) else {
            return End::Wrong(format!("a part signed {signature}"));
        };
        if request != name || services.iter().any(|other| other == service) {
            return End::Wrong(format!("a part of {request} ({service}), or one that is there twice"));
        }
        services.push(service.into());
        parts.push(replica::records(service, name));
    }
    let merged = merge::greatest(parts.iter().map(Vec::as_slice), 10);
    if services.is_empty() || *body != merged {
        return End::Wrong(format!("{} parts, and a body that is not theirs", services.len()));
    }
    End::Served { services, missing: got.missing }
}
