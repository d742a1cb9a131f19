//! Reports on servers to the control core, which exchanges them with other hosts; see [`crate::evidence`].
//!
//! Every attempt is counted, but only servers that deviate from the usual, or have a standing, are reported, in batches.
//! While all servers are healthy nothing is reported; one timer is armed while an attempt takes longer than most.

use indexmap::{IndexMap, IndexSet};

use crate::{clock, evidence, id, view};

use super::{event, query, timer::Timer};

/// Minimum time between the first deviation and the report, as a fraction of the interval. Results of the same moment
/// are then reported together.
const BATCH_FRACTION: u64 = 4;

/// What a lane observes of one server incarnation.
#[derive(Debug)]
struct Observed {
    key: evidence::Incarnation,
    tally: evidence::Tally,
}

/// The observations of a lane.
#[derive(Debug, Default)]
pub(super) struct Observations {
    /// `None` if evidence is not exchanged.
    policy: Option<evidence::Policy>,
    servers: IndexMap<id::Server, Observed>,
    /// Servers to include in the next report.
    due: IndexSet<id::Server>,
    reported_at: clock::Millis,
    /// When the next report is due; `None` if no timer is armed.
    report_at: Option<clock::Millis>,
}

impl Observations {
    /// Follows a new view; observations of servers whose incarnation ended are discarded.
    pub(super) fn set_view(&mut self, view: &view::View) {
        self.policy = view.evidence;
        let mut before = std::mem::take(&mut self.servers);
        let keys = self.policy.map(|policy| evidence::keys(view, policy.min_replicas));
        for (key, server) in keys.into_iter().flatten() {
            let observed = before.swap_remove(&server).filter(|observed| observed.key == key);
            let observed = observed.unwrap_or_else(|| Observed { key, tally: evidence::Tally::default() });
            self.servers.insert(server, observed);
        }
    }
}

impl super::Core {
    /// Counts the result of an attempt.
    pub(super) fn observe(&mut self, server: id::Server, attempt: evidence::Attempt) {
        let has_standing = self.standings.contains_key(&server);
        let Some(observed) = self.observations.servers.get_mut(&server) else {
            return;
        };
        observed.tally.record(self.now, attempt);
        let silence_due = observed.tally.silence_due();
        if observed.tally.is_due(self.now, has_standing) {
            self.schedule_report(server, self.now);
        } else if let Some(due) = silence_due {
            self.schedule_report(server, due);
        }
    }

    /// The time since an attempt was sent, relative to the usual reply time of its class.
    pub(super) fn ratio(&self, attempt: &query::Attempt) -> f64 {
        let usual = self.classes[attempt.class].median_attempt_time(attempt.is_relay);
        self.now.since(attempt.sent).0 as f64 / usual.0.max(1) as f64
    }

    /// Records that an attempt has had no reply for longer than most.
    pub(super) fn observe_wait(&mut self, server: id::Server, class: usize, sent: clock::Millis) {
        let usual = self.classes[class].median_attempt_time(false);
        let Some(observed) = self.observations.servers.get_mut(&server) else {
            return;
        };
        observed.tally.record_wait(sent, usual);
        if let Some(due) = observed.tally.silence_due() {
            self.schedule_report(server, due);
        }
    }

    /// Includes a server in the next report, which is due at `due` or when the interval allows it.
    fn schedule_report(&mut self, server: id::Server, due: clock::Millis) {
        let Some(policy) = self.observations.policy else {
            return;
        };
        self.observations.due.insert(server);
        let batched_at = self.now + clock::Millis(policy.interval.0 / BATCH_FRACTION);
        let at = due.max(batched_at).max(self.observations.reported_at + policy.interval);
        if self.observations.report_at.is_none_or(|armed| at < armed) {
            self.observations.report_at = Some(at);
            self.timers.push(at, Timer::Report);
        }
    }

    /// Reports the servers that are due, and those whose silence is due later then.
    pub(super) fn report_observations(&mut self) {
        // A timer that was replaced by an earlier one misses.
        if self.observations.report_at.is_none_or(|at| at > self.now) {
            return;
        }
        self.observations.report_at = None;
        let mut samples = Vec::new();
        let mut later = Vec::new();
        for server in std::mem::take(&mut self.observations.due) {
            let has_standing = self.standings.contains_key(&server);
            let Some(observed) = self.observations.servers.get_mut(&server) else {
                continue;
            };
            if let Some(due) = observed.tally.silence_due().filter(|&due| due > self.now) {
                later.push((server, due));
            }
            if observed.tally.is_due(self.now, has_standing) {
                samples.push(observed.tally.take(self.now, observed.key, has_standing));
            }
        }
        if !samples.is_empty() {
            self.observations.reported_at = self.now;
            self.stats.observed += samples.len() as u64;
            self.outputs.push(event::Output::Observed(samples));
        }
        for (server, due) in later {
            self.schedule_report(server, due);
        }
    }
}
