//! Answers of the store and the upstream.

use pool::{
    holder::{seats, share},
    lease,
    seat::{Admission, Epoch, Event, Occupancy, admit},
};
use rand::Rng;

use super::{Call, Message, Op, Task, Variant, World};
use crate::fakes::{Conn, Holder, LIMIT};

impl World {
    pub(super) fn call(&mut self, holder: Holder, call: Call) {
        self.store.expire_leases(self.now);
        let process = &self.processes[holder];
        if self.now < self.outage_until || self.now < process.cut_until {
            return;
        }
        let message = match call {
            Call::Grant(attempt, ttl) => {
                let id = self.store.grant(self.now + ttl);
                Message::Lease(lease::Event::Granted(attempt, id))
            }
            Call::Renew(attempt, id) => {
                let until = self.now + lease::MIN_INTERVAL * lease::TTL_INTERVALS;
                Message::Lease(match self.store.renew(id, until) {
                    true => lease::Event::Renewed(attempt),
                    false => lease::Event::Gone(attempt),
                })
            }
            Call::Claim(seat, id, over) => {
                self.store.claim(holder, seat, id, over);
                self.record(holder, seat)
            }
            Call::Read(seat) => self.record(holder, seat),
            Call::Release(seat, epoch) => {
                self.store.release(seat, epoch);
                self.record(holder, seat)
            }
        };
        // The answer may be lost after the call took effect.
        if self.now >= self.faults_end || !self.rng.random_bool(0.1) {
            self.send_to_holder(holder, message);
        }
    }

    fn record(&self, holder: Holder, seat: usize) -> Message {
        Message::Seat(seat, Event::Record(self.store.read(holder, seat)))
    }

    pub(super) fn send_to_holder(&mut self, holder: Holder, message: Message) {
        let latency = self.latency();
        self.schedule(latency, Task::Message(holder, message));
    }

    pub(super) fn serve(&mut self, holder: Holder, seat: usize, op: Op) {
        match op {
            Op::Open(id, epoch) => {
                let conn = Conn {
                    holder,
                    seat,
                    epoch,
                    used: false,
                };
                let message = match self.upstream.open(id, conn) {
                    true => Message::Opened(seat, id, epoch),
                    false => Message::Gone(seat, id),
                };
                self.send_to_holder(holder, message);
            }
            Op::ListOthers(id, epoch) => {
                let others = self.upstream.others(holder, seat);
                if self.upstream.conns.contains_key(&id) {
                    self.send_to_holder(holder, Message::OthersListed(seat, id, epoch, others));
                }
            }
            Op::EndOthers(id, epoch) => {
                self.end_others(holder, seat, epoch);
                self.serve(holder, seat, Op::ListOthers(id, epoch));
            }
            Op::Run(id) => {
                let share = share(LIMIT as u16, 2, seats(2), seat as u16);
                if !self.upstream.run(id, usize::from(share.connections)) {
                    self.send_to_holder(holder, Message::Gone(seat, id));
                }
            }
            Op::Close(id) => {
                self.upstream.conns.remove(&id);
            }
            Op::Fence(attempt, epoch) => {
                if self.variant != Variant::NoFence {
                    self.end_others(holder, seat, epoch);
                }
                self.send_to_holder(holder, Message::Seat(seat, Event::Fenced(attempt)));
            }
            Op::Check(attempt, epoch) => {
                let others = self.upstream.others(holder, seat);
                let seen = match admit(epoch, others) {
                    Admission::Use => Occupancy::Alone,
                    Admission::Fence => Occupancy::Earlier,
                    Admission::Close => Occupancy::Later,
                };
                self.send_to_holder(holder, Message::Seat(seat, Event::Checked(attempt, seen)));
            }
        }
    }

    fn end_others(&mut self, holder: Holder, seat: usize, below: Epoch) {
        for (id, conn) in self.upstream.end_others(holder, seat, below) {
            self.send_to_holder(conn.holder, Message::Gone(seat, id));
            self.send_to_holder(conn.holder, Message::Seat(seat, Event::Terminated));
        }
    }
}
