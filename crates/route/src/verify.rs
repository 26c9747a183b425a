//! The proof that a read's answer was fresh enough.
//!
//! A report is a lower bound of an upstream's position only while its server
//! keeps running in one lineage. A replica that restarts may come back at an
//! earlier place, and an old primary that follows a new term is rewound; a
//! choice made on the report before would then serve a stale answer. So the
//! position query is pipelined on the same connection ahead of the read: a
//! restart or a rewind closes the connection, so whatever answers both is at
//! or past the position it named. An answer that does not pass is discarded.

use clock::Instant;
use model::{Freshness, Position, Report, Role};
use session::{Floor, join};

use crate::{History, Read, confirm};

/// Whether an answer may be given to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is fresh enough.
    Fresh,
    /// The upstream had not reached the session's floor.
    Behind,
    /// Its age is greater than allowed, or is not proved.
    Old,
    /// The upstream was to be the primary and is not.
    Deposed,
    /// The session's floor is still unknown: nothing can be proved.
    Unproved,
}

/// What the read was sent to the upstream as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// A replica, chosen by its position.
    Replica,
    /// The primary of a term that no majority confirmed for this read.
    Primary,
}

/// Checks the position that was asked ahead of a read against its floor.
///
/// The floor of `read` must be known; see [`crate::Router::verify`] for the
/// check that knows the history and therefore ages and unknown floors too.
///
/// ```
/// use clock::Instant;
/// use model::{Freshness, Lsn, Position, Report, Role, Term};
/// use route::{Read, Target, Verdict, verify};
/// use session::Floor;
///
/// let read = Read::new(Instant::ZERO, Instant::from_millis(500))
///     .floor(Floor::Known(Position::new(1, 40)));
/// let mut report = Report {
///     role: Role::Replica,
///     fenced: Term(1),
///     received: Position::new(1, 90),
///     replayed: Lsn(39),
/// };
/// assert_eq!(verify(&report, &read, Target::Replica), Verdict::Behind);
/// report.replayed = Lsn(40);
/// assert_eq!(verify(&report, &read, Target::Replica), Verdict::Fresh);
/// ```
pub fn verify(report: &Report, read: &Read, target: Target) -> Verdict {
    let Floor::Known(floor) = read.floor else {
        return Verdict::Unproved;
    };
    if target == Target::Primary && report.role != Role::Primary {
        return Verdict::Deposed;
    }
    if !confirm::position(report).covers(demand(floor, read.seen, target)) {
        return Verdict::Behind;
    }
    Verdict::Fresh
}

/// Checks the age as well.
pub(crate) fn verify_age(
    now: Instant,
    history: &History,
    report: &Report,
    read: &Read,
    target: Target,
) -> Verdict {
    let verdict = verify(report, read, target);
    let Freshness::Age(bound) = read.freshness else {
        return verdict;
    };
    if verdict != Verdict::Fresh {
        return verdict;
    }
    match history.as_of(confirm::position(report)) {
        Some(as_of) if now.since(as_of) <= bound => Verdict::Fresh,
        _ => Verdict::Old,
    }
}

/// What an upstream must have reached.
///
/// What was seen but is not acknowledged may be lost by a change of primary:
/// a replica must have reached it, the primary need only be of its term.
pub(crate) fn demand(floor: Position, seen: Option<Position>, target: Target) -> Position {
    let Some(seen) = seen else {
        return floor;
    };
    match target {
        Target::Replica => join(floor, seen),
        Target::Primary => Position {
            term: floor.term.max(seen.term),
            lsn: floor.lsn,
        },
    }
}
