//! Waiting requests when an instance's share of connections moves to another.

use std::{num::NonZeroU32, time::Duration};

use clock::Instant;
use model::{Cause, Priority, name};
use pool::{Action, Conf, Event, Pool, Request, Ticket, pool::Limits};

const CONF: Conf = Conf {
    connections: 2,
    slots: 1,
    warm: 1,
    idle_timeout: Duration::from_secs(60),
    transaction_idle_timeout: Duration::from_secs(60),
};

fn request(ticket: u64) -> Request {
    Request {
        ticket: Ticket(ticket),
        entry: name::Entry::new("slots").unwrap(),
        limits: Limits {
            connections: 2,
            queue: 1_000,
        },
        tenant: name::Tenant::new("yard").unwrap(),
        weight: NonZeroU32::MIN,
        priority: Priority::Normal,
        deadline: Instant::from_millis(5_000),
    }
}

/// Requests refused because no upstream is available here.
fn refused_without_upstream(actions: &[Action]) -> Vec<u64> {
    let ticket = |action: &Action| match action {
        Action::Refuse {
            ticket: Ticket(ticket),
            cause: Cause::NoUpstream,
            ..
        } => Some(*ticket),
        _ => None,
    };
    actions.iter().filter_map(ticket).collect()
}

/// A starting instance takes itself for a holder and queues a request; then its
/// share moves to other instances. The request must be refused, as another
/// holder can run it at once, and not end as unknown at its deadline.
#[test]
fn waiting_requests_are_refused_when_the_share_is_lost() {
    let mut pool = Pool::open(CONF, 1);
    let now = Instant::ZERO;
    pool.step(now, Event::Tick);
    let waits = pool.step(now, Event::Submit(request(1)));
    assert_eq!(refused_without_upstream(&waits), []);
    let none = Conf {
        connections: 0,
        slots: 0,
        warm: 0,
        ..CONF
    };
    let actions = pool.step(now, Event::Conf(none));
    assert_eq!(refused_without_upstream(&actions), [1]);
    // A later request must not wait either.
    let actions = pool.step(now, Event::Submit(request(2)));
    assert_eq!(refused_without_upstream(&actions), [2]);
    assert_eq!(pool.waiting(), 0);
}
