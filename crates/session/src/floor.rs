//! What a session's reads must show at least.

use clock::Instant;
use model::Position;

/// The primary's position, proved by a majority of the group.
///
/// The primary was asked for `position` no earlier than `since`, and a majority
/// answered, to questions sent no earlier than `since`, that it was not fenced
/// to a later term. A later term acknowledges nothing before a majority is
/// fenced to it, and the two majorities share an upstream. So everything that
/// anybody acknowledged before `since` is held at `position`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmed {
    /// Everything acknowledged before this moment is held.
    pub since: Instant,
    /// Where it is held.
    pub position: Position,
}

/// The position that a session's reads must have reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Floor {
    /// Anything acknowledged before `since` may be the session's own.
    Unknown {
        /// When the session came to this instance.
        since: Instant,
    },
    /// Everything of the session's is held here.
    Known(Position),
}

/// What changes a session's floor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The caller presented a token that proved genuine.
    Presented(Position),
    /// A write of the session was acknowledged here.
    Acknowledged(Position),
    /// A read was answered. `upto` is the upstream's position asked *behind*
    /// the read, the most it can have shown; `confirmed` is the newest round.
    Read {
        /// The most that the read can have shown.
        upto: Position,
        /// The newest confirmed round that the router knows.
        confirmed: Option<Confirmed>,
    },
    /// A read was answered by the primary, whose term a majority confirmed by
    /// questions sent after the read had begun.
    ReadConfirmed(Confirmed),
    /// A round ended; it counts if it began after an unknown session did.
    Round(Confirmed),
}

/// What one session has written and read in one database.
#[derive(Debug, Clone)]
pub struct Session {
    floor: Floor,
    seen: Option<Position>,
    changed: Instant,
}

/// The least position that covers everything `a` and `b` cover.
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
    /// Opens the session of a caller who presents no position: one that is
    /// new, roamed with only a name, or roamed with nothing.
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

    /// The position that reads must have reached.
    pub fn floor(&self) -> Floor {
        self.floor
    }

    /// What was read but is not known to be acknowledged.
    ///
    /// Reads that go to a replica must have reached it too, or the session
    /// would see another session's write come and go. A change of primary may
    /// lose it, so it is no part of the floor, and no token carries it.
    pub fn seen(&self) -> Option<Position> {
        self.seen
    }

    /// The position for the caller's token, once it is known.
    pub fn position(&self) -> Option<Position> {
        match self.floor {
            Floor::Known(position) => Some(position),
            Floor::Unknown { .. } => None,
        }
    }

    /// Takes in what happened to the session.
    pub fn step(&mut self, now: Instant, event: Event) {
        match event {
            // An acknowledged write stands behind every earlier write of the
            // session, wherever that ran, so it settles an unknown floor too.
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

    /// A round that began after the session's last event holds everything the
    /// session was told, so it takes the floor's place. Where `join` would
    /// leave a floor that a database restored from a backup never reaches,
    /// this lets the session come back to the replicas.
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
