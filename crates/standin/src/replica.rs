//! A backend server of a platform on which requests are routed and servers register themselves.
//!
//! It uses the platform's own types, runs requests within its slots, signs its responses so that a
//! checker can attribute them, keeps a ledger, and can be set to misbehave at the byte level:
//! truncated, duplicated or unframed responses, and responses for another request.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic},
    time,
};

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use shallothub_core::merge;
use shallothub_platform::opposite;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net, sync, task,
};
use xxhash_rust::xxh3;

/// Number of records in the part that one replica returns.
pub const RECORDS_PER_PART: usize = 8;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;
/// Time by which a request may exceed its deadline before it counts as late, in ms.
const LATE_SLACK_MS: u64 = 500;

/// How a replica responds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Follows the protocol.
    #[default]
    Proper,
    /// Runs the request and responds with status 500.
    Failing,
    /// Refuses every request before running it, with status 503.
    Refusing,
    /// Refuses a request that arrives for the first time. When it arrives again on the same connection, sends the
    /// refusal a second time and runs the request.
    RefusingTwice,
    /// Runs the request and never responds.
    Mute,
    /// Runs the request and closes the connection halfway through the body.
    BreakingOff,
    /// Runs the request and resets the connection instead of responding.
    Resetting,
    /// Sends bytes that are not an HTTP response.
    Garbled,
    /// Sends the complete response twice.
    Doubled,
    /// Responds with the id and signature of another request.
    Mistaken,
    /// Signs its responses with these values instead, one header for each.
    SignedAs(&'static [&'static [u8]]),
    /// Responds without a length, and marks the end of the body by closing.
    Unframed,
    /// Responds before it has read the request body, and reads it afterwards.
    Early,
    /// Silently drops a connection's state after the first response: later requests on it get a reset, unread.
    Forgetful,
}

/// Settings that can change while a replica runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Knobs {
    /// How the replica responds.
    pub behaviour: Behaviour,
    /// One in this many requests is handled with that behaviour, the others properly; 1 means all.
    pub one_in: u64,
    /// Duration of a request, in ms.
    pub work_ms: u64,
    /// The replica crashes on requests whose path contains this; `None` never crashes.
    pub crashes_on: Option<&'static str>,
    /// Id to use instead of the replica's own, to simulate a restart at the same address.
    pub new_id: Option<&'static str>,
    /// Number of bytes added to each reply that is not a list of records.
    pub padding: usize,
}

impl Default for Knobs {
    fn default() -> Self {
        Self { behaviour: Behaviour::Proper, one_in: 1, work_ms: 2, crashes_on: None, new_id: None, padding: 0 }
    }
}

/// Counters of what a replica did since its start.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Number of executions of each request, by the caller's request id.
    pub runs: IndexMap<CompactString, u32>,
    /// Requests refused before execution.
    pub refused: u64,
    /// Requests addressed to another replica.
    pub misdirected: u64,
    /// Requests whose client disconnected during execution.
    pub abandoned: u64,
    /// Requests that ran well beyond their deadline.
    pub late: u64,
    /// Arrival time of the latest request; `None` before the first.
    pub last_request_at: Option<time::Instant>,
    /// Requests that carried no id.
    pub without_id: u64,
    /// Whether a request crashed the replica.
    pub has_crashed: bool,
}

/// A running replica.
#[derive(Debug)]
pub struct Replica {
    /// Instance id, unique to each start.
    pub id: CompactString,
    /// Service that the replica belongs to.
    pub service: CompactString,
    slots: sync::Semaphore,
    slot_count: u32,
    waiting: atomic::AtomicU32,
    running: atomic::AtomicU32,
    served: atomic::AtomicU64,
    knobs: Mutex<Knobs>,
    ledger: Mutex<Ledger>,
    /// Requests that a `RefusingTwice` replica refused.
    refused: Mutex<IndexSet<CompactString>>,
    stopped: sync::Notify,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Builds the records of a part, which are the same for each replica of a service.
pub fn records(service: &str, request: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(RECORDS_PER_PART * merge::RECORD_BYTES);
    for number in 0..RECORDS_PER_PART {
        let text = format!("{service} {request} {number}");
        bytes.extend_from_slice(&xxh3::xxh3_128(text.as_bytes()).to_be_bytes());
    }
    bytes
}

/// Builds the body of a response that is passed through unmerged.
pub fn whole_body(service: &str, request: &str) -> String {
    format!("{service} answers {request}\n")
}

/// Builds a signature from the replica's id, the request id and the service.
pub fn signature(id: &str, request: &str, service: &str) -> String {
    format!("{id}.{request}.{service}")
}

/// Returns the request id and the service of a signature; `None` if it is malformed.
pub fn parse_signature(signature: &str) -> Option<(&str, &str)> {
    let mut parts = signature.splitn(3, '.');
    parts.next()?;
    Some((parts.next()?, parts.next()?))
}

struct Incoming {
    method: String,
    target: String,
    headers: opposite::Request,
    content_length: usize,
}

impl Replica {
    /// Starts a replica on `listener`, in the current Tokio runtime.
    pub fn start(id: &str, service: &str, slots: u32, listener: net::TcpListener) -> Arc<Self> {
        let replica = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            slots: sync::Semaphore::new(slots as usize),
            slot_count: slots,
            waiting: atomic::AtomicU32::new(0),
            running: atomic::AtomicU32::new(0),
            served: atomic::AtomicU64::new(0),
            knobs: Mutex::default(),
            ledger: Mutex::default(),
            refused: Mutex::default(),
            stopped: sync::Notify::new(),
        });
        task::spawn(Arc::clone(&replica).accept(listener));
        replica
    }

    /// Applies `change` to the knobs, for later requests.
    pub fn set(&self, change: impl FnOnce(&mut Knobs)) {
        change(&mut lock(&self.knobs));
    }

    /// Returns a copy of the counters.
    pub fn ledger(&self) -> Ledger {
        lock(&self.ledger).clone()
    }

    /// Simulates a crash: closes the listener and all connections.
    pub fn crash(&self) {
        self.stopped.notify_waiters();
    }

    async fn accept(self: Arc<Self>, listener: net::TcpListener) {
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let replica = Arc::clone(&self);
                    task::spawn(async move {
                        tokio::select! {
                            // An error is a peer that disconnected or a deliberate close; both are expected.
                            _ = Arc::clone(&replica).serve(stream) => {}
                            () = replica.stopped.notified() => {}
                        }
                    });
                }
                () = self.stopped.notified() => return,
            }
        }
    }

    async fn serve(self: Arc<Self>, mut stream: net::TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut buffer = Vec::new();
        let mut is_reused = false;
        let mut refused_here: Option<CompactString> = None;
        loop {
            let incoming = read_head(&mut stream, &mut buffer).await?;
            if std::mem::replace(&mut is_reused, true) && lock(&self.knobs).behaviour == Behaviour::Forgetful {
                reset_on_drop(&stream);
                return None;
            }
            let is_misbehaving = {
                let knobs = *lock(&self.knobs);
                let number = self.served.fetch_add(1, atomic::Ordering::SeqCst);
                number.is_multiple_of(knobs.one_in.max(1))
            };
            let behaviour = if is_misbehaving { lock(&self.knobs).behaviour } else { Behaviour::Proper };
            if behaviour != Behaviour::Early {
                read_body(&mut stream, &mut buffer, incoming.content_length).await?;
            }
            if behaviour == Behaviour::RefusingTwice {
                let request = &incoming.headers.request;
                if !lock(&self.refused).contains(request) {
                    lock(&self.refused).insert(request.clone());
                    refused_here = Some(request.clone());
                    self.refuse(&mut stream, request, 503).await?;
                    continue;
                }
                if refused_here.as_ref() == Some(request) {
                    self.refuse(&mut stream, request, 503).await?;
                }
            }
            let is_kept_alive = self.answer(&mut stream, &incoming, behaviour).await?;
            if behaviour == Behaviour::Early {
                read_body(&mut stream, &mut buffer, incoming.content_length).await?;
            }
            if !is_kept_alive {
                return None;
            }
        }
    }

    fn current_id(&self) -> CompactString {
        let new_id = lock(&self.knobs).new_id;
        new_id.map_or_else(|| self.id.clone(), CompactString::from)
    }

    /// Responds to a request; returns whether to keep the connection open.
    async fn answer(&self, stream: &mut net::TcpStream, incoming: &Incoming, behaviour: Behaviour) -> Option<bool> {
        lock(&self.ledger).last_request_at = Some(time::Instant::now());
        if incoming.target == "/health" {
            stream.write_all(&head(200, &http::HeaderMap::new(), Some(0))).await.ok()?;
            return Some(true);
        }
        let request = &incoming.headers.request;
        if incoming.headers.instance.as_ref().is_some_and(|instance| *instance != self.current_id()) {
            lock(&self.ledger).misdirected += 1;
            return self.refuse(stream, request, 421).await;
        }
        if request.is_empty() {
            lock(&self.ledger).without_id += 1;
            return self.refuse(stream, request, 400).await;
        }
        self.waiting.fetch_add(1, atomic::Ordering::SeqCst);
        let slot = self.slots.acquire().await;
        let is_overloaded = self.waiting.fetch_sub(1, atomic::Ordering::SeqCst) > self.slot_count * 6;
        if behaviour == Behaviour::Refusing || is_overloaded || slot.is_err() {
            return self.refuse(stream, request, 503).await;
        }
        self.run(stream, incoming, behaviour).await
    }

    async fn refuse(&self, stream: &mut net::TcpStream, request: &str, status: u16) -> Option<bool> {
        lock(&self.ledger).refused += 1;
        let headers = opposite::answer_headers(request, None, self.load());
        stream.write_all(&head(status, &headers, Some(0))).await.ok()?;
        Some(true)
    }

    fn load(&self) -> [u32; 3] {
        let load = |count: &atomic::AtomicU32| count.load(atomic::Ordering::SeqCst);
        [load(&self.running), load(&self.waiting), self.slot_count]
    }

    async fn run(&self, stream: &mut net::TcpStream, incoming: &Incoming, behaviour: Behaviour) -> Option<bool> {
        let request = &incoming.headers.request;
        let started = time::Instant::now();
        *lock(&self.ledger).runs.entry(request.clone()).or_default() += 1;
        self.running.fetch_add(1, atomic::Ordering::SeqCst);
        let work = time::Duration::from_millis(lock(&self.knobs).work_ms);
        let is_abandoned = tokio::select! {
            () = tokio::time::sleep(work) => false,
            () = wait_closed(stream) => true,
        };
        self.running.fetch_sub(1, atomic::Ordering::SeqCst);
        if is_abandoned {
            lock(&self.ledger).abandoned += 1;
            return None;
        }
        if lock(&self.knobs).crashes_on.is_some_and(|text| incoming.target.contains(text)) {
            lock(&self.ledger).has_crashed = true;
            self.crash();
            return None;
        }
        let is_late =
            incoming.headers.timeout_ms.is_some_and(|ms| started.elapsed().as_millis() as u64 > ms + LATE_SLACK_MS);
        lock(&self.ledger).late += u64::from(is_late);
        self.reply(stream, incoming, behaviour).await
    }

    async fn reply(&self, stream: &mut net::TcpStream, incoming: &Incoming, behaviour: Behaviour) -> Option<bool> {
        let request = match behaviour {
            Behaviour::Mistaken => CompactString::const_new("somebody-else"),
            _ => incoming.headers.request.clone(),
        };
        let status = if behaviour == Behaviour::Failing { 500 } else { 200 };
        let body = if incoming.target.contains("/gather/") {
            records(&self.service, &request)
        } else {
            let mut body = whole_body(&self.service, &request).into_bytes();
            body.resize(body.len() + lock(&self.knobs).padding, b'.');
            body
        };
        let body = if incoming.method == "HEAD" { Vec::new() } else { body };
        let signature = signature(&self.current_id(), &request, &self.service);
        let mut headers = opposite::answer_headers(&request, Some(&signature), self.load());
        if let Behaviour::SignedAs(values) = behaviour {
            opposite::set_signatures(&mut headers, values);
        }
        let length = if behaviour == Behaviour::Unframed { None } else { Some(body.len()) };
        let mut bytes = head(status, &headers, length);
        bytes.extend_from_slice(&body);
        match behaviour {
            Behaviour::Mute => std::future::pending().await,
            Behaviour::Resetting => {
                reset_on_drop(stream);
                return None;
            }
            Behaviour::BreakingOff => bytes.truncate(bytes.len() - body.len() / 2),
            Behaviour::Garbled => bytes = b"%%%% these bytes are no answer %%%%\r\n\r\n".to_vec(),
            Behaviour::Doubled => bytes.extend_from_within(..),
            _ => {}
        }
        stream.write_all(&bytes).await.ok()?;
        let is_closing = matches!(behaviour, Behaviour::BreakingOff | Behaviour::Garbled | Behaviour::Unframed);
        Some(!is_closing)
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset_on_drop(stream: &net::TcpStream) {
    // If the option cannot be set, the connection ends as usual and the test's checks show it.
    socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO)).ok();
}

/// Completes when the peer closes the connection.
async fn wait_closed(stream: &net::TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            // Bytes of the next request: the peer is still connected.
            Ok(_) => std::future::pending().await,
        }
    }
}

fn head(status: u16, headers: &http::HeaderMap, length: Option<usize>) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} .\r\n").into_bytes();
    for (name, value) in headers {
        text.extend_from_slice(name.as_str().as_bytes());
        text.extend_from_slice(b": ");
        text.extend_from_slice(value.as_bytes());
        text.extend_from_slice(b"\r\n");
    }
    match length {
        Some(length) => text.extend_from_slice(format!("content-length: {length}\r\n\r\n").as_bytes()),
        None => text.extend_from_slice(b"connection: close\r\n\r\n"),
    }
    text
}

async fn read_head(stream: &mut net::TcpStream, buffer: &mut Vec<u8>) -> Option<Incoming> {
    loop {
        let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut header_slots);
        if let httparse::Status::Complete(length) = parsed.parse(buffer).ok()? {
            let mut headers = http::HeaderMap::new();
            for header in parsed.headers.iter() {
                let name = http::HeaderName::from_bytes(header.name.as_bytes()).ok()?;
                headers.append(name, http::HeaderValue::from_bytes(header.value).ok()?);
            }
            let content_length =
                headers.get(http::header::CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
            let incoming = Incoming {
                method: parsed.method.unwrap_or_default().to_owned(),
                target: parsed.path.unwrap_or_default().to_owned(),
                headers: opposite::Request::parse(&headers),
                content_length: content_length.unwrap_or_default(),
            };
            buffer.drain(..length);
            return Some(incoming);
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

async fn read_body(stream: &mut net::TcpStream, buffer: &mut Vec<u8>, length: usize) -> Option<()> {
    while buffer.len() < length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    buffer.drain(..length);
    Some(())
}
