//! Circuit breaker: an upstream that keeps failing gets no requests for a
//! while.
//!
//! Without a breaker every request would spend its deadline on a dead upstream
//! and occupy a place in the queue meanwhile, so the failure of one upstream
//! would cause time-outs of requests that another could have served.

use std::time::Duration;

use clock::Instant;

/// Number of consecutive failures that opens the breaker.
pub const THRESHOLD: u32 = 5;
/// Time for which the breaker stays open at first.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum time for which the breaker stays open between two probes.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Requests that the breaker allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// All requests.
    Pass,
    /// One probe, whose result the caller must report.
    Probe,
    /// No request before this time.
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

/// Circuit breaker of one upstream.
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
    /// Returns what may be sent now; [`Permit::Probe`] is returned once per
    /// opening.
    ///
    /// A probe without a result counts as failed after [`MAX_BACKOFF`].
    /// Otherwise a probe lost with its caller would keep the breaker half open,
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

    /// Time at which requests may pass again, or `None` while the breaker is
    /// closed.
    pub fn retry_at(&self) -> Option<Instant> {
        match self.state {
            State::Closed { .. } => None,
            State::Open { until, .. } => Some(until),
            State::HalfOpen { probe_until, .. } => Some(probe_until),
        }
    }

    /// Returns true if all requests pass.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Records an answer of the upstream.
    pub fn success(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// Records that the upstream refused or broke a connection, or timed out.
    pub fn failure(&mut self, now: Instant) {
        let backoff = match self.state {
            State::Closed { failures } if failures + 1 < THRESHOLD => {
                self.state = State::Closed {
                    failures: failures + 1,
                };
                return;
            }
            State::Closed { .. } => FIRST_BACKOFF,
            // Late failures of requests sent before the breaker opened carry no
            // new information.
            State::Open { .. } => return,
            State::HalfOpen { backoff, .. } => (backoff * 2).min(MAX_BACKOFF),
        };
        self.state = State::Open {
            until: now + backoff,
            backoff,
        };
    }
}
