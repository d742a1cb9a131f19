//! Identifiers of entities.
//!
//! A [`Server`] is an index that is stable for the lifetime of the process, so that connection counts
//! and latencies outlive a change of view. A [`Query`] and an [`Attempt`] are generational keys into a
//! [`crate::table::Table`], so that a late message for a removed entity is not matched.

use std::{fmt, str};

use serde::{Deserialize, Serialize};

use crate::table;

/// A backend server, as its index in [`crate::view::Registry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Server(pub u32);

impl Server {
    /// The index into arrays of servers.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

impl fmt::Display for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "server-{}", self.0)
    }
}

impl str::FromStr for Server {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_prefix("server-").unwrap_or(text).parse().map(Self)
    }
}

/// A service, as its index in [`crate::view::Registry`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Service(pub u32);

impl Service {
    /// Placeholder for other hosts as targets, to which the limits of services do not apply.
    pub const PEERS: Self = Self(u32::MAX);

    /// The index into arrays of services.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

impl fmt::Display for Service {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "service-{}", self.0)
    }
}

impl str::FromStr for Service {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_prefix("service-").unwrap_or(text).parse().map(Self)
    }
}

/// A query in flight in one traffic core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Query(pub table::Key);

/// One attempt to run a query at one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub table::Key);

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "q{}", self.0)
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a{}", self.0)
    }
}

/// Identifies a caller's request; assigned by the I/O layer and unique within its traffic thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);
