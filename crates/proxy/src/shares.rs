//! Counting accounts' operations against their quotas, all instances together
//! ([`admit::shares`]).
//!
//! Whoever takes a caller asks one of its account's keepers for each operation, by datagram,
//! and the next one if that has none to give or does not answer. Who keeps, and how much of a
//! quota, stands in a table in the store; the relays that read the catalogue look after it.

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

/// The first byte of the table as it is stored: its format.
const FORMAT: u8 = 1;

/// How long a keeper may take to answer: a hop there and back, and a turn of a busy processor.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// How long a keeper that did not answer is asked last.
const UNRESPONSIVE_FOR: Duration = Duration::from_secs(1);

/// How long a caller waits where no table is known yet.
const FIRST_TABLE_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an account that nobody asks for is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// For how long ahead operations are asked for: a customer of many a second costs a question
/// for several of them, one of few an exact count.
const PREFETCH: Duration = Duration::from_millis(40);

/// How long operations that were given count.
const GRANT_TTL: Duration = Duration::from_millis(500);

/// What may be asked for beyond a quota before it counts as exceeded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slack {
    /// Over which time operations are counted.
    pub window: Duration,
    /// A part of the quota.
    pub fraction: f64,
    /// A number of operations.
    pub count: f64,
}

impl Slack {
    /// How many operations beyond `quota` one window may have.
    fn spare(&self, quota: Quota) -> f64 {
        self.fraction * (quota.rate * self.window.as_secs_f64() + quota.burst) + self.count
    }
}

/// What a keeper answers: how many operations it gives, or how long it takes until it has one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Answer {
    count: u32,
    wait: Duration,
}

/// An account whose callers this instance takes.
#[derive(Debug)]
struct Usage {
    /// Operations that were given and not used yet, and when.
    granted: (u32, Instant),
    /// Until when no keeper has any.
    exhausted_until: Instant,
    demand: Demand,
    last_used: Instant,
}

/// The counting of accounts' operations.
#[derive(Debug, Default)]
pub struct Shares {
    table: RefCell<Table>,
    /// Its revision, the table of the era before, and until when that one may still be in use.
    revision: Cell<u64>,
    previous: RefCell<Option<(Table, Instant)>>,
    /// Of the accounts that this instance keeps.
    buckets: RefCell<HashMap<String, Bucket>>,
    /// Since when this instance has kept them.
    owned_since: RefCell<HashMap<String, Instant>>,
    /// When the first table was known: what is kept by then was kept before this life.
    first_table_at: Cell<Option<Instant>>,
    usage: RefCell<HashMap<Rc<str>, Usage>>,
    last_id: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    /// Which keepers did not answer, and when.
    unresponsive: RefCell<HashMap<String, Instant>>,
    ledger: RefCell<Option<Planner>>,
    /// What was given and refused since it was told last.
    tallies: RefCell<HashMap<String, Tally>>,
    logged_at: Cell<Instant>,
    /// Told when the table has changed.
    updated: Notify,
    /// Told when the store may have a newer table.
    pub(crate) outdated: Notify,
}

/// The key of the table.
pub fn table_key<E: Edge>() -> String {
    format!("{}shares", E::OWN_PREFIX)
}

impl Shares {
    /// Takes in the table as the store holds it, for the instance with this `name`.
    ///
    /// One that stands in a copy of the store may be older than the one before, and some go on
    /// by that one for `span`: until it is over a keeper has the smaller share of both.
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
            None => log::error!("the accounts' shares can't be read"),
        }
        // What it kept already when it started it has not given since then.
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

    /// Takes in a keeper's answer.
    pub(crate) fn resolve(&self, id: u64, count: u32, wait: Duration) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&id) {
            let _ = sender.send(Answer { count, wait });
        }
    }

    /// The accounts whose callers this instance takes, and how many operations a second they
    /// ask for here.
    pub fn demand(&self, now: Instant) -> Vec<(Rc<str>, f64)> {
        let accounts = self.usage.borrow();
        let demand = accounts.iter();
        demand
            .map(|(account, usage)| (Rc::clone(account), usage.demand.rate(now)))
            .collect()
    }

    /// The shares that `instance` has, in thousandths of the accounts' quotas.
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

    /// Whether a table of the era before may still be in use.
    fn is_previous_in_use(&self, now: Instant) -> bool {
        let previous = self.previous.borrow();
        previous.as_ref().is_some_and(|(_, until)| *until > now)
    }

    /// Counts an operation that is asked for; whether one is at hand that was given before.
    /// `None` if no keeper has one for a while.
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

    /// How many operations to ask for at once.
    fn batch_size(&self, account: &Rc<str>, now: Instant) -> u32 {
        let accounts = self.usage.borrow();
        let rate = accounts
            .get(account)
            .map_or(0.0, |usage| usage.demand.rate(now));
        1 + (rate * PREFETCH.as_secs_f64()) as u32
    }

    /// Keeps operations that were given beyond the one that is used at once.
    fn store_grant(&self, account: &Rc<str>, count: u32, now: Instant) {
        if let Some(usage) = self.usage.borrow_mut().get_mut(account) {
            usage.granted = (count, now);
        }
    }

    /// Takes back an operation that nobody ran: it counts for nothing.
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

    /// Whether a keeper did not answer a moment ago.
    fn is_unresponsive(&self, limiter: &str, now: Instant) -> bool {
        let unresponsive = self.unresponsive.borrow();
        unresponsive
            .get(limiter)
            .is_some_and(|at| *at + UNRESPONSIVE_FOR > now)
    }
}

/// Counts an operation of `account`, which may wait for as long as `max_wait`.
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

/// Asks the account's keepers one after the other.
///
/// # Errors
///
/// None of them has an operation to give, and for how long.
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

/// The account's keepers in the order in which this instance asks them: itself, those of its
/// zone, the others in any order, and last who did not answer a moment ago.
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

/// Asks another keeper; `None` if it does not answer.
async fn query_limiter<E: Edge>(
    node: &Node<E>,
    limiter: &str,
    account: &Rc<str>,
    count: u32,
) -> Option<Answer> {
    let shares = &node.shares;
    let address = node.peers.address(limiter)?;
    shares.last_id.set(shares.last_id.get() + 1);
    // A number of this life: an answer to a question of the life before is none to this.
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
