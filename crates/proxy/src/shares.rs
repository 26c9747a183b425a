//! Counts accounts' operations against their quotas across all instances ([`admit::shares`]).
//!
//! Each quota is divided into shares, which are owned by a few instances, the account's
//! limiters. An instance that serves a caller asks a limiter for each operation by datagram,
//! and asks the next one if that limiter has no operation left or doesn't answer. A table in
//! the store, maintained by the relay that reads the catalogue, lists the limiters and the
//! sizes of their shares.
//!
//! With the feature `account_shares`, requests carry the priority of their route, and limiters
//! keep operations for the more urgent ones ([`admit::limiter`]).

mod limiter;
mod table;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use admit::{
    limiter::{Limiter, Shortage},
    service::Priority,
    shares::{Planner, Table},
    stock::{GRANT_TTL, Source, Stock},
};
use clock::{Boot, Instant};
use tokio::{
    sync::{Notify, oneshot},
    time::{sleep, timeout},
};

use crate::{
    account::Quota,
    catalog::Route,
    edge::{Edge, Item, era_of},
    node::Node,
    outcome::Cause,
    peers::heartbeat::Message,
};
pub(crate) use limiter::{Ask, answer_request};
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

/// Time to come back that callers are told where limiters don't tell one.
const DEFAULT_RETRY: Duration = Duration::from_millis(500);

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

/// A limiter's answer: the number of operations granted, at least one.
type Answer = Result<u32, Shortage>;

/// Use of an account on this instance.
#[derive(Debug)]
struct Usage {
    stock: Stock,
    last_used: Instant,
}

/// A charged operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Charge {
    /// Priority that the operation was granted to.
    granted_to: Priority,
}

/// The shares of all accounts' quotas, and the use of the accounts on this instance.
#[derive(Debug, Default)]
pub struct Shares {
    table: RefCell<Table>,
    /// Revision of the table.
    revision: Cell<u64>,
    /// The table of an earlier era of the store, and the time until which it may be in use.
    previous: RefCell<Option<(Table, Instant)>>,
    /// Limiters of the shares that this instance owns or has owned.
    limiters: RefCell<HashMap<String, Limiter>>,
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
    /// Grants and refusals of the limiters, by account and priority.
    tallies: RefCell<BTreeMap<String, BTreeMap<Priority, Tally>>>,
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
        for (account, _) in owned {
            since.entry(account).or_insert(now);
        }
        drop(since);
        self.updated.notify_waiters();
    }

    /// Passes a limiter's answer to the request with this `id`.
    pub(crate) fn resolve(&self, id: u64, answer: Answer) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&id) {
            let _ = sender.send(answer);
        }
    }

    /// The accounts in use on this instance, and the operations per second requested for each.
    pub fn demand(&self, now: Instant) -> Vec<(Rc<str>, f64)> {
        let accounts = self.usage.borrow();
        let demand = accounts.iter();
        demand
            .map(|(account, usage)| (Rc::clone(account), usage.stock.demand(now)))
            .collect()
    }

    /// The shares that `instance` owns, in thousandths of the accounts' quotas.
    pub fn owned(&self, instance: &str) -> Vec<(String, u16)> {
        let table = self.table.borrow();
        let rows = table.rows.keys();
        let owned = rows.map(|account| (account.clone(), table.parts(account, instance)));
        owned.filter(|(_, parts)| *parts > 0).collect()
    }

    /// Grants and refusals of this instance's limiters, by account and priority.
    pub(crate) fn tallies(&self) -> Vec<(String, Priority, Tally)> {
        let tallies = self.tallies.borrow();
        let by_account = tallies.iter().flat_map(|(account, tallies)| {
            let tallies = tallies.iter();
            tallies.map(|(priority, tally)| (account.clone(), *priority, *tally))
        });
        by_account.collect()
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

    /// Counts a requested operation and takes it from the stock if there is one.
    fn take_granted(&self, account: &Rc<str>, priority: Priority, now: Instant) -> Source {
        let mut accounts = self.usage.borrow_mut();
        accounts.retain(|_, usage| usage.last_used + FORGET_AFTER > now);
        let usage = accounts.entry(Rc::clone(account)).or_insert_with(|| Usage {
            stock: Stock::default(),
            last_used: now,
        });
        usage.last_used = now;
        usage.stock.take(priority, now)
    }

    /// Updates the stock of an account that is in use.
    fn update_stock<T>(
        &self,
        account: &Rc<str>,
        update: impl FnOnce(&mut Stock) -> T,
    ) -> Option<T> {
        let mut accounts = self.usage.borrow_mut();
        let usage = accounts.get_mut(account)?;
        Some(update(&mut usage.stock))
    }

    /// Returns an operation that wasn't run, so that it doesn't count.
    pub(crate) fn refund(&self, account: &Rc<str>, charge: Charge) {
        let now = Boot.now();
        self.update_stock(account, |stock| stock.refund(charge.granted_to, now));
    }

    /// Returns true if a limiter recently failed to answer.
    fn is_unresponsive(&self, limiter: &str, now: Instant) -> bool {
        let unresponsive = self.unresponsive.borrow();
        unresponsive
            .get(limiter)
            .is_some_and(|at| *at + UNRESPONSIVE_FOR > now)
    }
}

/// Charges one operation on `route` to the quota of `account`. It waits for at most half of the
/// route's latency target, so that the other half is left for the statement. Returns `None` if
/// the account has no quota.
///
/// # Errors
///
/// The account's quota is used up.
pub(crate) async fn charge<E: Edge>(
    node: &Node<E>,
    account: &Rc<str>,
    route: Option<&Route>,
) -> Result<Option<Charge>, Cause> {
    if node.quota(account).is_none() {
        return Ok(None);
    }
    let now = Boot.now();
    let shares = &node.shares;
    let priority = match node.features.get().account_shares {
        true => route.map_or(Priority::MAX, |route| route.priority),
        false => 0,
    };
    let max_wait = route.map_or(Duration::ZERO, |route| route.latency_target / 2);
    match shares.take_granted(account, priority, now) {
        Source::Granted(granted_to) => return Ok(Some(Charge { granted_to })),
        Source::Limiter => {}
        Source::Exhausted(wait) => return Err(over_quota(node, wait)),
    }
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
    let charge = Charge {
        granted_to: priority,
    };
    let Err(shortage) = acquire(node, account, priority).await else {
        return Ok(Some(charge));
    };
    let wait = shortage.wait.min(GRANT_TTL);
    if wait > max_wait {
        let now = Boot.now();
        let (until, available_at) = (now + wait - max_wait, now + shortage.retry);
        shares.update_stock(account, |stock| {
            stock.exhaust(priority, until, available_at, now);
        });
        return Err(over_quota(node, shortage.retry));
    }
    sleep(wait).await;
    match acquire(node, account, priority).await {
        Ok(()) => Ok(Some(charge)),
        Err(shortage) => Err(over_quota(node, shortage.retry)),
    }
}

/// The refusal of an operation that can be expected to be granted after `wait`.
fn over_quota<E: Edge>(node: &Node<E>, wait: Duration) -> Cause {
    let wait = match node.features.get().account_shares {
        true => wait,
        false => DEFAULT_RETRY,
    };
    let retry_after_ms = u16::try_from(wait.as_micros().div_ceil(1_000)).unwrap_or(u16::MAX);
    Cause::OverQuota { retry_after_ms }
}

/// Asks the account's limiters one after the other.
///
/// # Errors
///
/// No limiter has an operation left; the error tells when one can be expected.
async fn acquire<E: Edge>(
    node: &Node<E>,
    account: &Rc<str>,
    priority: Priority,
) -> Result<(), Shortage> {
    let shares = &node.shares;
    let now = Boot.now();
    let batch_size = |stock: &mut Stock| stock.batch_size(priority, now);
    let ask = Ask {
        account,
        priority,
        count: shares.update_stock(account, batch_size).unwrap_or(1),
    };
    let mut shortage: Option<Shortage> = None;
    for limiter in limiters(node, account, now) {
        let answer = match limiter == node.settings.name {
            true => grant(node, ask),
            false => query_limiter(node, &limiter, ask).await,
        };
        match answer {
            Some(Ok(count)) => {
                let now = Boot.now();
                shares.update_stock(account, |stock| stock.add(priority, count - 1, now));
                return Ok(());
            }
            Some(Err(told)) if told.wait < Duration::MAX => {
                shortage = Some(shortage.map_or(told, |others| others.and(told)));
            }
            _ => {
                shares.unresponsive.borrow_mut().insert(limiter, Boot.now());
            }
        }
    }
    Err(shortage.unwrap_or(Shortage::new(DEFAULT_RETRY, DEFAULT_RETRY)))
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
async fn query_limiter<E: Edge>(node: &Node<E>, limiter: &str, ask: Ask<'_>) -> Option<Answer> {
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
        account: ask.account.to_owned(),
        count: ask.count,
        priority: ask.priority,
    };
    node.proofs.send(&request, address);
    let answer = timeout(ANSWER_TIMEOUT, answer).await;
    shares.waiting.borrow_mut().remove(&id);
    answer.ok()?.ok()
}
