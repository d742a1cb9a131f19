//! The platform's store: lists its items and lets callers wait for changes, as `PROTOCOL.md` says.

use std::{
    collections::BTreeMap,
    net::{TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Items in one page.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct State {
    revision: u64,
    /// Each item as JSON, by key.
    items: BTreeMap<String, String>,
    /// Each change as JSON, with its revision.
    changes: Vec<(u64, String)>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts a store; returns it with its address.
    pub fn start() -> (Arc<Self>, String) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let store = Arc::new(Self::default());
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes `value`; its acknowledgement is the return of this call.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().expect("the state");
        state.revision += 1;
        let revision = state.revision;
        let value = base64(value.as_bytes());
        let item =
            format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#);
        state.items.insert(key.to_owned(), item.clone());
        state.changes.push((revision, item));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut rest) {
            let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
            let field = |name: &str| {
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')).unwrap_or("").to_owned()
            };
            let body = match path {
                "/shallothub/kv-range" => self.page(&field("prefix"), &field("after")),
                "/shallothub/kv-watch" => {
                    let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
                    self.wait(&field("prefix"), field("after").parse().unwrap_or(0), wait)
                }
                _ => return,
            };
            if http::respond(&mut stream, 200, &[("Content-Type", "application/json")], body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn page(&self, prefix: &str, after: &str) -> String {
        let state = self.state.lock().expect("the state");
        let matching = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<&str> = matching.map(|(_, item)| item.as_str()).collect();
        let page = items[..items.len().min(PAGE_ITEMS)].join(",");
        let truncated = items.len() > PAGE_ITEMS;
        format!(r#"{{"items":[{page}],"truncated":{truncated},"currentRev":{}}}"#, state.revision)
    }

    fn wait(&self, _prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().expect("the state");
        while state.revision <= after && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).expect("the state").0;
        }
        let events: Vec<&str> =
            state.changes.iter().filter(|(revision, _)| *revision > after).map(|(_, item)| item.as_str()).collect();
        format!(r#"{{"events":[{}],"currentRev":{}}}"#, events.join(","), state.revision)
    }
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
