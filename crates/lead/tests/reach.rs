//! Estimates of logs, and the choice that rests on them.

use std::time::Duration;

use clock::Instant;
use lead::{
    Samples,
    reach::{Estimate, Reach},
    read::{Candidate, Role, earliest},
};
use model::{Position, Term};
use proptest::prelude::*;

const KEEP: Duration = Duration::from_secs(10);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn position(lsn: u64) -> Position {
    Position::new(1, lsn)
}

/// Guards against positions of a replaced primary's log that count as reached though they were
/// rolled back: answers to earlier questions arrive later.
#[test]
fn a_reset_forgets_answers_to_earlier_questions() {
    let samples = Samples::default();
    let mut reach = Reach::default();
    reach.record((at(10), at(12)), position(9), &samples);
    reach.reset(at(20));
    reach.record((at(19), at(25)), position(9), &samples);
    let estimate = reach.expect(position(9), at(30), at(30), &samples);
    assert_eq!(estimate, Estimate::Unknown(Instant::ZERO));
}

/// Guards against reads at a replica that lost its log, by what it had before.
#[test]
fn a_later_answer_with_a_lower_position_counts() {
    let samples = Samples::default();
    let mut reach = Reach::default();
    reach.record((at(10), at(12)), position(9), &samples);
    reach.record((at(11), at(13)), position(8), &samples);
    assert_eq!(reach.position(), Some(position(9)));
    reach.record((at(12), at(14)), position(7), &samples);
    assert_eq!(reach.position(), Some(position(7)));
}

/// Samples of a primary that commits once each millisecond.
fn steady() -> Samples {
    let mut samples = Samples::default();
    for sent in (0..6_000).step_by(50) {
        samples.record(Term(1), at(sent), position(sent), KEEP);
    }
    samples
}

/// Guards against reads that are sent too early, or wait in vain, because the lag has changed.
#[test]
fn a_lag_that_changes_is_followed() {
    let samples = steady();
    let mut reach = Reach::default();
    for (lag, until) in [(50, 1_000), (600, 3_000), (200, 4_000)] {
        for now in (until - 300..until).step_by(10) {
            reach.record((at(now), at(now)), position(now - lag), &samples);
        }
        let floor = position(until - 10);
        let ready = reach
            .expect(floor, at(until), at(until), &samples)
            .ready_at();
        let error = ready.as_micros().abs_diff((until - 10 + lag) * 1_000);
        assert!(error <= 10_000, "{error} us at a lag of {lag} ms");
    }
}

/// Guards against reads that wait for a replica which answers, but receives nothing any more.
#[test]
fn a_replica_whose_log_does_not_grow_is_not_waited_for() {
    let samples = steady();
    let mut reach = Reach::default();
    for now in (1_000..=1_400).step_by(10) {
        reach.record((at(now), at(now)), position(now.min(1_200) - 20), &samples);
    }
    let expect = |lsn| reach.expect(position(lsn), at(1_400), at(1_400), &samples);
    assert_eq!(expect(1_180), Estimate::Reached);
    let Estimate::Unknown(retry) = expect(1_181) else {
        panic!("{:?}", expect(1_181));
    };
    assert!(retry >= at(1_500));
}

/// Guards against reads that wait for a replica which receives nothing any more, while the primary
/// is overloaded: they lose the time in which the primary could have answered.
#[test]
fn a_log_of_which_nothing_is_known_is_waited_for_only_without_a_primary() {
    let now = at(1_000);
    let primary = Candidate {
        role: Role::Primary,
        log: Estimate::Reached,
        latency: Duration::from_millis(18),
        queued: 40,
        slots: 1,
        distance: Duration::ZERO,
    };
    let replica = |log| Candidate {
        role: Role::Replica,
        log,
        queued: 0,
        ..primary
    };
    let choice = |candidates: &[Candidate]| earliest(candidates, now, at(1_300)).unwrap();
    let expected = replica(Estimate::Expected(at(1_010)));
    assert_eq!(choice(&[primary, expected]).index, 1);
    let unknown = replica(Estimate::Unknown(at(1_010)));
    assert_eq!(choice(&[primary, unknown]).index, 0);
    assert_eq!(choice(&[unknown]).wait, Duration::from_millis(10));
    let due = replica(Estimate::Unknown(now));
    assert_eq!(choice(&[primary, due]).index, 1);
}

proptest! {
    /// Guards against a busy loop: after an answer that lacks a floor, a read with that floor is
    /// sent to the same upstream only later than the answered question.
    #[test]
    fn a_refused_floor_is_not_asked_for_again_at_once(
        sampled in prop::collection::vec((0..4_000u64, 0..500u64), 0..20),
        answers in prop::collection::vec((0..4_000u64, 0..100u64, 0..500u64), 1..20),
        beyond in 1..100u64,
    ) {
        let mut samples = Samples::default();
        let (mut sent, mut lsns): (Vec<_>, Vec<_>) = sampled.into_iter().unzip();
        sent.sort_unstable();
        lsns.sort_unstable();
        for (sent, lsn) in sent.into_iter().zip(lsns) {
            samples.record(Term(1), at(sent), position(lsn), KEEP);
        }
        let mut reach = Reach::default();
        for (asked, time, lsn) in &answers {
            reach.record((at(*asked), at(asked + time)), position(*lsn), &samples);
        }
        let (asked, time, _) = *answers.iter().max_by_key(|answer| answer.0).unwrap();
        let reached = reach.position().unwrap();
        let floor = position(reached.lsn.0 + beyond);
        // The refusal of this floor is the newest answer.
        let now = at(asked + time + 100);
        reach.record((now, now), reached, &samples);
        let ready = reach.expect(floor, now, now, &samples).ready_at();
        prop_assert!(ready >= now);
        prop_assert_eq!(reach.expect(reached, now, now, &samples), Estimate::Reached);
    }

    /// Guards against estimates that drift from a constant lag: the primary commits once each
    /// millisecond.
    #[test]
    fn a_constant_lag_is_estimated(
        lag in 0..800u64,
        mut asked in prop::collection::vec(1_000..3_000u64, 2..40),
        since in 0..100u64,
    ) {
        let samples = steady();
        asked.sort_unstable();
        let mut reach = Reach::default();
        for asked in &asked {
            reach.record((at(*asked), at(asked + 5)), position(asked + 5 - lag), &samples);
        }
        let now = asked.last().unwrap() + 5;
        let floor = now - since;
        let ready = match reach.expect(position(floor), at(now), at(now), &samples) {
            Estimate::Reached => now.min(floor + lag),
            estimate => estimate.ready_at().as_micros() / 1_000,
        };
        let truth = floor + lag;
        prop_assert!(ready.abs_diff(truth.max(ready.min(now))) <= 20, "{ready} for {truth}");
    }

    /// Guards against a choice that waits past the deadline, or for a replica though another
    /// upstream with no higher cost is ready.
    #[test]
    fn the_choice_keeps_the_deadline(
        upstreams in prop::collection::vec((0..400u64, 1..100u64, 0..20usize, 1..5usize), 1..5),
        deadline in 0..300u64,
    ) {
        let candidates: Vec<_> = upstreams.iter().enumerate().map(|(index, upstream)| Candidate {
            role: if index == 0 { Role::Primary } else { Role::Replica },
            log: match upstream.0 % 2 {
                0 => Estimate::Expected(at(1_000 + upstream.0)),
                _ => Estimate::Unknown(at(1_000 + upstream.0)),
            },
            latency: Duration::from_millis(upstream.1),
            queued: upstream.2,
            slots: upstream.3,
            distance: Duration::ZERO,
        }).collect();
        let now = at(1_000);
        let choice = earliest(&candidates, now, now + Duration::from_millis(deadline));
        let is_any = candidates.iter().any(|candidate| candidate.log.ready_at() <= at(1_000 + deadline));
        prop_assert_eq!(choice.is_some(), is_any);
        if let Some(choice) = choice {
            prop_assert!(choice.wait <= Duration::from_millis(deadline));
            // Without the others, the same one is chosen.
            let alone = earliest(&candidates[choice.index..=choice.index], now, at(u64::MAX / 2_000));
            prop_assert_eq!(alone.unwrap().wait, choice.wait);
        }
    }
}
