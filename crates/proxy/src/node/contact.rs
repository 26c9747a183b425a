//! Contact with the platform's store.

use std::time::Duration;

use clock::{Boot, Instant};

use super::Node;
use crate::{
    edge::{Edge, Store},
    peers::heartbeat::StoreContact,
};

/// Silence of the store after which it counts as having been unavailable.
const STORE_GAP: Duration = Duration::from_millis(1_200);

/// Time for which an instance counts as reaching the store after an answer; a relay asks at least
/// every half second.
const STORE_REACHABLE_TTL: Duration = Duration::from_millis(1_500);

/// Time for which an instance without an answer of the store is passed over as a relay.
const STORE_UNREACHABLE_TTL: Duration = Duration::from_secs(10);

impl<E: Edge> Node<E> {
    /// Records the answer to a request that this instance, or another one for it, sent to the store
    /// at `sent`.
    pub fn heard_from_store(&self, sent: Instant) {
        self.store_contact_at
            .set(self.store_contact_at.get().max(sent));
    }

    /// Records that the store answered this instance.
    pub fn store_answered(&self) {
        self.store_answered_at.set(Boot.now());
        self.store_heard();
    }

    /// Records that the store did not answer this instance, or refused it.
    pub fn store_failed(&self) {
        self.store_failed_at.set(Boot.now());
    }

    /// Returns the time of the last request of this instance that the store did not answer.
    pub(crate) fn failed_at(&self) -> Instant {
        self.store_failed_at.get()
    }

    /// Returns whether this instance reaches the store itself.
    ///
    /// Parts of an answer count: while a large one fills the link, other calls wait behind it and
    /// are given up.
    pub fn store_contact(&self) -> StoreContact {
        let now = Boot.now();
        let answered = self.store_answered_at.get();
        let answered = answered.max(self.edge.store().received_at());
        let failed = self.store_failed_at.get();
        if answered != Instant::ZERO && answered + STORE_REACHABLE_TTL > now {
            return StoreContact::Reachable;
        }
        match failed > answered && failed + STORE_UNREACHABLE_TTL > now {
            true => StoreContact::Unreachable,
            false => StoreContact::Unknown,
        }
    }

    /// Records that the store answered this instance, or a relay for it.
    pub fn store_heard(&self) {
        let now = Boot.now();
        if self.store_heard_at.get() + STORE_GAP < now {
            self.store_returned.notify_waiters();
            self.store_up_since.set(now);
        }
        self.store_heard_at.set(now);
    }
}
