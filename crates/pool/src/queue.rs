//! Requests waiting for a connection, in execution order.
//!
//! Higher priorities run first. Within a priority, tenants share by start-time
//! fair queueing: the virtual start of a request is the later of the queue's
//! virtual time and its tenant's last virtual end, and the earliest start runs
//! first. A tenant that floods the queue delays only its own requests.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use admit::fair::{Clock, Tag};
use model::{Priority, name};

use crate::{Request, Ticket};

/// Sort key of a request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    priority: Priority,
    start: Tag,
    ticket: Ticket,
}

/// A waiting request with its expected service time.
#[derive(Debug)]
pub struct Waiting {
    /// The request.
    pub request: Request,
    /// Expected service time.
    pub cost: Duration,
    /// Service time charged to the tenant.
    charge: Duration,
}

/// State of one priority.
#[derive(Debug, Default)]
struct Lane {
    work: Duration,
    clock: Clock<name::Tenant>,
}

/// Returns the service time that is charged to a request's tenant.
fn charge(request: &Request, cost: Duration) -> Duration {
    cost / request.weight.get()
}

/// Waiting requests of one entry.
#[derive(Debug, Default)]
struct Backlog {
    places: BTreeSet<Place>,
    work: Duration,
}

impl Backlog {
    fn length(&self) -> u32 {
        u32::try_from(self.places.len()).unwrap_or(u32::MAX)
    }
}

/// Queue of one upstream.
#[derive(Debug, Default)]
pub struct Queue {
    items: BTreeMap<Place, Waiting>,
    places: HashMap<Ticket, Place>,
    backlogs: HashMap<name::Entry, Backlog>,
    lanes: BTreeMap<Priority, Lane>,
}

impl Queue {
    /// Returns the place of a request that would arrive now.
    pub fn place(&self, request: &Request) -> Place {
        let lane = self.lanes.get(&request.priority);
        Place {
            priority: request.priority,
            start: lane.map_or(0, |it| it.clock.start(&request.tenant)),
            ticket: request.ticket,
        }
    }

    /// Adds a request that is expected to take `cost`.
    pub fn push(&mut self, request: Request, cost: Duration) {
        let place = self.place(&request);
        let charge = charge(&request, cost);
        let lane = self.lanes.entry(request.priority).or_default();
        lane.clock.charge(&request.tenant, charge);
        lane.work += cost;
        if !self.backlogs.contains_key(&request.entry) {
            self.backlogs
                .insert(request.entry.clone(), Backlog::default());
        }
        if let Some(backlog) = self.backlogs.get_mut(&request.entry) {
            backlog.places.insert(place);
            backlog.work += cost;
        }
        self.places.insert(request.ticket, place);
        let waiting = Waiting {
            request,
            cost,
            charge,
        };
        self.items.insert(place, waiting);
    }

    /// Charges the tenant of a request that runs at once because none is
    /// waiting, as if the request had been queued.
    pub fn bypass(&mut self, request: &Request, cost: Duration) {
        let lane = self.lanes.entry(request.priority).or_default();
        let start = lane.clock.charge(&request.tenant, charge(request, cost));
        lane.clock.advance(start);
    }

    /// Waiting requests in execution order.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.items.values()
    }

    /// First waiting request that passes a test. The result of the test must be
    /// the same for all requests of an entry.
    ///
    /// Usually the next request passes. Otherwise only the first request of
    /// each entry is tested, so that a long backlog of a blocked entry is not
    /// walked.
    pub fn first(&self, test: impl Fn(&Request) -> bool) -> Option<Ticket> {
        let (place, waiting) = self.items.first_key_value()?;
        if test(&waiting.request) {
            return Some(place.ticket);
        }
        let firsts = self.backlogs.values().filter_map(|it| it.places.first());
        let runnable = firsts.filter(|it| self.items.get(it).is_some_and(|it| test(&it.request)));
        runnable.min().map(|it| it.ticket)
    }

    /// Total waiting work.
    pub fn work(&self) -> Duration {
        self.lanes.values().map(|lane| lane.work).sum()
    }

    /// Work that would run before a request at `place`.
    ///
    /// Within the priority only the shorter side of the place is summed. Many
    /// requests arrive at the end of the queue, where a sum from the front
    /// would visit all waiting requests.
    pub fn work_ahead(&self, place: Place) -> Duration {
        let lanes = self.lanes.range(..place.priority);
        let higher: Duration = lanes.map(|(_, lane)| lane.work).sum();
        let own = self
            .lanes
            .get(&place.priority)
            .map_or(Duration::ZERO, |it| it.work);
        let in_lane = |it: &(&Place, &Waiting)| it.0.priority == place.priority;
        let mut front = self.items.range(..place).rev().take_while(in_lane);
        let mut back = self.items.range(place..).take_while(in_lane);
        let mut before = Duration::ZERO;
        let mut behind = Duration::ZERO;
        loop {
            match front.next() {
                Some((_, waiting)) => before += waiting.cost,
                None => return higher + before,
            }
            match back.next() {
                Some((_, waiting)) => behind += waiting.cost,
                None => return higher + own.saturating_sub(behind),
            }
        }
    }

    /// Tenants of the place's priority whose next request would queue behind
    /// the place. The next requests of all other tenants would go first if the
    /// start of the place lies after the virtual time, and otherwise also queue
    /// behind.
    pub fn tenants_behind(&self, place: Place) -> impl Iterator<Item = &name::Tenant> {
        let lane = self.lanes.get(&place.priority);
        lane.into_iter()
            .flat_map(move |it| it.clock.behind(place.start))
    }

    /// Returns true if requests of tenants without waiting requests would
    /// overtake the place.
    pub fn is_overtaken(&self, place: Place) -> bool {
        let lane = self.lanes.get(&place.priority);
        lane.is_some_and(|it| place.start > it.clock.now())
    }

    /// Returns true if no request of the same or a lower priority waits behind
    /// the place.
    pub fn is_last(&self, place: Place) -> bool {
        self.items.range(place..).next().is_none()
    }

    /// Updates the expected service time of each waiting request.
    pub fn refresh(&mut self, mut cost: impl FnMut(&name::Entry) -> Duration) {
        for lane in self.lanes.values_mut() {
            lane.work = Duration::ZERO;
        }
        for (entry, backlog) in &mut self.backlogs {
            backlog.work = cost(entry) * backlog.length();
        }
        for (place, waiting) in &mut self.items {
            waiting.cost = cost(&waiting.request.entry);
            if let Some(lane) = self.lanes.get_mut(&place.priority) {
                lane.work += waiting.cost;
            }
        }
    }

    /// Removes a request to run it and advances the virtual time.
    pub fn take(&mut self, ticket: Ticket) -> Option<Request> {
        let place = *self.places.get(&ticket)?;
        let waiting = self.remove(ticket)?;
        if let Some(lane) = self.lanes.get_mut(&place.priority) {
            lane.clock.advance(place.start);
        }
        Some(waiting.request)
    }

    /// Removes a request that will not run and refunds its tenant's charge;
    /// otherwise refusals would count as service and starve the tenant.
    pub fn withdraw(&mut self, ticket: Ticket) -> Option<Request> {
        let waiting = self.remove(ticket)?;
        let request = waiting.request;
        let lane = self.lanes.get_mut(&request.priority)?;
        lane.clock.refund(&request.tenant, waiting.charge);
        Some(request)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let place = self.places.remove(&ticket)?;
        let waiting = self.items.remove(&place)?;
        if let Some(lane) = self.lanes.get_mut(&place.priority) {
            lane.work = lane.work.saturating_sub(waiting.cost);
        }
        if let Some(backlog) = self.backlogs.get_mut(&waiting.request.entry) {
            backlog.places.remove(&place);
            backlog.work = backlog.work.saturating_sub(waiting.cost);
            if backlog.places.is_empty() {
                self.backlogs.remove(&waiting.request.entry);
            }
        }
        Some(waiting)
    }

    /// Number of waiting requests of an entry.
    pub fn entry_length(&self, entry: &name::Entry) -> u32 {
        self.backlogs.get(entry).map_or(0, Backlog::length)
    }

    /// Waiting work of an entry.
    pub fn entry_work(&self, entry: &name::Entry) -> Duration {
        self.backlogs
            .get(entry)
            .map_or(Duration::ZERO, |it| it.work)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns true if no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
