//! What an instance finds wrong, in words an operator can act on.

use std::fmt;

use model::name;
use serde::{Deserialize, Serialize};

use crate::Revision;

/// Something that an operator should know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Doubt {
    /// It has no catalogue, and so serves nobody.
    NoCatalog,
    /// The store does not answer; the last catalogue stays in force.
    StoreSilent {
        /// For how many milliseconds.
        since_ms: u64,
    },
    /// The store shows a lower revision than one that was in force.
    StoreOlder {
        /// The revision that the store shows.
        shown: Revision,
        /// The revision in force.
        held: Revision,
    },
    /// A later revision can't be understood; the one in force is kept.
    Newer {
        /// The revision that is held back.
        revision: Revision,
        /// Its format, above what this version reads.
        format: u64,
    },
    /// A later revision breaks the rules; the one in force is kept.
    Unfit {
        /// The revision that is held back.
        revision: Revision,
        /// The first fault.
        reason: String,
    },
    /// A database has no primary.
    NoPrimary {
        /// The database.
        database: name::Database,
    },
    /// No majority of a database confirms its primary: no write lands.
    Unconfirmed {
        /// The database.
        database: name::Database,
        /// For how many milliseconds.
        since_ms: u64,
    },
    /// An upstream does not answer.
    UpstreamSilent {
        /// Its database.
        database: name::Database,
        /// The upstream.
        upstream: name::Upstream,
        /// For how many milliseconds.
        since_ms: u64,
    },
    /// An upstream is so far behind that it serves no fresh reads.
    UpstreamBehind {
        /// Its database.
        database: name::Database,
        /// The upstream.
        upstream: name::Upstream,
        /// How far behind it is, in milliseconds.
        lag_ms: u64,
    },
    /// The circuit breaker of an upstream is open: it failed several times.
    BreakerOpen {
        /// Its database.
        database: name::Database,
        /// The upstream.
        upstream: name::Upstream,
    },
    /// Nothing is heard from any instance of any other zone.
    ZoneAlone {
        /// The zone of this instance.
        zone: name::Zone,
    },
    /// A thread of the instance does not answer.
    DutySilent {
        /// What it is there for.
        duty: Duty,
    },
    /// Nothing is heard from any instance of another zone.
    ZoneSilent {
        /// The zone.
        zone: name::Zone,
    },
    /// The instance is stopping.
    Stopping,
    /// A doubt that only a newer version knows.
    #[serde(other)]
    Other,
}

/// What a thread of an instance is there for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Duty {
    /// Connections from applications.
    Callers,
    /// Connections to upstreams.
    Upstreams,
    /// Who leads each database.
    Control,
    /// Other instances and the spread of the catalogue.
    Peers,
    /// The platform's store.
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
            Self::NoCatalog => f.write_str("no catalogue yet: it serves nobody"),
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
                write!(f, "database `{database}` has no primary: no write lands")
            }
            Self::Unconfirmed { database, since_ms } => write!(
                f,
                "no majority of database `{database}` confirms its primary for {since_ms} ms: \
                 no write lands"
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
                 its breaker is open and it gets no work"
            ),
            Self::ZoneAlone { zone } => write!(
                f,
                "no other zone is heard: zone `{zone}` serves on alone with what it has"
            ),
            Self::DutySilent { duty } => write!(
                f,
                "the thread of duty `{duty}` does not answer: what it knows is not shown"
            ),
            Self::ZoneSilent { zone } => write!(f, "nothing is heard from zone `{zone}`"),
            Self::Stopping => f.write_str("the instance is stopping"),
            Self::Other => f.write_str("something that only a newer tool can tell"),
        }
    }
}
