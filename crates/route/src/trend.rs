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
}

impl Trend {
    pub(crate) fn new() -> Self {
        Self {
            base: None,
            pace: 1.0,
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

    pub(crate) fn pace(self) -> f64 {
        self.pace
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
