//! One upstream as its holder sees it: admission, dispatch and connections.

use std::{collections::HashMap, num::NonZeroU32, time::Duration};

use clock::Instant;
use model::{Cause, Priority, name};
use serde::{Deserialize, Serialize};

use crate::{
    breaker::{Breaker, Permit},
    conn::{Generation, Handle, State, Table, Within},
    estimate::Estimate,
    queue::Queue,
};

mod pace;

use pace::Pace;

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
    pub idle: Duration,
    /// How long an open transaction may have nothing in flight.
    pub transaction_idle: Duration,
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
pub enum After {
    /// Ready for anything.
    Idle,
    /// In an open transaction, failed or not.
    Transaction,
    /// Not known, or not fit for another: it is closed.
    Unusable,
}

/// Whether an upstream gets new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    /// It does.
    In,
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
    /// A statement's whole answer was read.
    Answered(Handle, After),
    /// The shares changed.
    Conf(Conf),
    /// The upstream is leaving, or is back.
    Service(Service),
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
    Broke(Ticket, Cause),
}

#[derive(Debug)]
struct Active {
    request: Request,
    generation: Generation,
}

/// The connections and the queue of one upstream at the instance that holds it.
#[derive(Debug)]
pub struct Pool {
    conf: Conf,
    service: Service,
    conns: Table,
    queue: Queue,
    active: HashMap<Ticket, Active>,
    in_use: HashMap<name::Entry, u16>,
    estimates: HashMap<name::Entry, Estimate>,
    breaker: Breaker,
    pace: Pace,
}

impl Pool {
    /// A pool without connections, for the holder of a seat since `epoch`.
    pub fn open(conf: Conf, epoch: u32) -> Self {
        Self {
            conf,
            service: Service::In,
            conns: Table::new(epoch),
            queue: Queue::default(),
            active: HashMap::new(),
            in_use: HashMap::new(),
            estimates: HashMap::new(),
            breaker: Breaker::default(),
            pace: Pace::default(),
        }
    }

    /// Decides what to do about `event`.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Submit(request) => self.submit(now, request, &mut actions),
            Event::Next(ticket, deadline) => self.next(now, ticket, deadline, &mut actions),
            Event::Withdraw(ticket) => self.withdraw(now, ticket, &mut actions),
            Event::Opened(generation) => self.opened(now, generation, &mut actions),
            Event::Lost(generation) => self.lost(now, generation, &mut actions),
            Event::Answered(handle, after) => self.answered(now, handle, after, &mut actions),
            Event::Conf(conf) => self.conf = conf,
            Event::Service(service) => self.service = service,
            Event::Revoked => self.revoke(&mut actions),
            Event::Tick => self.expire(now, &mut actions),
        }
        self.shed(now, &mut actions);
        self.dispatch(now, &mut actions);
        self.trim(now, &mut actions);
        self.warm(now, &mut actions);
        actions
    }

    /// Whether the statement is in flight, so that its answer has a taker.
    pub fn in_flight(&self, handle: Handle) -> bool {
        self.conns.in_flight(handle)
    }

    /// Connections that count against the limit.
    pub fn connections(&self) -> usize {
        self.conns.len()
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

    /// When a request that came now would be through, for the choice between
    /// holders and replicas.
    pub fn expected(&self, now: Instant, entry: &name::Entry) -> Duration {
        let waiting = self.queue.iter().map(|it| self.mean(now, &it.entry));
        let ahead = waiting.sum::<Duration>() + self.remaining(now);
        ahead / u32::from(self.conf.slots.max(1)) + self.mean(now, entry)
    }

    /// The next moment at which [`Event::Tick`] may change anything.
    pub fn wake(&self, now: Instant) -> Option<Instant> {
        let waits = self.queue.iter().flat_map(|it| {
            let doomed = it.deadline - self.tail(now, &it.entry);
            [doomed, it.deadline]
        });
        let spare = self.conns.len() > usize::from(self.conf.warm);
        let ends = self.conns.iter().filter_map(|(_, conn)| match conn.state {
            State::Opening => None,
            State::Idle { since } => spare.then_some(since + self.conf.idle),
            State::Busy { ticket, .. } => Some(self.active.get(&ticket)?.request.deadline),
            State::Held { since, .. } => Some(since + self.conf.transaction_idle),
        });
        let moments = waits.chain(ends).chain(self.breaker.opens_at());
        moments.filter(|&at| at > now).min()
    }

    fn submit(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) {
        let refusal = self.refusal(now, &request);
        if let Some((cause, retry_after)) = refusal {
            actions.push(Action::Refuse {
                ticket: request.ticket,
                cause,
                retry_after,
            });
            return;
        }
        let cost = self.mean(now, &request.entry);
        self.queue.push(request, cost);
    }

    fn refusal(&mut self, now: Instant, request: &Request) -> Option<(Cause, Duration)> {
        if self.service == Service::Leaving || self.conf.connections == 0 {
            return Some((Cause::NoUpstream, Duration::ZERO));
        }
        if let Some(at) = self.breaker.opens_at() {
            return Some((Cause::NoUpstream, at.since(now)));
        }
        if now >= request.deadline {
            return Some((Cause::Deadline, Duration::ZERO));
        }
        if self.queue.length(&request.entry) >= request.limits.queue {
            return Some((Cause::Overload, self.retry_after(now, request)));
        }
        None
    }

    /// Refuses what can no longer end in time, as soon as that is seen.
    ///
    /// The queue is walked in the order it will run, so a request that is put
    /// behind by one of a higher priority is told at once.
    fn shed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        if self.service == Service::Leaving || !self.breaker.is_closed() {
            self.refuse_all(now, actions);
            return;
        }
        let slots = u32::from(self.conf.slots.max(1));
        let mut ahead = self.remaining(now);
        let mut doomed = Vec::new();
        for request in self.queue.iter() {
            let tail = self.tail(now, &request.entry);
            let room = request.deadline.since(now);
            // With nothing ahead the request runs even if the estimate speaks
            // against it: only running something can correct an estimate.
            if ahead.is_zero() && !room.is_zero() {
                ahead += self.mean(now, &request.entry);
            } else if tail > room {
                doomed.push((request.ticket, Cause::Deadline));
            } else if ahead / slots + tail > room {
                doomed.push((request.ticket, Cause::Overload));
            } else {
                ahead += self.mean(now, &request.entry);
            }
        }
        for (ticket, cause) in doomed {
            self.refuse(now, ticket, cause, actions);
        }
    }

    fn refuse_all(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let retry_after = self.breaker.opens_at().unwrap_or(now).since(now);
        let tickets: Vec<_> = self.queue.iter().map(|it| it.ticket).collect();
        for ticket in tickets {
            self.queue.withdraw(ticket, Duration::ZERO);
            actions.push(Action::Refuse {
                ticket,
                cause: Cause::NoUpstream,
                retry_after,
            });
        }
    }

    fn refuse(&mut self, now: Instant, ticket: Ticket, cause: Cause, actions: &mut Vec<Action>) {
        let Some(cost) = self
            .queue
            .iter()
            .find(|it| it.ticket == ticket)
            .map(|it| self.mean(now, &it.entry))
        else {
            return;
        };
        let Some(request) = self.queue.withdraw(ticket, cost) else {
            return;
        };
        let retry_after = self.retry_after(now, &request);
        actions.push(Action::Refuse {
            ticket,
            cause,
            retry_after,
        });
    }

    fn retry_after(&mut self, now: Instant, request: &Request) -> Duration {
        let waiting = self.queue.iter().map(|it| self.mean(now, &it.entry));
        let backlog = waiting.sum::<Duration>() + self.remaining(now);
        let slots = u32::from(self.conf.slots.max(1));
        let cost = self.mean(now, &request.entry) / slots;
        self.pace.next(now, request.priority, backlog / slots, cost)
    }

    fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let slots = usize::from(self.conf.slots);
        while self.running() < slots {
            let Some(ticket) = self.runnable() else {
                return;
            };
            let Some(generation) = self.conns.idle() else {
                self.grow(now, actions);
                return;
            };
            let Some(request) = self.queue.take(ticket) else {
                return;
            };
            let Some(handle) = self.conns.start(now, generation, ticket, Within::First) else {
                return;
            };
            *self.in_use.entry(request.entry.clone()).or_insert(0) += 1;
            self.active.insert(
                ticket,
                Active {
                    request,
                    generation,
                },
            );
            actions.push(Action::Run(ticket, handle));
        }
    }

    /// The next request whose entry has a connection left.
    fn runnable(&self) -> Option<Ticket> {
        let free = |it: &&Request| {
            self.in_use.get(&it.entry).copied().unwrap_or(0) < it.limits.connections
        };
        self.queue.iter().find(free).map(|it| it.ticket)
    }

    /// Opens a connection for each request that could run now but for it.
    fn grow(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let opening = self.conns.count(|state| *state == State::Opening);
        let free = usize::from(self.conf.slots).saturating_sub(self.running());
        let wanted = self.queue.len().min(free);
        for _ in opening..wanted {
            self.open_one(now, actions);
        }
    }

    fn open_one(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.conns.len() >= usize::from(self.conf.connections) {
            return;
        }
        if let Permit::Wait(_) = self.breaker.permit(now) {
            return;
        }
        actions.push(Action::Open(self.conns.open()));
    }

    /// Keeps the warm connections open; after a failure one of them is the
    /// breaker's probe.
    fn warm(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.service == Service::Leaving {
            return;
        }
        if !self.breaker.is_closed() {
            self.open_one(now, actions);
            return;
        }
        let warm = usize::from(self.conf.warm.min(self.conf.connections));
        for _ in self.conns.len()..warm {
            self.open_one(now, actions);
        }
    }

    /// Closes idle connections that are too many, too old or not wanted.
    fn trim(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut idle: Vec<_> = self
            .conns
            .iter()
            .filter_map(|(generation, conn)| match conn.state {
                State::Idle { since } => Some((since, generation)),
                _ => None,
            })
            .collect();
        idle.sort_unstable();
        for (since, generation) in idle {
            let held = self.conns.len();
            let leaving = self.service == Service::Leaving;
            let beyond = held > usize::from(self.conf.connections);
            let aged = held > usize::from(self.conf.warm) && now >= since + self.conf.idle;
            if leaving || beyond || aged {
                self.conns.remove(generation);
                actions.push(Action::Close(generation));
            }
        }
    }

    fn next(&mut self, now: Instant, ticket: Ticket, deadline: Instant, actions: &mut Vec<Action>) {
        let Some(active) = self.active.get_mut(&ticket) else {
            actions.push(Action::Broke(ticket, Cause::ConnectionLost));
            return;
        };
        let generation = active.generation;
        let held = |state: &State| matches!(state, State::Held { .. });
        if !self
            .conns
            .find(generation)
            .is_some_and(|it| held(&it.state))
        {
            return;
        }
        active.request.deadline = deadline;
        // An open transaction never waits for a slot. It may hold the lock that
        // the statements in the slots wait for; made to queue behind them, both
        // would stand still until their deadlines.
        if let Some(handle) = self
            .conns
            .start(now, generation, ticket, Within::Transaction)
        {
            actions.push(Action::Run(ticket, handle));
        }
    }

    fn withdraw(&mut self, now: Instant, ticket: Ticket, actions: &mut Vec<Action>) {
        if self.queue.withdraw(ticket, Duration::ZERO).is_some() {
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
        self.breaker.success();
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
            actions.push(Action::Broke(ticket, Cause::ConnectionLost));
        }
    }

    fn answered(&mut self, now: Instant, handle: Handle, after: After, actions: &mut Vec<Action>) {
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
        conn.state = match after {
            After::Transaction => State::Held { ticket, since: now },
            After::Idle | After::Unusable => State::Idle { since: now },
        };
        self.breaker.success();
        if let Some(active) = self.active.get(&ticket) {
            let entry = active.request.entry.clone();
            self.learn(now, &entry, now.since(since));
        }
        if after == After::Transaction {
            return;
        }
        self.release(ticket);
        if after == After::Unusable {
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

    fn revoke(&mut self, actions: &mut Vec<Action>) {
        self.conf.connections = 0;
        let generations: Vec<_> = self.conns.iter().map(|(it, _)| it).collect();
        for generation in generations {
            let conn = self.conns.remove(generation);
            actions.push(Action::Close(generation));
            if let Some(ticket) = conn.and_then(|it| it.ticket()) {
                self.release(ticket);
                actions.push(Action::Broke(ticket, Cause::ConnectionLost));
            }
        }
        let waiting: Vec<_> = self.queue.iter().map(|it| it.ticket).collect();
        for ticket in waiting {
            self.queue.withdraw(ticket, Duration::ZERO);
            actions.push(Action::Refuse {
                ticket,
                cause: Cause::NoUpstream,
                retry_after: Duration::ZERO,
            });
        }
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
                State::Held { ticket, since } => {
                    (now >= since + self.conf.transaction_idle).then_some(ticket)
                }
            })
            .collect();
        for ticket in late {
            self.discard(now, ticket, actions);
            actions.push(Action::Broke(ticket, Cause::Deadline));
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
    fn remaining(&self, now: Instant) -> Duration {
        let busy = self.conns.iter().filter_map(|(_, conn)| match conn.state {
            State::Busy { ticket, .. } => Some(self.active.get(&ticket)?.request.entry.clone()),
            _ => None,
        });
        busy.map(|entry| self.mean(now, &entry) / 2).sum()
    }
}
