//! The takeover lock: its holder is the only instance that may give orders to upstreams.

use std::{cell::Cell, time::Duration};

use clock::{Boot, Instant};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::Failed;
use crate::{
    control::{encode, takeover_lock_key},
    edge::{Edge, Fault, Store, Swap, Swapped, fencing_token},
    node::Node,
};

/// Time after which a lock that isn't renewed expires.
pub(super) const LOCK_TTL: Duration = Duration::from_millis(2_000);

/// Time after the store enters a new era for which a lock unknown to the restored store may
/// still be in use. A lock from an earlier era can't be renewed.
pub(crate) const RESTORE_GRACE: Duration = Duration::from_millis(2_100);

/// The last part of the lock's lifetime, in which no order is given any more.
pub(super) const ORDER_MARGIN: Duration = Duration::from_millis(600);

/// Time for which a former holder leaves the lock to others after another instance has taken
/// it. Two instances that alternate may each act on what the other has just changed: with the
/// holders of twenty groups trying first in turn, three instances promoted upstreams of one
/// group within 2.6 s, and the first of them promoted again after the second.
pub(super) const RETAKE_DELAY: Duration = Duration::from_millis(3_500);

/// Number of former holders that are remembered: as many as can take the lock within
/// [`RETAKE_DELAY`].
const MAX_PREVIOUS_HOLDERS: usize = 4;

/// Timeout of a call to the store.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// The lock as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Duty {
    holder: String,
    life: u64,
    held: bool,
    /// Earlier holders, the latest first.
    #[serde(default)]
    before: Vec<String>,
    /// The era of the store in which the lock was written.
    #[serde(default)]
    written: u64,
}

impl Duty {
    /// The earlier holders once `name` has taken the lock.
    fn previous_holders(&self, name: &str) -> Vec<String> {
        if self.holder == name {
            return self.before.clone();
        }
        let all = [&self.holder].into_iter().chain(&self.before);
        all.take(MAX_PREVIOUS_HOLDERS).cloned().collect()
    }
}

/// The lock while this instance holds it.
#[derive(Debug)]
pub(super) struct Lock {
    pub(super) token: u64,
    pub(super) revision: Cell<u64>,
    pub(super) until: Cell<Instant>,
    pub(super) active: Cell<usize>,
}

impl Lock {
    /// Returns true if an order may still be given: it arrives, or its connection is reset,
    /// well before the lock expires.
    pub(super) fn holds(&self) -> bool {
        Boot.now() + ORDER_MARGIN < self.until.get()
    }
}

/// Takes the lock.
pub(super) async fn claim<E: Edge>(node: &Node<E>) -> Result<Lock, Failed> {
    let store = node.store();
    let key = takeover_lock_key::<E>();
    let items = timeout(STORE_TIMEOUT, store.read(&key, STORE_TIMEOUT)).await;
    let items = items.map_err(|_| Fault::Unknown)??;
    let item = items.items.iter().find(|item| item.key == key);
    let revision = item.map_or(0, |item| item.revision);
    let duty = item.and_then(|item| serde_json::from_slice::<Duty>(&item.value).ok());
    let now = Boot.now();
    if node.takeover_lock.get().0 != revision {
        node.takeover_lock.set((revision, now));
    }
    let (_, seen_at) = node.takeover_lock.get();
    let era = store.era();
    // A restored store may lack the current holder, which continues to give orders until its
    // lock expires. An instance that took the lock at once would send its first order after or
    // between those.
    let is_lost = duty.as_ref().is_none_or(|duty| duty.written < era);
    if era > 0 && is_lost && node.era_since() + RESTORE_GRACE > now {
        return Err(Failed::Held);
    }
    let name = &node.settings.name;
    if let Some(duty) = &duty {
        let is_own = duty.life == node.incarnation;
        if duty.held && !is_own && seen_at + LOCK_TTL + LOCK_TTL / 20 > now {
            if let Some(address) = node.peers.address(&duty.holder) {
                node.peers.announce_to(address);
            }
            return Err(Failed::Held);
        }
        // An earlier run of this process may have given the order.
        let acted_at = node.last_order_at.get().unwrap_or(seen_at);
        if duty.holder != *name && duty.before.contains(name) && acted_at + RETAKE_DELAY > now {
            return Err(Failed::Held);
        }
    }
    *node.previous_holders.borrow_mut() =
        duty.map_or_else(Vec::new, |duty| duty.previous_holders(name));
    let (revision, until) = write_lock(node, revision, true).await?;
    Ok(Lock {
        token: fencing_token(revision),
        revision: Cell::new(revision),
        until: Cell::new(until),
        active: Cell::new(0),
    })
}

/// Records the current holder of the lock.
pub(super) async fn observe<E: Edge>(node: &Node<E>) {
    let key = takeover_lock_key::<E>();
    let Ok(Ok(read)) = timeout(STORE_TIMEOUT, node.store().read(&key, STORE_TIMEOUT)).await else {
        return;
    };
    let item = read.items.iter().find(|item| item.key == key);
    if let Some(item) = item.filter(|item| node.takeover_lock.get().0 < item.revision) {
        node.takeover_lock.set((item.revision, Boot.now()));
    }
}

/// Renews the lock. The lock is lost if another instance has taken it.
pub(super) async fn renew<E: Edge>(node: &Node<E>, lock: &Lock) {
    match write_lock(node, lock.revision.get(), true).await {
        Ok((revision, until)) => {
            lock.revision.set(revision);
            lock.until.set(until);
        }
        Err(Failed::Overtaken) => lock.until.set(Instant::ZERO),
        Err(_) => {}
    }
}

/// Writes the lock. Returns its revision and the time at which it expires.
pub(super) async fn write_lock<E: Edge>(
    node: &Node<E>,
    revision: u64,
    held: bool,
) -> Result<(u64, Instant), Failed> {
    let duty = Duty {
        holder: node.settings.name.clone(),
        life: node.incarnation,
        held,
        before: node.previous_holders.borrow().clone(),
        written: node.store().era(),
    };
    let swap = Swap {
        expected: vec![(takeover_lock_key::<E>(), revision)],
        puts: vec![(takeover_lock_key::<E>(), encode(&duty), 0)],
        deletes: Vec::new(),
    };
    let sent = Boot.now();
    match timeout(STORE_TIMEOUT, node.store().swap(&swap)).await {
        Ok(Ok(Swapped::Done(revision))) => Ok((revision, sent + LOCK_TTL)),
        Ok(Ok(_)) => Err(Failed::Overtaken),
        Ok(Err(fault)) => Err(fault.into()),
        Err(_) => Err(Fault::Unknown.into()),
    }
}
