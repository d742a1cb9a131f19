//! Errors that stop a node from starting. Errors of a single request, read or message never do:
//! they are turned into an input of the core where they happen.

use std::{io, net};

use shallothub_core::plan;
use snafu::Snafu;

/// Why a node cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The settings cannot be read from the file system.
    #[snafu(display("cannot read the settings `{path}`; check the path given with --settings"))]
    ReadSettings {
        /// The path.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The settings have faults.
    #[snafu(display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))]
    Settings {
        /// All of them.
        faults: Vec<plan::Fault>,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}; is another process there, or is it not this host's?"))]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The socket for other hosts cannot be opened.
    #[snafu(display("cannot listen for other hosts on {address}; is another process there?"))]
    ListenPeer {
        /// The address.
        address: net::SocketAddr,
        /// Why.
        source: nng::Error,
    },
    /// A thread, its runtime or a signal handler cannot be had.
    #[snafu(display("the system gives no thread or signal handler"))]
    Thread {
        /// Why.
        source: io::Error,
    },
    /// The log cannot be set up.
    #[snafu(display("the log filter `{filter}` cannot be read; write one such as `info`"))]
    Log {
        /// The filter.
        filter: String,
    },
    /// The metrics cannot be registered.
    #[snafu(display("the metrics cannot be set up"))]
    Metrics {
        /// Why.
        source: prometheus::Error,
    },
}
