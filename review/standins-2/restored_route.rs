//! Operators take a route away while its leafs are dark, and give it back later: one node, five leafs.

use std::{
    collections::BTreeMap,
    fmt::Write,
    fs,
    io::{BufRead, BufReader},
    path::Path,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, atomic::AtomicBool, atomic::Ordering, mpsc},
    thread,
    time::{Duration, Instant},
};

use crate::{client, node::Node, store::Store};

const HOST: &str = "letters.example";
/// Requests a second on the route that is taken away, and on the one that stays. Together less than the 112.5 of the
/// whole site, which has to bear the loss of any number of its machines.
const RATES: [(&str, f64); 2] = [("corresp", 100.0), ("invoices", 10.0)];
const DEADLINE: Duration = Duration::from_millis(3000);
const RETRIES: usize = 1;
/// Times since the start of the load, in ms: the leafs go dark; the route is taken away; the leafs are back; the route is
/// given back; the counted time begins and ends.
const DARK_AT: u64 = 6000;
const REMOVED_AT: u64 = 8200;
const BACK_AT: u64 = 9000;
const RESTORED_AT: u64 = 14_000;
/// `configApplyMs` and `stabilityWindowMs` after the route is back.
const COUNTED_FROM: u64 = RESTORED_AT + 3000 + 4000;
const COUNTED_TO: u64 = COUNTED_FROM + 12_000;
/// The rule's least number of requests, and its share of the others' rate.
const LEAST_REQUESTS: usize = 20;
const LEAST_SHARE: f64 = 0.25;

/// Leafs of one service in a process of their own.
struct Leafs {
    child: Child,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Leafs {
    fn start(service: &str, count: usize, slots: u32, work_ms: u64, store: &Store) -> std::io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["leafs", service, &count.to_string(), &slots.to_string(), &work_ms.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or_else(|| std::io::Error::other("no output"))?;
        let mut lines = BufReader::new(output).lines();
        for _ in 0..count {
            let line = lines.next().ok_or_else(|| std::io::Error::other("no leaf"))??;
            let (id, address) = line.split_once(' ').unwrap_or((&line, ""));
            let born = std::time::UNIX_EPOCH.elapsed().map_or(0, |since| since.as_millis());
            let entry = format!(
                r#"{{"service":"{service}","address":"{address}","zone":"hakata-a","version":"v1","slots":{slots},"state":"ready","warmupLeftMs":0,"seq":1,"born":{born}}}"#
            );
            store.put(&format!("servers/{id}"), &entry);
        }
        let runs = Arc::new(Mutex::new(BTreeMap::new()));
        let ledger = Arc::clone(&runs);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let request = line.rsplit(' ').next().unwrap_or("").to_owned();
                *ledger.lock().expect("the ledger").entry(request).or_insert(0) += 1;
            }
        });
        Ok(Self { child, runs })
    }

    fn signal(&self, signal: &str) {
        Command::new("kill").arg(signal).arg(self.child.id().to_string()).status().ok();
    }
}

impl Drop for Leafs {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn configuration(version: u64, has_route: bool) -> String {
    let route = |name: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"/{name}/","routeType":"idempotent","timeoutMs":3000,"targetLatencyMs":500,"maxAttempts":2,"priority":2,"service":"{service}"}}"#
        )
    };
    let mut routes = vec![route("invoices", "billing")];
    if has_route {
        routes.push(route("corresp", "authormail"));
    }
    let service = |name: &str| format!(r#"{{"name":"{name}","healthPath":"/health","maxConnections":42}}"#);
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{},{}],"limits":{{"maxHeaderBytes":8192,"maxBodyBytes":262144,"headerTimeoutMs":2000,"idleTimeoutMs":10000}}}}"#,
        routes.join(","),
        service("authormail"),
        service("billing")
    )
}

/// One request: its route, when it was sent (ms since the start), and its end.
struct Sent {
    route: &'static str,
    at: u64,
    took: u64,
    outcome: client::Outcome,
}

/// Sends requests of `route` at `rate` a second until `stops`, each on a thread of its own.
fn load(node: String, route: &'static str, rate: f64, start: Instant, stops: Arc<AtomicBool>, ends: mpsc::Sender<Sent>) {
    let mut number = 0;
    while !stops.load(Ordering::SeqCst) {
        let (node, ends) = (node.clone(), ends.clone());
        thread::spawn(move || {
            let sent_at = Instant::now();
            let id = format!("{route}-{number:05}");
            let outcome = client::send(&node, HOST, &format!("/{route}/{number}"), &id, DEADLINE, RETRIES);
            let at = sent_at.duration_since(start).as_millis() as u64;
            ends.send(Sent { route, at, took: sent_at.elapsed().as_millis() as u64, outcome }).ok();
        });
        number += 1;
        let next = start + Duration::from_secs_f64(f64::from(number) / rate);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// Plays the case; returns the exit code.
pub fn main(directory: &Path, has_trouble: bool) -> i32 {
    let files = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let code = match fs::create_dir_all(&files).and_then(|()| play(directory, &files, has_trouble)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    };
    fs::remove_dir_all(&files).ok();
    code
}

fn play(directory: &Path, files: &Path, has_trouble: bool) -> std::io::Result<i32> {
    let (store, address) = Store::start();
    let letters = Leafs::start("authormail", 5, 4, 30, &store)?;
    let invoices = Leafs::start("billing", 4, 4, 20, &store)?;
    store.put("op/config", &configuration(3, true));
    let mut node = Node::start("front-1", &address, files)?;
    if !node.wait_ready() {
        return Err(std::io::Error::other("the node was not ready in time"));
    }
    let start = Instant::now();
    let wait_until = |ms: u64| {
        thread::sleep((start + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
    };
    let stops = Arc::new(AtomicBool::new(false));
    let (ends, ended) = mpsc::channel();
    let mut senders = Vec::new();
    for (route, rate) in RATES {
        let (listen, stops, ends) = (node.listen.clone(), Arc::clone(&stops), ends.clone());
        senders.push(thread::spawn(move || load(listen, route, rate, start, stops, ends)));
    }
    drop(ends);
    let mut steps = String::new();
    let mut step = |text: &str| {
        writeln!(steps, "{:>6} ms  {text}", start.elapsed().as_millis()).ok();
    };
    wait_until(DARK_AT);
    if has_trouble {
        letters.signal("-STOP");
        step("the five leafs of authormail go dark (SIGSTOP)");
    }
    wait_until(REMOVED_AT);
    store.put("op/config", &configuration(5, false));
    step("the store acknowledged version 5, without the route corresp");
    wait_until(BACK_AT);
    if has_trouble {
        letters.signal("-CONT");
        step("the leafs are back (SIGCONT)");
    }
    wait_until(RESTORED_AT);
    store.put("op/config", &configuration(8, true));
    step("the store acknowledged version 8, with the route corresp again");
    wait_until(COUNTED_TO);
    stops.store(true, Ordering::SeqCst);
    for sender in senders {
        sender.join().ok();
    }
    let sent: Vec<Sent> = ended.into_iter().collect();
    let is_running = node.is_running();
    step(if is_running { "the node still runs" } else { "the node has ended" });
    let log = fs::read_to_string(&node.log)?;
    drop(node);
    report(directory, has_trouble, &steps, sent, [&letters, &invoices], &log)
}

fn report(
    directory: &Path,
    has_trouble: bool,
    steps: &str,
    mut sent: Vec<Sent>,
    leafs: [&Leafs; 2],
    log: &str,
) -> std::io::Result<i32> {
    sent.sort_by_key(|request| request.at);
    let mut text = format!("TROUBLE={}\n\n{steps}\n", u8::from(has_trouble));
    writeln!(text, "answers by status, for each two seconds in which requests were sent (0: none)").ok();
    for (route, _) in RATES {
        let mut by_window: BTreeMap<u64, BTreeMap<u16, u32>> = BTreeMap::new();
        for request in sent.iter().filter(|request| request.route == route) {
            let window = by_window.entry(request.at / 2000 * 2).or_default();
            *window.entry(request.outcome.status()).or_insert(0) += 1;
        }
        for (window, statuses) in by_window {
            writeln!(text, "{route:>9} from {window:>2} s: {statuses:?}").ok();
        }
    }
    let mut shares = Vec::new();
    for (route, _) in RATES {
        let counted: Vec<&Sent> = sent
            .iter()
            .filter(|request| request.route == route && (COUNTED_FROM..COUNTED_TO).contains(&request.at))
            .collect();
        let served = counted.iter().filter(|request| request.outcome.status() == 200).count();
        let share = served as f64 / counted.len().max(1) as f64;
        writeln!(text, "{route}: {served} of {} served from {COUNTED_FROM} to {COUNTED_TO} ms", counted.len()).ok();
        shares.push((counted.len(), share));
    }
    let is_broken = shares[0].0 >= LEAST_REQUESTS && shares[0].1 < LEAST_SHARE * shares[1].1;
    let is_judged = shares[0].0 >= LEAST_REQUESTS && shares[1].1 > 0.5;
    let verdict = match (is_judged, is_broken) {
        (false, _) => "not judged: too few requests, or the other route was not served either",
        (true, true) => "CONFIG is broken: the route that was given back is served less than a quarter as often",
        (true, false) => "CONFIG holds",
    };
    writeln!(text, "{verdict}\n").ok();
    let reasons = log.lines().filter(|line| line.contains("\"answered\"") && line.contains("corresp"));
    for line in reasons.rev().take(2) {
        writeln!(text, "the node's log: {line}").ok();
    }
    writeln!(text, "\nrequests: when sent, attempts with their statuses, time taken, runs").ok();
    for request in &sent {
        let runs: u32 = leafs
            .iter()
            .flat_map(|leafs| request.outcome.attempts.iter().map(|(id, _)| *leafs.runs.lock().expect("the ledger").get(id).unwrap_or(&0)))
            .sum();
        writeln!(text, "{:>6} ms  {:?}  {} ms  ran {runs}", request.at, request.outcome.attempts, request.took).ok();
    }
    fs::write(directory.join("record.txt"), text)?;
    println!("{verdict}");
    Ok(if !is_judged { 2 } else { i32::from(is_broken) })
}
