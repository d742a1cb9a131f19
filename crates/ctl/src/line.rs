//! Lines of nodes' logs, as far as they tell what became of a request.

use std::time;

use compact_str::CompactString;
use serde::Deserialize;

/// Longest line that is read, in bytes; a node's own have some hundred.
pub const LINE_MOST: usize = 64 << 10;

/// A line of a node's log. Fields that it does not have are empty.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Line {
    /// When it was written, by the host's own clock, in RFC 3339.
    pub timestamp: CompactString,
    /// What happened; each kind of line has one text.
    pub message: CompactString,
    /// The caller's name for its request.
    pub request: CompactString,
    /// The kind of request.
    pub class: CompactString,
    /// `answered`, `not_run` or `unknown`.
    pub outcome: CompactString,
    /// Why it ended so.
    pub code: CompactString,
    /// The inputs that decided.
    pub why: CompactString,
    /// The host that passed the request on to this one.
    pub from: Option<CompactString>,
    /// The host that gathered it for this one.
    pub via: Option<CompactString>,
    /// Shards that were asked for.
    pub shards: usize,
    /// Names of the missing ones, with commas.
    pub missing: CompactString,
    /// First attempts.
    pub first: u32,
    /// Time from the request to its answer, in ms.
    pub took_ms: u64,
    /// Time from the aim to the answer, in ms; absent if it was in time.
    pub late_ms: Option<u64>,
    /// A backend server or another host.
    pub server: CompactString,
    /// A shard.
    pub shard: CompactString,
    /// Why another attempt was wanted.
    pub cause: CompactString,
    /// How an attempt ended.
    pub end: CompactString,
}

impl Line {
    /// Reads a line; `None` if it is not one of a node. What a collector of logs has put before the JSON is
    /// passed over.
    pub fn read(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let line: Self = serde_json::from_str(json.trim_end()).ok()?;
        (!line.message.is_empty()).then_some(line)
    }

    /// When it was written, in ms since 1970; `None` if it does not say.
    pub fn at(&self) -> Option<u64> {
        let at = humantime::parse_rfc3339_weak(&self.timestamp).ok()?;
        let since = at.duration_since(time::UNIX_EPOCH).ok()?;
        u64::try_from(since.as_millis()).ok()
    }

    /// Names of the missing shards.
    pub fn missing_shards(&self) -> impl Iterator<Item = &str> {
        self.missing.split(',').filter(|name| !name.is_empty())
    }
}

/// Names of servers in the deciding inputs of a request: the words after "waits for" and "of".
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
