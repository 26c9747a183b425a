//! Choice of the upstream that runs a read.
//!
//! Load pattern: one of two replicas is lost, the other one is behind, and all upstreams are busy.
//! A read goes where its answer is expected first: to a replica whose log suffices, to one whose
//! log will suffice soon, or to the primary. Writes have no choice, so a read at the primary costs
//! besides its own time the delay of what waits there.

use std::time::Duration;

use clock::Instant;

use crate::reach::Estimate;

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
    /// When its log has what the read must see.
    pub log: Estimate,
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
    /// Returns true if a read would wait for a log that may never suffice.
    fn is_uncertain(&self, now: Instant) -> bool {
        matches!(self.log, Estimate::Unknown(at) if at > now)
    }

    /// Returns the part of a statement's duration that `statements` take up.
    fn time_for(&self, statements: usize) -> Duration {
        let statements = u32::try_from(statements).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.slots.max(1)).unwrap_or(u32::MAX);
        self.latency.saturating_mul(statements) / slots
    }

    /// Returns the time until a read is answered, and the delay that it causes to writes.
    fn cost(&self, now: Instant) -> Duration {
        let ahead = (self.queued + 1).saturating_sub(self.slots.max(1));
        let start = self.time_for(ahead).max(self.log.ready_at().since(now));
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

/// Chooses the candidate with the earliest expected answer whose log suffices by `deadline`. One
/// that would be waited for without knowing that its log will suffice is chosen if it is the only
/// one.
///
/// ```
/// use std::time::Duration;
/// use clock::Instant;
/// use lead::{
///     reach::Estimate,
///     read::{Candidate, Role, earliest},
/// };
///
/// let now = Instant::from_millis(1_000);
/// let primary = Candidate {
///     role: Role::Primary,
///     log: Estimate::Reached,
///     latency: Duration::from_millis(20),
///     queued: 0,
///     slots: 1,
///     distance: Duration::ZERO,
/// };
/// let late = now + Duration::from_millis(150);
/// let log = Estimate::Expected(late);
/// let replica = Candidate { role: Role::Replica, log, ..primary };
/// let choice = |queued| earliest(&[Candidate { queued, ..primary }, replica], now, late).unwrap();
/// assert_eq!(choice(0).index, 0);
/// assert_eq!(choice(8).index, 1);
/// ```
pub fn earliest(candidates: &[Candidate], now: Instant, deadline: Instant) -> Option<Choice> {
    let in_time = candidates.iter().enumerate();
    let in_time = in_time.filter(|(_, candidate)| candidate.log.ready_at() <= deadline.max(now));
    let rank = |candidate: &Candidate| {
        let cost = (candidate.cost(now), candidate.role, candidate.queued);
        (candidate.is_uncertain(now), cost)
    };
    let (index, best) = in_time.min_by_key(|(_, candidate)| rank(candidate))?;
    Some(Choice {
        index,
        wait: best.log.ready_at().since(now),
    })
}
