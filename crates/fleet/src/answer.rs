//! Answering peers that pull.

use std::time::Duration;

use clock::Instant;
use wire::{Change, Message, Part, Revision};

use crate::Fleet;

/// The most bytes of keys and values in one frame, below the frame's limit by
/// more than the largest value's key and numbers take.
const PART_MAX: usize = 900 * 1024;
/// An answer above this many bytes counts against the allowance.
const LARGE_MIN: usize = 64 * 1024;
/// How many large answers may go out at once.
const LARGE_BURST: u32 = 4;
/// How long it takes until one more large answer may go out.
const LARGE_INTERVAL: Duration = Duration::from_millis(250);

/// How many large answers may go out now.
///
/// A whole zone that starts anew would else pull everything from the few peers
/// it knows, and take their processors and memory from the work they do.
#[derive(Debug)]
pub(crate) struct Limiter {
    tokens: u32,
    refilled: Instant,
}

impl Limiter {
    pub(crate) fn open(now: Instant) -> Self {
        Self {
            tokens: LARGE_BURST,
            refilled: now,
        }
    }

    fn acquire(&mut self, now: Instant) -> Option<()> {
        while self.tokens < LARGE_BURST && now.since(self.refilled) >= LARGE_INTERVAL {
            self.tokens += 1;
            self.refilled = self.refilled + LARGE_INTERVAL;
        }
        if self.tokens == LARGE_BURST {
            self.refilled = now;
        }
        self.tokens = self.tokens.checked_sub(1)?;
        Some(())
    }
}

impl Fleet {
    pub(crate) fn on_asked(&mut self, now: Instant, stream: u64, message: Message) {
        let messages = match message {
            Message::Pull(from) => self.answer_pull(now, from),
            Message::Members { buckets, known } => {
                vec![Message::Table(self.table.records(&buckets, &known))]
            }
            _ => Vec::new(),
        };
        self.out.push(crate::Action::Reply { stream, messages });
    }

    fn answer_pull(&mut self, now: Instant, from: Revision) -> Vec<Message> {
        let (from, changes) = self.mirror.since(from);
        let len: usize = changes.iter().map(len).sum();
        if len > LARGE_MIN && self.pulls.limiter.acquire(now).is_none() {
            return vec![Message::Busy];
        }
        let chunks = chunks(changes);
        let count = chunks.len() as u32;
        (0u32..)
            .zip(chunks)
            .map(|(index, changes)| {
                Message::Part(Part {
                    from,
                    to: self.mirror.revision(),
                    digest: self.mirror.digest(),
                    index,
                    count,
                    changes,
                })
            })
            .collect()
    }
}

fn len(change: &Change) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, |bytes| bytes.len()) + 24
}

/// Parts changes into frames; there is at least one, if an empty one.
fn chunks(changes: Vec<Change>) -> Vec<Vec<Change>> {
    let mut chunks = vec![Vec::new()];
    let mut room = PART_MAX;
    for change in changes {
        let len = len(&change);
        let full = chunks.last().is_some_and(|chunk| !chunk.is_empty());
        if len > room && full {
            chunks.push(Vec::new());
            room = PART_MAX;
        }
        room = room.saturating_sub(len);
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(change);
        }
    }
    chunks
}
