//! What instances tell each other of the times since which upstreams leave.
//!
//! An instance that starts or reaches the store again while an upstream leaves can't tell from the
//! list when the upstream announced, and may have to count the drain as over. It asks instances that
//! had the list then. A relay tells its followers without being asked.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use clock::{Boot, Instant};
use futures_util::future::join_all;
use lead::drain;
use rand::seq::IndexedRandom;
use tokio::{sync::Notify, time::sleep};

use crate::{
    control,
    edge::{Change, Edge},
    node::Node,
    peers::{
        frame::{ChangeBatch, Leave, Request, Response, call},
        heartbeat::LEAVE_FORMAT,
    },
};

/// Number of instances asked at once.
const FANOUT: usize = 3;

/// First and longest pause between two rounds of questions.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1_600));

/// Leaving upstreams that get no work by what this instance knows of their announcements.
#[derive(Debug, Default)]
pub(crate) struct Undated {
    /// Ids, and when each was learnt to leave.
    upstreams: RefCell<Vec<(Rc<str>, Instant)>>,
    added: Notify,
}

impl Undated {
    /// Adds the upstream `id`, which was learnt to leave at `now`.
    pub(crate) fn push(&self, id: &Rc<str>, now: Instant) {
        let mut upstreams = self.upstreams.borrow_mut();
        if upstreams.iter().all(|(other, _)| other != id) {
            upstreams.push((Rc::clone(id), now));
            self.added.notify_one();
        }
    }
}

/// Asks for missing times of announcements until the process ends.
pub(crate) async fn run<E: Edge>(node: Rc<Node<E>>) {
    loop {
        node.undated_leaves.added.notified().await;
        let mut pause = PAUSES.0;
        loop {
            let ids = undated(&node);
            if ids.is_empty() {
                break;
            }
            ask(&node, ids).await;
            sleep(pause).await;
            pause = (pause * 2).min(PAUSES.1);
        }
    }
}

/// The ids of the upstreams whose announcement is still to be dated. After the drain, a date is of
/// no use.
fn undated<E: Edge>(node: &Node<E>) -> Vec<String> {
    let now = Boot.now();
    let is_undated = |id: &str| {
        let member = node.member(id);
        member.is_some_and(|member| node.is_drain_over(&member, now))
    };
    let mut upstreams = node.undated_leaves.upstreams.borrow_mut();
    upstreams.retain(|(id, learnt)| *learnt + node.settings.drain > now && is_undated(id));
    upstreams.iter().map(|(id, _)| id.to_string()).collect()
}

/// Asks some of the other instances.
async fn ask<E: Edge>(node: &Node<E>, ids: Vec<String>) {
    // In a rolling restart, all others may be stopping.
    let mut peers = node.peers.heard_with_format(LEAVE_FORMAT);
    peers.extend(node.peers.stopping());
    let chosen: Vec<_> = peers.choose_multiple(&mut rand::rng(), FANOUT).collect();
    let request = Request::Leaves(ids);
    let questions = chosen.iter().map(|peer| ask_peer(node, **peer, &request));
    join_all(questions).await;
}

async fn ask_peer<E: Edge>(node: &Node<E>, peer: SocketAddr, request: &Request) {
    let asked = Boot.now();
    let Ok(Response::Leaves(leaves)) = call(peer, request).await else {
        return;
    };
    date(node, leaves, asked, Duration::ZERO);
}

/// Applies the ages of leaves in the answer to a request that was sent at `asked` and had `waited`
/// at the other instance.
pub(crate) fn date<E: Edge>(node: &Node<E>, leaves: Vec<Leave>, asked: Instant, waited: Duration) {
    for Leave { upstream, age } in leaves {
        node.date_leave(&upstream, drain::not_before(asked, waited, age));
    }
}

/// Returns those of the upstreams `ids` of which this instance knows since when they leave.
pub(crate) fn known<'a, E: Edge>(node: &Node<E>, ids: impl Iterator<Item = &'a str>) -> Vec<Leave> {
    let now = Boot.now();
    let leave = |id: &str| {
        Some(Leave {
            upstream: id.to_owned(),
            age: node.leaving_for(id, now)?,
        })
    };
    ids.filter_map(leave).collect()
}

/// Returns the leaves among the changes of `batch`, and the time since the request for it `arrived`.
pub(crate) fn in_batch<E: Edge>(
    node: &Node<E>,
    batch: &ChangeBatch,
    arrived: Instant,
) -> (Vec<Leave>, Duration) {
    let waited = Boot.now().since(arrived);
    let items = batch.changes.iter().filter_map(Change::item);
    let listed = items.filter(|item| item.key.starts_with(E::UPSTREAMS_PREFIX));
    let ids = listed.map(|item| control::upstream_id::<E>(&item.key));
    (known(node, ids), waited)
}
