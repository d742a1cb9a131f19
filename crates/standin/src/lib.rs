//! Stand-ins of what surrounds the system: a backend server ([`leaf`]) and the platform's
//! configuration service ([`platform`]).
//!
//! [`replica`] and [`registry`] are the same of the users' platform, and speak it through its package.
//!
//! They follow the published protocols of the wire package, keep a ledger of what they did, and can
//! be told to misbehave. Each is a library for tests and a cargo example for separate processes.

pub mod http_server;
pub mod leaf;
pub mod platform;
pub mod publish;
pub mod registry;
pub mod replica;
