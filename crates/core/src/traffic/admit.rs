//! Admission control: starts, queues or refuses incoming requests.

use std::sync::Arc;

use compact_str::CompactString;
use rand::Rng;

use crate::{clock, id, mutant, view};

use super::{class, event, key, query, suspect, timer::Timer, why};

/// Longest time after a process pause that non-idempotent requests are refused if the view is not confirmed.
const MAX_UNCONFIRMED: clock::Millis = clock::Millis(5000);

/// Retry delay while this host has no configuration yet: about the time that a read of it takes.
const STARTING_RETRY_AFTER: clock::Millis = clock::Millis(200);
/// Retry delay for a request that too few servers can run: a restarted server is listed about one
/// heartbeat later.
const NO_REPLICA_RETRY_AFTER: clock::Millis = clock::Millis(1000);

/// The class and branch indexes of a query in the view, and how it is executed.
struct Route {
    selector: usize,
    branch: usize,
    is_forwarded: bool,
    trial: query::Trial,
}

impl super::Core {
    pub(super) fn on_request(&mut self, request: event::Request) {
        if self.view.stamp == view::Stamp::default() {
            self.refuse(&request, event::Code::Starting, Some(STARTING_RETRY_AFTER), why::Why::CodeOnly);
            return;
        }
        let view = Arc::clone(&self.view);
        let Some((selector, _, class)) = view.classes.get_full(&request.class) else {
            self.refuse(&request, event::Code::UnknownClass, None, why::Why::CodeOnly);
            return;
        };
        let is_gather = class.branches.iter().any(|branch| branch.targets.len() > 1);
        if is_gather && request.relayed.is_none() {
            self.demand.record();
        }
        let trial = match self.hold(&request) {
            suspect::Hold::None => query::Trial::None,
            suspect::Hold::Granted => query::Trial::Granted,
            suspect::Hold::Open => query::Trial::Requested,
            suspect::Hold::Closed { fingerprint, retry_after } => {
                let why = why::Why::Crashes { fingerprint, retry_after };
                self.refuse(&request, event::Code::CrashesServers, Some(retry_after), why);
                return;
            }
        };
        let timeout = request.timeout.unwrap_or(class.deadline).min(class.deadline);
        if timeout <= self.policy.margin {
            self.refuse(&request, event::Code::DeadlinePassed, None, why::Why::ShortTimeout { timeout });
            return;
        }
        let class_index = self.class_index(&request.class);
        let branch = self.pick_branch(class_index, class);
        let is_forwarded = request.relayed.is_none() && self.may_forward(class);
        if !is_forwarded && !self.is_reachable(class, branch) {
            let why = self.no_replica_reason(class, branch);
            self.refuse(&request, event::Code::NoReplica, Some(NO_REPLICA_RETRY_AFTER), why);
            return;
        }
        let idempotent = class.idempotent;
        if !idempotent && self.is_view_unconfirmed() {
            let why = self.pause_reason();
            self.refuse(&request, event::Code::Revalidating, Some(self.policy.revalidate_grace), why);
            return;
        }
        if let Some((retry_after, why)) = self.urgency_refusal(&request, class_index, class, branch) {
            self.refuse(&request, event::Code::Overloaded, Some(retry_after), why);
            return;
        }
        if let Some(why) = self.overload_reason(class_index, timeout) {
            let retry_after = self.classes[class_index].retry_after();
            self.refuse(&request, event::Code::Overloaded, Some(retry_after), why);
            return;
        }
        let settle_at = match request.relayed {
            Some(relayed) => relayed.settle.map(|settle| self.now + settle),
            None => {
                class.target_latency.map(|target| self.now + self.time_to_target(class_index, target, request.timeout))
            }
        };
        if let Some(settle_at) = settle_at.filter(|_| !is_forwarded)
            && let Some((retry_after, why)) =
                self.capacity_refusal(class_index, class, branch, settle_at.since(self.now))
        {
            self.refuse(&request, event::Code::Overloaded, Some(retry_after), why);
            return;
        }
        if !idempotent {
            match self.claim_key(&request) {
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
        let deadline = self.now + timeout - self.policy.margin;
        self.enqueue(request, class_index, Route { selector, branch, is_forwarded, trial }, deadline, settle_at);
    }

    /// Picks the branch for the next request of a class, by weight.
    fn pick_branch(&mut self, class_index: usize, class: &view::Class) -> usize {
        if class.branches.len() < 2 {
            return 0;
        }
        let start = self.random.random();
        self.classes[class_index].split.next(class.branches.iter().map(|branch| branch.weight), start)
    }

    /// Time until an answer must be sent to meet the target latency, which counts from the caller's
    /// first attempt. The remaining timeout of a caller that retries is shorter than its first one; the difference
    /// to the longest timeout of the class's callers estimates the time since that first attempt.
    fn time_to_target(
        &mut self,
        class_index: usize,
        target_latency: clock::Millis,
        timeout: Option<clock::Millis>,
    ) -> clock::Millis {
        let Some(timeout) = timeout else {
            return target_latency - self.policy.aim_margin;
        };
        let max_timeout = self.classes[class_index].timeouts.record(self.now, timeout);
        target_latency - self.policy.aim_margin - max_timeout.since(timeout)
    }

    fn enqueue(
        &mut self,
        request: event::Request,
        class: usize,
        route: Route,
        deadline: clock::Millis,
        settle_at: Option<clock::Millis>,
    ) {
        if request.relayed.is_some() {
            self.count_relayed(&request.class);
        }
        let caller = request.caller;
        let trial = request.relayed.and_then(|relayed| relayed.trial);
        let query = id::Query(self.queries.insert(query::Query {
            caller,
            class,
            view: Arc::clone(&self.view),
            selector: route.selector,
            branch: route.branch,
            is_forwarded: route.is_forwarded,
            via: None,
            key: request.key,
            fingerprint: request.fingerprint,
            caller_attempt: trial.unwrap_or_else(|| self.random.random()),
            trial: route.trial,
            is_canary: false,
            arrived: self.now,
            deadline,
            run: None,
            settle_at,
            failure: None,
            shards: Vec::new(),
            groups: Vec::new(),
            want: None,
            failed_shards: 0,
            unplanned: 0,
            is_dispatching: false,
            pending_hint: 0,
            may_have_run: false,
            last_answer: None,
            restarts: 0,
            seen_epoch: None,
            cost: event::Cost::default(),
        }));
        self.callers.insert(caller, query);
        self.timers.push(deadline, Timer::Deadline(query));
        if route.trial == query::Trial::Requested {
            self.request_trial(query);
            return;
        }
        self.classes[class].queue.push_back(query);
        self.admit_class(class);
    }

    /// Whether enough shards have a server that accepts new requests.
    pub(super) fn is_reachable(&self, class: &view::Class, branch: usize) -> bool {
        let targets = class.branches.get(branch).map_or(&[][..], |branch| &branch.targets);
        let mut open = 0;
        for target in targets {
            let accepts_work = |&id: &id::Server| {
                let state = &self.servers[id.index()];
                self.is_open(id) && state.share > 0 && !state.is_blocked(self.now)
            };
            open += usize::from(target.replicas.iter().any(accepts_work));
        }
        open > 0 && class.least_coverage.is_met(open, targets.len())
    }

    /// Lists the shards without a server that accepts new requests, and the reason for each of their servers.
    fn no_replica_reason(&self, class: &view::Class, branch: usize) -> why::Why {
        let targets = class.branches.get(branch).map_or(&[][..], |branch| &branch.targets);
        let mut closed = Vec::new();
        for target in targets {
            let mut servers = Vec::new();
            for &id in &target.replicas {
                let state = &self.servers[id.index()];
                let reason = match self.view.server(id) {
                    None => "is gone",
                    Some(server) if server.leaving => "is leaving",
                    Some(server) if server.evacuated => "is in an evacuated data centre",
                    Some(_) if state.is_replaced => "is another one now",
                    Some(_) if state.is_blocked(self.now) => "warms up and gets nothing from this host",
                    Some(_) if state.share == 0 => "has no connection for this host",
                    Some(_) => continue,
                };
                servers.push((self.server_name(id), reason));
            }
            if servers.len() == target.replicas.len() {
                closed.push(why::Closed { shard: target.shard.clone(), servers });
            }
        }
        why::Why::Closed { open: targets.len() - closed.len(), shards: targets.len(), closed }
    }

    fn pause_reason(&self) -> why::Why {
        why::Why::Paused { since_resume: self.paused_at.map_or(clock::Millis::ZERO, |at| self.now.since(at)) }
    }

    fn class_index(&mut self, name: &CompactString) -> usize {
        if let Some(index) = self.classes.get_index_of(name) {
            return index;
        }
        let class = class::Class::new(name.clone(), &self.policy);
        self.classes.insert_full(name.clone(), class).0
    }

    /// The reason why the class cannot serve one more request within `timeout`; `None` if it can.
    fn overload_reason(&self, class_index: usize, timeout: clock::Millis) -> Option<why::Why> {
        let class = &self.classes[class_index];
        if class.queue.is_empty() && class.has_capacity(&self.policy) {
            return None;
        }
        let is_full = class.queue.len() >= self.policy.queue_ceiling as usize;
        let wait = class.expected_wait();
        let is_long = wait > timeout.scale(self.policy.queue_share.get());
        let run = class.p90_run_time();
        if !is_full && !is_long && wait + run + self.policy.margin < timeout {
            return None;
        }
        let (running, waiting) = (class.running(), class.queue.len());
        let limit = if self.policy.adaptive_admission { class.limit() } else { self.policy.running_ceiling };
        Some(why::Why::Queue { running, limit, waiting, wait, run, timeout })
    }

    fn claim_key(&mut self, request: &event::Request) -> key::Claim {
        let Some(key) = &request.key else {
            return key::Claim::Granted;
        };
        if mutant::is(mutant::Mutant::ForgetKeys) {
            return key::Claim::Granted;
        }
        self.keys.claim(key, self.now, self.policy.key_ceiling)
    }

    /// Starts queued queries of each class while its concurrency limit allows.
    pub(super) fn admit_waiting(&mut self) {
        for class in 0..self.classes.len() {
            self.admit_class(class);
        }
    }

    pub(super) fn admit_class(&mut self, class: usize) {
        while !self.is_sending_paused && self.classes[class].has_capacity(&self.policy) {
            let Some(query) = self.classes[class].queue.pop_front() else {
                return;
            };
            self.start(query);
        }
    }

    fn start(&mut self, id: id::Query) {
        let now = self.now;
        let Some(query) = self.queries.get(id.0) else {
            return;
        };
        if query.run.is_some() {
            return;
        }
        if !self.view.classes.contains_key(&query.selector().name) {
            self.reroute(id);
            return;
        }
        let class = query.class;
        // Only a query that has waited is refused for lack of time. After an outage in which runs
        // took as long as the deadline, refusing new ones too would stop all queries, and the class
        // would get no samples that show that its servers have recovered.
        let has_waited = query.arrived < now;
        if has_waited && query.deadline <= now + self.classes[class].median_run_time() {
            let retry_after = self.classes[class].retry_after();
            let (wait, remaining) = (now.since(query.arrived), query.deadline.since(now));
            let why = why::Why::Waited { wait, run: self.classes[class].median_run_time(), remaining };
            self.finish_with_reason(id, event::Code::Overloaded, Some(retry_after), why);
            return;
        }
        if !query.selector().idempotent && self.is_view_unconfirmed() {
            let why = self.pause_reason();
            self.finish_with_reason(id, event::Code::Revalidating, Some(self.policy.revalidate_grace), why);
            return;
        }
        let run = self.classes[class].begin_run(now);
        if let Some(query) = self.queries.get_mut(id.0) {
            query.run = Some(run);
        }
        self.send_first_attempts(id);
    }

    /// Sends the first attempts of a query on the view in force; of a suspected one, only that of its first shard.
    pub(super) fn send_first_attempts(&mut self, id: id::Query) {
        let now = self.now;
        let view = Arc::clone(&self.view);
        let Some(query) = self.queries.get_mut(id.0) else {
            return;
        };
        let name = query.selector().name.clone();
        let Some((selector, _, class)) = view.classes.get_full(&name) else {
            self.finish_unanswered(id, event::Code::UnknownClass, None);
            return;
        };
        query.view = Arc::clone(&view);
        query.selector = selector;
        // A view that arrived while the query waited may have changed the branches.
        query.branch = query.branch.min(class.branches.len().saturating_sub(1));
        let shard_count = query.targets().len();
        query.shards = vec![query::Shard::default(); shard_count];
        query.groups.clear();
        query.failed_shards = 0;
        query.unplanned = 0;
        query.last_answer = None;
        query.want = None;
        query.is_dispatching = true;
        let count = shard_count as u64;
        let class_index = query.class;
        if let Some(settle) = class.settle {
            query.settle_at = Some(now + settle);
        }
        let is_forwarded = query.is_forwarded;
        if let Some(settle_at) = query.settle_at.filter(|_| !is_forwarded) {
            self.timers.push(settle_at.max(now), Timer::Settle(id));
        }
        if !is_forwarded && query.restarts == 0 {
            for target in query.targets() {
                self.fleet.earn(now, target.service, class.priority);
            }
            let buckets = &mut self.classes[class_index];
            for bucket in [&mut buckets.hedges, &mut buckets.retries] {
                bucket.fill(now);
                bucket.earn(count);
            }
            self.on_budget_change();
        }
        self.pick_snapshot(id);
        self.arm_hedge(id, now);
        let is_canary = count > 1 && self.queries.get(id.0).is_some_and(|query| self.is_suspect(query));
        if let Some(query) = self.queries.get_mut(id.0) {
            query.is_canary = is_canary;
        }
        if is_canary {
            self.dispatch(id, 0, query::Kind::First);
            return;
        }
        self.dispatch_from(id, 0);
    }

    /// Sends the first attempts for the shards of a query from index `first` on.
    pub(super) fn dispatch_from(&mut self, id: id::Query, first: u32) {
        let count = self.queries.get(id.0).map_or(0, |query| query.shards.len()) as u32;
        for shard_index in first..count {
            self.dispatch(id, shard_index, query::Kind::First);
            if self.queries.get(id.0).is_none() {
                return;
            }
        }
        if let Some(query) = self.queries.get_mut(id.0) {
            query.is_dispatching = false;
            self.settle(id);
        }
    }

    /// Resumes sending after a process pause.
    pub(super) fn resume(&mut self) {
        self.is_sending_paused = false;
        for server in 0..self.servers.len() {
            self.send_waiting(id::Server(server as u32));
        }
    }

    /// Whether the view has not been confirmed since a recent process pause.
    fn is_view_unconfirmed(&self) -> bool {
        self.paused_at.is_some_and(|at| self.now.since(at) < MAX_UNCONFIRMED)
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

    /// Refuses a request whose key is already known. This request did not run, but the previous one
    /// with the key did or may have, so the outcome must not be `NotRun`.
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
            lateness: None,
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
