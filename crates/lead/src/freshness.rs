//! How surely an instance knows what may be asked for.
//!
//! A key that was taken away must not be served for long, by no instance: neither by one that
//! is cut off, nor by one that stood still and wakes. So a key is served only under a proof:
//! at a moment that was noted *before* the question left, the store held nothing newer than
//! what is in force here. A request may be served for a span behind that moment, and what
//! counts is when the request came; what happens to it later does not matter.
//!
//! A proof is passed on with its age. Whoever asks counts back from its own question: between
//! the question and the moment for which the age was told only time can have passed, so a
//! relay that is late, stands still or was replaced makes the proof older and never younger.

use std::time::Duration;

use clock::Instant;
use serde::{Deserialize, Serialize};

/// The part of a span by which clocks of two machines may drift apart.
const DRIFT_DIVISOR: u32 = 50;

/// How far the store, or an instance, is with what the operators and all instances agreed on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermark {
    /// The catalogue's version.
    pub catalog: u64,
    /// The revision of the accounts' shares.
    pub shares: u64,
}

impl Watermark {
    /// Whether it is as far as `other` in everything.
    pub fn reaches(self, other: Self) -> bool {
        self.catalog >= other.catalog && self.shares >= other.shares
    }
}

/// The proof that nothing newer than what is in force was in the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    proved_at: Option<Instant>,
    pending: Option<(Watermark, Instant)>,
}

impl Freshness {
    /// Takes in that nothing newer than `newest` was in the store at `since`, while this
    /// instance has `have`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use clock::Instant;
    /// use lead::freshness::{Freshness, Watermark};
    ///
    /// let at = Instant::from_millis;
    /// let watermark = |catalog| Watermark { catalog, shares: 0 };
    /// let span = Duration::from_millis(5_000);
    /// let mut freshness = Freshness::default();
    /// freshness.update(watermark(7), at(100), watermark(7));
    /// assert!(freshness.covers(at(4_900), span));
    /// assert!(!freshness.covers(at(5_100), span));
    ///
    /// // What is not in force here proves nothing until it is.
    /// freshness.update(watermark(8), at(2_000), watermark(7));
    /// assert!(!freshness.covers(at(5_100), span));
    /// freshness.advance(watermark(8));
    /// assert!(freshness.covers(at(5_100), span));
    /// ```
    pub fn update(&mut self, newest: Watermark, since: Instant, have: Watermark) {
        if have.reaches(newest) {
            self.proved_at = self.proved_at.max(Some(since));
        } else if self.pending.is_none_or(|(_, earlier)| earlier < since) {
            self.pending = Some((newest, since));
        }
    }

    /// Takes in that this instance has `have` from now on.
    pub fn advance(&mut self, have: Watermark) {
        if let Some((newest, since)) = self.pending
            && have.reaches(newest)
        {
            self.proved_at = self.proved_at.max(Some(since));
            self.pending = None;
        }
    }

    /// What it waits for: something that the store has and this instance has not.
    pub fn pending(&self) -> Option<Watermark> {
        self.pending.map(|(newest, _)| newest)
    }

    /// How old the proof is at `now`.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proved_at.map(|since| now.since(since))
    }

    /// Whether a request that came at `moment` may be served, if a key may be served for
    /// `span` after it was taken away.
    pub fn covers(&self, moment: Instant, span: Duration) -> bool {
        let span = span - span / DRIFT_DIVISOR;
        self.proved_at.is_some_and(|since| moment < since + span)
    }
}

/// From when on a proof counts that was told for a question sent at `asked`, and was `age`
/// old when it was told.
pub fn valid_from(asked: Instant, age: Duration) -> Instant {
    asked - age
}
