//! Terms and log positions of a database group.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// Number of a primary's term of leadership; each promotion increments it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Term(pub u64);

impl Term {
    /// The term that a promotion claims after this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Byte position in the write-ahead log, formatted as in PostgreSQL.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Lsn(pub u64);

impl fmt::Display for Lsn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:X}/{:X}", self.0 >> 32, self.0 & 0xffff_ffff)
    }
}

/// Reason a text is not a log position such as `0/16B3748`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LsnError {
    /// The slash between the two halves is missing.
    #[error("a log position has two halves separated by a slash")]
    Slash,
    /// A half is not a hexadecimal number of 32 bits.
    #[error("half of a log position is not a 32-bit hexadecimal number: {0}")]
    Half(#[from] ParseIntError),
}

impl FromStr for Lsn {
    type Err = LsnError;

    /// ```
    /// let lsn: model::Lsn = "1/2A".parse().unwrap();
    /// assert_eq!(lsn, model::Lsn((1 << 32) + 42));
    /// ```
    fn from_str(text: &str) -> Result<Self, LsnError> {
        let (high, low) = text.split_once('/').ok_or(LsnError::Slash)?;
        let high = u32::from_str_radix(high, 16)?;
        let low = u32::from_str_radix(low, 16)?;
        Ok(Self(u64::from(high) << 32 | u64::from(low)))
    }
}

/// Progress of an upstream: its term and its position in that term's log.
///
/// Positions are ordered by term first and LSN second, the order in which a promotion
/// chooses among the upstreams that answered.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the log.
    pub term: Term,
    /// Position in that log.
    pub lsn: Lsn,
}

impl Position {
    /// Creates a position from plain numbers, for tests and simulated servers.
    pub fn new(term: u64, lsn: u64) -> Self {
        Self {
            term: Term(term),
            lsn: Lsn(lsn),
        }
    }

    /// Returns true if a log at this position holds everything acknowledged at `token`.
    ///
    /// Only acknowledged positions become tokens, and an acknowledged position is part of the log
    /// of each later term. Both term and LSN must have been reached: a higher term alone does not
    /// suffice, because a lagging replica carries the new term before it has replayed up to the
    /// fork.
    ///
    /// ```
    /// use model::Position;
    /// assert!(Position::new(3, 90).covers(Position::new(2, 80)));
    /// assert!(!Position::new(3, 70).covers(Position::new(2, 80)));
    /// assert!(!Position::new(1, 90).covers(Position::new(2, 80)));
    /// ```
    pub fn covers(self, token: Self) -> bool {
        self.term >= token.term && self.lsn >= token.lsn
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.term, self.lsn)
    }
}
