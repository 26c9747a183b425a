//! Registration of this instance in the store.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::{sleep, timeout};

use super::{READ_TIMEOUT, RETRY_PAUSES, instances_prefix};
use crate::{
    edge::{Edge, Fault, Store, Swap, Swapped},
    node::Node,
};

/// Lifetime of an instance's entry in the store without renewal. Heartbeats tell which instances
/// are alive; the list only introduces new ones to the others.
const REGISTRATION_TTL: Duration = Duration::from_secs(30);

/// Keeps this instance registered in the store.
pub(super) async fn run<E: Edge>(node: Rc<Node<E>>) {
    let mut lease = 0;
    loop {
        if lease == 0 {
            lease = create_registration(&node).await.unwrap_or_default();
        } else {
            let renewed = timeout(READ_TIMEOUT, node.store().keep_alive(lease)).await;
            if renewed == Ok(Err(Fault::Missing)) {
                lease = 0;
                continue;
            }
        }
        let pause = match lease {
            0 => RETRY_PAUSES.1,
            _ => REGISTRATION_TTL / 3,
        };
        sleep(pause).await;
    }
}

async fn create_registration<E: Edge>(node: &Node<E>) -> Option<u64> {
    let store = node.store();
    let lease = timeout(READ_TIMEOUT, store.grant(REGISTRATION_TTL))
        .await
        .ok()?
        .ok()?;
    let key = format!("{}{}", instances_prefix::<E>(), node.settings.name);
    let value = Bytes::from(node.settings.peers.to_string());
    let swap = Swap {
        puts: vec![(key, value, lease)],
        ..Swap::default()
    };
    match timeout(READ_TIMEOUT, store.swap(&swap)).await {
        Ok(Ok(Swapped::Done(_))) => Some(lease),
        _ => None,
    }
}
