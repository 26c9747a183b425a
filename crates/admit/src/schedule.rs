//! Admission by prediction, and the order of those who wait for an upstream.
//!
//! Load pattern: for seconds, requests for one upstream need more slots than it has. If each of
//! them waits until a time limit, refusals come late, and answers too. Here each request is
//! admitted only if it can be expected to be answered before its deadline; the others are refused
//! on arrival, when their callers can still try elsewhere or come back.
//!
//! What can be answered within its latency objective goes before what can only be late; then the
//! higher priority, then a fair share for each account ([`crate::fair`]), then arrival. A class
//! that waits while others start gets each [`FLOOR_STARTS`]th start, and each second one while
//! lower priorities start.

mod prediction;

use std::{collections::BTreeMap, hash::Hash, time::Duration};

use clock::Instant;

use crate::{
    fair::{Clock, Tag},
    occupancy::Occupancy,
    service::{Class, Priority, Service, Ticket},
};
use prediction::Overload;

/// Starts of other classes after which a waiting class gets one.
pub const FLOOR_STARTS: u32 = 20;

/// A request that arrives.
#[derive(Debug, Clone)]
pub struct Request<K> {
    /// Its class.
    pub class: Class,
    /// The account that shares the upstream with others, if accounts have shares.
    pub account: Option<K>,
    /// Moment from which an answer misses its latency objective.
    pub due: Instant,
    /// Moment from which an answer is of no use.
    pub deadline: Instant,
}

/// State of the connections to the upstream.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Statements that may be in flight.
    pub window: usize,
    /// Statements in flight, including those of transactions.
    pub in_flight: usize,
}

/// A refusal: the request can't be expected to be answered before its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Time after which the request is expected to be admitted.
    pub retry_after: Duration,
}

/// What can be expected of a request's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It is in time even if statements take longer than expected.
    Reliable,
    /// It may be late.
    Doubtful,
    /// It can only be late.
    Late,
}

/// Requests of the same rank share by account, and start in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_late: bool,
    priority: Priority,
    is_doubtful: bool,
}

impl Rank {
    fn new(priority: Priority, standing: Standing) -> Self {
        Self {
            is_late: standing == Standing::Late,
            priority,
            is_doubtful: standing == Standing::Doubtful,
        }
    }
}

/// Sort key of a waiting request.
type Place = (Rank, Tag, u64);

/// A waiting request.
#[derive(Debug)]
pub struct Waiting<K, T> {
    /// Handle for answering the request.
    pub reply: T,
    request: Request<K>,
    standing: Standing,
    tag: Tag,
    sequence: u64,
    cost: Duration,
}

impl<K, T> Waiting<K, T> {
    fn rank(&self) -> Rank {
        Rank::new(self.request.class.priority, self.standing)
    }

    fn place(&self) -> Place {
        (self.rank(), self.tag, self.sequence)
    }
}

/// Requests that wait for one upstream, and what is known of its load.
///
/// ```
/// use std::time::Duration;
/// use admit::schedule::{Load, Request, Schedule};
/// use admit::service::{Class, Kind};
/// use clock::Instant;
///
/// let at = Instant::from_millis;
/// let class = Class { priority: 1, kind: Kind::Read };
/// let request = |timeout| Request {
///     class,
///     account: None::<u32>,
///     due: at(200),
///     deadline: at(timeout),
/// };
/// let mut schedule = Schedule::default();
/// for _ in 0..8 {
///     let ticket = schedule.start(at(0), class);
///     schedule.finish(at(100), ticket);
/// }
/// let running = schedule.start(at(100), class);
/// let load = Load { window: 1, in_flight: 1 };
/// let waits = schedule.predict(at(100), &request(1_000), load, Duration::ZERO);
/// schedule.push(at(100), request(1_000), waits.unwrap(), "waits");
/// // The statement in flight and the one that waits take about 200 ms.
/// assert!(schedule.predict(at(100), &request(300), load, Duration::ZERO).is_err());
///
/// schedule.finish(at(200), running);
/// let load = Load { window: 1, in_flight: 0 };
/// assert_eq!(schedule.pop_where(at(200), load, |_| true).unwrap().reply, "waits");
/// ```
#[derive(Debug)]
pub struct Schedule<K, T> {
    waiting: Vec<Waiting<K, T>>,
    service: Service,
    occupancy: Occupancy,
    clocks: BTreeMap<Priority, Clock<K>>,
    /// Starts of other classes since the last start of a class that waits.
    passed: BTreeMap<Rank, u32>,
    next: u64,
    reviewed_at: Instant,
    /// Overloads by the priority of the requests that can't rely on being in time.
    overloads: BTreeMap<Priority, Overload>,
}

impl<K, T> Default for Schedule<K, T> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            service: Service::default(),
            occupancy: Occupancy::default(),
            clocks: BTreeMap::new(),
            passed: BTreeMap::new(),
            next: 0,
            reviewed_at: Instant::ZERO,
            overloads: BTreeMap::new(),
        }
    }
}

/// A prediction for a request on arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prediction {
    /// Expected wait for a slot.
    pub wait: Duration,
    standing: Standing,
}

impl<K: Clone + Eq + Hash, T> Schedule<K, T> {
    /// Records that a statement was sent.
    pub fn start(&mut self, now: Instant, class: Class) -> Ticket {
        self.service.start(now, class)
    }

    /// Records that a statement ended.
    pub fn finish(&mut self, now: Instant, ticket: Ticket) {
        self.service.finish(now, ticket);
    }

    /// Records that a statement of a transaction ended.
    pub fn finish_in_transaction(&mut self, now: Instant, ticket: Ticket) {
        if let Some(time) = self.service.finish(now, ticket) {
            self.occupancy.add_transaction(now, time);
        }
    }

    /// Adds a request that was admitted.
    pub fn push(&mut self, now: Instant, request: Request<K>, prediction: Prediction, reply: T) {
        let cost = self.service.mean(now, request.class);
        let priority = request.class.priority;
        if prediction.standing == Standing::Reliable {
            let objective = request.due.since(now);
            self.occupancy.add(now, request.class, cost, objective);
        }
        let tag = self.tag(&request);
        if let Some(account) = &request.account {
            let clock = self.clocks.entry(priority).or_default();
            clock.charge(account, cost);
        }
        self.waiting.push(Waiting {
            reply,
            request,
            standing: prediction.standing,
            tag,
            sequence: self.next,
            cost,
        });
        self.next += 1;
    }

    /// Records a request that runs without waiting, because none waits.
    pub fn bypass(&mut self, now: Instant, request: &Request<K>) {
        let cost = self.service.mean(now, request.class);
        let priority = request.class.priority;
        self.occupancy
            .add(now, request.class, cost, request.due.since(now));
        if let Some(account) = &request.account {
            let clock = self.clocks.entry(priority).or_default();
            let start = clock.charge(account, cost);
            clock.advance(start);
        }
    }

    /// Returns a request to the queue that could not start.
    pub fn put_back(&mut self, waiting: Waiting<K, T>) {
        self.waiting.push(waiting);
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.waiting.iter().map(|waiting| &waiting.reply)
    }

    /// Removes the requests for which `keep` returns false, because the callers gave up.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        let gone = self.waiting.extract_if(.., |waiting| !keep(&waiting.reply));
        for waiting in gone.collect::<Vec<_>>() {
            self.refund(&waiting);
        }
    }

    /// Removes and returns the next request to start, of those for which `matches` returns true.
    pub fn pop_where(
        &mut self,
        now: Instant,
        load: Load,
        matches: impl Fn(&T) -> bool,
    ) -> Option<Waiting<K, T>> {
        let at = self.select(now, load, matches)?;
        let started = self.waiting.swap_remove(at);
        self.count_start(started.rank());
        if started.request.account.is_some()
            && let Some(clock) = self.clocks.get_mut(&started.request.class.priority)
        {
            clock.advance(started.tag);
        }
        Some(started)
    }

    /// The request that [`Schedule::pop_where`] would return; it stays in the queue.
    pub fn peek_where(&self, now: Instant, load: Load, matches: impl Fn(&T) -> bool) -> Option<&T> {
        let at = self.select(now, load, matches)?;
        Some(&self.waiting[at].reply)
    }

    fn refund(&mut self, waiting: &Waiting<K, T>) {
        if let Some(account) = &waiting.request.account
            && let Some(clock) = self.clocks.get_mut(&waiting.request.class.priority)
        {
            clock.refund(account, waiting.cost);
        }
    }

    /// Virtual start of a request that arrives now; not before those of its account that wait, as
    /// refunds set back only the account's end.
    fn tag(&self, request: &Request<K>) -> Tag {
        let Some(account) = &request.account else {
            return 0;
        };
        let clock = self.clocks.get(&request.class.priority);
        let start = clock.map_or(0, |clock| clock.start(account));
        let is_before = |waiting: &&Waiting<K, T>| {
            waiting.request.class.priority == request.class.priority
                && waiting.request.account.as_ref() == Some(account)
        };
        let last = self.waiting.iter().filter(is_before).map(|it| it.tag).max();
        start.max(last.unwrap_or(0))
    }

    fn select(&self, now: Instant, load: Load, matches: impl Fn(&T) -> bool) -> Option<usize> {
        let is_passed = |waiting: &Waiting<K, T>| {
            let passed = self.passed.get(&waiting.rank()).copied().unwrap_or(0);
            passed >= FLOOR_STARTS
        };
        let mut usable = BTreeMap::new();
        let matching = self.waiting.iter().enumerate().filter(|(_, waiting)| {
            let class = waiting.request.class;
            let usable = usable
                .entry(class)
                .or_insert_with(|| self.usable(now, class, load));
            load.in_flight < *usable && matches(&waiting.reply)
        });
        let first = matching.min_by_key(|(_, waiting)| (!is_passed(waiting), waiting.place()));
        first.map(|(at, _)| at)
    }

    fn count_start(&mut self, started: Rank) {
        let mut passed = BTreeMap::new();
        for waiting in &self.waiting {
            let rank = waiting.rank();
            let before = self.passed.get(&rank).copied().unwrap_or(0);
            let count: u32 = match rank == started {
                true => 0,
                false if rank.priority < started.priority => FLOOR_STARTS,
                false => before + 1,
            };
            passed.insert(rank, count);
        }
        self.passed = passed;
    }
}

fn as_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
