//! This host's part of the bounds that all hosts keep together.
//!
//! The operators bound the extra attempts at a service over any window of time, summed over all
//! hosts: a ratio of the requests, and a slack. Hosts do not talk about it. Each takes the ratio of
//! its own requests and an equal part of the slack, so the sum holds whoever can reach whom. A host
//! starts without tokens, so that its life before a restart and the one after it stay inside one
//! part of the slack.

use indexmap::IndexMap;

use crate::{budget, id};

use super::policy;

/// Part of the slack that is given out: the rest covers hosts that joined and are not yet known to
/// all, which for a moment makes parts too large.
const GIVEN: f64 = 0.85;

/// Budgets by service.
#[derive(Debug)]
pub(crate) struct Fleet {
    bound: Option<policy::Fleet>,
    /// This lane's part of the slack where nothing else is said, as a share.
    usual: f64,
    rows: Vec<budget::Bucket>,
}

impl Fleet {
    pub(crate) fn new(bound: Option<policy::Fleet>) -> Self {
        Self { bound, usual: 1.0, rows: Vec::new() }
    }

    /// Sets this lane's parts of the slack: `usual`, and others for the services in `parts`, which are
    /// for the whole host with its `lanes`.
    pub(crate) fn set_parts(&mut self, usual: f64, parts: &IndexMap<id::Service, f64>, lanes: u32) {
        self.usual = usual / f64::from(lanes);
        let Some(bound) = self.bound else {
            return;
        };
        for (index, row) in self.rows.iter_mut().enumerate() {
            if !parts.contains_key(&id::Service(index as u32)) {
                row.set_capacity(bound.slack * GIVEN * self.usual);
            }
        }
        for (&service, part) in parts {
            if let Some(row) = self.row(service) {
                row.set_capacity(bound.slack * GIVEN * part / f64::from(lanes));
            }
        }
    }

    fn row(&mut self, service: id::Service) -> Option<&mut budget::Bucket> {
        if service == id::Service::PEERS {
            return None;
        }
        let bound = self.bound?;
        let (ratio, capacity) = (bound.ratio, bound.slack * GIVEN * self.usual);
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
