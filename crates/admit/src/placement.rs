//! Placement of services on connection holders, kept up to date as instances come and go.
//!
//! [`holders::choose`] scores every instance on each call. A [`Placement`] gives the same
//! result, but scores all instances only on the first request for a service. After that, an
//! instance that joins or leaves costs one score for each service in use.

use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
};

use crate::holders::{self, Candidate};

/// Candidates of each zone that are ranked beyond the requested number, so that a lost
/// holder has its successor at hand.
const RESERVE: usize = 4;

/// Changes after which a service that has not been requested is dropped.
const MAX_IDLE_CHANGES: u64 = 256;

/// Attributes of a candidate, stored under its name.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Member {
    zone: Rc<str>,
    weight: u32,
    able: bool,
}

/// Rank of a candidate for a service. The lowest score comes first, ties are ordered by name.
#[derive(Debug, Clone, PartialEq)]
struct Rank {
    score: f64,
    name: Rc<str>,
}

impl Rank {
    fn is_before(&self, other: &Self) -> bool {
        self.score
            .total_cmp(&other.score)
            .then_with(|| self.name.cmp(&other.name))
            .is_lt()
    }
}

/// Best candidates of one zone in ascending rank.
#[derive(Debug, Default)]
struct Zone {
    ranks: Vec<Rank>,
    /// True if lower-ranked candidates were left out.
    is_truncated: bool,
}

/// Ranked candidates of one service.
#[derive(Debug)]
struct Ranking {
    count: usize,
    zones: HashMap<Rc<str>, Zone>,
    chosen: Vec<Rc<str>>,
    /// Value of [`Placement::changes`] at the last request.
    last_used: u64,
}

impl Ranking {
    fn new(count: usize) -> Self {
        Self {
            count,
            zones: HashMap::new(),
            chosen: Vec::new(),
            last_used: 0,
        }
    }

    /// Adds a candidate. Returns true if the choice may change.
    fn insert(&mut self, zone: &Rc<str>, rank: Rank) -> bool {
        let capacity = self.count + RESERVE;
        let zone = self.zones.entry(Rc::clone(zone)).or_default();
        let at = zone.ranks.partition_point(|other| other.is_before(&rank));
        if at >= capacity || zone.is_truncated && at == zone.ranks.len() {
            zone.is_truncated = true;
            return false;
        }
        zone.ranks.insert(at, rank);
        if zone.ranks.len() > capacity {
            zone.ranks.truncate(capacity);
            zone.is_truncated = true;
        }
        at < self.count
    }

    /// Removes a candidate. Returns false if too few candidates of its zone remain ranked, so
    /// that the service has to be ranked again.
    fn remove(&mut self, zone: &str, name: &str) -> bool {
        let Some(zone) = self.zones.get_mut(zone) else {
            return true;
        };
        zone.ranks.retain(|rank| &*rank.name != name);
        !zone.is_truncated || zone.ranks.len() >= self.count
    }

    /// Chooses the holders round-robin over the zones, the best candidate of each zone first.
    fn choose(&mut self) {
        let mut chosen = Vec::with_capacity(self.count);
        for round in 0..self.count {
            let in_round = self.zones.values().filter_map(|zone| zone.ranks.get(round));
            let mut in_round: Vec<_> = in_round.collect();
            in_round.sort_by(|a, b| {
                a.score
                    .total_cmp(&b.score)
                    .then_with(|| a.name.cmp(&b.name))
            });
            let remaining = self.count - chosen.len();
            chosen.extend(
                in_round
                    .into_iter()
                    .take(remaining)
                    .map(|rank| Rc::clone(&rank.name)),
            );
        }
        self.chosen = chosen;
    }
}

/// Incrementally maintained holders of many services.
///
/// ```
/// use admit::{placement::Placement, holders::{Candidate, choose}};
///
/// let candidate = |name, zone| Candidate { name, zone, weight: 25, able: true };
/// let all = [candidate("a-1", "a"), candidate("a-2", "a"), candidate("b-1", "b")];
/// let mut placement = Placement::default();
/// all.iter().for_each(|candidate| placement.put(candidate));
/// let holders: Vec<_> = placement.holders("bookings", 2).iter().map(|name| &**name).collect();
/// assert_eq!(holders, choose("bookings", &all, 2));
/// ```
#[derive(Debug, Default)]
pub struct Placement {
    members: HashMap<Rc<str>, Member>,
    zones: BTreeSet<Rc<str>>,
    able_count: usize,
    rankings: HashMap<Rc<str>, Ranking>,
    changes: u64,
    score_count: u64,
}

impl Placement {
    /// Adds a candidate or replaces its attributes.
    pub fn put(&mut self, candidate: &Candidate<'_>) {
        let old = self.members.get(candidate.name);
        let is_unchanged = |m: &Member| {
            &*m.zone == candidate.zone && m.weight == candidate.weight && m.able == candidate.able
        };
        if old.is_some_and(is_unchanged) {
            return;
        }
        self.remove(candidate.name);
        let name: Rc<str> = candidate.name.into();
        let member = Member {
            zone: self.intern_zone(candidate.zone),
            weight: candidate.weight,
            able: candidate.able,
        };
        self.record_change(&member, 1);
        if self.is_eligible(&member) {
            for (service, ranking) in &mut self.rankings {
                self.score_count += 1;
                let score = holders::score(service, &name, member.weight);
                let name = Rc::clone(&name);
                if ranking.insert(&member.zone, Rank { score, name }) {
                    ranking.choose();
                }
            }
        }
        self.members.insert(name, member);
    }

    /// Removes a candidate.
    pub fn remove(&mut self, name: &str) {
        let Some(member) = self.members.remove(name) else {
            return;
        };
        self.record_change(&member, -1);
        self.rankings.retain(|_, ranking| {
            let is_sufficient = ranking.remove(&member.zone, name);
            if ranking.chosen.iter().any(|chosen| **chosen == *name) {
                ranking.choose();
            }
            is_sufficient
        });
    }

    /// Number of candidates.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns true if there is no candidate.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns true if a candidate other than `name` can serve.
    pub fn has_other_able(&self, name: &str) -> bool {
        let own = self.members.get(name).is_some_and(|member| member.able);
        self.able_count > usize::from(own)
    }

    /// Number of scores computed so far.
    pub fn score_count(&self) -> u64 {
        self.score_count
    }

    /// The `count` holders of `service`, the preferred one first.
    pub fn holders(&mut self, service: &str, count: usize) -> &[Rc<str>] {
        let known = self.rankings.get(service);
        if known.is_none_or(|ranking| ranking.count != count) {
            let ranking = self.rank(service, count);
            self.rankings.insert(service.into(), ranking);
        }
        let Some(ranking) = self.rankings.get_mut(service) else {
            return &[];
        };
        ranking.last_used = self.changes;
        &ranking.chosen
    }

    fn rank(&mut self, service: &str, count: usize) -> Ranking {
        let mut ranking = Ranking::new(count);
        let eligible = self
            .members
            .iter()
            .filter(|(_, member)| self.is_eligible(member));
        let mut score_count = 0;
        for (name, member) in eligible {
            score_count += 1;
            let score = holders::score(service, name, member.weight);
            let name = Rc::clone(name);
            ranking.insert(&member.zone, Rank { score, name });
        }
        self.score_count += score_count;
        ranking.choose();
        ranking
    }

    /// Returns true if a candidate can be chosen. Candidates that can't serve are eligible only
    /// while no candidate can.
    fn is_eligible(&self, member: &Member) -> bool {
        member.able || self.able_count == 0
    }

    /// Adds `by` to the number of able candidates if `member` is one, and drops unused rankings.
    /// All rankings are dropped when the first candidate becomes able or the last one ceases to.
    fn record_change(&mut self, member: &Member, by: isize) {
        let had_able = self.able_count > 0;
        if member.able {
            self.able_count = self.able_count.saturating_add_signed(by);
        }
        if had_able != (self.able_count > 0) {
            self.rankings.clear();
        }
        self.changes += 1;
        let changes = self.changes;
        self.rankings
            .retain(|_, ranking| ranking.last_used + MAX_IDLE_CHANGES > changes);
    }

    fn intern_zone(&mut self, zone: &str) -> Rc<str> {
        if let Some(known) = self.zones.get(zone) {
            return Rc::clone(known);
        }
        let new: Rc<str> = zone.into();
        self.zones.insert(Rc::clone(&new));
        new
    }
}
