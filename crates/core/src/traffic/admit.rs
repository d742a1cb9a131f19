//! Admission: who may run now, who waits, and who is refused at once.

use std::sync::Arc;

use compact_str::CompactString;
use rand::Rng;

use crate::{clock, id, mutant, view};

use super::{class, event, key, query, suspect, timer::Timer, why};

/// Longest that a request which is not idempotent is refused after a pause without confirmation.
const CONFIRM_MOST: clock::Millis = clock::Millis(5000);

/// When to come back to a host that knows no configuration yet: about what a read of it takes.
const START_AFTER: clock::Millis = clock::Millis(200);
/// When to come back for a request that too few servers could run: a server that was started anew is
/// listed about a heartbeat later.
const NO_REPLICA_AFTER: clock::Millis = clock::Millis(1000);

/// Where in the view a query stands.
struct Place {
    selector: usize,
    branch: usize,
    is_passed_on: bool,
    trial: query::Trial,
}

impl super::Core {
    pub(super) fn on_request(&mut self, request: event::Request) {
        if self.view.stamp == view::Stamp::default() {
            self.refuse(&request, event::Code::Starting, Some(START_AFTER), why::Why::CodeOnly);
            return;
        }
        let view = Arc::clone(&self.view);
        let Some((selector, _, class)) = view.classes.get_full(&request.class) else {
            self.refuse(&request, event::Code::UnknownClass, None, why::Why::CodeOnly);
            return;
        };
        let trial = match self.hold(&request) {
            suspect::Hold::None => query::Trial::None,
            suspect::Hold::Granted => query::Trial::Granted,
            suspect::Hold::Open => query::Trial::Requested,
            suspect::Hold::Closed { fingerprint, retry_after: left } => {
                let why = why::Why::Crashes { fingerprint, retry_after: left };
                self.refuse(&request, event::Code::CrashesServers, Some(left), why);
                return;
            }
        };
        let patience = request.patience.unwrap_or(class.deadline).min(class.deadline);
        if patience <= self.policy.margin {
            self.refuse(&request, event::Code::DeadlinePassed, None, why::Why::ShortTimeout { timeout: patience });
            return;
        }
        let row = self.class_row(&request.class);
        let branch = self.pick_branch(row, class);
        let is_passed_on = request.relayed.is_none() && self.may_forward(class);
        if !is_passed_on && !self.is_reachable(class, branch) {
            let why = self.closed(class, branch);
            self.refuse(&request, event::Code::NoReplica, Some(NO_REPLICA_AFTER), why);
            return;
        }
        let idempotent = class.idempotent;
        if !idempotent && self.is_unconfirmed() {
            let why = self.paused();
            self.refuse(&request, event::Code::Revalidating, Some(self.policy.revalidate_grace), why);
            return;
        }
        if let Some(why) = self.overload(row, patience) {
            let retry_after = self.classes[row].retry_after();
            self.refuse(&request, event::Code::Overloaded, Some(retry_after), why);
            return;
        }
        let settle_at = match request.relayed {
            Some(relayed) => relayed.settle.map(|settle| self.now + settle),
            None => class.target_latency.map(|aim| self.now + self.time_to_aim(row, aim, request.patience)),
        };
        if let Some(settle_at) = settle_at.filter(|_| !is_passed_on)
            && let Some((retry_after, why)) = self.capacity_refusal(row, class, branch, settle_at.since(self.now))
        {
            self.refuse(&request, event::Code::Overloaded, Some(retry_after), why);
            return;
        }
        if !idempotent {
            match self.claim(&request) {
                key::Claim::Granted => {}
                key::Claim::Duplicate => {
                    self.refuse_duplicate(&request);
                    return;
                }
                key::Claim::Full => {
                    let retry_after = self.policy.key_window;
                    self.refuse(&request, event::Code::Overloaded, Some(retry_after), why::Why::CodeOnly);
                    return;
                }
            }
        }
        let deadline = self.now + patience - self.policy.margin;
        self.enqueue(request, row, Place { selector, branch, is_passed_on, trial }, deadline, settle_at);
    }

    /// The alternative for the next request of a class.
    fn pick_branch(&mut self, row: usize, class: &view::Class) -> usize {
        if class.branches.len() < 2 {
            return 0;
        }
        let start = self.random.random();
        self.classes[row].split.next(class.branches.iter().map(|branch| branch.weight), start)
    }

    /// Time until an answer must leave to be inside the aim, which counts from the caller's first
    /// attempt. A caller that asks again has less patience left than it began with; the difference
    /// to the most that callers of the class have is how long ago it began.
    fn time_to_aim(&mut self, row: usize, aim: clock::Millis, patience: Option<clock::Millis>) -> clock::Millis {
        let Some(patience) = patience else {
            return aim - self.policy.aim_margin;
        };
        let most = self.classes[row].timeouts.record(self.now, patience);
        aim - self.policy.aim_margin - most.since(patience)
    }

    fn enqueue(
        &mut self,
        request: event::Request,
        class: usize,
        place: Place,
        deadline: clock::Millis,
        settle_at: Option<clock::Millis>,
    ) {
        let caller = request.caller;
        let trial = request.relayed.and_then(|relayed| relayed.trial);
        let query = id::Query(self.queries.insert(query::Query {
            caller,
            class,
            view: Arc::clone(&self.view),
            selector: place.selector,
            branch: place.branch,
            is_forwarded: place.is_passed_on,
            via: None,
            key: request.key,
            fingerprint: request.fingerprint,
            caller_attempt: trial.unwrap_or_else(|| self.random.random()),
            trial: place.trial,
            is_canary: false,
            arrived: self.now,
            deadline,
            started: None,
            settle_at,
            failure: None,
            shards: Vec::new(),
            groups: Vec::new(),
            want: None,
            failed_shards: 0,
            is_placing: false,
            pending_hint: 0,
            may_have_run: false,
            last_answer: None,
            restarts: 0,
            seen_epoch: None,
            cost: event::Cost::default(),
        }));
        self.callers.insert(caller, query);
        self.timers.push(deadline, Timer::Deadline(query));
        if place.trial == query::Trial::Requested {
            self.request_trial(query);
            return;
        }
        self.classes[class].queue.push_back(query);
        self.admit_class(class);
    }

    /// Whether enough shards have a server that takes new work.
    pub(super) fn is_reachable(&self, class: &view::Class, branch: usize) -> bool {
        let targets = class.branches.get(branch).map_or(&[][..], |branch| &branch.targets);
        let mut open = 0;
        for target in targets {
            let can_serve = |&id: &id::Server| {
                let state = &self.servers[id.index()];
                self.is_open(id) && state.share > 0 && !state.is_blocked(self.now)
            };
            open += usize::from(target.replicas.iter().any(can_serve));
        }
        open > 0 && class.least_coverage.is_met(open, targets.len())
    }

    /// Which shards have no server that takes new work, and what keeps each of their servers from it.
    fn closed(&self, class: &view::Class, branch: usize) -> why::Why {
        let targets = class.branches.get(branch).map_or(&[][..], |branch| &branch.targets);
        let mut closed = Vec::new();
        for target in targets {
            let mut servers = Vec::new();
            for &id in &target.replicas {
                let state = &self.servers[id.index()];
                let word = match self.view.server(id) {
                    None => "is gone",
                    Some(server) if server.leaving => "is leaving",
                    Some(server) if server.evacuated => "is in an evacuated data centre",
                    Some(_) if state.is_replaced => "is another one now",
                    Some(_) if state.is_blocked(self.now) => "warms up and gets nothing from this host",
                    Some(_) if state.share == 0 => "has no connection for this host",
                    Some(_) => continue,
                };
                servers.push((self.server_name(id), word));
            }
            if servers.len() == target.replicas.len() {
                closed.push(why::Closed { shard: target.shard.clone(), servers });
            }
        }
        why::Why::Closed { open: targets.len() - closed.len(), shards: targets.len(), closed }
    }

    fn paused(&self) -> why::Why {
        why::Why::Paused { since_resume: self.paused_at.map_or(clock::Millis::ZERO, |at| self.now.since(at)) }
    }

    fn class_row(&mut self, name: &CompactString) -> usize {
        if let Some(row) = self.classes.get_index_of(name) {
            return row;
        }
        let class = class::Class::new(name.clone(), &self.policy);
        self.classes.insert_full(name.clone(), class).0
    }

    /// Why the class could not serve one more request within `patience`, if it could not.
    fn overload(&self, row: usize, patience: clock::Millis) -> Option<why::Why> {
        let class = &self.classes[row];
        if class.queue.is_empty() && class.has_capacity(&self.policy) {
            return None;
        }
        let is_full = class.queue.len() >= self.policy.queue_ceiling as usize;
        let wait = class.expected_wait();
        let is_long = wait > patience.scale(self.policy.queue_share.get());
        let run = class.p90_run_time();
        if !is_full && !is_long && wait + run + self.policy.margin < patience {
            return None;
        }
        let (running, waiting) = (class.running, class.queue.len());
        let limit = if self.policy.adaptive_admission { class.limit() } else { self.policy.running_ceiling };
        Some(why::Why::Queue { running, limit, waiting, wait, run, timeout: patience })
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

    pub(super) fn admit_class(&mut self, class: usize) {
        while !self.is_holding && self.classes[class].has_capacity(&self.policy) {
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
        if has_waited && row.deadline <= now + self.classes[class].median_run_time() {
            let retry_after = self.classes[class].retry_after();
            let (wait, left) = (now.since(row.arrived), row.deadline.since(now));
            let why = why::Why::Waited { wait, run: self.classes[class].median_run_time(), remaining: left };
            self.finish_because(query, event::Code::Overloaded, Some(retry_after), why);
            return;
        }
        if !row.selector().idempotent && self.is_unconfirmed() {
            let why = self.paused();
            self.finish_because(query, event::Code::Revalidating, Some(self.policy.revalidate_grace), why);
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
        // A view that came while the query waited may have cut the alternatives anew.
        row.branch = row.branch.min(class.branches.len().saturating_sub(1));
        row.started.get_or_insert(now);
        let parts = row.targets().len();
        row.shards = vec![query::Shard::default(); parts];
        row.groups.clear();
        row.failed_shards = 0;
        row.last_answer = None;
        row.want = None;
        row.is_placing = true;
        let count = parts as u64;
        let class_row = row.class;
        if let Some(settle) = class.settle {
            row.settle_at = Some(now + settle);
        }
        let is_passed_on = row.is_forwarded;
        if let Some(settle_at) = row.settle_at.filter(|_| !is_passed_on) {
            self.timers.push(settle_at.max(now), Timer::Settle(query));
        }
        if !is_passed_on && row.restarts == 0 {
            for target in row.targets() {
                self.fleet.earn(now, target.service);
            }
            self.classes[class_row].hedges.earn(count);
            self.classes[class_row].retries.earn(count);
        }
        self.pick_snapshot(query);
        self.arm_hedge(query, now);
        let is_canary = count > 1 && self.queries.get(query.0).is_some_and(|row| self.is_suspect(row));
        if let Some(row) = self.queries.get_mut(query.0) {
            row.is_canary = is_canary;
        }
        if is_canary {
            self.place(query, 0, query::Kind::First);
            return;
        }
        self.place_from(query, 0);
    }

    /// Asks the shards of a query from the one at `first` on.
    pub(super) fn place_from(&mut self, query: id::Query, first: u32) {
        let count = self.queries.get(query.0).map_or(0, |row| row.shards.len()) as u32;
        for part in first..count {
            self.place(query, part, query::Kind::First);
            if self.queries.get(query.0).is_none() {
                return;
            }
        }
        if let Some(row) = self.queries.get_mut(query.0) {
            row.is_placing = false;
            self.settle(query);
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

    fn refuse(
        &mut self,
        request: &event::Request,
        code: event::Code,
        retry_after: Option<clock::Millis>,
        why: why::Why,
    ) {
        self.refuse_with(request, code, event::Outcome::NotRun, retry_after, why);
    }

    /// The request itself was not run, but the one before it with this key was or may have been,
    /// so the caller must not conclude that nothing ran.
    fn refuse_duplicate(&mut self, request: &event::Request) {
        self.refuse_with(request, event::Code::DuplicateKey, event::Outcome::Unknown, None, why::Why::CodeOnly);
    }

    fn refuse_with(
        &mut self,
        request: &event::Request,
        code: event::Code,
        outcome: event::Outcome,
        retry_after: Option<clock::Millis>,
        why: why::Why,
    ) {
        self.outputs.push(event::Output::Answer(event::Answer {
            caller: request.caller,
            query: None,
            class: request.class.clone(),
            outcome,
            code,
            why,
            late: None,
            snapshot: None,
            contributed: Vec::new(),
            missing: Vec::new(),
            shape: view::Shape::default(),
            failure: None,
            via: None,
            retry_after,
            cost: event::Cost::default(),
        }));
    }
}
