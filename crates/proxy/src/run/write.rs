//! Writes outside of a transaction: on the proved primary, and at most once.

use std::{rc::Rc, time::Duration};

use clock::Boot;
use tokio::time::timeout;

use super::{
    Context, RETRY_PAUSE, RunningGuard, SilencePolicy, connect, is_not_run, not_run, record_answer,
    remaining, send,
};
use crate::{
    connection::{Connection, Values},
    edge::{Edge, Protocol},
    group::Group,
    member::Member,
    message::{Code, Reply, State},
    node::{Node, Proved},
    outcome::{Attempts, Cause, Outcome},
    pool::{self, Unavailable},
    probe,
    routing::Target,
};

/// Idle time after which a connection is tested before a write.
const IDLE_LIMIT: Duration = Duration::from_millis(500);

/// Time limit of that test.
const TEST_TIMEOUT: Duration = Duration::from_millis(150);

/// Runs a write outside of a transaction.
pub async fn write<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    context: &Context<'_>,
) -> Outcome {
    let mut attempts = Attempts::default();
    let outcome = try_write(node, group, context, &mut attempts).await;
    Outcome {
        attempts,
        ..outcome
    }
}

async fn try_write<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    context: &Context<'_>,
    attempts: &mut Attempts,
) -> Outcome {
    let mut last = None;
    let mut cause = Cause::NoProof;
    loop {
        let wait_limit = remaining(
            node.settings.hold.min(context.route.timeout),
            context.arrived_at,
        );
        if wait_limit.is_zero() {
            break;
        }
        let Proved::Primary(member) = node.proved(group, Boot.now(), wait_limit).await else {
            break;
        };
        let mut connection = match connect::<E>(node, &member, context, wait_limit).await {
            Ok(connection) => connection,
            Err(Unavailable::Refused(_)) => {
                cause = Cause::NoConnection;
                attempts.unconnected += 1;
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            Err(Unavailable::Overload(retry_after)) => {
                cause = Cause::overload(retry_after);
                attempts.unconnected += 1;
                break;
            }
        };
        if !is_alive::<E::Protocol>(&mut connection, context.values).await {
            attempts.lost += 1;
            pool::discard::<E::Protocol>(connection);
            probe::suspect(node, group, &member);
            continue;
        }
        let Some((lead, _)) = group.primary() else {
            pool::release::<E::Protocol>(connection);
            continue;
        };
        if !Rc::ptr_eq(&lead, &member) || !group.proof().covers(Boot.now()) {
            pool::release::<E::Protocol>(connection);
            continue;
        }
        let running = RunningGuard::new(&member, context.class());
        let time_left = remaining(context.route.timeout, context.arrived_at);
        let sent = running.since();
        let reply = send(
            node,
            group,
            &mut connection,
            context,
            None,
            (time_left, SilencePolicy::UntilTimeout),
        )
        .await;
        drop(running);
        let reply = match reply {
            Ok(reply) => reply,
            Err(lost) => {
                pool::discard::<E::Protocol>(connection);
                probe::suspect(node, group, &member);
                return in_doubt::<E>(lost.into());
            }
        };
        if matches!(&reply.verdict, Err(f) if f.code == Code::NoStatement) {
            connection.clear_prepared();
        }
        pool::release::<E::Protocol>(connection);
        let target = Target {
            member,
            floor: None,
            is_primary: true,
        };
        record_answer(node, group, context.route, &target, (sent, &reply));
        match &reply.verdict {
            Ok(()) => return acknowledged(node, group, &target.member, reply, context).await,
            Err(failure) if !is_not_run(failure.code) => return Outcome::from_reply(reply),
            Err(_) => {
                attempts.refused += 1;
                last = Some(reply);
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    match last {
        Some(reply) => Outcome::from_reply(reply),
        None => not_run::<E>(cause),
    }
}

/// Returns true if a connection that was idle for long still reaches its upstream.
///
/// A connection can go silent without a reset. A write that is sent on such a connection ends as
/// unknown; a write that was never sent can run on another one.
async fn is_alive<P: Protocol>(connection: &mut Connection, values: &Values) -> bool {
    if connection.last_answer() + IDLE_LIMIT > Boot.now() {
        return true;
    }
    matches!(
        timeout(TEST_TIMEOUT, connection.reset_to::<P>(values)).await,
        Ok(Ok(()))
    )
}

/// Returns the answer to a write whose upstream's answer never came.
pub fn in_doubt<E: Edge>(cause: Cause) -> Outcome {
    Outcome::refusal::<E::Protocol>(Code::InDoubt, cause, State::Idle)
}

/// Forwards a commit's answer once it is proved that its upstream was the primary then.
///
/// A replaced primary that has not noticed goes on committing, and those commits are lost later.
/// Its answer counts only if it had not been replaced when the answer arrived; without that proof
/// the caller is told that the result is unknown.
pub async fn acknowledged<E: Edge>(
    node: &Node<E>,
    group: &Group,
    member: &Rc<Member>,
    reply: Reply,
    context: &Context<'_>,
) -> Outcome {
    let now = Boot.now();
    let wait = remaining(context.route.timeout, context.arrived_at);
    match node.proved(group, now, wait).await {
        Proved::Primary(lead) if Rc::ptr_eq(&lead, member) => Outcome::from_reply(reply),
        _ => in_doubt::<E>(Cause::Unproved),
    }
}
