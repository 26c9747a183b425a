//! The operators' catalogue: tenants, databases with their upstreams, entries.
//!
//! [`Catalog::parse`] parses the TOML text that operators keep in version
//! control, [`layout`] maps a catalogue to keys and values of the store and
//! back, and [`apply`] is the state machine that writes a change exactly once.
//! This crate does no input or output.

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

/// The operators' configuration.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Client accounts with their logins.
    #[serde(default, rename = "tenant")]
    pub tenants: BTreeMap<name::Tenant, Tenant>,
    /// Replicated groups of upstreams.
    #[serde(default, rename = "database")]
    pub databases: BTreeMap<name::Database, Database>,
    /// Entries that callers connect to.
    #[serde(default, rename = "entry")]
    pub entries: BTreeMap<name::Entry, Entry>,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// SCRAM-SHA-256 verifiers by login name, in the format in which PostgreSQL
    /// stores them: `SCRAM-SHA-256$iterations:salt$stored:server`.
    pub users: BTreeMap<String, String>,
}

/// A replicated group of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Name of the database on the upstreams.
    pub dbname: String,
    /// Servers of the group; a majority of them confirms each write.
    #[serde(rename = "upstream")]
    pub upstreams: BTreeMap<name::Upstream, Upstream>,
}

/// One database server of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Listening address.
    pub address: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: name::Zone,
    /// Number of statements that the upstream runs concurrently without queueing.
    pub slots: u16,
    /// Limit of connections to the upstream, over all instances.
    pub connections: u16,
    /// Whether the upstream is being taken out of service and gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// An entry that callers connect to: a database with its owner, request class
/// and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Client account that owns the entry.
    pub tenant: name::Tenant,
    /// Database on which the entry's statements run.
    pub database: name::Database,
    /// Required freshness of reads.
    pub freshness: ReadFreshness,
    /// Maximum age of a read in milliseconds; required if freshness is `age`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub staleness_ms: Option<u32>,
    /// Whether requests may be executed more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Priority of requests under load.
    #[serde(default)]
    pub priority: PriorityLevel,
    /// Limit of concurrent upstream connections, over all instances.
    pub connections: u16,
    /// Limit of requests that wait at one instance.
    pub queue: u32,
    /// Deadline of a request in milliseconds.
    pub deadline_ms: u32,
}

/// Value of the key `freshness`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReadFreshness {
    /// A read sees all writes acknowledged before the read began.
    Current,
    /// A read sees everything that its session wrote or read.
    ReadYourWrites,
    /// A read is at most `staleness_ms` old and sees its session's writes.
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

/// Value of the key `priority`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityLevel {
    /// Urgent requests, such as reservations, payments and urgent retrievals.
    High,
    /// All other requests.
    #[default]
    Normal,
    /// Requests that are shed first.
    Low,
}

impl Entry {
    /// Request class of the entry.
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

    /// Deadline of a request as a duration.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.into())
    }
}
