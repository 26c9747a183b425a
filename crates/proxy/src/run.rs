//! Execution of statements on upstreams.

mod connect;
mod running;
mod write;

use std::{pin::pin, rc::Rc, time::Duration};

use admit::service::{Class, Kind};
use clock::{Boot, Instant};
use model::Position;
use tokio::time::timeout;

use crate::{
    catalog::Route,
    connection::{Broken, Connection, Values},
    edge::Edge,
    group::Group,
    member::Member,
    message::{Access, Code, Command, Prepared, Query, Reply, State, Statement},
    metrics::Read,
    node::Node,
    outcome::{Attempts, Cause, Outcome},
    pool::{self, Unavailable},
    probe,
    refusal::{self, Refusal},
    routing::{self, Target, choose_target},
};

pub use connect::connect;
pub use running::RunningGuard;
pub use write::{acknowledged, in_doubt, write};

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Time for which samples of a primary's position are kept beyond the longest age in use.
const SAMPLE_RETENTION: Duration = Duration::from_secs(10);

/// Time for which a read waits for a connection if it could run on another upstream.
const CONNECTION_WAIT: Duration = Duration::from_millis(60);

/// Silence after which an upstream is probed.
const PROBE_AFTER: Duration = Duration::from_millis(100);

/// Shortest time after which a read is tried on another upstream.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(120);

/// A statement with the session's context.
#[derive(Debug)]
pub struct Context<'a> {
    /// The session's route.
    pub route: &'a Route,
    /// The statement.
    pub query: &'a Query,
    /// The prepared statement to execute, and the text after its name.
    pub prepared: Option<(&'a Prepared, &'a [u8])>,
    /// The session's account.
    pub account: Option<&'a Rc<str>>,
    /// The session's values.
    pub values: &'a Values,
    /// The position of the session's last commit.
    pub last_commit: Option<Position>,
    /// Arrival time of the statement's first byte.
    pub arrived_at: Instant,
}

impl Context<'_> {
    /// Returns the class of the statement, whose service time is estimated by class.
    pub fn class(&self) -> Class {
        let kind = match (self.prepared, &self.query.statement) {
            (Some((statement, _)), _) if statement.access == Access::Read => Kind::Read,
            (None, Statement::Read) => Kind::Read,
            (None, Statement::Begin(_)) => Kind::Begin,
            _ => Kind::Write,
        };
        Class {
            priority: self.route.priority,
            kind,
        }
    }
}

/// Reaction to an upstream's silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilencePolicy {
    /// Wait for the whole time limit: the statement may have been executed.
    UntilTimeout,
    /// Wait until the upstream counts as failing: the statement is run elsewhere, or its effects
    /// are rolled back.
    UntilFailing,
}

/// Sends a statement on a connection that was acquired for it.
///
/// # Errors
///
/// The connection broke, or `within` is over: the statement may have run.
pub async fn send<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    connection: &mut Connection,
    context: &Context<'_>,
    floor: Option<Position>,
    (within, policy): (Duration, SilencePolicy),
) -> Result<Reply, NoAnswer> {
    let id = &context.query.id;
    let member = Rc::clone(connection.member());
    let name;
    let command = match context.prepared {
        Some((statement, rest)) => {
            name = connection.prepare::<E::Protocol>(statement);
            Command::Execute {
                id,
                after: floor,
                name: &name,
                rest,
            }
        }
        None => Command::Forward {
            id,
            after: floor,
            text: &context.query.text,
        },
    };
    let request = connection.request::<E::Protocol>(&command);
    until_answered(node, group, &member, request, (within, policy)).await
}

/// Sets a connection to the session's values.
///
/// # Errors
///
/// The upstream doesn't have the values, and the connection can't be used any more. Nothing of the
/// statement was sent.
pub async fn apply_values<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    connection: &mut Connection,
    context: &Context<'_>,
    within: Duration,
) -> Result<(), NoAnswer> {
    if connection.is_set_to(context.values) {
        return Ok(());
    }
    let member = Rc::clone(connection.member());
    let applying = connection.apply_values::<E::Protocol>(context.values);
    let limits = (within, SilencePolicy::UntilFailing);
    until_answered(node, group, &member, applying, limits).await
}

/// Waits for the answer of `member`, and has it probed if the answer is late.
async fn until_answered<E: Edge, T>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    member: &Rc<Member>,
    answer: impl Future<Output = Result<T, Broken>>,
    (within, policy): (Duration, SilencePolicy),
) -> Result<T, NoAnswer> {
    let sent = Boot.now();
    let mut answer = pin!(timeout(within, answer));
    let answer = match timeout(PROBE_AFTER, &mut answer).await {
        Ok(answer) => answer,
        Err(_) => {
            if member.health().answered < sent {
                probe::monitor(node, group, member);
            }
            match policy {
                SilencePolicy::UntilFailing if member.is_failing() => return Err(NoAnswer::Late),
                SilencePolicy::UntilFailing => tokio::select! {
                    answer = &mut answer => answer,
                    () = member.failing_notify.notified() => return Err(NoAnswer::Late),
                },
                SilencePolicy::UntilTimeout => answer.await,
            }
        }
    };
    match answer {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(Broken)) => Err(NoAnswer::Broken),
        Err(_) => Err(NoAnswer::Late),
    }
}

/// Reason for which a sent statement has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoAnswer {
    /// The connection broke.
    Broken,
    /// The time limit was exceeded.
    Late,
}

impl From<NoAnswer> for Cause {
    fn from(lost: NoAnswer) -> Self {
        match lost {
            NoAnswer::Broken => Self::Broken,
            NoAnswer::Late => Self::Late,
        }
    }
}

/// Returns true if an upstream's code means that the statement did not run.
pub fn is_not_run(code: Code) -> bool {
    matches!(
        code,
        Code::Busy
            | Code::Lagging
            | Code::ReadOnly
            | Code::Misrouted
            | Code::TooMany
            | Code::NoStatement
    )
}

/// Records what an upstream's answer reveals about the upstream.
pub fn record_answer<E: Edge>(
    node: &Node<E>,
    group: &Group,
    route: &Route,
    target: &Target,
    (sent, reply): (Instant, &Reply),
) {
    let member = &target.member;
    match &reply.verdict {
        Ok(()) => {
            member.caught_up();
            let primary = group.primary();
            if let (Some((lead, term)), Some(position)) = (primary, reply.position)
                && Rc::ptr_eq(&lead, member)
                && position.term == term
            {
                member.note_led(position);
                group.sample(term, sent, position, SAMPLE_RETENTION);
            }
        }
        Err(_) if target.is_lagging(reply) => {
            node.metrics.count_read(route, Read::Lagging);
            member.log.note_refusal();
            if !routing::is_retried(node, target, reply) {
                member.note_lag(Boot.now());
            }
        }
        Err(failure) if failure.code == Code::ReadOnly => record_read_only(node, group, member),
        Err(failure) if failure.code == Code::Busy => {
            refusal::record(member, Refusal::Statement, Boot.now());
        }
        Err(_) => {}
    }
}

/// Records that `member` runs no writes.
///
/// If it is the recorded primary, it restarted as a replica, or an instance told it to step down
/// whose announcement has not arrived yet. Until it is replaced, every write of its group is
/// refused.
pub fn record_read_only<E: Edge>(node: &Node<E>, group: &Group, member: &Rc<Member>) {
    node.proof_wanted.notify_one();
    if let Some((lead, term)) = group.primary()
        && Rc::ptr_eq(&lead, member)
    {
        member.depose(term, Boot.now());
    }
}

/// Returns what is left of a span that began at `since`.
pub fn remaining(span: Duration, since: Instant) -> Duration {
    span.saturating_sub(Boot.now().since(since))
}

/// Runs a read outside of a transaction.
pub async fn read<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    context: &Context<'_>,
) -> Outcome {
    let mut attempts = Attempts::default();
    let outcome = try_read(node, group, context, &mut attempts).await;
    Outcome {
        attempts,
        ..outcome
    }
}

async fn try_read<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    context: &Context<'_>,
    attempts: &mut Attempts,
) -> Outcome {
    let mut tried: Vec<Rc<str>> = Vec::new();
    let mut last = None;
    let limit = context.route.timeout;
    let mut cause = Cause::NoProof;
    let mut unanswered: Option<NoAnswer> = None;
    let mut earliest = Duration::MAX;
    loop {
        let wait_limit = remaining(node.settings.hold.min(limit), context.arrived_at);
        if wait_limit.is_zero() {
            break;
        }
        let Some(target) = choose_target(node, group, context, &tried, wait_limit).await else {
            break;
        };
        let wait = match target.floor {
            Some(_) if tried.len() + 1 < group.members().len() => wait_limit.min(CONNECTION_WAIT),
            _ => wait_limit,
        };
        let mut connection = match connect::<E>(node, &target.member, context, wait).await {
            Ok(connection) => connection,
            Err(Unavailable::Refused(_)) => {
                cause = Cause::NoConnection;
                attempts.unconnected += 1;
                probe::monitor(node, group, &target.member);
                tried.push(Rc::clone(&target.member.upstream.id));
                pause_after_round(&tried, group).await;
                continue;
            }
            Err(Unavailable::Overload(retry_after)) => {
                // The caller may come back when the first upstream is expected to have room.
                earliest = earliest.min(retry_after);
                cause = Cause::overload(earliest);
                attempts.unconnected += 1;
                let id = &target.member.upstream.id;
                if tried.contains(id) || tried.len() + 1 >= group.members().len() {
                    break;
                }
                tried.push(Rc::clone(id));
                continue;
            }
        };
        let running = RunningGuard::new(&target.member, context.class());
        let time_left = remaining(limit, context.arrived_at);
        let policy = (
            context
                .route
                .latency_target
                .max(MIN_READ_TIMEOUT)
                .min(time_left),
            SilencePolicy::UntilFailing,
        );
        let sent = running.since();
        let reply = send(node, group, &mut connection, context, target.floor, policy).await;
        drop(running);
        match reply {
            Ok(reply) => {
                record_answer(node, group, context.route, &target, (sent, &reply));
                if matches!(&reply.verdict, Err(f) if f.code == Code::NoStatement) {
                    connection.clear_prepared();
                }
                pool::release::<E::Protocol>(connection);
                let again = match &reply.verdict {
                    Ok(()) => false,
                    Err(failure) => {
                        is_not_run(failure.code)
                            || (matches!(failure.code, Code::Failed | Code::Timeout)
                                && tried.is_empty())
                    }
                };
                if !again {
                    return Outcome {
                        origin: Some(target.origin()),
                        ..Outcome::from_reply(reply)
                    };
                }
                attempts.refused += 1;
                let is_retried = routing::is_retried(node, &target, &reply);
                last = Some(reply);
                if is_retried {
                    continue;
                }
            }
            Err(lost) => {
                attempts.lost += 1;
                unanswered = Some(lost);
                pool::discard::<E::Protocol>(connection);
                probe::suspect(node, group, &target.member);
            }
        }
        tried.push(Rc::clone(&target.member.upstream.id));
        pause_after_round(&tried, group).await;
        if tried.len() >= group.members().len() {
            tried.clear();
        }
    }
    match (unanswered, last) {
        // The statement may have run, whatever became of the attempts behind that one.
        (Some(lost), _) => not_run::<E>(lost.into()),
        (None, Some(reply)) => Outcome::from_reply(reply),
        (None, None) => not_run::<E>(cause),
    }
}

/// Returns the answer to a statement that was not run, or whose result does not matter.
fn not_run<E: Edge>(cause: Cause) -> Outcome {
    let code = match cause {
        Cause::Broken | Cause::Late => Code::Timeout,
        _ => Code::Busy,
    };
    Outcome::refusal::<E::Protocol>(code, cause, State::Idle)
}

/// Pauses once all members were tried.
async fn pause_after_round(tried: &[Rc<str>], group: &Group) {
    if tried.len() >= group.members().len() {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
