//! Number of statements that a holder may have in flight at an upstream, from the loads of all
//! holders.
//!
//! Load pattern: all reads of a group meet at one upstream with four slots and eight holders.
//! With a fixed part for each holder, sixteen statements are in flight; those beyond the slots
//! wait in the upstream in order of arrival, where urgent statements queue behind slow ones. Or
//! one holder has 38 requests waiting and two in flight, while the parts of the others lie idle.

use std::time::Duration;

use clock::Instant;

use crate::{
    budget,
    load::{Load, TENTHS},
    relays::FREQUENT_INTERVAL,
};

/// Number of heartbeats after which a report is too old.
const STALE_HEARTBEATS: u32 = 2;

/// Tolerated delay of a heartbeat.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Statements in flight for each slot. It stays busy if a round trip, with what an instance with
/// little processor takes for it, lasts no longer than a statement.
const STATEMENTS_PER_SLOT: usize = 2;

/// Last report of another holder.
#[derive(Debug, Clone, Copy)]
pub struct Report {
    /// The holder's load.
    pub load: Load,
    /// Time at which the report arrived.
    pub heard: Instant,
    /// Time until the next report, as announced by the holder.
    pub next: Duration,
}

impl Report {
    /// Returns true if the report is not too old to be used.
    pub fn is_current(&self, now: Instant) -> bool {
        self.heard + self.next * STALE_HEARTBEATS + TOLERANCE > now
    }
}

/// What a holder knows of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Statements that the upstream runs at once; zero if unknown.
    pub slots: usize,
    /// Number of holders, this one included.
    pub holders: usize,
    /// Number of holders before this one in their order.
    pub rank: usize,
    /// Load of this holder.
    pub own: Load,
    /// Last reports of the other holders, in their order.
    pub reports: &'a [Option<Report>],
}

impl View<'_> {
    /// The part of a holder that knows nothing of the others.
    fn fixed(&self) -> usize {
        budget::window(self.slots, self.holders)
    }

    fn current(&self, now: Instant) -> impl Iterator<Item = (usize, &Report)> {
        let reports = self.reports.iter().enumerate();
        reports.filter_map(move |(at, report)| {
            let report = report.as_ref()?;
            report.is_current(now).then_some((at, report))
        })
    }
}

/// Statements in flight that keep `slots` busy.
///
/// ```
/// use admit::windows::capacity;
/// assert_eq!(capacity(4), 8);
/// ```
pub fn capacity(slots: usize) -> usize {
    slots.saturating_mul(STATEMENTS_PER_SLOT)
}

/// A busy holder's claim to places.
#[derive(Debug, Clone, Copy)]
struct Claim {
    urgent: usize,
    demand: usize,
    weight: usize,
    granted: usize,
}

impl Claim {
    fn new(load: Load) -> Self {
        let unit = usize::from(TENTHS);
        let demand = load.total().div_ceil(unit).max(1);
        Self {
            urgent: usize::from(load.urgent).div_ceil(unit).min(demand),
            demand,
            weight: usize::from(load.accounts).div_ceil(unit).max(1),
            granted: 1,
        }
    }
}

/// The places that are divided.
#[derive(Debug)]
struct Places {
    slots: usize,
    granted: usize,
    left: usize,
}

impl Places {
    /// Grants places to the claims below their `limit`, always to those with the fewest for their
    /// weight. Once the slots are busy, places that don't suffice for all of these are left: in an
    /// upstream that is full, one place more is a multiple of the answers.
    fn grant(&mut self, claims: &mut [Claim], limit: impl Fn(&Claim) -> usize) {
        while self.left > 0 {
            let unmet = |claim: &&mut Claim| claim.granted < limit(claim);
            let order = |a: &Claim, b: &Claim| {
                let (a, b) = (a.granted * b.weight, b.granted * a.weight);
                a.cmp(&b)
            };
            let unmet: Vec<_> = claims.iter_mut().filter(unmet).collect();
            let Some(least) = unmet.iter().map(|claim| **claim).min_by(order) else {
                return;
            };
            let next = unmet
                .into_iter()
                .filter(|claim| order(claim, &least).is_eq());
            let mut next: Vec<_> = next.collect();
            if next.len() > self.left && self.granted >= self.slots {
                return;
            }
            next.truncate(self.left);
            self.left -= next.len();
            self.granted += next.len();
            next.into_iter().for_each(|claim| claim.granted += 1);
        }
    }
}

/// The places that fall to this holder.
///
/// Places for as many statements as keep the slots busy are divided among the holders that are
/// busy: one for each, then urgent requests first, then in proportion to the accounts that have
/// requests waiting; places that nobody demands in equal parts. A holder that is not busy counts
/// with what it runs on average, and keeps one place. A holder without a current report takes its
/// fixed part, and without any report the result is this holder's own fixed part. The others may
/// have their fixed parts in flight before this holder hears of it, so that it takes no more than
/// one place of each beyond its own part.
///
/// ```
/// use std::time::Duration;
/// use admit::{load::Load, windows::{Report, View, share}};
/// use clock::Instant;
///
/// let now = Instant::from_millis(1_000);
/// let busy = Load { running: 20, waiting: 300, ..Load::default() };
/// let report = |load| Some(Report { load, heard: now, next: Duration::from_millis(300) });
/// let view = View { slots: 4, holders: 8, rank: 0, own: busy, reports: &[] };
/// assert_eq!(share(&view, now), 2);
/// let idle = [report(Load::default()); 7];
/// assert_eq!(share(&View { reports: &idle, ..view }, now), 8);
/// let contended = [report(busy); 7];
/// assert_eq!(share(&View { reports: &contended, ..view }, now), 1);
/// ```
pub fn share(view: &View<'_>, now: Instant) -> usize {
    let fixed = view.fixed();
    if view.slots == 0 || view.holders <= 1 {
        return fixed;
    }
    let known = view.current(now).count();
    let unknown = (view.holders - 1).saturating_sub(known);
    let taken = unknown.saturating_mul(fixed);
    let places = capacity(view.slots).saturating_sub(taken).max(fixed);
    let others = view.current(now);
    let (busy, light): (Vec<_>, Vec<_>) = others.partition(|(_, report)| report.load.is_busy());
    let light: usize = light.iter().map(|(_, report)| report.load.total()).sum();
    let places = places.saturating_sub(light / usize::from(TENTHS)).max(1);
    let own = busy.iter().take_while(|(at, _)| *at < view.rank).count();
    let mut claims: Vec<_> = busy.iter().map(|(_, r)| Claim::new(r.load)).collect();
    claims.insert(own, Claim::new(view.own));
    let mut places = Places {
        slots: view.slots,
        granted: claims.len(),
        left: places.saturating_sub(claims.len()),
    };
    places.grant(&mut claims, |claim| claim.urgent);
    places.grant(&mut claims, |claim| claim.demand);
    let share = claims[own].granted + places.left / claims.len();
    share.min(fixed.saturating_add(view.holders - 1))
}

/// Number of statements that this holder may have in flight.
#[derive(Debug, Clone, Copy, Default)]
pub struct Window {
    size: usize,
    /// Time of the last change, or of the last update at which the size was the fixed part at most.
    changed: Instant,
}

impl Window {
    /// Brings the window in line with the loads that are known at `now`, and returns its size.
    ///
    /// It shrinks at once. Beyond the fixed part it grows only while this holder is busy, at first
    /// after two heartbeats, then by one place a heartbeat, and only if all reports in use arrived
    /// behind the last change: otherwise holders that become busy together would each take the
    /// places of all others, until the reports of that arrive.
    ///
    /// ```
    /// use std::time::Duration;
    /// use admit::{load::Load, windows::{Report, View, Window}};
    /// use clock::Instant;
    ///
    /// let own = Load { waiting: 300, ..Load::default() };
    /// let mut window = Window::default();
    /// let sizes = [1_000, 1_300, 1_600, 1_900].map(|at| {
    ///     let heard = Instant::from_millis(at);
    ///     let report = Report { load: Load::default(), heard, next: Duration::from_millis(300) };
    ///     let reports = [Some(report); 7];
    ///     window.update(&View { slots: 4, holders: 8, rank: 0, own, reports: &reports }, heard)
    /// });
    /// assert_eq!(sizes, [2, 2, 3, 4]);
    /// ```
    pub fn update(&mut self, view: &View<'_>, now: Instant) -> usize {
        let (target, fixed) = (share(view, now), view.fixed());
        if target <= fixed || !view.own.is_busy() || self.size < fixed {
            *self = Self {
                size: target.min(fixed),
                changed: now,
            };
        } else if target < self.size {
            *self = Self {
                size: target,
                changed: now,
            };
        } else if target > self.size && self.may_grow(view, now) {
            self.size += 1;
            self.changed = now;
        }
        self.size
    }

    fn may_grow(&self, view: &View<'_>, now: Instant) -> bool {
        let is_newer = |(_, report): (_, &Report)| report.heard > self.changed;
        let pause = match self.size > view.fixed() {
            true => FREQUENT_INTERVAL,
            // The others hear of this holder's load within a heartbeat, and answer with theirs.
            false => FREQUENT_INTERVAL * 2,
        };
        self.changed + pause <= now && view.current(now).all(is_newer)
    }
}
