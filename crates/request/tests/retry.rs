//! Tests that retries can't amplify an overload.

use clock::Instant;
use model::{Cause, Outcome, Repeat};
use pool::{
    Budget, Handle,
    budget::{EARNED, MAX_SAVED},
    conn::Generation,
};
use proptest::prelude::*;
use request::{Action, Answer, Event, Request, Target};

/// The end of one attempt.
#[derive(Debug, Clone, Copy)]
enum Ending {
    Answered,
    Lost,
    Unsent,
    Deadlock,
}

fn event(ending: Ending, handle: Handle) -> Event {
    match ending {
        Ending::Answered => Event::Answered(handle, Answer::Read),
        Ending::Lost => Event::Lost(handle),
        Ending::Unsent => Event::Unsent(handle),
        Ending::Deadlock => Event::Answered(handle, Answer::Rejected(*b"40P01")),
    }
}

/// Runs one request to its end and returns the number of sends and the outcome.
fn sends(
    budget: &mut Budget,
    repeat: Repeat,
    endings: &mut dyn FnMut() -> Ending,
) -> (u32, Outcome) {
    let now = Instant::ZERO;
    let mut request = Request::new(repeat, Target::Any, Instant::from_millis(1_000));
    let mut sends = 0;
    let mut actions = request.step(now, budget, Event::Start);
    loop {
        let event = match actions.pop() {
            Some(Action::Acquire(_)) => Event::Admitted(handle(sends)),
            Some(Action::Send(handle)) => {
                sends += 1;
                assert!(sends <= 1 + MAX_SAVED, "one request is sent forever");
                event(endings(), handle)
            }
            Some(Action::End(outcome, _)) => return (sends, outcome),
            other => panic!("the request hangs at {other:?}"),
        };
        actions = request.step(now, budget, event);
    }
}

fn handle(sequence: u32) -> Handle {
    Handle {
        generation: Generation(1),
        sequence: u64::from(sequence),
    }
}

/// Returns the largest number of sends for `first` requests: one each, the retries
/// that they earn, and the retries saved up before.
fn max_sends(first: u32) -> u32 {
    first + first * EARNED / 1_000 + MAX_SAVED
}

/// Guards against retries that multiply the load: without a budget, an upstream at
/// its capacity gets eight times its load when every statement fails, and stays
/// overloaded after the cause has passed.
#[test]
fn retry_storm_stays_within_the_budget() {
    for ending in [Ending::Lost, Ending::Unsent, Ending::Deadlock] {
        let mut budget = Budget::default();
        let run = |_| sends(&mut budget, Repeat::Idempotent, &mut || ending).0;
        let total: u32 = (0..1_000).map(run).sum();
        assert!(total <= max_sends(1_000), "{ending:?}: {total}");
        assert!(total > 1_000, "{ending:?}: no retry at all");
    }
}

fn ending() -> impl Strategy<Value = Ending> {
    prop_oneof![
        Just(Ending::Answered),
        Just(Ending::Lost),
        Just(Ending::Unsent),
        Just(Ending::Deadlock)
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards, for any sequence of faults, against more sends than the budget allows,
    /// a second send of a statement that must run once, and `NotRun` for a statement
    /// that may have run.
    #[test]
    fn sends_are_bounded_and_outcomes_are_correct(
        endings in prop::collection::vec((any::<bool>(), ending()), 1..200),
    ) {
        let mut budget = Budget::default();
        let mut queue = endings.iter().map(|(_, ending)| *ending);
        let (mut first, mut total) = (0, 0);
        for (once, _) in &endings {
            let repeat = if *once { Repeat::Once } else { Repeat::Idempotent };
            let mut lost = 0;
            let mut next = || {
                let ending = queue.next().unwrap_or(Ending::Answered);
                lost += u32::from(matches!(ending, Ending::Lost));
                ending
            };
            let (sends, outcome) = sends(&mut budget, repeat, &mut next);
            first += 1;
            total += sends;
            prop_assert!(total <= max_sends(first), "{total} sends of {first}");
            if *once && lost > 0 {
                prop_assert_eq!(outcome, Outcome::Unknown(Cause::ConnectionLost));
                prop_assert_eq!(lost, 1);
            }
            if lost > 0 {
                prop_assert!(!matches!(outcome, Outcome::NotRun(_)));
            }
        }
    }
}
