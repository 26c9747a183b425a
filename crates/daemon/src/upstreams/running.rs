//! The state of a running request that cancel requests and flow control act on.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use model::name;
use tokio::sync::Notify;
use upstream::Key;

use super::connection::{Connection, Disposition};
use crate::forward::Seq;

/// A running request.
#[derive(Debug)]
pub(super) struct Running {
    /// The request's sequence number.
    pub(super) seq: u64,
    /// The upstream connection in use, as the target of a cancel request.
    pub(super) connection: RefCell<Option<(SocketAddr, Key)>>,
    /// The pending command at another instance.
    pub(super) remote: RefCell<Option<(name::Instance, Seq)>>,
    /// True if the request was sent to an upstream or to a holder.
    pub(super) sent: Cell<bool>,
    /// True if the requester has disconnected.
    pub(super) abandoned: Cell<bool>,
    /// True if a cancel request was sent to the connection's server.
    pub(super) cancel_sent: Cell<bool>,
    /// Number of answer parts that were sent but not yet consumed.
    pub(super) outstanding: Cell<usize>,
    /// Notified when a part was consumed or the requester has disconnected.
    pub(super) progress: Notify,
}

impl Running {
    /// Creates the state of a request that starts to run.
    pub(super) fn open(seq: u64) -> Self {
        Self {
            seq,
            connection: RefCell::default(),
            remote: RefCell::default(),
            sent: Cell::new(false),
            abandoned: Cell::new(false),
            cancel_sent: Cell::new(false),
            outstanding: Cell::new(0),
            progress: Notify::new(),
        }
    }

    /// Notes that the requester has disconnected.
    pub(super) fn abandon(&self) {
        self.abandoned.set(true);
        self.progress.notify_waiters();
        self.progress.notify_one();
    }

    /// Sends a cancel request for the statement on the connection in use.
    pub(super) fn send_cancel(&self) {
        if let Some((address, key)) = self.connection.borrow().clone() {
            self.cancel_sent.set(true);
            ntex::rt::spawn(async move { upstream::cancel(address, &key).await });
        }
    }

    /// Marks the connection to be closed if a cancel request is in flight. A
    /// cancel request names a connection and not a statement, so it could hit
    /// the next request.
    pub(super) fn close_if_cancelled(&self, connection: &mut Connection) {
        if self.cancel_sent.get() {
            connection.disposition = Disposition::Close;
        }
    }

    /// Notes that an answer part was consumed.
    pub(super) fn note_taken(&self) {
        self.outstanding
            .set(self.outstanding.get().saturating_sub(1));
        self.progress.notify_one();
    }

    /// Waits until the requester has disconnected.
    pub(super) async fn wait_abandoned(&self) {
        while !self.abandoned.get() {
            ntex::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }
}
