//! Starting a node, and walking it through its life.

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

/// The product's own interface.
pub fn own_interface() -> protocol::Interface {
    protocol::Interface { frontend: &own::Own, backend: &own::Own, reader: document::READER, registry: None }
}

/// Runs a node until SIGTERM or SIGINT and its drain. SIGHUP reads the settings again. `platform` is the interface of the users' platform.
pub fn run(path: &str, platform: protocol::Interface) -> Result<(), error::Error> {
    let settings = settings(path)?;
    let log = log::start(&settings.log)?;
    let interface = match settings.interface {
        node::Interface::Own => own_interface(),
        node::Interface::Platform => platform,
    };
    let shared = start(settings, interface)?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build().context(error::ThreadSnafu)?;
    let result = runtime.block_on(live(shared, &log, path));
    log.flush();
    result
}

fn bind(address: net::SocketAddr) -> Result<net::TcpListener, error::Error> {
    let listener = net::TcpListener::bind(address).context(error::ListenSnafu { address })?;
    listener.set_nonblocking(true).context(error::ListenSnafu { address })?;
    Ok(listener)
}

/// Starts the threads of a node.
pub fn start(settings: node::Settings, interface: protocol::Interface) -> Result<Arc<shared::Shared>, error::Error> {
    let address = settings.listen;
    let listener = bind(address)?;
    let ready = settings.ready.map(bind).transpose()?;
    let relay = settings.relay.map(bind).transpose()?;
    let admin = settings.admin.and_then(|address| match bind(address) {
        Ok(listener) => Some(listener),
        // Without its pages the node still serves callers.
        Err(error) => {
            tracing::warn!(detail = %error, "metrics and status are not served");
            None
        }
    });
    let (control, control_words) = mpsc::unbounded_channel();
    let mut lanes = Vec::new();
    let mut lane_words = Vec::new();
    for _ in 0..settings.traffic_threads {
        let (sender, receiver) = mpsc::unbounded_channel();
        lanes.push(sender);
        lane_words.push(receiver);
    }
    let peers = control::peer::Listener::new(settings.peer, control.clone())?;
    let addresses = shared::Addresses {
        listen: listener.local_addr().context(error::ListenSnafu { address })?,
        peer: peers.address(),
        ready: local(ready.as_ref()),
        admin: local(admin.as_ref()),
        relay: local(relay.as_ref()),
    };
    let shared = shared::Shared::new(settings, interface, addresses, metrics::Metrics::new()?, lanes, control);
    let shared = Arc::new(shared);
    report_start(&shared);
    control::start(Arc::clone(&shared), control_words, peers)?;
    let (mut ready, mut admin, mut relay) = (ready, admin, relay);
    for (index, words) in lane_words.into_iter().enumerate() {
        let callers = listener.try_clone().context(error::ListenSnafu { address })?;
        // The first lane serves the pages for the whole node.
        let listeners = lane::Listeners { callers, ready: ready.take(), admin: admin.take(), relay: relay.take() };
        lane::start(Arc::clone(&shared), index, listeners, words)?;
    }
    Ok(shared)
}

/// The address of a listener, with the port that was given out if the settings say 0.
fn local(listener: Option<&net::TcpListener>) -> Option<net::SocketAddr> {
    listener.and_then(|listener| listener.local_addr().ok())
}

fn report_start(shared: &shared::Shared) {
    let settings = &shared.settings;
    tracing::info!(
        host = %settings.name,
        data_centre = %settings.data_centre,
        version = env!("CARGO_PKG_VERSION"),
        interface = ?settings.interface,
        life = format!("{:016x}", shared.origin.start()),
        listen = %shared.addresses.listen,
        peer = %shared.addresses.peer,
        ready = shared.addresses.ready.map(tracing::field::display),
        admin = shared.addresses.admin.map(tracing::field::display),
        relay = shared.addresses.relay.map(tracing::field::display),
        platform = %settings.platform,
        "listening"
    );
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
            let mut watch = reload::Watch::new(shared, log, path);
            loop {
                tokio::select! {
                    _ = term.recv() => break,
                    _ = interrupt.recv() => break,
                    _ = hang_up.recv() => watch.read("SIGHUP"),
                    () = sleep(reload::LOOK) => watch.look(),
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
