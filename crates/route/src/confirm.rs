//! Confirmation by a majority that an upstream is still the primary.

use clock::Instant;
use model::{Position, Report, Role};
use session::Confirmed;

/// The status of an upstream and the time at which it was queried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Time at which this instance sent the query.
    pub sent: Instant,
    /// Status that the upstream returned.
    pub report: Report,
}

impl Answer {
    /// Returns the position that reads on the upstream see.
    pub fn position(&self) -> Position {
        position(&self.report)
    }
}

/// Returns the position that reads on an upstream see: the replayed position in the
/// term of its log.
pub fn position(report: &Report) -> Position {
    Position {
        term: report.received.term,
        lsn: report.replayed,
    }
}

/// Returns the newest round that the latest answers of a group confirm, if any.
///
/// `members` is the number of upstreams in the group, including silent ones. The
/// primary's own answer is not enough: a primary that is cut off from the others
/// still reports itself as primary after another one was promoted, and its replicas
/// look fresh although newer data exists. A majority that is not fenced to a later
/// term rules this out.
///
/// ```
/// use clock::Instant;
/// use model::{Position, Report, Role, Term};
/// use route::{Answer, newest_round};
///
/// let answer = |role, sent| Answer {
///     sent: Instant::from_millis(sent),
///     report: Report {
///         role,
///         fenced: Term(1),
///         received: Position::new(1, 50),
///         replayed: model::Lsn(50),
///     },
/// };
/// let answers = [answer(Role::Primary, 9), answer(Role::Replica, 7)];
/// assert_eq!(newest_round(3, &answers).unwrap().since, Instant::from_millis(7));
/// assert_eq!(newest_round(3, &answers[..1]), None);
/// ```
pub fn newest_round(members: usize, answers: &[Answer]) -> Option<Confirmed> {
    let primary = answers
        .iter()
        .filter(|answer| answer.report.role == Role::Primary)
        .max_by_key(|answer| (answer.report.received.term, answer.sent))?;
    let term = primary.report.received.term;
    if primary.report.fenced > term {
        return None;
    }
    let mut sent: Vec<_> = answers
        .iter()
        .filter(|answer| answer.report.fenced <= term)
        .map(|answer| answer.sent)
        .collect();
    sent.sort_unstable_by(|a, b| b.cmp(a));
    let majority = members / 2 + 1;
    let last = *sent.get(majority - 1)?;
    Some(Confirmed {
        since: last.min(primary.sent),
        position: primary.position(),
    })
}
