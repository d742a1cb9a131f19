//! A traffic lane: one thread with its own traffic core, connections and callers.
//!
//! [`Shell::step`] is the only entry point to the core: inputs come from the handler of a request, the
//! task of an attempt, the timer task or the control thread, and the outputs are executed before any
//! other task runs on the thread.

mod accept;
mod attempt;
mod endpoints;
mod fingerprint;
mod inbound;
mod ingress;
mod note;
mod output;
mod overload;
mod pool;

use std::{cell::RefCell, rc::Rc, sync::Arc, thread};

use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use shallothub_core::{catalog, clock, control, id, invariant, route, table, traffic, traffic::estimate, view};
use shallothub_wire::{content, protocol};
use snafu::ResultExt;
use tokio::{runtime, sync::mpsc, sync::oneshot, task, time::sleep};

use crate::{error, memory, shared, time};

pub use accept::Listeners;

/// Maximum number of missing shards for which an explanation lists the replicas' estimates.
const MAX_ESTIMATED: usize = 4;
/// Maximum time between two steps. The core takes a gap above the policy's as a pause of the process.
const MAX_STEP_INTERVAL: clock::Millis = clock::Millis(300);
/// Interval at which a lane publishes its counters.
const PUBLISH_INTERVAL: clock::Millis = clock::Millis(200);

/// Starts the thread of lane `index`, which runs until the process exits.
pub fn start(
    shared: Arc<shared::Shared>,
    index: usize,
    listeners: accept::Listeners,
    messages: mpsc::UnboundedReceiver<shared::ToLane>,
) -> Result<thread::JoinHandle<()>, error::Error> {
    let builder = thread::Builder::new().name(format!("lane-{index}"));
    let thread = builder.spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else {
            tracing::error!("failed to create the async runtime of a lane");
            return;
        };
        let local = task::LocalSet::new();
        local.block_on(&runtime, run(shared, index, listeners, messages));
    });
    thread.context(error::ThreadSnafu)
}

async fn run(
    shared: Arc<shared::Shared>,
    index: usize,
    listeners: accept::Listeners,
    mut messages: mpsc::UnboundedReceiver<shared::ToLane>,
) {
    let shell = Shell::new(shared, index);
    task::spawn_local(accept::run(Rc::clone(&shell), listeners));
    task::spawn_local(tick(Rc::clone(&shell)));
    while let Some(message) = messages.recv().await {
        match message {
            shared::ToLane::View(view) => shell.step([traffic::event::Input::View(view)]),
            shared::ToLane::Suspects(suspects) => shell.step([traffic::event::Input::Suspects(suspects)]),
            shared::ToLane::Evidence(standings) => shell.step([traffic::event::Input::Evidence(standings)]),
            shared::ToLane::Urgency(states) => shell.step([traffic::event::Input::Urgency(states)]),
            shared::ToLane::TrialGranted(trial) => shell.step([traffic::event::Input::TrialGranted(trial)]),
            shared::ToLane::Revalidated => shell.step([traffic::event::Input::Revalidated]),
            shared::ToLane::Explain(query, reply) => {
                // Fails if the requester has gone, so that the result is not needed.
                reply.send(shell.explain(&query)).ok();
            }
        }
    }
}

/// Steps the core when a timer is due, and at least once per [`MAX_STEP_INTERVAL`].
async fn tick(shell: Rc<Shell>) {
    let mut published_at = clock::Millis::ZERO;
    loop {
        let now = shell.now();
        let due = shell.state.borrow().core.next_timer();
        let wait = due.map_or(MAX_STEP_INTERVAL, |due| due.since(now)).clamp(clock::Millis(1), MAX_STEP_INTERVAL);
        shell.wake_at.set(now + wait);
        tokio::select! {
            () = sleep(time::duration(wait)) => {}
            () = shell.rearm.notified() => continue,
        }
        shell.step([traffic::event::Input::Tick]);
        if shell.now().since(published_at) >= PUBLISH_INTERVAL {
            published_at = shell.now();
            shell.publish();
        }
    }
}

/// The state of a lane, shared by the tasks of its thread.
pub(crate) struct Shell {
    pub(crate) shared: Arc<shared::Shared>,
    index: usize,
    state: RefCell<State>,
    inbound: inbound::Connections,
    rearm: tokio::sync::Notify,
    wake_at: std::cell::Cell<clock::Millis>,
}

struct State {
    core: traffic::Core,
    next_caller: u64,
    callers: IndexMap<id::Caller, Caller>,
    /// Reply bodies that may still contribute to an answer, by query.
    replies: IndexMap<id::Query, Vec<Reply>>,
    tasks: IndexMap<id::Attempt, task::AbortHandle>,
    pools: pool::Pools,
}

struct Caller {
    request: Rc<protocol::Request>,
    relayed: Option<traffic::event::Relayed>,
    reply: oneshot::Sender<Answer>,
}

/// A reply body, with the count of its bytes.
struct Reply {
    attempt: id::Attempt,
    payload: protocol::Payload,
    held: Option<memory::Held>,
}

/// An answer, with the count of the bytes of the replies that it consists of.
pub(crate) struct Answer {
    pub(crate) answer: protocol::Answer,
    pub(crate) _held: Vec<memory::Held>,
}

impl Shell {
    fn new(shared: Arc<shared::Shared>, index: usize) -> Rc<Self> {
        let lane = traffic::Lane { index: index as u32, count: shared.lanes.len() as u32 };
        let seed = catalog::Digest::of(&shared.settings.name).0 ^ shared.clock.incarnation() ^ index as u64;
        let pools =
            pool::Pools::new(shared.settings.descriptors, shared.lanes.len(), shared.metrics.reuses_avoided.clone());
        let core = traffic::Core::new(shared.settings.traffic.clone(), lane, seed, shared.clock.now());
        Rc::new(Self {
            shared,
            index,
            state: RefCell::new(State {
                core,
                next_caller: 0,
                callers: IndexMap::new(),
                replies: IndexMap::new(),
                tasks: IndexMap::new(),
                pools,
            }),
            inbound: RefCell::default(),
            rearm: tokio::sync::Notify::new(),
            wake_at: std::cell::Cell::new(clock::Millis::MAX),
        })
    }

    pub(crate) fn now(&self) -> clock::Millis {
        self.shared.clock.now()
    }

    /// The limits on callers' requests and connections in force; `None` if the configuration has none.
    pub(crate) fn limits(&self) -> Option<route::Limits> {
        self.state.borrow().core.view().limits
    }

    /// The stamps of the configuration and the list of hosts in force.
    fn versions(&self) -> (view::Stamp, view::Stamp) {
        let state = self.state.borrow();
        let view = state.core.view();
        (view.stamp, view.hosts_revision)
    }

    /// The class named by `destination` or found by its route; empty if no route matches.
    fn class(&self, destination: &protocol::Destination) -> CompactString {
        match destination {
            protocol::Destination::Class(class) => class.clone(),
            protocol::Destination::Route { host, path } => {
                let state = self.state.borrow();
                state.core.view().routes.find(host, path).cloned().unwrap_or_default()
            }
        }
    }

    /// Passes a caller's request to the core; the answer arrives through the receiver.
    pub(crate) fn request(
        self: &Rc<Self>,
        request: protocol::Request,
        caller_timeout: Option<clock::Millis>,
        relayed: Option<traffic::event::Relayed>,
    ) -> (id::Caller, oneshot::Receiver<Answer>) {
        let (reply, receiver) = oneshot::channel();
        let request = Rc::new(request);
        let caller = {
            let mut state = self.state.borrow_mut();
            state.next_caller += 1;
            let caller = id::Caller(state.next_caller);
            state.callers.insert(caller, Caller { request: Rc::clone(&request), relayed, reply });
            caller
        };
        self.route(caller, &request, caller_timeout, relayed);
        (caller, receiver)
    }

    /// Passes a request to the core, with the class that serves it under the view in force.
    fn route(
        self: &Rc<Self>,
        caller: id::Caller,
        request: &protocol::Request,
        timeout: Option<clock::Millis>,
        relayed: Option<traffic::event::Relayed>,
    ) {
        let class = self.class(&request.head.destination);
        if class.is_empty() {
            tracing::info!(request = %request.head.name, to = ?request.head.destination, "no route");
        }
        let key = request.head.key.clone();
        let fingerprint = Some(fingerprint::of(request));
        let request = traffic::event::Request { caller, class, timeout, key, relayed, fingerprint };
        self.step([traffic::event::Input::Request(request)]);
    }

    /// Routes a request again that the core handed back after `waited`.
    fn reroute(self: &Rc<Self>, caller: id::Caller, timeout: clock::Millis, waited: clock::Millis) {
        let (request, relayed) = {
            let mut state = self.state.borrow_mut();
            let Some(entry) = state.callers.get_mut(&caller) else {
                return;
            };
            if let Some(relayed) = &mut entry.relayed {
                relayed.settle = relayed.settle.map(|settle| settle - waited);
            }
            (Rc::clone(&entry.request), entry.relayed)
        };
        tracing::info!(request = %request.head.name, waited_ms = waited.0, "routed a waiting request again");
        self.route(caller, &request, Some(timeout), relayed);
    }

    /// Runs the core and executes its outputs.
    pub(crate) fn step<const N: usize>(self: &Rc<Self>, inputs: [traffic::event::Input; N]) {
        let now = self.now();
        let (mut outputs, next) = {
            let mut state = self.state.borrow_mut();
            let outputs = state.core.step(now, inputs);
            (outputs, state.core.next_timer())
        };
        // A reroute steps the core again, and outputs must be executed in order.
        outputs.sort_by_key(|output| matches!(output, traffic::event::Output::Reroute { .. }));
        for output in outputs {
            self.execute(output);
        }
        if next.is_some_and(|next| next < self.wake_at.get()) {
            self.rearm.notify_one();
        }
    }

    fn execute(self: &Rc<Self>, output: traffic::event::Output) {
        match output {
            traffic::event::Output::Dispatch(dispatch) => self.dispatch(dispatch),
            traffic::event::Output::Cancel { attempt } => self.cancel(attempt),
            traffic::event::Output::Answer(answer) => self.answer(answer),
            traffic::event::Output::Reroute { caller, timeout, waited } => self.reroute(caller, timeout, waited),
            traffic::event::Output::Trim { server, limit } => {
                self.state.borrow_mut().pools.trim(server, limit as usize);
            }
            traffic::event::Output::Revalidate => {
                self.shared.control.send(shared::ToControl::Revalidate).ok();
            }
            traffic::event::Output::Crashed(crash) => self.notify_control(control::Input::Crashed(crash)),
            traffic::event::Output::Cleared(fingerprint) => self.notify_control(control::Input::Cleared(fingerprint)),
            traffic::event::Output::RequestTrial(trial) => self.notify_control(control::Input::RequestTrial(trial)),
            traffic::event::Output::TrialUnused(trial) => self.notify_control(control::Input::TrialUnused(trial)),
            traffic::event::Output::Observed(samples) => self.notify_control(control::Input::Observed(samples)),
            traffic::event::Output::Demand { lane, demand } => {
                self.notify_control(control::Input::Demand { lane, demand });
            }
            traffic::event::Output::Urgency(report) => self.notify_control(control::Input::Urgency(report)),
            traffic::event::Output::Probe { server, address } => {
                task::spawn_local(attempt::probe(Rc::clone(self), server, address));
            }
            traffic::event::Output::Breach(breach) => self.shared.metrics.record_breach(&breach),
            traffic::event::Output::Note(note) => self.log(&note),
        }
    }

    fn notify_control(&self, input: control::Input) {
        // The control thread runs until the process exits.
        self.shared.control.send(shared::ToControl::Input(input)).ok();
    }

    fn dispatch(self: &Rc<Self>, dispatch: traffic::event::Dispatch) {
        let mut state = self.state.borrow_mut();
        // The core never dispatches for a caller that has its answer.
        let Some(request) = state.callers.get(&dispatch.caller).map(|caller| Rc::clone(&caller.request)) else {
            return;
        };
        let attempt = dispatch.attempt;
        let task = task::spawn_local(attempt::run(Rc::clone(self), dispatch, request));
        state.tasks.insert(attempt, task.abort_handle());
    }

    /// Aborts the attempt's task, which closes its connection.
    fn cancel(&self, attempt: id::Attempt) {
        if let Some(task) = self.state.borrow_mut().tasks.swap_remove(&attempt) {
            task.abort();
        }
    }

    /// Passes an attempt's result to the core. Its payload is kept only while the query is unanswered.
    fn finish_attempt(self: &Rc<Self>, attempt: id::Attempt, query: id::Query, end: protocol::End) {
        let (reply, payload) = end.split();
        {
            let mut state = self.state.borrow_mut();
            if state.tasks.swap_remove(&attempt).is_none() {
                return;
            }
            // An attempt may outlive its query.
            if let Some(payload) = payload
                && state.core.is_live(query)
            {
                let size = memory::Size::of(payload.len());
                let held = memory::Held::new(self.shared.memory.as_ref(), memory::Kind::Replies, size, self.now());
                state.replies.entry(query).or_default().push(Reply { attempt, payload, held });
            }
        }
        self.step([traffic::event::Input::Reply { attempt, reply }]);
    }

    fn answer(&self, answer: traffic::event::Answer) {
        let mut state = self.state.borrow_mut();
        let payloads = answer.query.and_then(|query| state.replies.swap_remove(&query)).unwrap_or_default();
        let Some(caller) = state.callers.swap_remove(&answer.caller) else {
            return;
        };
        let mut held = Vec::new();
        let payloads: IndexMap<id::Attempt, protocol::Payload> = payloads
            .into_iter()
            .map(|reply| {
                held.extend(reply.held);
                (reply.attempt, reply.payload)
            })
            .collect();
        let name = answer.query.map(|query| self.query_name(query));
        let (core, content) = match content::Content::new(&answer, payloads) {
            Ok(content) => (answer, content),
            Err(error) => {
                let detail = format!("{}: {error}", name.as_deref().unwrap_or_default());
                self.shared.metrics.record_breach(&invariant::Breach { name: invariant::Name::TrueCoverage, detail });
                (answer.withheld(), content::Content::Empty)
            }
        };
        // Fails if the caller closed its connection; `HangUp` notifies the core of that.
        let answer = protocol::Answer { core, content, name };
        caller.reply.send(Answer { answer, _held: held }).ok();
    }

    /// The name that the caller gave its request, for the log.
    fn request_name(&self, caller: id::Caller) -> CompactString {
        let state = self.state.borrow();
        state.callers.get(&caller).map(|caller| caller.request.head.name.clone()).unwrap_or_default()
    }

    fn query_name(&self, query: id::Query) -> CompactString {
        format_compact!("{}/{}/{query}", self.shared.settings.name, self.index)
    }

    /// Describes a recent query of this lane by the name in its answer; `None` if it is no longer kept.
    fn explain(&self, name: &str) -> Option<String> {
        let key = name.rsplit('/').next()?.strip_prefix('q')?;
        let (index, generation) = key.split_once('.')?;
        let key = table::Key { index: index.parse().ok()?, generation: generation.parse().ok()? };
        let state = self.state.borrow();
        let summary = state.core.summary(id::Query(key))?;
        let now = self.shared.clock.now();
        let mut text = format!(
            "{name}: class {}, {} ({}) after {}; {} first attempts, {} hedges, {} retries\n",
            summary.class,
            summary.outcome,
            summary.code,
            summary.took,
            summary.cost.first,
            summary.cost.hedges,
            summary.cost.retries,
        );
        for (index, (shard, tried)) in summary.missing.iter().enumerate() {
            let tried = if tried.is_empty() { "no server".to_owned() } else { tried.join(", ") };
            text.push_str(&format!("  missing {shard}: tried {tried}\n"));
            if index >= MAX_ESTIMATED || !self.shared.settings.traffic.expected_time {
                continue;
            }
            for (server, replica, estimate) in state.core.estimates(&summary.class, shard) {
                text.push_str(&describe_estimate(&server, &replica, &estimate, now));
            }
        }
        Some(text)
    }

    fn publish(&self) {
        let stats = self.state.borrow().core.stats();
        self.shared.metrics.set_lane(self.index, &stats);
        for (class, admitted, rejected) in self.state.borrow().core.urgency_counts() {
            self.shared.metrics.set_urgency(self.index, class, admitted, rejected);
        }
        self.shared.lane_stats[self.index].store(Arc::new(stats));
        if let Some(memory) = &self.shared.memory {
            memory.tick(self.now());
            self.close_idle_buffers();
        }
    }
}

/// Describes the present estimate of a replica and its inputs.
fn describe_estimate(
    server: &str,
    replica: &estimate::Replica,
    estimate: &estimate::Estimate,
    now: clock::Millis,
) -> String {
    let reported = replica.standing.map_or_else(String::new, |standing| {
        format!(
            "; other hosts report rejection {:.2}, failure {:.2}, slowness {:.1}{}",
            standing.rejection,
            standing.failure,
            standing.slowness,
            if standing.is_silent { ", silent" } else { "" },
        )
    });
    format!(
        "    now {server}: {:.0} ms = wait {:.0} + run {:.0} + failure {:.0} + distance {:.0}; rank {}, {:.1} recent attempts{reported}\n",
        estimate.total(),
        estimate.wait,
        estimate.run,
        estimate.failure,
        estimate.distance,
        replica.rank,
        replica.own.number(now),
    )
}
