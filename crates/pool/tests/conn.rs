//! Stories of connections: late answers, dead owners, leaving upstreams.

use std::{num::NonZeroU32, time::Duration};

use clock::Instant;
use model::{Cause, Priority, name};
use pool::{
    Action, Conf, Event, Handle, Pool, Request, Ticket,
    breaker::THRESHOLD,
    conn::LINGER,
    pool::{Condition, Limits, Status},
};

const CONF: Conf = Conf {
    connections: 2,
    slots: 1,
    warm: 1,
    idle_timeout: Duration::from_secs(60),
    transaction_idle_timeout: Duration::from_secs(5),
};

fn request(ticket: u64, priority: Priority) -> Request {
    Request {
        ticket: Ticket(ticket),
        entry: name::Entry::new("pay").unwrap(),
        limits: Limits {
            connections: 2,
            queue: 10,
        },
        tenant: name::Tenant::new("t1").unwrap(),
        weight: NonZeroU32::MIN,
        priority,
        deadline: Instant::from_millis(500),
    }
}

/// A pool whose first request runs on its one open connection.
fn running() -> (Pool, Handle) {
    let mut pool = Pool::open(CONF, 1);
    let now = Instant::ZERO;
    let [Action::Open(generation)] = pool.step(now, Event::Tick)[..] else {
        panic!("no warm connection was opened");
    };
    pool.step(now, Event::Opened(generation));
    let actions = pool.step(now, Event::Submit(request(1, Priority::Low)));
    let [Action::Run(Ticket(1), handle)] = actions[..] else {
        panic!("the request did not run: {actions:?}");
    };
    (pool, handle)
}

/// Symptom: a caller gets another's rows. Events: a statement is given up, its
/// connection goes back, the old answer arrives. Cause: the connection was
/// pooled with an unread answer.
#[test]
fn withdrawn_statement_closes_its_connection() {
    let (mut pool, handle) = running();
    let now = Instant::from_millis(1);
    let actions = pool.step(now, Event::Withdraw(Ticket(1)));
    assert!(actions.contains(&Action::Cancel(handle)));
    assert!(actions.contains(&Action::Close(handle.generation)));
    assert!(!pool.in_flight(handle));
    assert!(
        pool.step(now, Event::Answered(handle, Condition::Idle))
            .is_empty()
    );
}

/// Symptom: an upstream's connections are all held and nothing runs. Events:
/// the instance that forwarded a transaction dies in it. Cause: nobody takes
/// the connection back.
#[test]
fn transaction_of_a_dead_owner_is_closed() {
    let (mut pool, handle) = running();
    pool.step(
        Instant::ZERO,
        Event::Answered(handle, Condition::Transaction),
    );
    let actions = pool.step(Instant::from_millis(5_000), Event::Tick);
    assert!(actions.contains(&Action::Close(handle.generation)));
    assert!(actions.contains(&Action::Abort(Ticket(1), Cause::Deadline)));
}

/// Symptom: two callers wait for each other until both time out. Events: the
/// slot's statement waits for a lock of an open transaction, whose next
/// statement waits for the slot.
#[test]
fn open_transaction_never_waits_for_a_slot() {
    let (mut pool, first) = running();
    let now = Instant::ZERO;
    pool.step(now, Event::Answered(first, Condition::Transaction));
    let opened = pool.step(now, Event::Submit(request(2, Priority::High)));
    let [Action::Open(generation)] = opened[..] else {
        panic!("no connection was opened: {opened:?}");
    };
    pool.step(now, Event::Opened(generation));
    assert_eq!(pool.running(), 1);
    let next = pool.step(now, Event::Next(Ticket(1), Instant::from_millis(400)));
    assert!(matches!(next[..], [Action::Run(Ticket(1), _)]));
    assert_eq!(pool.connections(), 2);
}

/// Symptom: payments wait behind calendar views.
#[test]
fn high_priority_runs_first() {
    let (mut pool, handle) = running();
    let now = Instant::ZERO;
    pool.step(now, Event::Submit(request(2, Priority::Low)));
    pool.step(now, Event::Submit(request(3, Priority::High)));
    let actions = pool.step(now, Event::Answered(handle, Condition::Idle));
    assert!(matches!(actions[..], [Action::Run(Ticket(3), _)]));
}

/// Symptom: an upstream that is leaving gets new work.
#[test]
fn leaving_upstream_refuses_and_finishes() {
    let (mut pool, handle) = running();
    let now = Instant::ZERO;
    assert!(pool.step(now, Event::Status(Status::Leaving)).is_empty());
    let refused = pool.step(now, Event::Submit(request(2, Priority::High)));
    assert!(matches!(
        refused[..],
        [Action::Refuse {
            cause: Cause::NoUpstream,
            ..
        }]
    ));
    let last = pool.step(now, Event::Answered(handle, Condition::Idle));
    assert_eq!(last, [Action::Close(handle.generation)]);
}

/// Symptom: the upstream refuses connections beyond its limit. Events: two
/// statements time out, their connections are closed and replaced, the server
/// is still at the statements. Cause: a closed connection was taken for gone.
#[test]
fn connection_closed_under_a_statement_counts_against_the_limit() {
    let conf = Conf {
        connections: 1,
        ..CONF
    };
    let (mut pool, handle) = running();
    pool.step(Instant::ZERO, Event::Conf(conf));
    let now = Instant::from_millis(1);
    pool.step(now, Event::Submit(request(2, Priority::High)));
    let withdrawn = pool.step(now, Event::Withdraw(Ticket(1)));
    let close = Action::Close(handle.generation);
    assert_eq!(withdrawn, [Action::Cancel(handle), close]);
    assert_eq!(pool.connections(), 1);
    let ended = Event::Closed(handle.generation);
    let replaced = pool.step(Instant::from_millis(5), ended);
    assert!(matches!(replaced[..], [Action::Open(_)]), "{replaced:?}");
    assert_eq!(pool.connections(), 1);
}

/// Symptom: the pool stays without a connection. Events: the end of a closed
/// connection is never told. Cause: its place was kept for ever.
#[test]
fn closed_connection_stops_counting_after_the_linger_time() {
    let conf = Conf {
        connections: 1,
        ..CONF
    };
    let (mut pool, _) = running();
    pool.step(Instant::ZERO, Event::Conf(conf));
    let now = Instant::from_millis(1);
    pool.step(now, Event::Withdraw(Ticket(1)));
    let free = now + LINGER;
    assert_eq!(pool.wake(now), Some(free));
    let replaced = pool.step(free, Event::Tick);
    assert!(matches!(replaced[..], [Action::Open(_)]), "{replaced:?}");
}

/// Symptom: every request to an upstream fails, and it keeps getting them.
/// Events: it takes connections and breaks each under its first statement.
/// Cause: each login, and the end of a connection whose state was not known,
/// counted as a success and reset the breaker's count of failures.
#[test]
fn upstream_that_breaks_every_statement_opens_the_breaker() {
    let mut pool = Pool::open(CONF, 1);
    let now = Instant::ZERO;
    let mut actions = pool.step(now, Event::Tick);
    for round in 0..=u64::from(THRESHOLD) {
        let Some(Action::Open(generation)) = actions.pop() else {
            panic!("no connection was opened in round {round}");
        };
        pool.step(now, Event::Opened(generation));
        let ran = pool.step(now, Event::Submit(request(round, Priority::Low)));
        let [Action::Run(_, handle)] = ran[..] else {
            panic!("the request did not run: {ran:?}");
        };
        let end = match round {
            2 => Event::Answered(handle, Condition::Unusable),
            _ => Event::Lost(generation),
        };
        actions = pool.step(now, end);
        actions.retain(|it| matches!(it, Action::Open(_)));
    }
    assert_eq!(actions, []);
    let refused = pool.step(now, Event::Submit(request(99, Priority::High)));
    assert!(matches!(
        refused[..],
        [Action::Refuse {
            cause: Cause::NoUpstream,
            ..
        }]
    ));
}
