//! Transactions: each uses one upstream connection from its first statement to its end.

use std::{pin::Pin, rc::Rc, time::Duration};

use clock::{Boot, Instant};
use futures_util::future::{MaybeDone, maybe_done};
use model::Position;
use tokio::{
    task::{JoinHandle, spawn_local},
    time::timeout,
};

use crate::{
    catalog::Route,
    connection::{Connection, Values},
    edge::{Edge, Protocol},
    group::Group,
    message::{Access, Code, Command, Query, Reply, State},
    node::{Node, Proved},
    outcome::{Cause, Origin, Outcome},
    pool::{self, Unavailable},
    probe,
    refusal::{self, Refusal},
    routing::{self, Target},
    run::{self, Context, NoAnswer, SilencePolicy},
};

/// Time limit of a rollback, after which the connection is closed instead.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// A session's transaction.
#[derive(Debug)]
pub enum Transaction {
    /// No transaction is open.
    None,
    /// The transaction has begun; its connection is being acquired.
    Begun(Begun),
    /// The transaction runs on a connection of its own.
    Pinned(Pinned),
    /// The transaction failed and was rolled back; its caller has not ended it yet.
    Failed,
}

/// The parameters of a transaction that begins.
#[derive(Debug)]
pub struct Start {
    /// The statement that began the transaction.
    pub query: Query,
    /// Access mode of the transaction.
    pub access: Access,
    /// The transaction's route, kept if the catalogue changes meanwhile.
    pub route: Rc<Route>,
    /// The session's account.
    pub account: Option<Rc<str>>,
    /// The session's values at the beginning.
    pub values: Values,
    /// The position of the session's last commit.
    pub last_commit: Option<Position>,
    /// Arrival time of the first byte.
    pub arrived_at: Instant,
}

/// A transaction whose connection is being acquired.
///
/// The caller was told at once that the transaction has begun, and sends its first statement a
/// round trip later at the earliest; the connection is usually ready by then.
#[derive(Debug)]
pub struct Begun {
    /// The transaction's route.
    pub route: Rc<Route>,
    pinned: MaybeDone<JoinHandle<Result<Pinned, Outcome>>>,
}

impl Begun {
    /// Starts acquiring a connection.
    pub fn spawn<E: Edge>(node: &Rc<Node<E>>, start: Start) -> Self {
        let node = Rc::clone(node);
        let route = Rc::clone(&start.route);
        let beginning = spawn_local(async move { begin_on_upstream(&node, &start).await });
        Self {
            route,
            pinned: maybe_done(beginning),
        }
    }

    /// Waits until the upstream has begun the transaction, or it is certain that none will.
    pub async fn settled(&mut self) {
        (&mut self.pinned).await;
    }

    /// Waits for the transaction on its connection.
    ///
    /// # Errors
    ///
    /// The refusal, if no upstream may run the transaction now or none had capacity. Nothing was
    /// run.
    pub async fn pinned<E: Edge>(mut self) -> Result<Pinned, Outcome> {
        self.settled().await;
        let unknown = || refusal::<E>((Code::Busy, Cause::NoConnection));
        self.take_result().unwrap_or_else(|| Err(unknown()))
    }

    fn take_result(&mut self) -> Option<Result<Pinned, Outcome>> {
        Pin::new(&mut self.pinned).take_output()?.ok()
    }

    /// Rolls back the transaction, which its caller no longer needs.
    pub fn roll_back<E: Edge>(mut self) {
        spawn_local(async move {
            self.settled().await;
            if let Some(Ok(pinned)) = self.take_result() {
                roll_back::<E::Protocol>(pinned);
            }
        });
    }
}

/// A transaction on its connection.
#[derive(Debug)]
pub struct Pinned {
    connection: Box<Connection>,
    pin: pool::TransactionGuard,
    group: Rc<Group>,
    /// The transaction's route.
    pub route: Rc<Route>,
    origin: Origin,
    wrote: bool,
}

impl Pinned {
    /// Sets the transaction's connection to the session's values.
    ///
    /// # Errors
    ///
    /// The upstream doesn't have the values; the connection can't be used any more.
    async fn apply_values<E: Edge>(
        &mut self,
        node: &Rc<Node<E>>,
        context: &Context<'_>,
    ) -> Result<(), NoAnswer> {
        let time_left = run::remaining(self.route.timeout, context.arrived_at);
        let connection = &mut self.connection;
        let applied = run::apply_values(node, &self.group, connection, context, time_left).await;
        if applied.is_err() {
            probe::suspect(node, &self.group, self.connection.member());
        }
        applied
    }

    /// Sends a statement on the transaction's connection.
    ///
    /// # Errors
    ///
    /// No answer came; the connection can't be used any more.
    async fn send<E: Edge>(
        &mut self,
        node: &Rc<Node<E>>,
        context: &Context<'_>,
        policy: SilencePolicy,
    ) -> Result<Reply, NoAnswer> {
        let time_left = run::remaining(self.route.timeout, context.arrived_at);
        let member = Rc::clone(self.connection.member());
        let running = run::RunningGuard::in_transaction(&member, context.class());
        let within = (time_left, policy);
        let reply = run::send(
            node,
            &self.group,
            &mut self.connection,
            context,
            None,
            within,
        )
        .await;
        drop(running);
        pool::resume::<E::Protocol>(&member);
        if reply.is_err() {
            probe::suspect(node, &self.group, &member);
        }
        reply
    }
}

impl Transaction {
    /// Returns the transaction state as the caller knows it.
    pub fn state(&self) -> State {
        match self {
            Self::None => State::Idle,
            Self::Begun(_) | Self::Pinned(_) => State::Open,
            Self::Failed => State::Failed,
        }
    }
}

/// Rolls back a transaction in the background.
///
/// The connection is used again once the upstream has confirmed the rollback. Otherwise it is
/// closed, which rolls back the transaction as well.
pub fn roll_back<P: Protocol>(pinned: Pinned) {
    let Pinned {
        mut connection,
        pin,
        ..
    } = pinned;
    spawn_local(async move {
        let _pin = pin;
        match timeout(
            ROLLBACK_TIMEOUT,
            connection.request::<P>(&Command::Rollback),
        )
        .await
        {
            Ok(Ok(reply)) if reply.state == State::Idle => pool::release::<P>(*connection),
            _ => pool::discard::<P>(*connection),
        }
    });
}

/// Acquires the connection of a transaction and begins it there.
async fn begin_on_upstream<E: Edge>(node: &Rc<Node<E>>, begun: &Start) -> Result<Pinned, Outcome> {
    let group = node.group_of(&begun.route.service);
    let begin = Context {
        route: &begun.route,
        query: &begun.query,
        prepared: None,
        account: begun.account.as_ref(),
        values: &begun.values,
        last_commit: begun.last_commit,
        arrived_at: begun.arrived_at,
    };
    let started = Boot.now();
    let limit = node.settings.hold.min(begun.route.timeout);
    let mut tried: Vec<Rc<str>> = Vec::new();
    let mut last = (Code::Busy, Cause::NoProof);
    loop {
        let wait_limit = run::remaining(limit, started);
        if wait_limit.is_zero() {
            return Err(refusal::<E>(last));
        }
        let target = match routing::needs_primary(&begun.route, begun.access) {
            true => match node.proved(&group, begun.arrived_at, wait_limit).await {
                Proved::Primary(member) => Some(Target {
                    member,
                    floor: None,
                    is_primary: true,
                }),
                Proved::NoPrimary => None,
            },
            false => routing::choose_target(node, &group, &begin, &tried, wait_limit).await,
        };
        let Some(target) = target else {
            return Err(refusal::<E>(last));
        };
        let connected = run::connect::<E>(node, &target.member, &begin, wait_limit).await;
        let mut connection = match connected {
            Ok(connection) => connection,
            Err(Unavailable::Refused(_)) => {
                last = (Code::Busy, Cause::NoConnection);
                probe::monitor(node, &group, &target.member);
                tried.push(Rc::clone(&target.member.upstream.id));
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            Err(Unavailable::Overload(retry_after)) => {
                last = (Code::Busy, Cause::overload(retry_after));
                let id = &target.member.upstream.id;
                let is_last = tried.len() + 1 >= group.members().len();
                if target.floor.is_none() || is_last || tried.contains(id) {
                    return Err(refusal::<E>(last));
                }
                tried.push(Rc::clone(id));
                continue;
            }
        };
        let sent = Boot.now();
        let reply = run::send(
            node,
            &group,
            &mut connection,
            &begin,
            target.floor,
            (wait_limit, SilencePolicy::UntilFailing),
        )
        .await;
        let Ok(reply) = reply else {
            last = (Code::Busy, Cause::Broken);
            pool::discard::<E::Protocol>(connection);
            probe::suspect(node, &group, &target.member);
            tried.push(Rc::clone(&target.member.upstream.id));
            continue;
        };
        run::record_answer(node, &group, &begun.route, &target, (sent, &reply));
        if reply.verdict.is_ok() && reply.state == State::Open {
            return Ok(Pinned {
                connection: Box::new(connection),
                pin: pool::TransactionGuard::new::<E::Protocol>(&target.member),
                group,
                route: Rc::clone(&begun.route),
                origin: target.origin(),
                wrote: false,
            });
        }
        if let Err(failure) = &reply.verdict {
            last = (failure.code, Cause::Upstream);
        }
        pool::release::<E::Protocol>(connection);
        if routing::is_retried(node, &target, &reply) {
            continue;
        }
        tried.push(Rc::clone(&target.member.upstream.id));
        if tried.len() >= group.members().len() {
            tried.clear();
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Creates the refusal of a transaction that never had a connection.
fn refusal<E: Edge>((code, cause): (Code, Cause)) -> Outcome {
    let code = match run::is_not_run(code) && code != Code::NoStatement {
        true => code,
        false => Code::Busy,
    };
    Outcome::refusal::<E::Protocol>(code, cause, State::Failed)
}

/// Runs a read or write in a transaction, and returns its outcome with the transaction's next
/// state.
pub async fn run_statement<E: Edge>(
    node: &Rc<Node<E>>,
    mut pinned: Pinned,
    context: &Context<'_>,
    access: Access,
) -> (Outcome, Transaction) {
    loop {
        if let Err(lost) = pinned.apply_values(node, context).await {
            let outcome = aborted::<E>(pinned, lost.into(), State::Failed);
            return (outcome, Transaction::Failed);
        }
        pinned.wrote |= access == Access::Write;
        let reply = match pinned
            .send(node, context, SilencePolicy::UntilFailing)
            .await
        {
            Ok(reply) => reply,
            Err(lost) => {
                let outcome = aborted::<E>(pinned, lost.into(), State::Failed);
                return (outcome, Transaction::Failed);
            }
        };
        let code = reply.verdict.as_ref().err().map(|failure| failure.code);
        if code == Some(Code::NoStatement) {
            pinned.connection.clear_prepared();
        }
        if code == Some(Code::Busy) {
            refusal::record(pinned.connection.member(), Refusal::Statement, Boot.now());
        }
        let again = matches!(code, Some(Code::Busy | Code::NoStatement));
        if again
            && reply.state == State::Open
            && !run::remaining(pinned.route.timeout, context.arrived_at).is_zero()
        {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        if code == Some(Code::ReadOnly) {
            run::record_read_only(node, &pinned.group, pinned.connection.member());
        }
        let outcome = Outcome {
            origin: Some(pinned.origin.clone()),
            ..Outcome::from_reply(reply)
        };
        return match outcome.state {
            State::Open => (outcome, Transaction::Pinned(pinned)),
            State::Failed => {
                roll_back::<E::Protocol>(pinned);
                (outcome, Transaction::Failed)
            }
            State::Idle => {
                pool::release::<E::Protocol>(*pinned.connection);
                (outcome, Transaction::None)
            }
        };
    }
}

/// Closes a transaction's connection, which rolls the transaction back.
fn aborted<E: Edge>(pinned: Pinned, cause: Cause, state: State) -> Outcome {
    pool::discard::<E::Protocol>(*pinned.connection);
    Outcome::refusal::<E::Protocol>(Code::Aborted, cause, state)
}

/// Commits a transaction.
pub async fn commit<E: Edge>(
    node: &Rc<Node<E>>,
    mut pinned: Pinned,
    context: &Context<'_>,
) -> (Outcome, Transaction) {
    let member = Rc::clone(pinned.connection.member());
    if let Err(lost) = pinned.apply_values(node, context).await {
        let outcome = aborted::<E>(pinned, lost.into(), State::Idle);
        return (outcome, Transaction::None);
    }
    if pinned.wrote {
        // A replaced primary must not be asked to commit: no other log would contain that commit.
        let time_left = run::remaining(pinned.route.timeout, context.arrived_at);
        let lead = node.proved(&pinned.group, Boot.now(), time_left.min(node.settings.hold));
        match lead.await {
            Proved::Primary(lead) if Rc::ptr_eq(&lead, &member) => {}
            _ => {
                let outcome = aborted::<E>(pinned, Cause::Replaced, State::Idle);
                return (outcome, Transaction::None);
            }
        }
    }
    loop {
        let reply = match pinned
            .send(node, context, SilencePolicy::UntilTimeout)
            .await
        {
            Ok(reply) => reply,
            Err(lost) => {
                let wrote = pinned.wrote;
                let undone = aborted::<E>(pinned, lost.into(), State::Idle);
                let outcome = match wrote {
                    true => run::in_doubt::<E>(lost.into()),
                    false => undone,
                };
                return (outcome, Transaction::None);
            }
        };
        let busy = matches!(&reply.verdict, Err(f) if f.code == Code::Busy);
        if busy
            && reply.state == State::Open
            && !run::remaining(pinned.route.timeout, context.arrived_at).is_zero()
        {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        if reply.state == State::Idle {
            pool::release::<E::Protocol>(*pinned.connection);
        } else {
            roll_back::<E::Protocol>(Pinned {
                wrote: false,
                ..pinned
            });
            let code = match &reply.verdict {
                Err(failure) if run::is_not_run(failure.code) => Code::Aborted,
                Err(failure) => failure.code,
                Ok(()) => Code::InDoubt,
            };
            let outcome = Outcome::refusal::<E::Protocol>(code, Cause::Upstream, State::Idle);
            return (outcome, Transaction::None);
        }
        let group = Rc::clone(&pinned.group);
        let outcome = match (&reply.verdict, pinned.wrote) {
            (Ok(()), true) => run::acknowledged(node, &group, &member, reply, context).await,
            _ => Outcome::from_reply(reply),
        };
        return (outcome, Transaction::None);
    }
}
