//! The store lease of an instance, shared by all of its seats.
//!
//! One keepalive renews every seat, so the rate of store calls grows with the
//! number of instances divided by [`interval`], not with the number of
//! upstreams.

use std::time::Duration;

use clock::Instant;

/// Minimum interval between two keepalives.
pub const MIN_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum keepalives per second of the whole fleet: a tenth of the store's
/// calls.
pub const FLEET_RATE: u32 = 200;
/// Duration of a lease in intervals, so that two keepalives may be lost.
pub const TTL_INTERVALS: u32 = 3;
/// Time after which an unanswered keepalive is repeated.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Reduction of the holder's own lease time in thousandths, because the clocks
/// of the store and of this instance may run at different speeds.
pub const CLOCK_DRIFT_PERMILLE: u32 = 10;

/// Id of a call to the store, which tells its answer from a late answer to
/// another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u64);

/// Id of a lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub i64);

/// Returns the interval between two keepalives of an instance in a fleet of
/// `instances`.
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

/// Status of a lease as far as its holder knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// No lease exists.
    Absent,
    /// The lease is valid at least until this time.
    Valid(Id, Instant),
    /// The store has not answered for so long that the lease may have expired.
    Unconfirmed(Id),
}

/// Input of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The store granted the lease.
    Granted(Attempt, Id),
    /// The store renewed the lease.
    Renewed(Attempt),
    /// The store does not know the lease.
    Gone(Attempt),
    /// The number of instances in the fleet changed to this.
    Fleet(u32),
}

/// Calls to make to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Request a lease of this duration.
    Grant(Attempt, Duration),
    /// Renew the lease.
    Renew(Attempt, Id),
}

#[derive(Debug, Clone, Copy)]
struct Call {
    attempt: Attempt,
    sent: Instant,
}

/// Store lease of one instance.
#[derive(Debug)]
pub struct Lease {
    interval: Duration,
    /// Duration requested from the store, which stays the same for a lease when
    /// the fleet grows.
    ttl: Duration,
    granted: Option<(Id, Instant)>,
    call: Option<Call>,
    attempts: u64,
}

impl Lease {
    /// Creates a lease that has not been requested yet, in a fleet of
    /// `instances`.
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

    /// Handles an event and returns the calls to make to the store.
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

    /// Returns the status of the lease at `now`.
    ///
    /// The lease is measured from *before* its answered call was sent. Measured
    /// from the answer, it would seem valid to its holder for longer than to
    /// the store, by the time that the answer took.
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

    /// Latest time for the next step.
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
