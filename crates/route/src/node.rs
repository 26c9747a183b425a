//! What is known of one upstream.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;
use model::{Position, name};

use crate::{Answer, History, confirm::position, trend::Trend};

/// How many different age bounds an upstream's standing is kept for.
const MAX_BOUNDS: usize = 16;
/// The share of its bound within which an upstream that was out comes back in.
const ENTER: f64 = 0.9;
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

/// Where an upstream stands against an age bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Within it.
    Inside,
    /// Within it, but it was out and has not come well inside since.
    Edge,
    /// Out of it.
    Outside,
}

#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) member: Member,
    pub(crate) breaker: Breaker,
    pub(crate) load: Load,
    pub(crate) answer: Option<Answer>,
    as_of: Option<Instant>,
    trend: Trend,
    rtt: Duration,
    service: Duration,
    outside: BTreeMap<Duration, Standing>,
}

impl Node {
    pub(crate) fn new(member: Member, rtt: Duration, service: Duration) -> Self {
        Self {
            member,
            breaker: Breaker::Closed,
            load: Load::default(),
            answer: None,
            as_of: None,
            trend: Trend::new(),
            rtt,
            service,
            outside: BTreeMap::new(),
        }
    }

    /// Takes in a change of the catalogue, which may change the age bounds too.
    pub(crate) fn enter(&mut self, member: Member) {
        self.member = member;
        self.outside.clear();
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
        let known = self.answer?.sent.max(as_of);
        Some(as_of + self.trend.ahead(now.since(known)))
    }

    /// How long until it should show what the primary had reached at `target`.
    pub(crate) fn wait(&self, now: Instant, target: Instant) -> Option<Duration> {
        let shown = self.expected_as_of(now)?;
        self.trend.wait(target.since(shown))
    }

    /// Notes and tells where it stands against `bound` when it is `age` old.
    pub(crate) fn standing(&mut self, bound: Duration, age: Option<Duration>) -> Standing {
        let was = self.outside.get(&bound).copied();
        let standing = match age {
            Some(age) if age <= bound.mul_f64(ENTER) => Standing::Inside,
            Some(age) if age <= bound => match was {
                None => Standing::Inside,
                Some(_) => Standing::Edge,
            },
            _ => Standing::Outside,
        };
        if standing == Standing::Inside {
            self.outside.remove(&bound);
        } else if self.outside.len() < MAX_BOUNDS || was.is_some() {
            self.outside.insert(bound, standing);
        }
        standing
    }

    /// Whether it is not falling behind.
    pub(crate) fn holds_pace(&self) -> bool {
        self.trend.pace() >= 1.0
    }
}
