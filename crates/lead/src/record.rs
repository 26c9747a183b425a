//! Record of a database's primary in the store.

use model::Term;
use serde::{Deserialize, Serialize};

/// Phase of a primary: usable or being replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The upstream leads. A read of the record proves the primary for a span.
    Stable,
    /// A replacement is in progress. The record proves no primary.
    Changing,
}

/// Record of a database's primary, changed only by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The current term, or the last one before a replacement in progress.
    pub term: Term,
    /// The primary, or the last one before a replacement in progress.
    pub upstream: String,
    /// Phase of the primary.
    pub phase: Phase,
    /// The instance that last wrote the record.
    pub by: String,
    /// Era of the store in which the record was written. In a later era the store is a restored
    /// copy, from which later writes may be missing.
    #[serde(default)]
    pub written: u64,
    /// Number of the group's replicas when the record was written; zero if unknown.
    #[serde(default)]
    pub replicas: usize,
}

impl Record {
    /// Returns true if the record is no newer than `other`, which was seen before: a copy of the
    /// store may lack a replacement that took effect.
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
    ///     replicas: 2,
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
