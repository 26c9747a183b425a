//! How far a replica's replay is behind, as a trace over time.

use std::time::Duration;

use clock::Instant;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::net::exponential;

/// The usual delay from a commit to its replay.
const BASE: Duration = Duration::from_millis(4);
/// The mean time between two short stalls: a vacuum, a long query.
const STALLS: f64 = 10.0;
/// The longest short stall.
const MAX_STALL: f64 = 0.8;
/// The mean time between two long spells of slow replay.
const SPELLS: f64 = 60.0;
/// The longest slow spell.
const MAX_SPELL: f64 = 25.0;
/// How fast replay goes in a slow spell.
const SLOW: f64 = 0.2;
/// How fast it catches up.
const CATCH_UP: f64 = 4.0;

/// A piece of the trace: from `at` on, replay stands at `shown` and moves on at
/// `pace` times the primary's.
#[derive(Debug, Clone, Copy)]
struct Piece {
    at: f64,
    shown: f64,
    pace: f64,
}

/// The trace of one replica.
#[derive(Debug)]
pub struct Lag {
    pieces: Vec<Piece>,
}

impl Lag {
    /// Makes the trace of a replica up to `end`.
    pub fn new(rng: &mut ChaCha8Rng, end: Duration) -> Self {
        let base = BASE.as_secs_f64();
        let mut lag = Self {
            pieces: vec![Piece {
                at: 0.0,
                shown: -base,
                pace: 1.0,
            }],
        };
        let mut now = 0.0;
        while now < end.as_secs_f64() {
            now += exponential(rng, 1.0 / (1.0 / STALLS + 1.0 / SPELLS));
            let long = rng.random_bool(STALLS / (STALLS + SPELLS));
            now = match long {
                true => lag.fall_back(now, SLOW, MAX_SPELL * rng.random::<f64>()),
                false => lag.fall_back(now, 0.0, MAX_STALL * rng.random::<f64>()),
            };
        }
        lag
    }

    /// Replays slowly for `span`, then catches up; returns when it has.
    fn fall_back(&mut self, at: f64, pace: f64, span: f64) -> f64 {
        let base = BASE.as_secs_f64();
        let shown = at - base;
        let behind = (1.0 - pace) * span;
        let caught = at + span + behind / (CATCH_UP - 1.0);
        self.pieces.push(Piece { at, shown, pace });
        self.pieces.push(Piece {
            at: at + span,
            shown: shown + pace * span,
            pace: CATCH_UP,
        });
        self.pieces.push(Piece {
            at: caught,
            shown: caught - base,
            pace: 1.0,
        });
        caught
    }

    /// The moment of the primary whose state the replica shows at `now`.
    pub fn shown(&self, now: Instant) -> Instant {
        let now = now.as_micros() as f64 / 1e6;
        let next = self.pieces.partition_point(|piece| piece.at <= now);
        let piece = self.pieces[next.saturating_sub(1)];
        let shown = piece.shown + piece.pace * (now - piece.at);
        Instant::from_micros((shown.max(0.0) * 1e6) as u64)
    }
}
