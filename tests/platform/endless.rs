//! Leafs whose bytes never end, in each form that lets a reader of HTTP/1.1 go on.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use compact_str::CompactString;
use indexmap::IndexSet;
use rstest::rstest;
use shallothub_platform::opposite;
use shallothub_soak::{
    client::{Client, Kind, Outcome},
    deployment::Deployment,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{POLL_INTERVAL, client, letters, served_services, start};

/// Bytes that a leaf writes at a time.
const WRITE_BYTES: usize = 64 << 10;
/// Bytes that a leaf may write before its connection is closed: those that the node reads, and what the kernels of both
/// ends hold for a connection on loopback.
const MAX_WRITTEN: u64 = 12_000_000;
/// Memory that the node may take besides, in bytes: a reply of the largest size, a few times over.
const MAX_GROWTH: u64 = 32_000_000;
/// Time after the answer within which the leaf's connections are closed.
const CLOSE_TIME: Duration = Duration::from_secs(2);
/// Requests to an endless leaf that are in flight at once.
const CALLERS: usize = 4;
/// Requests of each such caller, one after the other.
const ROUNDS: usize = 3;
/// Minimum number of searches at other leafs meanwhile.
const MIN_SEARCHES: usize = 20;
/// Maximum time of searches at other leafs meanwhile, at the 90th percentile: their target latency.
const MAX_SEARCH_TIME: Duration = Duration::from_millis(300);

/// What is endless in a leaf's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    EmptyLines,
    Informational,
    Reason,
    HeaderFields,
    HeaderValue,
    Switched,
    Length,
    Chunks,
    SmallChunks,
    ChunkSize,
    ChunkExtension,
    Trailers,
    Unframed,
    AfterAnswer,
}

impl Form {
    /// The bytes before the endless ones, and those that are repeated without end.
    fn bytes(self, request: &str) -> (Vec<u8>, &'static [u8]) {
        let head = |framing: &str| {
            let mut text = "HTTP/1.1 200 OK\r\n".to_owned();
            for (name, value) in &opposite::answer_headers(request, Some("i-x.0.letters"), [0, 0, 4]) {
                text.push_str(&format!("{name}: {}\r\n", value.to_str().unwrap_or_default()));
            }
            (text + framing).into_bytes()
        };
        let chunked = "transfer-encoding: chunked\r\n\r\n";
        match self {
            Self::EmptyLines => (Vec::new(), b"\r\n"),
            Self::Informational => (Vec::new(), b"HTTP/1.1 100 Continue\r\n\r\n"),
            Self::Reason => (b"HTTP/1.1 200 O".to_vec(), b"K"),
            Self::HeaderFields => (head(""), b"x-more: 1\r\n"),
            Self::HeaderValue => (head("x-more: "), b"1"),
            Self::Switched => (b"HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n".to_vec(), b"x"),
            Self::Length => (head("content-length: 9000000000000\r\n\r\n"), b"x"),
            Self::Chunks => (head(chunked), b"10\r\n0123456789abcdef\r\n"),
            Self::SmallChunks => (head(chunked), b"1\r\nx\r\n"),
            Self::ChunkSize => (head(chunked), b"0"),
            Self::ChunkExtension => (head(&format!("{chunked}1")), b";x=1"),
            Self::Trailers => (head(&format!("{chunked}1\r\nx\r\n0\r\n")), b"x-more: 1\r\n"),
            Self::Unframed => (head("connection: close\r\n\r\n"), b"x"),
            Self::AfterAnswer => (head("content-length: 1\r\n\r\nx"), b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"),
        }
    }
}

/// What an endless leaf did.
#[derive(Debug, Default)]
struct Ledger {
    /// Names of the requests that arrived.
    requests: Mutex<IndexSet<CompactString>>,
    /// Connections on which a request arrived and that are open.
    open: AtomicUsize,
    /// The most bytes that were written to one connection.
    written: AtomicU64,
}

/// Answers each request on `listener` without end, `pause` apart if it is not zero.
async fn serve(listener: TcpListener, form: Form, pause: Duration, ledger: Arc<Ledger>) {
    while let Ok((stream, _)) = listener.accept().await {
        let ledger = Arc::clone(&ledger);
        tokio::spawn(async move {
            let mut stream = stream;
            let Some(request) = read_request(&mut stream).await else { return };
            ledger.open.fetch_add(1, Ordering::SeqCst);
            let (start, endless) = form.bytes(&request);
            ledger.requests.lock().expect("the requests").insert(request);
            let written = write_without_end(&mut stream, &start, endless, pause).await;
            ledger.written.fetch_max(written, Ordering::SeqCst);
            drop(stream);
            ledger.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// Reads the head of a request and returns its name; `None` if the connection ends before.
async fn read_request(stream: &mut TcpStream) -> Option<CompactString> {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        if stream.read_buf(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    let mut headers = http::HeaderMap::new();
    for line in String::from_utf8_lossy(&head).lines().skip(1) {
        let Some((name, value)) = line.split_once(':') else { continue };
        let (Ok(name), Ok(value)) = (name.parse::<http::HeaderName>(), value.trim().parse()) else { continue };
        headers.insert(name, value);
    }
    Some(opposite::Request::parse(&headers).request)
}

/// Writes until the connection is closed; returns the number of bytes written.
async fn write_without_end(stream: &mut TcpStream, start: &[u8], endless: &[u8], pause: Duration) -> u64 {
    let bytes = if pause.is_zero() { endless.repeat(WRITE_BYTES / endless.len()) } else { endless.to_vec() };
    let mut written = 0;
    let mut next = start;
    while written < 2 * MAX_WRITTEN && stream.write_all(next).await.is_ok() {
        written += next.len() as u64;
        next = &bytes;
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
    written
}

/// Starts a node, and replaces the leafs behind reads and writes by one that is endless.
async fn start_endless(form: Form, pause: Duration) -> (Deployment, Arc<Ledger>) {
    let mut deployment = start(&format!("endless-{form:?}-{}", pause.as_millis()), 0).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let ledger = Arc::new(Ledger::default());
    tokio::spawn(serve(listener, form, pause, Arc::clone(&ledger)));
    let entries: Vec<_> = letters(&deployment).map(|leaf| leaf.entry.clone()).collect();
    for mut entry in entries {
        entry.address = address.to_string().into();
        deployment.registry.register(&entry);
    }
    let node = deployment.start_node().expect("a node");
    assert!(deployment.wait_ready(node).await);
    (deployment, ledger)
}

/// Guards against a leaf without end that takes the node's memory or processor, keeps its connection, or is answered for
/// untruthfully: the leaf has the request, so its outcome is unknown.
#[rstest]
#[case(Form::EmptyLines)]
#[case(Form::Informational)]
#[case(Form::Reason)]
#[case(Form::HeaderFields)]
#[case(Form::HeaderValue)]
#[case(Form::Switched)]
#[case(Form::Length)]
#[case(Form::Chunks)]
#[case(Form::SmallChunks)]
#[case(Form::ChunkSize)]
#[case(Form::ChunkExtension)]
#[case(Form::Trailers)]
#[case(Form::Unframed)]
#[case(Form::AfterAnswer)]
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_are_cut_off(#[case] form: Form, #[values(0, 5)] pause_ms: u64) {
    let (deployment, ledger) = start_endless(form, Duration::from_millis(pause_ms)).await;
    let mut searcher = client(&deployment, 0);
    assert_eq!(served_services(&searcher.send(Kind::Gather, "first").await), 4);
    let resident = deployment.resident(0);
    let address = deployment.nodes[0].listen;
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(async move {
            let mut client = Client::new(address);
            let mut outcomes = Vec::new();
            for round in 0..ROUNDS {
                let kind = if caller % 2 == 0 { Kind::Write } else { Kind::Read };
                let name = format!("e{caller}-{round}");
                let outcome = client.send(kind, &name).await;
                outcomes.push((name, outcome));
            }
            outcomes
        });
    }
    let mut search_times = Vec::new();
    let mut most_resident = 0;
    let mut outcomes = Vec::new();
    while !callers.is_empty() || search_times.len() < MIN_SEARCHES {
        let began = Instant::now();
        let searched = searcher.send(Kind::Gather, &format!("s{}", search_times.len())).await;
        assert!(served_services(&searched) >= 3, "{searched:?}");
        search_times.push(began.elapsed());
        most_resident = most_resident.max(deployment.resident(0));
        if let Some(done) = callers.try_join_next() {
            outcomes.extend(done.expect("a caller"));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let requests = ledger.requests.lock().expect("the requests").clone();
    assert!(!requests.is_empty());
    for (name, outcome) in &outcomes {
        let is_truthful = match outcome {
            Outcome::Status(502 | 504) => true,
            // What follows a complete answer is not a part of it.
            Outcome::Wrong(_) => form == Form::AfterAnswer,
            Outcome::Status(503) => !requests.contains(name.as_str()),
            _ => false,
        };
        assert!(is_truthful, "{name}: {outcome:?}");
    }
    let closed_by = Instant::now() + CLOSE_TIME;
    while ledger.open.load(Ordering::SeqCst) > 0 {
        assert!(Instant::now() < closed_by, "{} connections are still open", ledger.open.load(Ordering::SeqCst));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let written = ledger.written.load(Ordering::SeqCst);
    assert!(written < MAX_WRITTEN, "{written} bytes were accepted");
    let growth = most_resident.saturating_sub(resident);
    assert!(growth < MAX_GROWTH, "the node took {growth} bytes more");
    search_times.sort_unstable();
    let slow = search_times[search_times.len() * 9 / 10];
    assert!(slow < MAX_SEARCH_TIME, "searches took {slow:?}");
    println!("{form:?}, {pause_ms} ms: {written} bytes written, {growth} bytes of memory, searches {slow:?}");
}
