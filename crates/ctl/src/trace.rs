//! One request's way through the hosts, from its lines in their logs.

use std::fmt;

use compact_str::CompactString;
use indexmap::IndexSet;

use crate::line;

/// Lines that are kept of a request and of what it met; a request has some tens.
const LINES_MOST: usize = 512;
/// Time before a request's first line, and after its last one, in which lines about the servers that it met may
/// tell why they did not answer, in ms.
const AROUND: u64 = 3000;
/// Kinds of lines that tell of a whole host, whichever request is looked for.
const OF_HOSTS: [&str; 5] = [
    "the process was stopped for a while",
    "lost the registry",
    "hears from other hosts again",
    "lines were dropped",
    "draining",
];

/// A line that is kept.
#[derive(Clone, Debug)]
struct Kept {
    at: u64,
    host: CompactString,
    text: String,
}

/// See the module. It needs two readings of the logs: one for the request's own lines, and one for lines about
/// the servers and hosts that these name.
#[derive(Debug)]
pub struct Trace {
    request: CompactString,
    lines: Vec<Kept>,
    around: Vec<Kept>,
    servers: IndexSet<CompactString>,
    hosts: IndexSet<CompactString>,
    begin: u64,
    end: u64,
    cause: Option<String>,
}

impl Trace {
    /// The way of the request that its caller calls `request`.
    pub fn new(request: &str) -> Self {
        Self {
            request: CompactString::from(request),
            lines: Vec::new(),
            around: Vec::new(),
            servers: IndexSet::new(),
            hosts: IndexSet::new(),
            begin: u64::MAX,
            end: 0,
            cause: None,
        }
    }

    /// The first reading: takes a line of `host` if it is about the request.
    pub fn take(&mut self, host: &str, text: &str) {
        // Most lines are of other requests; looking for the name is cheaper than reading the line.
        if !text.contains(self.request.as_str()) {
            return;
        }
        let Some(line) = line::Line::read(text).filter(|line| line.request == self.request) else {
            return;
        };
        let at = line.at().unwrap_or_default();
        // The line is written when the request ends, and tells when it came.
        self.begin = self.begin.min(at.saturating_sub(line.took_ms));
        self.end = self.end.max(at);
        self.hosts.insert(CompactString::from(host));
        self.servers.extend([&line.server].into_iter().filter(|name| !name.is_empty()).cloned());
        self.servers.extend(line::servers(&line.why).map(CompactString::from));
        if line.message == "answered" && (self.cause.is_none() || !line.why.is_empty()) {
            self.cause = Some(cause(host, &line));
        }
        keep(&mut self.lines, at, host, text);
    }

    /// The second reading: takes a line of `host` if it is about a server that the request met, or about a host
    /// on its way, at about its time.
    pub fn take_around(&mut self, host: &str, text: &str) {
        let Some(line) = line::Line::read(text).filter(|line| line.request.is_empty()) else {
            return;
        };
        let is_of_server = self.servers.contains(&line.server);
        let is_of_host = self.hosts.contains(host) && OF_HOSTS.contains(&line.message.as_str());
        let at = line.at().unwrap_or_default();
        let is_near = at + AROUND >= self.begin && at <= self.end + AROUND;
        if is_near && (is_of_server || is_of_host) {
            keep(&mut self.around, at, host, text);
        }
    }

    /// Whether any line is about the request.
    pub fn is_found(&self) -> bool {
        !self.lines.is_empty()
    }
}

fn keep(lines: &mut Vec<Kept>, at: u64, host: &str, text: &str) {
    if lines.len() < LINES_MOST {
        let text = text.trim_end().to_owned();
        lines.push(Kept { at, host: CompactString::from(host), text });
    }
}

/// What decided the request, in a sentence.
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
        for (title, lines) in [("its lines", &self.lines), ("at that time", &self.around)] {
            if lines.is_empty() {
                continue;
            }
            writeln!(f, "\n{title}, in ms from its arrival")?;
            let mut lines = lines.clone();
            lines.sort_by_key(|line| line.at);
            for line in lines {
                let since = line.at as i64 - self.begin as i64;
                writeln!(f, "{since:>7}  {}  {}", line.host, line.text)?;
            }
        }
        Ok(())
    }
}
