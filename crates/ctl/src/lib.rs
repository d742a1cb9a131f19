//! The operator's tool, `shallotctl`: it checks what will be published, makes manifests, asks
//! running nodes, reads their logs, and generates load.

pub mod account;
pub mod client;
pub mod command;
pub mod documents;
pub mod error;
pub mod line;
pub mod load;
pub mod logs;
pub mod trace;
