//! Generates the lag of a replica over time.

use std::time::Duration;

use clock::Instant;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(1);

/// The shape of a replica's lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lag {
    /// About 5 ms, with jitter.
    Steady,
    /// Like [`Lag::Steady`], with occasional stalls of seconds, then catching up.
    Stalls,
    /// Varies between 1.5 s and 2.5 s, around the age bound of calendar reads.
    Edge,
    /// At least 30 s at all times.
    Far,
    /// Grows by 20 ms in each second, then falls back at once.
    Sawtooth,
}

/// The time whose data the replica shows, for each millisecond.
#[derive(Debug, Clone)]
pub(crate) struct Trace {
    shown: Vec<Instant>,
}

impl Trace {
    pub(crate) fn new(lag: Lag, length: Duration, rng: &mut ChaCha8Rng) -> Self {
        let steps = u64::try_from(length.as_millis()).unwrap_or(0);
        let mut shown = Vec::new();
        let mut last = Instant::ZERO;
        let mut stalled = 0_u32;
        for step in 0..steps {
            let now = Instant::from_millis(step);
            let jitter = Duration::from_micros(rng.random_range(2_000..8_000));
            let target = match lag {
                Lag::Steady => now - jitter,
                Lag::Stalls => {
                    if stalled == 0 && rng.random_range(0..20_000) == 0 {
                        stalled = rng.random_range(2_000..6_000);
                    }
                    if stalled > 0 {
                        stalled -= 1;
                        last
                    } else {
                        (last + STEP * 3).min(now - jitter)
                    }
                }
                Lag::Edge => {
                    let phase = (step as f64 / 10_000.0 * std::f64::consts::TAU).sin();
                    now - Duration::from_secs_f64(2.0 + 0.5 * phase) - jitter
                }
                Lag::Far => now - Duration::from_secs(30) - jitter,
                Lag::Sawtooth => now - jitter - Duration::from_millis(step % 1_000 / 50),
            };
            last = last.max(target);
            shown.push(last);
        }
        Self { shown }
    }

    /// Returns the time whose data a statement that runs at `now` sees.
    pub(crate) fn shown(&self, now: Instant) -> Instant {
        let at = usize::try_from(now.as_micros() / 1_000).unwrap_or(usize::MAX);
        self.shown[at.min(self.shown.len() - 1)]
    }

    /// Returns the first time at or after `from` at which the data of `moment` is shown
    /// and the data shown is at most `bound` old.
    pub(crate) fn ready(
        &self,
        from: Instant,
        moment: Instant,
        bound: Option<Duration>,
    ) -> Option<Instant> {
        let start = usize::try_from(from.as_micros() / 1_000).unwrap_or(usize::MAX);
        let fresh = |at: &usize| {
            let now = Instant::from_millis(*at as u64 + 1);
            let young = bound.is_none_or(|bound| now.since(self.shown[*at]) <= bound);
            self.shown[*at] >= moment && young
        };
        let at = (start..self.shown.len()).take(2_000).find(fresh)?;
        Some(from.max(Instant::from_millis(at as u64)))
    }
}
