//! Execution of a session's statements, and the state that they leave: values, prepared statements,
//! position and transaction.

use std::{collections::HashMap, rc::Rc};

use bytes::Bytes;
use clock::{Boot, Instant};
use lead::Commits;

use super::{
    place::{Location, count_session},
    trace::is_unusual,
};
use crate::{
    access,
    account::Caller,
    catalog::Route,
    connection::Values,
    edge::Edge,
    message::{Access, Code, Prepared, Query, State, Statement},
    node::Node,
    outcome::{Cause, Origin, Outcome},
    run::{self, Context},
    session_state::SessionState,
    shares,
    transaction::{self, Begun, Start, Transaction},
};

/// A caller's session.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) database: Bytes,
    pub(super) values: Values,
    pub(super) prepared: HashMap<Bytes, Prepared>,
    pub(super) commits: Commits,
    pub(super) transaction: Transaction,
    /// Ids of the transaction's statements so far, for the log.
    pub(super) ids: Vec<Bytes>,
    /// The instance that serves the session.
    pub(super) location: Location,
    /// The session's account.
    pub(super) account: Option<Rc<str>>,
    /// The caller whose key is checked before each statement. `None` if the route needs no key, and
    /// for a forwarded session, whose key the forwarding instance goes on checking.
    caller: Option<Caller>,
    /// True while the session has only read.
    pub(super) has_only_read: bool,
    /// True if the session ends once no transaction is open.
    ends_when_idle: bool,
}

/// Number of a transaction's ids that are kept for the log.
const MAX_IDS: usize = 16;

impl Session {
    /// Opens a session of `caller` on `database`, and forwards it if other instances hold the
    /// connections.
    pub(super) async fn open<E: Edge>(
        node: &Rc<Node<E>>,
        database: Bytes,
        caller: Option<Caller>,
    ) -> Self {
        let account = caller.as_ref().map(|caller| Rc::clone(&caller.account));
        let state = SessionState::new(database, account);
        let mut session = Self::new(state, Location::Local { _served: None });
        session.caller = caller;
        session.place(node).await;
        session
    }

    /// Creates a session that another instance forwards.
    pub(super) fn from_forwarded<E: Edge>(node: &Node<E>, state: SessionState) -> Self {
        let guard = count_session(node, &state.database);
        Self::new(state, Location::Forwarded { _served: guard })
    }

    fn new(state: SessionState, location: Location) -> Self {
        Self {
            database: state.database,
            values: state.values,
            prepared: state.prepared,
            commits: state.commits,
            transaction: Transaction::None,
            ids: Vec::new(),
            location,
            account: state.account,
            caller: None,
            has_only_read: true,
            ends_when_idle: false,
        }
    }

    /// Returns the session's transaction state as its caller knows it.
    pub(super) fn state(&self) -> State {
        match &self.location {
            Location::Remote(remote) => remote.state(),
            Location::Local { .. } | Location::Forwarded { .. } => self.transaction.state(),
        }
    }

    /// Returns true if the session has to end: it was told to, or the instance that served it is
    /// lost with its state.
    pub(super) fn is_over(&self) -> bool {
        if self.ends_when_idle && self.state() == State::Idle {
            return true;
        }
        !self.has_only_read
            && matches!(&self.location, Location::Remote(remote) if remote.is_over())
    }

    /// Rolls back the open transaction, if there is one.
    pub(super) fn abandon<E: Edge>(&mut self) {
        match std::mem::replace(&mut self.transaction, Transaction::None) {
            Transaction::Pinned(pinned) => transaction::roll_back::<E::Protocol>(pinned),
            Transaction::Begun(begun) => begun.roll_back::<E>(),
            Transaction::None | Transaction::Failed => {}
        }
    }

    /// Rolls back a transaction that exceeded its idle limit. The caller is told in the answer to
    /// its next statement, since the protocol has no unsolicited messages.
    pub(super) fn expire_transaction<E: Edge>(&mut self) {
        self.abandon::<E>();
        self.transaction = Transaction::Failed;
    }

    pub(super) async fn answer<E: Edge>(&mut self, node: &Rc<Node<E>>, query: &Query) -> Outcome {
        let at = Boot.now();
        if self.state() == State::Idle {
            self.ids.clear();
        }
        if self.ids.len() < MAX_IDS {
            self.ids.push(query.id.clone());
        }
        // The instance that forwards a session goes on checking its caller's key.
        let is_own = !matches!(self.location, Location::Forwarded { .. });
        if is_own
            && let Err(refused) = access::authorise(node, &self.database, self.caller.as_ref(), at)
        {
            return self.refuse(node, query, refused, at);
        }
        let counted = match &self.caller {
            Some(caller) if self.state() == State::Idle && query.statement.is_operation() => {
                Some(Rc::clone(&caller.account))
            }
            _ => None,
        };
        let mut charge = None;
        if let Some(account) = &counted {
            let route = node.route(&self.database);
            charge = match shares::charge(node, account, route.as_deref()).await {
                Ok(charge) => charge,
                Err(cause) => return self.refuse(node, query, (Code::Busy, cause), at),
            };
        }
        let outcome = self.serve(node, query, at).await;
        if let (Some(account), Some(charge), Some((code, _))) = (&counted, charge, outcome.failure)
            && run::is_not_run(code)
        {
            node.shares.refund(account, charge);
        }
        outcome
    }

    /// Runs an admitted statement, here or at another instance.
    async fn serve<E: Edge>(&mut self, node: &Rc<Node<E>>, query: &Query, at: Instant) -> Outcome {
        self.migrate_if_due(node).await;
        let only_reads = query.statement == Statement::Read;
        if matches!(self.location, Location::Remote(_)) {
            let outcome = self.forward(node, query, at).await;
            self.has_only_read &= only_reads;
            return outcome;
        }
        self.has_only_read &= only_reads;
        let outcome = self.dispatch(node, query, at).await;
        let route = node.route(&self.database);
        let duration = Boot.now().since(at);
        node.metrics
            .observe_statement(route.as_deref(), &outcome, duration);
        let is_late = |route: &Rc<Route>| duration > route.latency_target;
        if outcome.failure.is_some()
            || route.as_ref().is_some_and(is_late)
            || route
                .as_ref()
                .is_some_and(|route| is_unusual(node, route, &outcome))
        {
            self.log_statement(node, query, route.as_deref(), &outcome, duration);
        }
        outcome
    }

    /// Refuses a statement for want of authorisation or quota, and rolls back an open transaction
    /// wherever it runs.
    fn refuse<E: Edge>(
        &mut self,
        node: &Node<E>,
        query: &Query,
        (code, cause): (Code, Cause),
        at: Instant,
    ) -> Outcome {
        let outcome = match self.state() {
            State::Idle => {
                self.ends_when_idle |= code == Code::NoAccount;
                Outcome::refusal::<E::Protocol>(code, cause, State::Idle)
            }
            State::Open | State::Failed => {
                self.abandon::<E>();
                // State at another instance is lost with this connection.
                self.ends_when_idle |=
                    code == Code::NoAccount || matches!(self.location, Location::Remote(_));
                self.location = Location::Local { _served: None };
                match query.statement {
                    Statement::Rollback => Outcome::done::<E::Protocol>(State::Idle),
                    Statement::Commit => {
                        Outcome::refusal::<E::Protocol>(Code::Aborted, cause, State::Idle)
                    }
                    _ => {
                        self.transaction = Transaction::Failed;
                        Outcome::refusal::<E::Protocol>(Code::Aborted, cause, State::Failed)
                    }
                }
            }
        };
        let route = node.route(&self.database);
        let duration = Boot.now().since(at);
        node.metrics
            .observe_statement(route.as_deref(), &outcome, duration);
        self.log_statement(node, query, route.as_deref(), &outcome, duration);
        outcome
    }

    pub(super) async fn dispatch<E: Edge>(
        &mut self,
        node: &Rc<Node<E>>,
        query: &Query,
        at: Instant,
    ) -> Outcome {
        let state = self.transaction.state();
        if state == State::Failed {
            return self.failed::<E>(query);
        }
        match &query.statement {
            Statement::Begin(access) => self.begin(node, query, *access, at),
            Statement::Commit => self.commit(node, query, at).await,
            Statement::Rollback => self.rollback::<E>(),
            Statement::Read => self.run(node, query, None, Access::Read, at).await,
            Statement::Write => self.run(node, query, None, Access::Write, at).await,
            Statement::Set(name, value) => {
                // `BEGIN` is sent with the values of before, and must not run once this one is
                // acknowledged.
                if let Transaction::Begun(begun) = &mut self.transaction {
                    begun.settled().await;
                }
                self.values.insert(name.clone(), value.clone());
                Outcome::done::<E::Protocol>(state)
            }
            Statement::Prepare(name, statement) => {
                self.prepared.insert(name.clone(), statement.clone());
                Outcome::done::<E::Protocol>(state)
            }
            Statement::Deallocate(name) => match self.prepared.remove(name) {
                Some(_) => Outcome::done::<E::Protocol>(state),
                None => unknown::<E>(state),
            },
            Statement::Execute(name, rest) => match self.prepared.get(name).cloned() {
                Some(statement) => {
                    let access = statement.access;
                    let prepared = Some((&statement, &**rest));
                    self.run(node, query, prepared, access, at).await
                }
                None => unknown::<E>(state),
            },
            Statement::Malformed => malformed::<E>(state),
        }
    }

    /// Handles a statement in a failed transaction: only the end of the transaction is allowed.
    fn failed<E: Edge>(&mut self, query: &Query) -> Outcome {
        match query.statement {
            Statement::Rollback => self.rollback::<E>(),
            Statement::Commit => {
                self.transaction = Transaction::None;
                Outcome::refusal::<E::Protocol>(Code::Aborted, Cause::Undone, State::Idle)
            }
            _ => malformed::<E>(State::Failed),
        }
    }

    fn begin<E: Edge>(
        &mut self,
        node: &Rc<Node<E>>,
        query: &Query,
        access: Access,
        arrived_at: Instant,
    ) -> Outcome {
        if self.transaction.state() != State::Idle {
            return malformed::<E>(self.transaction.state());
        }
        let Some(route) = node.route(&self.database) else {
            return no_database::<E>();
        };
        let last_commit = self.commits.on(&route.service);
        let start = Start {
            query: query.clone(),
            access,
            route,
            account: self.account.clone(),
            values: self.values.clone(),
            last_commit,
            arrived_at,
        };
        self.transaction = Transaction::Begun(Begun::spawn(node, start));
        Outcome::done::<E::Protocol>(State::Open)
    }

    fn rollback<E: Edge>(&mut self) -> Outcome {
        self.abandon::<E>();
        Outcome::done::<E::Protocol>(State::Idle)
    }

    async fn commit<E: Edge>(&mut self, node: &Rc<Node<E>>, query: &Query, at: Instant) -> Outcome {
        if self.transaction.state() == State::Idle {
            return malformed::<E>(State::Idle);
        }
        let transaction = std::mem::replace(&mut self.transaction, Transaction::None);
        let values = self.values.clone();
        let (pinned, route) = match transaction {
            Transaction::Pinned(pinned) => {
                let route = Rc::clone(&pinned.route);
                (pinned, route)
            }
            Transaction::Begun(begun) => {
                let route = Rc::clone(&begun.route);
                match begun.pinned::<E>().await {
                    Ok(pinned) => (pinned, route),
                    Err(refusal) => {
                        let cause = refusal.failure.map_or(Cause::Undone, |(_, cause)| cause);
                        return Outcome::refusal::<E::Protocol>(Code::Aborted, cause, State::Idle);
                    }
                }
            }
            Transaction::None | Transaction::Failed => return malformed::<E>(State::Idle),
        };
        let account = self.account.clone();
        let context = self.context(&route, query, None, (&values, account.as_ref()), at);
        let (outcome, transaction) = transaction::commit(node, pinned, &context).await;
        self.transaction = transaction;
        self.update_position(&route, &outcome, Access::Write);
        outcome
    }

    async fn run<E: Edge>(
        &mut self,
        node: &Rc<Node<E>>,
        query: &Query,
        prepared: Option<(&Prepared, &[u8])>,
        access: Access,
        at: Instant,
    ) -> Outcome {
        let values = self.values.clone();
        let transaction = std::mem::replace(&mut self.transaction, Transaction::None);
        let pinned = match transaction {
            Transaction::None => return self.run_single(node, query, prepared, access, at).await,
            Transaction::Failed => return malformed::<E>(State::Failed),
            Transaction::Pinned(pinned) => pinned,
            Transaction::Begun(begun) => match begun.pinned::<E>().await {
                Ok(pinned) => pinned,
                Err(refusal) => {
                    self.transaction = Transaction::Failed;
                    return refusal;
                }
            },
        };
        let route = Rc::clone(&pinned.route);
        let account = self.account.clone();
        let context = self.context(&route, query, prepared, (&values, account.as_ref()), at);
        let (outcome, transaction) =
            transaction::run_statement(node, pinned, &context, access).await;
        self.transaction = transaction;
        outcome
    }

    async fn run_single<E: Edge>(
        &mut self,
        node: &Rc<Node<E>>,
        query: &Query,
        prepared: Option<(&Prepared, &[u8])>,
        access: Access,
        at: Instant,
    ) -> Outcome {
        let Some(route) = node.route(&self.database) else {
            return no_database::<E>();
        };
        let group = node.group_of(&route.service);
        let values = self.values.clone();
        let account = self.account.clone();
        let context = self.context(&route, query, prepared, (&values, account.as_ref()), at);
        let outcome = match access {
            Access::Read => run::read(node, &group, &context).await,
            Access::Write => run::write(node, &group, &context).await,
        };
        self.update_position(&route, &outcome, access);
        outcome
    }

    fn context<'a>(
        &self,
        route: &'a Route,
        query: &'a Query,
        prepared: Option<(&'a Prepared, &'a [u8])>,
        (values, account): (&'a Values, Option<&'a Rc<str>>),
        arrived_at: Instant,
    ) -> Context<'a> {
        Context {
            route,
            query,
            prepared,
            account,
            values,
            last_commit: self.commits.on(&route.service),
            arrived_at,
        }
    }

    /// Updates the position that the session must see from now on.
    fn update_position(&mut self, route: &Route, outcome: &Outcome, access: Access) {
        if outcome.failure.is_some() {
            return;
        }
        let is_on_primary = |origin: &Origin| origin.floor.is_none();
        match (access, outcome.position) {
            (Access::Write, position) => self.commits.committed(&route.service, position),
            (Access::Read, Some(position))
                if outcome.origin.as_ref().is_some_and(is_on_primary) =>
            {
                self.commits.read(&route.service, position);
            }
            (Access::Read, _) => {}
        }
    }
}

pub(super) fn malformed<E: Edge>(state: State) -> Outcome {
    Outcome::refusal::<E::Protocol>(Code::Malformed, Cause::Malformed, state)
}

fn unknown<E: Edge>(state: State) -> Outcome {
    Outcome::refusal::<E::Protocol>(Code::NoStatement, Cause::NoStatement, state)
}

fn no_database<E: Edge>() -> Outcome {
    Outcome::refusal::<E::Protocol>(Code::NoDatabase, Cause::NoRoute, State::Idle)
}
