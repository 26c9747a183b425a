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
pub(crate) use limiter::tell;
use limiter::{Tally, give};
pub(crate) use table::run;

/// The first byte of the table as it is stored: its format.
const FORMAT: u8 = 1;

/// How long a keeper may take to answer: a hop there and back, and a turn of a busy processor.
const ANSWER: Duration = Duration::from_millis(40);

/// How long a keeper that did not answer is asked last.
const LEFT: Duration = Duration::from_secs(1);

/// How long a caller waits where no table is known yet.
const FIRST: Duration = Duration::from_millis(400);

/// How long an account that nobody asks for is remembered.
const IDLE: Duration = Duration::from_secs(10);

/// For how long ahead operations are asked for: a customer of many a second costs a question
/// for several of them, one of few an exact count.
const AHEAD: Duration = Duration::from_millis(40);

/// How long operations that were given count.
const GIVEN: Duration = Duration::from_millis(500);

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
struct Use {
    /// Operations that were given and not used yet, and when.
    given: (u32, Instant),
    /// Until when no keeper has any.
    spent: Instant,
    demand: Demand,
    used: Instant,
}

/// The counting of accounts' operations.
#[derive(Debug, Default)]
pub struct Shares {
    table: RefCell<Table>,
    /// Its revision, the table of the era before, and until when that one may still be in use.
    revision: Cell<u64>,
    before: RefCell<Option<(Table, Instant)>>,
    /// Of the accounts that this instance keeps.
    buckets: RefCell<HashMap<String, Bucket>>,
    /// Since when this instance has kept them.
    since: RefCell<HashMap<String, Instant>>,
    /// When the first table was known: what is kept by then was kept before this life.
    first: Cell<Option<Instant>>,
    uses: RefCell<HashMap<Rc<str>, Use>>,
    last_id: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    /// Which keepers did not answer, and when.
    silent: RefCell<HashMap<String, Instant>>,
    ledger: RefCell<Option<Planner>>,
    /// What was given and refused since it was told last.
    tallies: RefCell<HashMap<String, Tally>>,
    told_at: Cell<Instant>,
    /// Told when the table has changed.
    learnt: Notify,
    /// Told when the store may have a newer table.
    pub(crate) behind: Notify,
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
        let known = self.revision.replace(item.revision);
        if known != 0 && era_of(known) < era_of(item.revision) {
            let before = self.table.borrow().clone();
            let until = Boot.now() + span + span / 50;
            *self.before.borrow_mut() = Some((before, until));
        }
        let read = value
            .strip_prefix(&[FORMAT])
            .and_then(|body| postcard::from_bytes(body).ok());
        match read {
            Some(table) => *self.table.borrow_mut() = table,
            None => log::error!("the accounts' shares can't be read"),
        }
        // What it kept already when it started it has not given since then.
        let now = match self.first.get() {
            None => began,
            Some(_) => Boot.now(),
        };
        self.first.set(self.first.get().or(Some(now)));
        let kept = self.owned(name);
        let mut since = self.since.borrow_mut();
        let is_kept = |account: &String| kept.iter().any(|(kept, _)| kept == account);
        since.retain(|account, _| is_kept(account));
        self.buckets
            .borrow_mut()
            .retain(|account, _| is_kept(account));
        for (account, _) in kept {
            since.entry(account).or_insert(now);
        }
        drop(since);
        self.learnt.notify_waiters();
    }

    /// Takes in a keeper's answer.
    pub(crate) fn told(&self, id: u64, count: u32, wait: Duration) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&id) {
            let _ = waiting.send(Answer { count, wait });
        }
    }

    /// The accounts whose callers this instance takes, and how many operations a second they
    /// ask for here.
    pub fn demand(&self, now: Instant) -> Vec<(Rc<str>, f64)> {
        let uses = self.uses.borrow();
        let demand = uses.iter();
        demand
            .map(|(account, used)| (Rc::clone(account), used.demand.rate(now)))
            .collect()
    }

    /// The shares that `instance` has, in thousandths of the accounts' quotas.
    pub fn owned(&self, instance: &str) -> Vec<(String, u16)> {
        let table = self.table.borrow();
        let rows = table.rows.keys();
        let kept = rows.map(|account| (account.clone(), table.parts(account, instance)));
        kept.filter(|(_, parts)| *parts > 0).collect()
    }

    /// The share of `account` that `name` may use, in thousandths.
    fn parts(&self, account: &str, name: &str, now: Instant) -> u16 {
        let parts = self.table.borrow().parts(account, name);
        match &*self.before.borrow() {
            Some((before, until)) if *until > now => parts.min(before.parts(account, name)),
            _ => parts,
        }
    }

    /// Whether a table of the era before may still be in use.
    fn is_unsettled(&self, now: Instant) -> bool {
        let before = self.before.borrow();
        before.as_ref().is_some_and(|(_, until)| *until > now)
    }

    /// Counts an operation that is asked for; whether one is at hand that was given before.
    /// `None` if no keeper has one for a while.
    fn ask(&self, account: &Rc<str>, now: Instant) -> Option<bool> {
        let mut uses = self.uses.borrow_mut();
        uses.retain(|_, used| used.used + IDLE > now);
        let used = uses.entry(Rc::clone(account)).or_insert_with(|| Use {
            given: (0, now),
            spent: Instant::ZERO,
            demand: Demand::new(now),
            used: now,
        });
        used.used = now;
        used.demand.count(now);
        let (count, at) = used.given;
        if count > 0 && at + GIVEN > now {
            used.given.0 -= 1;
            return Some(true);
        }
        (used.spent <= now).then_some(false)
    }

    /// How many operations to ask for at once.
    fn ahead(&self, account: &Rc<str>, now: Instant) -> u32 {
        let uses = self.uses.borrow();
        let rate = uses.get(account).map_or(0.0, |used| used.demand.rate(now));
        1 + (rate * AHEAD.as_secs_f64()) as u32
    }

    /// Keeps operations that were given beyond the one that is used at once.
    fn keep(&self, account: &Rc<str>, count: u32, now: Instant) {
        if let Some(used) = self.uses.borrow_mut().get_mut(account) {
            used.given = (count, now);
        }
    }

    /// Takes back an operation that nobody ran: it counts for nothing.
    pub(crate) fn refund(&self, account: &Rc<str>) {
        let now = Boot.now();
        if let Some(used) = self.uses.borrow_mut().get_mut(account) {
            let (count, at) = used.given;
            used.given = match at + GIVEN > now {
                true => (count + 1, at),
                false => (1, now),
            };
        }
    }

    fn spend(&self, account: &Rc<str>, until: Instant) {
        if let Some(used) = self.uses.borrow_mut().get_mut(account) {
            used.spent = until;
        }
    }

    /// Whether a keeper did not answer a moment ago.
    fn is_silent(&self, keeper: &str, now: Instant) -> bool {
        let silent = self.silent.borrow();
        silent.get(keeper).is_some_and(|at| *at + LEFT > now)
    }
}

/// Counts an operation of `account`, which may wait for as long as `patience`.
///
/// # Errors
///
/// The account's quota is used up.
pub(crate) async fn charge<E: Edge>(
    node: &Node<E>,
    account: &Rc<str>,
    patience: Duration,
) -> Result<(), Cause> {
    if node.quota(account).is_none() {
        return Ok(());
    }
    let now = Boot.now();
    match node.shares.ask(account, now) {
        Some(true) => return Ok(()),
        Some(false) => {}
        None => return Err(Cause::OverQuota),
    }
    let shares = &node.shares;
    let known = async {
        loop {
            let learnt = shares.learnt.notified();
            if shares.table.borrow().limiters(account).next().is_some() {
                return;
            }
            learnt.await;
        }
    };
    let _ = timeout(FIRST, known).await;
    let Err(wait) = collect(node, account).await else {
        return Ok(());
    };
    if wait > patience {
        shares.spend(account, Boot.now() + wait - patience);
        return Err(Cause::OverQuota);
    }
    sleep(wait).await;
    collect(node, account).await.map_err(|_| Cause::OverQuota)
}

/// Asks the account's keepers one after the other.
///
/// # Errors
///
/// None of them has an operation to give, and for how long.
async fn collect<E: Edge>(node: &Node<E>, account: &Rc<str>) -> Result<(), Duration> {
    let shares = &node.shares;
    let now = Boot.now();
    let count = shares.ahead(account, now);
    let mut shortest = GIVEN;
    for keeper in keepers(node, account, now) {
        let answer = match keeper == node.settings.name {
            true => give(node, account, count),
            false => ask(node, &keeper, account, count).await,
        };
        let Some(answer) = answer.filter(|answer| answer.wait < Duration::MAX) else {
            shares.silent.borrow_mut().insert(keeper, Boot.now());
            continue;
        };
        if answer.count > 0 {
            shares.keep(account, answer.count - 1, Boot.now());
            return Ok(());
        }
        shortest = shortest.min(answer.wait);
    }
    Err(shortest)
}

/// The account's keepers in the order in which this instance asks them: itself, those of its
/// zone, the others in any order, and last who did not answer a moment ago.
fn keepers<E: Edge>(node: &Node<E>, account: &str, now: Instant) -> Vec<String> {
    let shares = &node.shares;
    let table = shares.table.borrow();
    let mut keepers: Vec<_> = table.limiters(account).map(str::to_owned).collect();
    let rank = |keeper: &String| {
        let distance = match *keeper == node.settings.name {
            true => 0,
            false if node.peers.is_near(keeper) => 1,
            false => 2,
        };
        (
            shares.is_silent(keeper, now),
            distance,
            rand::random::<u32>(),
        )
    };
    keepers.sort_by_cached_key(rank);
    keepers
}

/// Asks another keeper; `None` if it does not answer.
async fn ask<E: Edge>(
    node: &Node<E>,
    keeper: &str,
    account: &Rc<str>,
    count: u32,
) -> Option<Answer> {
    let shares = &node.shares;
    let address = node.peers.address(keeper)?;
    shares.last_id.set(shares.last_id.get() + 1);
    // A number of this life: an answer to a question of the life before is none to this.
    let id = node.incarnation.wrapping_add(shares.last_id.get());
    let (sender, answer) = oneshot::channel();
    shares.waiting.borrow_mut().insert(id, sender);
    let question = Message::QuotaRequest {
        id,
        reply_to: node.settings.peers,
        account: account.to_string(),
        count,
    };
    node.proofs.send(&question, address);
    let answer = timeout(ANSWER, answer).await;
    shares.waiting.borrow_mut().remove(&id);
    answer.ok()?.ok()
}
