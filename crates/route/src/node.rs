//! What is known of one upstream.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;
use model::{Position, name};

use crate::{
    Answer, History,
    confirm::position,
    trend::{Sight, Trend},
};

/// How many different age bounds an upstream's standing is kept for.
const MAX_BOUNDS: usize = 16;
/// The longest that an upstream is held out for leaving too often.
const MAX_HOLD: Duration = Duration::from_secs(2);
/// An upstream that stayed inside for this many times its hold is forgiven.
const FORGIVE: u32 = 8;
const RTT_WEIGHT: f64 = 0.2;
const SERVICE_WEIGHT: f64 = 0.1;

/// An upstream as the catalogue describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub upstream: name::Upstream,
    /// Its availability zone.
    pub zone: name::Zone,
    /// How many statements it runs at once.
    pub slots: u16,
    /// Whether the catalogue is taking it out of service.
    pub state: State,
}

/// Whether an upstream gets new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It does.
    Serving,
    /// It is being taken out, or its instance is leaving.
    Leaving,
}

/// Whether the circuit breaker of an upstream lets requests through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breaker {
    /// Requests pass.
    Closed,
    /// None pass.
    Open,
}

/// What an upstream has to do, as the pool counts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Statements that run.
    pub in_flight: u32,
    /// Statements that wait for a slot.
    pub queued: u32,
}

/// Where an upstream stands against an age bound, and since when.
///
/// An upstream whose age swings about the bound would change sides with every
/// report, and its reads would swing to the primary and back. One that leaves
/// is held out for a while, twice as long each time it leaves again soon.
#[derive(Debug, Clone, Copy)]
struct Standing {
    side: Side,
    since: Instant,
    hold: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    Inside,
    Outside,
}

#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) member: Member,
    pub(crate) breaker: Breaker,
    pub(crate) load: Load,
    pub(crate) answer: Option<Answer>,
    as_of: Option<Instant>,
    sight: Option<Sight>,
    trend: Trend,
    rtt: Duration,
    service: Duration,
    standings: BTreeMap<Duration, Standing>,
}

impl Node {
    pub(crate) fn new(member: Member, rtt: Duration, service: Duration) -> Self {
        Self {
            member,
            breaker: Breaker::Closed,
            load: Load::default(),
            answer: None,
            as_of: None,
            sight: None,
            trend: Trend::new(),
            rtt,
            service,
            standings: BTreeMap::new(),
        }
    }

    /// Takes in a change of the catalogue, which may change the age bounds too.
    pub(crate) fn enter(&mut self, member: Member) {
        self.member = member;
        self.standings.clear();
    }

    /// Takes in an answer; one sent before the last known is only measured.
    pub(crate) fn answer(&mut self, now: Instant, answer: Answer, history: &History) {
        self.measure(now.since(answer.sent));
        if self.answer.is_some_and(|last| last.sent > answer.sent) {
            return;
        }
        self.answer = Some(answer);
        self.as_of = history.as_of(answer.position());
        if let (Some(as_of), Some(newest)) = (self.as_of, history.newest()) {
            self.trend.step(newest.since, as_of);
        }
        let position = answer.position();
        self.sight = history.reached(position).map(|reached| Sight {
            sent: answer.sent,
            reached,
            missed: history.missed(position),
        });
        if let Some(sight) = self.sight {
            self.trend.see(sight);
        }
    }

    /// A round was confirmed: whoever had reached it is that much younger.
    pub(crate) fn confirmed(&mut self, round: session::Confirmed) {
        if self.position().is_some_and(|p| p.covers(round.position)) {
            self.as_of = Some(round.since);
        }
    }

    /// A way that got shorter is believed at once, one that got longer slowly:
    /// a single late answer is a queue's doing, not the distance's.
    fn measure(&mut self, rtt: Duration) {
        if rtt < self.rtt {
            self.rtt = rtt;
            return;
        }
        self.rtt += (rtt - self.rtt).mul_f64(RTT_WEIGHT);
    }

    /// A statement ran on it for `took`, its queue and way left out.
    pub(crate) fn served(&mut self, took: Duration) {
        let mean = self.service.as_secs_f64();
        let moved = mean + SERVICE_WEIGHT * (took.as_secs_f64() - mean);
        self.service = Duration::from_secs_f64(moved);
    }

    pub(crate) fn rtt(&self) -> Duration {
        self.rtt
    }

    pub(crate) fn usable(&self) -> bool {
        self.member.state == State::Serving && self.breaker == Breaker::Closed
    }

    pub(crate) fn position(&self) -> Option<Position> {
        self.answer.map(|answer| position(&answer.report))
    }

    /// The expected time until an answer is back, if it were sent now.
    pub(crate) fn cost(&self) -> Duration {
        let slots = u32::from(self.member.slots.max(1));
        let before = self.load.in_flight + self.load.queued;
        let rounds = f64::from((before + 1).max(slots)) / f64::from(slots);
        self.rtt + self.service.mul_f64(rounds)
    }

    /// The moment whose data it showed when it last reported.
    pub(crate) fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    /// The moment whose data it should show to a statement that is sent now.
    pub(crate) fn expected_as_of(&self, now: Instant) -> Option<Instant> {
        let as_of = self.as_of?;
        if self.sight.is_some_and(|sight| self.trend.usual(sight)) {
            return Some(as_of.max(now - self.trend.delay()));
        }
        let known = self.answer?.sent.max(as_of);
        Some(as_of + self.trend.ahead(now.since(known)))
    }

    /// How long until it should show what the primary had reached at `target`.
    pub(crate) fn wait(&self, now: Instant, target: Instant) -> Option<Duration> {
        let shown = self.expected_as_of(now)?;
        self.trend.wait(target.since(shown))
    }

    /// Notes and tells on which side of `bound` it stands when it is `age` old.
    pub(crate) fn side(
        &mut self,
        now: Instant,
        bound: Duration,
        age: Option<Duration>,
        hold: Duration,
    ) -> Side {
        let within = age.is_some_and(|age| age <= bound);
        if !self.standings.contains_key(&bound) && self.standings.len() >= MAX_BOUNDS {
            return if within { Side::Inside } else { Side::Outside };
        }
        let standing = self.standings.entry(bound).or_insert(Standing {
            side: Side::Inside,
            since: now,
            hold: Duration::ZERO,
        });
        standing.step(now, within, hold);
        standing.side
    }

    /// How long it is still held out of `bound`.
    pub(crate) fn held(&self, now: Instant, bound: Duration) -> Duration {
        let standing = self.standings.get(&bound);
        let outside = standing.filter(|standing| standing.side == Side::Outside);
        outside.map_or(Duration::ZERO, |s| (s.since + s.hold).since(now))
    }
}

impl Standing {
    fn step(&mut self, now: Instant, within: bool, hold: Duration) {
        let stayed = now.since(self.since);
        match self.side {
            Side::Inside if !within => {
                let often = stayed < self.hold * FORGIVE;
                self.hold = if often {
                    (self.hold * 2).min(MAX_HOLD)
                } else {
                    hold
                };
                self.side = Side::Outside;
                self.since = now;
            }
            Side::Outside if within && stayed >= self.hold => {
                self.side = Side::Inside;
                self.since = now;
            }
            Side::Inside | Side::Outside => {}
        }
    }
}
