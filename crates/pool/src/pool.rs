//! One upstream as its holder sees it: admission, dispatch and connections.

use std::{collections::HashMap, num::NonZeroU32, time::Duration};

use clock::Instant;
use model::{Cause, Priority, name};
use serde::{Deserialize, Serialize};

use crate::{
    breaker::Breaker,
    conn::{Generation, Handle, Stage, State, Table},
    demand::Demand,
    estimate::Estimate,
    queue::Queue,
};

mod admit;
mod dispatch;
mod retry;

use admit::Review;
use retry::Schedule;

/// A request at this pool; the caller of the pool chooses it, once each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// What the pool may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Conf {
    /// How many connections it may hold: the seat's share.
    pub connections: u16,
    /// How many statements may be in flight at once: the seat's share of the
    /// upstream's slots.
    pub slots: u16,
    /// How many connections are kept open with nothing to do.
    pub warm: u16,
    /// After how long without work a connection beyond the warm ones is closed.
    pub idle_timeout: Duration,
    /// How long an open transaction may have nothing in flight.
    pub transaction_idle_timeout: Duration,
}

/// What an entry may use at this pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// How many connections its requests may occupy.
    pub connections: u16,
    /// How many of its requests may wait.
    pub queue: u32,
}

/// A request for a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Names it from here on.
    pub ticket: Ticket,
    /// The entry it came in by.
    pub entry: name::Entry,
    /// What its entry may use here.
    pub limits: Limits,
    /// The customer it is counted for.
    pub tenant: name::Tenant,
    /// The tenant's share against other tenants of the same priority.
    pub weight: NonZeroU32,
    /// Who goes first.
    pub priority: Priority,
    /// When it must have ended.
    pub deadline: Instant,
}

/// How an answer left its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// Ready for anything.
    Idle,
    /// In an open transaction, failed or not.
    Transaction,
    /// Not known, or not fit for another: it is closed.
    Unusable,
}

/// Whether an upstream gets new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It does.
    Active,
    /// It is leaving: what runs may end, nothing new begins.
    Leaving,
}

/// What happens to a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A request wants a connection.
    Submit(Request),
    /// The owner of an open transaction sends its next statement, which must
    /// have ended by the deadline.
    Next(Ticket, Instant),
    /// A request was given up by its caller, or its deadline passed.
    Withdraw(Ticket),
    /// A connection is ready.
    Opened(Generation),
    /// A connection could not be opened, or broke.
    Lost(Generation),
    /// The upstream has ended a connection after [`Action::Close`].
    Closed(Generation),
    /// A statement's whole answer was read.
    Answered(Handle, Condition),
    /// The shares changed.
    Conf(Conf),
    /// The upstream is leaving, or is back.
    Status(Status),
    /// The seat is no longer held: everything closes now.
    Revoked,
    /// A moment asked for by [`Pool::wake`] came.
    Tick,
}

/// What the pool wants done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Open a connection.
    Open(Generation),
    /// Close a connection.
    Close(Generation),
    /// The request may send one statement.
    Run(Ticket, Handle),
    /// The request will not run here, now or later.
    Refuse {
        /// Which.
        ticket: Ticket,
        /// Why.
        cause: Cause,
        /// When asking again has a chance.
        retry_after: Duration,
    },
    /// Ask the upstream to cancel this statement; its connection closes.
    Cancel(Handle),
    /// The request's connection is gone, with whatever it had in flight.
    Abort(Ticket, Cause),
}

#[derive(Debug)]
struct Active {
    request: Request,
    generation: Generation,
    /// The time that its statement was expected to take.
    cost: Duration,
}

/// The connections and the queue of one upstream at the instance that holds it.
#[derive(Debug)]
pub struct Pool {
    conf: Conf,
    status: Status,
    conns: Table,
    queue: Queue,
    active: HashMap<Ticket, Active>,
    in_use: HashMap<name::Entry, u16>,
    estimates: HashMap<name::Entry, Estimate>,
    breaker: Breaker,
    retries: Schedule,
    demand: Demand,
    review: Review,
    last_step: Instant,
}

impl Pool {
    /// A pool without connections, for the holder of a seat since `epoch`.
    pub fn open(conf: Conf, epoch: u32) -> Self {
        Self {
            conf,
            status: Status::Active,
            conns: Table::new(epoch),
            queue: Queue::default(),
            active: HashMap::new(),
            in_use: HashMap::new(),
            estimates: HashMap::new(),
            breaker: Breaker::default(),
            retries: Schedule::default(),
            demand: Demand::default(),
            review: Review::default(),
            last_step: Instant::ZERO,
        }
    }

    /// Decides what to do about `event`.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.last_step = now;
        self.conns.expire(now);
        match event {
            Event::Submit(request) => self.submit(now, request, &mut actions),
            Event::Next(ticket, deadline) => {
                self.next_statement(now, ticket, deadline, &mut actions)
            }
            Event::Withdraw(ticket) => self.withdraw(now, ticket, &mut actions),
            Event::Opened(generation) => self.opened(now, generation, &mut actions),
            Event::Lost(generation) => self.lost(now, generation, &mut actions),
            Event::Closed(generation) => self.conns.ended(generation),
            Event::Answered(handle, condition) => {
                self.answered(now, handle, condition, &mut actions)
            }
            Event::Conf(conf) => self.configure(conf, &mut actions),
            Event::Status(status) => self.status = status,
            Event::Revoked => self.revoke(&mut actions),
            Event::Tick => self.expire(now, &mut actions),
        }
        self.shed(now, &mut actions);
        self.dispatch(now, &mut actions);
        self.close_idle(now, &mut actions);
        self.keep_warm(now, &mut actions);
        actions
    }

    /// Whether the statement is in flight, so that its answer has a taker.
    pub fn in_flight(&self, handle: Handle) -> bool {
        self.conns.in_flight(handle)
    }

    /// Connections that count against the limit.
    pub fn connections(&self) -> usize {
        self.conns.counted()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Statements in flight.
    pub fn running(&self) -> usize {
        self.conns
            .count(|state| matches!(state, State::Busy { .. }))
    }

    /// Connections that run a statement or are held by a transaction.
    pub fn busy(&self) -> usize {
        self.conns
            .count(|state| matches!(state, State::Busy { .. } | State::IdleInTransaction { .. }))
    }

    /// How many connections there may be.
    pub fn limit(&self) -> u16 {
        self.conf.connections
    }

    /// The upstream's circuit breaker.
    pub fn breaker(&self) -> &Breaker {
        &self.breaker
    }

    /// When a request that came now would be through, for the choice between
    /// holders and replicas.
    pub fn expected(&self, now: Instant, entry: &name::Entry) -> Duration {
        let ahead = self.queue.work() + self.remaining_work();
        ahead / self.slot_count() + self.mean(now, entry)
    }

    /// The next moment at which [`Event::Tick`] may change anything, `now` if
    /// it has just passed.
    ///
    /// Moments that a step has seen are not named again: one that changes
    /// nothing would make the caller step in a loop. Those that passed since
    /// the last step are: left out, they would be missed altogether.
    pub fn wake(&self, now: Instant) -> Option<Instant> {
        let waits = (!self.queue.is_empty()).then(|| self.review.due());
        let spare = self.conns.len() > usize::from(self.conf.warm);
        let ends = self.conns.iter().filter_map(|(_, conn)| match conn.state {
            State::Opening => None,
            State::Idle { since } => spare.then_some(since + self.conf.idle_timeout),
            State::Busy { ticket, .. } => Some(self.active.get(&ticket)?.request.deadline),
            State::IdleInTransaction { since, .. } => {
                Some(since + self.conf.transaction_idle_timeout)
            }
        });
        let places = self.conns.expires();
        let moments = waits.into_iter().chain(ends).chain(places);
        let moments = moments.chain(self.breaker.retry_at());
        let next = moments.filter(|&at| at > self.last_step).min();
        next.map(|at| at.max(now))
    }

    fn next_statement(
        &mut self,
        now: Instant,
        ticket: Ticket,
        deadline: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.active.get_mut(&ticket) else {
            actions.push(Action::Abort(ticket, Cause::ConnectionLost));
            return;
        };
        let generation = active.generation;
        let idle = |state: &State| matches!(state, State::IdleInTransaction { .. });
        if !self
            .conns
            .find(generation)
            .is_some_and(|it| idle(&it.state))
        {
            return;
        }
        active.request.deadline = deadline;
        // An open transaction never waits for a slot. It may hold the lock that
        // the statements in the slots wait for; made to queue behind them, both
        // would stand still until their deadlines.
        if let Some(handle) = self
            .conns
            .start(now, generation, ticket, Stage::Transaction)
        {
            actions.push(Action::Run(ticket, handle));
        }
    }

    fn withdraw(&mut self, now: Instant, ticket: Ticket, actions: &mut Vec<Action>) {
        if self.queue.withdraw(ticket).is_some() {
            return;
        }
        self.discard(now, ticket, actions);
    }

    /// Takes a request off its connection, which is closed: what it left there
    /// is a statement half way, an unread answer or an open transaction.
    fn discard(&mut self, now: Instant, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(active) = self.release(ticket) else {
            return;
        };
        let generation = active.generation;
        let Some(conn) = self.conns.remove(generation) else {
            return;
        };
        if let State::Busy { since, .. } = conn.state {
            self.conns.abandon(now, generation);
            self.learn(now, &active.request.entry, now.since(since));
            if now >= active.request.deadline {
                self.breaker.failure(now);
            }
            actions.push(Action::Cancel(Handle {
                generation,
                sequence: conn.sequence,
            }));
        }
        actions.push(Action::Close(generation));
    }

    fn opened(&mut self, now: Instant, generation: Generation, actions: &mut Vec<Action>) {
        let Some(conn) = self.conns.find_mut(generation) else {
            // It was given up while it opened.
            actions.push(Action::Close(generation));
            return;
        };
        conn.state = State::Idle { since: now };
        // A login ends a probe, but proves no statement: counted as success,
        // it would hide an upstream that breaks each connection when used.
        if !self.breaker.is_closed() {
            self.breaker.success();
        }
    }

    fn lost(&mut self, now: Instant, generation: Generation, actions: &mut Vec<Action>) {
        let Some(conn) = self.conns.remove(generation) else {
            return;
        };
        if !matches!(conn.state, State::Idle { .. }) {
            self.breaker.failure(now);
        }
        if let Some(ticket) = conn.ticket() {
            self.release(ticket);
            actions.push(Action::Abort(ticket, Cause::ConnectionLost));
        }
    }

    fn answered(
        &mut self,
        now: Instant,
        handle: Handle,
        condition: Condition,
        actions: &mut Vec<Action>,
    ) {
        if !self.conns.in_flight(handle) {
            return;
        }
        let generation = handle.generation;
        let Some(conn) = self.conns.find_mut(generation) else {
            return;
        };
        let State::Busy { ticket, since, .. } = conn.state else {
            return;
        };
        conn.state = match condition {
            Condition::Transaction => State::IdleInTransaction { ticket, since: now },
            Condition::Idle | Condition::Unusable => State::Idle { since: now },
        };
        // A connection that came to grief says nothing good of its upstream:
        // taken for a success, it would keep the breaker closed on one that
        // takes connections and breaks each.
        if condition != Condition::Unusable {
            self.breaker.success();
        }
        if let Some(active) = self.active.get(&ticket) {
            let entry = active.request.entry.clone();
            self.learn(now, &entry, now.since(since));
        }
        if condition == Condition::Transaction {
            return;
        }
        self.release(ticket);
        if condition == Condition::Unusable {
            self.conns.remove(generation);
            actions.push(Action::Close(generation));
        }
    }

    fn release(&mut self, ticket: Ticket) -> Option<Active> {
        let active = self.active.remove(&ticket)?;
        if let Some(count) = self.in_use.get_mut(&active.request.entry) {
            *count -= 1;
            if *count == 0 {
                self.in_use.remove(&active.request.entry);
            }
        }
        Some(active)
    }

    /// Takes new limits. Without a connection nothing that waits would ever run
    /// here, and another holder can take it at once.
    fn configure(&mut self, conf: Conf, actions: &mut Vec<Action>) {
        self.conf = conf;
        if self.conf.connections == 0 {
            self.refuse_waiting(Duration::ZERO, actions);
        }
    }

    fn revoke(&mut self, actions: &mut Vec<Action>) {
        self.conf.connections = 0;
        let generations: Vec<_> = self.conns.iter().map(|(it, _)| it).collect();
        for generation in generations {
            let conn = self.conns.remove(generation);
            actions.push(Action::Close(generation));
            if let Some(ticket) = conn.and_then(|it| it.ticket()) {
                self.release(ticket);
                actions.push(Action::Abort(ticket, Cause::ConnectionLost));
            }
        }
        self.refuse_waiting(Duration::ZERO, actions);
    }

    /// Takes back connections whose owners left them: the instance that
    /// forwarded the request may have died without a word.
    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let late: Vec<_> = self
            .conns
            .iter()
            .filter_map(|(_, conn)| match conn.state {
                State::Opening | State::Idle { .. } => None,
                State::Busy { ticket, .. } => {
                    let deadline = self.active.get(&ticket)?.request.deadline;
                    (now >= deadline).then_some(ticket)
                }
                State::IdleInTransaction { ticket, since } => {
                    (now >= since + self.conf.transaction_idle_timeout).then_some(ticket)
                }
            })
            .collect();
        for ticket in late {
            self.discard(now, ticket, actions);
            actions.push(Action::Abort(ticket, Cause::Deadline));
        }
    }

    fn learn(&mut self, now: Instant, entry: &name::Entry, span: Duration) {
        self.estimates
            .entry(entry.clone())
            .or_default()
            .learn(now, span);
    }

    fn mean(&self, now: Instant, entry: &name::Entry) -> Duration {
        let estimate = self.estimates.get(entry).copied().unwrap_or_default();
        estimate.mean(now)
    }

    fn tail(&self, now: Instant, entry: &name::Entry) -> Duration {
        let estimate = self.estimates.get(entry).copied().unwrap_or_default();
        estimate.tail(now)
    }

    /// The work left of what is in flight: half of each on average.
    fn remaining_work(&self) -> Duration {
        let busy = self.conns.iter().filter_map(|(_, conn)| match conn.state {
            State::Busy { ticket, .. } => Some(self.active.get(&ticket)?.cost / 2),
            _ => None,
        });
        busy.sum()
    }

    /// The slots as a divisor.
    fn slot_count(&self) -> u32 {
        u32::from(self.conf.slots.max(1))
    }
}
