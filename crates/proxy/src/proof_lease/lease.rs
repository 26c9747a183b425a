//! The lease that makes an era of proofs.

use super::lease_key;
use crate::{
    edge::{self, Edge, Fault, Item, Items, Store},
    node::Node,
};

/// The lease that makes an era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lease {
    /// What the store calls it.
    pub(crate) id: u64,
    /// The revision of the key that names it.
    pub(crate) revision: u64,
}

/// Spreads the store's eras over all numbers of the proofs' eras; odd, so that none is lost.
const ERA_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

impl Lease {
    /// What an era is called among instances.
    ///
    /// A store that comes back from a copy may have the lease again that a replacement had
    /// ended. Whoever knows nothing of that replacement would take it for the one that it
    /// knows, and prove a primary that leads no more.
    pub(super) fn tag(self) -> u64 {
        self.id ^ edge::era_of(self.revision).wrapping_mul(ERA_MULTIPLIER)
    }

    /// Renews it, if the store is still in the era in which it was read.
    pub(super) async fn renew<E: Edge>(self, node: &Node<E>) -> Result<(), Fault> {
        let era = node.store().keep_alive(self.id).await?;
        match era == edge::era_of(self.revision) {
            true => Ok(()),
            false => Err(Fault::Missing),
        }
    }
}

/// The era's lease among items that were read.
pub fn find_lease<E: Edge>(items: &Items) -> Option<Lease> {
    let key = lease_key::<E>();
    parse(items.items.iter().find(|item| item.key == key)?)
}

/// The lease that the era's key names.
pub(super) fn parse(item: &Item) -> Option<Lease> {
    let id = std::str::from_utf8(&item.value).ok()?.parse().ok()?;
    let revision = item.revision;
    Some(Lease { id, revision })
}
