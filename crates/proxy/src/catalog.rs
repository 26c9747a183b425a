//! The operators' catalogue and the registered upstreams.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use admit::service::Priority;
use bytes::Bytes;

use crate::account::Accounts;

/// Freshness that a route's reads require.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Reads see every acknowledged commit.
    Current,
    /// Reads see the session's own commits, and all other commits older than this age.
    OwnWrites(Duration),
    /// Reads see all commits older than this age.
    Bounded(Duration),
}

/// A route: the catalogue's entry for one database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name in the catalogue.
    pub name: String,
    /// The database name that callers use.
    pub database: Bytes,
    /// The group of upstreams that serves the database.
    pub service: Rc<str>,
    /// Freshness that reads require.
    pub freshness: Freshness,
    /// Time limit of a statement.
    pub timeout: Duration,
    /// Time within which a statement should be answered.
    pub latency_target: Duration,
    /// Priority in queues; zero is the highest.
    pub priority: Priority,
    /// Callers that may use the route.
    pub access: Access,
}

/// Callers that may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Callers with the key of an account.
    Keyed,
    /// All callers.
    Anyone,
}

/// Settings of a group of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Connections that an upstream accepts, from all instances together.
    pub connections: usize,
    /// Number of replicas that hold a commit before it is acknowledged.
    pub sync: usize,
}

/// The operators' catalogue.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    /// The catalogue's version; it never decreases on an instance.
    pub version: u64,
    /// Routes by the database names that callers use.
    pub routes: HashMap<Bytes, Rc<Route>>,
    /// Services by name.
    pub services: HashMap<Rc<str>, Service>,
    /// The client accounts with their keys.
    pub accounts: Accounts,
    /// Idle time after which a transaction is rolled back.
    pub transaction_idle_limit: Duration,
}

/// Readiness of an upstream for new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// The upstream accepts new work.
    Ready,
    /// The upstream is about to leave.
    Draining,
}

/// A registered upstream.
///
/// The registrations lag behind: an entry proves neither that the upstream is alive nor which role
/// it has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// The upstream's id. Another upstream may use the same address later.
    pub id: Rc<str>,
    /// The group that the upstream belongs to.
    pub service: Rc<str>,
    /// The address that the upstream listens on.
    pub address: SocketAddr,
    /// The upstream's availability zone.
    pub zone: String,
    /// Readiness for new work.
    pub readiness: Readiness,
    /// Number of statements that the upstream runs concurrently; zero if unknown.
    pub slots: usize,
    /// Start time in milliseconds since the Unix epoch, if registered. A restart under the same id
    /// loses all earlier state of the process.
    pub born: Option<u64>,
}

impl Upstream {
    /// Returns true if `other` is the same upstream and has not restarted since.
    pub fn is_same(&self, other: &Self) -> bool {
        let reborn = matches!((self.born, other.born), (Some(a), Some(b)) if a != b);
        self.id == other.id && self.address == other.address && !reborn
    }
}
