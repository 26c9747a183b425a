//! What is known of one database, and the ways to its upstreams.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use clock::Instant;
use failover::{
    Fault, Quorum,
    quorum::{self, Id},
};
use model::{Cause, Record, Report, Role, Term, name};
use pool::pool::Service;
use route::{Event, Router, State};
use session::Confirmed;
use tokio::sync::{Notify, oneshot};

use super::{Core, control::Control, lines::Lines};

/// How long a round of status probes may take before the next may begin.
pub(super) const ROUND_TIMEOUT: Duration = Duration::from_millis(60);

/// After how long without work a connection beyond the warm ones is closed.
const IDLE: Duration = Duration::from_secs(60);

/// How long an open transaction may have nothing in flight.
const TRANSACTION_IDLE: Duration = Duration::from_secs(60);

/// One upstream of a group.
pub(super) struct Member {
    pub(super) conf: catalog::Upstream,
    pub(super) lines: Rc<Lines>,
    pub(super) control: Rc<Control>,
    /// Whether a task asks it for its status until no write waits.
    pub(super) pressed: Cell<bool>,
}

/// One database.
pub(super) struct Group {
    pub(super) name: name::Database,
    pub(super) members: RefCell<BTreeMap<name::Upstream, Rc<Member>>>,
    pub(super) router: RefCell<Router>,
    pub(super) quorum: RefCell<Option<Quorum>>,
    pub(super) waiters: RefCell<HashMap<Id, oneshot::Sender<Result<(), Cause>>>>,
    pub(super) waits: Cell<u64>,
    /// Told whenever something became known.
    pub(super) changed: Notify,
    pub(super) round: RefCell<session::Round>,
}

impl Group {
    /// Opens a database of which nothing is known yet.
    pub(super) fn open(core: &Core, name: &name::Database) -> Self {
        Self {
            name: name.clone(),
            members: RefCell::default(),
            router: RefCell::new(Router::new(&core.zone, route::Conf::default())),
            quorum: RefCell::default(),
            waiters: RefCell::default(),
            waits: Cell::new(0),
            changed: Notify::new(),
            round: RefCell::new(session::Round::new(ROUND_TIMEOUT)),
        }
    }

    /// Brings the group in line with the catalogue.
    pub(super) fn follow(&self, core: &Core, database: &catalog::Database) {
        let mut members = self.members.borrow_mut();
        members.retain(|name, _| database.upstreams.contains_key(name));
        for (name, conf) in &database.upstreams {
            let same = |it: &Rc<Member>| it.conf.address == conf.address;
            let known = members.get(name).filter(|it| same(it));
            let (lines, control) = match known {
                Some(known) => (Rc::clone(&known.lines), Rc::clone(&known.control)),
                None => ways(core, conf, &database.dbname),
            };
            lines.set_conf(limits(core, conf));
            lines.set_service(if conf.leaving {
                Service::Leaving
            } else {
                Service::In
            });
            let pressed = Cell::new(false);
            let member = Member {
                conf: conf.clone(),
                lines,
                control,
                pressed,
            };
            members.insert(name.clone(), Rc::new(member));
        }
        let router_members = members
            .iter()
            .map(|(name, it)| router_member(name, &it.conf));
        let event = Event::Group(router_members.collect());
        self.router.borrow_mut().step(core.now(), event);
        self.changed.notify_waiters();
    }

    /// An upstream of the group.
    pub(super) fn member(&self, upstream: &name::Upstream) -> Option<Rc<Member>> {
        self.members.borrow().get(upstream).cloned()
    }

    /// Takes in the status that an upstream gave to a question sent at `sent`.
    pub(super) fn report(
        &self,
        now: Instant,
        upstream: &name::Upstream,
        sent: Instant,
        report: Report,
    ) {
        self.router.borrow_mut().step(
            now,
            Event::Report {
                upstream,
                sent,
                report,
            },
        );
        // Only one upstream is ever promoted in a term, so a primary's own word
        // is enough to wait for a majority that holds its log.
        if report.role == Role::Primary && report.fenced <= report.received.term {
            self.adopt(report.received.term, upstream);
        }
        let done = match self.quorum.borrow_mut().as_mut() {
            Some(quorum) => quorum.report(upstream, sent, &report),
            None => Vec::new(),
        };
        for id in done {
            self.land(id, Ok(()));
        }
        self.changed.notify_waiters();
    }

    /// Takes in who leads, as the store or an announcement has it.
    pub(super) fn lead(&self, now: Instant, record: &Record) {
        self.router.borrow_mut().step(now, Event::Record(record));
        if let Some(upstream) = record.leader() {
            self.adopt(record.term, upstream);
        }
        self.changed.notify_waiters();
    }

    /// Counts the writes of `term` from now on, if it is a later one.
    fn adopt(&self, term: Term, upstream: &name::Upstream) {
        let size = self.members.borrow().len();
        let replaced = {
            let mut quorum = self.quorum.borrow_mut();
            match quorum.as_mut() {
                Some(quorum) => quorum.replaced(term, upstream.clone()),
                None => {
                    *quorum = Some(Quorum::open(size, term, upstream.clone()));
                    Vec::new()
                }
            }
        };
        for id in replaced {
            self.land(id, Err(Cause::Replaced));
        }
    }

    /// Tells a write that waits what became of it.
    fn land(&self, id: quorum::Id, result: Result<(), Cause>) {
        let waiter = self.waiters.borrow_mut().remove(&id);
        if let Some(waiter) = waiter {
            let _ = waiter.send(result);
        }
    }

    /// Asks an upstream for its status now.
    pub(super) async fn probe(
        &self,
        core: &Core,
        upstream: &name::Upstream,
    ) -> Result<Report, Fault> {
        let member = self.member(upstream).ok_or(Fault::Refused)?;
        let (sent, report) = member.control.probe().await?;
        self.report(core.now(), upstream, sent, report);
        Ok(report)
    }

    /// Has an upstream carry out an order.
    pub(super) async fn order(
        &self,
        core: &Core,
        upstream: &name::Upstream,
        order: failover::Order,
    ) -> Result<Report, Fault> {
        let member = self.member(upstream).ok_or(Fault::Refused)?;
        let order = match order {
            failover::Order::Fence { term } => upstream::Order::Fence { term },
            failover::Order::Promote { term } => upstream::Order::Promote { term },
            failover::Order::Follow { term, upstream } => {
                let primary = self.member(&upstream).ok_or(Fault::Refused)?.conf.address;
                upstream::Order::Follow { term, primary }
            }
        };
        let (sent, report) = member.control.order(order).await?;
        self.report(core.now(), upstream, sent, report);
        Ok(report)
    }

    /// The newest round that was confirmed, if it began at `since` or later.
    pub(super) fn round_since(&self, since: Instant) -> Option<Confirmed> {
        self.router.borrow().discovered(since)
    }
}

/// The connections to an upstream that this instance did not know yet.
fn ways(core: &Core, conf: &catalog::Upstream, dbname: &str) -> (Rc<Lines>, Rc<Control>) {
    let limits = limits(core, conf);
    let lines = Lines::open(core.clock, conf.address, &core.login, dbname, limits);
    let control = Control::open(core.clock, conf.address, &core.login, dbname);
    (lines, control)
}

/// This instance's part of an upstream's limits; one connection of the part
/// is the control connection.
fn limits(core: &Core, conf: &catalog::Upstream) -> pool::Conf {
    let share = core.share.max(1);
    let connections = (conf.connections / share).saturating_sub(1).max(1);
    pool::Conf {
        connections,
        slots: connections,
        warm: 1,
        idle: IDLE,
        transaction_idle: TRANSACTION_IDLE,
    }
}

fn router_member(name: &name::Upstream, conf: &catalog::Upstream) -> route::Member {
    let state = if conf.leaving {
        State::Leaving
    } else {
        State::Serving
    };
    route::Member {
        upstream: name.clone(),
        zone: conf.zone.clone(),
        slots: conf.slots,
        state,
    }
}
