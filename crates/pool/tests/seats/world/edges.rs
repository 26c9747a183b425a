//! What the store and the upstream answer.

use pool::{
    holder::{seats, share},
    lease,
    seat::{Admission, Epoch, Event, Occupancy, admit},
};
use rand::Rng;

use super::{Call, Happening, News, Op, Variant, World};
use crate::fakes::{Conn, Holder, LIMIT};

impl World {
    pub(super) fn call(&mut self, holder: Holder, call: Call) {
        self.store.lapse(self.now);
        let process = &self.processes[holder];
        if self.now < self.outage || self.now < process.cut {
            return;
        }
        let news = match call {
            Call::Grant(attempt, ttl) => {
                let id = self.store.grant(self.now + ttl);
                News::Lease(lease::Event::Granted(attempt, id))
            }
            Call::Renew(attempt, id) => {
                let until = self.now + lease::MIN_INTERVAL * lease::TTL_INTERVALS;
                News::Lease(match self.store.renew(id, until) {
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
        if self.now >= self.quiet || !self.rng.random_bool(0.1) {
            self.tell(holder, news);
        }
    }

    fn record(&self, holder: Holder, seat: usize) -> News {
        News::Seat(seat, Event::Record(self.store.read(holder, seat)))
    }

    pub(super) fn tell(&mut self, holder: Holder, news: News) {
        let way = self.way();
        self.at(way, Happening::News(holder, news));
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
                let news = match self.upstream.open(id, conn) {
                    true => News::Opened(seat, id, epoch),
                    false => News::Gone(seat, id),
                };
                self.tell(holder, news);
            }
            Op::Look(id, epoch) => {
                let others = self.upstream.others(holder, seat);
                if self.upstream.conns.contains_key(&id) {
                    self.tell(holder, News::Looked(seat, id, epoch, others));
                }
            }
            Op::End(id, epoch) => {
                self.end(holder, seat, epoch);
                self.serve(holder, seat, Op::Look(id, epoch));
            }
            Op::Run(id) => {
                let share = share(LIMIT as u16, 2, seats(2), seat as u16);
                if !self.upstream.run(id, usize::from(share.connections)) {
                    self.tell(holder, News::Gone(seat, id));
                }
            }
            Op::Close(id) => {
                self.upstream.conns.remove(&id);
            }
            Op::Fence(attempt, epoch) => {
                if self.variant != Variant::NoFence {
                    self.end(holder, seat, epoch);
                }
                self.tell(holder, News::Seat(seat, Event::Fenced(attempt)));
            }
            Op::Check(attempt, epoch) => {
                let others = self.upstream.others(holder, seat);
                let seen = match admit(epoch, others) {
                    Admission::Use => Occupancy::Alone,
                    Admission::Fence => Occupancy::Earlier,
                    Admission::Close => Occupancy::Later,
                };
                self.tell(holder, News::Seat(seat, Event::Checked(attempt, seen)));
            }
        }
    }

    fn end(&mut self, holder: Holder, seat: usize, below: Epoch) {
        for (id, conn) in self.upstream.end(holder, seat, below) {
            self.tell(conn.holder, News::Gone(seat, id));
            self.tell(conn.holder, News::Seat(seat, Event::Terminated));
        }
    }
}
