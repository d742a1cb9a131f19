//! The bytes that the process holds, counted by all of its threads in one [`bytes::Ledger`].
//!
//! The mutex is held for a few instructions at a time. Holders that are to be closed are notified, on whichever thread
//! they are, and free their bytes themselves; see [`Held::closer`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use shallothub_core::{bytes, clock};
use shallothub_settings::node;
use tokio::sync::Notify;

pub use shallothub_core::bytes::{Kind, Size};

use crate::metrics;

/// Bytes per unit of `memory.limit_mb`.
const MEGABYTE: u64 = 1_000_000;
/// Memory of the process without connections: 9.4 to 15.4 MB are resident before any load.
const PROCESS_SIZE: Size = Size(16_000_000);
/// Memory of a caller's connection: the tasks of the library and of the handler, the library's read buffer, and the
/// entries of the tables. An idle one that had a small answer takes 18.4 kB (`tests/platform/memory.rs`).
pub(crate) const CONNECTION_SIZE: Size = Size(24_000);
/// Maximum number of log lines about closed holders in [`LOG_WINDOW`].
const MAX_LOG_LINES: u32 = 10;
/// The window of that maximum.
const LOG_WINDOW: clock::Millis = clock::Millis(1000);

/// The bytes held by a process, for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// Bytes held, of all kinds.
    pub total: Size,
    /// Bytes held, by kind.
    pub kinds: IndexMap<CompactString, Size>,
    /// Bytes above which new requests are refused.
    pub mark: Size,
    /// Bytes above which holders are closed.
    pub limit: Size,
}

/// The ledger of a process; see the module.
#[derive(Debug)]
pub struct Memory {
    state: Mutex<State>,
    metrics: metrics::Metrics,
}

#[derive(Debug)]
struct State {
    ledger: bytes::Ledger,
    /// Notified to close a holder.
    closers: IndexMap<bytes::Holder, Arc<Notify>>,
    log: LogWindow,
}

/// Bounds the number of log lines about closed holders.
#[derive(Debug, Default)]
struct LogWindow {
    since: clock::Millis,
    lines: u32,
    suppressed: u64,
}

impl LogWindow {
    /// The number of lines that were suppressed before this one; `None` if this one is suppressed as well.
    fn next(&mut self, now: clock::Millis) -> Option<u64> {
        if now.since(self.since) >= LOG_WINDOW {
            self.since = now;
            self.lines = 0;
        }
        if self.lines >= MAX_LOG_LINES {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// What to report after the mutex is released.
struct Report {
    crossing: Option<(bytes::Crossing, Size)>,
    closures: Vec<(bytes::Closure, Option<u64>)>,
}

impl Memory {
    /// Creates the ledger for `bound`; `seed` spreads the callers that are refused.
    pub fn new(bound: node::Memory, seed: u64, metrics: metrics::Metrics) -> Arc<Self> {
        let limits = bytes::Limits::new(Size(u64::from(bound.limit_mb) * MEGABYTE), bound.mark);
        let mut ledger = bytes::Ledger::new(limits, seed);
        ledger.open(Kind::Connections, PROCESS_SIZE, clock::Millis::ZERO);
        let state = State { ledger, closers: IndexMap::new(), log: LogWindow::default() };
        Arc::new(Self { state: Mutex::new(state), metrics })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the ledger, then notifies the holders that are to be closed.
    fn update<T>(&self, now: clock::Millis, change: impl FnOnce(&mut State) -> T) -> T {
        let (result, report) = {
            let mut state = self.lock();
            let result = change(&mut state);
            (result, close_overdue(&mut state, now))
        };
        self.report(&report);
        result
    }

    fn report(&self, report: &Report) {
        match report.crossing {
            Some((bytes::Crossing::Above, total)) => {
                tracing::warn!(held = total.0, "more bytes are held than the mark; new requests are refused");
            }
            Some((bytes::Crossing::Below, total)) => {
                tracing::info!(held = total.0, "fewer bytes are held than the mark again");
            }
            None => {}
        }
        for (closure, suppressed) in &report.closures {
            let kind = closure.kind.as_str();
            self.metrics.held_closed.with_label_values(&[kind]).inc();
            if let Some(suppressed) = suppressed {
                let (bytes, stalled_ms) = (closure.size.0, closure.stalled_for.0);
                tracing::warn!(kind, bytes, stalled_ms, suppressed, "closed a holder of bytes to free memory");
            }
        }
    }

    /// Whether a new request may be read; see [`bytes::Ledger::decide`].
    pub(crate) fn decide(&self, priority: Option<u8>, announced: Size, now: clock::Millis) -> bytes::Decision {
        // Stalled bodies lose their place before a new request is refused for lack of it.
        self.update(now, |_| ());
        self.lock().ledger.decide(priority, announced)
    }

    /// Whether more is held than the mark.
    pub(crate) fn is_above_mark(&self) -> bool {
        self.lock().ledger.is_above_mark()
    }

    /// Closes what is due for it by time, and updates the gauges.
    pub(crate) fn tick(&self, now: clock::Millis) {
        self.update(now, |_| ());
        let state = self.lock();
        for kind in Kind::ALL {
            self.metrics.held_bytes.with_label_values(&[kind.as_str()]).set(state.ledger.held(kind).0 as i64);
        }
    }

    /// Counts and logs a holder that was closed for lack of progress alone.
    pub(crate) fn record_closure(&self, kind: Kind, size: Size, stalled_for: clock::Millis, now: clock::Millis) {
        self.metrics.held_closed.with_label_values(&[kind.as_str()]).inc();
        let suppressed = self.lock().log.next(now);
        if let Some(suppressed) = suppressed {
            let (kind, bytes, stalled_ms) = (kind.as_str(), size.0, stalled_for.0);
            tracing::warn!(kind, bytes, stalled_ms, suppressed, "closed a holder of bytes without progress");
        }
    }

    /// The bytes held, for operators.
    pub fn status(&self) -> Status {
        let state = self.lock();
        let limits = state.ledger.limits();
        let mut kinds = IndexMap::new();
        for kind in Kind::ALL {
            kinds.insert(CompactString::const_new(kind.as_str()), state.ledger.held(kind));
        }
        Status { total: state.ledger.total(), kinds, mark: limits.mark, limit: limits.limit }
    }
}

fn close_overdue(state: &mut State, now: clock::Millis) -> Report {
    let crossing = state.ledger.crossing().map(|crossing| (crossing, state.ledger.total()));
    let mut closures = Vec::new();
    if state.ledger.is_above_mark() {
        for closure in state.ledger.overdue(now) {
            if let Some(closer) = state.closers.get(&closure.holder) {
                closer.notify_one();
            }
            closures.push((closure, state.log.next(now)));
        }
    }
    Report { crossing, closures }
}

/// Bytes that are counted until this is dropped.
#[derive(Debug)]
pub(crate) struct Held {
    memory: Arc<Memory>,
    holder: bytes::Holder,
    closer: Arc<Notify>,
}

impl Held {
    /// Counts `size` bytes; `None` if no bound on memory is set.
    pub(crate) fn new(memory: Option<&Arc<Memory>>, kind: Kind, size: Size, now: clock::Millis) -> Option<Self> {
        let memory = Arc::clone(memory?);
        let closer = Arc::new(Notify::new());
        let holder = memory.update(now, |state| {
            let holder = state.ledger.open(kind, size, now);
            state.closers.insert(holder, Arc::clone(&closer));
            holder
        });
        Some(Self { memory, holder, closer })
    }

    /// Changes the size without progress of the caller.
    pub(crate) fn resize(&self, size: Size, now: clock::Millis) {
        self.memory.update(now, |state| state.ledger.resize(self.holder, size));
    }

    /// Changes the size after progress of the caller.
    pub(crate) fn advance(&self, size: Size, now: clock::Millis) {
        self.memory.update(now, |state| {
            state.ledger.progress(self.holder, now);
            state.ledger.resize(self.holder, size);
        });
    }

    /// Changes what the bytes are held for; `false` if the holder is to be closed.
    pub(crate) fn convert(&self, kind: Kind) -> bool {
        self.memory.lock().ledger.convert(self.holder, kind)
    }

    /// What is notified once when the holder is to be closed.
    pub(crate) fn closer(&self) -> Arc<Notify> {
        Arc::clone(&self.closer)
    }
}

/// Completes when `closer` is notified; never if there is none. Cancel-safe.
pub(crate) async fn notified(closer: Option<Arc<Notify>>) {
    match closer {
        Some(closer) => closer.notified().await,
        None => std::future::pending().await,
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.ledger.remove(self.holder);
        state.closers.swap_remove(&self.holder);
    }
}
