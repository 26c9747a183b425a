//! What a replacement must have told, so that nobody proves the old primary.

use lead::quorum::{excludes, needed};

/// Symptom: an old primary is proved beside the new one. Cause: a majority is left that
/// was not told. All groups of up to nine replicas, all that may have been told.
#[test]
fn whoever_was_not_told_is_no_majority() {
    for replicas in 1..10 {
        for told in 0..=replicas {
            let rest = replicas - told;
            assert_eq!(excludes(told, replicas), rest < needed(replicas));
            if excludes(told, replicas) {
                // With the primary: not more than half of the group.
                assert!((rest + 1) * 2 <= replicas + 1, "{told} of {replicas}");
            }
        }
        assert!(excludes(replicas, replicas));
        assert!(!excludes(0, replicas));
    }
}
