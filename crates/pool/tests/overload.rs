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
    let storm = run(Policy::Pool, 5.0, 3, 1);
    assert!(
        storm.done() * 100 >= peak * 95,
        "{} of {peak}",
        storm.done()
    );
    assert_eq!((storm.kinds[0].refused, storm.kinds[0].cut), (0, 0));
    assert!(storm.connections <= 15);
}
