//! The evidence against one request, and the standing that is derived from it.

use std::cmp;

use compact_str::CompactString;
use indexmap::IndexSet;

use crate::clock;

use super::{Crash, Fingerprint, Record, Standing};

/// Crashed servers at which a request is held.
const HOLD_THRESHOLD: usize = 3;
/// Trials with a crashed server at which a request is convicted.
const CONVICTION_THRESHOLD: usize = 2;
/// Trials without an answer, including any after a conviction has ended, at which the long intervals apply.
const MAX_TRIALS: usize = 3;
/// Limit on servers, and on attempts, in one entry.
const MAX_ITEMS: usize = 8;
/// How long an entry is kept after an answer. Records of the cleared evidence stop circulating long before that.
const ANSWER_RETENTION: clock::Millis = clock::Millis(300_000);
/// How long an entry is kept after its next trial becomes due.
const TRIAL_RETENTION: clock::Millis = clock::Millis(3 * 3_600_000);
/// Interval between trials of a request that is not convicted. Longer than a run and the replication of its outcome.
const TRIAL_INTERVAL: clock::Millis = clock::Millis(2000);
/// Interval after [`MAX_TRIALS`] trials without an answer or a conviction: their servers refused them, or connections
/// broke.
const INCONCLUSIVE_INTERVAL: clock::Millis = clock::Millis(600_000);
/// Duration of the first conviction.
const FIRST_CONVICTION: clock::Millis = clock::Millis(3 * 3_600_000);
/// Duration of a conviction after [`MAX_TRIALS`] trials, unless operators release the request.
const FINAL_CONVICTION: clock::Millis = clock::Millis(30 * 24 * 3_600_000);

/// Duration of the conviction of a request with `trials` trials, of which `crashed` crashed a server; zero if none.
fn conviction(crashed: usize, trials: usize) -> clock::Millis {
    match (crashed >= CONVICTION_THRESHOLD, trials >= MAX_TRIALS) {
        (false, _) => clock::Millis::ZERO,
        (true, false) => FIRST_CONVICTION,
        (true, true) => FINAL_CONVICTION,
    }
}

impl Record {
    fn conviction(&self) -> clock::Millis {
        let crashed = self.tried.iter().filter(|attempt| self.attempts.contains(attempt)).count();
        conviction(crashed, self.tried.len())
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) servers: Evidence<CompactString>,
    pub(super) attempts: Evidence<u64>,
    pub(super) trials: IndexSet<u64>,
    /// Earliest start of the next trial; the actual one is later while earlier trials are inconclusive.
    trial_at: clock::Millis,
    /// End of the conviction, if the request is convicted.
    convicted_until: clock::Millis,
    /// When the entry expires.
    pub(super) expires_at: clock::Millis,
    /// When it was last sent to another host; zero if it has changed since.
    pub(super) sent_at: clock::Millis,
}

/// Items that count against a request, and those that an answer has cleared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Evidence<T: cmp::Eq + std::hash::Hash> {
    pub(super) counted: IndexSet<T>,
    pub(super) cleared: IndexSet<T>,
}

impl<T: cmp::Eq + std::hash::Hash> Default for Evidence<T> {
    fn default() -> Self {
        Self { counted: IndexSet::new(), cleared: IndexSet::new() }
    }
}

impl<T: Clone + cmp::Eq + std::hash::Hash> Evidence<T> {
    fn add(&mut self, item: &T) {
        if self.counted.len() < MAX_ITEMS && !self.cleared.contains(item) {
            self.counted.insert(item.clone());
        }
    }

    /// Keeps only the newest cleared items: older ones have reached all hosts by now.
    fn clear(&mut self, item: &T) {
        self.counted.shift_remove(item);
        if self.cleared.insert(item.clone()) && self.cleared.len() > MAX_ITEMS {
            self.cleared.shift_remove_index(0);
        }
    }

    fn clear_all(&mut self) {
        for item in std::mem::take(&mut self.counted) {
            self.clear(&item);
        }
    }
}

impl Entry {
    pub(super) fn is_suspect(&self) -> bool {
        !self.servers.counted.is_empty()
    }

    pub(super) fn is_held(&self) -> bool {
        self.servers.counted.len() >= HOLD_THRESHOLD
    }

    /// The number of trials that crashed a server.
    fn crashed_trials(&self) -> usize {
        self.trials.iter().filter(|attempt| self.attempts.counted.contains(*attempt)).count()
    }

    fn is_convicted(&self) -> bool {
        self.crashed_trials() >= CONVICTION_THRESHOLD
    }

    /// The earliest instant at which the next trial may begin.
    pub(super) fn next_trial(&self) -> clock::Millis {
        match (self.is_convicted(), self.trials.len() >= MAX_TRIALS) {
            (true, _) => self.trial_at.max(self.convicted_until),
            (false, true) => self.trial_at + INCONCLUSIVE_INTERVAL,
            (false, false) => self.trial_at,
        }
    }

    pub(super) fn standing(&self) -> Option<Standing> {
        if !self.is_suspect() {
            return None;
        }
        let trial_at = self.next_trial();
        Some(match (self.is_held(), self.is_convicted()) {
            (true, true) => Standing::Convicted { trial_at },
            (true, false) => Standing::Held { trial_at },
            (false, _) => Standing::Suspect { trial_at },
        })
    }

    pub(super) fn add(&mut self, crash: &Crash) {
        self.servers.add(&crash.server);
        // A crashed trial is recorded even above the limit; otherwise a full entry would never be convicted.
        if self.trials.contains(&crash.attempt) && !self.attempts.cleared.contains(&crash.attempt) {
            self.attempts.counted.insert(crash.attempt);
        }
        self.attempts.add(&crash.attempt);
    }

    /// Duration of the conviction; zero if the request is not convicted.
    fn conviction(&self) -> clock::Millis {
        conviction(self.crashed_trials(), self.trials.len())
    }

    /// Updates the next trial and the expiry after new evidence.
    pub(super) fn apply_evidence(&mut self, now: clock::Millis) {
        self.delay_trial(now);
        let conviction = self.conviction();
        if conviction > clock::Millis::ZERO {
            self.convict(now + conviction);
        }
    }

    fn delay_trial(&mut self, instant: clock::Millis) {
        self.trial_at = self.trial_at.max(instant);
        self.expires_at = self.expires_at.max(instant + TRIAL_RETENTION);
    }

    fn convict(&mut self, end: clock::Millis) {
        self.convicted_until = self.convicted_until.max(end);
        self.expires_at = self.expires_at.max(end + TRIAL_RETENTION);
    }

    pub(super) fn clear(&mut self, now: clock::Millis) {
        self.servers.clear_all();
        self.attempts.clear_all();
        for attempt in std::mem::take(&mut self.trials) {
            self.attempts.clear(&attempt);
        }
        (self.trial_at, self.convicted_until) = Default::default();
        self.expires_at = now + ANSWER_RETENTION;
    }

    pub(super) fn merge(&mut self, now: clock::Millis, record: &Record) {
        let longest = self.conviction().max(record.conviction());
        record.cleared_servers.iter().for_each(|server| self.servers.clear(server));
        record.cleared_attempts.iter().for_each(|attempt| self.attempts.clear(attempt));
        record.servers.iter().for_each(|server| self.servers.add(server));
        let is_live = |attempt: &&u64| !self.attempts.cleared.contains(*attempt);
        let capacity = MAX_ITEMS.saturating_sub(self.trials.len());
        let trials: Vec<u64> = record.tried.iter().filter(is_live).take(capacity).copied().collect();
        self.trials.extend(trials);
        self.trials.retain(|attempt| !self.attempts.cleared.contains(attempt));
        for attempt in &record.attempts {
            if self.trials.contains(attempt) && !self.attempts.cleared.contains(attempt) {
                self.attempts.counted.insert(*attempt);
            }
            self.attempts.add(attempt);
        }
        self.expires_at = self.expires_at.max(now + record.expires_in.min(FINAL_CONVICTION + TRIAL_RETENTION));
        if !self.is_suspect() {
            (self.trial_at, self.convicted_until) = Default::default();
            return;
        }
        self.delay_trial(now + record.trial_in.min(TRIAL_INTERVAL));
        self.convict(now + record.refused_for.min(FINAL_CONVICTION));
        // The merged evidence gives a longer conviction than that of either host alone.
        if self.conviction() > longest {
            self.apply_evidence(now);
        }
    }

    /// The sizes of the replicated sets, used to detect changes; times are not included.
    pub(super) fn evidence_sizes(&self) -> (usize, usize, usize, usize, usize) {
        let Self { servers, attempts, trials, .. } = self;
        let cleared = (servers.cleared.len(), attempts.cleared.len());
        (servers.counted.len(), attempts.counted.len(), trials.len(), cleared.0, cleared.1)
    }

    /// Records a trial that begins now.
    pub(super) fn begin_trial(&mut self, now: clock::Millis, attempt: u64) {
        self.trials.insert(attempt);
        self.delay_trial(now + TRIAL_INTERVAL);
    }

    /// Removes a trial that reached no server.
    pub(super) fn cancel_trial(&mut self, now: clock::Millis, attempt: u64) {
        self.trials.shift_remove(&attempt);
        self.attempts.clear(&attempt);
        self.expires_at = self.expires_at.max(now + ANSWER_RETENTION);
    }

    /// The entry in the form that hosts exchange.
    pub(super) fn to_record(&self, now: clock::Millis, fingerprint: Fingerprint) -> Record {
        Record {
            fingerprint: Some(fingerprint),
            servers: self.servers.counted.iter().cloned().collect(),
            attempts: self.attempts.counted.iter().copied().collect(),
            tried: self.trials.iter().copied().collect(),
            cleared_servers: self.servers.cleared.iter().cloned().collect(),
            cleared_attempts: self.attempts.cleared.iter().copied().collect(),
            trial_in: self.trial_at.since(now),
            refused_for: self.convicted_until.since(now),
            expires_in: self.expires_at.since(now),
        }
    }
}
