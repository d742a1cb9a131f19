//! Publication of this host's demand, and the gathering hosts that are in force on it.
//!
//! A host publishes its demand in its member record, with a new incarnation number whenever it changes, so digests
//! spread it like a change of state and repair what is lost. It also sends the record at once to the hosts that may hold
//! connections: with digests alone, the last of 300 hosts learns of a change after five seconds, later than shares grow.
//! Nothing is stored elsewhere: a host that restarts publishes the lowest demand until it has measured one.

use std::cmp;

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};

use crate::{
    clock,
    plan::{
        self,
        gatherers::{self, transition},
    },
};

use super::{Core, Output, Source, Standing, note, views};

/// Minimum time between two changes of the demand that a host publishes.
const MIN_PUBLISH_INTERVAL: clock::Millis = clock::Millis(2000);
/// The same for each member, so that the records that change in a second do not grow with the number of hosts. At this
/// interval at most 20 do, and each digest carries eight.
const PUBLISH_INTERVAL_PER_MEMBER: clock::Millis = clock::Millis(50);
/// Pause before the next check whether the demand is needed, where it was not.
const UNUSED_PAUSE: clock::Millis = clock::Millis(5000);
/// Minimum time between two choices if only demand changed. A choice sorts all members, and when load rises the demand
/// of most hosts changes within seconds.
const CHOICE_INTERVAL: clock::Millis = clock::Millis(500);

/// The demand at this host and the gathering hosts in force.
#[derive(Debug, Default)]
pub(super) struct Gatherers {
    /// The demand at each lane of this host.
    lanes: IndexMap<u32, gatherers::Demand>,
    /// The demand in this host's member record.
    pub(super) published: gatherers::Demand,
    published_at: clock::Millis,
    /// When to publish another demand.
    publish_at: Option<clock::Millis>,
    pub(super) transitions: transition::Transitions,
    chosen_at: clock::Millis,
    /// Whether the host whose digest was received last knows more members than this one.
    lacks_members: bool,
    /// When to choose again because demand changed.
    choose_at: Option<clock::Millis>,
}

impl Core {
    /// Publishes the lowest demand from the start, which tells other hosts that this one chooses by demand. Its
    /// incarnation number is above that of a host that has just started without a demand: if this host is replaced by one
    /// of the previous version, that one refutes this record.
    pub(super) fn publish_lowest_demand(&mut self) {
        if self.policy.gatherers.is_some() && matches!(self.reader.source, Source::Registry { .. }) {
            self.gatherers.published = gatherers::Demand::LOWEST;
            self.stats.demand = self.gatherers.published;
            self.incarnation = 1;
        }
    }

    pub(super) fn on_demand(&mut self, lane: u32, demand: gatherers::Demand) {
        if self.gatherers.published == gatherers::Demand::NONE {
            return;
        }
        self.gatherers.lanes.insert(lane, demand);
        if self.measured_demand() == self.gatherers.published {
            self.gatherers.publish_at = None;
            return;
        }
        let pause = clock::Millis(PUBLISH_INTERVAL_PER_MEMBER.0 * self.members.count() as u64);
        self.gatherers.publish_at = Some(self.gatherers.published_at + cmp::max(MIN_PUBLISH_INTERVAL, pause));
    }

    /// The step of the demand at all lanes together.
    fn measured_demand(&self) -> gatherers::Demand {
        let rate = self.gatherers.lanes.values().map(|demand| demand.per_second()).sum();
        self.gatherers.published.follow(rate)
    }

    /// Changes the demand in this host's member record if that is due.
    pub(super) fn publish_demand(&mut self) {
        if self.gatherers.publish_at.is_none_or(|at| at > self.now) {
            return;
        }
        if !self.needs_demand() {
            self.gatherers.publish_at = Some(self.now + UNUSED_PAUSE);
            return;
        }
        self.gatherers.publish_at = None;
        self.gatherers.published = self.measured_demand();
        self.gatherers.published_at = self.now;
        self.stats.demand = self.gatherers.published;
        self.incarnation += 1;
        self.notify_holders();
        self.schedule_choice();
    }

    /// Whether the demand affects the choice of gathering hosts: not where no more hosts qualify than the minimum.
    fn needs_demand(&self) -> bool {
        let min = self.policy.gatherers.map_or(0, |policy| policy.min as usize);
        let is_fixed = |gathering: &transition::Gathering| {
            gathering.reason == gatherers::Reason::AllNeeded && gathering.hosts.len() <= min
        };
        !self.gatherers.transitions.all().all(is_fixed)
    }

    /// Sends this host's record to the hosts that may hold connections to servers of gathers. Their number is bounded by
    /// the connections of a server, however many hosts there are.
    fn notify_holders(&mut self) {
        let holders: IndexSet<&CompactString> = self.gatherers.transitions.holders().collect();
        let peers = self.peers.values().filter(|host| holders.contains(&host.name));
        let addresses: Vec<CompactString> = peers.map(|host| host.peer.clone()).collect();
        for to in addresses {
            self.send_local_member(to);
        }
    }

    /// Schedules a choice of the gathering hosts after demand changed.
    pub(super) fn schedule_choice(&mut self) {
        if self.policy.gatherers.is_some() {
            self.gatherers.choose_at.get_or_insert(self.gatherers.chosen_at + CHOICE_INTERVAL);
        }
    }

    /// Chooses the gathering hosts if that is due, and compiles a view if this changes what is in force.
    pub(super) fn choose_if_due(&mut self) {
        let at = self.gatherers.choose_at.unwrap_or(clock::Millis::MAX).min(self.gatherers.transitions.next_timer());
        if at > self.now || self.view.is_none() {
            return;
        }
        let inputs = self.inputs();
        if self.choose_gatherers(&inputs) {
            self.schedule_compile(views::COMPILE_PAUSE);
        }
    }

    /// Chooses the gathering hosts. Returns whether this changed the hosts or the shares in force.
    pub(super) fn choose_gatherers(&mut self, inputs: &views::Inputs) -> bool {
        if self.policy.gatherers.is_none() {
            return false;
        }
        self.gatherers.choose_at = None;
        self.gatherers.chosen_at = self.now;
        let choices = plan::gathering_choices(self.parts(inputs), self.fleet(inputs));
        let is_settled = self.standing == Standing::Settled;
        let moment = transition::Moment {
            now: self.now,
            started_at: self.started_at,
            is_settled,
            has_all_members: !self.gatherers.lacks_members,
        };
        let is_first = self.gatherers.transitions.all().next().is_none();
        let changes = self.gatherers.transitions.update(moment, choices);
        if is_first {
            self.notify_holders();
        }
        self.stats.gatherer_changes += changes.sets.len() as u64;
        let counts = self.gatherers.transitions.all().map(|gathering| gathering.hosts.len() as u64);
        self.stats.gatherers = counts.max().unwrap_or_default();
        let has_changed = changes.has_share || !changes.sets.is_empty();
        // While the member list is incomplete, the hosts change with each message.
        for gathering in changes.sets.into_iter().filter(|_| is_settled) {
            self.outputs.push(Output::Note(note::Note::Gathering(gathering)));
        }
        has_changed
    }

    /// Records the number of members that another host knows.
    pub(super) fn record_known_members(&mut self, known: usize) {
        let lacks_members = known > self.members.count();
        if std::mem::replace(&mut self.gatherers.lacks_members, lacks_members) && !lacks_members {
            self.schedule_choice();
        }
    }

    /// When [`Core::publish_demand`] or [`Core::choose_if_due`] must run next.
    pub(super) fn gatherers_timer(&self) -> clock::Millis {
        let state = &self.gatherers;
        let due = state.publish_at.unwrap_or(clock::Millis::MAX);
        if self.view.is_none() {
            return due;
        }
        due.min(state.choose_at.unwrap_or(clock::Millis::MAX)).min(state.transitions.next_timer())
    }
}
