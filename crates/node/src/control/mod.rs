//! The control thread: it runs the control core, reads the platform and talks to other hosts.

pub(crate) mod peer;
mod platform;

use std::{sync::Arc, thread};

use compact_str::{CompactString, format_compact};
use shallothub_core::{catalog, clock, control};
use shallothub_settings::document;
use shallothub_wire as wire;
use snafu::ResultExt;
use tokio::{runtime, sync::mpsc, task, time::sleep};

use crate::{error, shared, time};

/// Time between two steps when nothing happens.
const TICK: clock::Millis = clock::Millis(100);
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
}

impl Thread {
    fn new(shared: Arc<shared::Shared>) -> Self {
        let settings = &shared.settings;
        let identity = control::Identity {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            peer: format_compact!("{}", shared.peer),
            seeds: settings.seeds.iter().map(|seed| format_compact!("{seed}")).collect(),
        };
        let seed = catalog::Digest::of(&settings.name).0 ^ shared.origin.start();
        let now = shared.origin.now();
        let core = control::Core::new(settings.control.clone(), identity, document::READER, seed, now);
        Self { shared, core, senders: peer::Senders::default(), refused: Vec::new() }
    }

    async fn run(mut self, mut words: mpsc::UnboundedReceiver<shared::ToControl>) {
        loop {
            let mut inputs = Vec::new();
            tokio::select! {
                word = words.recv() => {
                    let Some(word) = word else { return };
                    self.take(word, &mut inputs);
                    while let Ok(word) = words.try_recv() {
                        self.take(word, &mut inputs);
                    }
                }
                () = sleep(time::duration(TICK)) => inputs.push(control::Input::Tick),
            }
            let now = self.shared.origin.now();
            for output in self.core.step(now, inputs) {
                self.carry_out(output);
            }
            self.publish();
        }
    }

    fn take(&mut self, word: shared::ToControl, inputs: &mut Vec<control::Input>) {
        match word {
            shared::ToControl::Input(input) => inputs.push(input),
            shared::ToControl::Revalidate => inputs.push(control::Input::Revalidate),
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
            control::Output::Send { to, message } => {
                let bytes = self.senders.send(&to, &message);
                self.shared.metrics.peer_bytes.with_label_values(&["sent"]).inc_by(bytes as u64);
            }
            control::Output::View(view) => {
                tracing::info!(stamp = %view.stamp, hosts = %view.hosts_revision, "a view is in force");
                for lane in &self.shared.lanes {
                    lane.send(shared::ToLane::View(Arc::clone(&view))).ok();
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
        self.call(path, clock::Millis::ZERO, move |text| control::Input::Manifest { kind, watched: false, text });
    }

    fn watch(&self, kind: catalog::Kind, after: u64) {
        let wait = self.shared.settings.control.watch;
        let path = wire::platform::Path::Watch { key: kind.manifest_key(), after, wait_ms: wait.0 }.to_string();
        self.call(path, wait, move |text| control::Input::Manifest { kind, watched: true, text });
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
            let text = match platform::get(address, &path, wait).await {
                Ok(text) => Some(text),
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
            classes: classes.unwrap_or_default(),
        }));
    }
}
