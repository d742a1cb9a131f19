//! The form in which hosts exchange opinions.
//!
//! A record takes [`RECORD_BYTES`] bytes, because a host may send thousands of them in a second while many servers
//! deviate. A node of a newer version may append fields to a record; the length of a record precedes them all.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::clock;

use super::{
    RECOVERY_ANSWERS,
    counts::Deviations,
    key::{Incarnation, Observer},
    opinion::{Levels, Opinion, Version},
};

/// Encoded size of a record.
const RECORD_BYTES: usize = 26;
/// Maximum size of an update without its records, encoded: the names of fields, the sender's address and lengths.
const ENVELOPE_BYTES: usize = 96;
/// Unit of encoded ages.
const AGE_UNIT: clock::Millis = clock::Millis(20);
/// Encoded age of something that did not happen recently.
const NEVER: u8 = u8::MAX;
/// Bits of the flags that hold the deviations; the next two hold the number of consecutive answers.
const DEVIATION_BITS: u8 = 4;

/// An opinion with its subject and its observer. Ages replace instants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Record {
    /// The server incarnation.
    pub server: Incarnation,
    /// The host whose opinion it is.
    pub observer: Observer,
    version: Version,
    levels: Levels,
    sampled_age: u8,
    bad_age: u8,
    streak_age: u8,
    flags: u8,
}

fn encode_age(now: clock::Millis, at: clock::Millis) -> u8 {
    let units = (now.since(at).0 + AGE_UNIT.0 / 2) / AGE_UNIT.0;
    units.min(u64::from(NEVER) - 1) as u8
}

fn instant(now: clock::Millis, age: u8) -> clock::Millis {
    now - clock::Millis(u64::from(age) * AGE_UNIT.0)
}

impl Record {
    /// The record of `opinion` as of `now`.
    pub fn new(now: clock::Millis, server: Incarnation, observer: Observer, opinion: &Opinion) -> Self {
        Self {
            server,
            observer,
            version: opinion.version,
            levels: opinion.levels,
            sampled_age: encode_age(now, opinion.sampled_at),
            bad_age: opinion.bad_at.map_or(NEVER, |at| encode_age(now, at)),
            streak_age: encode_age(now, opinion.streak_at),
            flags: opinion.deviations.0 | opinion.streak.min(RECOVERY_ANSWERS) << DEVIATION_BITS,
        }
    }

    /// The opinion, received at `now`.
    pub fn opinion(&self, now: clock::Millis) -> Opinion {
        Opinion {
            version: self.version,
            levels: self.levels,
            deviations: Deviations(self.flags & ((1 << DEVIATION_BITS) - 1)),
            sampled_at: instant(now, self.sampled_age),
            bad_at: (self.bad_age != NEVER).then(|| instant(now, self.bad_age)),
            streak: (self.flags >> DEVIATION_BITS).min(RECOVERY_ANSWERS),
            streak_at: instant(now, self.streak_age),
        }
    }

    fn encode(&self, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(&self.server.0.to_le_bytes());
        bytes.extend_from_slice(&self.observer.0.to_le_bytes());
        bytes.extend_from_slice(&self.version.sequence.to_le_bytes());
        bytes.extend_from_slice(&self.version.tag.to_le_bytes());
        let Levels { rejection, failure, slowness, attempts } = self.levels;
        bytes.extend_from_slice(&[rejection, failure, slowness, attempts]);
        bytes.extend_from_slice(&[self.sampled_age, self.bad_age, self.streak_age, self.flags]);
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let (&server, bytes) = bytes.split_first_chunk()?;
        let (&observer, bytes) = bytes.split_first_chunk()?;
        let (&sequence, bytes) = bytes.split_first_chunk()?;
        let (&tag, bytes) = bytes.split_first_chunk()?;
        let (&[rejection, failure, slowness, attempts], bytes) = bytes.split_first_chunk()?;
        let (&[sampled_age, bad_age, streak_age, flags], _) = bytes.split_first_chunk()?;
        Some(Self {
            server: Incarnation(u64::from_le_bytes(server)),
            observer: Observer(u32::from_le_bytes(observer)),
            version: Version { tag: u16::from_le_bytes(tag), sequence: u32::from_le_bytes(sequence) },
            levels: Levels { rejection, failure, slowness, attempts },
            sampled_age,
            bad_age,
            streak_age,
            flags,
        })
    }
}

/// Opinions that a host sends to others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Update {
    /// The opinions, the most severe and newest first.
    #[serde(serialize_with = "encode", deserialize_with = "decode")]
    pub records: Vec<Record>,
}

impl Update {
    /// Maximum number of records.
    pub const MAX_RECORDS: usize = 64;

    /// An upper bound of the encoded size of a message with `records` records, in bytes.
    pub fn size(records: usize) -> usize {
        ENVELOPE_BYTES + records * RECORD_BYTES
    }
}

fn encode<S: Serializer>(records: &[Record], serializer: S) -> Result<S::Ok, S::Error> {
    let mut bytes = Vec::with_capacity(1 + records.len() * RECORD_BYTES);
    bytes.push(RECORD_BYTES as u8);
    for record in records {
        record.encode(&mut bytes);
    }
    serializer.serialize_bytes(&bytes)
}

fn decode<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Record>, D::Error> {
    deserializer.deserialize_bytes(Visitor)
}

struct Visitor;

impl de::Visitor<'_> for Visitor {
    type Value = Vec<Record>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the length of a record, and records of that length")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        let Some((&length, bytes)) = bytes.split_first() else {
            return Ok(Vec::new());
        };
        let length = usize::from(length);
        if length < RECORD_BYTES || bytes.len() % length != 0 {
            return Err(E::invalid_length(bytes.len(), &self));
        }
        Ok(bytes.chunks_exact(length).take(Update::MAX_RECORDS).filter_map(Record::decode).collect())
    }
}
