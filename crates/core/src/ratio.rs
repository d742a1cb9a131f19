//! A fraction between zero and one.

use std::{fmt, str};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A fraction from 0 to 1, inclusive.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Ratio(f64);

/// An error from converting a number outside 0 to 1, or from parsing a text that is not a number.
#[derive(Debug, Snafu)]
#[snafu(display("`{text}` is not a share: write a number from 0 to 1, such as 0.95"))]
pub struct ParseError {
    text: String,
}

impl Ratio {
    /// The fraction 1.
    pub const ONE: Self = Self(1.0);
    /// The fraction 0.
    pub const ZERO: Self = Self(0.0);

    /// The fraction as a floating-point number.
    pub fn get(self) -> f64 {
        self.0
    }

    /// The smallest part of `whole` that is at least this fraction, as in [`Ratio::is_met`].
    pub fn smallest_part(self, whole: usize) -> usize {
        (self.0 * whole as f64 - 1e-9).ceil().max(0.0) as usize
    }

    /// Whether `part` of `whole` is at least this fraction, with a tolerance of 1e-9 for rounding errors.
    pub fn is_met(self, part: usize, whole: usize) -> bool {
        part as f64 >= self.0 * whole as f64 - 1e-9
    }
}

impl TryFrom<f64> for Ratio {
    type Error = ParseError;

    fn try_from(value: f64) -> Result<Self, ParseError> {
        if !(0.0..=1.0).contains(&value) {
            return ParseSnafu { text: value.to_string() }.fail();
        }
        Ok(Self(value))
    }
}

impl From<Ratio> for f64 {
    fn from(ratio: Ratio) -> Self {
        ratio.0
    }
}

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for Ratio {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let Ok(value) = text.parse::<f64>() else {
            return ParseSnafu { text }.fail();
        };
        Self::try_from(value)
    }
}
