//! What became of callers' requests, read from the logs of all hosts.
//!
//! A request that one host passes on to another leaves a line on both: the first host knows when the caller had
//! its answer, the second one which shards were asked and which were missing. [`Account`] joins the two by the
//! request's name, and counts reasons by class and by span of time. Its memory is bounded by [`OPEN_MOST`] and
//! [`ROWS_MOST`], however long the logs are.

use std::fmt;

use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;

use crate::line;

/// Requests that wait for what another host says of them, in each of two generations; a row takes about 300
/// bytes. When the younger one is full, the older ones are counted with what is known of them.
const OPEN_MOST: usize = 100_000;
/// Rows of a table with names of classes, hosts or servers; `others` takes the rest.
const ROWS_MOST: usize = 4096;
/// Rows that are printed of a table that may be long, the greatest first.
const PRINTED: usize = 12;

/// Why a request was not answered whole and in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// It was refused before any leaf was asked.
    RefusedHere,
    /// Leafs refused it.
    RefusedByLeafs,
    /// Too few shards answered.
    Coverage,
    /// Nobody knows whether it ran.
    UnknownEnd,
    /// The caller hung up first.
    HungUp,
    /// It was answered after its aim.
    Late,
    /// It was answered, and shards were missing.
    Missing,
}

impl Reason {
    /// All of them, the worst for the caller first.
    pub const ALL: [Self; 7] = [
        Self::RefusedHere,
        Self::RefusedByLeafs,
        Self::Coverage,
        Self::UnknownEnd,
        Self::HungUp,
        Self::Late,
        Self::Missing,
    ];

    /// A sentence for a person.
    pub fn sentence(self) -> &'static str {
        match self {
            Self::RefusedHere => "refused before a leaf was asked",
            Self::RefusedByLeafs => "refused by leafs",
            Self::Coverage => "too few shards answered",
            Self::UnknownEnd => "an unknown end",
            Self::HungUp => "the caller hung up",
            Self::Late => "answered after the aim",
            Self::Missing => "answered with parts missing",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::RefusedHere => "refused here",
            Self::RefusedByLeafs => "by leafs",
            Self::Coverage => "coverage",
            Self::UnknownEnd => "unknown end",
            Self::HungUp => "hung up",
            Self::Late => "late",
            Self::Missing => "missing",
        })
    }
}

/// What one of the two hosts says of a request's end.
#[derive(Clone, Debug, Default)]
struct End {
    at: u64,
    class: CompactString,
    outcome: CompactString,
    code: CompactString,
    was_sent: bool,
    is_late: bool,
    missing: usize,
    shards: usize,
}

/// What is known of a request whose lines are not all read yet.
#[derive(Clone, Debug, Default)]
struct Open {
    /// By the host that the caller asked.
    entry: Option<End>,
    /// By the host that gathered it for that one.
    gathered: Option<End>,
    /// The host that gathered it, by name, if the first one tells.
    via: Option<CompactString>,
    /// Another attempt would have helped, and the budget had no token.
    was_denied: bool,
    /// A leaf refused an attempt.
    was_refused: bool,
}

/// Requests of one class, or of one span of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    /// All.
    pub requests: u64,
    /// Answered whole and in time.
    pub whole: u64,
    /// The others; one that was late and lacked shards counts under both.
    pub reasons: IndexMap<Reason, u64>,
    /// Of the others, those for which the budget had no token for another attempt.
    pub denied: u64,
    /// Sum of the shares of shards that were missing in answers.
    pub missing_share: f64,
}

/// See the module.
#[derive(Debug)]
pub struct Account {
    /// Length of a span of time, in ms.
    window: u64,
    open: IndexMap<CompactString, Open>,
    older: IndexMap<CompactString, Open>,
    /// Lines read, by host.
    pub hosts: IndexMap<CompactString, u64>,
    /// Requests that a host is said to have gathered, by its name.
    pub via: IndexMap<CompactString, u64>,
    /// By class.
    pub classes: IndexMap<CompactString, Row>,
    /// By span of time, by its begin in ms since 1970.
    pub windows: IndexMap<u64, Row>,
    /// Codes of the requests with a reason.
    pub codes: IndexMap<(Reason, CompactString), u64>,
    /// What attempts at servers came to, by server and end.
    pub servers: IndexMap<(CompactString, CompactString), u64>,
    /// Requests of which only the host that gathered left a line.
    pub without_entry: u64,
    /// Requests that were counted before all lines about them may have been read.
    pub early: u64,
    /// Lines that are of no node.
    pub foreign: u64,
    /// Lines that were cut off.
    pub cut: u64,
}

impl Account {
    /// An empty account that counts by spans of `window` ms.
    pub fn new(window: u64) -> Self {
        Self {
            window: window.max(1),
            open: IndexMap::new(),
            older: IndexMap::new(),
            hosts: IndexMap::new(),
            via: IndexMap::new(),
            classes: IndexMap::new(),
            windows: IndexMap::new(),
            codes: IndexMap::new(),
            servers: IndexMap::new(),
            without_entry: 0,
            early: 0,
            foreign: 0,
            cut: 0,
        }
    }

    /// Takes a line of `host`. `is_whole` says that it ended with an end of line.
    pub fn take(&mut self, host: &str, text: &str, is_whole: bool) {
        if text.trim().is_empty() {
            return;
        }
        let Some(line) = line::Line::read(text) else {
            *(if is_whole { &mut self.foreign } else { &mut self.cut }) += 1;
            return;
        };
        *row(&mut self.hosts, CompactString::from(host)) += 1;
        match line.message.as_str() {
            "answered" => self.answered(&line),
            "the caller hung up" => self.hung_up(&line),
            "no budget for another attempt" => self.open(&line).was_denied = true,
            "an attempt failed" => {
                self.open(&line).was_refused |= line.end == "refused";
                *row(&mut self.servers, (line.server, line.end)) += 1;
            }
            "a silent server is passed over" => {
                *row(&mut self.servers, (line.server, CompactString::const_new("silent"))) += 1;
            }
            _ => {}
        }
    }

    fn open(&mut self, line: &line::Line) -> &mut Open {
        if self.open.len() >= OPEN_MOST {
            let young = std::mem::take(&mut self.open);
            let old = std::mem::replace(&mut self.older, young);
            self.early += old.len() as u64;
            self.count_all(old);
        }
        let older = &mut self.older;
        let request = &line.request;
        self.open.entry(request.clone()).or_insert_with(|| older.swap_remove(request).unwrap_or_default())
    }

    fn answered(&mut self, line: &line::Line) {
        let end = End {
            at: line.at().unwrap_or_default(),
            class: line.class.clone(),
            outcome: line.outcome.clone(),
            code: line.code.clone(),
            was_sent: line.first > 0,
            is_late: line.late_ms.is_some(),
            missing: line.missing_shards().count(),
            shards: line.shards,
        };
        if line.from.is_some() {
            self.open(line).gathered = Some(end);
            return;
        }
        let open = self.open(line);
        open.entry = Some(end);
        open.via.clone_from(&line.via);
        if let Some(via) = &line.via {
            *row(&mut self.via, via.clone()) += 1;
        }
    }

    fn hung_up(&mut self, line: &line::Line) {
        let at = line.at().unwrap_or_default();
        let code = CompactString::const_new("caller_gone");
        let end = End { at, code, ..End::default() };
        // The other host's caller is the first host, which hangs up when its own caller does.
        self.open(line).entry.get_or_insert(end);
    }

    /// Counts what is still open; for the end of all logs.
    pub fn finish(&mut self) {
        for generation in [std::mem::take(&mut self.older), std::mem::take(&mut self.open)] {
            self.count_all(generation);
        }
        self.windows.sort_unstable_keys();
    }

    fn count_all(&mut self, requests: IndexMap<CompactString, Open>) {
        for open in requests.into_values() {
            self.count(open);
        }
    }

    fn count(&mut self, open: Open) {
        let Some(entry) = &open.entry else {
            self.without_entry += u64::from(open.gathered.is_some());
            return;
        };
        let class = match &open.gathered {
            Some(gathered) if entry.class.is_empty() => gathered.class.clone(),
            _ => entry.class.clone(),
        };
        let reasons = reasons(entry, &open);
        let told = open.gathered.as_ref().unwrap_or(entry);
        let code = if entry.code == "ok" { &told.code } else { &entry.code };
        for &reason in &reasons {
            *row(&mut self.codes, (reason, code.clone())) += 1;
        }
        let is_answered = entry.outcome == "answered";
        let missing_share = if is_answered && told.shards > 0 { told.missing as f64 / told.shards as f64 } else { 0.0 };
        let window = entry.at - entry.at % self.window;
        for counted in [row(&mut self.classes, class), self.windows.entry(window).or_default()] {
            counted.requests += 1;
            counted.whole += u64::from(reasons.is_empty());
            counted.denied += u64::from(open.was_denied && !reasons.is_empty());
            counted.missing_share += missing_share;
            for &reason in &reasons {
                *counted.reasons.entry(reason).or_default() += 1;
            }
        }
    }

    /// Hosts that others name as having gathered for them and of which there is no line.
    pub fn absent(&self) -> Vec<&CompactString> {
        self.via.keys().filter(|name| !self.hosts.contains_key(*name)).collect()
    }
}

fn reasons(entry: &End, open: &Open) -> Vec<Reason> {
    if entry.code == "caller_gone" {
        return vec![Reason::HungUp];
    }
    let told = open.gathered.as_ref().unwrap_or(entry);
    match entry.outcome.as_str() {
        "answered" => {
            let mut reasons = Vec::new();
            if entry.is_late {
                reasons.push(Reason::Late);
            }
            if told.missing > 0 {
                reasons.push(Reason::Missing);
            }
            reasons
        }
        "not_run" if !told.was_sent => vec![Reason::RefusedHere],
        "not_run" => vec![Reason::RefusedByLeafs],
        _ if told.code == "insufficient_coverage" => vec![Reason::Coverage],
        _ => vec![Reason::UnknownEnd],
    }
}

/// The row of `key` in a table that may not grow without end.
fn row<K: std::hash::Hash + Eq + Rest, V: Default>(rows: &mut IndexMap<K, V>, key: K) -> &mut V {
    let is_full = rows.len() >= ROWS_MOST && !rows.contains_key(&key);
    rows.entry(if is_full { key.rest() } else { key }).or_default()
}

/// The key under which a full table counts what has no row.
trait Rest {
    fn rest(self) -> Self;
}

/// The name of a row for everything that has none of its own.
const OTHERS: CompactString = CompactString::const_new("others");

impl Rest for CompactString {
    fn rest(self) -> Self {
        OTHERS
    }
}

impl<T> Rest for (T, CompactString) {
    fn rest(self) -> Self {
        (self.0, OTHERS)
    }
}

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let requests: u64 = self.classes.values().map(|row| row.requests).sum();
        writeln!(f, "{requests} requests in the logs of {} hosts", self.hosts.len())?;
        self.write_gaps(f)?;
        writeln!(f, "\nby class")?;
        write_head(f, "class")?;
        for (class, row) in first(&self.classes, |row| row.requests) {
            write_row(f, if class.is_empty() { "(none)" } else { class }, row)?;
        }
        let begin = self.windows.keys().find(|at| **at > 0).copied().unwrap_or_default();
        writeln!(f, "\nby time, in s from the first request")?;
        write_head(f, "from")?;
        for (at, row) in &self.windows {
            write_row(f, &format_compact!("{:.1}", at.saturating_sub(begin) as f64 / 1000.0), row)?;
        }
        writeln!(f, "\nreasons")?;
        for ((reason, code), count) in first(&self.codes, |count| *count) {
            writeln!(f, "{count:>8}  {}: {code}", reason.sentence())?;
        }
        writeln!(f, "\nservers and hosts, by how attempts ended")?;
        for ((server, end), count) in first(&self.servers, |count| *count) {
            writeln!(f, "{count:>8}  {server}: {end}")?;
        }
        Ok(())
    }
}

impl Account {
    /// What keeps the account from being whole.
    fn write_gaps(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let absent = self.absent();
        if !absent.is_empty() {
            let requests: u64 = absent.iter().map(|name| self.via[*name]).sum();
            let names: Vec<&str> = absent.iter().take(PRINTED).map(|name| name.as_str()).collect();
            let names = names.join(", ");
            writeln!(f, "{requests} requests were gathered by {} hosts without a log here: {names}", absent.len())?;
        }
        let gaps = [
            (self.without_entry, "requests were gathered for hosts without a log here"),
            (self.early, "requests were counted before all that is known of them was read"),
            (self.foreign, "lines are of no node and were passed over"),
            (self.cut, "lines were cut off and passed over"),
        ];
        for (count, what) in gaps.into_iter().filter(|(count, _)| *count > 0) {
            writeln!(f, "{count} {what}")?;
        }
        Ok(())
    }
}

/// The greatest rows.
fn first<K, V>(rows: &IndexMap<K, V>, size: impl Fn(&V) -> u64) -> Vec<(&K, &V)> {
    let mut rows: Vec<(&K, &V)> = rows.iter().collect();
    rows.sort_by_key(|(_, row)| std::cmp::Reverse(size(row)));
    rows.truncate(PRINTED);
    rows
}

fn write_head(f: &mut fmt::Formatter<'_>, name: &str) -> fmt::Result {
    write!(f, "{name:<16}{:>9}{:>8}", "requests", "whole")?;
    for reason in Reason::ALL {
        write!(f, "{reason:>13}")?;
    }
    writeln!(f, "{:>11}{:>9}", "no budget", "shards")
}

fn write_row(f: &mut fmt::Formatter<'_>, name: &str, row: &Row) -> fmt::Result {
    let share = |count: u64| count as f64 * 100.0 / row.requests.max(1) as f64;
    write!(f, "{name:<16}{:>9}{:>7.1}%", row.requests, share(row.whole))?;
    for reason in Reason::ALL {
        match row.reasons.get(&reason) {
            Some(&count) => write!(f, "{:>12.1}%", share(count))?,
            None => write!(f, "{:>13}", "-")?,
        }
    }
    let answered = 1.0 - row.missing_share / row.requests.max(1) as f64;
    writeln!(f, "{:>10.1}%{:>8.2}%", share(row.denied), answered * 100.0)
}
