//! Signatures of backend servers, as entries of a comma-separated list.

use std::{fmt, str};

use compact_str::CompactString;
use snafu::{Snafu, ensure};

/// Text that cannot be one entry of a list of signatures.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a signature is one or more visible ASCII characters other than commas"))]
pub struct Error;

/// A server's signature of its reply: one or more visible ASCII characters other than commas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Signature(CompactString);

impl Signature {
    /// Returns the text of the signature.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl str::FromStr for Signature {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let is_valid = |byte: u8| byte.is_ascii_graphic() && byte != b',';
        ensure!(!text.is_empty() && text.bytes().all(is_valid), Snafu);
        Ok(Self(CompactString::from(text)))
    }
}

impl fmt::Display for Signature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
