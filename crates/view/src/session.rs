//! An instance's callers.

use std::{fmt, net::SocketAddr};

use model::{Position, name};
use serde::{Deserialize, Serialize};

/// Callers of an instance: all counted, a bounded number shown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sessions {
    /// The instance that answers.
    pub instance: name::Instance,
    /// How many sessions it has.
    pub total: u64,
    /// Some of them, those in longest work first.
    pub sessions: Vec<Session>,
}

/// One caller's session.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Session {
    /// The tenant that it belongs to; none if the instance does not tell.
    #[serde(default)]
    pub tenant: Option<name::Tenant>,
    /// The entry it is connected to.
    pub entry: name::Entry,
    /// The user it logged in as.
    pub user: String,
    /// Where it connects from.
    pub client: SocketAddr,
    /// Milliseconds since it logged in; none if the instance does not tell.
    #[serde(default)]
    pub connected_ms: Option<u64>,
    /// Milliseconds that its transaction is open; none outside one.
    #[serde(default)]
    pub transaction_ms: Option<u64>,
    /// What it does.
    pub phase: Phase,
    /// Milliseconds that it has been doing that.
    pub phase_ms: u64,
    /// How far its reads must have come; none before it wrote or saw anything.
    pub token: Option<Position>,
}

/// What a session does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It is logging in.
    Starting,
    /// It asks for nothing.
    Idle,
    /// A request waits for a connection or a replica.
    Queued,
    /// A request runs.
    Running,
    /// It holds a connection in an open transaction and asks for nothing.
    InTransaction,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Starting => "starting",
            Self::Idle => "idle",
            Self::Queued => "queued",
            Self::Running => "running",
            Self::InTransaction => "in transaction",
        })
    }
}
