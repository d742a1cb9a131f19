//! Delivery of answers to callers that read slowly while their node stops.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rstest::rstest;
use shallothub_soak::deployment::Deployment;
use tokio::{io::AsyncReadExt, net::TcpStream, task::JoinSet};

use super::{letters, memory};

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
