//! Which instances count an account's operations, and how its quota is divided among them.
//!
//! The load pattern: many accounts of a few operations a second each, whose callers come to
//! any instance, and again to another one whenever they were refused. A quota must never be
//! exceeded by all instances together, also not by those that are cut off, and what one
//! refuses while another has some to spare is lost. If each instance that takes a caller had
//! a share of its own, shares would be so small that most is refused, and what is refused
//! comes to yet another instance, which has no share yet.
//!
//! So an account has a few keepers in different availability zones, with a share of its quota
//! each, and whoever takes a caller asks one of them for each operation, and the next one if
//! that has none to give. What shares there are stands in one table in the store, changed only
//! by compare-and-swap; whoever changes it needs no right, because the table says itself what
//! is free. A keeper uses its share as long as it can prove that the table it knows is no
//! older than a span, and a share that is taken back stays reserved until the span is over. A
//! keeper that starts again goes on with the share that it had.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use clock::Instant;
use serde::{Deserialize, Serialize};

use crate::holders::{self, Candidate};

/// The whole of a quota.
pub const TOTAL_PARTS: u16 = 1_000;

/// How many keepers an account has: with one of them lost, three quarters of its quota are
/// left, more than accounts usually ask for.
const LIMITERS: usize = 4;

/// How long a keeper may be silent until its share goes to another. One that starts again, or
/// is cut off from whoever looks after the table, is back by then; a share that moves is used
/// by nobody for the span, and three quarters of a quota are enough meanwhile.
const LIMITER_TIMEOUT: Duration = Duration::from_secs(8);

/// The smallest change that is worth writing.
const MIN_CHANGE: u16 = 25;

/// The most that moves at once from keepers that are there to others: nobody uses it for the
/// span.
const MAX_MOVING: u16 = 250;

/// The part of a span by which clocks of two machines may drift apart.
const DRIFT_DIVISOR: u32 = 50;

/// What names the duty, beside the names of accounts.
const ROLE: &str = "quota";

/// A keeper's share of an account's quota, in thousandths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// What it may use.
    pub parts: u16,
    /// What it may use still, if it has not heard yet that its share became smaller.
    pub reserved: u16,
}

/// The shares of an account, by the names of its keepers.
pub type Row = BTreeMap<String, Share>;

/// The shares of all accounts, by their names.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The shares of each account.
    pub rows: BTreeMap<String, Row>,
}

impl Table {
    /// What `instance` may use of the quota of `account`, in thousandths.
    pub fn parts(&self, account: &str, instance: &str) -> u16 {
        let row = self.rows.get(account);
        let share = row.and_then(|row| row.get(instance));
        share.map_or(0, |share| share.parts)
    }

    /// The keepers of `account` that have a share.
    pub fn limiters(&self, account: &str) -> impl Iterator<Item = &str> {
        let row = self.rows.get(account).into_iter().flatten();
        let limiters = row.filter(|(_, share)| share.parts > 0);
        limiters.map(|(name, _)| name.as_str())
    }
}

/// What whoever changes the table knows beside it.
#[derive(Debug)]
pub struct Planner {
    /// How long a share may be used by a keeper that has not heard that it changed.
    span: Duration,
    /// When each instance was there last.
    last_seen: HashMap<String, Instant>,
    started: Instant,
    /// Since when a share that became smaller has been seen so.
    reduced: HashMap<(String, String), (Share, Instant)>,
}

impl Planner {
    /// Begins to look after the table, where a share may be used for `span` by a keeper that
    /// has not heard that it changed.
    pub fn new(span: Duration, now: Instant) -> Self {
        Self {
            span: span + span / DRIFT_DIVISOR,
            last_seen: HashMap::new(),
            started: now,
            reduced: HashMap::new(),
        }
    }

    /// The next table, if there is something to change in `table`: for `accounts`, with new
    /// keepers among `candidates`. Who is `heard` goes on keeping, whatever other duties it
    /// has by now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use admit::{holders::Candidate, shares::{Planner, Table}};
    /// use clock::Instant;
    ///
    /// let at = Instant::from_millis;
    /// let one = |name, zone| Candidate { name, zone, weight: 25, able: true };
    /// let all = [one("a-1", "a"), one("b-1", "b")];
    /// let heard = ["a-1", "b-1"];
    /// let mut planner = Planner::new(Duration::from_secs(5), at(0));
    /// let table = planner.plan(&Table::default(), &["north"], &heard, &all, at(2_000)).unwrap();
    /// assert_eq!(table.parts("north", "a-1"), 500);
    /// assert_eq!(planner.plan(&table, &["north"], &heard, &all, at(2_000)), None);
    /// ```
    pub fn plan(
        &mut self,
        table: &Table,
        accounts: &[&str],
        heard: &[&str],
        candidates: &[Candidate<'_>],
        now: Instant,
    ) -> Option<Table> {
        for name in heard {
            self.last_seen.insert((*name).to_owned(), now);
        }
        let mut next = table.clone();
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

    /// Frees what was reserved for long enough.
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

    /// Whether an instance is there, or may be back in a moment.
    fn is_live(&self, name: &str, now: Instant) -> bool {
        let seen = self.last_seen.get(name).copied().unwrap_or(self.started);
        seen + LIMITER_TIMEOUT > now
    }

    /// Divides an account's quota anew; whether anything changed.
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

/// What of the quota nobody may use.
fn unreserved(row: &Row) -> u16 {
    let used: u16 = row.values().map(|share| share.reserved).sum();
    TOTAL_PARTS.saturating_sub(used)
}

/// Brings the shares of `keepers` to `even` each, as far as is free, and takes back what is
/// more; whether anything changed.
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
