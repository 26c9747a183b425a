//! What a replacement must have told, so that nobody proves the old primary.

use lead::quorum::{needed, prevents_majority};

/// Symptom: an old primary is proved beside the new one. Cause: a majority is left that
/// was not told. All groups of up to nine replicas, all that may have been told.
#[test]
fn whoever_was_not_told_is_no_majority() {
    for replicas in 1..10 {
        for told in 0..=replicas {
            let rest = replicas - told;
            assert_eq!(prevents_majority(told, replicas), rest < needed(replicas));
            if prevents_majority(told, replicas) {
                // With the primary: not more than half of the group.
                assert!((rest + 1) * 2 <= replicas + 1, "{told} of {replicas}");
            }
        }
        assert!(prevents_majority(replicas, replicas));
        assert!(!prevents_majority(0, replicas));
    }
}
