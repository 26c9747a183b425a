//! Applying changes to the store: races and lost answers.

mod common;

use catalog::{
    apply::{Action, Apply, Event, Evidence, Outcome},
    history::Record,
    layout::Key,
    plan,
};

use common::{Store, proposal, small};

/// Failure of one attempt to send a transaction.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Failure {
    /// The transaction takes effect, but the answer is lost.
    AnswerLost,
    /// The request never reaches the store.
    RequestLost,
}

/// Runs `apply` to its end. The first attempts fail as in `failures`, and
/// `after_send` is called after each attempt.
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

/// Contents of `store` with the record of change `number`.
fn evidence(store: &Store, number: u64) -> Box<Evidence> {
    let key = Key::History(number).to_string();
    let record = store.pairs(&key).pop();
    Box::new(Evidence {
        now: store.snapshot(),
        record: record.map(|pair| (Record::decode(&pair).unwrap(), pair.revision)),
    })
}

/// A store with `small(8)` at revision 1.
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

/// Guards against an operator's change silently undoing another one: two
/// operators plan from revision 1 and both apply, with writes that are not
/// conditional on the revision they were planned from.
#[test]
fn of_two_concurrent_changes_only_one_is_applied() {
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

/// Guards against reporting a change in force as a conflict, or writing the
/// change twice: the transaction takes effect and its answer is lost, so that
/// only the change's id identifies the operator's own write.
#[test]
fn a_change_with_a_lost_answer_is_recognised() {
    let mut store = store();
    let apply = open(&store, 9, 2);
    let outcome = run(&mut store, apply, &[Failure::AnswerLost], |_| ());
    assert!(matches!(outcome, Outcome::Applied(2)), "{outcome:?}");
    assert_eq!(store.revision, 2);
}

/// Guards against reporting a change that took effect as a conflict: the answer
/// is lost, and another change follows before the store is read back. The head
/// then has the other change's id, so only the record identifies the change.
#[test]
fn a_change_with_a_lost_answer_is_recognised_after_a_later_change() {
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

/// Guards against giving up on a change whose first requests are lost.
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

/// Guards against a change taking effect twice: the request is only delayed and
/// takes effect after the store was read back and the transaction sent again.
/// The second attempt must have the same condition as the first.
#[test]
fn a_delayed_request_never_takes_effect_twice() {
    let mut store = store();
    let (mut apply, action) = open(&store, 9, 2);
    let Action::Send(_, delayed) = action else {
        panic!("a change starts with an attempt to send");
    };
    let Action::Read(_, number) = apply.step(Event::Unknown) else {
        panic!("a lost answer is followed by a read");
    };
    let Action::Send(_, again) = apply.step(Event::Read(evidence(&store, number))) else {
        panic!("a change that did not take effect is sent again");
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

/// Guards against reporting a change with a lost answer as not run, or reading
/// without end, when the store doesn't answer any further.
#[test]
fn an_unresponsive_store_results_in_unknown() {
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

/// Guards against sending without end when all requests are lost, and against
/// reporting the change as not run although a request may still arrive.
#[test]
fn loss_of_all_requests_results_in_unknown() {
    let mut store = store();
    let apply = open(&store, 9, 2);
    let outcome = run(&mut store, apply, &[Failure::RequestLost; 20], |_| ());
    assert!(matches!(outcome, Outcome::Unknown), "{outcome:?}");
    assert_eq!(store.revision, 1);
}

/// Guards against reporting an unknown outcome where the change certainly did
/// not take effect.
#[test]
fn an_unsent_or_rejected_change_is_not_run() {
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

/// Guards against reporting a change as not run that takes effect later: the
/// first request is delayed, the second one is rejected, then the first one
/// arrives. A rejection says nothing about earlier attempts.
#[test]
fn a_rejection_does_not_decide_an_earlier_attempt() {
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

/// Guards against reporting a change in force as a conflict: the answer is lost,
/// and so many changes follow before the store is read back that the change's
/// record has been removed.
#[test]
fn absence_of_a_removed_record_results_in_unknown() {
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
