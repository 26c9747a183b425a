//! Path of a read through the router, an upstream and the check of its answer.

use std::time::Duration;

use check::{Answer, Connection, Effect, Event, Request};
use clock::Instant;
use model::{Cause, Freshness, Outcome, Report};
use rand::Rng;
use route::{Choice, Target, Trust, Verdict};
use session::Session;

use super::{
    Class,
    bench::{Check, Occurrence, PRIMARY, Pending, Simulation, Stage},
};
use crate::net::exponential;

/// Interval at which a read is retried while no upstream can serve it.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

impl Simulation {
    pub(super) fn choose(&mut self, request: Request) {
        let now = self.now;
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        if !matches!(pending.stage, Stage::Waiting | Stage::AwaitingRound) {
            return;
        }
        pending.stage = Stage::Waiting;
        let instance = pending.instance;
        let node = &mut self.instances[instance];
        if let Some(session) = node.sessions.get(&pending.caller) {
            pending.read = pending.read.floor(session.floor());
            pending.read.seen = session.seen();
        }
        let choice = node.router.choose(now, &pending.read, &mut self.rng);
        let verified = Check::Verified;
        match choice {
            Choice::Replica(u) => self.send(request, &u, verified(Target::Replica)),
            Choice::Primary(u) => self.send(request, &u, verified(Target::Primary)),
            Choice::Confirmed(u) => {
                self.send(request, &u, Check::Confirmed);
                self.poll_all(instance);
            }
            Choice::Wait { until, .. } => {
                self.schedule_after(until.since(now), Occurrence::Choose(request))
            }
            Choice::AwaitRound => {
                pending.stage = Stage::AwaitingRound;
                self.poll_all(instance);
            }
            Choice::Hold { .. } => self.schedule_after(RETRY_INTERVAL, Occurrence::Choose(request)),
            Choice::Refuse(_) => self.expired(request),
        }
    }

    fn send(&mut self, request: Request, upstream: &model::name::Upstream, check: Check) {
        let server = self.names.iter().position(|name| name == upstream);
        let server = server.expect("the router chooses a known upstream");
        let now = self.now;
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        pending.stage = Stage::Sent(check);
        pending.sent = now;
        let instance = pending.instance;
        let span = self.travel_time(instance, server);
        self.schedule_after(span, Occurrence::Queue { request, server });
    }

    pub(super) fn enqueue(&mut self, request: Request, server: usize) {
        self.servers[server].queue.push_back(request);
        self.start(server);
    }

    fn start(&mut self, server: usize) {
        while self.servers[server].running < self.site.slots {
            let Some(request) = self.servers[server].queue.pop_front() else {
                return;
            };
            self.servers[server].running += 1;
            let report = self.report(server);
            let mean = self.site.service_time.as_secs_f64();
            let took = Duration::from_secs_f64(exponential(&mut self.rng, mean));
            let seen = route::position(&report);
            let age = self.age(seen.lsn.0, self.now);
            self.record(&Event::Ran {
                request,
                connection: Connection(server as u64),
                transaction: None,
                effect: Effect::Read { seen, age },
            });
            let served = Occurrence::Served {
                request,
                server,
                report,
                took,
            };
            self.schedule_after(took, served);
        }
    }

    pub(super) fn served(
        &mut self,
        request: Request,
        server: usize,
        report: Report,
        took: Duration,
    ) {
        self.servers[server].running -= 1;
        self.start(server);
        let Some(instance) = self.pending.get(&request).map(|pending| pending.instance) else {
            return;
        };
        let name = self.names[server].clone();
        let event = route::Event::Served(&name, took);
        self.instances[instance].router.step(self.now, event);
        let span = self.travel_time(instance, server);
        let answered = Occurrence::Answered {
            request,
            server,
            report,
        };
        self.schedule_after(span, answered);
    }

    pub(super) fn answered(&mut self, request: Request, server: usize, report: Report) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let (instance, sent, stage) = (pending.instance, pending.sent, pending.stage);
        self.reported(instance, server, sent, report);
        let target = match stage {
            Stage::Sent(Check::Verified(target)) => target,
            Stage::Sent(Check::Confirmed) => return self.confirm(request, report, server),
            _ => return,
        };
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let node = &mut self.instances[instance];
        if node.router.verify(self.now, &report, &pending.read, target) != Verdict::Fresh {
            self.outcome.discarded += 1;
            pending.stage = Stage::Waiting;
            pending.read.trust = Trust::Proved;
            return self.choose(request);
        }
        let upto = route::position(&report);
        let confirmed = node.router.confirmed();
        if let Some(session) = node.sessions.get_mut(&pending.caller) {
            session.step(self.now, session::Event::Read { upto, confirmed });
        }
        self.finish(request, server);
    }

    /// Applies a report and resumes reads that wait for a confirmation round.
    pub(super) fn reported(
        &mut self,
        instance: usize,
        server: usize,
        sent: Instant,
        report: Report,
    ) {
        let now = self.now;
        let upstream = self.names[server].clone();
        let load = route::Load {
            in_flight: self.servers[server].running.into(),
            queued: self.servers[server].queue.len() as u32,
        };
        let age = self.age(report.replayed.0, sent);
        let node = &mut self.instances[instance];
        node.reports.insert(server, (sent, report, age));
        node.router.step(now, route::Event::Load(&upstream, load));
        let event = route::Event::Report {
            upstream: &upstream,
            sent,
            report,
        };
        let Some(round) = node.router.step(now, event) else {
            return;
        };
        for session in node.sessions.values_mut() {
            session.step(now, session::Event::Round(round));
        }
        let waits = |o: &Pending| matches!(o.stage, Stage::AwaitingRound | Stage::Confirming(..));
        let waiting = self.pending.iter();
        let waiting = waiting.filter(|(_, pending)| pending.instance == instance && waits(pending));
        let mut waiting: Vec<_> = waiting.map(|(r, pending)| (*r, pending.stage)).collect();
        waiting.sort_unstable_by_key(|(request, _)| *request);
        for (request, stage) in waiting {
            match stage {
                Stage::Confirming(report, server) => self.confirm(request, report, server),
                _ => self.choose(request),
            }
        }
    }

    fn confirm(&mut self, request: Request, report: Report, server: usize) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let node = &mut self.instances[pending.instance];
        let Some(round) = node.router.first_round_since(pending.read.began) else {
            pending.stage = Stage::Confirming(report, server);
            return;
        };
        if !route::position(&report).covers(round.position) {
            pending.stage = Stage::Waiting;
            return self.choose(request);
        }
        if let Some(session) = node.sessions.get_mut(&pending.caller) {
            session.step(self.now, session::Event::ReadConfirmed(round));
            let upto = route::position(&report);
            let confirmed = node.router.confirmed();
            session.step(self.now, session::Event::Read { upto, confirmed });
        }
        self.finish(request, server);
    }

    fn finish(&mut self, request: Request, server: usize) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        let is_measured = self.is_measured(&pending);
        let took = self.now.since(pending.read.began);
        let class = self.class(&pending);
        if is_measured {
            class.reads += 1;
            class.replica += u64::from(server != PRIMARY);
            class.took.add(took);
        }
        let sessions = &self.instances[pending.instance].sessions;
        let token = sessions.get(&pending.caller).and_then(Session::position);
        self.update_token(pending.caller, token);
        self.record(&Event::Answered {
            request,
            session: check::Session(pending.caller as u64),
            answer: Answer::done(request),
        });
    }

    pub(super) fn expired(&mut self, request: Request) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        if self.is_measured(&pending) {
            let class = self.class(&pending);
            class.reads += 1;
            class.unserved += 1;
        }
        let outcome = Outcome::Unknown(Cause::Deadline);
        self.record(&Event::Answered {
            request,
            session: check::Session(pending.caller as u64),
            answer: Answer::without_rows(outcome),
        });
    }

    pub(super) fn class(&mut self, pending: &Pending) -> &mut Class {
        match pending.read.freshness {
            Freshness::Age(_) => &mut self.outcome.calendar,
            Freshness::Session | Freshness::Current => &mut self.outcome.own,
        }
    }

    pub(super) fn draw(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }
}
