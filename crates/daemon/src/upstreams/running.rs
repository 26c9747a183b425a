//! A request that runs, as cancels and the window of its answer see it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use model::name;
use tokio::sync::Notify;
use upstream::Key;

use super::connection::{Connection, Fate};
use crate::forward::Seq;

/// A request that runs.
#[derive(Debug)]
pub(super) struct Running {
    /// Its number.
    pub(super) seq: u64,
    /// The connection of this instance that it has.
    pub(super) connection: RefCell<Option<(SocketAddr, Key)>>,
    /// The command to another instance that it waits for.
    pub(super) remote: RefCell<Option<(name::Instance, Seq)>>,
    /// Whether it was sent to an upstream, or to a holder of connections.
    pub(super) sent: Cell<bool>,
    /// Whether whoever asked is gone.
    pub(super) abandoned: Cell<bool>,
    /// Whether a cancel request has been sent to its connection's server.
    pub(super) cancel_sent: Cell<bool>,
    /// Parts of the answer that were sent and not yet taken.
    pub(super) outstanding: Cell<usize>,
    /// Told when a part was taken, or whoever asked is gone.
    pub(super) progress: Notify,
}

impl Running {
    /// A request that begins to run.
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

    /// Notes that whoever asked is gone.
    pub(super) fn abandon(&self) {
        self.abandoned.set(true);
        self.progress.notify_waiters();
        self.progress.notify_one();
    }

    /// Cancels the statement on its connection of this instance.
    pub(super) fn send_cancel(&self) {
        if let Some((address, key)) = self.connection.borrow().clone() {
            self.cancel_sent.set(true);
            ntex::rt::spawn(async move { upstream::cancel(address, &key).await });
        }
    }

    /// Keeps a connection from the next request while a cancel is on its way
    /// to it: the cancel names the connection, not the statement.
    pub(super) fn close_if_cancelled(&self, connection: &mut Connection) {
        if self.cancel_sent.get() {
            connection.fate = Fate::Close;
        }
    }

    /// Notes that a part of the answer was taken.
    pub(super) fn note_taken(&self) {
        self.outstanding
            .set(self.outstanding.get().saturating_sub(1));
        self.progress.notify_one();
    }

    /// Waits until whoever asked is gone.
    pub(super) async fn wait_abandoned(&self) {
        while !self.abandoned.get() {
            ntex::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }
}
