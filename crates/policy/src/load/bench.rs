//! Simulation of one group under load: pools, forwarding instances and callers
//! that repeat refused requests.

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

use super::{Count, Kind, Level, TENANT_WEIGHT, TENANTS, capacity, random_tenant};
use crate::{
    net::{Net, Place, Transport, exponential},
    site::Site,
    stat::Spans,
};

/// How often a caller repeats a refused request.
const MAX_REPEATS: u32 = 2;
/// Minimum delay before a caller repeats a request.
const MIN_REPEAT_DELAY: Duration = Duration::from_millis(10);
/// Start of the measurement; the pools have estimated the service times by
/// then.
const MEASURE_START: Instant = Instant::from_millis(1_000);
/// Interval at which the routers receive the upstreams' positions and loads.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of requests of an entry that wait at a pool.
const QUEUE_LIMIT: u32 = 256;
/// Idle connections that a pool keeps open.
const WARM_CONNECTIONS: u16 = 2;
/// Statements that a pool sends beyond its slots, so that a slot has its next
/// statement ready while an answer travels.
const EXTRA_SLOTS: u16 = 1;

#[derive(Debug)]
enum Occurrence {
    Arrive,
    Observe,
    Route(check::Request),
    Submit {
        seat: usize,
        request: check::Request,
    },
    Opened {
        seat: usize,
        generation: Generation,
    },
    Execute {
        seat: usize,
        handle: Handle,
    },
    Ran {
        seat: usize,
        handle: Handle,
    },
    Received {
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

/// Pool of one seat's holder.
#[derive(Debug)]
struct Seat {
    upstream: usize,
    zone: usize,
    pool: Pool,
    limits: Limits,
    wake: Option<(Instant, Token)>,
    running: HashMap<Handle, check::Request>,
    finished: HashMap<Handle, Ticket>,
}

/// Statements running and queued at an upstream.
#[derive(Debug, Default)]
struct Upstream {
    busy: u16,
    waiting: VecDeque<(usize, Handle)>,
}

/// Request of a caller that is not answered yet, with its remaining repeats.
#[derive(Debug)]
struct Pending {
    kind: Kind,
    tenant: usize,
    began: Instant,
    operation: Operation,
    instance: usize,
    repeats_left: u32,
}

#[derive(Debug)]
pub(super) struct Simulation {
    site: Site,
    load: f64,
    now: Instant,
    end: Instant,
    timer: Timer<Occurrence>,
    net: Net,
    rng: ChaCha8Rng,
    seats: Vec<Seat>,
    upstreams: Vec<Upstream>,
    routers: Vec<Router>,
    names: Vec<name::Upstream>,
    tenants: Vec<name::Tenant>,
    pending: HashMap<check::Request, Pending>,
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

impl Simulation {
    pub(super) fn open(site: Site, load: f64, span: Duration, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let net = Net::open(site, ChaCha8Rng::seed_from_u64(rng.random()));
        let upstream =
            |u: usize| name::Upstream::new(&format!("u{u}")).expect("a generated name is valid");
        let tenant =
            |t: usize| name::Tenant::new(&format!("t{t}")).expect("a generated name is valid");
        let mut simulation = Self {
            site,
            load,
            now: Instant::ZERO,
            end: MEASURE_START + span,
            timer: Timer::default(),
            net,
            rng,
            seats: Vec::new(),
            upstreams: (0..site.upstreams).map(|_| Upstream::default()).collect(),
            routers: Vec::new(),
            names: (0..site.upstreams).map(upstream).collect(),
            tenants: (0..TENANTS).map(tenant).collect(),
            pending: HashMap::new(),
            requests: 0,
            operations: 0,
            log: 0,
            suite: Suite::default(),
            tally: Tally::default(),
        };
        simulation.open_pools();
        simulation.open_routers();
        simulation.schedule_after(Duration::from_millis(100), Occurrence::Arrive);
        simulation.schedule_after(Duration::ZERO, Occurrence::Observe);
        simulation
    }

    fn open_pools(&mut self) {
        let site = self.site;
        let seats = holder::seats(site.slots);
        for upstream in 0..site.upstreams {
            self.record(Event::Limited {
                holder: Holder::Upstream(self.names[upstream].clone()),
                connections: site.connections.into(),
            });
            for index in 0..seats.get() {
                let share = holder::share(site.connections, site.slots, seats, index);
                let conf = Conf {
                    connections: share.connections,
                    slots: share.slots + EXTRA_SLOTS,
                    warm: WARM_CONNECTIONS,
                    idle_timeout: Duration::from_secs(30),
                    transaction_idle_timeout: Duration::from_secs(10),
                };
                let limits = Limits {
                    connections: share.connections,
                    queue: QUEUE_LIMIT,
                };
                self.seats.push(Seat {
                    upstream,
                    zone: upstream % site.zones,
                    pool: Pool::open(conf, 1),
                    limits,
                    wake: None,
                    running: HashMap::new(),
                    finished: HashMap::new(),
                });
                self.step(self.seats.len() - 1, pool::Event::Tick);
            }
        }
    }

    fn open_routers(&mut self) {
        let zone = |z: usize| name::Zone::new(&format!("z{z}")).expect("a generated name is valid");
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
            for occurrence in self.timer.expired(at) {
                self.process(occurrence);
            }
        }
    }

    fn process(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Arrive => self.arrive(),
            Occurrence::Observe => self.observe(),
            Occurrence::Route(request) => self.route(request),
            Occurrence::Submit { seat, request } => self.submit(seat, request),
            Occurrence::Opened { seat, generation } => {
                self.step(seat, pool::Event::Opened(generation));
            }
            Occurrence::Execute { seat, handle } => self.execute(seat, handle),
            Occurrence::Ran { seat, handle } => self.ran(seat, handle),
            Occurrence::Received { seat, handle } => self.receive(seat, handle),
            Occurrence::Tick { seat } => {
                self.seats[seat].wake = None;
                self.step(seat, pool::Event::Tick);
            }
            Occurrence::Answer {
                request,
                answer,
                retry_after,
            } => self.answered(request, answer, retry_after),
        }
    }

    fn schedule_after(&mut self, span: Duration, occurrence: Occurrence) {
        self.timer.subscribe(self.now + span, occurrence);
    }

    fn record(&mut self, event: Event) {
        self.suite.observe(self.now, &event);
    }

    fn arrive(&mut self) {
        if self.now >= self.end {
            return;
        }
        let rate = capacity(self.site) * self.load;
        let gap = Duration::from_secs_f64(exponential(&mut self.rng, 1.0 / rate));
        self.schedule_after(gap, Occurrence::Arrive);
        self.operations += 1;
        let pending = Pending {
            kind: Kind::draw(&mut self.rng),
            tenant: random_tenant(&mut self.rng),
            began: self.now,
            operation: Operation(self.operations),
            instance: self.rng.random_range(0..self.site.instances),
            repeats_left: MAX_REPEATS,
        };
        if self.now >= MEASURE_START {
            self.tally.kinds.entry(pending.kind).or_default().asked += 1;
            self.tally.tenants.entry(pending.tenant).or_default().asked += 1;
        }
        self.send(pending);
    }

    fn send(&mut self, pending: Pending) {
        self.requests += 1;
        let request = check::Request(self.requests);
        let repeat = match pending.kind {
            Kind::Payment => Repeat::Once,
            _ => Repeat::Idempotent,
        };
        self.record(Event::Asked {
            request,
            operation: pending.operation,
            session: check::Session(pending.operation.0),
            instance: name::Instance::new(&format!("i{}", pending.instance))
                .expect("a generated name is valid"),
            database: name::Database::new("booking").expect("a generated name is valid"),
            freshness: Freshness::Session,
            repeat,
        });
        self.pending.insert(request, pending);
        self.schedule_after(self.site.caller_latency, Occurrence::Route(request));
    }

    /// Chooses the upstream and the seat for a request that reached its
    /// instance.
    fn route(&mut self, request: check::Request) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let upstream = match pending.kind.is_write() {
            true => Some(0),
            false => self.choose(request),
        };
        let Some(upstream) = upstream else {
            let outcome = Outcome::NotRun(Cause::NoUpstream);
            return self.answer(request, Answer::without_rows(outcome), Duration::ZERO);
        };
        let entry = self.pending[&request].kind.entry();
        let seats = (0..self.seats.len()).filter(|&s| self.seats[s].upstream == upstream);
        let seat = seats.min_by_key(|&s| self.seats[s].pool.expected(self.now, &entry));
        let seat = seat.expect("each upstream has a pool");
        let span = self.travel_time(request, seat);
        self.schedule_after(span, Occurrence::Submit { seat, request });
    }

    fn choose(&mut self, request: check::Request) -> Option<usize> {
        let pending = &self.pending[&request];
        let deadline = pending.began + pending.kind.deadline();
        let read = Read::new(self.now, deadline).floor(Floor::Known(Position::new(1, 0)));
        let router = &mut self.routers[pending.instance];
        let upstream = match router.choose(self.now, &read, &mut self.rng) {
            Choice::Replica(upstream) | Choice::Primary(upstream) => upstream,
            Choice::Confirmed(upstream) => upstream,
            Choice::Wait { .. } | Choice::AwaitRound | Choice::Hold { .. } => return None,
            Choice::Refuse(_) => return None,
        };
        self.names.iter().position(|name| *name == upstream)
    }

    fn travel_time(&mut self, request: check::Request, seat: usize) -> Duration {
        let instance = self
            .pending
            .get(&request)
            .map_or(0, |pending| pending.instance);
        let source = Place::Zone(instance % self.site.zones);
        let target = Place::Zone(self.seats[seat].zone);
        let span = self.net.send(source, target, Transport::Stream);
        span.expect("no zones are partitioned")
    }

    fn submit(&mut self, seat: usize, request: check::Request) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        // The answer still has to travel to the instance and to the caller.
        let return_time = self.site.caller_latency + self.site.inter_zone_latency;
        let submitted = Request {
            ticket: Ticket(request.0),
            entry: pending.kind.entry(),
            limits: self.seats[seat].limits,
            tenant: self.tenants[pending.tenant].clone(),
            weight: TENANT_WEIGHT,
            priority: pending.kind.priority(),
            deadline: pending.began + pending.kind.deadline() - return_time,
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
            let token = self.timer.subscribe(due, Occurrence::Tick { seat });
            self.seats[seat].wake = Some((at, token));
        }
    }

    fn carry_out(&mut self, seat: usize, action: Action) {
        match action {
            Action::Open(generation) => {
                self.record(Event::Opened {
                    connection: connection(seat, generation),
                    upstream: self.names[self.seats[seat].upstream].clone(),
                    entry: None,
                });
                let connect = self.site.connect_time;
                self.schedule_after(connect, Occurrence::Opened { seat, generation });
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
        self.record(Event::Closed { connection });
        let running = &mut self.seats[seat].running;
        running.retain(|handle, _| handle.generation != generation);
    }

    fn start(&mut self, seat: usize, ticket: Ticket, handle: Handle) {
        let request = check::Request(ticket.0);
        self.record(Event::Sent {
            request,
            upstream: self.names[self.seats[seat].upstream].clone(),
            transaction: None,
        });
        self.seats[seat].running.insert(handle, request);
        self.schedule_after(
            self.site.intra_zone_latency,
            Occurrence::Execute { seat, handle },
        );
    }

    /// Runs a statement that reached its upstream, or queues it if no slot is
    /// free.
    fn execute(&mut self, seat: usize, handle: Handle) {
        let upstream = &mut self.upstreams[self.seats[seat].upstream];
        if upstream.busy >= self.site.slots {
            upstream.waiting.push_back((seat, handle));
            return;
        }
        upstream.busy += 1;
        let mean = self.site.service_time.as_secs_f64();
        let service = Duration::from_secs_f64(exponential(&mut self.rng, mean));
        self.schedule_after(service, Occurrence::Ran { seat, handle });
    }

    fn ran(&mut self, seat: usize, handle: Handle) {
        let upstream = &mut self.upstreams[self.seats[seat].upstream];
        upstream.busy -= 1;
        while let Some((seat, handle)) = upstream.waiting.pop_front() {
            // Statements cancelled while queued are dropped.
            if self.seats[seat].running.contains_key(&handle) {
                self.execute(seat, handle);
                break;
            }
        }
        let Some(request) = self.seats[seat].running.remove(&handle) else {
            return;
        };
        let writes = self
            .pending
            .get(&request)
            .is_some_and(|o| o.kind.is_write());
        self.log += u64::from(writes);
        let at = Position::new(1, self.log);
        let age = Duration::ZERO;
        let effect = match writes {
            true => Effect::Write { at },
            false => Effect::Read { seen: at, age },
        };
        self.record(Event::Ran {
            request,
            connection: connection(seat, handle.generation),
            transaction: None,
            effect,
        });
        self.seats[seat].finished.insert(handle, Ticket(request.0));
        self.schedule_after(
            self.site.intra_zone_latency,
            Occurrence::Received { seat, handle },
        );
    }

    fn receive(&mut self, seat: usize, handle: Handle) {
        let Some(ticket) = self.seats[seat].finished.remove(&handle) else {
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
        let span = self.travel_time(request, seat) + self.site.caller_latency;
        let occurrence = Occurrence::Answer {
            request,
            answer,
            retry_after,
        };
        self.schedule_after(span, occurrence);
    }

    fn answer(&mut self, request: check::Request, answer: Answer, retry_after: Duration) {
        let occurrence = Occurrence::Answer {
            request,
            answer,
            retry_after,
        };
        self.schedule_after(self.site.caller_latency, occurrence);
    }

    fn answered(&mut self, request: check::Request, answer: Answer, retry_after: Duration) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        self.record(Event::Answered {
            request,
            session: check::Session(pending.operation.0),
            answer,
        });
        let took = self.now.since(pending.began);
        let is_measured = pending.began >= MEASURE_START;
        match answer.outcome {
            Outcome::Done if is_measured => self.done(&pending, took),
            Outcome::Done => {}
            Outcome::NotRun(_) => self.refused(pending, took, retry_after),
            Outcome::Unknown(_) => self.tally.unknown += u64::from(is_measured),
        }
    }

    fn done(&mut self, pending: &Pending, took: Duration) {
        if pending.kind.is_write() {
            self.tally.high.add(took);
        }
        if took > pending.kind.deadline() {
            self.tally.late += 1;
            return;
        }
        self.tally.met += 1;
        self.tally.kinds.entry(pending.kind).or_default().met += 1;
        self.tally.tenants.entry(pending.tenant).or_default().met += 1;
    }

    /// Repeats a refused request if its deadline and the limit of repeats allow
    /// another attempt.
    fn refused(&mut self, pending: Pending, took: Duration, retry_after: Duration) {
        let is_measured = pending.began >= MEASURE_START;
        if is_measured {
            self.tally.refusal.add(took);
        }
        let wait = retry_after.max(MIN_REPEAT_DELAY);
        if pending.repeats_left == 0 || took + wait >= pending.kind.deadline() {
            self.tally.refused += u64::from(is_measured);
            return;
        }
        self.tally.repeats += u64::from(is_measured);
        let instance = self.rng.random_range(0..self.site.instances);
        let repeated = Pending {
            instance,
            repeats_left: pending.repeats_left - 1,
            ..pending
        };
        self.requests += 1;
        let request = check::Request(self.requests);
        self.record_repeat(request, &repeated);
        self.pending.insert(request, repeated);
        self.schedule_after(wait + self.site.caller_latency, Occurrence::Route(request));
    }

    fn record_repeat(&mut self, request: check::Request, pending: &Pending) {
        let repeat = match pending.kind {
            Kind::Payment => Repeat::Once,
            _ => Repeat::Idempotent,
        };
        self.record(Event::Asked {
            request,
            operation: pending.operation,
            session: check::Session(pending.operation.0),
            instance: name::Instance::new(&format!("i{}", pending.instance))
                .expect("a generated name is valid"),
            database: name::Database::new("booking").expect("a generated name is valid"),
            freshness: Freshness::Session,
            repeat,
        });
    }

    fn observe(&mut self) {
        self.schedule_after(OBSERVE_INTERVAL, Occurrence::Observe);
        for upstream in 0..self.names.len() {
            let seats = self.seats.iter().filter(|s| s.upstream == upstream);
            let (running, queued) = seats.fold((0, 0), |(r, q), s| {
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
        let span = self.end.since(MEASURE_START).as_secs_f64();
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

/// Share of requests done in time for the worst served small tenant, divided by
/// the mean of the small tenants.
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
