//! Limits how many catalogues an instance sends to its peers at once.

use std::{cell::Cell, future::Future, pin::pin, rc::Rc, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::sleep,
};

/// Time for which transfers of one kind may occupy the instance's link: heartbeats behind them arrive
/// before the instance is considered lost.
const MAX_LINK_TIME: Duration = Duration::from_millis(130);

/// Limit on the bytes in transit if the bandwidth of the link isn't known or lower: what 2 Mbit/s
/// carry in that time.
const MIN_LIMIT: usize = 32 << 10;

/// Most bytes in transit, whatever the link carries: they are held in memory.
const MAX_LIMIT: usize = 16 << 20;

/// Time after which a transfer no longer delays the next one, so that a stalled recipient
/// doesn't block the others.
pub(crate) const SLOT_LIMIT: Duration = Duration::from_secs(1);

/// Recipient of a catalogue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Recipient {
    /// An instance that passes the catalogue on.
    Relay,
    /// Any other instance.
    #[default]
    Follower,
}

/// What a recipient is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Content {
    /// The differences to the catalogue that the recipient has in force.
    Differences,
    /// A whole catalogue, to a recipient that has another one in force.
    Catalog,
    /// All that the store holds, to a recipient that starts.
    Snapshot,
}

/// Bytes of catalogues in transit. Each kind of content has a limit of its own, so that a change does
/// not wait for instances that start.
#[derive(Debug, Clone)]
pub struct CatalogSends {
    differences: Queue,
    catalogs: Queue,
    snapshots: Queue,
    /// Number of transfers that wait or are in transit.
    pending: Rc<Cell<usize>>,
}

/// Transfers of one kind. Waiting ones start in the order of their requests, but those to relays
/// before all others: each of them has followers that wait for it.
#[derive(Debug, Clone)]
struct Queue {
    limit: usize,
    bytes: Arc<Semaphore>,
    /// Admits one transfer to an instance that is no relay to the queue for `bytes`.
    turn: Arc<Semaphore>,
}

/// Part of the limit that a transfer occupies until dropped.
#[derive(Debug)]
pub struct Slot {
    _bytes: Option<OwnedSemaphorePermit>,
    _pending: Pending,
}

/// Counts a transfer until dropped.
#[derive(Debug)]
struct Pending(Rc<Cell<usize>>);

impl Drop for Pending {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Queue {
    fn new(limit: usize) -> Self {
        Self {
            limit,
            bytes: Arc::new(Semaphore::new(limit)),
            turn: Arc::new(Semaphore::new(1)),
        }
    }
}

impl CatalogSends {
    /// Creates the queues of an instance whose link carries `link` bytes per second, if known.
    pub fn new(link: Option<usize>) -> Self {
        let carried = link.map_or(0, |link| link as u128 * MAX_LINK_TIME.as_millis() / 1_000);
        let limit = usize::try_from(carried).unwrap_or(usize::MAX);
        let queue = || Queue::new(limit.clamp(MIN_LIMIT, MAX_LIMIT));
        Self {
            differences: queue(),
            catalogs: queue(),
            snapshots: queue(),
            pending: Rc::default(),
        }
    }

    /// Waits until `size` bytes of `content` may be sent to `recipient`. What exceeds the limit is
    /// sent alone.
    pub fn acquire(
        &self,
        content: Content,
        size: usize,
        recipient: Recipient,
    ) -> impl Future<Output = Slot> + use<> {
        let queue = match content {
            Content::Differences => self.differences.clone(),
            Content::Catalog => self.catalogs.clone(),
            Content::Snapshot => self.snapshots.clone(),
        };
        let size = size.min(queue.limit) as u32;
        self.pending.set(self.pending.get() + 1);
        let pending = Pending(Rc::clone(&self.pending));
        async move {
            let _turn = match recipient {
                Recipient::Relay => None,
                Recipient::Follower => queue.turn.acquire_owned().await.ok(),
            };
            Slot {
                _bytes: queue.bytes.acquire_many_owned(size).await.ok(),
                _pending: pending,
            }
        }
    }

    /// Returns true if no transfer waits or is in transit.
    pub fn is_idle(&self) -> bool {
        self.pending.get() == 0
    }
}

impl Slot {
    /// Runs a transfer, and releases the slot when it ends or has lasted for [`SLOT_LIMIT`].
    pub async fn hold<T>(self, transfer: impl Future<Output = T>) -> T {
        let mut transfer = pin!(transfer);
        tokio::select! {
            done = &mut transfer => return done,
            () = sleep(SLOT_LIMIT) => drop(self),
        }
        transfer.await
    }
}
