//! Whether a replica is catching up, keeping pace or falling behind.

use std::time::Duration;

use clock::Instant;

const MIN_SPAN: Duration = Duration::from_millis(50);
const WEIGHT: f64 = 0.3;
const MAX_PACE: f64 = 10.0;
const MIN_PACE: f64 = 0.05;

/// How fast the moment that a replica shows moves, per second of real time.
///
/// 1 keeps pace with the primary, more catches up, less falls behind.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Trend {
    last: Option<(Instant, Instant)>,
    pace: f64,
    delay: Duration,
}

/// Where a replica stood among the rounds when it was asked.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observation {
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
            last: None,
            pace: 1.0,
            delay: Duration::ZERO,
        }
    }

    /// The replica showed the data of `as_of` when the newest round was
    /// `newest`. Both ends are rounds, so that a pause in the rounds, as
    /// during a change of primary, does not pass for a replica that stalls.
    pub(crate) fn update_pace(&mut self, newest: Instant, as_of: Instant) {
        let Some((last_newest, last_as_of)) = self.last else {
            self.last = Some((newest, as_of));
            return;
        };
        let span = newest.since(last_newest);
        if span < MIN_SPAN {
            return;
        }
        let moved = as_of.since(last_as_of).as_secs_f64();
        let pace = (moved / span.as_secs_f64()).min(MAX_PACE);
        self.pace += WEIGHT * (pace - self.pace);
        self.last = Some((newest, as_of));
    }

    /// Learns the usual delay from an observation of the replica.
    ///
    /// A round that it missed tells how late it is at least; one that it has
    /// reached, when it has missed none, how late it is at most.
    pub(crate) fn update_delay(&mut self, observation: Observation) {
        let bound = match observation.missed {
            Some(missed) => observation.sent.since(missed).max(self.delay),
            None => observation.sent.since(observation.reached).min(self.delay),
        };
        let moved = self.delay.as_secs_f64() * (1.0 - WEIGHT) + bound.as_secs_f64() * WEIGHT;
        self.delay = Duration::from_secs_f64(moved);
    }

    /// Whether the replica was only as late as usual.
    pub(crate) fn is_usual(self, observation: Observation) -> bool {
        let observed = observation
            .missed
            .map(|missed| observation.sent.since(missed));
        observed.is_none_or(|observed| observed <= self.delay + MIN_SPAN)
    }

    /// How late the replica usually is.
    pub(crate) fn delay(self) -> Duration {
        self.delay
    }

    /// How far it will have come after `span`, at no more than real time's
    /// pace: a guess that is too high would be paid with a discarded answer.
    pub(crate) fn expected_progress(self, span: Duration) -> Duration {
        span.mul_f64(self.pace.min(1.0))
    }

    /// How long it takes to show `gap` more, or `None` when it does not move.
    pub(crate) fn time_to_cover(self, gap: Duration) -> Option<Duration> {
        (self.pace > MIN_PACE).then(|| gap.div_f64(self.pace))
    }
}
