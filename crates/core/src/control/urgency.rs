//! Exchange of thresholds of admission by urgency between hosts; see [`crate::urgency::exchange`].

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::{urgency, urgency::exchange};

use super::{Core, Output, message, note};

impl Core {
    pub(super) fn on_urgency_records(&mut self, records: Vec<exchange::Record>) {
        if self.policy.share_urgency {
            self.urgency.merge(self.now, records);
        }
    }

    /// Adjusts the thresholds when an interval has passed, publishes them to the lanes and sends them to other hosts.
    pub(super) fn advance_urgency(&mut self) {
        if !self.urgency.advance(self.now) {
            return;
        }
        self.outputs.push(Output::Urgency(Arc::clone(self.urgency.states())));
        for change in self.urgency.take_changes(self.now) {
            self.outputs.push(Output::Note(note::Note::Urgency(change)));
        }
        if !self.policy.share_urgency {
            return;
        }
        let records = self.urgency.records(self.now);
        if records.is_empty() {
            return;
        }
        for to in self.random_peers(exchange::FANOUT) {
            self.send(to, message::Body::Urgency(records.clone()));
        }
    }

    /// The thresholds of admission by urgency in force, by set of servers; empty while no wait for capacity is measured.
    pub fn urgency(&self) -> &IndexMap<CompactString, urgency::State> {
        self.urgency.states()
    }
}
