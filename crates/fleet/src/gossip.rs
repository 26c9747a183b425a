//! Queue of rumours about members, which are sent with heartbeats.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem::size_of,
};

use wire::{Mark, Node, State, Update};

use crate::Table;

/// Maximum estimated bytes of rumours in one datagram.
const UPDATES_MAX: usize = 420;
/// Estimated bytes of a mark on the wire.
const MARK_LEN: usize = 19;
/// Estimated bytes of a record on the wire.
const RECORD_LEN: usize = 64;
/// Maximum number of queued rumours; the one sent most often is dropped first.
const QUEUE_MAX: usize = 1_024;

/// Level of detail of a rumour.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Detail {
    /// The full record, for receivers that may not know the member.
    Record,
    /// The member's state only.
    Mark,
}

#[derive(Debug, Clone, Copy)]
struct Rumour {
    sent: u8,
    detail: Detail,
}

/// Rumours about members that are still to be sent.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    rumours: BTreeMap<Node, Rumour>,
    /// The same rumours, the least sent first.
    order: BTreeSet<(u8, Node)>,
}

impl Gossip {
    /// Queues a rumour about `node`. The content is read from the table when
    /// the rumour is sent.
    pub(crate) fn enqueue(&mut self, node: Node, detail: Detail) {
        let before = self.remove(node).map(|rumour| rumour.detail);
        let detail = before.map_or(detail, |before| before.min(detail));
        self.insert(node, Rumour { sent: 0, detail });
        if self.rumours.len() > QUEUE_MAX
            && let Some(&(_, stalest)) = self.order.last()
        {
            self.remove(stalest);
        }
    }

    /// Returns the rumours for one datagram: the state of `first`, then the
    /// least sent rumours. Each rumour is sent a number of times that grows
    /// with the logarithm of the number of members.
    pub(crate) fn next_updates(&mut self, table: &Table, first: Option<Node>) -> Vec<Update> {
        let mut updates = Vec::new();
        let mut room = UPDATES_MAX;
        if let Some(update) = first.and_then(|node| update(table, node, Detail::Mark)) {
            room -= MARK_LEN;
            updates.push(update);
        }
        if self.rumours.is_empty() {
            return updates;
        }
        let limit = transmissions(table.len());
        let mut selected = Vec::new();
        for &(_, node) in &self.order {
            let rumour = self.rumours[&node];
            let len = match rumour.detail {
                Detail::Record => RECORD_LEN,
                Detail::Mark => MARK_LEN,
            };
            if len > room {
                break;
            }
            room -= len;
            updates.extend(update(table, node, rumour.detail));
            selected.push((node, rumour));
        }
        for (node, rumour) in selected {
            self.remove(node);
            let sent = rumour.sent + 1;
            if sent < limit {
                self.insert(node, Rumour { sent, ..rumour });
            }
        }
        updates
    }

    pub(crate) fn state_bytes(&self) -> usize {
        let slot = 2 * size_of::<Node>() + size_of::<Rumour>() + 1;
        self.rumours.len() * slot * 3 / 2
    }

    fn insert(&mut self, node: Node, rumour: Rumour) {
        self.rumours.insert(node, rumour);
        self.order.insert((rumour.sent, node));
    }

    fn remove(&mut self, node: Node) -> Option<Rumour> {
        let rumour = self.rumours.remove(&node)?;
        self.order.remove(&(rumour.sent, node));
        Some(rumour)
    }
}

/// Returns the number of times that each instance sends a rumour.
fn transmissions(members: usize) -> u8 {
    // The bit length of a 64-bit number is at most 64.
    (usize::BITS - members.leading_zeros()) as u8 + 2
}

fn update(table: &Table, node: Node, detail: Detail) -> Option<Update> {
    let record = &table.find(node)?.record;
    match (detail, record.state) {
        (Detail::Record, State::Alive | State::Leaving) => Some(Update::Record(record.clone())),
        _ => Some(Update::Mark(Mark {
            node,
            incarnation: record.incarnation,
            state: record.state,
        })),
    }
}
