//! The state of one database and the access to its upstreams.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    num::NonZeroU16,
    rc::Rc,
    time::Duration,
};

use clock::Instant;
use failover::{
    Fault, Quorum,
    quorum::{self, Id},
};
use model::{Cause, Record, Report, Role, Term, name};
use ntex::time::sleep;
use pool::{
    holder::{self, Candidate, Share},
    pool::Status as PoolStatus,
};
use route::{Event, Router, State};
use session::Confirmed;
use tokio::sync::{Notify, oneshot};

use super::{
    Core,
    connections::Connections,
    control::{Control, Holding, Status},
    dispatch::Holder,
    remote::{self, Unreachable},
    view::ProbeHistory,
};
use crate::forward::Command;

/// Time after which an unfinished round of status probes no longer blocks the
/// next one.
pub(super) const ROUND_TIMEOUT: Duration = Duration::from_millis(60);

/// Number of attempts to reach a holder for a probe or an order, and the pause
/// after each.
const HOLDER_ATTEMPTS: usize = 6;
const HOLDER_RETRY_INTERVAL: Duration = Duration::from_millis(15);

/// Idle time after which a connection beyond the warm ones is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time that an open transaction may have no statement in flight.
const TRANSACTION_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// One upstream of a group.
pub(super) struct Member {
    pub(super) conf: catalog::Upstream,
    pub(super) connections: Rc<Connections>,
    pub(super) control: Rc<Control>,
    /// True if a task is polling the upstream's position for waiting writes.
    pub(super) polled: Cell<bool>,
    /// The instance assigned to each seat of the upstream, in this instance's
    /// view.
    holders: RefCell<Vec<name::Instance>>,
    /// The seats assigned to this instance.
    own_seats: RefCell<Seats>,
    /// Round-robin counter for choosing a holder.
    rotation: Cell<usize>,
}

/// This instance's seats at an upstream. A seat is a share of the upstream's
/// connections.
#[derive(Debug, Clone, Default)]
struct Seats {
    /// The seats' numbers, counted over all upstreams of the database.
    numbers: Vec<u16>,
    /// True if the upstream's first seat is among them.
    has_first: bool,
    /// The number of seats of the whole database.
    total: u16,
}

impl Member {
    /// Returns true if this instance holds connections to the upstream.
    pub(super) fn is_holder(&self) -> bool {
        !self.own_seats.borrow().numbers.is_empty()
    }

    /// Returns true if this instance has the first seat of the upstream.
    pub(super) fn has_first_seat(&self) -> bool {
        self.own_seats.borrow().has_first
    }

    /// Chooses a holder for the next request to the upstream: this instance if
    /// it is one, else another holder in turn, preferring those that are not
    /// stopping.
    pub(super) fn next_holder(&self, core: &Core) -> Holder {
        if self.is_holder() {
            return Holder::Local;
        }
        let holders = self.holders.borrow();
        let leaving = core.leaving.borrow();
        let others = || holders.iter().filter(|it| **it != core.instance);
        let mut staying: Vec<_> = others().filter(|it| !leaving.contains(*it)).collect();
        if staying.is_empty() {
            staying = others().collect();
        }
        if staying.is_empty() {
            return Holder::Unknown;
        }
        self.rotation.set(self.rotation.get().wrapping_add(1));
        Holder::Remote(staying[self.rotation.get() % staying.len()].clone())
    }

    /// This instance's share of an entry's connection limit.
    pub(super) fn entry_limit(&self, limit: u16) -> u16 {
        let own_seats = self.own_seats.borrow();
        let Some(total) = NonZeroU16::new(own_seats.total) else {
            return 0;
        };
        own_seats
            .numbers
            .iter()
            .map(|seat| holder::entry_limit(limit, total, *seat))
            .sum()
    }
}

/// A database and its upstreams.
pub(super) struct Group {
    pub(super) name: name::Database,
    pub(super) members: RefCell<BTreeMap<name::Upstream, Rc<Member>>>,
    pub(super) router: RefCell<Router>,
    pub(super) quorum: RefCell<Option<Quorum>>,
    pub(super) waiters: RefCell<HashMap<Id, oneshot::Sender<Result<(), Cause>>>>,
    pub(super) last_id: Cell<u64>,
    /// Notified whenever the state of the group changes.
    pub(super) changed: Notify,
    pub(super) round: RefCell<session::Round>,
    /// The times of each upstream's probes and answers.
    pub(super) probe_histories: RefCell<BTreeMap<name::Upstream, ProbeHistory>>,
}

impl Group {
    /// Creates a group without upstreams and without a known primary.
    pub(super) fn open(core: &Core, name: &name::Database) -> Self {
        Self {
            name: name.clone(),
            members: RefCell::default(),
            router: RefCell::new(Router::new(&core.zone, route::Conf::default())),
            quorum: RefCell::default(),
            waiters: RefCell::default(),
            last_id: Cell::new(0),
            changed: Notify::new(),
            round: RefCell::new(session::Round::new(ROUND_TIMEOUT)),
            probe_histories: RefCell::default(),
        }
    }

    /// Updates the upstreams to match the catalogue.
    pub(super) fn apply_catalog(&self, core: &Core, database: &catalog::Database) {
        let mut members = self.members.borrow_mut();
        members.retain(|name, _| database.upstreams.contains_key(name));
        let mut probe_histories = self.probe_histories.borrow_mut();
        probe_histories.retain(|name, _| database.upstreams.contains_key(name));
        drop(probe_histories);
        for (name, conf) in &database.upstreams {
            let same = |it: &Rc<Member>| it.conf.address == conf.address;
            let known = members.get(name).filter(|it| same(it));
            let (connections, control) = match known {
                Some(known) => (Rc::clone(&known.connections), Rc::clone(&known.control)),
                None => open_connections(core, conf, &database.dbname),
            };
            connections.set_service(if conf.leaving {
                PoolStatus::Leaving
            } else {
                PoolStatus::Active
            });
            let member = Member {
                conf: conf.clone(),
                connections,
                control,
                polled: Cell::new(false),
                holders: RefCell::default(),
                own_seats: RefCell::default(),
                rotation: Cell::new(0),
            };
            members.insert(name.clone(), Rc::new(member));
        }
        let router_members = members
            .iter()
            .map(|(name, it)| router_member(name, &it.conf));
        let event = Event::Group(router_members.collect());
        self.router.borrow_mut().step(core.now(), event);
        if let Some(quorum) = self.quorum.borrow_mut().as_mut() {
            let names: Vec<_> = members.keys().cloned().collect();
            quorum.set_upstreams(&names);
        }
        drop(members);
        self.assign(core);
    }

    /// Assigns the seats of each upstream to the live instances, and adjusts
    /// this instance's connections.
    pub(super) fn assign(&self, core: &Core) {
        let live = core.members.borrow();
        let live: Vec<_> = live
            .iter()
            .map(|(instance, zone)| Candidate { instance, zone })
            .collect();
        let members = self.members.borrow();
        let total = members
            .values()
            .map(|it| holder::seats(it.conf.slots).get())
            .sum();
        let mut first = 0;
        for (name, member) in members.iter() {
            let seats = holder::seats(member.conf.slots);
            let count = usize::from(seats.get());
            let ranked = holder::assign(name, &member.conf.zone, &live, count);
            let holders = ranked
                .iter()
                .cycle()
                .take(if ranked.is_empty() { 0 } else { count });
            let holders: Vec<name::Instance> = holders.map(|it| (*it).clone()).collect();
            let own = (0..).zip(&holders).filter(|(_, it)| **it == core.instance);
            let own: Vec<u16> = own.map(|(seat, _)| seat).collect();
            let shares = own.iter().map(|seat| {
                holder::share(member.conf.connections, member.conf.slots, seats, *seat)
            });
            let holding = if own.is_empty() {
                Holding::Released
            } else {
                Holding::Held
            };
            member.control.set_holding(holding);
            member.connections.set_conf(limits(shares));
            *member.own_seats.borrow_mut() = Seats {
                has_first: own.contains(&0),
                numbers: own.iter().map(|seat| first + seat).collect(),
                total,
            };
            *member.holders.borrow_mut() = holders;
            first += seats.get();
        }
        self.changed.notify_waiters();
    }

    /// Looks up an upstream of the group.
    pub(super) fn member(&self, upstream: &name::Upstream) -> Option<Rc<Member>> {
        self.members.borrow().get(upstream).cloned()
    }

    /// Records an upstream's status report, whose query was sent at `sent`.
    pub(super) fn note_report(
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
        // At most one upstream is promoted in a term, so the primary's own
        // report suffices to start counting replicas that hold its log.
        if report.role == Role::Primary && report.fenced <= report.received.term {
            self.adopt_primary(report.received.term, upstream);
        }
        let done = match self.quorum.borrow_mut().as_mut() {
            Some(quorum) => quorum.report(upstream, sent, &report),
            None => Vec::new(),
        };
        for id in done {
            self.complete_write(id, Ok(()));
        }
        self.changed.notify_waiters();
    }

    /// Records the primary given by the store or an announcement.
    pub(super) fn set_primary(&self, now: Instant, record: &Record) {
        self.router.borrow_mut().step(now, Event::Record(record));
        if let Some(upstream) = record.leader() {
            self.adopt_primary(record.term, upstream);
        }
        self.changed.notify_waiters();
    }

    /// Makes `upstream` the primary for acknowledging writes, if `term` is
    /// later.
    fn adopt_primary(&self, term: Term, upstream: &name::Upstream) {
        let size = self.members.borrow().len();
        let replaced = {
            let mut quorum = self.quorum.borrow_mut();
            match quorum.as_mut() {
                Some(quorum) => quorum.replace_primary(term, upstream.clone()),
                None => {
                    *quorum = Some(Quorum::open(size, term, upstream.clone()));
                    Vec::new()
                }
            }
        };
        for id in replaced {
            self.complete_write(id, Err(Cause::Replaced));
        }
    }

    /// Completes a waiting write with `result`.
    fn complete_write(&self, id: quorum::Id, result: Result<(), Cause>) {
        let waiter = self.waiters.borrow_mut().remove(&id);
        if let Some(waiter) = waiter {
            let _ = waiter.send(result);
        }
    }

    /// Probes an upstream's status. Returns `None` if no holder could be
    /// reached.
    pub(super) async fn probe(
        &self,
        core: &Rc<Core>,
        upstream: &name::Upstream,
    ) -> Option<Result<Report, Fault>> {
        let member = self.member(upstream)?;
        let local = async || Ok(member.control.probe().await);
        let command = || Command::Probe {
            database: self.name.clone(),
            upstream: upstream.clone(),
        };
        let status = self.via_any_holder(core, &member, local, command).await?;
        Some(self.note_probe(core, upstream, status))
    }

    /// Executes an order at an upstream. Returns `None` if no holder could be
    /// reached.
    pub(super) async fn order(
        &self,
        core: &Rc<Core>,
        upstream: &name::Upstream,
        order: failover::Order,
    ) -> Option<Result<Report, Fault>> {
        let member = self.member(upstream)?;
        let local = async || match self.resolve(order.clone()) {
            Ok(order) => Ok(member.control.order(order).await),
            Err(fault) => Ok(Err(fault)),
        };
        let command = || Command::Order {
            database: self.name.clone(),
            upstream: upstream.clone(),
            order: order.clone(),
        };
        let status = self.via_any_holder(core, &member, local, command).await?;
        Some(self.note_probe(core, upstream, status))
    }

    /// Runs a command through the upstream's holders, retrying with the next
    /// one.
    ///
    /// An unreachable holder is no evidence about the upstream. If it were
    /// treated as such, a restart of the holders would replace a healthy
    /// primary.
    async fn via_any_holder(
        &self,
        core: &Rc<Core>,
        member: &Member,
        local: impl AsyncFn() -> Result<Status, Unreachable>,
        command: impl Fn() -> Command,
    ) -> Option<Status> {
        let mut full = None;
        for _ in 0..HOLDER_ATTEMPTS {
            let status = match member.next_holder(core) {
                Holder::Local => local().await,
                Holder::Remote(to) => remote::status(core, &to, command()).await,
                Holder::Unknown => Err(Unreachable),
            };
            match status {
                // Another holder may have an open connection already.
                Ok(Err(Fault::Full)) => full = Some(Err(Fault::Full)),
                Ok(status) => return Some(status),
                Err(Unreachable) => {}
            }
            sleep(HOLDER_RETRY_INTERVAL).await;
        }
        full
    }

    fn note_probe(
        &self,
        core: &Core,
        upstream: &name::Upstream,
        status: Status,
    ) -> Result<Report, Fault> {
        let mut probe_histories = self.probe_histories.borrow_mut();
        let probe_history = probe_histories.entry(upstream.clone()).or_default();
        probe_history.note(core.now(), &status);
        drop(probe_histories);
        let (sent, report) = status?;
        self.note_report(core.now(), upstream, sent, report);
        Ok(report)
    }

    /// Converts an order to the form for the upstream, with the primary's
    /// address.
    fn resolve(&self, order: failover::Order) -> Result<upstream::Order, Fault> {
        Ok(match order {
            failover::Order::Fence { term } => upstream::Order::Fence { term },
            failover::Order::Promote { term } => upstream::Order::Promote { term },
            failover::Order::Follow { term, upstream } => {
                let primary = self.member(&upstream).ok_or(Fault::Refused)?.conf.address;
                upstream::Order::Follow { term, primary }
            }
        })
    }

    /// Returns the first confirmed round that began at `since` or later.
    pub(super) fn round_since(&self, since: Instant) -> Option<Confirmed> {
        self.router.borrow().first_round_since(since)
    }
}

/// Creates the connection pool and the control connection of a new upstream.
fn open_connections(
    core: &Core,
    conf: &catalog::Upstream,
    dbname: &str,
) -> (Rc<Connections>, Rc<Control>) {
    let none = limits(std::iter::empty());
    let connections = Connections::open(core.clock, conf.address, &core.login, dbname, none);
    let control = Control::open(core.clock, conf.address, &core.login, dbname);
    (connections, control)
}

/// Pool limits for all of this instance's shares of an upstream. One of the
/// connections is reserved for control.
fn limits(shares: impl Iterator<Item = Share>) -> pool::Conf {
    let (connections, slots) =
        shares.fold((0, 0), |sum, it| (sum.0 + it.connections, sum.1 + it.slots));
    let connections: u16 = connections;
    pool::Conf {
        connections: connections.saturating_sub(1),
        slots,
        warm: slots,
        idle_timeout: IDLE_TIMEOUT,
        transaction_idle_timeout: TRANSACTION_IDLE_TIMEOUT,
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
