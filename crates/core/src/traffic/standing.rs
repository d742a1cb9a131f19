//! Log lines about servers that standings take out of use on this host.
//!
//! A fault may affect half of all leaves at once, so changes are logged together, at most once a second.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};

use crate::{clock, evidence, id};

use super::note;

/// Minimum time between two reports.
const REPORT_INTERVAL: clock::Millis = clock::Millis(1000);
/// Maximum number of servers listed by name in one report; the rest is counted.
const MAX_LISTED: usize = 4;

/// Which servers were last logged as out of use.
#[derive(Debug, Default)]
pub(crate) struct Report {
    out_of_use: IndexSet<id::Server>,
    reported_at: Option<clock::Millis>,
    is_due: bool,
}

impl super::Core {
    pub(super) fn on_evidence(&mut self, standings: Arc<IndexMap<id::Server, evidence::Standing>>) {
        for server in self.standings.keys().filter(|&server| !standings.contains_key(server)) {
            if let Some(state) = self.servers.get_mut(server.index()) {
                state.samples.on_standing_end(self.now);
            }
        }
        self.standings = standings;
        self.report.is_due = self.policy.expected_time;
    }

    /// Logs the changes since the last report. The first step after [`REPORT_INTERVAL`] reports those that came sooner.
    pub(super) fn report_standings(&mut self) {
        let is_early = self.report.reported_at.is_some_and(|at| self.now.since(at) < REPORT_INTERVAL);
        if !self.report.is_due || is_early {
            return;
        }
        self.report.is_due = false;
        let standings = Arc::clone(&self.standings);
        let out_of_use: IndexSet<id::Server> =
            standings.iter().filter(|(_, standing)| !standing.may_try).map(|(&server, _)| server).collect();
        let added = self.names(out_of_use.difference(&self.report.out_of_use));
        let removed = self.names(self.report.out_of_use.difference(&out_of_use));
        if added.is_empty() && removed.is_empty() {
            return;
        }
        self.report.reported_at = Some(self.now);
        self.report.out_of_use = out_of_use;
        for (mut servers, is_out) in [(added, true), (removed, false)] {
            let count = servers.len();
            servers.truncate(MAX_LISTED);
            if is_out && count > 0 {
                self.log(note::Note::OutOfUse { servers, count });
            } else if count > 0 {
                self.log(note::Note::BackInUse { servers, count });
            }
        }
    }

    fn names<'a>(&self, servers: impl Iterator<Item = &'a id::Server>) -> Vec<CompactString> {
        servers.map(|&server| self.server_name(server)).collect()
    }
}
