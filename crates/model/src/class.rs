//! What an entry's class promises.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How fresh a read must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Freshness {
    /// Everything acknowledged before the read began, by any session.
    Current,
    /// Everything that this session wrote or has already read.
    Session,
    /// As [`Freshness::Session`], and no older than this age.
    Age(Duration),
}

/// Whether a request may be sent again after its bytes may have left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Repeat {
    /// Running it twice has the effect of running it once.
    Idempotent,
    /// It runs at most once.
    Once,
}

/// Who goes first when there is not room for all; the first goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Reservations, payments and urgent retrievals.
    High,
    /// Everything else.
    Normal,
    /// Calendar views and other reads that give way first.
    Low,
}

/// What an entry's class promises about its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Class {
    /// How fresh its reads are.
    pub freshness: Freshness,
    /// Whether its requests may be repeated.
    pub repeat: Repeat,
    /// Who goes first under load.
    pub priority: Priority,
}
