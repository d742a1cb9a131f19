//! Messages between hosts: MessagePack with named fields, so that nodes of different versions can communicate.
//! Longer messages, which repeat names of fields and servers, are compressed for hosts that support it.

use std::io::{self, Read, Write};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use shallothub_core::control::message;
use snafu::{ResultExt, Snafu};

/// First byte of a compressed message; no MessagePack encoding starts with it.
const COMPRESSED: u8 = 0xC1;
/// Minimum size of a message to compress; shorter ones hardly shrink.
const MIN_COMPRESS_BYTES: usize = 400;
/// Maximum size of a decompressed message, so that malformed input cannot exhaust a host's memory. Large enough
/// for a complete catalog of the target size.
const MAX_DECOMPRESSED_BYTES: u64 = 64 << 20;

/// An error from encoding or decoding a message.
#[derive(Debug, Snafu)]
pub enum Error {
    /// MessagePack encoding failed.
    #[snafu(display("failed to encode a message to another host"))]
    Encode {
        /// The encoder's error.
        source: rmp_serde::encode::Error,
    },
    /// MessagePack decoding failed: the bytes are malformed, or the body is one that only newer nodes support.
    #[snafu(display("failed to decode a message from another host"))]
    Decode {
        /// The decoder's error.
        source: rmp_serde::decode::Error,
    },
    /// Compression or decompression failed.
    #[snafu(display("failed to compress or decompress a message of another host"))]
    Compress {
        /// The codec's error.
        source: io::Error,
    },
}

/// Encodes `message`; compresses it if `compress` is set and it is long enough to shrink.
///
/// # Errors
/// The message cannot be encoded, which is a bug.
pub fn encode(message: &message::Message, compress: bool) -> Result<Vec<u8>, Error> {
    let bytes = rmp_serde::to_vec_named(message).context(EncodeSnafu)?;
    if !compress || bytes.len() < MIN_COMPRESS_BYTES {
        return Ok(bytes);
    }
    // The fastest level: a small host compresses a catalog for dozens of others, and higher levels save a few percent.
    let mut encoder = DeflateEncoder::new(vec![COMPRESSED], Compression::fast());
    encoder.write_all(&bytes).context(CompressSnafu)?;
    encoder.finish().context(CompressSnafu)
}

/// Decodes the message in `bytes`, compressed or not.
///
/// # Errors
/// The bytes are malformed, or the body is one that only newer nodes support.
pub fn decode(bytes: &[u8]) -> Result<message::Message, Error> {
    let Some((&COMPRESSED, compressed)) = bytes.split_first() else {
        return rmp_serde::from_slice(bytes).context(DecodeSnafu);
    };
    let mut decompressed = Vec::new();
    DeflateDecoder::new(compressed)
        .take(MAX_DECOMPRESSED_BYTES)
        .read_to_end(&mut decompressed)
        .context(CompressSnafu)?;
    rmp_serde::from_slice(&decompressed).context(DecodeSnafu)
}
