//! Chooses for a read: a replica, a wait, the primary, a round, or a refusal.

use std::time::Duration;

use clock::Instant;
use model::{Cause, Freshness, Position, Role};
use rand::Rng;
use session::Floor;

use crate::{
    Choice, Read, Router, Target, Trust,
    node::{Node, Side},
    verify::demand,
};

/// The state that a replica must have reached to serve a read.
#[derive(Debug, Clone, Copy)]
struct Requirement {
    position: Position,
    /// Time by which the primary is known to have reached the position.
    reached: Instant,
    bound: Option<Duration>,
}

/// A replica that can serve the read.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    node: usize,
    cost: Duration,
}

impl Router {
    /// Chooses an upstream for a read, or what to do until one can be chosen.
    ///
    /// ```
    /// use clock::Instant;
    /// use rand::SeedableRng;
    /// use model::{Cause, name};
    /// use route::{Choice, Conf, Read, Router};
    ///
    /// let zone = name::Zone::new("nl-west-1").unwrap();
    /// let mut router = Router::new(&zone, Conf::default());
    /// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    /// let read = Read::new(Instant::ZERO, Instant::from_millis(500));
    /// let choice = router.choose(Instant::ZERO, &read, &mut rng);
    /// assert_eq!(choice, Choice::Refuse(Cause::NoUpstream));
    /// ```
    pub fn choose(&mut self, now: Instant, read: &Read, rng: &mut impl Rng) -> Choice {
        if now >= read.deadline {
            return Choice::Refuse(Cause::Deadline);
        }
        if self.nodes.is_empty() {
            return Choice::Refuse(Cause::NoUpstream);
        }
        if self.known_writes.contains(now, read.fingerprint) {
            return self.choose_primary(read);
        }
        let read = self.with_floor(read);
        let Floor::Known(floor) = read.floor else {
            return self.choose_without_floor(&read);
        };
        let requirement = self.requirement(now, &read, floor);
        if self.needs_round(now, &requirement) {
            return Choice::AwaitRound;
        }
        let candidates = self.candidates(now, &read, &requirement);
        if let Some(candidate) = pick_cheaper(&candidates, rng)
            && !self.prefers_primary(candidate.cost)
        {
            let node = &self.nodes[candidate.node];
            return Choice::Replica(node.member.upstream.clone());
        }
        if candidates.is_empty()
            && let Some(choice) = self.wait(now, &read, &requirement, self.conf.max_replica_wait)
        {
            return choice;
        }
        self.fall_back(now, &read, &requirement)
    }

    /// Returns the read with its floor, if a round that began after the read did, or
    /// after its session did, gives one.
    ///
    /// The floor of a current read is everything acknowledged before the read
    /// began, so a round that began later is valid for it as for a session.
    pub(crate) fn with_floor(&self, read: &Read) -> Read {
        let since = match (read.freshness, read.floor) {
            (Freshness::Current, _) => read.began,
            (_, Floor::Unknown { since }) => since,
            (_, Floor::Known(_)) => return *read,
        };
        let floor = match (self.first_round_since(since), read.floor) {
            (Some(round), Floor::Known(floor)) => {
                Floor::Known(session::join(floor, round.position))
            }
            (Some(round), Floor::Unknown { .. }) => Floor::Known(round.position),
            (None, _) => Floor::Unknown { since },
        };
        read.floor(floor)
    }

    fn requirement(&self, now: Instant, read: &Read, floor: Position) -> Requirement {
        let position = demand(floor, read.seen, Target::Replica);
        let bound = match read.freshness {
            Freshness::Age(bound) => Some(bound),
            Freshness::Session | Freshness::Current => None,
        };
        Requirement {
            position,
            reached: self.history.reached(position).unwrap_or(now),
            bound,
        }
    }

    /// Returns true if the newest round is too old to prove the age of any answer and
    /// a new round would prove one.
    fn needs_round(&self, now: Instant, requirement: &Requirement) -> bool {
        let (Some(bound), Some(newest)) = (requirement.bound, self.confirmed()) else {
            return false;
        };
        let replicas = self.nodes.iter().filter(|node| self.is_replica(node));
        let Some(cost) = replicas.map(Node::cost).min() else {
            return false;
        };
        let has_primary = self.primary_node().is_some_and(Node::is_usable);
        let is_within = |since: Instant| (now + cost).since(since) <= bound;
        has_primary && !is_within(newest.since) && cost + self.round_trip() <= bound
    }

    /// Expected duration of a confirmation round.
    fn round_trip(&self) -> Duration {
        self.nodes.iter().map(Node::rtt).max().unwrap_or_default()
    }

    fn is_replica(&self, node: &Node) -> bool {
        let replica = node.answer.is_some_and(|a| a.report.role == Role::Replica);
        replica && node.is_usable() && !self.has_diverged(node)
    }

    fn candidates(
        &mut self,
        now: Instant,
        read: &Read,
        requirement: &Requirement,
    ) -> Vec<Candidate> {
        let newest = self.confirmed().map(|round| round.since);
        let mut found = Vec::new();
        for at in 0..self.nodes.len() {
            if !self.is_replica(&self.nodes[at])
                || !has_reached(&self.nodes[at], now, read, requirement)
            {
                continue;
            }
            let exclusion = self.conf.exclusion;
            let node = &mut self.nodes[at];
            let cost = node.cost();
            let side = match requirement.bound {
                Some(bound) => node.update_side(
                    now,
                    bound,
                    provable_age(node, now, read.trust, newest),
                    exclusion,
                ),
                None => Side::Inside,
            };
            if side == Side::Inside && now + cost <= read.deadline {
                found.push(Candidate { node: at, cost });
            }
        }
        found
    }

    /// Returns true if the primary is expected to answer so much earlier than a
    /// replica of this cost that the read goes to the primary.
    pub(crate) fn prefers_primary(&self, cost: Duration) -> bool {
        let primary = self.primary_node().filter(|node| node.is_usable());
        primary.is_some_and(|node| cost > node.cost() + self.conf.spill_margin)
    }

    /// Waits for the replica that is expected to serve first, if its answer is due
    /// within `max_wait` after the read began and before the read's deadline.
    fn wait(
        &self,
        now: Instant,
        read: &Read,
        requirement: &Requirement,
        max_wait: Duration,
    ) -> Option<Choice> {
        let end = (read.began + max_wait).min(read.deadline);
        let waiting = self.nodes.iter().filter(|node| self.is_replica(node));
        let waits = waiting.filter_map(|node| {
            let wait = time_to_serve(node, now, requirement)?;
            Some((wait.max(MIN_WAIT), node))
        });
        let (wait, node) = waits.min_by_key(|(wait, node)| *wait + node.cost())?;
        (now + wait + node.cost() <= end).then(|| Choice::Wait {
            upstream: node.member.upstream.clone(),
            until: now + wait,
        })
    }

    /// Chooses the primary, or a wait until the deadline, if no replica can serve in
    /// time.
    fn fall_back(&self, now: Instant, read: &Read, requirement: &Requirement) -> Choice {
        if let Some(node) = self.primary_node().filter(|node| node.is_usable()) {
            let upstream = node.member.upstream.clone();
            return match read.trust {
                Trust::Expected | Trust::Proved => Choice::Primary(upstream),
                Trust::Confirmed => Choice::Confirmed(upstream),
            };
        }
        let left = read.deadline.since(now);
        if let Some(choice) = self.wait(now, read, requirement, left) {
            return choice;
        }
        self.hold_read(read)
    }

    fn choose_primary(&self, read: &Read) -> Choice {
        match self.primary_node().filter(|node| node.is_usable()) {
            Some(node) => Choice::Primary(node.member.upstream.clone()),
            None => self.hold_read(read),
        }
    }

    /// Chooses for a read whose floor is not known yet.
    fn choose_without_floor(&self, read: &Read) -> Choice {
        let Some(primary) = self.primary_node().filter(|node| node.is_usable()) else {
            return self.hold_read(read);
        };
        if read.freshness != Freshness::Current {
            return Choice::AwaitRound;
        }
        // The confirmation runs in parallel to the read, so the primary answers
        // first unless its queue takes longer than a round and a replica.
        let replicas = self.nodes.iter().filter(|node| self.is_replica(node));
        let replica = replicas.map(Node::cost).min();
        if replica.is_some_and(|cost| self.round_trip() + cost < primary.cost()) {
            return Choice::AwaitRound;
        }
        Choice::Confirmed(primary.member.upstream.clone())
    }

    /// Holds the read while no primary is known, which is short: after the start of
    /// this instance and during a change of primary.
    fn hold_read(&self, read: &Read) -> Choice {
        Choice::Hold {
            until: read.deadline,
        }
    }
}

/// Shortest wait; the events of shorter ones cost more than they save.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Returns true if the node has reached the required position or, with
/// [`Trust::Expected`], should have reached it by now.
fn has_reached(node: &Node, now: Instant, read: &Read, requirement: &Requirement) -> bool {
    if node
        .position()
        .is_some_and(|p| p.covers(requirement.position))
    {
        return true;
    }
    let same_term = node
        .position()
        .is_some_and(|p| p.term >= requirement.position.term);
    let expected = node.expected_as_of(now);
    read.trust == Trust::Expected && same_term && expected >= Some(requirement.reached)
}

/// Returns the age that can be proved for the node's answer at its arrival. The
/// proof needs a round, however fresh the node is expected to be.
fn provable_age(
    node: &Node,
    now: Instant,
    trust: Trust,
    newest: Option<Instant>,
) -> Option<Duration> {
    let shown = match trust {
        Trust::Expected => node.expected_as_of(now)?.min(newest?),
        Trust::Proved | Trust::Confirmed => node.as_of()?,
    };
    Some((now + node.cost()).since(shown))
}

/// Returns the expected time until a statement sent to the node is fresh enough.
fn time_to_serve(node: &Node, now: Instant, requirement: &Requirement) -> Option<Duration> {
    let to_floor = match node.position() {
        Some(position) if position.covers(requirement.position) => Duration::ZERO,
        Some(position) if position.term < requirement.position.term => return None,
        _ => node.wait(now, requirement.reached)?,
    };
    let Some(bound) = requirement.bound else {
        return Some(to_floor);
    };
    let oldest = now + node.cost() - bound;
    let to_bound = node.wait(now, oldest)?.max(node.exclusion_left(now, bound));
    Some(to_floor.max(to_bound))
}

/// Returns the cheaper of two random candidates. The cheapest of all would get the
/// reads of every instance until the next report.
fn pick_cheaper(candidates: &[Candidate], rng: &mut impl Rng) -> Option<Candidate> {
    let (&first, rest) = candidates.split_first()?;
    if rest.is_empty() {
        return Some(first);
    }
    let a = rng.random_range(0..candidates.len());
    let b = (a + rng.random_range(1..candidates.len())) % candidates.len();
    let (a, b) = (candidates[a], candidates[b]);
    Some(if b.cost < a.cost { b } else { a })
}
