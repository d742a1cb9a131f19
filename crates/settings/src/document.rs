//! The published documents: manifests, services, selectors and hosts.
//!
//! The key's second segment is the type of a part: `shallothub/services/...`,
//! `shallothub/selectors/...`, `shallothub/evacuations/...` or `shallothub/hosts/...`.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_saphyr::Spanned;
use shallothub_core::{catalog, clock, control, plan, ratio};

use crate::yaml;

/// The functions with which the control core parses documents.
pub const READER: control::Reader = control::Reader { source: control::Source::Documents, manifest, part };

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Services {
    entry_hosts_most: u32,
    services: Vec<Service>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Service {
    name: Spanned<CompactString>,
    #[serde(default)]
    epoch: u64,
    shards: Vec<CompactString>,
    servers: Vec<Server>,
    warm_up: Option<Spanned<WarmUp>>,
}

/// The load limit of each server of a service during warm-up.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WarmUp {
    span_ms: clock::Millis,
    requests_per_second: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Server {
    name: Spanned<CompactString>,
    shards: Vec<CompactString>,
    #[serde(default)]
    labels: plan::Labels,
    connections: u32,
    slots: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Selectors {
    selectors: Vec<Selector>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Selector {
    name: Spanned<CompactString>,
    service: CompactString,
    #[serde(default, rename = "match")]
    labels: plan::Labels,
    #[serde(default)]
    reach: plan::Reach,
    deadline_ms: clock::Millis,
    settle_ms: Option<clock::Millis>,
    least_coverage: ratio::Ratio,
    enough_hits: Option<u32>,
    idempotent: bool,
    #[serde(default)]
    hedge: bool,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    homes: Vec<CompactString>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Evacuations {
    data_centres: Vec<CompactString>,
}

/// A part of the list of hosts; the platform's stand-in serializes it too.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hosts {
    /// Entry hosts, on which nodes run.
    #[serde(default)]
    pub entry_hosts: Vec<plan::EntryHost>,
    /// Backend servers, on which shards are searched.
    #[serde(default)]
    pub backend_servers: Vec<plan::BackendServer>,
}

/// Parses a manifest, which must have a version above 0 and at least one part.
pub fn manifest(text: &str) -> Result<catalog::Manifest, Vec<plan::Fault>> {
    let manifest: catalog::Manifest = yaml::read("manifest", text)?;
    if manifest.version == 0 || manifest.parts.is_empty() {
        return Err(vec![plan::Fault {
            document: CompactString::const_new("manifest"),
            position: plan::Position { line: 1, column: 1 },
            problem: "the manifest has version 0 or no parts".to_owned(),
            remedy: "generate it again with `shallotctl manifest` and a higher version".to_owned(),
        }]);
    }
    Ok(manifest)
}

/// Parses the part that is published under `key`.
pub fn part(key: &str, text: &str) -> Result<plan::Part, Vec<plan::Fault>> {
    if text.len() > catalog::MAX_VALUE_BYTES {
        return Err(vec![too_large(key, text.len())]);
    }
    match key.split('/').nth(1) {
        Some("services") => services(key, text),
        Some("selectors") => selectors(key, text),
        Some("hosts") => hosts(key, text),
        Some("evacuations") => evacuations(key, text),
        _ => Err(vec![plan::Fault {
            document: CompactString::from(key),
            position: plan::Position::default(),
            problem: "the second segment of the key is not a known type of part".to_owned(),
            remedy: "name it shallothub/services/..., shallothub/selectors/..., shallothub/evacuations/... or \
                     shallothub/hosts/..."
                .to_owned(),
        }]),
    }
}

fn too_large(key: &str, bytes: usize) -> plan::Fault {
    plan::Fault {
        document: CompactString::from(key),
        position: plan::Position::default(),
        problem: format!("the value has {bytes} bytes; the platform's limit is {}", catalog::MAX_VALUE_BYTES),
        remedy: "cut it into several parts with keys of their own".to_owned(),
    }
}

fn services(key: &str, text: &str) -> Result<plan::Part, Vec<plan::Fault>> {
    let document: Services = yaml::read(key, text)?;
    let mut services = Vec::with_capacity(document.services.len());
    let mut faults = Vec::new();
    for service in document.services {
        let position = service.warm_up.as_ref().map(|warm_up| yaml::position_of(warm_up.referenced));
        let warm_up = service
            .warm_up
            .map(|warm_up| plan::WarmUp { duration: warm_up.value.span_ms, rate: warm_up.value.requests_per_second });
        if warm_up.is_some_and(|warm_up| !(warm_up.rate > 0.0 && warm_up.rate.is_finite())) {
            faults.push(plan::Fault {
                document: CompactString::from(key),
                position: position.unwrap_or_default(),
                problem: format!("the warm-up rate of `{}` is not a positive number", service.name.value),
                remedy: "set `requests_per_second` above 0, or remove `warm_up`".to_owned(),
            });
        }
        services.push(plan::Service {
            position: yaml::position_of(service.name.referenced),
            name: service.name.value,
            epoch: service.epoch,
            shards: service.shards,
            servers: service.servers.into_iter().map(server).collect(),
            warm_up,
        });
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    Ok(plan::Part::Services { entry_hosts_most: document.entry_hosts_most, services })
}

fn server(server: Server) -> plan::Server {
    plan::Server {
        position: yaml::position_of(server.name.referenced),
        name: server.name.value,
        shards: server.shards,
        labels: server.labels,
        connections: server.connections,
        slots: server.slots,
    }
}

fn selectors(key: &str, text: &str) -> Result<plan::Part, Vec<plan::Fault>> {
    let document: Selectors = yaml::read(key, text)?;
    let mut selectors = Vec::with_capacity(document.selectors.len());
    for selector in document.selectors {
        selectors.push(plan::Selector {
            position: yaml::position_of(selector.name.referenced),
            name: selector.name.value,
            service: selector.service,
            labels: selector.labels,
            reach: selector.reach,
            deadline: selector.deadline_ms,
            settle: selector.settle_ms,
            least_coverage: selector.least_coverage,
            enough_hits: selector.enough_hits,
            idempotent: selector.idempotent,
            hedge: selector.hedge,
            priority: selector.priority,
            homes: selector.homes,
        });
    }
    Ok(plan::Part::Selectors(selectors))
}

fn evacuations(key: &str, text: &str) -> Result<plan::Part, Vec<plan::Fault>> {
    let document: Evacuations = yaml::read(key, text)?;
    Ok(plan::Part::Evacuation(document.data_centres))
}

fn hosts(key: &str, text: &str) -> Result<plan::Part, Vec<plan::Fault>> {
    let document: Hosts = yaml::read(key, text)?;
    Ok(plan::Part::Hosts { entry_hosts: document.entry_hosts, backend_servers: document.backend_servers })
}
