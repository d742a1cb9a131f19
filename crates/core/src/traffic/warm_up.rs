//! Warm-up of servers: limits what each host sends, so that all hosts together stay within the rate of a
//! cold server.
//!
//! A server that has just started crashes under a load that a warm one handles easily, and when the servers of
//! a data centre return together, each host would send each of them its first requests at the same moment. No
//! counter is shared between hosts. Instead, the right to send is partitioned: of the hosts that query such a
//! server at all, as many as it can take requests in a second may send it one at a time, each with a pause of
//! more than a second in between. All hosts that know the same members choose the same senders, and hosts that
//! are partitioned from each other keep each other as members for a minute, so both sides of a partition have
//! one set of senders. A host that has just started may know few others, and sends none.
//!
//! Requests go to warm servers of the same shard while these have free capacity; requests are sent to a cold
//! server only for shards without such a server.

use std::cmp;

use compact_str::CompactString;

use crate::{clock, rendezvous, view};

/// Minimum time between two requests of a host, in ms. Prevents two requests within one second even if
/// the first one's connection took 250 ms to open, the longest that a host waits for it.
const MIN_PAUSE: f64 = 1250.0;
/// Fraction of the slack that is used. The rest covers moments in which hosts know different members.
const SLACK_FRACTION: f64 = 0.5;
/// Maximum time that a server counts as warming up on its own report if no further one arrives, in ms: the
/// report that it is warm may be lost with the registry. Longer than registry outages in which other hosts
/// receive the report.
const MAX_REPORTED_SPAN: clock::Millis = clock::Millis(30_000);

/// The pause after each request of `host` to `server`; `None` if it may send none. `senders` are all hosts that
/// may be chosen.
pub fn pause(
    server: &str,
    rate: f64,
    tolerance: view::Tolerance,
    host: &str,
    senders: &[CompactString],
) -> Option<clock::Millis> {
    let bound = rate * tolerance.overage + SLACK_FRACTION * tolerance.slack;
    let count = senders.len().min(bound.max(1.0) as usize);
    let weight = |host: &str| cmp::Reverse(rendezvous::weight(server, host));
    let own_key = (weight(host), host);
    let rank = senders.iter().filter(|other| (weight(other), other.as_str()) < own_key).count();
    if count == 0 || rank >= count || !senders.iter().any(|other| other == host) {
        return None;
    }
    // If there are so few hosts that each may send several requests a second, it sends one less than its share,
    // because the window may begin with one.
    let per_host = ((bound / count as f64) as u64).saturating_sub(1).max(1);
    let pause = (count as f64 * 1000.0 / rate).max(MIN_PAUSE / per_host as f64);
    Some(clock::Millis(pause.ceil() as u64))
}

/// Warm-up state of a server, and when this host may send it the next request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WarmUp {
    /// Until when it counts as warming up.
    until: clock::Millis,
    /// Whether the server itself reports that it warms up.
    is_reported: bool,
    /// The pause after each request; `None` if this host may send none.
    pause: Option<clock::Millis>,
    next_at: clock::Millis,
}

impl WarmUp {
    /// Updates the state from the current view. `is_reinstated` is set if the server gets work again after an
    /// evacuation: it may have become cold shortly before, and its own report arrives later.
    pub(crate) fn update(&mut self, now: clock::Millis, published: Option<&view::WarmUp>, is_reinstated: bool) {
        let Some(published) = published else {
            *self = Self::default();
            return;
        };
        let was_cold = self.is_cold(now);
        if published.is_warming && !self.is_reported {
            self.until = now + MAX_REPORTED_SPAN.max(published.duration);
        }
        if !published.is_warming && self.is_reported {
            self.until = now;
        }
        self.is_reported = published.is_warming;
        if is_reinstated {
            self.until = self.until.max(now + published.duration);
        }
        if !was_cold && self.is_cold(now) {
            self.next_at = now;
        }
    }

    /// Sets the pause after each request.
    pub(crate) fn set_pause(&mut self, pause: Option<clock::Millis>) {
        self.pause = pause;
    }

    pub(crate) fn is_cold(&self, now: clock::Millis) -> bool {
        self.until > now
    }

    /// When this host may send the next request; `None` if it may send none while the server warms up.
    pub(crate) fn next_at(&self, now: clock::Millis) -> Option<clock::Millis> {
        if !self.is_cold(now) {
            return Some(now);
        }
        self.pause.map(|_| self.next_at.max(now))
    }

    /// Whether a request may be sent now.
    pub(crate) fn may_send(&self, now: clock::Millis) -> bool {
        self.next_at(now) == Some(now)
    }

    /// Records a sent request. Returns `false` if it was not allowed.
    pub(crate) fn on_sent(&mut self, now: clock::Millis) -> bool {
        let was_allowed = self.may_send(now);
        if self.is_cold(now) {
            self.next_at = now + self.pause.unwrap_or(MAX_REPORTED_SPAN);
        }
        was_allowed
    }
}
