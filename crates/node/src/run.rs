//! Starting a node, and walking it through its life.

use std::{fs, net, sync::Arc};

use shallothub_settings::node;
use snafu::ResultExt;
use tokio::{runtime, signal::unix, sync::mpsc};

use crate::{control, error, lane, life, log, metrics, shared};

/// Reads and checks the settings at `path`.
pub fn settings(path: &str) -> Result<node::Settings, error::Error> {
    let text = fs::read_to_string(path).context(error::ReadSettingsSnafu { path })?;
    match node::read(path, &text) {
        Ok(settings) => Ok(settings),
        Err(faults) => error::SettingsSnafu { faults }.fail(),
    }
}

/// Runs a node until SIGTERM or SIGINT and its drain. SIGHUP reads the log filter again.
pub fn run(path: &str) -> Result<(), error::Error> {
    let settings = settings(path)?;
    let log = log::start(&settings.log)?;
    let shared = start(settings)?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build().context(error::ThreadSnafu)?;
    runtime.block_on(live(shared, &log, path))
}

/// Starts the threads of a node.
pub fn start(settings: node::Settings) -> Result<Arc<shared::Shared>, error::Error> {
    let address = settings.listen;
    let listener = net::TcpListener::bind(address).context(error::ListenSnafu { address })?;
    listener.set_nonblocking(true).context(error::ListenSnafu { address })?;
    let (control, control_words) = mpsc::unbounded_channel();
    let mut lanes = Vec::new();
    let mut lane_words = Vec::new();
    for _ in 0..settings.traffic_threads {
        let (sender, receiver) = mpsc::unbounded_channel();
        lanes.push(sender);
        lane_words.push(receiver);
    }
    let peers = control::peer::Listener::new(settings.peer, control.clone())?;
    let addresses = [listener.local_addr().context(error::ListenSnafu { address })?, peers.address()];
    tracing::info!(host = %settings.name, listen = %addresses[0], peer = %addresses[1], "listening");
    let shared = Arc::new(shared::Shared::new(settings, addresses, metrics::Metrics::new()?, lanes, control));
    control::start(Arc::clone(&shared), control_words, peers)?;
    for (index, words) in lane_words.into_iter().enumerate() {
        let listener = listener.try_clone().context(error::ListenSnafu { address })?;
        lane::start(Arc::clone(&shared), index, listener, words)?;
    }
    Ok(shared)
}

async fn live(shared: Arc<shared::Shared>, log: &log::Handle, path: &str) -> Result<(), error::Error> {
    let mut term = unix::signal(unix::SignalKind::terminate()).context(error::ThreadSnafu)?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt()).context(error::ThreadSnafu)?;
    let mut hang_up = unix::signal(unix::SignalKind::hangup()).context(error::ThreadSnafu)?;
    let starting = life::Node::new(Arc::clone(&shared));
    let ready = tokio::select! {
        ready = starting.ready() => Some(ready),
        _ = term.recv() => None,
        _ = interrupt.recv() => None,
    };
    let draining = match ready {
        None => life::Node::new(shared).abandon(),
        Some(ready) => {
            loop {
                tokio::select! {
                    _ = term.recv() => break,
                    _ = interrupt.recv() => break,
                    _ = hang_up.recv() => reload(log, path),
                }
            }
            ready.drain()
        }
    };
    let stopped = draining.stop().await;
    let cut_off = stopped.cut_off();
    if cut_off > 0 {
        tracing::error!(in_flight = cut_off, "requests outlasted the longest drain");
    }
    Ok(())
}

/// Takes the log filter from the settings again; anything else needs a restart.
fn reload(log: &log::Handle, path: &str) {
    match settings(path) {
        Ok(settings) if log.set(&settings.log) => tracing::info!(filter = %settings.log, "log filter set"),
        Ok(settings) => tracing::warn!(filter = %settings.log, "the log filter cannot be read; the old one stays"),
        Err(error) => tracing::warn!(detail = %error, "the settings have faults; the old log filter stays"),
    }
}
