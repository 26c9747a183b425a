//! Stories of the moments that a pool asks to be stepped at.

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

/// A pool with a transaction that holds its entry's only connection, and
/// another request that waits for it.
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

/// Steps the pool whenever it asks, for a second: how often it asked.
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

/// Symptom: a daemon with nothing to do uses a whole core. Events: an upstream
/// that is leaving goes down and its breaker opens; as it gets no new work it
/// is not probed when the breaker's moment comes, so the step changes nothing,
/// the timer asks again and is told the same moment. Cause: `wake` named
/// moments that had passed.
#[test]
fn past_wake_time_is_not_returned_again() {
    let mut pool = Pool::open(CONF, 1);
    tick_refusing(&mut pool, Instant::ZERO);
    pool.step(Instant::ZERO, Event::Status(Status::Leaving));
    assert_eq!(ticks(&mut pool), 1);
}

/// Symptom: as above. Events: a request waits for its entry's only connection,
/// which a transaction holds, and the queue is looked at for it all the time.
#[test]
fn blocked_queue_is_reviewed_rarely() {
    let mut pool = blocked();
    let ticks = ticks(&mut pool);
    assert!((3..20).contains(&ticks), "{ticks}");
    assert_eq!(pool.waiting(), 0);
}

/// Symptom: an upstream that is back stays unused. Cause: its breaker was not
/// probed, or all the time.
#[test]
fn open_breaker_is_probed_without_busy_looping() {
    let mut pool = Pool::open(CONF, 1);
    tick_refusing(&mut pool, Instant::ZERO);
    let ticks = ticks(&mut pool);
    assert!((2..20).contains(&ticks), "{ticks}");
}

/// Symptom: a request hears of its deadline a second late. Events: the moment
/// passes between a step and the question for the next one. Cause: `wake`
/// left out what lay before the question, though no step had seen it.
#[test]
fn wake_time_missed_since_the_last_step_is_returned() {
    let pool = blocked();
    let asked = Instant::from_millis(500);
    assert_eq!(pool.wake(asked), Some(asked));
}
