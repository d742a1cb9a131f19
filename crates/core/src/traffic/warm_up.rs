//! Servers that warm up: how little each host sends them, so that all hosts together send no more than they bear.
//!
//! A server that has just started crashes under a load that a warm one does not notice, and when the servers of a
//! data centre come back together, each host would send each of them its first requests in the same moment. Nobody
//! counts for all hosts. So the right to send is cut: of the hosts that ask such a server at all, as many as it
//! bears requests in a second may send it one at a time, each with a pause of more than a second before the next.
//! Whoever may is the same on all hosts that know the same others, and hosts that are cut off from each other go on
//! knowing each other for a minute, so both sides of a cut have one set of senders. A host that has started a
//! moment ago may know few others, and sends none.
//!
//! Requests go to warm servers of the same shard while these have room; what is sent here is for shards that have
//! no such server.

use std::cmp;

use compact_str::CompactString;

use crate::{clock, rendezvous, view};

/// Least time between two requests of a host, in ms: in no second are there two, also when the first one's
/// connection took a quarter of a second to open, which is the longest that a host waits for it.
const PAUSE_LEAST: f64 = 1250.0;
/// Part of the slack that is used. The rest is for the moments in which hosts know different others.
const SLACK_PART: f64 = 0.5;
/// Longest that a server counts as warming up by its own word, in ms, if nothing else is heard of it: its word that
/// it is warm may be lost with the registry. Longer than outages of a registry in which others hear it.
const WORD_MOST: clock::Millis = clock::Millis(30_000);

/// The pause after each request of `host` to `server`; `None` if it may send none. `senders` are all hosts that may
/// be chosen.
pub fn pause(
    server: &str,
    rate: f64,
    tolerance: view::Tolerance,
    host: &str,
    senders: &[CompactString],
) -> Option<clock::Millis> {
    let bound = rate * tolerance.overage + SLACK_PART * tolerance.slack;
    let count = senders.len().min(bound.max(1.0) as usize);
    let weight = |host: &str| cmp::Reverse(rendezvous::weight(server, host));
    let own = (weight(host), host);
    let before = senders.iter().filter(|other| (weight(other), other.as_str()) < own).count();
    if count == 0 || before >= count || !senders.iter().any(|other| other == host) {
        return None;
    }
    // With so few hosts that each may send some in a second, one less than its part: the window may begin with one.
    let each = ((bound / count as f64) as u64).saturating_sub(1).max(1);
    let pause = (count as f64 * 1000.0 / rate).max(PAUSE_LEAST / each as f64);
    Some(clock::Millis(pause.ceil() as u64))
}

/// Whether a server warms up, and when this host may send it the next request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WarmUp {
    /// Until when it counts as warming up.
    until: clock::Millis,
    /// Whether it says so itself.
    says: bool,
    /// The pause after each request; `None` if this host may send none.
    pause: Option<clock::Millis>,
    next_at: clock::Millis,
}

impl WarmUp {
    /// Takes what the view in force says. `is_back` if the server gets work again after an evacuation: it may have
    /// become cold shortly before, and its own word comes later.
    pub(crate) fn take(&mut self, now: clock::Millis, published: Option<&view::WarmUp>, is_back: bool) {
        let Some(published) = published else {
            *self = Self::default();
            return;
        };
        let was_cold = self.is_cold(now);
        if published.is_warming && !self.says {
            self.until = now + WORD_MOST.max(published.duration);
        }
        if !published.is_warming && self.says {
            self.until = now;
        }
        self.says = published.is_warming;
        if is_back {
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

    /// A request is sent. `false` if it was not allowed.
    pub(crate) fn on_sent(&mut self, now: clock::Millis) -> bool {
        let was_allowed = self.may_send(now);
        if self.is_cold(now) {
            self.next_at = now + self.pause.unwrap_or(WORD_MOST);
        }
        was_allowed
    }
}
