//! The other entry hosts, where nobody publishes them: hosts tell each other whom they heard of.
//!
//! A host knows its seeds from the settings, sends digests to a few random members each second, and
//! each digest names some members with the time since they were last heard. A member that is silent
//! for a while is no longer asked; it counts for the shares of limits much longer, because a host on
//! the other side of a partition goes on using its share.

use compact_str::CompactString;
use indexmap::IndexMap;
use rand::{Rng, rngs};

use crate::{clock, plan};

use super::message;

/// Members named in one digest besides the sender. With two digests a second from each host, news of
/// a host reaches a hundred others in some seconds.
const NAMED_MOST: usize = 12;

#[derive(Clone, Debug)]
struct Row {
    member: message::Member,
    heard_at: clock::Millis,
}

/// What a digest brought about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum News {
    /// Nothing that matters.
    None,
    /// It is new.
    Joined,
    /// It leaves, or is another machine now.
    Changed,
}

/// See the module.
#[derive(Debug, Default)]
pub(super) struct Members {
    rows: IndexMap<CompactString, Row>,
}

impl Members {
    /// Hosts known, this one included.
    pub(super) fn count(&self) -> usize {
        self.rows.len() + 1
    }

    /// Takes what a digest says of `member`.
    pub(super) fn hear(&mut self, now: clock::Millis, member: &message::Member) -> News {
        let heard_at = now - member.age;
        let Some(row) = self.rows.get_mut(&member.peer) else {
            self.rows.insert(member.peer.clone(), Row { member: member.clone(), heard_at });
            return News::Joined;
        };
        if heard_at <= row.heard_at {
            return News::None;
        }
        row.heard_at = heard_at;
        let is_changed = row.member.leaving != member.leaving || row.member.power != member.power;
        row.member = member.clone();
        if is_changed { News::Changed } else { News::None }
    }

    /// Forgets members that were silent for longer than `forget`; whether any was.
    pub(super) fn forget(&mut self, now: clock::Millis, forget: clock::Millis) -> bool {
        let before = self.rows.len();
        self.rows.retain(|_, row| now.since(row.heard_at) <= forget);
        self.rows.len() < before
    }

    /// Members as entry hosts; those that were silent for longer than `quiet` count as leaving.
    pub(super) fn hosts(&self, now: clock::Millis, quiet: clock::Millis) -> Vec<plan::EntryHost> {
        let mut hosts = Vec::new();
        for (peer, row) in &self.rows {
            let is_quiet = now.since(row.heard_at) > quiet;
            hosts.push(plan::EntryHost {
                name: row.member.name.clone(),
                data_centre: row.member.data_centre.clone(),
                peer: peer.clone(),
                state: if is_quiet { plan::State::Leaving } else { plan::State::Live },
            });
        }
        hosts
    }

    /// Members that take requests of other hosts.
    pub(super) fn relays(&self, now: clock::Millis, quiet: clock::Millis) -> Vec<plan::Relay> {
        let mut relays = Vec::new();
        for row in self.rows.values() {
            let member = &row.member;
            if member.relay.is_empty() {
                continue;
            }
            relays.push(plan::Relay {
                name: member.name.clone(),
                data_centre: member.data_centre.clone(),
                address: member.relay.clone(),
                power: member.power,
                is_open: !member.leaving && now.since(row.heard_at) <= quiet,
            });
        }
        relays
    }

    /// Some members to name in a digest.
    pub(super) fn sample(&self, now: clock::Millis, random: &mut rngs::SmallRng) -> Vec<message::Member> {
        let first = if self.rows.is_empty() { 0 } else { random.random_range(0..self.rows.len()) };
        let mut members = Vec::new();
        for step in 0..self.rows.len().min(NAMED_MOST) {
            let Some((peer, row)) = self.rows.get_index((first + step) % self.rows.len()) else {
                continue;
            };
            let age = now.since(row.heard_at);
            members.push(message::Member { peer: peer.clone(), age, ..row.member.clone() });
        }
        members
    }
}
