//! Changes of the gathering hosts, while other hosts may not know of them yet.
//!
//! Hosts learn of a change of members or demand within a few seconds, at different times, and each computes its share
//! from what it knows. A share shrinks at once and grows only [`GROWTH_DELAY`] after the change that allows it, so a
//! host that gets connections waits until those that lose them know. It does not grow while another host is silent: that
//! host may be on the other side of a network partition, where hosts see another demand. Nor does it grow while another
//! host knows more members, as when many hosts start at once.
//!
//! The set of gathering hosts follows when the shares of its new members have grown, and changes at most once in
//! [`MIN_INTERVAL`]. Gathering hosts that leave or are silent are replaced at once by hosts that qualify but were not
//! needed; these use the connections that they already have.

use std::collections::VecDeque;

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::{Demand, Reason};
use crate::clock;

/// Time from a change that lets a share grow until it grows. Hosts with connections learn of a change of demand from the
/// message of the host that changes it; if that is lost, digests bring it to 24 hosts within 2.1 s.
pub const GROWTH_DELAY: clock::Millis = clock::Millis(3000);
/// Minimum time between two changes of a set of gathering hosts. A host that is new in the set opens its connections in
/// the first second, which costs the servers; the interval keeps that a small part of the time.
pub const MIN_INTERVAL: clock::Millis = clock::Millis(5000);

/// Identifies a set of shards with the regions in which it may be gathered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key(pub u64);

/// The gathering hosts of a set of shards, as computed from what this host knows now.
#[derive(Clone, Debug, PartialEq)]
pub struct Fresh {
    /// The set of shards.
    pub key: Key,
    /// The set's name for logs.
    pub set: CompactString,
    /// Names of the gathering hosts.
    pub hosts: Vec<CompactString>,
    /// The demand of all hosts; `None` if a host publishes none.
    pub demand: Option<Demand>,
    /// What determined the number of hosts.
    pub reason: Reason,
    /// This host's share of limits.
    pub share: f64,
    /// The share that is one connection to each server.
    pub min_share: f64,
    /// Names of the hosts that may hold connections now or after another choice.
    pub holders: Vec<CompactString>,
    /// Whether one of them is silent or leaving.
    pub has_closed: bool,
}

/// The gathering hosts of a set of shards that are in force on this host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Gathering {
    /// The set's name.
    pub set: CompactString,
    /// Names of the gathering hosts.
    pub hosts: Vec<CompactString>,
    /// The demand of all hosts from which they were chosen; `None` if a host publishes none.
    pub demand: Option<Demand>,
    /// What determined the number of hosts.
    pub reason: Reason,
}

#[derive(Clone, Debug)]
struct State {
    in_force: Gathering,
    /// Whether they were chosen with a complete member list.
    is_settled: bool,
    changed_at: clock::Millis,
    /// The hosts that replace those in force, and since when they are the same.
    pending: Option<(Vec<CompactString>, clock::Millis)>,
    /// See [`Fresh::holders`].
    holders: Vec<CompactString>,
    /// The computed shares within the last [`GROWTH_DELAY`], each with the time from which it applied.
    shares: VecDeque<(clock::Millis, f64)>,
    share: f64,
}

/// What [`Transitions::update`] changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Sets of shards whose gathering hosts changed.
    pub sets: Vec<Gathering>,
    /// Whether a share of this host changed.
    pub has_share: bool,
}

/// The gathering hosts and the shares that are in force on this host, by set of shards.
#[derive(Clone, Debug, Default)]
pub struct Transitions {
    states: IndexMap<Key, State>,
}

/// When and how this host computed its choices.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// The current time.
    pub now: clock::Millis,
    /// When this host's process started. Other hosts may not know it for [`GROWTH_DELAY`] from then.
    pub started_at: clock::Millis,
    /// Whether it has joined the other hosts. Up to the first choice then, the set of gathering hosts follows each change
    /// at once.
    pub is_settled: bool,
    /// Whether no other host reports more members than this one knows.
    pub has_all_members: bool,
}

impl Transitions {
    /// Follows the choices of all sets of shards, as far as the rules for changes allow.
    pub fn update(&mut self, moment: Moment, choices: Vec<Fresh>) -> Changes {
        let mut changes = Changes::default();
        let keys: IndexSet<Key> = choices.iter().map(|fresh| fresh.key).collect();
        self.states.retain(|key, _| keys.contains(key));
        for fresh in choices {
            let state = self.states.entry(fresh.key).or_insert_with(|| State::new(moment, &fresh));
            changes.has_share |= state.update_share(moment, &fresh);
            if state.update_hosts(moment, fresh) {
                changes.sets.push(state.in_force.clone());
            }
        }
        changes
    }

    /// The names of the gathering hosts of a set of shards; `None` if it is unknown.
    pub fn hosts(&self, key: Key) -> Option<&[CompactString]> {
        self.states.get(&key).map(|state| state.in_force.hosts.as_slice())
    }

    /// This host's share of the limits of a set of shards; `None` if it is unknown.
    pub fn share(&self, key: Key) -> Option<f64> {
        self.states.get(&key).map(|state| state.share)
    }

    /// The gathering hosts of all sets of shards.
    pub fn all(&self) -> impl Iterator<Item = &Gathering> {
        self.states.values().map(|state| &state.in_force)
    }

    /// Names of the hosts that may hold connections, of all sets of shards.
    pub fn holders(&self) -> impl Iterator<Item = &CompactString> {
        self.states.values().flat_map(|state| &state.holders)
    }

    /// When [`Transitions::update`] must be called at the latest.
    pub fn next_timer(&self) -> clock::Millis {
        self.states.values().map(State::next_timer).min().unwrap_or(clock::Millis::MAX)
    }
}

impl State {
    fn new(moment: Moment, fresh: &Fresh) -> Self {
        // A host that started some time ago gets a new set of shards together with all others.
        let is_new_host = moment.now.since(moment.started_at) < GROWTH_DELAY;
        let share = if is_new_host { fresh.share.min(fresh.min_share) } else { fresh.share };
        Self {
            in_force: Gathering::default(),
            is_settled: false,
            changed_at: clock::Millis::ZERO,
            pending: None,
            holders: Vec::new(),
            shares: VecDeque::from([(moment.started_at, share)]),
            share,
        }
    }

    /// Whether the share changed.
    fn update_share(&mut self, moment: Moment, fresh: &Fresh) -> bool {
        let now = moment.now;
        let may_grow = moment.has_all_members && !fresh.has_closed;
        let target = if may_grow { fresh.share } else { fresh.share.min(self.share) };
        if self.shares.back().is_none_or(|(_, last)| *last != target) {
            self.shares.push_back((now, target));
        }
        while self.shares.get(1).is_some_and(|(since, _)| *since + GROWTH_DELAY <= now) {
            self.shares.pop_front();
        }
        let share = self.shares.iter().map(|(_, share)| *share).fold(target, f64::min);
        std::mem::replace(&mut self.share, share) != share
    }

    /// Whether the gathering hosts in force changed.
    fn update_hosts(&mut self, moment: Moment, fresh: Fresh) -> bool {
        let now = moment.now;
        self.holders = fresh.holders;
        let has_same_hosts = is_same(&self.in_force.hosts, &fresh.hosts);
        if has_same_hosts {
            self.pending = None;
        } else if !self.pending.as_ref().is_some_and(|(hosts, _)| is_same(hosts, &fresh.hosts)) {
            self.pending = Some((fresh.hosts.clone(), now));
        }
        let is_due = self.pending.is_some() && self.due_at() <= now;
        let is_changed = !has_same_hosts && (!self.is_settled || is_due);
        self.is_settled = moment.is_settled;
        if is_changed || has_same_hosts {
            self.in_force =
                Gathering { set: fresh.set, hosts: fresh.hosts, demand: fresh.demand, reason: fresh.reason };
        }
        if is_changed {
            self.pending = None;
            self.changed_at = now;
        }
        is_changed
    }

    /// When the pending hosts come into force.
    fn due_at(&self) -> clock::Millis {
        let since = self.pending.as_ref().map_or(clock::Millis::MAX, |(_, since)| *since);
        (since + GROWTH_DELAY).max(self.changed_at + MIN_INTERVAL)
    }

    fn next_timer(&self) -> clock::Millis {
        let growth = self.shares.get(1).map_or(clock::Millis::MAX, |(since, _)| *since + GROWTH_DELAY);
        growth.min(self.due_at())
    }
}

/// Whether two lists without duplicates have the same names.
fn is_same(left: &[CompactString], right: &[CompactString]) -> bool {
    left.len() == right.len() && left.iter().all(|name| right.contains(name))
}
