//! The connections of this instance to one upstream.
//!
//! An upstream takes few connections from all instances together, and how many
//! instances there are is never known for sure. So nobody computes a share: an
//! instance opens a connection when it needs one, the upstream refuses it when it
//! has as many as it takes, and what lies idle is closed again soon.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use clock::{Boot, Instant};
use tokio::{sync::oneshot, task::spawn_local, time::sleep};

use crate::{
    edge::Protocol,
    group::Member,
    line::{Counted, Line, Refused, Values},
};

/// How long to wait after an upstream took no more connections.
const FULL_PAUSE: Duration = Duration::from_millis(15);

/// The most that is added to that, so that not all try at once.
const FULL_JITTER_MICROS: u64 = 20_000;

/// How long after an upstream took no more connections they are opened one by one.
const FULL_MEMORY: Duration = Duration::from_millis(1_000);

/// How long connections are given up after use once somebody has none at all.
const SCARCE: Duration = Duration::from_millis(600);

/// Somebody who waits for a connection.
#[derive(Debug)]
struct Waiter {
    priority: u8,
    line: oneshot::Sender<Result<Line, Refused>>,
}

/// The connections of this instance to one upstream.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<Vec<Line>>,
    waiters: RefCell<Vec<Waiter>>,
    opening: Cell<usize>,
    full_until: Cell<Instant>,
    scarce_until: Cell<Instant>,
    starved: Cell<Option<Instant>>,
    retrying: Cell<bool>,
    retired: Cell<bool>,
    /// How many connections are open or being opened.
    pub open: Cell<usize>,
    /// How many connections may be open.
    pub limit: Cell<usize>,
}

impl Pool {
    /// How many wait for a connection.
    pub fn waiting(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// An idle connection, the one with just these values if there is one.
    pub fn idle(&self, values: &Values) -> Option<Line> {
        let mut idle = self.idle.borrow_mut();
        while !idle.is_empty() {
            let same = idle.iter().rposition(|line| line.has(values));
            let last = idle.len() - 1;
            let line = idle.swap_remove(same.unwrap_or(last));
            if line.is_open() {
                return Some(line);
            }
        }
        None
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
    pub fn spare(&self, now: Instant) {
        self.scarce_until.set(now + SCARCE);
        self.idle.borrow_mut().clear();
    }

    /// Whether connections are so few that none may be held for long.
    pub fn is_tight(&self, now: Instant) -> bool {
        self.scarce_until.get() > now || self.is_starved(now)
    }

    /// Whether this instance was lately refused its first connection.
    pub fn is_starved(&self, now: Instant) -> bool {
        self.starved.get().is_some_and(|at| at + SCARCE > now)
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
    priority: u8,
    values: &Values,
) -> Result<Line, Refused> {
    let pool = &member.pool;
    if pool.waiting() == 0
        && let Some(line) = pool.idle(values)
    {
        return Ok(line);
    }
    let (sender, receiver) = oneshot::channel();
    let waiter = Waiter {
        priority,
        line: sender,
    };
    {
        let mut waiters = pool.waiters.borrow_mut();
        let place = waiters.partition_point(|w| w.priority <= priority);
        waiters.insert(place, waiter);
    }
    serve::<P>(member);
    receiver.await.unwrap_or(Err(Refused::Unreachable))
}

/// Gives a connection back; one that is not clean is closed.
pub fn release<P: Protocol>(line: Line) {
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
pub fn discard<P: Protocol>(line: Line) {
    let member = Rc::clone(line.member());
    drop(line);
    serve::<P>(&member);
}

/// Hands idle connections to those who wait, and opens as many as are missing.
fn serve<P: Protocol>(member: &Rc<Member>) {
    let pool = &member.pool;
    pool.waiters.borrow_mut().retain(|w| !w.line.is_closed());
    while pool.waiting() > 0 {
        let Some(line) = pool.idle(&Values::new()) else {
            break;
        };
        hand(pool, Ok(line));
    }
    while pool.waiting() > pool.opening.get() && pool.open.get() < pool.limit.get().max(1) {
        let now = Boot.now();
        let lately = pool.full_until.get() + FULL_MEMORY > now;
        if lately && pool.opening.get() > 0 {
            return;
        }
        if now < pool.full_until.get() {
            retry::<P>(member);
            return;
        }
        pool.opening.set(pool.opening.get() + 1);
        let member = Rc::clone(member);
        spawn_local(async move { open::<P>(&member).await });
    }
}

/// Gives a connection, or why there is none, to the first who still waits.
fn hand(pool: &Pool, mut result: Result<Line, Refused>) {
    loop {
        let mut waiters = pool.waiters.borrow_mut();
        if waiters.is_empty() {
            break;
        }
        let waiter = waiters.remove(0);
        drop(waiters);
        match waiter.line.send(result) {
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

async fn open<P: Protocol>(member: &Rc<Member>) {
    let pool = &member.pool;
    let opened = Line::open::<P>(member, Counted::new(member)).await;
    pool.opening.set(pool.opening.get() - 1);
    match opened {
        Ok(line) => {
            pool.starved.set(None);
            hand(pool, Ok(line));
        }
        Err(Refused::TooMany) => {
            member.answered(Boot.now());
            let now = Boot.now();
            let jitter = Duration::from_micros(rand::random_range(0..FULL_JITTER_MICROS));
            pool.full_until.set(now + FULL_PAUSE + jitter);
            if pool.open.get() == 0 {
                pool.starved.set(Some(now));
            }
        }
        Err(refused) => {
            member.failed(Boot.now());
            hand(pool, Err(refused));
        }
    }
    serve::<P>(member);
}

/// Tries again when the upstream may have room.
fn retry<P: Protocol>(member: &Rc<Member>) {
    let pool = &member.pool;
    if pool.retrying.replace(true) {
        return;
    }
    let member = Rc::clone(member);
    spawn_local(async move {
        let until = member.pool.full_until.get();
        sleep(until.since(Boot.now()).max(FULL_PAUSE / 4)).await;
        member.pool.retrying.set(false);
        serve::<P>(&member);
    });
}
