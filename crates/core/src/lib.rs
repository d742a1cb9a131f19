//! The decision logic of a shallothub node, as pure state machines.
//!
//! This package performs no I/O, reads no clock, starts no threads and takes randomness only from a
//! seeded generator that is passed in. An I/O layer feeds inputs (time, requests, replies, documents, peer
//! messages) and executes the outputs (dispatch, cancel, answer, send). The same code therefore
//! runs behind sockets in a node and with a simulated clock in the randomised tests.
//!
//! There are two state machines: [`traffic::Core`], one per traffic thread, and [`control::Core`], one
//! per node. Control passes an immutable [`view::View`] to traffic; a query keeps the view with which it
//! started until it ends, so that a configuration change never affects a query in progress.

pub mod budget;
pub mod bytes;
pub mod catalog;
pub mod clock;
pub mod control;
pub mod evidence;
pub mod id;
pub mod invariant;
pub mod merge;
pub mod mutant;
pub mod plan;
pub mod ratio;
pub mod rendezvous;
pub mod revision;
pub mod route;
pub mod suspect;
pub mod table;
pub mod traffic;
pub mod urgency;
pub mod view;
pub mod window;
