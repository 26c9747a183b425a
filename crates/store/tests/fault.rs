//! Classification of faults by whether the call may have run.

use store::Fault;

fn refused(code: i64) -> Fault {
    let message = String::new();
    Fault::Refused { code, message }
}

/// Guards against a second swap over a record that the first swap had written. The store had
/// proposed the first swap, lost its leader and returned code 14 ("request timed out"), and
/// the new leader committed it; the refusal was taken as proof that the swap had not run.
#[test]
fn only_some_codes_prove_that_a_call_did_not_run() {
    let proofs = [3, 5, 7, 8, 9, 11, 12, 16];
    for code in 0..=17 {
        let proved = proofs.contains(&code);
        assert_eq!(refused(code).may_have_run(), !proved, "code {code}");
    }
}

/// Guards against a change reported as not run although the call was sent and its answer was
/// lost or malformed.
#[test]
fn only_unsent_calls_and_compacted_watches_did_not_run() {
    let endpoint = String::new();
    assert!(!Fault::Unreachable { endpoint }.may_have_run());
    assert!(!Fault::Compacted { revision: 1 }.may_have_run());
    assert!(Fault::Lost.may_have_run());
    assert!(Fault::Malformed { what: "" }.may_have_run());
}
