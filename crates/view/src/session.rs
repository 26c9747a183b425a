//! Sessions of an instance's callers.

use std::{fmt, net::SocketAddr};

use model::{Position, name};
use serde::{Deserialize, Serialize};

/// Sessions of an instance: the total, and the details of a limited number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sessions {
    /// The instance that answers.
    pub instance: name::Instance,
    /// Total number of sessions.
    pub total: u64,
    /// Some of the sessions, longest running work first.
    pub sessions: Vec<Session>,
}

/// One caller's session.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Session {
    /// Tenant of the session; none if the instance does not report the tenant.
    #[serde(default)]
    pub tenant: Option<name::Tenant>,
    /// Entry to which the caller is connected.
    pub entry: name::Entry,
    /// User name of the login.
    pub user: String,
    /// Address of the caller.
    pub client: SocketAddr,
    /// Milliseconds since the login; none if the instance does not report the
    /// time.
    #[serde(default)]
    pub connected_ms: Option<u64>,
    /// Milliseconds since the open transaction began; none outside a
    /// transaction.
    #[serde(default)]
    pub transaction_ms: Option<u64>,
    /// Current phase.
    pub phase: Phase,
    /// Milliseconds in the current phase.
    pub phase_ms: u64,
    /// Log position that reads must have reached; none before the session's
    /// first write or read.
    pub token: Option<Position>,
}

/// Phase of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The caller is logging in.
    Starting,
    /// No request is pending.
    Idle,
    /// A request waits for a connection or a replica.
    Queued,
    /// A request runs.
    Running,
    /// No request is pending in an open transaction, which holds a connection.
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
