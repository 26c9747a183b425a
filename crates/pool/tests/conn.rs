//! Connections with late answers, dead owners and leaving upstreams.

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

/// Returns a pool whose first request runs on its only open connection.
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

/// A withdrawn statement must close its connection. If a connection with an
/// unread answer went back to the pool, the next caller would get the rows of
/// another.
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

/// An instance that forwarded a transaction dies without ending it. The idle
/// transaction must time out; otherwise it occupies its connection for ever.
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

/// The statement in the only slot waits for a lock of an open transaction. The
/// next statement of that transaction must not queue for the slot; otherwise
/// both block until their deadlines.
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

/// Requests of high priority must not wait behind those of low priority.
#[test]
fn high_priority_runs_first() {
    let (mut pool, handle) = running();
    let now = Instant::ZERO;
    pool.step(now, Event::Submit(request(2, Priority::Low)));
    pool.step(now, Event::Submit(request(3, Priority::High)));
    let actions = pool.step(now, Event::Answered(handle, Condition::Idle));
    assert!(matches!(actions[..], [Action::Run(Ticket(3), _)]));
}

/// A leaving upstream must finish running statements and get no new work.
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

/// Two statements time out and their connections are closed while the server
/// still runs the statements. If these connections did not count, their
/// replacements would exceed the upstream's limit.
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

/// The end of a closed connection is never reported. The connection must stop
/// counting after some time; otherwise the pool stays without connections.
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

/// An upstream accepts connections and breaks each on its first statement. A
/// login, or an unusable connection, must not count as a success; otherwise the
/// breaker never opens.
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
