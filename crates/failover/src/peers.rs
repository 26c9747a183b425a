//! The candidates of a group and their evidence on the primary.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use clock::Instant;
use model::{Position, Term, name};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    event::{Evidence, View},
    timing::Timing,
};

/// Default number of candidates of a group: enough zones to outvote one that
/// cannot reach the primary, few enough to keep the probing load on an upstream
/// low.
pub const CANDIDATES: usize = 5;

/// Returns the instances that may promote in a group, best rank first.
///
/// One instance of each zone is chosen by rendezvous hashing. Zones that hold
/// upstreams rank before others, and at most `limit` instances are returned.
///
/// ```
/// use std::collections::{BTreeMap, BTreeSet};
/// use model::name;
///
/// let database = name::Database::new("holdings").unwrap();
/// let zone = |z| name::Zone::new(z).unwrap();
/// let members = BTreeMap::from([("i1", "z1"), ("i2", "z1"), ("i3", "z2")]
///     .map(|(i, z)| (name::Instance::new(i).unwrap(), zone(z))));
/// let ranked = failover::candidates(&database, &members, &BTreeSet::from([zone("z2")]), 5);
/// assert_eq!(ranked.len(), 2);
/// assert_eq!(ranked[0].as_str(), "i3");
/// ```
pub fn candidates(
    database: &name::Database,
    members: &BTreeMap<name::Instance, name::Zone>,
    zones: &BTreeSet<name::Zone>,
    limit: usize,
) -> Vec<name::Instance> {
    let seed = xxh3_64_with_seed(database.as_str().as_bytes(), 0);
    let weight = |i: &name::Instance| xxh3_64_with_seed(i.as_str().as_bytes(), seed);
    let mut best: BTreeMap<&name::Zone, (u64, &name::Instance)> = BTreeMap::new();
    for (instance, zone) in members {
        let this = (weight(instance), instance);
        let first = best.entry(zone).or_insert(this);
        *first = (*first).max(this);
    }
    let mut ranked: Vec<_> = best.into_iter().collect();
    ranked.sort_by_key(|&(zone, first)| Reverse((zones.contains(zone), first)));
    ranked.truncate(limit);
    ranked
        .into_iter()
        .map(|(_, (_, instance))| instance.clone())
        .collect()
}

#[derive(Debug)]
struct Received {
    at: Instant,
    zone: name::Zone,
    evidence: Evidence,
}

/// Sum of the zones' evidence on the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// No majority of the zones suspects the primary.
    Trusted,
    /// A majority suspects the primary, but one zone reports it alive or no
    /// other zone is heard.
    Contested,
    /// A majority suspects the primary, and no zone reports it alive.
    Suspected,
}

/// Candidates of a group and the evidence received.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    ranked: Vec<name::Instance>,
    received: BTreeMap<name::Instance, Received>,
}

impl Peers {
    pub(crate) fn set(&mut self, ranked: Vec<name::Instance>) {
        self.received
            .retain(|instance, _| ranked.contains(instance));
        self.ranked = ranked;
    }

    /// Stores evidence. Evidence from an instance that is not a candidate
    /// counts as well, because instance lists lag and differ between instances.
    pub(crate) fn receive(
        &mut self,
        now: Instant,
        from: name::Instance,
        zone: name::Zone,
        evidence: Evidence,
    ) {
        let at = now;
        let received = Received { at, zone, evidence };
        self.received.insert(from, received);
    }

    /// Drops all evidence received before a pause of this process.
    pub(crate) fn clear(&mut self) {
        self.received.clear();
    }

    pub(crate) fn contains(&self, instance: &name::Instance) -> bool {
        self.ranked.contains(instance)
    }

    pub(crate) fn others(&self, me: &name::Instance) -> Vec<name::Instance> {
        self.ranked.iter().filter(|i| *i != me).cloned().collect()
    }

    fn fresh(
        &self,
        now: Instant,
        timing: &Timing,
    ) -> impl Iterator<Item = (&name::Instance, &Received)> {
        let bound = timing.evidence_ttl;
        self.received
            .iter()
            .filter(move |(_, h)| now.since(h.at) <= bound)
    }

    /// Number of candidates ranked before this one whose evidence is fresh.
    pub(crate) fn rank(&self, now: Instant, timing: &Timing, me: &name::Instance) -> u32 {
        let fresh_peers: BTreeSet<_> = self.fresh(now, timing).map(|(i, _)| i).collect();
        let before = self.ranked.iter().take_while(|i| *i != me);
        let live = before.filter(|i| fresh_peers.contains(i)).count();
        u32::try_from(live).unwrap_or(u32::MAX)
    }

    /// Furthest log position reported for the primary of `term`.
    pub(crate) fn furthest_position(
        &self,
        now: Instant,
        timing: &Timing,
        term: Term,
    ) -> Option<Position> {
        let reported = self
            .fresh(now, timing)
            .filter(|(_, h)| h.evidence.term == term);
        reported.filter_map(|(_, h)| h.evidence.place).max()
    }

    /// Returns true if another candidate reports that it is working on a claim
    /// of at least this term.
    pub(crate) fn is_claiming(&self, now: Instant, timing: &Timing, term: Term) -> bool {
        let works = |(_, h): (_, &Received)| h.evidence.claim >= Some(term);
        self.fresh(now, timing).any(works)
    }

    /// Combines the zones' views of the primary of `term`; `own` is the view of
    /// this zone.
    pub(crate) fn verdict(
        &self,
        now: Instant,
        timing: &Timing,
        term: Term,
        own: (&name::Zone, View),
    ) -> Verdict {
        let mut zones: BTreeMap<&name::Zone, View> = BTreeMap::from([own]);
        for (_, received) in self.fresh(now, timing) {
            let view = match received.evidence.term == term {
                true => received.evidence.view,
                false => View::Unsure,
            };
            let merged = zones.entry(&received.zone).or_insert(view);
            *merged = merge(*merged, view);
        }
        let count = |test: fn(&View) -> bool| zones.values().filter(|v| test(v)).count();
        let suspects = count(|v| matches!(v, View::Silent | View::Refused));
        let alive_zones = count(|v| *v == View::Alive);
        if !matches!(own.1, View::Silent | View::Refused) || suspects * 2 <= zones.len() {
            return Verdict::Trusted;
        }
        let alone = zones.len() == 1 && self.ranked.len() > 1;
        if alive_zones > 0 || alone {
            return Verdict::Contested;
        }
        Verdict::Suspected
    }
}

/// Combines the views of two instances of one zone: an upstream that answers
/// either of them is alive.
fn merge(one: View, other: View) -> View {
    match (one, other) {
        (View::Alive, _) | (_, View::Alive) => View::Alive,
        (View::Unsure, view) => view,
        (view, _) => view,
    }
}
