//! The state of a session outside of a transaction, with which another instance can serve it.

use std::{collections::HashMap, rc::Rc};

use bytes::Bytes;
use lead::Commits;
use serde::{Deserialize, Serialize};

use crate::{connection::Values, message::Prepared};

/// The state of a session outside of a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionState {
    /// The database that the caller named.
    pub database: Bytes,
    /// The session's account. The instance that forwards the session has checked the caller's key,
    /// and goes on checking it; the frame beside this state carries the account's name
    /// ([`crate::peers`]).
    #[serde(skip)]
    pub account: Option<Rc<str>>,
    /// The session's values.
    pub values: Values,
    /// The session's prepared statements.
    pub prepared: HashMap<Bytes, Prepared>,
    /// The session's commits.
    pub commits: Commits,
}

impl SessionState {
    /// Returns the state of a new session of `account` on `database`.
    pub fn new(database: Bytes, account: Option<Rc<str>>) -> Self {
        Self {
            database,
            account,
            ..Self::default()
        }
    }
}
