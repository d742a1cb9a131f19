//! The platform's configuration service: serves and counts reads and watches; it can be unavailable or stale.
//!
//! `PUT /admin/value/KEY` publishes a value, which operators and the platform do by other means in production;
//! `POST /admin/mode` takes a [`Mode`] in JSON; `GET /admin/stats` returns [`Stats`].

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time,
};

use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::body;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use shallothub_core::catalog;
use shallothub_settings::document;
use shallothub_wire::platform;
use tokio::{net, sync, task};

use crate::http_server;

/// How the platform handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Follows the protocol.
    #[default]
    Proper,
    /// Closes every connection without a response, except on `/admin`.
    Away,
    /// Keeps serving the values of the time at which this mode was set.
    Stale,
}

/// Call counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Number of reads.
    pub reads: u64,
    /// Number of watches.
    pub watches: u64,
    /// Bytes of values served.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct Store {
    values: IndexMap<CompactString, Arc<str>>,
    stale_values: Option<IndexMap<CompactString, Arc<str>>>,
    mode: Mode,
    stats: Stats,
}

impl Store {
    fn value(&self, key: &str) -> Option<Arc<str>> {
        self.stale_values.as_ref().unwrap_or(&self.values).get(key).cloned()
    }
}

/// A running platform.
#[derive(Debug, Default)]
pub struct Platform {
    store: Mutex<Store>,
    changed: sync::Notify,
}

impl Platform {
    /// Starts a platform on `listener`, in the current Tokio runtime.
    pub fn start(listener: net::TcpListener) -> Arc<Self> {
        let platform = Arc::new(Self::default());
        let handler = {
            let platform = Arc::clone(&platform);
            Arc::new(move |request| Box::pin(Arc::clone(&platform).handle(request)) as http_server::ResponseFuture)
        };
        task::spawn(http_server::serve(listener, u32::MAX, Arc::default(), handler));
        platform
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes `value` under `key` and wakes pending watches.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().values.insert(CompactString::from(key), Arc::from(value));
        self.changed.notify_waiters();
    }

    /// Sets how later calls are handled, and wakes pending watches.
    pub fn set(&self, mode: Mode) {
        let mut store = self.lock();
        store.mode = mode;
        store.stale_values = (mode == Mode::Stale).then(|| store.values.clone());
        drop(store);
        self.changed.notify_waiters();
    }

    /// Returns the call counters.
    pub fn stats(&self) -> Stats {
        self.lock().stats
    }

    async fn handle(
        self: Arc<Self>,
        request: http::Request<body::Incoming>,
    ) -> Option<http::Response<http_server::Body>> {
        let path = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
        if let Some(key) = path.strip_prefix("/admin/value/") {
            let body = request.into_body().collect().await.ok()?.to_bytes();
            self.put(key, std::str::from_utf8(&body).ok()?);
            return Some(http_server::answer(200, "published"));
        }
        match path.as_str() {
            "/admin/mode" => {
                let body = request.into_body().collect().await.ok()?.to_bytes();
                self.set(serde_json::from_slice(&body).ok()?);
                return Some(http_server::answer(200, "set"));
            }
            "/admin/stats" => return Some(http_server::answer(200, serde_json::to_vec(&self.stats()).ok()?)),
            _ => {}
        }
        if self.lock().mode == Mode::Away {
            return None;
        }
        match platform::Path::parse(&path) {
            Some(platform::Path::Value { key }) => Some(self.read(key)),
            Some(platform::Path::Watch { key, after, wait_ms }) => self.watch(key, after, wait_ms).await,
            None => Some(http_server::answer(404, "no such path")),
        }
    }

    fn read(&self, key: &str) -> http::Response<http_server::Body> {
        let mut store = self.lock();
        store.stats.reads += 1;
        match store.value(key) {
            Some(value) => {
                store.stats.bytes += value.len() as u64;
                http_server::answer(200, value.as_bytes().to_vec())
            }
            None => http_server::answer(404, "no such key"),
        }
    }

    async fn watch(&self, key: &str, after: u64, wait_ms: u64) -> Option<http::Response<http_server::Body>> {
        self.lock().stats.watches += 1;
        let deadline = tokio::time::Instant::now() + time::Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            let value = self.lock().value(key);
            if self.lock().mode == Mode::Away {
                return None;
            }
            let version =
                value.as_deref().and_then(|text| document::manifest(text).ok()).map(|manifest| manifest.version);
            let is_new_version = version.is_some_and(|version| version != after);
            if is_new_version || tokio::time::timeout_at(deadline, changed).await.is_err() {
                let Some(value) = value else {
                    return Some(http_server::answer(404, "no such key"));
                };
                self.lock().stats.bytes += value.len() as u64;
                return Some(http_server::answer(200, value.as_bytes().to_vec()));
            }
        }
    }

    /// Publishes `parts`, then a manifest that lists exactly these as the catalog's parts.
    pub fn publish(&self, kind: catalog::Kind, version: u64, parts: &[(CompactString, String)]) {
        for (key, text) in parts {
            self.put(key, text);
        }
        self.put(kind.manifest_key(), &crate::publish::manifest(version, parts));
    }
}
