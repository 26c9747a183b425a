//! The holders of many services, kept up to date while instances come and go.
//!
//! [`holders::choose`] draws among all instances each time that it is asked. A board gives
//! the same answer, but draws among all only when a service is asked for the first time;
//! after that an instance that comes or goes costs one draw for each service in use.

use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
};

use crate::holders::{self, Candidate};

/// How many more candidates of each zone are ranked than are asked for, so that one that
/// goes has its successor at hand.
const SPARE: usize = 4;

/// After how many changes a service that nobody asked for is dropped.
const UNUSED: u64 = 256;

/// A candidate, as a board keeps it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Member {
    zone: Rc<str>,
    weight: u32,
    able: bool,
}

/// A candidate's place: the lower, the sooner; equal scores go by name.
#[derive(Debug, Clone, PartialEq)]
struct Place {
    score: f64,
    name: Rc<str>,
}

impl Place {
    fn is_before(&self, other: &Self) -> bool {
        self.score
            .total_cmp(&other.score)
            .then_with(|| self.name.cmp(&other.name))
            .is_lt()
    }
}

/// The best candidates of one zone, the first one first.
#[derive(Debug, Default)]
struct Zone {
    places: Vec<Place>,
    /// Whether candidates were left out behind the last one.
    is_cut: bool,
}

/// The candidates of one service.
#[derive(Debug)]
struct Ranking {
    count: usize,
    zones: HashMap<Rc<str>, Zone>,
    chosen: Vec<Rc<str>>,
    /// The board's count of changes when it was asked for last.
    asked: u64,
}

impl Ranking {
    fn new(count: usize) -> Self {
        Self {
            count,
            zones: HashMap::new(),
            chosen: Vec::new(),
            asked: 0,
        }
    }

    /// Takes in a candidate; whether others may have to be chosen.
    fn insert(&mut self, zone: &Rc<str>, place: Place) -> bool {
        let most = self.count + SPARE;
        let zone = self.zones.entry(Rc::clone(zone)).or_default();
        let at = zone.places.partition_point(|other| other.is_before(&place));
        if at >= most || zone.is_cut && at == zone.places.len() {
            zone.is_cut = true;
            return false;
        }
        zone.places.insert(at, place);
        if zone.places.len() > most {
            zone.places.truncate(most);
            zone.is_cut = true;
        }
        at < self.count
    }

    /// Takes out a candidate; whether the rest is still enough to choose among.
    fn remove(&mut self, zone: &str, name: &str) -> bool {
        let Some(zone) = self.zones.get_mut(zone) else {
            return true;
        };
        zone.places.retain(|place| &*place.name != name);
        !zone.is_cut || zone.places.len() >= self.count
    }

    /// Chooses: zones take turns, the best of each first.
    fn choose(&mut self) {
        let mut chosen = Vec::with_capacity(self.count);
        for turn in 0..self.count {
            let in_turn = self.zones.values().filter_map(|zone| zone.places.get(turn));
            let mut in_turn: Vec<_> = in_turn.collect();
            in_turn.sort_by(|a, b| {
                a.score
                    .total_cmp(&b.score)
                    .then_with(|| a.name.cmp(&b.name))
            });
            let free = self.count - chosen.len();
            chosen.extend(
                in_turn
                    .into_iter()
                    .take(free)
                    .map(|place| Rc::clone(&place.name)),
            );
        }
        self.chosen = chosen;
    }
}

/// The holders of many services.
///
/// ```
/// use admit::{placement::Placement, holders::{Candidate, choose}};
///
/// let one = |name, zone| Candidate { name, zone, weight: 25, able: true };
/// let all = [one("a-1", "a"), one("a-2", "a"), one("b-1", "b")];
/// let mut board = Placement::default();
/// all.iter().for_each(|candidate| board.put(candidate));
/// let holders: Vec<_> = board.holders("bookings", 2).iter().map(|name| &**name).collect();
/// assert_eq!(holders, choose("bookings", &all, 2));
/// ```
#[derive(Debug, Default)]
pub struct Placement {
    members: HashMap<Rc<str>, Member>,
    zones: BTreeSet<Rc<str>>,
    able: usize,
    rankings: HashMap<Rc<str>, Ranking>,
    changes: u64,
    draws: u64,
}

impl Placement {
    /// Takes in a candidate that came, or that changed.
    pub fn put(&mut self, candidate: &Candidate<'_>) {
        let old = self.members.get(candidate.name);
        let same = |m: &Member| {
            &*m.zone == candidate.zone && m.weight == candidate.weight && m.able == candidate.able
        };
        if old.is_some_and(same) {
            return;
        }
        self.remove(candidate.name);
        let name: Rc<str> = candidate.name.into();
        let member = Member {
            zone: self.zone(candidate.zone),
            weight: candidate.weight,
            able: candidate.able,
        };
        self.count(&member, 1);
        if self.is_fit(&member) {
            for (service, ranking) in &mut self.rankings {
                self.draws += 1;
                let score = holders::score(service, &name, member.weight);
                let name = Rc::clone(&name);
                if ranking.insert(&member.zone, Place { score, name }) {
                    ranking.choose();
                }
            }
        }
        self.members.insert(name, member);
    }

    /// Takes in that a candidate is gone.
    pub fn remove(&mut self, name: &str) {
        let Some(member) = self.members.remove(name) else {
            return;
        };
        self.count(&member, -1);
        self.rankings.retain(|_, ranking| {
            let is_enough = ranking.remove(&member.zone, name);
            if ranking.chosen.iter().any(|chosen| **chosen == *name) {
                ranking.choose();
            }
            is_enough
        });
    }

    /// How many candidates there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether anybody but the candidate `name` can serve.
    pub fn has_other_able(&self, name: &str) -> bool {
        let own = self.members.get(name).is_some_and(|member| member.able);
        self.able > usize::from(own)
    }

    /// How often a candidate's place for a service was drawn.
    pub fn score_count(&self) -> u64 {
        self.draws
    }

    /// Which `count` candidates hold `service`, the first one first.
    pub fn holders(&mut self, service: &str, count: usize) -> &[Rc<str>] {
        let known = self.rankings.get(service);
        if known.is_none_or(|ranking| ranking.count != count) {
            let ranking = self.rank(service, count);
            self.rankings.insert(service.into(), ranking);
        }
        let Some(ranking) = self.rankings.get_mut(service) else {
            return &[];
        };
        ranking.asked = self.changes;
        &ranking.chosen
    }

    fn rank(&mut self, service: &str, count: usize) -> Ranking {
        let mut ranking = Ranking::new(count);
        let fit = self
            .members
            .iter()
            .filter(|(_, member)| self.is_fit(member));
        let mut draws = 0;
        for (name, member) in fit {
            draws += 1;
            let score = holders::score(service, name, member.weight);
            let name = Rc::clone(name);
            ranking.insert(&member.zone, Place { score, name });
        }
        self.draws += draws;
        ranking.choose();
        ranking
    }

    /// Whether a candidate can be chosen: those that can't serve only if nobody can.
    fn is_fit(&self, member: &Member) -> bool {
        member.able || self.able == 0
    }

    /// Counts a candidate in or out.
    fn count(&mut self, member: &Member, by: isize) {
        let were_able = self.able > 0;
        if member.able {
            self.able = self.able.saturating_add_signed(by);
        }
        if were_able != (self.able > 0) {
            self.rankings.clear();
        }
        self.changes += 1;
        let changes = self.changes;
        self.rankings
            .retain(|_, ranking| ranking.asked + UNUSED > changes);
    }

    fn zone(&mut self, zone: &str) -> Rc<str> {
        if let Some(known) = self.zones.get(zone) {
            return Rc::clone(known);
        }
        let new: Rc<str> = zone.into();
        self.zones.insert(Rc::clone(&new));
        new
    }
}
