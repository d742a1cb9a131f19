//! Revisions of a registry.
//!
//! A registry counts its changes. A restore from a backup sets the count back, so that numbers are reused, and raises
//! the era. Revisions are compared by era first, then by number, so that a later one always compares greater.

use std::{fmt, str};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Bits of a version that hold the number; the rest hold the era.
const NUMBER_BITS: u32 = 40;

/// A revision of a registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// How many times the registry was restored from a backup, as reported by the registry.
    pub era: u64,
    /// The registry's count of changes.
    pub number: u64,
}

impl Revision {
    /// Packs the revision into one number that compares the same way. The era must fit in 24 bits and the number in 40.
    pub fn version(self) -> u64 {
        (self.era << NUMBER_BITS) | self.number
    }

    /// Unpacks a version that [`Revision::version`] returned.
    pub fn from_version(version: u64) -> Self {
        Self { era: version >> NUMBER_BITS, number: version & ((1 << NUMBER_BITS) - 1) }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.number),
            era => write!(f, "{era}.{}", self.number),
        }
    }
}

/// An error from parsing a [`Revision`].
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is not a revision: NUMBER or ERA.NUMBER, such as 52 or 2.52"))]
pub struct ParseError {
    text: String,
    source: std::num::ParseIntError,
}

impl str::FromStr for Revision {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (era, number) = text.split_once('.').unwrap_or(("0", text));
        let parse = |part: &str| part.parse().context(ParseSnafu { text });
        Ok(Self { era: parse(era)?, number: parse(number)? })
    }
}
