//! The platform's configuration service, as the project meets it: it can be read and watched.
//!
//! `GET /v1/value/KEY` answers 200 with the value, or 404. `GET /v1/watch/KEY?after=VERSION&wait_ms=N`
//! answers as soon as the value is a manifest with another version than `after`, or after `N` ms with
//! the value as it is. Each call counts against the platform's budget, a waiting watch as one.

use std::fmt;

/// A path of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path<'k> {
    /// Read a value.
    Value {
        /// Its key.
        key: &'k str,
    },
    /// Watch a manifest.
    Watch {
        /// Its key.
        key: &'k str,
        /// The version that the reader has.
        after: u64,
        /// Longest wait, in ms.
        wait_ms: u64,
    },
}

impl fmt::Display for Path<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Value { key } => write!(f, "/v1/value/{key}"),
            Self::Watch { key, after, wait_ms } => write!(f, "/v1/watch/{key}?after={after}&wait_ms={wait_ms}"),
        }
    }
}

impl<'k> Path<'k> {
    /// Reads a path with its query; `None` if it is no path of the service.
    pub fn parse(text: &'k str) -> Option<Self> {
        if let Some(key) = text.strip_prefix("/v1/value/") {
            return Some(Self::Value { key });
        }
        let (key, query) = text.strip_prefix("/v1/watch/")?.split_once('?')?;
        let mut after = None;
        let mut wait_ms = None;
        for pair in query.split('&') {
            match pair.split_once('=') {
                Some(("after", value)) => after = value.parse().ok(),
                Some(("wait_ms", value)) => wait_ms = value.parse().ok(),
                _ => continue,
            }
        }
        Some(Self::Watch { key, after: after?, wait_ms: wait_ms? })
    }
}
