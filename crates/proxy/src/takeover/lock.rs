//! The right to give orders: one instance at a time has it.

use std::{cell::Cell, time::Duration};

use clock::{Boot, Instant};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::Failed;
use crate::{
    control::{duty_key, encode},
    edge::{Edge, Fault, Store, Swap, Swapped},
    node::Node,
};

/// How long the right to give orders lasts.
pub(super) const LOCK_TTL: Duration = Duration::from_millis(2_000);

/// How long behind a step of the store's era somebody may go on with a right that the copy
/// does not know of: nobody renews one that was taken before.
pub(crate) const RESTORE_GRACE: Duration = Duration::from_millis(2_100);

/// How long before the right ends no order is given any more.
pub(super) const ORDER_MARGIN: Duration = Duration::from_millis(600);

/// How long an instance that had the right, and whom another one followed, leaves it to
/// others. Two that take turns may each act on what the other has just changed: with the
/// holders of twenty groups first in turn, three promoted one group's upstreams within
/// 2.6 s, the first of them again behind the second.
pub(super) const RETAKE_DELAY: Duration = Duration::from_millis(3_500);

/// How many earlier holders of the right are remembered: so many take it within a turn.
const MAX_PREVIOUS_HOLDERS: usize = 4;

/// How long a call to the store may take.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// The right to give orders, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Duty {
    holder: String,
    life: u64,
    held: bool,
    /// Who had it before, the last one first.
    #[serde(default)]
    before: Vec<String>,
    /// The era of the store in which it was written.
    #[serde(default)]
    written: u64,
}

impl Duty {
    /// Who had the right before `name` takes it.
    fn previous_holders(&self, name: &str) -> Vec<String> {
        if self.holder == name {
            return self.before.clone();
        }
        let all = [&self.holder].into_iter().chain(&self.before);
        all.take(MAX_PREVIOUS_HOLDERS).cloned().collect()
    }
}

/// The right to give orders, while this instance holds it.
#[derive(Debug)]
pub(super) struct Lock {
    pub(super) token: u64,
    pub(super) revision: Cell<u64>,
    pub(super) until: Cell<Instant>,
    pub(super) active: Cell<usize>,
}

impl Lock {
    /// Whether an order may still be given: it arrives, or is reset, well before
    /// the right ends.
    pub(super) fn holds(&self) -> bool {
        Boot.now() + ORDER_MARGIN < self.until.get()
    }
}

/// Takes the right to give orders.
pub(super) async fn claim<E: Edge>(node: &Node<E>) -> Result<Lock, Failed> {
    let store = node.store();
    let key = duty_key::<E>();
    let items = timeout(STORE_TIMEOUT, store.read(&key, STORE_TIMEOUT)).await;
    let items = items.map_err(|_| Fault::Unknown)??;
    let item = items.items.iter().find(|item| item.key == key);
    let revision = item.map_or(0, |item| item.revision);
    let duty = item.and_then(|item| serde_json::from_slice::<Duty>(&item.value).ok());
    let now = Boot.now();
    if node.duty.get().0 != revision {
        node.duty.set((revision, now));
    }
    let (_, seen_at) = node.duty.get();
    let era = store.era();
    // A copy of the store may have lost who has the right, and that one goes on to give orders
    // until it has run out. Whoever took it at once would send its first order behind or
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
        // A life before this one may have given the order.
        let acted_at = node.last_order_at.get().unwrap_or(seen_at);
        if duty.holder != *name && duty.before.contains(name) && acted_at + RETAKE_DELAY > now {
            return Err(Failed::Held);
        }
    }
    *node.previous_holders.borrow_mut() =
        duty.map_or_else(Vec::new, |duty| duty.previous_holders(name));
    let (revision, until) = write_lock(node, revision, true).await?;
    Ok(Lock {
        token: revision,
        revision: Cell::new(revision),
        until: Cell::new(until),
        active: Cell::new(0),
    })
}

/// Looks who has the right.
pub(super) async fn observe<E: Edge>(node: &Node<E>) {
    let key = duty_key::<E>();
    let Ok(Ok(read)) = timeout(STORE_TIMEOUT, node.store().read(&key, STORE_TIMEOUT)).await else {
        return;
    };
    let item = read.items.iter().find(|item| item.key == key);
    if let Some(item) = item.filter(|item| node.duty.get().0 < item.revision) {
        node.duty.set((item.revision, Boot.now()));
    }
}

/// Keeps the right; it is lost if somebody else has it.
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

/// Writes who has the right; its revision, and when it ends.
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
        expected: vec![(duty_key::<E>(), revision)],
        puts: vec![(duty_key::<E>(), encode(&duty), 0)],
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
