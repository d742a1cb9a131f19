//! Clients leave before their deadline: they end their side of the connection and read until the node ends its own.

use std::{
    io::{self, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::common::*;

const SERVICE: &str = "authormail";
const HOST: &str = "pupu76.example";
const LEAFS: usize = 5;
const BODY_BYTES: usize = 3000;
const DEADLINE_MS: u64 = 3000;
const PER_SECOND: u64 = 25;
const TRAFFIC: Duration = Duration::from_millis(5500);
/// One in this many clients leaves: a share of 0.2.
const LEAVING_ONE_IN: u64 = 5;
/// Time after which such a client leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(60);

/// What a client got until the node ended the connection.
struct Seen {
    id: String,
    is_leaving: bool,
    sent_ms: u64,
    ended_ms: u64,
    head: Option<String>,
    status: Option<u16>,
    stamp: Option<String>,
    length: usize,
    body: usize,
    error: Option<String>,
}

pub fn run(root: &Path, folder: &Path, directory: &Path, is_troubled: bool) -> i32 {
    let record = Record::new();
    let ledger = Ledger::new(&record);
    let store = Store::start();
    let zones = ["hakata-a", "hakata-b"];
    let config = format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"prefix\":\"/timi402/\",\
         \"routeType\":\"idempotent\",\"timeoutMs\":{DEADLINE_MS},\"targetLatencyMs\":500,\"priority\":2,\
         \"service\":\"{SERVICE}\",\"maxAttempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConnections\":42,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    );
    store.put("op/config", &config);
    for index in 0..LEAFS {
        let spec = LeafSpec {
            id: format!("i-{index}"),
            slots: 4,
            queue: 16,
            work_ms: 120,
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
        region: "fukuoka".to_owned(),
        slack: 52,
    };
    let places = [addresses(), addresses()];
    let seeds = places.map(|place| place[2]);
    let nodes: Vec<Node> = (0..2)
        .map(|index| deployment.start_node(&format!("front-{}-1", zones[index]), zones[index], places[index], &seeds))
        .collect();
    if !nodes.iter().all(wait_ready) {
        eprintln!("a node did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(5));
    record.add(format!("traffic begins: {PER_SECOND} requests a second for {} ms", TRAFFIC.as_millis()));
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let started = Instant::now();
    let mut clients = Vec::new();
    let mut number = 0u64;
    while started.elapsed() < TRAFFIC {
        let front = nodes[number as usize % nodes.len()].front;
        let is_leaving = is_troubled && number % LEAVING_ONE_IN == 0;
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000u64 + number);
        let (seen, record) = (Arc::clone(&seen), Arc::clone(&record));
        clients.push(thread::spawn(move || {
            let mut client = Seen {
                id,
                is_leaving,
                sent_ms: record.now(),
                ended_ms: 0,
                head: None,
                status: None,
                stamp: None,
                length: 0,
                body: 0,
                error: None,
            };
            if let Err(error) = request(front, &mut client) {
                client.error = Some(error.to_string());
            }
            client.ended_ms = record.now();
            seen.lock().unwrap().push(client);
        }));
        number += 1;
        let next = started + Duration::from_millis(number * 1000 / PER_SECOND);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    for client in clients {
        client.join().ok();
    }
    thread::sleep(Duration::from_secs(1));
    judge(&record, &ledger, &seen.lock().unwrap(), folder)
}

fn request(front: SocketAddr, client: &mut Seen) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let head = format!(
        "GET /timi402/{} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n",
        client.id, client.id
    );
    stream.write_all(head.as_bytes())?;
    if client.is_leaving {
        thread::sleep(LEAVES_AFTER);
        stream.shutdown(Shutdown::Write)?;
    }
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader)? else {
        return Ok(());
    };
    client.status = status(&head);
    client.stamp = head.get("server-stamp").map(str::to_owned);
    client.length = head.length();
    let headers: Vec<String> = head.headers.iter().map(|(name, value)| format!("{name}: {value}")).collect();
    client.head = Some(format!("{} | {}", head.first, headers.join(" | ")));
    let mut body = vec![0; client.length];
    reader.read_exact(&mut body)?;
    client.body = body.len();
    Ok(())
}

fn judge(record: &Record, ledger: &Ledger, seen: &[Seen], folder: &Path) -> i32 {
    let (mut broken, mut leaving, mut served) = (0, 0, 0);
    for client in seen {
        let is_success = client.status.is_some_and(|status| (200..300).contains(&status));
        let is_own = client.stamp.as_ref().is_some_and(|stamp| stamp.ends_with(&client.id));
        let is_whole = client.body == BODY_BYTES;
        let is_broken = is_success && !(is_own && is_whole);
        broken += u32::from(is_broken);
        leaving += u32::from(client.is_leaving);
        served += u32::from(is_success && !is_broken);
        record.add(format!(
            "{}request {} of a client that {}: sent at {} ms, ended at {} ms, {} with {} bytes{}",
            if is_broken { "BROKEN: " } else { "" },
            client.id,
            if client.is_leaving { "leaves" } else { "stays" },
            client.sent_ms,
            client.ended_ms,
            client.head.as_deref().unwrap_or("no answer"),
            client.body,
            client.error.as_ref().map_or(String::new(), |error| format!(" ({error})")),
        ));
        for event in ledger.events.lock().unwrap().get(&client.id).into_iter().flatten() {
            record.add(format!("    {event}"));
        }
    }
    let summary = format!(
        "{} requests, {leaving} clients left, {served} served; MIXED: {broken} clients got a success without the leaf's `Server-Stamp` and body",
        seen.len()
    );
    record.add(summary.clone());
    println!("{summary}");
    record.save(&folder.join("record.txt"));
    if served == 0 {
        return 2;
    }
    i32::from(broken > 0)
}
