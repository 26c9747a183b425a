//! The router of one database: takes in what is observed, chooses upstreams.

use std::time::Duration;

use clock::Instant;
use model::{Record, Report, Role, Term, name};
use session::Confirmed;

use crate::{
    Answer, Breaker, History, KnownWrites, Load, Member, Read, State, Target, Verdict, confirm,
    node::Node, verify,
};

/// The constants that routing works with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Conf {
    /// How long a read may wait for a replica rather than go to the primary.
    pub max_replica_wait: Duration,
    /// How much later than the primary's a replica's answer may be expected
    /// before the primary takes the read.
    pub spill_margin: Duration,
    /// The round trip assumed inside an availability zone, until measured.
    pub zone_rtt: Duration,
    /// The round trip assumed between availability zones, until measured.
    pub cross_zone_rtt: Duration,
    /// The time on an upstream's slot assumed for a statement, until measured.
    pub service: Duration,
    /// The greatest age that an entry of this database allows.
    pub max_age: Duration,
    /// How long a replica that left an age bound is held out, the first time.
    pub exclusion: Duration,
    /// How many writing statements are remembered.
    pub known_writes: usize,
    /// How long a writing statement is remembered.
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

/// What a router is told.
#[derive(Debug, Clone)]
pub enum Event<'a> {
    /// The catalogue's upstreams of the database.
    Group(Vec<Member>),
    /// An upstream answered a position query that was sent at `sent`, whether
    /// on its own or pipelined with a read.
    Report {
        /// Who answered.
        upstream: &'a name::Upstream,
        /// When this instance sent the question.
        sent: Instant,
        /// The answer.
        report: Report,
    },
    /// The store's record of the primary was read, or rumour brought it. It
    /// only ever narrows the choice; what is proved rests on reports alone.
    Record(&'a Record),
    /// An upstream is leaving, or was taken back.
    State(&'a name::Upstream, State),
    /// The circuit breaker of an upstream changed.
    Breaker(&'a name::Upstream, Breaker),
    /// What an upstream has to do changed.
    Load(&'a name::Upstream, Load),
    /// A statement spent this time on a slot of the upstream.
    Served(&'a name::Upstream, Duration),
    /// A replica refused a statement with [`crate::READ_ONLY`].
    Wrote {
        /// The statement's fingerprint.
        fingerprint: u64,
    },
}

/// What the router knows of one database.
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
    /// Makes the router of an instance in `zone`; it knows no upstream yet.
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

    /// Takes in an event; returns a newly confirmed round, which settles the
    /// floors of the sessions that wait for one.
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

    /// The newest confirmed round.
    pub fn confirmed(&self) -> Option<Confirmed> {
        self.history.newest()
    }

    /// The lowest floor that is proved valid for a session that began at
    /// `since`: the first round sent after it.
    pub fn first_round_since(&self, since: Instant) -> Option<Confirmed> {
        self.history.first_since(since)
    }

    /// The upstream that leads, as far as is known here.
    pub fn primary(&self) -> Option<&name::Upstream> {
        self.primary_node().map(|node| &node.member.upstream)
    }

    /// The newest status that the upstream gave, if it ever gave one.
    pub fn answer(&self, upstream: &name::Upstream) -> Option<Answer> {
        self.node(upstream)?.answer
    }

    /// How far the upstream's data was behind the newest confirmed round when
    /// it last gave its status; `None` where that is not known.
    ///
    /// It is not counted from now: while no majority confirms a round, nobody
    /// knows what an upstream lacks, and all would seem to fall behind.
    pub fn lag(&self, upstream: &name::Upstream) -> Option<Duration> {
        let node = self.node(upstream)?;
        let newest = self.confirmed()?.since;
        Some(newest.min(node.answer?.sent).since(node.as_of()?))
    }

    fn node(&self, upstream: &name::Upstream) -> Option<&Node> {
        self.nodes.iter().find(|n| n.member.upstream == *upstream)
    }

    /// Judges an answer, which came at `now`, by the position that was asked
    /// ahead of the read on the same connection.
    ///
    /// Hand that report to [`Router::step`] first: it may be news.
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

    /// The node that leads: the one that claims so in the highest term, unless
    /// the record tells of a later term.
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

    /// Whether the node's log is known to have left the lineage: it is of an
    /// earlier term and went on past the place where the next one forked off.
    pub(crate) fn has_diverged(&self, node: &Node) -> bool {
        let (Some(record), Some(position)) = (&self.record, node.position()) else {
            return false;
        };
        let claimed = record.fork == model::Lsn::default();
        let earlier = position.term < record.term && record.term != Term::default();
        earlier && !claimed && record.leader().is_some() && position.lsn > record.fork
    }
}
