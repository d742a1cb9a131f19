//! Published documents, cut into parts that are named by digest.
//!
//! The platform holds values up to a megabyte, and the list of leaves of a large fleet is larger.
//! So a catalog is a small *manifest* (a version, and for each part its key and digest) and its
//! *parts*. Operators publish the parts first and the manifest last, which makes a change of many
//! parts take effect at once; and a host that has most parts fetches only those that differ.
//!
//! There are two catalogs: the operators' configuration and the platform's list of hosts.

use std::{fmt, str, sync::Arc};

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use xxhash_rust::xxh3;

use crate::view;

/// Largest value that the platform holds, in bytes. Source: the brief, "What the platform gives".
pub const VALUE_MAX: usize = 1 << 20;

/// Which catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Services, shards, labels and selectors, by the operators.
    Config,
    /// Entry hosts and backend servers, live and leaving, by the platform.
    Hosts,
}

impl Kind {
    /// Both.
    pub const ALL: [Self; 2] = [Self::Config, Self::Hosts];

    /// The row of this catalog in tables of two.
    pub fn index(self) -> usize {
        self as usize
    }

    /// The platform's key of its manifest.
    pub fn manifest_key(self) -> &'static str {
        match self {
            Self::Config => "shallothub/config",
            Self::Hosts => "shallothub/hosts",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Config => "config",
            Self::Hosts => "hosts",
        })
    }
}

/// The digest of a part's text: XXH3, 64 bits. It guards against mixed-up versions, not against
/// an attacker, who could write the manifest as well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Digest(pub u64);

impl Digest {
    /// The digest of `text`.
    pub fn of(text: &str) -> Self {
        Self(xxh3::xxh3_64(text.as_bytes()))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A text that is not a digest.
#[derive(Debug, Snafu)]
#[snafu(display("`{text}` is not a digest: 16 hexadecimal digits, as `shallotctl manifest` prints"))]
pub struct ParseError {
    text: CompactString,
}

impl str::FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match u64::from_str_radix(text, 16) {
            Ok(value) if text.len() == 16 => Ok(Self(value)),
            _ => ParseSnafu { text }.fail(),
        }
    }
}

impl TryFrom<CompactString> for Digest {
    type Error = ParseError;

    fn try_from(text: CompactString) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Digest> for CompactString {
    fn from(digest: Digest) -> Self {
        compact_str::format_compact!("{digest}")
    }
}

/// The list of a catalog's parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The number that operators gave the documents; 0 if they have none. See [`view::Stamp::number`].
    #[serde(skip)]
    pub number: u64,
    /// Rises with each change.
    pub version: u64,
    /// Digest of each part, by the platform's key.
    pub parts: IndexMap<CompactString, Digest>,
}

impl Manifest {
    /// The identity of this manifest: its version, and a digest over keys and digests in order of
    /// the keys, so that it does not depend on how the text is laid out.
    pub fn stamp(&self) -> view::Stamp {
        let mut rows: Vec<_> = self.parts.iter().collect();
        rows.sort_unstable();
        let mut hash = xxh3::Xxh3::new();
        for (key, digest) in rows {
            hash.update(key.as_bytes());
            hash.update(&digest.0.to_le_bytes());
        }
        view::Stamp { number: self.number, version: self.version, digest: hash.digest() }
    }
}

/// A manifest with the text of every part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    /// Which parts.
    pub manifest: Manifest,
    /// Their text, by digest.
    pub texts: IndexMap<Digest, Arc<str>>,
}

impl Catalog {
    /// The identity of the manifest; the lowest stamp if there is none yet.
    pub fn stamp(&self) -> view::Stamp {
        if self.manifest.parts.is_empty() {
            return view::Stamp::default();
        }
        self.manifest.stamp()
    }

    /// Parts of `manifest` whose text is not here.
    pub fn lacks<'m>(&self, manifest: &'m Manifest) -> Vec<(&'m CompactString, Digest)> {
        let mut lacking = Vec::new();
        for (key, digest) in &manifest.parts {
            if !self.texts.contains_key(digest) {
                lacking.push((key, *digest));
            }
        }
        lacking
    }

    /// Puts `manifest` in place and forgets texts that it does not name.
    pub fn adopt(&mut self, manifest: Manifest) {
        self.texts.retain(|digest, _| manifest.parts.values().any(|other| other == digest));
        self.manifest = manifest;
    }

    /// Bytes of all texts.
    pub fn bytes(&self) -> usize {
        self.texts.values().map(|text| text.len()).sum()
    }
}
