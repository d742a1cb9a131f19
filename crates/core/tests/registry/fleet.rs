//! A fleet of control cores over a registry, in fake time: a store with revisions and a history, hosts
//! that read it and talk to each other, and the ways in which both go away.
//!
//! Entries are written in a format of this test: `config` holds `number shards`, and `leaf/NAME` holds
//! `service data_centre state`, after which may stand `born=` and a number. `evacuate/DATA_CENTRE` evacuates it,
//! whatever it holds.

use std::{cmp, collections::BinaryHeap, sync::Arc};

use compact_str::{CompactString, format_compact};
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng, rngs, seq::SliceRandom};
use shallothub_core::{
    catalog, clock, control,
    control::{message, mirror, note},
    plan, ratio, suspect, view,
};

/// How the hosts' documents are read.
pub const READER: control::Reader =
    control::Reader { source: control::Source::Registry { kind_of, normalize: essence }, manifest, part };

/// What the keys of evacuations begin with; a data centre follows.
const EVACUATE: &str = "evacuate/";

fn kind_of(key: &str) -> Option<catalog::Kind> {
    match key {
        "config" => Some(catalog::Kind::Config),
        _ => (key.starts_with("leaf/") || key.starts_with(EVACUATE)).then_some(catalog::Kind::Hosts),
    }
}

/// The first three words and the birth; another word changes without meaning anything.
fn essence(key: &str, text: Arc<str>) -> Arc<str> {
    if key == "config" {
        return text;
    }
    if let Some(centre) = key.strip_prefix(EVACUATE) {
        return Arc::from(centre);
    }
    let words = text.split(' ').enumerate().filter(|(place, word)| *place < 3 || word.starts_with("born="));
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
    if let Some(centre) = key.strip_prefix(EVACUATE).filter(|centre| !centre.is_empty()) {
        return Ok(plan::Part::Evacuation(vec![centre.into()]));
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
enum Happening {
    Step { host: usize, life: u32 },
    Input { host: usize, life: u32, input: control::Input },
}

struct Waiting {
    /// Nobody will answer it: it was sent during a cut, or lay with a registry that went mute.
    is_lost: bool,
    host: usize,
    life: u32,
    ticket: u64,
    after: u64,
    until: u64,
}

/// The registry.
#[derive(Default)]
pub struct Store {
    items: IndexMap<CompactString, (Arc<str>, u64)>,
    log: Vec<mirror::Event>,
    revision: u64,
    /// Changes before this revision are forgotten.
    forgotten: u64,
    /// How many times it was restored.
    era: u64,
    pub away: bool,
    /// Hosts that it turns away.
    pub refuses: IndexSet<usize>,
    /// Watches that are open hear nothing any more.
    pub is_deaf: bool,
    /// Calls are taken and never answered, not even later.
    is_mute: bool,
    pub calls: u64,
    /// Whole reads that were begun.
    pub reads: u64,
    /// Bytes of its answers, about.
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

/// A host.
pub struct Host {
    pub core: control::Core,
    pub life: u32,
    pub up: bool,
    pub views: Vec<Arc<view::View>>,
    pub notes: Vec<note::Note>,
    /// What it does with requests that may crash servers.
    pub suspects: Arc<IndexMap<suspect::Fingerprint, suspect::Standing>>,
    /// Trials that were granted to it and that nobody has taken yet.
    pub granted: Vec<suspect::Trial>,
    pub sent_bytes: u64,
    /// Of these, what went to other data centres.
    pub far_bytes: u64,
    /// When it had its first view.
    pub ready_at: Option<u64>,
    /// The host reaches neither the registry nor another host.
    pub is_cut: bool,
}

/// Time after which a call of the registry is given up beyond its wait, as in the node.
const PATIENCE: u64 = 1000;
/// The same for a page of a whole read.
const PAGE_PATIENCE: u64 = 2000;
/// Time for which a connection on which bytes were held up by a cut stays stuck after it heals: the
/// kernel sends them again ever less often.
const STUCK: u64 = 6000;

pub struct Fleet {
    pub now: u64,
    pub store: Store,
    pub hosts: Vec<Host>,
    centres: usize,
    policy: control::Policy,
    waiting: Vec<Waiting>,
    heap: BinaryHeap<cmp::Reverse<(u64, u64)>>,
    happenings: IndexMap<u64, Happening>,
    sequence: u64,
    random: rngs::SmallRng,
    /// Whether a document that a host refuses is ignored instead of failing the test.
    pub allows_refusals: bool,
    /// Until when connections from one host to another are stuck.
    stuck: IndexMap<(usize, usize), u64>,
    /// Size of a message on the wire, which may be packed.
    measure: fn(&message::Message, bool) -> usize,
}

fn revision(event: &mirror::Event) -> u64 {
    match event {
        mirror::Event::Put(item) => item.revision,
        mirror::Event::Delete { revision, .. } => *revision,
    }
}

/// Bytes of an item in an answer of the registry: the value in base 64, and what stands around it.
fn bytes_of(item: &mirror::Item) -> u64 {
    (item.text.len() * 4 / 3 + item.key.len() + 90) as u64
}

/// The address of a host.
pub fn peer(host: usize) -> CompactString {
    format_compact!("10.0.{}.{}:7000", host / 250, host % 250)
}

/// The host at an address of [`peer`].
fn host_of(address: &str) -> Option<usize> {
    let (ip, _) = address.split_once(':')?;
    let mut octets = ip.split('.').skip(2);
    let (high, low): (usize, usize) = (octets.next()?.parse().ok()?, octets.next()?.parse().ok()?);
    Some(high * 250 + low)
}

impl Fleet {
    /// `hosts` hosts over `centres` data centres, started at once.
    pub fn new(hosts: usize, centres: usize, policy: &control::Policy, seed: u64) -> Self {
        let mut fleet = Self {
            now: 1,
            store: Store::default(),
            hosts: Vec::new(),
            centres,
            policy: policy.clone(),
            waiting: Vec::new(),
            heap: BinaryHeap::new(),
            happenings: IndexMap::new(),
            sequence: 0,
            random: rngs::SmallRng::seed_from_u64(seed),
            allows_refusals: false,
            stuck: IndexMap::new(),
            measure: |_, _| 0,
        };
        for host in 0..hosts {
            let core = fleet.core(host);
            fleet.hosts.push(Host {
                core,
                life: 0,
                up: true,
                views: Vec::new(),
                notes: Vec::new(),
                suspects: Arc::default(),
                granted: Vec::new(),
                sent_bytes: 0,
                far_bytes: 0,
                ready_at: None,
                is_cut: false,
            });
            fleet.at(1 + host as u64 % 300, Happening::Step { host, life: 0 });
        }
        fleet
    }

    pub fn measured(mut self, measure: fn(&message::Message, bool) -> usize) -> Self {
        self.measure = measure;
        self
    }

    fn core(&mut self, host: usize) -> control::Core {
        let identity = control::Identity {
            name: format_compact!("host-{host}"),
            data_centre: format_compact!("dc-{}", host % self.centres),
            peer: peer(host),
            seeds: (0..3).map(peer).collect(),
            relay: format_compact!("10.0.{}.{}:7391", host / 250, host % 250),
            regions: Default::default(),
            power: 250,
        };
        control::Core::new(self.policy.clone(), identity, READER, self.random.random(), clock::Millis(self.now))
    }

    fn at(&mut self, at: u64, happening: Happening) {
        self.sequence += 1;
        self.happenings.insert(self.sequence, happening);
        self.heap.push(cmp::Reverse((at.max(self.now), self.sequence)));
    }

    /// Writes an item.
    pub fn put(&mut self, key: &str, text: &str) {
        self.store.revision += 1;
        let revision = self.store.revision;
        let item = mirror::Item { key: key.into(), text: text.into(), revision };
        self.store.items.insert(key.into(), (Arc::clone(&item.text), revision));
        self.store.log.push(mirror::Event::Put(item));
        self.end_watches();
    }

    /// Removes an item.
    pub fn remove(&mut self, key: &str) {
        self.store.revision += 1;
        let revision = self.store.revision;
        self.store.items.swap_remove(key);
        self.store.log.push(mirror::Event::Delete { key: key.into(), revision });
        self.end_watches();
    }

    /// Drops the history; watches that wait are cut.
    pub fn forget_history(&mut self) {
        self.store.forgotten = self.store.revision;
        self.store.is_deaf = false;
        self.cut_watches();
    }

    /// Takes a backup of the registry.
    pub fn backup(&self) -> Backup {
        Backup { items: self.store.items.clone(), revision: self.store.revision }
    }

    /// Restores the registry from `backup`: later writes are lost, their revisions are reused, and waiting watches are
    /// cut.
    pub fn restore(&mut self, backup: &Backup) {
        self.store.items = backup.items.clone();
        self.store.revision = backup.revision;
        self.store.forgotten = self.store.forgotten.min(backup.revision);
        self.store.log.retain(|event| revision(event) <= backup.revision);
        self.store.era += 1;
        self.cut_watches();
    }

    /// Fails all waiting watches.
    pub fn cut_watches(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let changes = mirror::Changes::Failed;
            let input = control::Input::Changes { ticket: waiting.ticket, changes };
            self.at(self.now + 4, Happening::Input { host: waiting.host, life: waiting.life, input });
        }
    }

    /// From now on the registry takes calls and answers none of them, also none that wait; or it is as before.
    pub fn set_mute(&mut self, is_mute: bool) {
        self.store.is_mute = is_mute;
        for waiting in self.waiting.iter_mut().filter(|_| is_mute) {
            waiting.is_lost = true;
            waiting.until += PATIENCE;
        }
    }

    /// Makes `shards` services with `replicas` leafs each, dealt over the data centres, and a config.
    pub fn publish(&mut self, number: u64, shards: usize, replicas: usize) {
        for shard in 0..shards {
            for replica in 0..replicas {
                let centre = (shard + replica) % self.centres;
                self.put(&format!("leaf/{shard}-{replica}"), &format!("s{shard} dc-{centre} ready"));
            }
        }
        self.put("config", &format!("{number} {shards}"));
    }

    /// Ends a host's process and starts it anew after `down` ms.
    pub fn restart(&mut self, host: usize, down: u64) {
        let core = self.core(host);
        let row = &mut self.hosts[host];
        row.life += 1;
        row.up = false;
        row.ready_at = None;
        row.core = core;
        row.views.clear();
        row.suspects = Arc::default();
        row.granted.clear();
        let life = row.life;
        self.waiting.retain(|waiting| waiting.host != host);
        // Its connections end with it.
        self.stuck.retain(|(from, _), _| *from != host);
        self.at(self.now + down, Happening::Step { host, life });
    }

    /// All hosts in a random order.
    pub fn draw(&mut self, hosts: usize) -> Vec<usize> {
        let mut order: Vec<usize> = (0..hosts).collect();
        order.shuffle(&mut self.random);
        order
    }

    /// Tells a host's control core something.
    pub fn tell(&mut self, host: usize, input: control::Input) {
        self.step(host, input);
    }

    /// Asks a host's process to stop.
    pub fn leave(&mut self, host: usize) {
        self.step(host, control::Input::Leaving);
    }

    /// Lets time pass until `until`.
    pub fn run_until(&mut self, until: u64) {
        while let Some(&cmp::Reverse((at, key))) = self.heap.peek() {
            if at > until {
                break;
            }
            self.heap.pop();
            self.now = at;
            match self.happenings.swap_remove(&key) {
                Some(Happening::Step { host, life }) if self.hosts[host].life == life => {
                    self.hosts[host].up = true;
                    self.step(host, control::Input::Tick);
                    let next = self.hosts[host].core.next_timer().0.clamp(self.now + 1, self.now + 250);
                    self.at(next, Happening::Step { host, life });
                }
                Some(Happening::Input { host, life, input }) if self.hosts[host].life == life => {
                    self.step(host, input);
                }
                _ => {}
            }
            self.end_long_watches();
        }
        self.now = until;
    }

    fn step(&mut self, host: usize, input: control::Input) {
        if !self.hosts[host].up {
            return;
        }
        for output in self.hosts[host].core.step(clock::Millis(self.now), [input]) {
            self.carry_out(host, output);
        }
    }

    fn carry_out(&mut self, host: usize, output: control::Output) {
        let life = self.hosts[host].life;
        match output {
            control::Output::List { after } => {
                self.store.calls += 1;
                self.store.reads += u64::from(after.is_none());
                let page = self.page(host, after.as_deref());
                self.store.bytes += page.iter().flat_map(|page| &page.items).map(bytes_of).sum::<u64>();
                let input = control::Input::Page(page);
                let took = if self.store.is_mute { PAGE_PATIENCE } else { 4 };
                self.at(self.now + took, Happening::Input { host, life, input });
            }
            control::Output::WatchRegistry { ticket, after, wait, timeout: patience } => {
                self.store.calls += 1;
                self.waiting.retain(|waiting| waiting.host != host);
                let is_lost = self.hosts[host].is_cut || self.store.is_mute;
                let until = self.now + wait.0 + if is_lost { patience.0 } else { 0 };
                self.waiting.push(Waiting { is_lost, host, life, ticket, after, until });
                self.end_watches();
            }
            control::Output::Send { to, compress, message } => self.send(host, &to, compress, message),
            control::Output::Reconnect { to } => {
                self.stuck.retain(|(from, other), _| *from != host || peer(*other) != to);
            }
            control::Output::View(view) => {
                self.hosts[host].ready_at.get_or_insert(self.now);
                self.hosts[host].views.push(view);
            }
            control::Output::Refused { .. } if self.allows_refusals => {}
            control::Output::Refused { faults, .. } => panic!("refused: {faults:?}"),
            control::Output::Breach(breach) => panic!("{breach:?}"),
            control::Output::Note(note) => self.hosts[host].notes.push(note),
            control::Output::Suspects(suspects) => self.hosts[host].suspects = suspects,
            control::Output::TrialGranted(trial) => self.hosts[host].granted.push(trial),
            control::Output::Revalidated => {}
            other => panic!("a registry has no {other:?}"),
        }
    }

    fn page(&self, host: usize, after: Option<&str>) -> Option<mirror::Page> {
        if self.hosts[host].is_cut {
            return None;
        }
        if self.store.away || self.store.is_mute || self.store.refuses.contains(&host) {
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

    /// Answers the watches that have news, or cannot have any.
    fn end_watches(&mut self) {
        let mut index = 0;
        while index < self.waiting.len() {
            let waiting = &self.waiting[index];
            let is_refused = self.store.away || self.store.refuses.contains(&waiting.host);
            let is_heard = !waiting.is_lost && !self.hosts[waiting.host].is_cut;
            let has_news = waiting.after != self.store.revision && !self.store.is_deaf;
            let (is_refused, has_news) = (is_refused && is_heard, has_news && is_heard);
            if !is_refused && !has_news {
                index += 1;
                continue;
            }
            let waiting = self.waiting.swap_remove(index);
            let changes = if is_refused { mirror::Changes::Failed } else { self.changes(waiting.after) };
            let input = control::Input::Changes { ticket: waiting.ticket, changes };
            self.at(self.now + 4, Happening::Input { host: waiting.host, life: waiting.life, input });
        }
    }

    fn end_long_watches(&mut self) {
        let mut index = 0;
        while index < self.waiting.len() {
            if self.waiting[index].until > self.now {
                index += 1;
                continue;
            }
            let waiting = self.waiting.swap_remove(index);
            let is_heard = !waiting.is_lost && !self.hosts[waiting.host].is_cut;
            let changes = if is_heard { self.changes(waiting.after) } else { mirror::Changes::Failed };
            let input = control::Input::Changes { ticket: waiting.ticket, changes };
            self.at(self.now + 4, Happening::Input { host: waiting.host, life: waiting.life, input });
        }
    }

    fn changes(&self, after: u64) -> mirror::Changes {
        if after < self.store.forgotten || after > self.store.revision {
            return mirror::Changes::Compacted;
        }
        let events = self.store.log.iter().filter(|event| revision(event) > after).cloned().collect();
        mirror::Changes::Delta { events, at: self.store.revision, era: self.store.era }
    }

    fn send(&mut self, from: usize, to: &str, packs: bool, message: message::Message) {
        let bytes = (self.measure)(&message, packs) as u64;
        self.hosts[from].sent_bytes += bytes;
        let Some(host) = host_of(to).filter(|&host| host < self.hosts.len()) else {
            return;
        };
        let is_far = host % self.centres != from % self.centres;
        self.hosts[from].far_bytes += if is_far { bytes } else { 0 };
        if self.hosts[from].is_cut || self.hosts[host].is_cut {
            self.stuck.insert((from, host), self.now + STUCK);
            return;
        }
        if self.stuck.get(&(from, host)).is_some_and(|&until| until > self.now) {
            return;
        }
        let life = self.hosts[host].life;
        let after = self.random.random_range(1..4);
        self.at(self.now + after, Happening::Input { host, life, input: control::Input::Peer(message) });
    }

    /// The newest view of a host.
    pub fn view(&self, host: usize) -> Option<&view::View> {
        self.hosts[host].views.last().map(|view| &**view)
    }

    /// Whether a host may send new work to a leaf.
    pub fn may_use(&self, host: usize, leaf: &str) -> bool {
        self.view(host).is_some_and(|view| view.servers.iter().flatten().any(|row| row.name == leaf && row.is_open()))
    }

    /// Hosts whose view has the configuration `number`.
    pub fn have(&self, number: u64) -> usize {
        (0..self.hosts.len()).filter(|&host| self.view(host).is_some_and(|view| view.number == number)).count()
    }
}
