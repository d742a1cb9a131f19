//! Forwarding of whole requests to a host that gathers, and the local fallback.
//!
//! The core treats another host like any other server, with its own samples, silence and limit of requests in
//! flight. A forwarded request has a single shard, and its result is returned unchanged. If no other host
//! accepts it, this host gathers it, as far as its few connections allow. Work that another host may have run
//! is not repeated for the same attempt of a caller, since two gathers could together reach more servers of a
//! shard than the class allows; the caller gets an error at once.

use crate::{clock, id, view};

use super::{event, query, timer::Timer};

/// Time for the hop between two hosts, deducted from the time until an answer should be sent.
const HOP_TIME: clock::Millis = clock::Millis(3);
/// Quantile of other hosts' reply times after which a host counts as silent.
const SILENCE_QUANTILE: f64 = 0.98;
/// Assumed silence delay before there is a sample.
const DEFAULT_SILENCE: clock::Millis = clock::Millis(80);
/// How long a silent host is avoided at first; doubles while it stays silent. Within some seconds the hosts
/// report to each other that it is gone.
pub(super) const SILENCE_PAUSE: clock::Millis = clock::Millis(1000);
/// Multiple of the silence delay after which a request gives up on a host that has sent nothing at all.
/// Generous, since a gather that waits for its last shards takes longer than most; the caller still has time to
/// retry elsewhere.
const GIVE_UP_FACTOR: u64 = 3;

impl super::Core {
    /// Whether a request of `class` should be forwarded to another host, and a healthy one is available.
    pub(super) fn may_forward(&self, class: &view::Class) -> bool {
        let Some(relay) = &class.relay else {
            return false;
        };
        relay.replicas.iter().any(|&id| {
            let state = &self.servers[id.index()];
            self.is_open(id) && !state.is_silent(self.now) && !state.is_ejected(self.now)
        })
    }

    /// Parameters for the host that `query` is forwarded to; `None` if it goes to a backend server.
    pub(super) fn relay_params(&self, query: &query::Query) -> Option<event::Relayed> {
        let settle = query.settle_at.map(|at| at.since(self.now + HOP_TIME));
        let trial = (query.trial == query::Trial::Granted).then_some(query.caller_attempt);
        query.is_forwarded.then_some(event::Relayed { settle, trial })
    }

    /// Handles a forwarded query whose host has been silent since `sent` for longer than most. Keeps waiting
    /// while the host may be busy, and ends the query if the host has replied to no query since.
    pub(super) fn wait_for_host(&mut self, query: id::Query, sent: clock::Millis) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let give_up_at = sent + clock::Millis(self.relay_delay(row.class).0 * GIVE_UP_FACTOR);
        if self.now < give_up_at {
            self.timers.push(give_up_at, Timer::Hedge(query));
            return;
        }
        let live = row.shards.first().and_then(|shard| shard.live.iter().flatten().next());
        let attempt = live.and_then(|attempt| self.attempts.get(attempt.0));
        if attempt.is_some_and(|attempt| self.servers[attempt.server.index()].was_active_since(sent)) {
            return;
        }
        self.finish_unanswered(query, event::Code::HostSilent, None);
    }

    /// Time after which a host that gathers for this one counts as silent.
    pub(super) fn relay_delay(&self, class: usize) -> clock::Millis {
        self.classes[class].relay_times.quantile(SILENCE_QUANTILE).unwrap_or(DEFAULT_SILENCE)
    }

    /// Gathers a forwarded query on this host because no other host is available. Returns `false` if this host
    /// has no connections for it, or another host may have run it.
    pub(super) fn gather_locally(&mut self, query: id::Query) -> bool {
        let Some(row) = self.queries.get(query.0) else {
            return false;
        };
        let view = std::sync::Arc::clone(&self.view);
        let class = view.classes.get(&row.selector().name);
        let branch = row.branch;
        if !row.is_forwarded || row.may_have_run || !class.is_some_and(|class| self.is_reachable(class, branch)) {
            return false;
        }
        let Some(row) = self.queries.get_mut(query.0) else {
            return false;
        };
        row.is_forwarded = false;
        self.send_first_attempts(query);
        true
    }
}
