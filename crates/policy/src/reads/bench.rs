//! Simulation of one database's callers, upstreams and instances.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use check::{Event, Operation, Request, Suite};
use clock::{Instant, Timer};
use model::{Freshness, Lsn, Position, Repeat, Report, Role, Term, name};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::{Read, Router, Target};
use session::Session;

use super::Outcome;
use crate::{
    lag::Lag,
    net::{Net, Place, Transport, exponential},
    site::Site,
};

/// Maximum age of a calendar view.
pub(super) const CALENDAR_STALENESS: Duration = Duration::from_secs(2);
/// Interval at which an instance asks each upstream for its position.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit of a read.
const DEADLINE: Duration = Duration::from_secs(1);
/// Sessions of one database.
const SESSIONS: usize = 300;
/// Request rate of one database.
const REQUESTS_PER_S: f64 = 500.0;
/// Share of the requests that write.
const WRITE_PERCENT: u32 = 6;
/// Share of the requests that read the session's own writes; the remaining
/// requests are calendar views.
const OWN_READ_PERCENT: u32 = 14;
/// Share of the requests sent to a randomly chosen instance.
const ROAM_PERCENT: u32 = 10;
/// Share of the roaming sessions that present no token.
const TOKENLESS_PERCENT: u32 = 20;
/// Start of the measurement; the routers know the replicas' positions by then.
const MEASURE_START: Instant = Instant::from_millis(2_000);
/// Index of the primary in the group.
pub(super) const PRIMARY: usize = 0;

#[derive(Debug)]
pub(super) enum Occurrence {
    Arrive,
    Observe(usize),
    Poll {
        instance: usize,
        server: usize,
        sent: Instant,
    },
    Polled {
        instance: usize,
        server: usize,
        sent: Instant,
        report: Report,
    },
    Choose(Request),
    Queue {
        request: Request,
        server: usize,
    },
    Served {
        request: Request,
        server: usize,
        report: Report,
        took: Duration,
    },
    Answered {
        request: Request,
        server: usize,
        report: Report,
    },
    Commit {
        caller: usize,
        instance: usize,
    },
    Acknowledged {
        caller: usize,
        instance: usize,
        at: Position,
    },
    Expired(Request),
}

#[derive(Debug)]
pub(super) struct Instance {
    pub(super) zone: usize,
    pub(super) router: Router,
    pub(super) sessions: HashMap<usize, Session>,
    /// Last report of each upstream, with the time of the question and the age
    /// of the data, for the naive router.
    pub(super) reports: HashMap<usize, (Instant, Report, Duration)>,
}

#[derive(Debug)]
pub(super) struct Caller {
    pub(super) instance: usize,
    pub(super) token: Option<Position>,
}

#[derive(Debug)]
pub(super) struct Server {
    pub(super) zone: usize,
    pub(super) running: u16,
    pub(super) queue: VecDeque<Request>,
    pub(super) lag: Option<Lag>,
}

/// Read that is not answered yet.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) caller: usize,
    pub(super) instance: usize,
    pub(super) read: Read,
    pub(super) stage: Stage,
    pub(super) sent: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    Waiting,
    AwaitingRound,
    Sent(Check),
    Confirming(Report, usize),
}

/// Check that an answer must pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Check {
    Verified(Target),
    Confirmed,
}

#[derive(Debug)]
pub(super) struct Simulation {
    pub(super) site: Site,
    pub(super) now: Instant,
    pub(super) rng: ChaCha8Rng,
    pub(super) servers: Vec<Server>,
    pub(super) names: Vec<name::Upstream>,
    pub(super) instances: Vec<Instance>,
    pub(super) callers: Vec<Caller>,
    pub(super) pending: HashMap<Request, Pending>,
    pub(super) outcome: Outcome,
    pub(super) commits: Vec<Instant>,
    end: Instant,
    timer: Timer<Occurrence>,
    net: Net,
    requests: u64,
    suite: Suite,
    database: name::Database,
}

impl Simulation {
    pub(super) fn open(site: Site, span: Duration, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end = MEASURE_START + span;
        let net = Net::open(site, ChaCha8Rng::seed_from_u64(rng.random()));
        let servers = (0..site.upstreams).map(|u| Server {
            zone: u % site.zones,
            running: 0,
            queue: VecDeque::new(),
            lag: (u != PRIMARY).then(|| Lag::new(&mut rng, span + DEADLINE * 4)),
        });
        let servers: Vec<_> = servers.collect();
        let mut simulation = Self {
            site,
            now: Instant::ZERO,
            servers,
            names: (0..site.upstreams).map(upstream).collect(),
            instances: Vec::new(),
            callers: Vec::new(),
            pending: HashMap::new(),
            outcome: Outcome::default(),
            commits: vec![Instant::ZERO],
            end,
            timer: Timer::default(),
            net,
            requests: 0,
            suite: Suite::default(),
            database: name::Database::new("booking").expect("a generated name is valid"),
            rng,
        };
        simulation.populate();
        simulation
    }

    fn populate(&mut self) {
        let members: Vec<_> = self.names.iter().zip(&self.servers).collect();
        let members = members.into_iter().map(|(name, server)| route::Member {
            upstream: name.clone(),
            zone: zone(server.zone),
            slots: self.site.slots,
            state: route::State::Serving,
        });
        let members: Vec<_> = members.collect();
        for instance in 0..self.site.instances {
            let home = instance % self.site.zones;
            let mut router = Router::new(&zone(home), route::Conf::default());
            router.step(self.now, route::Event::Group(members.clone()));
            self.instances.push(Instance {
                zone: home,
                router,
                sessions: HashMap::new(),
                reports: HashMap::new(),
            });
            let offset = POLL_INTERVAL.mul_f64(self.rng.random());
            self.schedule_after(offset, Occurrence::Observe(instance));
        }
        for _ in 0..SESSIONS {
            let instance = self.rng.random_range(0..self.site.instances);
            let token = None;
            self.callers.push(Caller { instance, token });
        }
        self.schedule_after(Duration::from_millis(500), Occurrence::Arrive);
    }

    pub(super) fn run(&mut self) {
        let last = self.end + DEADLINE * 2;
        while let Some(at) = self.timer.next().filter(|&at| at < last) {
            self.now = at;
            for occurrence in self.timer.expired(at) {
                self.process(occurrence);
            }
        }
    }

    pub(super) fn outcome(mut self) -> Outcome {
        self.outcome.violations = self.suite.violations().len();
        self.outcome
    }

    fn process(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Arrive => self.arrive(),
            Occurrence::Observe(instance) => self.observe(instance),
            Occurrence::Poll {
                instance,
                server,
                sent,
            } => self.poll_arrived(instance, server, sent),
            Occurrence::Polled {
                instance,
                server,
                sent,
                report,
            } => self.reported(instance, server, sent, report),
            Occurrence::Choose(request) => self.choose(request),
            Occurrence::Queue { request, server } => self.enqueue(request, server),
            Occurrence::Served {
                request,
                server,
                report,
                took,
            } => self.served(request, server, report, took),
            Occurrence::Answered {
                request,
                server,
                report,
            } => self.answered(request, server, report),
            Occurrence::Commit { caller, instance } => self.commit(caller, instance),
            Occurrence::Acknowledged {
                caller,
                instance,
                at,
            } => self.acknowledged(caller, instance, at),
            Occurrence::Expired(request) => self.expired(request),
        }
    }

    pub(super) fn schedule_after(&mut self, span: Duration, occurrence: Occurrence) {
        self.timer.subscribe(self.now + span, occurrence);
    }

    pub(super) fn record(&mut self, event: &Event) {
        self.suite.observe(self.now, event);
    }

    /// Returns the time that a message takes between an instance and an
    /// upstream.
    pub(super) fn travel_time(&mut self, instance: usize, server: usize) -> Duration {
        let source = Place::Zone(self.instances[instance].zone);
        let target = Place::Zone(self.servers[server].zone);
        let span = self.net.send(source, target, Transport::Stream);
        span.expect("no zones are partitioned")
    }

    fn arrive(&mut self) {
        if self.now >= self.end {
            return;
        }
        let gap = Duration::from_secs_f64(exponential(&mut self.rng, 1.0 / REQUESTS_PER_S));
        self.schedule_after(gap, Occurrence::Arrive);
        let caller = self.rng.random_range(0..SESSIONS);
        if self.rng.random_range(0..100) < ROAM_PERCENT {
            self.roam(caller);
        }
        let instance = self.callers[caller].instance;
        let sessions = &mut self.instances[instance].sessions;
        sessions
            .entry(caller)
            .or_insert_with(|| Session::open(self.now));
        match self.rng.random_range(0..100) {
            draw if draw < WRITE_PERCENT => {
                let span = self.travel_time(instance, PRIMARY) + self.site.service_time;
                self.schedule_after(span, Occurrence::Commit { caller, instance });
            }
            draw if draw < WRITE_PERCENT + OWN_READ_PERCENT => self.ask(caller, Freshness::Session),
            _ => self.ask(caller, Freshness::Age(CALENDAR_STALENESS)),
        }
    }

    fn roam(&mut self, caller: usize) {
        let before = self.callers[caller].instance;
        let instance = self.rng.random_range(0..self.site.instances);
        if instance == before {
            return;
        }
        self.instances[before].sessions.remove(&caller);
        self.callers[caller].instance = instance;
        let mut session = Session::open(self.now);
        let is_tokenless = self.rng.random_range(0..100) < TOKENLESS_PERCENT;
        if let Some(token) = self.callers[caller].token.filter(|_| !is_tokenless) {
            session.step(self.now, session::Event::Presented(token));
        }
        self.instances[instance].sessions.insert(caller, session);
    }

    fn ask(&mut self, caller: usize, freshness: Freshness) {
        self.requests += 1;
        let request = Request(self.requests);
        let instance = self.callers[caller].instance;
        let asked = Event::Asked {
            request,
            operation: Operation(request.0),
            session: check::Session(caller as u64),
            instance: name::Instance::new(&format!("i{instance}"))
                .expect("a generated name is valid"),
            database: self.database.clone(),
            freshness,
            repeat: Repeat::Idempotent,
        };
        self.record(&asked);
        let pending = Pending {
            caller,
            instance,
            read: Read::new(self.now, self.now + DEADLINE).freshness(freshness),
            stage: Stage::Waiting,
            sent: self.now,
        };
        self.pending.insert(request, pending);
        self.schedule_after(DEADLINE, Occurrence::Expired(request));
        if self.now >= MEASURE_START {
            self.count_baselines(request);
        }
        self.choose(request);
    }

    /// Returns true if a read started after the warm-up, so that its result
    /// counts.
    pub(super) fn is_measured(&self, pending: &Pending) -> bool {
        pending.read.began >= MEASURE_START
    }

    fn commit(&mut self, caller: usize, instance: usize) {
        self.commits.push(self.now);
        let at = Position::new(1, self.commits.len() as u64);
        // The nearest replica receives the write and confirms it to the
        // instance.
        let span = self.site.inter_zone_latency * 2 + self.travel_time(instance, PRIMARY);
        let acknowledged = Occurrence::Acknowledged {
            caller,
            instance,
            at,
        };
        self.schedule_after(span, acknowledged);
    }

    fn acknowledged(&mut self, caller: usize, instance: usize, at: Position) {
        let now = self.now;
        if let Some(session) = self.instances[instance].sessions.get_mut(&caller) {
            session.step(now, session::Event::Acknowledged(at));
        }
        let current = self.callers[caller].instance;
        if let Some(session) = self.instances[current].sessions.get_mut(&caller) {
            session.step(now, session::Event::Presented(at));
        }
        self.update_token(caller, Some(at));
        self.record_write(caller, at);
    }

    fn record_write(&mut self, caller: usize, at: Position) {
        self.requests += 1;
        let request = Request(self.requests);
        let instance = self.callers[caller].instance;
        let session = check::Session(caller as u64);
        let events = [
            Event::Asked {
                request,
                operation: Operation(request.0),
                session,
                instance: name::Instance::new(&format!("i{instance}"))
                    .expect("a generated name is valid"),
                database: self.database.clone(),
                freshness: Freshness::Session,
                repeat: Repeat::Once,
            },
            Event::Ran {
                request,
                connection: check::Connection(0),
                transaction: None,
                effect: check::Effect::Write { at },
            },
            Event::Answered {
                request,
                session,
                answer: check::Answer::done(request),
            },
        ];
        for event in &events {
            self.record(event);
        }
    }

    /// Updates a caller's token with the one of its session.
    pub(super) fn update_token(&mut self, caller: usize, token: Option<Position>) {
        let caller = &mut self.callers[caller];
        if let Some(token) = token {
            caller.token = Some(caller.token.map_or(token, |t| session::join(t, token)));
        }
    }

    fn observe(&mut self, instance: usize) {
        self.schedule_after(POLL_INTERVAL, Occurrence::Observe(instance));
        self.poll_all(instance);
    }

    pub(super) fn poll_all(&mut self, instance: usize) {
        for server in 0..self.servers.len() {
            let span = self.travel_time(instance, server);
            let sent = self.now;
            let poll = Occurrence::Poll {
                instance,
                server,
                sent,
            };
            self.schedule_after(span, poll);
        }
    }

    fn poll_arrived(&mut self, instance: usize, server: usize, sent: Instant) {
        let report = self.report(server);
        let span = self.travel_time(instance, server);
        let polled = Occurrence::Polled {
            instance,
            server,
            sent,
            report,
        };
        self.schedule_after(span, polled);
    }

    /// Returns the current report of an upstream.
    pub(super) fn report(&self, server: usize) -> Report {
        let committed = self.commits.len() as u64;
        let (role, replayed) = match &self.servers[server].lag {
            None => (Role::Primary, committed),
            Some(lag) => (Role::Replica, self.commits_until(lag.shown(self.now))),
        };
        Report {
            role,
            fenced: Term(1),
            received: Position::new(1, committed),
            replayed: Lsn(replayed),
        }
    }

    pub(super) fn commits_until(&self, moment: Instant) -> u64 {
        self.commits.partition_point(|&at| at <= moment) as u64
    }

    /// Returns the time since the primary wrote past `lsn`.
    pub(super) fn age(&self, lsn: u64, now: Instant) -> Duration {
        let next = self.commits.get(lsn as usize);
        next.map_or(Duration::ZERO, |&at| now.since(at))
    }
}

fn upstream(number: usize) -> name::Upstream {
    name::Upstream::new(&format!("u{number}")).expect("a generated name is valid")
}

fn zone(number: usize) -> name::Zone {
    name::Zone::new(&format!("z{number}")).expect("a generated name is valid")
}
