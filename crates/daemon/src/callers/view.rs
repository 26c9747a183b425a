//! State of the callers for operators.

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use clock::Instant;
use model::Position;
use view::Phase;

use super::Shared;
use crate::{
    introspect::{self, Requests, millis},
    job::{Caller, Scope},
};

/// Maximum number of callers that are shown.
const MAX_SHOWN: usize = 100;

/// Activity of a caller's session.
#[derive(Debug)]
pub(super) struct Activity {
    scope: RefCell<Arc<Scope>>,
    user: String,
    client: SocketAddr,
    began: Instant,
    phase: Cell<Phase>,
    since: Cell<Instant>,
    transaction: Cell<Option<Instant>>,
    token: Cell<Option<Position>>,
}

impl Activity {
    /// Activity of a session that starts at `now`.
    pub(super) fn open(now: Instant, scope: &Arc<Scope>, user: &str, client: SocketAddr) -> Self {
        Self {
            scope: RefCell::new(Arc::clone(scope)),
            user: user.to_owned(),
            client,
            began: now,
            phase: Cell::new(Phase::Idle),
            since: Cell::new(now),
            transaction: Cell::default(),
            token: Cell::default(),
        }
    }

    /// Notes that a request began.
    pub(super) fn begin(&self, now: Instant, scope: &Arc<Scope>) {
        if !Arc::ptr_eq(&self.scope.borrow(), scope) {
            *self.scope.borrow_mut() = Arc::clone(scope);
        }
        self.set(now, Phase::Running);
    }

    /// Notes that a request ended with this transaction state, as in
    /// `ReadyForQuery`.
    pub(super) fn end(&self, now: Instant, status: u8, token: Option<Position>) {
        let transaction = self.transaction.get();
        if status == b'I' {
            self.transaction.set(None);
            self.set(now, Phase::Idle);
        } else {
            self.transaction.set(transaction.or(Some(self.since.get())));
            self.set(now, Phase::InTransaction);
        }
        self.token.set(token);
    }

    fn set(&self, now: Instant, phase: Phase) {
        self.phase.set(phase);
        self.since.set(now);
    }

    fn view(&self, now: Instant) -> view::Session {
        let scope = self.scope.borrow();
        let ago = |then: Instant| millis(now.since(then));
        view::Session {
            tenant: Some(scope.tenant.clone()),
            entry: scope.entry.clone(),
            user: self.user.clone(),
            client: self.client,
            connected_ms: Some(ago(self.began)),
            transaction_ms: self.transaction.get().map(ago),
            phase: self.phase.get(),
            phase_ms: ago(self.since.get()),
            token: self.token.get(),
        }
    }
}

/// Answers the operators' port until the daemon stops.
pub(super) async fn serve(shared: Rc<Shared>, mut inquiries: Requests<introspect::Callers>) {
    while let Some(answer) = inquiries.recv().await {
        let _ = answer.send(callers(&shared));
    }
}

/// Counts all callers and shows those that have worked the longest: first the
/// ones with a request or a transaction, then the idle ones.
fn callers(shared: &Shared) -> introspect::Callers {
    let now = shared.clock.now();
    let callers = shared.callers.borrow();
    let mut activities: Vec<(Caller, &Activity)> = callers
        .iter()
        .map(|(id, it)| (*id, &*it.activity))
        .collect();
    let rank = |activity: &Activity| {
        let idle = activity.phase.get() == Phase::Idle;
        let since = activity.transaction.get().unwrap_or(activity.since.get());
        (Reverse(!idle), since)
    };
    if activities.len() > MAX_SHOWN {
        activities.select_nth_unstable_by_key(MAX_SHOWN - 1, |(_, activity)| rank(activity));
        activities.truncate(MAX_SHOWN);
    }
    activities.sort_by_key(|(_, activity)| rank(activity));
    let shown = activities
        .iter()
        .map(|(id, activity)| (*id, activity.view(now)));
    introspect::Callers {
        total: callers.len() as u64,
        sessions: shown.collect(),
    }
}
