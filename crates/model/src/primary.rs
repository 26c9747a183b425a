//! Record of a database's primary, and status report of an upstream.

use serde::{Deserialize, Serialize};

use crate::{Lsn, Position, Term, name};

/// Record of a database's primary in the store, changed only by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Term that begins with the record.
    pub term: Term,
    /// Progress of the change of primary.
    pub phase: Phase,
    /// End of the previous term's log: the last position of the new primary in it.
    pub fork: Lsn,
    /// Unique identifier of the swap that wrote the record, by which a writer whose answer was
    /// lost recognises its own record.
    pub attempt: u128,
}

impl Record {
    /// The primary, or `None` while the term is only claimed.
    pub fn leader(&self) -> Option<&name::Upstream> {
        match &self.phase {
            Phase::Led { upstream } => Some(upstream),
            Phase::Claimed { .. } => None,
        }
    }
}

/// Progress of a change of primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// An instance has claimed the term and is fencing the group.
    Claimed {
        /// The claiming instance.
        by: name::Instance,
    },
    /// The upstream was promoted and leads the term.
    Led {
        /// The primary.
        upstream: name::Upstream,
    },
}

/// Replication role of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Accepts writes and generates log.
    Primary,
    /// Replays the log of a primary.
    Replica,
}

/// Status that an upstream reports of itself in one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Replication role.
    pub role: Role,
    /// Highest term that the upstream was fenced to; it refuses orders of lower terms.
    pub fenced: Term,
    /// Term of the latest log that the upstream holds, and the position received in it.
    pub received: Position,
    /// Position replayed, up to which reads see the data.
    pub replayed: Lsn,
}
