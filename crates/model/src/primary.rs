//! The record of who leads a database, and what an upstream tells of itself.

use serde::{Deserialize, Serialize};

use crate::{Lsn, Position, Term, name};

/// The store's record of a database's primary, changed only by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The term that the record opens.
    pub term: Term,
    /// How far the change of primary has come.
    pub phase: Phase,
    /// Where the log of the term before was left: the new primary's last place.
    pub fork: Lsn,
    /// Marks the swap that wrote this, so that a writer whose answer was lost
    /// recognises its own record when it reads it back.
    pub attempt: u128,
}

impl Record {
    /// The upstream that leads, or `None` while a term is only claimed.
    pub fn leader(&self) -> Option<&name::Upstream> {
        match &self.phase {
            Phase::Led { upstream } => Some(upstream),
            Phase::Claimed { .. } => None,
        }
    }
}

/// How far a change of primary has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// An instance has claimed the term and fences the group.
    Claimed {
        /// The claimant.
        by: name::Instance,
    },
    /// The upstream was promoted and leads in this term.
    Led {
        /// The primary.
        upstream: name::Upstream,
    },
}

/// Whether an upstream takes writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// It takes writes and makes log.
    Primary,
    /// It replays the log of a primary.
    Replica,
}

/// What an upstream says of itself, all in one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Whether it takes writes.
    pub role: Role,
    /// The highest term it was fenced to; orders of lower terms are refused.
    pub fenced: Term,
    /// The term of the last log it holds, and how far it *received* that log.
    pub received: Position,
    /// How far it has replayed, which is what its reads see.
    pub replayed: Lsn,
}
