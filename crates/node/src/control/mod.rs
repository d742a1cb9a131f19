//! The control thread: runs the control core, reads from the platform and exchanges messages with other hosts.

pub(crate) mod peer;
mod platform;

use std::{cell::RefCell, rc::Rc, str, sync::Arc, thread};

use compact_str::{CompactString, format_compact};
use shallothub_core::{catalog, clock, control, control::mirror, control::note};
use shallothub_wire as wire;
use snafu::ResultExt;
use tokio::{runtime, sync::mpsc, task, time::sleep};

use crate::{error, shared, time};

/// Maximum time between two steps of the core if no registry is used.
const TICK: clock::Millis = clock::Millis(250);
/// Maximum size of a registry response (a page or a batch of changes) in bytes, including the base64 overhead.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Maximum time between two publications of the node's status if it does not change.
const PUBLISH_INTERVAL: clock::Millis = clock::Millis(1000);
/// Maximum number of hosts named in a log line about several hosts.
const MAX_LOGGED_HOSTS: usize = 8;
/// Maximum number of servers named in a log line about several servers.
const MAX_LOGGED_SERVERS: usize = 8;
/// Maximum number of faults of a refused document that are logged and included in the status.
const MAX_REPORTED_FAULTS: usize = 20;

/// Starts the control thread, which runs until the process exits.
pub(crate) fn start(
    shared: Arc<shared::Shared>,
    messages: mpsc::UnboundedReceiver<shared::ToControl>,
    listener: peer::Listener,
) -> Result<thread::JoinHandle<()>, error::Error> {
    let builder = thread::Builder::new().name("control".to_owned());
    let thread = builder.spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else {
            tracing::error!("cannot create the runtime of the control thread");
            return;
        };
        let local = task::LocalSet::new();
        local.block_on(&runtime, async move {
            let _listener = listener;
            Thread::new(shared).run(messages).await;
        });
    });
    thread.context(error::ThreadSnafu)
}

struct Thread {
    shared: Arc<shared::Shared>,
    core: control::Core,
    senders: peer::Senders,
    refused: Vec<CompactString>,
    /// The connection for requests for changes, and the task of the request in flight.
    registry_watch_client: Rc<RefCell<platform::Client>>,
    registry_watch_task: Option<task::AbortHandle>,
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
        let seed = catalog::Digest::of(&settings.name).0 ^ shared.clock.incarnation();
        let now = shared.clock.now();
        let core = control::Core::new(settings.control.clone(), identity, shared.interface.reader, seed, now);
        Self {
            shared,
            core,
            senders: peer::Senders::default(),
            refused: Vec::new(),
            registry_watch_client: Rc::default(),
            registry_watch_task: None,
            published_at: clock::Millis::ZERO,
        }
    }

    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<shared::ToControl>) {
        loop {
            let mut inputs = Vec::new();
            let now = self.shared.clock.now();
            let wait = match self.shared.interface.registry {
                Some(_) => self.core.next_timer().since(now).clamp(clock::Millis(1), PUBLISH_INTERVAL),
                None => self.core.evidence_timer().since(now).clamp(clock::Millis(1), TICK),
            };
            tokio::select! {
                message = messages.recv() => {
                    let Some(message) = message else { return };
                    self.handle_message(message, &mut inputs);
                    while let Ok(message) = messages.try_recv() {
                        self.handle_message(message, &mut inputs);
                    }
                }
                () = sleep(time::duration(wait)) => inputs.push(control::Input::Tick),
            }
            let now = self.shared.clock.now();
            let outputs = self.core.step(now, inputs);
            let is_status_changed = outputs
                .iter()
                .any(|output| matches!(output, control::Output::View(_) | control::Output::Refused { .. }));
            // Publish before the lanes get the view, so that the status is current once a client finds the node ready.
            if is_status_changed || now.since(self.published_at) >= PUBLISH_INTERVAL {
                self.published_at = now;
                self.publish_status();
            }
            for output in outputs {
                self.perform(output);
            }
        }
    }

    fn handle_message(&mut self, message: shared::ToControl, inputs: &mut Vec<control::Input>) {
        match message {
            shared::ToControl::Input(input) => inputs.push(input),
            shared::ToControl::Revalidate => inputs.push(control::Input::Revalidate),
            shared::ToControl::Seeds(seeds) => inputs.push(control::Input::Seeds(seeds)),
            shared::ToControl::Leaving => inputs.push(control::Input::Leaving),
            shared::ToControl::Peer(bytes) => {
                self.shared.metrics.peer_bytes.with_label_values(&["received"]).inc_by(bytes.len() as u64);
                match wire::peer::decode(&bytes) {
                    Ok(decoded) => inputs.push(control::Input::Peer(decoded)),
                    Err(error) => {
                        tracing::debug!(detail = %error, "dropped a message from another host that cannot be decoded")
                    }
                }
            }
            shared::ToControl::Explain(selector, reply) => {
                // Fails if the requester has gone away; the reply is then not needed.
                reply.send(self.core.explain(&selector)).ok();
            }
        }
    }

    fn perform(&mut self, output: control::Output) {
        match output {
            control::Output::ReadManifest(kind) => self.read_manifest(kind),
            control::Output::Watch { kind, after } => self.watch(kind, after),
            control::Output::ReadPart { kind, key } => self.read_part(kind, key),
            control::Output::Reconnect { to } => self.senders.close(&to),
            control::Output::List { after } => self.list(after),
            control::Output::WatchRegistry { ticket, after, wait, timeout } => {
                self.watch_registry(ticket, after, wait, timeout)
            }
            control::Output::Note(note) => log_note(&note),
            control::Output::Send { to, compress, message } => {
                let bytes = self.senders.send(&to, &message, compress);
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
            control::Output::Evidence(standings) => {
                for lane in &self.shared.lanes {
                    lane.send(shared::ToLane::Evidence(Arc::clone(&standings))).ok();
                }
            }
            control::Output::Urgency(states) => {
                for lane in &self.shared.lanes {
                    lane.send(shared::ToLane::Urgency(Arc::clone(&states))).ok();
                }
            }
            control::Output::TrialGranted(trial) => {
                for lane in &self.shared.lanes {
                    lane.send(shared::ToLane::TrialGranted(trial)).ok();
                }
            }
            control::Output::Revalidated => {
                for lane in &self.shared.lanes {
                    lane.send(shared::ToLane::Revalidated).ok();
                }
            }
            control::Output::Refused { kind, stamp, faults } => {
                self.refused.clear();
                for fault in faults.iter().take(MAX_REPORTED_FAULTS) {
                    tracing::warn!(catalog = %kind, stamp = %stamp, detail = %fault, "refused a document");
                    self.refused.push(format_compact!("{fault}"));
                }
            }
            control::Output::Breach(breach) => self.shared.metrics.record_breach(&breach),
        }
    }

    fn read_manifest(&self, kind: catalog::Kind) {
        let path = wire::platform::Path::Value { key: kind.manifest_key() }.to_string();
        self.fetch(path, clock::Millis::ZERO, move |text| control::Input::Manifest { kind, is_watch: false, text });
    }

    fn watch(&self, kind: catalog::Kind, after: u64) {
        let wait = self.shared.settings.control.watch;
        let path = wire::platform::Path::Watch { key: kind.manifest_key(), after, wait_ms: wait.0 }.to_string();
        self.fetch(path, wait, move |text| control::Input::Manifest { kind, is_watch: true, text });
    }

    fn read_part(&self, kind: catalog::Kind, key: CompactString) {
        let path = wire::platform::Path::Value { key: &key }.to_string();
        self.fetch(path, clock::Millis::ZERO, move |text| control::Input::Part { kind, key, text });
    }

    fn fetch(
        &self,
        path: String,
        wait: clock::Millis,
        input: impl FnOnce(Option<Arc<str>>) -> control::Input + 'static,
    ) {
        let address = self.shared.settings.platform;
        let sender = self.shared.control.clone();
        task::spawn_local(async move {
            let mut client = platform::Client::default();
            let text = match client
                .get(address, &path, platform::READ_TIMEOUT + time::duration(wait), catalog::MAX_VALUE_BYTES)
                .await
            {
                Ok(response) => response_text(&path, &response),
                Err(error) if error.is_value_fault() => {
                    tracing::warn!(detail = %error, "discarded a value that is too large or incomplete");
                    None
                }
                Err(error) => {
                    tracing::debug!(detail = %error, "a request to the platform failed");
                    None
                }
            };
            sender.send(shared::ToControl::Input(input(text))).ok();
        });
    }

    fn list(&self, after: Option<CompactString>) {
        let Some(registry) = self.shared.interface.registry else {
            return;
        };
        let path = registry.list_path(after.as_deref());
        let address = self.shared.settings.platform;
        let sender = self.shared.control.clone();
        task::spawn_local(async move {
            let mut client = platform::Client::default();
            let response = client.get(address, &path, platform::READ_TIMEOUT, MAX_RESPONSE_BYTES).await;
            let page = match response {
                Ok(response) if response.status == http::StatusCode::OK => {
                    match registry.page(&response.headers, &response.body) {
                        Ok(page) => Some(page),
                        Err(problem) => {
                            tracing::warn!(detail = problem, "cannot parse a page of the registry");
                            None
                        }
                    }
                }
                Ok(response) => {
                    tracing::info!(status = response.status.as_u16(), "the registry rejected a request for a page");
                    None
                }
                Err(error) => {
                    tracing::info!(detail = %error, "a request to the registry for a page failed");
                    None
                }
            };
            sender.send(shared::ToControl::Input(control::Input::Page(page))).ok();
        });
    }

    fn watch_registry(&mut self, ticket: u64, after: u64, wait: clock::Millis, timeout: clock::Millis) {
        let Some(registry) = self.shared.interface.registry else {
            return;
        };
        if let Some(registry_watch_task) = self.registry_watch_task.take() {
            registry_watch_task.abort();
        }
        let path = registry.watch_path(after, wait);
        let address = self.shared.settings.platform;
        let sender = self.shared.control.clone();
        let registry_watch_client = Rc::clone(&self.registry_watch_client);
        let task = task::spawn_local(async move {
            let mut client = registry_watch_client.take();
            let response = client.get(address, &path, time::duration(wait + timeout), MAX_RESPONSE_BYTES).await;
            let changes = match response {
                Ok(response) => parse_changes(registry, &response),
                Err(error) => {
                    tracing::info!(detail = %error, "a request to the registry for changes failed");
                    mirror::Changes::Failed
                }
            };
            registry_watch_client.replace(client);
            sender.send(shared::ToControl::Input(control::Input::Changes { ticket, changes })).ok();
        });
        self.registry_watch_task = Some(task.abort_handle());
    }

    fn publish_status(&self) {
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
            standings: self.core.server_standings(),
            demand: stats.demand,
            gathering: self.core.gathering().cloned().collect(),
            held: self.shared.memory.as_ref().map(|memory| memory.status()),
            urgency: self.core.urgency().clone(),
            evacuated: self.core.view().map(|view| view.evacuated.iter().cloned().collect()).unwrap_or_default(),
        }));
    }
}

fn response_text(path: &str, response: &platform::Response) -> Option<Arc<str>> {
    if response.status != http::StatusCode::OK {
        tracing::debug!(path, status = response.status.as_u16(), "the platform rejected a read");
        return None;
    }
    match str::from_utf8(&response.body) {
        Ok(text) => Some(Arc::from(text)),
        Err(error) => {
            tracing::warn!(path, detail = %error, "discarded a value that is not UTF-8");
            None
        }
    }
}

fn parse_changes(registry: &dyn wire::protocol::Registry, response: &platform::Response) -> mirror::Changes {
    let is_expected = matches!(response.status, http::StatusCode::OK | http::StatusCode::GONE);
    if !is_expected {
        tracing::info!(status = response.status.as_u16(), "the registry rejected a request for changes");
        return mirror::Changes::Failed;
    }
    match registry.changes(response.status, &response.headers, &response.body) {
        Ok(changes) => changes,
        Err(problem) => {
            tracing::warn!(detail = problem, "cannot parse changes of the registry");
            mirror::Changes::Failed
        }
    }
}

/// Writes an event of the core to the log.
fn log_note(note: &note::Note) {
    match note {
        note::Note::RegistryLost { at } => tracing::warn!(%at, "lost the registry"),
        note::Note::RegistryRecovered { at } => tracing::info!(%at, "the registry answers again"),
        note::Note::HistoryCompacted { at } => {
            tracing::info!(%at, "the registry discarded its change history; starting a full read")
        }
        note::Note::StaleRead { at, read_at } => {
            tracing::warn!(%at, %read_at, "discarded a full read of the registry older than the known revision");
        }
        note::Note::Restored { at, era } => {
            tracing::warn!(%at, era, "the registry was restored from a backup; starting a full read");
        }
        note::Note::Outdated { kind, stamp, in_force } => {
            tracing::warn!(%kind, %stamp, %in_force, "the registry has an older document; the one in force stays");
        }
        note::Note::RestoreOverridden { removed, evacuated } => {
            let (removed, evacuated) = (removed.join(","), evacuated.join(","));
            tracing::warn!(removed, evacuated, "temporarily overriding outdated contents of the restored registry");
        }
        note::Note::FromPeer { from, stamp } => {
            tracing::info!(peer = %from, stamp = %stamp, "adopted a catalog from a peer")
        }
        note::Note::Standing { standing, known } => {
            tracing::info!(?standing, known, "the standing of this host changed")
        }
        note::Note::Joined { names, known } => {
            let listed = names[..names.len().min(MAX_LOGGED_HOSTS)].join(",");
            tracing::info!(peers = listed, joined = names.len(), known, "discovered hosts");
        }
        note::Note::PartitionHealed { silence } => {
            tracing::info!(silence_ms = silence.0, "hears from other hosts again")
        }
        note::Note::Silent { names } => tracing::info!(peers = names.join(","), "hosts do not reply"),
        note::Note::Replied { peer } => tracing::info!(%peer, "a silent host replies again"),
        note::Note::Forgotten { known } => tracing::info!(known, "removed silent hosts from the membership"),
        note::Note::Held { server, span } => {
            tracing::info!(%server, hold_ms = span.0, "holding a server that is missing from the list");
        }
        note::Note::HoldExpired { servers } => {
            tracing::info!(servers = servers.join(","), "the hold of missing servers expired")
        }
        note::Note::Evacuated { data_centres, servers, stamp } => {
            let data_centres = data_centres.join(",");
            tracing::info!(data_centres, servers, hosts = %stamp, "the set of evacuated data centres changed");
        }
        note::Note::Crash(crash) => {
            let server = crash.server.as_str();
            tracing::warn!(fingerprint = %crash.fingerprint, server, "a request was in flight on a server that died");
        }
        note::Note::Suspect { fingerprint, standing, servers, attempts } => {
            let standing = standing.as_str();
            tracing::warn!(%fingerprint, standing, servers, attempts, "the standing of a suspected request changed");
        }
        note::Note::TrialGranted(trial) => {
            let fingerprint = trial.fingerprint;
            tracing::warn!(%fingerprint, attempt = trial.attempt, "granted a trial of a suspected request");
        }
        note::Note::Cleared(fingerprint) => tracing::info!(%fingerprint, "cleared a suspected request"),
        note::Note::ServerStandings { began, ended, standings } => {
            let listed = |names: &[CompactString]| names[..names.len().min(MAX_LOGGED_SERVERS)].join(",");
            tracing::info!(
                began = listed(began),
                began_count = began.len(),
                ended = listed(ended),
                ended_count = ended.len(),
                standings,
                "the standing of servers changed"
            );
        }
        note::Note::Gathering(gathering) => {
            let listed = gathering.hosts[..gathering.hosts.len().min(MAX_LOGGED_HOSTS)].join(",");
            let (set, gathering_hosts) = (gathering.set.as_str(), gathering.hosts.len());
            let demand = gathering.demand.map(|demand| demand.per_second());
            let reason = gathering.reason.as_str();
            tracing::info!(set, hosts = listed, gathering_hosts, demand, reason, "the gathering hosts changed");
        }
        note::Note::Urgency(change) if change.threshold.is_open() => {
            tracing::info!(set = %change.set, "admits requests of every urgency again");
        }
        note::Note::Urgency(change) => {
            let (threshold, wait_ms) = (change.threshold.get(), change.wait.0);
            tracing::warn!(set = %change.set, threshold, wait_ms, "rejects requests above the threshold of urgency");
        }
        note::Note::Unreadable(fault) => tracing::warn!(detail = %fault, "ignored an entry that cannot be parsed"),
    }
}
