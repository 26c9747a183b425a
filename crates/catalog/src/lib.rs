//! The operators' catalogue: tenants, databases with their upstreams, entries.
//!
//! [`Catalog::parse`] reads the text that operators keep in version control,
//! [`layout`] puts a catalogue into the store's keys and back, and [`apply`]
//! decides how a change gets there exactly once. Nothing here does any input
//! or output.

pub mod apply;
pub mod change;
pub mod fault;
pub mod head;
pub mod history;
pub mod layout;
pub mod limit;
pub mod parts;
pub mod plan;
mod rules;
pub mod scram;
mod text;

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use model::{Class, Freshness, Priority, Repeat, name};
use serde::{Deserialize, Serialize};

pub use fault::{Fault, Item, Lint, Located, Place, Problem, Warning};
pub use text::{Checked, Error};

/// Everything the operators declare.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Customers and their logins.
    #[serde(default, rename = "tenant")]
    pub tenants: BTreeMap<name::Tenant, Tenant>,
    /// Replicated groups of upstreams.
    #[serde(default, rename = "database")]
    pub databases: BTreeMap<name::Database, Database>,
    /// What callers may connect to.
    #[serde(default, rename = "entry")]
    pub entries: BTreeMap<name::Entry, Entry>,
}

/// A customer of the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Login names with their SCRAM-SHA-256 verifiers, in the form that
    /// PostgreSQL keeps: `SCRAM-SHA-256$iterations:salt$stored:server`.
    pub users: BTreeMap<String, String>,
}

/// A replicated group of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// The name under which the upstreams know the database.
    pub dbname: String,
    /// The servers of the group; a majority of them confirms each write.
    #[serde(rename = "upstream")]
    pub upstreams: BTreeMap<name::Upstream, Upstream>,
}

/// One database server of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: name::Zone,
    /// How many statements it runs at once without queueing them.
    pub slots: u16,
    /// How many connections the whole fleet may hold to it.
    pub connections: u16,
    /// Whether it is being taken out of service: it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// What callers connect to: a database under an owner, a class and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The owner.
    pub tenant: name::Tenant,
    /// The database its statements run on.
    pub database: name::Database,
    /// How fresh its reads are.
    pub freshness: ReadFreshness,
    /// The greatest age of a read in milliseconds, where freshness is `age`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub staleness_ms: Option<u32>,
    /// Whether its requests may be repeated.
    #[serde(default)]
    pub idempotent: bool,
    /// Who goes first under load.
    #[serde(default)]
    pub priority: PriorityLevel,
    /// How many upstream connections it may hold at once, over the fleet.
    pub connections: u16,
    /// How many of its requests may wait at one instance.
    pub queue: u32,
    /// How long a request may take, in milliseconds.
    pub deadline_ms: u32,
}

/// The catalogue's word for a read's freshness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReadFreshness {
    /// Everything acknowledged before the read began.
    Current,
    /// Everything the session wrote or saw.
    ReadYourWrites,
    /// No older than `staleness_ms`, and never older than the session's writes.
    Age,
}

impl fmt::Display for ReadFreshness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Current => "current",
            Self::ReadYourWrites => "read-your-writes",
            Self::Age => "age",
        })
    }
}

/// The catalogue's word for a priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityLevel {
    /// Reservations, payments and urgent retrievals.
    High,
    /// Everything else.
    #[default]
    Normal,
    /// What gives way first.
    Low,
}

impl Entry {
    /// The entry's class, as the decisions read it.
    pub fn class(&self) -> Class {
        let freshness = match self.freshness {
            ReadFreshness::Current => Freshness::Current,
            ReadFreshness::ReadYourWrites => Freshness::Session,
            ReadFreshness::Age => {
                Freshness::Age(Duration::from_millis(self.staleness_ms.unwrap_or(0).into()))
            }
        };
        let repeat = if self.idempotent {
            Repeat::Idempotent
        } else {
            Repeat::Once
        };
        let priority = match self.priority {
            PriorityLevel::High => Priority::High,
            PriorityLevel::Normal => Priority::Normal,
            PriorityLevel::Low => Priority::Low,
        };
        Class {
            freshness,
            repeat,
            priority,
        }
    }

    /// How long a request may take.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.into())
    }
}
