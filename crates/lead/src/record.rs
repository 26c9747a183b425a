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
}
