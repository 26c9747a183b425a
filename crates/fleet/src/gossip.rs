//! Rumours about members, passed on with heartbeats.

use std::{collections::BTreeMap, mem::size_of};

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
}

impl Gossip {
    /// Passes on what the table says of `node` from now on.
    pub(crate) fn tell(&mut self, node: Node, telling: Telling) {
        let before = self.rumours.get(&node).map(|rumour| rumour.telling);
        let telling = before.map_or(telling, |before| before.min(telling));
        self.rumours.insert(node, Rumour { sent: 0, telling });
        if self.rumours.len() > WAITING_MAX {
            self.drop_stalest();
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
        let mut order: Vec<_> = self
            .rumours
            .iter()
            .map(|(&node, rumour)| (rumour.sent, node, rumour.telling))
            .collect();
        order.sort_unstable();
        for (sent, node, telling) in order {
            let len = match telling {
                Telling::Record => RECORD_LEN,
                Telling::Mark => MARK_LEN,
            };
            if len > room {
                break;
            }
            room -= len;
            updates.extend(update(table, node, telling));
            self.count(node, sent + 1, often);
        }
        updates
    }

    pub(crate) fn state_bytes(&self) -> usize {
        self.rumours.len() * (size_of::<Node>() + size_of::<Rumour>()) * 3 / 2
    }

    fn count(&mut self, node: Node, sent: u8, often: u8) {
        if sent >= often {
            self.rumours.remove(&node);
        } else if let Some(rumour) = self.rumours.get_mut(&node) {
            rumour.sent = sent;
        }
    }

    fn drop_stalest(&mut self) {
        let stalest = self.rumours.iter().max_by_key(|(_, rumour)| rumour.sent);
        if let Some((&node, _)) = stalest {
            self.rumours.remove(&node);
        }
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
