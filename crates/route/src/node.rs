//! The state that a router keeps for one upstream.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;
use model::{Position, name};

use crate::{
    Answer, History,
    confirm::position,
    trend::{Observation, Trend},
};

/// Largest number of age bounds for which a [`BoundState`] is kept.
const MAX_BOUNDS: usize = 16;
/// Longest time for which an upstream gets no reads under an age bound after it
/// exceeded the bound repeatedly.
const MAX_EXCLUSION: Duration = Duration::from_secs(2);
/// An upstream that stays within a bound for this multiple of its last exclusion gets
/// the shortest exclusion again.
const RESET_FACTOR: u32 = 8;
const RTT_WEIGHT: f64 = 0.2;
const SERVICE_WEIGHT: f64 = 0.1;

/// An upstream as the catalogue describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the upstream.
    pub upstream: name::Upstream,
    /// Availability zone of the upstream.
    pub zone: name::Zone,
    /// Number of statements that the upstream runs concurrently.
    pub slots: u16,
    /// Service state in the catalogue.
    pub state: State,
}

/// Tells if an upstream gets new statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The upstream gets new statements.
    Serving,
    /// The upstream or its instance is leaving, so the upstream gets no new statements.
    Leaving,
}

/// State of the circuit breaker of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breaker {
    /// The breaker lets requests through.
    Closed,
    /// The breaker rejects requests.
    Open,
}

/// Load of an upstream, as counted by its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Number of running statements.
    pub in_flight: u32,
    /// Number of statements that wait for a slot.
    pub queued: u32,
}

/// The side of an age bound on which an upstream is, and the start time.
///
/// An upstream whose age varies around the bound would change sides with every
/// report, and its reads would move to the primary and back. An upstream that
/// exceeds the bound is therefore excluded for a time, which doubles whenever the
/// upstream exceeds the bound again soon.
#[derive(Debug, Clone, Copy)]
struct BoundState {
    side: Side,
    since: Instant,
    exclusion: Duration,
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
    observation: Option<Observation>,
    trend: Trend,
    rtt: Duration,
    service_time: Duration,
    bound_states: BTreeMap<Duration, BoundState>,
}

impl Node {
    pub(crate) fn new(member: Member, rtt: Duration, service_time: Duration) -> Self {
        Self {
            member,
            breaker: Breaker::Closed,
            load: Load::default(),
            answer: None,
            as_of: None,
            observation: None,
            trend: Trend::new(),
            rtt,
            service_time,
            bound_states: BTreeMap::new(),
        }
    }

    /// Applies a change of the catalogue, which may also change the age bounds.
    pub(crate) fn set_member(&mut self, member: Member) {
        self.member = member;
        self.bound_states.clear();
    }

    /// Records an answer; one to a query older than the last only counts for the round
    /// trip.
    pub(crate) fn record_answer(&mut self, now: Instant, answer: Answer, history: &History) {
        self.update_rtt(now.since(answer.sent));
        if self.answer.is_some_and(|last| last.sent > answer.sent) {
            return;
        }
        self.answer = Some(answer);
        self.as_of = history.as_of(answer.position());
        if let (Some(as_of), Some(newest)) = (self.as_of, history.newest()) {
            self.trend.update_pace(newest.since, as_of);
        }
        let position = answer.position();
        self.observation = history.reached(position).map(|reached| Observation {
            sent: answer.sent,
            reached,
            missed: history.missed(position),
        });
        if let Some(observation) = self.observation {
            self.trend.update_delay(observation);
        }
    }

    /// Notes a confirmed round: if the upstream has reached the round's position, its
    /// data is as recent as the round.
    pub(crate) fn note_round(&mut self, round: session::Confirmed) {
        if self.position().is_some_and(|p| p.covers(round.position)) {
            self.as_of = Some(round.since);
        }
    }

    /// Updates the round trip: a shorter one applies at once, a longer one by an
    /// average, since a single late answer is more often due to a queue than to the
    /// network.
    fn update_rtt(&mut self, rtt: Duration) {
        if rtt < self.rtt {
            self.rtt = rtt;
            return;
        }
        self.rtt += (rtt - self.rtt).mul_f64(RTT_WEIGHT);
    }

    /// Notes that a statement ran for `took`, without its time in queues and on the
    /// network.
    pub(crate) fn note_service_time(&mut self, took: Duration) {
        let mean = self.service_time.as_secs_f64();
        let moved = mean + SERVICE_WEIGHT * (took.as_secs_f64() - mean);
        self.service_time = Duration::from_secs_f64(moved);
    }

    pub(crate) fn rtt(&self) -> Duration {
        self.rtt
    }

    pub(crate) fn is_usable(&self) -> bool {
        self.member.state == State::Serving && self.breaker == Breaker::Closed
    }

    pub(crate) fn position(&self) -> Option<Position> {
        self.answer.map(|answer| position(&answer.report))
    }

    /// Returns the expected time until the answer to a statement that is sent now.
    pub(crate) fn cost(&self) -> Duration {
        let slots = u32::from(self.member.slots.max(1));
        let before = self.load.in_flight + self.load.queued;
        let rounds = f64::from((before + 1).max(slots)) / f64::from(slots);
        self.rtt + self.service_time.mul_f64(rounds)
    }

    /// Returns the time whose data the upstream showed at its last report.
    pub(crate) fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    /// Returns the time whose data the upstream is expected to show to a statement that
    /// is sent now.
    pub(crate) fn expected_as_of(&self, now: Instant) -> Option<Instant> {
        let as_of = self.as_of?;
        if self
            .observation
            .is_some_and(|observation| self.trend.is_usual(observation))
        {
            return Some(as_of.max(now - self.trend.delay()));
        }
        let known = self.answer?.sent.max(as_of);
        Some(as_of + self.trend.expected_progress(now.since(known)))
    }

    /// Returns the expected time until the upstream shows what the primary had reached
    /// at `target`.
    pub(crate) fn wait(&self, now: Instant, target: Instant) -> Option<Duration> {
        let shown = self.expected_as_of(now)?;
        self.trend.time_to_cover(target.since(shown))
    }

    /// Updates and returns the side of `bound` for data of the given age.
    pub(crate) fn update_side(
        &mut self,
        now: Instant,
        bound: Duration,
        age: Option<Duration>,
        exclusion: Duration,
    ) -> Side {
        let within = age.is_some_and(|age| age <= bound);
        if !self.bound_states.contains_key(&bound) && self.bound_states.len() >= MAX_BOUNDS {
            return if within { Side::Inside } else { Side::Outside };
        }
        let bound_state = self.bound_states.entry(bound).or_insert(BoundState {
            side: Side::Inside,
            since: now,
            exclusion: Duration::ZERO,
        });
        bound_state.step(now, within, exclusion);
        bound_state.side
    }

    /// Returns the time for which the upstream is still excluded under `bound`.
    pub(crate) fn exclusion_left(&self, now: Instant, bound: Duration) -> Duration {
        let bound_state = self.bound_states.get(&bound);
        let outside = bound_state.filter(|bound_state| bound_state.side == Side::Outside);
        outside.map_or(Duration::ZERO, |s| (s.since + s.exclusion).since(now))
    }
}

impl BoundState {
    fn step(&mut self, now: Instant, within: bool, exclusion: Duration) {
        let stayed = now.since(self.since);
        match self.side {
            Side::Inside if !within => {
                let is_repeated = stayed < self.exclusion * RESET_FACTOR;
                self.exclusion = if is_repeated {
                    (self.exclusion * 2).min(MAX_EXCLUSION)
                } else {
                    exclusion
                };
                self.side = Side::Outside;
                self.since = now;
            }
            Side::Outside if within && stayed >= self.exclusion => {
                self.side = Side::Inside;
                self.since = now;
            }
            Side::Inside | Side::Outside => {}
        }
    }
}
