//! Revision of the catalogue, in the notation of operators.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// A revision of the catalogue.
///
/// ```
/// let revision: view::Revision = "1.42".parse().unwrap();
/// assert_eq!((revision.epoch, revision.number), (1, 42));
/// assert!(revision > "43".parse().unwrap());
/// assert_eq!(revision.to_string(), "1.42");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Revision {
    /// Number of times that operators have declared the store restored from a
    /// backup.
    #[serde(default)]
    pub epoch: u32,
    /// Store revision of the change; 0 before the first change.
    pub number: u64,
}

impl fmt::Display for Revision {
    /// Writes the number alone in epoch 0, which applies to stores that were
    /// never restored.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.epoch {
            0 => write!(f, "{}", self.number),
            epoch => write!(f, "{epoch}.{}", self.number),
        }
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        let (epoch, number) = text.split_once('.').unwrap_or(("0", text));
        Ok(Self {
            epoch: epoch.parse()?,
            number: number.parse()?,
        })
    }
}
