use fleet::{Held, Reason, Status, Watch};
use model::name;
use view::Doubt;
use wire::{Revision, State, View};

use super::{in_force, silent_zones};

fn zone(name: &str) -> name::Zone {
    name::Zone::new(name).unwrap()
}

fn at(number: u64) -> Revision {
    Revision { epoch: 0, number }
}

fn status(applied: u64, mirrored: u64) -> Status {
    Status {
        mirrored: at(mirrored),
        applied: at(applied),
        held: None,
        watch: Watch::Off,
        zones: Vec::new(),
    }
}

fn reported(revision: u64, applied: Option<u64>) -> View {
    View {
        revision: at(revision),
        applied: applied.map(at),
        ..View::default()
    }
}

/// Guards against a `status` that shows another instance without the latest
/// catalogue although the catalogue has not changed: the revision that the
/// instance mirrored, which the record of a new primary had raised, was taken
/// for the revision of its catalogue.
#[test]
fn a_new_primary_does_not_change_the_catalogue_revision() {
    assert_eq!(in_force(&status(7, 8), &reported(8, None)), at(7));
    assert_eq!(in_force(&status(7, 8), &reported(7, None)), at(7));
}

#[test]
fn a_lagging_or_refused_catalogue_is_shown() {
    assert_eq!(in_force(&status(7, 8), &reported(5, None)), at(5));
    assert_eq!(in_force(&status(7, 8), &reported(8, Some(3))), at(3));
}

#[test]
fn a_newer_catalogue_of_another_instance_is_shown() {
    assert_eq!(in_force(&status(7, 8), &reported(9, None)), at(9));
    let held = Held {
        revision: at(8),
        reason: Reason::Refused,
    };
    let holding = Status {
        held: Some(held),
        ..status(7, 8)
    };
    assert_eq!(in_force(&holding, &reported(8, None)), at(8));
}

#[test]
fn a_zone_is_silent_when_no_instance_in_it_answers() {
    let own = zone("a");
    let zones = [
        (zone("a"), vec![State::Suspect]),
        (zone("b"), vec![State::Suspect, State::Alive]),
        (zone("c"), vec![State::Suspect, State::Gone]),
        (zone("d"), vec![State::Gone]),
    ];
    let silent = silent_zones(&own, zones.into_iter());
    assert_eq!(silent, [Doubt::ZoneSilent { zone: zone("c") }]);
}

#[test]
fn a_zone_is_alone_when_all_others_are_silent() {
    let own = zone("a");
    let zones = [(zone("b"), vec![State::Suspect])];
    let found = silent_zones(&own, zones.into_iter());
    let alone = Doubt::ZoneAlone { zone: own.clone() };
    assert_eq!(found, [alone, Doubt::ZoneSilent { zone: zone("b") }]);
    assert_eq!(silent_zones(&own, std::iter::empty()), []);
}
