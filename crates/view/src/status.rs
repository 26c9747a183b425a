//! One instance's view of the whole system.

use std::{fmt, net::SocketAddr};

use model::{Term, name};
use serde::{Deserialize, Serialize};

use crate::{Doubt, Revision};

/// State of an instance, and of the system as the instance sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The instance that answers.
    pub instance: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
    /// Version of the instance's program.
    pub version: String,
    /// Catalogue revision in force; number 0 without a catalogue.
    pub revision: Revision,
    /// Milliseconds since that revision was put in force.
    pub applied_ms_ago: u64,
    /// State of the connection to the platform's store.
    pub store: Store,
    /// Primary of each database.
    pub primaries: Vec<Primary>,
    /// Other known instances.
    pub members: Vec<Member>,
    /// Problems that the instance reports.
    pub doubts: Vec<Doubt>,
}

/// State of the connection to the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum Store {
    /// This instance does not call the store; other instances do.
    Idle,
    /// The store answers.
    Answering {
        /// Milliseconds since the last answer.
        answered_ms_ago: u64,
    },
    /// The store does not answer.
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

/// Primary of a database, as the instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Primary {
    /// The database.
    pub database: name::Database,
    /// Latest known term.
    pub term: Term,
    /// The upstream that is the primary; none while the term is only claimed.
    pub upstream: Option<name::Upstream>,
    /// Milliseconds since a majority confirmed the term; none before the first
    /// confirmation.
    pub confirmed_ms_ago: Option<u64>,
}

/// Health of an instance, as another instance sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The instance was heard of recently.
    Alive,
    /// The instance was not heard of for a while, and may refute the suspicion.
    Suspect,
    /// The instance announced its stop or is marked as leaving, and gets no new
    /// work.
    Leaving,
    /// The instance is presumed dead.
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
    /// Name of the other instance.
    pub instance: name::Instance,
    /// Availability zone of the other instance.
    pub zone: name::Zone,
    /// Address for the other instance's peers.
    pub address: SocketAddr,
    /// Health of the other instance.
    pub health: Health,
    /// Catalogue revision that the other instance reported last; none if never
    /// reported.
    pub revision: Option<Revision>,
    /// Milliseconds since the other instance was last heard of.
    pub heard_ms_ago: u64,
}
