//! Admission of requests, and early refusal of requests that would be late.

use std::time::Duration;

use clock::Instant;
use model::{Cause, name};

use super::{Action, Pool, Request, Status, Ticket};
use crate::{conn::State, queue::Place};

/// Maximum expected wait of an admitted request, as a percentage of its time
/// left. The rest is for statements that take longer than expected; without
/// this reserve half of the last requests admitted are refused later.
const MAX_WAIT_PERCENT: u32 = 50;
/// Smallest fraction of the slots assumed for any priority: demand is only an
/// estimate and must never exclude a priority.
const MIN_SLOT_FRACTION: f64 = 0.01;
/// Minimum interval between two reviews of the queue. Refusals are delayed by
/// up to this time, and the reviews of a long queue use only a bounded share of
/// a core.
pub(super) const MIN_REVIEW_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum interval between two reviews of the queue, because estimates change.
const MAX_REVIEW_INTERVAL: Duration = Duration::from_millis(20);

/// Schedule of the reviews of the waiting requests.
#[derive(Debug, Default)]
pub(super) struct Review {
    walked: Instant,
    due: Instant,
}

impl Review {
    /// Records a new request that can wait for `slack` longer than expected.
    fn on_queued(&mut self, now: Instant, slack: Duration) {
        self.due = self.due.min(now + slack);
    }

    /// Records that queued requests were delayed by `span`.
    fn on_overtaken(&mut self, span: Duration) {
        self.due = self.due - span;
    }

    /// Time of the next review.
    pub(super) fn due(&self) -> Instant {
        self.due.max(self.walked + MIN_REVIEW_INTERVAL)
    }

    fn on_walked(&mut self, now: Instant, slack: Duration) {
        self.walked = now;
        self.due = now + slack.min(MAX_REVIEW_INTERVAL);
    }
}

/// Expected service times of the entries met in one review.
#[derive(Default)]
struct SpanCache {
    known: Vec<(name::Entry, Span)>,
}

#[derive(Clone, Copy)]
struct Span {
    mean: Duration,
    tail: Duration,
}

impl SpanCache {
    fn find(&mut self, pool: &Pool, now: Instant, entry: &name::Entry) -> Span {
        if let Some((_, span)) = self.known.iter().find(|(known, _)| known == entry) {
            return *span;
        }
        let span = Span {
            mean: pool.mean(now, entry),
            tail: pool.tail(now, entry),
        };
        self.known.push((entry.clone(), span));
        span
    }
}

impl Pool {
    pub(super) fn submit(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) {
        let place = self.queue.place(&request);
        let closed = (self.conf.connections == 0).then_some((Cause::NoUpstream, Duration::ZERO));
        let refusal = closed
            .or_else(|| self.refusal(now, &request))
            .or_else(|| self.late_refusal(now, &request, place));
        if let Some((cause, retry_after)) = refusal {
            actions.push(Action::Refuse {
                ticket: request.ticket,
                cause,
                retry_after,
            });
            return;
        }
        let cost = self.mean(now, &request.entry);
        self.demand
            .add(now, request.priority, &request.tenant, cost);
        // Requests that wait while a slot and a connection are free wait for
        // their entry's own connections.
        if let Some(generation) = self.free_connection(&request) {
            self.queue.bypass(&request, cost);
            self.start(now, request, generation, cost, actions);
            return;
        }
        if self.queue.is_empty() {
            self.review.on_walked(now, MAX_REVIEW_INTERVAL);
        } else if !self.queue.is_last(place) {
            self.review.on_overtaken(cost / self.slot_count());
        }
        let slack = self.slack(now, &request, place);
        self.review.on_queued(now, slack);
        self.queue.push(request, cost);
    }

    fn refusal(&mut self, now: Instant, request: &Request) -> Option<(Cause, Duration)> {
        if self.status == Status::Leaving || self.conf.connections == 0 {
            return Some((Cause::NoUpstream, Duration::ZERO));
        }
        if let Some(at) = self.breaker.retry_at() {
            return Some((Cause::NoUpstream, at.since(now)));
        }
        if now >= request.deadline {
            return Some((Cause::Deadline, Duration::ZERO));
        }
        if self.queue.entry_length(&request.entry) >= request.limits.queue {
            return Some((Cause::Overload, self.retry_after(now, request)));
        }
        None
    }

    /// Returns the refusal of a request that cannot be expected to end in time.
    ///
    /// Such a request is refused on arrival. Admitted by its place alone, it
    /// would be overtaken by later requests and refused when most of its time
    /// has passed; a caller refused at once can still try elsewhere.
    fn late_refusal(
        &mut self,
        now: Instant,
        request: &Request,
        place: Place,
    ) -> Option<(Cause, Duration)> {
        let ahead = self.remaining_work() + self.runnable_ahead(request, place);
        // With no work ahead, the request runs even if the estimate is too
        // long: only a running statement can correct the estimate.
        if ahead.is_zero() {
            return None;
        }
        let time_left = request.deadline.since(now);
        let tail = self.tail(now, &request.entry);
        if tail > time_left {
            return Some((Cause::Deadline, self.retry_after(now, request)));
        }
        if self.free_connection(request).is_some() {
            return None;
        }
        let wait = ahead.as_secs_f64() / self.available_slots(now, request, place);
        let max_wait = (time_left - tail) * MAX_WAIT_PERCENT / 100;
        if wait <= max_wait.as_secs_f64() {
            return None;
        }
        Some((Cause::Overload, self.retry_after(now, request)))
    }

    /// Number of slots available to the work ahead of a place, net of later
    /// work that goes first.
    fn available_slots(&self, now: Instant, request: &Request, place: Place) -> f64 {
        let slots = f64::from(self.slot_count());
        let higher = self.demand.above(now, request.priority);
        let free = slots - higher - self.overtaking_slots(now, request, place);
        free.max(slots * MIN_SLOT_FRACTION)
    }

    /// Number of slots used by tenants that would overtake the request.
    fn overtaking_slots(&self, now: Instant, request: &Request, place: Place) -> f64 {
        if !self.queue.is_overtaken(place) {
            return 0.0;
        }
        let priority = request.priority;
        let own = self.demand.of_tenant(now, priority, &request.tenant);
        let behind = self
            .queue
            .tenants_behind(place)
            .filter(|tenant| **tenant != request.tenant)
            .map(|tenant| self.demand.of_tenant(now, priority, tenant));
        self.demand.of_priority(now, priority) - own - behind.sum::<f64>()
    }

    /// Time for which a request can wait beyond the wait expected from its
    /// place.
    fn slack(&self, now: Instant, request: &Request, place: Place) -> Duration {
        let ahead = self.remaining_work() + self.runnable_ahead(request, place);
        let needed = ahead / self.slot_count() + self.tail(now, &request.entry);
        request.deadline.since(now).saturating_sub(needed)
    }

    /// Refuses requests that can no longer end in time, as soon as this is
    /// known.
    ///
    /// The queue is reviewed in execution order, so a request delayed by one of
    /// a higher priority is refused at once.
    pub(super) fn shed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        if self.status == Status::Leaving || !self.breaker.is_closed() {
            self.refuse_unavailable(now, actions);
            return;
        }
        if now < self.review.due() {
            return;
        }
        for (ticket, cause) in self.unservable(now) {
            self.refuse(now, ticket, cause, actions);
        }
    }

    /// Reviews the queue and returns the requests that can no longer end in
    /// time.
    fn unservable(&mut self, now: Instant) -> Vec<(Ticket, Cause)> {
        let mut spans = SpanCache::default();
        let mut queue = std::mem::take(&mut self.queue);
        queue.refresh(|entry| spans.find(self, now, entry).mean);
        self.queue = queue;
        let slots = self.slot_count();
        let mut ahead = self.remaining_work();
        let mut min_slack = MAX_REVIEW_INTERVAL;
        let mut unservable = Vec::new();
        let blocked: Vec<_> = self
            .blocked_entries()
            .iter()
            .map(|it| it.entry.clone())
            .collect();
        for waiting in self.queue.iter() {
            let request = &waiting.request;
            let tail = spans.find(self, now, &request.entry).tail;
            let time_left = request.deadline.since(now);
            let needed = ahead / slots + tail;
            let blocked = blocked.contains(&request.entry);
            // With no work ahead the request runs, as on arrival.
            if ahead.is_zero() && !time_left.is_zero() && !blocked {
                min_slack = min_slack.min(time_left);
                ahead += waiting.cost;
            } else if tail > time_left {
                unservable.push((request.ticket, Cause::Deadline));
            } else if needed > time_left {
                unservable.push((request.ticket, Cause::Overload));
            } else {
                min_slack = min_slack.min(time_left - needed);
                if !blocked {
                    ahead += waiting.cost;
                }
            }
        }
        self.review.on_walked(now, min_slack);
        unservable
    }

    /// One request of each entry whose connections all have open transactions
    /// without a statement in flight.
    ///
    /// Waiting requests of these entries occupy no slot before such a
    /// transaction ends. Counted as work ahead, they would cause refusals of
    /// other requests while slots are free.
    fn blocked_entries(&self) -> Vec<&Request> {
        let mut held: Vec<(&Request, u16)> = Vec::new();
        for (_, conn) in self.conns.iter() {
            let State::IdleInTransaction { ticket, .. } = conn.state else {
                continue;
            };
            let Some(active) = self.active.get(&ticket) else {
                continue;
            };
            let request = &active.request;
            match held.iter_mut().find(|(it, _)| it.entry == request.entry) {
                Some((_, count)) => *count += 1,
                None => held.push((request, 1)),
            }
        }
        let blocked = held
            .into_iter()
            .filter(|(it, count)| *count >= it.limits.connections);
        blocked.map(|(request, _)| request).collect()
    }

    /// Work ahead of a place that can run before the request.
    fn runnable_ahead(&self, request: &Request, place: Place) -> Duration {
        let ahead = self.queue.work_ahead(place);
        if ahead.is_zero() {
            return ahead;
        }
        let blocked = self.blocked_entries();
        let others = blocked
            .iter()
            .filter(|it| it.priority <= request.priority && it.entry != request.entry);
        let idle = others.map(|it| self.queue.entry_work(&it.entry)).sum();
        ahead.saturating_sub(idle)
    }

    fn refuse_unavailable(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let retry_after = self.breaker.retry_at().unwrap_or(now).since(now);
        self.refuse_waiting(retry_after, actions);
    }

    /// Refuses all waiting requests, because no upstream is available to them.
    pub(super) fn refuse_waiting(&mut self, retry_after: Duration, actions: &mut Vec<Action>) {
        let waiting: Vec<_> = self.queue.iter().map(|it| it.request.ticket).collect();
        for ticket in waiting {
            self.queue.withdraw(ticket);
            actions.push(Action::Refuse {
                ticket,
                cause: Cause::NoUpstream,
                retry_after,
            });
        }
    }

    fn refuse(&mut self, now: Instant, ticket: Ticket, cause: Cause, actions: &mut Vec<Action>) {
        let Some(request) = self.queue.withdraw(ticket) else {
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
        let backlog = (self.queue.work() + self.remaining_work()) / self.slot_count();
        let cost = self.mean(now, &request.entry) / self.slot_count();
        self.retries.next(now, request.priority, backlog, cost)
    }
}
