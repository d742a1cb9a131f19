//! The key-value store of a platform where servers register themselves: clients list all items and then
//! watch for changes by revision. It can be unavailable, hang, respond slowly, and compact its history.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time,
};

use bytes::Bytes;
use compact_str::CompactString;
use hyper::body;
use indexmap::IndexMap;
use shallothub_core::{control::mirror, plan};
use shallothub_platform::opposite;
use tokio::{net, sync, task};

use crate::http_server;

/// Maximum number of items in one page of a listing.
const MAX_PAGE_ITEMS: usize = 500;

/// How the store handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Follows the protocol.
    #[default]
    Proper,
    /// Answers every call with status 503.
    Busy,
    /// Closes every connection without a response.
    Away,
    /// Accepts calls and never responds.
    Silent,
    /// Delays every call by this many milliseconds.
    Slow(u64),
}

#[derive(Debug, Default)]
struct State {
    items: IndexMap<CompactString, mirror::Item>,
    log: Vec<mirror::Event>,
    revision: u64,
    compacted_revision: u64,
    era: u64,
    mode: Mode,
    calls: u64,
}

/// A snapshot of a store's items and revision, for [`Registry::restore`].
#[derive(Clone, Debug)]
pub struct Backup {
    items: IndexMap<CompactString, mirror::Item>,
    revision: u64,
}

/// A running store.
#[derive(Debug, Default)]
pub struct Registry {
    state: Mutex<State>,
    changed: sync::Notify,
}

impl Registry {
    /// Starts a store on `listener`, in the current Tokio runtime.
    pub fn start(listener: net::TcpListener) -> Arc<Self> {
        let registry = Arc::new(Self::default());
        let handler = {
            let registry = Arc::clone(&registry);
            Arc::new(move |request| Box::pin(Arc::clone(&registry).handle(request)) as http_server::ResponseFuture)
        };
        task::spawn(http_server::serve(listener, u32::MAX, Arc::default(), handler));
        registry
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes `text` under `key`, in a new revision.
    pub fn put(&self, key: &str, text: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let item = mirror::Item { key: key.into(), text: text.into(), revision: state.revision };
        state.items.insert(item.key.clone(), item.clone());
        state.log.push(mirror::Event::Put(item));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Removes the item at `key`, in a new revision.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.items.swap_remove(key);
        state.log.push(mirror::Event::Delete { key: key.into(), revision });
        drop(state);
        self.changed.notify_waiters();
    }

    /// Writes `routing` as the operators' configuration.
    pub fn configure(&self, routing: &plan::Routing) {
        let (key, text) = opposite::configuration(routing);
        self.put(&key, &text);
    }

    /// Creates or updates the entry of a server.
    pub fn register(&self, leaf: &plan::Leaf) {
        let (key, text) = opposite::entry(leaf);
        self.put(&key, &text);
    }

    /// Removes the entry of a server.
    pub fn unregister(&self, leaf: &plan::Leaf) {
        self.remove(&opposite::entry(leaf).0);
    }

    /// Marks a data centre as evacuated, or removes the mark.
    pub fn set_evacuated(&self, data_centre: &str, is_evacuated: bool) {
        let (key, text) = opposite::evacuation(data_centre);
        match is_evacuated {
            true => self.put(&key, &text),
            false => self.remove(&key),
        }
    }

    /// Compacts the history: pending watches from an earlier revision fail with status 410.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted_revision = state.revision;
        state.log.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns a copy of the current items and revision.
    pub fn backup(&self) -> Backup {
        let state = self.lock();
        Backup { items: state.items.clone(), revision: state.revision }
    }

    /// Restores the store from `backup`: later writes are lost, and their revision numbers are reused.
    pub fn restore(&self, backup: Backup) {
        let mut state = self.lock();
        state.items = backup.items;
        state.revision = backup.revision;
        state.compacted_revision = state.compacted_revision.min(backup.revision);
        state.log.retain(|event| revision(event) <= backup.revision);
        state.era += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Sets how later calls are handled, and wakes pending watches.
    pub fn set(&self, mode: Mode) {
        self.lock().mode = mode;
        self.changed.notify_waiters();
    }

    /// Number of calls received since the start.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    async fn handle(
        self: Arc<Self>,
        request: http::Request<body::Incoming>,
    ) -> Option<http::Response<http_server::Body>> {
        let target = request.uri().path_and_query()?.to_string();
        let mode = {
            let mut state = self.lock();
            state.calls += 1;
            state.mode
        };
        match mode {
            Mode::Proper => {}
            Mode::Busy => return Some(http_server::answer(503, "busy")),
            Mode::Away => return None,
            Mode::Silent => std::future::pending().await,
            Mode::Slow(delay_ms) => tokio::time::sleep(time::Duration::from_millis(delay_ms)).await,
        }
        match opposite::Call::parse(&target) {
            Some(opposite::Call::List { after }) => Some(self.page(after.as_deref())),
            Some(opposite::Call::Watch { after, wait_ms }) => self.watch(after, wait_ms).await,
            None => Some(http_server::answer(404, "no such call")),
        }
    }

    fn page(&self, after: Option<&str>) -> http::Response<http_server::Body> {
        let state = self.lock();
        let mut keys: Vec<&CompactString> = state.items.keys().collect();
        keys.sort_unstable();
        keys.retain(|key| after.is_none_or(|after| key.as_str() > after));
        let items = keys.iter().take(MAX_PAGE_ITEMS).map(|key| state.items[*key].clone()).collect();
        let (at, era) = (state.revision, state.era);
        answer(200, opposite::page(&mirror::Page { items, has_more: keys.len() > MAX_PAGE_ITEMS, at, era }), era)
    }

    async fn watch(&self, after: u64, wait_ms: u64) -> Option<http::Response<http_server::Body>> {
        let deadline = tokio::time::Instant::now() + time::Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                if state.mode == Mode::Away {
                    return None;
                }
                if after < state.compacted_revision || after > state.revision {
                    return Some(answer(410, "that history is gone", state.era));
                }
                if after < state.revision || tokio::time::Instant::now() >= deadline {
                    let events: Vec<_> = state.log.iter().filter(|event| revision(event) > after).cloned().collect();
                    return Some(answer(200, opposite::changes(&events, state.revision), state.era));
                }
            }
            // The next iteration distinguishes a change from a time-out.
            tokio::time::timeout_at(deadline, changed).await.ok();
        }
    }
}

fn revision(event: &mirror::Event) -> u64 {
    match event {
        mirror::Event::Put(item) => item.revision,
        mirror::Event::Delete { revision, .. } => *revision,
    }
}

/// A response with the header for `era`.
fn answer(status: u16, bytes: impl Into<Bytes>, era: u64) -> http::Response<http_server::Body> {
    let mut response = http_server::answer(status, bytes);
    let (name, value) = opposite::era_header(era);
    response.headers_mut().insert(name, value);
    response
}
