//! Estimates of service times.

use std::time::Duration;

use admit::service::{Class, Kind, Service};
use clock::Instant;

const READ: Class = Class {
    priority: 1,
    kind: Kind::Read,
};

const WRITE: Class = Class {
    priority: 0,
    kind: Kind::Write,
};

fn run(service: &mut Service, from: Instant, class: Class, time: Duration, count: u32) -> Instant {
    let mut now = from;
    for _ in 0..count {
        let ticket = service.start(now, class);
        now = now + time;
        service.finish(now, ticket);
    }
    now
}

/// Guards against a class that is refused for good because a stall was measured last: it isn't
/// measured again while it is refused.
#[test]
fn an_estimate_without_new_measurements_is_replaced() {
    let mut service = Service::default();
    let stalled = Duration::from_millis(900);
    let now = run(&mut service, Instant::ZERO, READ, stalled, 8);
    assert!(service.mean(now, READ) > Duration::from_millis(800));
    let now = run(&mut service, now, WRITE, Duration::from_millis(10), 400);
    assert!(service.mean(now, READ) < Duration::from_millis(20));
}

/// Guards against predictions for an upstream that has stalled as if it still worked.
#[test]
fn overdue_statements_are_expected_to_take_as_long_again() {
    let mut service = Service::default();
    let now = run(
        &mut service,
        Instant::ZERO,
        READ,
        Duration::from_millis(30),
        8,
    );
    service.start(now, READ);
    let left = |millis| service.remaining(now + Duration::from_millis(millis));
    assert_eq!(left(10), Duration::from_millis(20));
    assert_eq!(left(500), Duration::from_millis(500));
}

/// Guards against places that are left free at an upstream that is slow, but runs all at once.
#[test]
fn an_upstream_counts_as_queueing_by_its_own_service_times() {
    let mut service = Service::default();
    let (fast, slow) = (Duration::from_millis(30), Duration::from_millis(90));
    let now = run(&mut service, Instant::ZERO, READ, fast, 8);
    assert!(!service.is_queueing(now, READ));
    let now = run(&mut service, now, READ, slow, 16);
    assert!(service.is_queueing(now, READ));
    let now = run(&mut service, now, READ, slow, 64);
    assert!(!service.is_queueing(now, READ));
}
