//! The lease in the store that all proofs rest on.

use super::lease_key;
use crate::{
    edge::{self, Edge, Fault, Item, Items, Store},
    node::Node,
};

/// A proof lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lease {
    /// The lease's id in the store.
    pub(crate) id: u64,
    /// The revision of the key that holds the id.
    pub(crate) revision: u64,
}

/// Spreads the store's eras over all 64 bits; odd, so that distinct eras stay distinct.
const ERA_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

impl Lease {
    /// The number by which instances refer to the lease.
    ///
    /// A store restored from a backup may contain a lease again that a replacement had ended.
    /// The store's era is mixed in because an instance that missed the replacement would
    /// otherwise take the restored lease for the one that it knows, and prove a primary that no
    /// longer leads.
    pub(super) fn tag(self) -> u64 {
        self.id ^ edge::era_of(self.revision).wrapping_mul(ERA_MULTIPLIER)
    }

    /// Renews the lease, provided that the store is in the era in which the lease was read.
    pub(super) async fn renew<E: Edge>(self, node: &Node<E>) -> Result<(), Fault> {
        let era = node.store().keep_alive(self.id).await?;
        match era == edge::era_of(self.revision) {
            true => Ok(()),
            false => Err(Fault::Missing),
        }
    }
}

/// Returns the proof lease among items that were read.
pub fn find_lease<E: Edge>(items: &Items) -> Option<Lease> {
    let key = lease_key::<E>();
    parse(items.items.iter().find(|item| item.key == key)?)
}

/// Parses the item under the lease's key.
pub(super) fn parse(item: &Item) -> Option<Lease> {
    let id = std::str::from_utf8(&item.value).ok()?.parse().ok()?;
    let revision = item.revision;
    Some(Lease { id, revision })
}
