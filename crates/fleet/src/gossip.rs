//! Rumours about members, passed on with heartbeats.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem::size_of,
};

use wire::{Mark, Node, State, Update};

use crate::Table;

/// The bytes of rumours that one datagram carries, reckoned.
const BUDGET: usize = 420;
/// The bytes that a mark takes on the wire, reckoned.
const MARK_LEN: usize = 19;
/// The bytes that a record takes on the wire, reckoned.
const RECORD_LEN: usize = 64;
/// The most rumours that wait; those told most often are dropped first.
const WAITING_MAX: usize = 1_024;

/// How a rumour is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Telling {
    /// The member in full: receivers may not know it.
    Record,
    /// Its state only.
    Mark,
}

#[derive(Debug, Clone, Copy)]
struct Rumour {
    sent: u8,
    telling: Telling,
}

/// Rumours about members that are still to be passed on.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    rumours: BTreeMap<Node, Rumour>,
    /// The same, the least told first.
    order: BTreeSet<(u8, Node)>,
}

impl Gossip {
    /// Passes on what the table says of `node` from now on.
    pub(crate) fn tell(&mut self, node: Node, telling: Telling) {
        let before = self.forget(node).map(|rumour| rumour.telling);
        let telling = before.map_or(telling, |before| before.min(telling));
        self.keep(node, Rumour { sent: 0, telling });
        if self.rumours.len() > WAITING_MAX
            && let Some(&(_, stalest)) = self.order.last()
        {
            self.forget(stalest);
        }
    }

    /// The rumours for one datagram, `first` before all others: the least told
    /// go first, and each is told a number of times that grows with the
    /// logarithm of the fleet.
    pub(crate) fn take(&mut self, table: &Table, first: Option<Node>) -> Vec<Update> {
        let mut updates = Vec::new();
        let mut room = BUDGET;
        if let Some(update) = first.and_then(|node| update(table, node, Telling::Mark)) {
            room -= MARK_LEN;
            updates.push(update);
        }
        if self.rumours.is_empty() {
            return updates;
        }
        let often = times(table.len());
        let mut told = Vec::new();
        for &(_, node) in &self.order {
            let rumour = self.rumours[&node];
            let len = match rumour.telling {
                Telling::Record => RECORD_LEN,
                Telling::Mark => MARK_LEN,
            };
            if len > room {
                break;
            }
            room -= len;
            updates.extend(update(table, node, rumour.telling));
            told.push((node, rumour));
        }
        for (node, rumour) in told {
            self.forget(node);
            let sent = rumour.sent + 1;
            if sent < often {
                self.keep(node, Rumour { sent, ..rumour });
            }
        }
        updates
    }

    pub(crate) fn state_bytes(&self) -> usize {
        let slot = 2 * size_of::<Node>() + size_of::<Rumour>() + 1;
        self.rumours.len() * slot * 3 / 2
    }

    fn keep(&mut self, node: Node, rumour: Rumour) {
        self.rumours.insert(node, rumour);
        self.order.insert((rumour.sent, node));
    }

    fn forget(&mut self, node: Node) -> Option<Rumour> {
        let rumour = self.rumours.remove(&node)?;
        self.order.remove(&(rumour.sent, node));
        Some(rumour)
    }
}

/// How often a rumour is told by each instance that hears it.
fn times(members: usize) -> u8 {
    // The logarithm of a 64-bit number is below 64.
    (usize::BITS - members.leading_zeros()) as u8 + 2
}

fn update(table: &Table, node: Node, telling: Telling) -> Option<Update> {
    let record = &table.find(node)?.record;
    match (telling, record.state) {
        (Telling::Record, State::Alive | State::Leaving) => Some(Update::Record(record.clone())),
        _ => Some(Update::Mark(Mark {
            node,
            incarnation: record.incarnation,
            state: record.state,
        })),
    }
}
