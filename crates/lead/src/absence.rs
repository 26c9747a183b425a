//! Decides when an upstream without an entry in the list counts as ended.
//!
//! An entry may be lost for long though its upstream lives, as when the upstream is cut off from
//! the store. Such an upstream may still prove a primary to an instance that can't read the record,
//! so its vote counts until it has also stopped to answer.

use std::time::Duration;

use clock::Instant;

/// Time for which an upstream that was not leaving may return to the list.
pub const RETURN_TIME: Duration = Duration::from_secs(15);

/// Time limit of a question.
pub const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Time without an answer after which an upstream without an entry may count as ended. One whose
/// questions are lost for a moment does not.
pub const SILENCE: Duration = Duration::from_millis(2_500);

/// How an upstream left the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// It was about to leave.
    Announced,
    /// It was ready: its entry may have expired though the upstream is alive.
    Unannounced,
}

/// The absence of an upstream from the list.
///
/// ```
/// use std::time::Duration;
/// use clock::Instant;
/// use lead::absence::{Absence, Departure, RETURN_TIME};
///
/// let at = Instant::from_millis;
/// let mut absence = Absence::new(Departure::Unannounced, at(1_000));
/// assert_eq!(absence.ended_at(), None, "it was not asked");
/// absence.note_silence(at(2_000), at(2_300));
/// assert_eq!(absence.ended_at(), Some(at(1_000) + RETURN_TIME));
/// absence.note_answer(at(3_000));
/// assert_eq!(absence.ended_at(), None);
/// absence.note_silence(at(4_000), at(4_300));
/// assert_eq!(absence.ended_at(), Some(at(3_000) + RETURN_TIME));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Absence {
    departure: Departure,
    since: Instant,
    answered: Option<Instant>,
    /// Start of the first question without an answer since the last answer.
    silent_since: Option<Instant>,
}

impl Absence {
    /// The absence of an upstream that left the list at `since`.
    pub fn new(departure: Departure, since: Instant) -> Self {
        Self {
            departure,
            since,
            answered: None,
            silent_since: None,
        }
    }

    /// Records an answer to a question that was sent at `sent`. Returns true if it is the first
    /// one of this absence.
    pub fn note_answer(&mut self, sent: Instant) -> bool {
        let before = self.answered;
        self.answered = before.max(Some(sent));
        self.silent_since = None;
        before.is_none()
    }

    /// Records at `now` that a question that was sent at `sent` was not answered.
    ///
    /// An instance that was suspended meanwhile may have missed the answer, so no more than the
    /// question's time limit counts.
    pub fn note_silence(&mut self, sent: Instant, now: Instant) {
        let is_overtaken = self.answered.is_some_and(|answered| answered >= sent);
        if !is_overtaken {
            let from = sent.max(now - ANSWER_TIME);
            self.silent_since = Some(self.silent_since.map_or(from, |since| since.min(from)));
        }
    }

    /// Returns true if the upstream announced that it leaves.
    pub fn is_announced(&self) -> bool {
        self.departure == Departure::Announced
    }

    /// Returns true if the upstream answers without an entry.
    pub fn answers(&self) -> bool {
        self.answered.is_some() && self.silent_since.is_none()
    }

    /// Returns true if the upstream is silent and doesn't count as ended yet, so that nothing depends
    /// on a further question at `now`.
    pub fn is_awaited(&self, now: Instant) -> bool {
        self.ended_at().is_some_and(|ended_at| now < ended_at)
    }

    /// Returns true if, at `now`, the upstream has neither been listed nor answered for [`RETURN_TIME`].
    pub fn is_return_overdue(&self, now: Instant) -> bool {
        self.last_seen() + RETURN_TIME <= now
    }

    /// The last time at which the upstream was listed, or sent a question that it answered.
    fn last_seen(&self) -> Instant {
        self.answered.map_or(self.since, |at| at.max(self.since))
    }

    /// Returns the moment from which the upstream counts as ended; `None` while no question since
    /// its last answer has remained without one.
    ///
    /// One silent question suffices for an upstream that announced that it leaves, and that has not
    /// answered since.
    pub fn ended_at(&self) -> Option<Instant> {
        let silent_since = self.silent_since?;
        Some(match (self.departure, self.answered) {
            (Departure::Announced, None) => silent_since,
            (Departure::Announced, Some(_)) => silent_since + SILENCE,
            (Departure::Unannounced, _) => {
                (self.last_seen() + RETURN_TIME).max(silent_since + SILENCE)
            }
        })
    }
}
