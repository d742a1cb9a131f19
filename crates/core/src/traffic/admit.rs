//! Admission: who may run now, who waits, and who is refused at once.

use std::sync::Arc;

use compact_str::CompactString;

use crate::{clock, id, mutant, view};

use super::{class, event, key, query, timer::Timer};

/// Time that an answer needs on its way back to the caller; no attempt is given the very end.
const MARGIN: clock::Millis = clock::Millis(2);
/// Longest that a request which is not idempotent is refused after a pause without confirmation.
const CONFIRM_MOST: clock::Millis = clock::Millis(5000);

impl super::Core {
    pub(super) fn on_request(&mut self, request: event::Request) {
        let Some((selector, _, class)) = self.view.classes.get_full(&request.class) else {
            self.refuse(&request, event::Code::UnknownClass, None);
            return;
        };
        let patience = request.patience.unwrap_or(class.deadline).min(class.deadline);
        if patience <= MARGIN {
            self.refuse(&request, event::Code::DeadlinePassed, None);
            return;
        }
        if !self.is_reachable(class) {
            self.refuse(&request, event::Code::NoReplica, Some(clock::Millis(1000)));
            return;
        }
        let idempotent = class.idempotent;
        if !idempotent && self.is_unconfirmed() {
            self.refuse(&request, event::Code::Revalidating, Some(self.policy.revalidate_grace));
            return;
        }
        let row = self.class_row(&request.class);
        if let Some(retry_after) = self.overload(row, patience) {
            self.refuse(&request, event::Code::Overloaded, Some(retry_after));
            return;
        }
        if !idempotent {
            match self.claim(&request) {
                key::Claim::Granted => {}
                key::Claim::Known => {
                    self.refuse_duplicate(&request);
                    return;
                }
                key::Claim::Full => {
                    let retry_after = self.policy.key_window;
                    self.refuse(&request, event::Code::Overloaded, Some(retry_after));
                    return;
                }
            }
        }
        let deadline = self.now + patience - MARGIN;
        self.enqueue(request, row, selector, deadline);
    }

    fn enqueue(&mut self, request: event::Request, class: usize, selector: usize, deadline: clock::Millis) {
        let caller = request.caller;
        let query = id::Query(self.queries.insert(query::Query {
            caller,
            class,
            view: Arc::clone(&self.view),
            selector,
            key: request.key,
            arrived: self.now,
            deadline,
            started: None,
            parts: Vec::new(),
            groups: Vec::new(),
            want: None,
            failed: 0,
            pending_hint: 0,
            may_have_run: false,
            restarts: 0,
            saw_epoch: None,
            cost: event::Cost::default(),
        }));
        self.callers.insert(caller, query);
        self.timers.push(deadline, Timer::Deadline(query));
        self.classes[class].queue.push_back(query);
        self.admit_class(class);
    }

    /// Whether enough shards have a server that takes new work.
    fn is_reachable(&self, class: &view::Class) -> bool {
        let mut open = 0;
        for target in &class.targets {
            open += usize::from(target.replicas.iter().any(|&id| self.view.is_open(id)));
        }
        open > 0 && class.least_coverage.is_met(open, class.targets.len())
    }

    fn class_row(&mut self, name: &CompactString) -> usize {
        if let Some(row) = self.classes.get_index_of(name) {
            return row;
        }
        let class = class::Class::new(name.clone(), &self.policy);
        self.classes.insert_full(name.clone(), class).0
    }

    /// The time to come back, if the class could not serve one more request within `patience`.
    fn overload(&self, row: usize, patience: clock::Millis) -> Option<clock::Millis> {
        let class = &self.classes[row];
        if class.queue.is_empty() && class.has_room(&self.policy) {
            return None;
        }
        let is_full = class.queue.len() >= self.policy.queue_ceiling as usize;
        let wait = class.expected_wait();
        let is_long = wait > patience.scale(self.policy.queue_share.get());
        if is_full || is_long || wait + class.slow_run() + MARGIN >= patience {
            return Some(class.retry_after());
        }
        None
    }

    fn claim(&mut self, request: &event::Request) -> key::Claim {
        let Some(key) = &request.key else {
            return key::Claim::Granted;
        };
        if mutant::is(mutant::Mutant::ForgetKeys) {
            return key::Claim::Granted;
        }
        self.keys.claim(key, self.now, self.policy.key_ceiling)
    }

    /// Starts queries of each class while there is room, the highest priority first.
    pub(super) fn admit_waiting(&mut self) {
        for class in 0..self.classes.len() {
            self.admit_class(class);
        }
    }

    fn admit_class(&mut self, class: usize) {
        while !self.is_holding && self.classes[class].has_room(&self.policy) {
            let Some(query) = self.classes[class].queue.pop_front() else {
                return;
            };
            self.start(query);
        }
    }

    fn start(&mut self, query: id::Query) {
        let now = self.now;
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        if row.started.is_some() {
            return;
        }
        let class = row.class;
        // Only a query that waited is refused for want of time. If a fresh one were, then after an
        // outage in which runs took as long as the deadline nothing would ever run again, and the
        // class would never learn that its servers are well.
        let has_waited = row.arrived < now;
        if has_waited && row.deadline <= now + self.classes[class].typical_run() {
            let retry_after = self.classes[class].retry_after();
            self.finish_unanswered(query, event::Code::Overloaded, Some(retry_after));
            return;
        }
        if !row.selector().idempotent && self.is_unconfirmed() {
            self.finish_unanswered(query, event::Code::Revalidating, Some(self.policy.revalidate_grace));
            return;
        }
        self.classes[class].running += 1;
        self.begin(query);
    }

    /// Sends the first attempts of a query on the view in force.
    pub(super) fn begin(&mut self, query: id::Query) {
        let now = self.now;
        let view = Arc::clone(&self.view);
        let Some(row) = self.queries.get_mut(query.0) else {
            return;
        };
        let name = row.selector().name.clone();
        let Some((selector, _, class)) = view.classes.get_full(&name) else {
            self.finish_unanswered(query, event::Code::UnknownClass, None);
            return;
        };
        row.view = Arc::clone(&view);
        row.selector = selector;
        row.started.get_or_insert(now);
        row.parts = vec![query::Part::default(); class.targets.len()];
        row.groups.clear();
        row.failed = 0;
        row.want = None;
        let count = class.targets.len() as u64;
        let class_row = row.class;
        let settle = class.settle;
        if row.restarts == 0 {
            self.classes[class_row].hedges.earn(count);
            self.classes[class_row].retries.earn(count);
        }
        self.pick_snapshot(query);
        if let Some(settle) = settle {
            self.timers.push(now + settle, Timer::Settle(query));
        }
        self.arm_hedge(query, now);
        for part in 0..count as u32 {
            self.place(query, part, query::Kind::First);
            if self.queries.get(query.0).is_none() {
                return;
            }
        }
    }

    /// The time after a pause in which nothing is sent is over.
    pub(super) fn resume(&mut self) {
        self.is_holding = false;
        for server in 0..self.servers.len() {
            self.pump(id::Server(server as u32));
        }
    }

    /// Whether the view has not been confirmed since a pause.
    fn is_unconfirmed(&self) -> bool {
        self.paused_at.is_some_and(|at| self.now.since(at) < CONFIRM_MOST)
    }

    fn refuse(&mut self, request: &event::Request, code: event::Code, retry_after: Option<clock::Millis>) {
        self.refuse_with(request, code, event::Outcome::NotRun, retry_after);
    }

    /// The request itself was not run, but the one before it with this key was or may have been,
    /// so the caller must not conclude that nothing ran.
    fn refuse_duplicate(&mut self, request: &event::Request) {
        self.refuse_with(request, event::Code::DuplicateKey, event::Outcome::Unknown, None);
    }

    fn refuse_with(
        &mut self,
        request: &event::Request,
        code: event::Code,
        outcome: event::Outcome,
        retry_after: Option<clock::Millis>,
    ) {
        self.outputs.push(event::Output::Answer(event::Answer {
            caller: request.caller,
            query: None,
            class: request.class.clone(),
            outcome,
            code,
            snapshot: None,
            contributed: Vec::new(),
            missing: Vec::new(),
            retry_after,
            cost: event::Cost::default(),
        }));
    }
}
