//! The bound on a node's memory, with callers that stall within their bodies or do not read their answers.
//!
//! Bodies and answers have their full size, and there are as many callers as a host of 160 MB serves. Without the bound
//! the node holds all of them: more than 322 MB.

use std::{
    net,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use rstest::rstest;
use shallothub_core::{clock, route};
use shallothub_platform::opposite;
use shallothub_soak::{
    client::{Client, Kind},
    deployment::{self, Deployment},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::Mutex,
    task::JoinSet,
};

use super::{SIZE, client, letters, served_services};

/// Maximum bytes of a body, and of an answer that is not read.
const BODY_BYTES: usize = 262_144;
/// Callers that stall, as many as a host of 160 MB serves.
const CALLERS: usize = 1230;
/// `memory.limit_mb` of the node under test, in bytes.
const LIMIT: u64 = 160_000_000;
/// Duration of a run: longer than `body_wait_ms` and `answer_wait_ms`, so that callers come again and again.
const RUN_TIME: Duration = Duration::from_secs(12);
/// Pause of a caller before it returns after it was refused or closed.
const RETURN_PAUSE: Duration = Duration::from_millis(500);
/// Minimum fraction of the other callers' requests that are served.
const MIN_SERVED: f64 = 0.9;
/// Receive buffer of callers that do not read, so that their answers stay with the node.
pub(super) const RECEIVE_BUFFER: u32 = 4096;
/// Bytes that a caller takes at most in a second if it reads slowly, but so that the node can see it. The kernel announces
/// room when about half of the receive buffer is free, so a caller that reads 1 kB a second shows the node no progress
/// for more than 5 s at a time.
const VISIBLE_RATE: usize = 8000;

/// Held by each test: together, their callers would take the processors from each other and from other tests.
static ALONE: Mutex<()> = Mutex::const_new(());

pub(super) async fn start(test: &str, settings: &str) -> Deployment {
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_shallothub"));
    let mut deployment = Deployment::start(program, &directory, SIZE).await.expect("stand-ins");
    deployment.routing.limits = Some(route::Limits {
        header_bytes: 8192,
        body_bytes: BODY_BYTES,
        header_wait: clock::Millis(2000),
        idle: clock::Millis(10_000),
    });
    deployment.registry.configure(&deployment.routing);
    deployment.extra_settings = settings.to_owned();
    let node = deployment.start_node().expect("a node");
    assert!(deployment.wait_ready(node).await);
    deployment
}

/// The head of a request, with an end.
fn request(target: &str, name: &str, length: usize) -> Vec<u8> {
    let head = opposite::request_text(target, deployment::HOST, name, "60000");
    format!("{head}content-length: {length}\r\n\r\n").into_bytes()
}

/// What happens to the callers that stall.
#[derive(Debug, Default)]
struct Stalled {
    began: AtomicU64,
    refused: AtomicU64,
    closed: AtomicU64,
}

/// Sends a body but for its end, and waits for the answer. Comes again until the run ends.
async fn stall_within_bodies(address: net::SocketAddr, number: usize, stalled: Arc<Stalled>) {
    let body = vec![b'x'; BODY_BYTES - 100];
    for round in 0.. {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            tokio::time::sleep(RETURN_PAUSE).await;
            continue;
        };
        let head = request("POST /write/stalled", &format!("stalled-{number}-{round}"), BODY_BYTES);
        // Fails if the request is refused before its body is read.
        let is_sent = stream.write_all(&head).await.is_ok() && stream.write_all(&body).await.is_ok();
        stalled.began.fetch_add(u64::from(is_sent), Ordering::Relaxed);
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok();
        let is_refused = answer.starts_with(b"HTTP/1.1 503");
        (if is_refused { &stalled.refused } else { &stalled.closed }).fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(RETURN_PAUSE).await;
    }
}

/// Reads the start of a large answer and then `rate` bytes a second until the connection ends. Comes again until the
/// run ends.
async fn stall_within_answers(address: net::SocketAddr, number: usize, rate: usize, stalled: Arc<Stalled>) {
    for round in 0.. {
        let name = format!("unread-{number}-{round}");
        if let Some(mut stream) = begin_answer(address, &name).await {
            stalled.began.fetch_add(1, Ordering::Relaxed);
            read_slowly(&mut stream, rate).await;
            stalled.closed.fetch_add(1, Ordering::Relaxed);
        } else {
            stalled.refused.fetch_add(1, Ordering::Relaxed);
        }
        tokio::time::sleep(RETURN_PAUSE).await;
    }
}

/// Sends a request for a large answer on a connection with a small receive buffer; `None` if it is refused.
pub(super) async fn begin_answer(address: net::SocketAddr, name: &str) -> Option<TcpStream> {
    begin(address, &request("GET /read/unread", name, 0)).await
}

/// Like [`begin_answer`], on a connection that is closed after the answer.
pub(super) async fn begin_last_answer(address: net::SocketAddr, name: &str) -> Option<TcpStream> {
    let head = opposite::request_text("GET /read/unread", deployment::HOST, name, "60000");
    begin(address, format!("{head}connection: close\r\n\r\n").as_bytes()).await
}

async fn begin(address: net::SocketAddr, request: &[u8]) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER).ok()?;
    let mut stream = socket.connect(address).await.ok()?;
    stream.write_all(request).await.ok()?;
    let mut line = [0; 12];
    stream.read_exact(&mut line).await.ok()?;
    (&line == b"HTTP/1.1 200").then_some(stream)
}

/// Reads `rate` bytes a second, or nothing if it is 0, until the connection ends. Returns the number of bytes read.
async fn read_slowly(stream: &mut TcpStream, rate: usize) -> usize {
    let mut buffer = vec![0; rate.max(1)];
    let mut count = 0;
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        if rate == 0 {
            // A caller that never reads sees only that the connection was reset.
            match stream.write(b"x").await {
                Ok(_) => continue,
                Err(_) => return count,
            }
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return count,
            Ok(read) => count += read,
        }
    }
}

/// The other callers: small requests, one after another on one connection.
async fn send_small(mut client: Client, number: usize, served: Arc<AtomicU32>, sent: Arc<AtomicU32>) {
    for round in 0.. {
        let outcome = client.send(Kind::Gather, &format!("small-{number}-{round}")).await;
        sent.fetch_add(1, Ordering::Relaxed);
        let is_served = served_services(&outcome) == 4;
        served.fetch_add(u32::from(is_served), Ordering::Relaxed);
        if !is_served {
            println!("not served: {outcome:?}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// The result of a run.
#[derive(Debug)]
struct Run {
    /// Maximum resident memory, in bytes.
    peak: u64,
    /// Fraction of the other callers' requests that were served.
    served: f64,
}

/// Lets the stalled callers and ten others run, and polls the node's memory.
async fn run(deployment: &Deployment, mut stalled_callers: JoinSet<()>, stalled: &Stalled) -> Run {
    let (served, sent) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    for number in 0..10 {
        let client = client(deployment, 0);
        stalled_callers.spawn(send_small(client, number, Arc::clone(&served), Arc::clone(&sent)));
    }
    let before = deployment.resident(0);
    let started = Instant::now();
    let mut peak = 0;
    while started.elapsed() < RUN_TIME {
        peak = peak.max(deployment.resident(0));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    stalled_callers.shutdown().await;
    let sent = sent.load(Ordering::Relaxed);
    let served = f64::from(served.load(Ordering::Relaxed)) / f64::from(sent.max(1));
    println!("{stalled:?}; resident {before} to {peak} bytes; {served:.3} of {sent} other requests served");
    Run { peak, served }
}

/// Guards against a host that is killed because callers stall within their bodies, and against other callers that are
/// not served meanwhile. The callers may stall for longer than the run, so that nothing but the bound frees memory.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_stall_within_their_bodies_do_not_exceed_the_memory() {
    let _alone = ALONE.lock().await;
    let deployment = start("stalled-bodies", "memory: {limit_mb: 160}\nbody_wait_ms: 30000\n").await;
    let stalled = Arc::new(Stalled::default());
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(stall_within_bodies(deployment.nodes[0].listen, number, Arc::clone(&stalled)));
    }
    let run = run(&deployment, callers, &stalled).await;
    assert!(stalled.began.load(Ordering::Relaxed) > CALLERS as u64 / 4, "{stalled:?}");
    assert!(run.peak < LIMIT, "{run:?}");
    assert!(run.served >= MIN_SERVED, "{run:?}");
}

/// Guards against a host that is killed because callers do not read their answers, or read them slowly, and against
/// other callers that are not served meanwhile.
#[rstest]
#[case::that_stop("stop", 0)]
#[case::that_read_slowly("slow", 1000)]
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_do_not_read_their_answers_do_not_exceed_the_memory(#[case] name: &str, #[case] rate: usize) {
    let _alone = ALONE.lock().await;
    let deployment = start(&format!("unread-{name}"), "memory: {limit_mb: 160}\nanswer_wait_ms: 30000\n").await;
    for leaf in letters(&deployment) {
        leaf.replica.set(|knobs| knobs.padding = BODY_BYTES);
    }
    let stalled = Arc::new(Stalled::default());
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(stall_within_answers(deployment.nodes[0].listen, number, rate, Arc::clone(&stalled)));
    }
    let run = run(&deployment, callers, &stalled).await;
    assert!(stalled.began.load(Ordering::Relaxed) > CALLERS as u64 / 4, "{stalled:?}");
    assert!(run.peak < LIMIT, "{run:?}");
    assert!(run.served >= MIN_SERVED, "{run:?}");
}

/// Guards against an answer that waits for ever for a caller that has stopped reading, and against closing a caller
/// that reads slowly or has only paused. There is memory for all of them.
#[tokio::test(flavor = "multi_thread")]
async fn only_a_caller_that_stops_reading_is_closed() {
    let _alone = ALONE.lock().await;
    let deployment = start("stops-reading", "memory: {limit_mb: 160}\n").await;
    for leaf in letters(&deployment) {
        leaf.replica.set(|knobs| knobs.padding = BODY_BYTES);
    }
    let address = deployment.nodes[0].listen;
    let mut stopped = begin_answer(address, "stopped").await.expect("an answer");
    let mut slow = begin_answer(address, "slow").await.expect("an answer");
    let mut paused = begin_answer(address, "paused").await.expect("an answer");
    let slow = tokio::spawn(async move { tokio::time::timeout(RUN_TIME, read_slowly(&mut slow, VISIBLE_RATE)).await });
    tokio::time::sleep(Duration::from_millis(3000)).await;
    let mut answer = Vec::new();
    paused.read_to_end(&mut answer).await.expect("the whole answer, and then the idle limit");
    assert!(answer.len() > BODY_BYTES, "{} bytes", answer.len());
    let ended = tokio::time::timeout(RUN_TIME, read_slowly(&mut stopped, 0)).await;
    assert!(ended.is_ok(), "a caller that stopped reading kept its connection");
    assert!(slow.await.expect("joined").is_err(), "a caller that reads was closed");
}

/// Guards against closing a caller that reads 1 kB a second, while there is memory for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_a_kilobyte_a_second_keeps_its_connection() {
    let _alone = ALONE.lock().await;
    let deployment = start("reads-slowly", "memory: {limit_mb: 160}\n").await;
    for leaf in letters(&deployment) {
        leaf.replica.set(|knobs| knobs.padding = BODY_BYTES);
    }
    let mut slow = begin_answer(deployment.nodes[0].listen, "slow").await.expect("an answer");
    let read = tokio::time::timeout(RUN_TIME, read_slowly(&mut slow, 1000)).await;
    assert!(read.is_err(), "closed after {read:?} bytes");
}

/// Guards against a constant per connection that is too small: idle connections that had a small answer each must not
/// take more memory than the node counts for them.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_takes_no_more_than_is_counted_for_it() {
    const CONNECTIONS: usize = 1000;
    const COUNTED: u64 = 24_000;
    let _alone = ALONE.lock().await;
    let deployment = start("idle-connections", "memory: {limit_mb: 160}\n").await;
    let mut first = client(&deployment, 0);
    for round in 0..100 {
        first.send(Kind::Read, &format!("first-{round}")).await;
    }
    let before = deployment.resident(0);
    let mut clients = Vec::new();
    for number in 0..CONNECTIONS {
        let mut client = client(&deployment, 0);
        client.send(Kind::Read, &format!("idle-{number}")).await;
        clients.push(client);
    }
    let each = deployment.resident(0).saturating_sub(before) / CONNECTIONS as u64;
    println!("resident {before} bytes before; {each} bytes for each connection");
    assert!(each <= COUNTED, "{each} bytes for each connection");
}
