//! Published documents, split into parts that are identified by digest.
//!
//! The platform stores values of up to a megabyte, and the list of leaves of a large fleet is larger.
//! A catalog therefore consists of a small *manifest* (a version, and the key and digest of each part)
//! and its *parts*. Operators publish the parts first and the manifest last, so that a change of many
//! parts takes effect atomically, and a host fetches only the parts whose digests differ.
//!
//! There are two catalogs: the operators' configuration and the platform's host list.

use std::{fmt, str, sync::Arc};

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use xxhash_rust::xxh3;

use crate::view;

/// Maximum size of a value in the platform's store, in bytes, as specified for the platform.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// One of the two catalogs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Services, shards, labels and selectors, published by operators.
    Config,
    /// Entry hosts and backend servers, live and leaving, published by the platform.
    Hosts,
}

impl Kind {
    /// Both catalogs, in the order of [`Kind::index`].
    pub const ALL: [Self; 2] = [Self::Config, Self::Hosts];

    /// The index of this catalog in arrays with one element per kind.
    pub fn index(self) -> usize {
        self as usize
    }

    /// The key of its manifest in the platform's store.
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

/// The digest of a part's text: XXH3, 64 bits. It detects mixed-up versions, not tampering:
/// an attacker could write the manifest as well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Digest(pub u64);

impl Digest {
    /// Computes the digest of `text`.
    pub fn of(text: &str) -> Self {
        Self::of_bytes(text.as_bytes())
    }

    /// Computes the digest of `bytes`.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self(xxh3::xxh3_64(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An error from parsing a [`Digest`].
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

/// The version of a catalog and the list of its parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The number that operators gave the documents; 0 if they have none. See [`view::Stamp::number`].
    #[serde(skip)]
    pub number: u64,
    /// Increases with each change.
    pub version: u64,
    /// Digest of each part, by its key in the platform's store.
    pub parts: IndexMap<CompactString, Digest>,
}

impl Manifest {
    /// The identity of this manifest: its version, and a digest over keys and digests in order of
    /// the keys, so that it does not depend on the layout of the text.
    pub fn stamp(&self) -> view::Stamp {
        let mut parts: Vec<_> = self.parts.iter().collect();
        parts.sort_unstable();
        let mut hash = xxh3::Xxh3::new();
        for (key, digest) in parts {
            hash.update(key.as_bytes());
            hash.update(&digest.0.to_le_bytes());
        }
        view::Stamp { number: self.number, version: self.version, digest: hash.digest() }
    }
}

/// A manifest with the text of every part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    /// Version and parts.
    pub manifest: Manifest,
    /// Texts of the parts, by digest.
    pub texts: IndexMap<Digest, Arc<str>>,
}

impl Catalog {
    /// The identity of the manifest; the lowest stamp if the catalog is still empty.
    pub fn stamp(&self) -> view::Stamp {
        if self.manifest.parts.is_empty() {
            return view::Stamp::default();
        }
        self.manifest.stamp()
    }

    /// Parts of `manifest` whose text this catalog lacks.
    pub fn missing_parts<'m>(&self, manifest: &'m Manifest) -> Vec<(&'m CompactString, Digest)> {
        let mut missing = Vec::new();
        for (key, digest) in &manifest.parts {
            if !self.texts.contains_key(digest) {
                missing.push((key, *digest));
            }
        }
        missing
    }

    /// Replaces the manifest and drops texts that it does not list.
    pub fn adopt(&mut self, manifest: Manifest) {
        self.texts.retain(|digest, _| manifest.parts.values().any(|other| other == digest));
        self.manifest = manifest;
    }

    /// Total size of all texts, in bytes.
    pub fn bytes(&self) -> usize {
        self.texts.values().map(|text| text.len()).sum()
    }
}
