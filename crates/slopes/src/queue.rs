//! Messages and events in transit, ordered by arrival time.

use std::{cmp::Reverse, collections::BinaryHeap};

use clock::Instant;
use fleet::{Answer, Call, Request};
use wire::Message;

/// An item in transit to a slot; a generation names the process at the slot.
#[derive(Debug)]
pub(crate) enum Item {
    Wake(usize, u32),
    Datagram(usize, usize, Message),
    Ask(usize, u32, Call, usize, Message),
    Answer(usize, u32, Call, Vec<Message>),
    Failed(usize, u32, Call),
    Call(usize, u32, Call, Request),
    Store(usize, u32, Call, Answer),
}

#[derive(Debug)]
struct Queued {
    at: Instant,
    order: u64,
    item: Box<Item>,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// The items in transit; items with equal arrival times keep the order of sending.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    heap: BinaryHeap<Reverse<Queued>>,
    order: u64,
}

impl Queue {
    pub(crate) fn push(&mut self, at: Instant, item: Item) {
        self.order += 1;
        self.heap.push(Reverse(Queued {
            at,
            order: self.order,
            item: Box::new(item),
        }));
    }

    /// Removes the next item that arrives no later than `end`.
    pub(crate) fn pop(&mut self, end: Instant) -> Option<(Instant, Item)> {
        if self.heap.peek()?.0.at > end {
            return None;
        }
        let Reverse(queued) = self.heap.pop()?;
        Some((queued.at, *queued.item))
    }
}
