//! The router of one database: tracks its upstreams and chooses among them.

use std::time::Duration;

use clock::Instant;
use model::{Record, Report, Role, Term, name};
use session::Confirmed;

use crate::{
    Answer, Breaker, History, KnownWrites, Load, Member, Read, State, Target, Verdict, confirm,
    node::Node, verify,
};

/// Settings of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Conf {
    /// Longest wait of a read for a replica before the read goes to the primary.
    pub max_replica_wait: Duration,
    /// Largest expected lead of the primary's answer over a replica's answer; with a
    /// larger one, the read goes to the primary.
    pub spill_margin: Duration,
    /// Assumed round trip inside an availability zone, until one is measured.
    pub zone_rtt: Duration,
    /// Assumed round trip between availability zones, until one is measured.
    pub cross_zone_rtt: Duration,
    /// Assumed time of a statement on a slot of an upstream, until one is measured.
    pub service: Duration,
    /// Largest age that an entry of this database allows.
    pub max_age: Duration,
    /// Time for which a replica gets no reads under an age bound after it exceeded the
    /// bound for the first time.
    pub exclusion: Duration,
    /// Capacity of [`KnownWrites`].
    pub known_writes: usize,
    /// Time after which an entry of [`KnownWrites`] expires.
    pub known_write_ttl: Duration,
}

impl Default for Conf {
    fn default() -> Self {
        Self {
            max_replica_wait: Duration::from_millis(100),
            spill_margin: Duration::from_millis(20),
            zone_rtt: Duration::from_micros(300),
            cross_zone_rtt: Duration::from_millis(3),
            service: Duration::from_millis(2),
            max_age: Duration::from_secs(2),
            exclusion: Duration::from_millis(50),
            known_writes: 256,
            known_write_ttl: Duration::from_secs(600),
        }
    }
}

/// An event that a router tracks.
#[derive(Debug, Clone)]
pub enum Event<'a> {
    /// The upstreams of the database in the catalogue.
    Group(Vec<Member>),
    /// An upstream answered a status query that was sent alone or pipelined with a
    /// read.
    Report {
        /// Upstream that answered.
        upstream: &'a name::Upstream,
        /// Time at which this instance sent the query.
        sent: Instant,
        /// Status that the upstream returned.
        report: Report,
    },
    /// The store's record of the primary arrived, from the store or from another
    /// instance. A record only restricts the choice; proofs use reports alone.
    Record(&'a Record),
    /// An upstream is leaving, or returned to service.
    State(&'a name::Upstream, State),
    /// The circuit breaker of an upstream changed.
    Breaker(&'a name::Upstream, Breaker),
    /// The load of an upstream changed.
    Load(&'a name::Upstream, Load),
    /// A statement occupied a slot of the upstream for this time.
    Served(&'a name::Upstream, Duration),
    /// A replica refused a statement with [`crate::READ_ONLY`].
    Wrote {
        /// Fingerprint of the statement.
        fingerprint: u64,
    },
}

/// The router of one database.
#[derive(Debug, Clone)]
pub struct Router {
    pub(crate) conf: Conf,
    pub(crate) zone: name::Zone,
    pub(crate) nodes: Vec<Node>,
    pub(crate) record: Option<Record>,
    pub(crate) history: History,
    pub(crate) known_writes: KnownWrites,
}

impl Router {
    /// Creates the router of an instance in `zone`, without any upstreams.
    pub fn new(zone: &name::Zone, conf: Conf) -> Self {
        Self {
            conf,
            zone: zone.clone(),
            nodes: Vec::new(),
            record: None,
            history: History::new(conf.max_age),
            known_writes: KnownWrites::new(conf.known_writes, conf.known_write_ttl),
        }
    }

    /// Applies an event; returns a newly confirmed round, if any, which gives a floor to
    /// the sessions that wait for one.
    pub fn step(&mut self, now: Instant, event: Event<'_>) -> Option<Confirmed> {
        match event {
            Event::Group(members) => self.set_members(members),
            Event::Report {
                upstream,
                sent,
                report,
            } => return self.apply_report(now, upstream, Answer { sent, report }),
            Event::Record(record) => self.apply_record(record),
            Event::State(upstream, state) => self.update_node(upstream, |n| n.member.state = state),
            Event::Breaker(upstream, breaker) => {
                self.update_node(upstream, |n| n.breaker = breaker)
            }
            Event::Load(upstream, load) => self.update_node(upstream, |n| n.load = load),
            Event::Served(upstream, took) => {
                self.update_node(upstream, |n| n.note_service_time(took))
            }
            Event::Wrote { fingerprint } => self.known_writes.insert(now, fingerprint),
        }
        None
    }

    /// Returns the newest confirmed round.
    pub fn confirmed(&self) -> Option<Confirmed> {
        self.history.newest()
    }

    /// Returns the first round that began at `since` or later, which gives the lowest
    /// proved floor of a session that began then.
    pub fn first_round_since(&self, since: Instant) -> Option<Confirmed> {
        self.history.first_since(since)
    }

    /// Returns the primary, as far as this instance knows.
    pub fn primary(&self) -> Option<&name::Upstream> {
        self.primary_node().map(|node| &node.member.upstream)
    }

    /// Returns the newest status of the upstream, if any.
    pub fn answer(&self, upstream: &name::Upstream) -> Option<Answer> {
        self.node(upstream)?.answer
    }

    /// Returns the lag of the upstream's data behind the newest confirmed round at its
    /// last status; `None` if unknown.
    ///
    /// The lag is not measured from the present time: while no majority confirms a
    /// round, the missing data is unknown, and all upstreams would seem to fall
    /// behind.
    pub fn lag(&self, upstream: &name::Upstream) -> Option<Duration> {
        let node = self.node(upstream)?;
        let newest = self.confirmed()?.since;
        Some(newest.min(node.answer?.sent).since(node.as_of()?))
    }

    fn node(&self, upstream: &name::Upstream) -> Option<&Node> {
        self.nodes.iter().find(|n| n.member.upstream == *upstream)
    }

    /// Checks an answer that arrived at `now` against the status queried ahead of the
    /// read on the same connection.
    ///
    /// Pass this report to [`Router::step`] first, since it may confirm a new round.
    pub fn verify(&self, now: Instant, report: &Report, read: &Read, target: Target) -> Verdict {
        let read = self.with_floor(read);
        verify::verify_age(now, &self.history, report, &read, target)
    }

    fn update_node(&mut self, upstream: &name::Upstream, change: impl FnOnce(&mut Node)) {
        let node = self
            .nodes
            .iter_mut()
            .find(|n| n.member.upstream == *upstream);
        if let Some(node) = node {
            change(node);
        }
    }

    fn set_members(&mut self, members: Vec<Member>) {
        let mut old = std::mem::take(&mut self.nodes);
        for member in members {
            let known = old
                .iter()
                .position(|n| n.member.upstream == member.upstream);
            let node = match known {
                Some(at) if old[at].member.zone == member.zone => {
                    let mut node = old.swap_remove(at);
                    node.set_member(member);
                    node
                }
                _ => {
                    let rtt = self.default_rtt(&member.zone);
                    Node::new(member, rtt, self.conf.service)
                }
            };
            self.nodes.push(node);
        }
    }

    fn default_rtt(&self, zone: &name::Zone) -> Duration {
        if *zone == self.zone {
            return self.conf.zone_rtt;
        }
        self.conf.cross_zone_rtt
    }

    fn apply_record(&mut self, record: &Record) {
        let known = self.record.as_ref().map(|known| known.term);
        if known.is_none_or(|term| term <= record.term) {
            self.record = Some(record.clone());
        }
    }

    fn apply_report(
        &mut self,
        now: Instant,
        upstream: &name::Upstream,
        answer: Answer,
    ) -> Option<Confirmed> {
        let history = &self.history;
        let nodes = &mut self.nodes;
        let node = nodes.iter_mut().find(|n| n.member.upstream == *upstream)?;
        node.record_answer(now, answer, history);
        self.confirm_round()
    }

    fn confirm_round(&mut self) -> Option<Confirmed> {
        let answers: Vec<_> = self.nodes.iter().filter_map(|node| node.answer).collect();
        let round = confirm::newest_round(self.nodes.len(), &answers)?;
        let newest = self.history.newest();
        if newest.is_some_and(|newest| round.since <= newest.since) {
            return None;
        }
        self.history.push(round);
        for node in &mut self.nodes {
            node.note_round(round);
        }
        Some(round)
    }

    /// Returns the node that reports itself as primary in the highest term or, if the
    /// record has a later term, the primary of the record.
    pub(crate) fn primary_node(&self) -> Option<&Node> {
        let claims = |node: &&Node| {
            let primary = node.answer.map(|answer| answer.report.role);
            primary == Some(Role::Primary)
        };
        let term = |node: &Node| node.position().map(|position| position.term);
        let claimant = self
            .nodes
            .iter()
            .filter(claims)
            .max_by_key(|node| term(node));
        let recorded = self.record.as_ref();
        let later = |record: &&Record| claimant.is_none_or(|node| term(node) < Some(record.term));
        match recorded.filter(later) {
            Some(record) => {
                let leader = record.leader()?;
                self.nodes.iter().find(|n| n.member.upstream == *leader)
            }
            None => claimant,
        }
    }

    /// Returns true if the node's log is known to have diverged: its term is earlier
    /// than the record's, and its position is past the fork of the record's term.
    pub(crate) fn has_diverged(&self, node: &Node) -> bool {
        let (Some(record), Some(position)) = (&self.record, node.position()) else {
            return false;
        };
        let claimed = record.fork == model::Lsn::default();
        let earlier = position.term < record.term && record.term != Term::default();
        earlier && !claimed && record.leader().is_some() && position.lsn > record.fork
    }
}
