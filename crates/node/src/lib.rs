//! The shell of a node: it feeds the cores of `shallothub-core` from sockets and timers and carries
//! out what they decide.
//!
//! Threads: one for control state ([`control`]), one for each traffic lane ([`lane`]), and the main
//! thread, which waits for signals and walks the node through its life ([`life`]). Lanes share
//! nothing on the way of a query; what operators look at ([`shared`]) is published now and then.

pub mod control;
pub mod error;
pub mod lane;
pub mod life;
pub mod log;
pub mod metrics;
mod reload;
pub mod run;
pub mod shared;
pub mod time;
