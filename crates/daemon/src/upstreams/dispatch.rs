//! Dispatch of a batch: on a connection of this instance, or at another holder.

use std::{num::NonZeroU32, rc::Rc};

use model::{Cause, Report, name};
use ntex::time::sleep;
use pool::pool::{Limits, Request};
use route::{Read, Verdict};

use super::{
    Core, Pin, Running,
    choose::Destination,
    connection::Connection,
    connections::Refused,
    exchange::{Answer, exchange},
    group::{Group, Member},
    plan::{Plan, Probes},
    sink::{Mode, Sink},
};
use crate::{
    forward::{Command, Seq},
    job::{Caller, Job, Need, Scope},
};

/// The result of a dispatched batch.
pub(super) enum Completion {
    /// The answer was received completely.
    Answer(Answer, Checkout),
    /// The batch did not run.
    Refused(Refused),
    /// The connection failed; the batch may have run.
    Broken,
    /// The deadline passed; the batch may have run or may still run.
    TimedOut,
}

/// The connection that a batch ran on.
pub(super) enum Checkout {
    /// A connection of this instance.
    Connection(Box<Connection>),
    /// A connection of the holder `to`.
    Remote {
        /// The holder.
        to: name::Instance,
        /// Sequence number of the command that runs on the connection.
        pin: Seq,
    },
}

impl Checkout {
    /// Releases the connection after a complete answer.
    pub(super) fn settle(self, answer: &Answer) {
        if answer.status != Some(b'I') || answer.spoiled {
            return self.discard();
        }
        // A holder releases its connection itself.
        if let Self::Connection(connection) = self {
            let owner = Rc::clone(&connection.owner);
            owner.release(*connection);
        }
    }

    /// Closes the connection if it is one of this instance.
    pub(super) fn discard(self) {
        if let Self::Connection(connection) = self {
            discard(*connection);
        }
    }

    /// Pins the connection for the caller's open transaction.
    pub(super) fn keep(self, core: &Core, caller: Caller, group: &Rc<Group>) {
        let group = Rc::clone(group);
        let pin = match self {
            Self::Connection(connection) => {
                connection.owner.hold(&connection);
                Pin::Open { connection, group }
            }
            Self::Remote { to, pin } => Pin::Remote { to, pin, group },
        };
        core.pins.borrow_mut().insert(caller, pin);
    }
}

/// Closes a connection that must not be reused.
pub(super) fn discard(connection: Connection) {
    let owner = Rc::clone(&connection.owner);
    owner.forget(connection.ticket);
    owner.discard(connection);
}

/// Builds the pool request for a connection.
pub(super) fn request(
    core: &Core,
    member: &Member,
    scope: &Scope,
    deadline: clock::Instant,
) -> Request {
    Request {
        ticket: core.ticket(),
        entry: scope.entry.clone(),
        limits: Limits {
            connections: member.entry_limit(scope.connections),
            queue: scope.queue,
        },
        tenant: scope.tenant.clone(),
        weight: NonZeroU32::MIN,
        priority: scope.class.priority,
        deadline,
    }
}

/// A batch to run at an upstream, with the state for verifying its answer.
pub(super) struct Dispatch<'a> {
    pub(super) core: &'a Rc<Core>,
    pub(super) group: &'a Rc<Group>,
    pub(super) job: &'a Job,
    pub(super) destination: &'a Destination,
    pub(super) read: &'a Read,
    pub(super) running: &'a Rc<Running>,
    /// The verdict on the answer from the status report before it.
    pub(super) verdict: Verdict,
}

impl Dispatch<'_> {
    /// Returns the handling of a valid answer.
    fn mode(&self) -> Mode {
        match self.job.batch.need {
            Need::Read => Mode::Stream,
            _ => Mode::Hold,
        }
    }

    /// Returns true if the batch only reads.
    pub(super) fn is_read(&self) -> bool {
        matches!(self.job.batch.need, Need::Read | Need::Setting)
    }

    /// Returns true if an earlier status report proves that the answer will be
    /// valid.
    fn proves(&self, report: &Report) -> bool {
        self.check(report) == Verdict::Fresh
    }

    /// Returns the verdict on an answer from a status report that precedes it
    /// on the same connection.
    ///
    /// The round may have confirmed another primary than the chosen one, which
    /// can be replaced between the choice and the round. A read from the
    /// replaced primary would miss writes acknowledged by its successor, so the
    /// upstream must have reached the round's position in the round's term.
    fn check(&self, report: &Report) -> Verdict {
        if let Destination::Confirmed(_, round) = self.destination {
            let position = route::position(report);
            let same = position.term == round.position.term;
            let holds = same && position.covers(round.position);
            return if holds {
                Verdict::Fresh
            } else {
                Verdict::Deposed
            };
        }
        let router = self.group.router.borrow();
        let now = self.core.now();
        router.verify(now, report, self.read, self.destination.target())
    }

    /// Records the status report before the answer and decides what happens to
    /// the answer.
    pub(super) fn choose_mode(&mut self, sent: clock::Instant, report: &Report) -> Mode {
        let now = self.core.now();
        self.group
            .note_report(now, self.destination.upstream(), sent, *report);
        self.verdict = self.check(report);
        if self.verdict == Verdict::Fresh {
            self.mode()
        } else {
            Mode::Discard
        }
    }

    /// Runs the batch on a connection of this instance.
    async fn run_local(&mut self, member: &Member, sink: &mut Sink<'_>) -> Completion {
        let (core, job) = (self.core, self.job);
        let request = request(core, member, &job.scope, job.deadline);
        let asked = core.now();
        let mut connection = match member.connections.acquire(request).await {
            Ok(connection) => connection,
            Err(refusal) => return Completion::Refused(refusal),
        };
        job.meter.note_queued(core.now().since(asked));
        if connection.conn.is_closed() {
            discard(connection);
            return Completion::Refused(Refused {
                cause: Cause::NoUpstream,
                retry_after: None,
            });
        }
        let proved = connection
            .seen
            .as_ref()
            .is_some_and(|(_, report)| self.proves(report));
        let probes = Probes {
            before: self.is_read() && !proved,
            behind: job.batch.need != Need::Begin,
        };
        let plan = Plan::standalone(&mut connection, &job.batch, &job.settings, probes);
        self.running.sent.set(true);
        *self.running.connection.borrow_mut() =
            Some((connection.address, connection.conn.key().clone()));
        let sent = core.now();
        let mut choose_mode = |report: &Report| self.choose_mode(sent, report);
        let answer = tokio::select! {
            biased;
            answer = exchange(sent, &mut connection, plan, sink, &mut choose_mode) => Some(answer),
            () = sleep(job.deadline.since(sent)) => None,
        };
        *self.running.connection.borrow_mut() = None;
        self.running.close_if_cancelled(&mut connection);
        match answer {
            Some(Ok(answer)) => {
                if let Some(report) = answer.behind.or(answer.before) {
                    connection.seen = Some((answer.sent, report));
                }
                Completion::Answer(answer, Checkout::Connection(Box::new(connection)))
            }
            Some(Err(_)) => {
                discard(connection);
                Completion::Broken
            }
            None => {
                let (address, key) = (connection.address, connection.conn.key().clone());
                ntex::rt::spawn(async move { upstream::cancel(address, &key).await });
                discard(connection);
                Completion::TimedOut
            }
        }
    }

    /// Runs the batch at a holder of the upstream's connections.
    pub(super) async fn run(&mut self, sink: &mut Sink<'_>) -> Completion {
        let unreachable = Refused {
            cause: Cause::NoUpstream,
            retry_after: None,
        };
        let Some(member) = self.group.member(self.destination.upstream()) else {
            return Completion::Refused(unreachable);
        };
        sink.set_mode(self.mode());
        let completion = match member.next_holder(self.core) {
            Holder::Local => self.run_local(&member, sink).await,
            Holder::Remote(to) => self.run_remote(&to, sink).await,
            Holder::Unknown => Completion::Refused(unreachable),
        };
        if let Completion::Answer(answer, _) = &completion
            && let Some(report) = answer.behind
        {
            self.group.note_report(
                self.core.now(),
                self.destination.upstream(),
                answer.sent,
                report,
            );
        }
        completion
    }
}

/// The holder of connections to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Holder {
    /// This instance.
    Local,
    /// Another instance.
    Remote(name::Instance),
    /// No holder is known.
    Unknown,
}

/// Sends a command that needs no answer.
pub(super) fn send_command(core: &Rc<Core>, to: &name::Instance, command: Command) {
    let seq = core.next_seq();
    let core = Rc::clone(core);
    let to = to.clone();
    ntex::rt::spawn(async move {
        core.outs
            .send(crate::forward::Out::Ask { to, seq, command })
            .await;
    });
}
