//! The connection pool of this instance for one upstream.
//!
//! An upstream accepts few connections from all instances together, and the number of instances is
//! never known exactly. So the pool has no fixed size: an instance opens a connection when it needs
//! one, the upstream refuses it at its limit, and idle connections are closed soon.

mod admission;
mod idle;
mod load;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use admit::{
    Budget, Queue, Schedule, Waiter,
    budget::Decision,
    service::{Class, Priority},
};
use clock::{Boot, Instant};
use tokio::{sync::oneshot, task::spawn_local, time::sleep};

use crate::{
    connection::{Connection, OpenGuard, Refused, Values},
    edge::Protocol,
    member::Member,
    refusal::{self, Refusal},
};

pub use admission::{Admission, admit, resume};

/// Time for which connections are closed after use once some instance has none at all.
const SCARCITY_PERIOD: Duration = Duration::from_millis(600);

/// A waiting request for a connection.
#[derive(Debug)]
struct Pending {
    sender: oneshot::Sender<Result<Connection, Unavailable>>,
    account: Option<Rc<str>>,
    priority: Priority,
}

/// Reason for which a request gets no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// A new connection was refused, or none was free in time.
    Refused(Refused),
    /// No answer could be expected before the deadline; the work that is ahead is expected to be
    /// done after this time.
    Overload(Duration),
}

/// A request for a connection.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Class of the statement; its priority is that in the queue.
    pub class: Class,
    /// Time after which an answer is late.
    pub late_at: Instant,
    /// Time after which an answer is of no use.
    pub deadline: Instant,
    /// The session's account.
    pub account: Option<&'a Rc<str>>,
    /// The session's values.
    pub values: &'a Values,
}

/// The connection pool of this instance for one upstream.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<Vec<Connection>>,
    waiters: RefCell<Queue<Pending>>,
    /// Requests admitted by prediction that wait, and what is known of the upstream's load.
    schedule: RefCell<Schedule<Rc<str>, Pending>>,
    /// Time that opening a connection takes.
    opening_time: Cell<Duration>,
    reviewing: Cell<bool>,
    /// Number of statements of transactions that run.
    running_pinned: Cell<usize>,
    budget: RefCell<Budget>,
    /// Accounts for which connections are being opened.
    opening: RefCell<Vec<Option<Rc<str>>>>,
    scarce_until: Cell<Instant>,
    retrying: Cell<bool>,
    retired: Cell<bool>,
    /// Number of transactions that have a connection of their own.
    pinned: Cell<usize>,
    /// Number of connections that are open or being opened.
    pub open: Cell<usize>,
    /// Limit on open connections.
    pub limit: Cell<usize>,
    /// This instance's even share of the upstream's connections. At or above it, a connection of
    /// another account is closed for each new one. Zero while unknown.
    pub share: Cell<usize>,
}

impl Pool {
    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiters.borrow().len() + self.schedule.borrow().len()
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Returns the number of connections in use outside of transactions.
    fn active(&self) -> usize {
        let unused = self.idle.borrow().len() + self.opening.borrow().len() + self.pinned.get();
        self.open.get().saturating_sub(unused)
    }

    /// Returns the account for which a connection is opened next: that of the first waiting request
    /// for which none is being opened yet.
    fn next_account(&self, now: Instant, service: Duration) -> Option<Option<Rc<str>>> {
        let waiters = self.waiters.borrow();
        let mut missing: HashMap<Option<Rc<str>>, usize> = HashMap::new();
        for waiting in waiters.iter() {
            *missing.entry(waiting.account.clone()).or_default() += 1;
        }
        for account in self.opening.borrow().iter() {
            let count = missing.entry(account.clone()).or_default();
            *count = count.saturating_sub(1);
        }
        let is_missing = |waiting: &Pending| missing[&waiting.account] > 0;
        let first = waiters.peek_where(now, service, is_missing)?;
        Some(first.account.clone())
    }

    /// Records that some instance has no connection and is refused one.
    ///
    /// After a loss of power, the upstream still counts the connections from before. The remaining
    /// ones would stay with the first instances, and the others could serve no caller. So for a
    /// while, connections are closed as soon as no request waits here.
    pub fn release_idle(&self, now: Instant) {
        self.scarce_until.set(now + SCARCITY_PERIOD);
        self.idle.borrow_mut().clear();
    }

    /// Returns true if connections are too scarce to be held for long.
    pub fn is_scarce(&self, now: Instant) -> bool {
        self.scarce_until.get() > now || self.is_locked_out(now)
    }

    /// Returns true if this instance is locked out: it was recently refused its first connection.
    pub fn is_locked_out(&self, now: Instant) -> bool {
        self.locked_out_since(now).is_some()
    }

    /// Returns the time since which this instance has been locked out.
    pub fn locked_out_since(&self, now: Instant) -> Option<Instant> {
        self.budget.borrow().locked_out_since(now)
    }

    /// Closes all idle connections.
    pub fn close(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes all connections: idle ones now, the others when they are released.
    ///
    /// An idle connection keeps its member alive. Those of a removed member would stay open for
    /// good. After the list had lost an upstream for a moment, the upstream would refuse all
    /// connections as too many though none was in use.
    pub fn retire(&self) {
        self.retired.set(true);
        self.close();
    }
}

/// Acquires a connection to `member`: an idle one, a new one, or the next that is released.
///
/// # Errors
///
/// A new connection was refused. The future may be dropped at any time.
pub async fn acquire<P: Protocol>(
    member: &Rc<Member>,
    request: Request<'_>,
) -> Result<Connection, Unavailable> {
    let pool = &member.pool;
    let window = member.window();
    if pool.waiting() == 0
        && pool.active() < window
        && let Some(connection) = pool.take_idle(request.account, request.values)
    {
        return Ok(connection);
    }
    let (sender, receiver) = oneshot::channel();
    pool.waiters.borrow_mut().push(Waiter {
        priority: request.class.priority,
        since: Boot.now(),
        due: request.late_at,
        reply: Pending {
            sender,
            account: request.account.cloned(),
            priority: request.class.priority,
        },
    });
    dispatch::<P>(member);
    let closed = Err(Unavailable::Refused(Refused::Unreachable));
    receiver.await.unwrap_or(closed)
}

/// Counts a transaction that has a connection of its own, until it is dropped.
#[derive(Debug)]
pub struct TransactionGuard(Rc<Member>);

impl TransactionGuard {
    /// Counts one more transaction at `member`, whose place in the window is free for other
    /// requests.
    pub fn new<P: Protocol>(member: &Rc<Member>) -> Self {
        let pinned = &member.pool.pinned;
        pinned.set(pinned.get() + 1);
        dispatch::<P>(member);
        Self(Rc::clone(member))
    }
}

impl Drop for TransactionGuard {
    fn drop(&mut self) {
        let pinned = &self.0.pool.pinned;
        pinned.set(pinned.get() - 1);
    }
}

/// Returns a connection to the pool, or closes it if it is not clean.
pub fn release<P: Protocol>(connection: Connection) {
    let member = Rc::clone(connection.member());
    let pool = &member.pool;
    let is_scarce = pool.is_scarce(Boot.now());
    let keep = !pool.retired.get() && (pool.waiting() > 0 || !is_scarce);
    if connection.is_clean() && keep {
        member.pool.idle.borrow_mut().push(connection);
    } else {
        drop(connection);
    }
    dispatch::<P>(&member);
}

/// Closes a connection, so that a waiting request may get a new one.
pub fn discard<P: Protocol>(connection: Connection) {
    let member = Rc::clone(connection.member());
    drop(connection);
    dispatch::<P>(&member);
}

/// Hands idle connections to waiting requests, and opens as many as are missing.
fn dispatch<P: Protocol>(member: &Rc<Member>) {
    let pool = &member.pool;
    dispatch_queue::<P>(member);
    if !pool.schedule.borrow().is_empty() {
        admission::dispatch::<P>(member);
    }
}

fn dispatch_queue<P: Protocol>(member: &Rc<Member>) {
    let pool = &member.pool;
    pool.waiters
        .borrow_mut()
        .retain(|waiting| !waiting.sender.is_closed());
    let window = member.window();
    while pool.active() < window {
        let next = pool
            .waiters
            .borrow_mut()
            .pop_where(Boot.now(), member.latency(), |waiting| {
                pool.has_idle(waiting.account.as_ref())
            });
        let Some(next) = next else {
            break;
        };
        let Some(connection) = pool.take_idle(next.reply.account.as_ref(), &Values::new()) else {
            // The connection had been closed; its request goes back to the queue.
            pool.waiters.borrow_mut().push(next);
            continue;
        };
        if let Err(Ok(connection)) = next.reply.sender.send(Ok(connection))
            && !pool.retired.get()
        {
            pool.idle.borrow_mut().push(connection);
        }
    }
    loop {
        let opening = pool.opening.borrow().len();
        if pool.active() + opening >= window {
            return;
        }
        let Some(account) = pool.next_account(Boot.now(), member.latency()) else {
            return;
        };
        if !start_opening::<P>(member, account) {
            return;
        }
    }
}

/// Starts to open a connection of `account`; returns false if none may be opened now.
fn start_opening<P: Protocol>(member: &Rc<Member>, account: Option<Rc<str>>) -> bool {
    let pool = &member.pool;
    let opening = pool.opening.borrow().len();
    pool.make_room();
    let decision =
        pool.budget
            .borrow()
            .check(Boot.now(), pool.open.get(), opening, pool.limit.get());
    match decision {
        Decision::Now => {}
        Decision::Wait(until) => {
            retry::<P>(member, until);
            return false;
        }
        Decision::Blocked => return false,
    }
    pool.opening.borrow_mut().push(account.clone());
    let member = Rc::clone(member);
    // Counted before the task runs: otherwise one loop opens a connection for each waiting
    // request, as when one instance opened 68 connections to an upstream that accepts 22 from
    // all.
    let guard = OpenGuard::new(&member);
    spawn_local(async move { open::<P>(&member, account, guard).await });
    true
}

/// Hands a connection of `account`, or the reason for its absence, to the next waiting request.
fn deliver(member: &Member, account: Option<&Rc<str>>, result: Result<Connection, Refused>) {
    let pool = &member.pool;
    let mut result = result.map_err(Unavailable::Refused);
    loop {
        let same = |waiting: &Pending| waiting.account.as_ref() == account;
        let mut waiters = pool.waiters.borrow_mut();
        let next = waiters.pop_where(Boot.now(), member.latency(), same);
        drop(waiters);
        let next = match next {
            Some(waiter) => Some(waiter.reply),
            None if result.is_ok() => pool.next_admitted(member, same),
            None => pool.next_to_refuse(same),
        };
        let Some(waiting) = next else {
            break;
        };
        match waiting.sender.send(result) {
            Ok(()) => return,
            Err(back) => result = back,
        }
    }
    if let Ok(connection) = result
        && !pool.retired.get()
    {
        pool.idle.borrow_mut().push(connection);
    }
}

async fn open<P: Protocol>(member: &Rc<Member>, account: Option<Rc<str>>, guard: OpenGuard) {
    let pool = &member.pool;
    let began = Boot.now();
    let opened = Connection::open::<P>(member, account.clone(), guard).await;
    let mut opening = pool.opening.borrow_mut();
    if let Some(at) = opening.iter().position(|other| *other == account) {
        opening.swap_remove(at);
    }
    drop(opening);
    match opened {
        Ok(connection) => {
            pool.budget.borrow_mut().record_success();
            pool.note_opening(Boot.now().since(began));
            member.refusals.opened();
            deliver(member, account.as_ref(), Ok(connection));
        }
        Err(Refused::TooMany) => {
            // The upstream is alive. That it has no room for this instance is reported to the
            // others.
            member.note_contact();
            let now = Boot.now();
            let chance = rand::random();
            pool.budget
                .borrow_mut()
                .record_refusal(now, pool.open.get(), chance);
            refusal::record(member, Refusal::Connection, now);
        }
        Err(refused) => {
            member.note_failure(Boot.now());
            deliver(member, account.as_ref(), Err(refused));
        }
    }
    dispatch::<P>(member);
}

/// Tries again at `until`, when the upstream may have room.
fn retry<P: Protocol>(member: &Rc<Member>, until: Instant) {
    if member.pool.retrying.replace(true) {
        return;
    }
    let member = Rc::clone(member);
    spawn_local(async move {
        sleep(until.since(Boot.now())).await;
        member.pool.retrying.set(false);
        dispatch::<P>(&member);
    });
}
