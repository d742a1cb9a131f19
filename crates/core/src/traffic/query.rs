//! A query in flight: its shards, their replies, and the replies grouped by snapshot.

use std::sync::Arc;

use compact_str::CompactString;

use crate::{clock, id, suspect, view};

use super::{class, event};

/// Number of servers remembered as tried for one shard; older ones may be tried again.
pub(crate) const MAX_TRIED: usize = 4;
/// Maximum number of live attempts of one shard: a first attempt and a hedge.
pub(crate) const MAX_LIVE: usize = 2;

/// A reply that may contribute to the answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reply {
    pub(crate) snapshot: view::Snapshot,
    pub(crate) attempt: id::Attempt,
    pub(crate) hits: u32,
}

/// State of one shard of a query.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Shard {
    /// The newest replies, of at most two snapshots.
    pub(crate) replies: [Option<Reply>; 2],
    pub(crate) live: [Option<id::Attempt>; MAX_LIVE],
    pub(crate) tried: [Option<id::Server>; MAX_TRIED],
    /// The tried servers that no attempt reached.
    pub(crate) unsent: [Option<id::Server>; MAX_TRIED],
    pub(crate) tries: u8,
    /// Number of times that the shard waited for the retry budget.
    pub(crate) budget_waits: u8,
    /// Whether tokens were spent on the next attempt.
    pub(crate) is_paid: bool,
    /// Whether the end of the backoff must take a budget token, or wait again.
    pub(crate) needs_budget: bool,
    /// Whether the shard waits for the plan of repeats to give it a token or to give it up.
    pub(crate) is_unplanned: bool,
    /// Whether a token was denied to it since its last attempt.
    pub(crate) is_denied: bool,
    /// Whether the shard waits for capacity at a server or for the end of a backoff.
    pub(crate) is_waiting: bool,
    pub(crate) is_failed: bool,
    /// Time that its attempts waited for capacity at servers, as far as it is known.
    pub(crate) waited: clock::Millis,
}

impl Shard {
    pub(crate) fn has_reply(&self) -> bool {
        self.replies[0].is_some()
    }

    pub(crate) fn reply_of(&self, snapshot: view::Snapshot) -> Option<Reply> {
        self.replies.iter().flatten().find(|reply| reply.snapshot == snapshot).copied()
    }

    pub(crate) fn live_count(&self) -> usize {
        self.live.iter().flatten().count()
    }

    pub(crate) fn is_pending(&self) -> bool {
        self.is_waiting || self.live_count() > 0
    }

    pub(crate) fn record_tried(&mut self, server: id::Server) {
        let slot = usize::from(self.tries) % MAX_TRIED;
        self.tried[slot] = Some(server);
        self.tries = self.tries.saturating_add(1);
    }

    pub(crate) fn was_tried(&self, server: id::Server) -> bool {
        self.tried.contains(&Some(server))
    }

    /// Number of distinct servers that an attempt may have reached.
    pub(crate) fn reached_servers(&self) -> usize {
        let mut count = 0;
        for (index, server) in self.tried.iter().enumerate() {
            let is_first = server.is_some() && !self.tried[..index].contains(server);
            count += usize::from(is_first && !self.unsent.contains(server));
        }
        count
    }

    /// Records that no byte of an attempt reached `server`.
    pub(crate) fn record_unsent(&mut self, server: id::Server) {
        self.unsent.rotate_right(1);
        self.unsent[0] = Some(server);
    }

    pub(crate) fn add_live(&mut self, attempt: id::Attempt) {
        for slot in &mut self.live {
            if slot.is_none() {
                *slot = Some(attempt);
                return;
            }
        }
    }

    pub(crate) fn remove_live(&mut self, attempt: id::Attempt) {
        for slot in &mut self.live {
            if *slot == Some(attempt) {
                *slot = None;
            }
        }
    }
}

/// The replies from one snapshot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Group {
    pub(crate) snapshot: view::Snapshot,
    pub(crate) shard_count: usize,
    pub(crate) hits: u32,
}

/// Whether a query is a trial of a suspected request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Trial {
    /// Not a trial.
    #[default]
    None,
    /// Waits for the control core to grant the trial.
    Requested,
    /// A granted trial.
    Granted,
}

/// A row of the query table.
#[derive(Debug)]
pub(crate) struct Query {
    pub(crate) caller: id::Caller,
    /// Index in the class table.
    pub(crate) class: usize,
    /// The view under which the query began, and the index of its selector there.
    pub(crate) view: Arc<view::View>,
    pub(crate) selector: usize,
    /// Index of the branch that it was routed to.
    pub(crate) branch: usize,
    pub(crate) key: Option<CompactString>,
    /// Fingerprint of the request; `None` if crashes are not tracked for it.
    pub(crate) fingerprint: Option<suspect::Fingerprint>,
    /// Identifies this attempt of the caller across all hosts.
    pub(crate) caller_attempt: u64,
    /// Whether it may be sent although its request is suspected.
    pub(crate) trial: Trial,
    /// Whether only its first shard is queried for now, since it may crash servers.
    pub(crate) is_canary: bool,
    pub(crate) arrived: clock::Millis,
    pub(crate) deadline: clock::Millis,
    /// Its place among the running queries of its class; `None` while it waits for one.
    pub(crate) run: Option<class::Run>,
    /// When an answer with the least coverage may be sent although shards are silent.
    pub(crate) settle_at: Option<clock::Millis>,
    /// Whether it is forwarded to another host.
    pub(crate) is_forwarded: bool,
    /// The host that answered it, if it was forwarded.
    pub(crate) via: Option<CompactString>,
    /// The attempt whose server ran it and failed; its reply is returned if there is nothing better.
    pub(crate) failure: Option<id::Attempt>,
    pub(crate) shards: Vec<Shard>,
    pub(crate) groups: Vec<Group>,
    pub(crate) want: Option<view::Snapshot>,
    pub(crate) failed_shards: usize,
    /// Number of shards that wait for the plan of repeats.
    pub(crate) unplanned: usize,
    /// Whether its first attempts are still being dispatched; until then it does not end for lack of pending shards.
    pub(crate) is_dispatching: bool,
    /// Index of the shard that was pending at the last check.
    pub(crate) pending_hint: usize,
    /// Whether any attempt may have run.
    pub(crate) may_have_run: bool,
    /// The attempt that was answered last: its shard, its server, and when it was sent.
    pub(crate) last_answer: Option<(u32, id::Server, clock::Millis)>,
    pub(crate) restarts: u8,
    pub(crate) seen_epoch: Option<u64>,
    pub(crate) cost: event::Cost,
}

impl Query {
    pub(crate) fn selector(&self) -> &view::Class {
        &self.view.classes[self.selector]
    }

    /// The shards that it queries.
    pub(crate) fn targets(&self) -> &[view::Target] {
        if self.is_forwarded {
            return self.selector().relay.as_slice();
        }
        self.selector().branches.get(self.branch).map_or(&[], |branch| &branch.targets)
    }

    /// The shape of its answer.
    pub(crate) fn shape(&self) -> view::Shape {
        if self.is_forwarded { view::Shape::Whole } else { self.selector().shape }
    }

    pub(crate) fn target(&self, shard_index: u32) -> &view::Target {
        &self.targets()[shard_index as usize]
    }

    /// The group with the most shards; the newest snapshot of equals.
    pub(crate) fn largest_group(&self) -> Option<Group> {
        self.groups.iter().max_by_key(|group| (group.shard_count, group.snapshot)).copied()
    }

    /// Whether any shard is pending. Starts at the shard that was pending last time, so that the cost per reply
    /// does not depend on the number of shards.
    pub(crate) fn is_pending(&mut self) -> bool {
        for _ in 0..self.shards.len() {
            if self.shards.get(self.pending_hint).is_some_and(Shard::is_pending) {
                return true;
            }
            self.pending_hint = (self.pending_hint + 1) % self.shards.len();
        }
        false
    }

    /// Adds a reply to the group of its snapshot; a shard counts once in each group.
    pub(crate) fn add_reply(&mut self, shard_index: usize, reply: Reply) {
        let shard = &mut self.shards[shard_index];
        if shard.reply_of(reply.snapshot).is_some() {
            return;
        }
        shard.replies.rotate_right(1);
        if let Some(old) = shard.replies[0].replace(reply) {
            self.remove_from_group(old);
        }
        for group in &mut self.groups {
            if group.snapshot != reply.snapshot {
                continue;
            }
            group.shard_count += 1;
            group.hits += reply.hits;
            return;
        }
        self.groups.push(Group { snapshot: reply.snapshot, shard_count: 1, hits: reply.hits });
    }

    fn remove_from_group(&mut self, old: Reply) {
        for group in &mut self.groups {
            if group.snapshot != old.snapshot {
                continue;
            }
            group.shard_count -= 1;
            group.hits -= old.hits;
        }
    }
}

/// A row of the attempt table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) query: id::Query,
    pub(crate) shard_index: u32,
    pub(crate) server: id::Server,
    pub(crate) sent: clock::Millis,
    pub(crate) kind: Kind,
    /// Index in the class table; the query may have ended before the attempt does.
    pub(crate) class: usize,
    /// Whether budget tokens were spent on it.
    pub(crate) is_paid: bool,
    /// Whether it forwards the request to another host.
    pub(crate) is_relay: bool,
}

/// Reason for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    First,
    Hedge,
    Retry,
}
