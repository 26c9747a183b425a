//! Random faults.

use std::time::Duration;

use pool::seat::Event;
use rand::Rng;

use super::{FAULT, Message, Op, Task, World};
use crate::fakes::{Holder, SEATS};

impl World {
    pub(super) fn fault(&mut self) {
        if self.now >= self.faults_end {
            return;
        }
        let pause = Duration::from_millis(FAULT.as_millis() as u64 / 2);
        let latency = self.latency();
        self.schedule(pause + latency, Task::Fault);
        let span = Duration::from_millis(self.rng.random_range(10..15_000));
        let until = (self.now + span).min(self.faults_end);
        let holder = self.rng.random_range(0..self.processes.len());
        match self.rng.random_range(0..8) {
            0 => self.outage_until = until,
            1 => self.processes[holder].cut_until = until,
            2 | 3 => {
                self.processes[holder].paused_until = until;
                self.processes[holder].resumed = true;
            }
            4 => self.kill(holder),
            _ => self.report_dead(),
        }
    }

    /// Kills a process; the upstream sees its connections end, some of them
    /// late.
    fn kill(&mut self, holder: Holder) {
        if std::mem::replace(&mut self.processes[holder].dead, true) {
            return;
        }
        let conns = self.upstream.conns.iter();
        let mine: Vec<_> = conns
            .filter(|(_, it)| it.holder == holder)
            .map(|(&id, it)| (id, it.seat))
            .collect();
        for (id, seat) in mine {
            let latency = self.latency();
            self.schedule(latency, Task::Upstream(holder, seat, Op::Close(id)));
        }
        self.start();
    }

    /// Peers report a holder dead, which may be false.
    fn report_dead(&mut self) {
        let seat = self.rng.random_range(0..SEATS);
        let Some(epoch) = self.store.epoch(seat) else {
            return;
        };
        for holder in 0..self.processes.len() {
            let latency = self.latency();
            let message = Message::Seat(seat, Event::Dead(epoch));
            self.schedule(latency, Task::Message(holder, message));
        }
    }
}
