//! The platform's configuration service, which supports reads and watches.
//!
//! `GET /v1/value/KEY` returns 200 with the value, or 404. `GET /v1/watch/KEY?after=VERSION&wait_ms=N`
//! returns as soon as the value is a manifest with another version than `after`, or after `N` ms with
//! the current value. Each call counts against the platform's budget; a pending watch counts as one.

use std::fmt;

/// A request path of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path<'k> {
    /// Read a value.
    Value {
        /// The key of the value.
        key: &'k str,
    },
    /// Watch a manifest.
    Watch {
        /// The key of the manifest.
        key: &'k str,
        /// The version that the client already has.
        after: u64,
        /// Maximum wait, in ms.
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
    /// Parses a path and query; `None` if the service has no such path.
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
