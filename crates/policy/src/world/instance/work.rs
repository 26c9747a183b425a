//! The requests at one instance.

use std::time::Duration;

use check::{Answer, Event, Operation, Request};
use clock::Instant;
use failover::quorum::Id;
use model::{Cause, Freshness, Outcome, Position, Repeat, Report, name};
use pool::{Handle, conn::Generation};
use request::{Event as Turn, Request as Life};
use route::{Choice, Read, Target, Trust, Verdict};
use session::{Session, Start};

use super::{Arrival, Errand, Instance, Reply, World, upstream};
use crate::world::{End, Happening, Logic, caller::Kind};

/// How long a request may take.
const DEADLINE: Duration = Duration::from_secs(1);
/// How often a read that nothing can serve now is tried again.
const HOLD: Duration = Duration::from_millis(5);

/// One request at its instance.
#[derive(Debug)]
pub(super) struct Work {
    errand: Errand,
    began: Instant,
    stage: Stage,
    /// Whether its bytes may have left for an upstream.
    left: Left,
    read: Read,
    /// What a read that asked for an operation found.
    found: Option<Operation>,
    /// A write's life: what its outcome may be said to be.
    life: Life,
    sequence: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Left {
    Not,
    Maybe,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// It waits for an upstream that may serve it.
    Waiting,
    /// It waits for a round that tells its session's floor.
    Discovering,
    /// It is under way to an upstream since this moment.
    Sent {
        server: usize,
        at: Instant,
        proof: Proof,
    },
    /// The primary ran it; a majority must hold this position.
    Landing(Position),
    /// The primary answered it; a majority must confirm its term.
    Confirming(Report),
}

/// What an answer must pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Proof {
    Held,
    Verified(Target),
    Confirmed,
}

impl Instance {
    /// Whether a request waits for a confirmed round.
    pub(super) fn wants_round(&self) -> bool {
        let wants = |w: &Work| matches!(w.stage, Stage::Discovering | Stage::Confirming(_));
        self.work.values().any(wants)
    }

    /// The requests under way to an upstream.
    pub(in crate::world) fn under_way(&self, server: usize) -> Vec<(Request, Kind)> {
        let sent = |w: &Work| matches!(w.stage, Stage::Sent { server: s, .. } if s == server);
        let sent = self.work.iter().filter(|(_, w)| sent(w));
        sent.map(|(request, w)| (*request, w.errand.kind)).collect()
    }
}

impl World {
    /// Takes a caller's request.
    pub(super) fn take(&mut self, instance: usize, errand: Errand) {
        let (request, now) = (errand.request, self.now);
        let freshness = match errand.kind {
            Kind::Write => Freshness::Session,
            Kind::Read(freshness) => freshness,
        };
        self.open_session(instance, &errand);
        let work = Work {
            began: now,
            stage: Stage::Waiting,
            left: Left::Not,
            read: Read::new(now, now + DEADLINE).freshness(freshness),
            found: None,
            life: Life::new(Repeat::Once, request::Target::Primary, now + DEADLINE),
            sequence: 0,
            errand,
        };
        let kind = work.errand.kind;
        self.instances[instance].work.insert(request, work);
        self.later(instance, DEADLINE, Arrival::Expired(request));
        match kind {
            Kind::Write => self.live(instance, request, Turn::Start),
            Kind::Read(_) => self.choose(instance, request),
        }
    }

    /// A caller presents its token with each request, and roams with nothing
    /// at times. A request that it has under way elsewhere may have raised the
    /// token meanwhile.
    fn open_session(&mut self, instance: usize, errand: &Errand) {
        let now = self.now;
        let sessions = &mut self.instances[instance].sessions;
        if errand.roamed {
            sessions.remove(&errand.caller);
        }
        let session = sessions.entry(errand.caller);
        let session = session.or_insert_with(|| Session::open(now));
        match (errand.token, self.logic) {
            (_, Logic::IgnoreTokens) => {
                *session = Session::open(now);
                let nothing = session::Event::Presented(Position::default());
                session.step(now, nothing);
            }
            (Some(token), _) => session.step(now, session::Event::Presented(token)),
            (None, _) => {}
        }
    }

    /// Lets a write's life go on, and carries out what it asks for.
    fn live(&mut self, instance: usize, request: Request, turn: Turn) {
        let now = self.now;
        let here = &mut self.instances[instance];
        let Some(work) = here.work.get_mut(&request) else {
            return;
        };
        for action in work.life.step(now, &mut here.budget, turn) {
            match action {
                request::Action::Acquire(_) => self.acquire(instance, request),
                request::Action::Send(_) => self.send_write(instance, request),
                request::Action::Confirm(position) => self.land(instance, request, position),
                request::Action::Withdraw => {}
                request::Action::End(outcome, _) => self.finish_request(instance, request, outcome),
            }
        }
    }

    /// The group's connections are warm; what is missing may be a primary.
    fn acquire(&mut self, instance: usize, request: Request) {
        let here = &mut self.instances[instance];
        let Some(work) = here.work.get_mut(&request) else {
            return;
        };
        work.sequence += 1;
        let handle = work.handle(request);
        let turn = match (self.logic, here.group.primary()) {
            (Logic::Naive, _) | (_, Some(_)) => Turn::Admitted(handle),
            (_, None) => Turn::Refused(Cause::NoUpstream, HOLD),
        };
        self.live(instance, request, turn);
    }

    fn send_write(&mut self, instance: usize, request: Request) {
        let here = &self.instances[instance];
        let upstream = match (self.logic, here.group.primary()) {
            (Logic::Naive, _) => self.names[0].clone(),
            (_, Some(lead)) => lead.upstream.clone(),
            (_, None) => return,
        };
        let operation = here.work[&request].errand.operation;
        let ask = upstream::Ask::Write(request, operation);
        self.dispatch(instance, request, &upstream, Proof::Held, ask);
    }

    fn dispatch(
        &mut self,
        instance: usize,
        request: Request,
        upstream: &name::Upstream,
        proof: Proof,
        ask: upstream::Ask,
    ) {
        let (server, at) = (self.index(upstream), self.now);
        let Some(work) = self.instances[instance].work.get_mut(&request) else {
            return;
        };
        work.left = Left::Maybe;
        work.stage = Stage::Sent { server, at, proof };
        self.tell(Event::Sent {
            request,
            upstream: upstream.clone(),
            transaction: None,
        });
        self.ask_server(instance, upstream, ask);
    }

    /// Chooses an upstream for a read.
    pub(super) fn choose(&mut self, instance: usize, request: Request) {
        let now = self.now;
        let here = &mut self.instances[instance];
        let Some(work) = here.work.get_mut(&request) else {
            return;
        };
        if !matches!(work.stage, Stage::Waiting | Stage::Discovering) {
            return;
        }
        work.stage = Stage::Waiting;
        let ask = upstream::Ask::Read(request, work.errand.look);
        if self.logic == Logic::Naive {
            let upstream = self.names[0].clone();
            return self.dispatch(instance, request, &upstream, Proof::Held, ask);
        }
        if let Some(session) = here.sessions.get(&work.errand.caller) {
            work.read = work.read.floor(session.floor());
            work.read.seen = session.seen();
        }
        let choice = here.router.choose(now, &work.read, &mut self.rng);
        let verified = Proof::Verified;
        match choice {
            Choice::Replica(u) => {
                self.dispatch(instance, request, &u, verified(Target::Replica), ask);
            }
            Choice::Primary(u) => {
                self.dispatch(instance, request, &u, verified(Target::Primary), ask);
            }
            Choice::Confirmed(u) => self.dispatch(instance, request, &u, Proof::Confirmed, ask),
            Choice::Wait { until, .. } => {
                self.later(instance, until.since(now), Arrival::Again(request));
            }
            Choice::AwaitRound => self.discover(instance, request),
            Choice::Hold { .. } => self.later(instance, HOLD, Arrival::Again(request)),
            Choice::Refuse(cause) => self.refuse_read(instance, request, cause),
        }
    }

    fn refuse_read(&mut self, instance: usize, request: Request, cause: Cause) {
        let work = &self.instances[instance].work[&request];
        let outcome = work.given_up(cause);
        self.finish_request(instance, request, outcome);
    }

    fn discover(&mut self, instance: usize, request: Request) {
        let now = self.now;
        let here = &mut self.instances[instance];
        let Some(work) = here.work.get_mut(&request) else {
            return;
        };
        work.stage = Stage::Discovering;
        if here.round.request(now, work.began) == Start::Now {
            self.poll_all(instance);
        }
    }

    /// A round was confirmed: what waited for one goes on.
    pub(super) fn discovered(&mut self, instance: usize) {
        let here = &self.instances[instance];
        let waits = |w: &Work| matches!(w.stage, Stage::Discovering | Stage::Confirming(_));
        let waiting = here.work.iter().filter(|(_, w)| waits(w));
        let waiting: Vec<_> = waiting.map(|(r, w)| (*r, w.stage)).collect();
        for (request, stage) in waiting {
            match stage {
                Stage::Confirming(report) => self.confirm(instance, request, report),
                _ => self.choose(instance, request),
            }
        }
    }

    /// An upstream answered a write.
    pub(super) fn wrote(&mut self, instance: usize, server: usize, request: Request, reply: Reply) {
        let here = &mut self.instances[instance];
        let Some(work) = here.work.get_mut(&request) else {
            return;
        };
        let Stage::Sent { at, .. } = work.stage else {
            return;
        };
        let handle = work.handle(request);
        let turn = match reply {
            Reply::Ran(position, report) => {
                let answer = request::Answer::Wrote(position);
                self.live(instance, request, Turn::Answered(handle, answer));
                return self.reported(instance, server, at, report);
            }
            // A replica's refusal proves that the write did not run, as an
            // unsent one did not; so does a refused connection.
            Reply::Refused | Reply::Unreachable => Turn::Unsent(handle),
            Reply::Broken if self.logic == Logic::ClaimNotRun => {
                let outcome = Outcome::NotRun(Cause::ConnectionLost);
                return self.finish_request(instance, request, outcome);
            }
            Reply::Broken => Turn::Lost(handle),
        };
        self.live(instance, request, turn);
    }

    /// The primary ran a write; a majority must hold its position.
    fn land(&mut self, instance: usize, request: Request, position: Position) {
        let here = &mut self.instances[instance];
        let Some(work) = here.work.get_mut(&request) else {
            return;
        };
        work.stage = Stage::Landing(position);
        if matches!(self.logic, Logic::Naive | Logic::AcknowledgeUnreplicated) {
            return self.landed(instance, request);
        }
        match here.quorum.add_write(Id(request.0), position) {
            Ok(None) => self.poll_all(instance),
            Ok(Some(_)) => self.landed(instance, request),
            Err(_) => self.replaced(instance, request),
        }
    }

    /// A majority holds a write.
    pub(super) fn landed(&mut self, instance: usize, request: Request) {
        let now = self.now;
        let here = &mut self.instances[instance];
        let Some(work) = here.work.get(&request) else {
            return;
        };
        let Stage::Landing(position) = work.stage else {
            return;
        };
        if let Some(session) = here.sessions.get_mut(&work.errand.caller) {
            session.step(now, session::Event::Acknowledged(position));
        }
        self.live(instance, request, Turn::Confirmed(position));
    }

    /// The primary of a write was replaced before a majority was seen.
    pub(super) fn replaced(&mut self, instance: usize, request: Request) {
        self.live(instance, request, Turn::Replaced);
    }

    /// An upstream answered a read, or could not be reached.
    pub(super) fn read(
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
        let Stage::Sent { at, proof, .. } = work.stage else {
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
            return self.anew(instance, request);
        };
        self.reported(instance, server, at, report);
        match proof {
            Proof::Confirmed if self.logic == Logic::Unverified => {
                self.finish_request(instance, request, Outcome::Done);
            }
            Proof::Confirmed => self.confirm(instance, request, report),
            Proof::Verified(target) => self.verify(instance, request, report, target),
            Proof::Held => {}
        }
    }

    fn verify(&mut self, instance: usize, request: Request, report: Report, target: Target) {
        let now = self.now;
        let here = &mut self.instances[instance];
        let work = &here.work[&request];
        let verdict = here.router.verify(now, &report, &work.read, target);
        if verdict != Verdict::Fresh && self.logic != Logic::Unverified {
            return self.anew(instance, request);
        }
        if let Some(session) = here.sessions.get_mut(&work.errand.caller) {
            let upto = route::position(&report);
            let confirmed = here.router.confirmed();
            session.step(now, session::Event::Read { upto, confirmed });
        }
        self.finish_request(instance, request, Outcome::Done);
    }

    /// Gives a read's answer out if a round since it began proves the term.
    fn confirm(&mut self, instance: usize, request: Request, report: Report) {
        let now = self.now;
        let here = &mut self.instances[instance];
        let Some(work) = here.work.get_mut(&request) else {
            return;
        };
        let Some(round) = here.router.first_round_since(work.began) else {
            work.stage = Stage::Confirming(report);
            return self.poll_all(instance);
        };
        let position = route::position(&report);
        if position.term != round.position.term || !position.covers(round.position) {
            return self.anew(instance, request);
        }
        if let Some(session) = here.sessions.get_mut(&work.errand.caller) {
            session.step(now, session::Event::ReadConfirmed(round));
            // The read may have shown more than the round confirmed. Unnoted,
            // the session's next read could go to a replica that lacks it.
            let confirmed = here.router.confirmed();
            let upto = position;
            session.step(now, session::Event::Read { upto, confirmed });
        }
        self.finish_request(instance, request, Outcome::Done);
    }

    fn anew(&mut self, instance: usize, request: Request) {
        let Some(work) = self.instances[instance].work.get_mut(&request) else {
            return;
        };
        work.stage = Stage::Waiting;
        work.read.trust = Trust::Proved;
        self.later(instance, Duration::from_millis(1), Arrival::Again(request));
    }

    pub(super) fn expired(&mut self, instance: usize, request: Request) {
        let here = &mut self.instances[instance];
        let Some(work) = here.work.get(&request) else {
            return;
        };
        if let Stage::Landing(position) = work.stage {
            here.quorum.cancel_write(Id(request.0), position);
        }
        if work.errand.kind == Kind::Write {
            return self.live(instance, request, Turn::Deadline);
        }
        let outcome = work.given_up(Cause::Deadline);
        self.finish_request(instance, request, outcome);
    }

    fn finish_request(&mut self, instance: usize, request: Request, outcome: Outcome) {
        let here = &mut self.instances[instance];
        let Some(work) = here.work.remove(&request) else {
            return;
        };
        let session = here.sessions.get(&work.errand.caller);
        let token = session.and_then(Session::position);
        let answer = match outcome {
            Outcome::Done => Answer::done(request),
            _ => Answer::without_rows(outcome),
        };
        let term = match work.stage {
            Stage::Landing(position) => Some(position.term),
            _ => None,
        };
        let found = work.found;
        self.give(request, answer, token, End { term, found });
    }

    fn give(&mut self, request: Request, answer: Answer, token: Option<Position>, end: End) {
        let happening = Happening::Answer {
            request,
            answer,
            token,
            end,
        };
        self.after(self.site.caller_latency, happening);
    }

    /// A caller's connection broke with its instance.
    pub(super) fn hang_up(&mut self, request: Request) {
        let outcome = Outcome::Unknown(Cause::ConnectionLost);
        self.give(request, Answer::without_rows(outcome), None, End::default());
    }
}

impl Work {
    /// Ties an answer to the attempt that it answers.
    fn handle(&self, request: Request) -> Handle {
        Handle {
            generation: Generation(request.0),
            sequence: self.sequence,
        }
    }

    /// How it ends when it is given up: "not run" only if nothing had left.
    fn given_up(&self, cause: Cause) -> Outcome {
        match self.left {
            Left::Not => Outcome::NotRun(cause),
            Left::Maybe => Outcome::Unknown(cause),
        }
    }
}
