//! A backend server of a platform on which requests are routed and servers register themselves.
//!
//! It speaks through the platform's own types, runs what it is asked within its slots, signs its
//! answers so that a judge can tell whose they are, keeps a ledger, and can be told to misbehave in
//! ways that only bytes can show: broken off, doubled, without a length, for somebody else.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic},
    time,
};

use compact_str::CompactString;
use indexmap::IndexMap;
use shallothub_core::merge;
use shallothub_platform::opposite;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net, sync, task,
};
use xxhash_rust::xxh3;

/// Records of one part.
pub const RECORDS: usize = 8;
/// Headers that are read of a request.
const HEADERS_MOST: usize = 64;
/// Slack that a request may be longer under way than its time says before it counts as late, in ms.
const LATE_SLACK_MS: u64 = 500;

/// How a replica answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Manner {
    /// As it should.
    #[default]
    Proper,
    /// Runs the request and fails.
    Failing,
    /// Refuses every request before running it.
    Refusing,
    /// Runs the request and says nothing.
    Mute,
    /// Runs the request and breaks off in the middle of the answer.
    BreakingOff,
    /// Runs the request and resets the connection instead of answering.
    Resetting,
    /// Answers with bytes that are no answer.
    Garbled,
    /// Sends a second whole answer after the first.
    Doubled,
    /// Answers for another request.
    Mistaken,
    /// Answers without a length, and ends the answer by closing.
    Unframed,
    /// Answers before it has read the body, and reads it later.
    Early,
    /// Forgets a connection after its first answer, without a word: what comes on it later is reset unread.
    Forgetful,
}

/// What can be set while a replica runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Knobs {
    /// How it answers.
    pub manner: Manner,
    /// One in so many requests is answered in that manner, the others properly; 1 is all.
    pub one_in: u64,
    /// Time that a request takes, in ms.
    pub work_ms: u64,
    /// It dies of requests whose path holds this.
    pub dies_of: Option<&'static str>,
    /// Id to use instead of the replica's own, to simulate a restart at the same address.
    pub new_id: Option<&'static str>,
}

impl Default for Knobs {
    fn default() -> Self {
        Self { manner: Manner::Proper, one_in: 1, work_ms: 2, dies_of: None, new_id: None }
    }
}

/// What a replica did.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// How often it ran each request, by the caller's id.
    pub runs: IndexMap<CompactString, u32>,
    /// Requests that it refused before running them.
    pub refused: u64,
    /// Requests that were meant for another replica.
    pub misdirected: u64,
    /// Requests whose caller went away while it worked on them.
    pub left: u64,
    /// Requests that ran on for long after their time.
    pub late: u64,
    /// When the last request came.
    pub last: Option<time::Instant>,
    /// Requests without an id.
    pub unnamed: u64,
    /// Whether it died of a request.
    pub died: bool,
}

/// A replica that runs.
#[derive(Debug)]
pub struct Replica {
    /// Its id, new for each start.
    pub id: CompactString,
    /// Its service.
    pub service: CompactString,
    slots: sync::Semaphore,
    slot_count: u32,
    waiting: atomic::AtomicU32,
    running: atomic::AtomicU32,
    served: atomic::AtomicU64,
    knobs: Mutex<Knobs>,
    ledger: Mutex<Ledger>,
    stopped: sync::Notify,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The records of a part, the same for each replica of a service.
pub fn records(service: &str, request: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(RECORDS * merge::RECORD_BYTES);
    for number in 0..RECORDS {
        let text = format!("{service} {request} {number}");
        bytes.extend_from_slice(&xxh3::xxh3_128(text.as_bytes()).to_be_bytes());
    }
    bytes
}

/// The body of an answer that is handed on whole.
pub fn whole(service: &str, request: &str) -> String {
    format!("{service} answers {request}\n")
}

/// A signature: whose answer, to which request, of which service.
pub fn signature(id: &str, request: &str, service: &str) -> String {
    format!("{id}.{request}.{service}")
}

/// The request and the service in a signature.
pub fn signed(signature: &str) -> Option<(&str, &str)> {
    let mut parts = signature.splitn(3, '.');
    parts.next()?;
    Some((parts.next()?, parts.next()?))
}

struct Asked {
    method: String,
    target: String,
    told: opposite::Request,
    body_left: usize,
}

impl Replica {
    /// Starts a replica on `listener`, in the runtime that this is called in.
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
            stopped: sync::Notify::new(),
        });
        task::spawn(Arc::clone(&replica).accept(listener));
        replica
    }

    /// Changes the knobs.
    pub fn set(&self, change: impl FnOnce(&mut Knobs)) {
        change(&mut lock(&self.knobs));
    }

    /// What it did so far.
    pub fn ledger(&self) -> Ledger {
        lock(&self.ledger).clone()
    }

    /// Crashes: the listener and all connections end.
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
                            // An error is a peer that went away or a break on purpose; both are expected.
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
        let mut is_kept = false;
        loop {
            let asked = read_head(&mut stream, &mut buffer).await?;
            if std::mem::replace(&mut is_kept, true) && lock(&self.knobs).manner == Manner::Forgetful {
                reset_on_drop(&stream);
                return None;
            }
            let is_odd = {
                let knobs = *lock(&self.knobs);
                let number = self.served.fetch_add(1, atomic::Ordering::SeqCst);
                number.is_multiple_of(knobs.one_in.max(1))
            };
            let manner = if is_odd { lock(&self.knobs).manner } else { Manner::Proper };
            if manner != Manner::Early {
                read_body(&mut stream, &mut buffer, asked.body_left).await?;
            }
            let keeps = self.answer(&mut stream, &asked, manner).await?;
            if manner == Manner::Early {
                read_body(&mut stream, &mut buffer, asked.body_left).await?;
            }
            if !keeps {
                return None;
            }
        }
    }

    fn current_id(&self) -> CompactString {
        let new_id = lock(&self.knobs).new_id;
        new_id.map_or_else(|| self.id.clone(), CompactString::from)
    }

    /// Answers a request; whether the connection goes on.
    async fn answer(&self, stream: &mut net::TcpStream, asked: &Asked, manner: Manner) -> Option<bool> {
        lock(&self.ledger).last = Some(time::Instant::now());
        if asked.target == "/health" {
            stream.write_all(&head(200, &http::HeaderMap::new(), Some(0))).await.ok()?;
            return Some(true);
        }
        let request = &asked.told.request;
        if asked.told.instance.as_ref().is_some_and(|instance| *instance != self.current_id()) {
            lock(&self.ledger).misdirected += 1;
            return self.refuse(stream, request, 421).await;
        }
        if request.is_empty() {
            lock(&self.ledger).unnamed += 1;
            return self.refuse(stream, request, 400).await;
        }
        self.waiting.fetch_add(1, atomic::Ordering::SeqCst);
        let slot = self.slots.acquire().await;
        let waits = self.waiting.fetch_sub(1, atomic::Ordering::SeqCst) > self.slot_count * 6;
        if manner == Manner::Refusing || waits || slot.is_err() {
            return self.refuse(stream, request, 503).await;
        }
        self.run(stream, asked, manner).await
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

    async fn run(&self, stream: &mut net::TcpStream, asked: &Asked, manner: Manner) -> Option<bool> {
        let request = &asked.told.request;
        let begun = time::Instant::now();
        *lock(&self.ledger).runs.entry(request.clone()).or_default() += 1;
        self.running.fetch_add(1, atomic::Ordering::SeqCst);
        let work = time::Duration::from_millis(lock(&self.knobs).work_ms);
        let is_left = tokio::select! {
            () = tokio::time::sleep(work) => false,
            () = closed(stream) => true,
        };
        self.running.fetch_sub(1, atomic::Ordering::SeqCst);
        if is_left {
            lock(&self.ledger).left += 1;
            return None;
        }
        if lock(&self.knobs).dies_of.is_some_and(|text| asked.target.contains(text)) {
            lock(&self.ledger).died = true;
            self.crash();
            return None;
        }
        let is_late =
            asked.told.timeout_ms.is_some_and(|left| begun.elapsed().as_millis() as u64 > left + LATE_SLACK_MS);
        lock(&self.ledger).late += u64::from(is_late);
        self.reply(stream, asked, manner).await
    }

    async fn reply(&self, stream: &mut net::TcpStream, asked: &Asked, manner: Manner) -> Option<bool> {
        let request = match manner {
            Manner::Mistaken => CompactString::const_new("somebody-else"),
            _ => asked.told.request.clone(),
        };
        let status = if manner == Manner::Failing { 500 } else { 200 };
        let body = if asked.target.contains("/gather/") {
            records(&self.service, &request)
        } else {
            whole(&self.service, &request).into_bytes()
        };
        let body = if asked.method == "HEAD" { Vec::new() } else { body };
        let signature = signature(&self.current_id(), &request, &self.service);
        let headers = opposite::answer_headers(&request, Some(&signature), self.load());
        let length = if manner == Manner::Unframed { None } else { Some(body.len()) };
        let mut bytes = head(status, &headers, length);
        bytes.extend_from_slice(&body);
        match manner {
            Manner::Mute => std::future::pending().await,
            Manner::Resetting => {
                reset_on_drop(stream);
                return None;
            }
            Manner::BreakingOff => bytes.truncate(bytes.len() - body.len() / 2),
            Manner::Garbled => bytes = b"%%%% these bytes are no answer %%%%\r\n\r\n".to_vec(),
            Manner::Doubled => bytes.extend_from_within(..),
            _ => {}
        }
        stream.write_all(&bytes).await.ok()?;
        let ends = matches!(manner, Manner::BreakingOff | Manner::Garbled | Manner::Unframed);
        Some(!ends)
    }
}

/// Lets the connection end with a reset.
fn reset_on_drop(stream: &net::TcpStream) {
    // Without the option it ends as usual, which the judge of the test then shows.
    socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO)).ok();
}

/// Returns when the other side closes.
async fn closed(stream: &net::TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            // Bytes of a next request: the other side is there.
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

async fn read_head(stream: &mut net::TcpStream, buffer: &mut Vec<u8>) -> Option<Asked> {
    loop {
        let mut rows = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut parsed = httparse::Request::new(&mut rows);
        if let httparse::Status::Complete(length) = parsed.parse(buffer).ok()? {
            let mut headers = http::HeaderMap::new();
            for row in parsed.headers.iter() {
                let name = http::HeaderName::from_bytes(row.name.as_bytes()).ok()?;
                headers.append(name, http::HeaderValue::from_bytes(row.value).ok()?);
            }
            let body_left =
                headers.get(http::header::CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
            let asked = Asked {
                method: parsed.method.unwrap_or_default().to_owned(),
                target: parsed.path.unwrap_or_default().to_owned(),
                told: opposite::Request::parse(&headers),
                body_left: body_left.unwrap_or_default(),
            };
            buffer.drain(..length);
            return Some(asked);
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
