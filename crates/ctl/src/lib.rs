//! The operator's tool, `shallotctl`: it checks what will be published, makes manifests, asks
//! running nodes, and generates load.

pub mod client;
pub mod command;
pub mod documents;
pub mod error;
pub mod load;
