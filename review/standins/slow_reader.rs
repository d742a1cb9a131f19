//! Clients read their answers slowly while the node that they are connected to gets SIGTERM.

use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::common::*;

const SERVICE: &str = "reminder-mailer";
const HOST: &str = "pupu76.example";
const LEAFS: usize = 4;
/// The largest answer in the site files.
const BODY_BYTES: usize = 18_000;
/// Time from the first request to SIGTERM.
const BEFORE_SIGTERM: Duration = Duration::from_millis(300);
/// `graceS`: the platform sends SIGKILL this long after SIGTERM.
const GRACE: Duration = Duration::from_secs(6);
const DEADLINE_MS: u64 = 8000;
/// A slow client takes this many bytes at a time, with this pause: 18,000 bytes in about 5.3 s.
const BYTES_PER_READ: usize = 600;
const READ_PAUSE: Duration = Duration::from_millis(150);
/// Receive buffer of a client, which bounds what the kernel takes for it.
const RECEIVE_BUFFER: i32 = 2048;
const SLOW: usize = 4;
const FAST: usize = 4;

/// How a client's connection ended.
struct End {
    name: String,
    bytes: usize,
    expected: Option<usize>,
    status: Option<u16>,
    sent_ms: u64,
    ended_ms: u64,
    error: Option<String>,
}

impl End {
    fn is_complete(&self) -> bool {
        self.status == Some(200) && self.expected == Some(self.bytes)
    }
}

pub fn run(root: &Path, folder: &Path, directory: &Path, is_troubled: bool) -> i32 {
    let record = Record::new();
    let ledger = Ledger::new(&record);
    let store = Store::start();
    let zones = ["plovdiv-a", "plovdiv-b"];
    let config = format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"prefix\":\"/timi402/\",\
         \"routeType\":\"idempotent\",\"timeoutMs\":{DEADLINE_MS},\"targetLatencyMs\":800,\"priority\":2,\
         \"service\":\"{SERVICE}\",\"maxAttempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    );
    store.put("op/config", &config);
    for index in 0..LEAFS {
        let spec = LeafSpec {
            id: format!("i-{index}"),
            slots: 4,
            queue: 16,
            work_ms: 100,
            body_bytes: BODY_BYTES,
            extra: None,
            shed: None,
        };
        let (key, value) = Leaf::start(spec, &ledger).entry(SERVICE, zones[index % 2]);
        store.put(&key, &value);
    }
    let deployment = Deployment {
        root: root.to_owned(),
        directory: directory.to_owned(),
        store: store.address,
        zones: zones.map(str::to_owned).to_vec(),
        region: "bg-south".to_owned(),
        slack: 58,
    };
    let places = [addresses(), addresses()];
    let seeds = places.map(|place| place[2]);
    let mut nodes: Vec<Node> = (0..2)
        .map(|index| deployment.start_node(&format!("front-{}-1", zones[index]), zones[index], places[index], &seeds))
        .collect();
    if !nodes.iter().all(wait_ready) {
        eprintln!("a node did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(5));
    let front = nodes[0].front;
    let mut clients = Vec::new();
    for index in 0..SLOW + FAST {
        let is_slow = index < SLOW;
        let record = Arc::clone(&record);
        clients.push(thread::spawn(move || {
            let name = format!("{}-{index}", if is_slow { "slow" } else { "fast" });
            let id = format!("{:016x}", 0x9c41_d07b_0000_0000u64 + index as u64);
            let sent_ms = record.now();
            record.add(format!("{name} sends request {id} to {front}"));
            let mut end = End { name, bytes: 0, expected: None, status: None, sent_ms, ended_ms: 0, error: None };
            if let Err(error) = fetch(front, &id, is_slow, &mut end) {
                end.error = Some(error.to_string());
            }
            end.ended_ms = record.now();
            end
        }));
    }
    thread::sleep(BEFORE_SIGTERM);
    let sigterm_at = Instant::now();
    let sigterm_ms = record.now();
    if is_troubled {
        record.add(format!("SIGTERM to {}", nodes[0].name));
        signal(nodes[0].child.id(), SIGTERM);
        let mut is_running = true;
        while sigterm_at.elapsed() < GRACE {
            if let Ok(Some(status)) = nodes[0].child.try_wait() {
                record.add(format!(
                    "{} has ended by itself, {} ms after SIGTERM: {status}",
                    nodes[0].name,
                    sigterm_at.elapsed().as_millis()
                ));
                is_running = false;
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        if is_running {
            record.add(format!("SIGKILL to {}, at the end of graceS", nodes[0].name));
            nodes[0].child.kill().ok();
        }
    }
    let ends: Vec<End> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    judge(&record, &ledger, &ends, is_troubled.then_some(sigterm_ms), folder)
}

fn fetch(front: SocketAddr, id: &str, is_slow: bool, end: &mut End) -> io::Result<()> {
    let mut stream = connect(front, if is_slow { Some(RECEIVE_BUFFER) } else { None })?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let head =
        format!("GET /timi402/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::with_capacity(BYTES_PER_READ, stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    end.status = status(&head);
    end.expected = Some(head.length());
    let mut buffer = [0; BYTES_PER_READ];
    while end.bytes < head.length() {
        if is_slow {
            thread::sleep(READ_PAUSE);
        }
        let count = reader.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        end.bytes += count;
    }
    Ok(())
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    #[link_name = "connect"]
    fn connect_c(socket: i32, address: *const u8, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Connects; with `buffer`, the receive buffer is set before, so that it bounds the window from the start.
fn connect(address: SocketAddr, buffer: Option<i32>) -> io::Result<TcpStream> {
    let Some(buffer) = buffer else {
        return TcpStream::connect(address);
    };
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let mut bytes = [0u8; 16];
    bytes[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&address.ip().octets());
    unsafe {
        let socket = socket(AF_INET, SOCK_STREAM, 0);
        if socket < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(socket);
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &buffer, 4);
        if connect_c(socket, bytes.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

fn judge(record: &Record, ledger: &Ledger, ends: &[End], sigterm_ms: Option<u64>, folder: &Path) -> i32 {
    let mut broken = 0;
    for (index, end) in ends.iter().enumerate() {
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000u64 + index as u64);
        for event in ledger.events.lock().unwrap().get(&id).into_iter().flatten() {
            record.add(format!("request {id}: {event}"));
        }
        let is_within = end.ended_ms < end.sent_ms + DEADLINE_MS;
        let is_broken = !end.is_complete() && is_within;
        broken += u32::from(is_broken);
        let after =
            sigterm_ms.map_or(String::new(), |at| format!(", {} ms after SIGTERM", end.ended_ms as i64 - at as i64));
        record.add(format!(
            "{}{}: status {:?}, {} of {:?} bytes, sent at {} ms, ended at {} ms{after}{}",
            if is_broken { "BROKEN: " } else { "" },
            end.name,
            end.status,
            end.bytes,
            end.expected,
            end.sent_ms,
            end.ended_ms,
            end.error.as_ref().map_or(String::new(), |error| format!(" ({error})")),
        ));
    }
    let summary = format!("{} requests, LOST: {broken} connections ended without the complete answer", ends.len());
    record.add(summary.clone());
    println!("{summary}");
    record.save(&folder.join("record.txt"));
    i32::from(broken > 0)
}
