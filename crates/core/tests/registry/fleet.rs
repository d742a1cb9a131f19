//! A simulated fleet of control cores with a registry, in simulated time: a store with revisions and a history, hosts
//! that read it and exchange messages, and failures of both.
//!
//! Entries have a format of this test: `config` holds `number shards`, and `leaf/NAME` holds `service data_centre
//! state`, optionally followed by `born=` and a number. `evacuate/DATA_CENTRE` evacuates that data centre, whatever its
//! value.

use std::{cmp, collections::BinaryHeap, sync::Arc};

use compact_str::{CompactString, format_compact};
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng, rngs, seq::SliceRandom};
use shallothub_core::{
    catalog, clock, control,
    control::{message, mirror, note},
    evidence, id, plan, ratio, suspect, urgency, view,
};

/// How the control cores parse the registry.
pub const READER: control::Reader =
    control::Reader { source: control::Source::Registry { kind_of, normalize: essence }, manifest, part };

/// Prefix of the keys of evacuations; the name of the data centre follows.
const EVACUATION_PREFIX: &str = "evacuate/";

fn kind_of(key: &str) -> Option<catalog::Kind> {
    match key {
        "config" => Some(catalog::Kind::Config),
        _ => (key.starts_with("leaf/") || key.starts_with(EVACUATION_PREFIX)).then_some(catalog::Kind::Hosts),
    }
}

/// The first three words and the `born=` word; a change of any other word is not significant.
fn essence(key: &str, text: Arc<str>) -> Arc<str> {
    if key == "config" {
        return text;
    }
    if let Some(data_centre) = key.strip_prefix(EVACUATION_PREFIX) {
        return Arc::from(data_centre);
    }
    let words = text.split(' ').enumerate().filter(|(index, word)| *index < 3 || word.starts_with("born="));
    let words: Vec<&str> = words.map(|(_, word)| word).collect();
    Arc::from(words.join(" "))
}

fn manifest(_: &str) -> Result<catalog::Manifest, Vec<plan::Fault>> {
    Err(Vec::new())
}

fn part(key: &str, text: &str) -> Result<plan::Part, Vec<plan::Fault>> {
    let mut words = text.split(' ');
    let mut word = || words.next().unwrap_or_default();
    if key == "config" {
        let number = word().parse().unwrap_or_default();
        let shards: usize = word().parse().unwrap_or_default();
        return Ok(plan::Part::Routing(routing(number, shards)));
    }
    if let Some(data_centre) = key.strip_prefix(EVACUATION_PREFIX).filter(|data_centre| !data_centre.is_empty()) {
        return Ok(plan::Part::Evacuation(vec![data_centre.into()]));
    }
    if text.is_empty() {
        let problem = "the entry is empty".to_owned();
        let fault =
            plan::Fault { document: key.into(), position: plan::Position::default(), problem, remedy: String::new() };
        return Ok(plan::Part::Unreadable(fault));
    }
    let (service, data_centre, state) = (word(), word(), word());
    let (is_leaving, is_warming) = (state == "leaving", state == "warming");
    Ok(plan::Part::Leaf(plan::Leaf {
        name: CompactString::from(key.trim_start_matches("leaf/")),
        service: service.into(),
        data_centre: data_centre.into(),
        address: format_compact!("{key}:80"),
        slots: 2,
        leaving: is_leaving,
        warming: is_warming,
        incarnation: word().strip_prefix("born=").and_then(|born| born.parse().ok()).unwrap_or_default(),
    }))
}

fn routing(number: u64, shards: usize) -> plan::Routing {
    let services: Vec<CompactString> = (0..shards).map(|shard| format_compact!("s{shard}")).collect();
    let destination =
        plan::Destination::Gather { services: services.clone(), top: 10, least_coverage: ratio::Ratio::ONE };
    let route = plan::Route {
        name: "sweep".into(),
        host: "example".into(),
        prefix: "/sweep/".into(),
        idempotent: true,
        timeout: clock::Millis(600),
        target_latency: Some(clock::Millis(100)),
        max_servers: 2,
        priority: 0,
        homes: Vec::new(),
        destination,
    };
    let services = services.into_iter().map(|name| plan::Upstream { name, connections: 56, warm_up: None }).collect();
    plan::Routing { number, routes: vec![route], services, limits: None }
}

#[derive(Debug)]
enum Event {
    Step {
        host: usize,
        incarnation: u32,
    },
    /// A timer of the host is due that was set while it handled a message.
    Wake {
        host: usize,
        incarnation: u32,
    },
    Input {
        host: usize,
        incarnation: u32,
        input: control::Input,
    },
}

struct Watch {
    /// Whether no answer will arrive: the call was sent during a partition, or was open when the registry became
    /// unresponsive.
    is_lost: bool,
    host: usize,
    incarnation: u32,
    ticket: u64,
    after: u64,
    until: u64,
}

/// A simulated registry.
#[derive(Default)]
pub struct Store {
    items: IndexMap<CompactString, (Arc<str>, u64)>,
    history: Vec<mirror::Event>,
    revision: u64,
    /// The revision before which changes are discarded.
    compacted_to: u64,
    /// How many times the registry was restored from a backup.
    era: u64,
    pub is_unavailable: bool,
    /// Hosts whose requests are refused.
    pub refused_hosts: IndexSet<usize>,
    /// Whether open watches receive no changes.
    pub has_stalled_watches: bool,
    /// Whether calls are accepted but never answered, not even later.
    is_unresponsive: bool,
    pub calls: u64,
    /// Full reads that were started.
    pub reads: u64,
    /// Approximate bytes of the answers.
    pub bytes: u64,
}

impl Store {
    pub fn keys_with_prefix(&self, prefix: &'static str) -> impl Iterator<Item = &CompactString> {
        self.items.keys().filter(move |key| key.starts_with(prefix))
    }
}

/// A backup of the registry.
#[derive(Clone)]
pub struct Backup {
    items: IndexMap<CompactString, (Arc<str>, u64)>,
    revision: u64,
}

/// A simulated host.
pub struct Host {
    pub core: control::Core,
    pub incarnation: u32,
    pub is_up: bool,
    pub views: Vec<Arc<view::View>>,
    pub notes: Vec<note::Note>,
    /// The latest standing of requests that may crash servers, as reported by the control core.
    pub suspects: Arc<IndexMap<suspect::Fingerprint, suspect::Standing>>,
    /// The latest standings of servers, as reported by the control core.
    pub standings: Arc<IndexMap<id::Server, evidence::Standing>>,
    /// Bytes and number of the messages with evidence about servers that it sent.
    pub evidence_bytes: u64,
    pub evidence_messages: u64,
    /// The latest thresholds of admission by urgency.
    pub urgency: Arc<IndexMap<CompactString, urgency::State>>,
    /// Trials granted to the host and not yet taken by the test.
    pub granted: Vec<suspect::Trial>,
    pub sent_bytes: u64,
    /// The part of `sent_bytes` that went to other data centres.
    pub remote_bytes: u64,
    /// Time of the first view since the start, in ms; `None` before it.
    pub ready_at: Option<u64>,
    /// Whether the host can reach neither the registry nor other hosts.
    pub is_partitioned: bool,
}

/// Faults of the links between hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Links {
    /// Fraction of messages that are lost.
    pub loss: f64,
    /// Fraction of messages that arrive twice.
    pub duplication: f64,
    /// Maximum additional delay, in ms.
    pub delay: u64,
}

/// Timeout of a registry call beyond its wait, in ms, as in the node.
const CALL_TIMEOUT: u64 = 1000;
/// Timeout of a page of a full read, in ms.
const PAGE_TIMEOUT: u64 = 2000;
/// How long a connection stays stalled after a partition held up its bytes, in ms: the kernel retransmits at growing
/// intervals, also after the partition heals.
const STALL: u64 = 6000;

pub struct Fleet {
    pub now: u64,
    pub store: Store,
    pub hosts: Vec<Host>,
    data_centres: usize,
    policy: control::Policy,
    watches: Vec<Watch>,
    heap: BinaryHeap<cmp::Reverse<(u64, u64)>>,
    events: IndexMap<u64, Event>,
    sequence: u64,
    random: rngs::SmallRng,
    /// Whether a document that a host refuses is ignored instead of failing the test.
    pub allows_refusals: bool,
    /// Time until which the connections from one host to another are stalled, in ms.
    stalled: IndexMap<(usize, usize), u64>,
    /// Hosts with other settings than the rest.
    policies: IndexMap<usize, control::Policy>,
    /// Faults of all links between hosts.
    pub links: Links,
    /// Size of a message on the wire, in bytes; the flag states whether it may be packed.
    message_size: fn(&message::Message, bool) -> usize,
    /// CPU capacity of the hosts, in thousandths of a core; 250 for hosts that it does not list.
    powers: Vec<u32>,
    /// Hosts of the previous version, which neither choose gathering hosts by demand nor know the field of it.
    pub old_hosts: IndexSet<usize>,
    /// Hosts that exchange no messages with those that are not in this set.
    pub split: IndexSet<usize>,
    /// Hosts whose messages, in both directions, take this much longer, in ms.
    pub delays: IndexMap<usize, u64>,
}

fn revision(event: &mirror::Event) -> u64 {
    match event {
        mirror::Event::Put(item) => item.revision,
        mirror::Event::Delete { revision, .. } => *revision,
    }
}

/// Approximate bytes of an item in an answer of the registry: the base64 value, the key and their framing.
fn item_bytes(item: &mirror::Item) -> u64 {
    (item.text.len() * 4 / 3 + item.key.len() + 90) as u64
}

/// A message as a host of the previous version encodes or decodes it.
fn without_demand(mut message: message::Message) -> message::Message {
    if let message::Body::Digest(digest) = &mut message.body {
        digest.members.iter_mut().for_each(|member| member.demand = plan::gatherers::Demand::NONE);
    }
    message
}

/// The peer address of a host.
pub fn peer(host: usize) -> CompactString {
    format_compact!("10.0.{}.{}:7000", host / 250, host % 250)
}

/// The host with the peer address `address`; the inverse of [`peer`].
fn host_at(address: &str) -> Option<usize> {
    let (ip, _) = address.split_once(':')?;
    let mut octets = ip.split('.').skip(2);
    let (high, low): (usize, usize) = (octets.next()?.parse().ok()?, octets.next()?.parse().ok()?);
    Some(high * 250 + low)
}

impl Fleet {
    /// `hosts` hosts over `data_centres` data centres, all started within 300 ms.
    pub fn new(hosts: usize, data_centres: usize, policy: &control::Policy, seed: u64) -> Self {
        Self::with_differing_hosts(hosts, data_centres, policy, seed, Vec::new(), IndexSet::new())
    }

    /// The same with hosts of different `powers`, of which `old_hosts` are of the previous version.
    pub fn with_differing_hosts(
        hosts: usize,
        data_centres: usize,
        policy: &control::Policy,
        seed: u64,
        powers: Vec<u32>,
        old_hosts: IndexSet<usize>,
    ) -> Self {
        let mut fleet = Self {
            now: 1,
            store: Store::default(),
            hosts: Vec::new(),
            data_centres,
            policy: policy.clone(),
            watches: Vec::new(),
            heap: BinaryHeap::new(),
            events: IndexMap::new(),
            sequence: 0,
            random: rngs::SmallRng::seed_from_u64(seed),
            allows_refusals: false,
            stalled: IndexMap::new(),
            policies: IndexMap::new(),
            links: Links::default(),
            message_size: |_, _| 0,
            powers,
            old_hosts,
            split: IndexSet::new(),
            delays: IndexMap::new(),
        };
        for host in 0..hosts {
            let core = fleet.new_core(host, fleet.now);
            fleet.hosts.push(Host {
                core,
                incarnation: 0,
                is_up: true,
                views: Vec::new(),
                notes: Vec::new(),
                suspects: Arc::default(),
                standings: Arc::default(),
                evidence_bytes: 0,
                evidence_messages: 0,
                urgency: Arc::default(),
                granted: Vec::new(),
                sent_bytes: 0,
                remote_bytes: 0,
                ready_at: None,
                is_partitioned: false,
            });
            fleet.schedule(1 + host as u64 % 300, Event::Step { host, incarnation: 0 });
        }
        fleet
    }

    pub fn with_message_size(mut self, message_size: fn(&message::Message, bool) -> usize) -> Self {
        self.message_size = message_size;
        self
    }

    /// Starts `host` again with other settings than the rest.
    pub fn restart_with(&mut self, host: usize, policy: &control::Policy) {
        self.policies.insert(host, policy.clone());
        self.restart(host, 1);
    }

    /// The core of a process that starts at `now`.
    fn new_core(&mut self, host: usize, now: u64) -> control::Core {
        let mut policy = self.policies.get(&host).unwrap_or(&self.policy).clone();
        if self.old_hosts.contains(&host) {
            policy.gatherers = None;
        }
        let identity = control::Identity {
            name: format_compact!("host-{host}"),
            data_centre: format_compact!("dc-{}", host % self.data_centres),
            peer: peer(host),
            seeds: (0..3).map(peer).collect(),
            relay: format_compact!("10.0.{}.{}:7391", host / 250, host % 250),
            regions: Default::default(),
            power: self.powers.get(host).copied().unwrap_or(250),
        };
        control::Core::new(policy, identity, READER, self.random.random(), clock::Millis(now))
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        self.heap.push(cmp::Reverse((at.max(self.now), self.sequence)));
    }

    /// Writes an item.
    pub fn put(&mut self, key: &str, text: &str) {
        self.store.revision += 1;
        let revision = self.store.revision;
        let item = mirror::Item { key: key.into(), text: text.into(), revision };
        self.store.items.insert(key.into(), (Arc::clone(&item.text), revision));
        self.store.history.push(mirror::Event::Put(item));
        self.answer_watches();
    }

    /// Removes an item.
    pub fn remove(&mut self, key: &str) {
        self.store.revision += 1;
        let revision = self.store.revision;
        self.store.items.swap_remove(key);
        self.store.history.push(mirror::Event::Delete { key: key.into(), revision });
        self.answer_watches();
    }

    /// Discards the history and fails open watches.
    pub fn compact_history(&mut self) {
        self.store.compacted_to = self.store.revision;
        self.store.has_stalled_watches = false;
        self.fail_watches();
    }

    /// Takes a backup of the registry.
    pub fn backup(&self) -> Backup {
        Backup { items: self.store.items.clone(), revision: self.store.revision }
    }

    /// Restores the registry from `backup`: later writes are lost, their revisions are reused, and open watches fail.
    pub fn restore(&mut self, backup: &Backup) {
        self.store.items = backup.items.clone();
        self.store.revision = backup.revision;
        self.store.compacted_to = self.store.compacted_to.min(backup.revision);
        self.store.history.retain(|event| revision(event) <= backup.revision);
        self.store.era += 1;
        self.fail_watches();
    }

    /// Fails all open watches.
    pub fn fail_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let changes = mirror::Changes::Failed;
            let input = control::Input::Changes { ticket: watch.ticket, changes };
            self.schedule(self.now + 4, Event::Input { host: watch.host, incarnation: watch.incarnation, input });
        }
    }

    /// Sets whether the registry leaves calls unanswered. Watches that are open when this is set are never answered.
    pub fn set_unresponsive(&mut self, is_unresponsive: bool) {
        self.store.is_unresponsive = is_unresponsive;
        for watch in self.watches.iter_mut().filter(|_| is_unresponsive) {
            watch.is_lost = true;
            watch.until += CALL_TIMEOUT;
        }
    }

    /// Writes `shards` services with `replicas` leafs each, spread over the data centres, and a configuration.
    pub fn publish(&mut self, number: u64, shards: usize, replicas: usize) {
        for shard in 0..shards {
            for replica in 0..replicas {
                let data_centre = (shard + replica) % self.data_centres;
                self.put(&format!("leaf/{shard}-{replica}"), &format!("s{shard} dc-{data_centre} ready"));
            }
        }
        self.put("config", &format!("{number} {shards}"));
    }

    /// Kills the process of a host and starts it again after `downtime` ms.
    pub fn restart(&mut self, host: usize, downtime: u64) {
        let core = self.new_core(host, self.now + downtime);
        let state = &mut self.hosts[host];
        state.incarnation += 1;
        state.is_up = false;
        state.ready_at = None;
        state.core = core;
        state.views.clear();
        state.suspects = Arc::default();
        state.standings = Arc::default();
        state.granted.clear();
        state.urgency = Arc::default();
        let incarnation = state.incarnation;
        self.watches.retain(|watch| watch.host != host);
        // Its connections are closed with the process.
        self.stalled.retain(|(from, _), _| *from != host);
        self.schedule(self.now + downtime, Event::Step { host, incarnation });
    }

    /// All hosts in a random order.
    pub fn shuffled_hosts(&mut self, hosts: usize) -> Vec<usize> {
        let mut order: Vec<usize> = (0..hosts).collect();
        order.shuffle(&mut self.random);
        order
    }

    /// Passes an input to the control core of a host.
    pub fn deliver(&mut self, host: usize, input: control::Input) {
        self.step(host, input);
        self.schedule_wake(host, self.hosts[host].incarnation);
    }

    /// Notifies a host that its process is shutting down.
    pub fn leave(&mut self, host: usize) {
        self.step(host, control::Input::Leaving);
    }

    /// Advances the simulated time to `until`.
    pub fn run_until(&mut self, until: u64) {
        while let Some(&cmp::Reverse((at, key))) = self.heap.peek() {
            if at > until {
                break;
            }
            self.heap.pop();
            self.now = at;
            match self.events.swap_remove(&key) {
                Some(Event::Step { host, incarnation }) if self.hosts[host].incarnation == incarnation => {
                    self.hosts[host].is_up = true;
                    self.step(host, control::Input::Tick);
                    let next = self.hosts[host].core.next_timer().0.clamp(self.now + 1, self.now + 250);
                    self.schedule(next, Event::Step { host, incarnation });
                }
                Some(Event::Input { host, incarnation, input }) if self.hosts[host].incarnation == incarnation => {
                    self.step(host, input);
                    self.schedule_wake(host, incarnation);
                }
                Some(Event::Wake { host, incarnation }) if self.hosts[host].incarnation == incarnation => {
                    self.step(host, control::Input::Tick);
                }
                _ => {}
            }
            self.expire_watches();
        }
        self.now = until;
    }

    /// Steps a host at its next timer, as a node does. Only for fleets that exchange evidence; the other tests step a
    /// host at least every 250 ms.
    fn schedule_wake(&mut self, host: usize, incarnation: u32) {
        let next = self.hosts[host].core.next_timer().0;
        if self.policy.evidence.is_some() && next < self.now + 250 {
            self.schedule(next.max(self.now + 1), Event::Wake { host, incarnation });
        }
    }

    fn step(&mut self, host: usize, input: control::Input) {
        if !self.hosts[host].is_up {
            return;
        }
        for output in self.hosts[host].core.step(clock::Millis(self.now), [input]) {
            self.apply_output(host, output);
        }
    }

    fn apply_output(&mut self, host: usize, output: control::Output) {
        let incarnation = self.hosts[host].incarnation;
        match output {
            control::Output::List { after } => {
                self.store.calls += 1;
                self.store.reads += u64::from(after.is_none());
                let page = self.page(host, after.as_deref());
                self.store.bytes += page.iter().flat_map(|page| &page.items).map(item_bytes).sum::<u64>();
                let input = control::Input::Page(page);
                let took = if self.store.is_unresponsive { PAGE_TIMEOUT } else { 4 };
                self.schedule(self.now + took, Event::Input { host, incarnation, input });
            }
            control::Output::WatchRegistry { ticket, after, wait, timeout: call_timeout } => {
                self.store.calls += 1;
                self.watches.retain(|watch| watch.host != host);
                let is_lost = self.hosts[host].is_partitioned || self.store.is_unresponsive;
                let until = self.now + wait.0 + if is_lost { call_timeout.0 } else { 0 };
                self.watches.push(Watch { is_lost, host, incarnation, ticket, after, until });
                self.answer_watches();
            }
            control::Output::Send { to, compress, message } => self.send(host, &to, compress, message),
            control::Output::Reconnect { to } => {
                self.stalled.retain(|(from, other), _| *from != host || peer(*other) != to);
            }
            control::Output::View(view) => {
                self.hosts[host].ready_at.get_or_insert(self.now);
                self.hosts[host].views.push(view);
            }
            control::Output::Refused { .. } if self.allows_refusals => {}
            control::Output::Refused { faults, .. } => panic!("configuration refused: {faults:?}"),
            control::Output::Breach(breach) => panic!("invariant violated: {breach:?}"),
            control::Output::Note(note) => self.hosts[host].notes.push(note),
            control::Output::Suspects(suspects) => self.hosts[host].suspects = suspects,
            control::Output::Urgency(states) => self.hosts[host].urgency = states,
            control::Output::TrialGranted(trial) => self.hosts[host].granted.push(trial),
            control::Output::Evidence(standings) => self.hosts[host].standings = standings,
            control::Output::Revalidated => {}
            other => panic!("unexpected output with a registry: {other:?}"),
        }
    }

    fn page(&self, host: usize, after: Option<&str>) -> Option<mirror::Page> {
        if self.hosts[host].is_partitioned {
            return None;
        }
        if self.store.is_unavailable || self.store.is_unresponsive || self.store.refused_hosts.contains(&host) {
            return None;
        }
        let mut keys: Vec<&CompactString> = self.store.items.keys().collect();
        keys.sort_unstable();
        let rest: Vec<_> = keys.into_iter().filter(|key| after.is_none_or(|after| key.as_str() > after)).collect();
        let mut items = Vec::new();
        for key in rest.iter().take(50) {
            let (text, revision) = &self.store.items[*key];
            items.push(mirror::Item { key: (*key).clone(), text: Arc::clone(text), revision: *revision });
        }
        Some(mirror::Page { items, has_more: rest.len() > 50, at: self.store.revision, era: self.store.era })
    }

    /// Answers the watches that have changes or are refused.
    fn answer_watches(&mut self) {
        let mut index = 0;
        while index < self.watches.len() {
            let watch = &self.watches[index];
            let is_refused = self.store.is_unavailable || self.store.refused_hosts.contains(&watch.host);
            let is_reachable = !watch.is_lost && !self.hosts[watch.host].is_partitioned;
            let has_changes = watch.after != self.store.revision && !self.store.has_stalled_watches;
            let (is_refused, has_changes) = (is_refused && is_reachable, has_changes && is_reachable);
            if !is_refused && !has_changes {
                index += 1;
                continue;
            }
            let watch = self.watches.swap_remove(index);
            let changes = if is_refused { mirror::Changes::Failed } else { self.changes(watch.after) };
            let input = control::Input::Changes { ticket: watch.ticket, changes };
            self.schedule(self.now + 4, Event::Input { host: watch.host, incarnation: watch.incarnation, input });
        }
    }

    fn expire_watches(&mut self) {
        let mut index = 0;
        while index < self.watches.len() {
            if self.watches[index].until > self.now {
                index += 1;
                continue;
            }
            let watch = self.watches.swap_remove(index);
            let is_reachable = !watch.is_lost && !self.hosts[watch.host].is_partitioned;
            let changes = if is_reachable { self.changes(watch.after) } else { mirror::Changes::Failed };
            let input = control::Input::Changes { ticket: watch.ticket, changes };
            self.schedule(self.now + 4, Event::Input { host: watch.host, incarnation: watch.incarnation, input });
        }
    }

    fn changes(&self, after: u64) -> mirror::Changes {
        if after < self.store.compacted_to || after > self.store.revision {
            return mirror::Changes::Compacted;
        }
        let events = self.store.history.iter().filter(|event| revision(event) > after).cloned().collect();
        mirror::Changes::Delta { events, at: self.store.revision, era: self.store.era }
    }

    fn send(&mut self, from: usize, to: &str, packs: bool, message: message::Message) {
        let bytes = (self.message_size)(&message, packs) as u64;
        self.hosts[from].sent_bytes += bytes;
        if matches!(message.body, message::Body::Evidence(_)) {
            self.hosts[from].evidence_bytes += bytes;
            self.hosts[from].evidence_messages += 1;
        }
        let Some(host) = host_at(to).filter(|&host| host < self.hosts.len()) else {
            return;
        };
        let crosses_data_centres = host % self.data_centres != from % self.data_centres;
        self.hosts[from].remote_bytes += if crosses_data_centres { bytes } else { 0 };
        let is_split = self.split.contains(&from) != self.split.contains(&host);
        if is_split || self.hosts[from].is_partitioned || self.hosts[host].is_partitioned {
            self.stalled.insert((from, host), self.now + STALL);
            return;
        }
        if self.stalled.get(&(from, host)).is_some_and(|&until| until > self.now) {
            return;
        }
        let incarnation = self.hosts[host].incarnation;
        if self.links.loss > 0.0 && self.random.random_bool(self.links.loss) {
            return;
        }
        let delay = |host: usize| self.delays.get(&host).copied().unwrap_or_default();
        let delay = delay(from) + delay(host);
        let is_old = self.old_hosts.contains(&from) || self.old_hosts.contains(&host);
        let message = if is_old { without_demand(message) } else { message };
        if self.links.duplication > 0.0 && self.random.random_bool(self.links.duplication) {
            let after = delay + self.random.random_range(1..4 + self.links.delay);
            let input = control::Input::Peer(message.clone());
            self.schedule(self.now + after, Event::Input { host, incarnation, input });
        }
        let after = delay + self.random.random_range(1..4 + self.links.delay);
        self.schedule(self.now + after, Event::Input { host, incarnation, input: control::Input::Peer(message) });
    }

    /// The latest view of a host.
    pub fn view(&self, host: usize) -> Option<&view::View> {
        self.hosts[host].views.last().map(|view| &**view)
    }

    /// Whether a host may send new work to a leaf.
    pub fn may_use(&self, host: usize, leaf: &str) -> bool {
        self.view(host)
            .is_some_and(|view| view.servers.iter().flatten().any(|server| server.name == leaf && server.is_open()))
    }

    /// The number of hosts whose view has the configuration `number`.
    pub fn hosts_with_config(&self, number: u64) -> usize {
        (0..self.hosts.len()).filter(|&host| self.view(host).is_some_and(|view| view.number == number)).count()
    }
}
