//! Where a statement runs, and what its caller is told.

use std::{pin::pin, rc::Rc, time::Duration};

use clock::{Boot, Instant};
use model::Position;
use tokio::time::timeout;

use crate::{
    catalog::Route,
    edge::{Edge, Protocol},
    group::{Group, Member},
    line::{Broken, Line, Refused, Values},
    message::{Code, Command, Query, Reply, Shape, State, Statement},
    node::{Node, Proved},
    outcome::{Cause, Outcome},
    place::{Place, place},
    pool, probe,
};

/// How long a pause between two tries is.
const PAUSE: Duration = Duration::from_millis(10);

/// How long samples of a primary's position are kept beyond any age in use.
const KEEP: Duration = Duration::from_secs(10);

/// A connection that lay idle longer is asked for a sign of life before a write.
const STALE_LINE: Duration = Duration::from_millis(500);

/// How long the sign of life may take.
const SIGN: Duration = Duration::from_millis(150);

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
    pub prepared: Option<(&'a Shape, &'a [u8])>,
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
    line: &mut Line,
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
                probe::check(node, group, &member);
            }
            match patience {
                Patience::UntilFailing if member.is_failing() => return Err(Lost::Late),
                Patience::UntilFailing => tokio::select! {
                    asked = &mut asked => asked,
                    () = member.fell.notified() => return Err(Lost::Late),
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
        self.0.took(Boot.now().since(self.1));
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
pub fn note<E: Edge>(node: &Node<E>, group: &Group, place: &Place, sent: Instant, reply: &Reply) {
    let member = &place.member;
    match &reply.verdict {
        Ok(()) => {
            member.caught_up();
            let primary = group.primary();
            if let (Some((lead, term)), Some(position)) = (primary, reply.position)
                && Rc::ptr_eq(&lead, member)
                && position.term == term
            {
                group.sample(term, sent, position, KEEP);
            }
        }
        Err(failure) if failure.code == Code::Lagging && !place.leads => {
            member.lagged(Boot.now());
        }
        Err(failure) if failure.code == Code::ReadOnly => node.prove.notify_one(),
        Err(_) => {}
    }
}

/// What is left of a span that began at `since`.
pub fn left(span: Duration, since: Instant) -> Duration {
    span.saturating_sub(Boot.now().since(since))
}

/// Runs a single read.
pub async fn read<E: Edge>(node: &Rc<Node<E>>, group: &Rc<Group>, ask: &Ask<'_>) -> Outcome {
    let mut tried: Vec<Rc<str>> = Vec::new();
    let mut last = None;
    let timeout_at = ask.route.timeout;
    let mut cause = Cause::NoProof;
    loop {
        let hold = left(node.settings.hold.min(timeout_at), ask.at);
        if hold.is_zero() {
            break;
        }
        let Some(place) = place(node, group, ask, &tried, hold).await else {
            break;
        };
        let wait = match place.floor {
            Some(_) if tried.len() + 1 < group.members().len() => hold.min(ELSEWHERE),
            _ => hold,
        };
        let Some(mut line) = connect::<E>(node, &place.member, ask, wait).await else {
            cause = Cause::NoConnection;
            probe::check(node, group, &place.member);
            tried.push(Rc::clone(&place.member.upstream.id));
            pause(&tried, group).await;
            continue;
        };
        let running = Running::new(&place.member);
        line.align::<E::Protocol>(ask.values);
        let rest = left(timeout_at, ask.at);
        let patience = (
            ask.route.aim.max(PATIENCE).min(rest),
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
                    return Outcome::of(reply);
                }
                last = Some(reply);
            }
            Err(lost) => {
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
        Some(reply) => Outcome::of(reply),
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
) -> Option<Line> {
    let mut priority = ask.route.priority;
    if member.pool.is_tight(Boot.now()) && matches!(ask.query.statement, Statement::Begin(_)) {
        // A transaction holds its connection through its pauses; in that time many
        // single statements run on it.
        priority = priority.saturating_add(TRANSACTIONS_LAST);
    }
    let acquired = pool::acquire::<E::Protocol>(member, priority, ask.values);
    match timeout(wait, acquired).await {
        Ok(Ok(line)) => Some(line),
        Ok(Err(Refused::TooMany)) | Err(_) => None,
        Ok(Err(Refused::Unreachable | Refused::Misrouted)) => {
            node.refresh.notify_one();
            None
        }
    }
}

/// Runs a single write.
pub async fn write<E: Edge>(node: &Rc<Node<E>>, group: &Rc<Group>, ask: &Ask<'_>) -> Outcome {
    let mut last = None;
    let mut cause = Cause::NoProof;
    loop {
        let hold = left(node.settings.hold.min(ask.route.timeout), ask.at);
        if hold.is_zero() {
            break;
        }
        let Proved::Primary(member) = node.proved(group, Boot.now(), hold).await else {
            break;
        };
        let Some(mut line) = connect::<E>(node, &member, ask, hold).await else {
            cause = Cause::NoConnection;
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        if !is_alive::<E::Protocol>(&mut line).await {
            pool::discard::<E::Protocol>(line);
            probe::doubt(node, group, &member);
            continue;
        }
        let Some((lead, _)) = group.primary() else {
            pool::release::<E::Protocol>(line);
            continue;
        };
        if !Rc::ptr_eq(&lead, &member) || !group.proof().covers(Boot.now()) {
            pool::release::<E::Protocol>(line);
            continue;
        }
        let running = Running::new(&member);
        line.align::<E::Protocol>(ask.values);
        let rest = left(ask.route.timeout, ask.at);
        let sent = running.since();
        let reply = send(
            node,
            group,
            &mut line,
            ask,
            None,
            (rest, Patience::ToTheEnd),
        )
        .await;
        drop(running);
        let reply = match reply {
            Ok(reply) => reply,
            Err(lost) => {
                pool::discard::<E::Protocol>(line);
                probe::doubt(node, group, &member);
                return in_doubt::<E>(lost.into());
            }
        };
        if matches!(&reply.verdict, Err(f) if f.code == Code::NoStatement) {
            line.unprepare();
        }
        pool::release::<E::Protocol>(line);
        let place = Place {
            member,
            floor: None,
            leads: true,
        };
        note(node, group, &place, sent, &reply);
        match &reply.verdict {
            Ok(()) => return acknowledged(node, group, &place.member, reply, ask).await,
            Err(failure) if !is_not_run(failure.code) => return Outcome::of(reply),
            Err(_) => last = Some(reply),
        }
        tokio::time::sleep(PAUSE).await;
    }
    match last {
        Some(reply) => Outcome::of(reply),
        None => not_run::<E>(cause),
    }
}

/// Whether a connection that lay idle for long still has its upstream.
///
/// A connection can go silent without a reset. A write that is sent on one ends as
/// unknown; one that was never sent can be sent elsewhere.
async fn is_alive<P: Protocol>(line: &mut Line) -> bool {
    if line.answered() + STALE_LINE > Boot.now() {
        return true;
    }
    matches!(timeout(SIGN, line.reset::<P>()).await, Ok(Ok(_)))
}

/// The answer to a write whose upstream's answer never came.
pub fn in_doubt<E: Edge>(cause: Cause) -> Outcome {
    Outcome::refusal::<E::Protocol>(Code::InDoubt, cause, State::Idle)
}

/// Passes on a commit's answer once it is proved that its upstream still led then.
///
/// A replaced primary that has not noticed keeps on committing, and what it commits
/// is undone later. So its word counts only if it had not been replaced when its
/// answer was here; if that can't be told, the caller hears that it is unknown.
pub async fn acknowledged<E: Edge>(
    node: &Node<E>,
    group: &Group,
    member: &Rc<Member>,
    reply: Reply,
    ask: &Ask<'_>,
) -> Outcome {
    let now = Boot.now();
    let wait = left(ask.route.timeout, ask.at);
    match node.proved(group, now, wait).await {
        Proved::Primary(lead) if Rc::ptr_eq(&lead, member) => Outcome::of(reply),
        _ => in_doubt::<E>(Cause::Unproved),
    }
}
