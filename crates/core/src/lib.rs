//! Every decision of a shallothub node, as a pure state machine.
//!
//! This package does no I/O, reads no clock, starts no thread and draws randomness only from a
//! seeded generator handed to it. A shell feeds inputs (time, requests, replies, documents, peer
//! messages) and carries out the outputs (dispatch, cancel, answer, send). The same code therefore
//! runs behind sockets in a node and under a fake clock in the randomised tests.
//!
//! Two machines live here: [`traffic::Core`], one per traffic thread, and [`control::Core`], one
//! per node. Control hands traffic an immutable [`view::View`]; a query pins the view with which it
//! began until it ends, so a configuration change never alters a query half way.

pub mod budget;
pub mod catalog;
pub mod clock;
pub mod control;
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
pub mod view;
pub mod window;
