//! Statements in flight at an upstream.

use std::rc::Rc;

use admit::service::{Class, Ticket};
use clock::{Boot, Instant};

use crate::member::Member;

/// Counts a statement that runs at an upstream, until it is dropped.
#[derive(Debug)]
pub struct RunningGuard {
    member: Rc<Member>,
    since: Instant,
    ticket: Ticket,
    place: Place,
}

/// Connection on which a statement runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// One that was acquired for the statement.
    Single,
    /// That of a transaction.
    Transaction,
}

impl RunningGuard {
    /// Starts counting a statement on a connection that was acquired for it.
    pub fn new(member: &Rc<Member>, class: Class) -> Self {
        let now = Boot.now();
        let ticket = member.pool.start(now, class);
        Self::with(member, now, ticket, Place::Single)
    }

    /// Starts counting a statement of a transaction.
    pub fn in_transaction(member: &Rc<Member>, class: Class) -> Self {
        let now = Boot.now();
        let ticket = member.pool.start_pinned(now, class);
        Self::with(member, now, ticket, Place::Transaction)
    }

    fn with(member: &Rc<Member>, since: Instant, ticket: Ticket, place: Place) -> Self {
        member.running.set(member.running.get() + 1);
        Self {
            member: Rc::clone(member),
            since,
            ticket,
            place,
        }
    }

    /// Returns the start time.
    pub fn since(&self) -> Instant {
        self.since
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let now = Boot.now();
        let member = &self.member;
        member.running.set(member.running.get() - 1);
        member.note_latency(now.since(self.since));
        match self.place {
            Place::Single => member.pool.finish(now, self.ticket),
            Place::Transaction => member.pool.finish_pinned(now, self.ticket),
        }
    }
}
