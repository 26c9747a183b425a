//! Connections for statements, within the time that a statement may wait.

use std::{pin::pin, rc::Rc, time::Duration};

use admit::service::{Kind, Priority};
use clock::Boot;
use tokio::time::timeout;

use super::{Context, apply_values, remaining};
use crate::{
    connection::{Connection, Refused},
    edge::Edge,
    member::Member,
    metrics::Wait,
    node::Node,
    pool::{self, Unavailable},
    probe,
    refusal::{self, Reason},
};

/// Added to a transaction's priority while connections are scarce.
const TRANSACTION_PENALTY: Priority = 128;

/// Acquires a connection to `member` that has the session's values.
///
/// Without admission by prediction, the request waits for `wait`. With it, the request waits until
/// its deadline as long as the upstream is reachable.
///
/// # Errors
///
/// No connection was free in time, or the request can't be expected to be answered in time.
pub async fn connect<E: Edge>(
    node: &Rc<Node<E>>,
    member: &Rc<Member>,
    context: &Context<'_>,
    wait: Duration,
) -> Result<Connection, Unavailable> {
    let mut class = context.class();
    if member.pool.is_scarce(Boot.now()) && class.kind == Kind::Begin {
        // A transaction holds its connection through its pauses, in which many single statements
        // could use it.
        class.priority = class.priority.saturating_add(TRANSACTION_PENALTY);
    }
    let _waited = node.metrics.wait(Wait::Connection);
    let request = pool::Request {
        class,
        late_at: context.arrived_at + context.route.latency_target,
        deadline: context.arrived_at + context.route.timeout,
        account: context.account,
        values: context.values,
    };
    let acquired = match member.features.get().admission {
        true => match connect_admitted(node, member, request, wait).await {
            // The wait may have lasted longer than the drain of an upstream that leaves.
            Ok(connection) if !node.may_get_work(member) => {
                pool::release::<E::Protocol>(connection);
                Err(Unavailable::Refused(Refused::TooMany))
            }
            result => result,
        },
        false => timeout(wait, pool::acquire::<E::Protocol>(member, request))
            .await
            .unwrap_or(Err(Unavailable::Refused(Refused::TooMany))),
    };
    if let Err(Unavailable::Refused(Refused::Unreachable | Refused::Misrouted | Refused::LogLost)) =
        acquired
    {
        node.refresh.notify_one();
    }
    let mut connection = acquired?;
    if connection.is_set_to(context.values) {
        return Ok(connection);
    }
    let group = node.group_of(&context.route.service);
    let time_left = remaining(context.route.timeout, context.arrived_at);
    match apply_values(node, &group, &mut connection, context, time_left).await {
        Ok(()) if node.may_get_work(member) => Ok(connection),
        // The upstream's drain is over since.
        Ok(()) => {
            pool::release::<E::Protocol>(connection);
            Err(Unavailable::Refused(Refused::TooMany))
        }
        Err(_) => {
            pool::discard::<E::Protocol>(connection);
            probe::suspect(node, &group, member);
            Err(Unavailable::Refused(Refused::Unreachable))
        }
    }
}

async fn connect_admitted<E: Edge>(
    node: &Rc<Node<E>>,
    member: &Rc<Member>,
    request: pool::Request<'_>,
    wait: Duration,
) -> Result<Connection, Unavailable> {
    let admission = pool::admit::<E::Protocol>(member, request)?;
    node.metrics.observe_prediction(admission.wait());
    let mut connection = pin!(admission.connection());
    if let Ok(result) = timeout(wait, &mut connection).await {
        return result;
    }
    // The prediction holds for an upstream that answers.
    if member.pool.is_connected() && !member.is_failing() {
        let time_left = request.deadline.since(Boot.now());
        tokio::select! {
            result = timeout(time_left, &mut connection) => if let Ok(result) = result {
                return result;
            },
            () = member.failing_notify.notified() => {}
        }
    }
    let priority = request.class.priority;
    refusal::deny(
        member,
        Reason::Connection,
        priority,
        Duration::ZERO,
        Boot.now(),
    );
    Err(Unavailable::Refused(Refused::TooMany))
}
