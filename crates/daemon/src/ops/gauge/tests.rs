use model::name;
use view::{Link, Upstream};

use super::{Gauges, MAX_UPSTREAMS};
use crate::introspect::Group;

/// A group of the upstreams with these numbers.
fn group(numbers: std::ops::Range<usize>) -> Group {
    let database = name::Database::new("booking").unwrap();
    let upstream = |number| Upstream {
        database: database.clone(),
        upstream: name::Upstream::new(&format!("booking-{number}")).unwrap(),
        zone: name::Zone::new("z1").unwrap(),
        address: "10.0.0.1:5432".parse().unwrap(),
        link: Link::Up,
        role: None,
        received: None,
        position: None,
        lag_ms: None,
        leaving: false,
        pool: None,
    };
    Group {
        upstreams: numbers.map(upstream).collect(),
        database: database.clone(),
        confirmed_ms_ago: None,
        doubts: Vec::new(),
    }
}

#[test]
fn upstreams_beyond_the_bound_get_no_gauges_of_their_own() {
    let mut gauges = Gauges::default();
    gauges.set(&[group(0..MAX_UPSTREAMS + 50)]);
    assert_eq!(gauges.reported.len(), MAX_UPSTREAMS);
}

/// Series can't be taken back, so those that have gone keep their places:
/// a catalogue that changes must not raise their number past the bound.
#[test]
fn upstreams_that_have_gone_count_against_the_bound() {
    let mut gauges = Gauges::default();
    gauges.set(&[group(0..MAX_UPSTREAMS - 10)]);
    gauges.set(&[group(MAX_UPSTREAMS..MAX_UPSTREAMS * 2)]);
    assert_eq!(gauges.reported.len(), MAX_UPSTREAMS);
    assert!(
        gauges
            .reported
            .contains(&("booking".to_owned(), "booking-0".to_owned()))
    );
}
