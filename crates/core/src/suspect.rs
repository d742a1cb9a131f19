//! The replicated table of requests that crash servers.
//!
//! A request that crashes any server that runs it is retried by its caller, through any host, and each retry crashes
//! one or two more servers. Hosts therefore record which requests were in flight at a server that crashed, by
//! [`Fingerprint`], and replicate the records. A request that was lost in a crash and has not been answered since is
//! *suspected*: hosts send it only as a trial, with one trial at a time in the whole fleet. The host that grants trials
//! is determined by the fingerprint ([`grantor`]). A trial is counted when it begins, not when its server is found
//! dead, because concurrent attempts would all begin before the first crash is detected. A request that was lost with
//! several servers is *held*: its running attempts are cancelled. One whose trials crash servers is *convicted*: its
//! next trial is hours away.
//!
//! Harmless requests are suspected too, if they ran on a server that another request crashed or whose machine failed.
//! Their next attempt is a trial, and an answer to it clears the evidence recorded until then. The table merges by
//! union and maximum only, so the order and number of merges do not matter.

mod entry;

use std::{cmp, fmt, str};

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{clock, rendezvous};

use entry::Entry;

/// Limit on entries. An entry takes about 500 bytes, so a flood of different suspects takes 500 KB.
const MAX_ENTRIES: usize = 1024;
/// Identifies equal requests: a 128-bit hash of method, host, path, query and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Fingerprint(pub u128);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl str::FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl TryFrom<CompactString> for Fingerprint {
    type Error = std::num::ParseIntError;

    fn try_from(text: CompactString) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Fingerprint> for CompactString {
    fn from(fingerprint: Fingerprint) -> Self {
        compact_str::format_compact!("{fingerprint}")
    }
}

/// The loss of a request with a server that was then found dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Identifies the caller's attempt, unique over all hosts.
    pub attempt: u64,
    /// The server, with its incarnation if it reports one.
    pub server: CompactString,
}

/// A caller's attempt that may be sent although its request is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Identifies the caller's attempt, unique over all hosts.
    pub attempt: u64,
}

/// A table entry in the form that hosts exchange, with times relative to the moment of sending.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// Identifies the request; `None` if the sender uses another format.
    pub fingerprint: Option<Fingerprint>,
    /// Servers that crashed while they ran the request.
    pub servers: Vec<CompactString>,
    /// Callers' attempts that were lost with a server.
    pub attempts: Vec<u64>,
    /// Attempts that were sent as trials.
    pub tried: Vec<u64>,
    /// Servers that no longer count as evidence, because the request has been answered since.
    pub cleared_servers: Vec<CompactString>,
    /// Attempts that no longer count as evidence; see `cleared_servers`.
    pub cleared_attempts: Vec<u64>,
    /// Time until the next trial.
    pub trial_in: clock::Millis,
    /// Time until the conviction ends; zero if the request is not convicted.
    pub refused_for: clock::Millis,
    /// Time until the entry expires.
    #[serde(rename = "left")]
    pub expires_in: clock::Millis,
}

impl Record {
    /// The request's standing according to this record alone, with times relative to the instant at which the record
    /// was made.
    pub fn standing(&self) -> Option<Standing> {
        let mut entry = Entry::default();
        entry.merge(clock::Millis::ZERO, self);
        entry.standing()
    }
}

/// How hosts restrict the attempts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// May have crashed a server: sent only as a trial. Running attempts continue, but are sent to no second server.
    Suspect {
        /// Earliest instant at which a trial may be granted.
        trial_at: clock::Millis,
    },
    /// Was lost with several servers: running attempts are cancelled.
    Held {
        /// Earliest instant at which a trial may be granted.
        trial_at: clock::Millis,
    },
    /// Trials crashed servers: like `Held`, but the next trial is hours or days away.
    Convicted {
        /// Earliest instant at which a trial may be granted.
        trial_at: clock::Millis,
    },
}

impl Standing {
    /// The name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Suspect { .. } => "suspect",
            Self::Held { .. } => "held",
            Self::Convicted { .. } => "convicted",
        }
    }

    /// The earliest instant at which a trial may be granted.
    pub fn trial_at(self) -> clock::Millis {
        match self {
            Self::Suspect { trial_at } | Self::Held { trial_at } | Self::Convicted { trial_at } => trial_at,
        }
    }

    /// Whether running attempts are cancelled.
    pub fn cancels_running(self) -> bool {
        !matches!(self, Self::Suspect { .. })
    }
}

/// The member of `hosts` that grants trials of a request. Hosts with the same membership list choose the same one.
pub fn grantor(fingerprint: Fingerprint, hosts: &[CompactString]) -> Option<&CompactString> {
    let key = compact_str::format_compact!("{fingerprint}");
    hosts.iter().max_by_key(|host| (rendezvous::weight(&key, host), cmp::Reverse(*host)))
}

/// Suspected requests by fingerprint; see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: IndexMap<Fingerprint, Entry>,
}

impl Table {
    /// Whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of entries, suspected or cleared.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Records a crash; `true` if that changes the table.
    pub fn record_crash(&mut self, now: clock::Millis, crash: &Crash) -> bool {
        let entry = self.entries.entry(crash.fingerprint).or_default();
        let before = entry.evidence_sizes();
        entry.add(crash);
        if entry.evidence_sizes() == before {
            return false;
        }
        entry.apply_evidence(now);
        entry.sent_at = clock::Millis::ZERO;
        self.evict_excess();
        true
    }

    /// Clears a request that a server answered; `true` if it was suspected. Other answers are not recorded.
    pub fn record_answer(&mut self, now: clock::Millis, fingerprint: Fingerprint) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint).filter(|entry| entry.is_suspect()) else {
            return false;
        };
        entry.clear(now);
        entry.sent_at = clock::Millis::ZERO;
        true
    }

    /// Records a trial of a suspected request and returns `true`, if a trial may begin now.
    pub fn grant_trial(&mut self, now: clock::Millis, trial: Trial) -> bool {
        let may_begin = |entry: &&mut Entry| entry.is_suspect() && entry.next_trial() <= now;
        let Some(entry) = self.entries.get_mut(&trial.fingerprint).filter(may_begin) else {
            return false;
        };
        entry.begin_trial(now, trial.attempt);
        entry.sent_at = clock::Millis::ZERO;
        true
    }

    /// Removes a granted trial that reached no server; `true` if it was recorded.
    pub fn cancel_trial(&mut self, now: clock::Millis, trial: Trial) -> bool {
        let was_granted = |entry: &&mut Entry| entry.trials.contains(&trial.attempt);
        let Some(entry) = self.entries.get_mut(&trial.fingerprint).filter(was_granted) else {
            return false;
        };
        entry.cancel_trial(now, trial.attempt);
        entry.sent_at = clock::Millis::ZERO;
        true
    }

    /// Merges a record from another host; `true` if that changes the table.
    pub fn merge(&mut self, now: clock::Millis, record: &Record) -> bool {
        let Some(fingerprint) = record.fingerprint else {
            return false;
        };
        let entry = self.entries.entry(fingerprint).or_default();
        let before = entry.evidence_sizes();
        entry.merge(now, record);
        let is_new = before != entry.evidence_sizes();
        if is_new {
            entry.sent_at = clock::Millis::ZERO;
        }
        self.evict_excess();
        is_new
    }

    /// Removes expired entries; `true` if there were any.
    pub fn expire(&mut self, now: clock::Millis) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.expires_at > now);
        before != self.entries.len()
    }

    /// Removes a request on an operator's order; `true` if it had an entry.
    pub fn release(&mut self, fingerprint: Fingerprint) -> bool {
        self.entries.swap_remove(&fingerprint).is_some()
    }

    /// Evicts entries above [`MAX_ENTRIES`]: those that expire first, and held requests last.
    fn evict_excess(&mut self) {
        while self.entries.len() > MAX_ENTRIES {
            let oldest = self.entries.values().enumerate().min_by_key(|(_, entry)| (entry.is_held(), entry.expires_at));
            let Some(index) = oldest.map(|(index, _)| index) else {
                return;
            };
            self.entries.swap_remove_index(index);
        }
    }

    /// The standing of a request; `None` if it is not suspected.
    pub fn standing(&self, fingerprint: Fingerprint) -> Option<Standing> {
        self.entries.get(&fingerprint)?.standing()
    }

    /// The standings of all suspected requests.
    pub fn standings(&self) -> IndexMap<Fingerprint, Standing> {
        let standing = |(fingerprint, entry): (&Fingerprint, &Entry)| Some((*fingerprint, entry.standing()?));
        self.entries.iter().filter_map(standing).collect()
    }

    /// The numbers of servers and of callers' attempts that are recorded as lost with a request.
    pub fn evidence_counts(&self, fingerprint: Fingerprint) -> (usize, usize) {
        let count = |entry: &Entry| (entry.servers.counted.len(), entry.attempts.counted.len());
        self.entries.get(&fingerprint).map_or((0, 0), count)
    }

    /// A digest over the entries without their times, to compare tables between hosts; 0 for an empty table.
    pub fn digest(&self) -> u32 {
        let entry_hash = |(fingerprint, entry): (&Fingerprint, &Entry)| {
            let (servers, attempts, trials, cleared_servers, cleared_attempts) = entry.evidence_sizes();
            let mut bytes = fingerprint.0.to_le_bytes().to_vec();
            let counts = [servers, attempts, trials, cleared_servers, cleared_attempts];
            bytes.extend(counts.map(|count| count as u8));
            xxh3::xxh3_64(&bytes) as u32
        };
        self.entries.iter().map(entry_hash).fold(0, |digest, hash| digest ^ hash)
    }

    /// The earliest expiry of an entry; `None` if the table is empty.
    pub fn next_expiry(&self) -> Option<clock::Millis> {
        self.entries.values().map(|entry| entry.expires_at).min()
    }

    /// Whether an entry that has not been sent since it changed is held; `None` if every change has been sent.
    pub fn has_held_update(&self) -> Option<bool> {
        let updates = self.entries.values().filter(|entry| entry.sent_at == clock::Millis::ZERO);
        updates.map(Entry::is_held).max()
    }

    /// Up to `limit` records to send to other hosts: unsent changes first, then those sent longest ago.
    pub fn take_records(&mut self, now: clock::Millis, limit: usize) -> Vec<Record> {
        let mut entries: Vec<_> = self.entries.iter_mut().collect();
        entries.sort_by_key(|(fingerprint, entry)| (entry.sent_at, cmp::Reverse(entry.is_held()), **fingerprint));
        let mut records = Vec::with_capacity(entries.len().min(limit));
        for (fingerprint, entry) in entries.into_iter().take(limit) {
            entry.sent_at = now;
            records.push(entry.to_record(now, *fingerprint));
        }
        records
    }

    /// The record of one request; without evidence if the table has no entry for it.
    pub fn record(&self, now: clock::Millis, fingerprint: Fingerprint) -> Record {
        match self.entries.get(&fingerprint) {
            Some(entry) => entry.to_record(now, fingerprint),
            None => Record { fingerprint: Some(fingerprint), ..Record::default() },
        }
    }

    /// All records, those that expire last first.
    pub fn records(&self, now: clock::Millis) -> Vec<Record> {
        let mut entries: Vec<_> = self.entries.iter().collect();
        entries.sort_by_key(|(fingerprint, entry)| (cmp::Reverse(entry.expires_at), **fingerprint));
        entries.into_iter().map(|(fingerprint, entry)| entry.to_record(now, *fingerprint)).collect()
    }
}
