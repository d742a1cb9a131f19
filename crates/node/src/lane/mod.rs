//! A traffic lane: one thread with its own traffic core, connections and callers.
//!
//! [`Shell::step`] is the only way into the core: an input comes from a caller's handler, from the
//! task of an attempt, from the timer task or from control, and the outputs are carried out before
//! anything else runs on the thread.

mod accept;
mod attempt;
mod fingerprint;
mod ingress;
mod link;
mod note;
mod pages;
mod pool;

use std::{cell::RefCell, rc::Rc, sync::Arc, thread};

use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use shallothub_core::{catalog, clock, control, id, route, table, traffic, view};
use shallothub_wire::seam;
use snafu::ResultExt;
use tokio::{runtime, sync::mpsc, sync::oneshot, task, time::sleep};

use crate::{error, shared, time};

pub use accept::Listeners;

/// Longest time between two steps; a longer gap than the policy's means that the process stopped.
const TICK: clock::Millis = clock::Millis(300);
/// Time between two publications of a lane's counters.
const PUBLISH: clock::Millis = clock::Millis(200);

/// Starts the thread of lane `index`. It ends with the process.
pub fn start(
    shared: Arc<shared::Shared>,
    index: usize,
    listeners: accept::Listeners,
    words: mpsc::UnboundedReceiver<shared::ToLane>,
) -> Result<thread::JoinHandle<()>, error::Error> {
    let builder = thread::Builder::new().name(format!("lane-{index}"));
    let thread = builder.spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else {
            tracing::error!("a lane has no runtime");
            return;
        };
        let local = task::LocalSet::new();
        local.block_on(&runtime, run(shared, index, listeners, words));
    });
    thread.context(error::ThreadSnafu)
}

async fn run(
    shared: Arc<shared::Shared>,
    index: usize,
    listeners: accept::Listeners,
    mut words: mpsc::UnboundedReceiver<shared::ToLane>,
) {
    let shell = Shell::new(shared, index);
    task::spawn_local(accept::run(Rc::clone(&shell), listeners));
    task::spawn_local(tick(Rc::clone(&shell)));
    while let Some(word) = words.recv().await {
        match word {
            shared::ToLane::View(view) => shell.step([traffic::event::Input::View(view)]),
            shared::ToLane::Suspects(suspects) => shell.step([traffic::event::Input::Suspects(suspects)]),
            shared::ToLane::Granted(trial) => shell.step([traffic::event::Input::TrialGranted(trial)]),
            shared::ToLane::Revalidated => shell.step([traffic::event::Input::Revalidated]),
            shared::ToLane::Explain(query, reply) => {
                // The asker may have gone; then nobody needs the answer.
                reply.send(shell.explain(&query)).ok();
            }
        }
    }
}

/// Steps the core when a timer is due, and at least each [`TICK`].
async fn tick(shell: Rc<Shell>) {
    let mut published_at = clock::Millis::ZERO;
    loop {
        let now = shell.now();
        let due = shell.state.borrow().core.next_timer();
        let wait = due.map_or(TICK, |due| due.since(now)).clamp(clock::Millis(1), TICK);
        shell.armed_for.set(now + wait);
        tokio::select! {
            () = sleep(time::duration(wait)) => {}
            () = shell.rearm.notified() => continue,
        }
        shell.step([traffic::event::Input::Tick]);
        if shell.now().since(published_at) >= PUBLISH {
            published_at = shell.now();
            shell.publish();
        }
    }
}

/// A lane, shared by the tasks of its thread.
pub(crate) struct Shell {
    pub(crate) shared: Arc<shared::Shared>,
    index: usize,
    state: RefCell<State>,
    links: link::Links,
    rearm: tokio::sync::Notify,
    armed_for: std::cell::Cell<clock::Millis>,
}

struct State {
    core: traffic::Core,
    next_caller: u64,
    callers: IndexMap<id::Caller, Caller>,
    /// What came back and may still contribute, by query.
    replies: IndexMap<id::Query, Vec<(id::Attempt, seam::Payload)>>,
    running: IndexMap<id::Attempt, task::AbortHandle>,
    pools: pool::Pools,
}

struct Caller {
    request: Rc<seam::Request>,
    reply: oneshot::Sender<seam::Answer>,
}

impl Shell {
    fn new(shared: Arc<shared::Shared>, index: usize) -> Rc<Self> {
        let lane = traffic::Lane { index: index as u32, count: shared.lanes.len() as u32 };
        let seed = catalog::Digest::of(&shared.settings.name).0 ^ shared.origin.start() ^ index as u64;
        let pools = pool::Pools::new(shared.settings.descriptors, shared.lanes.len());
        let core = traffic::Core::new(shared.settings.traffic.clone(), lane, seed, shared.origin.now());
        Rc::new(Self {
            shared,
            index,
            state: RefCell::new(State {
                core,
                next_caller: 0,
                callers: IndexMap::new(),
                replies: IndexMap::new(),
                running: IndexMap::new(),
                pools,
            }),
            links: RefCell::default(),
            rearm: tokio::sync::Notify::new(),
            armed_for: std::cell::Cell::new(clock::Millis::MAX),
        })
    }

    pub(crate) fn now(&self) -> clock::Millis {
        self.shared.origin.now()
    }

    /// The bounds on callers in force.
    pub(crate) fn limits(&self) -> Option<route::Limits> {
        self.state.borrow().core.view().limits
    }

    /// The stamps of the configuration and of the list of servers in force.
    fn versions(&self) -> (view::Stamp, view::Stamp) {
        let state = self.state.borrow();
        let view = state.core.view();
        (view.stamp, view.hosts_revision)
    }

    /// The class to which a request goes; its destination's own words if there is none.
    fn class(&self, to: &seam::Destination) -> CompactString {
        match to {
            seam::Destination::Class(class) => class.clone(),
            seam::Destination::Route { host, path } => {
                let state = self.state.borrow();
                state.core.view().routes.find(host, path).cloned().unwrap_or_default()
            }
        }
    }

    /// Hands a caller's request to the core; the answer comes through the receiver.
    pub(crate) fn request(
        self: &Rc<Self>,
        request: seam::Request,
        patience: Option<clock::Millis>,
        relayed: Option<traffic::event::Relayed>,
    ) -> (id::Caller, oneshot::Receiver<seam::Answer>) {
        let (reply, receiver) = oneshot::channel();
        let class = self.class(&request.ask.to);
        if class.is_empty() {
            tracing::info!(request = %request.ask.name, to = ?request.ask.to, "no route");
        }
        let key = request.ask.key.clone();
        let fingerprint = Some(fingerprint::of(&request));
        let caller = {
            let mut state = self.state.borrow_mut();
            state.next_caller += 1;
            let caller = id::Caller(state.next_caller);
            state.callers.insert(caller, Caller { request: Rc::new(request), reply });
            caller
        };
        let request = traffic::event::Request { caller, class, timeout: patience, key, relayed, fingerprint };
        self.step([traffic::event::Input::Request(request)]);
        (caller, receiver)
    }

    /// Runs the core and carries out what it decides.
    pub(crate) fn step<const N: usize>(self: &Rc<Self>, inputs: [traffic::event::Input; N]) {
        let now = self.now();
        let (outputs, next) = {
            let mut state = self.state.borrow_mut();
            let outputs = state.core.step(now, inputs);
            (outputs, state.core.next_timer())
        };
        for output in outputs {
            self.carry_out(output);
        }
        if next.is_some_and(|next| next < self.armed_for.get()) {
            self.rearm.notify_one();
        }
    }

    fn carry_out(self: &Rc<Self>, output: traffic::event::Output) {
        match output {
            traffic::event::Output::Dispatch(dispatch) => self.dispatch(dispatch),
            traffic::event::Output::Cancel { attempt } => self.cancel(attempt),
            traffic::event::Output::Answer(answer) => self.answer(answer),
            traffic::event::Output::Trim { server, keep } => {
                self.state.borrow_mut().pools.trim(server, keep as usize);
            }
            traffic::event::Output::Revalidate => {
                self.shared.control.send(shared::ToControl::Revalidate).ok();
            }
            traffic::event::Output::Crashed(crash) => self.tell(control::Input::Crashed(crash)),
            traffic::event::Output::Cleared(fingerprint) => self.tell(control::Input::Cleared(fingerprint)),
            traffic::event::Output::RequestTrial(trial) => self.tell(control::Input::RequestTrial(trial)),
            traffic::event::Output::TrialUnused(trial) => self.tell(control::Input::TrialUnused(trial)),
            traffic::event::Output::Probe { server, address } => {
                task::spawn_local(attempt::probe(Rc::clone(self), server, address));
            }
            traffic::event::Output::Breach(breach) => self.shared.metrics.breach(&breach),
            traffic::event::Output::Note(note) => self.log(&note),
        }
    }

    fn tell(&self, input: control::Input) {
        // Control ends with the process only.
        self.shared.control.send(shared::ToControl::Input(input)).ok();
    }

    fn dispatch(self: &Rc<Self>, dispatch: traffic::event::Dispatch) {
        let mut state = self.state.borrow_mut();
        // The core never dispatches for a caller that it has answered.
        let Some(request) = state.callers.get(&dispatch.caller).map(|caller| Rc::clone(&caller.request)) else {
            return;
        };
        let attempt = dispatch.attempt;
        let running = task::spawn_local(attempt::run(Rc::clone(self), dispatch, request));
        state.running.insert(attempt, running.abort_handle());
    }

    /// Drops the attempt's task, and with it its connection.
    fn cancel(&self, attempt: id::Attempt) {
        if let Some(running) = self.state.borrow_mut().running.swap_remove(&attempt) {
            running.abort();
        }
    }

    /// An attempt ended. What came back is kept only if the core may still want it.
    fn attempt_ended(
        self: &Rc<Self>,
        attempt: id::Attempt,
        query: id::Query,
        reply: traffic::event::Reply,
        payload: Option<seam::Payload>,
    ) {
        {
            let mut state = self.state.borrow_mut();
            if state.running.swap_remove(&attempt).is_none() {
                return;
            }
            // An attempt may run on after its query has its answer.
            if let Some(payload) = payload
                && state.core.is_live(query)
            {
                state.replies.entry(query).or_default().push((attempt, payload));
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
        let mut payloads: IndexMap<id::Attempt, seam::Payload> = payloads.into_iter().collect();
        let mut parts = Vec::with_capacity(answer.contributed.len());
        for (shard, attempt) in &answer.contributed {
            if let Some(payload) = payloads.swap_remove(attempt) {
                parts.push(seam::Part { shard: shard.clone(), payload });
            }
        }
        let failure = answer.failure.and_then(|attempt| payloads.swap_remove(&attempt));
        let name = answer.query.map(|query| self.query_name(query));
        // A caller that hung up does not read its answer; the core was told, or will be.
        caller.reply.send(seam::Answer { core: answer, parts, failure, name }).ok();
    }

    /// The caller's own name of a request, for the log.
    fn request_name(&self, caller: id::Caller) -> CompactString {
        let state = self.state.borrow();
        state.callers.get(&caller).map(|caller| caller.request.ask.name.clone()).unwrap_or_default()
    }

    fn query_name(&self, query: id::Query) -> CompactString {
        format_compact!("{}/{}/{query}", self.shared.settings.name, self.index)
    }

    /// What became of a query of this lane, by its name in an answer.
    fn explain(&self, name: &str) -> Option<String> {
        let key = name.rsplit('/').next()?.strip_prefix('q')?;
        let (index, generation) = key.split_once('.')?;
        let key = table::Key { index: index.parse().ok()?, generation: generation.parse().ok()? };
        let state = self.state.borrow();
        let summary = state.core.summary(id::Query(key))?;
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
        for (shard, tried) in &summary.missing {
            let tried = if tried.is_empty() { "no server".to_owned() } else { tried.join(", ") };
            text.push_str(&format!("  missing {shard}: tried {tried}\n"));
        }
        Some(text)
    }

    fn publish(&self) {
        let stats = self.state.borrow().core.stats();
        self.shared.metrics.set_lane(self.index, &stats);
        self.shared.lane_stats[self.index].store(Arc::new(stats));
    }
}
