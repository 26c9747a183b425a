//! The floor of a session: the position that its reads must have reached.

use clock::Instant;
use model::Position;

/// A position of the primary that a majority of the group has confirmed.
///
/// The primary was asked for `position` no earlier than `since`. A majority of the
/// upstreams answered queries sent no earlier than `since` without being fenced to
/// a later term. A later term acknowledges nothing before a majority is fenced to
/// it, and any two majorities share an upstream. Every write acknowledged before
/// `since`, by any instance, is therefore included at `position`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmed {
    /// Time before which every acknowledged write is included.
    pub since: Instant,
    /// Position that includes these writes.
    pub position: Position,
}

/// The position that a session's reads must have reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Floor {
    /// Any write acknowledged before `since` may be one of this session.
    Unknown {
        /// Time at which the session arrived at this instance.
        since: Instant,
    },
    /// Position that includes everything the session has written.
    Known(Position),
}

/// An event that changes a session's floor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The caller presented a valid token.
    Presented(Position),
    /// This instance acknowledged a write of the session.
    Acknowledged(Position),
    /// A read was answered.
    Read {
        /// Position of the upstream queried *behind* the read: the read can't have
        /// shown anything later.
        upto: Position,
        /// Newest confirmed round that the router knows.
        confirmed: Option<Confirmed>,
    },
    /// The primary answered a read, and a majority confirmed its term in answers
    /// to queries sent after the read had begun.
    ReadConfirmed(Confirmed),
    /// A round ended. A round that began before the session gives no floor.
    Round(Confirmed),
}

/// Floor of one session in one database.
#[derive(Debug, Clone)]
pub struct Session {
    floor: Floor,
    seen: Option<Position>,
    changed: Instant,
}

/// Returns the lowest position that covers both `a` and `b`.
///
/// ```
/// use model::Position;
/// let joined = session::join(Position::new(2, 80), Position::new(3, 70));
/// assert_eq!(joined, Position::new(3, 80));
/// ```
pub fn join(a: Position, b: Position) -> Position {
    Position {
        term: a.term.max(b.term),
        lsn: a.lsn.max(b.lsn),
    }
}

impl Session {
    /// Opens a session without a known position: a new one, or one that comes from
    /// another instance without a token.
    ///
    /// ```
    /// use clock::Instant;
    /// use model::Position;
    /// use session::{Event, Floor, Session};
    ///
    /// let mut session = Session::open(Instant::ZERO);
    /// session.step(Instant::from_millis(5), Event::Acknowledged(Position::new(1, 40)));
    /// assert_eq!(session.floor(), Floor::Known(Position::new(1, 40)));
    /// ```
    pub fn open(now: Instant) -> Self {
        Self {
            floor: Floor::Unknown { since: now },
            seen: None,
            changed: now,
        }
    }

    /// Returns the position that reads must have reached.
    pub fn floor(&self) -> Floor {
        self.floor
    }

    /// Returns the highest position that was read but is not known to be
    /// acknowledged.
    ///
    /// A replica must have reached this position too, or a write of another
    /// session could appear and disappear again. A change of primary may lose such
    /// a write, so the position is neither part of the floor nor of a token.
    pub fn seen(&self) -> Option<Position> {
        self.seen
    }

    /// Returns the position for the caller's token, if the floor is known.
    pub fn position(&self) -> Option<Position> {
        match self.floor {
            Floor::Known(position) => Some(position),
            Floor::Unknown { .. } => None,
        }
    }

    /// Applies an event to the floor.
    pub fn step(&mut self, now: Instant, event: Event) {
        match event {
            // An acknowledged write comes after every earlier write of the session
            // on any instance, so it makes an unknown floor known.
            Event::Presented(position) | Event::Acknowledged(position) => self.raise(now, position),
            Event::Read { upto, confirmed } => self.apply_read(now, upto, confirmed),
            Event::ReadConfirmed(round) => self.apply_confirmed_read(now, round),
            Event::Round(round) => self.apply_round(now, round),
        }
    }

    fn raise(&mut self, now: Instant, position: Position) {
        self.floor = match self.floor {
            Floor::Unknown { .. } => Floor::Known(position),
            Floor::Known(floor) => Floor::Known(join(floor, position)),
        };
        self.changed = now;
    }

    fn apply_read(&mut self, now: Instant, upto: Position, confirmed: Option<Confirmed>) {
        let seen = self.seen.map_or(upto, |seen| join(seen, upto));
        self.changed = now;
        let acknowledged = confirmed.is_some_and(|round| round.position.term == seen.term);
        let held = confirmed.is_some_and(|round| round.position.lsn >= seen.lsn);
        if acknowledged && held && matches!(self.floor, Floor::Known(_)) {
            self.raise(now, seen);
            self.seen = None;
            return;
        }
        self.seen = Some(seen);
    }

    /// Replaces the floor by a round that began after the session's last event.
    ///
    /// Such a round includes everything that the session was told. With `join`,
    /// the floor could stay at a position that a database restored from a backup
    /// never reaches, and the session could not read from replicas again.
    fn apply_confirmed_read(&mut self, now: Instant, round: Confirmed) {
        if round.since < self.changed {
            self.raise(now, round.position);
            return;
        }
        self.floor = Floor::Known(round.position);
        self.seen = None;
        self.changed = now;
    }

    fn apply_round(&mut self, now: Instant, round: Confirmed) {
        let Floor::Unknown { since } = self.floor else {
            return;
        };
        if round.since >= since {
            self.raise(now, round.position);
        }
    }
}
