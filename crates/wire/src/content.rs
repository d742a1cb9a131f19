//! The content of an answer: the payloads of the shards that contributed, in the answer's shape.
//!
//! The core decides on an answer without seeing payloads, and names the attempts that contribute. [`Content::new`] joins
//! the two. It fails if a contribution has no payload of the answer's shape, since the coverage reported to the caller
//! would then exceed what the answer contains.

use bytes::Bytes;
use compact_str::CompactString;
use indexmap::IndexMap;
use serde_json::value::RawValue;
use shallothub_core::{id, traffic::event, view};
use snafu::{OptionExt, Snafu};

use crate::{protocol, signature};

/// A contribution without a payload that can be part of the answer.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("`{shard}` counts as contributed, but its payload is missing"))]
pub struct Error {
    /// The name of the shard.
    pub shard: CompactString,
}

/// The hits of one shard.
#[derive(Clone, Debug)]
pub struct Hits {
    /// The name of the shard.
    pub shard: CompactString,
    /// The hits, in JSON.
    pub hits: Box<RawValue>,
}

/// The records of one shard.
#[derive(Clone, Debug)]
pub struct Records {
    /// The server's signature, which is listed in the answer.
    pub signature: signature::Signature,
    /// The encoded records.
    pub bytes: Bytes,
}

/// The content of an answer.
#[derive(Clone, Debug)]
pub enum Content {
    /// Nothing, since the request was not answered.
    Empty,
    /// The hits of each shard that contributed.
    Hits(Vec<Hits>),
    /// The records of each shard that contributed.
    Records {
        /// Maximum number of records that the caller receives.
        top: u32,
        /// The records, one element per shard.
        parts: Vec<Records>,
    },
    /// A complete response, to be forwarded unchanged.
    Whole(Box<protocol::Response>),
}

impl Content {
    /// Combines `answer` with the payloads of its query's attempts.
    ///
    /// # Errors
    /// A shard that contributed has no payload of the answer's shape.
    pub fn new(answer: &event::Answer, mut payloads: IndexMap<id::Attempt, protocol::Payload>) -> Result<Self, Error> {
        if answer.outcome != event::Outcome::Answered {
            let failure = answer.failure.and_then(|attempt| payloads.swap_remove(&attempt));
            return Ok(failure.and_then(protocol::Payload::into_response).map_or(Self::Empty, Self::Whole));
        }
        match answer.shape {
            view::Shape::Hits => {
                let hits = |shard: &CompactString, payload: protocol::Payload| {
                    Some(Hits { shard: shard.clone(), hits: payload.into_hits()? })
                };
                Ok(Self::Hits(take_all(answer, payloads, hits)?))
            }
            view::Shape::Records { top } => {
                let parts = take_all(answer, payloads, |_, payload| payload.into_records())?;
                Ok(Self::Records { top, parts })
            }
            view::Shape::Whole => {
                let responses = take_all(answer, payloads, |_, payload| payload.into_response())?;
                responses.into_iter().next().map(Self::Whole).context(Snafu { shard: answer.class.clone() })
            }
        }
    }
}

/// Returns the payload of each contribution, converted to the answer's shape.
fn take_all<T>(
    answer: &event::Answer,
    mut payloads: IndexMap<id::Attempt, protocol::Payload>,
    convert: impl Fn(&CompactString, protocol::Payload) -> Option<T>,
) -> Result<Vec<T>, Error> {
    let mut parts = Vec::with_capacity(answer.contributed.len());
    for (shard, attempt) in &answer.contributed {
        let payload = payloads.swap_remove(attempt);
        let part = payload.and_then(|payload| convert(shard, payload));
        parts.push(part.context(Snafu { shard: shard.clone() })?);
    }
    Ok(parts)
}
