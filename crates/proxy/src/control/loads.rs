//! Measures this instance's load at the upstreams, and keeps the windows in line with the loads of
//! all holders.

use std::{mem, rc::Rc, time::Duration};

use clock::Boot;
use tokio::time::sleep;

use crate::{edge::Edge, group::Group, load, node::Node, peers::GroupLoads};

/// Interval between measurements: a small part of the shortest latency objective in use (100 ms).
const INTERVAL: Duration = Duration::from_millis(25);

/// Number of measurements between two looks at who holds connections.
const MEASUREMENTS: u64 = 4;

/// A group in use, whose connections this instance holds.
#[derive(Debug)]
struct Held {
    group: Rc<Group>,
    /// Names of the holders, in order.
    holders: Rc<[String]>,
    /// Number of holders before this instance.
    rank: usize,
}

/// Measures loads and updates windows until the process ends.
pub(super) async fn run<E: Edge>(node: Rc<Node<E>>) {
    let mut held: Vec<Held> = Vec::new();
    for round in 0_u64.. {
        sleep(INTERVAL).await;
        if round.is_multiple_of(MEASUREMENTS) {
            let new = match node.features.get().load_reports {
                true => held_groups(&node),
                false => Vec::new(),
            };
            let old = mem::replace(&mut held, new);
            let is_held = |old: &Held| held.iter().any(|held| Rc::ptr_eq(&held.group, &old.group));
            let dropped = old.iter().filter(|old| !is_held(old));
            let members = dropped.flat_map(|old| old.group.members());
            members.for_each(|member| member.load.reset());
        }
        let loads = held.iter().map(|held| update(&node, held));
        node.peers.set_loads(loads.collect());
    }
}

fn held_groups<E: Edge>(node: &Node<E>) -> Vec<Held> {
    let now = Boot.now();
    let used = node.active().into_iter();
    let used = used.filter(|group| group.is_proof_wanted(now));
    let held = used.filter_map(|group| {
        let holders = node.holder_names(&group.service);
        let rank = holders
            .iter()
            .position(|name| *name == node.settings.name)?;
        Some(Held {
            group,
            holders: holders.into(),
            rank,
        })
    });
    held.collect()
}

/// Updates the windows of a group, and returns the loads to be reported.
fn update<E: Edge>(node: &Node<E>, held: &Held) -> GroupLoads {
    let now = Boot.now();
    let members = held.group.members();
    let (before, after) = held.holders.split_at(held.rank);
    let others = before.iter().chain(after.iter().skip(1));
    let others: Vec<_> = others.map(String::as_str).collect();
    let mut is_news = false;
    for member in &members {
        is_news |= member.load.record(now, member.pool.sample());
        let reports = node.peers.load_reports(&others, member.load.key());
        load::update_window(member, held.rank, &reports, node.peers.unstalled_now());
    }
    if is_news {
        node.peers.announce_load(&others);
    }
    let loads = members.iter().filter_map(|member| member.load.report());
    GroupLoads {
        holders: Rc::clone(&held.holders),
        loads: loads.collect(),
    }
}
