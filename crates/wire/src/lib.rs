//! The shapes of messages on the wire. Codecs come from libraries: JSON over HTTP towards callers,
//! backend servers and the platform, MessagePack between hosts.

pub mod caller;
pub mod leaf;
pub mod own;
pub mod peer;
pub mod platform;
pub mod relay;
pub mod seam;
