//! What makes a session outside of a transaction, so that another instance can go on
//! with it.

use std::collections::HashMap;

use bytes::Bytes;
use model::Position;
use serde::{Deserialize, Serialize};

use crate::{line::Values, message::Shape};

/// What makes a session outside of a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The database that the caller named.
    pub database: Bytes,
    /// The session's values.
    pub values: Values,
    /// Its prepared statements.
    pub prepared: HashMap<Bytes, Shape>,
    /// The position of its last commit, and the service whose log that is in.
    pub own: Option<(String, Position)>,
}

impl Kept {
    /// A session on `database` that has nothing yet.
    pub fn new(database: Bytes) -> Self {
        Self {
            database,
            ..Self::default()
        }
    }
}
