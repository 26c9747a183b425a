//! Heartbeats and failure detection.
//!
//! Once per interval, an instance pings one member. Without an answer in time,
//! the instance pings again and asks helpers to ping the member over their own
//! paths. Only a member that failed this twice in a row is suspected, since
//! with one datagram in ten lost a single failure is common, and each suspicion
//! costs rumours to all members.
//!
//! If no other member of the zone answers either, the zone counts as cut off
//! from this instance and no member is suspected. Otherwise the two sides of a
//! partition would each declare the other dead, and send floods of refutations
//! after the partition heals; and a single instance without a network would
//! suspect all others.

use std::{collections::BTreeMap, mem::size_of, net::SocketAddr, time::Duration};

use clock::Instant;
use model::name;
use rand::Rng;
use wire::{Mark, Message, Node, State, Update};

use crate::{
    Fleet, Path,
    fleet::{Discovery, Due},
    gossip::Detail,
};

/// Interval between two heartbeats of an instance.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of the first ping of a probe: several times the latency between
/// regions.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of the second ping and of the helpers' pings.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(900);
/// Number of helpers that ping a member that did not answer.
const HELPERS: usize = 3;
/// Number of other members of a zone that are pinged to find out if the zone is
/// cut off.
const WITNESSES: usize = 4;
/// Number of heartbeats between two searches of the table for expired members.
const EXPIRE_HEARTBEATS: u32 = 60;

/// Stage of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The member was pinged.
    Direct,
    /// The member was pinged again, and helpers were asked to ping it.
    Indirect,
    /// The probe failed, and other members of the zone were pinged to find out
    /// if the zone is cut off.
    Witness {
        /// Time at which the other members were pinged.
        since: Instant,
    },
    /// Other members of the zone answered, and the member was pinged once more.
    Last,
}

/// First or second of the two probes that precede a suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    First,
    Second,
}

#[derive(Debug, Clone, Copy)]
enum Purpose {
    /// A heartbeat of this instance.
    Heartbeat {
        target: Node,
        stage: Stage,
        attempt: Attempt,
    },
    /// A ping on behalf of a peer that got no answer.
    OnBehalf { requester: SocketAddr, probe: u32 },
    /// A ping without a timeout, such as in a survey: a missing answer has no
    /// consequence.
    Untracked,
}

/// Probes that wait for an answer.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    last_id: u32,
    pending: BTreeMap<u32, Purpose>,
    heartbeats: u32,
    survey: Vec<Node>,
    /// Time at which a member of each zone was last heard.
    last_heard: BTreeMap<name::Zone, Instant>,
}

impl Probes {
    fn register(&mut self, purpose: Purpose) -> u32 {
        self.last_id = self.last_id.wrapping_add(1);
        self.pending.insert(self.last_id, purpose);
        self.last_id
    }

    pub(crate) fn note_heard(&mut self, now: Instant, zone: name::Zone) {
        self.last_heard.insert(zone, now);
    }

    pub(crate) fn state_bytes(&self) -> usize {
        self.pending.len() * (size_of::<Purpose>() + 4) * 3 / 2
            + self.survey.capacity() * size_of::<Node>()
    }
}

/// Number of members that a survey pings at once, and the interval to the next
/// batch: 4,000 members take four seconds, without a burst.
const SURVEY_BATCH: usize = 50;
const SURVEY_INTERVAL: Duration = Duration::from_millis(50);

impl Fleet {
    /// Schedules the first heartbeat at a random time in the first interval, so
    /// that instances started together do not send their heartbeats at the same
    /// time.
    pub(crate) fn schedule_first_heartbeat(&mut self, now: Instant) {
        let millis = HEARTBEAT_INTERVAL.as_millis() as u64;
        let wait = Duration::from_millis(self.rng.random_range(0..millis));
        self.timer.subscribe(now + wait, Due::Heartbeat);
    }

    pub(crate) fn on_heartbeat_due(&mut self, now: Instant) {
        self.timer
            .subscribe(now + HEARTBEAT_INTERVAL, Due::Heartbeat);
        self.probes.heartbeats = self.probes.heartbeats.wrapping_add(1);
        if self.probes.heartbeats.is_multiple_of(EXPIRE_HEARTBEATS) {
            self.expire(now);
        }
        self.update_relay(now);
        self.ping_cut_off_zone();
        match self.choose_target() {
            Some(target) => self.probe(now, target, Attempt::First),
            None => self.ping_seeds(),
        }
    }

    fn expire(&mut self, now: Instant) {
        for node in self.table.expire(now) {
            self.announce(now, node, Detail::Mark);
        }
    }

    /// Pings the seeds of the settings.
    pub(crate) fn ping_seeds(&mut self) {
        for to in self.conf.seeds.clone() {
            if to != self.conf.address {
                self.ping_with_record(to);
            }
        }
    }

    /// Pings an instance without a timeout.
    fn ping_untracked(&mut self, to: SocketAddr) {
        let probe = self.probes.register(Purpose::Untracked);
        self.ping(to, probe, None);
        // Without a timeout, the probe need not stay pending.
        self.probes.pending.remove(&probe);
    }

    /// Pings an instance that may not know this one, with this instance's
    /// record as the only update.
    ///
    /// A rumour is sent only a few times. If these pings used up the rumours
    /// and were lost, as are all that are sent before the network is up, the
    /// member would stay unknown to peers that answer later.
    pub(crate) fn ping_with_record(&mut self, to: SocketAddr) {
        let probe = self.probes.register(Purpose::Untracked);
        let message = Message::Ping {
            probe,
            view: self.view(),
            updates: vec![Update::Record(self.record())],
        };
        self.send(to, message);
        // Without a timeout, the probe need not stay pending.
        self.probes.pending.remove(&probe);
    }

    fn probe(&mut self, now: Instant, target: Node, attempt: Attempt) {
        let Some(member) = self.table.find(target) else {
            return;
        };
        let to = member.record.address;
        let probe = self.probes.register(Purpose::Heartbeat {
            target,
            stage: Stage::Direct,
            attempt,
        });
        self.ping(to, probe, Some(target));
        self.timer
            .subscribe(now + DIRECT_TIMEOUT, Due::Probe(probe));
    }

    /// Pings `to`. If `target` is suspected, the suspicion is the first update,
    /// since a member must receive a suspicion to refute it.
    fn ping(&mut self, to: SocketAddr, probe: u32, target: Option<Node>) {
        let unreachable = target.filter(|&node| self.is_unreachable(node));
        let message = Message::Ping {
            probe,
            view: self.view(),
            updates: self.gossip.next_updates(&self.table, unreachable),
        };
        self.send(to, message);
    }

    fn is_unreachable(&self, node: Node) -> bool {
        let member = self.table.find(node);
        member.is_some_and(|member| !member.is_reachable())
    }

    pub(crate) fn answer_ping(&mut self, from: Node, to: SocketAddr, probe: u32) {
        let unreachable = Some(from).filter(|&node| self.is_unreachable(node));
        let message = Message::Ack {
            probe,
            view: self.view(),
            updates: self.gossip.next_updates(&self.table, unreachable),
        };
        self.send(to, message);
    }

    pub(crate) fn on_ack(&mut self, now: Instant, from: Node, address: SocketAddr, probe: u32) {
        let purpose = self.probes.pending.remove(&probe);
        if let Some(Purpose::OnBehalf { requester, probe }) = purpose {
            let message = Message::Ack {
                probe,
                view: self.view(),
                updates: Vec::new(),
            };
            self.send(requester, message);
        }
        if self.is_unreachable(from) {
            let message = Message::Rumour {
                view: self.view(),
                delta: None,
                updates: self.gossip.next_updates(&self.table, Some(from)),
            };
            self.send(address, message);
        }
        if self.discovery == Discovery::Waiting {
            self.on_first_ack(now, address);
        }
    }

    pub(crate) fn probe_on_behalf(
        &mut self,
        now: Instant,
        requester: SocketAddr,
        probe: u32,
        to: SocketAddr,
    ) {
        let own = self.probes.register(Purpose::OnBehalf { requester, probe });
        self.ping(to, own, None);
        self.timer
            .subscribe(now + INDIRECT_TIMEOUT, Due::Probe(own));
    }

    pub(crate) fn on_probe_timeout(&mut self, now: Instant, probe: u32) {
        let Some(Purpose::Heartbeat {
            target,
            stage,
            attempt,
        }) = self.probes.pending.remove(&probe)
        else {
            return;
        };
        match (stage, attempt) {
            (Stage::Direct, attempt) => self.probe_indirectly(now, probe, target, attempt),
            (Stage::Indirect, Attempt::First) => self.probe(now, target, Attempt::Second),
            (Stage::Indirect, Attempt::Second) => self.ping_witnesses(now, probe, target),
            (Stage::Witness { since }, _) => self.conclude(now, probe, target, since),
            (Stage::Last, _) => self.suspect(now, target),
        }
    }

    fn probe_indirectly(&mut self, now: Instant, probe: u32, target: Node, attempt: Attempt) {
        let Some(member) = self.table.find(target) else {
            return;
        };
        let to = member.record.address;
        let purpose = Purpose::Heartbeat {
            target,
            stage: Stage::Indirect,
            attempt,
        };
        self.probes.pending.insert(probe, purpose);
        self.ping(to, probe, Some(target));
        for helper in self.choose_helpers(target) {
            self.send(helper, Message::Probe { probe, target: to });
        }
        self.timer
            .subscribe(now + INDIRECT_TIMEOUT, Due::Probe(probe));
    }

    fn choose_helpers(&mut self, target: Node) -> Vec<SocketAddr> {
        let alive = |state| state == State::Alive;
        let mut helpers = Vec::new();
        for index in 0..2 * HELPERS {
            let chosen = if index % 2 == 0 {
                self.choose_local(alive)
            } else {
                self.choose_remote(alive)
            };
            let Some(node) = chosen.filter(|&node| node != target) else {
                continue;
            };
            let Some(member) = self.table.find(node) else {
                continue;
            };
            if !helpers.contains(&member.record.address) && helpers.len() < HELPERS {
                helpers.push(member.record.address);
            }
        }
        helpers
    }

    fn ping_witnesses(&mut self, now: Instant, probe: u32, target: Node) {
        let Some(member) = self.table.find(target) else {
            return;
        };
        let zone = member.record.zone.clone();
        let mut asked = 0;
        for _ in 0..WITNESSES {
            let chosen = self.choose_in_zone(&zone, |state| state == State::Alive);
            let other = chosen.filter(|&node| node != target);
            let Some(member) = other.and_then(|node| self.table.find(node)) else {
                continue;
            };
            asked += 1;
            self.ping_untracked(member.record.address);
        }
        if asked == 0 {
            self.suspect(now, target);
            return;
        }
        let purpose = Purpose::Heartbeat {
            target,
            stage: Stage::Witness { since: now },
            attempt: Attempt::Second,
        };
        self.probes.pending.insert(probe, purpose);
        self.timer
            .subscribe(now + INDIRECT_TIMEOUT, Due::Probe(probe));
    }

    /// Pings the member a last time if other members of its zone answered in
    /// the meantime; otherwise marks the zone as cut off.
    fn conclude(&mut self, now: Instant, probe: u32, target: Node, since: Instant) {
        let Some(member) = self.table.find(target) else {
            return;
        };
        let zone = member.record.zone.clone();
        // The own zone is never cut off from an instance that receives answers:
        // as long as any member answers, the silent members of the own zone are
        // dead.
        let heard = if zone == self.conf.zone {
            self.probes.last_heard.values().max()
        } else {
            self.probes.last_heard.get(&zone)
        };
        if heard.is_some_and(|&heard| heard >= since) {
            self.probe_last(now, probe, target);
        } else if zone != self.conf.zone && member.path == Path::Open {
            self.set_path(&zone, Path::CutOff);
        }
    }

    /// If the path to a zone is restored during the probe, other members there
    /// answer, and a member that was pinged before would be suspected for pings
    /// lost earlier. One more ping avoids that.
    fn probe_last(&mut self, now: Instant, probe: u32, target: Node) {
        let Some(member) = self.table.find(target) else {
            return;
        };
        let to = member.record.address;
        let purpose = Purpose::Heartbeat {
            target,
            stage: Stage::Last,
            attempt: Attempt::Second,
        };
        self.probes.pending.insert(probe, purpose);
        self.ping(to, probe, None);
        self.timer
            .subscribe(now + INDIRECT_TIMEOUT, Due::Probe(probe));
    }

    /// Pings a member of a zone that is cut off, to find out if the zone
    /// answers again.
    fn ping_cut_off_zone(&mut self) {
        let cut: Vec<_> = self
            .table
            .zones()
            .filter(|zone| self.table.path(zone) == Path::CutOff)
            .cloned()
            .collect();
        if cut.is_empty() {
            return;
        }
        let zone = &cut[self.rng.random_range(0..cut.len())];
        let chosen = self.choose_in_zone(zone, |state| state != State::Gone);
        if let Some(member) = chosen.and_then(|node| self.table.find(node)) {
            self.ping_untracked(member.record.address);
        }
    }

    fn suspect(&mut self, now: Instant, node: Node) {
        let Some(member) = self.table.find(node) else {
            return;
        };
        let mark = Mark {
            node,
            incarnation: member.record.incarnation,
            state: State::Suspect,
        };
        self.merge(now, &wire::Update::Mark(mark));
    }

    pub(crate) fn start_survey(&mut self, now: Instant) {
        self.probes.survey = self
            .table
            .members()
            .filter(|member| member.node != self.node && member.record.state != State::Gone)
            .map(|member| member.node)
            .collect();
        self.on_survey_due(now);
    }

    pub(crate) fn on_survey_due(&mut self, now: Instant) {
        let rest = self.probes.survey.len().saturating_sub(SURVEY_BATCH);
        for node in self.probes.survey.split_off(rest) {
            if let Some(member) = self.table.find(node) {
                self.ping_untracked(member.record.address);
            }
        }
        if !self.probes.survey.is_empty() {
            self.timer.subscribe(now + SURVEY_INTERVAL, Due::Survey);
        }
    }
}
