//! What one accepted configuration means: who can be asked for what.
//!
//! A [`View`] is immutable and shared by pointer. It is built from published documents by the
//! settings package. Servers carry process-wide indexes from a [`Registry`], so state kept about a
//! server (latency, connections) outlives the view.

use std::{fmt, str};

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{clock, id, ratio, revision, route, traffic::warm_up};

/// The identity of a configuration: versions rise, and the digest decides between two documents
/// that operators raced to publish under one version, alike on every host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The number that operators gave the document; 0 if it has none. Compared first, because a registry that was
    /// restored from a backup holds an older document under a later version.
    #[serde(default)]
    pub number: u64,
    /// The manifest's version.
    pub version: u64,
    /// The manifest's digest.
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

/// A text that is not a stamp.
#[derive(Debug, Snafu)]
pub enum ParseStampError {
    /// There is no dash between version and digest.
    #[snafu(display("a stamp is VERSION-DIGEST or NUMBER@VERSION-DIGEST, such as 7-00000000000000ff"))]
    Shape,
    /// One of the two numbers cannot be read.
    #[snafu(display("a stamp is VERSION-DIGEST or NUMBER@VERSION-DIGEST, such as 7-00000000000000ff"))]
    Number {
        /// What was wrong with it.
        source: std::num::ParseIntError,
    },
    /// The version cannot be read.
    #[snafu(display("a stamp is VERSION-DIGEST or NUMBER@VERSION-DIGEST, such as 7-00000000000000ff"))]
    Version {
        /// What was wrong with it.
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

/// The index snapshot from which a reply was computed. Two replies may share an answer only if
/// both fields are equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Partition epoch: how the data is cut into shards.
    pub epoch: u64,
    /// Index version.
    pub version: u64,
}

impl fmt::Display for Snapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.version)
    }
}

/// A backend server as this view knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Operator's name, unique in the fleet.
    pub name: CompactString,
    /// `IP:PORT` of its HTTP interface.
    pub address: CompactString,
    /// Raised each time the server starts anew.
    pub incarnation: u64,
    /// Connections that it accepts from all hosts together.
    pub connections: u32,
    /// Queries that it runs at once.
    pub slots: u32,
    /// Whether it was marked as leaving in this incarnation.
    pub leaving: bool,
    /// Whether operators have evacuated its data centre. Unlike a leaving mark this ends: what counts is what
    /// the documents in force say.
    pub evacuated: bool,
    /// The region of its data centre; empty if that is not known.
    pub region: CompactString,
    /// How far it is from this host.
    pub distance: Distance,
    /// This host's share of its connections, where it does not follow from the number of hosts.
    pub own_share: Option<u32>,
    /// Another entry host, which gathers for this one.
    pub is_peer: bool,
    /// What it bears while it warms up; `None` if its service gives no bound.
    pub warm_up: Option<WarmUp>,
}

/// What a server bears while it warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// Whether it says that it warms up.
    pub is_warming: bool,
    /// How long it takes to be warm.
    pub span: clock::Millis,
    /// Requests a second that it bears meanwhile, from all hosts together.
    pub rate: f64,
    /// Its service, which tells which hosts may send any; see [`View::senders`].
    pub service: id::Service,
}

/// How far a server is, for the choice among replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distance {
    /// In this host's data centre, or the documents do not say.
    #[default]
    Near,
    /// In another one.
    Far,
    /// Only when no other one will do.
    Last,
}

impl Server {
    /// Whether new work may go to it.
    pub fn is_open(&self) -> bool {
        !self.leaving && !self.evacuated
    }

    /// This host's share of the server's connections, if `hosts` entry hosts are published. The
    /// share follows the published list and never who is reachable, so the shares of both sides of
    /// a partition still add up to no more than the limit.
    pub fn share(&self, hosts: u32) -> u32 {
        self.own_share.unwrap_or(self.connections / hosts.max(1))
    }
}

/// A shard with the replicas that a selector may reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The shard's name.
    pub shard: CompactString,
    /// The service whose retry budget its extra attempts draw on.
    pub service: id::Service,
    /// Its replicas that match the selector, leaving ones included.
    pub replicas: Vec<id::Server>,
}

/// One of the alternatives among which a class distributes its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Branch {
    /// Its part of the requests, in proportion to the sum of all weights.
    pub weight: f64,
    /// The shards to ask, all of them.
    pub targets: Vec<Target>,
}

/// What an answer is made of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// The shards' hits, each under its shard's name.
    #[default]
    Hits,
    /// The greatest records of all shards, merged.
    Records {
        /// How many.
        top: u32,
    },
    /// One server's answer, handed on whole.
    Whole,
}

/// A compiled selector: a kind of request and what it may tolerate.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The selector's name, by which callers ask for it.
    pub name: CompactString,
    /// The service that it reaches.
    pub service: CompactString,
    /// The partition epoch in which the targets are valid.
    pub epoch: u64,
    /// Longest time to an answer.
    pub deadline: clock::Millis,
    /// Time within which an answer is worth most, counted from the caller's first attempt.
    pub aim: Option<clock::Millis>,
    /// What an answer is made of.
    pub shape: Shape,
    /// Most servers to which a request may be sent for one shard; `None` leaves it to the policy.
    pub servers_most: Option<u8>,
    /// When an answer with at least `least_coverage` may go out although shards are silent.
    pub settle: Option<clock::Millis>,
    /// Least share of shards for an answer.
    pub least_coverage: ratio::Ratio,
    /// Number of hits that is enough for an answer before every shard has replied.
    pub enough_hits: Option<u32>,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether a second replica may be asked while the first is silent.
    pub hedge: bool,
    /// 0 is served first, [`Class::PRIORITIES`] - 1 last.
    pub priority: u8,
    /// Regions in which its requests may be run and gathered; none if that may be anywhere.
    pub homes: Vec<CompactString>,
    /// The alternatives; a request goes to one of them and is never moved to another.
    pub branches: Vec<Branch>,
    /// Other hosts that gather requests of this class for this one, if it does not do so itself.
    pub relay: Option<Target>,
}

/// Whether `region` is one of `homes`; any is if there are none.
pub fn is_home(homes: &[CompactString], region: &str) -> bool {
    homes.is_empty() || homes.iter().any(|home| home == region)
}

impl Class {
    /// Whether its requests may go to a server in `region`. A region that is not known is no home.
    pub fn may_go_to(&self, region: &str) -> bool {
        is_home(&self.homes, region)
    }

    /// The number of priorities.
    pub const PRIORITIES: usize = 4;
}

/// One accepted configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Which configuration this is.
    pub stamp: Stamp,
    /// Which host list this is.
    pub hosts_revision: Stamp,
    /// Published entry hosts, leaving ones included.
    pub hosts: u32,
    /// Compiled selectors by name.
    pub classes: IndexMap<CompactString, Class>,
    /// Where requests that name a host and a path go.
    pub routes: route::Table,
    /// Bounds on what a caller may send, if the configuration gives them.
    pub limits: Option<route::Limits>,
    /// The configuration's own number, for logs; 0 if it has none besides the stamp.
    pub number: u64,
    /// This host's part of the bounds that all hosts keep together, by [`id::Service`], as a share;
    /// services that are not here are shared by all hosts alike.
    pub parts: IndexMap<id::Service, f64>,
    /// Servers by [`id::Server`]; `None` where a registered server is not published any more.
    pub servers: Vec<Option<Server>>,
    /// Data centres whose servers get no new work until operators take that back.
    pub evacuated: IndexSet<CompactString>,
    /// This host's name; empty if the documents do not need it.
    pub host: CompactString,
    /// Hosts that may send requests to servers that warm up, by service, alike on all hosts that know the same
    /// others. A host that may not have heard of all others has none here.
    pub senders: IndexMap<id::Service, Vec<CompactString>>,
    /// How far above the rate of [`WarmUp`] all hosts together may be in one second.
    pub tolerance: Tolerance,
}

/// How far above a bound in requests a second all hosts together may be in any one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Times the bound.
    pub overage: f64,
    /// Requests on top of that.
    pub slack: f64,
}

impl Default for Tolerance {
    /// Not at all.
    fn default() -> Self {
        Self { overage: 1.0, slack: 0.0 }
    }
}

impl View {
    /// The server of `id`, if this view publishes it.
    pub fn server(&self, id: id::Server) -> Option<&Server> {
        self.servers.get(id.index())?.as_ref()
    }

    /// The pause after each request of this host to the server called `name` while it warms up; `None` if this host
    /// may send it none.
    pub fn warm_up_pause(&self, name: &str, bound: &WarmUp) -> Option<clock::Millis> {
        let senders = self.senders.get(&bound.service)?;
        warm_up::pause(name, bound.rate, self.tolerance, &self.host, senders)
    }

    /// Whether new work may go to `id`.
    pub fn is_open(&self, id: id::Server) -> bool {
        self.server(id).is_some_and(Server::is_open)
    }
}

/// Process-wide indexes of servers, and the marks that must outlive a document.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    servers: IndexSet<CompactString>,
    services: IndexSet<CompactString>,
    leaving: IndexSet<(id::Server, u64)>,
}

impl Registry {
    /// The index of the server called `name`, the same for the life of the process.
    pub fn intern(&mut self, name: &str) -> id::Server {
        let (index, _) = self.servers.insert_full(CompactString::from(name));
        id::Server(index as u32)
    }

    /// Whether a server called `name` was ever seen.
    pub fn contains(&self, name: &str) -> bool {
        self.servers.contains(name)
    }

    /// The index of the service called `name`, the same for the life of the process.
    pub fn intern_service(&mut self, name: &str) -> id::Service {
        let (index, _) = self.services.insert_full(CompactString::from(name));
        id::Service(index as u32)
    }

    /// The number of servers ever seen.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server was seen yet.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Remembers that this incarnation of `id` is leaving. A lagging host list may show it as live
    /// again later; the mark stays until the server comes back under a new incarnation.
    pub fn mark_leaving(&mut self, id: id::Server, incarnation: u64) {
        self.leaving.insert((id, incarnation));
    }

    /// Forgets every mark; only a mutant does this.
    pub(crate) fn forget_marks(&mut self) {
        self.leaving.clear();
    }

    /// Whether this incarnation of `id` was ever marked as leaving.
    pub fn is_leaving(&self, id: id::Server, incarnation: u64) -> bool {
        self.leaving.contains(&(id, incarnation))
    }
}
