//! The operator's tool, `shallotctl`: checks documents before they are published, writes their
//! manifests, queries running nodes, analyzes their logs, and generates load.

pub mod client;
pub mod command;
pub mod documents;
pub mod error;
pub mod line;
pub mod load;
pub mod logs;
pub mod summary;
pub mod trace;
