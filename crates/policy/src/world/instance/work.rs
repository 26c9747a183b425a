//! Requests handled by an instance.

use std::time::Duration;

use check::{Answer, Event, Operation, Request};
use clock::Instant;
use failover::quorum::Id;
use model::{Cause, Freshness, Outcome, Position, Repeat, Report, name};
use pool::{Handle, conn::Generation};
use request::{Event as WriteEvent, Request as WriteState};
use route::{Choice, Read, Target, Trust, Verdict};
use session::{Session, Start};

use super::{Arrival, Instance, Reply, Submission, World, upstream};
use crate::world::{Detail, Logic, Occurrence, caller::Kind};

/// Time limit of a request.
const DEADLINE: Duration = Duration::from_secs(1);
/// Interval at which a read is retried while no upstream can serve it.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Request being handled.
#[derive(Debug)]
pub(super) struct Work {
    submission: Submission,
    began: Instant,
    stage: Stage,
    /// `Possible` once bytes of the request may have been sent to an upstream.
    transmission: Transmission,
    read: Read,
    /// Operation that a read found.
    found: Option<Operation>,
    /// State of a write, which determines its outcome.
    write: WriteState,
    sequence: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Transmission {
    None,
    Possible,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Waits for an upstream that can serve the request.
    Waiting,
    /// Waits for a confirmation round that determines the session's floor.
    AwaitingRound,
    /// Was sent to an upstream at `at`.
    Sent {
        server: usize,
        at: Instant,
        check: Check,
    },
    /// Ran on the primary; a majority has to confirm the position.
    Replicating(Position),
    /// Was answered by the primary; a majority has to confirm the term.
    Confirming(Report),
}

/// Check that an answer must pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Check {
    Unchecked,
    Verified(Target),
    Confirmed,
}

impl Instance {
    /// Returns true if a request waits for a confirmation round.
    pub(super) fn awaits_round(&self) -> bool {
        let wants = |w: &Work| matches!(w.stage, Stage::AwaitingRound | Stage::Confirming(_));
        self.work.values().any(wants)
    }

    /// Returns the requests that were sent to an upstream and not answered yet.
    pub(in crate::world) fn in_flight(&self, server: usize) -> Vec<(Request, Kind)> {
        let sent = |w: &Work| matches!(w.stage, Stage::Sent { server: s, .. } if s == server);
        let sent = self.work.iter().filter(|(_, w)| sent(w));
        sent.map(|(request, w)| (*request, w.submission.kind))
            .collect()
    }
}

impl World {
    pub(super) fn accept(&mut self, instance: usize, submission: Submission) {
        let (request, now) = (submission.request, self.now);
        let freshness = match submission.kind {
            Kind::Write => Freshness::Session,
            Kind::Read(freshness) => freshness,
        };
        self.open_session(instance, &submission);
        let work = Work {
            began: now,
            stage: Stage::Waiting,
            transmission: Transmission::None,
            read: Read::new(now, now + DEADLINE).freshness(freshness),
            found: None,
            write: WriteState::new(Repeat::Once, request::Target::Primary, now + DEADLINE),
            sequence: 0,
            submission,
        };
        let kind = work.submission.kind;
        self.instances[instance].work.insert(request, work);
        self.deliver_after(instance, DEADLINE, Arrival::Expired(request));
        match kind {
            Kind::Write => self.step_write(instance, request, WriteEvent::Start),
            Kind::Read(_) => self.choose(instance, request),
        }
    }

    /// Opens or updates the caller's session with the token of the request.
    ///
    /// The token may be missing on a roaming request, or be newer than the
    /// session because of a concurrent request at another instance.
    fn open_session(&mut self, instance: usize, submission: &Submission) {
        let now = self.now;
        let sessions = &mut self.instances[instance].sessions;
        if submission.roamed {
            sessions.remove(&submission.caller);
        }
        let session = sessions.entry(submission.caller);
        let session = session.or_insert_with(|| Session::open(now));
        match (submission.token, self.logic) {
            (_, Logic::IgnoreTokens) => {
                *session = Session::open(now);
                let nothing = session::Event::Presented(Position::default());
                session.step(now, nothing);
            }
            (Some(token), _) => session.step(now, session::Event::Presented(token)),
            (None, _) => {}
        }
    }

    /// Applies an event to a write and carries out the resulting actions.
    fn step_write(&mut self, instance: usize, request: Request, event: WriteEvent) {
        let now = self.now;
        let node = &mut self.instances[instance];
        let Some(work) = node.work.get_mut(&request) else {
            return;
        };
        for action in work.write.step(now, &mut node.budget, event) {
            match action {
                request::Action::Acquire(_) => self.acquire(instance, request),
                request::Action::Send(_) => self.send_write(instance, request),
                request::Action::Confirm(position) => {
                    self.await_majority(instance, request, position)
                }
                request::Action::Withdraw => {}
                request::Action::End(outcome, _) => self.finish_request(instance, request, outcome),
            }
        }
    }

    /// Admits a write if a primary is known; connections are taken as always
    /// available.
    fn acquire(&mut self, instance: usize, request: Request) {
        let node = &mut self.instances[instance];
        let Some(work) = node.work.get_mut(&request) else {
            return;
        };
        work.sequence += 1;
        let handle = work.handle(request);
        let event = match (self.logic, node.group.primary()) {
            (Logic::Naive, _) | (_, Some(_)) => WriteEvent::Admitted(handle),
            (_, None) => WriteEvent::Refused(Cause::NoUpstream, RETRY_INTERVAL),
        };
        self.step_write(instance, request, event);
    }

    fn send_write(&mut self, instance: usize, request: Request) {
        let node = &self.instances[instance];
        let upstream = match (self.logic, node.group.primary()) {
            (Logic::Naive, _) => self.names[0].clone(),
            (_, Some(primary)) => primary.upstream.clone(),
            (_, None) => return,
        };
        let operation = node.work[&request].submission.operation;
        let message = upstream::Message::Write(request, operation);
        self.dispatch(instance, request, &upstream, Check::Unchecked, message);
    }

    fn dispatch(
        &mut self,
        instance: usize,
        request: Request,
        upstream: &name::Upstream,
        check: Check,
        message: upstream::Message,
    ) {
        let (server, at) = (self.upstream_index(upstream), self.now);
        let Some(work) = self.instances[instance].work.get_mut(&request) else {
            return;
        };
        work.transmission = Transmission::Possible;
        work.stage = Stage::Sent { server, at, check };
        self.record(Event::Sent {
            request,
            upstream: upstream.clone(),
            transaction: None,
        });
        self.ask_server(instance, upstream, message);
    }

    /// Chooses an upstream for a read.
    pub(super) fn choose(&mut self, instance: usize, request: Request) {
        let now = self.now;
        let node = &mut self.instances[instance];
        let Some(work) = node.work.get_mut(&request) else {
            return;
        };
        if !matches!(work.stage, Stage::Waiting | Stage::AwaitingRound) {
            return;
        }
        work.stage = Stage::Waiting;
        let message = upstream::Message::Read(request, work.submission.lookup);
        if self.logic == Logic::Naive {
            let upstream = self.names[0].clone();
            return self.dispatch(instance, request, &upstream, Check::Unchecked, message);
        }
        if let Some(session) = node.sessions.get(&work.submission.caller) {
            work.read = work.read.floor(session.floor());
            work.read.seen = session.seen();
        }
        let choice = node.router.choose(now, &work.read, &mut self.rng);
        let verified = Check::Verified;
        match choice {
            Choice::Replica(u) => {
                self.dispatch(instance, request, &u, verified(Target::Replica), message);
            }
            Choice::Primary(u) => {
                self.dispatch(instance, request, &u, verified(Target::Primary), message);
            }
            Choice::Confirmed(u) => self.dispatch(instance, request, &u, Check::Confirmed, message),
            Choice::Wait { until, .. } => {
                self.deliver_after(instance, until.since(now), Arrival::Retry(request));
            }
            Choice::AwaitRound => self.await_round(instance, request),
            Choice::Hold { .. } => {
                self.deliver_after(instance, RETRY_INTERVAL, Arrival::Retry(request))
            }
            Choice::Refuse(cause) => self.refuse_read(instance, request, cause),
        }
    }

    fn refuse_read(&mut self, instance: usize, request: Request, cause: Cause) {
        let work = &self.instances[instance].work[&request];
        let outcome = work.abandoned(cause);
        self.finish_request(instance, request, outcome);
    }

    fn await_round(&mut self, instance: usize, request: Request) {
        let now = self.now;
        let node = &mut self.instances[instance];
        let Some(work) = node.work.get_mut(&request) else {
            return;
        };
        work.stage = Stage::AwaitingRound;
        if node.round.request(now, work.began) == Start::Now {
            self.poll_all(instance);
        }
    }

    /// Resumes the requests that waited for a confirmation round.
    pub(super) fn round_confirmed(&mut self, instance: usize) {
        let node = &self.instances[instance];
        let waits = |w: &Work| matches!(w.stage, Stage::AwaitingRound | Stage::Confirming(_));
        let waiting = node.work.iter().filter(|(_, w)| waits(w));
        let waiting: Vec<_> = waiting.map(|(r, w)| (*r, w.stage)).collect();
        for (request, stage) in waiting {
            match stage {
                Stage::Confirming(report) => self.confirm(instance, request, report),
                _ => self.choose(instance, request),
            }
        }
    }

    pub(super) fn write_answered(
        &mut self,
        instance: usize,
        server: usize,
        request: Request,
        reply: Reply,
    ) {
        let node = &mut self.instances[instance];
        let Some(work) = node.work.get_mut(&request) else {
            return;
        };
        let Stage::Sent { at, .. } = work.stage else {
            return;
        };
        let handle = work.handle(request);
        let event = match reply {
            Reply::Ran(position, report) => {
                let answer = request::Answer::Wrote(position);
                self.step_write(instance, request, WriteEvent::Answered(handle, answer));
                return self.reported(instance, server, at, report);
            }
            // A replica's refusal and a refused connection both prove that the
            // write did not run, like a write that was not sent.
            Reply::Refused | Reply::Unreachable => WriteEvent::Unsent(handle),
            Reply::Broken if self.logic == Logic::ClaimNotRun => {
                let outcome = Outcome::NotRun(Cause::ConnectionLost);
                return self.finish_request(instance, request, outcome);
            }
            Reply::Broken => WriteEvent::Lost(handle),
        };
        self.step_write(instance, request, event);
    }

    /// Waits until a majority confirms the position of a write that the primary
    /// ran.
    fn await_majority(&mut self, instance: usize, request: Request, position: Position) {
        let node = &mut self.instances[instance];
        let Some(work) = node.work.get_mut(&request) else {
            return;
        };
        work.stage = Stage::Replicating(position);
        if matches!(self.logic, Logic::Naive | Logic::AcknowledgeUnreplicated) {
            return self.committed(instance, request);
        }
        match node.quorum.add_write(Id(request.0), position) {
            Ok(None) => self.poll_all(instance),
            Ok(Some(_)) => self.committed(instance, request),
            Err(_) => self.primary_replaced(instance, request),
        }
    }

    /// Completes a write that a majority has confirmed.
    pub(super) fn committed(&mut self, instance: usize, request: Request) {
        let now = self.now;
        let node = &mut self.instances[instance];
        let Some(work) = node.work.get(&request) else {
            return;
        };
        let Stage::Replicating(position) = work.stage else {
            return;
        };
        if let Some(session) = node.sessions.get_mut(&work.submission.caller) {
            session.step(now, session::Event::Acknowledged(position));
        }
        self.step_write(instance, request, WriteEvent::Confirmed(position));
    }

    /// Ends a write whose primary was replaced before a majority confirmed the
    /// write.
    pub(super) fn primary_replaced(&mut self, instance: usize, request: Request) {
        self.step_write(instance, request, WriteEvent::Replaced);
    }

    /// Handles an upstream's answer to a read, or the failure to reach the
    /// upstream.
    pub(super) fn read_answered(
        &mut self,
        instance: usize,
        server: usize,
        request: Request,
        answer: Option<(Report, Option<Operation>)>,
    ) {
        let now = self.now;
        let Some(work) = self.instances[instance].work.get_mut(&request) else {
            return;
        };
        let Stage::Sent { at, check, .. } = work.stage else {
            return;
        };
        if let Some((_, found)) = answer {
            work.found = found;
        }
        if self.logic == Logic::Naive {
            let lost = Outcome::Unknown(Cause::ConnectionLost);
            let outcome = answer.map_or(lost, |_| Outcome::Done);
            return self.finish_request(instance, request, outcome);
        }
        let Some((report, _)) = answer else {
            let upstream = self.names[server].clone();
            let open = route::Event::Breaker(&upstream, route::Breaker::Open);
            self.instances[instance].router.step(now, open);
            return self.retry_read(instance, request);
        };
        self.reported(instance, server, at, report);
        match check {
            Check::Confirmed if self.logic == Logic::Unverified => {
                self.finish_request(instance, request, Outcome::Done);
            }
            Check::Confirmed => self.confirm(instance, request, report),
            Check::Verified(target) => self.verify(instance, request, report, target),
            Check::Unchecked => {}
        }
    }

    fn verify(&mut self, instance: usize, request: Request, report: Report, target: Target) {
        let now = self.now;
        let node = &mut self.instances[instance];
        let work = &node.work[&request];
        let verdict = node.router.verify(now, &report, &work.read, target);
        if verdict != Verdict::Fresh && self.logic != Logic::Unverified {
            return self.retry_read(instance, request);
        }
        if let Some(session) = node.sessions.get_mut(&work.submission.caller) {
            let upto = route::position(&report);
            let confirmed = node.router.confirmed();
            session.step(now, session::Event::Read { upto, confirmed });
        }
        self.finish_request(instance, request, Outcome::Done);
    }

    /// Returns the answer of a read once a confirmation round that began after
    /// the read proves the term.
    fn confirm(&mut self, instance: usize, request: Request, report: Report) {
        let now = self.now;
        let node = &mut self.instances[instance];
        let Some(work) = node.work.get_mut(&request) else {
            return;
        };
        let Some(round) = node.router.first_round_since(work.began) else {
            work.stage = Stage::Confirming(report);
            return self.poll_all(instance);
        };
        let position = route::position(&report);
        if position.term != round.position.term || !position.covers(round.position) {
            return self.retry_read(instance, request);
        }
        if let Some(session) = node.sessions.get_mut(&work.submission.caller) {
            session.step(now, session::Event::ReadConfirmed(round));
            // The read may have shown more than the round confirmed. Unless the
            // session records that, its next read could go to a replica that
            // lacks it.
            let confirmed = node.router.confirmed();
            let upto = position;
            session.step(now, session::Event::Read { upto, confirmed });
        }
        self.finish_request(instance, request, Outcome::Done);
    }

    fn retry_read(&mut self, instance: usize, request: Request) {
        let Some(work) = self.instances[instance].work.get_mut(&request) else {
            return;
        };
        work.stage = Stage::Waiting;
        work.read.trust = Trust::Proved;
        self.deliver_after(instance, Duration::from_millis(1), Arrival::Retry(request));
    }

    pub(super) fn expired(&mut self, instance: usize, request: Request) {
        let node = &mut self.instances[instance];
        let Some(work) = node.work.get(&request) else {
            return;
        };
        if let Stage::Replicating(position) = work.stage {
            node.quorum.cancel_write(Id(request.0), position);
        }
        if work.submission.kind == Kind::Write {
            return self.step_write(instance, request, WriteEvent::Deadline);
        }
        let outcome = work.abandoned(Cause::Deadline);
        self.finish_request(instance, request, outcome);
    }

    fn finish_request(&mut self, instance: usize, request: Request, outcome: Outcome) {
        let node = &mut self.instances[instance];
        let Some(work) = node.work.remove(&request) else {
            return;
        };
        let session = node.sessions.get(&work.submission.caller);
        let token = session.and_then(Session::position);
        let answer = match outcome {
            Outcome::Done => Answer::done(request),
            _ => Answer::without_rows(outcome),
        };
        let term = match work.stage {
            Stage::Replicating(position) => Some(position.term),
            _ => None,
        };
        let found = work.found;
        self.send_answer(request, answer, token, Detail { term, found });
    }

    fn send_answer(
        &mut self,
        request: Request,
        answer: Answer,
        token: Option<Position>,
        detail: Detail,
    ) {
        let occurrence = Occurrence::Answer {
            request,
            answer,
            token,
            detail,
        };
        self.schedule_after(self.site.caller_latency, occurrence);
    }

    /// Fails a request whose connection broke when its instance died.
    pub(super) fn drop_connection(&mut self, request: Request) {
        let outcome = Outcome::Unknown(Cause::ConnectionLost);
        self.send_answer(
            request,
            Answer::without_rows(outcome),
            None,
            Detail::default(),
        );
    }
}

impl Work {
    /// Returns the handle that ties an answer to its attempt.
    fn handle(&self, request: Request) -> Handle {
        Handle {
            generation: Generation(request.0),
            sequence: self.sequence,
        }
    }

    /// Returns the outcome of an abandoned request: `NotRun` only if nothing
    /// was sent.
    fn abandoned(&self, cause: Cause) -> Outcome {
        match self.transmission {
            Transmission::None => Outcome::NotRun(cause),
            Transmission::Possible => Outcome::Unknown(cause),
        }
    }
}
