//! Goodput under overload, in virtual time with a fixed seed.

#[path = "../examples/load/sim.rs"]
#[allow(dead_code)]
mod sim;

use sim::{Policy, run};

/// Symptom: at five times its capacity an upstream finishes almost nothing in
/// time. Events: callers retry what is late. Cause: work that can't end in
/// time occupies the slots.
#[test]
fn goodput_and_high_priority_survive_five_times_capacity() {
    let peak = run(Policy::Pool, 2.0, 3, 1).done();
    let overload = run(Policy::Pool, 5.0, 3, 1);
    assert!(
        overload.done() * 100 >= peak * 95,
        "{} of {peak}",
        overload.done()
    );
    assert_eq!(
        (
            overload.kinds[0].refusals.len(),
            overload.kinds[0].timed_out
        ),
        (0, 0)
    );
    assert!(overload.connections <= 15);
}

/// Symptom: a calendar view is refused 110 ms after it came, when half its
/// time is over. Events: at full load it is let in by its place in the queue,
/// payments and lighter tenants come later and go first, until it can't end in
/// time. Cause: admission counted only what waited already.
#[test]
fn refusals_come_on_arrival() {
    for load in [1.0, 2.0, 5.0] {
        let report = run(Policy::Pool, load, 10, 1);
        let low = &report.kinds[2];
        assert!(low.refusals.len() > 100, "load {load} refuses too little");
        assert!(low.mean_refusal() < 2_000, "{}", low.mean_refusal());
        assert!(low.p99_refusal() < 2_000, "{}", low.p99_refusal());
    }
}

/// Symptom: one customer's flood takes the calendar from all others. Events:
/// it sends seven tenths of everything at twice the capacity, and at five
/// times, where Low gets nothing, it does so to Normal.
#[test]
fn tenants_of_a_class_share_what_is_left() {
    for (load, kind) in [(2.0, 2), (5.0, 1)] {
        let tenants = run(Policy::Pool, load, 10, 1).tenants[kind];
        let most = tenants.iter().max().copied().unwrap_or(0);
        let least = tenants.iter().min().copied().unwrap_or(0);
        assert!(least > 100, "{tenants:?}");
        assert!(least * 100 >= most * 90, "{tenants:?}");
    }
}
