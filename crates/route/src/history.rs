//! Past positions of the primary and the times of their confirmation.

use std::{collections::VecDeque, time::Duration};

use clock::Instant;
use model::Position;
use session::Confirmed;

const MAX_RECENT: usize = 64;
const MAX_OLDER: usize = 256;
const RECENT_SPACING: Duration = Duration::from_millis(5);

/// Confirmed rounds: closely spaced recent ones, and older ones at larger intervals.
///
/// Data of an upstream that has replayed the position of a round is no older than
/// the round's `since`, the time at which this instance *sent* the queries. The
/// error of this measurement can only make data look older than it is, and no clock
/// of another machine is involved.
#[derive(Debug, Clone)]
pub struct History {
    newest: Option<Confirmed>,
    recent: VecDeque<Confirmed>,
    older: VecDeque<Confirmed>,
    older_spacing: Duration,
}

impl History {
    /// Creates a history that keeps rounds for at least `max_age`, the largest age that
    /// any entry allows.
    pub fn new(max_age: Duration) -> Self {
        Self {
            newest: None,
            recent: VecDeque::new(),
            older: VecDeque::new(),
            older_spacing: (max_age * 2 / MAX_OLDER as u32).max(RECENT_SPACING),
        }
    }

    /// Adds a round; ignores one that is not newer than the newest.
    pub fn push(&mut self, round: Confirmed) {
        if self
            .newest
            .is_some_and(|newest| round.since <= newest.since)
        {
            return;
        }
        if let Some(newest) = self.newest.replace(round)
            && is_spaced(&self.recent, newest, RECENT_SPACING)
        {
            self.recent.push_back(newest);
        }
        if self.recent.len() <= MAX_RECENT {
            return;
        }
        let Some(oldest) = self.recent.pop_front() else {
            return;
        };
        if is_spaced(&self.older, oldest, self.older_spacing) {
            self.older.push_back(oldest);
        }
        if self.older.len() > MAX_OLDER {
            self.older.pop_front();
        }
    }

    /// Returns the newest round.
    pub fn newest(&self) -> Option<Confirmed> {
        self.newest
    }

    /// Returns the time before which every acknowledged write is included at
    /// `position`.
    pub fn as_of(&self, position: Position) -> Option<Instant> {
        let held = |round: &Confirmed| position.covers(round.position);
        self.newest_first().find(held).map(|round| round.since)
    }

    /// Returns the first round that began at `since` or later, which gives the lowest
    /// valid floor of a session that began then.
    pub fn first_since(&self, since: Instant) -> Option<Confirmed> {
        self.newest_first()
            .take_while(|round| round.since >= since)
            .last()
    }

    /// Returns the time of the first round that a log at `position` has not reached.
    pub fn missed(&self, position: Position) -> Option<Instant> {
        self.newest_first()
            .take_while(|round| !position.covers(round.position))
            .last()
            .map(|round| round.since)
    }

    /// Returns the time by which the primary is known to have reached `position`.
    pub fn reached(&self, position: Position) -> Option<Instant> {
        self.newest_first()
            .take_while(|round| round.position.covers(position))
            .last()
            .map(|round| round.since)
    }

    fn newest_first(&self) -> impl Iterator<Item = Confirmed> {
        let rest = self.recent.iter().rev().chain(self.older.iter().rev());
        self.newest.into_iter().chain(rest.copied())
    }
}

fn is_spaced(ring: &VecDeque<Confirmed>, round: Confirmed, spacing: Duration) -> bool {
    ring.back()
        .is_none_or(|last| round.since.since(last.since) >= spacing)
}
