//! Positions that a group's primary and replicas reported.

use std::time::Duration;

use clock::{Boot, Instant};
use model::{Position, Term};

use super::Group;

impl Group {
    /// Records a position that the primary of `term` reported.
    pub fn sample(&self, term: Term, sent: Instant, position: Position, keep: Duration) {
        if !self.proof.get().covers(sent) {
            return;
        }
        self.samples.borrow_mut().record(term, sent, position, keep);
    }

    /// Returns the lowest position that a read at `now` may show if its data may be `age` old.
    pub fn floor(&self, now: Instant, age: Duration) -> Option<Position> {
        self.samples.borrow().floor(now, age)
    }

    /// Returns the moment from which a floor was sampled; `None` for a session's own commit.
    pub fn sampled_at(&self, floor: Position) -> Option<Instant> {
        self.samples.borrow().sampled_at(floor)
    }

    /// Records how far a replica's log reaches.
    pub fn note_received(&self, position: Position) {
        let (furthest, _) = self.furthest.get();
        if position >= furthest {
            self.furthest.set((position, Boot.now()));
        }
    }

    /// Returns the furthest position that a replica reported within `memory`.
    pub fn furthest(&self, now: Instant, memory: Duration) -> Option<Position> {
        let (furthest, at) = self.furthest.get();
        (at + memory > now).then_some(furthest)
    }
}
