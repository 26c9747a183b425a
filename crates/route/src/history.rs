//! Where the primary stood, and when that was proved.

use std::{collections::VecDeque, time::Duration};

use clock::Instant;
use model::Position;
use session::Confirmed;

const MAX_RECENT: usize = 64;
const MAX_OLDER: usize = 256;
const RECENT_SPACING: Duration = Duration::from_millis(5);

/// Confirmed rounds: dense for the last moments, sparse back to a max_age.
///
/// An upstream that replayed the position of a round is no older than the
/// round's `since`, which is when this instance *sent* the questions. The error
/// of the observation therefore always makes data look older than it is, and
/// no other machine's clock comes into it.
#[derive(Debug, Clone)]
pub struct History {
    newest: Option<Confirmed>,
    recent: VecDeque<Confirmed>,
    older: VecDeque<Confirmed>,
    older_spacing: Duration,
}

impl History {
    /// Keeps rounds for at least `max_age`, the greatest age that any entry allows.
    pub fn new(max_age: Duration) -> Self {
        Self {
            newest: None,
            recent: VecDeque::new(),
            older: VecDeque::new(),
            older_spacing: (max_age * 2 / MAX_OLDER as u32).max(RECENT_SPACING),
        }
    }

    /// Takes in a round; one that is not newer than the newest is left out.
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

    /// The newest round.
    pub fn newest(&self) -> Option<Confirmed> {
        self.newest
    }

    /// The moment before which everything acknowledged is held at `position`.
    pub fn as_of(&self, position: Position) -> Option<Instant> {
        let held = |round: &Confirmed| position.covers(round.position);
        self.newest_first().find(held).map(|round| round.since)
    }

    /// The first round that began at `since` or later: the lowest floor that
    /// is valid for a session that began then.
    pub fn first_since(&self, since: Instant) -> Option<Confirmed> {
        self.newest_first()
            .take_while(|round| round.since >= since)
            .last()
    }

    /// The first round that a log at `position` has not reached.
    pub fn missed(&self, position: Position) -> Option<Instant> {
        self.newest_first()
            .take_while(|round| !position.covers(round.position))
            .last()
            .map(|round| round.since)
    }

    /// When the primary is known to have reached `position`, at the latest.
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
