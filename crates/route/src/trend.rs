//! Estimates the pace and the delay of a replica's replay.

use std::time::Duration;

use clock::Instant;

const WINDOW: Duration = Duration::from_millis(50);
const WEIGHT: f64 = 0.3;
const MAX_PACE: f64 = 10.0;
const MIN_PACE: f64 = 0.05;

/// Estimated pace and delay of a replica.
///
/// The pace is the progress of the data that the replica shows, in seconds per second
/// of real time: at 1 the replica keeps up with the primary, above 1 it catches up,
/// below 1 it falls behind.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Trend {
    last: Option<(Instant, Instant)>,
    pace: f64,
    delay: Duration,
}

/// The position of a replica among the confirmed rounds at a status query.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observation {
    /// Time at which the query was sent.
    pub(crate) sent: Instant,
    /// First round at which the primary had the data that the replica shows.
    pub(crate) reached: Instant,
    /// First round that the replica has not reached, if any.
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

    /// Updates the pace: the replica showed the data of `as_of` when the newest round
    /// was `newest`.
    ///
    /// Both are times of rounds, so that a pause in the rounds, for example during a
    /// change of primary, is not taken for a stall of the replica.
    pub(crate) fn update_pace(&mut self, newest: Instant, as_of: Instant) {
        let Some((last_newest, last_as_of)) = self.last else {
            self.last = Some((newest, as_of));
            return;
        };
        let span = newest.since(last_newest);
        if span < WINDOW {
            return;
        }
        let moved = as_of.since(last_as_of).as_secs_f64();
        let pace = (moved / span.as_secs_f64()).min(MAX_PACE);
        self.pace += WEIGHT * (pace - self.pace);
        self.last = Some((newest, as_of));
    }

    /// Updates the usual delay from an observation of the replica.
    ///
    /// The first round that the replica has missed gives a lower limit of its delay.
    /// If it has missed none, the round that it has reached gives an upper limit.
    pub(crate) fn update_delay(&mut self, observation: Observation) {
        let bound = match observation.missed {
            Some(missed) => observation.sent.since(missed).max(self.delay),
            None => observation.sent.since(observation.reached).min(self.delay),
        };
        let moved = self.delay.as_secs_f64() * (1.0 - WEIGHT) + bound.as_secs_f64() * WEIGHT;
        self.delay = Duration::from_secs_f64(moved);
    }

    /// Returns true if the replica was no later than usual.
    pub(crate) fn is_usual(self, observation: Observation) -> bool {
        let observed = observation
            .missed
            .map(|missed| observation.sent.since(missed));
        observed.is_none_or(|observed| observed <= self.delay + WINDOW)
    }

    /// Returns the usual delay of the replica.
    pub(crate) fn delay(self) -> Duration {
        self.delay
    }

    /// Returns the expected progress of the replica in `span`, at most `span` itself: an
    /// estimate that is too high would cost a discarded answer.
    pub(crate) fn expected_progress(self, span: Duration) -> Duration {
        span.mul_f64(self.pace.min(1.0))
    }

    /// Returns the expected time until the replica shows data newer by `gap`; `None` if
    /// the replica is stalled.
    pub(crate) fn time_to_cover(self, gap: Duration) -> Option<Duration> {
        (self.pace > MIN_PACE).then(|| gap.div_f64(self.pace))
    }
}
