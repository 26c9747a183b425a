//! Periodic work of an instance: polling the positions of the upstreams.

use check::Request;
use clock::Instant;
use failover::{Call, Entry, quorum::Id};
use model::Report;
use rand::Rng;
use session::Start;

use super::{Arrival, Decision, OBSERVE_INTERVAL, POLL_TIMEOUT, World, platform, upstream};

impl World {
    pub(super) fn observe(&mut self, instance: usize) {
        self.deliver_after(instance, OBSERVE_INTERVAL, Arrival::Observe);
        if self.instances[instance].group.primary().is_none() {
            self.query_primary(instance);
        }
        self.poll_all(instance);
    }

    /// Asks the store for the current primary, and a random peer in case the
    /// store is down.
    fn query_primary(&mut self, instance: usize) {
        self.ask_store(instance, Call(u64::MAX), platform::Message::Watch);
        let peer = self.rng.random_range(0..self.instances.len());
        if peer != instance {
            self.send_to_peer(instance, peer, Arrival::PrimaryQuery(instance));
        }
    }

    pub(super) fn answer_primary_query(&mut self, instance: usize, from: usize) {
        let Some(record) = self.instances[instance].record() else {
            return;
        };
        let revision = failover::ABSENT_REVISION;
        let entry = Entry { revision, record };
        self.send_to_peer(instance, from, Arrival::Group(Decision::Announced(entry)));
    }

    /// Asks every upstream for its position, except upstreams with a recent
    /// unanswered question.
    pub(super) fn poll_all(&mut self, instance: usize) {
        for server in 0..self.servers.len() {
            self.poll(instance, server);
        }
    }

    fn poll(&mut self, instance: usize, server: usize) {
        let now = self.now;
        let name = self.names[server].clone();
        let node = &mut self.instances[instance];
        if let Some(&asked) = node.polls.get(&server) {
            if now.since(asked) < POLL_TIMEOUT {
                return;
            }
            let open = route::Event::Breaker(&name, route::Breaker::Open);
            node.router.step(now, open);
        }
        node.polls.insert(server, now);
        self.ask_server(instance, &name, upstream::Message::Poll(now));
    }

    pub(super) fn polled(
        &mut self,
        instance: usize,
        server: usize,
        asked: Instant,
        report: Report,
    ) {
        let node = &mut self.instances[instance];
        if node.polls.get(&server) == Some(&asked) {
            node.polls.remove(&server);
        }
        self.reported(instance, server, asked, report);
        let node = &self.instances[instance];
        if node.quorum.waiting() > 0 || node.awaits_round() {
            self.poll(instance, server);
        }
    }

    /// Applies an upstream's report to router, quorum, sessions and waiting
    /// reads.
    pub(super) fn reported(
        &mut self,
        instance: usize,
        server: usize,
        asked: Instant,
        report: Report,
    ) {
        let now = self.now;
        let upstream = self.names[server].clone();
        let node = &mut self.instances[instance];
        let closed = route::Event::Breaker(&upstream, route::Breaker::Closed);
        node.router.step(now, closed);
        let event = route::Event::Report {
            upstream: &upstream,
            sent: asked,
            report,
        };
        let confirmed = node.router.step(now, event);
        for Id(request) in node.quorum.report(&upstream, asked, &report) {
            self.committed(instance, Request(request));
        }
        let Some(round) = confirmed else {
            return;
        };
        let node = &mut self.instances[instance];
        for session in node.sessions.values_mut() {
            session.step(now, session::Event::Round(round));
        }
        if node.round.end(now) == Start::Now {
            self.poll_all(instance);
        }
        self.round_confirmed(instance);
    }
}
