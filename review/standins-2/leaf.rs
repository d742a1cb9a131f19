//! Leafs of one service, in a process of their own that can be stopped and continued.
//!
//! The process prints one line `ID ADDRESS` for each leaf, and one line `run ID REQUEST` for each request that runs.

use std::{
    net::{TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Requests that wait at a leaf besides those that run.
const QUEUE: u32 = 16;
/// Bytes of an answer.
const BODY_BYTES: usize = 3000;

struct Leaf {
    id: String,
    slots: u32,
    work: Duration,
    /// Requests that run, and requests that wait.
    load: Mutex<(u32, u32)>,
    freed: Condvar,
}

/// Runs `count` leafs of `service` until the process is ended.
pub fn main(service: &str, count: usize, slots: u32, work_ms: u64) {
    for index in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let id = format!("i-{service}-{index}");
        println!("{id} {}", listener.local_addr().expect("an address"));
        let leaf = Arc::new(Leaf {
            id,
            slots,
            work: Duration::from_millis(work_ms),
            load: Mutex::default(),
            freed: Condvar::new(),
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let leaf = Arc::clone(&leaf);
                thread::spawn(move || leaf.serve(stream));
            }
        });
    }
    loop {
        thread::park();
    }
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
            let deadline = Duration::from_millis(request.header("deadline-ms").parse().unwrap_or(0));
            let load = match self.enter(deadline) {
                Some(load) => load,
                None => {
                    let headers = [("Request-Id", id.as_str()), ("Not-Executed", "full")];
                    http::respond(&mut stream, 503, &headers, b"").ok()?;
                    continue;
                }
            };
            // Its caller has left: it is dropped.
            if has_ended(&stream) {
                self.leave();
                return None;
            }
            println!("run {} {id}", self.id);
            thread::sleep(self.work);
            self.leave();
            let stamp = format!("{}.{id}", self.id);
            let headers = [("Request-Id", id.as_str()), ("Server-Stamp", &stamp), ("Server-Load", &load)];
            http::respond(&mut stream, 200, &headers, &[b'x'; BODY_BYTES]).ok()?;
        }
        None
    }

    /// Waits for a slot; `None` if too many wait or the time is over. Returns the load for the answer.
    fn enter(&self, deadline: Duration) -> Option<String> {
        let end = Instant::now() + deadline;
        let mut load = self.load.lock().expect("the load");
        if load.0 >= self.slots && load.1 >= QUEUE {
            return None;
        }
        load.1 += 1;
        while load.0 >= self.slots && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            load = self.freed.wait_timeout(load, left).expect("the load").0;
        }
        load.1 -= 1;
        if load.0 >= self.slots {
            return None;
        }
        load.0 += 1;
        Some(format!("{},{},{}", load.0, load.1, self.slots))
    }

    fn leave(&self) {
        self.load.lock().expect("the load").0 -= 1;
        self.freed.notify_one();
    }
}

fn has_ended(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).ok();
    let ended = matches!(stream.peek(&mut [0]), Ok(0));
    stream.set_nonblocking(false).ok();
    ended
}
