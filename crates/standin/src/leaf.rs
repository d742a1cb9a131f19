//! A backend server with slots, a connection limit, load shedding, draining, index versions, partition
//! epochs, deadlines, cancellation, a ledger of its executions, and injectable faults.
//!
//! `POST /admin/knobs` takes [`Knobs`] in JSON, `GET /admin/ledger` returns a [`Ledger`].

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic},
    time,
};

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::body;
use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use shallothub_core::{catalog, view};
use shallothub_wire::leaf;
use tokio::{net, sync, task};

use crate::http_server;

/// How a leaf responds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// Follows the protocol.
    #[default]
    Proper,
    /// Executes the search, then never responds.
    Hang,
    /// Executes the search, then responds with invalid JSON.
    Garbage,
    /// Executes the search, then closes the connection halfway through the response.
    Half,
    /// Executes the search, then responds with the id of another attempt.
    Others,
    /// Executes the search, then sends a response body that never ends.
    Endless,
    /// Refuses all requests.
    Shed,
}

/// Settings that can change while a leaf runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// Duration of a search, in ms.
    pub latency_ms: u64,
    /// Upper bound of the random extra duration of a search, in ms.
    pub jitter_ms: u64,
    /// Partition epoch; requests for another epoch are refused.
    pub epoch: u64,
    /// Current index version.
    pub version: u64,
    /// An older index version that is still searchable.
    pub held: Option<u64>,
    /// Whether new requests are refused because the server is leaving.
    pub draining: bool,
    /// How the leaf responds.
    #[serde(rename = "manner")]
    pub behaviour: Behaviour,
    /// Number of hits in each response.
    pub hits: u32,
    /// Maximum number of requests that wait or run at once.
    pub queue: u32,
}

impl Default for Knobs {
    fn default() -> Self {
        Self {
            latency_ms: 2,
            jitter_ms: 1,
            epoch: 1,
            version: 1,
            held: None,
            draining: false,
            behaviour: Behaviour::Proper,
            hits: 3,
            queue: 64,
        }
    }
}

/// Counters of what a leaf did since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Searches started.
    pub executed: u64,
    /// Requests refused before execution.
    pub refused: u64,
    /// Number of executions by request key.
    pub keys: IndexMap<CompactString, u32>,
    /// Number of executions by attempt, for the first 100,000 attempts.
    pub attempts: IndexMap<CompactString, u32>,
    /// Highest number of connections open at once.
    pub connections_most: u32,
    /// Connections refused over the limit.
    pub connections_refused: u32,
}

const MAX_RECORDED_ATTEMPTS: usize = 100_000;

/// Fixed properties of a leaf.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Server name, as in the operators' documents.
    pub name: CompactString,
    /// Maximum number of concurrent searches.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Initial values of the knobs.
    #[serde(default)]
    pub knobs: Knobs,
}

/// A running leaf.
#[derive(Debug)]
pub struct Leaf {
    knobs: Mutex<Knobs>,
    ledger: Mutex<Ledger>,
    slots: sync::Semaphore,
    in_flight: atomic::AtomicU32,
    connections: Arc<http_server::Connections>,
    random: Mutex<rngs::SmallRng>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a waiting or running request; the drop also covers futures dropped on cancellation.
struct InFlight<'l>(&'l atomic::AtomicU32);

impl<'l> InFlight<'l> {
    fn enter(count: &'l atomic::AtomicU32) -> (Self, u32) {
        let count_before = count.fetch_add(1, atomic::Ordering::SeqCst);
        (Self(count), count_before)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

impl Leaf {
    /// Starts a leaf on `listener`, in the current Tokio runtime.
    pub fn start(spec: &Spec, listener: net::TcpListener) -> Arc<Self> {
        let leaf = Arc::new(Self {
            knobs: Mutex::new(spec.knobs.clone()),
            ledger: Mutex::default(),
            slots: sync::Semaphore::new(spec.slots as usize),
            in_flight: atomic::AtomicU32::new(0),
            connections: Arc::default(),
            random: Mutex::new(rngs::SmallRng::seed_from_u64(catalog::Digest::of(&spec.name).0)),
        });
        let connections = Arc::clone(&leaf.connections);
        let handler = {
            let leaf = Arc::clone(&leaf);
            Arc::new(move |request| Box::pin(Arc::clone(&leaf).handle(request)) as http_server::ResponseFuture)
        };
        task::spawn(http_server::serve(listener, spec.connections, connections, handler));
        leaf
    }

    /// Applies `change` to the knobs, for later requests.
    pub fn set(&self, change: impl FnOnce(&mut Knobs)) {
        change(&mut lock(&self.knobs));
    }

    /// Returns a copy of the counters.
    pub fn ledger(&self) -> Ledger {
        let mut ledger = lock(&self.ledger).clone();
        ledger.connections_most = self.connections.peak.load(atomic::Ordering::SeqCst);
        ledger.connections_refused = self.connections.refused.load(atomic::Ordering::SeqCst);
        ledger
    }

    async fn handle(
        self: Arc<Self>,
        request: http::Request<body::Incoming>,
    ) -> Option<http::Response<http_server::Body>> {
        match request.uri().path() {
            "/admin/knobs" => Some(self.set_knobs(request).await),
            "/admin/ledger" => Some(http_server::answer(200, serde_json::to_vec(&self.ledger()).unwrap_or_default())),
            leaf::PATH => self.search(request).await,
            _ => Some(http_server::answer(404, "no such path")),
        }
    }

    async fn set_knobs(&self, request: http::Request<body::Incoming>) -> http::Response<http_server::Body> {
        let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        match serde_json::from_slice(&body) {
            Ok(knobs) => {
                self.set(|current| *current = knobs);
                http_server::answer(200, "set")
            }
            Err(error) => http_server::answer(400, error.to_string()),
        }
    }

    async fn search(&self, request: http::Request<body::Incoming>) -> Option<http::Response<http_server::Body>> {
        let arrived = time::Instant::now();
        let params = Params::from_headers(request.headers());
        // Reads the whole request first, so that a truncated request is never executed.
        if request.into_body().collect().await.is_err() {
            return None;
        }
        let knobs = lock(&self.knobs).clone();
        let (_in_flight, count_before) = InFlight::enter(&self.in_flight);
        let is_full = count_before >= knobs.queue;
        if is_full
            || knobs.draining
            || knobs.behaviour == Behaviour::Shed
            || params.epoch.is_some_and(|epoch| epoch != knobs.epoch)
        {
            return Some(self.refuse(&params));
        }
        let Ok(_slot) = self.slots.acquire().await else {
            return Some(self.refuse(&params));
        };
        if params.deadline_ms.is_some_and(|deadline| arrived.elapsed().as_millis() >= u128::from(deadline)) {
            return Some(self.refuse(&params));
        }
        if !self.record(&params) {
            return Some(params.answer_without_reply(409, "this key runs or ran"));
        }
        let jitter = lock(&self.random).random_range(0..=knobs.jitter_ms);
        let latency = time::Duration::from_millis(knobs.latency_ms + jitter);
        if !latency.is_zero() {
            tokio::time::sleep(latency).await;
        }
        self.reply(&params, &knobs).await
    }

    fn refuse(&self, params: &Params) -> http::Response<http_server::Body> {
        lock(&self.ledger).refused += 1;
        let mut response = params.answer_without_reply(429, "refused before it ran");
        response.headers_mut().insert(leaf::RETRY_AFTER, http::HeaderValue::from_static("20"));
        response
    }

    /// Records the execution in the ledger; returns `false` if its key is already recorded.
    fn record(&self, params: &Params) -> bool {
        let mut ledger = lock(&self.ledger);
        if let Some(key) = &params.key {
            if ledger.keys.contains_key(key) {
                return false;
            }
            ledger.keys.insert(key.clone(), 1);
        }
        ledger.executed += 1;
        if ledger.attempts.len() < MAX_RECORDED_ATTEMPTS {
            *ledger.attempts.entry(params.attempt.clone()).or_default() += 1;
        }
        true
    }

    async fn reply(&self, params: &Params, knobs: &Knobs) -> Option<http::Response<http_server::Body>> {
        let bytes = self.reply_bytes(params, knobs);
        match knobs.behaviour {
            Behaviour::Proper | Behaviour::Others => Some(http_server::answer(200, bytes)),
            Behaviour::Hang => std::future::pending().await,
            Behaviour::Garbage => Some(http_server::answer(200, "{ this is no answer")),
            Behaviour::Half => {
                let mut response = http_server::answer(200, bytes.slice(0..bytes.len() / 2));
                response.headers_mut().insert(http::header::CONTENT_LENGTH, bytes.len().into());
                Some(response)
            }
            Behaviour::Endless => Some(http::Response::new(BodyExt::boxed(Endless))),
            Behaviour::Shed => Some(self.refuse(params)),
        }
    }

    fn reply_bytes(&self, params: &Params, knobs: &Knobs) -> Bytes {
        let is_held_version = params.wanted_version.is_some() && params.wanted_version == knobs.held;
        let version = if is_held_version { params.wanted_version.unwrap_or(knobs.version) } else { knobs.version };
        let other_version = if is_held_version { Some(knobs.version) } else { knobs.held };
        let snapshot = |version| view::Snapshot { epoch: knobs.epoch, version };
        let attempt = if knobs.behaviour == Behaviour::Others {
            CompactString::const_new("f00-0-a0.0")
        } else {
            params.attempt.clone()
        };
        let hits: Vec<_> = (0..knobs.hits).map(|hit| format!("{}-{version}-{hit}", params.shard)).collect();
        let hits = serde_json::value::to_raw_value(&hits).unwrap_or_else(|_| RawValue::NULL.to_owned());
        let reply = leaf::Reply {
            attempt,
            shard: params.shard.clone(),
            snapshot: snapshot(version),
            held: other_version.map(snapshot),
            count: knobs.hits,
            load: Some(self.in_flight.load(atomic::Ordering::SeqCst)),
            hits: &hits,
        };
        serde_json::to_vec(&reply).unwrap_or_default().into()
    }
}

/// A response body without end.
struct Endless;

impl body::Body for Endless {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<body::Frame<Bytes>, Self::Error>>> {
        std::task::Poll::Ready(Some(Ok(body::Frame::data(Bytes::from_static(&[b' '; 4096])))))
    }
}

#[derive(Debug)]
struct Params {
    attempt: CompactString,
    shard: CompactString,
    key: Option<CompactString>,
    epoch: Option<u64>,
    wanted_version: Option<u64>,
    deadline_ms: Option<u64>,
}

impl Params {
    fn from_headers(headers: &http::HeaderMap) -> Self {
        let text =
            |name| headers.get(name).and_then(|value: &http::HeaderValue| value.to_str().ok()).map(CompactString::from);
        let number = |name| text(name).and_then(|value| value.parse().ok());
        Self {
            attempt: text(leaf::ATTEMPT).unwrap_or_default(),
            shard: text(leaf::SHARD).unwrap_or_default(),
            key: text(leaf::KEY),
            epoch: number(leaf::EPOCH),
            wanted_version: number(leaf::WANT_VERSION),
            deadline_ms: number(leaf::DEADLINE),
        }
    }

    /// A response that echoes the attempt's id in a header.
    fn answer_without_reply(&self, status: u16, text: &'static str) -> http::Response<http_server::Body> {
        let mut response = http_server::answer(status, text);
        if let Ok(attempt) = http::HeaderValue::from_str(&self.attempt) {
            response.headers_mut().insert(leaf::ATTEMPT, attempt);
        }
        response
    }
}
