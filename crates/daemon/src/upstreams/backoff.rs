//! Backoff between position polls of one upstream.

use std::time::Duration;

use model::Position;

#[cfg(test)]
mod tests;

/// Pause after the first poll that finds the log unchanged; doubled up to
/// [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_micros(250);

/// Longest pause between two polls.
pub(super) const MAX_PAUSE: Duration = Duration::from_millis(4);

/// The backoff of the position polls of one upstream while writes wait.
#[derive(Debug)]
pub(super) struct Backoff {
    pause: Duration,
    last: Option<Position>,
}

impl Backoff {
    /// Creates the state before the first poll.
    pub(super) fn open() -> Self {
        Self {
            pause: FIRST_PAUSE,
            last: None,
        }
    }

    /// Returns the pause before the next poll. `held` is the position that the
    /// last poll returned, or `None` if it failed.
    ///
    /// There is no pause while the log advances. If the pause grew for as long
    /// as any write waits, continuous writes would keep it at its maximum and
    /// each of them would wait that long for its acknowledgement.
    pub(super) fn next(&mut self, held: Option<Position>) -> Duration {
        if held.is_none() {
            return MAX_PAUSE;
        }
        if held != self.last {
            self.last = held;
            self.pause = FIRST_PAUSE;
            return Duration::ZERO;
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(MAX_PAUSE);
        pause
    }
}
