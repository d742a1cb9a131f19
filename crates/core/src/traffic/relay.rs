//! Passing a request on whole to a host that gathers, and taking it back when that fails.
//!
//! To the core another host is a server like any other: it has evidence, silence and a share of
//! requests in flight. A request that is passed on has one part. What came of it elsewhere is handed
//! on as it is. If no other host takes it, this one gathers after all, as far as its few connections
//! go. What another host may have run is not run again for the same attempt of a caller: two gathers
//! together could reach more servers of a shard than the class allows. The caller is told at once.

use crate::{clock, id, view};

use super::{event, query, timer::Timer};

/// What the way between two hosts takes of the time until an answer should leave.
const HOP: clock::Millis = clock::Millis(3);
/// Quantile of the time to an answer of another host after which it counts as silent.
const QUANTILE: f64 = 0.98;
/// That time before there is a sample.
const PRIOR: clock::Millis = clock::Millis(80);
/// How long a host that was silent for longer than that is passed over; doubles while it stays silent.
/// After some seconds hosts tell each other that it is gone.
pub(super) const SILENCE: clock::Millis = clock::Millis(1000);
/// How many times that time a request waits for a host that says nothing at all. A gather that waits
/// for its last shards takes longer than most, so this is generous; a caller that is told can still ask
/// elsewhere in its time.
const GIVE_UP: u64 = 3;

impl super::Core {
    /// Whether a request of `class` should go to another host, and one seems to be well.
    pub(super) fn may_pass_on(&self, class: &view::Class) -> bool {
        let Some(relay) = &class.relay else {
            return false;
        };
        relay.replicas.iter().any(|&id| {
            let state = &self.servers[id.index()];
            self.is_open(id) && !state.is_silent(self.now) && !state.is_ejected(self.now)
        })
    }

    /// What to tell the host to which a part of `query` goes; `None` if it goes to a backend server.
    pub(super) fn relayed(&self, query: &query::Query) -> Option<event::Relayed> {
        let settle = query.settle_at.map(|at| at.since(self.now + HOP));
        let trial = (query.trial == query::Trial::Granted).then_some(query.evidence);
        query.is_passed_on.then_some(event::Relayed { settle, trial })
    }

    /// The host to which `query` was passed on at `sent` has been silent for longer than most. Waits on
    /// while it may be busy, and ends the query when it has not said anything to anyone since.
    pub(super) fn wait_for_host(&mut self, query: id::Query, sent: clock::Millis) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        let give_up_at = sent + clock::Millis(self.relay_delay(row.class).0 * GIVE_UP);
        if self.now < give_up_at {
            self.timers.push(give_up_at, Timer::Hedge(query));
            return;
        }
        let live = row.parts.first().and_then(|part| part.live.iter().flatten().next());
        let attempt = live.and_then(|attempt| self.attempts.get(attempt.0));
        if attempt.is_some_and(|attempt| self.servers[attempt.server.index()].spoke_since(sent)) {
            return;
        }
        self.finish_unanswered(query, event::Code::HostSilent, None);
    }

    /// After how long a host that gathers for this one counts as silent.
    pub(super) fn relay_delay(&self, class: usize) -> clock::Millis {
        self.classes[class].relays.quantile(QUANTILE).unwrap_or(PRIOR)
    }

    /// No other host will do: gathers here, if this host has connections for it. `false` if it cannot.
    pub(super) fn gather_here(&mut self, query: id::Query) -> bool {
        let Some(row) = self.queries.get(query.0) else {
            return false;
        };
        let view = std::sync::Arc::clone(&self.view);
        let class = view.classes.get(&row.selector().name);
        let branch = row.branch;
        if !row.is_passed_on || row.may_have_run || !class.is_some_and(|class| self.is_reachable(class, branch)) {
            return false;
        }
        let Some(row) = self.queries.get_mut(query.0) else {
            return false;
        };
        row.is_passed_on = false;
        self.send_first_attempts(query);
        true
    }
}
