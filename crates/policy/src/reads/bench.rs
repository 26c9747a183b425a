//! One database's readers, its upstreams and its instances.

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

/// How old a calendar view may be.
pub(super) const CALENDAR: Duration = Duration::from_secs(2);
/// How often an instance asks each upstream for its position.
const OBSERVE: Duration = Duration::from_millis(50);
/// How long a read may take.
const DEADLINE: Duration = Duration::from_secs(1);
/// Sessions of one database.
const SESSIONS: usize = 300;
/// Requests a second of one database.
const RATE: f64 = 500.0;
/// How many of a hundred requests are writes.
const WRITES: u32 = 6;
/// How many of a hundred requests follow the session's own writes; what is
/// left are calendar views.
const OWN: u32 = 14;
/// How many of a hundred requests come to another instance than the last.
const ROAMS: u32 = 10;
/// How many of a hundred sessions that roam come without a token.
const BARE: u32 = 20;
/// When the measurement begins; the routers know the replicas by then.
const BEGIN: Instant = Instant::from_millis(2_000);
/// The primary, by its number in the group.
pub(super) const PRIMARY: usize = 0;

#[derive(Debug)]
pub(super) enum Happening {
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
    /// What was last heard of each upstream, for the naive router.
    pub(super) heard: HashMap<usize, (Instant, Report, Duration)>,
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

/// A read under way.
#[derive(Debug)]
pub(super) struct Open {
    pub(super) caller: usize,
    pub(super) instance: usize,
    pub(super) read: Read,
    pub(super) stage: Stage,
    pub(super) sent: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    Waiting,
    Discovering,
    Sent(Proof),
    Confirming(Report, usize),
}

/// What an answer must pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Proof {
    Verified(Target),
    Confirmed,
}

#[derive(Debug)]
pub(super) struct Bench {
    pub(super) site: Site,
    pub(super) now: Instant,
    pub(super) rng: ChaCha8Rng,
    pub(super) servers: Vec<Server>,
    pub(super) names: Vec<name::Upstream>,
    pub(super) instances: Vec<Instance>,
    pub(super) callers: Vec<Caller>,
    pub(super) open: HashMap<Request, Open>,
    pub(super) outcome: Outcome,
    pub(super) commits: Vec<Instant>,
    end: Instant,
    timer: Timer<Happening>,
    net: Net,
    requests: u64,
    suite: Suite,
    database: name::Database,
}

impl Bench {
    pub(super) fn open(site: Site, span: Duration, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end = BEGIN + span;
        let net = Net::open(site, ChaCha8Rng::seed_from_u64(rng.random()));
        let servers = (0..site.upstreams).map(|u| Server {
            zone: u % site.zones,
            running: 0,
            queue: VecDeque::new(),
            lag: (u != PRIMARY).then(|| Lag::new(&mut rng, span + DEADLINE * 4)),
        });
        let servers: Vec<_> = servers.collect();
        let mut bench = Self {
            site,
            now: Instant::ZERO,
            servers,
            names: (0..site.upstreams).map(upstream).collect(),
            instances: Vec::new(),
            callers: Vec::new(),
            open: HashMap::new(),
            outcome: Outcome::default(),
            commits: vec![Instant::ZERO],
            end,
            timer: Timer::default(),
            net,
            requests: 0,
            suite: Suite::default(),
            database: name::Database::new("booking").expect("it is a name"),
            rng,
        };
        bench.people();
        bench
    }

    fn people(&mut self) {
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
                heard: HashMap::new(),
            });
            let offset = OBSERVE.mul_f64(self.rng.random());
            self.after(offset, Happening::Observe(instance));
        }
        for _ in 0..SESSIONS {
            let instance = self.rng.random_range(0..self.site.instances);
            let token = None;
            self.callers.push(Caller { instance, token });
        }
        self.after(Duration::from_millis(500), Happening::Arrive);
    }

    pub(super) fn run(&mut self) {
        let last = self.end + DEADLINE * 2;
        while let Some(at) = self.timer.next().filter(|&at| at < last) {
            self.now = at;
            for happening in self.timer.expired(at) {
                self.happen(happening);
            }
        }
    }

    pub(super) fn outcome(mut self) -> Outcome {
        self.outcome.violations = self.suite.violations().len();
        self.outcome
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive => self.arrive(),
            Happening::Observe(instance) => self.observe(instance),
            Happening::Poll {
                instance,
                server,
                sent,
            } => self.poll_arrived(instance, server, sent),
            Happening::Polled {
                instance,
                server,
                sent,
                report,
            } => self.reported(instance, server, sent, report),
            Happening::Choose(request) => self.choose(request),
            Happening::Queue { request, server } => self.queue(request, server),
            Happening::Served {
                request,
                server,
                report,
                took,
            } => self.served(request, server, report, took),
            Happening::Answered {
                request,
                server,
                report,
            } => self.answered(request, server, report),
            Happening::Commit { caller, instance } => self.commit(caller, instance),
            Happening::Acknowledged {
                caller,
                instance,
                at,
            } => self.acknowledged(caller, instance, at),
            Happening::Expired(request) => self.expired(request),
        }
    }

    pub(super) fn after(&mut self, span: Duration, happening: Happening) {
        self.timer.subscribe(self.now + span, happening);
    }

    pub(super) fn tell(&mut self, event: &Event) {
        self.suite.observe(self.now, event);
    }

    /// How long a message takes between an instance and an upstream.
    pub(super) fn travel(&mut self, instance: usize, server: usize) -> Duration {
        let here = Place::Zone(self.instances[instance].zone);
        let there = Place::Zone(self.servers[server].zone);
        let span = self.net.send(here, there, Transport::Stream);
        span.expect("this bench parts no zones")
    }

    fn arrive(&mut self) {
        if self.now >= self.end {
            return;
        }
        let gap = Duration::from_secs_f64(exponential(&mut self.rng, 1.0 / RATE));
        self.after(gap, Happening::Arrive);
        let caller = self.rng.random_range(0..SESSIONS);
        if self.rng.random_range(0..100) < ROAMS {
            self.roam(caller);
        }
        let instance = self.callers[caller].instance;
        let sessions = &mut self.instances[instance].sessions;
        sessions
            .entry(caller)
            .or_insert_with(|| Session::open(self.now));
        match self.rng.random_range(0..100) {
            draw if draw < WRITES => {
                let span = self.travel(instance, PRIMARY) + self.site.service_time;
                self.after(span, Happening::Commit { caller, instance });
            }
            draw if draw < WRITES + OWN => self.ask(caller, Freshness::Session),
            _ => self.ask(caller, Freshness::Age(CALENDAR)),
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
        let bare = self.rng.random_range(0..100) < BARE;
        if let Some(token) = self.callers[caller].token.filter(|_| !bare) {
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
            instance: name::Instance::new(&format!("i{instance}")).expect("it is a name"),
            database: self.database.clone(),
            freshness,
            repeat: Repeat::Idempotent,
        };
        self.tell(&asked);
        let open = Open {
            caller,
            instance,
            read: Read::new(self.now, self.now + DEADLINE).freshness(freshness),
            stage: Stage::Waiting,
            sent: self.now,
        };
        self.open.insert(request, open);
        self.after(DEADLINE, Happening::Expired(request));
        if self.now >= BEGIN {
            self.baselines(request);
        }
        self.choose(request);
    }

    /// Whether a read counts: it came after the routers knew the replicas.
    pub(super) fn counts(&self, open: &Open) -> bool {
        open.read.began >= BEGIN
    }

    fn commit(&mut self, caller: usize, instance: usize) {
        self.commits.push(self.now);
        let at = Position::new(1, self.commits.len() as u64);
        // The nearest replica has it and says so, and the instance hears it.
        let span = self.site.inter_zone_latency * 2 + self.travel(instance, PRIMARY);
        let acknowledged = Happening::Acknowledged {
            caller,
            instance,
            at,
        };
        self.after(span, acknowledged);
    }

    fn acknowledged(&mut self, caller: usize, instance: usize, at: Position) {
        let now = self.now;
        if let Some(session) = self.instances[instance].sessions.get_mut(&caller) {
            session.step(now, session::Event::Acknowledged(at));
        }
        let here = self.callers[caller].instance;
        if let Some(session) = self.instances[here].sessions.get_mut(&caller) {
            session.step(now, session::Event::Presented(at));
        }
        self.hand_token(caller, Some(at));
        self.tell_write(caller, at);
    }

    fn tell_write(&mut self, caller: usize, at: Position) {
        self.requests += 1;
        let request = Request(self.requests);
        let instance = self.callers[caller].instance;
        let session = check::Session(caller as u64);
        let events = [
            Event::Asked {
                request,
                operation: Operation(request.0),
                session,
                instance: name::Instance::new(&format!("i{instance}")).expect("it is a name"),
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
            self.tell(event);
        }
    }

    /// Gives a caller the token of its session.
    pub(super) fn hand_token(&mut self, caller: usize, token: Option<Position>) {
        let caller = &mut self.callers[caller];
        if let Some(token) = token {
            caller.token = Some(caller.token.map_or(token, |t| session::join(t, token)));
        }
    }

    fn observe(&mut self, instance: usize) {
        self.after(OBSERVE, Happening::Observe(instance));
        self.poll_all(instance);
    }

    pub(super) fn poll_all(&mut self, instance: usize) {
        for server in 0..self.servers.len() {
            let span = self.travel(instance, server);
            let sent = self.now;
            let poll = Happening::Poll {
                instance,
                server,
                sent,
            };
            self.after(span, poll);
        }
    }

    fn poll_arrived(&mut self, instance: usize, server: usize, sent: Instant) {
        let report = self.report(server);
        let span = self.travel(instance, server);
        let polled = Happening::Polled {
            instance,
            server,
            sent,
            report,
        };
        self.after(span, polled);
    }

    /// What an upstream says of itself now.
    pub(super) fn report(&self, server: usize) -> Report {
        let whole = self.commits.len() as u64;
        let (role, replayed) = match &self.servers[server].lag {
            None => (Role::Primary, whole),
            Some(lag) => (Role::Replica, self.commits_until(lag.shown(self.now))),
        };
        Report {
            role,
            fenced: Term(1),
            received: Position::new(1, whole),
            replayed: Lsn(replayed),
        }
    }

    pub(super) fn commits_until(&self, moment: Instant) -> u64 {
        self.commits.partition_point(|&at| at <= moment) as u64
    }

    /// How long ago the primary went past a place.
    pub(super) fn age(&self, place: u64, now: Instant) -> Duration {
        let next = self.commits.get(place as usize);
        next.map_or(Duration::ZERO, |&at| now.since(at))
    }
}

fn upstream(number: usize) -> name::Upstream {
    name::Upstream::new(&format!("u{number}")).expect("it is a name")
}

fn zone(number: usize) -> name::Zone {
    name::Zone::new(&format!("z{number}")).expect("it is a name")
}
