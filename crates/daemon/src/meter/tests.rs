use std::{sync::Arc, time::Duration};

use clock::Instant;
use model::{Cause, Outcome, name};

use super::{CAUSES, MAX_ENTRIES, Meters, OUTCOMES, outcome_index};

fn entry(number: usize) -> name::Entry {
    name::Entry::new(&format!("entry-{number}")).unwrap()
}

/// Guards against a metrics page that grows without limit, up to tens of
/// megabytes, until scrapes time out: each change of the catalogue renamed
/// entries, and each name kept metrics of its own.
#[test]
fn entries_beyond_the_bound_are_counted_together() {
    let meters = Meters::default();
    let tenant = name::Tenant::new("yard").unwrap();
    let first = meters.of(&tenant, &entry(0));
    for number in 1..MAX_ENTRIES {
        assert_eq!(
            meters.of(&tenant, &entry(number)).entry,
            format!("entry-{number}")
        );
    }
    let late = meters.of(&tenant, &entry(MAX_ENTRIES));
    assert_eq!(
        (late.tenant.as_str(), late.entry.as_str()),
        ("other", "other")
    );
    let later = meters.of(&tenant, &entry(MAX_ENTRIES + 1));
    assert!(Arc::ptr_eq(&late, &later));
    assert!(Arc::ptr_eq(&first, &meters.of(&tenant, &entry(0))));
}

#[test]
fn every_outcome_has_a_counter_of_its_own() {
    let mut indices = vec![outcome_index(Outcome::Done)];
    for (cause, _) in CAUSES {
        indices.push(outcome_index(Outcome::NotRun(cause)));
        indices.push(outcome_index(Outcome::Unknown(cause)));
    }
    indices.sort_unstable();
    assert_eq!(indices, (0..OUTCOMES).collect::<Vec<_>>());
    // A new cause in `model` must be added to the labels.
    let newest = Cause::RingFull as usize;
    assert_eq!(newest + 1, CAUSES.len());
}

#[test]
fn unknown_outcomes_are_logged_once_a_second() {
    let meters = Meters::default();
    let tenant = name::Tenant::new("yard").unwrap();
    let meter = meters.of(&tenant, &entry(0));
    let start = Instant::from_millis(5_000);
    assert!(meter.may_log(start));
    assert!(!meter.may_log(start + Duration::from_millis(999)));
    assert!(meter.may_log(start + Duration::from_millis(1_000)));
}
