use model::name;
use view::{Link, Upstream};

use super::{Gauges, MAX_UPSTREAMS};
use crate::introspect::Group;

/// Group of the upstreams with these numbers.
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
fn upstreams_beyond_the_maximum_get_no_gauges_of_their_own() {
    let mut gauges = Gauges::default();
    gauges.set(&[group(0..MAX_UPSTREAMS + 50)]);
    assert_eq!(gauges.reported.len(), MAX_UPSTREAMS);
}

/// Guards against a number of series that grows beyond the maximum with each
/// change of the catalogue: a series can't be removed, so one of a removed
/// upstream must still count.
#[test]
fn removed_upstreams_count_against_the_maximum() {
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
