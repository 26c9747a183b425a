//! Goodput under overload, in virtual time with a fixed seed.

#[path = "../examples/load/sim.rs"]
#[allow(dead_code)]
mod sim;

use sim::{Policy, run};

/// Callers retry late requests. If work that cannot end in time occupied the
/// slots, an upstream at five times its capacity would complete almost nothing
/// in time.
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

/// At full load a request admitted by its place is overtaken by later ones of
/// higher priority or lighter tenants, and refused after 110 ms, when half of
/// its time has passed. Admission must anticipate such requests.
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

/// One tenant sends seven tenths of all requests, at twice the capacity, and at
/// five times, where only high and normal priority are served. It must not
/// displace the other tenants of its priority.
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
