//! Stand-ins of the users' platform for the review: the store, leafs, a client and the launch of nodes.
//! They use the standard library only, so that `rustc` alone builds them without a network.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: i32) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

/// Lines of `record.txt`, with milliseconds since the start of the script.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { started: Instant::now(), lines: Mutex::default() })
    }

    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: String) {
        let line = format!("{:>7} ms  {text}", self.now());
        self.lines.lock().unwrap().push(line);
    }

    pub fn save(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().join("\n");
        lines.push('\n');
        fs::write(path, lines).ok();
    }
}

/// A parsed head of an HTTP/1.1 request or response.
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(Head { first: first.trim_end().to_owned(), headers }));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

pub fn read_body(reader: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// The platform's store: a keyspace with one revision counter, which can be listed and watched.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (String, u64, u64)>,
    log: Vec<(u64, String, Option<String>)>,
}

const PAGE_ITEMS: usize = 500;

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let state = Mutex::new(StoreState { revision: 1, ..StoreState::default() });
        let store =
            Arc::new(Self { address: listener.local_addr().expect("an address"), state, changed: Condvar::new() });
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// Writes an item; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.2);
        state.items.insert(key.to_owned(), (value.to_owned(), revision, created));
        state.log.push((revision, key.to_owned(), Some(value.to_owned())));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader).ok()? {
            let target = head.first.split(' ').nth(1)?.to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let field = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode(value)).next().unwrap_or_default()
            };
            let (status, body) = match path {
                "/shallothub/kv-range" => (200, self.range(&field("prefix"), &field("after"))),
                "/shallothub/kv-watch" => {
                    let after = field("after").parse().unwrap_or(0);
                    let wait = field("waitMs").parse().unwrap_or(0);
                    (200, self.watch(&field("prefix"), after, Duration::from_millis(wait)))
                }
                _ => (404, "{}".to_owned()),
            };
            let head = format!(
                "HTTP/1.1 {status} .\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all(head.as_bytes()).ok()?;
            writer.write_all(body.as_bytes()).ok()?;
        }
        Some(())
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let fits = |key: &&String| key.starts_with(prefix) && key.as_str() > after;
        let keys: Vec<&String> = state.items.keys().filter(fits).collect();
        let items: Vec<String> = keys.iter().take(PAGE_ITEMS).map(|key| item(key, &state.items[*key])).collect();
        let is_truncated = keys.len() > PAGE_ITEMS;
        format!("{{\"items\":[{}],\"truncated\":{is_truncated},\"currentRev\":{}}}", items.join(","), state.revision)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let is_new =
                |(revision, key, _): &&(u64, String, Option<String>)| *revision > after && key.starts_with(prefix);
            let events: Vec<String> = state
                .log
                .iter()
                .filter(is_new)
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, &(value.clone(), *revision, *revision)),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"currentRev\":{}}}", events.join(","), state.revision);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, (value, revision, created): &(String, u64, u64)) -> String {
    let value = base64(value.as_bytes());
    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}")
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let hex: Vec<u8> = rest.by_ref().take(2).collect();
        bytes.push(u8::from_str_radix(&String::from_utf8_lossy(&hex), 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// How often a faulty leaf sends a second answer: with one in `one_in` of its answers, while `is_on`.
pub struct Extra {
    pub is_on: AtomicBool,
    pub one_in: u64,
    pub sent: AtomicU64,
}

/// The percentage of requests that a leaf rejects although it has room, while `is_on`.
pub struct Shed {
    pub is_on: AtomicBool,
    pub percent: u64,
}

/// A leaf of the platform. It runs `slots` requests at once, queues `queue` more and rejects others with 503 and
/// `Not-Executed`.
pub struct Leaf {
    pub id: String,
    pub address: SocketAddr,
    pub work: Duration,
    pub body_bytes: usize,
    slots: usize,
    queue: usize,
    busy: Mutex<(usize, usize)>,
    freed: Condvar,
    answers: AtomicU64,
    pub extra: Option<Arc<Extra>>,
    shed: Option<Arc<Shed>>,
    arrivals: AtomicU64,
    ledger: Arc<Ledger>,
}

/// What leafs ran and rejected: for each request id, the events in order.
pub struct Ledger {
    record: Arc<Record>,
    pub events: Mutex<BTreeMap<String, Vec<String>>>,
    pub runs: Mutex<BTreeMap<String, u32>>,
    pub rejections: AtomicU64,
}

impl Ledger {
    pub fn new(record: &Arc<Record>) -> Arc<Self> {
        let (events, runs) = Default::default();
        Arc::new(Self { record: Arc::clone(record), events, runs, rejections: AtomicU64::new(0) })
    }

    pub fn add(&self, request: &str, event: String) {
        let event = format!("{} ms {event}", self.record.now());
        self.events.lock().unwrap().entry(request.to_owned()).or_default().push(event);
    }
}

pub struct LeafSpec {
    pub id: String,
    pub slots: usize,
    pub queue: usize,
    pub work_ms: u64,
    pub body_bytes: usize,
    pub extra: Option<Arc<Extra>>,
    pub shed: Option<Arc<Shed>>,
}

impl Leaf {
    pub fn start(spec: LeafSpec, ledger: &Arc<Ledger>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a leaf");
        let leaf = Arc::new(Self {
            id: spec.id,
            address: listener.local_addr().expect("an address"),
            work: Duration::from_millis(spec.work_ms),
            body_bytes: spec.body_bytes,
            slots: spec.slots,
            queue: spec.queue,
            busy: Mutex::default(),
            freed: Condvar::new(),
            answers: AtomicU64::new(0),
            extra: spec.extra,
            shed: spec.shed,
            arrivals: AtomicU64::new(0),
            ledger: Arc::clone(ledger),
        });
        let server = Arc::clone(&leaf);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream, number));
            }
        });
        leaf
    }

    /// The entry that the leaf writes into the store.
    pub fn entry(&self, service: &str, zone: &str) -> (String, String) {
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"warmupLeftMs\":0,\"seq\":1}}",
            self.address, self.slots
        );
        (format!("servers/{}", self.id), value)
    }

    fn serve(&self, stream: TcpStream, connection: usize) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        // A second answer that is sent at the point where the next answer is expected.
        let mut late: Option<(String, Vec<u8>)> = None;
        while let Some(head) = read_head(&mut reader).ok()? {
            read_body(&mut reader, head.length()).ok()?;
            let request = head.get("request-id").unwrap_or_default().to_owned();
            if let Some((earlier, bytes)) = late.take() {
                self.ledger.add(&earlier, format!("{} conn {connection}: sends its earlier answer to this request a second time, as {request} arrives", self.id));
                writer.write_all(&bytes).ok()?;
            }
            let bytes = self.answer(&head, &request, connection);
            writer.write_all(&bytes).ok()?;
            let number = self.answers.fetch_add(1, Ordering::SeqCst);
            if let Some(extra) = &self.extra
                && extra.is_on.load(Ordering::SeqCst)
                && number % extra.one_in == 0
            {
                extra.sent.fetch_add(1, Ordering::SeqCst);
                late = Some((request, bytes));
            }
        }
        Some(())
    }

    fn answer(&self, head: &Head, request: &str, connection: usize) -> Vec<u8> {
        let arrived = Instant::now();
        let expected = head.get("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return self.reject(421, request, connection, "is for another leaf");
        }
        // Spreads the rejections evenly and without a pattern that requests could follow.
        let number = self.arrivals.fetch_add(1, Ordering::SeqCst).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let sheds = |shed: &Arc<Shed>| shed.is_on.load(Ordering::SeqCst) && (number >> 33) % 100 < shed.percent;
        if self.shed.as_ref().is_some_and(sheds) {
            return self.reject(503, request, connection, "shed");
        }
        let deadline = head.get("deadline-ms").and_then(|value| value.parse::<f64>().ok()).unwrap_or(60_000.0);
        let deadline = arrived + Duration::from_millis(deadline as u64);
        {
            let mut busy = self.busy.lock().unwrap();
            if busy.0 >= self.slots && busy.1 >= self.queue {
                drop(busy);
                return self.reject(503, request, connection, "full");
            }
            busy.1 += 1;
            while busy.0 >= self.slots {
                busy = self.freed.wait(busy).unwrap();
            }
            busy.1 -= 1;
            if Instant::now() >= deadline {
                self.freed.notify_one();
                drop(busy);
                return self.reject(503, request, connection, "its deadline passed in the queue");
            }
            busy.0 += 1;
        }
        self.ledger.add(request, format!("{} conn {connection}: BEGINS TO RUN it", self.id));
        *self.ledger.runs.lock().unwrap().entry(request.to_owned()).or_default() += 1;
        thread::sleep(self.work);
        self.busy.lock().unwrap().0 -= 1;
        self.freed.notify_one();
        let mut body = format!("{} answers {request}\n", self.id).into_bytes();
        body.resize(self.body_bytes.max(body.len()), b'.');
        self.ledger.add(request, format!("{} conn {connection}: answers 200", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Stamp: {}.{request}\r\nServer-Load: {}\r\nContent-Length: {}\r\n\r\n",
            self.id,
            self.load(),
            body.len()
        );
        [head.into_bytes(), body].concat()
    }

    fn load(&self) -> String {
        let busy = self.busy.lock().unwrap();
        format!("{},{},{}", busy.0, busy.1, self.slots)
    }

    fn reject(&self, status: u16, request: &str, connection: usize, why: &str) -> Vec<u8> {
        self.ledger.rejections.fetch_add(1, Ordering::SeqCst);
        self.ledger
            .add(request, format!("{} conn {connection}: rejects it, {status} with Not-Executed ({why})", self.id));
        format!(
            "HTTP/1.1 {status} .\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\nServer-Load: {}\r\nContent-Length: 0\r\n\r\n",
            self.load()
        )
        .into_bytes()
    }
}

/// A node as a child process, with the command of the deploy file but its own path of the settings.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Fields of the platform's settings that the template of the deployment uses.
pub struct Deployment {
    pub root: PathBuf,
    pub directory: PathBuf,
    pub store: SocketAddr,
    pub zones: Vec<String>,
    pub region: String,
    pub slack: u32,
}

/// Returns free ports on 127.0.0.1, which are taken and released again.
fn free_ports<const N: usize>() -> [u16; N] {
    let listeners: Vec<TcpListener> = (0..N).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    std::array::from_fn(|index| listeners[index].local_addr().expect("an address").port())
}

/// Addresses of a node: front, ready, control, admin, relay.
pub fn addresses() -> [SocketAddr; 5] {
    free_ports::<5>().map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
}

impl Deployment {
    /// Starts a node with `deploy/node.yaml`, filled in as the platform does it.
    pub fn start_node(&self, name: &str, zone: &str, addresses: [SocketAddr; 5], seeds: &[SocketAddr]) -> Node {
        let [front, ready, control, admin, relay] = addresses;
        let template = fs::read_to_string(self.root.join("deploy/node.yaml")).expect("deploy/node.yaml");
        let regions: Vec<String> = self.zones.iter().map(|zone| format!("\"{zone}\": \"{}\"", self.region)).collect();
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let fill = [
            ("{{nodeName|json}}", format!("\"{name}\"")),
            ("{{zone|json}}", format!("\"{zone}\"")),
            ("{{#zones}}\"{{@}}\": {{.|json}}{{,}}{{/zones}}", regions.join(",")),
            ("{{listen.front|json}}", format!("\"{front}\"")),
            ("{{listen.ready|json}}", format!("\"{ready}\"")),
            ("\"{{ip}}:7390\"", format!("\"{admin}\"")),
            ("\"{{ip}}:7391\"", format!("\"{relay}\"")),
            ("{{limits.cpuShare}}", "0.25".to_owned()),
            ("{{limits.maxFds}}", "4100".to_owned()),
            ("{{listen.control|json}}", format!("\"{control}\"")),
            ("{{platform.address|json}}", format!("\"{}\"", self.store)),
            ("{{#seeds}}{{.|json}}{{,}}{{/seeds}}", seeds.join(",")),
            ("{{limits.memoryMb}}", "260".to_owned()),
            ("{{bounds.retryBudgetRatio}}", "0.2".to_owned()),
            ("{{bounds.retryBudgetSlack}}", self.slack.to_string()),
            ("{{bounds.retryWindowS}}", "10".to_owned()),
            ("{{bounds.drainMs}}", "3000".to_owned()),
        ];
        // The small deployments have no bound `warmupOverage`.
        let mut lines = Vec::new();
        let mut is_left_out = false;
        for line in template.lines() {
            let is_section = line.starts_with("{{#") || line.starts_with("{{/");
            if is_section {
                is_left_out = line.starts_with("{{#bounds.warmupOverage");
            } else if !is_left_out {
                lines.push(line.to_owned());
            }
        }
        let mut text = lines.join("\n");
        for (placeholder, value) in fill {
            text = text.replace(placeholder, &value);
        }
        assert!(!text.contains("{{"), "a placeholder of deploy/node.yaml is not filled in:\n{text}");
        let path = self.directory.join(format!("{name}.yaml"));
        fs::write(&path, text).expect("the settings file");
        let log = fs::File::create(self.directory.join(format!("{name}.log"))).expect("a log file");
        let mut command = Command::new(self.root.join("target/release/shallothub"));
        // The node ends with this process, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .arg("--settings")
            .arg(&path)
            .env("SHALLOTHUB_CONFIG", &path)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .expect("the program of the deploy file");
        Node { name: name.to_owned(), front, ready, child }
    }
}

pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n").as_bytes()).ok()?;
    let head = read_head(&mut BufReader::new(stream)).ok()??;
    status(&head)
}

pub fn status(head: &Head) -> Option<u16> {
    head.first.split(' ').nth(1)?.parse().ok()
}

pub fn wait_ready(node: &Node) -> bool {
    let deadline = Instant::now() + Duration::from_secs(15);
    while Instant::now() < deadline {
        if get_status(node.ready, "/readyz") == Some(200) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
