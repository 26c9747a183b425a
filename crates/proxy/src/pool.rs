//! The connections of this instance to one upstream.
//!
//! An upstream takes few connections from all instances together, and how many
//! instances there are is never known for sure. So nobody computes a share: an
//! instance opens a connection when it needs one, the upstream refuses it when it
//! has as many as it takes, and what lies idle is closed again soon.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use admit::{Budget, Queue, Waiter, budget::Decision};
use clock::{Boot, Instant};
use tokio::{sync::oneshot, task::spawn_local, time::sleep};

use crate::{
    connection::{Connection, OpenGuard, Refused, Values},
    edge::Protocol,
    member::Member,
    refusal::{self, Refusal},
};

/// How long connections are given up after use once somebody has none at all.
const SCARCITY_PERIOD: Duration = Duration::from_millis(600);

/// Somebody who waits for a connection.
#[derive(Debug)]
struct Pending {
    sender: oneshot::Sender<Result<Connection, Refused>>,
    account: Option<Rc<str>>,
}

/// What somebody wants a connection for.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Who goes first; zero is the highest.
    pub priority: u8,
    /// When an answer is late.
    pub late_at: Instant,
    /// Whose session it is.
    pub account: Option<&'a Rc<str>>,
    /// The session's values.
    pub values: &'a Values,
}

/// The connections of this instance to one upstream.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<Vec<Connection>>,
    waiters: RefCell<Queue<Pending>>,
    budget: RefCell<Budget>,
    /// For whose sessions connections are being opened.
    opening: RefCell<Vec<Option<Rc<str>>>>,
    scarce_until: Cell<Instant>,
    retrying: Cell<bool>,
    retired: Cell<bool>,
    /// How many transactions have a connection of their own.
    pinned: Cell<usize>,
    /// How many connections are open or being opened.
    pub open: Cell<usize>,
    /// How many connections may be open.
    pub limit: Cell<usize>,
    /// This instance's even share of them; beyond it a connection of another account is
    /// closed for each that is opened. Zero while it is not known.
    pub share: Cell<usize>,
}

impl Pool {
    /// How many wait for a connection.
    pub fn waiting(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// How many connections lie idle.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().len()
    }

    /// How many connections are in use, other than by transactions.
    fn active(&self) -> usize {
        let unused = self.idle.borrow().len() + self.opening.borrow().len() + self.pinned.get();
        self.open.get().saturating_sub(unused)
    }

    /// An idle connection of `account`, the one with just these values if there is one.
    pub fn take_idle(&self, account: Option<&Rc<str>>, values: &Values) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        loop {
            let same = |connection: &Connection| {
                connection.belongs_to(account) && connection.has_values(values)
            };
            let same = idle.iter().rposition(same);
            let at = same.or_else(|| {
                idle.iter()
                    .rposition(|connection| connection.belongs_to(account))
            })?;
            let connection = idle.remove(at);
            if connection.is_open() {
                return Some(connection);
            }
        }
    }

    /// An idle connection, whosever it is, for a question of this process itself.
    pub fn take_any_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.is_open() {
                return Some(connection);
            }
        }
        None
    }

    /// Whether an idle connection is one of `account`.
    fn has_idle(&self, account: Option<&Rc<str>>) -> bool {
        self.idle
            .borrow()
            .iter()
            .any(|connection| connection.belongs_to(account))
    }

    /// Closes the connection that has lain idle for longest, if this instance has its share.
    ///
    /// Those who wait are not served by it: they are of other accounts. Were it kept, each
    /// instance would open more until the upstream refuses all of them.
    fn make_room(&self) {
        let share = self.share.get();
        if share > 0 && self.open.get() >= share {
            let mut idle = self.idle.borrow_mut();
            if !idle.is_empty() {
                idle.remove(0);
            }
        }
    }

    /// For whom a connection is opened next: for who goes first of those for whom none is
    /// being opened yet.
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

    /// Closes idle connections beyond `share` that were not used for `rest`.
    pub fn close_excess(&self, now: Instant, share: usize, idle_limit: Duration) {
        let mut idle = self.idle.borrow_mut();
        let mut excess = self.open.get().saturating_sub(share);
        idle.retain(|connection| {
            let close = excess > 0 && connection.last_answer() + idle_limit < now;
            excess -= usize::from(close);
            !close
        });
    }

    /// Notes that some instance has no connection at all and is refused one.
    ///
    /// Behind a loss of power the upstream still counts the connections of before.
    /// What is left would stay with those who came first, and the others could
    /// serve nobody. So for a while connections are closed once nobody here waits.
    pub fn release_idle(&self, now: Instant) {
        self.scarce_until.set(now + SCARCITY_PERIOD);
        self.idle.borrow_mut().clear();
    }

    /// Whether connections are so few that none may be held for long.
    pub fn is_scarce(&self, now: Instant) -> bool {
        self.scarce_until.get() > now || self.is_locked_out(now)
    }

    /// Whether this instance was lately refused its first connection.
    pub fn is_locked_out(&self, now: Instant) -> bool {
        self.locked_out_since(now).is_some()
    }

    /// Since when this instance has been refused its first connection.
    pub fn locked_out_since(&self, now: Instant) -> Option<Instant> {
        self.budget.borrow().locked_out_since(now)
    }

    /// Closes all idle connections.
    pub fn close(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes all connections, those in use once they are given back.
    ///
    /// Idle connections hold the member that holds them. Those of a member that was
    /// dropped would stay open for good, and where the list lost an upstream for a
    /// moment it would then refuse everybody: full, though nobody has a connection.
    pub fn retire(&self) {
        self.retired.set(true);
        self.close();
    }
}

/// A connection to `member`: an idle one, a new one, or the next that is free.
///
/// # Errors
///
/// A new connection was refused. The future may be dropped at any time.
pub async fn acquire<P: Protocol>(
    member: &Rc<Member>,
    request: Request<'_>,
) -> Result<Connection, Refused> {
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
        priority: request.priority,
        since: Boot.now(),
        due: request.late_at,
        reply: Pending {
            sender,
            account: request.account.cloned(),
        },
    });
    dispatch::<P>(member);
    receiver.await.unwrap_or(Err(Refused::Unreachable))
}

/// Counts a transaction that has a connection of its own.
#[derive(Debug)]
pub struct TransactionGuard(Rc<Member>);

impl TransactionGuard {
    /// Counts one more at `member`, and lets others have its place.
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

/// Gives a connection back; one that is not clean is closed.
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

/// Closes a connection and lets those who wait have another.
pub fn discard<P: Protocol>(connection: Connection) {
    let member = Rc::clone(connection.member());
    drop(connection);
    dispatch::<P>(&member);
}

/// Hands idle connections to those who wait, and opens as many as are missing.
fn dispatch<P: Protocol>(member: &Rc<Member>) {
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
            // It had been closed; who waits for it goes first again.
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
        pool.make_room();
        let decision =
            pool.budget
                .borrow()
                .check(Boot.now(), pool.open.get(), opening, pool.limit.get());
        match decision {
            Decision::Now => {}
            Decision::Wait(until) => return retry::<P>(member, until),
            Decision::Blocked => return,
        }
        pool.opening.borrow_mut().push(account.clone());
        let member = Rc::clone(member);
        // Counted before the task runs, or one loop opens as many as wait here: 68
        // connections of one instance met an upstream that takes 22 from all.
        let guard = OpenGuard::new(&member);
        spawn_local(async move { open::<P>(&member, account, guard).await });
    }
}

/// Gives a connection of `account`, or why there is none, to the next who still waits.
fn deliver(member: &Member, account: Option<&Rc<str>>, mut result: Result<Connection, Refused>) {
    let pool = &member.pool;
    loop {
        let same = |waiting: &Pending| waiting.account.as_ref() == account;
        let mut waiters = pool.waiters.borrow_mut();
        let next = waiters.pop_where(Boot.now(), member.latency(), same);
        drop(waiters);
        let Some(waiter) = next else {
            break;
        };
        match waiter.reply.sender.send(result) {
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
    let opened = Connection::open::<P>(member, account.clone(), guard).await;
    let mut opening = pool.opening.borrow_mut();
    if let Some(at) = opening.iter().position(|other| *other == account) {
        opening.swap_remove(at);
    }
    drop(opening);
    match opened {
        Ok(connection) => {
            pool.budget.borrow_mut().record_success();
            member.refusals.opened();
            deliver(member, account.as_ref(), Ok(connection));
        }
        Err(Refused::TooMany) => {
            // It lives; but it serves nobody here, which is for others to know.
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

/// Tries again when the upstream may have room.
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
