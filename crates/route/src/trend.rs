//! Whether a replica is catching up, keeping pace or falling behind.

use std::time::Duration;

use clock::Instant;

const WINDOW: Duration = Duration::from_millis(50);
const WEIGHT: f64 = 0.3;
const MAX_PACE: f64 = 10.0;
const STALLED: f64 = 0.05;

/// How fast the moment that a replica shows moves, per second of real time.
///
/// 1 keeps pace with the primary, more catches up, less falls behind.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Trend {
    base: Option<(Instant, Instant)>,
    pace: f64,
    delay: Duration,
}

/// Where a replica stood among the rounds when it was asked.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sight {
    /// When it was asked.
    pub(crate) sent: Instant,
    /// The first round at which the primary had what the replica shows.
    pub(crate) reached: Instant,
    /// The first round that the replica has not reached, if any.
    pub(crate) missed: Option<Instant>,
}

impl Trend {
    pub(crate) fn new() -> Self {
        Self {
            base: None,
            pace: 1.0,
            delay: Duration::ZERO,
        }
    }

    /// The replica showed the data of `as_of` when the newest round was
    /// `newest`. Both ends are rounds, so that a pause in the rounds, as
    /// during a change of primary, does not pass for a replica that stalls.
    pub(crate) fn step(&mut self, newest: Instant, as_of: Instant) {
        let Some((last_newest, last_as_of)) = self.base else {
            self.base = Some((newest, as_of));
            return;
        };
        let span = newest.since(last_newest);
        if span < WINDOW {
            return;
        }
        let moved = as_of.since(last_as_of).as_secs_f64();
        let pace = (moved / span.as_secs_f64()).min(MAX_PACE);
        self.pace += WEIGHT * (pace - self.pace);
        self.base = Some((newest, as_of));
    }

    /// Learns the usual delay from a sight of the replica.
    ///
    /// A round that it missed tells how late it is at least; one that it has
    /// reached, when it has missed none, how late it is at most.
    pub(crate) fn see(&mut self, sight: Sight) {
        let bound = match sight.missed {
            Some(missed) => sight.sent.since(missed).max(self.delay),
            None => sight.sent.since(sight.reached).min(self.delay),
        };
        let moved = self.delay.as_secs_f64() * (1.0 - WEIGHT) + bound.as_secs_f64() * WEIGHT;
        self.delay = Duration::from_secs_f64(moved);
    }

    /// Whether the replica was only as late as usual.
    pub(crate) fn usual(self, sight: Sight) -> bool {
        let late = sight.missed.map(|missed| sight.sent.since(missed));
        late.is_none_or(|late| late <= self.delay + WINDOW)
    }

    /// How late the replica usually is.
    pub(crate) fn delay(self) -> Duration {
        self.delay
    }

    /// How far it will have come after `span`, at no more than real time's
    /// pace: a guess that is too high would be paid with a discarded answer.
    pub(crate) fn ahead(self, span: Duration) -> Duration {
        span.mul_f64(self.pace.min(1.0))
    }

    /// How long it takes to show `gap` more, or `None` when it does not move.
    pub(crate) fn wait(self, gap: Duration) -> Option<Duration> {
        (self.pace > STALLED).then(|| gap.div_f64(self.pace))
    }
}
