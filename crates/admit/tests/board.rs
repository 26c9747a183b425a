//! The holders of many services while instances come and go.

use std::collections::BTreeMap;

use admit::{
    holders::{Candidate, choose},
    placement::Placement,
};
use proptest::prelude::*;

/// An instance: its availability zone, its weight, and whether it can serve.
type Instance = (u8, u32, bool);

#[derive(Debug, Clone)]
enum Step {
    Put(u8, Instance),
    Remove(u8),
    Ask(u8, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let instance = (0..3_u8, prop_oneof![Just(12_u32), Just(100)], any::<bool>());
    prop_oneof![
        4 => (0..40_u8, instance).prop_map(|(name, instance)| Step::Put(name, instance)),
        3 => (0..40_u8).prop_map(Step::Remove),
        2 => (0..4_u8, 1..5_usize).prop_map(|(service, count)| Step::Ask(service, count)),
    ]
}

fn candidates(fleet: &BTreeMap<String, (String, u32, bool)>) -> Vec<Candidate<'_>> {
    let one = |(name, (zone, weight, able)): (&'_ String, &'_ (String, u32, bool))| {
        (name.len(), zone.len(), *weight, *able)
    };
    assert!(
        fleet
            .iter()
            .map(one)
            .all(|(name, zone, ..)| name * zone > 0)
    );
    let of = fleet.iter().map(|(name, (zone, weight, able))| Candidate {
        name,
        zone,
        weight: *weight,
        able: *able,
    });
    of.collect()
}

proptest! {
    /// Two instances that choose different holders send a database's work to more of them
    /// than its upstreams take.
    #[test]
    fn a_board_chooses_as_a_new_draw_does(steps in prop::collection::vec(step(), 1..200)) {
        let mut fleet = BTreeMap::new();
        let mut board = Placement::default();
        for step in steps {
            match step {
                Step::Put(name, (zone, weight, able)) => {
                    let (name, zone) = (format!("i-{name}"), format!("z-{zone}"));
                    board.put(&Candidate { name: &name, zone: &zone, weight, able });
                    fleet.insert(name, (zone, weight, able));
                }
                Step::Remove(name) => {
                    let name = format!("i-{name}");
                    board.remove(&name);
                    fleet.remove(&name);
                }
                Step::Ask(service, count) => {
                    let service = format!("s-{service}");
                    let holders = board.holders(&service, count);
                    let holders: Vec<_> = holders.iter().map(|name| &**name).collect();
                    prop_assert_eq!(holders, choose(&service, &candidates(&fleet), count));
                }
            }
        }
        prop_assert_eq!(board.len(), fleet.len());
    }
}

/// The draws that `changes` instances which come and go cost in a fleet of `fleet`, where
/// `services` are in use.
fn draws(fleet: usize, services: usize, changes: usize) -> u64 {
    let mut board = Placement::default();
    let put = |board: &mut Placement, at: usize| {
        let (name, zone) = (format!("i-{at}"), format!("z-{}", at % 6));
        board.put(&Candidate {
            name: &name,
            zone: &zone,
            weight: 12,
            able: true,
        });
    };
    (0..fleet).for_each(|at| put(&mut board, at));
    let ask = |board: &mut Placement| {
        for service in 0..services {
            assert_eq!(board.holders(&format!("s-{service}"), 4).len(), 4);
        }
    };
    ask(&mut board);
    let before = board.score_count();
    for change in 0..changes {
        board.remove(&format!("i-{change}"));
        ask(&mut board);
        put(&mut board, fleet + change);
        ask(&mut board);
    }
    board.score_count() - before
}

/// An instance that draws among all others for each of its services at each change has no
/// time left for its sessions in a fleet that rolls.
#[test]
fn a_change_costs_as_much_in_a_fleet_of_twice_the_size() {
    let (services, changes) = (16, 48);
    let each = (services * changes) as u64;
    // A service whose spare candidates are used up is drawn anew.
    let [small, large, larger] = [64, 128, 1_024].map(|fleet| draws(fleet, services, changes));
    assert!(small >= each, "{small}");
    assert!(large <= small, "{large} {small}");
    assert!(larger <= large, "{larger} {large}");
}

/// A board that keeps all services that were ever asked for grows with the databases, and
/// each change costs a draw for each of them.
#[test]
fn a_service_that_nobody_asks_for_costs_no_draws_after_a_while() {
    let mut board = Placement::default();
    let put = |board: &mut Placement, at: usize| {
        let name = format!("i-{at}");
        board.put(&Candidate {
            name: &name,
            zone: "z",
            weight: 12,
            able: true,
        });
    };
    (0..8).for_each(|at| put(&mut board, at));
    for service in 0..100 {
        board.holders(&format!("s-{service}"), 2);
    }
    (8..520).for_each(|at| put(&mut board, at));
    let before = board.score_count();
    put(&mut board, 520);
    assert_eq!(board.score_count(), before);
}
