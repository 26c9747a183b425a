//! Division of an account's quota among the instances that count its operations.
//!
//! Load pattern: many accounts of a few operations a second each, whose callers connect to
//! any instance and to another one after a refusal. All instances together must never exceed
//! a quota, not even those that are partitioned, and what one instance refuses while another
//! has quota to spare is lost. If each instance had a share of its own, the shares would be
//! so small that most operations are refused, only to be retried at an instance that has no
//! share yet.
//!
//! So an account has a few limiters in different availability zones, each with a share of the
//! quota. The instance that receives a request asks one limiter for each operation, and the
//! next one if the first has none left. The shares are stored in one table that is changed
//! only by compare-and-swap. The writer of the table needs no lease, because the table itself
//! says which parts are unreserved. A limiter uses its share while it can prove that its copy
//! of the table is no older than a certain span, and a share that is reduced stays reserved
//! until that span is over. A restarted limiter continues with its old share.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use clock::Instant;
use serde::{Deserialize, Serialize};

use crate::holders::{self, Candidate};

/// A whole quota, in thousandths.
pub const TOTAL_PARTS: u16 = 1_000;

/// Number of limiters of an account. If one is lost, three quarters of the quota are left,
/// more than accounts usually need.
const LIMITERS: usize = 4;

/// Silence after which a limiter's share goes to another. A restarting or briefly partitioned
/// limiter is back by then. A moved share can't be used during the span, and three quarters of
/// a quota suffice meanwhile.
const LIMITER_TIMEOUT: Duration = Duration::from_secs(8);

/// Longest time between two plans for which a planner knows whom it has not heard meanwhile.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Smallest change that is worth a write, in thousandths.
const MIN_CHANGE: u16 = 25;

/// Largest part that moves at once between live limiters, in thousandths: no limiter can use
/// the moving part during the span.
const MAX_MOVING: u16 = 250;

/// Divisor of a span that gives the largest clock drift between two machines: 2 %.
const DRIFT_DIVISOR: u32 = 50;

/// Hash key of the limiter role, prefixed to an account's name.
const ROLE: &str = "quota";

/// Share of a limiter in an account's quota, in thousandths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Part that the limiter may use.
    pub parts: u16,
    /// Part that a limiter unaware of a reduction may still be using.
    pub reserved: u16,
}

/// Shares of an account by limiter name.
pub type Row = BTreeMap<String, Share>;

/// Shares of all accounts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Shares by account name.
    pub rows: BTreeMap<String, Row>,
}

impl Table {
    /// Part of the quota of `account` that `instance` may use, in thousandths.
    pub fn parts(&self, account: &str, instance: &str) -> u16 {
        let row = self.rows.get(account);
        let share = row.and_then(|row| row.get(instance));
        share.map_or(0, |share| share.parts)
    }

    /// The limiters of `account` that have a share.
    pub fn limiters(&self, account: &str) -> impl Iterator<Item = &str> {
        let row = self.rows.get(account).into_iter().flatten();
        let limiters = row.filter(|(_, share)| share.parts > 0);
        limiters.map(|(name, _)| name.as_str())
    }
}

/// The table as the store holds it.
#[derive(Debug, Clone, Copy)]
pub struct Stored<'a> {
    /// The table.
    pub table: &'a Table,
    /// Revision of its last change.
    pub revision: u64,
}

/// Planner of changes to the table, with the state that the table does not hold.
#[derive(Debug)]
pub struct Planner {
    /// Revision of the table that was planned for last, or written by this planner since.
    revision: u64,
    planned_at: Instant,
    /// Time for which a limiter unaware of a reduction may use its old share, with drift.
    span: Duration,
    /// Moment at which each instance was last heard.
    last_seen: HashMap<String, Instant>,
    started: Instant,
    /// Reduced shares by account and limiter, each with the moment it was first seen.
    reduced: HashMap<(String, String), (Share, Instant)>,
}

impl Planner {
    /// Creates a planner for a table where a limiter unaware of a reduction may use its old share
    /// for `span`.
    pub fn new(span: Duration, now: Instant) -> Self {
        Self {
            revision: 0,
            planned_at: now,
            span: span + span / DRIFT_DIVISOR,
            last_seen: HashMap::new(),
            started: now,
            reduced: HashMap::new(),
        }
    }

    /// Plans the successor of the stored table for `accounts`, with new limiters from `candidates`;
    /// `None` if there is nothing to change. Limiters in `heard` keep their role even if they are no
    /// longer candidates.
    ///
    /// ```
    /// use std::time::Duration;
    /// use admit::{holders::Candidate, shares::{Planner, Stored, Table}};
    /// use clock::Instant;
    ///
    /// let at = Instant::from_millis;
    /// let candidate = |name, zone| Candidate { name, zone, weight: 25, able: true };
    /// let all = [candidate("a-1", "a"), candidate("b-1", "b")];
    /// let heard = ["a-1", "b-1"];
    /// let mut planner = Planner::new(Duration::from_secs(5), at(0));
    /// let stored = Stored { table: &Table::default(), revision: 0 };
    /// let table = planner.plan(stored, &["north"], &heard, &all, at(2_000)).unwrap();
    /// planner.note_write(7);
    /// assert_eq!(table.parts("north", "a-1"), 500);
    /// let stored = Stored { table: &table, revision: 7 };
    /// assert_eq!(planner.plan(stored, &["north"], &heard, &all, at(2_000)), None);
    /// ```
    pub fn plan(
        &mut self,
        stored: Stored<'_>,
        accounts: &[&str],
        heard: &[&str],
        candidates: &[Candidate<'_>],
        now: Instant,
    ) -> Option<Table> {
        if stored.revision != self.revision {
            // Between two equal reductions that were seen, the share may have been in use again.
            self.reduced.clear();
            self.revision = stored.revision;
        }
        if self.planned_at + MAX_PAUSE < now {
            self.last_seen.clear();
            self.started = now;
        }
        self.planned_at = now;
        for name in heard {
            self.last_seen.insert((*name).to_owned(), now);
        }
        let mut next = stored.table.clone();
        let mut changed = false;
        for account in accounts {
            let mut row = next.rows.remove(*account).unwrap_or_default();
            self.release_reserved(account, &mut row, now);
            changed |= self.rebalance(account, &mut row, candidates, now);
            next.rows.insert((*account).to_owned(), row);
        }
        if !changed {
            return None;
        }
        let is_known = |account: &String| accounts.iter().any(|known| known == account);
        next.rows.retain(|account, _| is_known(account));
        Some(next)
    }

    /// Notes that the planned table was stored at `revision`.
    pub fn note_write(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Releases reservations that have been held for longer than the span.
    fn release_reserved(&mut self, account: &str, row: &mut Row, now: Instant) {
        for (name, share) in row.iter_mut() {
            let key = (account.to_owned(), name.clone());
            if share.reserved <= share.parts {
                self.reduced.remove(&key);
                continue;
            }
            let seen = self.reduced.entry(key).or_insert((*share, now));
            if seen.0 != *share {
                *seen = (*share, now);
            }
            if seen.1 + self.span < now {
                share.reserved = share.parts;
            }
        }
        row.retain(|_, share| share.reserved > 0);
    }

    /// Returns true if an instance is alive or may be back in a moment.
    fn is_live(&self, name: &str, now: Instant) -> bool {
        let seen = self.last_seen.get(name).copied().unwrap_or(self.started);
        seen + LIMITER_TIMEOUT > now
    }

    /// Redistributes an account's quota. Returns true if anything changed.
    fn rebalance(
        &self,
        account: &str,
        row: &mut Row,
        candidates: &[Candidate<'_>],
        now: Instant,
    ) -> bool {
        let mut changed = false;
        for (name, share) in row.iter_mut() {
            if share.parts > 0 && !self.is_live(name, now) {
                share.parts = 0;
                changed = true;
            }
        }
        let mut limiters: Vec<String> = row
            .iter()
            .filter(|(_, share)| share.parts > 0)
            .map(|(name, _)| name.clone())
            .collect();
        let role = format!("{ROLE} {account}");
        for name in holders::choose(&role, candidates, LIMITERS) {
            if limiters.len() < LIMITERS && !limiters.iter().any(|limiter| limiter == name) {
                limiters.push(name.to_owned());
            }
        }
        let Ok(count) = u16::try_from(limiters.len()) else {
            return changed;
        };
        if count == 0 {
            return changed;
        }
        changed | equalise(row, &limiters, TOTAL_PARTS / count)
    }
}

/// Part of the quota that is not reserved for any limiter.
fn unreserved(row: &Row) -> u16 {
    let used: u16 = row.values().map(|share| share.reserved).sum();
    TOTAL_PARTS.saturating_sub(used)
}

/// Raises the shares of `limiters` to `target` as far as unreserved parts allow, and reduces
/// larger shares. Returns true if anything changed.
fn equalise(row: &mut Row, limiters: &[String], target: u16) -> bool {
    let mut changed = false;
    for name in limiters {
        let available = unreserved(row);
        let share = row.entry(name.clone()).or_default();
        let missing = target.saturating_sub(share.parts);
        let grant = missing.min(available + share.reserved - share.parts);
        if grant >= MIN_CHANGE {
            share.parts += grant;
            share.reserved = share.reserved.max(share.parts);
            changed = true;
        }
    }
    let moving: u16 = row.values().map(|share| share.reserved - share.parts).sum();
    let mut available = MAX_MOVING.saturating_sub(moving);
    for share in row.values_mut() {
        let excess = share.parts.saturating_sub(target).min(available);
        if excess >= MIN_CHANGE {
            share.parts -= excess;
            available -= excess;
            changed = true;
        }
    }
    row.retain(|_, share| share.reserved > 0);
    changed
}
