//! Replicas that must be fenced before a replacement, so that the old primary can't be proved.

use lead::quorum::{needed, prevents_majority};

/// Guards against an old primary that is proved beside the new one, because a majority was
/// left unfenced. Covers all groups of up to nine replicas.
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
                // With the primary, at most half of the group.
                assert!((unfenced + 1) * 2 <= replicas + 1, "{fenced} of {replicas}");
            }
        }
        assert!(prevents_majority(replicas, replicas));
        assert!(!prevents_majority(0, replicas));
    }
}

/// A replacement ends in a panic, and nothing replaces the primary any more, if a sum overflows: the
/// catalogue and the upstreams may tell any number.
#[test]
fn numbers_at_their_limit_do_not_overflow() {
    assert!(lead::choose::holds_all_commits(1, 2, usize::MAX));
    assert_eq!(model::Term(u64::MAX).next(), model::Term(u64::MAX));
}
