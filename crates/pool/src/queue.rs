//! Requests that wait for a connection, in the order in which they will run.
//!
//! Priority goes first. Within a priority tenants share by start-time fair
//! queueing: each request gets a virtual start, the later of the queue's
//! virtual time and its tenant's last virtual end, and the earliest start runs
//! first. A tenant that floods the queue only pushes its own requests back.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use model::{Priority, name};

use crate::{Request, Ticket};

/// A request's place: the order of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: Priority,
    start: u64,
    ticket: Ticket,
}

/// The queue of one upstream.
#[derive(Debug, Default)]
pub struct Queue {
    items: BTreeMap<Place, Request>,
    places: HashMap<Ticket, Place>,
    lengths: HashMap<name::Entry, u32>,
    ends: HashMap<(Priority, name::Tenant), u64>,
    now: HashMap<Priority, u64>,
}

impl Queue {
    /// Adds a request that is expected to take `cost`.
    pub fn push(&mut self, request: Request, cost: Duration) {
        let priority = request.priority;
        let now = self.now.get(&priority).copied().unwrap_or(0);
        let end = self
            .ends
            .entry((priority, request.tenant.clone()))
            .or_insert(now);
        let start = now.max(*end);
        let micros = u64::try_from(cost.as_micros()).unwrap_or(u64::MAX);
        *end = start.saturating_add(micros / u64::from(request.weight.get()));
        let place = Place {
            priority,
            start,
            ticket: request.ticket,
        };
        *self.lengths.entry(request.entry.clone()).or_insert(0) += 1;
        self.places.insert(request.ticket, place);
        self.items.insert(place, request);
    }

    /// The waiting requests, the next to run first.
    pub fn iter(&self) -> impl Iterator<Item = &Request> {
        self.items.values()
    }

    /// Takes a request out to run it, which moves virtual time on.
    pub fn take(&mut self, ticket: Ticket) -> Option<Request> {
        let start = self.places.get(&ticket)?.start;
        let request = self.remove(ticket)?;
        let now = self.now.entry(request.priority).or_insert(0);
        *now = start.max(*now);
        let (now, priority) = (*now, request.priority);
        // A tenant whose last end has passed needs no memory: one who comes
        // back would start at the virtual time anyway.
        self.ends
            .retain(|(other, _), end| *other != priority || *end > now);
        Some(request)
    }

    /// Takes a request out that will not run, and gives its tenant back the
    /// turn: else refusals would count as service and starve the refused.
    pub fn withdraw(&mut self, ticket: Ticket, cost: Duration) -> Option<Request> {
        let request = self.remove(ticket)?;
        let micros = u64::try_from(cost.as_micros()).unwrap_or(u64::MAX);
        let key = (request.priority, request.tenant.clone());
        if let Some(end) = self.ends.get_mut(&key) {
            *end = end.saturating_sub(micros / u64::from(request.weight.get()));
        }
        Some(request)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Request> {
        let place = self.places.remove(&ticket)?;
        let request = self.items.remove(&place)?;
        if let Some(length) = self.lengths.get_mut(&request.entry) {
            *length -= 1;
            if *length == 0 {
                self.lengths.remove(&request.entry);
            }
        }
        Some(request)
    }

    /// How many requests of an entry wait.
    pub fn length(&self, entry: &name::Entry) -> u32 {
        self.lengths.get(entry).copied().unwrap_or(0)
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
