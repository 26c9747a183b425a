//! What the store keeps about the last change of the catalogue.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Marks one change, so that its author recognises it on reading it back
/// after the answer was lost. Drawn at random; written as 32 hex digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Id(pub u128);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Id {
    type Err = ParseIntError;

    /// ```
    /// let id: catalog::head::Id = "2a".parse().unwrap();
    /// assert_eq!(id.to_string(), "0000000000000000000000000000002a");
    /// ```
    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl Serialize for Id {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Id {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Who changed the catalogue last, and why.
///
/// The catalogue's *revision* is the store's modification revision of this
/// record: the store counts it, so it orders all changes and never repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// How many changes there have been, this one included.
    pub number: u64,
    /// The change's mark.
    pub change: Id,
    /// Who made it.
    pub author: String,
    /// Why, in the author's words.
    pub message: String,
    /// How often operators have declared the store restored from a backup. It
    /// goes before the revision: a restored store counts from a lower one.
    #[serde(default)]
    pub epoch: u32,
    /// When, by the author's clock, as RFC 3339 text; nothing depends on it.
    pub time: String,
}
