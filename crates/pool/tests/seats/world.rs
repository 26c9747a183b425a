//! Several holders, one store and one upstream in virtual time, with faults.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use clock::Instant;
use pool::{
    Seat,
    holder::{seats, share},
    lease::{self, Attempt, Id, Lease},
    seat::{Action, Admission, Epoch, Event, Permit, admit},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fakes::{Holder, LIMIT, SEATS, Store, Upstream};

mod endpoints;
mod faults;

const HOLDERS: usize = 4;
const STEP: Duration = Duration::from_millis(50);
const FAULT: Duration = Duration::from_millis(800);

/// The seat logic, or a deliberately broken variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Variant {
    Real,
    /// A new holder starts without ending the connections of its predecessor.
    NoFence,
    /// New connections are used without checking for other holders.
    NoCheck,
    /// A paused holder continues with its permission from before the pause.
    IgnoresPauses,
}

/// Result of a run.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) upstream: Upstream,
    /// Statements at each seat in the fault-free time at the end.
    pub(crate) quiet_statements: [u64; SEATS],
}

#[derive(Debug, Clone, Copy)]
enum Call {
    Grant(Attempt, Duration),
    Renew(Attempt, Id),
    Claim(usize, Id, Option<Epoch>),
    Read(usize),
    Release(usize, Epoch),
}

#[derive(Debug, Clone, Copy)]
enum Op {
    Open(u64, Epoch),
    ListOthers(u64, Epoch),
    EndOthers(u64, Epoch),
    Run(u64),
    Close(u64),
    Fence(Attempt, Epoch),
    Check(Attempt, Epoch),
}

#[derive(Debug, Clone)]
enum Message {
    Lease(lease::Event),
    Seat(usize, Event),
    Opened(usize, u64, Epoch),
    OthersListed(usize, u64, Epoch, Vec<Epoch>),
    Gone(usize, u64),
}

#[derive(Debug, Clone)]
enum Task {
    Step(Holder),
    Store(Holder, Call),
    Upstream(Holder, usize, Op),
    Message(Holder, Message),
    Fault,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Open {
    /// The login, or the check for other holders, is in progress.
    Pending,
    Usable,
}

#[derive(Debug)]
struct Process {
    lease: Lease,
    seats: [Seat; SEATS],
    conns: [BTreeMap<u64, Open>; SEATS],
    permits: [Permit; SEATS],
    paused_until: Instant,
    resumed: bool,
    cut_until: Instant,
    dead: bool,
}

impl Process {
    fn open() -> Self {
        Self {
            lease: Lease::open(9),
            seats: Default::default(),
            conns: Default::default(),
            permits: [Permit::Nothing; SEATS],
            paused_until: Instant::ZERO,
            resumed: false,
            cut_until: Instant::ZERO,
            dead: false,
        }
    }
}

pub(crate) struct World {
    now: Instant,
    heap: BinaryHeap<Reverse<(Instant, u64)>>,
    tasks: BTreeMap<u64, Task>,
    sequence: u64,
    rng: ChaCha8Rng,
    variant: Variant,
    store: Store,
    outage_until: Instant,
    upstream: Upstream,
    processes: Vec<Process>,
    faults_end: Instant,
}

/// Runs with faults for `seconds`, and then for half a minute without.
pub(crate) fn run(variant: Variant, seconds: u64, seed: u64) -> Report {
    let mut world = World {
        now: Instant::ZERO,
        heap: BinaryHeap::new(),
        tasks: BTreeMap::new(),
        sequence: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
        variant,
        store: Store::default(),
        outage_until: Instant::ZERO,
        upstream: Upstream::default(),
        processes: Vec::new(),
        faults_end: Instant::from_millis(seconds * 1_000),
    };
    for _ in 0..HOLDERS {
        world.start();
    }
    world.schedule(FAULT, Task::Fault);
    let end = world.faults_end + Duration::from_secs(30);
    let mut before = None;
    while let Some(Reverse((at, id))) = world.heap.pop() {
        if at >= end {
            break;
        }
        if at >= world.faults_end + Duration::from_secs(20) && before.is_none() {
            before = Some(world.upstream.statements);
        }
        world.now = at;
        if let Some(task) = world.tasks.remove(&id) {
            world.run_task(task);
        }
    }
    let before = before.unwrap_or_default();
    let after = world.upstream.statements;
    Report {
        quiet_statements: std::array::from_fn(|seat| after[seat] - before[seat]),
        upstream: world.upstream,
    }
}

impl World {
    fn schedule(&mut self, after: Duration, task: Task) {
        self.sequence += 1;
        self.heap.push(Reverse((self.now + after, self.sequence)));
        self.tasks.insert(self.sequence, task);
    }

    /// Latency of a message: usually short, sometimes as long as a pause.
    fn latency(&mut self) -> Duration {
        let slow = self.now < self.faults_end && self.rng.random_bool(0.03);
        let most = if slow { 12_000 } else { 20 };
        Duration::from_micros(self.rng.random_range(100..most * 1_000))
    }

    fn start(&mut self) {
        self.processes.push(Process::open());
        self.schedule(STEP, Task::Step(self.processes.len() - 1));
    }

    fn run_task(&mut self, task: Task) {
        match task {
            Task::Fault => self.fault(),
            Task::Store(holder, call) => self.call(holder, call),
            Task::Upstream(holder, seat, op) => self.serve(holder, seat, op),
            Task::Step(holder) => self.run_when_awake(holder, task, |it| it.step(holder)),
            Task::Message(holder, ref message) => {
                let message = message.clone();
                self.run_when_awake(holder, task, |it| it.on_message(holder, message));
            }
        }
    }

    /// Runs a task, or postpones it until a paused process resumes.
    fn run_when_awake(&mut self, holder: Holder, task: Task, act: impl FnOnce(&mut Self)) {
        let process = &self.processes[holder];
        if process.dead {
            return;
        }
        match process.paused_until {
            paused if self.now < paused => self.schedule(paused.since(self.now), task),
            _ => act(self),
        }
    }

    fn on_message(&mut self, holder: Holder, message: Message) {
        let now = self.now;
        match message {
            Message::Lease(event) => {
                let actions = self.processes[holder].lease.step(now, event);
                self.renew(holder, actions);
                self.step_seats(holder);
            }
            Message::Seat(seat, event) => self.step_seat(holder, seat, event),
            Message::Opened(seat, id, epoch) => {
                let latency = self.latency();
                self.schedule(
                    latency,
                    Task::Upstream(holder, seat, Op::ListOthers(id, epoch)),
                );
            }
            Message::OthersListed(seat, id, epoch, others) => {
                self.on_others_listed(holder, seat, id, epoch, others)
            }
            Message::Gone(seat, id) => {
                self.processes[holder].conns[seat].remove(&id);
            }
        }
    }

    fn on_others_listed(
        &mut self,
        holder: Holder,
        seat: usize,
        id: u64,
        epoch: Epoch,
        others: Vec<Epoch>,
    ) {
        let latency = self.latency();
        let Some(conn) = self.processes[holder].conns[seat].get_mut(&id) else {
            // The seat was given up while the connection opened.
            self.schedule(latency, Task::Upstream(holder, seat, Op::Close(id)));
            return;
        };
        let unchecked = self.variant != Variant::Real;
        match admit(epoch, others) {
            _ if unchecked => *conn = Open::Usable,
            Admission::Use => *conn = Open::Usable,
            Admission::Fence => self.schedule(
                latency,
                Task::Upstream(holder, seat, Op::EndOthers(id, epoch)),
            ),
            Admission::Close => {
                self.processes[holder].conns[seat].remove(&id);
                self.schedule(latency, Task::Upstream(holder, seat, Op::Close(id)));
                self.step_seat(holder, seat, Event::Terminated);
            }
        }
    }

    fn step(&mut self, holder: Holder) {
        self.schedule(STEP, Task::Step(holder));
        let ignores_pauses = self.variant == Variant::IgnoresPauses;
        if std::mem::take(&mut self.processes[holder].resumed) && ignores_pauses {
            for seat in 0..SEATS {
                self.work(holder, seat, self.processes[holder].permits[seat]);
            }
        }
        let actions = self.processes[holder]
            .lease
            .step(self.now, lease::Event::Tick);
        self.renew(holder, actions);
        self.step_seats(holder);
        for seat in 0..SEATS {
            if self.rng.random_bool(0.02) {
                let goal = match self.rng.random_bool(0.8) || self.now >= self.faults_end {
                    true => Event::Wanted,
                    false => Event::Unwanted,
                };
                self.step_seat(holder, seat, goal);
            }
            // The watch of the store delivers the key.
            if self.rng.random_bool(0.1) {
                self.send(holder, Call::Read(seat));
            }
            let permit = self.processes[holder].seats[seat].permit(self.now);
            self.processes[holder].permits[seat] = permit;
            self.work(holder, seat, permit);
        }
    }

    fn work(&mut self, holder: Holder, seat: usize, permit: Permit) {
        let share = share(LIMIT as u16, 2, seats(2), seat as u16);
        let process = &self.processes[holder];
        let conns = &process.conns[seat];
        let pending = conns.values().any(|it| *it == Open::Pending);
        let most = match permit {
            Permit::Nothing => return,
            Permit::Replace if pending => conns.len(),
            Permit::Replace => conns.len() + 1,
            Permit::Full => usize::from(share.connections),
        };
        let usable = conns.iter().filter(|(_, it)| **it == Open::Usable);
        let usable: Vec<_> = usable.map(|(&id, _)| id).collect();
        let wanted = most.min(usize::from(share.connections));
        let more = wanted.saturating_sub(conns.len());
        let Some(epoch) = process.seats[seat].epoch() else {
            return;
        };
        for id in usable {
            let latency = self.latency();
            self.schedule(latency, Task::Upstream(holder, seat, Op::Run(id)));
        }
        for _ in 0..more {
            self.sequence += 1;
            let id = self.sequence;
            self.processes[holder].conns[seat].insert(id, Open::Pending);
            let latency = self.latency();
            self.schedule(latency, Task::Upstream(holder, seat, Op::Open(id, epoch)));
        }
    }

    fn renew(&mut self, holder: Holder, actions: Vec<lease::Action>) {
        for action in actions {
            self.send(
                holder,
                match action {
                    lease::Action::Grant(attempt, ttl) => Call::Grant(attempt, ttl),
                    lease::Action::Renew(attempt, id) => Call::Renew(attempt, id),
                },
            );
        }
    }

    fn send(&mut self, holder: Holder, call: Call) {
        let latency = self.latency();
        self.schedule(latency, Task::Store(holder, call));
    }

    fn step_seats(&mut self, holder: Holder) {
        let status = self.processes[holder].lease.status(self.now);
        for seat in 0..SEATS {
            self.step_seat(holder, seat, Event::Lease(status));
        }
    }

    fn step_seat(&mut self, holder: Holder, seat: usize, event: Event) {
        let process = &mut self.processes[holder];
        let actions = process.seats[seat].step(self.now, event);
        for action in actions {
            self.act(holder, seat, action);
        }
    }

    fn act(&mut self, holder: Holder, seat: usize, action: Action) {
        let latency = self.latency();
        match action {
            Action::Claim(id, over) => self.send(holder, Call::Claim(seat, id, over)),
            Action::Read => self.send(holder, Call::Read(seat)),
            Action::Release(epoch) => self.send(holder, Call::Release(seat, epoch)),
            Action::Fence(attempt) => {
                let epoch = self.processes[holder].seats[seat].epoch();
                if let Some(epoch) = epoch {
                    let op = Op::Fence(attempt, epoch);
                    self.schedule(latency, Task::Upstream(holder, seat, op));
                }
            }
            Action::Check(attempt) => {
                let epoch = self.processes[holder].seats[seat].epoch();
                if let Some(epoch) = epoch {
                    let op = Op::Check(attempt, epoch);
                    self.schedule(latency, Task::Upstream(holder, seat, op));
                }
            }
            Action::Close => {
                let conns = std::mem::take(&mut self.processes[holder].conns[seat]);
                let mut last = Duration::ZERO;
                for (id, _) in conns {
                    let latency = self.latency();
                    last = last.max(latency);
                    self.schedule(latency, Task::Upstream(holder, seat, Op::Close(id)));
                }
                // The process waits until the upstream has ended all of them.
                let closed = Message::Seat(seat, Event::Closed);
                self.schedule(last + latency, Task::Message(holder, closed));
            }
        }
    }
}
