//! Benchmarks real processes on loopback: `cargo bench --bench processes -- [fleet | speed] [FILE]`.
//!
//! `fleet`: start-up time, platform calls, and the peer bytes, CPU time and memory of the control plane with 4 to 64
//! nodes on one platform; the time until a change is in force; and memory by connections. `speed`: a query to 120
//! leaves through a node, compared with the same fan-out by a minimal client in the same run.

#[expect(dead_code, unreachable_pub, reason = "the other items are used by the tests")]
#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    fs, net,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use support::Fleet;
use tokio::{runtime, task};

/// Clock ticks per second in `/proc` on Linux (`USER_HZ`).
const TICKS: f64 = 100.0;
const STEADY_INTERVAL: Duration = Duration::from_secs(10);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).filter(|argument| argument != "--bench").collect();
    let is_selected = |name: &str| arguments.is_empty() || arguments.iter().any(|argument| argument == name);
    let runtime = runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("a runtime");
    if is_selected("fleet") {
        let mut text = "series,size,value\n".to_owned();
        for count in [4, 8, 16, 32, 64] {
            runtime.block_on(fleet(count, &mut text));
        }
        for count in [4, 12, 40, 120, 400] {
            runtime.block_on(connections(count, &mut text));
        }
        print!("{text}");
        if let Some(path) = arguments.iter().find(|argument| argument.ends_with(".csv")) {
            fs::write(path, text).expect("the file can be written");
        }
    }
    if is_selected("speed") {
        runtime.block_on(speed());
    }
}

/// Returns the CPU time in a `/proc` stat file, in seconds.
fn cpu_time(path: &str) -> f64 {
    let text = fs::read_to_string(path).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS
}

fn process_cpu_time(pid: u32) -> f64 {
    cpu_time(&format!("/proc/{pid}/stat"))
}

/// Returns the resident memory of a process, in KiB.
fn resident_kib(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|field| field.parse().ok()).unwrap_or(0.0)
}

async fn total(fleet: &Fleet, metric: &str) -> f64 {
    let mut sum = 0.0;
    for node in 0..fleet.nodes.len() {
        sum += fleet.metric(node, metric).await;
    }
    sum
}

async fn fleet(count: usize, text: &mut String) {
    let start = Instant::now();
    let mut fleet = Fleet::start(&format!("bench-{count}"), count).await;
    let mut row = |name: &str, value: f64| text.push_str(&format!("{name},{count},{value:.3}\n"));
    row("ready_ms_by_node", start.elapsed().as_secs_f64() * 1e3);
    let nodes = count as f64;
    let stats = fleet.platform.stats();
    row("start_calls_by_node", (stats.reads + stats.watches) as f64);
    let calls = stats.reads + stats.watches;
    let bytes = total(&fleet, "shallothub_peer_bytes").await;
    let cpu_before: f64 = (0..count).map(|node| process_cpu_time(fleet.pid(node))).sum();
    tokio::time::sleep(STEADY_INTERVAL).await;
    let span = STEADY_INTERVAL.as_secs_f64();
    let cpu_used = (0..count).map(|node| process_cpu_time(fleet.pid(node))).sum::<f64>() - cpu_before;
    let stats = fleet.platform.stats();
    row("calls_s_by_node", (stats.reads + stats.watches - calls) as f64 / span);
    row("bytes_s_each_by_node", (total(&fleet, "shallothub_peer_bytes").await - bytes) / span / nodes);
    row("core_percent_each_by_node", cpu_used / span / nodes * 100.0);
    row("resident_kib_each_by_node", (0..count).map(|node| resident_kib(fleet.pid(node))).sum::<f64>() / nodes);
    let mut times = Vec::new();
    for _ in 0..5 {
        let since = Instant::now();
        fleet.publish_config();
        let waits = (0..count).map(|node| fleet.wait_in_force(node));
        let mut waits: Vec<_> = waits.map(Box::pin).collect();
        for wait in &mut waits {
            wait.await;
            times.push(since.elapsed().as_secs_f64() * 1e3);
        }
    }
    times.sort_by(f64::total_cmp);
    row("change_ms_median_by_node", times[times.len() / 2]);
    row("change_ms_max_by_node", times[times.len() - 1]);
}

/// Measures the memory of a node with one open connection to each of `count` leaves.
async fn connections(count: u32, text: &mut String) {
    let fleet = Fleet::start_wide(&format!("bench-connections-{count}"), count).await;
    let (status, answer) = fleet.query(0, "wide", None).await.expect("an answer");
    assert_eq!((status, answer["code"].as_str()), (200, Some("ok")));
    let value = resident_kib(fleet.pid(0));
    text.push_str(&format!("resident_kib_by_connection,{count},{value:.3}\n"));
}

const LEAVES: usize = 120;
const ROUNDS: usize = 300;

/// Measures a plain fan-out over keep-alive connections as the baseline without routing, hedging or retries.
async fn fan_out(addresses: Vec<net::SocketAddr>) -> Vec<f64> {
    let mut senders = Vec::new();
    for address in &addresses {
        let stream = tokio::net::TcpStream::connect(address).await.expect("a connection");
        stream.set_nodelay(true).expect("set");
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("a handshake");
        task::spawn_local(connection);
        senders.push(sender);
    }
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        let start = Instant::now();
        let mut calls = Vec::new();
        for sender in &mut senders {
            let request = http::Request::post("/search").header("host", "x").body(Full::new(Bytes::from_static(b"{}")));
            calls.push(task::spawn_local(sender.send_request(request.expect("a request"))));
        }
        for call in calls {
            let response = call.await.expect("joined").expect("an answer");
            response.into_body().collect().await.expect("a body");
        }
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    times
}

async fn speed() {
    let fleet = Fleet::start_wide("bench-speed", LEAVES as u32).await;
    let addresses = fleet.addresses("wide");
    // Warm up: opens the connections and fills the latency estimates.
    for _ in 0..50 {
        fleet.query(0, "wide", None).await.expect("an answer");
    }
    let before = process_cpu_time(fleet.pid(0));
    let mut times = Vec::new();
    let address = fleet.nodes[0].listen;
    let mut connection = shallothub_ctl::client::Connection::open(address).await.expect("a connection");
    for _ in 0..ROUNDS {
        let start = Instant::now();
        let request = http::Request::post("/query/wide").header("host", "x").body(Full::new(Bytes::from_static(b"{}")));
        let response = connection.call(request.expect("a request")).await.expect("an answer");
        assert_eq!(response.status(), 200, "{:?}", response.body());
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    let node_cpu = (process_cpu_time(fleet.pid(0)) - before) / ROUNDS as f64 * 1e3;
    let (bare_times, bare_cpu) = std::thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let before = cpu_time("/proc/thread-self/stat");
        let times = task::LocalSet::new().block_on(&runtime, fan_out(addresses));
        (times, (cpu_time("/proc/thread-self/stat") - before) / ROUNDS as f64 * 1e3)
    })
    .join()
    .expect("joined");
    let median = |times: &[f64]| times[times.len() / 2];
    println!("{LEAVES} leaves, {ROUNDS} queries, one at a time:");
    println!(
        "  processor time a query: node {node_cpu:.3} ms, bare client {bare_cpu:.3} ms; bare/node {:.3}",
        bare_cpu / node_cpu
    );
    println!(
        "  p50: node {:.3} ms, bare client {:.3} ms; added {:.3} ms",
        median(&times),
        median(&bare_times),
        median(&times) - median(&bare_times)
    );
    println!("  resident memory of the node {:.0} KiB", resident_kib(fleet.pid(0)));
}
