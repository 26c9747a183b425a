//! Acknowledgement of writes and confirmation of current reads by a majority.
//!
//! A write that the primary ran at term t and position p is acknowledged once
//! each member of a majority has reported, in one answer, that it holds p of
//! term t's log and is fenced to no more than t. A promotion to a higher term
//! fences a majority before it chooses, so at least one of its answers comes
//! from an upstream that held p when it was fenced: p is in the new primary's
//! log. Counting a replica that is already fenced higher would break this
//! overlap.

use std::collections::{BTreeMap, BTreeSet};

use clock::Instant;
use model::{Lsn, Position, Report, Role, Term, name};

/// Number of a waiting write or read, assigned by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

#[derive(Debug)]
struct Holder {
    lsn: Lsn,
    confirmed: Option<Instant>,
}

/// Writes and reads of one database that wait for a majority at one instance.
///
/// ```
/// use clock::Instant;
/// use failover::quorum::{Id, Quorum};
/// use model::{Lsn, Position, Report, Role, Term, name};
///
/// let upstream = |u| name::Upstream::new(u).unwrap();
/// let report = |role, lsn| Report {
///     role,
///     fenced: Term(4),
///     received: Position::new(4, lsn),
///     replayed: Lsn(lsn),
/// };
/// let mut quorum = Quorum::open(3, Term(4), upstream("a"));
/// assert_eq!(quorum.add_write(Id(1), Position::new(4, 70)), Ok(None));
/// let asked = Instant::ZERO;
/// assert!(quorum.report(&upstream("a"), asked, &report(Role::Primary, 75)).is_empty());
/// assert_eq!(quorum.report(&upstream("b"), asked, &report(Role::Replica, 70)), [Id(1)]);
/// ```
#[derive(Debug)]
pub struct Quorum {
    majority: usize,
    term: Term,
    primary: name::Upstream,
    holders: BTreeMap<name::Upstream, Holder>,
    writes: BTreeSet<(Lsn, Id)>,
    reads: BTreeSet<(Instant, Id)>,
}

impl Quorum {
    /// Creates the quorum of a group of `size` upstreams led by `primary` in
    /// `term`.
    pub fn open(size: usize, term: Term, primary: name::Upstream) -> Self {
        Self {
            majority: majority(size),
            term,
            primary,
            holders: BTreeMap::new(),
            writes: BTreeSet::new(),
            reads: BTreeSet::new(),
        }
    }

    /// Term whose writes are acknowledged.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Adds a write that the primary ran at `position`; `Some` if a majority is
    /// already known to hold it.
    ///
    /// # Errors
    ///
    /// [`Replaced`] if the position is of another term: the outcome of the
    /// write is unknown here.
    pub fn add_write(&mut self, id: Id, position: Position) -> Result<Option<Id>, Replaced> {
        if position.term != self.term {
            let term = self.term;
            return Err(Replaced { term });
        }
        if position.lsn <= self.committed() {
            return Ok(Some(id));
        }
        self.writes.insert((position.lsn, id));
        Ok(None)
    }

    /// Adds a read that began at `began`. The read waits until a majority that
    /// includes the primary has confirmed this term in answers to probes sent
    /// since then.
    pub fn add_read(&mut self, id: Id, began: Instant) {
        self.reads.insert((began, id));
    }

    /// Handles the report of an upstream to a probe sent at `asked`, and
    /// returns the writes to acknowledge and the reads that may run.
    pub fn report(
        &mut self,
        upstream: &name::Upstream,
        asked: Instant,
        report: &Report,
    ) -> Vec<Id> {
        if report.fenced > self.term {
            return Vec::new();
        }
        let holder = self.holders.entry(upstream.clone()).or_insert(Holder {
            lsn: Lsn::default(),
            confirmed: None,
        });
        if report.received.term == self.term {
            holder.lsn = holder.lsn.max(report.received.lsn);
        }
        let leads = report.role == Role::Primary && report.received.term == self.term;
        if leads || *upstream != self.primary {
            holder.confirmed = holder.confirmed.max(Some(asked));
        }
        let mut done = self.take_committed();
        done.extend(self.take_confirmed());
        done
    }

    /// Switches to the primary of a higher term and returns all waiting writes
    /// and reads: the outcome of each write is unknown, and each read must
    /// start again.
    pub fn replace_primary(&mut self, term: Term, primary: name::Upstream) -> Vec<Id> {
        if term <= self.term {
            return Vec::new();
        }
        self.term = term;
        self.primary = primary;
        self.holders.clear();
        let writes = std::mem::take(&mut self.writes)
            .into_iter()
            .map(|(_, id)| id);
        let reads = std::mem::take(&mut self.reads)
            .into_iter()
            .map(|(_, id)| id);
        writes.chain(reads).collect()
    }

    /// Sets the group's upstreams as the catalogue lists them now.
    ///
    /// Majorities before and after overlap only if upstreams join or leave one
    /// at a time, and each change is in force everywhere before the next.
    pub fn set_upstreams(&mut self, upstreams: &[name::Upstream]) {
        self.majority = majority(upstreams.len());
        self.holders.retain(|u, _| upstreams.contains(u));
    }

    /// Removes a write whose deadline has passed.
    pub fn cancel_write(&mut self, id: Id, position: Position) {
        self.writes.remove(&(position.lsn, id));
    }

    /// Removes a read that began at `began`.
    pub fn cancel_read(&mut self, id: Id, began: Instant) {
        self.reads.remove(&(began, id));
    }

    /// Number of waiting writes and reads.
    pub fn waiting(&self) -> usize {
        self.writes.len() + self.reads.len()
    }

    /// Position up to which a majority holds this term's log.
    pub fn committed(&self) -> Lsn {
        let mut positions: Vec<Lsn> = self.holders.values().map(|h| h.lsn).collect();
        positions.sort_unstable_by(|a, b| b.cmp(a));
        positions
            .get(self.majority - 1)
            .copied()
            .unwrap_or_default()
    }

    fn take_committed(&mut self) -> Vec<Id> {
        let committed = self.committed();
        let mut done = Vec::new();
        while let Some(&(lsn, id)) = self.writes.first() {
            if lsn > committed {
                break;
            }
            self.writes.pop_first();
            done.push(id);
        }
        done
    }

    fn take_confirmed(&mut self) -> Vec<Id> {
        let Some(bound) = self.confirmed_since() else {
            return Vec::new();
        };
        let mut done = Vec::new();
        while let Some(&(began, id)) = self.reads.first() {
            if began > bound {
                break;
            }
            self.reads.pop_first();
            done.push(id);
        }
        done
    }

    /// Latest time since which a majority that includes the primary has
    /// answered.
    fn confirmed_since(&self) -> Option<Instant> {
        let primary = self.holders.get(&self.primary)?.confirmed?;
        let mut times: Vec<Instant> = self.holders.values().filter_map(|h| h.confirmed).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.majority - 1).map(|&m| m.min(primary))
    }
}

/// Error: the position of a write is not of the current term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the primary was replaced; term {term} leads")]
pub struct Replaced {
    /// Term of the current primary.
    pub term: Term,
}

/// Returns the smallest number that is more than half of `size`.
pub fn majority(size: usize) -> usize {
    size / 2 + 1
}
