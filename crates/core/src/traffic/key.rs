//! Deduplication of requests that are not idempotent, by request key.
//!
//! Guards against a caller that times out and retries with the same key, so that the request would be sent
//! twice. Within one traffic core the second request is refused while the first runs and for a window after it,
//! unless the first provably did not run. Across hosts the same key always goes to the same replica (see
//! [`crate::rendezvous`]), where the server refuses the duplicate.

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::clock;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Ran { until: clock::Millis },
}

/// Result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// The request may run.
    Granted,
    /// A request with this key is running, or ran within the window.
    Duplicate,
    /// The table is full, so the request could not be guaranteed to run at most once.
    Full,
}

/// Keys of running and finished requests, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Table {
    keys: IndexMap<CompactString, State>,
}

impl Table {
    /// Claims `key` for a request.
    pub(crate) fn claim(&mut self, key: &CompactString, now: clock::Millis, capacity: usize) -> Claim {
        if let Some(state) = self.keys.get(key) {
            match *state {
                State::Ran { until } if until <= now => {}
                _ => return Claim::Duplicate,
            }
        }
        if self.keys.len() >= capacity {
            self.keys.retain(|_, state| !matches!(state, State::Ran { until } if *until <= now));
        }
        if self.keys.len() >= capacity {
            return Claim::Full;
        }
        self.keys.insert(key.clone(), State::Running);
        Claim::Granted
    }

    /// Ends a claim: the key is kept until `until`, or removed at once if the request did not run.
    pub(crate) fn end(&mut self, key: &CompactString, until: Option<clock::Millis>) {
        match until {
            Some(until) => {
                self.keys.insert(key.clone(), State::Ran { until });
            }
            None => {
                self.keys.swap_remove(key);
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }
}
