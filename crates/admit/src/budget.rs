//! Limits on opening connections to an upstream.
//!
//! Load pattern: an upstream accepts few connections from all instances together, and at
//! times none at all, because all are in use or because it still counts those of instances
//! that lost power. Every instance wants a connection and retries.

use std::time::Duration;

use clock::Instant;

/// Shortest and longest pause after a refusal; the pause doubles with each refusal.
///
/// The shortest is about the time in which an upstream accepts a connection (12 ms), so that
/// a free slot is found soon. The longest bounds the refusals of one instance at one upstream
/// to 17 a second; a fixed pause of 15 to 35 ms caused 40.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(15), Duration::from_millis(60));

/// Time after a refusal during which connections are opened one at a time.
const SERIAL_PERIOD: Duration = Duration::from_millis(1_000);

/// Time for which an instance counts as locked out after a refusal of its first connection.
const LOCKED_OUT_PERIOD: Duration = Duration::from_millis(600);

/// Statements that one of `holders` may have in flight at an upstream that runs `slots` at
/// once. Unlimited if the upstream reports no slots.
///
/// Statements beyond the slots wait in the upstream's own queue in order of arrival, and
/// once that is full all are refused: with 16 statements from each of four holders at three
/// slots and a queue of 24, 260 were refused within two seconds after a network partition.
/// So the excess waits here instead, in the order of [`crate::queue`]. All holders together
/// send [`STATEMENTS_PER_SLOT`] times as many statements as run at once.
///
/// ```
/// use admit::budget::window;
/// assert_eq!(window(3, 1), 3);
/// assert_eq!(window(3, 6), 2);
/// assert_eq!(window(16, 32), 2);
/// assert_eq!(window(0, 4), usize::MAX);
/// ```
pub fn window(slots: usize, holders: usize) -> usize {
    if slots == 0 {
        return usize::MAX;
    }
    let share = slots
        .saturating_mul(STATEMENTS_PER_SLOT)
        .div_ceil(holders.max(1));
    share.min(slots).max(MIN_WINDOW)
}

/// Statements of all holders in flight for each slot, unless [`MIN_WINDOW`] each are more.
const STATEMENTS_PER_SLOT: usize = 3;

/// Fewest statements of one instance: one in transit while another runs.
const MIN_WINDOW: usize = 2;

/// Decision on opening a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Open it now.
    Now,
    /// Open it at this moment at the earliest.
    Wait(Instant),
    /// Wait until a pending connection is established or an open one is closed.
    Blocked,
}

/// Connection budget of one instance at one upstream, with backoff after refusals.
#[derive(Debug, Default)]
pub struct Budget {
    refusals: u32,
    last_refusal: Option<Instant>,
    blocked_until: Instant,
    locked_out: Option<(Instant, Instant)>,
}

impl Budget {
    /// Decides on one more connection, where `open` are open or pending, `opening` of them
    /// pending, and the instance may have `limit`.
    pub fn check(&self, now: Instant, open: usize, opening: usize, limit: usize) -> Decision {
        if open >= limit.max(1) {
            return Decision::Blocked;
        }
        let is_recent = self.last_refusal.is_some_and(|at| at + SERIAL_PERIOD > now);
        if is_recent && opening > 0 {
            return Decision::Blocked;
        }
        match now < self.blocked_until {
            true => Decision::Wait(self.blocked_until),
            false => Decision::Now,
        }
    }

    /// Records that the upstream refused a connection while `open` were open here. `jitter`,
    /// between zero and one, spreads the retries of many instances.
    pub fn record_refusal(&mut self, now: Instant, open: usize, jitter: f64) {
        let backoff = (BACKOFF.0 * 2_u32.saturating_pow(self.refusals)).min(BACKOFF.1);
        self.refusals = (self.refusals + 1).min(8);
        self.last_refusal = Some(now);
        self.blocked_until = now + backoff.mul_f64(1.0 + jitter);
        if open == 0 {
            let since = self.locked_out_since(now).unwrap_or(now);
            self.locked_out = Some((since, now));
        }
    }

    /// Records that a connection was opened.
    pub fn record_success(&mut self) {
        self.refusals = 0;
        self.locked_out = None;
    }

    /// Start of the period in which the instance's first connection has been refused
    /// repeatedly; `None` if the instance is not locked out at `now`.
    pub fn locked_out_since(&self, now: Instant) -> Option<Instant> {
        let (since, last) = self.locked_out?;
        (last + LOCKED_OUT_PERIOD > now).then_some(since)
    }
}
