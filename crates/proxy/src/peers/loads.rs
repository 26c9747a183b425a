//! Loads of instances at upstreams, as reported by heartbeats.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
};

use admit::{load::Load, windows::Report};
use clock::Instant;

use super::{
    heartbeat::{LoadReport, UpstreamKey, UpstreamLoad},
    peer::{LoadScope, Peer},
    table::Peers,
};

/// This instance's load, and who is told of it.
#[derive(Debug, Default)]
pub(super) struct Loads {
    own: RefCell<Vec<UpstreamLoad>>,
    /// Names of the instances that hold connections to the same upstreams.
    holders: RefCell<HashSet<String>>,
    number: Cell<u16>,
}

impl Loads {
    /// Which loads the peer is told. Those that forward sessions here choose holders by them.
    pub(super) fn scope(&self, name: &str, forwards: bool) -> LoadScope {
        match forwards || self.holders.borrow().contains(name) {
            true => LoadScope::All,
            false => LoadScope::None,
        }
    }
}

/// Last load report of a peer.
#[derive(Debug)]
pub(super) struct Reported {
    report: LoadReport,
    heard: Instant,
}

impl Reported {
    /// Returns the peer's newest report, of the `last` one and the one that came at `now`.
    pub(super) fn newest(
        last: Option<Self>,
        report: Option<LoadReport>,
        now: Instant,
    ) -> Option<Self> {
        let report = report?;
        match last {
            Some(last) if report.is_older_than(last.report.number) => Some(last),
            _ => Some(Self { report, heard: now }),
        }
    }

    fn load(&self, upstream: UpstreamKey) -> Load {
        let mut loads = self.report.loads.iter();
        let found = loads.find(|load| load.upstream == upstream);
        found.map_or(Load::default(), |found| found.load)
    }
}

impl Peer {
    /// The peer's last report of its load at `upstream`.
    fn report(&self, upstream: UpstreamKey) -> Option<Report> {
        let reported = self.reported.as_ref()?;
        Some(Report {
            load: reported.load(upstream),
            heard: reported.heard,
            next: self.next,
        })
    }

    /// Returns true if requests wait for one of the `upstreams` at the peer, as far as is known.
    pub(super) fn is_queueing(&self, upstreams: &[UpstreamKey], now: Instant) -> bool {
        let mut reports = upstreams.iter().filter_map(|key| self.report(*key));
        reports.any(|report| report.is_current(now) && report.load.is_queueing())
    }
}

impl Peers {
    /// Sets this instance's loads, and the other holders of the upstreams concerned.
    pub(crate) fn set_loads(&self, own: Vec<UpstreamLoad>, holders: HashSet<String>) {
        *self.loads.own.borrow_mut() = own;
        *self.loads.holders.borrow_mut() = holders;
    }

    /// Creates the next report of this instance's load.
    pub(super) fn next_load_report(&self) -> LoadReport {
        let number = self.loads.number.get().wrapping_add(1);
        self.loads.number.set(number);
        LoadReport {
            number,
            loads: self.loads.own.borrow().clone(),
        }
    }

    /// Last reports of the load at `upstream` by the instances with these names.
    pub(crate) fn load_reports(
        &self,
        holders: &[&str],
        upstream: UpstreamKey,
    ) -> Vec<Option<Report>> {
        let table = self.table.borrow();
        let reports = holders
            .iter()
            .map(|name| table.get(*name)?.report(upstream));
        reports.collect()
    }

    /// Sends the next heartbeat to the instances with these names now.
    pub(crate) fn announce_load(&self, holders: &[&str]) {
        let mut table = self.table.borrow_mut();
        for name in holders {
            if let Some(peer) = table.get_mut(*name) {
                peer.sent_at = Instant::ZERO;
            }
        }
        self.wake.notify_one();
    }
}
