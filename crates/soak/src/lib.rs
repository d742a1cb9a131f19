//! A soak test of real processes: nodes under seeded faults, checked by what clients and leafs observe.
//!
//! [`deployment`] starts nodes as child processes against test doubles of the platform; [`proxy`] injects
//! network faults between nodes and leafs or store; [`client`] sends requests on persistent connections and
//! checks each response; [`fault`] draws and injects faults; [`checker`] checks the system's guarantees. A run
//! prints its seed, ends by itself, and terminates only processes that it started.

pub mod checker;
pub mod client;
pub mod deployment;
pub mod fault;
pub mod proxy;
pub mod run;
