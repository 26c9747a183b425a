//! This instance's load at an upstream, and the window that follows from the loads of all holders
//! ([`admit::windows`]).

use std::{cell::Cell, time::Duration};

use admit::{
    load::{Announcer, Load, Meter, Sample, TENTHS},
    windows::{Report, View, Window},
};
use clock::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    member::Member,
    peers::heartbeat::{UpstreamKey, UpstreamLoad},
};

/// Time for which a window differs from the fixed part before that is logged, and interval between
/// log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What the other holders of an upstream report.
#[derive(Debug, Clone, Copy, Default)]
pub struct Others {
    /// Number of other holders.
    pub count: usize,
    /// Number of those without a current report.
    pub unknown: usize,
    /// Statements that run or wait at those with one, in tenths.
    pub load: usize,
    /// Age of the oldest current report.
    pub age: Duration,
}

impl Others {
    fn new(reports: &[Option<Report>], now: Instant) -> Self {
        let current = reports.iter().flatten().filter(|r| r.is_current(now));
        let empty = Self {
            count: reports.len(),
            unknown: reports.len(),
            ..Self::default()
        };
        current.fold(empty, |others, report| Self {
            unknown: others.unknown - 1,
            load: others.load + report.load.total(),
            age: others.age.max(now.since(report.heard)),
            ..others
        })
    }
}

/// This instance's load at an upstream, and its window there.
#[derive(Debug)]
pub struct Tracker {
    key: UpstreamKey,
    meter: Cell<Meter>,
    load: Cell<Load>,
    announcer: Cell<Announcer>,
    window: Cell<Window>,
    /// Size of the window; `None` while this instance doesn't hold connections to the upstream.
    size: Cell<Option<usize>>,
    others: Cell<Others>,
    /// Time since which the window has differed from the fixed part.
    differs_since: Cell<Option<Instant>>,
    logged_at: Cell<Instant>,
}

impl Tracker {
    /// Creates a tracker for the upstream with this id.
    pub fn new(id: &str) -> Self {
        let [a, b, c, d, ..] = xxh3_64(id.as_bytes()).to_le_bytes();
        Self {
            key: [a, b, c, d],
            meter: Cell::default(),
            load: Cell::default(),
            announcer: Cell::default(),
            window: Cell::default(),
            size: Cell::default(),
            others: Cell::default(),
            differs_since: Cell::default(),
            logged_at: Cell::default(),
        }
    }

    /// Returns the upstream's key in load reports.
    pub fn key(&self) -> UpstreamKey {
        self.key
    }

    /// Returns the window by the loads of all holders, if this instance is one of them.
    pub fn window(&self) -> Option<usize> {
        self.size.get()
    }

    /// Returns what the other holders report.
    pub fn others(&self) -> Others {
        self.others.get()
    }

    /// Returns the load to be reported, if there is any.
    pub(crate) fn report(&self) -> Option<UpstreamLoad> {
        let (upstream, load) = (self.key, self.load.get());
        (!load.is_zero()).then_some(UpstreamLoad { upstream, load })
    }

    /// Adds what runs and waits now. Returns true if the other holders are to be told at once.
    pub(crate) fn record(&self, now: Instant, sample: Sample) -> bool {
        let mut meter = self.meter.get();
        let load = meter.record(now, sample);
        self.meter.set(meter);
        self.load.set(load);
        let mut announcer = self.announcer.get();
        let is_due = announcer.is_due(now, load);
        self.announcer.set(announcer);
        is_due
    }

    /// Forgets the window, because this instance doesn't hold connections or they are not used.
    pub(crate) fn reset(&self) {
        self.window.take();
        self.size.set(None);
        self.others.take();
        self.differs_since.set(None);
    }
}

/// Updates the window of `member`, for which this instance comes behind `rank` other holders.
pub(crate) fn update_window(
    member: &Member,
    rank: usize,
    reports: &[Option<Report>],
    now: Instant,
) {
    let tracker = &member.load;
    let view = View {
        slots: member.upstream.slots,
        holders: member.holders.get().max(reports.len() + 1),
        rank,
        own: tracker.load.get(),
        reports,
    };
    let mut window = tracker.window.get();
    tracker.size.set(Some(window.update(&view, now)));
    tracker.window.set(window);
    tracker.others.set(Others::new(reports, now));
    log_difference(member, now);
}

fn log_difference(member: &Member, now: Instant) {
    let tracker = &member.load;
    let (window, fixed) = (member.window(), member.fixed_window());
    if window == fixed {
        tracker.differs_since.set(None);
        return;
    }
    let since = tracker.differs_since.get().unwrap_or(now);
    tracker.differs_since.set(Some(since));
    let last = tracker.logged_at.get().max(since);
    if last + LOG_INTERVAL > now {
        return;
    }
    tracker.logged_at.set(now);
    let (others, unit) = (tracker.others.get(), usize::from(TENTHS));
    log::info!(
        service = &*member.upstream.service, upstream = &*member.upstream.id,
        window = window, fixed = fixed,
        load = tracker.load.get().total() / unit, reported = others.load / unit,
        holders = others.count + 1, unknown = others.unknown,
        age_ms = others.age.as_millis() as u64;
        "window follows the load"
    );
}
