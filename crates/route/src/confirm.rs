//! Proof by a majority that an upstream still leads.

use clock::Instant;
use model::{Position, Report, Role};
use session::Confirmed;

/// An upstream's answer and the moment at which the question was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// When this instance sent the question.
    pub sent: Instant,
    /// What the upstream answered.
    pub report: Report,
}

impl Answer {
    /// What the upstream's reads see, in the lineage it follows.
    pub fn position(&self) -> Position {
        position(&self.report)
    }
}

/// What an upstream's reads see, in the lineage it follows.
pub fn position(report: &Report) -> Position {
    Position {
        term: report.received.term,
        lsn: report.replayed,
    }
}

/// The newest round that a group's latest answers prove, if they prove one.
///
/// `members` is how many upstreams the group has, those that are silent
/// included. What would go wrong with the primary's own word: one that is cut
/// off with callers beside it goes on believing that it leads, its position
/// stands for data that others have long overwritten, and replicas that follow
/// it look fresh. A majority that was not fenced yet proves the contrary.
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
