//! Answers to peers' requests for keys and members.

use std::time::Duration;

use clock::Instant;
use wire::{Change, Message, Part, Revision};

use crate::Fleet;

/// Maximum bytes of keys and values in one frame. The margin below the frame's
/// limit exceeds the key and the numbers of the largest value.
const PART_MAX: usize = 900 * 1024;
/// Size in bytes above which an answer counts as large and takes a token.
const LARGE_MIN: usize = 64 * 1024;
/// Number of large answers that may be sent at once.
const LARGE_BURST: u32 = 4;
/// Interval after which one more large answer may be sent.
const LARGE_INTERVAL: Duration = Duration::from_millis(250);

/// Token bucket that limits large answers.
///
/// A whole zone that restarts would otherwise pull all keys from the few peers
/// it knows, and take the processors and memory that these peers need for
/// requests.
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

/// Splits changes into frames; returns at least one frame, which may be empty.
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
