//! Placement of services while instances join and leave.

use std::collections::BTreeMap;

use admit::{
    holders::{Candidate, choose},
    placement::Placement,
};
use proptest::prelude::*;

/// Availability zone, weight and ability to serve of an instance.
type Instance = (u8, u32, bool);

#[derive(Debug, Clone)]
enum Step {
    Put(u8, Instance),
    Remove(u8),
    Choose(u8, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let instance = (0..3_u8, prop_oneof![Just(12_u32), Just(100)], any::<bool>());
    prop_oneof![
        4 => (0..40_u8, instance).prop_map(|(name, instance)| Step::Put(name, instance)),
        3 => (0..40_u8).prop_map(Step::Remove),
        2 => (0..4_u8, 1..5_usize).prop_map(|(service, count)| Step::Choose(service, count)),
    ]
}

fn candidates(fleet: &BTreeMap<String, (String, u32, bool)>) -> Vec<Candidate<'_>> {
    let fields = |(name, (zone, weight, able)): (&'_ String, &'_ (String, u32, bool))| {
        (name.len(), zone.len(), *weight, *able)
    };
    assert!(
        fleet
            .iter()
            .map(fields)
            .all(|(name, zone, ..)| name * zone > 0)
    );
    let candidates = fleet.iter().map(|(name, (zone, weight, able))| Candidate {
        name,
        zone,
        weight: *weight,
        able: *able,
    });
    candidates.collect()
}

proptest! {
    /// Instances that choose different holders for a database open connections at more holders
    /// than its upstreams accept. This happens if an incremental update differs from a full
    /// choice.
    #[test]
    fn a_placement_equals_a_choice_from_scratch(steps in prop::collection::vec(step(), 1..200)) {
        let mut fleet = BTreeMap::new();
        let mut placement = Placement::default();
        for step in steps {
            match step {
                Step::Put(name, (zone, weight, able)) => {
                    let (name, zone) = (format!("i-{name}"), format!("z-{zone}"));
                    placement.put(&Candidate { name: &name, zone: &zone, weight, able });
                    fleet.insert(name, (zone, weight, able));
                }
                Step::Remove(name) => {
                    let name = format!("i-{name}");
                    placement.remove(&name);
                    fleet.remove(&name);
                }
                Step::Choose(service, count) => {
                    let service = format!("s-{service}");
                    let holders = placement.holders(&service, count);
                    let holders: Vec<_> = holders.iter().map(|name| &**name).collect();
                    prop_assert_eq!(holders, choose(&service, &candidates(&fleet), count));
                }
            }
        }
        prop_assert_eq!(placement.len(), fleet.len());
    }
}

/// Counts the scores computed for `changes` replaced instances in a fleet of `fleet` with
/// `services` in use.
fn scores(fleet: usize, services: usize, changes: usize) -> u64 {
    let mut placement = Placement::default();
    let put = |placement: &mut Placement, at: usize| {
        let (name, zone) = (format!("i-{at}"), format!("z-{}", at % 6));
        placement.put(&Candidate {
            name: &name,
            zone: &zone,
            weight: 12,
            able: true,
        });
    };
    (0..fleet).for_each(|at| put(&mut placement, at));
    let choose_all = |placement: &mut Placement| {
        for service in 0..services {
            assert_eq!(placement.holders(&format!("s-{service}"), 4).len(), 4);
        }
    };
    choose_all(&mut placement);
    let before = placement.score_count();
    for change in 0..changes {
        placement.remove(&format!("i-{change}"));
        choose_all(&mut placement);
        put(&mut placement, fleet + change);
        choose_all(&mut placement);
    }
    placement.score_count() - before
}

/// An instance that scores the whole fleet for each service on each change has no time left
/// for its sessions during a rolling restart.
#[test]
fn the_cost_of_a_change_does_not_grow_with_the_fleet() {
    let (services, changes) = (16, 48);
    let each = (services * changes) as u64;
    // A service whose reserve candidates are used up is ranked again.
    let [small, large, larger] = [64, 128, 1_024].map(|fleet| scores(fleet, services, changes));
    assert!(small >= each, "{small}");
    assert!(large <= small, "{large} {small}");
    assert!(larger <= large, "{larger} {large}");
}

/// A placement that keeps each service ever requested grows with the number of databases,
/// and each change costs a score for each of them.
#[test]
fn a_change_computes_no_scores_for_unused_services() {
    let mut placement = Placement::default();
    let put = |placement: &mut Placement, at: usize| {
        let name = format!("i-{at}");
        placement.put(&Candidate {
            name: &name,
            zone: "z",
            weight: 12,
            able: true,
        });
    };
    (0..8).for_each(|at| put(&mut placement, at));
    for service in 0..100 {
        placement.holders(&format!("s-{service}"), 2);
    }
    (8..520).for_each(|at| put(&mut placement, at));
    let before = placement.score_count();
    put(&mut placement, 520);
    assert_eq!(placement.score_count(), before);
}
