//! When a request can be expected to be answered, and whether that is in time.

use std::{
    collections::BTreeMap,
    hash::Hash,
    ops::Bound::{Included, Unbounded},
    time::Duration,
};

use clock::Instant;

use super::{
    FLOOR_STARTS, Load, Place, Prediction, Rank, Refusal, Request, Schedule, Standing, Waiting,
    as_f64,
};
use crate::{
    occupancy::Urgent,
    service::{Class, Priority},
};

/// Time that the answer takes to the caller.
const ANSWER_TIME: Duration = Duration::from_millis(5);

/// Part of the time left that the predicted wait of a request may take up if it is to be in time.
/// The rest is for statements that take longer than expected.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Part of the time to its deadline after which a refused caller is told to come back at the
/// latest.
const RETRY_DIVISOR: u32 = 4;

/// Shortest interval between two reviews.
const MIN_REVIEW_INTERVAL: Duration = Duration::from_millis(5);

/// Time without a request that can't rely on being in time after which an overload has ended.
const OVERLOAD_GAP: Duration = Duration::from_millis(250);

/// Divisor of the time for which an overload has lasted: it is expected to last at least that much
/// longer.
///
/// Of overloads without a typical length, three in four do. A caller who is refused too early loses
/// an answer; one who is refused too late loses time.
const OVERLOAD_DIVISOR: u32 = 3;

/// A period in which requests arrive that can't rely on being in time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Overload {
    since: Instant,
    last: Instant,
}

impl Overload {
    fn is_over(&self, now: Instant) -> bool {
        self.last + OVERLOAD_GAP < now
    }

    /// Time for which the overload is expected to last longer.
    fn lasts(&self, now: Instant) -> Duration {
        match self.is_over(now) {
            true => Duration::ZERO,
            false => self.last.since(self.since) / OVERLOAD_DIVISOR,
        }
    }
}

impl<K: Clone + Eq + Hash, T> Schedule<K, T> {
    /// Predicts when a request that arrives now would be answered. `opening` is the time until a
    /// connection for it is open.
    ///
    /// A request with nothing ahead of it is admitted in any case: only a statement that runs can
    /// correct a wrong estimate.
    ///
    /// # Errors
    ///
    /// The request can't be expected to be answered before its deadline.
    pub fn predict(
        &mut self,
        now: Instant,
        request: &Request<K>,
        load: Load,
        opening: Duration,
    ) -> Result<Prediction, Refusal> {
        self.reorder(now, load);
        let outlook = self.outlook(now, request.class, load);
        let tag = self.tag(request);
        let doubtful = Rank::new(request.class.priority, Standing::Doubtful);
        let ahead = self.work_before((doubtful, tag, self.next));
        if ahead.higher.is_zero() && outlook.has_room {
            self.overloads.remove(&request.class.priority);
        }
        let mut backlog = None;
        for standing in [Standing::Reliable, Standing::Doubtful, Standing::Late] {
            let rank = Rank::new(request.class.priority, standing);
            let ahead = self.work_before((rank, tag, self.next));
            let wait = outlook.wait(ahead.all) + opening;
            backlog = backlog.or(Some(wait));
            let is_met = match standing {
                Standing::Reliable => outlook.is_reliable(now, request.due, ahead.all, wait),
                Standing::Doubtful => outlook.can_be_in_time(now, request.due),
                Standing::Late => true,
            };
            if standing == Standing::Doubtful {
                self.note_overload(now, request.class.priority);
            }
            let wait = self.wait(now, rank, &outlook, ahead) + opening;
            let is_next = ahead.all.is_zero() && outlook.has_room;
            if is_met && (is_next || outlook.is_answerable(now, request.deadline, wait)) {
                return Ok(Prediction { wait, standing });
            }
        }
        let backlog = backlog.unwrap_or_default();
        Err(self.refusal(now, request, backlog))
    }

    /// Removes the requests that can't be expected to be answered before their deadlines any more,
    /// if a review is due.
    pub fn review(&mut self, now: Instant, load: Load) -> Vec<(T, Refusal)> {
        if self.waiting.is_empty() || self.reviewed_at + MIN_REVIEW_INTERVAL > now {
            return Vec::new();
        }
        self.reviewed_at = now;
        self.reorder(now, load);
        let outlooks = self.outlooks(now, load);
        let mut before: BTreeMap<Priority, Duration> = BTreeMap::new();
        let mut refused = Vec::new();
        for waiting in &self.waiting {
            let Request {
                class, deadline, ..
            } = waiting.request;
            let outlook = &outlooks[&class];
            let ahead = Ahead::new(class.priority, before.iter().map(|(k, v)| (*k, *v)));
            let wait = self.wait(now, waiting.rank(), outlook, ahead);
            let is_next = ahead.all.is_zero() && outlook.has_room;
            let can_end = now + outlook.lowest + ANSWER_TIME <= deadline;
            if is_next && can_end || outlook.is_answerable(now, deadline, wait) {
                *before.entry(class.priority).or_default() += waiting.cost;
            } else {
                let refusal = self.refusal(now, &waiting.request, outlook.wait(ahead.all));
                refused.push((waiting.sequence, refusal));
            }
        }
        self.take(refused)
    }

    /// Ranks the waiting requests anew, and sorts them.
    fn reorder(&mut self, now: Instant, load: Load) {
        self.waiting.sort_by_key(Waiting::place);
        let outlooks = self.outlooks(now, load);
        let mut reliable: BTreeMap<Priority, Duration> = BTreeMap::new();
        for waiting in &mut self.waiting {
            let Request { class, due, .. } = waiting.request;
            let outlook = &outlooks[&class];
            let before = reliable.range(..=class.priority).map(|(_, work)| *work);
            let ahead: Duration = before.sum();
            let wait = outlook.wait(ahead);
            waiting.standing = match waiting.standing {
                _ if !outlook.can_be_in_time(now, due) => Standing::Late,
                Standing::Reliable if now + wait + outlook.lowest <= due => Standing::Reliable,
                _ if outlook.is_reliable(now, due, ahead, wait) => Standing::Reliable,
                _ => Standing::Doubtful,
            };
            if waiting.standing == Standing::Reliable {
                *reliable.entry(class.priority).or_default() += waiting.cost;
            }
        }
        self.waiting.sort_by_key(Waiting::place);
    }

    fn take(&mut self, refused: Vec<(u64, Refusal)>) -> Vec<(T, Refusal)> {
        let mut taken = Vec::new();
        for (sequence, refusal) in refused {
            let Some(at) = self.waiting.iter().position(|it| it.sequence == sequence) else {
                continue;
            };
            let waiting = self.waiting.swap_remove(at);
            self.refund(&waiting);
            taken.push((waiting.reply, refusal));
        }
        taken
    }

    /// Refuses a request until the work ahead and the overload are expected to be over, or for the
    /// time of a statement at least, but leaves its caller time to come back.
    fn refusal(&self, now: Instant, request: &Request<K>, backlog: Duration) -> Refusal {
        let overload = self.overloads.get(&request.class.priority);
        let lasts = overload.map_or(Duration::ZERO, |overload| overload.lasts(now));
        let longest = request.deadline.since(now) / RETRY_DIVISOR;
        Refusal {
            retry_after: (backlog + lasts)
                .max(self.service.mean(now, request.class))
                .min(longest)
                .max(MIN_RETRY_AFTER),
        }
    }

    fn work_before(&self, place: Place) -> Ahead {
        let before = self.waiting.iter().filter(|it| it.place() < place);
        let work = before.map(|waiting| (waiting.request.class.priority, waiting.cost));
        Ahead::new(place.0.priority, work)
    }

    fn outlooks(&self, now: Instant, load: Load) -> BTreeMap<Class, Outlook> {
        let mut outlooks = BTreeMap::new();
        for waiting in &self.waiting {
            let class = waiting.request.class;
            outlooks
                .entry(class)
                .or_insert_with(|| self.outlook(now, class, load));
        }
        outlooks
    }

    fn outlook(&self, now: Instant, class: Class, load: Load) -> Outlook {
        let window = self.usable(now, class, load);
        let has_room = load.in_flight < window;
        let slots = as_f64(load.window);
        let free = (slots - self.occupancy.above(now, class.priority)).min(as_f64(window));
        Outlook {
            lowest: self.service.lowest(now, class),
            mean: self.service.mean(now, class),
            high: self.service.high(now, class),
            slots: free.max(slots / f64::from(FLOOR_STARTS)),
            has_room,
            in_flight: match has_room {
                true => Duration::ZERO,
                false => self.service.remaining(now),
            },
        }
    }

    /// Returns the number of statements that may be in flight for one of `class` to start.
    ///
    /// If the upstream queues statements, a more urgent one would wait in it behind those of this
    /// class, whatever the order here. The last slot is left to it then.
    pub fn usable(&self, now: Instant, class: Class, load: Load) -> usize {
        let is_delayed = |urgent: &Urgent| {
            let next_slot = self.service.mean(now, class).div_f64(as_f64(load.window));
            next_slot + self.service.high(now, urgent.class) > urgent.objective / 2
        };
        let reserve = load.window > 1
            && self.service.is_queueing(now, class)
            && self
                .occupancy
                .urgent(now, class.priority)
                .any(|urgent| is_delayed(&urgent));
        load.window - usize::from(reserve)
    }

    /// Expected wait of a request of this rank behind the work that is ahead of it.
    fn wait(&self, now: Instant, rank: Rank, outlook: &Outlook, ahead: Ahead) -> Duration {
        let overloads = |range| {
            let ages = self
                .overloads
                .range(range)
                .map(|(_, it): (_, &Overload)| it.lasts(now));
            ages.max().unwrap_or_default()
        };
        let priority = rank.priority;
        // Further requests that can rely on being in time go first as long as an overload lasts.
        match rank {
            Rank { is_late: true, .. } => {
                let in_order = outlook.wait(ahead.all) + overloads((Unbounded, Unbounded));
                // Each second start at least is of this priority or a higher one.
                let by_floor = outlook.wait((ahead.higher + outlook.mean) * 2)
                    + overloads((Unbounded, Included(priority)));
                in_order.min(by_floor)
            }
            Rank {
                is_doubtful: true, ..
            } => outlook.wait(ahead.all) + overloads((Included(priority), Included(priority))),
            _ => outlook.wait(ahead.all),
        }
    }

    fn note_overload(&mut self, now: Instant, priority: Priority) {
        let begun = Overload {
            since: now,
            last: now,
        };
        let overload = self.overloads.entry(priority).or_insert(begun);
        match overload.is_over(now) {
            true => *overload = begun,
            false => overload.last = now,
        }
    }
}

/// Work that goes before a request.
#[derive(Debug, Clone, Copy, Default)]
struct Ahead {
    all: Duration,
    /// The part that is of the request's priority or a higher one.
    higher: Duration,
}

impl Ahead {
    fn new(priority: Priority, work: impl Iterator<Item = (Priority, Duration)>) -> Self {
        work.fold(Self::default(), |ahead, (other, cost)| Self {
            all: ahead.all + cost,
            higher: match other <= priority {
                true => ahead.higher + cost,
                false => ahead.higher,
            },
        })
    }
}

/// What is expected of requests of one class.
#[derive(Debug)]
struct Outlook {
    lowest: Duration,
    mean: Duration,
    high: Duration,
    /// Slots that more urgent requests leave to the class.
    slots: f64,
    has_room: bool,
    /// Work in flight that delays the next start; none while there is room.
    in_flight: Duration,
}

impl Outlook {
    /// Expected wait for a slot behind the work that is ahead.
    fn wait(&self, ahead: Duration) -> Duration {
        (self.in_flight + ahead).div_f64(self.slots)
    }

    /// Returns true if the request would be in time if it started now.
    fn can_be_in_time(&self, now: Instant, due: Instant) -> bool {
        now + self.lowest <= due
    }

    /// Returns true if the request can be relied on to be in time.
    fn is_reliable(&self, now: Instant, due: Instant, ahead: Duration, wait: Duration) -> bool {
        match ahead.is_zero() {
            // No order would serve it earlier.
            true => self.can_be_in_time(now, due),
            false => {
                let left = due.since(now).saturating_sub(self.high);
                wait <= left.mul_f64(MAX_WAIT_FRACTION)
            }
        }
    }

    /// Returns true if the request can be expected to be answered in time.
    fn is_answerable(&self, now: Instant, deadline: Instant, wait: Duration) -> bool {
        now + wait + self.high + ANSWER_TIME <= deadline
    }
}
