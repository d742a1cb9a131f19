//! Leafs spoil the signature of some of their answers: a gather over 20 shards of two leafs each.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
    fs,
    io::{self, Write as _},
    net::{TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{client, http, node::Node, scene, store::Store};

const SHARDS: usize = 20;
const LEAFS_PER_SHARD: usize = 2;
const SLOTS: u32 = 2;
const RECORD_BYTES: usize = 16;
const RECORDS: u64 = 62;
const TOP: usize = 50;
const WORK: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_millis(800);
/// Requests a second, a part of the 67.5 of the whole site.
const RATE: f64 = 20.0;
/// Times since the start of the load, in ms: the leafs begin and cease to spoil answers; the load ends.
const SPOILED_FROM: u64 = 4000;
const SPOILED_TO: u64 = 9000;
const END_AT: u64 = 11_000;
/// Every second leaf spoils one in so many of its answers.
const ONE_IN: u64 = 50;

/// A part as a leaf gave it: service and records.
type Part = (String, Vec<[u8; RECORD_BYTES]>);

#[derive(Default)]
struct Shared {
    /// Parts with a sound signature, by signature.
    parts: Mutex<BTreeMap<String, Part>>,
    /// Requests whose part was spoiled, with its service.
    spoiled: Mutex<Vec<(String, String)>>,
    is_spoiling: AtomicBool,
    number: AtomicU64,
}

struct Leaf {
    id: String,
    service: String,
    may_spoil: bool,
    answers: AtomicU64,
    shared: Arc<Shared>,
}

impl Leaf {
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut rest = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut rest) {
            let id = request.header("request-id").to_owned();
            if request.header("expect-instance") != self.id {
                http::respond(&mut stream, 421, &[("Request-Id", &id), ("Not-Executed", "other")], b"").ok()?;
                continue;
            }
            thread::sleep(WORK);
            let records = records(&self.service, &id);
            let number = self.shared.number.fetch_add(1, Ordering::SeqCst);
            let stamp = format!("{number:08x}.{}", self.id);
            let answers = self.answers.fetch_add(1, Ordering::SeqCst);
            let is_spoiled = self.may_spoil && self.shared.is_spoiling.load(Ordering::SeqCst) && answers % ONE_IN == 0;
            let mut bytes =
                format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Load: 1,0,{SLOTS}\r\nServer-Stamp: ");
            let mut head = bytes.into_bytes();
            if is_spoiled {
                // Wrong bytes where the signature stands.
                head.extend(stamp.bytes().map(|byte| byte | 0x80));
                self.shared.spoiled.lock().expect("the list").push((id, self.service.clone()));
            } else {
                head.extend_from_slice(stamp.as_bytes());
                self.shared.parts.lock().expect("the parts").insert(stamp, (self.service.clone(), records.clone()));
            }
            bytes = format!("\r\nContent-Length: {}\r\n\r\n", records.len() * RECORD_BYTES);
            head.extend_from_slice(bytes.as_bytes());
            head.extend(records.iter().flatten());
            stream.write_all(&head).ok()?;
        }
        None
    }
}

/// The records of a part: the same for all leafs of a service.
fn records(service: &str, request: &str) -> Vec<[u8; RECORD_BYTES]> {
    let mut state: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in service.bytes().chain(request.bytes()) {
        state = (state ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    let mut next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state
    };
    (0..RECORDS).map(|_| (u128::from(next()) << 64 | u128::from(next())).to_be_bytes()).collect()
}

/// Plays the case; returns the exit code.
pub fn main(directory: &Path, has_trouble: bool) -> i32 {
    scene::run(|files| play(directory, files, has_trouble))
}

fn play(directory: &Path, files: &Path, has_trouble: bool) -> io::Result<i32> {
    let (store, address) = Store::start();
    let shared = Arc::new(Shared::default());
    let mut names = Vec::new();
    for shard in 0..SHARDS {
        let service = format!("proofdesk{shard}");
        for index in 0..LEAFS_PER_SHARD {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let id = format!("i-{shard}-{index}");
            let entry = format!(
                r#"{{"service":"{service}","address":"{}","zone":"hakata-a","version":"v1","slots":{SLOTS},"state":"ready","warmupLeftMs":0,"seq":1}}"#,
                listener.local_addr()?
            );
            store.put(&format!("servers/{id}"), &entry);
            let leaf = Arc::new(Leaf {
                id,
                service: service.clone(),
                may_spoil: index == 0,
                answers: AtomicU64::new(0),
                shared: Arc::clone(&shared),
            });
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let leaf = Arc::clone(&leaf);
                    thread::spawn(move || leaf.serve(stream));
                }
            });
        }
        names.push(service);
    }
    store.put("op/config", &configuration(&names));
    let mut node = Node::start("front-1", &address, files)?;
    if !node.wait_ready() {
        return Err(io::Error::other("the node was not ready in time"));
    }
    let start = Instant::now();
    let mut requests = Vec::new();
    let mut number = 0;
    while start.elapsed() < Duration::from_millis(END_AT) {
        let now = start.elapsed().as_millis() as u64;
        let is_spoiling = has_trouble && (SPOILED_FROM..SPOILED_TO).contains(&now);
        shared.is_spoiling.store(is_spoiling, Ordering::SeqCst);
        let listen = node.listen.clone();
        requests.push(thread::spawn(move || {
            let id = format!("refcheck-{number:05}");
            (now, client::send(&listen, scene::HOST, &format!("/refcheck/{number}"), &id, DEADLINE, 1))
        }));
        number += 1;
        let next = start + Duration::from_secs_f64(f64::from(number) / RATE);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    let mut text = format!(
        "TROUBLE={}\n\nanswers are spoiled from {SPOILED_FROM} to {SPOILED_TO} ms after the start\n",
        u8::from(has_trouble)
    );
    writeln!(text, "requests: when sent, attempts with their statuses, parts, missing, verdict").ok();
    let mut broken = 0;
    let mut served = 0;
    for request in requests {
        let Ok((at, outcome)) = request.join() else {
            continue;
        };
        let fault =
            outcome.answer.as_ref().filter(|answer| answer.status() == 200).and_then(|answer| fault(&shared, answer));
        broken += usize::from(fault.is_some());
        served += usize::from(outcome.status() == 200);
        let header =
            |name: &str| outcome.answer.as_ref().map_or(String::new(), |answer| answer.header(name).to_owned());
        let parts = entries(&header("part-stamps")).count();
        let verdict = fault.unwrap_or_else(|| "sound".to_owned());
        writeln!(text, "{at:>6} ms  {:?}  {parts}  {}  {verdict}", outcome.attempts, header("missing-parts")).ok();
    }
    let spoiled = shared.spoiled.lock().expect("the list").clone();
    writeln!(text, "\nspoiled answers: request, service").ok();
    for (request, service) in &spoiled {
        writeln!(text, "{request} {service}").ok();
    }
    writeln!(text, "\n{served} served, {} answers of leafs spoiled, {broken} successes wrong", spoiled.len()).ok();
    if !node.is_running() {
        writeln!(text, "the node has ended").ok();
    }
    fs::write(directory.join("record.txt"), text)?;
    println!("{served} served, {} answers of leafs spoiled, {broken} successes wrong", spoiled.len());
    Ok(if served == 0 { 2 } else { i32::from(broken > 0) })
}

fn configuration(services: &[String]) -> String {
    let gather = services.iter().map(|service| format!("\"{service}\"")).collect::<Vec<_>>().join(",");
    let listed = services.iter().map(|service| scene::service(service)).collect::<Vec<_>>().join(",");
    format!(
        r#"{{"version":3,"routes":[{{"name":"refcheck","host":"{}","prefix":"/refcheck/","routeType":"idempotent","timeoutMs":800,"targetLatencyMs":120,"maxAttempts":2,"priority":1,"gather":[{gather}],"topK":{TOP},"minCoverage":0.89}}],"services":[{listed}],"limits":{{"maxHeaderBytes":8192,"maxBodyBytes":262144,"headerTimeoutMs":2000,"idleTimeoutMs":10000}}}}"#,
        scene::HOST
    )
}

fn entries(value: &str) -> impl Iterator<Item = &str> {
    value.split(',').map(str::trim).filter(|entry| !entry.is_empty())
}

/// What breaks MIXED in a success; `None` if nothing does.
fn fault(shared: &Shared, answer: &http::Message) -> Option<String> {
    let parts = shared.parts.lock().expect("the parts");
    let mut services = BTreeSet::new();
    let mut records = Vec::new();
    let value = answer.header("part-stamps");
    for entry in entries(value) {
        let Some((service, given)) = parts.get(entry) else {
            return Some(format!("`{entry}` is no signature that a leaf gave"));
        };
        if !services.insert(service.clone()) {
            return Some(format!("two parts of {service}"));
        }
        records.extend_from_slice(given);
    }
    let missing: usize = answer.header("missing-parts").parse().unwrap_or(0);
    if services.len() + missing != SHARDS {
        return Some(format!("{} parts and {missing} missing are not the {SHARDS} of the set", services.len()));
    }
    records.sort_unstable_by(|left, right| right.cmp(left));
    let expected: Vec<u8> = records.into_iter().take(TOP).flatten().collect();
    (expected != answer.body).then(|| "the body isn't the greatest records of the parts named".to_owned())
}
