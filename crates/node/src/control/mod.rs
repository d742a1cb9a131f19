//! The control thread: it runs the control core, reads the platform and talks to other hosts.

pub(crate) mod peer;
mod platform;

use std::{cell::RefCell, rc::Rc, str, sync::Arc, thread};

use compact_str::{CompactString, format_compact};
use shallothub_core::{catalog, clock, control, control::mirror, control::note};
use shallothub_wire as wire;
use snafu::ResultExt;
use tokio::{runtime, sync::mpsc, task, time::sleep};

use crate::{error, shared, time};

/// Longest time between two steps.
const TICK: clock::Millis = clock::Millis(250);
/// Largest answer of a registry, in bytes: a page or a batch of changes, base64 included.
const REGISTRY_BYTES: usize = 16 << 20;
/// Longest time between two publications of the node's status when nothing happens.
const PUBLISH: clock::Millis = clock::Millis(1000);
/// Hosts that are named in a line of the log that is about several.
const HOSTS_NAMED: usize = 8;
/// Faults of a refused document that `status` shows.
const FAULTS_SHOWN: usize = 20;

/// Starts the thread. It ends with the process.
pub(crate) fn start(
    shared: Arc<shared::Shared>,
    words: mpsc::UnboundedReceiver<shared::ToControl>,
    listener: peer::Listener,
) -> Result<thread::JoinHandle<()>, error::Error> {
    let builder = thread::Builder::new().name("control".to_owned());
    let thread = builder.spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else {
            tracing::error!("the control thread has no runtime");
            return;
        };
        let local = task::LocalSet::new();
        local.block_on(&runtime, async move {
            let _listener = listener;
            Thread::new(shared).run(words).await;
        });
    });
    thread.context(error::ThreadSnafu)
}

struct Thread {
    shared: Arc<shared::Shared>,
    core: control::Core,
    senders: peer::Senders,
    refused: Vec<CompactString>,
    /// The connection on which changes are waited for, and the task that does.
    follower: Rc<RefCell<platform::Client>>,
    following: Option<task::AbortHandle>,
    published_at: clock::Millis,
}

impl Thread {
    fn new(shared: Arc<shared::Shared>) -> Self {
        let settings = &shared.settings;
        let identity = control::Identity {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            peer: format_compact!("{}", shared.addresses.peer),
            seeds: settings.seeds.iter().map(|seed| format_compact!("{seed}")).collect(),
            relay: shared.addresses.relay.map(|relay| format_compact!("{relay}")).unwrap_or_default(),
            power: (settings.processor * 1000.0) as u32,
            regions: settings.regions.clone(),
        };
        let seed = catalog::Digest::of(&settings.name).0 ^ shared.origin.start();
        let now = shared.origin.now();
        let core = control::Core::new(settings.control.clone(), identity, shared.interface.reader, seed, now);
        Self {
            shared,
            core,
            senders: peer::Senders::default(),
            refused: Vec::new(),
            follower: Rc::default(),
            following: None,
            published_at: clock::Millis::ZERO,
        }
    }

    async fn run(mut self, mut words: mpsc::UnboundedReceiver<shared::ToControl>) {
        loop {
            let mut inputs = Vec::new();
            let now = self.shared.origin.now();
            let wait = match self.shared.interface.registry {
                Some(_) => self.core.next_timer().since(now).clamp(clock::Millis(1), PUBLISH),
                None => TICK,
            };
            tokio::select! {
                word = words.recv() => {
                    let Some(word) = word else { return };
                    self.take(word, &mut inputs);
                    while let Ok(word) = words.try_recv() {
                        self.take(word, &mut inputs);
                    }
                }
                () = sleep(time::duration(wait)) => inputs.push(control::Input::Tick),
            }
            let now = self.shared.origin.now();
            let outputs = self.core.step(now, inputs);
            let has_news = outputs
                .iter()
                .any(|output| matches!(output, control::Output::View(_) | control::Output::Refused { .. }));
            // Published before the lanes hear of it, so that who is told that the node is ready finds it so.
            if has_news || now.since(self.published_at) >= PUBLISH {
                self.published_at = now;
                self.publish();
            }
            for output in outputs {
                self.carry_out(output);
            }
        }
    }

    fn take(&mut self, word: shared::ToControl, inputs: &mut Vec<control::Input>) {
        match word {
            shared::ToControl::Input(input) => inputs.push(input),
            shared::ToControl::Revalidate => inputs.push(control::Input::Revalidate),
            shared::ToControl::Seeds(seeds) => inputs.push(control::Input::Seeds(seeds)),
            shared::ToControl::Leaving => inputs.push(control::Input::Leaving),
            shared::ToControl::Peer(bytes) => {
                self.shared.metrics.peer_bytes.with_label_values(&["received"]).inc_by(bytes.len() as u64);
                match wire::peer::decode(&bytes) {
                    Ok(message) => inputs.push(control::Input::Peer(message)),
                    Err(error) => tracing::debug!(detail = %error, "dropped a message of another host"),
                }
            }
            shared::ToControl::Explain(selector, reply) => {
                // The asker may have gone; then nobody needs the answer.
                reply.send(self.core.explain(&selector)).ok();
            }
        }
    }

    fn carry_out(&mut self, output: control::Output) {
        match output {
            control::Output::ReadManifest(kind) => self.read_manifest(kind),
            control::Output::Watch { kind, after } => self.watch(kind, after),
            control::Output::ReadPart { kind, key } => self.read_part(kind, key),
            control::Output::Reconnect { to } => self.senders.forget(&to),
            control::Output::List { after } => self.list(after),
            control::Output::Follow { ticket, after, wait, timeout: patience } => {
                self.follow(ticket, after, wait, patience)
            }
            control::Output::Note(note) => log(&note),
            control::Output::Send { to, packs, message } => {
                let bytes = self.senders.send(&to, &message, packs);
                self.shared.metrics.peer_bytes.with_label_values(&["sent"]).inc_by(bytes as u64);
            }
            control::Output::View(view) => {
                tracing::info!(
                    stamp = %view.stamp,
                    hosts = %view.hosts_revision,
                    number = view.number,
                    entry_hosts = view.hosts,
                    "a view is in force"
                );
                for lane in &self.shared.lanes {
                    lane.send(shared::ToLane::View(Arc::clone(&view))).ok();
                }
            }
            control::Output::Suspects(suspects) => {
                for lane in &self.shared.lanes {
                    lane.send(shared::ToLane::Suspects(Arc::clone(&suspects))).ok();
                }
            }
            control::Output::TrialGranted(trial) => {
                for lane in &self.shared.lanes {
                    lane.send(shared::ToLane::Granted(trial)).ok();
                }
            }
            control::Output::Revalidated => {
                for lane in &self.shared.lanes {
                    lane.send(shared::ToLane::Revalidated).ok();
                }
            }
            control::Output::Refused { kind, stamp, faults } => {
                self.refused.clear();
                for fault in faults.iter().take(FAULTS_SHOWN) {
                    tracing::warn!(catalog = %kind, stamp = %stamp, detail = %fault, "refused a document");
                    self.refused.push(format_compact!("{fault}"));
                }
            }
            control::Output::Breach(breach) => self.shared.metrics.breach(&breach),
        }
    }

    fn read_manifest(&self, kind: catalog::Kind) {
        let path = wire::platform::Path::Value { key: kind.manifest_key() }.to_string();
        self.call(path, clock::Millis::ZERO, move |text| control::Input::Manifest { kind, is_watch: false, text });
    }

    fn watch(&self, kind: catalog::Kind, after: u64) {
        let wait = self.shared.settings.control.watch;
        let path = wire::platform::Path::Watch { key: kind.manifest_key(), after, wait_ms: wait.0 }.to_string();
        self.call(path, wait, move |text| control::Input::Manifest { kind, is_watch: true, text });
    }

    fn read_part(&self, kind: catalog::Kind, key: CompactString) {
        let path = wire::platform::Path::Value { key: &key }.to_string();
        self.call(path, clock::Millis::ZERO, move |text| control::Input::Part { kind, key, text });
    }

    fn call(
        &self,
        path: String,
        wait: clock::Millis,
        input: impl FnOnce(Option<Arc<str>>) -> control::Input + 'static,
    ) {
        let address = self.shared.settings.platform;
        let words = self.shared.control.clone();
        task::spawn_local(async move {
            let mut client = platform::Client::default();
            let text = match client
                .get(address, &path, platform::READ_PATIENCE + time::duration(wait), catalog::MAX_VALUE_BYTES)
                .await
            {
                Ok(answer) => text(&path, &answer),
                Err(error) if error.is_fault() => {
                    tracing::warn!(detail = %error, "refused a value");
                    None
                }
                Err(error) => {
                    tracing::debug!(detail = %error, "the platform did not answer");
                    None
                }
            };
            words.send(shared::ToControl::Input(input(text))).ok();
        });
    }

    fn list(&self, after: Option<CompactString>) {
        let Some(registry) = self.shared.interface.registry else {
            return;
        };
        let path = registry.list_path(after.as_deref());
        let address = self.shared.settings.platform;
        let words = self.shared.control.clone();
        task::spawn_local(async move {
            let mut client = platform::Client::default();
            let answer = client.get(address, &path, platform::READ_PATIENCE, REGISTRY_BYTES).await;
            let page = match answer {
                Ok(answer) if answer.status == http::StatusCode::OK => {
                    match registry.page(&answer.headers, &answer.body) {
                        Ok(page) => Some(page),
                        Err(problem) => {
                            tracing::warn!(detail = problem, "a page of the registry cannot be read");
                            None
                        }
                    }
                }
                Ok(answer) => {
                    tracing::info!(status = answer.status.as_u16(), "the registry refused a read");
                    None
                }
                Err(error) => {
                    tracing::info!(detail = %error, "the registry did not answer a read");
                    None
                }
            };
            words.send(shared::ToControl::Input(control::Input::Page(page))).ok();
        });
    }

    fn follow(&mut self, ticket: u64, after: u64, wait: clock::Millis, patience: clock::Millis) {
        let Some(registry) = self.shared.interface.registry else {
            return;
        };
        if let Some(following) = self.following.take() {
            following.abort();
        }
        let path = registry.watch_path(after, wait);
        let address = self.shared.settings.platform;
        let words = self.shared.control.clone();
        let follower = Rc::clone(&self.follower);
        let task = task::spawn_local(async move {
            let mut client = follower.take();
            let answer = client.get(address, &path, time::duration(wait + patience), REGISTRY_BYTES).await;
            let changes = match answer {
                Ok(answer) => changes(registry, &answer),
                Err(error) => {
                    tracing::info!(detail = %error, "the registry did not answer");
                    mirror::Changes::Failed
                }
            };
            follower.replace(client);
            words.send(shared::ToControl::Input(control::Input::Changes { ticket, changes })).ok();
        });
        self.following = Some(task.abort_handle());
    }

    fn publish(&self) {
        let stats = self.core.stats();
        self.shared.metrics.set_control(&stats);
        let classes = self.core.view().map(|view| view.classes.keys().cloned().collect());
        self.shared.status.store(Arc::new(shared::Status {
            host: self.shared.settings.name.clone(),
            data_centre: self.shared.settings.data_centre.clone(),
            config: format_compact!("{}", self.core.stamp(catalog::Kind::Config)),
            hosts: format_compact!("{}", self.core.stamp(catalog::Kind::Hosts)),
            config_age_ms: self.core.age(catalog::Kind::Config),
            hosts_age_ms: self.core.age(catalog::Kind::Hosts),
            watcher: self.core.is_watcher(),
            refused: self.refused.clone(),
            control: stats,
            has_view: self.core.view().is_some(),
            members: self.core.members().map(|(name, state)| (name.clone(), state)).collect(),
            classes: classes.unwrap_or_default(),
            suspects: self.core.suspects(),
            evacuated: self.core.view().map(|view| view.evacuated.iter().cloned().collect()).unwrap_or_default(),
        }));
    }
}

fn text(path: &str, answer: &platform::Answer) -> Option<Arc<str>> {
    if answer.status != http::StatusCode::OK {
        tracing::debug!(path, status = answer.status.as_u16(), "the platform refused a read");
        return None;
    }
    match str::from_utf8(&answer.body) {
        Ok(text) => Some(Arc::from(text)),
        Err(error) => {
            tracing::warn!(path, detail = %error, "refused a value that is not UTF-8");
            None
        }
    }
}

fn changes(registry: &dyn wire::protocol::Registry, answer: &platform::Answer) -> mirror::Changes {
    let is_answer = matches!(answer.status, http::StatusCode::OK | http::StatusCode::GONE);
    if !is_answer {
        tracing::info!(status = answer.status.as_u16(), "the registry refused to tell changes");
        return mirror::Changes::Failed;
    }
    match registry.changes(answer.status, &answer.headers, &answer.body) {
        Ok(changes) => changes,
        Err(problem) => {
            tracing::warn!(detail = problem, "changes of the registry cannot be read");
            mirror::Changes::Failed
        }
    }
}

/// Writes an event to the log.
fn log(note: &note::Note) {
    match note {
        note::Note::RegistryLost { at } => tracing::warn!(%at, "lost the registry"),
        note::Note::RegistryRecovered { at } => tracing::info!(%at, "the registry is back"),
        note::Note::HistoryCompacted { at } => tracing::info!(%at, "the registry forgot its history; reading it whole"),
        note::Note::StaleRead { at, read_at } => {
            tracing::warn!(%at, %read_at, "dropped a whole read of the registry older than the known revision");
        }
        note::Note::Restored { at, era } => {
            tracing::warn!(%at, era, "the registry was restored from a backup; reading it whole");
        }
        note::Note::Outdated { kind, stamp, in_force } => {
            tracing::warn!(%kind, %stamp, %in_force, "the registry has an older document; the one in force stays");
        }
        note::Note::RestoreOverridden { removed, evacuated } => {
            let (removed, evacuated) = (removed.join(","), evacuated.join(","));
            tracing::warn!(removed, evacuated, "temporarily overriding outdated contents of the restored registry");
        }
        note::Note::FromPeer { from, stamp } => {
            tracing::info!(peer = %from, stamp = %stamp, "took a catalog of a peer")
        }
        note::Note::Standing { standing, known } => tracing::info!(?standing, known, "this host's standing"),
        note::Note::Joined { names, known } => {
            let first = names[..names.len().min(HOSTS_NAMED)].join(",");
            tracing::info!(peers = first, joined = names.len(), known, "heard of hosts");
        }
        note::Note::PartitionHealed { silence } => {
            tracing::info!(silence_ms = silence.0, "hears from other hosts again")
        }
        note::Note::Silent { names } => tracing::info!(peers = names.join(","), "hosts do not reply"),
        note::Note::Replied { peer } => tracing::info!(%peer, "a silent host replies again"),
        note::Note::Forgotten { known } => tracing::info!(known, "forgot silent hosts"),
        note::Note::Held { server, span } => {
            tracing::info!(%server, hold_ms = span.0, "a server is missing from the list and held");
        }
        note::Note::HoldExpired { servers } => tracing::info!(servers = servers.join(","), "missing servers are gone"),
        note::Note::Evacuated { data_centres, servers, stamp } => {
            let data_centres = data_centres.join(",");
            tracing::info!(data_centres, servers, hosts = %stamp, "evacuated data centres changed");
        }
        note::Note::Crash(crash) => {
            let server = crash.server.as_str();
            tracing::warn!(fingerprint = %crash.fingerprint, server, "a request was lost with a server that died");
        }
        note::Note::Suspect { fingerprint, standing, servers, attempts } => {
            let standing = standing.as_str();
            tracing::warn!(%fingerprint, standing, servers, attempts, "a request may crash servers");
        }
        note::Note::TrialGranted(trial) => {
            let fingerprint = trial.fingerprint;
            tracing::warn!(%fingerprint, attempt = trial.attempt, "granted a trial of a request that is suspected");
        }
        note::Note::Cleared(fingerprint) => tracing::info!(%fingerprint, "a request does not crash servers"),
        note::Note::Unreadable(fault) => tracing::warn!(detail = %fault, "left an entry out"),
    }
}
