//! A pooled connection to an upstream and the session state that the proxy has
//! set on it.

use std::{collections::HashSet, net::SocketAddr, rc::Rc};

use clock::Instant;
use model::Report;
use pool::{Handle, Ticket};
use upstream::Conn;

use super::connections::Connections;
use crate::job::{Leaves, Settings};

/// Highest number of prepared statements on one connection.
pub(super) const MAX_PREPARED: usize = 256;

/// Handling of a connection whose request has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Disposition {
    /// The connection returns to the pool.
    Reuse,
    /// The connection is closed: it has state that can't be reset, or a cancel
    /// request is in flight that could hit the next request's statement.
    Close,
}

/// A connection that is checked out by a request.
pub(super) struct Connection {
    /// The protocol connection.
    pub(super) conn: Conn,
    /// The address of the upstream.
    pub(super) address: SocketAddr,
    /// Hashes of the prepared statements.
    pub(super) prepared: HashSet<u128>,
    /// True if the upstream skips messages up to the next Sync after an error.
    pub(super) skipping: bool,
    /// The session settings in force on the connection.
    pub(super) applied: Settings,
    /// Session state left by requests since the settings were last applied.
    pub(super) leaves: Leaves,
    /// Handling of the connection after the request.
    pub(super) disposition: Disposition,
    /// The last status report and the time at which its query was sent.
    pub(super) seen: Option<(Instant, Report)>,
    /// The pool that the connection returns to.
    pub(super) owner: Rc<Connections>,
    /// The request that has checked out the connection.
    pub(super) ticket: Ticket,
    /// The pool's handle for the current statement.
    pub(super) handle: Handle,
}
