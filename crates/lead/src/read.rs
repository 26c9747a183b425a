//! Choice of the upstream that runs a read.
//!
//! Load pattern: one of two replicas is lost, the other one is behind, and all upstreams are busy.
//! A read goes where its answer is expected first: to a replica whose log suffices, to one whose
//! log will suffice soon, or to the primary. Writes have no choice, so a read at the primary costs
//! besides its own time the delay of what waits there.

use std::time::Duration;

use clock::Instant;

/// What an upstream can run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Reads only.
    Replica,
    /// Everything; writes run nowhere else.
    Primary,
}

/// An upstream that may run a read.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The upstream's role.
    pub role: Role,
    /// Moment from which its log suffices.
    pub ready_at: Instant,
    /// Usual duration of a statement there.
    pub latency: Duration,
    /// This instance's statements that wait or run there.
    pub queued: usize,
    /// Statements of this instance that run there at once.
    pub slots: usize,
    /// Extra cost of the way there.
    pub distance: Duration,
}

/// The upstream that is chosen for a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Index of the candidate.
    pub index: usize,
    /// Time until its log suffices.
    pub wait: Duration,
}

impl Candidate {
    /// Returns the part of a statement's duration that `statements` take up.
    fn time_for(&self, statements: usize) -> Duration {
        let statements = u32::try_from(statements).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.slots.max(1)).unwrap_or(u32::MAX);
        self.latency.saturating_mul(statements) / slots
    }

    /// Returns the time until a read is answered, and the delay that it causes to writes.
    fn cost(&self, now: Instant) -> Duration {
        let ahead = (self.queued + 1).saturating_sub(self.slots.max(1));
        let start = self.time_for(ahead).max(self.ready_at.since(now));
        let answered = start
            .saturating_add(self.latency)
            .saturating_add(self.distance);
        match self.role {
            Role::Replica => answered,
            Role::Primary => answered
                .saturating_add(self.latency)
                .saturating_add(self.time_for(self.queued)),
        }
    }
}

/// Chooses the candidate with the earliest expected answer whose log suffices by `deadline`.
///
/// ```
/// use std::time::Duration;
/// use clock::Instant;
/// use lead::read::{Candidate, Role, earliest};
///
/// let now = Instant::from_millis(1_000);
/// let primary = Candidate {
///     role: Role::Primary,
///     ready_at: now,
///     latency: Duration::from_millis(20),
///     queued: 0,
///     slots: 1,
///     distance: Duration::ZERO,
/// };
/// let late = now + Duration::from_millis(150);
/// let replica = Candidate { role: Role::Replica, ready_at: late, ..primary };
/// let choice = |queued| earliest(&[Candidate { queued, ..primary }, replica], now, late).unwrap();
/// assert_eq!(choice(0).index, 0);
/// assert_eq!(choice(8).index, 1);
/// ```
pub fn earliest(candidates: &[Candidate], now: Instant, deadline: Instant) -> Option<Choice> {
    let in_time = candidates.iter().enumerate();
    let in_time = in_time.filter(|(_, candidate)| candidate.ready_at <= deadline.max(now));
    let rank = |candidate: &Candidate| (candidate.cost(now), candidate.role, candidate.queued);
    let (index, best) = in_time.min_by_key(|(_, candidate)| rank(candidate))?;
    Some(Choice {
        index,
        wait: best.ready_at.since(now),
    })
}
