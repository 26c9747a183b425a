//! Dispatch of requests, and opening and closing of connections.

use std::time::Duration;

use clock::Instant;

use super::{Action, Active, Pool, Request, Status, Ticket};
use crate::{
    breaker::Permit,
    conn::{Generation, Stage, State},
};

impl Pool {
    pub(super) fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let slots = usize::from(self.conf.slots);
        while self.running() < slots {
            let Some(ticket) = self.next_runnable() else {
                return;
            };
            let Some(generation) = self.conns.idle() else {
                self.open_for_waiting(now, actions);
                return;
            };
            let Some(request) = self.queue.take(ticket) else {
                return;
            };
            let cost = self.mean(now, &request.entry);
            self.start(now, request, generation, cost, actions);
        }
    }

    /// Connection on which a request can run without waiting.
    pub(super) fn free_connection(&self, request: &Request) -> Option<Generation> {
        let slot = self.running() < usize::from(self.conf.slots);
        (slot && self.has_connection(request)).then(|| self.conns.idle())?
    }

    /// Starts a request on a connection.
    pub(super) fn start(
        &mut self,
        now: Instant,
        request: Request,
        generation: Generation,
        cost: Duration,
        actions: &mut Vec<Action>,
    ) {
        let ticket = request.ticket;
        let Some(handle) = self.conns.start(now, generation, ticket, Stage::First) else {
            return;
        };
        match self.in_use.get_mut(&request.entry) {
            Some(count) => *count += 1,
            None => {
                self.in_use.insert(request.entry.clone(), 1);
            }
        }
        let active = Active {
            request,
            generation,
            cost,
        };
        self.active.insert(ticket, active);
        actions.push(Action::Run(ticket, handle));
    }

    /// Returns true if the request's entry has a connection left.
    fn has_connection(&self, request: &Request) -> bool {
        let used = self.in_use.get(&request.entry).copied().unwrap_or(0);
        used < request.limits.connections
    }

    /// Next request whose entry has a connection left.
    fn next_runnable(&self) -> Option<Ticket> {
        self.queue.first(|it| self.has_connection(it))
    }

    /// Opens a connection for each request that lacks only a connection to run.
    fn open_for_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let opening = self.conns.count(|state| *state == State::Opening);
        let free = usize::from(self.conf.slots).saturating_sub(self.running());
        let wanted = self.queue.len().min(free);
        for _ in opening..wanted {
            self.open_connection(now, actions);
        }
    }

    fn open_connection(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.conns.counted() >= usize::from(self.conf.connections) {
            return;
        }
        if let Permit::Wait(_) = self.breaker.permit(now) {
            return;
        }
        actions.push(Action::Open(self.conns.open()));
    }

    /// Keeps the configured number of connections open; while the breaker is
    /// open, one of them serves as its probe.
    pub(super) fn keep_warm(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.status == Status::Leaving {
            return;
        }
        if !self.breaker.is_closed() {
            self.open_connection(now, actions);
            return;
        }
        let warm = usize::from(self.conf.warm.min(self.conf.connections));
        for _ in self.conns.len()..warm {
            self.open_connection(now, actions);
        }
    }

    /// Closes idle connections that exceed the limit, have expired or are not
    /// wanted.
    pub(super) fn close_idle(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let leaving = self.status == Status::Leaving;
        let ends = |since: Instant| leaving || now >= since + self.conf.idle_timeout;
        let crowded = self.conns.len() > usize::from(self.conf.connections);
        // Most steps find nothing to close and allocate no memory.
        let mut idle: Vec<_> = self
            .conns
            .iter()
            .filter_map(|(generation, conn)| match conn.state {
                State::Idle { since } if crowded || ends(since) => Some((since, generation)),
                _ => None,
            })
            .collect();
        idle.sort_unstable();
        for (since, generation) in idle {
            let held = self.conns.len();
            let beyond = held > usize::from(self.conf.connections);
            let aged = held > usize::from(self.conf.warm) && now >= since + self.conf.idle_timeout;
            if leaving || beyond || aged {
                self.conns.remove(generation);
                actions.push(Action::Close(generation));
            }
        }
    }
}
