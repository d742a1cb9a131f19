//! Deterministic simulation of the cores: several hosts, fake servers that log executions, a fake
//! platform, and links that lose, delay and reorder. One seed determines a run, and promises are
//! checked against the log of the servers, not against the program's own assertions.

pub mod documents;
pub mod fault;
pub mod leaf;
pub mod oracle;
pub mod simulation;
