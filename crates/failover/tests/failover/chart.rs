//! The built-in chart is valid, so that opening a group never fails.

use std::collections::BTreeMap;

use clock::Instant;
use failover::{CANDIDATES, Conf, Group, State, Timing};
use model::name;

#[test]
fn the_chart_parses() {
    let conf = Conf {
        database: name::Database::new("holdings").unwrap(),
        instance: name::Instance::new("i1").unwrap(),
        zone: name::Zone::new("z1").unwrap(),
        upstreams: BTreeMap::new(),
        candidates: CANDIDATES,
        seed: 1,
        timing: Timing::default(),
    };
    let group = Group::open(conf, Instant::ZERO).unwrap();
    assert_eq!(group.state(), State::Reading);
}
