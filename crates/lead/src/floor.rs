//! Which position a read of a stated age must have reached.

use std::{collections::VecDeque, time::Duration};

use clock::Instant;
use model::{Position, Term};

/// Samples closer than this to the one before tell nothing new.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Positions of a proved primary, each with the moment its question was sent.
///
/// A primary that answers a question sent at `sent` with a position holds there
/// every commit that anybody was told of before `sent`. So a log that has reached
/// the position is no older than `sent`.
#[derive(Debug, Default)]
pub struct Samples {
    term: Term,
    samples: VecDeque<(Instant, Position)>,
}

impl Samples {
    /// Takes in a position that the primary of `term` answered.
    ///
    /// A position of a new term voids the older ones: beyond the fork they are
    /// part of no log any more, and a read that waited for one would wait forever.
    pub fn record(&mut self, term: Term, sent: Instant, position: Position, keep: Duration) {
        if term < self.term {
            return;
        }
        if term > self.term {
            self.term = term;
            self.samples.clear();
        }
        let oldest = sent - keep;
        while self.samples.front().is_some_and(|(at, _)| *at < oldest) {
            self.samples.pop_front();
        }
        let newest = self.samples.back().copied();
        match newest {
            Some((at, _)) if sent < at + MIN_INTERVAL => {}
            _ => self.samples.push_back((sent, position)),
        }
    }

    /// The lowest position that a read at `now` may show if it may be `age` old.
    ///
    /// `None` if no sample is young enough to tell.
    pub fn floor(&self, now: Instant, age: Duration) -> Option<Position> {
        let oldest = now - age;
        let fresh = self.samples.iter().find(|(at, _)| *at >= oldest);
        fresh.map(|(_, position)| *position)
    }
}
