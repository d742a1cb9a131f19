//! Agreement of hosts on thresholds.
//!
//! Each host adjusts a threshold from its own measurements, sends it to a few random hosts in each interval while any
//! host rejects requests, and applies the median of its own and those of other hosts that are fresh. A host that measures nothing
//! itself, since it relays its requests, applies the median of the others. A single host with a wrong figure does not
//! move the median, and hosts that a partition separates expire from it.
//!
//! Updates contain the sender's record and some that it has received, so that the records of a few gathering hosts
//! reach hundreds of others within a second. They carry ages and no clock readings.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::clock;

use super::{Controller, Demand, Interval, Mix, Policy, Rate, Report, Sample, State, Threshold};

/// Number of hosts to which a record is sent in each interval. The records of a host reach 300 hosts in five intervals.
pub const FANOUT: usize = 3;
/// Maximum number of other hosts' records in an update. With the sender's own, an update of three classes fits one
/// Ethernet frame.
const MAX_FORWARDED: usize = 7;
/// Maximum number of other hosts' records that are kept. A median of as many is as good as that of all.
const MAX_RECORDS: usize = 64;
/// Maximum number of sets in a record, the ones with the lowest thresholds.
const MAX_SETS: usize = 8;
/// Age at which a record expires. Five intervals, so that a few lost messages do not remove a host from the median.
const MAX_AGE: clock::Millis = clock::Millis(1000);
/// Number of other hosts' votes that a host without measurements of its own waits for. With fewer, a single host with
/// a wrong figure would decide.
const MIN_VOTES: usize = 2;
/// Time after which a host without measurements applies fewer votes, since there may be no more gathering hosts.
const VOTES_WAIT: clock::Millis = clock::Millis(600);
/// Fraction of its distance to the median by which a host's own threshold approaches it in each interval. Bounds the
/// distance of a host that measures more or less than the others to a few steps.
const APPROACH: f64 = 0.2;
/// A caller group's share, relative to the median of the hosts. Hosts differ by less than this factor in what load
/// balancers send them.
const SHARE_FACTOR: f64 = 2.0;
/// Requests per second that are added to a share. The rates of hosts with a few requests a second vary by this much.
const SHARE_SLACK: f64 = 4.0;
/// Minimum number of hosts that report a class before its shares are enforced.
const MIN_SHARE_HOSTS: usize = 3;
/// Minimum time between two log lines about a set.
const LOG_INTERVAL: clock::Millis = clock::Millis(1000);

/// A host's threshold for one set of servers, and what it is based on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Vote {
    /// Name of the set.
    pub set: CompactString,
    /// The host's own threshold.
    pub threshold: Threshold,
    /// Number of measured waits in the last interval with enough of them; 0 if the host measures none, and its
    /// threshold does not count.
    pub waits: u32,
    /// Their mean.
    pub wait: clock::Millis,
    /// Mean fraction of the work of all classes that the host admits.
    pub admission: f32,
    /// Requests that callers send to the host, by class.
    pub rates: IndexMap<CompactString, Rate>,
}

/// The votes of one host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// Name of the host.
    pub host: CompactString,
    /// Increases with each record of the host since it started.
    pub sequence: u64,
    /// Time since it was made, without the time in transit.
    pub age: clock::Millis,
    /// Its votes.
    pub votes: Vec<Vote>,
}

/// A change to log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Name of the set.
    pub set: CompactString,
    /// The threshold in force.
    pub threshold: Threshold,
    /// The measured wait for capacity.
    pub wait: clock::Millis,
}

#[derive(Debug)]
struct Known {
    record: Record,
    made_at: clock::Millis,
}

#[derive(Debug, Default)]
struct Set {
    controller: Controller,
    applied: Threshold,
    admission: f64,
    limit: clock::Millis,
    /// The last sample of each traffic core, and when it arrived.
    lanes: IndexMap<u32, (Sample, clock::Millis)>,
    /// Sum and number of the waits since the last adjustment.
    wait_sum: f64,
    wait_count: u32,
    /// Number and mean of the last waits, and when they were measured.
    measured: Option<(u32, f64, clock::Millis)>,
    /// When a vote was first known.
    voted_at: Option<clock::Millis>,
}

impl Set {
    fn has_measured(&self, now: clock::Millis) -> bool {
        self.measured.is_some_and(|(.., at)| now.since(at) < MAX_AGE)
    }

    /// Closes the interval that ends now. Without new waits, the last measurement counts until it expires.
    fn take_wait(&mut self, now: clock::Millis) {
        if self.wait_count == 0 {
            return;
        }
        self.measured = Some((self.wait_count, self.wait_sum / f64::from(self.wait_count), now));
        (self.wait_sum, self.wait_count) = (0.0, 0);
    }

    /// Recent demand, work that servers ran, and the most of it in the last seconds.
    fn work(&self, now: clock::Millis) -> (Demand, f64, f64) {
        let mut demand = Demand::default();
        let (mut served, mut capacity) = (0.0, 0.0);
        for (sample, at) in self.lanes.values() {
            if now.since(*at) < MAX_AGE {
                demand.add(&sample.demand);
                served += sample.served;
                capacity += sample.capacity;
            }
        }
        (demand, served, capacity)
    }

    fn rates(&self, now: clock::Millis) -> IndexMap<CompactString, Rate> {
        let mut rates: IndexMap<CompactString, Rate> = IndexMap::new();
        for (sample, at) in self.lanes.values() {
            if now.since(*at) >= MAX_AGE {
                continue;
            }
            for (class, rate) in &sample.rates {
                rates.entry(class.clone()).or_default().add(rate);
            }
        }
        rates
    }

    fn vote(&self, name: &CompactString, now: clock::Millis) -> Vote {
        let (waits, wait) = match self.measured {
            Some((waits, wait, _)) if self.has_measured(now) => (waits, clock::Millis(wait as u64)),
            _ => (0, clock::Millis::ZERO),
        };
        Vote {
            set: name.clone(),
            threshold: self.controller.threshold(),
            waits,
            wait,
            admission: self.admission as f32,
            rates: self.rates(now),
        }
    }
}

/// One host's part of the agreement.
#[derive(Debug)]
pub struct Exchange {
    host: CompactString,
    policy: Policy,
    sets: IndexMap<CompactString, Set>,
    others: IndexMap<CompactString, Known>,
    sequence: u64,
    stepped_at: clock::Millis,
    published: Arc<IndexMap<CompactString, State>>,
    /// Whether the last logged threshold of a set rejects requests, and when that was logged.
    logged: IndexMap<CompactString, clock::Millis>,
    log_at: IndexMap<CompactString, clock::Millis>,
}

impl Exchange {
    /// The part of the host called `host`.
    pub fn new(host: CompactString) -> Self {
        Self {
            host,
            policy: Policy::default(),
            sets: IndexMap::new(),
            others: IndexMap::new(),
            sequence: 0,
            stepped_at: clock::Millis::ZERO,
            published: Arc::default(),
            logged: IndexMap::new(),
            log_at: IndexMap::new(),
        }
    }

    /// Takes the measurements of a traffic core.
    pub fn report(&mut self, now: clock::Millis, report: Report) {
        self.policy = report.policy;
        for sample in report.samples {
            let set = self.sets.entry(sample.set.clone()).or_default();
            set.limit = sample.limit;
            if sample.wait.is_finite() {
                set.wait_sum += sample.wait * f64::from(sample.waits);
                set.wait_count += sample.waits;
            }
            set.lanes.insert(report.lane, (sample, now));
        }
    }

    /// Takes the records of other hosts.
    pub fn merge(&mut self, now: clock::Millis, records: Vec<Record>) {
        for mut record in records {
            if record.host == self.host || record.age >= MAX_AGE {
                continue;
            }
            // A host that restarted begins again with low sequence numbers; its earlier record expires first.
            let known = self.others.get(&record.host).filter(|known| now.since(known.made_at) < MAX_AGE);
            if known.is_some_and(|known| known.record.sequence >= record.sequence) {
                continue;
            }
            record.votes.truncate(MAX_SETS);
            for vote in &mut record.votes {
                vote.threshold = Threshold::new(vote.threshold.get());
                vote.rates.retain(|_, rate| rate.is_valid());
                vote.admission = if vote.admission.is_finite() { vote.admission } else { 1.0 };
            }
            let made_at = now - record.age;
            self.others.insert(record.host.clone(), Known { record, made_at });
        }
        self.others.retain(|_, known| now.since(known.made_at) < MAX_AGE);
        while self.others.len() > MAX_RECORDS {
            let oldest = self.others.values().enumerate().min_by_key(|(_, known)| known.made_at);
            let Some((index, _)) = oldest else {
                break;
            };
            self.others.swap_remove_index(index);
        }
    }

    /// When [`Exchange::advance`] must run next.
    pub fn next_timer(&self) -> clock::Millis {
        if self.sets.is_empty() && self.others.is_empty() {
            return clock::Millis::MAX;
        }
        self.stepped_at + self.policy.interval
    }

    /// Adjusts the thresholds if an interval has passed. Returns `true` if the records must be sent and the states
    /// published.
    pub fn advance(&mut self, now: clock::Millis) -> bool {
        if now < self.next_timer() {
            return false;
        }
        self.stepped_at = now;
        self.others.retain(|_, known| now.since(known.made_at) < MAX_AGE);
        for known in self.others.values() {
            for vote in &known.record.votes {
                let is_rejecting = vote.waits > 0 && !vote.threshold.is_open();
                if is_rejecting && !self.sets.contains_key(&vote.set) {
                    self.sets.insert(vote.set.clone(), Set::default());
                }
            }
        }
        let mut states = IndexMap::new();
        let mut ended = Vec::new();
        for (name, set) in &mut self.sets {
            let votes = votes(&self.others, name);
            adjust(set, &votes, now, self.policy);
            let is_any_rejecting = votes.iter().any(|vote| vote.waits > 0 && !vote.threshold.is_open());
            let is_open = set.applied.is_open() && set.controller.threshold().is_open();
            if is_open && !set.controller.is_recovering() && !is_any_rejecting {
                ended.push(name.clone());
                continue;
            }
            let classes = classes(&set.rates(now), &votes);
            let own_wait = set.measured.filter(|_| set.has_measured(now)).map(|(_, wait, _)| wait as u64);
            let longest = votes.iter().map(|vote| vote.wait.0).max().unwrap_or_default();
            let wait = clock::Millis(own_wait.unwrap_or(longest));
            states.insert(name.clone(), State { threshold: set.applied, wait, admission: set.admission, classes });
        }
        for name in ended {
            self.sets.swap_remove(&name);
        }
        let had_states = !self.published.is_empty();
        self.published = Arc::new(states);
        had_states || !self.published.is_empty()
    }

    /// The thresholds in force; sets without one admit every request.
    pub fn states(&self) -> &Arc<IndexMap<CompactString, State>> {
        &self.published
    }

    /// The records to send to other hosts; empty if no host is known to reject requests.
    pub fn records(&mut self, now: clock::Millis) -> Vec<Record> {
        if self.published.is_empty() {
            return Vec::new();
        }
        self.sequence += 1;
        let mut votes: Vec<Vote> =
            self.published.keys().filter_map(|name| Some(self.sets.get(name)?.vote(name, now))).collect();
        votes.sort_by(|a, b| a.threshold.get().total_cmp(&b.threshold.get()));
        votes.truncate(MAX_SETS);
        let own = Record { host: self.host.clone(), sequence: self.sequence, age: clock::Millis::ZERO, votes };
        let mut records = vec![own];
        let mut known: Vec<&Known> = self.others.values().collect();
        known.sort_by_key(|known| {
            let has_measured = known.record.votes.iter().any(|vote| vote.waits > 0);
            (!has_measured, now.since(known.made_at))
        });
        for known in known.into_iter().take(MAX_FORWARDED) {
            records.push(Record { age: now.since(known.made_at), ..known.record.clone() });
        }
        records
    }

    /// Sets whose threshold has started or ceased to reject requests since this was last called. At most one change of
    /// a set is returned each second.
    pub fn take_changes(&mut self, now: clock::Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        let rejecting: Vec<(CompactString, Threshold, clock::Millis)> = self
            .published
            .iter()
            .filter(|(_, state)| !state.threshold.is_open())
            .map(|(name, state)| (name.clone(), state.threshold, state.wait))
            .collect();
        self.log_at.retain(|_, at| now.since(*at) < LOG_INTERVAL);
        for (set, threshold, wait) in &rejecting {
            if !self.logged.contains_key(set) && !self.log_at.contains_key(set) {
                self.logged.insert(set.clone(), now);
                self.log_at.insert(set.clone(), now);
                changes.push(Change { set: set.clone(), threshold: *threshold, wait: *wait });
            }
        }
        let ceased: Vec<CompactString> = self
            .logged
            .keys()
            .filter(|set| !rejecting.iter().any(|(name, ..)| name == *set) && !self.log_at.contains_key(*set))
            .cloned()
            .collect();
        for set in ceased {
            self.logged.swap_remove(&set);
            self.log_at.insert(set.clone(), now);
            changes.push(Change { set, threshold: Threshold::OPEN, wait: clock::Millis::ZERO });
        }
        changes
    }
}

fn votes<'a>(others: &'a IndexMap<CompactString, Known>, set: &CompactString) -> Vec<&'a Vote> {
    others.values().filter_map(|known| known.record.votes.iter().find(|vote| vote.set == *set)).collect()
}

fn adjust(set: &mut Set, votes: &[&Vote], now: clock::Millis, policy: Policy) {
    let counted: Vec<&&Vote> = votes.iter().filter(|vote| vote.waits > 0).collect();
    let mut thresholds: Vec<f64> = counted.iter().map(|vote| vote.threshold.get()).collect();
    set.take_wait(now);
    let own_wait = set.measured.filter(|_| set.has_measured(now)).map(|(_, wait, _)| wait);
    if own_wait.is_some() || thresholds.is_empty() {
        let mut waits: Vec<f64> = counted.iter().map(|vote| vote.wait.0 as f64).collect();
        waits.push(own_wait.unwrap_or_default());
        let wait = median(&mut waits).unwrap_or_default();
        let (demand, served, capacity) = set.work(now);
        set.voted_at = None;
        let interval = Interval { wait, limit: set.limit, demand, served, capacity };
        set.controller.step(&interval, policy.floor.get());
        thresholds.push(set.controller.threshold().get());
        set.applied = median(&mut thresholds).map(Threshold::new).unwrap_or_default();
        set.controller.approach(set.applied, &interval, policy.floor.get(), APPROACH);
        set.admission = demand.admission(set.applied, policy.floor.get());
        return;
    }
    let voted_at = *set.voted_at.get_or_insert(now);
    if thresholds.len() < MIN_VOTES && now.since(voted_at) < VOTES_WAIT {
        return;
    }
    set.applied = median(&mut thresholds).map(Threshold::new).unwrap_or_default();
    set.controller.follow(set.applied);
    let mut admissions: Vec<f64> = counted.iter().map(|vote| f64::from(vote.admission)).collect();
    set.admission = median(&mut admissions).unwrap_or(1.0).clamp(0.0, 1.0);
}

/// The median; of two middle ones the higher, so that no threshold rejects unless those of more than half of the hosts
/// do.
fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// What the rates of this host and of others show about each class.
fn classes(own: &IndexMap<CompactString, Rate>, votes: &[&Vote]) -> IndexMap<CompactString, Mix> {
    let mut rates: IndexMap<CompactString, Vec<Rate>> = IndexMap::new();
    for host in votes.iter().map(|vote| &vote.rates).chain([own]) {
        for (class, &rate) in host {
            rates.entry(class.clone()).or_default().push(rate);
        }
    }
    rates.into_iter().map(|(class, rates)| (class, mix(&rates))).collect()
}

fn mix(hosts: &[Rate]) -> Mix {
    let mut sum = Rate::default();
    let mut totals = Vec::new();
    for rate in hosts {
        sum.add(rate);
        // Hosts that no caller of the class uses have no share.
        if rate.total > 0.0 {
            totals.push(f64::from(rate.total));
        }
    }
    let has_share = totals.len() >= MIN_SHARE_HOSTS;
    let share = median(&mut totals).filter(|_| has_share).map(|median| median * SHARE_FACTOR + SHARE_SLACK);
    let within = f64::from(sum.total - sum.excess);
    let fraction = |part: f32, none: f64| if within > 0.0 { (f64::from(part) / within).clamp(0.0, 1.0) } else { none };
    Mix { share, admitted: fraction(sum.admitted, 1.0), returning: fraction(sum.returning, 0.0) }
}
