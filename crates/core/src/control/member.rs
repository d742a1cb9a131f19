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
    name: CompactString,
    data_centre: CompactString,
    heard_at: clock::Millis,
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

    /// Takes what a digest says of `member`; `true` if it was not known.
    pub(super) fn hear(&mut self, now: clock::Millis, member: &message::Member) -> bool {
        let heard_at = now - member.age;
        if let Some(row) = self.rows.get_mut(&member.peer) {
            row.heard_at = row.heard_at.max(heard_at);
            return false;
        }
        let row = Row { name: member.name.clone(), data_centre: member.data_centre.clone(), heard_at };
        self.rows.insert(member.peer.clone(), row);
        true
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
                name: row.name.clone(),
                data_centre: row.data_centre.clone(),
                peer: peer.clone(),
                state: if is_quiet { plan::State::Leaving } else { plan::State::Live },
            });
        }
        hosts
    }

    /// Some members to name in a digest.
    pub(super) fn sample(&self, now: clock::Millis, random: &mut rngs::SmallRng) -> Vec<message::Member> {
        let first = if self.rows.is_empty() { 0 } else { random.random_range(0..self.rows.len()) };
        let mut members = Vec::new();
        for step in 0..self.rows.len().min(NAMED_MOST) {
            let Some((peer, row)) = self.rows.get_index((first + step) % self.rows.len()) else {
                continue;
            };
            members.push(message::Member {
                peer: peer.clone(),
                name: row.name.clone(),
                data_centre: row.data_centre.clone(),
                age: now.since(row.heard_at),
            });
        }
        members
    }
}
