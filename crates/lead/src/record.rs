//! What the store keeps of a database's primary.

use model::Term;
use serde::{Deserialize, Serialize};

/// Whether a primary may be used, or is being replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The upstream leads; a read of this record proves it for a span.
    Stable,
    /// A replacement is under way; nobody may prove anything.
    Changing,
}

/// A database's record: changed only by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The term that is led, or that was led before the change.
    pub term: Term,
    /// The upstream that leads, or that led before the change.
    pub upstream: String,
    /// Whether the primary may be used.
    pub phase: Phase,
    /// The instance that wrote the record last.
    pub by: String,
    /// The era of the store in which it was written. In a later one it stands in a copy, and
    /// what was written behind it may be gone.
    #[serde(default)]
    pub written: u64,
}

impl Record {
    /// Whether it tells no more than `other`, which was written before: a copy may have lost
    /// a replacement that took effect.
    ///
    /// ```
    /// use lead::{Phase, Record};
    /// use model::Term;
    ///
    /// let record = |term, phase| Record {
    ///     term: Term(term),
    ///     upstream: "i-1".into(),
    ///     phase,
    ///     by: "one".into(),
    ///     written: 1,
    /// };
    /// assert!(record(3, Phase::Stable).is_behind(&record(4, Phase::Stable)));
    /// assert!(record(3, Phase::Stable).is_behind(&record(3, Phase::Changing)));
    /// assert!(!record(4, Phase::Stable).is_behind(&record(3, Phase::Changing)));
    /// ```
    pub fn is_behind(&self, other: &Self) -> bool {
        let rank = |record: &Self| (record.term, record.phase == Phase::Changing);
        rank(self) <= rank(other)
    }
}
