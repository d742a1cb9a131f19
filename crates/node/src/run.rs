//! Starts a node and runs it through its lifecycle.

use std::{fs, net, sync::Arc};

use shallothub_settings::{document, node};
use shallothub_wire::{own, protocol};
use snafu::ResultExt;
use tokio::{runtime, signal::unix, sync::mpsc, time::sleep};

use crate::{control, error, lane, life, log, metrics, reload, shared};

/// Reads and checks the settings at `path`.
pub fn settings(path: &str) -> Result<node::Settings, error::Error> {
    let text = fs::read_to_string(path).context(error::ReadSettingsSnafu { path })?;
    match node::read(path, &text) {
        Ok(settings) => Ok(settings),
        Err(faults) => error::SettingsSnafu { faults }.fail(),
    }
}

/// Returns the product's own interface, which the setting `interface: own` selects.
pub fn own_interface() -> protocol::Interface {
    protocol::Interface { frontend: &own::Own, backend: &own::Own, reader: document::READER, registry: None }
}

/// Runs a node until SIGTERM or SIGINT, then drains it. SIGHUP reloads the settings. `platform` is the interface that
/// the setting `interface: platform` selects.
pub fn run(path: &str, platform: protocol::Interface) -> Result<(), error::Error> {
    let settings = settings(path)?;
    let log = log::start(&settings.log)?;
    let interface = match settings.interface {
        node::Interface::Own => own_interface(),
        node::Interface::Platform => platform,
    };
    let shared = start(settings, interface)?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build().context(error::ThreadSnafu)?;
    let result = runtime.block_on(run_lifecycle(shared, &log, path));
    log.flush();
    result
}

fn bind(address: net::SocketAddr) -> Result<net::TcpListener, error::Error> {
    let listener = net::TcpListener::bind(address).context(error::ListenSnafu { address })?;
    listener.set_nonblocking(true).context(error::ListenSnafu { address })?;
    Ok(listener)
}

/// Binds the listeners and starts the threads of a node.
pub fn start(settings: node::Settings, interface: protocol::Interface) -> Result<Arc<shared::Shared>, error::Error> {
    let address = settings.listen;
    let listener = bind(address)?;
    let ready = settings.ready.map(bind).transpose()?;
    let relay = settings.relay.map(bind).transpose()?;
    let admin = settings.admin.and_then(|address| match bind(address) {
        Ok(listener) => Some(listener),
        // The node can serve callers without the admin pages.
        Err(error) => {
            tracing::warn!(detail = %error, "cannot listen on the admin address; metrics and status are not served");
            None
        }
    });
    let (control, control_receiver) = mpsc::unbounded_channel();
    let mut lanes = Vec::new();
    let mut lane_receivers = Vec::new();
    for _ in 0..settings.traffic_threads {
        let (sender, receiver) = mpsc::unbounded_channel();
        lanes.push(sender);
        lane_receivers.push(receiver);
    }
    let peers = control::peer::Listener::new(settings.peer, control.clone())?;
    let addresses = shared::Addresses {
        listen: listener.local_addr().context(error::ListenSnafu { address })?,
        peer: peers.address(),
        ready: local_address(ready.as_ref()),
        admin: local_address(admin.as_ref()),
        relay: local_address(relay.as_ref()),
    };
    let shared = shared::Shared::new(settings, interface, addresses, metrics::Metrics::new()?, lanes, control);
    let shared = Arc::new(shared);
    log_start(&shared);
    control::start(Arc::clone(&shared), control_receiver, peers)?;
    let (mut ready, mut admin, mut relay) = (ready, admin, relay);
    for (index, receiver) in lane_receivers.into_iter().enumerate() {
        let callers = listener.try_clone().context(error::ListenSnafu { address })?;
        // Only the first lane serves the addresses for readiness, operators and relayed requests.
        let listeners = lane::Listeners { callers, ready: ready.take(), admin: admin.take(), relay: relay.take() };
        lane::start(Arc::clone(&shared), index, listeners, receiver)?;
    }
    Ok(shared)
}

/// The address of a listener, with the assigned port if the settings contain port 0.
fn local_address(listener: Option<&net::TcpListener>) -> Option<net::SocketAddr> {
    listener.and_then(|listener| listener.local_addr().ok())
}

fn log_start(shared: &shared::Shared) {
    let settings = &shared.settings;
    tracing::info!(
        host = %settings.name,
        data_centre = %settings.data_centre,
        version = env!("CARGO_PKG_VERSION"),
        interface = ?settings.interface,
        life = format!("{:016x}", shared.clock.incarnation()),
        listen = %shared.addresses.listen,
        peer = %shared.addresses.peer,
        ready = shared.addresses.ready.map(tracing::field::display),
        admin = shared.addresses.admin.map(tracing::field::display),
        relay = shared.addresses.relay.map(tracing::field::display),
        platform = %settings.platform,
        "listening"
    );
}

async fn run_lifecycle(shared: Arc<shared::Shared>, log: &log::Handle, path: &str) -> Result<(), error::Error> {
    let mut term = unix::signal(unix::SignalKind::terminate()).context(error::ThreadSnafu)?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt()).context(error::ThreadSnafu)?;
    let mut hangup = unix::signal(unix::SignalKind::hangup()).context(error::ThreadSnafu)?;
    let starting = life::Node::new(Arc::clone(&shared));
    let ready = tokio::select! {
        ready = starting.ready() => Some(ready),
        _ = term.recv() => None,
        _ = interrupt.recv() => None,
    };
    let draining = match ready {
        None => life::Node::new(shared).abandon(),
        Some(ready) => {
            let mut watcher = reload::Watcher::new(shared, log, path);
            loop {
                tokio::select! {
                    _ = term.recv() => break,
                    _ = interrupt.recv() => break,
                    _ = hangup.recv() => watcher.reload("SIGHUP"),
                    () = sleep(reload::POLL_INTERVAL) => watcher.poll(),
                }
            }
            ready.drain()
        }
    };
    let stopped = draining.stop().await;
    let (unfinished, undelivered) = (stopped.unfinished(), stopped.undelivered());
    if unfinished > 0 {
        tracing::error!(in_flight = unfinished, "requests were still in flight after the maximum drain time");
    }
    if undelivered > unfinished {
        tracing::warn!(connections = undelivered, "answers were not delivered completely in the maximum drain time");
    }
    Ok(())
}
