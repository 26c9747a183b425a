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
    /// Its database.
    pub database: name::Database,
    /// Its name.
    pub upstream: name::Upstream,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it answers.
    pub link: Link,
    /// Whether it takes writes; none if it never told.
    pub role: Option<Role>,
    /// How far it has received its log; none if it never told.
    #[serde(default)]
    pub received: Option<Position>,
    /// How far it has replayed its log; none if it never told.
    pub position: Option<Position>,
    /// How old its data was when last asked, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Whether it is leaving: it gets no new work.
    pub leaving: bool,
    /// Its connections held here; none where another instance holds them.
    pub pool: Option<Pool>,
}

/// Whether an upstream answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Link {
    /// It answers.
    Up,
    /// It is not asked yet, or its last answer is old.
    Unsure,
    /// It does not answer.
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
    /// How many are open.
    pub open: u32,
    /// How many of them run a request or hold a transaction.
    pub busy: u32,
    /// How many may be open.
    pub limit: u32,
    /// How many requests wait for one.
    pub waiting: u32,
    /// Whether requests pass; none if the instance does not tell.
    #[serde(default)]
    pub breaker: Option<Breaker>,
}

/// Whether the circuit breaker of an upstream lets requests pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum Breaker {
    /// They pass.
    Closed,
    /// They are refused, as the upstream failed several times.
    Open {
        /// Milliseconds until one may pass to try it.
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
