//! Admission by urgency at one traffic core: levels of arriving requests, and measurements of the wait for capacity.
//!
//! Classes that share servers form a set, which is named after the first of its services. The control core decides on
//! the threshold of each set; this module applies it to requests of callers where they arrive, before any work is done.
//! Relayed requests were admitted by the host that received them. See [`crate::urgency`].

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;
use rand::Rng;
use xxhash_rust::xxh3;

use crate::{clock, id, urgency, view};

use super::{event, query, server, why};

/// Minimum number of measured waits for a mean; a single slow query shows no lack of capacity.
const MIN_WAITS: u32 = 8;
/// Time for which waits are collected to reach that number.
const MAX_COLLECT: clock::Millis = clock::Millis(1000);
/// Weight of the newest interval in the moving averages of requests and work: the end of an overload shows after three.
const WORK_WEIGHT: f64 = 0.5;
/// Factor on the most work that servers ran, in each interval: half of it is forgotten after 14 s, so that lost servers do
/// not count for long.
const CAPACITY_DECAY: f64 = 0.99;
/// Quantile of a class's attempt times that estimates its work. Longer ones include waits.
const WORK_QUANTILE: f64 = 0.1;
/// Weight of the newest sample in the estimated work of an attempt: about four seconds, as services do not change
/// faster.
const ATTEMPT_WEIGHT: f64 = 0.05;
/// Assumed work of an attempt before there is a sample, in ms.
const DEFAULT_WORK: f64 = 10.0;
/// Weight of a relayed request that this host refuses for lack of capacity: the host that relayed it tries one more.
const REFUSED_RELAY: f64 = 0.5;
/// Lower bound of the admitted fraction that demand is estimated from, so that few samples do not give a huge demand.
const MIN_FRACTION: f64 = 0.05;
/// Shortest time by which a caller's remaining timeout shrinks if it was rejected and comes back. Equal to the shortest
/// retry-after that callers get.
const RETRY_TIME: clock::Millis = clock::Millis(20);
/// Bounds of the time over which retries of rejected callers are spread: from one interval, so that they do not return
/// before the threshold can have changed, to what callers with a timeout of some seconds can wait for.
const MIN_DRAIN: clock::Millis = clock::Millis(200);
const MAX_DRAIN: clock::Millis = clock::Millis(2000);

/// Mean of some queries' waits in ms, weighted by their number of shards.
#[derive(Clone, Copy, Debug, Default)]
struct Waits {
    sum: f64,
    weight: f64,
    count: u32,
}

impl Waits {
    fn record(&mut self, wait: f64, weight: f64) {
        self.sum += wait * weight;
        self.weight += weight;
        self.count += 1;
    }

    fn mean(self) -> f64 {
        if self.count == 0 { 0.0 } else { self.sum / self.weight }
    }
}

/// A set of servers that classes share.
#[derive(Debug)]
struct Set {
    name: CompactString,
    limit: clock::Millis,
    /// Waits for capacity of the queries that ended since `collected_since`.
    waits: Waits,
    collected_since: clock::Millis,
    /// The most work per second that servers ran recently.
    capacity: f64,
}

impl Set {
    fn is_over_limit(&self) -> bool {
        self.waits.mean() > self.limit.0 as f64
    }
}

/// A moving average per second, which is updated at the end of each interval.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    current: f64,
    mean: f64,
}

impl Mean {
    fn close_interval(&mut self, seconds: f64) {
        self.mean += WORK_WEIGHT * (std::mem::take(&mut self.current) / seconds - self.mean);
    }
}

/// The recent requests of a class.
#[derive(Debug, Default)]
struct Load {
    /// Requests of callers: all, beyond the share, of returning callers within it, and admitted within it.
    total: Mean,
    excess: Mean,
    returning: Mean,
    admitted: Mean,
    /// Requests that other hosts relayed to this one.
    relayed: Mean,
    /// Work that servers ran.
    ran: Mean,
    /// Estimated work of an attempt, in ms; 0 before there is a sample.
    attempt_work: f64,
    /// Number of attempts of a request.
    attempts: usize,
    admitted_count: u64,
    rejected_count: u64,
}

impl Load {
    fn close_interval(&mut self, seconds: f64) {
        let Self { total, excess, returning, admitted, relayed, ran, .. } = self;
        for mean in [total, excess, returning, admitted, relayed, ran] {
            mean.close_interval(seconds);
        }
    }

    fn rate(&self) -> urgency::Rate {
        urgency::Rate {
            total: self.total.mean as f32,
            excess: self.excess.mean as f32,
            returning: self.returning.mean as f32,
            admitted: self.admitted.mean as f32,
        }
    }

    /// Adds the demand of the class to that of its band. The hosts that relay requests to this one have rejected others;
    /// `mix` shows how many. Requests of callers count at the host that gathers them.
    fn add_demand(&self, band: usize, mix: Option<&urgency::Mix>, is_relaying: bool, demand: &mut urgency::Demand) {
        let work = self.attempt_work * self.attempts as f64;
        let admitted = mix.map_or(1.0, |mix| mix.admitted.max(MIN_FRACTION));
        let returning = mix.map_or(0.0, |mix| mix.returning);
        let relayed = self.relayed.mean / admitted;
        demand.new[band] += work * relayed * (1.0 - returning);
        demand.returning[band] += work * relayed * returning;
        if is_relaying {
            return;
        }
        demand.new[band] += work * (self.total.mean - self.excess.mean - self.returning.mean);
        demand.returning[band] += work * self.returning.mean;
        demand.new[urgency::BANDS - 1] += work * self.excess.mean;
    }
}

/// State of admission by urgency.
#[derive(Debug, Default)]
pub(super) struct Urgency {
    /// Distinguishes this core's requests from those of others in their hash.
    salt: u64,
    sets: Vec<Set>,
    /// The set of each class in the view.
    set_of: IndexMap<CompactString, usize>,
    loads: IndexMap<CompactString, Load>,
    states: Arc<IndexMap<CompactString, urgency::State>>,
    reported_at: clock::Millis,
}

impl Urgency {
    pub(super) fn new(salt: u64) -> Self {
        Self { salt, ..Self::default() }
    }

    fn state(&self, set: usize) -> Option<&urgency::State> {
        self.states.get(&self.sets.get(set)?.name)
    }

    /// Finds the sets of classes in `view`. Measurements of sets that keep their name are kept.
    fn refresh(&mut self, view: &view::View, latency_fraction: f64) {
        let mut before = std::mem::take(&mut self.sets);
        self.set_of.clear();
        for members in group(view) {
            let classes = || members.iter().filter_map(|&index| view.classes.get_index(index));
            let Some(name) = classes().map(|(_, class)| class.service.clone()).min() else {
                continue;
            };
            let target =
                |class: &view::Class| class.target_latency.unwrap_or_else(|| class.deadline.scale(latency_fraction));
            let urgent = classes().map(|(_, class)| (class.priority, target(class))).min();
            let limit = urgent.map_or(clock::Millis::MAX, |(_, target)| target.scale(urgency::WAIT_FRACTION));
            for (class, _) in classes() {
                self.set_of.insert(class.clone(), self.sets.len());
            }
            let known = before.iter().position(|set| set.name == name).map(|index| before.swap_remove(index));
            let set = known.unwrap_or(Set {
                name,
                limit,
                waits: Waits::default(),
                collected_since: clock::Millis::ZERO,
                capacity: 0.0,
            });
            self.sets.push(Set { limit, ..set });
        }
        self.loads.retain(|class, _| view.classes.contains_key(class));
    }

    /// The fraction of a class's requests that is within its caller group's share, where this core gets `part` of that of
    /// the host.
    fn share_fraction(&self, set: usize, class: &CompactString, part: f64) -> f64 {
        let share = self.state(set).and_then(|state| state.classes.get(class)?.share);
        let rate = self.loads.get(class).map_or(0.0, |load| load.total.mean);
        match share {
            Some(share) if rate > share * part => share * part / rate,
            _ => 1.0,
        }
    }
}

/// Groups the classes of a view, by index, that are connected by shared services.
fn group(view: &view::View) -> Vec<Vec<usize>> {
    let mut group_of: Vec<usize> = (0..view.classes.len()).collect();
    let mut first_user: IndexMap<id::Service, usize> = IndexMap::new();
    for (index, class) in view.classes.values().enumerate() {
        for target in class.branches.iter().flat_map(|branch| &branch.targets) {
            let user = *first_user.entry(target.service).or_insert(index);
            let (kept, merged) = (group_of[user], group_of[index]);
            if kept == merged {
                continue;
            }
            for group in &mut group_of {
                if *group == merged {
                    *group = kept;
                }
            }
        }
    }
    let mut groups: IndexMap<usize, Vec<usize>> = IndexMap::new();
    for (index, group) in group_of.into_iter().enumerate() {
        groups.entry(group).or_default().push(index);
    }
    groups.into_values().collect()
}

impl super::Core {
    /// Retry-after and reason, if a request of a caller is above the threshold. Counts the request.
    pub(super) fn urgency_refusal(
        &mut self,
        request: &event::Request,
        class_index: usize,
        class: &view::Class,
        branch: usize,
    ) -> Option<(clock::Millis, why::Why)> {
        let policy = self.policy.urgency?;
        let set = *self.urgency.set_of.get(&class.name)?;
        let load = self.urgency.loads.entry(class.name.clone()).or_default();
        load.attempts = class.branches.get(branch).map_or(0, |branch| branch.targets.len());
        if request.relayed.is_some() {
            // The host that received it has decided.
            load.relayed.current += REFUSED_RELAY;
            return None;
        }
        load.total.current += 1.0;
        let Some(state) = self.urgency.state(set) else {
            let load = self.urgency.loads.entry(class.name.clone()).or_default();
            load.admitted.current += 1.0;
            load.admitted_count += 1;
            return None;
        };
        let (threshold, wait, admission) = (state.threshold, state.wait, state.admission);
        let share = self.urgency.share_fraction(set, &class.name, 1.0 / f64::from(self.lane.count.max(1)));
        let is_excess = share < 1.0 && !self.random.random_bool(share);
        let is_returner = self.is_returner(class_index, request.timeout);
        let hash = xxh3::xxh3_64_with_seed(&request.caller.0.to_le_bytes(), self.urgency.salt);
        let level = urgency::Level::new(&urgency::Arrival { priority: class.priority, hash, is_returner, is_excess });
        let is_admitted = threshold.admits(level) || level.is_guaranteed(policy.floor.get() * admission);
        let load = self.urgency.loads.entry(class.name.clone()).or_default();
        if is_excess {
            load.excess.current += 1.0;
        } else {
            load.returning.current += f64::from(u8::from(is_returner));
            load.admitted.current += f64::from(u8::from(is_admitted));
        }
        if is_admitted {
            load.admitted_count += 1;
            return None;
        }
        load.rejected_count += 1;
        // The wait of what is admitted, and of what was rejected beside it.
        let drain = wait.scale(1.0 / admission.max(MIN_FRACTION)).clamp(MIN_DRAIN, MAX_DRAIN);
        let retry_after = RETRY_TIME + clock::Millis(self.random.random_range(0..=drain.0));
        Some((retry_after, why::Why::Urgency { level, threshold, drain }))
    }

    /// Completes the count of a request that another host relayed to this one, once it is not refused here.
    pub(super) fn count_relayed(&mut self, class: &CompactString) {
        if self.policy.urgency.is_some() {
            self.urgency.loads.entry(class.clone()).or_default().relayed.current += 1.0 - REFUSED_RELAY;
        }
    }

    /// Whether a caller's remaining timeout shows that it was rejected before.
    fn is_returner(&mut self, class_index: usize, timeout: Option<clock::Millis>) -> bool {
        let Some(timeout) = timeout else {
            return false;
        };
        let longest = self.classes[class_index].timeouts.record(self.now, timeout);
        longest.since(timeout) > RETRY_TIME
    }

    /// Updates the estimated work of an attempt of each class. The times of attempts include their wait in the queues of
    /// servers, so the estimate only falls while a wait for capacity is measured: a unit of work that grew with the
    /// wait would make a constant amount of work ever fewer requests.
    fn update_attempt_work(&mut self) {
        for (name, class) in &self.classes {
            let (Some(&set), Some(time)) = (self.urgency.set_of.get(name), class.attempt_times.quantile(WORK_QUANTILE))
            else {
                continue;
            };
            let is_waiting = self.urgency.state(set).is_some() || self.urgency.sets[set].is_over_limit();
            let load = self.urgency.loads.entry(name.clone()).or_default();
            let time = time.0.max(1) as f64;
            if load.attempt_work == 0.0 || time < load.attempt_work {
                load.attempt_work = time;
            } else if !is_waiting {
                load.attempt_work += ATTEMPT_WEIGHT * (time - load.attempt_work);
            }
        }
    }

    /// Estimated work of an attempt of a class, in ms.
    fn work_of_attempt(&self, class: &CompactString) -> f64 {
        let work = self.urgency.loads.get(class).map_or(0.0, |load| load.attempt_work);
        if work > 0.0 { work } else { DEFAULT_WORK }
    }

    /// Adds the time that a shard of a query waited at this host for capacity at a server.
    pub(super) fn add_wait(&mut self, query: id::Query, shard_index: u32, wait: clock::Millis) {
        let shard = self.queries.get_mut(query.0).and_then(|query| query.shards.get_mut(shard_index as usize));
        if let Some(shard) = shard {
            shard.waited = shard.waited + wait;
        }
    }

    /// Adds the part of an attempt's time that it spent in the queue of a server, estimated from the queue's length when
    /// it was answered.
    pub(super) fn add_server_wait(&mut self, attempt: &query::Attempt, took: clock::Millis, queue: Option<u32>) {
        let slots = f64::from(self.servers[attempt.server.index()].slots.max(1));
        let queue = f64::from(queue.unwrap_or_default());
        self.add_wait(attempt.query, attempt.shard_index, took.scale(queue / (queue + slots)));
    }

    /// Records how long a query that ends waited for capacity: in the queue of its class, and on average for its shards. A
    /// shard that still waits counts with its time so far. A host that relays requests of the class does not count those
    /// that it gathers itself for once: its few connections show nothing about the servers' capacity.
    pub(super) fn record_wait(&mut self, query: &query::Query) {
        let (Some(run), Some(_)) = (&query.run, self.policy.urgency) else {
            return;
        };
        let started = run.started();
        if query.selector().relay.is_some() || query.shards.is_empty() {
            return;
        }
        let Some(&set) = self.urgency.set_of.get(&query.selector().name) else {
            return;
        };
        let mut waits = Vec::with_capacity(query.shards.len());
        for shard in &query.shards {
            waits.push(if shard.is_waiting && shard.tries == 0 { self.now.since(started) } else { shard.waited });
        }
        let total: u64 = waits.iter().map(|wait| wait.0).sum();
        let wait = clock::Millis(total / waits.len() as u64) + started.since(query.arrived);
        let replies = query.shards.iter().filter(|shard| shard.has_reply()).count();
        let ran = replies as f64 * self.work_of_attempt(&query.selector().name);
        self.urgency.loads.entry(query.selector().name.clone()).or_default().ran.current += ran;
        self.urgency.sets[set].waits.record(wait.0 as f64, query.shards.len() as f64);
    }

    /// Sends the measurements to the control core, if an interval has passed and a set has a wait above its limit or a
    /// threshold in force.
    pub(super) fn report_urgency(&mut self) {
        let Some(policy) = self.policy.urgency else {
            return;
        };
        let elapsed = self.now.since(self.urgency.reported_at);
        if elapsed < policy.interval {
            return;
        }
        self.urgency.reported_at = self.now;
        let seconds = elapsed.0 as f64 / 1000.0;
        for load in self.urgency.loads.values_mut() {
            load.close_interval(seconds);
        }
        self.update_attempt_work();
        let mut samples = Vec::new();
        for index in 0..self.urgency.sets.len() {
            samples.extend(self.take_sample(index));
        }
        if !samples.is_empty() {
            let report = urgency::Report { lane: self.lane.index, policy, samples };
            self.outputs.push(event::Output::Urgency(report));
        }
    }

    /// Recent work per second that servers ran for the classes of a set.
    fn served(&self, index: usize) -> f64 {
        let loads = self.urgency.loads.iter().filter(|(class, _)| self.urgency.set_of.get(*class) == Some(&index));
        loads.map(|(_, load)| load.ran.mean).sum()
    }

    fn take_sample(&mut self, index: usize) -> Option<urgency::Sample> {
        let now = self.now;
        let is_in_force = self.urgency.state(index).is_some();
        let served = self.served(index);
        let set = &mut self.urgency.sets[index];
        let wait = set.waits.mean();
        let has_enough = set.waits.count >= MIN_WAITS;
        let waits = if has_enough { set.waits.count } else { 0 };
        if has_enough || now.since(set.collected_since) >= MAX_COLLECT {
            set.waits = Waits::default();
            set.collected_since = now;
        }
        set.capacity = (set.capacity * CAPACITY_DECAY).max(served);
        let capacity = set.capacity;
        let is_over = waits > 0 && wait > set.limit.0 as f64;
        if !is_over && !is_in_force {
            return None;
        }
        let (set, limit) = (set.name.clone(), set.limit);
        let mut demand = urgency::Demand::default();
        let mut rates = IndexMap::new();
        for (name, class) in &self.view.classes {
            if self.urgency.set_of.get(name) != Some(&index) {
                continue;
            }
            let Some(load) = self.urgency.loads.get(name) else {
                continue;
            };
            let priority = usize::from(class.priority).min(view::Class::PRIORITIES - 1);
            let mix = self.urgency.state(index).and_then(|state| state.classes.get(name));
            load.add_demand(priority, mix, class.relay.is_some(), &mut demand);
            rates.insert(name.clone(), load.rate());
        }
        Some(urgency::Sample { set, limit, wait, waits, demand, served, capacity, rates })
    }

    pub(super) fn on_urgency(&mut self, states: Arc<IndexMap<CompactString, urgency::State>>) {
        self.urgency.states = states;
    }

    /// Adapts to a new view: its sets of classes, and the order of what waits for capacity under its priorities.
    pub(super) fn refresh_urgency(&mut self) {
        if self.policy.urgency.is_none() {
            return;
        }
        let view = Arc::clone(&self.view);
        self.urgency.refresh(&view, self.policy.latency_target.get());
        for index in 0..self.servers.len() {
            let waiting = std::mem::take(&mut self.servers[index].waiting);
            for wait in waiting.into_iter().flatten() {
                let priority = self.wait_priority(wait);
                self.servers[index].waiting[priority].push_back(wait);
            }
        }
    }

    /// The priority that a waiting shard has in the view in force; in that of its query if the class is gone.
    fn wait_priority(&self, wait: server::Wait) -> usize {
        let Some(query) = self.queries.get(wait.query.0) else {
            return view::Class::PRIORITIES - 1;
        };
        let selector = query.selector();
        let class = self.view.classes.get(&selector.name).unwrap_or(selector);
        usize::from(class.priority).min(view::Class::PRIORITIES - 1)
    }

    /// Name, admitted and rejected requests of each class since the start, as decided by urgency.
    pub fn urgency_counts(&self) -> impl Iterator<Item = (&str, u64, u64)> {
        self.urgency.loads.iter().map(|(class, load)| (class.as_str(), load.admitted_count, load.rejected_count))
    }
}
