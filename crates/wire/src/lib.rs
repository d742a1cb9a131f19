//! Message formats on the wire, and the traits of an interface. Callers, backend servers and the platform use JSON
//! over HTTP; hosts use MessagePack among each other.

pub mod caller;
pub mod content;
pub mod leaf;
pub mod own;
pub mod peer;
pub mod platform;
pub mod protocol;
pub mod relay;
pub mod signature;
