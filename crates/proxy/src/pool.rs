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
    connection::{Connection, Counted, Refused, Values},
    edge::Protocol,
    member::Member,
    refusal::{self, Refusal},
};

/// How long connections are given up after use once somebody has none at all.
const SCARCE: Duration = Duration::from_millis(600);

/// Somebody who waits for a connection.
#[derive(Debug)]
struct Waiting {
    sender: oneshot::Sender<Result<Connection, Refused>>,
    account: Option<Rc<str>>,
}

/// What somebody wants a connection for.
#[derive(Debug, Clone, Copy)]
pub struct Wish<'a> {
    /// Who goes first; zero is the highest.
    pub priority: u8,
    /// When an answer is late.
    pub aim: Instant,
    /// Whose session it is.
    pub account: Option<&'a Rc<str>>,
    /// The session's values.
    pub values: &'a Values,
}

/// The connections of this instance to one upstream.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<Vec<Connection>>,
    waiters: RefCell<Queue<Waiting>>,
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
    pub fn resting(&self) -> usize {
        self.idle.borrow().len()
    }

    /// How many connections are in use, other than by transactions.
    fn active(&self) -> usize {
        let unused = self.idle.borrow().len() + self.opening.borrow().len() + self.pinned.get();
        self.open.get().saturating_sub(unused)
    }

    /// An idle connection of `account`, the one with just these values if there is one.
    pub fn idle(&self, account: Option<&Rc<str>>, values: &Values) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        loop {
            let same = |line: &Connection| line.is_of(account) && line.has(values);
            let same = idle.iter().rposition(same);
            let at = same.or_else(|| idle.iter().rposition(|line| line.is_of(account)))?;
            let line = idle.remove(at);
            if line.is_open() {
                return Some(line);
            }
        }
    }

    /// An idle connection, whosever it is, for a question of this process itself.
    pub fn idle_any(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(line) = idle.pop() {
            if line.is_open() {
                return Some(line);
            }
        }
        None
    }

    /// Whether an idle connection is one of `account`.
    fn rests(&self, account: Option<&Rc<str>>) -> bool {
        self.idle.borrow().iter().any(|line| line.is_of(account))
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
    fn wanted(&self, now: Instant, service: Duration) -> Option<Option<Rc<str>>> {
        let waiters = self.waiters.borrow();
        let mut missing: HashMap<Option<Rc<str>>, usize> = HashMap::new();
        for waiting in waiters.iter() {
            *missing.entry(waiting.account.clone()).or_default() += 1;
        }
        for account in self.opening.borrow().iter() {
            let count = missing.entry(account.clone()).or_default();
            *count = count.saturating_sub(1);
        }
        let is_missing = |waiting: &Waiting| missing[&waiting.account] > 0;
        let first = waiters.peek_where(now, service, is_missing)?;
        Some(first.account.clone())
    }

    /// Closes idle connections beyond `share` that were not used for `rest`.
    pub fn trim(&self, now: Instant, share: usize, rest: Duration) {
        let mut idle = self.idle.borrow_mut();
        let mut excess = self.open.get().saturating_sub(share);
        idle.retain(|line| {
            let close = excess > 0 && line.answered() + rest < now;
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
        self.scarce_until.set(now + SCARCE);
        self.idle.borrow_mut().clear();
    }

    /// Whether connections are so few that none may be held for long.
    pub fn is_tight(&self, now: Instant) -> bool {
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
    wish: Wish<'_>,
) -> Result<Connection, Refused> {
    let pool = &member.pool;
    let window = member.window();
    if pool.waiting() == 0
        && pool.active() < window
        && let Some(line) = pool.idle(wish.account, wish.values)
    {
        return Ok(line);
    }
    let (sender, receiver) = oneshot::channel();
    pool.waiters.borrow_mut().push(Waiter {
        priority: wish.priority,
        since: Boot.now(),
        due: wish.aim,
        reply: Waiting {
            sender,
            account: wish.account.cloned(),
        },
    });
    serve::<P>(member);
    receiver.await.unwrap_or(Err(Refused::Unreachable))
}

/// Counts a transaction that has a connection of its own.
#[derive(Debug)]
pub struct Pin(Rc<Member>);

impl Pin {
    /// Counts one more at `member`, and lets others have its place.
    pub fn new<P: Protocol>(member: &Rc<Member>) -> Self {
        let pinned = &member.pool.pinned;
        pinned.set(pinned.get() + 1);
        serve::<P>(member);
        Self(Rc::clone(member))
    }
}

impl Drop for Pin {
    fn drop(&mut self) {
        let pinned = &self.0.pool.pinned;
        pinned.set(pinned.get() - 1);
    }
}

/// Gives a connection back; one that is not clean is closed.
pub fn release<P: Protocol>(line: Connection) {
    let member = Rc::clone(line.member());
    let pool = &member.pool;
    let tight = pool.is_tight(Boot.now());
    let keep = !pool.retired.get() && (pool.waiting() > 0 || !tight);
    if line.is_clean() && keep {
        member.pool.idle.borrow_mut().push(line);
    } else {
        drop(line);
    }
    serve::<P>(&member);
}

/// Closes a connection and lets those who wait have another.
pub fn discard<P: Protocol>(line: Connection) {
    let member = Rc::clone(line.member());
    drop(line);
    serve::<P>(&member);
}

/// Hands idle connections to those who wait, and opens as many as are missing.
fn serve<P: Protocol>(member: &Rc<Member>) {
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
                pool.rests(waiting.account.as_ref())
            });
        let Some(next) = next else {
            break;
        };
        let Some(line) = pool.idle(next.reply.account.as_ref(), &Values::new()) else {
            // It had been closed; who waits for it goes first again.
            pool.waiters.borrow_mut().push(next);
            continue;
        };
        if let Err(Ok(line)) = next.reply.sender.send(Ok(line))
            && !pool.retired.get()
        {
            pool.idle.borrow_mut().push(line);
        }
    }
    loop {
        let opening = pool.opening.borrow().len();
        if pool.active() + opening >= window {
            return;
        }
        let Some(account) = pool.wanted(Boot.now(), member.latency()) else {
            return;
        };
        pool.make_room();
        let asked =
            pool.budget
                .borrow()
                .check(Boot.now(), pool.open.get(), opening, pool.limit.get());
        match asked {
            Decision::Now => {}
            Decision::Wait(until) => return retry::<P>(member, until),
            Decision::Blocked => return,
        }
        pool.opening.borrow_mut().push(account.clone());
        let member = Rc::clone(member);
        // Counted before the task runs, or one loop opens as many as wait here: 68
        // connections of one instance met an upstream that takes 22 from all.
        let counted = Counted::new(&member);
        spawn_local(async move { open::<P>(&member, account, counted).await });
    }
}

/// Gives a connection of `account`, or why there is none, to the next who still waits.
fn hand(member: &Member, account: Option<&Rc<str>>, mut result: Result<Connection, Refused>) {
    let pool = &member.pool;
    loop {
        let same = |waiting: &Waiting| waiting.account.as_ref() == account;
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
    if let Ok(line) = result
        && !pool.retired.get()
    {
        pool.idle.borrow_mut().push(line);
    }
}

async fn open<P: Protocol>(member: &Rc<Member>, account: Option<Rc<str>>, counted: Counted) {
    let pool = &member.pool;
    let opened = Connection::open::<P>(member, account.clone(), counted).await;
    let mut opening = pool.opening.borrow_mut();
    if let Some(at) = opening.iter().position(|other| *other == account) {
        opening.swap_remove(at);
    }
    drop(opening);
    match opened {
        Ok(line) => {
            pool.budget.borrow_mut().record_success();
            member.refusals.opened();
            hand(member, account.as_ref(), Ok(line));
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
            hand(member, account.as_ref(), Err(refused));
        }
    }
    serve::<P>(member);
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
        serve::<P>(&member);
    });
}
