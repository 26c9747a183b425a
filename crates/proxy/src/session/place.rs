//! The instance that serves a session: this one, or one that holds the connections.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use clock::{Boot, Instant};

use super::statement::{Session, malformed};
use crate::{
    edge::Edge,
    group::SessionGuard,
    message::{Code, Query, State, Statement},
    node::Node,
    outcome::{Cause, Outcome},
    remote::Remote,
    session_state::SessionState,
    transaction::Transaction,
};

/// Time limit of a statement whose route is gone.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// The instance that serves a session.
#[derive(Debug)]
pub(super) enum Location {
    /// This instance; the session may migrate to another one.
    Local { _served: Option<SessionGuard> },
    /// This instance, for a caller of another one. A session is forwarded only once, so it stays.
    Forwarded { _served: Option<SessionGuard> },
    /// Another instance.
    Remote(Remote),
}

/// Counts a session on `database` that is served here.
pub(super) fn count_session<E: Edge>(node: &Node<E>, database: &Bytes) -> Option<SessionGuard> {
    let route = node.route(database)?;
    Some(SessionGuard::new(node.group_of(&route.service)))
}

impl Session {
    /// Returns the state that another instance needs to serve the session.
    fn forwarded_state(&self) -> SessionState {
        SessionState {
            database: self.database.clone(),
            account: self.account.clone(),
            values: self.values.clone(),
            prepared: self.prepared.clone(),
            commits: self.commits.clone(),
        }
    }

    /// Forwards the session to a holder of its connections, or serves it here.
    pub(super) async fn place<E: Edge>(&mut self, node: &Rc<Node<E>>) {
        let remote = match node.route(&self.database) {
            Some(route) => Remote::open(node, &route, &self.forwarded_state()).await,
            None => None,
        };
        self.location = match remote {
            Some(remote) => Location::Remote(remote),
            None => Location::Local {
                _served: count_session(node, &self.database),
            },
        };
    }

    /// Migrates the session if other instances have held its connections for a while.
    ///
    /// An instance that serves a caller which came before it had heard the others would remain an
    /// additional client of the upstreams for as long as that caller stays. After a loss of power
    /// of 91 instances that happened 344 times, and 290 of them lasted to the end of the day.
    pub(super) async fn migrate_if_due<E: Edge>(&mut self, node: &Rc<Node<E>>) {
        let stays = !matches!(self.location, Location::Local { .. });
        if stays || !matches!(self.transaction, Transaction::None) {
            return;
        }
        let Some(route) = node.route(&self.database) else {
            return;
        };
        let group = node.group_of(&route.service);
        if !group.is_migration_due(Boot.now()) {
            return;
        }
        self.place(node).await;
        if !matches!(self.location, Location::Remote(_)) {
            group.held_elsewhere_since.set(Some(Boot.now()));
        }
    }

    /// Waits until the instance that serves the session closes it.
    pub(super) async fn holder_lost(&self) {
        match &self.location {
            Location::Remote(remote) => remote.closed().await,
            Location::Local { .. } | Location::Forwarded { .. } => std::future::pending().await,
        }
    }

    /// Records that the instance that served the session closed it.
    pub(super) fn mark_lost(&mut self) {
        if let Location::Remote(remote) = &mut self.location {
            remote.mark_lost();
        }
    }

    /// Forwards a statement to the instance that serves the session.
    ///
    /// That instance also logs and counts its refusals.
    pub(super) async fn forward<E: Edge>(
        &mut self,
        node: &Rc<Node<E>>,
        query: &Query,
        at: Instant,
    ) -> Outcome {
        let prepared = match &query.statement {
            Statement::Prepare(name, statement) => {
                self.prepared.insert(name.clone(), statement.clone());
                None
            }
            Statement::Execute(name, _) => self.prepared.get(name),
            _ => None,
        };
        let route = node.route(&self.database);
        let within = route
            .as_ref()
            .map_or(DEFAULT_TIMEOUT, |route| route.timeout);
        let Location::Remote(remote) = &mut self.location else {
            return malformed::<E>(State::Idle);
        };
        let mut outcome = remote.answer(node, query, prepared, within).await;
        let not_run = matches!(outcome.failure, Some((Code::Busy, Cause::Holder)));
        if not_run && self.has_only_read {
            // No state of the session was lost with its holder, and the statement only reads.
            self.place(node).await;
            outcome = match &mut self.location {
                Location::Remote(remote) => remote.answer(node, query, None, within).await,
                Location::Local { .. } | Location::Forwarded { .. } => {
                    self.dispatch(node, query, at).await
                }
            };
        }
        if matches!(outcome.failure, Some((_, Cause::Holder))) {
            let duration = Boot.now().since(at);
            node.metrics
                .observe_statement(route.as_deref(), &outcome, duration);
            self.log_statement(node, query, route.as_deref(), &outcome, duration);
        }
        outcome
    }
}
