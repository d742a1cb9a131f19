//! What hosts say to each other.
//!
//! Every message is state that can be sent again: a lost, doubled or late one does no harm, because
//! a receiver only ever moves to a higher stamp. There is no stream of changes that must all
//! arrive.
//!
//! Old and new nodes live side by side during a rolling restart: fields are sent by name, new ones
//! have a default, and a message whose protocol is newer than [`PROTOCOL`] or whose body is unknown
//! is dropped and counted; the sender's digests go on in the body that both know.

use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{catalog, clock, suspect, view};

/// Raised when a message can no longer be understood by older nodes.
pub const PROTOCOL: u16 = 1;

/// A message between two hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's [`PROTOCOL`].
    pub protocol: u16,
    /// `IP:PORT` at which the sender listens for messages.
    pub from: CompactString,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// What the sender has.
    Digest(Box<Digest>),
    /// Send me what I lack of a catalog.
    Ask(Ask),
    /// Parts of a catalog.
    Catalog(Update),
    /// Requests that may crash servers.
    Suspects(Vec<suspect::Record>),
    /// May I send an attempt of a request that is suspected?
    AskTrial(Box<Trial>),
    /// You may.
    GrantTrial(Box<Trial>),
}

/// An attempt of a request that is suspected, with what the sender knows of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Which attempt of what.
    pub trial: suspect::Trial,
    /// What is known of the request.
    #[serde(default)]
    pub row: suspect::Record,
}

/// What a host has, and how long ago the platform confirmed it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Stamps of the two catalogs, by [`catalog::Kind::index`].
    pub stamps: [view::Stamp; 2],
    /// Time since the platform was last known to have nothing newer.
    pub ages: [Option<clock::Millis>; 2],
    /// The sender's clock, to be echoed; absent in an echo.
    pub sent: Option<clock::Millis>,
    /// The receiver's own clock from the digest that this one replies to. Ages are counted from it
    /// and never from arrival: a reply may have lain in a buffer while the receiver was stopped.
    pub echo: Option<clock::Millis>,
    /// The sender and some hosts that it knows, where nobody lists them.
    pub members: Vec<Member>,
    /// How many hosts the sender knows.
    pub known: u32,
    /// Digests of what the sender knows of all members, itself included, one for each part into which they are
    /// dealt by a hash of their address; none from nodes that do not tell. Of two hosts that differ, the one that
    /// replies names members of the parts that differ, so there are more parts while hosts differ.
    pub members_digest: Vec<u32>,
    /// Digest of the requests that the sender remembers as crashing servers; 0 if there are none, and from nodes that do
    /// not tell.
    pub suspects: u32,
    /// Whether these are likely to be all.
    pub is_settled: bool,
    /// Whether the registry does not answer the sender.
    pub is_away: bool,
    /// The revision of the registry up to which the sender's catalogs are complete; 0 if it does not know.
    pub complete_to: u64,
}

/// An entry host that the sender of a digest knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Member {
    /// `IP:PORT` at which it listens for messages.
    pub peer: CompactString,
    /// Its name.
    pub name: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// `IP:PORT` at which it takes requests of other hosts; empty if it takes none.
    pub relay: CompactString,
    /// Its processor, in thousandths of a core.
    pub power: u32,
    /// Raised by the member when it has to contradict what is said of it.
    pub turn: u64,
    /// Whether it reads packed messages.
    pub packs: bool,
    /// What it is said to do. Of two words of the same turn the later variant holds.
    pub state: State,
}

/// What a host does, as others see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes work.
    #[default]
    Alive,
    /// It finishes what it has and goes.
    Leaving,
    /// It does not reply.
    Silent,
}

/// A request for a catalog.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Which catalog.
    pub kind: catalog::Kind,
    /// Digests of the parts that the sender has, unless it names a `base`.
    pub have: Vec<catalog::Digest>,
    /// The catalog that it has, to be told what changed since; the whole catalog is an answer too.
    #[serde(default)]
    pub base: Option<view::Stamp>,
}

/// A manifest, or its difference to another, with texts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Which catalog.
    pub kind: catalog::Kind,
    /// If given, `parts` and `removed` are the difference to the manifest of this stamp.
    pub base: Option<view::Stamp>,
    /// The new manifest's number; see [`view::Stamp::number`].
    #[serde(default)]
    pub number: u64,
    /// The new manifest's version.
    pub version: u64,
    /// The new manifest's digest, to check what a difference was applied to; 0 from nodes that do not
    /// tell it.
    #[serde(default)]
    pub digest: u64,
    /// Keys that the new manifest does not have any more.
    pub removed: Vec<CompactString>,
    /// Parts of the new manifest.
    pub parts: Vec<Part>,
}

impl Update {
    /// The stamp of the new manifest.
    pub fn stamp(&self) -> view::Stamp {
        view::Stamp { number: self.number, version: self.version, digest: self.digest }
    }
}

/// A part on its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The platform's key.
    pub key: CompactString,
    /// Digest of the text.
    pub digest: catalog::Digest,
    /// The text, unless the receiver has it.
    pub text: Option<Arc<str>>,
}
