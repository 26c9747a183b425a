//! Counts accounts' operations against their quotas across all instances ([`admit::shares`]).
//!
//! Each quota is divided into shares, which are owned by a few instances, the account's
//! limiters. An instance that serves a caller asks a limiter for each operation by datagram,
//! and asks the next one if that limiter has no operation left or doesn't answer. A table in
//! the store, maintained by the relay that reads the catalogue, lists the limiters and the
//! sizes of their shares.

mod limiter;
mod table;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use admit::{
    bucket::{Bucket, Demand},
    shares::{Planner, Table},
};
use clock::{Boot, Instant};
use tokio::{
    sync::{Notify, oneshot},
    time::{sleep, timeout},
};

use crate::{
    account::Quota,
    edge::{Edge, Item, era_of},
    node::Node,
    outcome::Cause,
    peers::heartbeat::Message,
};
pub(crate) use limiter::answer_request;
use limiter::{Tally, grant};
pub(crate) use table::run;

/// First byte of the stored table: the version of its format.
const FORMAT: u8 = 1;

/// Time that a limiter may take to answer: one round trip and one scheduling delay of a busy
/// processor.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Time for which a limiter that didn't answer is tried last.
const UNRESPONSIVE_FOR: Duration = Duration::from_secs(1);

/// Time that an operation waits while no table is known.
const FIRST_TABLE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which an unused account is dropped.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Period for which operations are requested in advance: an account with many operations per
/// second gets several with one request, an account with few is counted exactly.
const PREFETCH: Duration = Duration::from_millis(40);

/// Time after which granted operations expire.
const GRANT_TTL: Duration = Duration::from_millis(500);

/// The excess over a quota that is still tolerated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slack {
    /// The period over which operations are counted.
    pub window: Duration,
    /// Tolerated excess as a fraction of the quota.
    pub fraction: f64,
    /// Tolerated excess as a number of operations.
    pub count: f64,
}

impl Slack {
    /// Number of operations beyond `quota` that are tolerated in one window.
    fn allowance(&self, quota: Quota) -> f64 {
        self.fraction * (quota.rate * self.window.as_secs_f64() + quota.burst) + self.count
    }
}

/// A limiter's answer: the number of operations granted or, if there are none, the time until
/// one is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Answer {
    count: u32,
    wait: Duration,
}

/// Use of an account on this instance.
#[derive(Debug)]
struct Usage {
    /// Operations that were granted and aren't used yet, and the time of the grant.
    granted: (u32, Instant),
    /// Time until which no limiter has an operation left.
    exhausted_until: Instant,
    demand: Demand,
    last_used: Instant,
}

/// The shares of all accounts' quotas, and the use of the accounts on this instance.
#[derive(Debug, Default)]
pub struct Shares {
    table: RefCell<Table>,
    /// Revision of the table.
    revision: Cell<u64>,
    /// The table of an earlier era of the store, and the time until which it may be in use.
    previous: RefCell<Option<(Table, Instant)>>,
    /// Buckets of the shares that this instance owns.
    buckets: RefCell<HashMap<String, Bucket>>,
    /// When this instance got each of its shares.
    owned_since: RefCell<HashMap<String, Instant>>,
    /// When the first table was learnt. Shares in that table may have been owned before this
    /// process started.
    first_table_at: Cell<Option<Instant>>,
    usage: RefCell<HashMap<Rc<str>, Usage>>,
    last_id: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    /// Limiters that didn't answer, and when.
    unresponsive: RefCell<HashMap<String, Instant>>,
    planner: RefCell<Option<Planner>>,
    /// Grants and refusals since they were last logged.
    tallies: RefCell<HashMap<String, Tally>>,
    logged_at: Cell<Instant>,
    /// Notified when the table has changed.
    updated: Notify,
    /// Notified when the store may have a newer table.
    pub(crate) outdated: Notify,
}

/// Key of the table in the store.
pub fn table_key<E: Edge>() -> String {
    format!("{}shares", E::OWN_PREFIX)
}

impl Shares {
    /// Applies the stored table for the instance `name`.
    ///
    /// A table from a restored store may be older than the known one, and other instances may
    /// use the known one for another `span`. Until then a limiter may use the smaller one of
    /// its two shares.
    pub(crate) fn learn(&self, item: &Item, name: &str, (began, span): (Instant, Duration)) {
        let value = &item.value;
        let old_revision = self.revision.replace(item.revision);
        if old_revision != 0 && era_of(old_revision) < era_of(item.revision) {
            let previous = self.table.borrow().clone();
            let until = Boot.now() + span + span / 50;
            *self.previous.borrow_mut() = Some((previous, until));
        }
        let read = value
            .strip_prefix(&[FORMAT])
            .and_then(|body| postcard::from_bytes(body).ok());
        match read {
            Some(table) => *self.table.borrow_mut() = table,
            None => log::error!("the table of quota shares can't be decoded"),
        }
        // This instance hasn't granted anything from its first shares since the process
        // started.
        let now = match self.first_table_at.get() {
            None => began,
            Some(_) => Boot.now(),
        };
        self.first_table_at
            .set(self.first_table_at.get().or(Some(now)));
        let owned = self.owned(name);
        let mut since = self.owned_since.borrow_mut();
        let is_owned = |account: &String| owned.iter().any(|(owned, _)| owned == account);
        since.retain(|account, _| is_owned(account));
        self.buckets
            .borrow_mut()
            .retain(|account, _| is_owned(account));
        for (account, _) in owned {
            since.entry(account).or_insert(now);
        }
        drop(since);
        self.updated.notify_waiters();
    }

    /// Passes a limiter's answer to the request with this `id`.
    pub(crate) fn resolve(&self, id: u64, count: u32, wait: Duration) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&id) {
            let _ = sender.send(Answer { count, wait });
        }
    }

    /// The accounts in use on this instance, and the operations per second requested for each.
    pub fn demand(&self, now: Instant) -> Vec<(Rc<str>, f64)> {
        let accounts = self.usage.borrow();
        let demand = accounts.iter();
        demand
            .map(|(account, usage)| (Rc::clone(account), usage.demand.rate(now)))
            .collect()
    }

    /// The shares that `instance` owns, in thousandths of the accounts' quotas.
    pub fn owned(&self, instance: &str) -> Vec<(String, u16)> {
        let table = self.table.borrow();
        let rows = table.rows.keys();
        let owned = rows.map(|account| (account.clone(), table.parts(account, instance)));
        owned.filter(|(_, parts)| *parts > 0).collect()
    }

    /// The share of `account` that `name` may use, in thousandths.
    fn parts(&self, account: &str, name: &str, now: Instant) -> u16 {
        let parts = self.table.borrow().parts(account, name);
        match &*self.previous.borrow() {
            Some((previous, until)) if *until > now => parts.min(previous.parts(account, name)),
            _ => parts,
        }
    }

    /// Returns true if the table of an earlier era of the store may still be in use.
    fn is_previous_in_use(&self, now: Instant) -> bool {
        let previous = self.previous.borrow();
        previous.as_ref().is_some_and(|(_, until)| *until > now)
    }

    /// Counts a requested operation, and uses a granted one if there is any. Returns true if
    /// one was used, false if a limiter has to be asked, and `None` if all limiters have run
    /// out for now.
    fn take_granted(&self, account: &Rc<str>, now: Instant) -> Option<bool> {
        let mut accounts = self.usage.borrow_mut();
        accounts.retain(|_, usage| usage.last_used + FORGET_AFTER > now);
        let usage = accounts.entry(Rc::clone(account)).or_insert_with(|| Usage {
            granted: (0, now),
            exhausted_until: Instant::ZERO,
            demand: Demand::new(now),
            last_used: now,
        });
        usage.last_used = now;
        usage.demand.count(now);
        let (count, at) = usage.granted;
        if count > 0 && at + GRANT_TTL > now {
            usage.granted.0 -= 1;
            return Some(true);
        }
        (usage.exhausted_until <= now).then_some(false)
    }

    /// Number of operations to request at once.
    fn batch_size(&self, account: &Rc<str>, now: Instant) -> u32 {
        let accounts = self.usage.borrow();
        let rate = accounts
            .get(account)
            .map_or(0.0, |usage| usage.demand.rate(now));
        1 + (rate * PREFETCH.as_secs_f64()) as u32
    }

    /// Stores the operations that were granted beyond the one in use.
    fn store_grant(&self, account: &Rc<str>, count: u32, now: Instant) {
        if let Some(usage) = self.usage.borrow_mut().get_mut(account) {
            usage.granted = (count, now);
        }
    }

    /// Returns an operation that wasn't run, so that it doesn't count.
    pub(crate) fn refund(&self, account: &Rc<str>) {
        let now = Boot.now();
        if let Some(usage) = self.usage.borrow_mut().get_mut(account) {
            let (count, at) = usage.granted;
            usage.granted = match at + GRANT_TTL > now {
                true => (count + 1, at),
                false => (1, now),
            };
        }
    }

    fn mark_exhausted(&self, account: &Rc<str>, until: Instant) {
        if let Some(usage) = self.usage.borrow_mut().get_mut(account) {
            usage.exhausted_until = until;
        }
    }

    /// Returns true if a limiter recently failed to answer.
    fn is_unresponsive(&self, limiter: &str, now: Instant) -> bool {
        let unresponsive = self.unresponsive.borrow();
        unresponsive
            .get(limiter)
            .is_some_and(|at| *at + UNRESPONSIVE_FOR > now)
    }
}

/// Charges one operation to the quota of `account`, waiting up to `max_wait` for it.
///
/// # Errors
///
/// The account's quota is used up.
pub(crate) async fn charge<E: Edge>(
    node: &Node<E>,
    account: &Rc<str>,
    max_wait: Duration,
) -> Result<(), Cause> {
    if node.quota(account).is_none() {
        return Ok(());
    }
    let now = Boot.now();
    match node.shares.take_granted(account, now) {
        Some(true) => return Ok(()),
        Some(false) => {}
        None => return Err(Cause::OverQuota),
    }
    let shares = &node.shares;
    let has_table = async {
        loop {
            let updated = shares.updated.notified();
            if shares.table.borrow().limiters(account).next().is_some() {
                return;
            }
            updated.await;
        }
    };
    let _ = timeout(FIRST_TABLE_TIMEOUT, has_table).await;
    let Err(wait) = acquire(node, account).await else {
        return Ok(());
    };
    if wait > max_wait {
        shares.mark_exhausted(account, Boot.now() + wait - max_wait);
        return Err(Cause::OverQuota);
    }
    sleep(wait).await;
    acquire(node, account).await.map_err(|_| Cause::OverQuota)
}

/// Asks the account's limiters one after the other.
///
/// # Errors
///
/// No limiter has an operation left; the error is the time until one is available.
async fn acquire<E: Edge>(node: &Node<E>, account: &Rc<str>) -> Result<(), Duration> {
    let shares = &node.shares;
    let now = Boot.now();
    let count = shares.batch_size(account, now);
    let mut shortest = GRANT_TTL;
    for limiter in limiters(node, account, now) {
        let answer = match limiter == node.settings.name {
            true => grant(node, account, count),
            false => query_limiter(node, &limiter, account, count).await,
        };
        let Some(answer) = answer.filter(|answer| answer.wait < Duration::MAX) else {
            shares.unresponsive.borrow_mut().insert(limiter, Boot.now());
            continue;
        };
        if answer.count > 0 {
            shares.store_grant(account, answer.count - 1, Boot.now());
            return Ok(());
        }
        shortest = shortest.min(answer.wait);
    }
    Err(shortest)
}

/// The account's limiters in the order in which this instance asks them: itself, those in its
/// zone, the others in random order, and last those that recently failed to answer.
fn limiters<E: Edge>(node: &Node<E>, account: &str, now: Instant) -> Vec<String> {
    let shares = &node.shares;
    let table = shares.table.borrow();
    let mut limiters: Vec<_> = table.limiters(account).map(str::to_owned).collect();
    let rank = |limiter: &String| {
        let distance = match *limiter == node.settings.name {
            true => 0,
            false if node.peers.is_near(limiter) => 1,
            false => 2,
        };
        (
            shares.is_unresponsive(limiter, now),
            distance,
            rand::random::<u32>(),
        )
    };
    limiters.sort_by_cached_key(rank);
    limiters
}

/// Asks another limiter; `None` if it doesn't answer.
async fn query_limiter<E: Edge>(
    node: &Node<E>,
    limiter: &str,
    account: &Rc<str>,
    count: u32,
) -> Option<Answer> {
    let shares = &node.shares;
    let address = node.peers.address(limiter)?;
    shares.last_id.set(shares.last_id.get() + 1);
    // The offset by the incarnation keeps an answer to an earlier run of this process from
    // matching a request of this one.
    let id = node.incarnation.wrapping_add(shares.last_id.get());
    let (sender, answer) = oneshot::channel();
    shares.waiting.borrow_mut().insert(id, sender);
    let request = Message::QuotaRequest {
        id,
        reply_to: node.settings.peers,
        account: account.to_string(),
        count,
    };
    node.proofs.send(&request, address);
    let answer = timeout(ANSWER_TIMEOUT, answer).await;
    shares.waiting.borrow_mut().remove(&id);
    answer.ok()?.ok()
}
