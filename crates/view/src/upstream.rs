//! An instance's connections to upstreams.

use std::{fmt, net::SocketAddr};

use model::{Position, Role, name};
use serde::{Deserialize, Serialize};

/// All upstreams of the catalogue in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Upstreams {
    /// The instance that answers.
    pub instance: name::Instance,
    /// The upstreams, by database and name.
    pub upstreams: Vec<Upstream>,
}

/// One upstream, as the instance that answers sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Database of the upstream.
    pub database: name::Database,
    /// Name of the upstream.
    pub upstream: name::Upstream,
    /// Availability zone of the upstream.
    pub zone: name::Zone,
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// State of the link to the upstream.
    pub link: Link,
    /// Role that the upstream reports, primary or replica; none if never
    /// reported.
    pub role: Option<Role>,
    /// Log position that the upstream has received; none if never reported.
    #[serde(default)]
    pub received: Option<Position>,
    /// Log position that the upstream has replayed; none if never reported.
    pub position: Option<Position>,
    /// Age of the upstream's data at the last check, in milliseconds.
    pub lag_ms: Option<u64>,
    /// True if the upstream is leaving and gets no new work.
    pub leaving: bool,
    /// Connections that this instance holds; none if another instance holds the
    /// connections.
    pub pool: Option<Pool>,
}

/// State of the link to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Link {
    /// The upstream answers.
    Up,
    /// The upstream was not checked yet, or its last answer is old.
    Unsure,
    /// The upstream does not answer.
    Down,
}

impl fmt::Display for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Up => "up",
            Self::Unsure => "unsure",
            Self::Down => "down",
        })
    }
}

/// Connections to one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Number of open connections.
    pub open: u32,
    /// Number of open connections that run a request or hold a transaction.
    pub busy: u32,
    /// Maximum number of open connections.
    pub limit: u32,
    /// Number of requests that wait for a connection.
    pub waiting: u32,
    /// State of the circuit breaker; none if the instance does not report the
    /// state.
    #[serde(default)]
    pub breaker: Option<Breaker>,
}

/// State of the circuit breaker of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum Breaker {
    /// Requests pass.
    Closed,
    /// Requests are refused, since the upstream failed several times.
    Open {
        /// Milliseconds until a trial request may pass.
        retry_ms: u64,
    },
}

impl fmt::Display for Breaker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("closed"),
            Self::Open { retry_ms } => write!(f, "open for {retry_ms} ms"),
        }
    }
}
