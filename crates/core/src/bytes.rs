//! Bytes that a host holds for others, and what it does when they become too many.
//!
//! Load pattern: many callers stall within their request bodies, or do not read their answers, while other callers
//! go on. The time limits of the node do not bound the sum: 1,230 callers that stall within 262,144 bytes hold
//! 322 MB for as long as a body may take, and a host of 160 MB is killed.
//!
//! [`Ledger`] counts by kind what is held. Up to the mark it decides nothing. Above it, new requests are refused before
//! their body is read, the largest and the least urgent first, and bodies and answers that stall lose their place: while
//! answers kept theirs, 487 callers that did not read took all the room, and no other caller was served. Above the limit
//! the holder that has made no progress for longest is closed. Nothing is reserved by announcement: a caller that
//! announces much and sends nothing takes no room from others.

use std::{collections::BTreeSet, fmt, num, ops, str};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs};
use serde::{Deserialize, Serialize};

use crate::{clock, view};

/// Time without progress after which a body or an answer is taken as stalled, just above the mark and at the limit. A
/// lost segment is sent again after 200 to 400 ms on most networks, so a caller that only lost one has not stalled. With
/// 500 ms up to the limit, 1,230 callers that did not read their answers left room for 82% of other requests.
pub const STALL_TIME: [clock::Millis; 2] = [clock::Millis(500), clock::Millis(100)];
/// Parts of the room between mark and limit that requests of each priority may use, the highest priority first.
/// Requests of unknown priority may use none. The rest is for bodies that were accepted below the mark and still grow.
const URGENT_PARTS: [f64; view::Class::PRIORITIES] = [0.9, 0.7, 0.5, 0.3];
/// Size of a body up to which a request may use the whole part of its priority; a larger one may use less in
/// proportion. With one bound for all sizes, 1,230 callers that stall within 262,144-byte bodies left room for 64% of
/// small requests.
const SMALL_BODY: Size = Size(4096);
/// Fraction of the limit that counted bytes may not use. The allocator keeps freed blocks, and a growing block exists
/// twice while it is copied. With 0.15, 1,230 callers that did not read their answers took 168 MB of 160 (while
/// the read buffers of connections to leaves were not bounded either).
const UNCOUNTED_FRACTION: f64 = 0.25;
/// Fraction of the mark below which it counts as no longer exceeded, so that the log does not show each byte around it.
const RELIEF_FRACTION: f64 = 0.95;
/// Rate from which on a caller counts as reading.
pub const MIN_READ_RATE: Rate = Rate(1000);
/// Upper bound of the time in which a caller may read without showing it: the usual receive buffer of 64 kB at
/// [`MIN_READ_RATE`]. A caller that stops after it took megabytes keeps its connection no longer than that.
const MAX_UNSEEN_TIME: clock::Millis = clock::Millis(65_000);
/// Minimum time after which a refused caller may return: what stalled then has lost its place by then.
const MIN_RETRY_AFTER: clock::Millis = STALL_TIME[0];
/// Time over which returning callers are spread just above the mark and at the limit.
const RETRY_SPREAD: [clock::Millis; 2] = [clock::Millis(1000), clock::Millis(5000)];

/// A number of bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Size(pub u64);

impl Size {
    /// No bytes.
    pub const ZERO: Self = Self(0);

    /// The size of `bytes` bytes.
    pub fn of(bytes: usize) -> Self {
        Self(bytes as u64)
    }

    fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }
}

impl ops::Add for Size {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl ops::Sub for Size {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

/// A number of bytes per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(pub u64);

impl Rate {
    /// The time that `size` takes.
    pub fn time_for(self, size: Size) -> clock::Millis {
        clock::Millis(size.0.saturating_mul(1000) / self.0.max(1))
    }
}

impl str::FromStr for Rate {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// How long an answer may make no progress while its caller reads at [`MIN_READ_RATE`].
///
/// TCP announces room only when a large part of the receive buffer is free, so a slow reader shows progress in steps, and
/// a step lasts at most as long as it takes to read the whole buffer. An answer begins with an empty buffer: what the
/// connection takes of it without a wait is at least the size of the buffer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Bytes that the connection took since the last wait.
    burst: Size,
    largest_burst: Size,
}

impl Progress {
    /// Records that the connection took `size` bytes, after a wait or at once.
    pub fn record(&mut self, size: Size, has_waited: bool) {
        self.burst = if has_waited { size } else { self.burst + size };
        self.largest_burst = self.largest_burst.max(self.burst);
    }

    /// The time without progress after which the caller has stopped reading, where `wait` is the one for a caller that
    /// has no receive buffer.
    pub fn stall_time(self, wait: clock::Millis) -> clock::Millis {
        wait + MIN_READ_RATE.time_for(self.largest_burst).min(MAX_UNSEEN_TIME)
    }
}

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The process itself and its connections, with the buffers of the libraries.
    Connections,
    /// Request bodies that are being read.
    Bodies,
    /// Complete request bodies, until the answer.
    Forwarded,
    /// Shard replies, until the answer goes out.
    Replies,
    /// Answers that the caller has not read.
    Answers,
    /// Messages from other hosts.
    Messages,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 6] =
        [Self::Connections, Self::Bodies, Self::Forwarded, Self::Replies, Self::Answers, Self::Messages];

    /// The name in logs, metrics and the status.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Bodies => "bodies",
            Self::Forwarded => "forwarded",
            Self::Replies => "replies",
            Self::Answers => "answers",
            Self::Messages => "messages",
        }
    }

    /// Whether its holders depend on the caller's progress, and may be closed for lack of it.
    fn is_closable(self) -> bool {
        matches!(self, Self::Bodies | Self::Answers)
    }
}

/// The thresholds of a [`Ledger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Counted bytes above which new requests are refused.
    pub mark: Size,
    /// Counted bytes above which holders are closed.
    pub limit: Size,
}

impl Limits {
    /// The thresholds for a process that may use `memory`, with the mark at this fraction of it.
    pub fn new(memory: Size, mark: f64) -> Self {
        let limit = memory.scale(1.0 - UNCOUNTED_FRACTION);
        Self { mark: memory.scale(mark).min(limit), limit }
    }
}

/// An entry of the [`Ledger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder(u64);

#[derive(Clone, Copy, Debug)]
struct Entry {
    kind: Kind,
    size: Size,
    progressed_at: clock::Millis,
    is_closing: bool,
}

/// A holder that is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closure {
    /// The holder.
    pub holder: Holder,
    /// What it holds bytes for.
    pub kind: Kind,
    /// The bytes that it holds.
    pub size: Size,
    /// Time since it last made progress.
    pub stalled_for: clock::Millis,
}

/// Whether a request may be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// There is room for it.
    Read,
    /// It is refused before its body is read.
    Refuse {
        /// Time after which the caller may return.
        retry_after: clock::Millis,
    },
}

/// A change of the state that the mark separates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crossing {
    /// More is held than the mark.
    Above,
    /// Less is held than the mark again.
    Below,
}

/// Counts the bytes that a process holds; see the module.
#[derive(Clone, Debug)]
pub struct Ledger {
    limits: Limits,
    entries: IndexMap<Holder, Entry>,
    /// Closable holders that are not closing, by the time of their last progress.
    order: BTreeSet<(clock::Millis, Holder)>,
    held: [Size; Kind::ALL.len()],
    /// The bytes of holders that are closing, which will soon be free.
    closing: Size,
    next: u64,
    is_above: bool,
    random: rngs::SmallRng,
}

impl Ledger {
    /// Creates an empty ledger. `seed` spreads the callers that are refused.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Self {
            limits,
            entries: IndexMap::new(),
            order: BTreeSet::new(),
            held: Default::default(),
            closing: Size::ZERO,
            next: 0,
            is_above: false,
            random: rngs::SmallRng::seed_from_u64(seed),
        }
    }

    /// The thresholds in force.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// The bytes held of a kind.
    pub fn held(&self, kind: Kind) -> Size {
        self.held[kind as usize]
    }

    /// The bytes held of all kinds.
    pub fn total(&self) -> Size {
        self.held.iter().fold(Size::ZERO, |sum, size| sum + *size)
    }

    /// The bytes that remain once the closing holders are gone.
    pub fn remaining(&self) -> Size {
        self.total() - self.closing
    }

    /// Whether more is held than the mark.
    pub fn is_above_mark(&self) -> bool {
        self.remaining() > self.limits.mark
    }

    /// How much of the room between mark and limit is used, from 0 to 1.
    fn fill(&self) -> f64 {
        let Limits { mark, limit } = self.limits;
        ((self.remaining() - mark).0 as f64 / (limit - mark).0.max(1) as f64).min(1.0)
    }

    /// Adds a holder.
    pub fn open(&mut self, kind: Kind, size: Size, now: clock::Millis) -> Holder {
        let holder = Holder(self.next);
        self.next += 1;
        self.entries.insert(holder, Entry { kind, size, progressed_at: now, is_closing: false });
        let held = &mut self.held[kind as usize];
        *held = *held + size;
        if kind.is_closable() {
            self.order.insert((now, holder));
        }
        holder
    }

    /// Changes the size of a holder; without effect if it was removed.
    pub fn resize(&mut self, holder: Holder, size: Size) {
        let Some(entry) = self.entries.get_mut(&holder) else {
            return;
        };
        let old = std::mem::replace(&mut entry.size, size);
        let held = &mut self.held[entry.kind as usize];
        *held = *held - old + size;
        if entry.is_closing {
            self.closing = self.closing - old + size;
        }
    }

    /// Notes that a holder's caller sent or read something.
    pub fn progress(&mut self, holder: Holder, now: clock::Millis) {
        let Some(entry) = self.entries.get_mut(&holder) else {
            return;
        };
        let since = std::mem::replace(&mut entry.progressed_at, now);
        if since != now && self.order.remove(&(since, holder)) {
            self.order.insert((now, holder));
        }
    }

    /// Changes what a holder holds its bytes for, such as a body that is now complete. Without effect on one that is
    /// closing; returns `false` then.
    pub fn convert(&mut self, holder: Holder, kind: Kind) -> bool {
        let Some(entry) = self.entries.get_mut(&holder).filter(|entry| !entry.is_closing) else {
            return false;
        };
        let (old, size, since) = (entry.kind, entry.size, entry.progressed_at);
        entry.kind = kind;
        self.held[old as usize] = self.held[old as usize] - size;
        self.held[kind as usize] = self.held[kind as usize] + size;
        self.order.remove(&(since, holder));
        if kind.is_closable() {
            self.order.insert((since, holder));
        }
        true
    }

    /// Removes a holder, whose bytes are free.
    pub fn remove(&mut self, holder: Holder) {
        let Some(entry) = self.entries.swap_remove(&holder) else {
            return;
        };
        self.held[entry.kind as usize] = self.held[entry.kind as usize] - entry.size;
        self.order.remove(&(entry.progressed_at, holder));
        if entry.is_closing {
            self.closing = self.closing - entry.size;
        }
    }

    /// Whether a new request may be read. `announced` is the size of its body, or the most that it may have. The
    /// priority is that of its class; `None` if no class is known.
    pub fn decide(&mut self, priority: Option<u8>, announced: Size) -> Decision {
        let remaining = self.remaining();
        let Limits { mark, limit } = self.limits;
        if remaining <= mark {
            return Decision::Read;
        }
        let part = priority.and_then(|priority| URGENT_PARTS.get(usize::from(priority))).copied().unwrap_or_default();
        let small = SMALL_BODY.0 as f64 / announced.max(SMALL_BODY).0 as f64;
        if remaining + announced <= mark + (limit - mark).scale(part * small) {
            return Decision::Read;
        }
        let spread = RETRY_SPREAD[0] + (RETRY_SPREAD[1] - RETRY_SPREAD[0]).scale(self.fill());
        let jitter = clock::Millis(self.random.random_range(0..=spread.0));
        Decision::Refuse { retry_after: MIN_RETRY_AFTER + jitter }
    }

    /// The holders to close now, which count as closing from then on. Above the limit these are the ones without
    /// progress for longest; above the mark, likewise but only those that stall.
    pub fn overdue(&mut self, now: clock::Millis) -> Vec<Closure> {
        let mut closures = Vec::new();
        while self.is_above_mark() {
            let Some(&(since, holder)) = self.order.first() else {
                break;
            };
            let stall_time = STALL_TIME[0] - (STALL_TIME[0] - STALL_TIME[1]).scale(self.fill());
            let is_stalled = now.since(since) >= stall_time;
            if !is_stalled && self.remaining() <= self.limits.limit {
                break;
            }
            self.mark_closing(now, since, holder, &mut closures);
        }
        closures
    }

    fn mark_closing(&mut self, now: clock::Millis, since: clock::Millis, holder: Holder, closures: &mut Vec<Closure>) {
        self.order.remove(&(since, holder));
        let Some(entry) = self.entries.get_mut(&holder) else {
            return;
        };
        entry.is_closing = true;
        self.closing = self.closing + entry.size;
        closures.push(Closure { holder, kind: entry.kind, size: entry.size, stalled_for: now.since(since) });
    }

    /// Whether the mark was crossed since the last call.
    pub fn crossing(&mut self) -> Option<Crossing> {
        let total = self.total();
        if !self.is_above && total > self.limits.mark {
            self.is_above = true;
            return Some(Crossing::Above);
        }
        if self.is_above && total < self.limits.mark.scale(RELIEF_FRACTION) {
            self.is_above = false;
            return Some(Crossing::Below);
        }
        None
    }
}
