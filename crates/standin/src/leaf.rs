//! A backend server: slots, a connection limit, shedding, draining, index versions, partition
//! epochs, deadlines, cancellation, a ledger of what it ran, and misbehaviour on demand.
//!
//! `POST /admin/knobs` takes [`Knobs`] in JSON, `GET /admin/ledger` gives a [`Ledger`].

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

/// How a leaf answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Manner {
    /// As it should.
    #[default]
    Proper,
    /// Runs, then never answers.
    Hang,
    /// Runs, then answers what is no JSON.
    Garbage,
    /// Runs, then cuts the connection in the middle of the answer.
    Half,
    /// Runs, then answers with another's attempt.
    Others,
    /// Runs, then answers for ever.
    Endless,
    /// Refuses everything.
    Shed,
}

/// What can be set while a leaf runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// Time that a search takes, in ms.
    pub latency_ms: u64,
    /// Up to so much is added at random, in ms.
    pub jitter_ms: u64,
    /// Partition epoch.
    pub epoch: u64,
    /// Index version.
    pub version: u64,
    /// An older version that it still answers from.
    pub held: Option<u64>,
    /// Refuses new work because it is leaving.
    pub draining: bool,
    /// How it answers.
    pub manner: Manner,
    /// Hits of each answer.
    pub hits: u32,
    /// Requests that may wait for a slot.
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
            manner: Manner::Proper,
            hits: 3,
            queue: 64,
        }
    }
}

/// What a leaf did.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Searches begun.
    pub executed: u64,
    /// Requests refused before running.
    pub refused: u64,
    /// Executions by request key.
    pub keys: IndexMap<CompactString, u32>,
    /// Executions by attempt, the first hundred thousand.
    pub attempts: IndexMap<CompactString, u32>,
    /// Most connections that were ever open.
    pub connections_most: u32,
    /// Connections closed because there were too many.
    pub connections_refused: u32,
}

const ATTEMPTS_KEPT: usize = 100_000;

/// A leaf's fixed properties.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Its name, as operators write it.
    pub name: CompactString,
    /// Searches that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Start values of the knobs.
    #[serde(default)]
    pub knobs: Knobs,
}

/// A leaf that runs.
#[derive(Debug)]
pub struct Leaf {
    knobs: Mutex<Knobs>,
    ledger: Mutex<Ledger>,
    slots: sync::Semaphore,
    waiting: atomic::AtomicU32,
    connections: Arc<http_server::Connections>,
    random: Mutex<rngs::SmallRng>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a request that waits or runs, also when its future is dropped by a cancellation.
struct Present<'l>(&'l atomic::AtomicU32);

impl<'l> Present<'l> {
    fn enter(count: &'l atomic::AtomicU32) -> (Self, u32) {
        let before = count.fetch_add(1, atomic::Ordering::SeqCst);
        (Self(count), before)
    }
}

impl Drop for Present<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

impl Leaf {
    /// Starts a leaf on `listener`, in the runtime that this is called in.
    pub fn start(spec: &Spec, listener: net::TcpListener) -> Arc<Self> {
        let leaf = Arc::new(Self {
            knobs: Mutex::new(spec.knobs.clone()),
            ledger: Mutex::default(),
            slots: sync::Semaphore::new(spec.slots as usize),
            waiting: atomic::AtomicU32::new(0),
            connections: Arc::default(),
            random: Mutex::new(rngs::SmallRng::seed_from_u64(catalog::Digest::of(&spec.name).0)),
        });
        let connections = Arc::clone(&leaf.connections);
        let handler = {
            let leaf = Arc::clone(&leaf);
            Arc::new(move |request| Box::pin(Arc::clone(&leaf).handle(request)) as http_server::Pending)
        };
        task::spawn(http_server::serve(listener, spec.connections, connections, handler));
        leaf
    }

    /// Changes the knobs.
    pub fn set(&self, change: impl FnOnce(&mut Knobs)) {
        change(&mut lock(&self.knobs));
    }

    /// What it did so far.
    pub fn ledger(&self) -> Ledger {
        let mut ledger = lock(&self.ledger).clone();
        ledger.connections_most = self.connections.most.load(atomic::Ordering::SeqCst);
        ledger.connections_refused = self.connections.refused.load(atomic::Ordering::SeqCst);
        ledger
    }

    async fn handle(
        self: Arc<Self>,
        request: http::Request<body::Incoming>,
    ) -> Option<http::Response<http_server::Body>> {
        match request.uri().path() {
            "/admin/knobs" => Some(self.admin(request).await),
            "/admin/ledger" => Some(http_server::answer(200, serde_json::to_vec(&self.ledger()).unwrap_or_default())),
            leaf::PATH => self.search(request).await,
            _ => Some(http_server::answer(404, "no such path")),
        }
    }

    async fn admin(&self, request: http::Request<body::Incoming>) -> http::Response<http_server::Body> {
        let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        match serde_json::from_slice(&body) {
            Ok(knobs) => {
                self.set(|held| *held = knobs);
                http_server::answer(200, "set")
            }
            Err(error) => http_server::answer(400, error.to_string()),
        }
    }

    async fn search(&self, request: http::Request<body::Incoming>) -> Option<http::Response<http_server::Body>> {
        let arrived = time::Instant::now();
        let ask = Ask::of(request.headers());
        // The whole request is read before anything runs: half a request never runs.
        if request.into_body().collect().await.is_err() {
            return None;
        }
        let knobs = lock(&self.knobs).clone();
        let (_present, before) = Present::enter(&self.waiting);
        let is_full = before >= knobs.queue;
        if is_full
            || knobs.draining
            || knobs.manner == Manner::Shed
            || ask.epoch.is_some_and(|epoch| epoch != knobs.epoch)
        {
            return Some(self.refuse());
        }
        let Ok(_slot) = self.slots.acquire().await else {
            return Some(self.refuse());
        };
        if ask.deadline_ms.is_some_and(|deadline| arrived.elapsed().as_millis() >= u128::from(deadline)) {
            return Some(self.refuse());
        }
        if !self.record(&ask) {
            return Some(http_server::answer(409, "this key runs or ran"));
        }
        let jitter = lock(&self.random).random_range(0..=knobs.jitter_ms);
        let latency = time::Duration::from_millis(knobs.latency_ms + jitter);
        if !latency.is_zero() {
            tokio::time::sleep(latency).await;
        }
        self.reply(&ask, &knobs).await
    }

    fn refuse(&self) -> http::Response<http_server::Body> {
        lock(&self.ledger).refused += 1;
        let mut response = http_server::answer(429, "refused before it ran");
        response.headers_mut().insert(leaf::RETRY_AFTER, http::HeaderValue::from_static("20"));
        response
    }

    /// Writes the execution into the ledger; `false` if its key is there already.
    fn record(&self, ask: &Ask) -> bool {
        let mut ledger = lock(&self.ledger);
        if let Some(key) = &ask.key {
            if ledger.keys.contains_key(key) {
                return false;
            }
            ledger.keys.insert(key.clone(), 1);
        }
        ledger.executed += 1;
        if ledger.attempts.len() < ATTEMPTS_KEPT {
            *ledger.attempts.entry(ask.attempt.clone()).or_default() += 1;
        }
        true
    }

    async fn reply(&self, ask: &Ask, knobs: &Knobs) -> Option<http::Response<http_server::Body>> {
        let bytes = self.reply_bytes(ask, knobs);
        match knobs.manner {
            Manner::Proper | Manner::Others => Some(http_server::answer(200, bytes)),
            Manner::Hang => std::future::pending().await,
            Manner::Garbage => Some(http_server::answer(200, "{ this is no answer")),
            Manner::Half => {
                let mut response = http_server::answer(200, bytes.slice(0..bytes.len() / 2));
                response.headers_mut().insert(http::header::CONTENT_LENGTH, bytes.len().into());
                Some(response)
            }
            Manner::Endless => Some(http::Response::new(BodyExt::boxed(Endless))),
            Manner::Shed => Some(self.refuse()),
        }
    }

    fn reply_bytes(&self, ask: &Ask, knobs: &Knobs) -> Bytes {
        let is_held = ask.want.is_some() && ask.want == knobs.held;
        let version = if is_held { ask.want.unwrap_or(knobs.version) } else { knobs.version };
        let other = if is_held { Some(knobs.version) } else { knobs.held };
        let snapshot = |version| view::Snapshot { epoch: knobs.epoch, version };
        let attempt =
            if knobs.manner == Manner::Others { CompactString::const_new("f00-0-a0.0") } else { ask.attempt.clone() };
        let hits: Vec<_> = (0..knobs.hits).map(|hit| format!("{}-{version}-{hit}", ask.shard)).collect();
        let hits = serde_json::value::to_raw_value(&hits).unwrap_or_else(|_| RawValue::NULL.to_owned());
        let reply = leaf::Reply {
            attempt,
            shard: ask.shard.clone(),
            snapshot: snapshot(version),
            held: other.map(snapshot),
            count: knobs.hits,
            load: Some(self.waiting.load(atomic::Ordering::SeqCst)),
            hits: &hits,
        };
        serde_json::to_vec(&reply).unwrap_or_default().into()
    }
}

/// A body that goes on until the reader has enough.
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
struct Ask {
    attempt: CompactString,
    shard: CompactString,
    key: Option<CompactString>,
    epoch: Option<u64>,
    want: Option<u64>,
    deadline_ms: Option<u64>,
}

impl Ask {
    fn of(headers: &http::HeaderMap) -> Self {
        let text =
            |name| headers.get(name).and_then(|value: &http::HeaderValue| value.to_str().ok()).map(CompactString::from);
        let number = |name| text(name).and_then(|value| value.parse().ok());
        Self {
            attempt: text(leaf::ATTEMPT).unwrap_or_default(),
            shard: text(leaf::SHARD).unwrap_or_default(),
            key: text(leaf::KEY),
            epoch: number(leaf::EPOCH),
            want: number(leaf::WANT_VERSION),
            deadline_ms: number(leaf::DEADLINE),
        }
    }
}
