//! The one store lease of an instance; all its seats ride on it.
//!
//! One keepalive covers every seat, so store calls grow with instances over
//! [`interval`], not with upstreams.

use std::time::Duration;

use clock::Instant;

/// The shortest time between two keepalives.
pub const MIN_INTERVAL: Duration = Duration::from_secs(2);
/// Keepalives that the whole fleet may make each second: a tenth of the
/// store's calls.
pub const FLEET_RATE: u32 = 200;
/// How many intervals a lease lasts, so that two keepalives may be lost.
pub const TTL_INTERVALS: u32 = 3;
/// How long a keepalive may stay unanswered before it is tried again.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Taken off the holder's own count of a lease, in thousandths: the store's
/// clock and ours may run at different speeds.
pub const CLOCK_DRIFT_PERMILLE: u32 = 10;

/// Names one call to the store, so that a late answer to another is told apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u64);

/// The store's name of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub i64);

/// The time between two keepalives of an instance in a fleet of `instances`.
///
/// ```
/// use std::time::Duration;
///
/// assert_eq!(pool::lease::interval(9), Duration::from_secs(2));
/// assert_eq!(pool::lease::interval(4_000), Duration::from_secs(20));
/// ```
pub fn interval(instances: u32) -> Duration {
    MIN_INTERVAL.max(Duration::from_secs(1) * instances / FLEET_RATE)
}

/// What an instance may believe of its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// There is none.
    Absent,
    /// The store keeps it at least until then.
    Valid(Id, Instant),
    /// The store did not answer for so long that it may have lapsed.
    Unconfirmed(Id),
}

/// What happens to a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The store granted it.
    Granted(Attempt, Id),
    /// The store prolonged it.
    Renewed(Attempt),
    /// The store does not know it.
    Gone(Attempt),
    /// The fleet has this many instances.
    Fleet(u32),
}

/// What the lease wants of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Grant a lease that lasts this long.
    Grant(Attempt, Duration),
    /// Prolong the lease.
    Renew(Attempt, Id),
}

#[derive(Debug, Clone, Copy)]
struct Call {
    attempt: Attempt,
    sent: Instant,
}

/// The lease of one instance.
#[derive(Debug)]
pub struct Lease {
    interval: Duration,
    /// What the store was asked for; a lease keeps it when the fleet grows.
    ttl: Duration,
    granted: Option<(Id, Instant)>,
    call: Option<Call>,
    attempts: u64,
}

impl Lease {
    /// A lease not yet asked for, in a fleet of `instances`.
    pub fn open(instances: u32) -> Self {
        let interval = interval(instances);
        Self {
            interval,
            ttl: interval * TTL_INTERVALS,
            granted: None,
            call: None,
            attempts: 0,
        }
    }

    /// Decides what to ask of the store.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => {}
            Event::Granted(attempt, id) => {
                if let Some(sent) = self.take_call(attempt) {
                    self.granted = Some((id, sent));
                }
            }
            Event::Renewed(attempt) => {
                if let (Some(sent), Some((id, _))) = (self.take_call(attempt), self.granted) {
                    self.granted = Some((id, sent));
                }
            }
            Event::Gone(attempt) => {
                if self.take_call(attempt).is_some() {
                    self.granted = None;
                }
            }
            Event::Fleet(instances) => self.interval = interval(instances),
        }
        self.call_if_due(now)
    }

    /// What may be believed at `now`.
    ///
    /// The lease is counted from *before* the call that the store answered was
    /// sent. Counted from the answer, a holder would believe in it longer than
    /// the store does, by as long as the answer took.
    pub fn status(&self, now: Instant) -> Status {
        let Some((id, sent)) = self.granted else {
            return Status::Absent;
        };
        let until = sent + self.ttl * (1_000 - CLOCK_DRIFT_PERMILLE) / 1_000;
        if now < until {
            Status::Valid(id, until)
        } else {
            Status::Unconfirmed(id)
        }
    }

    /// When to step next at the latest.
    pub fn wake(&self, now: Instant) -> Instant {
        match (self.call, self.granted) {
            (Some(call), _) => call.sent + CALL_TIMEOUT,
            (None, Some((_, sent))) => sent + self.interval,
            (None, None) => now,
        }
    }

    fn take_call(&mut self, attempt: Attempt) -> Option<Instant> {
        let call = self.call.filter(|it| it.attempt == attempt)?;
        self.call = None;
        Some(call.sent)
    }

    fn call_if_due(&mut self, now: Instant) -> Vec<Action> {
        if now < self.wake(now) {
            return Vec::new();
        }
        self.attempts += 1;
        let attempt = Attempt(self.attempts);
        self.call = Some(Call { attempt, sent: now });
        match self.granted {
            Some((id, _)) => vec![Action::Renew(attempt, id)],
            None => {
                self.ttl = self.interval * TTL_INTERVALS;
                vec![Action::Grant(attempt, self.ttl)]
            }
        }
    }
}
