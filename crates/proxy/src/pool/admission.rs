//! Admission by prediction: carries out the decisions of [`admit::schedule`].

use std::{collections::HashMap, rc::Rc, time::Duration};

use admit::{
    schedule::{self, Load},
    service::{Class, Ticket},
};
use clock::{Boot, Instant};
use tokio::{sync::oneshot, task::spawn_local, time::sleep};

use super::{Pending, Pool, Request, Unavailable, dispatch as dispatch_all, start_opening};
use crate::{
    connection::{Connection, Refused, Values},
    edge::Protocol,
    member::Member,
    refusal::{self, Reason},
};

/// Interval between reviews of the waiting requests.
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);

/// Divisor of a new measurement's weight in the moving average of the time to open a connection.
const OPENING_WEIGHT_DIVISOR: u32 = 8;

/// An admitted request.
#[derive(Debug)]
pub enum Admission {
    /// A connection was idle.
    Ready(Connection),
    /// The request waits.
    Waiting {
        /// Predicted wait.
        wait: Duration,
        /// Receives the connection.
        receiver: oneshot::Receiver<Result<Connection, Unavailable>>,
    },
}

impl Admission {
    /// Returns the predicted wait.
    pub fn wait(&self) -> Duration {
        match self {
            Self::Ready(_) => Duration::ZERO,
            Self::Waiting { wait, .. } => *wait,
        }
    }

    /// Waits for the connection.
    ///
    /// # Errors
    ///
    /// No connection could be opened, or the request can't be expected to be answered before its
    /// deadline any more.
    pub async fn connection(self) -> Result<Connection, Unavailable> {
        match self {
            Self::Ready(connection) => Ok(connection),
            Self::Waiting { receiver, .. } => {
                let closed = Err(Unavailable::Refused(Refused::Unreachable));
                receiver.await.unwrap_or(closed)
            }
        }
    }
}

/// Admits a request for a connection to `member`.
///
/// # Errors
///
/// The request can't be expected to be answered before its deadline.
pub fn admit<P: Protocol>(
    member: &Rc<Member>,
    request: Request<'_>,
) -> Result<Admission, Unavailable> {
    let pool = &member.pool;
    let now = Boot.now();
    let shared = member.features.get().account_shares;
    let asked = schedule::Request {
        class: request.class,
        account: request.account.filter(|_| shared).cloned(),
        due: request.late_at,
        deadline: request.deadline,
    };
    let load = pool.load(member);
    let mut schedule = pool.schedule.borrow_mut();
    let usable = schedule.usable(now, request.class, load);
    if pool.waiters.borrow().is_empty()
        && schedule.is_empty()
        && load.in_flight < usable
        && let Some(connection) = pool.take_idle(request.account, request.values)
    {
        schedule.bypass(now, &asked);
        return Ok(Admission::Ready(connection));
    }
    let opening = match pool.has_idle(request.account) {
        true => Duration::ZERO,
        false => pool.opening_time.get(),
    };
    let prediction = match schedule.predict(now, &asked, load, opening) {
        Ok(prediction) => prediction,
        Err(refused) => {
            drop(schedule);
            let priority = request.class.priority;
            refusal::deny(member, Reason::Arrival, priority, refused.retry_after, now);
            return Err(Unavailable::Overload(refused.retry_after));
        }
    };
    let (sender, receiver) = oneshot::channel();
    let pending = Pending {
        sender,
        account: request.account.cloned(),
        priority: request.class.priority,
    };
    schedule.push(now, asked, prediction, pending);
    drop(schedule);
    review_until_empty::<P>(member);
    dispatch_all::<P>(member);
    let wait = prediction.wait;
    Ok(Admission::Waiting { wait, receiver })
}

/// Refuses the waiting requests that can't be answered in time any more, hands idle connections to
/// the others, and opens as many as are missing.
pub(super) fn dispatch<P: Protocol>(member: &Rc<Member>) {
    let pool = &member.pool;
    let now = Boot.now();
    let mut schedule = pool.schedule.borrow_mut();
    schedule.retain(|waiting| !waiting.sender.is_closed());
    let refused = schedule.review(now, pool.load(member));
    drop(schedule);
    for (waiting, schedule::Refusal { retry_after }) in refused {
        refusal::deny(member, Reason::Waiting, waiting.priority, retry_after, now);
        let _ = waiting.sender.send(Err(Unavailable::Overload(retry_after)));
    }
    loop {
        let load = pool.load(member);
        let has_idle = |waiting: &Pending| pool.has_idle(waiting.account.as_ref());
        let mut schedule = pool.schedule.borrow_mut();
        let Some(next) = schedule.pop_where(now, load, has_idle) else {
            break;
        };
        let account = next.reply.account.as_ref();
        let Some(connection) = pool.take_idle(account, &Values::new()) else {
            // The connection had been closed; its request goes back to the queue.
            schedule.put_back(next);
            continue;
        };
        drop(schedule);
        if let Err(Ok(connection)) = next.reply.sender.send(Ok(connection))
            && !pool.retired.get()
        {
            pool.idle.borrow_mut().push(connection);
        }
    }
    while let Some(account) = pool.next_admitted_account(member, now) {
        if !start_opening::<P>(member, account) {
            return;
        }
    }
}

/// Dispatches at intervals as long as requests wait, since estimates and the window change also
/// without an answer from the upstream.
fn review_until_empty<P: Protocol>(member: &Rc<Member>) {
    if member.pool.reviewing.replace(true) {
        return;
    }
    let member = Rc::clone(member);
    spawn_local(async move {
        while !member.pool.schedule.borrow().is_empty() {
            sleep(REVIEW_INTERVAL).await;
            dispatch_all::<P>(&member);
        }
        member.pool.reviewing.set(false);
    });
}

/// Hands connections to waiting requests after a statement of a transaction has ended, if these
/// count.
pub fn resume<P: Protocol>(member: &Rc<Member>) {
    if !member.pool.schedule.borrow().is_empty() {
        dispatch_all::<P>(member);
    }
}

impl Pool {
    /// Records that a statement was sent.
    pub fn start(&self, now: Instant, class: Class) -> Ticket {
        self.schedule.borrow_mut().start(now, class)
    }

    /// Records that a statement ended.
    pub fn finish(&self, now: Instant, ticket: Ticket) {
        self.schedule.borrow_mut().finish(now, ticket);
    }

    /// Records that a statement of a transaction was sent.
    pub fn start_pinned(&self, now: Instant, class: Class) -> Ticket {
        self.running_pinned.set(self.running_pinned.get() + 1);
        self.start(now, class)
    }

    /// Records that a statement of a transaction ended.
    pub fn finish_pinned(&self, now: Instant, ticket: Ticket) {
        self.running_pinned.set(self.running_pinned.get() - 1);
        self.schedule
            .borrow_mut()
            .finish_in_transaction(now, ticket);
    }

    /// Returns true if a connection is open, so that a waiting request may get it.
    pub fn is_connected(&self) -> bool {
        self.open.get() > self.opening.borrow().len()
    }

    pub(super) fn note_opening(&self, time: Duration) {
        let old = self.opening_time.get() * (OPENING_WEIGHT_DIVISOR - 1);
        self.opening_time.set((old + time) / OPENING_WEIGHT_DIVISOR);
    }

    /// Statements in flight, those of transactions included. Up to the fixed window, one statement
    /// may run beside them: they never wait, and in a window that the reports of other holders have
    /// reduced to one place they would keep all others out.
    fn load(&self, member: &Member) -> Load {
        let pinned = self.running_pinned.get();
        let beside = (pinned + 1).min(member.fixed_window());
        Load {
            window: member.window().max(beside),
            in_flight: self.active() + pinned,
        }
    }

    /// Takes the next admitted request for which `matches` returns true, for a connection that has
    /// taken a place in the window already.
    pub(super) fn next_admitted(
        &self,
        member: &Member,
        matches: impl Fn(&Pending) -> bool,
    ) -> Option<Pending> {
        let load = self.load(member);
        let load = Load {
            in_flight: load.in_flight.saturating_sub(1),
            ..load
        };
        let mut schedule = self.schedule.borrow_mut();
        let next = schedule.pop_where(Boot.now(), load, matches)?;
        Some(next.reply)
    }

    /// Takes the next admitted request for which `matches` returns true, whether there is room for it
    /// or not.
    pub(super) fn next_to_refuse(&self, matches: impl Fn(&Pending) -> bool) -> Option<Pending> {
        let load = Load {
            window: usize::MAX,
            in_flight: 0,
        };
        let mut schedule = self.schedule.borrow_mut();
        let next = schedule.pop_where(Boot.now(), load, matches)?;
        Some(next.reply)
    }

    /// Returns the account for which a connection is opened next, as [`Pool::next_account`] does
    /// for the other queue.
    fn next_admitted_account(&self, member: &Member, now: Instant) -> Option<Option<Rc<str>>> {
        let schedule = self.schedule.borrow();
        let load = self.load(member);
        let load = Load {
            in_flight: load.in_flight + self.opening.borrow().len(),
            ..load
        };
        let mut missing: HashMap<Option<Rc<str>>, usize> = HashMap::new();
        for waiting in schedule.iter() {
            *missing.entry(waiting.account.clone()).or_default() += 1;
        }
        for account in self.opening.borrow().iter() {
            let count = missing.entry(account.clone()).or_default();
            *count = count.saturating_sub(1);
        }
        let is_missing = |waiting: &Pending| missing[&waiting.account] > 0;
        let first = schedule.peek_where(now, load, is_missing)?;
        Some(first.account.clone())
    }
}
