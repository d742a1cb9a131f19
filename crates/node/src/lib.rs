//! The I/O layer (shell) of a node: feeds events from sockets and timers to the cores of `shallothub-core` and
//! executes their outputs.
//!
//! Threads: one for control state ([`control`]), one for each traffic lane ([`lane`]), and the main
//! thread, which waits for signals and runs the node's lifecycle ([`life`]). Lanes share no state
//! while they process a query; state for operators ([`shared`]) is published periodically.

pub mod control;
pub mod error;
pub mod lane;
pub mod life;
pub mod log;
pub mod memory;
mod metered;
pub mod metrics;
mod reload;
pub mod run;
mod send_queue;
pub mod shared;
pub mod time;
