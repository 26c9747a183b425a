//! Verifies that the answer to a read was fresh enough.
//!
//! A reported position is a lower limit only while the server keeps running in one
//! lineage. A replica may restart at an earlier position, and an old primary is
//! rewound when it follows a new term, so a choice by an earlier report could serve a
//! stale answer. A position query is therefore pipelined on the same connection ahead
//! of the read. A restart or a rewind closes the connection, so a server that answers
//! both has run the read at or past the reported position. An answer that fails the
//! check is discarded.

use clock::Instant;
use model::{Freshness, Position, Report, Role};
use session::{Floor, join};

use crate::{History, Read, confirm};

/// The result of the check of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is fresh enough.
    Fresh,
    /// The upstream had not reached the session's floor.
    Behind,
    /// The answer is older than allowed, or its age can't be proved.
    Old,
    /// The upstream was chosen as the primary and is not the primary.
    Deposed,
    /// The session's floor is still unknown, so nothing can be proved.
    Unproved,
}

/// The role for which the upstream of a read was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// A replica, chosen by its position.
    Replica,
    /// The primary, of a term that no majority has confirmed for this read.
    Primary,
}

/// Checks the status queried ahead of a read against the read's floor.
///
/// The floor of `read` must be known. [`crate::Router::verify`] has the history and
/// therefore also checks ages and reads with an unknown floor.
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

/// Checks the floor like [`verify`], and the age of the answer.
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

/// Returns the position that an upstream must have reached.
///
/// A change of primary may lose a write that was seen but not acknowledged. A replica
/// must therefore have reached the position that was seen, while a primary only needs
/// a log of its term or a later one.
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
