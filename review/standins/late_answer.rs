//! Leafs reject requests that are not idempotent, and one in 34 of the answers of some leafs is sent a second time, at the
//! point where the next answer is expected.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    ops::Range,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::common::*;

const SERVICE: &str = "authormail";
const HOST: &str = "pupu76.example";
const LEAFS: usize = 5;
const LEAF_ZONES: [&str; LEAFS] = ["hakata-a", "hakata-a", "hakata-b", "tenjin", "itoshima"];
/// Names and zones of the nodes.
const NODES: [(&str, &str); 6] = [
    ("front-hakata-a-1", "hakata-a"),
    ("front-hakata-a-2", "hakata-a"),
    ("front-hakata-b-1", "hakata-b"),
    ("front-hakata-b-2", "hakata-b"),
    ("front-tenjin-1", "tenjin"),
    ("front-itoshima-1", "itoshima"),
];
/// Leafs that send second answers: a share of 0.6.
const GARBLING: usize = 3;
/// One in 34 answers: a share of 0.029.
const ONE_IN: u64 = 34;
const PER_SECOND: u64 = 150;
/// Percentage of the requests that a leaf sheds.
const SHED_PERCENT: u64 = 20;
const TRAFFIC: Duration = Duration::from_secs(60);
/// The disruptions come again in each of these spans. In ms from its start: when leafs shed, and when they send second
/// answers.
const SPAN: u64 = 10_000;
const SHED: Range<u64> = 0..9000;
const SECOND_ANSWERS: Range<u64> = 2000..7000;

pub fn run(root: &Path, folder: &Path, directory: &Path, is_troubled: bool) -> i32 {
    let record = Record::new();
    let ledger = Ledger::new(&record);
    let store = Store::start();
    let extra = Arc::new(Extra { is_on: AtomicBool::new(false), one_in: ONE_IN, sent: AtomicU64::new(0) });
    let shed = Arc::new(Shed { is_on: AtomicBool::new(false), percent: SHED_PERCENT });
    // `SECOND_ANSWERS=0` leaves out these alone.
    let with_second_answers = is_troubled && std::env::var("SECOND_ANSWERS").map_or(true, |value| value != "0");
    let mut leafs = Vec::new();
    for index in 0..LEAFS {
        let spec = LeafSpec {
            id: format!("i-{index}"),
            slots: 4,
            queue: 16,
            work_ms: 20,
            body_bytes: 3000,
            extra: (index < GARBLING).then(|| Arc::clone(&extra)),
            shed: Some(Arc::clone(&shed)),
        };
        leafs.push(Leaf::start(spec, &ledger));
    }
    let zones = ["hakata-a", "hakata-b", "tenjin", "itoshima"];
    let config = format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"prefix\":\"/timi402/\",\
         \"routeType\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":2,\
         \"service\":\"{SERVICE}\",\"maxAttempts\":1}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConnections\":42,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    );
    store.put("op/config", &config);
    for (index, leaf) in leafs.iter().enumerate() {
        let (key, value) = leaf.entry(SERVICE, LEAF_ZONES[index]);
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
    let places: Vec<[SocketAddr; 5]> = NODES.iter().map(|_| addresses()).collect();
    let seeds: Vec<SocketAddr> = places.iter().take(3).map(|place| place[2]).collect();
    let start =
        |(index, (name, zone)): (usize, &(&str, &str))| deployment.start_node(name, zone, places[index], &seeds);
    let nodes: Vec<Node> = NODES.iter().enumerate().map(start).collect();
    if !nodes.iter().all(wait_ready) {
        eprintln!("a node did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    record.add(format!("traffic begins: {PER_SECOND} requests a second for {} s", TRAFFIC.as_secs()));
    let answers: Arc<Mutex<Vec<(String, u64, Result<u16, String>, u64)>>> = Arc::default();
    let started = Instant::now();
    let mut clients = Vec::new();
    let mut number = 0u64;
    while started.elapsed() < TRAFFIC {
        let at = started.elapsed().as_millis() as u64 % SPAN;
        shed.is_on.store(is_troubled && SHED.contains(&at), Ordering::SeqCst);
        let is_on = with_second_answers && SECOND_ANSWERS.contains(&at);
        if is_on != extra.is_on.swap(is_on, Ordering::SeqCst) {
            record.add(format!("second answers {}", if is_on { "begin" } else { "end" }));
        }
        let front = nodes[number as usize % nodes.len()].front;
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000u64 + number);
        let (answers, record) = (Arc::clone(&answers), Arc::clone(&record));
        clients.push(thread::spawn(move || {
            let sent = record.now();
            let status = post(front, &id);
            answers.lock().unwrap().push((id, sent, status, record.now()));
        }));
        number += 1;
        let next = started + Duration::from_millis(number * 1000 / PER_SECOND);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    for client in clients {
        client.join().ok();
    }
    // Whatever still runs at a leaf ends in this time.
    thread::sleep(Duration::from_secs(2));
    judge(&record, &ledger, &answers.lock().unwrap(), folder, extra.sent.load(Ordering::SeqCst))
}

/// Sends one attempt of a client on a connection of its own.
fn post(front: SocketAddr, id: &str) -> Result<u16, String> {
    let text = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).map_err(text)?;
    stream.set_read_timeout(Some(Duration::from_millis(4000))).map_err(text)?;
    let body = format!("{:<300}", format!("letter {id}"));
    let head = format!(
        "POST /timi402/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).map_err(text)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).map_err(text)?.ok_or("closed without an answer")?;
    read_body(&mut reader, head.length()).map_err(text)?;
    status(&head).ok_or_else(|| "no status".to_owned())
}

fn judge(
    record: &Record,
    ledger: &Ledger,
    answers: &[(String, u64, Result<u16, String>, u64)],
    folder: &Path,
    second_answers: u64,
) -> i32 {
    let runs = ledger.runs.lock().unwrap();
    let events = ledger.events.lock().unwrap();
    let (mut twice, mut refused, mut served) = (0, 0, 0);
    for (id, sent, status, answered) in answers {
        let count = runs.get(id).copied().unwrap_or(0);
        served += u32::from(matches!(status, Ok(200)));
        let is_twice = count > 1;
        let is_refused = count > 0 && matches!(status, Ok(408 | 421 | 429 | 503));
        twice += u32::from(is_twice);
        refused += u32::from(is_refused);
        if is_twice || is_refused {
            record.add(format!("BROKEN: {id} ran {count} times, and its client got {status:?}; sent at {sent} ms, answered at {answered} ms"));
            for event in events.get(id).into_iter().flatten() {
                record.add(format!("    {event}"));
            }
        }
    }
    let rejections = ledger.rejections.load(Ordering::SeqCst);
    let summary = format!(
        "{} requests, {served} served, {rejections} rejections by leafs, {second_answers} second answers; TWICE: {twice} requests ran more than once; REFUSED: {refused} requests were answered 408, 421, 429 or 503 and had run",
        answers.len()
    );
    record.add(summary.clone());
    println!("{summary}");
    for (id, sent, status, answered) in answers {
        let count = runs.get(id).copied().unwrap_or(0);
        record.add(format!("request {id}: sent at {sent} ms, answered {status:?} at {answered} ms, runs {count}"));
    }
    record.save(&folder.join("record.txt"));
    if served == 0 {
        return 2;
    }
    i32::from(twice + refused > 0)
}
