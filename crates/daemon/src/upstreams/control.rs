//! The control connection of an upstream: status probes and orders.
//!
//! One connection for each upstream carries them one after another. Those who
//! ask while a probe is under way wait for the next one, because an answer
//! only counts from the moment at which its question was sent.

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

/// How long a probe or an order may take on its connection.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The SQLSTATE of a server that has all the connections that it takes.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// A status and the moment at which it was asked for.
pub(super) type Status = Result<(Instant, Report), Fault>;

type StatusSender = oneshot::Sender<Status>;

/// What waits for the control connection.
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

/// Whether this instance holds connections to the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Holding {
    /// It does: the control connection stays open.
    Held,
    /// It does not: the connection is closed once it has nothing to do. Kept
    /// open, those of all former holders would leave no room for the present
    /// ones, whose probes would then fail as if the upstream were gone.
    Released,
}

impl Control {
    /// Prepares the connection; it is opened at the first use.
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

    /// Tells whether this instance holds connections to the upstream.
    pub(super) fn set_holding(&self, holding: Holding) {
        self.holding.set(holding);
        self.work.notify_one();
    }

    /// Asks for the status, by a question sent after this call.
    pub(super) async fn probe(&self) -> Status {
        let (asker, answer) = oneshot::channel();
        self.waiting.borrow_mut().probes.push(asker);
        self.work.notify_one();
        answer.await.unwrap_or(Err(Fault::Broken))
    }

    /// Has an order carried out, and asks for the status behind it.
    pub(super) async fn order(&self, order: upstream::Order) -> Status {
        let (asker, answer) = oneshot::channel();
        self.waiting.borrow_mut().orders.push((order, asker));
        self.work.notify_one();
        answer.await.unwrap_or(Err(Fault::Broken))
    }

    /// Runs a statement of the proxy's own; returns how many rows it touched.
    pub(super) async fn execute(&self, statement: String) -> Result<u64, Fault> {
        let (asker, answer) = oneshot::channel();
        self.waiting
            .borrow_mut()
            .statements
            .push((statement, asker));
        self.work.notify_one();
        answer.await.unwrap_or(Err(Fault::Broken))
    }

    fn next_work(&self) -> Option<Work> {
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.orders.is_empty() {
            let (order, asker) = waiting.orders.remove(0);
            return Some(Work::Order(order, asker));
        }
        let probes = std::mem::take(&mut waiting.probes);
        if !probes.is_empty() {
            return Some(Work::Probe(probes));
        }
        let (statement, asker) = waiting.statements.pop()?;
        Some(Work::Statement(statement, asker))
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
            Work::Probe(askers) => {
                let statements = [PROBE.to_owned()];
                let status = strong.run_statements(&mut conn, &statements).await;
                for asker in askers {
                    let _ = asker.send(status);
                }
            }
            Work::Order(order, asker) => {
                let status = strong.run_statements(&mut conn, &order.statements()).await;
                let _ = asker.send(status);
            }
            Work::Statement(statement, asker) => {
                let execute_on = strong.execute_on(&mut conn, &statement).await;
                let _ = asker.send(execute_on);
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

    /// Does something on the connection, within the time that it may take.
    async fn with_conn<T>(
        &self,
        conn: &mut Option<Conn>,
        action: impl AsyncFnOnce(&Conn) -> Result<T, Error>,
    ) -> Result<T, Fault> {
        let limit = ntex::time::Millis::from(TIMEOUT);
        let action = async {
            if conn.as_ref().is_none_or(Conn::is_closed) {
                *conn = Some(Conn::open(self.address, &self.login, &self.dbname).await?);
            }
            let open = conn.as_ref().ok_or(Error::Closed)?;
            action(open).await
        };
        let result = ntex::time::timeout(limit, action).await;
        result.unwrap_or(Err(Error::Timeout)).map_err(|error| {
            // A connection that failed once may still bring the answer to the
            // question that was given up: it is never used again.
            if !matches!(error, Error::Refused { .. }) {
                *conn = None;
            }
            fault(&error)
        })
    }
}

/// What the control duty is told of an error.
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

/// Carries out what the control duty asks, and answers it.
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
