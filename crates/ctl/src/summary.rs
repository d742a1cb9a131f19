//! A summary of callers' requests, built from the logs of all hosts.
//!
//! A request that one host forwards to another is logged by both: the entry host records when the caller was
//! answered, the gathering host which shards were queried and which were missing. [`Summary`] joins the two by the
//! request's name, and counts reasons by class and by time window. Its memory is bounded by
//! [`MAX_PENDING_REQUESTS`] and [`MAX_ROWS`], however long the logs are.

use std::fmt;

use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;

use crate::line;

/// Maximum number of requests that wait for another host's line, in each of two generations; one takes about 300
/// bytes. When the younger generation is full, the older one is counted with the lines read so far.
const MAX_PENDING_REQUESTS: usize = 100_000;
/// Maximum number of rows in a table keyed by class, host or server; further keys are counted under `others`.
const MAX_ROWS: usize = 4096;
/// Maximum number of rows printed of a table that may be long, in descending order.
const MAX_PRINTED_ROWS: usize = 12;

/// Why a request was not answered in time and with all shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// Refused before an attempt was sent to any leaf.
    RefusedBeforeDispatch,
    /// Refused by the leaves that it was sent to.
    RefusedByLeaves,
    /// Too few shards answered, and the request may have run.
    InsufficientCoverage,
    /// It is unknown whether the request ran.
    UnknownOutcome,
    /// The caller disconnected before the answer.
    CallerGone,
    /// Answered after the latency target.
    Late,
    /// Answered with shards missing.
    MissingShards,
}

impl Reason {
    /// All reasons, the worst for the caller first.
    pub const ALL: [Self; 7] = [
        Self::RefusedBeforeDispatch,
        Self::RefusedByLeaves,
        Self::InsufficientCoverage,
        Self::UnknownOutcome,
        Self::CallerGone,
        Self::Late,
        Self::MissingShards,
    ];

    /// A description for the printed summary.
    pub fn description(self) -> &'static str {
        match self {
            Self::RefusedBeforeDispatch => "refused before a leaf was asked",
            Self::RefusedByLeaves => "refused by leafs",
            Self::InsufficientCoverage => "too few shards answered",
            Self::UnknownOutcome => "an unknown end",
            Self::CallerGone => "the caller hung up",
            Self::Late => "answered after the aim",
            Self::MissingShards => "answered with parts missing",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::RefusedBeforeDispatch => "refused here",
            Self::RefusedByLeaves => "by leafs",
            Self::InsufficientCoverage => "coverage",
            Self::UnknownOutcome => "unknown end",
            Self::CallerGone => "hung up",
            Self::Late => "late",
            Self::MissingShards => "missing",
        })
    }
}

/// The end of a request as logged by one host.
#[derive(Clone, Debug, Default)]
struct Completion {
    ended_at: u64,
    class: CompactString,
    outcome: CompactString,
    code: CompactString,
    was_sent: bool,
    is_late: bool,
    missing: usize,
    shards: usize,
}

/// A request whose lines may not all have been read yet.
#[derive(Clone, Debug, Default)]
struct Pending {
    /// As logged by the entry host, which received the request from the caller.
    entry: Option<Completion>,
    /// As logged by the host that gathered on behalf of the entry host.
    gatherer: Option<Completion>,
    /// Name of the gathering host, if the entry host logged one.
    via: Option<CompactString>,
    /// Another attempt was wanted, but the retry budget had no token.
    is_budget_exhausted: bool,
    /// A leaf refused an attempt.
    was_refused: bool,
}

/// Counts of requests in one class or one time window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// All requests, whatever their outcome.
    pub requests: u64,
    /// Requests answered in time and with all shards.
    pub complete: u64,
    /// The other requests by reason; one that was both late and lacked shards counts under both.
    pub reasons: IndexMap<Reason, u64>,
    /// Those of the other requests for which the retry budget had no token for another attempt.
    pub budget_exhausted: u64,
    /// Sum over all answers of the fraction of shards that were missing.
    pub missing_share: f64,
}

/// Counts built from log lines; see the module documentation.
#[derive(Debug)]
pub struct Summary {
    /// Length of a time window, in ms.
    window_ms: u64,
    pending: IndexMap<CompactString, Pending>,
    older_pending: IndexMap<CompactString, Pending>,
    /// Number of log lines read, by host.
    pub hosts: IndexMap<CompactString, u64>,
    /// Requests that entry hosts' lines attribute to a gathering host, by its name.
    pub gathered_by: IndexMap<CompactString, u64>,
    /// Counts by class of request.
    pub classes: IndexMap<CompactString, Counts>,
    /// Counts by time window, keyed by its start in ms since the Unix epoch.
    pub windows: IndexMap<u64, Counts>,
    /// Requests that have a reason, by reason and code.
    pub codes: IndexMap<(Reason, CompactString), u64>,
    /// Failed attempts, by server and by how they ended; `silent` if the server was skipped as silent.
    pub servers: IndexMap<(CompactString, CompactString), u64>,
    /// Requests for which only the gathering host's line was found.
    pub without_entry: u64,
    /// Requests that were counted, to bound memory, before all their lines may have been read.
    pub counted_early: u64,
    /// Complete lines that no node wrote.
    pub unrecognized: u64,
    /// Lines without an end of line that cannot be parsed.
    pub truncated: u64,
}

impl Summary {
    /// Creates an empty summary with time windows of `window_ms`.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms: window_ms.max(1),
            pending: IndexMap::new(),
            older_pending: IndexMap::new(),
            hosts: IndexMap::new(),
            gathered_by: IndexMap::new(),
            classes: IndexMap::new(),
            windows: IndexMap::new(),
            codes: IndexMap::new(),
            servers: IndexMap::new(),
            without_entry: 0,
            counted_early: 0,
            unrecognized: 0,
            truncated: 0,
        }
    }

    /// Adds a line from `host`'s log. `is_terminated` is set if it ended with an end of line.
    pub fn add_line(&mut self, host: &str, text: &str, is_terminated: bool) {
        if text.trim().is_empty() {
            return;
        }
        let Some(line) = line::Line::parse(text) else {
            *(if is_terminated { &mut self.unrecognized } else { &mut self.truncated }) += 1;
            return;
        };
        *bounded_entry(&mut self.hosts, CompactString::from(host)) += 1;
        match line.message.as_str() {
            "answered" => self.record_answer(&line),
            "the caller hung up" => self.record_hang_up(&line),
            "no budget for another attempt" => self.pending(&line).is_budget_exhausted = true,
            "an attempt failed" => {
                self.pending(&line).was_refused |= line.end == "refused";
                *bounded_entry(&mut self.servers, (line.server, line.end)) += 1;
            }
            "a silent server is passed over" => {
                *bounded_entry(&mut self.servers, (line.server, CompactString::const_new("silent"))) += 1;
            }
            _ => {}
        }
    }

    fn pending(&mut self, line: &line::Line) -> &mut Pending {
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            let young = std::mem::take(&mut self.pending);
            let old = std::mem::replace(&mut self.older_pending, young);
            self.counted_early += old.len() as u64;
            self.count_all(old);
        }
        let older = &mut self.older_pending;
        let request = &line.request;
        self.pending.entry(request.clone()).or_insert_with(|| older.swap_remove(request).unwrap_or_default())
    }

    fn record_answer(&mut self, line: &line::Line) {
        let completion = Completion {
            ended_at: line.timestamp_ms().unwrap_or_default(),
            class: line.class.clone(),
            outcome: line.outcome.clone(),
            code: line.code.clone(),
            was_sent: line.first > 0,
            is_late: line.late_ms.is_some(),
            missing: line.missing_shards().count(),
            shards: line.shards,
        };
        if line.from.is_some() {
            self.pending(line).gatherer = Some(completion);
            return;
        }
        let pending = self.pending(line);
        pending.entry = Some(completion);
        pending.via.clone_from(&line.via);
        if let Some(via) = &line.via {
            *bounded_entry(&mut self.gathered_by, via.clone()) += 1;
        }
    }

    fn record_hang_up(&mut self, line: &line::Line) {
        let ended_at = line.timestamp_ms().unwrap_or_default();
        let code = CompactString::const_new("caller_gone");
        let completion = Completion { ended_at, code, ..Completion::default() };
        // The gathering host's caller is the entry host, which disconnects when its own caller does.
        self.pending(line).entry.get_or_insert(completion);
    }

    /// Counts the requests that are still pending; called after all logs are read.
    pub fn finish(&mut self) {
        for generation in [std::mem::take(&mut self.older_pending), std::mem::take(&mut self.pending)] {
            self.count_all(generation);
        }
        self.windows.sort_unstable_keys();
    }

    fn count_all(&mut self, requests: IndexMap<CompactString, Pending>) {
        for pending in requests.into_values() {
            self.count(pending);
        }
    }

    fn count(&mut self, pending: Pending) {
        let Some(entry) = &pending.entry else {
            self.without_entry += u64::from(pending.gatherer.is_some());
            return;
        };
        let class = match &pending.gatherer {
            Some(gatherer) if entry.class.is_empty() => gatherer.class.clone(),
            _ => entry.class.clone(),
        };
        let reasons = reasons(entry, &pending);
        let gatherer = pending.gatherer.as_ref().unwrap_or(entry);
        let code = if entry.code == "ok" { &gatherer.code } else { &entry.code };
        for &reason in &reasons {
            *bounded_entry(&mut self.codes, (reason, code.clone())) += 1;
        }
        let is_answered = entry.outcome == "answered";
        let missing_share =
            if is_answered && gatherer.shards > 0 { gatherer.missing as f64 / gatherer.shards as f64 } else { 0.0 };
        let window = entry.ended_at - entry.ended_at % self.window_ms;
        for counts in [bounded_entry(&mut self.classes, class), self.windows.entry(window).or_default()] {
            counts.requests += 1;
            counts.complete += u64::from(reasons.is_empty());
            counts.budget_exhausted += u64::from(pending.is_budget_exhausted && !reasons.is_empty());
            counts.missing_share += missing_share;
            for &reason in &reasons {
                *counts.reasons.entry(reason).or_default() += 1;
            }
        }
    }

    /// Hosts that gathered for others according to their lines, but have no line themselves.
    pub fn hosts_without_log(&self) -> Vec<&CompactString> {
        self.gathered_by.keys().filter(|name| !self.hosts.contains_key(*name)).collect()
    }
}

fn reasons(entry: &Completion, pending: &Pending) -> Vec<Reason> {
    if entry.code == "caller_gone" {
        return vec![Reason::CallerGone];
    }
    let gatherer = pending.gatherer.as_ref().unwrap_or(entry);
    match entry.outcome.as_str() {
        "answered" => {
            let mut reasons = Vec::new();
            if entry.is_late {
                reasons.push(Reason::Late);
            }
            if gatherer.missing > 0 {
                reasons.push(Reason::MissingShards);
            }
            reasons
        }
        "not_run" if !gatherer.was_sent => vec![Reason::RefusedBeforeDispatch],
        "not_run" => vec![Reason::RefusedByLeaves],
        _ if gatherer.code == "insufficient_coverage" => vec![Reason::InsufficientCoverage],
        _ => vec![Reason::UnknownOutcome],
    }
}

/// The value of `key`, or of the overflow key once the table has [`MAX_ROWS`] rows.
fn bounded_entry<K: std::hash::Hash + Eq + Overflow, V: Default>(rows: &mut IndexMap<K, V>, key: K) -> &mut V {
    let is_full = rows.len() >= MAX_ROWS && !rows.contains_key(&key);
    rows.entry(if is_full { key.overflow() } else { key }).or_default()
}

/// The key under which a full table counts keys that have no row.
trait Overflow {
    fn overflow(self) -> Self;
}

/// The overflow key of a full table.
const OTHERS: CompactString = CompactString::const_new("others");

impl Overflow for CompactString {
    fn overflow(self) -> Self {
        OTHERS
    }
}

impl<T> Overflow for (T, CompactString) {
    fn overflow(self) -> Self {
        (self.0, OTHERS)
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let requests: u64 = self.classes.values().map(|counts| counts.requests).sum();
        writeln!(f, "{requests} requests in the logs of {} hosts", self.hosts.len())?;
        self.write_gaps(f)?;
        writeln!(f, "\nby class")?;
        write_header(f, "class")?;
        for (class, counts) in top_rows(&self.classes, |counts| counts.requests) {
            write_row(f, if class.is_empty() { "(none)" } else { class }, counts)?;
        }
        let begin = self.windows.keys().find(|start| **start > 0).copied().unwrap_or_default();
        writeln!(f, "\nby time, in s from the first request")?;
        write_header(f, "from")?;
        for (start, counts) in &self.windows {
            write_row(f, &format_compact!("{:.1}", start.saturating_sub(begin) as f64 / 1000.0), counts)?;
        }
        writeln!(f, "\nreasons")?;
        for ((reason, code), count) in top_rows(&self.codes, |count| *count) {
            writeln!(f, "{count:>8}  {}: {code}", reason.description())?;
        }
        writeln!(f, "\nservers and hosts, by how attempts ended")?;
        for ((server, end), count) in top_rows(&self.servers, |count| *count) {
            writeln!(f, "{count:>8}  {server}: {end}")?;
        }
        Ok(())
    }
}

impl Summary {
    /// Writes which logs are missing and how many lines and requests are not fully accounted for.
    fn write_gaps(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hosts_without_log = self.hosts_without_log();
        if !hosts_without_log.is_empty() {
            let requests: u64 = hosts_without_log.iter().map(|name| self.gathered_by[*name]).sum();
            let names: Vec<&str> = hosts_without_log.iter().take(MAX_PRINTED_ROWS).map(|name| name.as_str()).collect();
            let names = names.join(", ");
            writeln!(
                f,
                "{requests} requests were gathered by {} hosts without a log here: {names}",
                hosts_without_log.len()
            )?;
        }
        let gaps = [
            (self.without_entry, "requests were gathered for hosts without a log here"),
            (self.counted_early, "requests were counted before all that is known of them was read"),
            (self.unrecognized, "lines are of no node and were passed over"),
            (self.truncated, "lines were cut off and passed over"),
        ];
        for (count, text) in gaps.into_iter().filter(|(count, _)| *count > 0) {
            writeln!(f, "{count} {text}")?;
        }
        Ok(())
    }
}

/// The largest rows by `size`, in descending order.
fn top_rows<K, V>(rows: &IndexMap<K, V>, size: impl Fn(&V) -> u64) -> Vec<(&K, &V)> {
    let mut rows: Vec<(&K, &V)> = rows.iter().collect();
    rows.sort_by_key(|(_, row)| std::cmp::Reverse(size(row)));
    rows.truncate(MAX_PRINTED_ROWS);
    rows
}

fn write_header(f: &mut fmt::Formatter<'_>, name: &str) -> fmt::Result {
    write!(f, "{name:<16}{:>9}{:>8}", "requests", "whole")?;
    for reason in Reason::ALL {
        write!(f, "{reason:>13}")?;
    }
    writeln!(f, "{:>11}{:>9}", "no budget", "shards")
}

fn write_row(f: &mut fmt::Formatter<'_>, name: &str, counts: &Counts) -> fmt::Result {
    let percent = |count: u64| count as f64 * 100.0 / counts.requests.max(1) as f64;
    write!(f, "{name:<16}{:>9}{:>7.1}%", counts.requests, percent(counts.complete))?;
    for reason in Reason::ALL {
        match counts.reasons.get(&reason) {
            Some(&count) => write!(f, "{:>12.1}%", percent(count))?,
            None => write!(f, "{:>13}", "-")?,
        }
    }
    let answered = 1.0 - counts.missing_share / counts.requests.max(1) as f64;
    writeln!(f, "{:>10.1}%{:>8.2}%", percent(counts.budget_exhausted), answered * 100.0)
}
