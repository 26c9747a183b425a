//! What a fault says of the call it befell.

use store::Fault;

fn refused(code: i64) -> Fault {
    let message = String::new();
    Fault::Refused { code, message }
}

/// Symptom: a swap of a primary's record was told as not run and was made
/// again, over a record that it had itself written. Events: the store proposed
/// the swap, lost its leader, and answered code 14, "request timed out"; the
/// new leader then committed it. Cause: every refusal counted as proof that
/// the call had not run.
#[test]
fn only_some_codes_prove_that_a_call_did_not_run() {
    let proofs = [3, 5, 7, 8, 9, 11, 12, 16];
    for code in 0..=17 {
        let proved = proofs.contains(&code);
        assert_eq!(refused(code).may_have_run(), !proved, "code {code}");
    }
}

#[test]
fn only_unsent_calls_and_compacted_watches_did_not_run() {
    let endpoint = String::new();
    assert!(!Fault::Unreachable { endpoint }.may_have_run());
    assert!(!Fault::Compacted { revision: 1 }.may_have_run());
    assert!(Fault::Lost.may_have_run());
    assert!(Fault::Malformed { what: "" }.may_have_run());
}
