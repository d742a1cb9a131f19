//! Errors that prevent a node from starting. An error in a single request, read or message never does:
//! it is converted to an input of the core where it occurs.

use std::{io, net};

use shallothub_core::plan;
use snafu::Snafu;

/// An error that prevents a node from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The settings file cannot be read.
    #[snafu(display("cannot read the settings `{path}`; check the path given with --settings"))]
    ReadSettings {
        /// The path given with `--settings`.
        path: String,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The settings are invalid.
    #[snafu(display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))]
    Settings {
        /// All faults found, each on its own line of the message.
        faults: Vec<plan::Fault>,
    },
    /// A TCP listener cannot be bound.
    #[snafu(display("cannot listen on {address}; check that it is free and belongs to this host"))]
    Listen {
        /// The address from the settings.
        address: net::SocketAddr,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The socket for messages from other hosts cannot be opened.
    #[snafu(display("cannot listen for other hosts on {address}; check that the address is free"))]
    ListenPeer {
        /// The address from the settings.
        address: net::SocketAddr,
        /// The underlying error of the messaging library.
        source: nng::Error,
    },
    /// A thread, its async runtime or a signal handler cannot be created.
    #[snafu(display("cannot create a thread, an async runtime or a signal handler"))]
    Thread {
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The log filter is invalid.
    #[snafu(display("invalid log filter `{filter}`; use one such as `info`"))]
    Log {
        /// The filter from the settings.
        filter: String,
    },
    /// The metrics cannot be registered.
    #[snafu(display("cannot register the metrics"))]
    Metrics {
        /// The underlying error of the metrics library.
        source: prometheus::Error,
    },
}
