//! One group under load: pools, instances that forward, callers that repeat.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use check::{Answer, Connection, Effect, Event, Holder, Operation, Suite};
use clock::{Instant, Timer, Token};
use model::{Cause, Freshness, Lsn, Outcome, Position, Repeat, Report, Role, Term, name};
use pool::{
    Action, Conf, Pool, Request, Ticket,
    conn::{Generation, Handle},
    holder,
    pool::{Condition, Limits},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::{Choice, Read, Router};
use session::Floor;

use super::{Count, Kind, Level, TENANTS, WEIGHT, capacity, tenant};
use crate::{
    net::{Net, Place, Transport, exponential},
    site::Site,
    stat::Spans,
};

/// How often a caller repeats a request that was refused.
const REPEATS: u32 = 2;
/// A caller waits at least this long before it repeats.
const MIN_REPEAT: Duration = Duration::from_millis(10);
/// When the measurement begins; the pools have learned the service times.
const BEGIN: Instant = Instant::from_millis(1_000);
/// How often the routers hear of the upstreams' positions and loads.
const OBSERVE: Duration = Duration::from_millis(10);
/// How many requests of an entry may wait at a pool.
const QUEUE: u32 = 256;
/// Connections that a pool keeps open.
const WARM: u16 = 2;
/// Statements that a pool sends beyond its slots, so that a slot has its next
/// one at hand while an answer travels.
const AHEAD: u16 = 1;

#[derive(Debug)]
enum Happening {
    Arrive,
    Observe,
    Ask(check::Request),
    Submit {
        seat: usize,
        request: check::Request,
    },
    Opened {
        seat: usize,
        generation: Generation,
    },
    Reach {
        seat: usize,
        handle: Handle,
    },
    Ran {
        seat: usize,
        handle: Handle,
    },
    Read {
        seat: usize,
        handle: Handle,
    },
    Tick {
        seat: usize,
    },
    Answer {
        request: check::Request,
        answer: Answer,
        retry_after: Duration,
    },
}

/// One holder's pool.
#[derive(Debug)]
struct Seat {
    upstream: usize,
    zone: usize,
    pool: Pool,
    limits: Limits,
    wake: Option<(Instant, Token)>,
    running: HashMap<Handle, check::Request>,
    ran: HashMap<Handle, Ticket>,
}

/// What an upstream has to do.
#[derive(Debug, Default)]
struct Upstream {
    busy: u16,
    waiting: VecDeque<(usize, Handle)>,
}

/// One request of a caller, with its repeats.
#[derive(Debug)]
struct Open {
    kind: Kind,
    tenant: usize,
    began: Instant,
    operation: Operation,
    instance: usize,
    left: u32,
}

#[derive(Debug)]
pub(super) struct Bench {
    site: Site,
    load: f64,
    now: Instant,
    end: Instant,
    timer: Timer<Happening>,
    net: Net,
    rng: ChaCha8Rng,
    seats: Vec<Seat>,
    upstreams: Vec<Upstream>,
    routers: Vec<Router>,
    names: Vec<name::Upstream>,
    tenants: Vec<name::Tenant>,
    open: HashMap<check::Request, Open>,
    requests: u64,
    operations: u64,
    log: u64,
    suite: Suite,
    tally: Tally,
}

#[derive(Debug, Default)]
struct Tally {
    met: u64,
    refused: u64,
    late: u64,
    unknown: u64,
    repeats: u64,
    kinds: BTreeMap<Kind, Count>,
    tenants: BTreeMap<usize, Count>,
    refusal: Spans,
    high: Spans,
}

impl Bench {
    pub(super) fn open(site: Site, load: f64, span: Duration, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let net = Net::open(site, ChaCha8Rng::seed_from_u64(rng.random()));
        let upstream = |u: usize| name::Upstream::new(&format!("u{u}")).expect("it is a name");
        let tenant = |t: usize| name::Tenant::new(&format!("t{t}")).expect("it is a name");
        let mut bench = Self {
            site,
            load,
            now: Instant::ZERO,
            end: BEGIN + span,
            timer: Timer::default(),
            net,
            rng,
            seats: Vec::new(),
            upstreams: (0..site.upstreams).map(|_| Upstream::default()).collect(),
            routers: Vec::new(),
            names: (0..site.upstreams).map(upstream).collect(),
            tenants: (0..TENANTS).map(tenant).collect(),
            open: HashMap::new(),
            requests: 0,
            operations: 0,
            log: 0,
            suite: Suite::default(),
            tally: Tally::default(),
        };
        bench.take_seats();
        bench.open_routers();
        bench.after(Duration::from_millis(100), Happening::Arrive);
        bench.after(Duration::ZERO, Happening::Observe);
        bench
    }

    fn take_seats(&mut self) {
        let site = self.site;
        let seats = holder::seats(site.slots);
        for upstream in 0..site.upstreams {
            self.tell(Event::Limited {
                holder: Holder::Upstream(self.names[upstream].clone()),
                connections: site.connections.into(),
            });
            for index in 0..seats.get() {
                let share = holder::share(site.connections, site.slots, seats, index);
                let conf = Conf {
                    connections: share.connections,
                    slots: share.slots + AHEAD,
                    warm: WARM,
                    idle_timeout: Duration::from_secs(30),
                    transaction_idle_timeout: Duration::from_secs(10),
                };
                let limits = Limits {
                    connections: share.connections,
                    queue: QUEUE,
                };
                self.seats.push(Seat {
                    upstream,
                    zone: upstream % site.zones,
                    pool: Pool::open(conf, 1),
                    limits,
                    wake: None,
                    running: HashMap::new(),
                    ran: HashMap::new(),
                });
                self.step(self.seats.len() - 1, pool::Event::Tick);
            }
        }
    }

    fn open_routers(&mut self) {
        let zone = |z: usize| name::Zone::new(&format!("z{z}")).expect("it is a name");
        let members = self.names.iter().enumerate();
        let members = members.map(|(u, name)| route::Member {
            upstream: name.clone(),
            zone: zone(u % self.site.zones),
            slots: self.site.slots,
            state: route::State::Serving,
        });
        let members: Vec<_> = members.collect();
        for instance in 0..self.site.instances {
            let home = zone(instance % self.site.zones);
            let mut router = Router::new(&home, route::Conf::default());
            router.step(self.now, route::Event::Group(members.clone()));
            self.routers.push(router);
        }
    }

    pub(super) fn run(&mut self) {
        let last = self.end + Duration::from_secs(2);
        while let Some(at) = self.timer.next().filter(|&at| at < last) {
            self.now = at;
            for happening in self.timer.expired(at) {
                self.happen(happening);
            }
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive => self.arrive(),
            Happening::Observe => self.observe(),
            Happening::Ask(request) => self.ask(request),
            Happening::Submit { seat, request } => self.submit(seat, request),
            Happening::Opened { seat, generation } => {
                self.step(seat, pool::Event::Opened(generation));
            }
            Happening::Reach { seat, handle } => self.reach(seat, handle),
            Happening::Ran { seat, handle } => self.ran(seat, handle),
            Happening::Read { seat, handle } => self.read(seat, handle),
            Happening::Tick { seat } => {
                self.seats[seat].wake = None;
                self.step(seat, pool::Event::Tick);
            }
            Happening::Answer {
                request,
                answer,
                retry_after,
            } => self.answered(request, answer, retry_after),
        }
    }

    fn after(&mut self, span: Duration, happening: Happening) {
        self.timer.subscribe(self.now + span, happening);
    }

    fn tell(&mut self, event: Event) {
        self.suite.observe(self.now, &event);
    }

    fn arrive(&mut self) {
        if self.now >= self.end {
            return;
        }
        let rate = capacity(self.site) * self.load;
        let gap = Duration::from_secs_f64(exponential(&mut self.rng, 1.0 / rate));
        self.after(gap, Happening::Arrive);
        self.operations += 1;
        let open = Open {
            kind: Kind::draw(&mut self.rng),
            tenant: tenant(&mut self.rng),
            began: self.now,
            operation: Operation(self.operations),
            instance: self.rng.random_range(0..self.site.instances),
            left: REPEATS,
        };
        if self.now >= BEGIN {
            self.tally.kinds.entry(open.kind).or_default().asked += 1;
            self.tally.tenants.entry(open.tenant).or_default().asked += 1;
        }
        self.send(open);
    }

    fn send(&mut self, open: Open) {
        self.requests += 1;
        let request = check::Request(self.requests);
        let repeat = match open.kind {
            Kind::Payment => Repeat::Once,
            _ => Repeat::Idempotent,
        };
        self.tell(Event::Asked {
            request,
            operation: open.operation,
            session: check::Session(open.operation.0),
            instance: name::Instance::new(&format!("i{}", open.instance)).expect("it is a name"),
            database: name::Database::new("booking").expect("it is a name"),
            freshness: Freshness::Session,
            repeat,
        });
        self.open.insert(request, open);
        self.after(self.site.caller_latency, Happening::Ask(request));
    }

    /// A request reached its instance, which chooses the upstream.
    fn ask(&mut self, request: check::Request) {
        let Some(open) = self.open.get(&request) else {
            return;
        };
        let upstream = match open.kind.writes() {
            true => Some(0),
            false => self.choose(request),
        };
        let Some(upstream) = upstream else {
            let outcome = Outcome::NotRun(Cause::NoUpstream);
            return self.answer(request, Answer::without_rows(outcome), Duration::ZERO);
        };
        let entry = self.open[&request].kind.entry();
        let mine = (0..self.seats.len()).filter(|&s| self.seats[s].upstream == upstream);
        let seat = mine.min_by_key(|&s| self.seats[s].pool.expected(self.now, &entry));
        let seat = seat.expect("each upstream has seats");
        let span = self.travel(request, seat);
        self.after(span, Happening::Submit { seat, request });
    }

    fn choose(&mut self, request: check::Request) -> Option<usize> {
        let open = &self.open[&request];
        let deadline = open.began + open.kind.deadline();
        let read = Read::new(self.now, deadline).floor(Floor::Known(Position::new(1, 0)));
        let router = &mut self.routers[open.instance];
        let upstream = match router.choose(self.now, &read, &mut self.rng) {
            Choice::Replica(upstream) | Choice::Primary(upstream) => upstream,
            Choice::Confirmed(upstream) => upstream,
            Choice::Wait { .. } | Choice::AwaitRound | Choice::Hold { .. } => return None,
            Choice::Refuse(_) => return None,
        };
        self.names.iter().position(|name| *name == upstream)
    }

    fn travel(&mut self, request: check::Request, seat: usize) -> Duration {
        let instance = self.open.get(&request).map_or(0, |open| open.instance);
        let here = Place::Zone(instance % self.site.zones);
        let there = Place::Zone(self.seats[seat].zone);
        let span = self.net.send(here, there, Transport::Stream);
        span.expect("this bench parts no zones")
    }

    fn submit(&mut self, seat: usize, request: check::Request) {
        let Some(open) = self.open.get(&request) else {
            return;
        };
        // The answer must still travel to the instance and to the caller.
        let way = self.site.caller_latency + self.site.inter_zone_latency;
        let submitted = Request {
            ticket: Ticket(request.0),
            entry: open.kind.entry(),
            limits: self.seats[seat].limits,
            tenant: self.tenants[open.tenant].clone(),
            weight: WEIGHT,
            priority: open.kind.priority(),
            deadline: open.began + open.kind.deadline() - way,
        };
        self.step(seat, pool::Event::Submit(submitted));
    }

    fn step(&mut self, seat: usize, event: pool::Event) {
        let actions = self.seats[seat].pool.step(self.now, event);
        for action in actions {
            self.carry_out(seat, action);
        }
        self.wake(seat);
    }

    fn wake(&mut self, seat: usize) {
        let at = self.seats[seat].pool.wake(self.now);
        let known = self.seats[seat].wake.map(|(at, _)| at);
        if known == at {
            return;
        }
        if let Some((_, token)) = self.seats[seat].wake.take() {
            self.timer.cancel(token);
        }
        if let Some(at) = at {
            let due = at.max(self.now + Duration::from_micros(1));
            let token = self.timer.subscribe(due, Happening::Tick { seat });
            self.seats[seat].wake = Some((at, token));
        }
    }

    fn carry_out(&mut self, seat: usize, action: Action) {
        match action {
            Action::Open(generation) => {
                self.tell(Event::Opened {
                    connection: connection(seat, generation),
                    upstream: self.names[self.seats[seat].upstream].clone(),
                    entry: None,
                });
                let connect = self.site.connect_time;
                self.after(connect, Happening::Opened { seat, generation });
            }
            Action::Close(generation) => self.close(seat, generation),
            Action::Run(ticket, handle) => self.start(seat, ticket, handle),
            Action::Refuse {
                ticket,
                cause,
                retry_after,
            } => {
                let outcome = Outcome::NotRun(cause);
                self.reply(seat, ticket, Answer::without_rows(outcome), retry_after);
            }
            Action::Cancel(handle) => {
                self.seats[seat].running.remove(&handle);
            }
            Action::Abort(ticket, cause) => {
                let outcome = Outcome::Unknown(cause);
                self.reply(seat, ticket, Answer::without_rows(outcome), Duration::ZERO);
            }
        }
    }

    fn close(&mut self, seat: usize, generation: Generation) {
        let connection = connection(seat, generation);
        self.tell(Event::Closed { connection });
        let running = &mut self.seats[seat].running;
        running.retain(|handle, _| handle.generation != generation);
    }

    fn start(&mut self, seat: usize, ticket: Ticket, handle: Handle) {
        let request = check::Request(ticket.0);
        self.tell(Event::Sent {
            request,
            upstream: self.names[self.seats[seat].upstream].clone(),
            transaction: None,
        });
        self.seats[seat].running.insert(handle, request);
        self.after(
            self.site.intra_zone_latency,
            Happening::Reach { seat, handle },
        );
    }

    /// A statement reached its upstream, which runs as many as it has slots and
    /// lets the others wait.
    fn reach(&mut self, seat: usize, handle: Handle) {
        let upstream = &mut self.upstreams[self.seats[seat].upstream];
        if upstream.busy >= self.site.slots {
            upstream.waiting.push_back((seat, handle));
            return;
        }
        upstream.busy += 1;
        let mean = self.site.service_time.as_secs_f64();
        let service = Duration::from_secs_f64(exponential(&mut self.rng, mean));
        self.after(service, Happening::Ran { seat, handle });
    }

    fn ran(&mut self, seat: usize, handle: Handle) {
        let upstream = &mut self.upstreams[self.seats[seat].upstream];
        upstream.busy -= 1;
        while let Some((seat, handle)) = upstream.waiting.pop_front() {
            // What was cancelled while it waited is dropped.
            if self.seats[seat].running.contains_key(&handle) {
                self.reach(seat, handle);
                break;
            }
        }
        let Some(request) = self.seats[seat].running.remove(&handle) else {
            return;
        };
        let writes = self.open.get(&request).is_some_and(|o| o.kind.writes());
        self.log += u64::from(writes);
        let at = Position::new(1, self.log);
        let age = Duration::ZERO;
        let effect = match writes {
            true => Effect::Write { at },
            false => Effect::Read { seen: at, age },
        };
        self.tell(Event::Ran {
            request,
            connection: connection(seat, handle.generation),
            transaction: None,
            effect,
        });
        self.seats[seat].ran.insert(handle, Ticket(request.0));
        self.after(
            self.site.intra_zone_latency,
            Happening::Read { seat, handle },
        );
    }

    fn read(&mut self, seat: usize, handle: Handle) {
        let Some(ticket) = self.seats[seat].ran.remove(&handle) else {
            return;
        };
        let in_flight = self.seats[seat].pool.in_flight(handle);
        self.step(seat, pool::Event::Answered(handle, Condition::Idle));
        if in_flight {
            let answer = Answer::done(check::Request(ticket.0));
            self.reply(seat, ticket, answer, Duration::ZERO);
        }
    }

    fn reply(&mut self, seat: usize, ticket: Ticket, answer: Answer, retry_after: Duration) {
        let request = check::Request(ticket.0);
        let span = self.travel(request, seat) + self.site.caller_latency;
        let happening = Happening::Answer {
            request,
            answer,
            retry_after,
        };
        self.after(span, happening);
    }

    fn answer(&mut self, request: check::Request, answer: Answer, retry_after: Duration) {
        let happening = Happening::Answer {
            request,
            answer,
            retry_after,
        };
        self.after(self.site.caller_latency, happening);
    }

    fn answered(&mut self, request: check::Request, answer: Answer, retry_after: Duration) {
        let Some(open) = self.open.remove(&request) else {
            return;
        };
        self.tell(Event::Answered {
            request,
            session: check::Session(open.operation.0),
            answer,
        });
        let took = self.now.since(open.began);
        let counts = open.began >= BEGIN;
        match answer.outcome {
            Outcome::Done if counts => self.done(&open, took),
            Outcome::Done => {}
            Outcome::NotRun(_) => self.refused(open, took, retry_after),
            Outcome::Unknown(_) => self.tally.unknown += u64::from(counts),
        }
    }

    fn done(&mut self, open: &Open, took: Duration) {
        if open.kind.writes() {
            self.tally.high.add(took);
        }
        if took > open.kind.deadline() {
            self.tally.late += 1;
            return;
        }
        self.tally.met += 1;
        self.tally.kinds.entry(open.kind).or_default().met += 1;
        self.tally.tenants.entry(open.tenant).or_default().met += 1;
    }

    /// A caller that was refused asks again while its deadline lasts.
    fn refused(&mut self, open: Open, took: Duration, retry_after: Duration) {
        let counts = open.began >= BEGIN;
        if counts {
            self.tally.refusal.add(took);
        }
        let wait = retry_after.max(MIN_REPEAT);
        if open.left == 0 || took + wait >= open.kind.deadline() {
            self.tally.refused += u64::from(counts);
            return;
        }
        self.tally.repeats += u64::from(counts);
        let instance = self.rng.random_range(0..self.site.instances);
        let again = Open {
            instance,
            left: open.left - 1,
            ..open
        };
        self.requests += 1;
        let request = check::Request(self.requests);
        self.tell_again(request, &again);
        self.open.insert(request, again);
        self.after(wait + self.site.caller_latency, Happening::Ask(request));
    }

    fn tell_again(&mut self, request: check::Request, open: &Open) {
        let repeat = match open.kind {
            Kind::Payment => Repeat::Once,
            _ => Repeat::Idempotent,
        };
        self.tell(Event::Asked {
            request,
            operation: open.operation,
            session: check::Session(open.operation.0),
            instance: name::Instance::new(&format!("i{}", open.instance)).expect("it is a name"),
            database: name::Database::new("booking").expect("it is a name"),
            freshness: Freshness::Session,
            repeat,
        });
    }

    fn observe(&mut self) {
        self.after(OBSERVE, Happening::Observe);
        for upstream in 0..self.names.len() {
            let mine = self.seats.iter().filter(|s| s.upstream == upstream);
            let (running, queued) = mine.fold((0, 0), |(r, q), s| {
                (r + s.pool.running(), q + s.pool.waiting())
            });
            let load = route::Load {
                in_flight: running as u32,
                queued: queued as u32,
            };
            let role = match upstream {
                0 => Role::Primary,
                _ => Role::Replica,
            };
            let report = Report {
                role,
                fenced: Term(1),
                received: Position::new(1, self.log),
                replayed: Lsn(self.log),
            };
            let name = self.names[upstream].clone();
            for router in &mut self.routers {
                router.step(self.now, route::Event::Load(&name, load));
                let event = route::Event::Report {
                    upstream: &name,
                    sent: self.now,
                    report,
                };
                router.step(self.now, event);
            }
        }
    }

    pub(super) fn level(self) -> Level {
        let span = self.end.since(BEGIN).as_secs_f64();
        let tally = &self.tally;
        let asked: u64 = tally.kinds.values().map(|p| p.asked).sum();
        let met = |kinds: &[Kind]| {
            let parts = kinds.iter().filter_map(|k| tally.kinds.get(k));
            let (asked, met) = parts.fold((0, 0), |(a, m), p| (a + p.asked, m + p.met));
            met as f64 / f64::from(u32::try_from(asked.max(1)).unwrap_or(u32::MAX))
        };
        Level {
            load: self.load,
            offered: asked as f64 / span,
            goodput: tally.met as f64 / span,
            refused: tally.refused as f64 / span,
            late: tally.late as f64 / span,
            unknown: tally.unknown as f64 / span,
            repeats: tally.repeats as f64 / span,
            high_met: met(&[Kind::Reservation, Kind::Payment]),
            normal_met: met(&[Kind::Desk]),
            low_met: met(&[Kind::Calendar]),
            refusal: tally.refusal.quantiles(),
            high: tally.high.quantiles(),
            fairness: fairness(tally),
            violations: self.suite.violations().len(),
        }
    }
}

/// The worst small tenant's share of its requests against their mean share.
fn fairness(tally: &Tally) -> f64 {
    let small = tally.tenants.iter().filter(|(tenant, _)| **tenant != 0);
    let shares: Vec<_> = small
        .map(|(_, part)| part.met as f64 / part.asked.max(1) as f64)
        .collect();
    let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
    shares.iter().copied().fold(f64::MAX, f64::min) / mean
}

fn connection(seat: usize, generation: Generation) -> Connection {
    Connection((seat as u64) << 48 | generation.0 & 0xffff_ffff_ffff)
}
