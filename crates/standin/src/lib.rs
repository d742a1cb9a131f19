//! Test doubles of the external systems: a backend server ([`leaf`]) and the platform's configuration
//! service ([`platform`]).
//!
//! [`replica`] and [`registry`] are the counterparts on the users' platform, and use its package as protocol.
//!
//! They follow the published protocols of the wire package, record what they did, and can be set to
//! misbehave. Tests use them as a library; cargo examples run them as separate processes.

pub mod http_server;
pub mod leaf;
pub mod platform;
pub mod publish;
pub mod registry;
pub mod replica;
