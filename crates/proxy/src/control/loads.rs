//! Measures this instance's load at the upstreams, and keeps the windows in line with the loads of
//! all holders.

use std::{rc::Rc, time::Duration};

use clock::Boot;
use tokio::time::sleep;

use crate::{edge::Edge, group::Group, load, node::Node, peers::GroupLoads};

/// Interval between measurements: a small part of the shortest latency objective in use (100 ms).
const INTERVAL: Duration = Duration::from_millis(25);

/// Measures loads and updates windows until the process ends.
pub(super) async fn run<E: Edge>(node: Rc<Node<E>>) {
    loop {
        sleep(INTERVAL).await;
        if !node.features.get().load_reports {
            continue;
        }
        let groups = node.active().into_iter();
        let loads = groups.filter_map(|group| update(&node, &group));
        node.peers.set_loads(loads.collect());
    }
}

/// Updates the windows of a group, and returns the loads to be reported. `None` if this instance
/// doesn't hold connections to the group, or they are not used.
fn update<E: Edge>(node: &Node<E>, group: &Group) -> Option<GroupLoads> {
    let now = Boot.now();
    let members = group.members();
    let holders = match group.is_proof_wanted(now) {
        true => node.holder_names(&group.service),
        false => Vec::new(),
    };
    let own = &node.settings.name;
    let Some(rank) = holders.iter().position(|name| name == own) else {
        members.iter().for_each(|member| member.load.reset());
        return None;
    };
    let others = holders.iter().filter(|name| *name != own);
    let others: Vec<_> = others.map(String::as_str).collect();
    let mut is_news = false;
    for member in &members {
        is_news |= member.load.record(now, member.pool.sample());
        let reports = node.peers.load_reports(&others, member.load.key());
        load::update_window(member, rank, &reports, node.peers.unstalled_now());
    }
    if is_news {
        node.peers.announce_load(&others);
    }
    let loads = members.iter().filter_map(|member| member.load.report());
    let loads = loads.collect();
    Some(GroupLoads { holders, loads })
}
