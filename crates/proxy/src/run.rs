//! Where a statement runs, and what its caller is told.

mod write;

use std::{pin::pin, rc::Rc, time::Duration};

use clock::{Boot, Instant};
use model::Position;
use tokio::time::timeout;

use crate::{
    catalog::Route,
    connection::{Broken, Connection, Refused, Values},
    edge::Edge,
    group::Group,
    member::Member,
    message::{Code, Command, Prepared, Query, Reply, State, Statement},
    metrics::Wait,
    node::Node,
    outcome::{Attempts, Cause, Outcome},
    pool, probe,
    refusal::{self, Refusal},
    routing::{Target, choose_target},
};

pub use write::{acknowledged, in_doubt, write};

/// How long a pause between two tries is.
const PAUSE: Duration = Duration::from_millis(10);

/// How long samples of a primary's position are kept beyond any age in use.
const KEEP: Duration = Duration::from_secs(10);

/// What is added to a transaction's priority while connections are few.
const TRANSACTIONS_LAST: u8 = 128;

/// How long a read waits for a connection if it could run elsewhere.
const ELSEWHERE: Duration = Duration::from_millis(60);

/// How long an upstream may be silent until it is checked whether it is there.
const SILENCE: Duration = Duration::from_millis(100);

/// The shortest time after which a read is tried elsewhere as well.
const PATIENCE: Duration = Duration::from_millis(120);

/// What a session brings to a statement.
#[derive(Debug)]
pub struct Ask<'a> {
    /// The route it takes.
    pub route: &'a Route,
    /// The statement.
    pub query: &'a Query,
    /// The prepared statement that is run, with what stands behind its name.
    pub prepared: Option<(&'a Prepared, &'a [u8])>,
    /// The account whose session it is.
    pub account: Option<&'a Rc<str>>,
    /// The session's values.
    pub values: &'a Values,
    /// The position of the session's last commit.
    pub own: Option<Position>,
    /// When its first byte was here.
    pub at: Instant,
}

/// How long an upstream's silence is borne.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// For as long as the statement may take: it may have been kept.
    ToTheEnd,
    /// Until the upstream can't be reached: the statement is run elsewhere, or what
    /// it did is undone.
    UntilFailing,
}

/// Sends a statement on a connection that is already its own.
///
/// # Errors
///
/// The connection broke, or `within` is over: the statement may have run.
pub async fn send<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    line: &mut Connection,
    ask: &Ask<'_>,
    floor: Option<Position>,
    (within, patience): (Duration, Patience),
) -> Result<Reply, Lost> {
    let id = &ask.query.id;
    let member = Rc::clone(line.member());
    let name;
    let command = match ask.prepared {
        Some((shape, rest)) => {
            name = line.prepare::<E::Protocol>(shape);
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
            text: &ask.query.text,
        },
    };
    let sent = Boot.now();
    let mut asked = pin!(timeout(within, line.ask::<E::Protocol>(&command)));
    let asked = match timeout(SILENCE, &mut asked).await {
        Ok(asked) => asked,
        Err(_) => {
            if member.health().answered < sent {
                probe::monitor(node, group, &member);
            }
            match patience {
                Patience::UntilFailing if member.is_failing() => return Err(Lost::Late),
                Patience::UntilFailing => tokio::select! {
                    asked = &mut asked => asked,
                    () = member.failing_notify.notified() => return Err(Lost::Late),
                },
                Patience::ToTheEnd => asked.await,
            }
        }
    };
    match asked {
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(Broken)) => Err(Lost::Broken),
        Err(_) => Err(Lost::Late),
    }
}

/// Why a statement that was sent has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    /// The connection broke.
    Broken,
    /// It took too long.
    Late,
}

impl From<Lost> for Cause {
    fn from(lost: Lost) -> Self {
        match lost {
            Lost::Broken => Self::Broken,
            Lost::Late => Self::Late,
        }
    }
}

/// Counts a statement that runs at an upstream.
#[derive(Debug)]
pub struct Running(Rc<Member>, Instant);

impl Running {
    /// Begins to count.
    pub fn new(member: &Rc<Member>) -> Self {
        member.running.set(member.running.get() + 1);
        Self(Rc::clone(member), Boot.now())
    }

    /// When it began.
    pub fn since(&self) -> Instant {
        self.1
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.note_latency(Boot.now().since(self.1));
    }
}

/// Whether an upstream's code says that the statement did not run.
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

/// Notes what an upstream's answer says about it.
pub fn note<E: Edge>(node: &Node<E>, group: &Group, place: &Target, sent: Instant, reply: &Reply) {
    let member = &place.member;
    match &reply.verdict {
        Ok(()) => {
            member.caught_up();
            let primary = group.primary();
            if let (Some((lead, term)), Some(position)) = (primary, reply.position)
                && Rc::ptr_eq(&lead, member)
                && position.term == term
            {
                member.note_led(position);
                group.sample(term, sent, position, KEEP);
            }
        }
        Err(failure) if failure.code == Code::Lagging && !place.leads => {
            member.note_lag(Boot.now());
        }
        Err(failure) if failure.code == Code::ReadOnly => read_only(node, group, member),
        Err(failure) if failure.code == Code::Busy => {
            refusal::record(member, Refusal::Statement, Boot.now());
        }
        Err(_) => {}
    }
}

/// Takes in that `member` runs no writes.
///
/// One that is recorded as the primary started again as a replica, or was told to
/// step down by somebody whose word has not come yet. Unless it is replaced, every
/// write of its group is refused from then on.
pub fn read_only<E: Edge>(node: &Node<E>, group: &Group, member: &Rc<Member>) {
    node.proof_wanted.notify_one();
    if let Some((lead, term)) = group.primary()
        && Rc::ptr_eq(&lead, member)
    {
        member.depose(term, Boot.now());
    }
}

/// What is left of a span that began at `since`.
pub fn left(span: Duration, since: Instant) -> Duration {
    span.saturating_sub(Boot.now().since(since))
}

/// Runs a single read.
pub async fn read<E: Edge>(node: &Rc<Node<E>>, group: &Rc<Group>, ask: &Ask<'_>) -> Outcome {
    let mut attempts = Attempts::default();
    let outcome = try_read(node, group, ask, &mut attempts).await;
    Outcome {
        attempts,
        ..outcome
    }
}

async fn try_read<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    ask: &Ask<'_>,
    attempts: &mut Attempts,
) -> Outcome {
    let mut tried: Vec<Rc<str>> = Vec::new();
    let mut last = None;
    let timeout_at = ask.route.timeout;
    let mut cause = Cause::NoProof;
    loop {
        let hold = left(node.settings.hold.min(timeout_at), ask.at);
        if hold.is_zero() {
            break;
        }
        let Some(place) = choose_target(node, group, ask, &tried, hold).await else {
            break;
        };
        let wait = match place.floor {
            Some(_) if tried.len() + 1 < group.members().len() => hold.min(ELSEWHERE),
            _ => hold,
        };
        let Some(mut line) = connect::<E>(node, &place.member, ask, wait).await else {
            cause = Cause::NoConnection;
            attempts.unconnected += 1;
            probe::monitor(node, group, &place.member);
            tried.push(Rc::clone(&place.member.upstream.id));
            pause(&tried, group).await;
            continue;
        };
        let running = Running::new(&place.member);
        line.align::<E::Protocol>(ask.values);
        let rest = left(timeout_at, ask.at);
        let patience = (
            ask.route.latency_target.max(PATIENCE).min(rest),
            Patience::UntilFailing,
        );
        let sent = running.since();
        let reply = send(node, group, &mut line, ask, place.floor, patience).await;
        drop(running);
        match reply {
            Ok(reply) => {
                note(node, group, &place, sent, &reply);
                if matches!(&reply.verdict, Err(f) if f.code == Code::NoStatement) {
                    line.unprepare();
                }
                pool::release::<E::Protocol>(line);
                let again = match &reply.verdict {
                    Ok(()) => false,
                    Err(failure) => {
                        is_not_run(failure.code)
                            || (matches!(failure.code, Code::Failed | Code::Timeout)
                                && tried.is_empty())
                    }
                };
                if !again {
                    return Outcome::from_reply(reply);
                }
                attempts.refused += 1;
                last = Some(reply);
            }
            Err(lost) => {
                attempts.lost += 1;
                cause = lost.into();
                pool::discard::<E::Protocol>(line);
                probe::doubt(node, group, &place.member);
            }
        }
        tried.push(Rc::clone(&place.member.upstream.id));
        pause(&tried, group).await;
        if tried.len() >= group.members().len() {
            tried.clear();
        }
    }
    match last {
        Some(reply) => Outcome::from_reply(reply),
        None => not_run::<E>(cause),
    }
}

/// The answer to a statement that nobody ran, or whose answer does not matter.
fn not_run<E: Edge>(cause: Cause) -> Outcome {
    let code = match cause {
        Cause::Broken | Cause::Late => Code::Timeout,
        _ => Code::Busy,
    };
    Outcome::refusal::<E::Protocol>(code, cause, State::Idle)
}

/// Waits a little once everybody was tried.
async fn pause(tried: &[Rc<str>], group: &Group) {
    if tried.len() >= group.members().len() {
        tokio::time::sleep(PAUSE).await;
    }
}

/// A connection to `member` within `wait`.
pub async fn connect<E: Edge>(
    node: &Rc<Node<E>>,
    member: &Rc<Member>,
    ask: &Ask<'_>,
    wait: Duration,
) -> Option<Connection> {
    let mut priority = ask.route.priority;
    if member.pool.is_tight(Boot.now()) && matches!(ask.query.statement, Statement::Begin(_)) {
        // A transaction holds its connection through its pauses; in that time many
        // single statements run on it.
        priority = priority.saturating_add(TRANSACTIONS_LAST);
    }
    let _waited = node.metrics.wait(Wait::Connection);
    let wish = pool::Wish {
        priority,
        aim: ask.at + ask.route.latency_target,
        account: ask.account,
        values: ask.values,
    };
    let acquired = pool::acquire::<E::Protocol>(member, wish);
    match timeout(wait, acquired).await {
        Ok(Ok(line)) => Some(line),
        Ok(Err(Refused::TooMany)) | Err(_) => None,
        Ok(Err(Refused::Unreachable | Refused::Misrouted | Refused::LogLost)) => {
            node.refresh.notify_one();
            None
        }
    }
}
