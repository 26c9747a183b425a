//! Names the voters in the records, and keeps them up to date when upstreams leave. A voter
//! without an entry that answers has not left.

use std::{rc::Rc, time::Duration};

use clock::Boot;
use futures_util::{StreamExt, stream};
use tokio::time::sleep;

use super::recovery::{RECORDS_PER_SWAP, write_records};
use crate::{edge::Edge, node::Node, probe, relay};

/// Interval at which the records' voters are compared with the lists. The successors of upstreams
/// that leave have registered by then.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of groups whose absent voters are asked at once.
const MAX_CONCURRENT_GROUPS: usize = 16;

/// Asks the voters without an entry. Rewrites records that name no voters yet or one that has left,
/// at the first of the readers.
pub(super) async fn revise<E: Edge>(node: Rc<Node<E>>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        // A suspension during the questions must not count as a voter's silence.
        let now = Boot.now();
        ask_absent(&node).await;
        if !matches!(relay::readers(&node).first(), Some(None)) {
            continue;
        }
        let groups = node.groups();
        let revised = groups.iter().filter_map(|group| {
            let known = group
                .revised_record(now)
                .filter(|_| !group.replacing.get())?;
            if group.names_voters() {
                log::info!(service = &*group.service, voters:? = known.record.voters; "voters revised");
            }
            Some((Rc::clone(group), known))
        });
        let revised: Vec<_> = revised.collect();
        for records in revised.chunks(RECORDS_PER_SWAP) {
            write_records(&node, records).await;
        }
    }
}

/// Asks the voters without an entry of the active groups, if this instance may have to decide on
/// them: in a large fleet an upstream would otherwise be asked by hundreds of instances.
async fn ask_absent<E: Edge>(node: &Node<E>) {
    let mut groups = node.active();
    let now = Boot.now();
    let is_reader = relay::is_reader(node);
    groups.retain(|group| {
        if !is_reader && !node.is_judge(group) {
            return false;
        }
        group.add_unseen(now);
        group.has_absent()
    });
    stream::iter(groups)
        .for_each_concurrent(MAX_CONCURRENT_GROUPS, async |group| {
            probe::status_of_absent(node, &group, group.absent()).await;
        })
        .await;
}
