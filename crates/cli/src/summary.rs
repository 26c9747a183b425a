//! What the answers of several instances say together.

use std::collections::BTreeMap;

use model::{Term, name};
use serde::Serialize;
use view::{Health, Revision, Status};

/// Where the knowledge of an instance comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Source {
    /// It answered itself.
    Itself,
    /// Another instance told of it.
    Peer,
}

/// One instance and the revision in force there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Instance {
    /// Its availability zone.
    pub(crate) zone: name::Zone,
    /// The revision in force; none if it is not known.
    pub(crate) revision: Option<Revision>,
    /// Whether it is alive.
    pub(crate) health: Health,
    /// Who says so.
    pub(crate) source: Source,
    /// How old that knowledge is, in milliseconds.
    heard_ms_ago: u64,
}

impl Instance {
    /// Whether it is known to be able to take up a revision.
    pub(crate) fn is_reachable(&self) -> bool {
        matches!(self.health, Health::Alive | Health::Leaving)
    }

    /// Whether `revision`, or one after it, is in force there.
    pub(crate) fn holds(&self, revision: Revision) -> bool {
        self.revision.is_some_and(|held| held >= revision)
    }
}

/// The primary of a database, as most know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Primary {
    /// The highest term that any instance knows.
    pub(crate) term: Term,
    /// Who leads in it; none while it is only claimed.
    pub(crate) upstream: Option<name::Upstream>,
    /// Milliseconds since an instance saw a majority confirm it.
    pub(crate) confirmed_ms_ago: Option<u64>,
    /// How many instances know of this term and primary.
    pub(crate) seen_by: usize,
}

/// A zone's instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub(crate) struct Zone {
    /// How many are known.
    pub(crate) instances: usize,
    /// How many of them are reachable.
    pub(crate) reachable: usize,
    /// At how many the latest revision is in force.
    pub(crate) in_force: usize,
}

/// The whole system, as the answers tell it together.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Summary {
    /// The latest revision in force anywhere.
    pub(crate) revision: Revision,
    /// All zones known.
    pub(crate) zones: BTreeMap<name::Zone, Zone>,
    /// All instances known.
    pub(crate) instances: BTreeMap<name::Instance, Instance>,
    /// All databases known.
    pub(crate) primaries: BTreeMap<name::Database, Primary>,
}

impl Summary {
    /// Puts the answers together. What an instance says of itself goes before
    /// what others say, and later news before earlier.
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
        // In one term there is first a claim and then one primary for good.
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
