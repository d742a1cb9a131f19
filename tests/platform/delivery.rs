//! Delivery of answers to callers that read slowly while their node stops.

use std::{
    io::{BufRead, BufReader},
    net, process,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};
use rstest::rstest;
use shallothub_soak::{
    client::{Client, Kind},
    deployment::Deployment,
};
use tokio::{io::AsyncReadExt, net::TcpStream, task::JoinSet};

use super::{POLL_INTERVAL, letters, memory};

/// Size of an answer: more than the kernels of both ends hold for a connection with a small receive buffer.
const ANSWER_BYTES: usize = 30_000;
/// Bytes that a slow caller reads at a time, and its pause before each read.
const BYTES_PER_READ: usize = 1000;
const READ_PAUSE: Duration = Duration::from_millis(80);
const CALLERS: usize = 4;
/// Maximum bytes that a caller's kernel holds: twice the receive buffer that it asks for.
const RECEIVED_BYTES: usize = 2 * memory::RECEIVE_BUFFER as usize;
/// `balancer_lag_ms` and `drain_most_ms` of the nodes, and time to notice that the process has exited.
const MAX_STOP_TIME: Duration = Duration::from_millis(600 + 3000 + 400);

async fn start(test: &str, settings: &str) -> Deployment {
    let deployment = memory::start(test, settings).await;
    for leaf in letters(&deployment) {
        leaf.replica.set(|knobs| knobs.padding = ANSWER_BYTES);
    }
    deployment
}

/// Reads the rest of an answer slowly and counts its bytes in `count`, until the connection ends.
async fn read_rest(mut stream: TcpStream, count: Arc<AtomicUsize>) {
    let mut buffer = [0; BYTES_PER_READ];
    loop {
        tokio::time::sleep(READ_PAUSE).await;
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(read) => count.fetch_add(read, Ordering::SeqCst),
        };
    }
}

/// Guards against answers that are cut off since the node exits while their callers still read them, or that only the
/// kernel of the host still holds when the node exits.
#[rstest]
#[case::bounded_memory("memory: {limit_mb: 160}\n")]
#[case::unbounded_memory("")]
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_delivers_answers_that_are_read_slowly(#[case] settings: &str) {
    let mut deployment = start(&format!("stop-slow-{}", settings.len()), settings).await;
    let address = deployment.nodes[0].listen;
    let mut callers = JoinSet::new();
    let mut counts = Vec::new();
    for caller in 0..CALLERS {
        let stream = memory::begin_answer(address, &format!("slow{caller}")).await.expect("an answer");
        let count = Arc::new(AtomicUsize::new(0));
        callers.spawn(read_rest(stream, Arc::clone(&count)));
        counts.push(count);
    }
    let stopped_at = Instant::now();
    deployment.signal(0, Signal::SIGTERM);
    assert_eq!(deployment.wait_exit(0).await, Some(0));
    assert!(stopped_at.elapsed() < MAX_STOP_TIME, "{:?}", stopped_at.elapsed());
    for count in &counts {
        let received = count.load(Ordering::SeqCst) + RECEIVED_BYTES;
        assert!(received > ANSWER_BYTES, "exited when a caller had received {received} of over {ANSWER_BYTES} bytes");
    }
    callers.join_all().await;
    for count in &counts {
        let count = count.load(Ordering::SeqCst);
        assert!(count > ANSWER_BYTES, "cut off after {count} of over {ANSWER_BYTES} bytes");
    }
}

/// Guards against a node that never exits since a caller does not read its answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_read_delays_a_stop_only_until_its_bound() {
    let mut deployment = start("stop-unread", "").await;
    let _unread = memory::begin_answer(deployment.nodes[0].listen, "unread").await.expect("an answer");
    let stopped_at = Instant::now();
    deployment.signal(0, Signal::SIGTERM);
    assert_eq!(deployment.wait_exit(0).await, Some(0));
    assert!(stopped_at.elapsed() < MAX_STOP_TIME, "{:?}", stopped_at.elapsed());
}

/// Guards against connections that are kept without end after their last answer, since their callers do not read it.
#[tokio::test(flavor = "multi_thread")]
async fn a_last_answer_that_is_not_read_does_not_keep_its_connection() {
    let deployment = start("unread-last", "answer_wait_ms: 300\n").await;
    let before = deployment.descriptors(0);
    let mut unread = Vec::new();
    for caller in 0..CALLERS {
        let head = format!("unread{caller}");
        unread.push(memory::begin_last_answer(deployment.nodes[0].listen, &head).await.expect("an answer"));
    }
    let began = Instant::now();
    // Connections to leafs remain.
    while deployment.descriptors(0) >= before + CALLERS {
        assert!(began.elapsed() < Duration::from_secs(3), "{} descriptors", deployment.descriptors(0));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a node that cannot exit since nobody reads its log.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_is_not_read_does_not_delay_the_exit() {
    const REQUESTS: usize = 400;
    let deployment = start("unread-log", "").await;
    let text = std::fs::read_to_string(&deployment.nodes[0].settings).expect("settings");
    let settings = deployment.nodes[0].settings.with_file_name("unread.yaml");
    std::fs::write(&settings, text.replace("name: node-0", "name: unread")).expect("written");
    let program = env!("CARGO_BIN_EXE_shallothub");
    let mut child = process::Command::new(program)
        .arg("--settings")
        .arg(&settings)
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("a node");
    let mut output = BufReader::new(child.stdout.take().expect("its output"));
    let mut line = String::new();
    output.read_line(&mut line).expect("its first line");
    let line: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    let listen: net::SocketAddr = line["listen"].as_str().and_then(|text| text.parse().ok()).expect("an address");
    let mut client = Client::new(listen);
    for request in 0..REQUESTS {
        client.send(Kind::Read, &format!("log{request}")).await;
    }
    let stopped_at = Instant::now();
    signal::kill(Pid::from_raw(child.id() as i32), Signal::SIGTERM).expect("a signal");
    let mut exit = None;
    while exit.is_none() && stopped_at.elapsed() < MAX_STOP_TIME {
        exit = child.try_wait().expect("its state");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    child.kill().ok();
    child.wait().ok();
    assert!(exit.is_some_and(|status| status.success()), "{exit:?} after {:?}", stopped_at.elapsed());
}
