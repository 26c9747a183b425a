//! Upstreams without an entry in the list, and when they count as ended.

use std::time::Duration;

use clock::Instant;
use lead::absence::{ANSWER_TIME, Absence, Departure, RETURN_TIME, SILENCE};
use proptest::prelude::*;

const LOST_AT: Instant = Instant::from_millis(100_000);
const INTERVAL: Duration = Duration::from_secs(1);

/// Asks once a second; `answers` tells which question is answered. Returns the absence, and the
/// send time of the last question.
fn asked(departure: Departure, answers: &[bool]) -> (Absence, Instant) {
    let mut absence = Absence::new(departure, LOST_AT);
    let mut sent = LOST_AT;
    for is_answered in answers {
        sent = sent + INTERVAL;
        match is_answered {
            true => {
                absence.note_answer(sent);
            }
            false => absence.note_silence(sent, sent + ANSWER_TIME),
        }
    }
    (absence, sent)
}

/// Guards against the replacement of a voter that is cut off from the store, and that proves a
/// replaced primary to an instance that is cut off as well.
#[test]
fn a_voter_that_answers_without_an_entry_never_counts_as_ended() {
    let (absence, _) = asked(Departure::Unannounced, &[true; 60]);
    assert_eq!(absence.ended_at(), None);
    assert!(absence.answers());
}

/// Guards against a group that waits for a lost voter for longer than before it was asked.
#[test]
fn a_voter_that_never_answers_ends_with_the_time_to_return() {
    let (absence, _) = asked(Departure::Unannounced, &[false; 5]);
    assert_eq!(absence.ended_at(), Some(LOST_AT + RETURN_TIME));
    assert!(absence.is_awaited(LOST_AT + RETURN_TIME - INTERVAL));
    assert!(!absence.is_awaited(LOST_AT + RETURN_TIME));
    let (absence, sent) = asked(Departure::Announced, &[false]);
    assert_eq!(absence.ended_at(), Some(sent));
}

/// Guards against a voter that is taken for ended because an instance was suspended while the voter
/// answered, and its first question then was lost.
#[test]
fn a_single_lost_question_is_no_end() {
    let mut absence = Absence::new(Departure::Unannounced, LOST_AT);
    absence.note_answer(LOST_AT + INTERVAL);
    let sent = LOST_AT + RETURN_TIME * 2;
    absence.note_silence(sent, sent + ANSWER_TIME);
    assert_eq!(absence.ended_at(), Some(sent + SILENCE));
}

/// Guards against a voter that is taken for ended because an instance was suspended during a
/// question and so missed the answer.
#[test]
fn a_suspension_during_a_question_is_no_end() {
    let mut absence = Absence::new(Departure::Unannounced, LOST_AT);
    let sent = LOST_AT + INTERVAL;
    absence.note_answer(sent);
    let resumed = sent + RETURN_TIME * 2;
    absence.note_silence(sent + INTERVAL, resumed);
    assert!(absence.is_awaited(resumed));
    absence.note_answer(resumed + INTERVAL);
    assert_eq!(absence.ended_at(), None);
}

/// Guards against an answer that is voided by an older question whose time limit ends later.
#[test]
fn a_question_from_before_an_answer_tells_nothing() {
    let mut absence = Absence::new(Departure::Announced, LOST_AT);
    assert!(absence.note_answer(LOST_AT + INTERVAL));
    absence.note_silence(LOST_AT, LOST_AT + INTERVAL * 2);
    assert_eq!(absence.ended_at(), None);
    assert!(!absence.note_answer(LOST_AT + INTERVAL * 2));
}

proptest! {
    /// An upstream counts as ended only behind a question without an answer, and each answer begins
    /// the wait anew.
    #[test]
    fn no_upstream_ends_within_its_wait_behind_an_answer(
        answers in prop::collection::vec(any::<bool>(), 0..40),
        leaves in any::<bool>(),
    ) {
        let (departure, wait) = match leaves {
            true => (Departure::Announced, SILENCE),
            false => (Departure::Unannounced, RETURN_TIME),
        };
        let (absence, sent) = asked(departure, &answers);
        let ended_at = absence.ended_at();
        prop_assert_eq!(ended_at.is_none(), answers.last() != Some(&false));
        let silent = answers.iter().rev().take_while(|answered| !**answered).count();
        let answered = sent - INTERVAL * u32::try_from(silent).unwrap();
        if let Some(ended_at) = ended_at.filter(|_| answers.contains(&true)) {
            prop_assert!(ended_at >= answered + wait);
            prop_assert!(ended_at <= answered + INTERVAL + wait.max(SILENCE));
        }
    }
}
