//! Messages between hosts.
//!
//! Messages carry state and are idempotent: lost, duplicate or late ones do no harm, because a receiver
//! only moves to a higher stamp. The protocol does not depend on a complete stream of changes.
//!
//! Old and new nodes coexist during a rolling restart: fields are encoded by name, new fields have a
//! default, and a message whose protocol is newer than [`PROTOCOL`] or whose body is unknown is dropped
//! and counted. Digests continue to be sent in the body that both versions support.

use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{catalog, clock, evidence, plan::gatherers, suspect, urgency::exchange, view};

/// The protocol version, incremented when older nodes can no longer decode a message.
pub const PROTOCOL: u16 = 1;

/// A message between two hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's [`PROTOCOL`].
    pub protocol: u16,
    /// `IP:PORT` at which the sender accepts messages.
    pub from: CompactString,
    /// The payload.
    pub body: Body,
}

/// The payload of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A summary of the sender's state.
    Digest(Box<Digest>),
    /// Requests the parts of a catalog that the sender lacks.
    Ask(Request),
    /// A full or incremental catalog update.
    Catalog(Update),
    /// Records of requests that may crash servers.
    Suspects(Vec<suspect::Record>),
    /// Requests permission to send an attempt of a suspected request.
    AskTrial(Box<Trial>),
    /// Grants the trial requested by [`Body::AskTrial`].
    GrantTrial(Box<Trial>),
    /// Opinions on backend servers that deviate from the usual.
    Evidence(evidence::Update),
    /// Thresholds of admission by urgency, of the sender and of hosts whose records it received.
    Urgency(Vec<exchange::Record>),
}

/// An attempt of a suspected request, with the sender's record of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The attempt and the fingerprint of its request.
    pub trial: suspect::Trial,
    /// The sender's record of the request.
    #[serde(default, rename = "row")]
    pub record: suspect::Record,
}

/// A summary of a host's state, with the age of its last confirmation by the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Stamps of the two catalogs in force, by [`catalog::Kind::index`].
    pub stamps: [view::Stamp; 2],
    /// Time since each catalog was last confirmed to be current; `None` if it never was.
    pub ages: [Option<clock::Millis>; 2],
    /// The sender's clock, to be echoed by the receiver; `None` in replies and announcements.
    pub sent: Option<clock::Millis>,
    /// In a reply, `sent` of the digest that it answers. Ages are counted from this time and never from
    /// arrival: the reply may have been buffered while the receiver was stopped.
    pub echo: Option<clock::Millis>,
    /// The sender and some members that it knows; empty in announcements and if documents list the hosts.
    pub members: Vec<Member>,
    /// Number of hosts that the sender knows, itself included.
    pub known: u32,
    /// Digests of the sender's member records, itself included, one for each bucket by hash of the address; empty
    /// from nodes that do not send them. The reply contains members of the buckets that differ, so more buckets are
    /// used while hosts differ.
    pub members_digest: Vec<u32>,
    /// Digest of the sender's records of requests that may crash servers; 0 if there are none, and from nodes that do
    /// not send it.
    pub suspects: u32,
    /// Digest of the set of backend servers with a standing; 0, and not sent, if there are none.
    #[serde(skip_serializing_if = "is_zero")]
    pub evidence: u32,
    /// Whether the sender's member list is likely to be complete.
    pub is_settled: bool,
    /// Whether the registry is unreachable for the sender.
    pub is_away: bool,
    /// The revision of the registry up to which the sender's catalogs are complete; 0 if unknown.
    pub complete_to: u64,
}

fn is_zero(digest: &u32) -> bool {
    *digest == 0
}

/// A record of an entry host in a digest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Member {
    /// `IP:PORT` at which it accepts messages.
    pub peer: CompactString,
    /// Host name from its settings.
    pub name: CompactString,
    /// Name of its data centre.
    pub data_centre: CompactString,
    /// `IP:PORT` that accepts requests relayed by other hosts; empty if relaying is disabled.
    pub relay: CompactString,
    /// CPU capacity, in thousandths of a core.
    pub power: u32,
    /// Incarnation number, incremented by the member to refute outdated records of it.
    #[serde(rename = "turn")]
    pub incarnation: u64,
    /// Whether it accepts compressed messages.
    pub packs: bool,
    /// The gathers that callers send to it; none from nodes that do not choose gathering hosts by demand. It changes
    /// only with the incarnation number.
    pub demand: gatherers::Demand,
    /// Last known state. Between records of the same incarnation, the later variant takes precedence.
    pub state: State,
}

/// The state of a host as seen by other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepts work.
    #[default]
    Alive,
    /// Finishes pending work and shuts down.
    Leaving,
    /// Does not reply to probes.
    Silent,
}

/// A request for a full or incremental catalog update.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The requested catalog.
    pub kind: catalog::Kind,
    /// Digests of the parts that the sender has; empty if `base` is given.
    pub have: Vec<catalog::Digest>,
    /// The sender's current catalog, to request the changes since; a full update is a valid reply, too.
    #[serde(default)]
    pub base: Option<view::Stamp>,
}

/// A manifest, or its difference from an earlier one, with the texts of its parts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The catalog to update.
    pub kind: catalog::Kind,
    /// If given, `parts` and `removed` are the difference from the manifest with this stamp.
    pub base: Option<view::Stamp>,
    /// The new manifest's number; see [`view::Stamp::number`].
    #[serde(default)]
    pub number: u64,
    /// The new manifest's version.
    pub version: u64,
    /// The new manifest's digest, to verify the result of applying a difference; 0 from nodes that do not
    /// send it.
    #[serde(default)]
    pub digest: u64,
    /// Keys that are not in the new manifest any more.
    pub removed: Vec<CompactString>,
    /// The new manifest's parts, or only the changed ones if `base` is given.
    pub parts: Vec<Part>,
}

impl Update {
    /// The stamp of the new manifest.
    pub fn stamp(&self) -> view::Stamp {
        view::Stamp { number: self.number, version: self.version, digest: self.digest }
    }
}

/// A part of a catalog update.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Key on the platform.
    pub key: CompactString,
    /// Digest of the text.
    pub digest: catalog::Digest,
    /// The text; `None` if the receiver has it or the sender lacks it.
    pub text: Option<Arc<str>>,
}
