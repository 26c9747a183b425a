//! How a request ends: done, not run, or unknown.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a request did not end as done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// The entry's or the fleet's limits leave no room for it now.
    Overload,
    /// It could not finish, or did not, before its deadline.
    Deadline,
    /// No upstream that may serve it can be reached.
    NoUpstream,
    /// The connection broke after its bytes may have left.
    ConnectionLost,
    /// The primary was replaced while it ran.
    Replaced,
    /// This instance is stopping.
    Stopping,
    /// The retry budget is spent.
    RetryBudget,
    /// The catalogue does not know what it asks for.
    Catalogue,
    /// A ring between two duties is full.
    RingFull,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::NoUpstream => "no upstream",
            Self::ConnectionLost => "connection lost",
            Self::Replaced => "primary replaced",
            Self::Stopping => "stopping",
            Self::RetryBudget => "retry budget spent",
            Self::Catalogue => "not in the catalogue",
            Self::RingFull => "ring full",
        })
    }
}

/// The one end that each request has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran, and its effects are lasting.
    Done,
    /// It is proved that it did not run; the caller may send it again.
    NotRun(Cause),
    /// Whether it ran is not known.
    Unknown(Cause),
}

impl Outcome {
    /// The SQLSTATE that tells the caller, or `None` when it is done.
    ///
    /// The class `DL` is not used by the SQL standard or by PostgreSQL.
    pub fn sqlstate(self) -> Option<&'static str> {
        match self {
            Self::Done => None,
            Self::NotRun(_) => Some("DL001"),
            Self::Unknown(_) => Some("DL002"),
        }
    }
}
