//! A circuit breaker: an upstream that keeps failing is left alone for a while.
//!
//! Without it every request would spend its deadline on a dead upstream and
//! hold a place in the queue meanwhile, so that the failure of one upstream
//! would show as timeouts of requests that another could have served.

use std::time::Duration;

use clock::Instant;

/// How many failures in a row open the breaker.
pub const THRESHOLD: u32 = 5;
/// How long the breaker stays open the first time.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The longest that the breaker stays open between two probes.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// What the breaker lets through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// Anything.
    Pass,
    /// One probe; the caller must report how it ends.
    Probe,
    /// Nothing before this moment.
    Wait(Instant),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Closed {
        failures: u32,
    },
    Open {
        until: Instant,
        backoff: Duration,
    },
    HalfOpen {
        probe_until: Instant,
        backoff: Duration,
    },
}

/// The breaker of one upstream.
///
/// ```
/// use clock::Instant;
/// use pool::breaker::{Breaker, Permit, THRESHOLD};
///
/// let mut breaker = Breaker::default();
/// for _ in 0..THRESHOLD {
///     breaker.failure(Instant::ZERO);
/// }
/// assert!(matches!(breaker.permit(Instant::ZERO), Permit::Wait(_)));
/// assert_eq!(breaker.permit(Instant::from_millis(100)), Permit::Probe);
/// breaker.success();
/// assert_eq!(breaker.permit(Instant::from_millis(101)), Permit::Pass);
/// ```
#[derive(Debug)]
pub struct Breaker {
    state: State,
}

impl Default for Breaker {
    fn default() -> Self {
        Self {
            state: State::Closed { failures: 0 },
        }
    }
}

impl Breaker {
    /// What may be sent now; [`Permit::Probe`] is given out once per opening.
    ///
    /// A probe that is never reported counts as failed after [`MAX_BACKOFF`]:
    /// else a probe lost with its caller would keep the breaker half open,
    /// and the upstream unused, for ever.
    pub fn permit(&mut self, now: Instant) -> Permit {
        match self.state {
            State::Closed { .. } => Permit::Pass,
            State::Open { until, .. } if now < until => Permit::Wait(until),
            State::HalfOpen { probe_until, .. } if now < probe_until => Permit::Wait(probe_until),
            State::Open { backoff, .. } | State::HalfOpen { backoff, .. } => {
                self.state = State::HalfOpen {
                    probe_until: now + MAX_BACKOFF,
                    backoff,
                };
                Permit::Probe
            }
        }
    }

    /// When requests may pass again, or `None` while they pass.
    pub fn retry_at(&self) -> Option<Instant> {
        match self.state {
            State::Closed { .. } => None,
            State::Open { until, .. } => Some(until),
            State::HalfOpen { probe_until, .. } => Some(probe_until),
        }
    }

    /// Whether everything passes.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// The upstream answered.
    pub fn success(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// The upstream refused a connection, broke one, or did not answer in time.
    pub fn failure(&mut self, now: Instant) {
        let backoff = match self.state {
            State::Closed { failures } if failures + 1 < THRESHOLD => {
                self.state = State::Closed {
                    failures: failures + 1,
                };
                return;
            }
            State::Closed { .. } => FIRST_BACKOFF,
            // Late failures of what was sent before it opened say nothing new.
            State::Open { .. } => return,
            State::HalfOpen { backoff, .. } => (backoff * 2).min(MAX_BACKOFF),
        };
        self.state = State::Open {
            until: now + backoff,
            backoff,
        };
    }
}
