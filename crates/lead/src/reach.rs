//! How far the log of an upstream reaches, and when it will have reached a position.
//!
//! Load pattern: one of two replicas is lost and the other one is 150 ms behind. Sessions that
//! just wrote ask for their own commits, and each of these reads is refused there. The refusal
//! concerns their floors only: reads of older data must go on running on the replica, or the
//! primary has no slots left for writes.
//!
//! Every answer of an upstream carries the position of its log. Together with the positions of
//! the primary ([`Samples`]) it tells how far the upstream is behind. The estimates choose where
//! to ask; what a read may show is checked by the upstream, against the floor that goes with it.

use std::time::Duration;

use clock::Instant;
use model::{Lsn, Position};

use crate::Samples;

/// Age from which an answer no longer tells how far an upstream is behind.
const REPORT_TTL: Duration = Duration::from_secs(1);

/// Delay beyond the usual lag from which an upstream counts as not receiving.
const STALL_AFTER: Duration = Duration::from_millis(100);

/// Shortest and longest time after which a late position is asked for again.
const RETRY: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(640));

/// The furthest position that an upstream told.
#[derive(Debug, Clone, Copy)]
struct Report {
    /// Latest question after which the log still ended there.
    asked: Instant,
    answered: Instant,
    position: Position,
}

impl Report {
    /// Returns the time for which the log has lacked a position that the primary had.
    fn behind(&self, samples: &Samples) -> Duration {
        let passed = samples.reached_at(successor(self.position));
        passed.map_or(Duration::ZERO, |passed| self.asked.since(passed))
    }
}

/// What the answers of one upstream tell of its log.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reach {
    since: Instant,
    last: Option<Report>,
    lag: Duration,
    questioned: Instant,
}

/// When a log has a position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Estimate {
    /// The log has reached the position.
    Reached,
    /// The log is expected to reach the position at this moment.
    Expected(Instant),
    /// Nothing is known that can be relied on; from this moment on an attempt is worth a read.
    Unknown(Instant),
}

impl Estimate {
    /// Returns the moment from which a read that needs the position may be sent.
    pub fn ready_at(self) -> Instant {
        match self {
            Self::Reached => Instant::ZERO,
            Self::Expected(at) | Self::Unknown(at) => at,
        }
    }
}

impl Reach {
    /// Forgets everything: the primary was replaced, and logs may be truncated.
    pub fn reset(&mut self, now: Instant) {
        *self = Self {
            since: now,
            ..Self::default()
        };
    }

    /// Records that a question was sent.
    pub fn ask(&mut self, now: Instant) {
        self.questioned = self.questioned.max(now);
    }

    /// Returns the position that the upstream told last.
    pub fn position(&self) -> Option<Position> {
        self.last.map(|last| last.position)
    }

    /// Returns how far the upstream was behind when its log last grew.
    pub fn lag(&self) -> Duration {
        self.lag
    }

    /// Records the position in the answer to a question.
    ///
    /// ```
    /// use std::time::Duration;
    /// use clock::Instant;
    /// use lead::{Samples, reach::{Estimate, Reach}};
    /// use model::{Position, Term};
    ///
    /// // The primary commits once each millisecond, and a replica is 150 ms behind.
    /// let at = Instant::from_millis;
    /// let mut samples = Samples::default();
    /// for ms in (0..=1_000).step_by(50) {
    ///     samples.record(Term(1), at(ms), Position::new(1, ms), Duration::from_secs(10));
    /// }
    /// let mut reach = Reach::default();
    /// reach.record((at(900), at(900)), Position::new(1, 750), &samples);
    /// let expect = |lsn| reach.expect(Position::new(1, lsn), at(1_000), at(1_000), &samples);
    /// assert_eq!(expect(700), Estimate::Reached);
    /// let Estimate::Expected(ready) = expect(950) else { panic!() };
    /// assert!(ready >= at(1_090) && ready <= at(1_110));
    /// ```
    pub fn record(
        &mut self,
        (asked, answered): (Instant, Instant),
        position: Position,
        samples: &Samples,
    ) {
        if asked < self.since {
            return;
        }
        let report = Report {
            asked,
            answered,
            position,
        };
        let Some(last) = self.last else {
            self.lag = report.behind(samples);
            self.last = Some(report);
            return;
        };
        if position < last.position {
            // An answer that was overtaken tells nothing new; a later one means a shorter log.
            if asked >= last.answered {
                self.last = Some(report);
            }
            return;
        }
        let next = Report {
            asked: asked.max(last.asked),
            answered: answered.max(last.answered),
            position,
        };
        if position > last.position {
            let longest = samples
                .reached_at(position)
                .map_or(Duration::MAX, |at| answered.since(at));
            let shortest = last.behind(samples).min(longest).max(next.behind(samples));
            self.lag = self.lag.min(longest).max(shortest);
        }
        self.last = Some(next);
    }

    /// Estimates when the log has reached `floor`, which the primary had by `known_at`.
    pub fn expect(
        &self,
        floor: Position,
        known_at: Instant,
        now: Instant,
        samples: &Samples,
    ) -> Estimate {
        let Some(last) = self.last else {
            return Estimate::Unknown(Instant::ZERO);
        };
        if last.position.covers(floor) {
            return Estimate::Reached;
        }
        let had_at = |position| samples.reached_at(position).unwrap_or(known_at);
        let committed = had_at(floor).min(known_at);
        let missing = had_at(successor(last.position)).min(committed);
        let late = last.asked.since(missing + self.lag);
        let is_outdated = last.asked + REPORT_TTL < now;
        if late.is_zero() {
            return match is_outdated {
                true => Estimate::Unknown(last.asked),
                false => Estimate::Expected(committed + self.lag),
            };
        }
        let retry = last.asked + late.clamp(RETRY.0, RETRY.1);
        if late <= STALL_AFTER && !is_outdated {
            return Estimate::Expected(retry.max(committed + self.lag + late));
        }
        // One question at a time is enough to notice that the log grows again.
        let is_asked = self.questioned > last.asked;
        Estimate::Unknown(match is_asked {
            true => retry.max(self.questioned + RETRY.1),
            false => retry,
        })
    }
}

fn successor(position: Position) -> Position {
    Position {
        lsn: Lsn(position.lsn.0.saturating_add(1)),
        ..position
    }
}
