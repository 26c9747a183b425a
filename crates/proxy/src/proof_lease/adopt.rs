//! Records that are known to be as new as the era without being read again.
//!
//! The era's key stands among the records, and whoever learns it has learnt, from the same
//! reading or the same watch, each record as it stood then or later. So a mirror that has
//! the key of an era has all records as they were read in that era: a change of one
//! primary costs an instance what it is told of that one, not a reading of all.

use std::time::Duration;

use clock::Boot;
use tokio::time::{sleep, timeout};

use super::{Lease, lease, lease_key};
use crate::{control::record_key, edge::Edge, group::Group, node::Node};

/// How long the key of an era that somebody proved may take to come by the watch, or from
/// the relay that is followed, before the records are read instead.
const MIRROR_TIMEOUT: Duration = Duration::from_millis(60);

/// The pause between two looks at the mirror while its news are gathered.
const MIRROR_POLL: Duration = Duration::from_millis(10);

/// The era's lease as the mirror has it.
fn mirrored_lease<E: Edge>(node: &Node<E>) -> Option<Lease> {
    let item = node.mirror.borrow().item(&lease_key::<E>())?;
    lease::parse(&item)
}

/// Whether a group's record was read in the era that is known; noted if it is news.
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

/// Goes on in the era that the mirror names, if it is another one than that of `lease`.
pub(super) fn switch_to_newer<E: Edge>(node: &Node<E>, lease: Lease) -> bool {
    let Some(newer) = mirrored_lease(node).filter(|newer| newer.revision > lease.revision) else {
        return false;
    };
    node.proof_lease.set(newer.tag());
    node.lease.set(newer);
    true
}

/// Goes on in `era`, which somebody has just proved, if the mirror comes to name it.
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

/// Proves a group that rested by the last proof of the era.
pub(crate) fn adopt_proof<E: Edge>(node: &Node<E>, group: &Group) {
    let (tag, since) = node.proved_lease.get();
    let is_proved = tag != 0 && tag == node.proof_lease.get();
    if !is_proved || since + node.settings.proof < Boot.now() {
        return;
    }
    if group.proof_lease.get() != tag && !is_record_current(node, group) {
        return;
    }
    if let Some(revision) = group.revision() {
        group.prove(revision, since, node.settings.proof);
    }
}
