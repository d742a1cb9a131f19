//! Memory of the keys of requests that are not idempotent.
//!
//! Failure it guards against: a caller times out, asks again with the same key, and the letter is
//! sent twice. Within one traffic core the second request is refused while the first runs and for a
//! window after it, unless the first provably did not run. Across hosts the same key is always sent
//! to the same replica (see [`crate::rendezvous`]), where the server refuses the duplicate.

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::clock;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Ran { until: clock::Millis },
}

/// Keys that run or ran, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    keys: IndexMap<CompactString, State>,
}

impl Memory {
    /// Claims `key`; `false` if it runs or ran within the window.
    pub(crate) fn claim(&mut self, key: &CompactString, now: clock::Millis, ceiling: usize) -> bool {
        if let Some(state) = self.keys.get(key) {
            match *state {
                State::Ran { until } if until <= now => {}
                _ => return false,
            }
        }
        if self.keys.len() >= ceiling {
            self.keys.retain(|_, state| !matches!(state, State::Ran { until } if *until <= now));
        }
        if self.keys.len() >= ceiling {
            return false;
        }
        self.keys.insert(key.clone(), State::Running);
        true
    }

    /// Ends a claim: remembered until `until`, or free again if the request did not run.
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
