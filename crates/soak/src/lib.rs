//! A soak of real processes: nodes under seeded faults, judged by what clients and leafs see.
//!
//! [`deployment`] starts nodes as child processes over stand-ins of the platform; [`proxy`] stands on
//! the way to leafs and store and spoils it; [`client`] asks on kept connections and checks each
//! answer; [`fault`] draws what happens; [`judge`] holds the promises against it. A run prints its seed,
//! ends by itself, and ends only processes that it started.

pub mod client;
pub mod deployment;
pub mod fault;
pub mod judge;
pub mod proxy;
pub mod run;
