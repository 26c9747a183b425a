//! Entries that have used all of their own connections.

use std::{num::NonZeroU32, time::Duration};

use clock::Instant;
use model::{Priority, name};
use pool::{
    Action, Conf, Event, Pool, Request, Ticket,
    pool::{Condition, Limits},
};

const CONF: Conf = Conf {
    connections: 3,
    slots: 1,
    warm: 3,
    idle_timeout: Duration::from_secs(60),
    transaction_idle_timeout: Duration::from_secs(60),
};

fn request(ticket: u64, entry: &str, connections: u16) -> Request {
    Request {
        ticket: Ticket(ticket),
        entry: name::Entry::new(entry).unwrap(),
        limits: Limits {
            connections,
            queue: 1_000,
        },
        tenant: name::Tenant::new("t1").unwrap(),
        weight: NonZeroU32::MIN,
        priority: Priority::Normal,
        deadline: Instant::from_millis(300),
    }
}

/// Returns a pool with open connections. The only connection of the entry
/// "narrow" has an open transaction, and 50 more requests of that entry are
/// submitted.
fn blocked() -> Pool {
    let mut pool = Pool::open(CONF, 1);
    let now = Instant::ZERO;
    for action in pool.step(now, Event::Tick) {
        if let Action::Open(generation) = action {
            pool.step(now, Event::Opened(generation));
        }
    }
    let actions = pool.step(now, Event::Submit(request(1, "narrow", 1)));
    let [Action::Run(_, handle)] = actions[..] else {
        panic!("the request did not run: {actions:?}");
    };
    pool.step(now, Event::Answered(handle, Condition::Transaction));
    for ticket in 2..52 {
        pool.step(now, Event::Submit(request(ticket, "narrow", 1)));
    }
    assert!(pool.waiting() > 10, "{}", pool.waiting());
    pool
}

/// Requests of one entry must not be refused as overload while slots are free:
/// work of another entry that waits for its own transaction must not count as
/// work ahead.
#[test]
fn entry_at_its_limit_does_not_block_others() {
    let mut pool = blocked();
    let now = Instant::from_millis(1);
    let actions = pool.step(now, Event::Submit(request(100, "wide", 2)));
    let [Action::Run(Ticket(100), first)] = actions[..] else {
        panic!("the request did not run: {actions:?}");
    };
    // The slot is taken: the next request waits and is not refused.
    let waits = pool.step(now, Event::Submit(request(101, "wide", 2)));
    assert_eq!(waits, []);
    let walked = Instant::from_millis(40);
    assert_eq!(pool.step(walked, Event::Tick), []);
    let next = pool.step(walked, Event::Answered(first, Condition::Idle));
    assert!(
        matches!(next[..], [Action::Run(Ticket(101), _)]),
        "{next:?}"
    );
}

/// Requests of a blocked entry must be refused before their deadline if its
/// transaction stays open.
#[test]
fn requests_of_a_blocked_entry_are_refused_by_their_deadline() {
    let mut pool = blocked();
    let mut now = Instant::ZERO;
    let mut refused = Vec::new();
    while let Some(at) = pool.wake(now).filter(|it| *it <= Instant::from_millis(300)) {
        now = at;
        for action in pool.step(now, Event::Tick) {
            if let Action::Refuse { ticket, .. } = action {
                refused.push(ticket);
            }
        }
    }
    assert_eq!(pool.waiting(), 0, "{refused:?}");
    assert!(refused.len() > 10, "{refused:?}");
    assert!(now < Instant::from_millis(300), "{now:?}");
}
