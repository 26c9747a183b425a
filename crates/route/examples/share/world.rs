//! A simulated database with three upstreams and four instances in virtual time, each
//! instance in a zone of its own.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use clock::Instant;
use model::{Freshness, Lsn, Position, Report, Role, Term, name};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::{
    Choice, Conf, Event, Exact, Load, Member, Policy, Read, Router, State, Target, Trust, Verdict,
};
use session::{Confirmed, Floor, Round, Session, Start};

use crate::{
    setup::{Discovery, Knowledge, Setup, Tally, Verification},
    trace::Trace,
};

const UPSTREAMS: usize = 3;
const INSTANCES: usize = 4;
const ZONE_DELAY: Duration = Duration::from_micros(150);
const CROSS_ZONE_DELAY: Duration = Duration::from_micros(1_500);
const CALLER_DELAY: Duration = Duration::from_millis(3);
const MAX_AGE: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(1);
const WRITE_TIME: Duration = Duration::from_millis(3);
const STABLE_SESSIONS: usize = 400;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Calendar,
    Own,
}

#[derive(Debug, Clone)]
struct Request {
    instance: usize,
    session: u64,
    kind: Kind,
    read: Read,
    last_write: Lsn,
}

#[derive(Debug, Clone, Copy)]
enum Work {
    Read {
        request: u64,
        target: Target,
        sent: Instant,
        confirm: Confirm,
    },
    Write {
        session: u64,
        instance: usize,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Confirm {
    Plain,
    Majority,
}

#[derive(Debug, Clone, Copy)]
struct Snapshot {
    report: Report,
    upto: Position,
}

#[derive(Debug, Clone, Copy)]
enum Occurrence {
    Calendar,
    Write,
    Probe(usize),
    ProbeAt {
        instance: usize,
        upstream: usize,
        sent: Instant,
    },
    ProbeBack {
        instance: usize,
        upstream: usize,
        sent: Instant,
        report: Report,
    },
    Arrive {
        upstream: usize,
        work: Work,
    },
    Finish {
        upstream: usize,
        work: Work,
        shown: Snapshot,
    },
    Answer {
        work: Work,
        shown: Snapshot,
    },
    Acknowledge {
        session: u64,
        instance: usize,
        lsn: Lsn,
    },
    Own {
        session: u64,
        instance: usize,
    },
    WaitOver(u64),
    Committed {
        session: u64,
        instance: usize,
        lsn: Lsn,
    },
}

#[derive(Debug, Default)]
struct Server {
    running: u32,
    queue: VecDeque<Work>,
}

struct Instance {
    router: Router,
    round: Round,
    round_began: Instant,
    waiting: Vec<u64>,
    pending: BTreeMap<u64, (usize, Instant)>,
}

struct World {
    setup: Setup,
    rng: ChaCha8Rng,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    occurrences: BTreeMap<u64, Occurrence>,
    id_counter: u64,
    commits: Vec<Instant>,
    traces: Vec<Trace>,
    servers: Vec<Server>,
    names: Vec<name::Upstream>,
    instances: Vec<Instance>,
    sessions: BTreeMap<u64, Session>,
    written: BTreeMap<u64, Lsn>,
    last_shown: BTreeMap<u64, Lsn>,
    requests: BTreeMap<u64, Request>,
    tally: Tally,
}

/// Runs a simulation to its end and returns its results.
pub(crate) fn run(setup: &Setup) -> Tally {
    let mut world = World::new(setup);
    world.schedule(Duration::from_millis(500), Occurrence::Calendar);
    world.schedule(Duration::from_millis(500), Occurrence::Write);
    for instance in 0..INSTANCES {
        world.schedule(
            Duration::from_millis(1 + instance as u64),
            Occurrence::Probe(instance),
        );
    }
    world.run();
    world.tally
}

impl World {
    fn new(setup: &Setup) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let length = setup.length + Duration::from_secs(3);
        let traces = setup
            .lags
            .map(|lag| Trace::new(lag, length, &mut rng))
            .into();
        let names: Vec<_> = (0..UPSTREAMS)
            .map(|i| name::Upstream::new(&format!("u{i}")).unwrap())
            .collect();
        let zone = |i: usize| name::Zone::new(&format!("nl-west-{i}")).unwrap();
        let members: Vec<_> = (0..UPSTREAMS)
            .map(|i| Member {
                upstream: names[i].clone(),
                zone: zone(i),
                slots: 2,
                state: State::Serving,
            })
            .collect();
        let conf = Conf {
            max_replica_wait: setup.max_replica_wait,
            spill_margin: setup.spill_margin,
            ..Conf::default()
        };
        let instances = (0..INSTANCES)
            .map(|i| {
                let mut router = Router::new(&zone(i), conf);
                router.step(Instant::ZERO, Event::Group(members.clone()));
                Instance {
                    router,
                    round: Round::new(Duration::from_millis(50)),
                    round_began: Instant::ZERO,
                    waiting: Vec::new(),
                    pending: BTreeMap::new(),
                }
            })
            .collect();
        Self {
            setup: setup.clone(),
            rng,
            now: Instant::ZERO,
            queue: BinaryHeap::new(),
            occurrences: BTreeMap::new(),
            id_counter: 0,
            commits: Vec::new(),
            traces,
            servers: (0..UPSTREAMS).map(|_| Server::default()).collect(),
            names,
            instances,
            sessions: BTreeMap::new(),
            written: BTreeMap::new(),
            last_shown: BTreeMap::new(),
            requests: BTreeMap::new(),
            tally: Tally::default(),
        }
    }

    fn schedule(&mut self, delay: Duration, occurrence: Occurrence) {
        self.id_counter += 1;
        self.queue
            .push(Reverse((self.now + delay, self.id_counter)));
        self.occurrences.insert(self.id_counter, occurrence);
    }

    fn run(&mut self) {
        let end = Instant::ZERO + self.setup.length;
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            let occurrence = self.occurrences.remove(&id).expect("each is queued once");
            self.dispatch(occurrence);
        }
    }

    fn dispatch(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Calendar => self.calendar(),
            Occurrence::Write => self.write(),
            Occurrence::Probe(instance) => {
                self.probe(instance);
                self.schedule(self.setup.probe, Occurrence::Probe(instance));
            }
            Occurrence::ProbeAt {
                instance,
                upstream,
                sent,
            } => {
                let report = self.shown(upstream).report;
                let back = Occurrence::ProbeBack {
                    instance,
                    upstream,
                    sent,
                    report,
                };
                self.schedule(one_way_delay(instance, upstream), back);
            }
            Occurrence::ProbeBack {
                instance,
                upstream,
                sent,
                report,
            } => {
                self.report(instance, upstream, sent, report);
            }
            Occurrence::Arrive { upstream, work } => {
                self.servers[upstream].queue.push_back(work);
                self.serve(upstream);
            }
            Occurrence::Finish {
                upstream,
                work,
                shown,
            } => self.finish(upstream, work, shown),
            Occurrence::Answer { work, shown } => self.answer(work, shown),
            Occurrence::Acknowledge {
                session,
                instance,
                lsn,
            } => {
                self.acknowledge(session, instance, lsn);
            }
            Occurrence::Own { session, instance } => self.own(session, instance),
            Occurrence::Committed {
                session,
                instance,
                lsn,
            } => {
                self.committed(session, instance, lsn);
            }
            Occurrence::WaitOver(request) => self.wait_over(request),
        }
    }

    fn interval(&mut self, rate: u32) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / f64::from(rate))
    }

    fn calendar(&mut self) {
        let interval = self.interval(self.setup.calendar);
        self.schedule(interval, Occurrence::Calendar);
        let instance = self.rng.random_range(0..INSTANCES);
        let fresh = self.rng.random_range(0..100) < self.setup.fresh;
        let session = if fresh {
            self.id_counter + STABLE_SESSIONS as u64
        } else {
            self.rng.random_range(0..STABLE_SESSIONS as u64 / 4) * 4 + instance as u64
        };
        self.request(session, instance, Kind::Calendar);
    }

    fn write(&mut self) {
        let interval = self.interval(self.setup.writes);
        self.schedule(interval, Occurrence::Write);
        let instance = self.rng.random_range(0..INSTANCES);
        let session = self.id_counter + STABLE_SESSIONS as u64;
        let work = Work::Write { session, instance };
        self.schedule(
            one_way_delay(instance, 0),
            Occurrence::Arrive { upstream: 0, work },
        );
    }

    /// Lets a session read its own write: on the same instance, or on another one with or
    /// without its token.
    fn own(&mut self, session: u64, instance: usize) {
        let draw = self.rng.random_range(0..100);
        if draw < 40 {
            return self.request(session, instance, Kind::Own);
        }
        let token = self.sessions.get(&session).and_then(Session::position);
        self.sessions.remove(&session);
        let elsewhere = (instance + self.rng.random_range(1..INSTANCES)) % INSTANCES;
        if let (true, Some(position)) = (draw < 70, token) {
            let mut roamed = Session::open(self.now);
            roamed.step(self.now, session::Event::Presented(position));
            self.sessions.insert(session, roamed);
        }
        self.request(session, elsewhere, Kind::Own);
    }

    fn request(&mut self, session: u64, instance: usize, kind: Kind) {
        let now = self.now;
        let state = self
            .sessions
            .entry(session)
            .or_insert_with(|| Session::open(now));
        let freshness = match kind {
            Kind::Calendar => Freshness::Age(MAX_AGE),
            Kind::Own => Freshness::Session,
        };
        let mut read = Read::new(now, now + DEADLINE)
            .floor(state.floor())
            .freshness(freshness);
        read.seen = state.seen();
        let last_write = self.written.get(&session).copied().unwrap_or_default();
        let request = Request {
            instance,
            session,
            kind,
            read,
            last_write,
        };
        let id = self.id_counter;
        self.id_counter += 1;
        self.requests.insert(id, request);
        self.choose(id);
    }

    fn choose(&mut self, id: u64) {
        let request = self.requests[&id].clone();
        let at = request.instance;
        self.load(at);
        let exact = self.exact(&request);
        let policy = self.setup.policy;
        let router = &mut self.instances[at].router;
        let choice = policy.choose(self.now, router, &request.read, &exact, &mut self.rng);
        let discover = self.setup.discovery;
        match choice {
            Choice::Replica(upstream) => self.send(id, &upstream, Target::Replica, Confirm::Plain),
            Choice::Primary(upstream) => self.send(id, &upstream, Target::Primary, Confirm::Plain),
            Choice::Confirmed(upstream) => {
                self.send(id, &upstream, Target::Primary, Confirm::Majority);
            }
            Choice::AwaitRound if discover == Discovery::Primary => {
                let primary = self.names[0].clone();
                self.send(id, &primary, Target::Primary, Confirm::Majority);
            }
            Choice::AwaitRound => {
                self.instances[at].waiting.push(id);
                let since = request.read.began;
                let start = self.instances[at].round.request(self.now, since);
                self.start(at, start);
            }
            Choice::Wait { upstream, until } => {
                let to = self.index(&upstream);
                self.instances[at].pending.insert(id, (to, until));
                self.schedule(until.since(self.now), Occurrence::WaitOver(id));
            }
            Choice::Hold { .. } | Choice::Refuse(_) => {
                self.requests.remove(&id);
                self.tally.refused += 1;
            }
        }
    }

    /// Ends a wait. If a reported position is needed, queries the replica first, whose
    /// answer then resumes the read.
    fn wait_over(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let instance = request.instance;
        let trust = request.read.trust;
        let Some(&(upstream, until)) = self.instances[instance].pending.get(&id) else {
            return;
        };
        // A report has resumed the read before, which now waits for another time.
        if until != self.now {
            return;
        }
        if trust == Trust::Expected || self.setup.policy != Policy::Routed {
            self.instances[instance].pending.remove(&id);
            return self.choose(id);
        }
        // Only one query for each wait: several waits may end at the same time.
        self.instances[instance]
            .pending
            .insert(id, (upstream, Instant::ZERO));
        self.tally.probes += 1;
        let probe = Occurrence::ProbeAt {
            instance,
            upstream,
            sent: self.now,
        };
        self.schedule(one_way_delay(instance, upstream), probe);
    }

    fn index(&self, upstream: &name::Upstream) -> usize {
        let known = self.names.iter().position(|n| n == upstream);
        known.expect("a known upstream")
    }

    fn load(&mut self, instance: usize) {
        for (server, upstream) in self.servers.iter().zip(&self.names) {
            let load = Load {
                in_flight: server.running,
                queued: server.queue.len() as u32,
            };
            self.instances[instance]
                .router
                .step(self.now, Event::Load(upstream, load));
        }
    }

    fn exact(&self, request: &Request) -> Vec<Exact> {
        if self.setup.policy != Policy::Oracle {
            return Vec::new();
        }
        let bound = match request.kind {
            // The delay of the answer counts too.
            Kind::Calendar => Some(MAX_AGE - Duration::from_millis(10)),
            Kind::Own => None,
        };
        let moment = self.oracle_moment(request);
        let exact = |replica: usize| {
            let arrival = self.now + one_way_delay(request.instance, replica + 1);
            let ready = self.traces[replica].ready(arrival, moment, bound);
            Exact {
                upstream: self.names[replica + 1].clone(),
                ready,
            }
        };
        (0..self.traces.len()).map(exact).collect()
    }

    /// Returns the time at which the primary had everything that the request must see.
    fn oracle_moment(&self, request: &Request) -> Instant {
        let read = &request.read;
        if let (Floor::Unknown { since }, Knowledge::Positions) = (read.floor, self.setup.knowledge)
        {
            let last = self.commits.partition_point(|&at| at <= since);
            return last
                .checked_sub(1)
                .map_or(Instant::ZERO, |at| self.commits[at]);
        }
        let shown = self.last_shown.get(&request.session).copied();
        let floor = request.last_write.max(shown.unwrap_or_default());
        match floor.0 {
            0 => Instant::ZERO,
            lsn => self.commits[(lsn / 100 - 1) as usize],
        }
    }

    fn start(&mut self, instance: usize, start: Start) {
        if start == Start::Now {
            self.instances[instance].round_began = self.now;
            self.tally.rounds += 1;
            self.probe(instance);
        }
    }

    fn probe(&mut self, instance: usize) {
        for upstream in 0..UPSTREAMS {
            self.tally.probes += 1;
            let probe = Occurrence::ProbeAt {
                instance,
                upstream,
                sent: self.now,
            };
            self.schedule(one_way_delay(instance, upstream), probe);
        }
    }

    fn report(&mut self, instance: usize, upstream: usize, sent: Instant, report: Report) {
        let event = Event::Report {
            upstream: &self.names[upstream],
            sent,
            report,
        };
        let local = &mut self.instances[instance];
        let round = local.router.step(self.now, event);
        let waiting = local.pending.extract_if(.., |_, on| on.0 == upstream);
        let waiting: Vec<_> = waiting.map(|(id, _)| id).collect();
        if let Some(round) = round {
            self.confirmed(instance, round);
        }
        for id in waiting {
            self.choose(id);
        }
    }

    fn confirmed(&mut self, instance: usize, round: Confirmed) {
        let local = &mut self.instances[instance];
        if round.since < local.round_began {
            return;
        }
        let start = local.round.end(self.now);
        let waiting = std::mem::take(&mut local.waiting);
        self.start(instance, start);
        for id in waiting {
            self.choose(id);
        }
    }

    fn send(&mut self, id: u64, upstream: &name::Upstream, target: Target, confirm: Confirm) {
        let to = self.index(upstream);
        let work = Work::Read {
            request: id,
            target,
            sent: self.now,
            confirm,
        };
        let instance = self.requests[&id].instance;
        self.schedule(
            one_way_delay(instance, to),
            Occurrence::Arrive { upstream: to, work },
        );
    }

    fn serve(&mut self, upstream: usize) {
        while self.servers[upstream].running < 2 {
            let Some(work) = self.servers[upstream].queue.pop_front() else {
                return;
            };
            self.servers[upstream].running += 1;
            let took = match work {
                Work::Read { .. } => Duration::from_micros(self.rng.random_range(1_000..3_000)),
                Work::Write { .. } => WRITE_TIME,
            };
            let shown = self.shown(upstream);
            self.position_answer(upstream, work, shown.report);
            self.schedule(
                took,
                Occurrence::Finish {
                    upstream,
                    work,
                    shown,
                },
            );
        }
    }

    /// Answers the position query, which the pool sends ahead of the statement when a
    /// slot is free and which is answered at once.
    fn position_answer(&mut self, upstream: usize, work: Work, report: Report) {
        let instance = match work {
            Work::Read { request, .. } => self.requests[&request].instance,
            Work::Write { instance, .. } => instance,
        };
        let delay = one_way_delay(instance, upstream);
        let sent = self.now - delay;
        self.schedule(
            delay,
            Occurrence::ProbeBack {
                instance,
                upstream,
                sent,
                report,
            },
        );
    }

    fn finish(&mut self, upstream: usize, work: Work, mut shown: Snapshot) {
        self.servers[upstream].running -= 1;
        shown.upto = self.shown(upstream).upto;
        match work {
            Work::Read { request, .. } => {
                let instance = self.requests[&request].instance;
                self.schedule(
                    one_way_delay(instance, upstream),
                    Occurrence::Answer { work, shown },
                );
            }
            Work::Write { session, instance } => {
                self.commits.push(self.now);
                let lsn = Lsn(self.commits.len() as u64 * 100);
                let report = self.shown(upstream).report;
                self.position_answer(upstream, work, report);
                self.schedule(
                    one_way_delay(instance, 0),
                    Occurrence::Committed {
                        session,
                        instance,
                        lsn,
                    },
                );
            }
        }
        self.serve(upstream);
    }

    /// Acknowledges a write after the round trip to the nearest replica, whose answer to a
    /// position query confirms the write; the log arrives there about as fast.
    fn committed(&mut self, session: u64, instance: usize, lsn: Lsn) {
        for upstream in 1..UPSTREAMS {
            let probe = Occurrence::ProbeAt {
                instance,
                upstream,
                sent: self.now,
            };
            self.schedule(one_way_delay(instance, upstream), probe);
        }
        let nearest = (1..UPSTREAMS)
            .map(|u| one_way_delay(instance, u))
            .min()
            .unwrap_or_default();
        self.schedule(
            nearest * 2,
            Occurrence::Acknowledge {
                session,
                instance,
                lsn,
            },
        );
    }

    fn acknowledge(&mut self, session: u64, instance: usize, lsn: Lsn) {
        let position = Position { term: Term(1), lsn };
        let mut state = Session::open(self.now);
        state.step(self.now, session::Event::Acknowledged(position));
        self.sessions.insert(session, state);
        self.written.insert(session, lsn);
        self.schedule(CALLER_DELAY * 2, Occurrence::Own { session, instance });
    }

    /// Returns the data that a statement that starts now at the upstream sees.
    fn shown(&self, upstream: usize) -> Snapshot {
        let moment = match upstream {
            0 => self.now,
            replica => self.traces[replica - 1].shown(self.now),
        };
        let lsn = Lsn(self.commits.partition_point(|&at| at <= moment) as u64 * 100);
        let position = Position { term: Term(1), lsn };
        let role = match upstream {
            0 => Role::Primary,
            _ => Role::Replica,
        };
        let report = Report {
            role,
            fenced: Term(1),
            received: position,
            replayed: lsn,
        };
        Snapshot {
            report,
            upto: position,
        }
    }

    fn answer(&mut self, work: Work, shown: Snapshot) {
        let Work::Read {
            request: id,
            target,
            sent,
            confirm,
        } = work
        else {
            return;
        };
        let request = self.requests[&id].clone();
        let instance = request.instance;
        let is_verified =
            self.setup.policy == Policy::Routed && self.setup.verification == Verification::Enabled;
        if is_verified && confirm == Confirm::Plain {
            let router = &self.instances[instance].router;
            if router.verify(self.now, &shown.report, &request.read, target) != Verdict::Fresh {
                self.tally.discarded += 1;
                let request = self.requests.get_mut(&id).expect("it is answered once");
                request.read = request.read.discarded(target);
                return self.choose(id);
            }
        }
        self.requests.remove(&id);
        self.check(&request, shown);
        self.count(&request, target);
        self.update_session(&request, shown, sent, confirm);
    }

    fn check(&mut self, request: &Request, shown: Snapshot) {
        let old = request.kind == Kind::Calendar && self.now.since(self.as_of(shown)) > MAX_AGE;
        if old || shown.report.replayed < request.last_write {
            self.tally.stale += 1;
        }
        let last = self.last_shown.entry(request.session).or_default();
        // Overlapping reads of a session have no defined order.
        if shown.report.replayed < *last && request.read.seen.is_some_and(|s| s.lsn >= *last) {
            self.tally.backward += 1;
        }
        *last = (*last).max(shown.report.replayed);
    }

    /// Returns the time of the first commit that was not shown: the data shown was the
    /// newest until then.
    fn as_of(&self, shown: Snapshot) -> Instant {
        let next = (shown.report.replayed.0 / 100) as usize;
        self.commits.get(next).copied().unwrap_or(self.now)
    }

    fn count(&mut self, request: &Request, target: Target) {
        let replica = u64::from(target == Target::Replica);
        match request.kind {
            Kind::Calendar => {
                self.tally.calendar += 1;
                self.tally.calendar_replica += replica;
            }
            Kind::Own => {
                self.tally.own += 1;
                self.tally.own_replica += replica;
            }
        }
        self.tally.latency.push(self.now.since(request.read.began));
    }

    fn update_session(
        &mut self,
        request: &Request,
        shown: Snapshot,
        sent: Instant,
        confirm: Confirm,
    ) {
        let router = &self.instances[request.instance].router;
        let confirmed = router.confirmed();
        let floor = match request.read.floor {
            Floor::Unknown { since } => router.first_round_since(since),
            Floor::Known(_) => None,
        };
        let Some(session) = self.sessions.get_mut(&request.session) else {
            return;
        };
        if let Some(round) = floor {
            session.step(self.now, session::Event::Round(round));
        }
        let event = match confirm {
            Confirm::Majority => session::Event::ReadConfirmed(Confirmed {
                since: sent,
                position: shown.upto,
            }),
            Confirm::Plain => session::Event::Read {
                upto: shown.upto,
                confirmed,
            },
        };
        session.step(self.now, event);
        if request.session >= STABLE_SESSIONS as u64 {
            self.sessions.remove(&request.session);
            self.last_shown.remove(&request.session);
            self.written.remove(&request.session);
        }
    }
}

fn one_way_delay(instance: usize, upstream: usize) -> Duration {
    if instance == upstream {
        ZONE_DELAY
    } else {
        CROSS_ZONE_DELAY
    }
}
