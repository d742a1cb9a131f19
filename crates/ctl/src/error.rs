//! Errors of the operator's tool; the messages state a remedy where there is one.

use std::{io, net};

use shallothub_core::plan;
use snafu::Snafu;

/// An error that makes a command fail.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file or directory cannot be read or written.
    #[snafu(display("{path}: {source}"))]
    File {
        /// Path of the file or directory.
        path: String,
        /// The error of the file operation.
        source: io::Error,
    },
    /// Documents have faults.
    #[snafu(display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))]
    Faults {
        /// All faults that were found.
        faults: Vec<plan::Fault>,
    },
    /// The settings of a node are invalid or cannot be read.
    #[snafu(display("{source}"))]
    Settings {
        /// The error, with the faults of the settings.
        source: shallothub_node::error::Error,
    },
    /// The connection to a node failed.
    #[snafu(display("failed to connect to {address}: {source}; check that a node listens there"))]
    Connect {
        /// Address of the node.
        address: net::SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
    /// The HTTP handshake, the request or its response failed.
    #[snafu(display("request to {address} failed: {source}"))]
    Call {
        /// Address of the node.
        address: net::SocketAddr,
        /// The error of the HTTP connection.
        source: hyper::Error,
    },
    /// A request cannot be built, as when an argument is not valid in a path.
    #[snafu(display("failed to build the request: {source}"))]
    Request {
        /// The error of the request builder.
        source: http::Error,
    },
    /// A value cannot be encoded, decoded or printed.
    #[snafu(display("failed to encode, decode or print a value: {detail}"))]
    Write {
        /// Message of the underlying error.
        detail: String,
    },
    /// An argument is missing or invalid.
    #[snafu(display("{detail}"))]
    Argument {
        /// The problem and its remedy.
        detail: String,
    },
}
