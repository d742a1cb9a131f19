//! What published documents say, once parsed, and how they become a view.
//!
//! Acceptance is a pure function of the documents, so every host judges alike: [`check`] looks at
//! the parts together and lists every fault, and [`compile`] turns accepted parts into a
//! [`view::View`]. Parsing the YAML stands in the settings package.

use std::fmt;

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{clock, mutant, ratio, view};

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

/// Labels of a server.
pub type Labels = IndexMap<CompactString, CompactString>;

/// A service: how its data is cut into shards, and the servers that hold them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Unique name.
    pub name: CompactString,
    /// Partition epoch; raised when the data is cut anew.
    pub epoch: u64,
    /// Every shard of this cut.
    pub shards: Vec<CompactString>,
    /// Its servers (leaves).
    pub servers: Vec<Server>,
    /// Where it stands.
    pub place: Place,
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
}

/// All faults of the parts of one configuration, looked at together. `parts` are keyed by document.
pub fn check<'p>(parts: impl IntoIterator<Item = (&'p CompactString, &'p Part)>) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut services: IndexMap<&CompactString, &Service> = IndexMap::new();
    let mut servers: IndexSet<&CompactString> = IndexSet::new();
    let mut selectors = Vec::new();
    for (document, part) in parts {
        match part {
            Part::Services { services: rows, .. } => {
                for service in rows {
                    check_service(document, service, &mut servers, &mut faults);
                    if services.insert(&service.name, service).is_some() {
                        faults.push(duplicate(document, service.place, "service", &service.name));
                    }
                }
            }
            Part::Selectors(rows) => selectors.extend(rows.iter().map(|row| (document, row))),
            Part::Hosts { .. } => {}
        }
    }
    let mut names = IndexSet::new();
    for (document, selector) in selectors {
        if !names.insert(&selector.name) {
            faults.push(duplicate(document, selector.place, "selector", &selector.name));
        }
        check_selector(document, selector, services.get(&selector.service).copied(), &mut faults);
    }
    faults
}

fn duplicate(document: &CompactString, place: Place, what: &str, name: &str) -> Fault {
    Fault {
        document: document.clone(),
        place,
        problem: format!("the {what} `{name}` is defined twice"),
        remedy: "keep one of the two, or give it another name".to_owned(),
    }
}

fn check_service<'p>(
    document: &CompactString,
    service: &'p Service,
    servers: &mut IndexSet<&'p CompactString>,
    faults: &mut Vec<Fault>,
) {
    let mut held: IndexMap<&CompactString, bool> = IndexMap::new();
    for shard in &service.shards {
        if held.insert(shard, false).is_some() {
            faults.push(Fault {
                document: document.clone(),
                place: service.place,
                problem: format!("shard `{shard}` of `{}` overlaps itself: it is listed twice", service.name),
                remedy: "list each shard once".to_owned(),
            });
        }
    }
    for server in &service.servers {
        if !servers.insert(&server.name) {
            faults.push(duplicate(document, server.place, "server", &server.name));
        }
        check_server(document, service, server, &mut held, faults);
    }
    for (shard, is_held) in held {
        if is_held {
            continue;
        }
        faults.push(Fault {
            document: document.clone(),
            place: service.place,
            problem: format!("no server holds shard `{shard}` of `{}`", service.name),
            remedy: "add it to a server's `shards`, or take it from the service's".to_owned(),
        });
    }
}

fn check_server<'p>(
    document: &CompactString,
    service: &'p Service,
    server: &'p Server,
    held: &mut IndexMap<&'p CompactString, bool>,
    faults: &mut Vec<Fault>,
) {
    let mut seen = IndexSet::new();
    for shard in &server.shards {
        if !seen.insert(shard) {
            faults.push(Fault {
                document: document.clone(),
                place: server.place,
                problem: format!("server `{}` holds shard `{shard}` twice", server.name),
                remedy: "list each shard once".to_owned(),
            });
        }
        let Some(is_held) = held.get_mut(shard) else {
            faults.push(Fault {
                document: document.clone(),
                place: server.place,
                problem: format!(
                    "server `{}` holds shard `{shard}`, which `{}` does not have",
                    server.name, service.name
                ),
                remedy: format!("use one of: {}", service.shards.join(", ")),
            });
            continue;
        };
        *is_held = true;
    }
    if server.connections == 0 || server.slots == 0 {
        faults.push(Fault {
            document: document.clone(),
            place: server.place,
            problem: format!("server `{}` accepts no connections or has no slots", server.name),
            remedy: "give `connections` and `slots` of at least 1".to_owned(),
        });
    }
}

fn check_selector(document: &CompactString, selector: &Selector, service: Option<&Service>, faults: &mut Vec<Fault>) {
    let mut fault = |problem: String, remedy: String| {
        faults.push(Fault { document: document.clone(), place: selector.place, problem, remedy });
    };
    let name = &selector.name;
    if selector.deadline == clock::Millis::ZERO {
        fault(format!("selector `{name}` gives no time"), "set `deadline_ms` above 0".to_owned());
    }
    if selector.settle.is_some_and(|settle| settle >= selector.deadline) {
        fault(
            format!("selector `{name}` settles after its deadline"),
            "set `settle_ms` below `deadline_ms`".to_owned(),
        );
    }
    if usize::from(selector.priority) >= view::Class::PRIORITIES {
        fault(format!("selector `{name}` has no such priority"), "use 0 (first) to 3 (last)".to_owned());
    }
    if selector.hedge && !selector.idempotent {
        fault(
            format!("selector `{name}` hedges requests that must run at most once"),
            "set `hedge: false`, or `idempotent: true` if running twice does no harm".to_owned(),
        );
    }
    if !selector.idempotent && selector.reach == Reach::All && service.is_some_and(|service| service.shards.len() > 1) {
        fault(format!("selector `{name}` runs at most once but reaches every shard"), "set `reach: one`".to_owned());
    }
    let Some(service) = service else {
        fault(
            format!("selector `{name}` names the unknown service `{}`", selector.service),
            "name a published service".to_owned(),
        );
        return;
    };
    if targets(selector, service).is_empty() {
        fault(
            format!("selector `{name}` matches no server of `{}`", selector.service),
            "change its `match` to labels that the servers have".to_owned(),
        );
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
        Some(_) => Reason::Reached,
    }
}

/// Builds the view of accepted parts. Leaving marks are added to `registry` and taken from it, so
/// that a mark once seen stays for that incarnation.
pub fn compile<'p>(
    stamps: [view::Stamp; 2],
    parts: impl IntoIterator<Item = &'p Part>,
    registry: &mut view::Registry,
) -> view::View {
    let mut most = 0;
    let mut entry_hosts = 0;
    let mut listed: IndexMap<&CompactString, &BackendServer> = IndexMap::new();
    let mut services = IndexMap::new();
    let mut selectors = Vec::new();
    for part in parts {
        match part {
            Part::Services { entry_hosts_most, services: rows } => {
                most = most.max(*entry_hosts_most);
                services.extend(rows.iter().map(|service: &Service| (&service.name, service)));
            }
            Part::Selectors(rows) => selectors.extend(rows),
            Part::Hosts { entry_hosts: hosts, backend_servers } => {
                entry_hosts += count_hosts(hosts);
                listed.extend(backend_servers.iter().map(|server| (&server.name, server)));
            }
        }
    }
    let mut view = view::View {
        stamp: stamps[0],
        hosts_revision: stamps[1],
        hosts: if mutant::is(mutant::Mutant::ShareByReach) { entry_hosts } else { most.max(entry_hosts) },
        ..view::View::default()
    };
    for server in services.values().flat_map(|service| &service.servers) {
        add_server(&mut view, server, listed.get(&server.name).copied(), registry);
    }
    for selector in selectors {
        let Some(service) = services.get(&selector.service) else {
            continue;
        };
        view.classes.insert(selector.name.clone(), class(selector, service, registry));
    }
    view
}

/// Entry hosts that may hold connections: leaving ones do until they are gone.
fn count_hosts(hosts: &[EntryHost]) -> u32 {
    let mut count = 0;
    for host in hosts {
        let is_gone = mutant::is(mutant::Mutant::ShareByReach) && host.state == State::Leaving;
        count += u32::from(!is_gone);
    }
    count
}

fn add_server(view: &mut view::View, server: &Server, listed: Option<&BackendServer>, registry: &mut view::Registry) {
    let id = registry.intern(&server.name);
    if view.servers.len() <= id.index() {
        view.servers.resize(id.index() + 1, None);
    }
    let Some(listed) = listed else {
        return;
    };
    let is_marked = listed.state == State::Leaving;
    if is_marked {
        registry.mark_leaving(id, listed.incarnation);
    }
    view.servers[id.index()] = Some(view::Server {
        name: server.name.clone(),
        address: listed.address.clone(),
        incarnation: listed.incarnation,
        connections: server.connections,
        slots: server.slots,
        leaving: is_marked || registry.is_leaving(id, listed.incarnation),
    });
}

fn class(selector: &Selector, service: &Service, registry: &mut view::Registry) -> view::Class {
    let mut compiled = Vec::new();
    for (shard, servers) in targets(selector, service) {
        let replicas = servers.iter().map(|server| registry.intern(&server.name)).collect();
        compiled.push(view::Target { shard, replicas });
    }
    view::Class {
        name: selector.name.clone(),
        service: selector.service.clone(),
        epoch: service.epoch,
        deadline: selector.deadline,
        settle: selector.settle,
        least_coverage: selector.least_coverage,
        enough_hits: selector.enough_hits,
        idempotent: selector.idempotent,
        hedge: selector.hedge,
        priority: selector.priority,
        targets: compiled,
    }
}
