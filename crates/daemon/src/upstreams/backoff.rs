//! How soon an upstream is asked again for its position.

use std::time::Duration;

use model::Position;

#[cfg(test)]
mod tests;

/// The first pause when an upstream's log stands; doubled up to the most.
const FIRST_PAUSE: Duration = Duration::from_micros(250);

/// The longest pause.
pub(super) const MAX_PAUSE: Duration = Duration::from_millis(4);

/// The pauses between questions to one upstream, while writes wait.
#[derive(Debug)]
pub(super) struct Backoff {
    pause: Duration,
    last: Option<Position>,
}

impl Backoff {
    /// Begins with an upstream of which nothing is known.
    pub(super) fn open() -> Self {
        Self {
            pause: FIRST_PAUSE,
            last: None,
        }
    }

    /// The pause before the next question, when the last one brought `held`;
    /// `None` when it brought no answer.
    ///
    /// While the log moves there is none. Were the pause to grow as long as any
    /// write waits, callers that write all the time would keep it at its most,
    /// and each write would wait that long for a replica that holds it.
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
