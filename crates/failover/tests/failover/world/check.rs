//! Invariants that every run is checked for.

use std::collections::BTreeMap;

use clock::Instant;
use model::{Position, Term};

use super::upstream::Server;

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Violation {
    /// An acknowledged write is not in the log of a later primary.
    Lost { write: u64, term: Term },
    /// A primary acknowledged a write after the promotion of a new primary that
    /// does not have the write.
    Replaced { write: u64, term: Term, by: Term },
    /// Two upstreams were promoted in one term.
    TwoPrimaries { term: Term },
}

#[derive(Debug, Default)]
pub(crate) struct Check {
    pub(crate) promotions: Vec<(Instant, Term, usize)>,
    leaders: BTreeMap<Term, usize>,
    acked: Vec<(u64, Position)>,
    highest_term: Term,
    pub(crate) violations: Vec<Violation>,
}

impl Check {
    pub(crate) fn promoted(&mut self, now: Instant, term: Term, u: usize) {
        self.promotions.push((now, term, u));
        if self.leaders.insert(term, u).is_some_and(|other| other != u) {
            self.violations.push(Violation::TwoPrimaries { term });
        }
    }

    pub(crate) fn acknowledged(&mut self, servers: &[Server], write: u64, position: Position) {
        let term = position.term;
        if term > self.highest_term {
            self.highest_term = term;
            self.check_survival(servers);
        }
        let by = self.highest_term;
        if term < by && !self.leader(servers, by).holds(write) {
            self.violations
                .push(Violation::Replaced { write, term, by });
        }
        self.acked.push((write, position));
    }

    fn leader<'a>(&self, servers: &'a [Server], term: Term) -> &'a Server {
        &servers[self.leaders.get(&term).copied().unwrap_or(0)]
    }

    /// Records a violation for each acknowledged write that is missing from the
    /// log of the primary of the highest term.
    pub(crate) fn check_survival(&mut self, servers: &[Server]) {
        let term = self.highest_term;
        let leader = self.leader(servers, term);
        let held: std::collections::BTreeSet<u64> = leader.log.iter().map(|(_, w)| *w).collect();
        for (write, _) in &self.acked {
            if !held.contains(write) {
                let write = *write;
                self.violations.push(Violation::Lost { write, term });
            }
        }
    }

    pub(crate) fn ack_count(&self) -> usize {
        self.acked.len()
    }
}
