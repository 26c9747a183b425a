//! Positions that reads of bounded age must have reached.

use std::{collections::VecDeque, time::Duration};

use clock::Instant;
use model::{Position, Term};

/// Shortest time between two samples; closer ones add no information.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Positions of a proved primary, each with the moment its request was sent.
///
/// The position in the answer to a request sent at `sent` covers every commit acknowledged
/// before `sent`. So a log that has reached the position is no older than `sent`.
#[derive(Debug, Default)]
pub struct Samples {
    term: Term,
    samples: VecDeque<(Instant, Position)>,
}

impl Samples {
    /// Records a position reported by the primary of `term`.
    ///
    /// A new term discards the samples of older terms: positions past the fork are part of no
    /// log any more, and a read that required one would wait forever.
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

    /// Returns the moment from which `position` was sampled, if it is a sample.
    pub fn sampled_at(&self, position: Position) -> Option<Instant> {
        let mut samples = self.samples.iter();
        let found = samples.find(|(_, sampled)| *sampled == position);
        found.map(|(at, _)| *at)
    }

    /// Estimates when the primary's log reached `position`; `None` if no sample has reached it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use clock::Instant;
    /// use lead::Samples;
    /// use model::{Position, Term};
    ///
    /// let at = Instant::from_millis;
    /// let mut samples = Samples::default();
    /// for (ms, lsn) in [(100, 10), (200, 20)] {
    ///     samples.record(Term(1), at(ms), Position::new(1, lsn), Duration::from_secs(10));
    /// }
    /// assert_eq!(samples.reached_at(Position::new(1, 15)), Some(at(150)));
    /// assert_eq!(samples.reached_at(Position::new(1, 21)), None);
    /// ```
    pub fn reached_at(&self, position: Position) -> Option<Instant> {
        let mut samples = self.samples.iter();
        let index = samples.position(|(_, sampled)| *sampled >= position)?;
        let (at, sampled) = self.samples[index];
        let Some((from, before)) = index.checked_sub(1).map(|index| self.samples[index]) else {
            return Some(at);
        };
        let left = sampled.lsn.0.saturating_sub(position.lsn.0);
        let gap = sampled.lsn.0.saturating_sub(before.lsn.0).max(left).max(1);
        Some(at - at.since(from).mul_f64(left as f64 / gap as f64))
    }

    /// Lowest position that a read at `now` with the age limit `age` may show.
    ///
    /// Returns `None` if no sample is recent enough.
    pub fn floor(&self, now: Instant, age: Duration) -> Option<Position> {
        let oldest = now - age;
        let fresh = self.samples.iter().find(|(at, _)| *at >= oldest);
        fresh.map(|(_, position)| *position)
    }
}

/// Raises `floor` to a session's own commit, where `current` is the term of the known primary.
///
/// Returns `None` if only the proved primary may run the read: the commit's position is unknown
/// ([`crate::Commits`]), or the commit is of an earlier term and may be lost from every log.
pub fn raise(floor: Position, own: Option<Position>, current: Option<Term>) -> Option<Position> {
    match own {
        Some(own) if own == Position::default() => None,
        Some(own) if current.is_some_and(|term| own.term < term) => None,
        Some(own) => Some(floor.max(own)),
        None => Some(floor),
    }
}
