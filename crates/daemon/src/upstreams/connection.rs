//! One connection to an upstream, with what the proxy has made of it.

use std::{collections::HashSet, net::SocketAddr, rc::Rc};

use clock::Instant;
use model::Report;
use pool::{Handle, Ticket};
use upstream::Conn;

use super::connections::Connections;
use crate::job::{Leaves, Settings};

/// How many statements are kept prepared on one connection.
pub(super) const MAX_PREPARED: usize = 256;

/// What becomes of a connection when its request is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    /// It goes back to the others.
    Reuse,
    /// It is closed: it holds state that can't be reset, or a cancel request
    /// is under way to it, which would hit the next request's statement.
    Close,
}

/// A connection while a request has it.
pub(super) struct Connection {
    /// The connection itself.
    pub(super) conn: Conn,
    /// Where it leads.
    pub(super) address: SocketAddr,
    /// The hashes of the statements that are prepared on it.
    pub(super) prepared: HashSet<u128>,
    /// After an error the upstream skips messages up to the next Sync.
    pub(super) skipping: bool,
    /// The session settings that are in force on it.
    pub(super) applied: Settings,
    /// What requests have left on it since its settings were made out.
    pub(super) leaves: Leaves,
    /// Whether another request may have it.
    pub(super) fate: Fate,
    /// The last status that came on it, and when it was asked for.
    pub(super) seen: Option<(Instant, Report)>,
    /// The upstream's connections that it goes back to.
    pub(super) home: Rc<Connections>,
    /// The request that has it.
    pub(super) ticket: Ticket,
    /// The statement that it is handed out for.
    pub(super) handle: Handle,
}
