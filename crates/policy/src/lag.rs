//! Replication lag of a replica as a function of time.

use std::time::Duration;

use clock::Instant;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::net::exponential;

/// Normal delay from a commit to its replay.
const BASE_LAG: Duration = Duration::from_millis(4);
/// Mean time between two short stalls, as caused by a vacuum or a long query.
const STALL_INTERVAL_S: f64 = 10.0;
/// Longest short stall.
const MAX_STALL_S: f64 = 0.8;
/// Mean time between two long periods of slow replay.
const SLOW_INTERVAL_S: f64 = 60.0;
/// Longest period of slow replay.
const MAX_SLOW_S: f64 = 25.0;
/// Replay rate in a slow period, relative to the primary's write rate.
const SLOW_PACE: f64 = 0.2;
/// Replay rate while catching up, relative to the primary's write rate.
const CATCH_UP_PACE: f64 = 4.0;

/// Segment of the trace: from `at` on, replay starts at `shown` and advances at
/// `pace` times the primary's rate.
#[derive(Debug, Clone, Copy)]
struct Segment {
    at: f64,
    shown: f64,
    pace: f64,
}

/// Replication lag trace of one replica.
#[derive(Debug)]
pub struct Lag {
    segments: Vec<Segment>,
}

impl Lag {
    /// Generates the trace of a replica up to `end`.
    pub fn new(rng: &mut ChaCha8Rng, end: Duration) -> Self {
        let base = BASE_LAG.as_secs_f64();
        let mut lag = Self {
            segments: vec![Segment {
                at: 0.0,
                shown: -base,
                pace: 1.0,
            }],
        };
        let mut now = 0.0;
        while now < end.as_secs_f64() {
            now += exponential(rng, 1.0 / (1.0 / STALL_INTERVAL_S + 1.0 / SLOW_INTERVAL_S));
            let is_slow = rng.random_bool(STALL_INTERVAL_S / (STALL_INTERVAL_S + SLOW_INTERVAL_S));
            now = match is_slow {
                true => lag.add_lag(now, SLOW_PACE, MAX_SLOW_S * rng.random::<f64>()),
                false => lag.add_lag(now, 0.0, MAX_STALL_S * rng.random::<f64>()),
            };
        }
        lag
    }

    /// Adds `span` of slow replay and the catch-up after it; returns when the
    /// replica has caught up.
    fn add_lag(&mut self, at: f64, pace: f64, span: f64) -> f64 {
        let base = BASE_LAG.as_secs_f64();
        let shown = at - base;
        let behind = (1.0 - pace) * span;
        let caught_up = at + span + behind / (CATCH_UP_PACE - 1.0);
        self.segments.push(Segment { at, shown, pace });
        self.segments.push(Segment {
            at: at + span,
            shown: shown + pace * span,
            pace: CATCH_UP_PACE,
        });
        self.segments.push(Segment {
            at: caught_up,
            shown: caught_up - base,
            pace: 1.0,
        });
        caught_up
    }

    /// Returns the time whose primary state the replica shows at `now`.
    pub fn shown(&self, now: Instant) -> Instant {
        let now = now.as_micros() as f64 / 1e6;
        let next = self.segments.partition_point(|segment| segment.at <= now);
        let segment = self.segments[next.saturating_sub(1)];
        let shown = segment.shown + segment.pace * (now - segment.at);
        Instant::from_micros((shown.max(0.0) * 1e6) as u64)
    }
}
