//! Validation of a configuration as a whole.

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};

use crate::{clock, view};

use super::{Fault, Part, Position, Reach, Selector, Server, Service, routing, targets};

/// Validates the parts of one configuration together and returns all faults. `parts` are keyed by document.
pub fn check<'p>(parts: impl IntoIterator<Item = (&'p CompactString, &'p Part)>) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut services: IndexMap<&CompactString, &Service> = IndexMap::new();
    let mut servers: IndexSet<&CompactString> = IndexSet::new();
    let mut selectors = Vec::new();
    for (document, part) in parts {
        match part {
            Part::Services { services: configured, .. } => {
                for service in configured {
                    check_service(document, service, &mut servers, &mut faults);
                    if services.insert(&service.name, service).is_some() {
                        faults.push(duplicate(document, service.position, "service", &service.name));
                    }
                }
            }
            Part::Selectors(configured) => selectors.extend(configured.iter().map(|selector| (document, selector))),
            Part::Routing(routing) => routing::check(document, routing, &mut faults),
            Part::Evacuation(data_centres) => check_evacuation(document, data_centres, &mut faults),
            Part::Hosts { .. } | Part::Leaf(_) | Part::Unreadable(_) => {}
        }
    }
    let mut names = IndexSet::new();
    for (document, selector) in selectors {
        if !names.insert(&selector.name) {
            faults.push(duplicate(document, selector.position, "selector", &selector.name));
        }
        check_selector(document, selector, services.get(&selector.service).copied(), &mut faults);
    }
    faults
}

/// Does not check that the data centres exist: the configuration does not list them, and an unknown one has no effect.
fn check_evacuation(document: &CompactString, data_centres: &[CompactString], faults: &mut Vec<Fault>) {
    let mut names = IndexSet::new();
    for name in data_centres {
        let mut fault = |problem: String, remedy: &str| {
            let position = Position { line: 1, column: 1 };
            faults.push(Fault { document: document.clone(), position, problem, remedy: remedy.to_owned() });
        };
        if name.is_empty() {
            fault("an evacuated data centre has no name".to_owned(), "name it as in the list of hosts");
        }
        if !names.insert(name) {
            fault(format!("the data centre `{name}` is evacuated twice"), "name it once");
        }
    }
}

fn duplicate(document: &CompactString, position: Position, kind: &str, name: &str) -> Fault {
    Fault {
        document: document.clone(),
        position,
        problem: format!("the {kind} `{name}` is defined twice"),
        remedy: "keep one of the two, or give it another name".to_owned(),
    }
}

fn check_service<'p>(
    document: &CompactString,
    service: &'p Service,
    servers: &mut IndexSet<&'p CompactString>,
    faults: &mut Vec<Fault>,
) {
    let mut held_shards: IndexMap<&CompactString, bool> = IndexMap::new();
    for shard in &service.shards {
        if held_shards.insert(shard, false).is_some() {
            faults.push(Fault {
                document: document.clone(),
                position: service.position,
                problem: format!("shard `{shard}` of `{}` overlaps itself: it is listed twice", service.name),
                remedy: "list each shard once".to_owned(),
            });
        }
    }
    for server in &service.servers {
        if !servers.insert(&server.name) {
            faults.push(duplicate(document, server.position, "server", &server.name));
        }
        check_server(document, service, server, &mut held_shards, faults);
    }
    for (shard, is_held) in held_shards {
        if is_held {
            continue;
        }
        faults.push(Fault {
            document: document.clone(),
            position: service.position,
            problem: format!("no server holds shard `{shard}` of `{}`", service.name),
            remedy: "add it to a server's `shards`, or remove it from the service's".to_owned(),
        });
    }
}

fn check_server<'p>(
    document: &CompactString,
    service: &'p Service,
    server: &'p Server,
    held_shards: &mut IndexMap<&'p CompactString, bool>,
    faults: &mut Vec<Fault>,
) {
    let mut seen = IndexSet::new();
    for shard in &server.shards {
        if !seen.insert(shard) {
            faults.push(Fault {
                document: document.clone(),
                position: server.position,
                problem: format!("server `{}` holds shard `{shard}` twice", server.name),
                remedy: "list each shard once".to_owned(),
            });
        }
        let Some(is_held) = held_shards.get_mut(shard) else {
            faults.push(Fault {
                document: document.clone(),
                position: server.position,
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
            position: server.position,
            problem: format!("server `{}` accepts no connections or has no slots", server.name),
            remedy: "give `connections` and `slots` of at least 1".to_owned(),
        });
    }
}

fn check_selector(document: &CompactString, selector: &Selector, service: Option<&Service>, faults: &mut Vec<Fault>) {
    let mut fault = |problem: String, remedy: String| {
        faults.push(Fault { document: document.clone(), position: selector.position, problem, remedy });
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
        fault(format!("selector `{name}` has an invalid priority"), "use 0 (highest) to 3 (lowest)".to_owned());
    }
    if selector.homes.iter().any(CompactString::is_empty) {
        fault(
            format!("selector `{name}`: one of its homes has no name"),
            "name regions, or leave `homes` out".to_owned(),
        );
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
