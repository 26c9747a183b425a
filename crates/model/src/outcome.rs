//! Outcome of a request: done, not run, or unknown.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Reason a request did not end as done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// The limits of the entry or the fleet leave no capacity for the request.
    Overload,
    /// The request could not be finished before its deadline.
    Deadline,
    /// No upstream that may serve the request can be reached.
    NoUpstream,
    /// The connection broke after the request may have been sent.
    ConnectionLost,
    /// The primary was replaced while the request ran.
    Replaced,
    /// The instance is stopping.
    Stopping,
    /// The retry budget is spent.
    RetryBudget,
    /// The catalogue has no entry for the request.
    Catalogue,
    /// A ring buffer between two parts of the daemon is full.
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

/// Final outcome of a request; each request has exactly one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran and its effects are durable.
    Done,
    /// The request provably did not run; the caller may send it again.
    NotRun(Cause),
    /// The request may or may not have run.
    Unknown(Cause),
}

impl Outcome {
    /// SQLSTATE reported to the caller, or `None` if the request is done.
    ///
    /// Neither the SQL standard nor PostgreSQL uses the class `DL`.
    pub fn sqlstate(self) -> Option<&'static str> {
        match self {
            Self::Done => None,
            Self::NotRun(_) => Some("DL001"),
            Self::Unknown(_) => Some("DL002"),
        }
    }
}
