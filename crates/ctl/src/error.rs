//! Errors of the operator's tool; each says what to do.

use std::{io, net};

use shallothub_core::plan;
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file cannot be read or written.
    #[snafu(display("{path}: {source}"))]
    File {
        /// The path.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// Documents or settings have faults.
    #[snafu(display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))]
    Faults {
        /// All of them.
        faults: Vec<plan::Fault>,
    },
    /// The settings of a node cannot be used.
    #[snafu(display("{source}"))]
    Settings {
        /// Why.
        source: shallothub_node::error::Error,
    },
    /// A node cannot be reached.
    #[snafu(display("no connection to {address}: {source}; does a node listen there?"))]
    Connect {
        /// Its address.
        address: net::SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A call broke off.
    #[snafu(display("{address} broke off: {source}"))]
    Call {
        /// The node's address.
        address: net::SocketAddr,
        /// Why.
        source: hyper::Error,
    },
    /// A request cannot be made.
    #[snafu(display("the request cannot be made: {source}"))]
    Request {
        /// Why.
        source: http::Error,
    },
    /// A value cannot be written as YAML or JSON.
    #[snafu(display("cannot write the result: {detail}"))]
    Write {
        /// Why.
        detail: String,
    },
    /// An argument makes no sense.
    #[snafu(display("{detail}"))]
    Argument {
        /// What is wrong, with the remedy.
        detail: String,
    },
}
