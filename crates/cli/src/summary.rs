//! Merges the status answers of several instances.

use std::collections::BTreeMap;

use model::{Term, name};
use serde::Serialize;
use view::{Health, Revision, Status};

/// Origin of the information about an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Source {
    /// The instance itself.
    Itself,
    /// Another instance.
    Peer,
}

/// One instance and the revision in force there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Instance {
    /// Availability zone.
    pub(crate) zone: name::Zone,
    /// Revision in force; none if unknown.
    pub(crate) revision: Option<Revision>,
    /// Health of the instance.
    pub(crate) health: Health,
    /// Origin of this information.
    pub(crate) source: Source,
    /// Age of this information in milliseconds.
    heard_ms_ago: u64,
}

impl Instance {
    /// Returns true if the instance is known to be able to apply a revision.
    pub(crate) fn is_reachable(&self) -> bool {
        matches!(self.health, Health::Alive | Health::Leaving)
    }

    /// Returns true if `revision` or a later one is in force at the instance.
    pub(crate) fn holds(&self, revision: Revision) -> bool {
        self.revision.is_some_and(|held| held >= revision)
    }
}

/// The primary of a database, as reported with the highest term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Primary {
    /// Highest term known to any instance.
    pub(crate) term: Term,
    /// The term's primary; none while the term is only claimed.
    pub(crate) upstream: Option<name::Upstream>,
    /// Milliseconds since an instance saw a majority confirm the primary.
    pub(crate) confirmed_ms_ago: Option<u64>,
    /// Number of instances that know this term and primary.
    pub(crate) seen_by: usize,
}

/// Counts of a zone's instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub(crate) struct Zone {
    /// Instances known.
    pub(crate) instances: usize,
    /// Instances reachable.
    pub(crate) reachable: usize,
    /// Instances at which the latest revision is in force.
    pub(crate) in_force: usize,
}

/// State of the whole system.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Summary {
    /// Latest revision in force at any instance.
    pub(crate) revision: Revision,
    /// Known zones.
    pub(crate) zones: BTreeMap<name::Zone, Zone>,
    /// Known instances.
    pub(crate) instances: BTreeMap<name::Instance, Instance>,
    /// Primaries of known databases.
    pub(crate) primaries: BTreeMap<name::Database, Primary>,
}

impl Summary {
    /// Merges `answers`. An instance's own answer takes precedence over reports
    /// of others, and newer reports over older ones.
    pub(crate) fn of(answers: &[&Status]) -> Self {
        let instances = instances(answers);
        let held = instances.values().filter_map(|instance| instance.revision);
        let revision = held.max().unwrap_or_default();
        Self {
            revision,
            zones: zones(&instances, revision),
            instances,
            primaries: primaries(answers),
        }
    }
}

fn instances(answers: &[&Status]) -> BTreeMap<name::Instance, Instance> {
    let mut known: BTreeMap<name::Instance, Instance> = BTreeMap::new();
    for member in answers.iter().flat_map(|status| &status.members) {
        let reported = Instance {
            zone: member.zone.clone(),
            revision: member.revision,
            health: member.health,
            source: Source::Peer,
            heard_ms_ago: member.heard_ms_ago,
        };
        let entry = known.entry(member.instance.clone());
        let latest = entry.or_insert_with(|| reported.clone());
        if reported.heard_ms_ago < latest.heard_ms_ago {
            *latest = reported;
        }
    }
    for status in answers {
        let own = Instance {
            zone: status.zone.clone(),
            revision: Some(status.revision),
            health: Health::Alive,
            source: Source::Itself,
            heard_ms_ago: 0,
        };
        known.insert(status.instance.clone(), own);
    }
    known
}

fn zones(
    instances: &BTreeMap<name::Instance, Instance>,
    revision: Revision,
) -> BTreeMap<name::Zone, Zone> {
    let mut zones: BTreeMap<_, Zone> = BTreeMap::new();
    for instance in instances.values() {
        let zone = zones.entry(instance.zone.clone()).or_default();
        zone.instances += 1;
        zone.reachable += usize::from(instance.is_reachable());
        zone.in_force += usize::from(instance.holds(revision));
    }
    zones
}

fn primaries(answers: &[&Status]) -> BTreeMap<name::Database, Primary> {
    let mut known: BTreeMap<name::Database, Primary> = BTreeMap::new();
    for seen in answers.iter().flat_map(|status| &status.primaries) {
        let view = Primary {
            term: seen.term,
            upstream: seen.upstream.clone(),
            confirmed_ms_ago: seen.confirmed_ms_ago,
            seen_by: 1,
        };
        let Some(latest) = known.get_mut(&seen.database) else {
            known.insert(seen.database.clone(), view);
            continue;
        };
        // A term is first claimed and then has one primary until its end.
        let rank = |primary: &Primary| (primary.term, primary.upstream.is_some());
        if rank(&view) > rank(latest) {
            *latest = view;
        } else if rank(&view) == rank(latest) {
            latest.seen_by += 1;
            latest.confirmed_ms_ago = earliest(latest.confirmed_ms_ago, view.confirmed_ms_ago);
        }
    }
    known
}

fn earliest(one: Option<u64>, other: Option<u64>) -> Option<u64> {
    [one, other].into_iter().flatten().min()
}
