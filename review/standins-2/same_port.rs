//! The platform's readiness checks and the client connections that it forwards come from one address, and a check has
//! the source port of a forwarded connection. They go to different ports of the node, so that both can have it.

use std::{
    ffi::c_void,
    fmt::Write as _,
    fs,
    io::{self, Write as _},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream},
    os::fd::{FromRawFd, OwnedFd},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    node::Node,
    scene::{self, Leafs},
    store::Store,
};

/// Clients of one node, each with a connection that it keeps, and the pause between an answer and the next request.
const CLIENTS: usize = 17;
const PAUSE: Duration = Duration::from_millis(300);
const WORK_MS: u64 = 120;
const DEADLINE: Duration = Duration::from_millis(3000);
/// Interval of the checks, the time for an answer, and checks on one connection.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);
const CHECK_TIMEOUT: Duration = Duration::from_millis(900);
const CHECKS_PER_CONNECTION: u32 = 3;
const LENGTH: Duration = Duration::from_secs(80);

const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 0o2_000_001;
const SOL_SOCKET: i32 = 1;
const SO_REUSEADDR: i32 = 2;

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const c_void, length: u32) -> i32;
    fn bind(fd: i32, address: *const SocketAddress, length: u32) -> i32;
    fn connect(fd: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Connects from the loopback address and `port`, which other connections to other ports may have; 0 for a free one.
/// The standard library has no way to choose the source port.
fn connect_from(port: u16, to: &str) -> io::Result<TcpStream> {
    let to: SocketAddrV4 = to.parse().map_err(io::Error::other)?;
    let raw = |port: u16, ip: &Ipv4Addr| SocketAddress {
        family: AF_INET as u16,
        port: port.to_be(),
        address: u32::from_ne_bytes(ip.octets()),
        zero: [0; 8],
    };
    let (from, to) = (raw(port, &Ipv4Addr::LOCALHOST), raw(to.port(), to.ip()));
    let length = size_of::<SocketAddress>() as u32;
    let (on, size) = (1_i32, size_of::<i32>() as u32);
    // SAFETY: the descriptor is owned here, and all pointers are to values of the length given.
    let (stream, is_connected) = unsafe {
        let fd = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from(OwnedFd::from_raw_fd(fd));
        let is_connected = setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, (&raw const on).cast(), size) == 0
            && bind(fd, &from, length) == 0
            && connect(fd, &to, length) == 0;
        (stream, is_connected)
    };
    if !is_connected {
        return Err(io::Error::last_os_error());
    }
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// A request as its client saw it.
struct Seen {
    id: String,
    at: u64,
    took: u64,
    /// 0 without an answer.
    status: u16,
    stamp: String,
    bytes: usize,
}

#[derive(Default)]
struct Shared {
    stops: AtomicBool,
    /// Source port of each client's connection; 0 without one.
    ports: Mutex<Vec<u16>>,
    seen: Mutex<Vec<Seen>>,
}

/// Sends one request after the other on a kept connection, and repeats none.
fn client(index: usize, node: &str, start: Instant, shared: &Shared) {
    let mut connection: Option<(TcpStream, Vec<u8>)> = None;
    let mut number = 0;
    while !shared.stops.load(Ordering::SeqCst) {
        if connection.is_none() {
            connection = connect_from(0, node).ok().map(|stream| (stream, Vec::new()));
            let port = connection.as_ref().and_then(|(stream, _)| stream.local_addr().ok()).map_or(0, |at| at.port());
            shared.ports.lock().expect("the ports")[index] = port;
        }
        let Some((stream, rest)) = &mut connection else {
            thread::sleep(PAUSE);
            continue;
        };
        let id = format!("client-{index:02}-{number:04}");
        number += 1;
        let sent_at = Instant::now();
        let answer = exchange(stream, rest, &id, number);
        let header = |name: &str| answer.as_ref().map_or("", |answer| answer.header(name)).to_owned();
        let closes = answer.is_none() || header("connection").eq_ignore_ascii_case("close");
        shared.seen.lock().expect("the requests").push(Seen {
            id,
            at: sent_at.duration_since(start).as_millis() as u64,
            took: sent_at.elapsed().as_millis() as u64,
            status: answer.as_ref().map_or(0, http::Message::status),
            stamp: header("server-stamp"),
            bytes: answer.as_ref().map_or(0, |answer| answer.body.len()),
        });
        if closes {
            connection = None;
        }
        thread::sleep(PAUSE);
    }
}

fn exchange(stream: &mut TcpStream, rest: &mut Vec<u8>, id: &str, number: u32) -> Option<http::Message> {
    stream.set_read_timeout(Some(DEADLINE)).ok()?;
    let head = format!(
        "POST /corresp/{number} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nContent-Length: 6\r\n\r\nletter",
        scene::HOST,
        DEADLINE.as_millis()
    );
    stream.write_all(head.as_bytes()).ok()?;
    http::read(stream, rest).ok()?
}

/// Checks the node once a second; returns the number of checks and of those without a 200.
fn check(node: &Node, shared: &Shared, has_trouble: bool, start: Instant, text: &mut String) -> (u32, u32) {
    let mut connection: Option<(TcpStream, u32)> = None;
    let (mut checks, mut missed, mut next) = (0, 0, Instant::now());
    while start.elapsed() < LENGTH {
        if connection.is_none() {
            let ports = shared.ports.lock().expect("the ports").clone();
            // A port whose last check ended a moment ago may not be free yet.
            connection = (0..ports.len()).find_map(|step| {
                let port = if has_trouble { ports[(checks as usize + step) % ports.len()] } else { 0 };
                Some((connect_from(port, &node.ready).ok()?, 0))
            });
            let at = start.elapsed().as_millis();
            let from: Option<SocketAddr> = connection.as_ref().and_then(|(stream, _)| stream.local_addr().ok());
            let of = ports.iter().position(|&port| from.is_some_and(|from| from.port() == port));
            let of = of.map_or("none".to_owned(), |client| format!("client {client:02}"));
            writeln!(text, "{at:>6} ms  a connection for checks, with the source port of: {of}").ok();
        }
        checks += 1;
        let answer = connection.as_mut().and_then(|(stream, _)| {
            stream.set_read_timeout(Some(CHECK_TIMEOUT)).ok()?;
            stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: node\r\n\r\n").ok()?;
            http::read(stream, &mut Vec::new()).ok()?
        });
        let is_ready = answer.is_some_and(|answer| answer.status() == 200);
        if !is_ready {
            missed += 1;
            writeln!(text, "{:>6} ms  a check has no 200", start.elapsed().as_millis()).ok();
        }
        next += CHECK_INTERVAL;
        thread::sleep(next.saturating_duration_since(Instant::now()));
        connection = connection.filter(|(_, used)| is_ready && used + 1 < CHECKS_PER_CONNECTION);
        if let Some((_, used)) = &mut connection {
            *used += 1;
        }
    }
    (checks, missed)
}

/// Plays the case; returns the exit code.
pub fn main(directory: &Path, has_trouble: bool) -> i32 {
    scene::run(|files| play(directory, files, has_trouble))
}

fn play(directory: &Path, files: &Path, has_trouble: bool) -> io::Result<i32> {
    let (store, address) = Store::start();
    let leafs = Leafs::start("authormail", 5, 4, WORK_MS, &store)?;
    let route = scene::route("corresp", "/corresp/", "authormail").replace("\"idempotent\"", "\"non_idempotent\"");
    store.put("op/config", &scene::configuration(3, &[route]));
    let mut node = Node::start("front-1", &address, files)?;
    if !node.wait_ready() {
        return Err(io::Error::other("the node was not ready in time"));
    }
    let shared = Arc::new(Shared::default());
    shared.ports.lock().expect("the ports").resize(CLIENTS, 0);
    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (listen, shared) = (node.listen.clone(), Arc::clone(&shared));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(25 * index as u64));
                client(index, &listen, start, &shared);
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let mut text = format!("TROUBLE={}\n\nchecks\n", u8::from(has_trouble));
    let (checks, missed) = check(&node, &shared, has_trouble, start, &mut text);
    shared.stops.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().ok();
    }
    let is_running = node.is_running();
    drop(node);
    writeln!(text, "\nrequests: when sent, id, status, bytes, signature, time taken, runs").ok();
    let mut seen = std::mem::take(&mut *shared.seen.lock().expect("the requests"));
    seen.sort_by_key(|request| request.at);
    let (mut served, mut unsigned, mut ran) = (0, 0, 0);
    for request in &seen {
        let runs = leafs.runs_of(&request.id);
        let is_success = (200..300).contains(&request.status);
        if is_success && request.stamp.is_empty() {
            unsigned += 1;
            ran += u32::from(runs > 0);
        }
        served += u32::from(is_success && !request.stamp.is_empty());
        let Seen { id, at, took, status, stamp, bytes } = request;
        writeln!(text, "{at:>6} ms  {id}  {status}  {bytes}  {stamp:?}  {took} ms  ran {runs}").ok();
    }
    let state = if is_running { "the node still runs" } else { "the node has ended" };
    let summary = format!(
        "{} requests, {served} served; {unsigned} successes without a signature, of which {ran} ran; {missed} of {checks} checks without a 200; {state}",
        seen.len()
    );
    writeln!(text, "\n{summary}").ok();
    fs::write(directory.join("record.txt"), text)?;
    println!("{summary}");
    Ok(if served == 0 { 2 } else { i32::from(unsigned > 0) })
}
