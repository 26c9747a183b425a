//! The operators' catalogue and the upstreams, as one instance uses them.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;

use crate::account::Accounts;

/// How fresh a route's reads must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Every commit that anybody was told of.
    Current,
    /// The session's own commits, and everybody's up to this age.
    OwnWrites(Duration),
    /// Everybody's commits up to this age.
    Bounded(Duration),
}

/// An entry of the catalogue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The name that operators gave it.
    pub name: String,
    /// The name that callers give.
    pub database: Bytes,
    /// The group of upstreams that it goes to.
    pub service: Rc<str>,
    /// How fresh reads must be.
    pub freshness: Freshness,
    /// How long a statement may take.
    pub timeout: Duration,
    /// How soon it should be answered.
    pub latency_target: Duration,
    /// Who goes first; zero is the highest.
    pub priority: u8,
    /// Who may take it.
    pub access: Access,
}

/// Who may take a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Whoever holds an account's key.
    Keyed,
    /// Everybody.
    Anyone,
}

/// What the catalogue says of a group of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// How many connections an upstream takes, from all instances together.
    pub connections: usize,
    /// How many replicas hold a commit before it is acknowledged.
    pub sync: usize,
}

/// The operators' catalogue.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    /// Its version; a lower one never comes into force again.
    pub version: u64,
    /// Routes by the names that callers give.
    pub routes: HashMap<Bytes, Rc<Route>>,
    /// Services by name.
    pub services: HashMap<Rc<str>, Service>,
    /// The accounts with their keys.
    pub accounts: Accounts,
    /// How long a transaction may rest before it is undone.
    pub rest: Duration,
}

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// An upstream's entry in the list.
///
/// The list lags: an entry is neither a proof of life nor one of the role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Its id; an address may be used again by another.
    pub id: Rc<str>,
    /// The group it belongs to.
    pub service: Rc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Whether it takes new work.
    pub readiness: Readiness,
    /// How many statements it runs at once; zero if it does not say.
    pub slots: usize,
    /// When it started, in milliseconds since the Unix epoch, if it says so. After
    /// another start under the same id it knows nothing of before.
    pub born: Option<u64>,
}

impl Upstream {
    /// Whether `other` is the same upstream in the same life.
    pub fn is_same(&self, other: &Self) -> bool {
        let reborn = matches!((self.born, other.born), (Some(a), Some(b)) if a != b);
        self.id == other.id && self.address == other.address && !reborn
    }
}
