//! This host's part of the bounds that all hosts keep together.
//!
//! The operators bound the extra attempts at a service over any window of time, summed over all
//! hosts: a ratio of the requests, and a slack. Hosts do not talk about it. Each takes the ratio of
//! its own requests and an equal part of the slack, so the sum holds whoever can reach whom.
//!
//! A part of the slack comes back with time: a bucket of half of it, which fills with the other half in each
//! window, spends no more than all of it in any window. A host starts without tokens, so that its life before a
//! restart and the one after it stay inside one part too, and has them some seconds later. Without the time,
//! a host that asks each shard twice or thrice a second earned a token in two seconds, and a leaf that stood
//! still for a moment could not be passed over for it.

use indexmap::IndexMap;

use crate::{budget, clock, id};

use super::policy;

/// Part of the slack that is given out: the rest covers hosts that joined and are not yet known to
/// all, which for a moment makes parts too large.
const GIVEN: f64 = 0.85;
/// Part of a host's part that may be spent at once; the rest comes back with time.
const AT_ONCE: f64 = 0.5;

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
    pub(crate) fn set_parts(&mut self, now: clock::Millis, usual: f64, parts: &IndexMap<id::Service, f64>, lanes: u32) {
        self.usual = usual / f64::from(lanes);
        let Some(bound) = self.bound else {
            return;
        };
        for (index, row) in self.rows.iter_mut().enumerate() {
            if !parts.contains_key(&id::Service(index as u32)) {
                cut(row, now, &bound, self.usual);
            }
        }
        for (&service, part) in parts {
            if let Some(row) = self.row(now, service) {
                cut(row, now, &bound, part / f64::from(lanes));
            }
        }
    }

    fn row(&mut self, now: clock::Millis, service: id::Service) -> Option<&mut budget::Bucket> {
        if service == id::Service::PEERS {
            return None;
        }
        let bound = self.bound?;
        while self.rows.len() <= service.index() {
            let mut row = budget::Bucket::empty(bound.ratio, 0.0);
            // Time before its first request counts for nothing.
            row.fill(now);
            cut(&mut row, now, &bound, self.usual);
            self.rows.push(row);
        }
        let row = self.rows.get_mut(service.index())?;
        row.fill(now);
        Some(row)
    }

    /// Records a request for `service`.
    pub(crate) fn earn(&mut self, now: clock::Millis, service: id::Service) {
        if let Some(row) = self.row(now, service) {
            row.earn(1);
        }
    }

    /// Whether an extra attempt at `service` is allowed.
    pub(crate) fn has_token(&mut self, now: clock::Millis, service: id::Service) -> bool {
        self.row(now, service).is_none_or(|row| row.has_token())
    }

    /// Counts an extra attempt that [`Fleet::has_token`] allowed.
    pub(crate) fn spend(&mut self, now: clock::Millis, service: id::Service) {
        if let Some(row) = self.row(now, service) {
            row.spend();
        }
    }

    /// Gives a token back whose attempt never reached a server.
    pub(crate) fn refund(&mut self, now: clock::Millis, service: id::Service) {
        if let Some(row) = self.row(now, service) {
            row.refund();
        }
    }

    /// Whether the bound holds for `service`.
    pub(crate) fn holds(&mut self, now: clock::Millis, service: id::Service) -> bool {
        self.row(now, service).is_none_or(|row| row.is_within_bound())
    }
}

/// Gives a bucket `part` of the slack.
fn cut(row: &mut budget::Bucket, now: clock::Millis, bound: &policy::Fleet, part: f64) {
    let slack = bound.slack * GIVEN * part;
    row.set_capacity(slack * AT_ONCE);
    row.set_rate(now, slack * (1.0 - AT_ONCE) / bound.window.0.max(1) as f64);
}
