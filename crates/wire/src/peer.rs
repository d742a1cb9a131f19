//! Host to host: MessagePack with named fields, so that old and new nodes understand each other.

use shallothub_core::control::message;
use snafu::{ResultExt, Snafu};

/// A message that cannot be written or read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Writing failed.
    #[snafu(display("a message for another host cannot be written"))]
    Encode {
        /// Why.
        source: rmp_serde::encode::Error,
    },
    /// Reading failed: garbage, or a body that only newer nodes know.
    #[snafu(display("a message of another host cannot be read"))]
    Decode {
        /// Why.
        source: rmp_serde::decode::Error,
    },
}

/// The bytes of `message`.
pub fn encode(message: &message::Message) -> Result<Vec<u8>, Error> {
    rmp_serde::to_vec_named(message).context(EncodeSnafu)
}

/// The message in `bytes`.
pub fn decode(bytes: &[u8]) -> Result<message::Message, Error> {
    rmp_serde::from_slice(bytes).context(DecodeSnafu)
}
