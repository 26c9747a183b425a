//! Asking upstreams what they are, and telling them what to be.

use std::{rc::Rc, time::Duration};

use clock::Boot;
use futures_util::{StreamExt, stream::FuturesUnordered};
use model::Term;
use tokio::{
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    edge::{Edge, Protocol},
    group::Group,
    line::{Counted, Line, Refused},
    member::Member,
    message::{Code, Command, Status},
    node::Node,
    pool,
};

/// How long an upstream may take to say what it is.
pub const ANSWER: Duration = Duration::from_millis(300);

/// How long one that fails may take to say what it is.
const HOPELESS: Duration = Duration::from_millis(120);

/// How long an upstream may take to accept a connection. It needs no slot for that,
/// so one that is merely slow accepts in no time.
const ACCEPT: Duration = Duration::from_millis(150);

/// The pause between two tries to reach an upstream that fails.
const AGAIN: Duration = Duration::from_millis(50);

/// How long an upstream that accepts connections may be without an answer.
const QUIET: Duration = Duration::from_millis(700);

/// How many tries in a row must be accepted until an upstream is trusted again.
const TRUST: u32 = 2;

/// What came of a question or an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    /// What the upstream says of itself.
    Status(Status),
    /// It lives, but has no room to say more.
    Full,
    /// It refused the order.
    Refused(Code),
    /// It did not answer.
    Silent,
}

impl Said {
    /// What the upstream says of itself, if it does.
    pub fn status(self) -> Option<Status> {
        match self {
            Self::Status(status) => Some(status),
            _ => None,
        }
    }
}

/// Asks `member` what it is.
pub async fn status<P: Protocol>(member: &Rc<Member>) -> Said {
    order::<P>(member, &Command::Status, patience(member)).await
}

/// How long `member` may take to answer: one that fails holds nobody up for long.
fn patience(member: &Member) -> Duration {
    match member.is_failing() {
        true => HOPELESS,
        false => ANSWER,
    }
}

/// Gives `member` an order, or asks it, and reads what it says of itself.
pub async fn order<P: Protocol>(
    member: &Rc<Member>,
    command: &Command<'_>,
    within: Duration,
) -> Said {
    let said = timeout(within, exchange::<P>(member, command)).await;
    let said = said.unwrap_or(Said::Silent);
    match said {
        Said::Silent => member.failed(Boot.now()),
        Said::Status(_) | Said::Full | Said::Refused(_) => member.answered(Boot.now()),
    }
    said
}

async fn exchange<P: Protocol>(member: &Rc<Member>, command: &Command<'_>) -> Said {
    let mut fresh = false;
    loop {
        let idle = match fresh {
            true => None,
            false => member.pool.idle_any(),
        };
        fresh |= idle.is_none();
        let line = match idle {
            Some(line) => Ok(line),
            None => Line::open::<P>(member, None, Counted::new(member)).await,
        };
        let mut line = match line {
            Ok(line) => line,
            Err(Refused::TooMany) => return Said::Full,
            Err(Refused::Misrouted | Refused::Forgot | Refused::Unreachable) => {
                return Said::Silent;
            }
        };
        let Ok(reply) = line.ask::<P>(command).await else {
            pool::discard::<P>(line);
            if fresh {
                return Said::Silent;
            }
            fresh = true;
            continue;
        };
        pool::release::<P>(line);
        return match &reply.verdict {
            Ok(()) => P::status(&reply).map_or(Said::Refused(Code::Other), Said::Status),
            Err(failure) if failure.code == Code::Busy => Said::Full,
            Err(failure) => Said::Refused(failure.code),
        };
    }
}

/// Notes that `member` did not answer a statement, and looks after it.
pub fn doubt<E: Edge>(node: &Rc<Node<E>>, group: &Rc<Group>, member: &Rc<Member>) {
    member.failed(Boot.now());
    check(node, group, member);
}

/// Whether `member` lives: it accepts connections, and answered a while ago or does
/// so now. One that hangs accepts connections all the same.
async fn lives<P: Protocol>(member: &Rc<Member>) -> bool {
    let connecting = TcpStream::connect(member.upstream.address);
    let accepts = matches!(timeout(ACCEPT, connecting).await, Ok(Ok(_)));
    let quiet = member.health().answered + QUIET < Boot.now();
    accepts && (!quiet || status::<P>(member).await != Said::Silent)
}

/// Tries to reach `member` again and again until it lives, or is no member any more.
pub fn check<E: Edge>(node: &Rc<Node<E>>, group: &Rc<Group>, member: &Rc<Member>) {
    group.stir();
    if member.probed.replace(true) {
        return;
    }
    let (node, group, member) = (Rc::clone(node), Rc::clone(group), Rc::clone(member));
    spawn_local(async move {
        let id = &member.upstream.id;
        let mut told = false;
        let mut accepted = 0;
        while accepted < TRUST {
            if group.member(id).is_none_or(|m| !Rc::ptr_eq(&m, &member)) {
                break;
            }
            if lives::<E::Protocol>(&member).await {
                accepted += 1;
                if !told {
                    break;
                }
            } else {
                accepted = 0;
                member.failed(Boot.now());
            }
            if member.is_failing() && !told {
                told = true;
                log::info!(service = &*group.service, upstream = &**id; "upstream fails");
                node.peers.announce();
            }
            sleep(AGAIN).await;
        }
        if accepted > 0 {
            member.reached();
        }
        if told {
            log::info!(service = &*group.service, upstream = &**id, back = accepted > 0; "upstream fails no more");
            node.peers.announce();
        }
        member.probed.set(false);
    });
}

/// Asks all members of a group at once.
pub async fn all<P: Protocol>(members: &[Rc<Member>]) -> Vec<Said> {
    each::<P>(members, &Command::Status).await
}

/// Gives all members the same order at once.
pub async fn each<P: Protocol>(members: &[Rc<Member>], command: &Command<'_>) -> Vec<Said> {
    let mut tasks = Vec::with_capacity(members.len());
    for member in members {
        tasks.push(order::<P>(member, command, patience(member)));
    }
    futures_util::future::join_all(tasks).await
}

/// Whether `leader` answers that it leads `term`, and `others` more members that
/// they have heard of nothing newer, before anybody says otherwise.
pub async fn confirms<P: Protocol>(
    members: &[Rc<Member>],
    leader: &Rc<Member>,
    term: Term,
    others: usize,
) -> bool {
    let ask = |member: &Rc<Member>| {
        let member = Rc::clone(member);
        async move { (status::<P>(&member).await, member) }
    };
    let mut asked: FuturesUnordered<_> = members.iter().map(ask).collect();
    let (mut leads, mut agree) = (false, 0);
    while let Some((said, member)) = asked.next().await {
        let Some(status) = said.status() else {
            continue;
        };
        if status.term > term || status.held > term {
            return false;
        }
        if !Rc::ptr_eq(&member, leader) {
            agree += 1;
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
