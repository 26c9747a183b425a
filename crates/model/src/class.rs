//! Guarantees of an entry's class.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Required freshness of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Freshness {
    /// All commits of any session that were acknowledged before the read began.
    Current,
    /// Everything that the session has written or already read.
    Session,
    /// Like [`Freshness::Session`], and no older than this age.
    Age(Duration),
}

/// Permission to send a request again after its bytes may have been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Repeat {
    /// Running the request twice has the same effect as running it once.
    Idempotent,
    /// The request runs at most once.
    Once,
}

/// Priority under overload, the highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Reservations, payments and urgent retrievals.
    High,
    /// Everything else.
    Normal,
    /// Calendar views and other reads that are shed first.
    Low,
}

/// Class of an entry: the guarantees for its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Class {
    /// Freshness of reads.
    pub freshness: Freshness,
    /// Permission to repeat requests.
    pub repeat: Repeat,
    /// Priority under overload.
    pub priority: Priority,
}
