//! Clients as `PROTOCOL.md` describes them: each attempt has its own id, connection and remaining time.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request with its end.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Ids of its attempts, with their statuses; 0 without an answer.
    pub attempts: Vec<(String, u16)>,
    pub answer: Option<http::Message>,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, http::Message::status)
    }
}

/// Sends an idempotent `GET` and repeats it `retries` times at most, after what the pages let a client repeat.
pub fn send(node: &str, host: &str, path: &str, id: &str, deadline: Duration, retries: usize) -> Outcome {
    let end = Instant::now() + deadline;
    let mut outcome = Outcome { attempts: Vec::new(), answer: None };
    for attempt in 0..=retries {
        let left = end.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(20) {
            break;
        }
        let id = format!("{id}-{attempt}");
        let answer = exchange(node, host, path, &id, left);
        let status = answer.as_ref().map_or(0, http::Message::status);
        outcome.attempts.push((id, status));
        let retry_after: f64 =
            answer.as_ref().and_then(|answer| answer.header("retry-after").parse().ok()).unwrap_or(0.0);
        outcome.answer = answer;
        if matches!(status, 200..300 | 400 | 401 | 404 | 413 | 431) {
            break;
        }
        let left = end.saturating_duration_since(Instant::now());
        thread::sleep(Duration::from_secs_f64(retry_after.clamp(0.0, left.as_secs_f64() / 3.0)));
    }
    outcome
}

fn exchange(node: &str, host: &str, path: &str, id: &str, left: Duration) -> Option<http::Message> {
    let address: SocketAddr = node.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT.min(left)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(left)).ok()?;
    let request =
        format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\r\n", left.as_millis());
    stream.write_all(request.as_bytes()).ok()?;
    http::read(&mut stream, &mut Vec::new()).ok()?
}
