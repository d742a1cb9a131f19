//! Parsed documents, their validation, and their compilation to a view.
//!
//! Acceptance is a pure function of the documents, so every host reaches the same decision: [`check()`]
//! validates the parts together and lists every fault, and [`compile()`] turns accepted parts into a
//! [`view::View`]. The settings package parses the YAML.

use std::fmt;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{clock, ratio, view};

mod check;
mod compile;
pub mod gatherers;
pub mod owner;
mod relay;
mod routing;

pub use check::check;
pub use compile::{Fleet, Gatherers, compile, gathering_choices};
pub use relay::Relay;
pub use routing::{Destination, Leaf, Route, Routing, Upstream};

/// A position in a document, counted from 1; 0:0 if unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Line number.
    pub line: u64,
    /// Column number.
    pub column: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// An error in a document, reported to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The document's key or file name.
    pub document: CompactString,
    /// Position of the fault in the document.
    pub position: Position,
    /// Description of the fault.
    pub problem: String,
    /// Suggested correction.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}; {}", self.document, self.position, self.problem, self.remedy)
    }
}

/// Regions by data centre.
pub type Regions = IndexMap<CompactString, CompactString>;

/// Labels of a server, or those that a selector requires, by key.
pub type Labels = IndexMap<CompactString, CompactString>;

/// A service: its shards and the servers that hold them.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: CompactString,
    /// Partition epoch; incremented when the data is resharded.
    pub epoch: u64,
    /// All shards of this epoch.
    pub shards: Vec<CompactString>,
    /// Its backend servers.
    pub servers: Vec<Server>,
    /// The limits of a server that warms up; `None` if there are none.
    pub warm_up: Option<WarmUp>,
    /// Its position in the document.
    pub position: Position,
}

/// The limits of a service's servers while they warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// Duration of the warm-up.
    pub duration: clock::Millis,
    /// Limit on requests per second to one server, from all hosts together; above 0.
    pub rate: f64,
}

/// A backend server as configured by operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Unique name, the same as in the host list.
    pub name: CompactString,
    /// Shards of which it holds a replica.
    pub shards: Vec<CompactString>,
    /// Labels for selectors to match.
    pub labels: Labels,
    /// Its limit on connections from all hosts together.
    pub connections: u32,
    /// Queries that it runs concurrently.
    pub slots: u32,
    /// Its position in the document.
    pub position: Position,
}

/// The number of matching shards that a request is sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reach {
    /// Every shard.
    #[default]
    All,
    /// One of all matching servers, such as for a letter.
    One,
}

/// A selector as configured by operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Selector {
    /// Unique name; requests refer to it.
    pub name: CompactString,
    /// Name of the service that it selects from.
    pub service: CompactString,
    /// Labels that a server must have to match.
    pub labels: Labels,
    /// Whether requests go to all shards or to one server.
    pub reach: Reach,
    /// Maximum time to an answer.
    pub deadline: clock::Millis,
    /// See [`view::Class::settle`].
    pub settle: Option<clock::Millis>,
    /// See [`view::Class::least_coverage`].
    pub least_coverage: ratio::Ratio,
    /// See [`view::Class::enough_hits`].
    pub enough_hits: Option<u32>,
    /// See [`view::Class::idempotent`].
    pub idempotent: bool,
    /// See [`view::Class::hedge`].
    pub hedge: bool,
    /// See [`view::Class::priority`].
    pub priority: u8,
    /// See [`view::Class::homes`].
    pub homes: Vec<CompactString>,
    /// Its position in the document.
    pub position: Position,
}

/// The lifecycle state of a listed host or server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepts new work.
    #[default]
    Live,
    /// Accepts no new work, and exits once its running work is done.
    Leaving,
}

/// An entry host, as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryHost {
    /// Unique name.
    pub name: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// `IP:PORT` at which other hosts connect to it.
    pub peer: CompactString,
    /// Live or leaving.
    #[serde(default)]
    pub state: State,
}

/// A backend server, as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Unique name, the same as in the operators' documents.
    pub name: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// `IP:PORT` of its HTTP interface.
    pub address: CompactString,
    /// Live or leaving.
    #[serde(default)]
    pub state: State,
    /// Incremented on each restart.
    #[serde(default)]
    pub incarnation: u64,
    /// Whether it reports that it warms up.
    #[serde(default)]
    pub warming: bool,
}

/// One parsed part of a catalog.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Services; part of the configuration.
    Services {
        /// Maximum number of entry hosts that run at the same time, including leaving ones.
        entry_hosts_most: u32,
        /// Services with their shards and servers.
        services: Vec<Service>,
    },
    /// Selectors; part of the configuration.
    Selectors(Vec<Selector>),
    /// Hosts and servers; part of the host list.
    Hosts {
        /// Entry hosts, live and leaving.
        entry_hosts: Vec<EntryHost>,
        /// Backend servers, live and leaving.
        backend_servers: Vec<BackendServer>,
    },
    /// Routes by host and path; part of the configuration.
    Routing(Routing),
    /// One server that registered itself; part of the host list.
    Leaf(Leaf),
    /// Data centres that operators have evacuated: their servers get no new work until this part is removed. With a
    /// registry it is part of the host list, so that no host has the servers without the evacuations, and so that
    /// faults in the configuration do not block it.
    Evacuation(Vec<CompactString>),
    /// An entry of the host list that cannot be parsed. It is skipped, so that one server's invalid entry does
    /// not block updates of all others.
    Unreadable(Fault),
}

impl Part {
    /// The operators' number of the configuration; `None` for parts other than routes.
    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Routing(routing) => Some(routing.number),
            _ => None,
        }
    }
}

fn matches(selector: &Selector, server: &Server) -> bool {
    selector.labels.iter().all(|(key, value)| server.labels.get(key) == Some(value))
}

/// The shards that a selector covers, each with the matching servers.
fn targets<'s>(selector: &Selector, service: &'s Service) -> Vec<(CompactString, Vec<&'s Server>)> {
    let matching = service.servers.iter().filter(|server| matches(selector, server));
    if selector.reach == Reach::One {
        let servers: Vec<_> = matching.collect();
        return if servers.is_empty() { Vec::new() } else { vec![(CompactString::const_new("any"), servers)] };
    }
    let mut shards: IndexMap<&CompactString, Vec<&Server>> = IndexMap::new();
    for shard in &service.shards {
        shards.insert(shard, Vec::new());
    }
    for server in matching {
        for shard in &server.shards {
            shards.entry(shard).or_default().push(server);
        }
    }
    if shards.values().all(Vec::is_empty) {
        return Vec::new();
    }
    shards.into_iter().map(|(shard, servers)| (shard.clone(), servers)).collect()
}

/// Whether a selector covers a server, or why not, for `shallotctl explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The selector covers it.
    Reached,
    /// A label differs; contains the required `KEY=VALUE`.
    Label(CompactString),
    /// It is marked as leaving.
    Leaving,
    /// Its data centre is evacuated.
    Evacuated,
    /// It is not in the host list.
    NotListed,
}

/// Whether `selector` covers `server` in `view`, or why not.
pub fn explain(selector: &Selector, server: &Server, registry: &mut view::Registry, view: &view::View) -> Reason {
    for (key, value) in &selector.labels {
        if server.labels.get(key) != Some(value) {
            return Reason::Label(compact_str::format_compact!("{key}={value}"));
        }
    }
    match view.server(registry.intern(&server.name)) {
        None => Reason::NotListed,
        Some(listed) if listed.leaving => Reason::Leaving,
        Some(listed) if listed.evacuated => Reason::Evacuated,
        Some(_) => Reason::Reached,
    }
}
