//! What makes a session outside of a transaction, so that another instance can go on
//! with it.

use std::{collections::HashMap, rc::Rc};

use bytes::Bytes;
use model::Position;
use serde::{Deserialize, Serialize};

use crate::{connection::Values, message::Prepared};

/// What makes a session outside of a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionState {
    /// The database that the caller named.
    pub database: Bytes,
    /// The account whose session it is. Whoever hands it over has checked its caller's key,
    /// and goes on checking it; the frame beside it carries the name
    /// ([`crate::peers`]).
    #[serde(skip)]
    pub account: Option<Rc<str>>,
    /// The session's values.
    pub values: Values,
    /// Its prepared statements.
    pub prepared: HashMap<Bytes, Prepared>,
    /// The position of its last commit, and the service whose log that is in.
    pub last_commit: Option<(String, Position)>,
}

impl SessionState {
    /// A session of `account` on `database` that has nothing yet.
    pub fn new(database: Bytes, account: Option<Rc<str>>) -> Self {
        Self {
            database,
            account,
            ..Self::default()
        }
    }
}
