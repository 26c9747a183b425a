//! Status requests and orders to upstreams.

use std::{rc::Rc, time::Duration};

use clock::Boot;
use futures_util::{StreamExt, stream::FuturesUnordered};
use lead::absence::ANSWER_TIME;
use model::Term;
use tokio::{
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    connection::{Connection, OpenGuard, Refused},
    edge::{Edge, Protocol},
    group::Group,
    member::Member,
    message::{Code, Command, Status},
    node::Node,
    pool,
};

/// Time limit of a status request.
pub const STATUS_TIMEOUT: Duration = ANSWER_TIME;

/// Time limit of a status request to a failing upstream.
const FAILING_TIMEOUT: Duration = Duration::from_millis(120);

/// Time limit for an upstream to accept a connection. Accepting needs no slot, so a merely slow
/// upstream accepts at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Pause between two probes of a failing upstream.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time since the last answer after which an upstream that accepts connections has to answer a
/// status request.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);

/// Number of consecutive successful probes after which an upstream is trusted again.
const REQUIRED_SUCCESSES: u32 = 2;

/// Result of a status request or an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The upstream's status.
    Status(Status),
    /// The upstream is alive, but has no capacity for an answer.
    Full,
    /// The upstream refused the order.
    Refused(Code),
    /// The upstream did not answer.
    Silent,
}

impl Answer {
    /// Returns the upstream's status, if it is one.
    pub fn status(self) -> Option<Status> {
        match self {
            Self::Status(status) => Some(status),
            _ => None,
        }
    }
}

/// Asks `member` for its status.
pub async fn status<P: Protocol>(member: &Rc<Member>) -> Answer {
    order::<P>(member, &Command::Status, status_timeout(member)).await
}

/// Returns the time limit for `member`: short for a failing one, so that it delays nothing for
/// long.
fn status_timeout(member: &Member) -> Duration {
    match member.is_failing() {
        true => FAILING_TIMEOUT,
        false => STATUS_TIMEOUT,
    }
}

/// Sends `member` an order or a status request, and reads its status.
pub async fn order<P: Protocol>(
    member: &Rc<Member>,
    command: &Command<'_>,
    within: Duration,
) -> Answer {
    let answer = timeout(within, exchange::<P>(member, command)).await;
    let answer = answer.unwrap_or(Answer::Silent);
    match answer {
        Answer::Silent => member.note_failure(Boot.now()),
        Answer::Status(_) | Answer::Full | Answer::Refused(_) => member.note_answer(Boot.now()),
    }
    answer
}

async fn exchange<P: Protocol>(member: &Rc<Member>, command: &Command<'_>) -> Answer {
    let mut is_new = false;
    loop {
        let idle = match is_new {
            true => None,
            false => member.pool.take_any_idle(),
        };
        is_new |= idle.is_none();
        let connection = match idle {
            Some(connection) => Ok(connection),
            None => Connection::open::<P>(member, None, OpenGuard::new(member)).await,
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(Refused::TooMany) => return Answer::Full,
            Err(Refused::Misrouted | Refused::LogLost | Refused::Unreachable) => {
                return Answer::Silent;
            }
        };
        // An order that is given up must not arrive once a link that was cut works again: a late
        // `Resume` would end the hold of a later replacement.
        if !matches!(command, Command::Status) {
            connection.reset_on_drop();
        }
        let Ok(reply) = connection.request::<P>(command).await else {
            pool::discard::<P>(connection);
            if is_new {
                return Answer::Silent;
            }
            is_new = true;
            continue;
        };
        connection.close_on_drop();
        pool::release::<P>(connection);
        return match &reply.verdict {
            Ok(()) => P::status(&reply).map_or(Answer::Refused(Code::Other), Answer::Status),
            Err(failure) if failure.code == Code::Busy => Answer::Full,
            Err(failure) => Answer::Refused(failure.code),
        };
    }
}

/// Records that `member` did not answer a statement, and probes it.
pub fn suspect<E: Edge>(node: &Rc<Node<E>>, group: &Rc<Group>, member: &Rc<Member>) {
    member.note_failure(Boot.now());
    monitor(node, group, member);
}

/// Returns true if `member` is alive: it accepts connections, and answered recently or answers now.
/// A hanging upstream still accepts connections.
async fn is_alive<P: Protocol>(member: &Rc<Member>) -> bool {
    let connecting = TcpStream::connect(member.upstream.address);
    let accepts = matches!(timeout(CONNECT_TIMEOUT, connecting).await, Ok(Ok(_)));
    let is_quiet = member.health().answered + SILENCE_LIMIT < Boot.now();
    accepts && (!is_quiet || status::<P>(member).await != Answer::Silent)
}

/// Probes `member` until it is alive or has been removed.
pub fn monitor<E: Edge>(node: &Rc<Node<E>>, group: &Rc<Group>, member: &Rc<Member>) {
    group.activate();
    if member.is_probed.replace(true) {
        return;
    }
    let (node, group, member) = (Rc::clone(node), Rc::clone(group), Rc::clone(member));
    spawn_local(async move {
        let id = &member.upstream.id;
        let mut is_reported = false;
        let mut successes = 0;
        while successes < REQUIRED_SUCCESSES {
            if group.member(id).is_none_or(|m| !Rc::ptr_eq(&m, &member)) {
                break;
            }
            if is_alive::<E::Protocol>(&member).await {
                successes += 1;
                if !is_reported {
                    break;
                }
            } else {
                successes = 0;
                member.note_failure(Boot.now());
            }
            if member.is_failing() && !is_reported {
                is_reported = true;
                log::info!(service = &*group.service, upstream = &**id; "upstream fails");
                node.peers.announce();
            }
            sleep(RETRY_PAUSE).await;
        }
        if successes > 0 {
            member.note_contact();
        }
        if is_reported {
            log::info!(service = &*group.service, upstream = &**id, back = successes > 0; "upstream probe ended");
            node.peers.announce();
        }
        member.is_probed.set(false);
    });
}

/// Asks all members of a group concurrently.
pub async fn status_of_all<P: Protocol>(members: &[Rc<Member>]) -> Vec<Answer> {
    order_all::<P>(members, &Command::Status).await
}

/// Asks upstreams that are no longer listed for their status, concurrently. Each answer counts for
/// whether its upstream has ended.
pub async fn status_of_absent<E: Edge>(
    node: &Node<E>,
    group: &Group,
    absent: Vec<Rc<Member>>,
) -> Vec<(Rc<Member>, Answer)> {
    let ask = async |member: Rc<Member>| {
        let sent = Boot.now();
        let answer = order::<E::Protocol>(&member, &Command::Status, STATUS_TIMEOUT).await;
        group.note_absent(&member, answer, sent, node.peers.audience());
        (member, answer)
    };
    futures_util::future::join_all(absent.into_iter().map(ask)).await
}

/// Sends all members the same order concurrently.
pub async fn order_all<P: Protocol>(members: &[Rc<Member>], command: &Command<'_>) -> Vec<Answer> {
    let mut tasks = Vec::with_capacity(members.len());
    for member in members {
        tasks.push(order::<P>(member, command, status_timeout(member)));
    }
    futures_util::future::join_all(tasks).await
}

/// Returns true if `leader` reports that it leads `term` and `others` more voters know no newer
/// term, before any member reports otherwise.
pub async fn confirm_primary<P: Protocol>(
    members: &[Rc<Member>],
    leader: &Rc<Member>,
    term: Term,
    others: usize,
    is_voter: impl Fn(&Member) -> bool,
) -> bool {
    let ask = |member: &Rc<Member>| {
        let member = Rc::clone(member);
        async move { (status::<P>(&member).await, member) }
    };
    let mut pending: FuturesUnordered<_> = members.iter().map(ask).collect();
    let (mut leads, mut agree) = (false, 0);
    while let Some((answer, member)) = pending.next().await {
        let Some(status) = answer.status() else {
            continue;
        };
        if status.term > term || status.held > term {
            return false;
        }
        if !Rc::ptr_eq(&member, leader) {
            agree += usize::from(is_voter(&member));
        } else if status.leads {
            leads = true;
        } else {
            return false;
        }
        if leads && agree >= others {
            return true;
        }
    }
    false
}
