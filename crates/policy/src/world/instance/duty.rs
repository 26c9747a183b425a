//! What an instance does again and again: asking for positions.

use check::Request;
use clock::Instant;
use failover::{Call, Entry, quorum::Id};
use model::Report;
use rand::Rng;
use session::Start;

use super::{Arrival, Decision, OBSERVE, POLL_TIMEOUT, World, platform, upstream};

impl World {
    pub(super) fn observe(&mut self, instance: usize) {
        self.later(instance, OBSERVE, Arrival::Observe);
        if self.instances[instance].group.primary().is_none() {
            self.ask_lead(instance);
        }
        self.poll_all(instance);
    }

    /// An instance that starts learns who leads from the store, and from
    /// another instance when the store is down.
    fn ask_lead(&mut self, instance: usize) {
        self.ask_store(instance, Call(u64::MAX), platform::Ask::Watch);
        let peer = self.rng.random_range(0..self.instances.len());
        if peer != instance {
            self.pass(instance, peer, Arrival::WhoLeads(instance));
        }
    }

    pub(super) fn who_leads(&mut self, instance: usize, from: usize) {
        let Some(record) = self.instances[instance].record() else {
            return;
        };
        let revision = failover::ABSENT_REVISION;
        let entry = Entry { revision, record };
        self.pass(instance, from, Arrival::Group(Decision::Announced(entry)));
    }

    /// Asks every upstream for its position, but those that were just asked.
    pub(super) fn poll_all(&mut self, instance: usize) {
        for server in 0..self.servers.len() {
            self.poll(instance, server);
        }
    }

    fn poll(&mut self, instance: usize, server: usize) {
        let now = self.now;
        let name = self.names[server].clone();
        let here = &mut self.instances[instance];
        if let Some(&asked) = here.polls.get(&server) {
            if now.since(asked) < POLL_TIMEOUT {
                return;
            }
            let open = route::Event::Breaker(&name, route::Breaker::Open);
            here.router.step(now, open);
        }
        here.polls.insert(server, now);
        self.ask_server(instance, &name, upstream::Ask::Poll(now));
    }

    pub(super) fn polled(
        &mut self,
        instance: usize,
        server: usize,
        asked: Instant,
        report: Report,
    ) {
        let here = &mut self.instances[instance];
        if here.polls.get(&server) == Some(&asked) {
            here.polls.remove(&server);
        }
        self.reported(instance, server, asked, report);
        let here = &self.instances[instance];
        if here.quorum.waiting() > 0 || here.wants_round() {
            self.poll(instance, server);
        }
    }

    /// Hands an upstream's report to the decisions that rest on it.
    pub(super) fn reported(
        &mut self,
        instance: usize,
        server: usize,
        asked: Instant,
        report: Report,
    ) {
        let now = self.now;
        let upstream = self.names[server].clone();
        let here = &mut self.instances[instance];
        let closed = route::Event::Breaker(&upstream, route::Breaker::Closed);
        here.router.step(now, closed);
        let event = route::Event::Report {
            upstream: &upstream,
            sent: asked,
            report,
        };
        let confirmed = here.router.step(now, event);
        for Id(request) in here.quorum.report(&upstream, asked, &report) {
            self.landed(instance, Request(request));
        }
        let Some(round) = confirmed else {
            return;
        };
        let here = &mut self.instances[instance];
        for session in here.sessions.values_mut() {
            session.step(now, session::Event::Round(round));
        }
        if here.round.end(now) == Start::Now {
            self.poll_all(instance);
        }
        self.discovered(instance);
    }
}
