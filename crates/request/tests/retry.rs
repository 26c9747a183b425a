//! Stories of retries that feed an overload.

use clock::Instant;
use model::{Cause, Outcome, Repeat};
use pool::{
    Budget, Handle,
    budget::{EARNED, MAX_SAVED},
    conn::Generation,
};
use proptest::prelude::*;
use request::{Action, Answer, Event, Request, Target};

/// How an attempt ends.
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

/// Runs one request to its end: how often it was sent, and the end.
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
                assert!(sends <= 1 + MAX_SAVED, "one request is sent for ever");
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

/// The most sends that `first` requests may come to: (1 + ratio) of them, and
/// what was saved up before.
fn max_sends(first: u32) -> u32 {
    first + first * EARNED / 1_000 + MAX_SAVED
}

/// Symptom: an upstream at its capacity gets eight times its load, and stays
/// down when the cause has passed. Events: every statement fails and each is
/// sent again. Cause: retries had no budget.
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

    /// Whatever fails: sends stay within the budget, what may run once is not
    /// sent after its bytes may have left, and "not run" is never said then.
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
