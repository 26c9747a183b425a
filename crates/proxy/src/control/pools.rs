//! Maintenance of the connection pools.

use std::{rc::Rc, time::Duration};

use clock::{Boot, Instant};
use tokio::time::sleep;

use crate::{edge::Edge, node::Node};

/// Interval between checks of the connection pools.
const POOL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Idle time after which a connection beyond the even share is closed.
const IDLE_LIMIT: Duration = Duration::from_millis(400);

/// Closes connections that other instances may need.
pub(super) async fn maintain<E: Edge>(node: Rc<Node<E>>) {
    let mut unable = None;
    loop {
        sleep(POOL_CHECK_INTERVAL).await;
        let now: Instant = Boot.now();
        node.peers.unstalled_now();
        let since = node.unable_since();
        if since.is_some() != unable.is_some() {
            log::info!(able = since.is_none(); "ability to serve callers changed");
            node.stage_changed.notify_waiters();
        }
        unable = since;
        node.update_features();
        let catalog = node.catalog();
        for group in node.active() {
            group.expire(now);
            let entry = catalog.services.get(&group.service);
            let connections = entry.map_or(1, |entry| entry.connections);
            let holders = node.holder_count(&group.service);
            // One share more than there are holders leaves connections free for probes, orders and
            // an instance that has just become a holder.
            let share = match group.is_proof_wanted(now) {
                true => (connections / (holders + 1)).max(1),
                false => 0,
            };
            for member in group.members() {
                member.holders.set(holders);
                member.features.set(node.features.get());
                member.pool.share.set(share);
                if member.pool.is_locked_out(now) {
                    node.peers.announce();
                }
                member.pool.close_excess(now, share, IDLE_LIMIT);
            }
        }
        node.sweep(now);
    }
}
