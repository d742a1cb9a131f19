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

/// What comes of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// The request may run.
    Granted,
    /// A request with this key runs, or ran within the window.
    Known,
    /// No more keys can be remembered, so running it could not be kept to once.
    Full,
}

/// Keys that run or ran, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    keys: IndexMap<CompactString, State>,
}

impl Memory {
    /// Claims `key` for a request.
    pub(crate) fn claim(&mut self, key: &CompactString, now: clock::Millis, ceiling: usize) -> Claim {
        if let Some(state) = self.keys.get(key) {
            match *state {
                State::Ran { until } if until <= now => {}
                _ => return Claim::Known,
            }
        }
        if self.keys.len() >= ceiling {
            self.keys.retain(|_, state| !matches!(state, State::Ran { until } if *until <= now));
        }
        if self.keys.len() >= ceiling {
            return Claim::Full;
        }
        self.keys.insert(key.clone(), State::Running);
        Claim::Granted
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
