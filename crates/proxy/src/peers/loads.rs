//! Loads of instances at upstreams, as reported by heartbeats.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use admit::{load::Load, windows::Report};
use clock::Instant;

use super::{
    heartbeat::{LoadReport, UpstreamKey, UpstreamLoad},
    peer::Peer,
    table::Peers,
};

/// Loads of this instance at the upstreams of one group.
#[derive(Debug)]
pub(crate) struct GroupLoads {
    /// Names of the instances that hold connections to the group.
    pub(crate) holders: Rc<[String]>,
    /// The loads that aren't zero.
    pub(crate) loads: Vec<UpstreamLoad>,
}

/// Loads of this instance.
#[derive(Debug, Default)]
pub(super) struct Loads {
    groups: RefCell<Vec<GroupLoads>>,
    number: Cell<u16>,
}

impl Loads {
    /// The loads that the peer `name` is told: those of the groups that it holds, and, if it
    /// `forwards` sessions to this instance, where requests wait.
    pub(super) fn told_to(&self, name: &str, forwards: bool) -> Vec<UpstreamLoad> {
        let groups = self.groups.borrow();
        let told = groups.iter().flat_map(|group| {
            let is_holder = group.holders.iter().any(|holder| holder == name);
            let is_told =
                move |told: &&UpstreamLoad| is_holder || forwards && told.load.is_queueing();
            group.loads.iter().filter(is_told)
        });
        told.copied().collect()
    }

    /// Number of the next report.
    pub(super) fn next_number(&self) -> u16 {
        let number = self.number.get().wrapping_add(1);
        self.number.set(number);
        number
    }
}

/// Last load report of a peer.
#[derive(Debug)]
pub(super) struct Reported {
    report: LoadReport,
    heard: Instant,
}

impl Reported {
    fn load(&self, upstream: UpstreamKey) -> Load {
        let mut loads = self.report.loads.iter();
        let found = loads.find(|load| load.upstream == upstream);
        found.map_or(Load::default(), |found| found.load)
    }
}

impl Peer {
    /// Records the load report of a heartbeat that arrives at `now`.
    ///
    /// One that was overtaken is ignored, but only while the last one is current: a restarted peer
    /// numbers its reports anew.
    pub(super) fn record_report(&mut self, report: Option<LoadReport>, now: Instant) {
        let is_overtaken = match (&report, &self.reported) {
            (Some(report), Some(last)) => {
                let is_current = self.as_report(last, Load::default()).is_current(now);
                is_current && report.is_older_than(last.report.number)
            }
            _ => false,
        };
        if !is_overtaken {
            self.reported = report.map(|report| Reported { report, heard: now });
        }
    }

    /// The peer's last report of its load at `upstream`.
    fn report(&self, upstream: UpstreamKey) -> Option<Report> {
        let reported = self.reported.as_ref()?;
        Some(self.as_report(reported, reported.load(upstream)))
    }

    fn as_report(&self, reported: &Reported, load: Load) -> Report {
        Report {
            load,
            heard: reported.heard,
            next: self.next,
        }
    }

    /// Returns true if requests wait for one of the `upstreams` at the peer, as far as is known.
    pub(super) fn is_queueing(&self, upstreams: &[UpstreamKey], now: Instant) -> bool {
        let mut reports = upstreams.iter().filter_map(|key| self.report(*key));
        reports.any(|report| report.is_current(now) && report.load.is_queueing())
    }
}

impl Peers {
    /// Sets this instance's loads.
    pub(crate) fn set_loads(&self, groups: Vec<GroupLoads>) {
        *self.loads.groups.borrow_mut() = groups;
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
