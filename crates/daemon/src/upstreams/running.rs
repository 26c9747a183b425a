//! A request that runs, as cancels and the window of its answer see it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use model::name;
use tokio::sync::Notify;
use upstream::Key;

use super::line::{Fate, Line};
use crate::forward::Seq;

/// A request that runs.
#[derive(Debug)]
pub(super) struct Running {
    /// Its number.
    pub(super) seq: u64,
    /// The connection of this instance that it has.
    pub(super) line: RefCell<Option<(SocketAddr, Key)>>,
    /// The command to another instance that it waits for.
    pub(super) remote: RefCell<Option<(name::Instance, Seq)>>,
    /// Whether it was sent to an upstream, or to a holder of connections.
    pub(super) sent: Cell<bool>,
    /// Whether whoever asked is gone.
    pub(super) cancelled: Cell<bool>,
    /// Whether a cancel request has been sent to its connection's server.
    pub(super) hit: Cell<bool>,
    /// Parts of the answer that were sent and not yet taken.
    pub(super) untaken: Cell<usize>,
    /// Told when a part was taken, or whoever asked is gone.
    pub(super) taken: Notify,
}

impl Running {
    /// A request that begins to run.
    pub(super) fn open(seq: u64) -> Self {
        Self {
            seq,
            line: RefCell::default(),
            remote: RefCell::default(),
            sent: Cell::new(false),
            cancelled: Cell::new(false),
            hit: Cell::new(false),
            untaken: Cell::new(0),
            taken: Notify::new(),
        }
    }

    /// Notes that whoever asked is gone.
    pub(super) fn cancel(&self) {
        self.cancelled.set(true);
        self.taken.notify_waiters();
        self.taken.notify_one();
    }

    /// Cancels the statement on its connection of this instance.
    pub(super) fn hit(&self) {
        if let Some((address, key)) = self.line.borrow().clone() {
            self.hit.set(true);
            ntex::rt::spawn(async move { upstream::cancel(address, &key).await });
        }
    }

    /// Keeps a connection from the next request while a cancel is on its way
    /// to it: the cancel names the connection, not the statement.
    pub(super) fn spare(&self, line: &mut Line) {
        if self.hit.get() {
            line.fate = Fate::Close;
        }
    }

    /// Notes that a part of the answer was taken.
    pub(super) fn take_one(&self) {
        self.untaken.set(self.untaken.get().saturating_sub(1));
        self.taken.notify_one();
    }

    /// Waits until whoever asked is gone.
    pub(super) async fn cancelled_now(&self) {
        while !self.cancelled.get() {
            ntex::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }
}
