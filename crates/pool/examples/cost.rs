//! Measures the time per request of [`Pool::step`] for several queue lengths.
//!
//! `cargo run --release -p pool --example cost`
//!
//! Each round submits one request and answers the running one, so that the
//! length stays the same. Stuck requests wait for their entry's only
//! connection, which a transaction holds. The times are wall-clock times:
//! compare only runs on one idle machine.

use std::{hint::black_box, num::NonZeroU32, time::Duration};

use clock::Instant;
use model::{Priority, name};
use pool::{
    Action, Conf, Event, Handle, Pool, Request, Ticket,
    pool::{Condition, Limits},
};

const LENGTHS: [u64; 4] = [0, 10, 100, 1_000];
const ROUNDS: u64 = 4_000;
/// Number of tries, of which the fastest is printed: other processes only add
/// time.
const TRIES: u32 = 9;
const TENANTS: u64 = 4;

struct Bench {
    pool: Pool,
    sequence: u64,
    entry: name::Entry,
    tenants: Vec<name::Tenant>,
    running: Option<Handle>,
}

impl Bench {
    fn open() -> Self {
        let conf = Conf {
            connections: 15,
            slots: 1,
            warm: 4,
            idle_timeout: Duration::from_secs(60),
            transaction_idle_timeout: Duration::from_secs(10_000),
        };
        let tenant = |it| name::Tenant::new(&format!("t{it}")).expect("a valid name");
        let mut bench = Self {
            pool: Pool::open(conf, 1),
            sequence: 0,
            entry: name::Entry::new("pay").expect("a valid name"),
            tenants: (0..TENANTS).map(tenant).collect(),
            running: None,
        };
        for action in bench.pool.step(Instant::ZERO, Event::Tick) {
            if let Action::Open(generation) = action {
                bench.pool.step(Instant::ZERO, Event::Opened(generation));
            }
        }
        bench
    }

    /// Queues `length` requests of another entry, whose only connection is
    /// occupied.
    fn queue_blocked(&mut self, now: Instant, length: u64) {
        let entry = name::Entry::new("narrow").expect("a valid name");
        for _ in 0..=length {
            self.request(now, entry.clone(), 1);
            if let Some(handle) = self.running.take() {
                let held = Event::Answered(handle, Condition::Transaction);
                self.pool.step(now, held);
            }
        }
    }

    fn submit(&mut self, now: Instant) {
        self.request(now, self.entry.clone(), 15);
    }

    fn request(&mut self, now: Instant, entry: name::Entry, connections: u16) {
        self.sequence += 1;
        let request = Request {
            ticket: Ticket(self.sequence),
            entry,
            limits: Limits {
                connections,
                queue: 10_000,
            },
            tenant: self.tenants[(self.sequence % TENANTS) as usize].clone(),
            weight: NonZeroU32::MIN,
            priority: Priority::Normal,
            deadline: now + Duration::from_secs(10_000),
        };
        let actions = self.pool.step(now, Event::Submit(request));
        self.take(&actions);
    }

    fn answer(&mut self, now: Instant) {
        let Some(handle) = self.running.take() else {
            return;
        };
        let actions = self
            .pool
            .step(now, Event::Answered(handle, Condition::Idle));
        self.take(&actions);
    }

    fn take(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Run(_, handle) = action {
                self.running = Some(*handle);
            }
        }
    }
}

fn main() {
    for length in LENGTHS {
        let mut bench = Bench::open();
        let now = Instant::ZERO;
        for _ in 0..length + u64::from(length > 0) {
            bench.submit(now);
        }
        print("waiting", length, &mut bench, now);
    }
    for length in LENGTHS {
        let mut bench = Bench::open();
        bench.queue_blocked(Instant::ZERO, length);
        print("stuck", length, &mut bench, Instant::ZERO);
    }
}

fn print(what: &str, length: u64, bench: &mut Bench, mut now: Instant) {
    let mut best = u128::MAX;
    for _ in 0..TRIES {
        best = best.min(round(bench, &mut now));
    }
    println!(
        "{what} {length}: {best} ns per request; {} wait at the end",
        bench.pool.waiting()
    );
}

/// Nanoseconds per request.
fn round(bench: &mut Bench, now: &mut Instant) -> u128 {
    let began = std::time::Instant::now();
    for _ in 0..ROUNDS {
        *now = *now + Duration::from_micros(2_500);
        bench.submit(*now);
        black_box(bench.pool.wake(*now));
        *now = *now + Duration::from_micros(2_500);
        bench.answer(*now);
        black_box(bench.pool.wake(*now));
    }
    began.elapsed().as_nanos() / u128::from(ROUNDS)
}
