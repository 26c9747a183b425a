//! Simulates one upstream, its holder and retrying callers in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    num::NonZeroU32,
    time::Duration,
};

use clock::Instant;
use model::{Priority, name};
use pool::{
    Action, Conf, Event, Handle, Pool, Request, Ticket,
    conn::Generation,
    pool::{Condition, Limits},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CONNECT_TIME: Duration = Duration::from_millis(10);
const LATENCY: Duration = Duration::from_micros(100);
const SLOTS: u16 = 2;
const MAX_ATTEMPTS: u32 = 4;
const QUEUE_LIMIT: u32 = 1_000;

/// A kind of request: its priority, share of the load, mean work and deadline,
/// both in microseconds.
pub(crate) struct Kind {
    pub(crate) priority: Priority,
    share: f64,
    work: u64,
    deadline: u64,
}

pub(crate) const KINDS: [Kind; 3] = [
    Kind {
        priority: Priority::High,
        share: 0.15,
        work: 5_000,
        deadline: 300_000,
    },
    Kind {
        priority: Priority::Normal,
        share: 0.15,
        work: 5_000,
        deadline: 300_000,
    },
    Kind {
        priority: Priority::Low,
        share: 0.70,
        work: 5_000,
        deadline: 200_000,
    },
];

/// Statements per second that the slots can serve: two slots, 5 ms each.
pub(crate) const CAPACITY: f64 = 400.0;

/// Admission policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Admission by the pool.
    Pool,
}

/// Results of the requests of one kind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    /// First attempts during the measurement.
    pub(crate) first_attempts: u64,
    /// Requests completed in time on any attempt.
    pub(crate) done: u64,
    /// Requests completed in time on the first attempt.
    pub(crate) first: u64,
    /// Times in microseconds between arrival and refusal of the attempts that
    /// were refused without running.
    pub(crate) refusals: Vec<u64>,
    /// Attempts that reached their deadline after they were sent.
    pub(crate) timed_out: u64,
}

impl Tally {
    /// Mean time before a refusal in microseconds.
    pub(crate) fn mean_refusal(&self) -> u64 {
        self.refusals.iter().sum::<u64>() / (self.refusals.len() as u64).max(1)
    }

    /// 99th percentile of the time before a refusal in microseconds.
    pub(crate) fn p99_refusal(&self) -> u64 {
        let mut waits = self.refusals.clone();
        waits.sort_unstable();
        waits.get(waits.len() * 99 / 100).copied().unwrap_or(0)
    }
}

/// Result of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Report {
    pub(crate) kinds: [Tally; 3],
    /// Requests completed in time, by kind and tenant.
    pub(crate) tenants: [[u64; 4]; 3],
    /// Maximum number of connections open at once.
    pub(crate) connections: usize,
}

impl Report {
    /// Number of requests completed in time.
    pub(crate) fn done(&self) -> u64 {
        self.kinds.iter().map(|it| it.done).sum()
    }
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    kind: usize,
    tenant: usize,
    attempt: u32,
    arrived: Instant,
    deadline: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    Arrival,
    Retry(u64),
    Opened(Generation),
    Landed(Handle),
    Ended(Handle),
    Answered(Handle),
    Tick,
}

struct World {
    now: Instant,
    heap: BinaryHeap<Reverse<(Instant, u64, Task)>>,
    sequence: u64,
    rng: ChaCha8Rng,
    pool: Pool,
    policy: Policy,
    rate: f64,
    measured: (Instant, Instant),
    pending: BTreeMap<Ticket, Pending>,
    retries: BTreeMap<u64, Pending>,
    handles: BTreeMap<Handle, Ticket>,
    waiting: VecDeque<Handle>,
    running: BTreeMap<Handle, ()>,
    tick: Option<Instant>,
    report: Report,
    names: Names,
}

struct Names {
    entries: [name::Entry; 3],
    tenants: [name::Tenant; 4],
}

/// Runs `load` times the capacity for `seconds`, after a warm-up of one second.
pub(crate) fn run(policy: Policy, load: f64, seconds: u64, seed: u64) -> Report {
    let slots = match policy {
        Policy::Pool => SLOTS,
    };
    let conf = Conf {
        connections: 15,
        slots,
        warm: 4,
        idle_timeout: Duration::from_secs(60),
        transaction_idle_timeout: Duration::from_secs(10),
    };
    let begin = Instant::from_millis(1_000);
    let mut world = World {
        now: Instant::ZERO,
        heap: BinaryHeap::new(),
        sequence: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
        pool: Pool::open(conf, 1),
        policy,
        rate: load * CAPACITY,
        measured: (begin, begin + Duration::from_secs(seconds)),
        pending: BTreeMap::new(),
        retries: BTreeMap::new(),
        handles: BTreeMap::new(),
        waiting: VecDeque::new(),
        running: BTreeMap::new(),
        tick: None,
        report: Report::default(),
        names: Names {
            entries: ["pay", "shelf", "calendar"].map(|it| name::Entry::new(it).unwrap()),
            tenants: ["t1", "t2", "t3", "t4"].map(|it| name::Tenant::new(it).unwrap()),
        },
    };
    world.schedule(Duration::ZERO, Task::Arrival);
    world.step(Event::Tick);
    while let Some(Reverse((at, _, task))) = world.heap.pop() {
        if at >= world.measured.1 {
            break;
        }
        world.now = at;
        world.run_task(task);
    }
    world.report
}

impl World {
    fn schedule(&mut self, after: Duration, task: Task) {
        self.sequence += 1;
        self.heap
            .push(Reverse((self.now + after, self.sequence, task)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn run_task(&mut self, task: Task) {
        match task {
            Task::Arrival => self.arrive(),
            Task::Retry(id) => {
                if let Some(pending) = self.retries.remove(&id) {
                    self.submit(pending);
                }
            }
            Task::Opened(generation) => self.step(Event::Opened(generation)),
            Task::Landed(handle) => {
                self.waiting.push_back(handle);
                self.serve();
            }
            Task::Ended(handle) => {
                if self.running.remove(&handle).is_some() {
                    self.schedule(LATENCY, Task::Answered(handle));
                }
                self.serve();
            }
            Task::Answered(handle) => self.answer(handle),
            Task::Tick => {
                if self.tick == Some(self.now) {
                    self.tick = None;
                    self.step(Event::Tick);
                }
            }
        }
    }

    fn arrive(&mut self) {
        let gap = self.exponential(1e6 / self.rate);
        self.schedule(Duration::from_micros(gap as u64), Task::Arrival);
        let draw = self.rng.random::<f64>();
        let kind = match draw {
            x if x < KINDS[0].share => 0,
            x if x < KINDS[0].share + KINDS[1].share => 1,
            _ => 2,
        };
        // One tenant sends seven tenths of all requests.
        let tenant = match self.rng.random_range(0..10) {
            0..7 => 0,
            other => other - 6,
        };
        let pending = Pending {
            kind,
            tenant,
            attempt: 1,
            arrived: self.now,
            deadline: self.now,
        };
        if self.measuring() {
            self.report.kinds[kind].first_attempts += 1;
        }
        self.submit(pending);
    }

    fn measuring(&self) -> bool {
        self.now >= self.measured.0
    }

    fn submit(&mut self, pending: Pending) {
        let kind = &KINDS[pending.kind];
        let deadline = self.now + Duration::from_micros(kind.deadline);
        self.sequence += 1;
        let ticket = Ticket(self.sequence);
        let pending = Pending {
            arrived: self.now,
            deadline,
            ..pending
        };
        self.pending.insert(ticket, pending);
        let fair = self.policy == Policy::Pool;
        let request = Request {
            ticket,
            entry: self.names.entries[pending.kind].clone(),
            limits: Limits {
                connections: 15,
                queue: QUEUE_LIMIT,
            },
            tenant: self.names.tenants[if fair { pending.tenant } else { 0 }].clone(),
            weight: NonZeroU32::MIN,
            priority: if fair { kind.priority } else { Priority::High },
            // The naive policy is the same code without any deadline.
            deadline: if fair {
                deadline
            } else {
                Instant::from_millis(u64::MAX / 2_000)
            },
        };
        self.step(Event::Submit(request));
    }

    fn step(&mut self, event: Event) {
        for action in self.pool.step(self.now, event) {
            self.act(action);
        }
        self.report.connections = self.report.connections.max(self.pool.connections());
        let Some(wake) = self.pool.wake(self.now) else {
            return;
        };
        let wake = wake.max(self.now + Duration::from_micros(1));
        if self.tick.is_none_or(|at| wake < at) {
            self.tick = Some(wake);
            self.schedule(wake.since(self.now), Task::Tick);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Open(generation) => self.schedule(CONNECT_TIME, Task::Opened(generation)),
            Action::Close(_) => {}
            Action::Run(ticket, handle) => {
                self.handles.insert(handle, ticket);
                self.schedule(LATENCY, Task::Landed(handle));
            }
            Action::Refuse {
                ticket,
                retry_after,
                ..
            } => {
                let Some(pending) = self.pending.remove(&ticket) else {
                    return;
                };
                if self.measuring() {
                    let tally = &mut self.report.kinds[pending.kind];
                    tally
                        .refusals
                        .push(self.now.since(pending.arrived).as_micros() as u64);
                }
                self.retry(pending, retry_after);
            }
            Action::Cancel(handle) => {
                self.waiting.retain(|it| *it != handle);
                self.running.remove(&handle);
                self.handles.remove(&handle);
                self.serve();
            }
            Action::Abort(ticket, _) => {
                let Some(pending) = self.pending.remove(&ticket) else {
                    return;
                };
                if self.measuring() {
                    self.report.kinds[pending.kind].timed_out += 1;
                }
                self.retry(pending, Duration::ZERO);
            }
        }
    }

    fn retry(&mut self, pending: Pending, after: Duration) {
        if pending.attempt >= MAX_ATTEMPTS {
            return;
        }
        self.sequence += 1;
        let id = self.sequence;
        let pending = Pending {
            attempt: pending.attempt + 1,
            ..pending
        };
        self.retries.insert(id, pending);
        let jitter = Duration::from_micros(self.rng.random_range(1..2_000));
        self.schedule(after + jitter, Task::Retry(id));
    }

    fn serve(&mut self) {
        while self.running.len() < usize::from(SLOTS) {
            let Some(handle) = self.waiting.pop_front() else {
                return;
            };
            let kind = self
                .handles
                .get(&handle)
                .and_then(|it| self.pending.get(it))
                .map_or(2, |it| it.kind);
            let mean = KINDS[kind].work as f64;
            let work = mean / 2.0 + self.exponential(mean / 2.0);
            self.running.insert(handle, ());
            self.schedule(Duration::from_micros(work as u64), Task::Ended(handle));
        }
    }

    fn answer(&mut self, handle: Handle) {
        if let Some(ticket) = self.handles.remove(&handle) {
            self.record_completion(ticket);
        }
        self.step(Event::Answered(handle, Condition::Idle));
    }

    fn record_completion(&mut self, ticket: Ticket) {
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        let late = self.now > pending.deadline;
        if self.measuring() {
            let tally = &mut self.report.kinds[pending.kind];
            tally.done += u64::from(!late);
            tally.first += u64::from(!late && pending.attempt == 1);
            tally.timed_out += u64::from(late);
            self.report.tenants[pending.kind][pending.tenant] += u64::from(!late);
        }
        if late {
            self.retry(pending, Duration::ZERO);
        }
    }
}
