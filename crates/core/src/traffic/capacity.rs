//! Capacity at the servers: expected waits, and refusal of requests that would wait too long.
//!
//! A server's queue is shared with other hosts, and requests in it can be neither reordered nor withdrawn. So
//! each host keeps its own concurrency at a server low enough for the server's queue to stay short, and queues
//! the rest here, by priority. A request whose wait would make its answer late is refused on arrival with a
//! retry-after, before any work is spent on it. Requests of lower priority wait behind the others, so they are
//! refused first.

use rand::Rng;

use crate::{clock, id, view};

use super::why;

/// Lower bound of the retry-after for lack of capacity, before jitter.
const RETRY_AFTER_MIN: clock::Millis = clock::Millis(20);
/// Upper bound of the retry-after for lack of capacity, before jitter.
const RETRY_AFTER_MAX: clock::Millis = clock::Millis(2000);

impl super::Core {
    /// Retry-after and reason, if a new request of `class` could not be answered within `remaining`.
    pub(super) fn capacity_refusal(
        &mut self,
        class_index: usize,
        class: &view::Class,
        branch: usize,
        remaining: clock::Millis,
    ) -> Option<(clock::Millis, why::Why)> {
        if !self.policy.refuse_by_wait {
            return None;
        }
        let wait = self.expected_wait(class_index, class, branch)?;
        let attempt = self.classes[class_index].p80_attempt_time();
        if wait == clock::Millis::ZERO || wait + attempt <= remaining {
            return None;
        }
        // Jitter: callers that are refused together would otherwise retry together.
        let span = wait.0.clamp(RETRY_AFTER_MIN.0, RETRY_AFTER_MAX.0);
        let retry_after = clock::Millis(span + self.random.random_range(0..=span));
        Some((retry_after, why::Why::Busy { wait, attempt, remaining }))
    }

    /// Expected wait for capacity of the shards that the least coverage needs; `None` if it cannot be met.
    fn expected_wait(&self, class_index: usize, class: &view::Class, branch: usize) -> Option<clock::Millis> {
        let targets = &class.branches.get(branch)?.targets;
        let median = self.classes[class_index].median_attempt_time(false);
        let priority = usize::from(class.priority).min(view::Class::PRIORITIES - 1);
        let mut waits = Vec::with_capacity(targets.len());
        for target in targets {
            let replicas = target.replicas.iter().filter(|&&id| self.is_open(id));
            let wait = replicas.map(|&id| self.wait_at_server(id, priority, median)).min();
            waits.push(wait.unwrap_or(clock::Millis::MAX));
        }
        waits.sort_unstable();
        let needed = (class.least_coverage.get() * targets.len() as f64).ceil() as usize;
        waits.get(needed.max(1) - 1).copied()
    }

    pub(super) fn wait_at_server(&self, id: id::Server, priority: usize, median: clock::Millis) -> clock::Millis {
        let state = &self.servers[id.index()];
        if state.share == 0 || state.is_blocked(self.now) {
            return clock::Millis::MAX;
        }
        let ahead = state.waiting_ahead(priority);
        if ahead == 0 && state.has_capacity(self.now) {
            return clock::Millis::ZERO;
        }
        state.expected_wait(ahead, median).max(state.ready_at(self.now).since(self.now))
    }
}
