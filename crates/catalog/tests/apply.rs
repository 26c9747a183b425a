//! Changes on their way into the store: races and lost answers.

mod common;

use catalog::{
    apply::{Action, Apply, Event, Evidence, Outcome},
    history::Record,
    layout::Key,
    plan,
};

use common::{Store, proposal, small};

/// What befalls the sends of a change, in order; then all goes well.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Failure {
    /// It takes effect, but the answer is lost.
    AnswerLost,
    /// It never reaches the store.
    RequestLost,
}

/// Runs `apply` to its end; `meanwhile` happens to the store after each send.
fn run(
    store: &mut Store,
    (mut apply, mut action): (Apply, Action),
    failures: &[Failure],
    mut after_send: impl FnMut(&mut Store),
) -> Outcome {
    let mut failures = failures.iter();
    loop {
        let event = match action {
            Action::Send(_, txn) => {
                let event = send(store, &txn, failures.next());
                after_send(store);
                event
            }
            Action::Read(_, number) => Event::Read(evidence(store, number)),
            Action::Done(outcome) => return outcome,
        };
        action = apply.step(event);
    }
}

fn send(store: &mut Store, txn: &plan::Txn, failure: Option<&Failure>) -> Event {
    if failure == Some(&Failure::RequestLost) {
        return Event::Unknown;
    }
    let revision = store.run(txn);
    if failure == Some(&Failure::AnswerLost) {
        return Event::Unknown;
    }
    revision.map_or(Event::Refused, Event::Committed)
}

/// What a reader of `store` finds, with the record of change `number`.
fn evidence(store: &Store, number: u64) -> Box<Evidence> {
    let key = Key::History(number).to_string();
    let record = store.pairs(&key).pop();
    Box::new(Evidence {
        now: store.snapshot(),
        record: record.map(|pair| (Record::decode(&pair).unwrap(), pair.revision)),
    })
}

/// A store that holds `small(8)` at revision 1.
fn store() -> Store {
    let mut store = Store::default();
    let plan = plan::plan(&store.snapshot(), &small(8), proposal(1)).unwrap();
    store.run(&plan.txn).unwrap();
    store
}

fn open(store: &Store, connections: u16, change: u128) -> (Apply, Action) {
    let plan = plan::plan(&store.snapshot(), &small(connections), proposal(change)).unwrap();
    Apply::start(plan)
}

/// Symptom: an operator's change is silently undone by a colleague's.
/// Events: both plan from revision 1; one applies; the other applies.
/// Cause: a write that is not conditional on what it was planned from.
#[test]
fn of_two_operators_racing_one_wins_whole() {
    let mut store = store();
    let first = open(&store, 9, 2);
    let second = open(&store, 10, 3);
    let outcome = run(&mut store, first, &[], |_| ());
    assert!(matches!(outcome, Outcome::Applied(2)), "{outcome:?}");

    let Outcome::Conflict(conflict) = run(&mut store, second, &[], |_| ()) else {
        panic!("the second must not take effect");
    };
    assert_eq!(conflict.revision, 2);
    assert_eq!(conflict.head.unwrap().change.0, 2);
    let changes: Vec<_> = conflict.changes.iter().map(ToString::to_string).collect();
    assert_eq!(changes, ["~ entry `calendar`\n    connections: 8 -> 9"]);
    assert_eq!(store.snapshot().catalog, small(9));
    assert_eq!(store.snapshot().head.unwrap().number, 2);
}

/// Symptom: a change that is in force is told as lost to a conflict with
/// itself, or written a second time.
/// Events: the transaction takes effect; its answer is lost.
/// Cause: only the change's mark tells one's own write from another's.
#[test]
fn an_answer_lost_after_taking_effect_is_recognised() {
    let mut store = store();
    let apply = open(&store, 9, 2);
    let outcome = run(&mut store, apply, &[Failure::AnswerLost], |_| ());
    assert!(matches!(outcome, Outcome::Applied(2)), "{outcome:?}");
    assert_eq!(store.revision, 2);
}

/// Symptom: a change that took effect is told as a conflict.
/// Events: it takes effect, its answer is lost, and before its author reads
/// back another operator's change follows it.
/// Cause: the head then bears the other's mark; only the record tells.
#[test]
fn a_lost_answer_is_recognised_behind_a_later_change() {
    let mut store = store();
    let apply = open(&store, 9, 2);
    let mut others = 0;
    let outcome = run(&mut store, apply, &[Failure::AnswerLost], |store| {
        let plan = plan::plan(&store.snapshot(), &small(11), proposal(3)).unwrap();
        store.run(&plan.txn).unwrap();
        others += 1;
    });
    assert!(matches!(outcome, Outcome::Applied(2)), "{outcome:?}");
    assert_eq!(others, 1);
    assert_eq!(store.snapshot().catalog, small(11));
}

#[test]
fn a_lost_request_is_sent_again() {
    let mut store = store();
    let apply = open(&store, 9, 2);
    let failures = [
        Failure::RequestLost,
        Failure::RequestLost,
        Failure::AnswerLost,
    ];
    let outcome = run(&mut store, apply, &failures, |_| ());
    assert!(matches!(outcome, Outcome::Applied(2)), "{outcome:?}");
    assert_eq!(store.snapshot().catalog, small(9));
}

/// Symptom: a change is in force twice, or undoes what came between.
/// Events: the request is delayed, not lost: it takes effect after its author
/// read that it had not, and has sent it again.
/// Cause: a second send without the first one's condition.
#[test]
fn a_delayed_request_never_takes_effect_twice() {
    let mut store = store();
    let (mut apply, action) = open(&store, 9, 2);
    let Action::Send(_, delayed) = action else {
        panic!("a change starts with a send");
    };
    let Action::Read(_, number) = apply.step(Event::Unknown) else {
        panic!("a lost answer is followed by a read");
    };
    let Action::Send(_, again) = apply.step(Event::Read(evidence(&store, number))) else {
        panic!("what did not take effect is sent again");
    };
    assert_eq!(store.run(&delayed), Some(2));
    assert_eq!(store.run(&again), None);
    let action = apply.step(Event::Refused);
    assert!(matches!(action, Action::Read(_, 2)), "{action:?}");
    let action = apply.step(Event::Read(evidence(&store, 2)));
    assert!(
        matches!(action, Action::Done(Outcome::Applied(2))),
        "{action:?}"
    );
}

#[test]
fn a_store_that_stays_silent_ends_as_unknown() {
    let store = store();
    let (mut apply, _) = open(&store, 9, 2);
    let mut action = apply.step(Event::Unknown);
    let mut reads = 0;
    while let Action::Read(..) = action {
        reads += 1;
        action = apply.step(Event::ReadFailed);
    }
    assert!(
        matches!(action, Action::Done(Outcome::Unknown)),
        "{action:?}"
    );
    assert_eq!(reads, catalog::apply::MAX_READS);
}

#[test]
fn a_store_that_loses_every_request_ends_as_unknown() {
    let mut store = store();
    let apply = open(&store, 9, 2);
    let outcome = run(&mut store, apply, &[Failure::RequestLost; 20], |_| ());
    assert!(matches!(outcome, Outcome::Unknown), "{outcome:?}");
    assert_eq!(store.revision, 1);
}

#[test]
fn what_never_left_or_was_rejected_is_told_as_not_run() {
    let store = store();
    let (mut apply, _) = open(&store, 9, 2);
    let action = apply.step(Event::Rejected);
    assert!(
        matches!(action, Action::Done(Outcome::NotRun)),
        "{action:?}"
    );

    let (mut apply, _) = open(&store, 9, 2);
    let mut action = apply.step(Event::NotSent);
    while let Action::Read(..) = action {
        action = apply.step(Event::ReadFailed);
    }
    assert!(
        matches!(action, Action::Done(Outcome::NotRun)),
        "{action:?}"
    );
}

/// Symptom: a change is told as not run, and is in force a moment later.
/// Events: the first request is lost on its way; the second is rejected; then
/// the first arrives.
/// Cause: a rejection speaks of one request only.
#[test]
fn a_rejection_does_not_settle_an_earlier_doubt() {
    let store = store();
    let (mut apply, _) = open(&store, 9, 2);
    apply.step(Event::Unknown);
    let action = apply.step(Event::Read(evidence(&store, 2)));
    assert!(matches!(action, Action::Send(..)), "{action:?}");
    let mut action = apply.step(Event::Rejected);
    while let Action::Read(..) = action {
        action = apply.step(Event::ReadFailed);
    }
    assert!(
        matches!(action, Action::Done(Outcome::Unknown)),
        "{action:?}"
    );
}

/// Symptom: a change in force is told as a conflict.
/// Events: its answer is lost, and by the time its author reads back so many
/// changes followed that its record was removed.
/// Cause: absence of a record proves nothing once it would have been removed.
#[test]
fn a_removed_record_proves_nothing() {
    let mut store = store();
    let apply = open(&store, 9, 2);
    let outcome = run(&mut store, apply, &[Failure::AnswerLost], |store| {
        for n in 0..catalog::history::MAX_RECORDS {
            let connections = 10 + (n % 2) as u16;
            let plan = plan::plan(&store.snapshot(), &small(connections), proposal(100));
            store.run(&plan.unwrap().txn).unwrap();
        }
    });
    assert!(matches!(outcome, Outcome::Unknown), "{outcome:?}");
}
