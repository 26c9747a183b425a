//! Guarantees of a proof under any order of requests, answers and suspensions.

use std::time::Duration;

use clock::Instant;
use lead::{Proof, proof::all_expired_at};
use proptest::prelude::*;

const SPAN: Duration = Duration::from_millis(600);

/// Request to the store: moments of sending, of the read at the store and of the answer.
#[derive(Debug, Clone, Copy)]
struct Question {
    sent: u64,
    read_at: u64,
    answered: u64,
}

fn question() -> impl Strategy<Value = Question> {
    (0..5_000u64, 0..2_000u64, 0..4_000u64).prop_map(|(sent, there, back)| Question {
        sent,
        read_at: sent + there,
        answered: sent + there + back,
    })
}

proptest! {
    /// Guards against reads from a replaced primary, caused by a proof that outlives the wait
    /// before a promotion. Answers are late by any time, and instances stall between an answer
    /// and its use.
    #[test]
    fn no_proof_outlives_the_wait_before_a_promotion(
        questions in prop::collection::vec(question(), 1..20),
        announced in 0..8_000u64,
        used in 0..20_000u64,
    ) {
        let mut proof = Proof::default();
        // A read at the store after the announcement shows the replacement.
        for question in questions.iter().filter(|q| q.read_at < announced && q.answered <= used) {
            proof.extend(Instant::from_millis(question.sent), SPAN);
        }
        let promoted = all_expired_at(Instant::from_millis(announced), SPAN);
        if Instant::from_millis(used) >= promoted {
            prop_assert!(!proof.covers(Instant::from_millis(used)));
        }
    }

    /// Proves that the test above can fail: a proof counted from its answer outlives the wait.
    #[test]
    fn a_proof_counted_from_the_answer_outlives_the_wait(late in 700..4_000u64) {
        let mut proof = Proof::default();
        let (announced, answered) = (1_000, 1_000 + late);
        proof.extend(Instant::from_millis(answered), SPAN);
        let promoted = all_expired_at(Instant::from_millis(announced), SPAN);
        prop_assert!(proof.covers(promoted));
    }
}

#[test]
fn an_invalidated_proof_covers_nothing() {
    let mut proof = Proof::default();
    proof.extend(Instant::from_millis(100), SPAN);
    assert!(proof.covers(Instant::from_millis(150)));
    proof.invalidate();
    assert!(!proof.covers(Instant::from_millis(0)));
}
