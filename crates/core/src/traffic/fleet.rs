//! This host's part of the bounds that all hosts keep together.
//!
//! The operators bound the extra attempts at a service over any window of time, summed over all
//! hosts: a ratio of the requests, and a slack. Hosts do not talk about it. Each takes the ratio of
//! its own requests and an equal part of the slack, so the sum holds whoever can reach whom. A host
//! starts without tokens, so that its life before a restart and the one after it stay inside one
//! part of the slack.

use crate::{budget, id};

use super::policy;

/// Part of the slack that is given out: the rest covers hosts that joined and are not yet known to
/// all, which for a moment makes parts too large.
const GIVEN: f64 = 0.85;

/// Budgets by service.
#[derive(Debug)]
pub(crate) struct Fleet {
    bound: Option<policy::Fleet>,
    /// Hosts times lanes that share the slack.
    sharers: u32,
    rows: Vec<budget::Bucket>,
}

impl Fleet {
    pub(crate) fn new(bound: Option<policy::Fleet>) -> Self {
        Self { bound, sharers: 1, rows: Vec::new() }
    }

    /// Sets among how many the slack is cut.
    pub(crate) fn set_sharers(&mut self, sharers: u32) {
        let sharers = sharers.max(1);
        if self.sharers == sharers {
            return;
        }
        self.sharers = sharers;
        let capacity = self.capacity();
        for row in &mut self.rows {
            row.set_capacity(capacity);
        }
    }

    fn capacity(&self) -> f64 {
        self.bound.map_or(0.0, |bound| bound.slack * GIVEN / f64::from(self.sharers))
    }

    fn row(&mut self, service: id::Service) -> Option<&mut budget::Bucket> {
        let ratio = self.bound?.ratio;
        let capacity = self.capacity();
        if self.rows.len() <= service.index() {
            self.rows.resize_with(service.index() + 1, || budget::Bucket::empty(ratio, capacity));
        }
        self.rows.get_mut(service.index())
    }

    /// Records a request for `service`.
    pub(crate) fn earn(&mut self, service: id::Service) {
        if let Some(row) = self.row(service) {
            row.earn(1);
        }
    }

    /// Whether an extra attempt at `service` is allowed.
    pub(crate) fn has_token(&mut self, service: id::Service) -> bool {
        self.row(service).is_none_or(|row| row.has_token())
    }

    /// Counts an extra attempt that [`Fleet::has_token`] allowed.
    pub(crate) fn spend(&mut self, service: id::Service) {
        if let Some(row) = self.row(service) {
            row.spend();
        }
    }

    /// Gives a token back whose attempt never reached a server.
    pub(crate) fn refund(&mut self, service: id::Service) {
        if let Some(row) = self.row(service) {
            row.refund();
        }
    }

    /// Whether the bound holds for `service`.
    pub(crate) fn holds(&mut self, service: id::Service) -> bool {
        self.row(service).is_none_or(|row| row.holds())
    }
}
