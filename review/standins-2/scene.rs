//! What the cases share: leafs in processes that can be stopped, a load of requests, and the record.

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

use crate::{client, store::Store};

/// Host name of all requests.
pub const HOST: &str = "letters.example";
const DEADLINE: Duration = Duration::from_millis(3000);
const RETRIES: usize = 1;

/// Leafs of one service in a process of their own.
pub struct Leafs {
    child: Child,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Leafs {
    /// Starts `count` leafs of `service` and registers them.
    pub fn start(service: &str, count: usize, slots: u32, work_ms: u64, store: &Store) -> std::io::Result<Self> {
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

    /// How often the request with `id` ran.
    pub fn runs_of(&self, id: &str) -> u32 {
        *self.runs.lock().expect("the ledger").get(id).unwrap_or(&0)
    }

    /// Sends a signal to the leafs' process.
    pub fn signal(&self, signal: &str) {
        Command::new("kill").arg(signal).arg(self.child.id().to_string()).status().ok();
    }
}

impl Drop for Leafs {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// One request: its route, when it was sent (ms since the start), and its end.
pub struct Sent {
    pub route: &'static str,
    pub at: u64,
    pub took: u64,
    pub outcome: client::Outcome,
}

/// Sends requests of `route` at `rate` a second until `stops`, each on a thread of its own.
fn load(
    node: String,
    route: &'static str,
    rate: f64,
    start: Instant,
    stops: Arc<AtomicBool>,
    ends: mpsc::Sender<Sent>,
) {
    let mut number = 0;
    while !stops.load(Ordering::SeqCst) {
        let (node, ends) = (node.clone(), ends.clone());
        thread::spawn(move || {
            let sent_at = Instant::now();
            let id = format!("{}-{number:05}", route.replace('/', "-"));
            let outcome = client::send(&node, HOST, &format!("/{route}/{number}"), &id, DEADLINE, RETRIES);
            let at = sent_at.duration_since(start).as_millis() as u64;
            ends.send(Sent { route, at, took: sent_at.elapsed().as_millis() as u64, outcome }).ok();
        });
        number += 1;
        let next = start + Duration::from_secs_f64(f64::from(number) / rate);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// The load of a case, and the steps that were taken.
pub struct Scene {
    start: Instant,
    stops: Arc<AtomicBool>,
    senders: Vec<thread::JoinHandle<()>>,
    ended: mpsc::Receiver<Sent>,
    steps: String,
}

impl Scene {
    /// Starts to send requests to `node`, by path and rate.
    pub fn start(node: &str, rates: &[(&'static str, f64)]) -> Self {
        let start = Instant::now();
        let stops = Arc::new(AtomicBool::new(false));
        let (ends, ended) = mpsc::channel();
        let mut senders = Vec::new();
        for &(route, rate) in rates {
            let (node, stops, ends) = (node.to_owned(), Arc::clone(&stops), ends.clone());
            senders.push(thread::spawn(move || load(node, route, rate, start, stops, ends)));
        }
        Self { start, stops, senders, ended, steps: String::new() }
    }

    /// Waits until `ms` after the start.
    pub fn wait_until(&self, ms: u64) {
        thread::sleep((self.start + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
    }

    /// Writes down a step.
    pub fn step(&mut self, text: &str) {
        writeln!(self.steps, "{:>6} ms  {text}", self.start.elapsed().as_millis()).ok();
    }

    /// Ends the load and waits for its requests; returns the steps and the requests by time.
    pub fn end(self) -> (String, Vec<Sent>) {
        self.stops.store(true, Ordering::SeqCst);
        for sender in self.senders {
            sender.join().ok();
        }
        let mut sent: Vec<Sent> = self.ended.into_iter().collect();
        sent.sort_by_key(|request| request.at);
        (self.steps, sent)
    }
}

/// Counts the answers by status, for each two seconds in which requests were sent.
pub fn answers(sent: &[Sent], rates: &[(&'static str, f64)]) -> String {
    let mut text = "answers by status, for each two seconds in which requests were sent (0: none)\n".to_owned();
    for (route, _) in rates {
        let mut by_window: BTreeMap<u64, BTreeMap<u16, u32>> = BTreeMap::new();
        for request in sent.iter().filter(|request| request.route == *route) {
            let window = by_window.entry(request.at / 2000 * 2).or_default();
            *window.entry(request.outcome.status()).or_insert(0) += 1;
        }
        for (window, statuses) in by_window {
            writeln!(text, "{route:>16} from {window:>2} s: {statuses:?}").ok();
        }
    }
    text
}

/// Lists each request with its attempts, statuses and runs.
pub fn requests(sent: &[Sent], leafs: &[&Leafs]) -> String {
    let mut text = "requests: when sent, attempts with their statuses, time taken, runs\n".to_owned();
    for request in sent {
        let mut runs = 0;
        for leafs in leafs {
            let ledger = leafs.runs.lock().expect("the ledger");
            runs += request.outcome.attempts.iter().map(|(id, _)| ledger.get(id).unwrap_or(&0)).sum::<u32>();
        }
        writeln!(text, "{:>6} ms  {:?}  {} ms  ran {runs}", request.at, request.outcome.attempts, request.took).ok();
    }
    text
}

/// A service of a configuration.
pub fn service(name: &str) -> String {
    format!(r#"{{"name":"{name}","healthPath":"/health","maxConnections":42}}"#)
}

/// A route of a configuration, with the bounds of `corresp` on the site.
pub fn route(name: &str, prefix: &str, service: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","routeType":"idempotent","timeoutMs":3000,"targetLatencyMs":500,"maxAttempts":2,"priority":2,"service":"{service}"}}"#
    )
}

/// A configuration of both services.
pub fn configuration(version: u64, routes: &[String]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{},{}],"limits":{{"maxHeaderBytes":8192,"maxBodyBytes":262144,"headerTimeoutMs":2000,"idleTimeoutMs":10000}}}}"#,
        routes.join(","),
        service("authormail"),
        service("billing")
    )
}

/// Plays a case in a folder of its own for temporary files; returns the exit code.
pub fn run(play: impl FnOnce(&Path) -> std::io::Result<i32>) -> i32 {
    let files = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let code = match fs::create_dir_all(&files).and_then(|()| play(&files)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    };
    fs::remove_dir_all(&files).ok();
    code
}
