//! A read's way through the real router, an upstream and the proof.

use std::time::Duration;

use check::{Answer, Connection, Effect, Event, Request};
use clock::Instant;
use model::{Cause, Freshness, Outcome, Report};
use rand::Rng;
use route::{Choice, Target, Trust, Verdict};
use session::Session;

use super::{
    Class,
    bench::{Bench, Happening, Open, PRIMARY, Proof, Stage},
};
use crate::net::exponential;

/// How often a read that nothing can serve now is tried again.
const HOLD: Duration = Duration::from_millis(5);

impl Bench {
    pub(super) fn choose(&mut self, request: Request) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        if !matches!(open.stage, Stage::Waiting | Stage::Discovering) {
            return;
        }
        open.stage = Stage::Waiting;
        let instance = open.instance;
        let here = &mut self.instances[instance];
        if let Some(session) = here.sessions.get(&open.caller) {
            open.read = open.read.floor(session.floor());
            open.read.seen = session.seen();
        }
        let choice = here.router.choose(now, &open.read, &mut self.rng);
        let verified = Proof::Verified;
        match choice {
            Choice::Replica(u) => self.send(request, &u, verified(Target::Replica)),
            Choice::Primary(u) => self.send(request, &u, verified(Target::Primary)),
            Choice::Confirmed(u) => {
                self.send(request, &u, Proof::Confirmed);
                self.poll_all(instance);
            }
            Choice::Wait { until, .. } => self.after(until.since(now), Happening::Choose(request)),
            Choice::AwaitRound => {
                open.stage = Stage::Discovering;
                self.poll_all(instance);
            }
            Choice::Hold { .. } => self.after(HOLD, Happening::Choose(request)),
            Choice::Refuse(_) => self.expired(request),
        }
    }

    fn send(&mut self, request: Request, upstream: &model::name::Upstream, proof: Proof) {
        let server = self.names.iter().position(|name| name == upstream);
        let server = server.expect("the router was told these names");
        let now = self.now;
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        open.stage = Stage::Sent(proof);
        open.sent = now;
        let instance = open.instance;
        let span = self.travel(instance, server);
        self.after(span, Happening::Queue { request, server });
    }

    pub(super) fn queue(&mut self, request: Request, server: usize) {
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
            self.tell(&Event::Ran {
                request,
                connection: Connection(server as u64),
                transaction: None,
                effect: Effect::Read { seen, age },
            });
            let served = Happening::Served {
                request,
                server,
                report,
                took,
            };
            self.after(took, served);
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
        let Some(instance) = self.open.get(&request).map(|open| open.instance) else {
            return;
        };
        let name = self.names[server].clone();
        let event = route::Event::Served(&name, took);
        self.instances[instance].router.step(self.now, event);
        let span = self.travel(instance, server);
        let answered = Happening::Answered {
            request,
            server,
            report,
        };
        self.after(span, answered);
    }

    pub(super) fn answered(&mut self, request: Request, server: usize, report: Report) {
        let Some(open) = self.open.get(&request) else {
            return;
        };
        let (instance, sent, stage) = (open.instance, open.sent, open.stage);
        self.reported(instance, server, sent, report);
        let target = match stage {
            Stage::Sent(Proof::Verified(target)) => target,
            Stage::Sent(Proof::Confirmed) => return self.confirm(request, report, server),
            _ => return,
        };
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let here = &mut self.instances[instance];
        if here.router.verify(self.now, &report, &open.read, target) != Verdict::Fresh {
            self.outcome.discarded += 1;
            open.stage = Stage::Waiting;
            open.read.trust = Trust::Proved;
            return self.choose(request);
        }
        let upto = route::position(&report);
        let confirmed = here.router.confirmed();
        if let Some(session) = here.sessions.get_mut(&open.caller) {
            session.step(self.now, session::Event::Read { upto, confirmed });
        }
        self.finish(request, server);
    }

    /// Takes in a report, and goes on with what waited for a round.
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
        let here = &mut self.instances[instance];
        here.heard.insert(server, (sent, report, age));
        here.router.step(now, route::Event::Load(&upstream, load));
        let event = route::Event::Report {
            upstream: &upstream,
            sent,
            report,
        };
        let Some(round) = here.router.step(now, event) else {
            return;
        };
        for session in here.sessions.values_mut() {
            session.step(now, session::Event::Round(round));
        }
        let waits = |o: &Open| matches!(o.stage, Stage::Discovering | Stage::Confirming(..));
        let waiting = self.open.iter();
        let waiting = waiting.filter(|(_, open)| open.instance == instance && waits(open));
        let mut waiting: Vec<_> = waiting.map(|(r, open)| (*r, open.stage)).collect();
        waiting.sort_unstable_by_key(|(request, _)| *request);
        for (request, stage) in waiting {
            match stage {
                Stage::Confirming(report, server) => self.confirm(request, report, server),
                _ => self.choose(request),
            }
        }
    }

    fn confirm(&mut self, request: Request, report: Report, server: usize) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let here = &mut self.instances[open.instance];
        let Some(round) = here.router.first_round_since(open.read.began) else {
            open.stage = Stage::Confirming(report, server);
            return;
        };
        if !route::position(&report).covers(round.position) {
            open.stage = Stage::Waiting;
            return self.choose(request);
        }
        if let Some(session) = here.sessions.get_mut(&open.caller) {
            session.step(self.now, session::Event::ReadConfirmed(round));
            let upto = route::position(&report);
            let confirmed = here.router.confirmed();
            session.step(self.now, session::Event::Read { upto, confirmed });
        }
        self.finish(request, server);
    }

    fn finish(&mut self, request: Request, server: usize) {
        let Some(open) = self.open.remove(&request) else {
            return;
        };
        let counts = self.counts(&open);
        let took = self.now.since(open.read.began);
        let class = self.class(&open);
        if counts {
            class.reads += 1;
            class.replica += u64::from(server != PRIMARY);
            class.took.add(took);
        }
        let sessions = &self.instances[open.instance].sessions;
        let token = sessions.get(&open.caller).and_then(Session::position);
        self.hand_token(open.caller, token);
        self.tell(&Event::Answered {
            request,
            session: check::Session(open.caller as u64),
            answer: Answer::done(request),
        });
    }

    pub(super) fn expired(&mut self, request: Request) {
        let Some(open) = self.open.remove(&request) else {
            return;
        };
        if self.counts(&open) {
            let class = self.class(&open);
            class.reads += 1;
            class.unserved += 1;
        }
        let outcome = Outcome::Unknown(Cause::Deadline);
        self.tell(&Event::Answered {
            request,
            session: check::Session(open.caller as u64),
            answer: Answer::without_rows(outcome),
        });
    }

    pub(super) fn class(&mut self, open: &Open) -> &mut Class {
        match open.read.freshness {
            Freshness::Age(_) => &mut self.outcome.calendar,
            Freshness::Session | Freshness::Current => &mut self.outcome.own,
        }
    }

    pub(super) fn draw(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }
}
