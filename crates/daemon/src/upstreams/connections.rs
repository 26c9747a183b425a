//! The connections to one upstream: [`pool::Pool`] decides, and this module
//! carries out its actions.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::{Clock, Instant};
use model::Cause;
use ntex::time::sleep;
use pool::{
    Action, Event, Handle, Pool, Ticket,
    conn::Generation,
    pool::{Condition, Request, Status},
};
use tokio::sync::{Notify, oneshot};
use upstream::{Conn, Login};

use super::connection::{Connection, Disposition};
use crate::job::{Leaves, Settings};

/// Longest time for connecting and logging in to an upstream.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that an upstream needs to notice a closed connection.
const CLOSE_DELAY: Duration = Duration::from_millis(5);

/// A refusal by the pool: the request did not run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refused {
    /// The cause of the refusal.
    pub(super) cause: Cause,
    /// Time after which a retry may succeed.
    pub(super) retry_after: Option<Duration>,
}

/// A connection that is not checked out.
struct Idle {
    conn: Conn,
    prepared: HashSet<u128>,
    applied: Settings,
    leaves: Leaves,
    seen: Option<(Instant, model::Report)>,
}

type Waiter = oneshot::Sender<Result<Handle, Refused>>;

/// This instance's connections to one upstream.
pub(super) struct Connections {
    clock: Clock,
    address: SocketAddr,
    login: Login,
    dbname: String,
    pub(super) pool: RefCell<Pool>,
    idle: RefCell<HashMap<Generation, Idle>>,
    waiters: RefCell<HashMap<Ticket, Waiter>>,
    /// Transactions whose connection was closed by the pool.
    broken: RefCell<HashSet<Ticket>>,
    stepped: Notify,
}

impl Connections {
    /// Creates the pool and starts opening its warm connections.
    pub(super) fn open(
        clock: Clock,
        address: SocketAddr,
        login: &Login,
        dbname: &str,
        conf: pool::Conf,
    ) -> Rc<Self> {
        let connections = Rc::new(Self {
            clock,
            address,
            login: login.clone(),
            dbname: dbname.to_owned(),
            pool: RefCell::new(Pool::open(conf, 0)),
            idle: RefCell::default(),
            waiters: RefCell::default(),
            broken: RefCell::default(),
            stepped: Notify::new(),
        });
        connections.step(Event::Tick);
        ntex::rt::spawn(tick(Rc::downgrade(&connections), clock));
        connections
    }

    /// Changes the pool's limits.
    pub(super) fn set_conf(self: &Rc<Self>, conf: pool::Conf) {
        self.step(Event::Conf(conf));
    }

    /// Sets whether the upstream gets new requests.
    pub(super) fn set_service(self: &Rc<Self>, service: Status) {
        self.step(Event::Status(service));
    }

    /// The upstream's load from this instance.
    pub(super) fn load(&self) -> route::Load {
        let pool = self.pool.borrow();
        let count = |it: usize| u32::try_from(it).unwrap_or(u32::MAX);
        route::Load {
            in_flight: count(pool.running()),
            queued: count(pool.waiting()),
        }
    }

    /// Checks out a connection, waiting in the pool's queue.
    pub(super) async fn acquire(self: &Rc<Self>, request: Request) -> Result<Connection, Refused> {
        let ticket = request.ticket;
        let handle = self.wait(ticket, Event::Submit(request)).await?;
        let Some(idle) = self.idle.borrow_mut().remove(&handle.generation) else {
            self.step(Event::Lost(handle.generation));
            return Err(Refused {
                cause: Cause::NoUpstream,
                retry_after: None,
            });
        };
        Ok(Connection {
            conn: idle.conn,
            address: self.address,
            prepared: idle.prepared,
            skipping: false,
            applied: idle.applied,
            leaves: idle.leaves,
            disposition: Disposition::Reuse,
            seen: idle.seen,
            owner: Rc::clone(self),
            ticket,
            handle,
        })
    }

    /// Admits the next statement of a transaction on its connection.
    pub(super) async fn next(
        self: &Rc<Self>,
        connection: &mut Connection,
        deadline: Instant,
    ) -> Result<(), Refused> {
        if self.broken.borrow_mut().remove(&connection.ticket) {
            return Err(Refused {
                cause: Cause::ConnectionLost,
                retry_after: None,
            });
        }
        connection.handle = self
            .wait(connection.ticket, Event::Next(connection.ticket, deadline))
            .await?;
        Ok(())
    }

    /// Returns a connection to the pool after its request's answer was read
    /// completely.
    pub(super) fn release(self: &Rc<Self>, connection: Connection) {
        if connection.disposition == Disposition::Close {
            return self.discard(connection);
        }
        let idle = Idle {
            conn: connection.conn,
            prepared: connection.prepared,
            applied: connection.applied,
            leaves: connection.leaves,
            seen: connection.seen,
        };
        self.idle
            .borrow_mut()
            .insert(connection.handle.generation, idle);
        self.step(Event::Answered(connection.handle, Condition::Idle));
    }

    /// Notes that the transaction on a connection stays open.
    pub(super) fn hold(self: &Rc<Self>, connection: &Connection) {
        self.step(Event::Answered(connection.handle, Condition::Transaction));
    }

    /// Closes a connection that must not be reused.
    ///
    /// An unread answer would be delivered to the next request, and an open
    /// transaction would mix the statements of two callers.
    pub(super) fn discard(self: &Rc<Self>, connection: Connection) {
        let handle = connection.handle;
        drop(connection);
        self.step(Event::Answered(handle, Condition::Unusable));
        self.notify_closed(handle.generation);
    }

    /// Reports a closed connection to the pool after [`CLOSE_DELAY`]. Until
    /// then the upstream may still count it, and a new connection would exceed
    /// the limit.
    fn notify_closed(self: &Rc<Self>, generation: Generation) {
        let connections = Rc::clone(self);
        ntex::rt::spawn(async move {
            sleep(CLOSE_DELAY).await;
            connections.step(Event::Closed(generation));
        });
    }

    async fn wait(self: &Rc<Self>, ticket: Ticket, event: Event) -> Result<Handle, Refused> {
        let (waiter, waiting) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, waiter);
        self.step(event);
        let dropped = Refused {
            cause: Cause::NoUpstream,
            retry_after: None,
        };
        waiting.await.unwrap_or(Err(dropped))
    }

    fn step(self: &Rc<Self>, event: Event) {
        let now = self.clock.now();
        let actions = self.pool.borrow_mut().step(now, event);
        for action in actions {
            self.perform(action);
        }
        self.stepped.notify_one();
    }

    fn perform(self: &Rc<Self>, action: Action) {
        match action {
            Action::Open(generation) => {
                ntex::rt::spawn(connect(Rc::clone(self), generation));
            }
            Action::Close(generation) => {
                let idle = self.idle.borrow_mut().remove(&generation);
                if idle.is_some() {
                    drop(idle);
                    self.notify_closed(generation);
                }
            }
            Action::Run(ticket, handle) => self.resolve(ticket, Ok(handle)),
            Action::Refuse {
                ticket,
                cause,
                retry_after,
            } => {
                self.resolve(
                    ticket,
                    Err(Refused {
                        cause,
                        retry_after: Some(retry_after),
                    }),
                );
            }
            // The request that owns the connection has the same deadline; it
            // cancels the statement and discards the connection itself. The
            // pool has already removed the request.
            Action::Cancel(_) => {}
            Action::Abort(ticket, cause) => {
                self.broken.borrow_mut().insert(ticket);
                self.resolve(
                    ticket,
                    Err(Refused {
                        cause,
                        retry_after: None,
                    }),
                );
            }
        }
    }

    fn resolve(&self, ticket: Ticket, result: Result<Handle, Refused>) {
        let waiter = self.waiters.borrow_mut().remove(&ticket);
        if let Some(waiter) = waiter {
            let _ = waiter.send(result);
        }
    }

    /// Forgets the pool's abort of a request that has ended.
    pub(super) fn forget(&self, ticket: Ticket) {
        self.broken.borrow_mut().remove(&ticket);
    }
}

async fn connect(connections: Rc<Connections>, generation: Generation) {
    let opening = Conn::open(connections.address, &connections.login, &connections.dbname);
    let limit = ntex::time::Millis::from(OPEN_TIMEOUT);
    let event = match ntex::time::timeout(limit, opening).await {
        Ok(Ok(conn)) => {
            let idle = Idle {
                conn,
                prepared: HashSet::new(),
                applied: Settings::new(),
                leaves: Leaves::Nothing,
                seen: None,
            };
            connections.idle.borrow_mut().insert(generation, idle);
            Event::Opened(generation)
        }
        Ok(Err(_)) | Err(()) => Event::Lost(generation),
    };
    connections.step(event);
}

/// Steps the pool when its next timer is due.
async fn tick(connections: std::rc::Weak<Connections>, clock: Clock) {
    /// Longest sleep while the pool has no timer.
    const QUIET: Duration = Duration::from_secs(1);
    loop {
        let Some(strong) = connections.upgrade() else {
            return;
        };
        let now = clock.now();
        let wake = strong.pool.borrow().wake(now);
        let pause = wake
            .map_or(QUIET, |at| at.since(now))
            .max(Duration::from_millis(1));
        tokio::select! {
            () = sleep(pause) => strong.step(Event::Tick),
            () = strong.stepped.notified() => {}
        }
    }
}
