//! Behaviour of the upstreams: probes, orders, reads, writes and replication.

use std::time::Duration;

use check::{Connection, Effect, Event};
use clock::Instant;
use failover::event::{Call, Event as Decision, Fault, Order};
use model::{Lsn, Position, Report, Term};

use crate::{
    net::Transport,
    server::{Condition, Follow, Refusal, Written},
};

use super::{Kind, Logic, Occurrence, World, instance::Arrival};

/// Time that an upstream takes to answer a probe.
const PROBE_TIME: Duration = Duration::from_micros(100);
/// Time to change the settings and disconnect from the primary.
const FENCE_TIME: Duration = Duration::from_millis(5);
/// Time from the promotion order to the first write.
const PROMOTE_TIME: Duration = Duration::from_millis(50);
/// Delay before a replica reconnects to its primary.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Time that a replica takes to flush received entries.
const FLUSH_TIME: Duration = Duration::from_micros(300);

/// Message to an upstream.
#[derive(Debug, Clone)]
pub(super) enum Message {
    /// Probe or order of the failover logic.
    Group(Call, Option<Order>),
    Write(check::Request, check::Operation),
    /// A read, with the operation to look up.
    Read(check::Request, Option<check::Operation>),
    /// Question for the position, with the time of sending.
    Poll(Instant),
}

/// Answer of an upstream to a write.
#[derive(Debug, Clone, Copy)]
pub(super) enum Reply {
    /// The write ran, now or earlier.
    Ran(Position, Report),
    /// The write was refused and did not run.
    Refused,
    /// The host refused the connection; nothing was sent.
    Unreachable,
    /// The connection broke after the write was sent.
    Broken,
}

impl World {
    pub(super) fn at_server(&mut self, server: usize, from: usize, message: Message) {
        let now = self.now;
        match self.servers[server].condition {
            Condition::Silent => return,
            Condition::Crashed => return self.refuse(server, from, &message),
            Condition::Up => {}
        }
        if self.servers[server].stalled_until > now {
            let wait = self.servers[server].stalled_until.since(now);
            return self.schedule_after(
                wait,
                Occurrence::AtServer {
                    server,
                    from,
                    message,
                },
            );
        }
        match message {
            Message::Group(call, order) => self.order(server, from, call, order),
            Message::Write(request, operation) => self.write(server, from, request, operation),
            Message::Read(request, lookup) => {
                let found = lookup.filter(|it| self.servers[server].contains(*it));
                let report = self.servers[server].report();
                let seen = route::position(&report);
                let age = Duration::ZERO;
                self.record_ran(server, request, Effect::Read { seen, age });
                let arrival = Arrival::Read(server, request, Some((report, found)));
                self.reply(server, from, self.site.service_time, arrival);
            }
            Message::Poll(asked) => {
                let report = self.servers[server].report();
                let arrival = Arrival::Polled(server, asked, report);
                self.reply(server, from, PROBE_TIME, arrival);
            }
        }
    }

    fn refuse(&mut self, server: usize, from: usize, message: &Message) {
        let arrival = match message {
            Message::Group(call, _) => self.answer(server, *call, Err(Fault::Refused)),
            Message::Write(request, _) => Arrival::Wrote(server, *request, Reply::Unreachable),
            Message::Read(request, _) => Arrival::Read(server, *request, None),
            Message::Poll(_) => return,
        };
        self.reply(server, from, Duration::ZERO, arrival);
    }

    fn answer(&self, server: usize, call: Call, result: Result<Report, Fault>) -> Arrival {
        let upstream = self.names[server].clone();
        Arrival::Group(Decision::Answer {
            call,
            upstream,
            result,
        })
    }

    fn reply(&mut self, server: usize, to: usize, span: Duration, arrival: Arrival) {
        let (from, place) = (self.server_place(server), self.instance_place(to));
        let Some(travel) = self.net.send(from, place, Transport::Stream) else {
            return;
        };
        let incarnation = self.instances[to].incarnation;
        let occurrence = Occurrence::AtInstance {
            instance: to,
            incarnation,
            arrival,
        };
        self.schedule_after(span + travel, occurrence);
    }

    fn order(&mut self, server: usize, from: usize, call: Call, order: Option<Order>) {
        let (span, result) = match order {
            None => (PROBE_TIME, Ok(self.servers[server].report())),
            Some(Order::Fence { term }) => (FENCE_TIME, self.servers[server].fence(term)),
            Some(Order::Promote { term }) => (PROMOTE_TIME, self.promote(server, term)),
            Some(Order::Follow { term, upstream }) => {
                let leader = self.upstream_index(&upstream);
                (FENCE_TIME, self.follow(server, Follow { leader, term }))
            }
        };
        let result = result.map_err(|refusal| match refusal {
            Refusal::Fenced(term) => Fault::Fenced(term),
            Refusal::Replica => Fault::Broken,
        });
        let arrival = self.answer(server, call, result);
        self.reply(server, from, span, arrival);
    }

    fn promote(&mut self, server: usize, term: Term) -> Result<Report, Refusal> {
        let before = self.servers[server].position();
        let fork = self.servers[server].promote(term)?;
        if before.term < term {
            self.promoted(server, term, fork);
        }
        Ok(self.servers[server].report())
    }

    fn promoted(&mut self, server: usize, term: Term, fork: Lsn) {
        let at = self.now + PROMOTE_TIME;
        self.servers[server].stalled_until = at;
        self.milestones.entry(term).or_default().promoted = Some(at);
        self.record(Event::Promoted {
            database: self.database.clone(),
            term,
            fork,
        });
    }

    fn follow(&mut self, server: usize, follow: Follow) -> Result<Report, Refusal> {
        let known = self.servers[server].follow;
        self.servers[server].follow(follow)?;
        if known != Some(follow) {
            self.schedule_after(Duration::ZERO, Occurrence::Connect { follower: server });
        }
        Ok(self.servers[server].report())
    }

    /// Connects a replica to its primary and starts to stream missing entries.
    pub(super) fn connect(&mut self, follower: usize) {
        self.connecting.remove(&follower);
        let Some(follow) = self.servers[follower].follow else {
            return;
        };
        if self.servers[follower].condition != Condition::Up {
            return;
        }
        let (from, to) = (
            self.server_place(follow.leader),
            self.server_place(follower),
        );
        let leads = self.servers[follow.leader].is_primary_in(follow.term);
        if !leads || !self.net.is_reachable(from, to) {
            return self.connect_later(follower);
        }
        let leader = self.servers[follow.leader].log().to_vec();
        self.servers[follower].rewind(&leader);
        self.stream(follower, follow);
    }

    fn connect_later(&mut self, follower: usize) {
        if self.connecting.insert(follower) {
            self.schedule_after(RECONNECT_DELAY, Occurrence::Connect { follower });
        }
    }

    fn stream(&mut self, follower: usize, follow: Follow) {
        let (from, to) = (
            self.server_place(follow.leader),
            self.server_place(follower),
        );
        let upto = self.servers[follow.leader].log().len();
        let Some(span) = self.net.send(from, to, Transport::Stream) else {
            return self.connect_later(follower);
        };
        let tail = self.stream_ends.get(&follower).copied().unwrap_or_default();
        let at = tail.max(self.now + span + FLUSH_TIME);
        self.stream_ends.insert(follower, at);
        let occurrence = Occurrence::Stream {
            follower,
            follow,
            upto,
        };
        self.timer.subscribe(at, occurrence);
    }

    pub(super) fn streamed(&mut self, follower: usize, follow: Follow, upto: usize) {
        let replica = &self.servers[follower];
        if replica.follow != Some(follow) || replica.condition != Condition::Up {
            return;
        }
        if replica.stalled_until > self.now {
            let occurrence = Occurrence::Stream {
                follower,
                follow,
                upto,
            };
            return self.schedule_after(replica.stalled_until.since(self.now), occurrence);
        }
        let have = replica.log().len();
        let leader = self.servers[follow.leader].log();
        let entries = leader.get(have..upto).unwrap_or_default().to_vec();
        self.servers[follower].receive(&entries);
    }

    fn write(
        &mut self,
        server: usize,
        from: usize,
        request: check::Request,
        operation: check::Operation,
    ) {
        if self.logic == Logic::NoLedger {
            self.servers[server].remove_from_ledger(operation);
        }
        let reply = match self.servers[server].write(operation) {
            Ok(Written::Added(at)) => {
                self.record_ran(server, request, Effect::Write { at });
                self.replicate(server);
                Reply::Ran(at, self.servers[server].report())
            }
            Ok(Written::Found(at)) => {
                self.record_ran(server, request, Effect::AlreadyRun { at });
                Reply::Ran(
                    self.servers[server].position(),
                    self.servers[server].report(),
                )
            }
            Err(_) => Reply::Refused,
        };
        let span = self.site.service_time;
        self.reply(server, from, span, Arrival::Wrote(server, request, reply));
    }

    fn record_ran(&mut self, server: usize, request: check::Request, effect: Effect) {
        self.record(Event::Ran {
            request,
            connection: Connection(server as u64),
            transaction: None,
            effect,
        });
    }

    fn replicate(&mut self, leader: usize) {
        let term = self.servers[leader].position().term;
        let follow = Follow { leader, term };
        for follower in 0..self.servers.len() {
            if self.servers[follower].follow == Some(follow) {
                self.stream(follower, follow);
            }
        }
    }

    /// Restarts an upstream with its log.
    pub(super) fn restart(&mut self, server: usize) {
        self.servers[server].condition = Condition::Up;
        self.schedule_after(Duration::ZERO, Occurrence::Connect { follower: server });
    }

    /// Crashes an upstream's process and breaks all connections to it.
    pub(super) fn crash(&mut self, server: usize) {
        self.servers[server].condition = Condition::Crashed;
        for instance in 0..self.instances.len() {
            for (request, kind) in self.instances[instance].in_flight(server) {
                let arrival = match kind {
                    Kind::Write => Arrival::Wrote(server, request, Reply::Broken),
                    Kind::Read(_) => Arrival::Read(server, request, None),
                };
                self.reply(server, instance, Duration::ZERO, arrival);
            }
        }
    }
}
