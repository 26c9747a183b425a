//! Times at which a pool asks to be stepped.

use std::{num::NonZeroU32, time::Duration};

use clock::Instant;
use model::{Priority, name};
use pool::{
    Action, Conf, Event, Pool, Request, Ticket,
    pool::{Condition, Limits, Status},
};

const CONF: Conf = Conf {
    connections: 3,
    slots: 1,
    warm: 1,
    idle_timeout: Duration::from_millis(50),
    transaction_idle_timeout: Duration::from_millis(200),
};

fn request(ticket: u64, deadline: u64) -> Request {
    Request {
        ticket: Ticket(ticket),
        entry: name::Entry::new("pay").unwrap(),
        limits: Limits {
            connections: 1,
            queue: 10,
        },
        tenant: name::Tenant::new("t1").unwrap(),
        weight: NonZeroU32::MIN,
        priority: Priority::Low,
        deadline: Instant::from_millis(deadline),
    }
}

fn open_connections(pool: &mut Pool, now: Instant) {
    for action in pool.step(now, Event::Tick) {
        if let Action::Open(generation) = action {
            pool.step(now, Event::Opened(generation));
        }
    }
}

/// Returns a pool with a transaction that holds its entry's only connection,
/// and another request that waits for it.
fn blocked() -> Pool {
    let mut pool = Pool::open(CONF, 1);
    let now = Instant::ZERO;
    open_connections(&mut pool, now);
    let actions = pool.step(now, Event::Submit(request(1, 100)));
    let [Action::Run(_, handle)] = actions[..] else {
        panic!("the request did not run: {actions:?}");
    };
    pool.step(now, Event::Answered(handle, Condition::Transaction));
    pool.step(now, Event::Submit(request(2, 100)));
    assert_eq!(pool.waiting(), 1);
    pool
}

/// Steps a pool whose upstream refuses every connection.
fn tick_refusing(pool: &mut Pool, now: Instant) {
    let mut actions = pool.step(now, Event::Tick);
    while let Some(action) = actions.pop() {
        if let Action::Open(generation) = action {
            actions.extend(pool.step(now, Event::Lost(generation)));
        }
    }
}

/// Steps the pool at each requested time for one second and returns the number
/// of steps.
fn ticks(pool: &mut Pool) -> u32 {
    let end = Instant::from_millis(1_000);
    let mut now = Instant::ZERO;
    let mut ticks = 0;
    while let Some(at) = pool.wake(now).filter(|&at| at <= end) {
        assert!(at > now || ticks == 0, "{at:?} was returned at {now:?}");
        now = at;
        tick_refusing(pool, now);
        ticks += 1;
    }
    ticks
}

/// The breaker of a leaving upstream opens and is not probed, so the step at
/// the breaker's time changes nothing. `wake` must not return that time again;
/// otherwise an idle daemon loops and uses a whole core.
#[test]
fn past_wake_time_is_not_returned_again() {
    let mut pool = Pool::open(CONF, 1);
    tick_refusing(&mut pool, Instant::ZERO);
    pool.step(Instant::ZERO, Event::Status(Status::Leaving));
    assert_eq!(ticks(&mut pool), 1);
}

/// As above, while a request waits for its entry's only connection, which a
/// transaction holds: the queue must not be reviewed all the time.
#[test]
fn blocked_queue_is_reviewed_rarely() {
    let mut pool = blocked();
    let ticks = ticks(&mut pool);
    assert!((3..20).contains(&ticks), "{ticks}");
    assert_eq!(pool.waiting(), 0);
}

/// An open breaker must be probed, or an upstream that has recovered stays
/// unused, but not continuously.
#[test]
fn open_breaker_is_probed_without_busy_looping() {
    let mut pool = Pool::open(CONF, 1);
    tick_refusing(&mut pool, Instant::ZERO);
    let ticks = ticks(&mut pool);
    assert!((2..20).contains(&ticks), "{ticks}");
}

/// A deadline passes between a step and the next call of `wake`, which must
/// still return it; otherwise the request is refused up to a second late.
#[test]
fn wake_time_missed_since_the_last_step_is_returned() {
    let pool = blocked();
    let asked = Instant::from_millis(500);
    assert_eq!(pool.wake(asked), Some(asked));
}
