//! Traces one request through the hosts, from its lines in their logs.

use std::fmt;

use compact_str::CompactString;
use indexmap::IndexSet;

use crate::line;

/// Maximum number of lines kept of a request, and of its context; a request has a few tens.
const MAX_LINES: usize = 512;
/// Time before a request's arrival and after its last line, in ms, in which lines about its servers and hosts count
/// as context: they may show why a server did not answer.
const CONTEXT_MS: u64 = 3000;
/// Messages about a host as a whole, which are context for every request on that host.
const HOST_MESSAGES: [&str; 5] = [
    "the process was stopped for a while",
    "lost the registry",
    "hears from other hosts again",
    "lines were dropped",
    "draining",
];

/// A log line to be printed.
#[derive(Clone, Debug)]
struct Record {
    timestamp_ms: u64,
    host: CompactString,
    text: String,
}

/// The lines about one request. The logs are read twice: first for the request's own lines, then for context, the
/// lines about the servers and hosts that its own lines name.
#[derive(Debug)]
pub struct Trace {
    request: CompactString,
    lines: Vec<Record>,
    context: Vec<Record>,
    servers: IndexSet<CompactString>,
    hosts: IndexSet<CompactString>,
    begin: u64,
    end: u64,
    cause: Option<String>,
}

impl Trace {
    /// Creates an empty trace of the request that its caller named `request`.
    pub fn new(request: &str) -> Self {
        Self {
            request: CompactString::from(request),
            lines: Vec::new(),
            context: Vec::new(),
            servers: IndexSet::new(),
            hosts: IndexSet::new(),
            begin: u64::MAX,
            end: 0,
            cause: None,
        }
    }

    /// First pass: adds a line from `host`'s log if it is about the request.
    pub fn add_line(&mut self, host: &str, text: &str) {
        // Most lines are about other requests; searching for the name is cheaper than parsing the line.
        if !text.contains(self.request.as_str()) {
            return;
        }
        let Some(line) = line::Line::parse(text).filter(|line| line.request == self.request) else {
            return;
        };
        let timestamp_ms = line.timestamp_ms().unwrap_or_default();
        // The line is written when the request ends; `took_ms` gives its arrival.
        self.begin = self.begin.min(timestamp_ms.saturating_sub(line.took_ms));
        self.end = self.end.max(timestamp_ms);
        self.hosts.insert(CompactString::from(host));
        self.servers.extend([&line.server].into_iter().filter(|name| !name.is_empty()).cloned());
        self.servers.extend(line::servers(&line.why).map(CompactString::from));
        if line.message == "answered" && (self.cause.is_none() || !line.why.is_empty()) {
            self.cause = Some(cause(host, &line));
        }
        push_bounded(&mut self.lines, timestamp_ms, host, text);
    }

    /// Second pass: adds a line from `host`'s log if it is about a server of the request or about a host that
    /// handled it, and was written at about that time.
    pub fn add_context_line(&mut self, host: &str, text: &str) {
        let Some(line) = line::Line::parse(text).filter(|line| line.request.is_empty()) else {
            return;
        };
        let is_about_server = self.servers.contains(&line.server);
        let is_about_host = self.hosts.contains(host) && HOST_MESSAGES.contains(&line.message.as_str());
        let timestamp_ms = line.timestamp_ms().unwrap_or_default();
        let is_near = timestamp_ms + CONTEXT_MS >= self.begin && timestamp_ms <= self.end + CONTEXT_MS;
        if is_near && (is_about_server || is_about_host) {
            push_bounded(&mut self.context, timestamp_ms, host, text);
        }
    }

    /// Whether any line about the request has been added.
    pub fn is_found(&self) -> bool {
        !self.lines.is_empty()
    }
}

fn push_bounded(lines: &mut Vec<Record>, timestamp_ms: u64, host: &str, text: &str) {
    if lines.len() < MAX_LINES {
        let text = text.trim_end().to_owned();
        lines.push(Record { timestamp_ms, host: CompactString::from(host), text });
    }
}

/// Describes the request's outcome and what decided it, in one line.
fn cause(host: &str, line: &line::Line) -> String {
    let mut text = format!("{host}: {} ({}) after {} ms", line.outcome, line.code, line.took_ms);
    if let Some(late) = line.late_ms {
        text.push_str(&format!(", {late} ms after the aim"));
    }
    if !line.missing.is_empty() {
        text.push_str(&format!(", without {}", line.missing));
    }
    if !line.why.is_empty() {
        text.push_str(&format!(": {}", line.why));
    }
    text
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.cause.as_deref().unwrap_or("no host has answered it in these logs"))?;
        for (title, lines) in [("its lines", &self.lines), ("at that time", &self.context)] {
            if lines.is_empty() {
                continue;
            }
            writeln!(f, "\n{title}, in ms from its arrival")?;
            let mut lines = lines.clone();
            lines.sort_by_key(|line| line.timestamp_ms);
            for line in lines {
                let since_arrival = line.timestamp_ms as i64 - self.begin as i64;
                writeln!(f, "{since_arrival:>7}  {}  {}", line.host, line.text)?;
            }
        }
        Ok(())
    }
}
