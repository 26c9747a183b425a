//! Limits how many catalogues an instance sends to its peers at once.

use std::{future::Future, pin::pin, sync::Arc, time::Duration};

use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::sleep,
};

/// Bytes of catalogues that may be in transit at once. A link of 2 Mbit/s carries them in 0.13 s,
/// so heartbeats behind them arrive before the instance is considered lost.
const MAX_BYTES: u32 = 32 << 10;

/// Time after which a transfer no longer delays the next one, so that a stalled recipient
/// doesn't block the others.
const SLOT_LIMIT: Duration = Duration::from_secs(1);

/// Bytes of catalogues in transit; waiting transfers start in the order of their requests.
#[derive(Debug, Clone)]
pub(crate) struct CatalogSends(Arc<Semaphore>);

/// Part of the limit that a transfer occupies until dropped.
#[derive(Debug)]
pub(crate) struct Slot(#[expect(dead_code)] Option<OwnedSemaphorePermit>);

impl Default for CatalogSends {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_BYTES as usize)))
    }
}

impl CatalogSends {
    /// Waits until `size` bytes may be sent. A catalogue above the limit is sent alone.
    pub(crate) fn acquire(&self, size: usize) -> impl Future<Output = Slot> + use<> {
        let size = u32::try_from(size).map_or(MAX_BYTES, |size| size.min(MAX_BYTES));
        let permits = Arc::clone(&self.0).acquire_many_owned(size);
        async move { Slot(permits.await.ok()) }
    }
}

impl Slot {
    /// Runs a transfer, and releases the slot when it ends or has lasted for [`SLOT_LIMIT`].
    pub(crate) async fn hold<T>(self, transfer: impl Future<Output = T>) -> T {
        let mut transfer = pin!(transfer);
        tokio::select! {
            done = &mut transfer => return done,
            () = sleep(SLOT_LIMIT) => drop(self),
        }
        transfer.await
    }
}
