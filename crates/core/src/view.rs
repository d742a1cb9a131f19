//! The compiled form of an accepted configuration: request classes, routes and servers.
//!
//! A [`View`] is immutable and shared by pointer. It is compiled from published documents, which the
//! settings package parses. Servers have process-wide indexes from a [`Registry`], so state kept per
//! server (latency, connections) outlives the view.

use std::{fmt, str};

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{clock, evidence, id, ratio, revision, route, traffic::warm_up};

/// The identity of a configuration. Versions increase; if two documents are concurrently published under
/// one version, the digest orders them the same way on every host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The number that operators gave the document; 0 if it has none. Compared first, because a registry that was
    /// restored from a backup can hold an older document under a later version.
    #[serde(default)]
    pub number: u64,
    /// The manifest's version.
    pub version: u64,
    /// The manifest's digest, which breaks ties between equal versions.
    pub digest: u64,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.number > 0 {
            write!(f, "{}@", self.number)?;
        }
        write!(f, "{}-{:016x}", revision::Revision::from_version(self.version), self.digest)
    }
}

/// An error from parsing a [`Stamp`].
#[derive(Debug, Snafu)]
pub enum ParseStampError {
    /// There is no dash between version and digest.
    #[snafu(display("a stamp is VERSION-DIGEST or NUMBER@VERSION-DIGEST, such as 7-00000000000000ff"))]
    Shape,
    /// The number or the digest is not a valid integer.
    #[snafu(display("a stamp is VERSION-DIGEST or NUMBER@VERSION-DIGEST, such as 7-00000000000000ff"))]
    Number {
        /// The integer error.
        source: std::num::ParseIntError,
    },
    /// The version is not a valid revision.
    #[snafu(display("a stamp is VERSION-DIGEST or NUMBER@VERSION-DIGEST, such as 7-00000000000000ff"))]
    Version {
        /// The revision error.
        source: revision::ParseError,
    },
}

impl str::FromStr for Stamp {
    type Err = ParseStampError;

    fn from_str(text: &str) -> Result<Self, ParseStampError> {
        let (number, text) = text.split_once('@').unwrap_or(("0", text));
        let (version, digest) = text.split_once('-').context(ShapeSnafu)?;
        let version: revision::Revision = version.parse().context(VersionSnafu)?;
        Ok(Self {
            number: number.parse().context(NumberSnafu)?,
            version: version.version(),
            digest: u64::from_str_radix(digest, 16).context(NumberSnafu)?,
        })
    }
}

/// The index snapshot from which a reply was computed. Two replies may be merged into one answer only
/// if both fields are equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Partition epoch: incremented when the data is resharded.
    pub epoch: u64,
    /// Version of the index within the epoch.
    pub version: u64,
}

impl fmt::Display for Snapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.version)
    }
}

/// A backend server as published in this view.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name, unique in the fleet.
    pub name: CompactString,
    /// `IP:PORT` of its HTTP interface.
    pub address: CompactString,
    /// Incremented on each restart of the server.
    pub incarnation: u64,
    /// Its limit on connections from all hosts together.
    pub connections: u32,
    /// Queries that it runs concurrently.
    pub slots: u32,
    /// Whether it has been marked as leaving in this incarnation.
    pub leaving: bool,
    /// Whether operators have evacuated its data centre. Unlike a leaving mark, this follows the documents in force
    /// and can be revoked.
    pub evacuated: bool,
    /// The region of its data centre; empty if unknown.
    pub region: CompactString,
    /// Its distance class from this host.
    pub distance: Distance,
    /// This host's share of its connections; `None` for an equal share among all hosts.
    pub own_share: Option<u32>,
    /// Whether it is another entry host, to which this one relays requests.
    pub is_peer: bool,
    /// Its limits while it warms up; `None` if its service sets none.
    pub warm_up: Option<WarmUp>,
}

/// The limits of a server that warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// Whether it currently reports that it warms up.
    pub is_warming: bool,
    /// Duration of the warm-up.
    pub duration: clock::Millis,
    /// Limit on requests per second during the warm-up, from all hosts together.
    pub rate: f64,
    /// Its service, the key into [`View::senders`].
    pub service: id::Service,
}

/// The distance of a server from this host, for the choice among replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distance {
    /// In this host's data centre, or in an unknown one.
    #[default]
    Near,
    /// In another data centre.
    Far,
    /// Chosen only if no other replica is available.
    Last,
}

impl Server {
    /// Whether it may receive new work.
    pub fn is_open(&self) -> bool {
        !self.leaving && !self.evacuated
    }

    /// This host's share of the server's connections, if `hosts` entry hosts are published. The
    /// share depends on the published list, not on which hosts are reachable, so that the shares on
    /// both sides of a network partition never add up to more than the limit.
    pub fn share(&self, hosts: u32) -> u32 {
        self.own_share.unwrap_or(self.connections / hosts.max(1))
    }
}

/// A shard with the replicas that a class may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The shard's name.
    pub shard: CompactString,
    /// The service whose retry budget its hedges and retries spend.
    pub service: id::Service,
    /// Its matching replicas, including leaving ones.
    pub replicas: Vec<id::Server>,
}

/// One of the alternatives among which a class distributes its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Branch {
    /// Its share of the requests, relative to the sum of all weights.
    pub weight: f64,
    /// The shards, each of which receives the request.
    pub targets: Vec<Target>,
}

/// The composition of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// The hits of each shard, listed by shard.
    #[default]
    Hits,
    /// The greatest records of all shards, merged; see [`crate::merge`].
    Records {
        /// Maximum number of records.
        top: u32,
    },
    /// One server's answer, forwarded unchanged.
    Whole,
}

/// A compiled selector or route: the targets and limits of one kind of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name of the selector or route; requests refer to it.
    pub name: CompactString,
    /// The service of its targets; the first one if there are several.
    pub service: CompactString,
    /// The partition epoch for which the targets are valid; 0 for a route.
    pub epoch: u64,
    /// Maximum time to an answer.
    pub deadline: clock::Millis,
    /// Time within which an answer should arrive, measured from the caller's first attempt.
    pub target_latency: Option<clock::Millis>,
    /// Composition of an answer.
    pub shape: Shape,
    /// Maximum number of servers that a request is sent to for one shard; `None` for the policy's limit.
    pub max_servers: Option<u8>,
    /// Time after which an answer with at least `least_coverage` is sent without waiting for the missing shards.
    pub settle: Option<clock::Millis>,
    /// Minimum share of shards in an answer.
    pub least_coverage: ratio::Ratio,
    /// Number of hits at which an answer is sent before every shard has replied.
    pub enough_hits: Option<u32>,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Whether hedged attempts are allowed.
    pub hedge: bool,
    /// From 0, the highest, to [`Class::PRIORITIES`] - 1, the lowest.
    pub priority: u8,
    /// Regions in which its requests may be run and gathered; empty for any region.
    pub homes: Vec<CompactString>,
    /// Weighted alternatives; a request stays with the branch that it was first assigned to.
    pub branches: Vec<Branch>,
    /// Hosts to which this one relays requests of this class; `None` if it gathers them itself.
    pub relay: Option<Target>,
}

/// Whether `region` is one of `homes`; always true if `homes` is empty.
pub fn is_home(homes: &[CompactString], region: &str) -> bool {
    homes.is_empty() || homes.iter().any(|home| home == region)
}

impl Class {
    /// Whether its requests may be sent to a server in `region`. An unknown region is never a home.
    pub fn allows_region(&self, region: &str) -> bool {
        is_home(&self.homes, region)
    }

    /// The number of priority levels.
    pub const PRIORITIES: usize = 4;
}

/// One accepted configuration, compiled together with one host list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Identity of the configuration.
    pub stamp: Stamp,
    /// Identity of the host list.
    pub hosts_revision: Stamp,
    /// Number of published entry hosts, including leaving ones.
    pub hosts: u32,
    /// Compiled selectors by name.
    pub classes: IndexMap<CompactString, Class>,
    /// Routes by host and path.
    pub routes: route::Table,
    /// Limits on callers, if the configuration sets them.
    pub limits: Option<route::Limits>,
    /// The operators' number of the configuration, for logs; 0 if only the stamp identifies it.
    pub number: u64,
    /// This host's share of fleet-wide limits, from 0 to 1, by [`id::Service`]. Services that are not
    /// listed are shared equally by all hosts.
    pub limit_shares: IndexMap<id::Service, f64>,
    /// Servers by [`id::Server`]; `None` for a registered server that is no longer published.
    pub servers: Vec<Option<Server>>,
    /// Data centres whose servers get no new work until operators revoke the evacuation.
    pub evacuated: IndexSet<CompactString>,
    /// This host's name; empty if the view was compiled from documents alone.
    pub host: CompactString,
    /// Hosts that may send requests to servers that warm up, by service; equal on all hosts with the same membership
    /// list. Empty on a host whose membership list may be incomplete.
    pub senders: IndexMap<id::Service, Vec<CompactString>>,
    /// Permitted excess of all hosts together over the rate of [`WarmUp`] in one second.
    pub tolerance: Tolerance,
    /// How evidence about servers is exchanged between hosts; `None` if it is switched off or no shard has enough
    /// replicas.
    pub evidence: Option<evidence::Policy>,
}

/// Permitted excess of all hosts together over a limit in requests per second, in any one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Factor on the limit.
    pub overage: f64,
    /// Requests added to the scaled limit.
    pub slack: f64,
}

impl Default for Tolerance {
    /// Permits no excess.
    fn default() -> Self {
        Self { overage: 1.0, slack: 0.0 }
    }
}

impl View {
    /// The server of `id`, if this view publishes it.
    pub fn server(&self, id: id::Server) -> Option<&Server> {
        self.servers.get(id.index())?.as_ref()
    }

    /// The interval that this host leaves after each request to the server `name` while it warms up; `None` if this
    /// host may send it none.
    pub fn warm_up_pause(&self, name: &str, bound: &WarmUp) -> Option<clock::Millis> {
        let senders = self.senders.get(&bound.service)?;
        warm_up::pause(name, bound.rate, self.tolerance, &self.host, senders)
    }

    /// Whether `id` is published and may receive new work.
    pub fn is_open(&self, id: id::Server) -> bool {
        self.server(id).is_some_and(Server::is_open)
    }
}

/// Process-wide indexes of servers and services, and leaving marks, which outlive a document.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    servers: IndexSet<CompactString>,
    services: IndexSet<CompactString>,
    leaving: IndexSet<(id::Server, u64)>,
}

impl Registry {
    /// The index of the server `name`, which is stable for the lifetime of the process.
    pub fn intern(&mut self, name: &str) -> id::Server {
        let (index, _) = self.servers.insert_full(CompactString::from(name));
        id::Server(index as u32)
    }

    /// Whether the server `name` has ever been interned.
    pub fn contains(&self, name: &str) -> bool {
        self.servers.contains(name)
    }

    /// The index of the service `name`, which is stable for the lifetime of the process.
    pub fn intern_service(&mut self, name: &str) -> id::Service {
        let (index, _) = self.services.insert_full(CompactString::from(name));
        id::Service(index as u32)
    }

    /// The number of servers ever interned.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server has been interned yet.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Marks this incarnation of `id` as leaving. A stale host list may list it as live again later;
    /// the mark applies until the server restarts under a new incarnation.
    pub fn mark_leaving(&mut self, id: id::Server, incarnation: u64) {
        self.leaving.insert((id, incarnation));
    }

    /// Removes every mark; used only by a mutant.
    pub(crate) fn clear_marks(&mut self) {
        self.leaving.clear();
    }

    /// Whether this incarnation of `id` has been marked as leaving.
    pub fn is_leaving(&self, id: id::Server, incarnation: u64) -> bool {
        self.leaving.contains(&(id, incarnation))
    }
}
