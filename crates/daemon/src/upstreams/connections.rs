//! The connections to one upstream: [`pool::Pool`] decides, this carries out.

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

use super::connection::{Connection, Fate};
use crate::job::{Leaves, Settings};

/// How long a login at an upstream may take.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an upstream takes to see that a connection was closed.
const CLOSE_DELAY: Duration = Duration::from_millis(5);

/// A refusal by the pool: the request did not run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refused {
    /// Why.
    pub(super) cause: Cause,
    /// When asking again has a chance.
    pub(super) retry_after: Option<Duration>,
}

/// A connection that no request has.
struct Idle {
    conn: Conn,
    prepared: HashSet<u128>,
    applied: Settings,
    leaves: Leaves,
    seen: Option<(Instant, model::Report)>,
}

type Waiter = oneshot::Sender<Result<Handle, Refused>>;

/// The connections to one upstream that this instance holds.
pub(super) struct Connections {
    clock: Clock,
    address: SocketAddr,
    login: Login,
    dbname: String,
    pub(super) pool: RefCell<Pool>,
    idle: RefCell<HashMap<Generation, Idle>>,
    waiters: RefCell<HashMap<Ticket, Waiter>>,
    /// Transactions whose connection the pool has taken away.
    broken: RefCell<HashSet<Ticket>>,
    stepped: Notify,
}

impl Connections {
    /// Opens the warm connections and keeps to the pool's limits.
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

    /// Changes the limits.
    pub(super) fn set_conf(self: &Rc<Self>, conf: pool::Conf) {
        self.step(Event::Conf(conf));
    }

    /// Tells whether the upstream gets new work.
    pub(super) fn set_service(self: &Rc<Self>, service: Status) {
        self.step(Event::Status(service));
    }

    /// What the upstream has to do for this instance.
    pub(super) fn load(&self) -> route::Load {
        let pool = self.pool.borrow();
        let count = |it: usize| u32::try_from(it).unwrap_or(u32::MAX);
        route::Load {
            in_flight: count(pool.running()),
            queued: count(pool.waiting()),
        }
    }

    /// Waits for a connection.
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
            fate: Fate::Reuse,
            seen: idle.seen,
            home: Rc::clone(self),
            ticket,
            handle,
        })
    }

    /// Lets a transaction send its next statement on the connection it has.
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

    /// Takes a connection back from a request whose answer was read whole.
    pub(super) fn release(self: &Rc<Self>, connection: Connection) {
        if connection.fate == Fate::Close {
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

    /// Notes that the transaction on a connection goes on.
    pub(super) fn hold(self: &Rc<Self>, connection: &Connection) {
        self.step(Event::Answered(connection.handle, Condition::Transaction));
    }

    /// Closes a connection that is not fit for another request.
    ///
    /// One with an unread answer would give it to the next request; one with
    /// an open transaction would mix the two callers' statements.
    pub(super) fn discard(self: &Rc<Self>, connection: Connection) {
        let handle = connection.handle;
        drop(connection);
        self.step(Event::Answered(handle, Condition::Unusable));
        self.notify_closed(handle.generation);
    }

    /// Tells the pool that a connection is closed, once the upstream has had
    /// the time to see it: opened at once, the next one would come on top.
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
        let gone = Refused {
            cause: Cause::NoUpstream,
            retry_after: None,
        };
        waiting.await.unwrap_or(Err(gone))
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
            // The request that owns the connection has the same deadline and
            // cancels and discards it itself; the pool has closed its books.
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

    /// Forgets what the pool told of a request that has ended.
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

/// Steps the pool whenever the moment comes that it waits for.
async fn tick(connections: std::rc::Weak<Connections>, clock: Clock) {
    /// How long to sleep when the pool waits for nothing.
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
