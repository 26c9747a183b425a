//! The head: metadata of the last change of the catalogue.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Random id of a change, by which the tool recognises its own change after
/// the store's answer was lost. Serialized as 32 hexadecimal digits.
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

/// Author, reason and number of the last change.
///
/// The catalogue's *revision* is the store's modification revision of the
/// head's key. The store assigns revisions, so they order all changes and are
/// never reused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Number of the change, starting at 1.
    pub number: u64,
    /// Id of the change.
    pub change: Id,
    /// Author of the change.
    pub author: String,
    /// Reason for the change, as given by the author.
    pub message: String,
    /// Number of times that operators have declared the store restored from a
    /// backup. Epochs are compared before revisions, because a restored store
    /// continues from a lower revision.
    #[serde(default)]
    pub epoch: u32,
    /// Time of the change by the author's clock, as RFC 3339 text; only for
    /// display.
    pub time: String,
}
