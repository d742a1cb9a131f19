//! Parsing of nodes' log lines: the fields that describe a request or an attempt.

use std::time;

use compact_str::CompactString;
use serde::Deserialize;

/// Maximum length of a line that is read, in bytes; lines written by a node have a few hundred.
pub const MAX_LINE_BYTES: usize = 64 << 10;

/// A line of a node's log. Absent fields have their default value.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Line {
    /// Time at which it was written, by the host's clock, in RFC 3339.
    pub timestamp: CompactString,
    /// The message; constant for each kind of line.
    pub message: CompactString,
    /// Name that the caller gave the request.
    pub request: CompactString,
    /// Class of the request: the name of its selector.
    pub class: CompactString,
    /// Outcome of the request: `answered`, `not_run` or `unknown`.
    pub outcome: CompactString,
    /// Code that explains the outcome, such as `partial` or `timed_out`.
    pub code: CompactString,
    /// The inputs that decided the outcome; empty if the code is explanation enough.
    pub why: CompactString,
    /// The host that forwarded the request to this one; `None` if it came from the caller.
    pub from: Option<CompactString>,
    /// The host that gathered the answer on behalf of this one; `None` if this host did.
    pub via: Option<CompactString>,
    /// Number of shards that contributed to the answer or are missing; 0 if none was determined.
    pub shards: usize,
    /// Names of the missing shards, separated by commas.
    pub missing: CompactString,
    /// Number of first attempts; hedges and retries are not included.
    pub first: u32,
    /// Time from the arrival of the request to its answer, in ms.
    pub took_ms: u64,
    /// Time by which the answer missed its latency target, in ms; `None` if it was in time.
    pub late_ms: Option<u64>,
    /// Name of the backend server or host that an attempt was sent to.
    pub server: CompactString,
    /// Name of the shard that an attempt was for.
    pub shard: CompactString,
    /// Reason for which another attempt was wanted, such as `silence`.
    pub cause: CompactString,
    /// Result of a failed attempt, such as `refused`.
    pub end: CompactString,
}

impl Line {
    /// Parses a line; `None` if it was not written by a node. A prefix before the JSON, as added by a log
    /// collector, is ignored.
    pub fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let line: Self = serde_json::from_str(json.trim_end()).ok()?;
        (!line.message.is_empty()).then_some(line)
    }

    /// Time at which it was written, in ms since the Unix epoch; `None` if `timestamp` is absent or invalid.
    pub fn timestamp_ms(&self) -> Option<u64> {
        let written_at = humantime::parse_rfc3339_weak(&self.timestamp).ok()?;
        let since_epoch = written_at.duration_since(time::UNIX_EPOCH).ok()?;
        u64::try_from(since_epoch.as_millis()).ok()
    }

    /// Splits `missing` into names of shards.
    pub fn missing_shards(&self) -> impl Iterator<Item = &str> {
        self.missing.split(',').filter(|name| !name.is_empty())
    }
}

/// Names of servers in the `why` field of a line: the words after `for`, `of` and `from`.
pub fn servers(why: &str) -> impl Iterator<Item = &str> {
    let words = why.split_whitespace().collect::<Vec<_>>();
    let mut names = Vec::new();
    for pair in words.windows(2) {
        if matches!(pair[0], "for" | "of" | "from") {
            names.push(pair[1].trim_matches([',', ';', ':']));
        }
    }
    names.into_iter()
}
