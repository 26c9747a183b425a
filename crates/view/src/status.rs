//! One instance's view of the whole system.

use std::{fmt, net::SocketAddr};

use model::{Term, name};
use serde::{Deserialize, Serialize};

use crate::{Doubt, Revision};

/// What an instance knows and holds in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The instance that answers.
    pub instance: name::Instance,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The version of its program.
    pub version: String,
    /// The catalogue's revision in force; number 0 while it has none.
    pub revision: Revision,
    /// How long that revision has been in force here, in milliseconds.
    pub applied_ms_ago: u64,
    /// Whether the platform's store answers.
    pub store: Store,
    /// Who leads each database.
    pub primaries: Vec<Primary>,
    /// The other instances that it knows.
    pub members: Vec<Member>,
    /// What it finds wrong.
    pub doubts: Vec<Doubt>,
}

/// Whether the platform's store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum Store {
    /// This instance does not ask the store itself now; its peers do.
    Idle,
    /// It answered, last so long ago.
    Answering {
        /// Milliseconds since the last answer.
        answered_ms_ago: u64,
    },
    /// It does not answer.
    Silent {
        /// Milliseconds since the last answer, or since the start.
        since_ms: u64,
    },
}

impl fmt::Display for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Idle => f.write_str("not asked"),
            Self::Answering { answered_ms_ago } => write!(f, "answered {answered_ms_ago} ms ago"),
            Self::Silent { since_ms } => write!(f, "silent for {since_ms} ms"),
        }
    }
}

/// Who leads a database, as the instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Primary {
    /// The database.
    pub database: name::Database,
    /// The latest term known.
    pub term: Term,
    /// The upstream that leads; none while the term is only claimed.
    pub upstream: Option<name::Upstream>,
    /// Milliseconds since a majority confirmed the term; none if not yet.
    pub confirmed_ms_ago: Option<u64>,
}

/// Whether an instance is alive, as another one sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// Heard of lately.
    Alive,
    /// Not heard of for a while; it may refute that.
    Suspect,
    /// It said goodbye or is marked as leaving: it gets no new work.
    Leaving,
    /// Taken for dead.
    Dead,
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        })
    }
}

/// Another instance, as the instance that answers sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub instance: name::Instance,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Whether it is alive.
    pub health: Health,
    /// The catalogue's revision that it told of last; none if it never did.
    pub revision: Option<Revision>,
    /// Milliseconds since it was last heard of.
    pub heard_ms_ago: u64,
}
