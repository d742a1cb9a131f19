//! Room at the servers: what a request would wait for, and what is refused because of it.
//!
//! A server's queue is not ours: other hosts fill it too, and what waits there can neither be put in
//! order nor taken back. So each host keeps its own concurrency at a server so low that the server's
//! queue stays short, and what does not fit waits here, by priority. What would wait for so long that
//! its answer could not be in time is refused when it comes, with the time to come back, and nobody has
//! worked for it. Less urgent requests wait behind the others, so they are refused first.

use rand::Rng;

use crate::{clock, id, view};

use super::why;

/// Shortest time to come back after a refusal for want of room.
const COME_BACK_LEAST: clock::Millis = clock::Millis(20);
/// Longest.
const COME_BACK_MOST: clock::Millis = clock::Millis(2000);

impl super::Core {
    /// When to come back, and why, if a request of `class` that comes now could not be answered within
    /// `left`.
    pub(super) fn lacks_room(
        &mut self,
        row: usize,
        class: &view::Class,
        branch: usize,
        left: clock::Millis,
    ) -> Option<(clock::Millis, why::Why)> {
        if !self.policy.refuse_by_wait {
            return None;
        }
        let wait = self.expected_wait(row, class, branch)?;
        let attempt = self.classes[row].slow_attempt();
        if wait == clock::Millis::ZERO || wait + attempt <= left {
            return None;
        }
        // Callers that are refused together would come back together.
        let span = wait.0.clamp(COME_BACK_LEAST.0, COME_BACK_MOST.0);
        let retry_after = clock::Millis(span + self.random.random_range(0..=span));
        Some((retry_after, why::Why::Busy { wait, attempt, left }))
    }

    /// How long the shards that the class needs at least would wait for room; `None` if it cannot be met.
    fn expected_wait(&self, row: usize, class: &view::Class, branch: usize) -> Option<clock::Millis> {
        let targets = &class.branches.get(branch)?.targets;
        let usual = self.classes[row].usual_attempt(false);
        let priority = usize::from(class.priority).min(view::Class::PRIORITIES - 1);
        let mut waits = Vec::with_capacity(targets.len());
        for target in targets {
            let replicas = target.replicas.iter().filter(|&&id| self.is_open(id));
            let wait = replicas.map(|&id| self.wait_at_server(id, priority, usual)).min();
            waits.push(wait.unwrap_or(clock::Millis::MAX));
        }
        waits.sort_unstable();
        let needed = (class.least_coverage.get() * targets.len() as f64).ceil() as usize;
        waits.get(needed.max(1) - 1).copied()
    }

    fn wait_at_server(&self, id: id::Server, priority: usize, usual: clock::Millis) -> clock::Millis {
        let state = &self.servers[id.index()];
        if state.share == 0 || state.is_barred(self.now) {
            return clock::Millis::MAX;
        }
        let ahead = state.waiting_ahead(priority);
        if ahead == 0 && state.has_room(self.now) {
            return clock::Millis::ZERO;
        }
        state.expected_wait(ahead, usual).max(state.ready_at(self.now).since(self.now))
    }
}
