//! Finds records that are known to be current under the proof lease without another read.
//!
//! The lease's key is stored beside the records, and a read or a watch that returns the key
//! returns each record as it was at that time or later. A mirror that has the key of a lease
//! therefore has all records as of that lease, and a change of one primary costs an instance
//! the change of that record instead of a read of all records.

use std::time::Duration;

use clock::{Boot, Instant};
use tokio::time::{sleep, timeout};

use super::{Lease, lease, lease_key};
use crate::{
    control::record_key,
    edge::Edge,
    group::{Group, ProofSource},
    node::Node,
};

/// Time that the key of a lease proved by a peer may take to reach the mirror, by the watch or
/// from the relay, before the records are read instead.
const MIRROR_TIMEOUT: Duration = Duration::from_millis(60);

/// Interval at which the mirror is checked for the key.
const MIRROR_POLL: Duration = Duration::from_millis(10);

/// The proof lease as the mirror has it.
fn mirrored_lease<E: Edge>(node: &Node<E>) -> Option<Lease> {
    let item = node.mirror.borrow().item(&lease_key::<E>())?;
    lease::parse(&item)
}

/// Returns true if the group's record is current under the known proof lease, and marks the
/// group accordingly.
pub(super) fn is_record_current<E: Edge>(node: &Node<E>, group: &Group) -> bool {
    if mirrored_lease(node) != Some(node.lease.get()) {
        return false;
    }
    let revision = node
        .mirror
        .borrow()
        .revision(&record_key::<E>(&group.service));
    if revision.is_none() || revision != group.revision() {
        return false;
    }
    group.proof_lease.set(node.proof_lease.get());
    true
}

/// Switches to the lease in the mirror if that lease is newer than `lease`.
pub(super) fn switch_to_newer<E: Edge>(node: &Node<E>, lease: Lease) -> bool {
    let Some(newer) = mirrored_lease(node).filter(|newer| newer.revision > lease.revision) else {
        return false;
    };
    node.proof_lease.set(newer.tag());
    node.lease.set(newer);
    true
}

/// Waits until the mirror has the lease with `tag`, which a peer has just proved, and switches
/// to that lease. Returns false if the lease doesn't arrive in time.
pub(super) async fn wait_for_lease<E: Edge>(node: &Node<E>, tag: u64) -> bool {
    if node.proof_lease.get() == tag {
        return true;
    }
    let arrives = async {
        while mirrored_lease(node).is_none_or(|lease| lease.tag() != tag) {
            sleep(MIRROR_POLL).await;
        }
    };
    if timeout(MIRROR_TIMEOUT, arrives).await.is_err() {
        return false;
    }
    switch_to_newer(node, node.lease.get());
    node.proof_lease.get() == tag
}

/// Returns the time from which the last proof of the lease counts, if it covers the group's
/// record.
fn lease_proved_at<E: Edge>(node: &Node<E>, group: &Group) -> Option<Instant> {
    let (tag, since) = node.proved_lease.get();
    let is_proved = tag != 0 && tag == node.proof_lease.get();
    let is_covered = || group.proof_lease.get() == tag || is_record_current(node, group);
    (is_proved && is_covered()).then_some(since)
}

/// Returns the time at which the store last confirmed the group's record.
///
/// Proofs of a lease under which the record wasn't read don't count: the record may have been
/// changed before that lease was created.
pub(super) fn confirmed_at<E: Edge>(node: &Node<E>, group: &Group) -> Instant {
    let by_lease = lease_proved_at(node, group).unwrap_or_default();
    group.confirmed_at().max(by_lease)
}

/// Proves a group that was idle by the last proof of the lease.
pub(crate) fn adopt_proof<E: Edge>(node: &Node<E>, group: &Group) {
    let is_valid = |since: &Instant| *since + node.settings.proof >= Boot.now();
    let Some(since) = lease_proved_at(node, group).filter(is_valid) else {
        return;
    };
    if let Some(revision) = group.revision() {
        group.extend_proof(revision, ProofSource::Lease, since, node.settings.proof);
    }
}
