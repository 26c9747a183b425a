//! Pool of one upstream at its holder: admission, dispatch and connections.

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

/// Id of a request, chosen by the caller of the pool and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// Limits and time-outs of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Conf {
    /// Maximum number of connections: the share of the seat.
    pub connections: u16,
    /// Maximum number of statements in flight: the seat's share of the
    /// upstream's slots.
    pub slots: u16,
    /// Number of connections kept open without work.
    pub warm: u16,
    /// Time without work after which a connection beyond the warm ones is
    /// closed.
    pub idle_timeout: Duration,
    /// Time for which an open transaction may have no statement in flight.
    pub transaction_idle_timeout: Duration,
}

/// Limits of an entry at a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum number of connections occupied by requests of the entry.
    pub connections: u16,
    /// Maximum number of waiting requests of the entry.
    pub queue: u32,
}

/// A request for a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Id of the request.
    pub ticket: Ticket,
    /// Entry through which the request arrived.
    pub entry: name::Entry,
    /// Limits of the entry at this pool.
    pub limits: Limits,
    /// Tenant to which the request is charged.
    pub tenant: name::Tenant,
    /// Weight of the tenant relative to others of the same priority.
    pub weight: NonZeroU32,
    /// Priority of the request.
    pub priority: Priority,
    /// Time by which the request must have ended.
    pub deadline: Instant,
}

/// Condition of a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// The connection is idle.
    Idle,
    /// A transaction is open, failed or not.
    Transaction,
    /// The condition is unknown or unfit for another request, so the connection
    /// is closed.
    Unusable,
}

/// Service status of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The upstream gets new work.
    Active,
    /// The upstream is leaving: running statements may end, no new work starts.
    Leaving,
}

/// Input of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A request asks for a connection.
    Submit(Request),
    /// The owner of an open transaction sends its next statement, which must
    /// have ended by the deadline.
    Next(Ticket, Instant),
    /// The caller withdrew a request, or the deadline of the request passed.
    Withdraw(Ticket),
    /// A connection is open.
    Opened(Generation),
    /// A connection could not be opened, or was lost.
    Lost(Generation),
    /// The upstream has ended a connection after [`Action::Close`].
    Closed(Generation),
    /// The answer to a statement was read completely.
    Answered(Handle, Condition),
    /// The shares of the seat changed.
    Conf(Conf),
    /// The service status of the upstream changed.
    Status(Status),
    /// The seat is no longer held: all connections close now.
    Revoked,
    /// The time returned by [`Pool::wake`] has come.
    Tick,
}

/// Output of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Open a connection.
    Open(Generation),
    /// Close a connection.
    Close(Generation),
    /// Let the request send one statement.
    Run(Ticket, Handle),
    /// Refuse the request, which will not run here now or later.
    Refuse {
        /// Refused request.
        ticket: Ticket,
        /// Reason of the refusal.
        cause: Cause,
        /// Delay after which a retry may succeed.
        retry_after: Duration,
    },
    /// Cancel this statement at the upstream; its connection closes.
    Cancel(Handle),
    /// End the request: its connection is closed, with any statement in flight.
    Abort(Ticket, Cause),
}

#[derive(Debug)]
struct Active {
    request: Request,
    generation: Generation,
    /// Expected service time of the statement.
    cost: Duration,
}

/// Connections and queue of one upstream at the instance that holds it.
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
    /// Creates a pool without connections for a seat held since `epoch`.
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

    /// Handles an event and returns the actions to carry out.
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

    /// Returns true if the statement is in flight, so that its answer will be
    /// delivered.
    pub fn in_flight(&self, handle: Handle) -> bool {
        self.conns.in_flight(handle)
    }

    /// Number of connections that count against the limit.
    pub fn connections(&self) -> usize {
        self.conns.counted()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of statements in flight.
    pub fn running(&self) -> usize {
        self.conns
            .count(|state| matches!(state, State::Busy { .. }))
    }

    /// Number of connections with a statement in flight or an open transaction.
    pub fn busy(&self) -> usize {
        self.conns
            .count(|state| matches!(state, State::Busy { .. } | State::IdleInTransaction { .. }))
    }

    /// Maximum number of connections.
    pub fn limit(&self) -> u16 {
        self.conf.connections
    }

    /// Circuit breaker of the upstream.
    pub fn breaker(&self) -> &Breaker {
        &self.breaker
    }

    /// Expected time until a request that arrives now has ended, for the choice
    /// between holders and replicas.
    pub fn expected(&self, now: Instant, entry: &name::Entry) -> Duration {
        let ahead = self.queue.work() + self.remaining_work();
        ahead / self.slot_count() + self.mean(now, entry)
    }

    /// Next time at which [`Event::Tick`] may change anything, or `now` if this
    /// time has just passed.
    ///
    /// A time at or before the last step is not returned again: a step that
    /// changes nothing would make the caller loop. A time that passed since the
    /// last step is returned; otherwise it would be missed.
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
        // An open transaction never waits for a slot, because it may hold a
        // lock that the statements in the slots wait for: queued behind them,
        // all would block until their deadlines.
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

    /// Removes a request from its connection and closes the connection, which
    /// holds a partial statement, an unread answer or an open transaction.
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
            // The connection was dropped while it opened.
            actions.push(Action::Close(generation));
            return;
        };
        conn.state = State::Idle { since: now };
        // A login ends a probe but does not prove that statements work. Counted
        // as a success, it would hide an upstream that breaks each connection
        // on first use.
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
        // An unusable connection is no success: counted as one, it would keep
        // the breaker closed for an upstream that accepts connections and
        // breaks each.
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

    /// Applies new limits. Without any connection the waiting requests would
    /// never run here, while another holder can run them at once.
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

    /// Closes connections whose owners are overdue: the instance that forwarded
    /// the request may have died.
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

    /// Remaining work of the statements in flight: half of each on average.
    fn remaining_work(&self) -> Duration {
        let busy = self.conns.iter().filter_map(|(_, conn)| match conn.state {
            State::Busy { ticket, .. } => Some(self.active.get(&ticket)?.cost / 2),
            _ => None,
        });
        busy.sum()
    }

    /// Number of slots, at least one, for use as a divisor.
    fn slot_count(&self) -> u32 {
        u32::from(self.conf.slots.max(1))
    }
}
