//! What published documents say, once parsed, and how they become a view.
//!
//! Acceptance is a pure function of the documents, so every host judges alike: [`check`] looks at
//! the parts together and lists every fault, and [`compile`] turns accepted parts into a
//! [`view::View`]. Parsing the YAML stands in the settings package.

use std::fmt;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{clock, ratio, view};

mod check;
mod compile;
pub mod owner;
mod relay;
mod routing;

pub use check::check;
pub use compile::{Fleet, compile};
pub use relay::Relay;
pub use routing::{Backing, Destination, Leaf, Route, Routing};

/// A place in a document, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Line.
    pub line: u64,
    /// Column.
    pub column: u64,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// A fault of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The document's key or file name.
    pub document: CompactString,
    /// Where.
    pub place: Place,
    /// What is wrong.
    pub problem: String,
    /// What would be right.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}; {}", self.document, self.place, self.problem, self.remedy)
    }
}

/// The region of each data centre.
pub type Regions = IndexMap<CompactString, CompactString>;

/// Labels of a server.
pub type Labels = IndexMap<CompactString, CompactString>;

/// A service: how its data is cut into shards, and the servers that hold them.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: CompactString,
    /// Partition epoch; raised when the data is cut anew.
    pub epoch: u64,
    /// Every shard of this cut.
    pub shards: Vec<CompactString>,
    /// Its servers (leaves).
    pub servers: Vec<Server>,
    /// What each of them bears while it warms up, if there is a bound.
    pub warm_up: Option<WarmUp>,
    /// Where it stands.
    pub place: Place,
}

/// What a server of a service bears while it warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// How long it takes to be warm.
    pub span: clock::Millis,
    /// Requests a second that it bears meanwhile, from all hosts together; above 0.
    pub rate: f64,
}

/// A backend server as operators describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Unique name, as in the list of hosts.
    pub name: CompactString,
    /// Shards of which it holds a replica.
    pub shards: Vec<CompactString>,
    /// Labels that selectors match.
    pub labels: Labels,
    /// Connections that it accepts in all.
    pub connections: u32,
    /// Queries that it runs at once.
    pub slots: u32,
    /// Where it stands.
    pub place: Place,
}

/// How many of the matching shards a request goes to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reach {
    /// Every shard.
    #[default]
    All,
    /// One server among all that match, such as for a letter.
    One,
}

/// A selector as operators write it.
#[derive(Clone, Debug, PartialEq)]
pub struct Selector {
    /// Unique name, by which callers ask.
    pub name: CompactString,
    /// The service.
    pub service: CompactString,
    /// Labels that a server must have.
    pub labels: Labels,
    /// All shards or one server.
    pub reach: Reach,
    /// Longest time to an answer.
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
    /// Where it stands.
    pub place: Place,
}

/// Whether a host takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    #[default]
    Live,
    /// It finishes what it has and goes.
    Leaving,
}

/// An entry host of the system, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryHost {
    /// Unique name.
    pub name: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// `IP:PORT` for other hosts.
    pub peer: CompactString,
    /// Live or leaving.
    #[serde(default)]
    pub state: State,
}

/// A backend server, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Unique name, as in the operators' documents.
    pub name: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// `IP:PORT` of its HTTP interface.
    pub address: CompactString,
    /// Live or leaving.
    #[serde(default)]
    pub state: State,
    /// Raised each time it starts anew.
    #[serde(default)]
    pub incarnation: u64,
    /// Whether it warms up.
    #[serde(default)]
    pub warming: bool,
}

/// One parsed part of a catalog.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Of the configuration.
    Services {
        /// Most entry hosts that may ever run at once, leaving ones included.
        entry_hosts_most: u32,
        /// The services.
        services: Vec<Service>,
    },
    /// Of the configuration.
    Selectors(Vec<Selector>),
    /// Of the list of hosts.
    Hosts {
        /// Entry hosts.
        entry_hosts: Vec<EntryHost>,
        /// Backend servers.
        backend_servers: Vec<BackendServer>,
    },
    /// Of the configuration: routes by host and path.
    Routing(Routing),
    /// Of the list of hosts: one server that registered itself.
    Leaf(Leaf),
    /// Data centres that operators have evacuated: their servers get no new work until this part is gone. With a
    /// registry it stands among the list of hosts, so that no host has the servers without the evacuations,
    /// and so that a configuration with faults does not keep it from hosts.
    Evacuation(Vec<CompactString>),
    /// Of the list of hosts: an entry that cannot be read. It is left out, and the rest counts: one
    /// server's broken entry must not keep news of all others from this host.
    Unreadable(Fault),
}

impl Part {
    /// The number that operators gave the configuration; `None` for other parts.
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

/// The shards that a selector reaches, each with the servers that match.
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

/// Why a server is not reached by a selector, for `shallotctl explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It is reached.
    Reached,
    /// A label differs; `LABEL=WANTED`.
    Label(CompactString),
    /// It is marked as leaving.
    Leaving,
    /// Its data centre is evacuated.
    Evacuated,
    /// The list of hosts does not have it.
    NotListed,
}

/// Whether `selector` reaches `server` in `view`, and why not.
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
