//! The control connection of an upstream, for status probes and orders.
//!
//! One connection for each upstream runs them one after another. A probe that
//! is requested while another one is under way waits for the next one, since a
//! status is only valid from the time at which its query was sent.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::{Clock, Instant};
use failover::Fault;
use model::Report;
use tokio::sync::{Notify, oneshot};
use upstream::{Conn, Error, Login, PROBE};

use super::Core;
use crate::control::{Answer, Order};

/// Longest time for a probe or an order on an open connection or a new one.
const TIMEOUT: Duration = Duration::from_millis(500);

/// SQLSTATE `too_many_connections`: the server's connection limit is reached.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// A status report and the time at which its query was sent.
pub(super) type Status = Result<(Instant, Report), Fault>;

type StatusSender = oneshot::Sender<Status>;

/// Work that is queued for the control connection.
#[derive(Default)]
struct Waiting {
    probes: Vec<StatusSender>,
    orders: Vec<(upstream::Order, StatusSender)>,
    statements: Vec<(String, oneshot::Sender<Result<u64, Fault>>)>,
}

/// The control connection of one upstream.
pub(super) struct Control {
    clock: Clock,
    address: SocketAddr,
    login: Login,
    dbname: String,
    waiting: RefCell<Waiting>,
    work: Notify,
    holding: Cell<Holding>,
}

/// State of this instance as a possible holder of connections to the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Holding {
    /// This instance is a holder: the control connection stays open.
    Held,
    /// This instance is not a holder: the control connection is closed when
    /// idle. If former holders kept theirs open, the upstream's connection
    /// limit would leave no room for the current holders, whose probes would
    /// then fail as if the upstream were down.
    Released,
}

impl Control {
    /// Creates the control connection, which is opened on first use.
    pub(super) fn open(clock: Clock, address: SocketAddr, login: &Login, dbname: &str) -> Rc<Self> {
        let control = Rc::new(Self {
            clock,
            address,
            login: login.clone(),
            dbname: dbname.to_owned(),
            waiting: RefCell::default(),
            work: Notify::new(),
            holding: Cell::new(Holding::Released),
        });
        ntex::rt::spawn(serve(Rc::downgrade(&control)));
        control
    }

    /// Sets whether this instance holds pooled connections to the upstream.
    pub(super) fn set_holding(&self, holding: Holding) {
        self.holding.set(holding);
        self.work.notify_one();
    }

    /// Requests a status whose query is sent after this call.
    pub(super) async fn probe(&self) -> Status {
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().probes.push(sender);
        self.work.notify_one();
        answer.await.unwrap_or(Err(Fault::Broken))
    }

    /// Executes an order and returns the status after it.
    pub(super) async fn order(&self, order: upstream::Order) -> Status {
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().orders.push((order, sender));
        self.work.notify_one();
        answer.await.unwrap_or(Err(Fault::Broken))
    }

    /// Runs one of the proxy's own statements and returns the number of
    /// affected rows.
    pub(super) async fn execute(&self, statement: String) -> Result<u64, Fault> {
        let (sender, answer) = oneshot::channel();
        self.waiting
            .borrow_mut()
            .statements
            .push((statement, sender));
        self.work.notify_one();
        answer.await.unwrap_or(Err(Fault::Broken))
    }

    fn next_work(&self) -> Option<Work> {
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.orders.is_empty() {
            let (order, sender) = waiting.orders.remove(0);
            return Some(Work::Order(order, sender));
        }
        let probes = std::mem::take(&mut waiting.probes);
        if !probes.is_empty() {
            return Some(Work::Probe(probes));
        }
        let (statement, sender) = waiting.statements.pop()?;
        Some(Work::Statement(statement, sender))
    }
}

enum Work {
    Probe(Vec<StatusSender>),
    Order(upstream::Order, StatusSender),
    Statement(String, oneshot::Sender<Result<u64, Fault>>),
}

async fn serve(control: std::rc::Weak<Control>) {
    let mut conn = None;
    loop {
        let Some(strong) = control.upgrade() else {
            return;
        };
        let Some(work) = strong.next_work() else {
            if strong.holding.get() == Holding::Released {
                conn = None;
            }
            let idle = ntex::time::Millis(1_000);
            let _ = ntex::time::timeout(idle, strong.work.notified()).await;
            continue;
        };
        match work {
            Work::Probe(senders) => {
                let statements = [PROBE.to_owned()];
                let status = strong.run_statements(&mut conn, &statements).await;
                for sender in senders {
                    let _ = sender.send(status);
                }
            }
            Work::Order(order, sender) => {
                let status = strong.run_statements(&mut conn, &order.statements()).await;
                let _ = sender.send(status);
            }
            Work::Statement(statement, sender) => {
                let result = strong.execute_on(&mut conn, &statement).await;
                let _ = sender.send(result);
            }
        }
    }
}

impl Control {
    async fn run_statements(&self, conn: &mut Option<Conn>, statements: &[String]) -> Status {
        let statements_then_status = async |open: &Conn| {
            let (last, first) = statements
                .split_last()
                .ok_or(Error::Status("no statement"))?;
            open.run(first).await?;
            let sent = self.clock.now();
            let rows = open.run(std::slice::from_ref(last)).await?;
            let row = rows.first().ok_or(Error::Status("no row"))?;
            Ok((sent, upstream::parse_report(row)?))
        };
        self.with_conn(conn, statements_then_status).await
    }

    async fn execute_on(&self, conn: &mut Option<Conn>, statement: &str) -> Result<u64, Fault> {
        self.with_conn(conn, async |open: &Conn| open.execute(statement).await)
            .await
    }

    /// Runs `action` on the connection within [`TIMEOUT`], opening the
    /// connection if it is closed.
    async fn with_conn<T>(
        &self,
        conn: &mut Option<Conn>,
        action: impl AsyncFnOnce(&Conn) -> Result<T, Error>,
    ) -> Result<T, Fault> {
        let limit = ntex::time::Millis::from(TIMEOUT);
        let attempt = async {
            if conn.as_ref().is_none_or(Conn::is_closed) {
                *conn = Some(Conn::open(self.address, &self.login, &self.dbname).await?);
            }
            let open = conn.as_ref().ok_or(Error::Closed)?;
            action(open).await
        };
        let result = ntex::time::timeout(limit, attempt).await;
        result.unwrap_or(Err(Error::Timeout)).map_err(|error| {
            // After a failure the connection may still deliver the answer to
            // the abandoned query, so it is never reused.
            if !matches!(error, Error::Refused { .. }) {
                *conn = None;
            }
            fault(&error)
        })
    }
}

/// Maps an error to the fault reported to the control duty.
fn fault(error: &Error) -> Fault {
    match error {
        Error::Connect(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            Fault::Refused
        }
        Error::Timeout => Fault::Timeout,
        Error::Refused { state, .. } if state == TOO_MANY_CONNECTIONS => Fault::Full,
        Error::Refused { state, message } if state == upstream::TERM_REFUSED => {
            let term = message.rsplit(' ').nth(1).and_then(|it| it.parse().ok());
            term.map_or(Fault::Broken, |term| Fault::Fenced(model::Term(term)))
        }
        _ => Fault::Broken,
    }
}

/// Executes an order of the control duty and sends the answer.
pub(super) async fn carry_out(core: Rc<Core>, order: Order) {
    match order {
        Order::SetPrimary { database, record } => {
            if let Some(group) = core.group(&database) {
                group.set_primary(core.now(), &record);
            }
        }
        Order::Probe {
            database,
            call,
            upstream,
        } => {
            let Some(group) = core.group(&database) else {
                return;
            };
            let Some(result) = group.probe(&core, &upstream).await else {
                return;
            };
            core.answers
                .send(Answer {
                    database,
                    call,
                    upstream,
                    result,
                })
                .await;
        }
        Order::Execute {
            database,
            call,
            upstream,
            order,
        } => {
            let Some(group) = core.group(&database) else {
                return;
            };
            let Some(result) = group.order(&core, &upstream, order).await else {
                return;
            };
            core.answers
                .send(Answer {
                    database,
                    call,
                    upstream,
                    result,
                })
                .await;
        }
    }
}
