//! The time type used throughout the system: whole milliseconds.
//!
//! An instant is the number of milliseconds since an origin that the I/O layer chooses (its start), and a
//! duration is a number of milliseconds; both are [`Millis`]. Subtraction saturates, because a late
//! event may have an earlier instant than one that was already processed.

use std::{fmt, ops, str};

use serde::{Deserialize, Deserializer, Serialize, de};
use snafu::Snafu;

/// An instant or a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl<'de> Deserialize<'de> for Millis {
    /// Accepts integers, and floats because some programs write whole numbers as such; rounds fractions.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Visitor)
    }
}

struct Visitor;

impl de::Visitor<'_> for Visitor {
    type Value = Millis;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number of milliseconds, 0 or more")
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Millis, E> {
        Ok(Millis(value))
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Millis, E> {
        u64::try_from(value).map(Millis).map_err(|_| E::invalid_value(de::Unexpected::Signed(value), &self))
    }

    fn visit_f64<E: de::Error>(self, value: f64) -> Result<Millis, E> {
        if value.is_finite() && value >= 0.0 {
            return Ok(Millis(value.round() as u64));
        }
        Err(E::invalid_value(de::Unexpected::Float(value), &self))
    }
}

impl Millis {
    /// The origin, or an empty duration.
    pub const ZERO: Self = Self(0);
    /// An instant that is never reached.
    pub const MAX: Self = Self(u64::MAX);

    /// The duration from `earlier` to `self`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Multiplies `self` by `factor`, rounding down; a negative factor yields zero.
    pub fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }
}

impl ops::Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl ops::Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.since(rhs)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// An error from parsing [`Millis`].
#[derive(Debug, Snafu)]
#[snafu(display("`{text}` is not a duration: write whole milliseconds, such as `250ms` or `250`"))]
pub struct ParseError {
    text: String,
}

impl str::FromStr for Millis {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let digits = text.strip_suffix("ms").unwrap_or(text);
        let Ok(value) = digits.parse() else {
            return ParseSnafu { text }.fail();
        };
        Ok(Self(value))
    }
}
