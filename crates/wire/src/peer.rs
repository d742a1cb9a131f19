//! Host to host: MessagePack with named fields, so that old and new nodes understand each other. Longer messages
//! are packed for hosts that are known to read that: names of fields and servers come again and again.

use std::io::{self, Read, Write};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use shallothub_core::control::message;
use snafu::{ResultExt, Snafu};

/// First byte of a packed message, which no MessagePack begins with.
const PACKED: u8 = 0xC1;
/// Fewest bytes of a message that is packed; shorter ones hardly shrink.
const PACKED_LEAST: usize = 400;
/// Most bytes that a packed message may become, so that garbage cannot use up a host's memory: a whole catalog
/// of the target size.
const UNPACKED_MOST: u64 = 64 << 20;

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
    /// Packing or unpacking failed.
    #[snafu(display("a message of another host cannot be packed or unpacked"))]
    Pack {
        /// Why.
        source: io::Error,
    },
}

/// The bytes of `message`, packed if that pays and the receiver `packs`.
///
/// # Errors
/// The message cannot be written, which is a fault of the program.
pub fn encode(message: &message::Message, packs: bool) -> Result<Vec<u8>, Error> {
    let bytes = rmp_serde::to_vec_named(message).context(EncodeSnafu)?;
    if !packs || bytes.len() < PACKED_LEAST {
        return Ok(bytes);
    }
    // The fastest level: a small host packs a catalog for dozens of others, and better ones save a few hundredths.
    let mut packer = DeflateEncoder::new(vec![PACKED], Compression::fast());
    packer.write_all(&bytes).context(PackSnafu)?;
    packer.finish().context(PackSnafu)
}

/// The message in `bytes`.
///
/// # Errors
/// The bytes are garbage, or hold a body that only newer nodes know.
pub fn decode(bytes: &[u8]) -> Result<message::Message, Error> {
    let Some((&PACKED, packed)) = bytes.split_first() else {
        return rmp_serde::from_slice(bytes).context(DecodeSnafu);
    };
    let mut unpacked = Vec::new();
    DeflateDecoder::new(packed).take(UNPACKED_MOST).read_to_end(&mut unpacked).context(PackSnafu)?;
    rmp_serde::from_slice(&unpacked).context(DecodeSnafu)
}
