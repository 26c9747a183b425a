//! When one more connection to an upstream may be opened.
//!
//! The load pattern: an upstream takes few connections from all instances together, and
//! for a while it takes none: it still counts those of instances that lost power, or all
//! are in use. Every instance wants one and tries again.

use std::time::Duration;

use clock::Instant;

/// The pause behind the first refusal, and how far it grows.
///
/// The first is about as long as an upstream needs to greet a connection (12 ms), so
/// that a place which gets free is found soon; the last bounds the refusals of one
/// instance at one upstream to 17 a second where a fixed pause of 15 to 35 ms came to 40.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(15), Duration::from_millis(60));

/// How long behind a refusal connections are opened one by one.
const SERIAL_PERIOD: Duration = Duration::from_millis(1_000);

/// How long an instance that was refused its first connection counts as starved.
const LOCKED_OUT_PERIOD: Duration = Duration::from_millis(600);

/// How many statements one of `holders` may have at an upstream that runs `slots` at once.
///
/// What is sent beyond that waits in the upstream's own queue, in the order of arrival,
/// and once it is full everything is refused: with 16 from each of four holders before
/// three slots and a queue of 24, statements were refused 260 times in the two seconds
/// behind a cut. Here they wait in an order of their own ([`crate::queue`]). All holders
/// together send [`AHEAD`] times as many as run: where five sent three each to three
/// slots, 0.764 of the worth was earned, with two each 0.773 and 0.776. Who does not say
/// how many it runs is sent any number.
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

/// How many statements all holders have at an upstream for each that it runs, unless two
/// each are more.
const STATEMENTS_PER_SLOT: usize = 3;

/// The fewest statements of one instance: one on its way there while another runs.
const MIN_WINDOW: usize = 2;

/// Whether a connection may be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Now.
    Now,
    /// Not before this moment.
    Wait(Instant),
    /// Not before one that is being opened is there, or one is closed.
    Blocked,
}

/// The connections of one instance to one upstream, as far as opening them goes.
#[derive(Debug, Default)]
pub struct Budget {
    refusals: u32,
    last_refusal: Option<Instant>,
    blocked_until: Instant,
    locked_out: Option<(Instant, Instant)>,
}

impl Budget {
    /// Whether one more connection may be opened, when `open` are open or being opened,
    /// `opening` of them being opened, and the instance may have `limit`.
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

    /// Takes in that the upstream takes no more, when `open` are open here. `chance`,
    /// between zero and one, spreads the next tries of many instances.
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

    /// Takes in that a connection was opened.
    pub fn record_success(&mut self) {
        self.refusals = 0;
        self.locked_out = None;
    }

    /// Since when the instance has been refused its first connection, again and again.
    pub fn locked_out_since(&self, now: Instant) -> Option<Instant> {
        let (since, last) = self.locked_out?;
        (last + LOCKED_OUT_PERIOD > now).then_some(since)
    }
}
