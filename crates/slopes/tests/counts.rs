//! Regression bounds on exact counts in virtual time, at small sizes.
//!
//! The counts are the same on every machine. A bound that is passed means that
//! the fleet's costs have grown: look for the cause before raising it.

use slopes::{Row, Scenario, measure};

struct Bound {
    scenario: Scenario,
    loss: f64,
    spread_ms: f64,
    bytes_s: f64,
    messages_s: f64,
    store_calls_s: f64,
}

fn bound(scenario: Scenario, loss: f64, at_most: [f64; 4]) -> Bound {
    let [spread_ms, bytes_s, messages_s, store_calls_s] = at_most;
    Bound {
        scenario,
        loss,
        spread_ms,
        bytes_s,
        messages_s,
        store_calls_s,
    }
}

fn assert_within(rows: &[Row], bounds: &[Bound]) {
    for bound in bounds {
        let row = rows
            .iter()
            .find(|row| row.scenario == bound.scenario && row.loss == bound.loss)
            .unwrap();
        assert_eq!(row.violations, 0);
        assert!(row.spread_p100_ms <= bound.spread_ms, "{row:?}");
        assert!(row.bytes_per_node_s <= bound.bytes_s, "{row:?}");
        assert!(row.messages_per_node_s <= bound.messages_s, "{row:?}");
        assert!(row.store_calls_s <= bound.store_calls_s, "{row:?}");
    }
}

#[test]
fn nine_instances_stay_within_their_bounds() {
    let rows = measure(9, 1, || 0);
    let bounds = [
        bound(Scenario::Ordinary, 0.0, [10.0, 1_100.0, 6.1, 7.5]),
        bound(Scenario::Ordinary, 0.01, [200.0, 1_120.0, 6.6, 7.5]),
        bound(Scenario::Ordinary, 0.1, [500.0, 1_450.0, 10.0, 7.5]),
        bound(Scenario::Killed, 0.01, [500.0, 1_150.0, 6.8, 7.5]),
        bound(Scenario::ZoneLost, 0.01, [200.0, 600.0, 5.3, 5.0]),
        bound(Scenario::ZoneStarted, 0.01, [100.0, 650.0, 5.5, 7.5]),
        bound(Scenario::RegionCut, 0.01, [200.0, 850.0, 8.0, 7.5]),
        bound(Scenario::RegionHealed, 0.01, [300.0, 1_600.0, 5.6, 9.5]),
    ];
    assert_within(&rows, &bounds);
}

#[test]
fn ninety_instances_stay_within_their_bounds() {
    let rows = measure(90, 1, || 0);
    let bounds = [
        bound(Scenario::Ordinary, 0.0, [500.0, 1_220.0, 6.2, 25.0]),
        bound(Scenario::Ordinary, 0.01, [500.0, 1_250.0, 6.6, 25.0]),
        bound(Scenario::Ordinary, 0.1, [800.0, 1_560.0, 10.0, 25.0]),
        bound(Scenario::Killed, 0.01, [500.0, 1_300.0, 6.8, 25.0]),
        bound(Scenario::ZoneLost, 0.01, [500.0, 700.0, 5.5, 21.0]),
        bound(Scenario::ZoneStarted, 0.01, [200.0, 720.0, 5.2, 24.0]),
        bound(Scenario::RegionCut, 0.01, [500.0, 830.0, 7.6, 23.0]),
        bound(Scenario::RegionHealed, 0.01, [800.0, 1_450.0, 5.5, 30.0]),
    ];
    assert_within(&rows, &bounds);
}

#[test]
fn one_seed_gives_one_count() {
    let counts = |rows: Vec<Row>| -> Vec<_> {
        let counts = rows.into_iter();
        counts
            .map(|row| (row.spread_p100_ms, row.bytes_per_node_s, row.store_calls_s))
            .collect()
    };
    assert_eq!(counts(measure(9, 3, || 0)), counts(measure(9, 3, || 0)));
    assert_ne!(counts(measure(9, 3, || 0)), counts(measure(9, 4, || 0)));
}

#[test]
fn any_seed_and_small_size_runs() {
    for (nodes, seed) in [(3, 0), (4, u64::MAX), (5, 1 << 40), (11, 12_345)] {
        for row in measure(nodes, seed, || 0) {
            assert_eq!(row.violations, 0, "{row:?}");
            assert!(row.spread_p100_ms < 3_000.0, "{row:?}");
        }
    }
}
