//! Simulation of many control cores with a fake platform and links, in virtual time: delay and cost
//! of propagating catalogs. Used by the propagation tests and the capacity bench.

use std::{cmp, collections::BinaryHeap, sync::Arc};

use compact_str::{CompactString, format_compact};
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng, rngs};
use shallothub_core::{catalog, clock, control, view};
use shallothub_settings::document;

const TICK: clock::Millis = clock::Millis(100);

enum Event {
    Tick(usize),
    Input(usize, control::Input),
}

pub struct Host {
    pub core: control::Core,
    pub up: bool,
    pub in_force: [view::Stamp; 2],
    pub in_force_at: [clock::Millis; 2],
    pub has_view: bool,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub reverts: u32,
}

struct Watch {
    host: usize,
    kind: catalog::Kind,
    after: u64,
    until: clock::Millis,
}

pub struct Mesh {
    pub now: clock::Millis,
    pub hosts: Vec<Host>,
    pub data_centres: usize,
    pub values: IndexMap<CompactString, Arc<str>>,
    pub platform_down: bool,
    /// Hosts that cannot reach the platform.
    pub cut_platform: IndexSet<usize>,
    /// Cut links, as (sender, receiver).
    pub cut_links: IndexSet<(usize, usize)>,
    pub reads: u64,
    pub watches: u64,
    /// Encoded size of a message in bytes; `None` if bytes are not counted.
    pub measure: Option<fn(&control::message::Message) -> usize>,
    versions: [u64; 2],
    pending_watches: Vec<Watch>,
    addresses: IndexMap<CompactString, usize>,
    random: rngs::SmallRng,
    heap: BinaryHeap<cmp::Reverse<(clock::Millis, u64)>>,
    events: IndexMap<u64, Event>,
    sequence: u64,
}

pub fn peer(host: usize) -> CompactString {
    format_compact!("10.{}.{}.{}:7000", host >> 16, (host >> 8) & 255, host & 255)
}

fn name(host: usize) -> CompactString {
    format_compact!("host-{host}")
}

impl Mesh {
    /// `count` hosts in `data_centres`, each started at a random time within the first tick.
    pub fn new(count: usize, data_centres: usize, policy: &control::Policy, seed: u64) -> Self {
        let mut hosts = Vec::new();
        let mut addresses = IndexMap::new();
        for host in 0..count {
            let identity = control::Identity {
                name: name(host),
                data_centre: format_compact!("dc-{}", host % data_centres),
                peer: peer(host),
                // The first three hosts of its data centre.
                seeds: (0..3).map(|step| peer((host % data_centres + step * data_centres) % count)).collect(),
                relay: CompactString::default(),
                regions: Default::default(),
                power: 0,
            };
            addresses.insert(peer(host), host);
            let core =
                control::Core::new(policy.clone(), identity, document::READER, seed ^ host as u64, clock::Millis(1));
            hosts.push(Host {
                core,
                up: true,
                in_force: Default::default(),
                in_force_at: Default::default(),
                has_view: false,
                sent_bytes: 0,
                received_bytes: 0,
                reverts: 0,
            });
        }
        let mut mesh = Self {
            now: clock::Millis(1),
            hosts,
            data_centres,
            values: IndexMap::new(),
            platform_down: false,
            cut_platform: IndexSet::new(),
            cut_links: IndexSet::new(),
            reads: 0,
            watches: 0,
            measure: None,
            versions: [0; 2],
            pending_watches: Vec::new(),
            addresses,
            random: rngs::SmallRng::seed_from_u64(seed),
            heap: BinaryHeap::new(),
            events: IndexMap::new(),
            sequence: 0,
        };
        mesh.publish_config(1);
        mesh.publish_hosts(&[]);
        for host in 0..count {
            mesh.after(0, 100, Event::Tick(host));
        }
        mesh
    }

    fn at(&mut self, at: clock::Millis, scheduled: Event) {
        self.sequence += 1;
        self.heap.push(cmp::Reverse((at, self.sequence)));
        self.events.insert(self.sequence, scheduled);
    }

    fn after(&mut self, min_ms: u64, max_ms: u64, scheduled: Event) {
        let delay = self.random.random_range(min_ms..=max_ms);
        self.at(self.now + clock::Millis(delay), scheduled);
    }

    pub fn run(&mut self, span: u64) {
        let until = self.now + clock::Millis(span);
        while let Some(&cmp::Reverse((at, sequence))) = self.heap.peek() {
            if at > until {
                break;
            }
            self.heap.pop();
            self.now = at.max(self.now);
            match self.events.swap_remove(&sequence) {
                Some(Event::Tick(host)) => {
                    self.at(self.now + TICK, Event::Tick(host));
                    self.end_watches(Some(host));
                    self.step(host, control::Input::Tick);
                }
                Some(Event::Input(host, input)) => self.step(host, input),
                None => continue,
            }
        }
        self.now = until;
    }

    fn step(&mut self, host: usize, input: control::Input) {
        if !self.hosts[host].up {
            return;
        }
        for output in self.hosts[host].core.step(self.now, [input]) {
            self.apply_output(host, output);
        }
        for kind in catalog::Kind::ALL {
            let stamp = self.hosts[host].core.stamp(kind);
            let state = &mut self.hosts[host];
            let before = state.in_force[kind.index()];
            if before != stamp {
                state.reverts += u32::from(stamp < before);
                state.in_force[kind.index()] = stamp;
                state.in_force_at[kind.index()] = self.now;
            }
        }
    }

    fn apply_output(&mut self, host: usize, output: control::Output) {
        match output {
            control::Output::ReadManifest(kind) => {
                self.reads += 1;
                let text = self.value(host, kind.manifest_key());
                self.after(2, 5, Event::Input(host, control::Input::Manifest { kind, is_watch: false, text }));
            }
            control::Output::ReadPart { kind, key } => {
                self.reads += 1;
                let text = self.value(host, &key);
                self.after(2, 5, Event::Input(host, control::Input::Part { kind, key, text }));
            }
            control::Output::Watch { kind, after } => {
                self.watches += 1;
                let until = self.now + control::Policy::default().watch;
                self.pending_watches.push(Watch { host, kind, after, until });
                self.end_watches(None);
            }
            control::Output::Send { to, message, .. } => self.send(host, &to, message),
            control::Output::View(_) => self.hosts[host].has_view = true,
            control::Output::Refused { faults, .. } => panic!("refused: {}", faults[0]),
            control::Output::Breach(breach) => panic!("{breach:?}"),
            control::Output::Revalidated
            | control::Output::Suspects(_)
            | control::Output::Evidence(_)
            | control::Output::TrialGranted(_)
            | control::Output::Urgency(_)
            | control::Output::Note(_)
            | control::Output::Reconnect { .. } => {}
            control::Output::List { .. } | control::Output::WatchRegistry { .. } => panic!("documents are not listed"),
        }
    }

    /// Answers watches whose document changed or whose time-out passed, of one host or of all.
    fn end_watches(&mut self, host: Option<usize>) {
        let mut index = 0;
        while index < self.pending_watches.len() {
            let watch = &self.pending_watches[index];
            let is_cut = self.platform_down || self.cut_platform.contains(&watch.host);
            let has_changed = watch.after != self.versions[watch.kind.index()];
            let is_selected = host.is_none_or(|host| host == watch.host);
            if !is_selected || !is_cut && !has_changed && watch.until > self.now {
                index += 1;
                continue;
            }
            let watch = self.pending_watches.swap_remove(index);
            let text = self.value(watch.host, watch.kind.manifest_key());
            let input = control::Input::Manifest { kind: watch.kind, is_watch: true, text };
            self.after(2, 5, Event::Input(watch.host, input));
        }
    }

    fn value(&self, host: usize, key: &str) -> Option<Arc<str>> {
        if self.platform_down || self.cut_platform.contains(&host) {
            return None;
        }
        self.values.get(key).cloned()
    }

    fn send(&mut self, from: usize, to: &str, message: control::message::Message) {
        let Some(&host) = self.addresses.get(to) else {
            return;
        };
        if let Some(measure) = self.measure {
            let bytes = measure(&message) as u64;
            self.hosts[from].sent_bytes += bytes;
            self.hosts[host].received_bytes += bytes;
        }
        if self.cut_links.contains(&(from, host)) {
            return;
        }
        let is_near = from % self.data_centres == host % self.data_centres;
        let (min_ms, max_ms) = if is_near { (1, 2) } else { (2, 40) };
        self.after(min_ms, max_ms, Event::Input(host, control::Input::Peer(message)));
    }

    fn publish(&mut self, kind: catalog::Kind, parts: &[(CompactString, String)]) {
        self.versions[kind.index()] += 1;
        let mut manifest = format!("version: {}\nparts:\n", self.versions[kind.index()]);
        for (key, text) in parts {
            manifest.push_str(&format!("  {key}: \"{}\"\n", catalog::Digest::of(text)));
            self.values.insert(key.clone(), Arc::from(text.as_str()));
        }
        self.values.insert(CompactString::from(kind.manifest_key()), Arc::from(manifest));
        self.end_watches(None);
    }

    pub fn publish_config(&mut self, change: u64) {
        let services = "entry_hosts_most: 8\nservices:\n  - {name: s, shards: [a], servers: [{name: x, shards: [a], connections: 25, slots: 2}]}\n";
        let selectors = format!(
            "# change {change}\nselectors:\n  - {{name: q, service: s, deadline_ms: 100, least_coverage: 1, idempotent: true}}\n"
        );
        let parts = [
            (CompactString::const_new("shallothub/services/main"), services.to_owned()),
            (CompactString::const_new("shallothub/selectors/main"), selectors),
        ];
        self.publish(catalog::Kind::Config, &parts);
    }

    /// Publishes another text under the current version, as a tool does that does not increment it.
    pub fn publish_config_under_same_version(&mut self, change: u64) {
        self.versions[catalog::Kind::Config.index()] -= 1;
        self.publish_config(change);
    }

    /// Publishes the list of hosts in parts of 100, with those in `leaving` marked as leaving.
    pub fn publish_hosts(&mut self, leaving: &[usize]) {
        let mut parts = Vec::new();
        for first in (0..self.hosts.len()).step_by(100) {
            let mut text = "entry_hosts:\n".to_owned();
            for host in first..(first + 100).min(self.hosts.len()) {
                let state = if leaving.contains(&host) { "leaving" } else { "live" };
                text.push_str(&format!(
                    "  - {{name: {}, data_centre: dc-{}, peer: \"{}\", state: {state}}}\n",
                    name(host),
                    host % self.data_centres,
                    peer(host)
                ));
            }
            parts.push((format_compact!("shallothub/hosts/{:05}", first), text));
        }
        let leaf = "backend_servers:\n  - {name: x, data_centre: dc-0, address: \"10.9.9.9:1\"}\n".to_owned();
        parts.push((CompactString::const_new("shallothub/hosts/leaves"), leaf));
        self.publish(catalog::Kind::Hosts, &parts);
    }

    /// Time in ms from `since` until the newest catalog was in force, for each host that is up;
    /// `None` where it is not in force.
    pub fn times(&self, kind: catalog::Kind, since: clock::Millis) -> Vec<Option<u64>> {
        let version = self.versions[kind.index()];
        let mut times = Vec::new();
        for host in self.hosts.iter().filter(|host| host.up) {
            let is_in_force = host.in_force[kind.index()].version == version;
            times.push(is_in_force.then(|| host.in_force_at[kind.index()].since(since).0));
        }
        times
    }

    /// Maximum of [`Self::times`]; panics if the catalog is not in force on a host.
    pub fn slowest(&self, kind: catalog::Kind, since: clock::Millis) -> u64 {
        let times = self.times(kind, since);
        times.into_iter().map(|time| time.expect("catalog not in force")).max().unwrap_or(0)
    }
}
