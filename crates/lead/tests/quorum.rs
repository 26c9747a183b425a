//! What a replacement must have told, so that nobody proves the old primary.

use lead::quorum::{needed, prevents_majority};

/// Symptom: an old primary is proved beside the new one. Cause: a majority is left that
/// was not told. All groups of up to nine replicas, all that may have been told.
#[test]
fn unfenced_replicas_are_no_majority() {
    for replicas in 1..10 {
        for fenced in 0..=replicas {
            let unfenced = replicas - fenced;
            assert_eq!(
                prevents_majority(fenced, replicas),
                unfenced < needed(replicas)
            );
            if prevents_majority(fenced, replicas) {
                // With the primary: not more than half of the group.
                assert!((unfenced + 1) * 2 <= replicas + 1, "{fenced} of {replicas}");
            }
        }
        assert!(prevents_majority(replicas, replicas));
        assert!(!prevents_majority(0, replicas));
    }
}
