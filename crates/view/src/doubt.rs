//! Problems that an instance reports to operators.

use std::fmt;

use model::name;
use serde::{Deserialize, Serialize};

use crate::Revision;

/// A problem that an instance reports to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Doubt {
    /// The instance has no catalogue, so it serves no sessions.
    NoCatalog,
    /// The store does not answer; the last catalogue stays in force.
    StoreSilent {
        /// Milliseconds without an answer.
        since_ms: u64,
    },
    /// The store has a lower revision than the one in force.
    StoreOlder {
        /// Revision in the store.
        shown: Revision,
        /// The revision in force.
        held: Revision,
    },
    /// A later revision has an unsupported format; the revision in force stays.
    Newer {
        /// The revision that is held back.
        revision: Revision,
        /// Format of that revision, newer than this version supports.
        format: u64,
    },
    /// A later revision is invalid; the revision in force stays.
    Unfit {
        /// The revision that is held back.
        revision: Revision,
        /// First fault found in the revision.
        reason: String,
    },
    /// A database has no primary.
    NoPrimary {
        /// The database.
        database: name::Database,
    },
    /// No majority confirms the primary of a database, so writes fail.
    Unconfirmed {
        /// The database.
        database: name::Database,
        /// Milliseconds without confirmation.
        since_ms: u64,
    },
    /// An upstream does not answer.
    UpstreamSilent {
        /// Database of the upstream.
        database: name::Database,
        /// The upstream.
        upstream: name::Upstream,
        /// Milliseconds without an answer.
        since_ms: u64,
    },
    /// An upstream lags too far behind its primary to serve reads of fresh
    /// data.
    UpstreamBehind {
        /// Database of the upstream.
        database: name::Database,
        /// The upstream.
        upstream: name::Upstream,
        /// Replication lag in milliseconds.
        lag_ms: u64,
    },
    /// The circuit breaker of an upstream is open after several failures.
    BreakerOpen {
        /// Database of the upstream.
        database: name::Database,
        /// The upstream.
        upstream: name::Upstream,
    },
    /// No message arrives from any instance of any other zone.
    ZoneAlone {
        /// The zone of this instance.
        zone: name::Zone,
    },
    /// A thread of the instance does not answer.
    DutySilent {
        /// Task of the thread.
        duty: Duty,
    },
    /// No message arrives from any instance of one other zone.
    ZoneSilent {
        /// The zone.
        zone: name::Zone,
    },
    /// The instance is stopping.
    Stopping,
    /// A problem of a kind that only a newer version defines.
    #[serde(other)]
    Other,
}

/// Task of a thread of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Duty {
    /// Connections from applications.
    Callers,
    /// Connections to upstreams.
    Upstreams,
    /// Failover of each database's primary.
    Control,
    /// Membership, and distribution of the catalogue to other instances.
    Peers,
    /// Calls to the platform's store.
    Store,
}

impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Callers => "callers",
            Self::Upstreams => "upstreams",
            Self::Control => "control",
            Self::Peers => "peers",
            Self::Store => "store",
        })
    }
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoCatalog => f.write_str("no catalogue yet: the instance serves no sessions"),
            Self::StoreSilent { since_ms } => write!(
                f,
                "the store is silent for {since_ms} ms: the last catalogue stays in force"
            ),
            Self::StoreOlder { shown, held } => write!(
                f,
                "the store went back to revision {shown} from {held}: {held} stays in force; \
                 if it was restored, `apply --renew` the catalogue"
            ),
            Self::Newer { revision, format } => write!(
                f,
                "revision {revision} has format {format}, which this version can't read: \
                 upgrade the instance"
            ),
            Self::Unfit { revision, reason } => {
                write!(f, "revision {revision} is held back: {reason}")
            }
            Self::NoPrimary { database } => {
                write!(f, "database `{database}` has no primary: writes fail")
            }
            Self::Unconfirmed { database, since_ms } => write!(
                f,
                "no majority has confirmed the primary of database `{database}` for {since_ms} ms: \
                 writes fail"
            ),
            Self::UpstreamSilent {
                database,
                upstream,
                since_ms,
            } => write!(
                f,
                "upstream `{upstream}` of database `{database}` is silent for {since_ms} ms"
            ),
            Self::UpstreamBehind {
                database,
                upstream,
                lag_ms,
            } => write!(
                f,
                "upstream `{upstream}` of database `{database}` is {lag_ms} ms behind: \
                 it serves no reads that ask for fresh data"
            ),
            Self::BreakerOpen { database, upstream } => write!(
                f,
                "upstream `{upstream}` of database `{database}` failed several times: \
                 its circuit breaker is open and it gets no requests"
            ),
            Self::ZoneAlone { zone } => write!(
                f,
                "no message arrives from any other zone: zone `{zone}` continues with its own state"
            ),
            Self::DutySilent { duty } => {
                write!(f, "thread `{duty}` does not answer: its state is not shown")
            }
            Self::ZoneSilent { zone } => write!(f, "no message arrives from zone `{zone}`"),
            Self::Stopping => f.write_str("the instance is stopping"),
            Self::Other => f.write_str("problem of a kind that this tool does not know"),
        }
    }
}
