//! Connection limits hold when a seat's holder is paused past its lease.

use std::{collections::BTreeMap, num::NonZeroU16, time::Duration};

use check::{Connection, Event, Holder, Suite, Violation};
use clock::Instant;
use model::name;
use pool::{
    Action, Conf, Lease, Pool, Seat, holder,
    lease::{self, Id},
    seat::{self, Epoch, Occupancy, Permit, Record},
};

const LIMIT: u16 = 16;
const TICK: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fencing {
    /// The upstream closes the connections of the former holder.
    Done,
    /// Broken: fencing is reported as done but nothing is closed.
    Skipped,
}

struct Instance {
    lease: Lease,
    seat: Seat,
    pool: Option<Pool>,
    paused_until: Instant,
}

/// A store with one key under leases, an upstream and two instances.
struct World {
    now: Instant,
    instances: [Instance; 2],
    leases: BTreeMap<i64, Instant>,
    key: Option<(usize, Epoch, Id)>,
    revision: u64,
    open: BTreeMap<u64, usize>,
    last_id: u64,
    fencing: Fencing,
    suite: Suite,
}

fn upstream() -> name::Upstream {
    name::Upstream::new("u1").unwrap()
}

impl World {
    fn open(fencing: Fencing) -> Self {
        let instance = || Instance {
            lease: Lease::open(9),
            seat: Seat::default(),
            pool: None,
            paused_until: Instant::ZERO,
        };
        let mut suite = Suite::default();
        let limited = Event::Limited {
            holder: Holder::Upstream(upstream()),
            connections: LIMIT.into(),
        };
        suite.observe(Instant::ZERO, &limited);
        Self {
            now: Instant::ZERO,
            instances: [instance(), instance()],
            leases: BTreeMap::new(),
            key: None,
            revision: 0,
            open: BTreeMap::new(),
            last_id: 0,
            fencing,
            suite,
        }
    }

    fn run(&mut self, until: Instant) {
        while self.now < until {
            self.now = self.now + TICK;
            let now = self.now;
            self.leases.retain(|_, ends| *ends > now);
            let leases = &self.leases;
            self.key = self.key.filter(|(_, _, id)| leases.contains_key(&id.0));
            for i in 0..2 {
                if self.instances[i].paused_until <= now {
                    self.step(i);
                }
            }
        }
    }

    fn step(&mut self, i: usize) {
        let now = self.now;
        let actions = self.instances[i].lease.step(now, lease::Event::Tick);
        for action in actions {
            let answer = self.answer_lease(action);
            self.instances[i].lease.step(now, answer);
        }
        let status = self.instances[i].lease.status(now);
        self.seat(i, seat::Event::Lease(status));
        let record = self.record(i);
        self.seat(i, seat::Event::Record(record));
        self.seat(i, seat::Event::Tick);
        self.use_seat(i);
    }

    fn answer_lease(&mut self, action: lease::Action) -> lease::Event {
        match action {
            lease::Action::Grant(attempt, ttl) => {
                self.last_id += 1;
                let id = Id(self.last_id as i64);
                self.leases.insert(id.0, self.now + ttl);
                lease::Event::Granted(attempt, id)
            }
            lease::Action::Renew(attempt, id) => match self.leases.get_mut(&id.0) {
                Some(ends) => {
                    *ends = self.now + lease::interval(9) * lease::TTL_INTERVALS;
                    lease::Event::Renewed(attempt)
                }
                None => lease::Event::Gone(attempt),
            },
        }
    }

    fn record(&self, i: usize) -> Record {
        match self.key {
            None => Record::Absent,
            Some((holder, epoch, _)) if holder == i => Record::Mine(epoch),
            Some((_, epoch, _)) => Record::Other(epoch),
        }
    }

    fn seat(&mut self, i: usize, event: seat::Event) {
        for action in self.instances[i].seat.step(self.now, event) {
            self.carry_out(i, action);
        }
    }

    fn carry_out(&mut self, i: usize, action: seat::Action) {
        match action {
            seat::Action::Claim(id, over) => {
                let free = self.key.map(|(_, epoch, _)| epoch) == over;
                if free && self.leases.contains_key(&id.0) {
                    self.revision += 1;
                    self.key = Some((i, Epoch(self.revision), id));
                }
                self.seat(i, seat::Event::Record(self.record(i)));
            }
            seat::Action::Read => self.seat(i, seat::Event::Record(self.record(i))),
            seat::Action::Fence(attempt) => {
                if self.fencing == Fencing::Done {
                    self.close(|holder| holder != i);
                }
                self.seat(i, seat::Event::Fenced(attempt));
            }
            seat::Action::Check(attempt) => {
                let seen = match self.open.values().any(|&holder| holder != i) {
                    true => Occupancy::Later,
                    false => Occupancy::Alone,
                };
                self.seat(i, seat::Event::Checked(attempt, seen));
            }
            seat::Action::Close => {
                self.close(|holder| holder == i);
                self.instances[i].pool = None;
                self.seat(i, seat::Event::Closed);
            }
            seat::Action::Release(epoch) => {
                self.key = self.key.filter(|(_, known, _)| *known != epoch);
            }
        }
    }

    fn close(&mut self, should_close: impl Fn(usize) -> bool) {
        let closed: Vec<_> = self
            .open
            .iter()
            .filter(|(_, h)| should_close(**h))
            .collect();
        let closed: Vec<_> = closed
            .into_iter()
            .map(|(connection, _)| *connection)
            .collect();
        for connection in closed {
            self.open.remove(&connection);
            let connection = Connection(connection);
            self.suite.observe(self.now, &Event::Closed { connection });
        }
    }

    /// Opens the connections that the pool asks for, if the seat permits it
    /// now.
    fn use_seat(&mut self, i: usize) {
        let now = self.now;
        if self.instances[i].seat.permit(now) != Permit::Full {
            return;
        }
        let share = holder::share(LIMIT, 2, NonZeroU16::MIN, 0);
        let conf = Conf {
            connections: share.connections,
            slots: share.slots,
            warm: share.connections,
            idle_timeout: Duration::from_secs(60),
            transaction_idle_timeout: Duration::from_secs(10),
        };
        let pool = self.instances[i]
            .pool
            .get_or_insert_with(|| Pool::open(conf, 1));
        for action in pool.step(now, pool::Event::Tick) {
            let Action::Open(generation) = action else {
                continue;
            };
            pool.step(now, pool::Event::Opened(generation));
            self.last_id += 1;
            self.open.insert(self.last_id, i);
            let opened = Event::Opened {
                connection: Connection(self.last_id),
                upstream: upstream(),
                entry: None,
            };
            self.suite.observe(now, &opened);
        }
    }

    fn open_connections(&self, i: usize) -> usize {
        self.open.values().filter(|&&holder| holder == i).count()
    }
}

/// Instance 0 holds the seat, is paused for twelve seconds and does not notice.
fn pause_holder(fencing: Fencing) -> World {
    let mut world = World::open(fencing);
    world.seat(0, seat::Event::Wanted);
    world.run(Instant::from_millis(2_000));
    assert_eq!(world.open_connections(0), 15);
    world.instances[0].paused_until = Instant::from_millis(14_000);
    world.seat(1, seat::Event::Wanted);
    world.run(Instant::from_millis(20_000));
    world
}

/// Guards against two holders of one seat that exceed the upstream's limit: the
/// holder is paused past its lease, the next one takes the seat, and the first
/// one resumes with a stalled clock and open connections.
#[test]
fn holder_paused_past_its_lease() {
    let world = pause_holder(Fencing::Done);
    assert_eq!(world.suite.violations(), []);
    assert_eq!(
        (world.open_connections(0), world.open_connections(1)),
        (0, 15)
    );
}

/// Guards against a checker that misses an exceeded limit: the same pause
/// without fencing.
#[test]
fn unfenced_holder_exceeds_the_limit() {
    let world = pause_holder(Fencing::Skipped);
    let is_violation = |v: &Violation| matches!(v, Violation::LimitExceeded { .. });
    assert!(world.suite.violations().iter().any(is_violation));
}
