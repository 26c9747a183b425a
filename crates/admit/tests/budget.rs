//! Opening connections to an upstream that accepts few.

use std::time::Duration;

use admit::{Budget, budget::Decision};
use clock::Instant;

/// Counts the attempts within `span` to open a first connection at an upstream that refuses.
fn refusals(span: Duration) -> usize {
    let mut budget = Budget::default();
    let mut now = Instant::from_millis(1_000);
    let end = now + span;
    let mut refused = 0;
    while now < end {
        match budget.check(now, 0, 0, 11) {
            Decision::Now => {
                refused += 1;
                budget.record_refusal(now, 0, 0.0);
            }
            Decision::Wait(until) => now = until,
            Decision::Blocked => panic!("there is none"),
        }
    }
    refused
}

/// Guards against 240 refusals a second at one full upstream, caused by instances that
/// retry every 25 ms for as long as it is full.
#[test]
fn retries_at_a_full_upstream_are_bounded() {
    assert!(refusals(Duration::from_secs(2)) <= 2 * 17 + 3);
}

/// Guards against an instance that keeps waiting although a slot is free, because its
/// backoff grows without a bound.
#[test]
fn the_backoff_is_capped() {
    let mut budget = Budget::default();
    let now = Instant::from_millis(1_000);
    for _ in 0..100 {
        budget.record_refusal(now, 0, 1.0);
    }
    let longest = now + Duration::from_millis(120);
    assert_eq!(budget.check(now, 0, 0, 11), Decision::Wait(longest));
    budget.record_success();
    budget.record_refusal(now, 1, 0.0);
    let shortest = now + Duration::from_millis(15);
    assert_eq!(budget.check(now, 1, 0, 11), Decision::Wait(shortest));
}

/// Guards against 68 connections from one instance to an upstream that accepts 22 in total,
/// caused by not counting pending connections.
#[test]
fn pending_connections_count_towards_the_limit() {
    let budget = Budget::default();
    let now = Instant::from_millis(1_000);
    let mut open = 0;
    while budget.check(now, open, open, 11) == Decision::Now {
        open += 1;
    }
    assert_eq!(open, 11);
}

/// An instance that has a connection open must not report that it is locked out, or a
/// primary that serves it might be replaced as full.
#[test]
fn an_instance_is_locked_out_only_while_its_first_connection_is_refused() {
    let mut budget = Budget::default();
    let at = Instant::from_millis;
    budget.record_refusal(at(1_000), 1, 0.0);
    assert_eq!(budget.locked_out_since(at(1_000)), None);
    budget.record_refusal(at(1_100), 0, 0.0);
    budget.record_refusal(at(1_500), 0, 0.0);
    assert_eq!(budget.locked_out_since(at(1_600)), Some(at(1_100)));
    assert_eq!(budget.locked_out_since(at(2_200)), None);
    budget.record_refusal(at(2_300), 0, 0.0);
    assert_eq!(budget.locked_out_since(at(2_300)), Some(at(2_300)));
    budget.record_success();
    assert_eq!(budget.locked_out_since(at(2_300)), None);
}
