//! Stories of requests whose end is in doubt.

use std::time::Duration;

use clock::Instant;
use model::{Cause, Outcome, Position, Repeat};
use pool::{Budget, Handle, conn::Generation};
use request::{Action, Answer, Event, Request, Target};

fn handle(sequence: u64) -> Handle {
    Handle {
        generation: Generation(1),
        sequence,
    }
}

fn sent(repeat: Repeat, target: Target, budget: &mut Budget) -> Request {
    let mut request = Request::new(repeat, target, Instant::from_millis(100));
    request.step(Instant::ZERO, budget, Event::Start);
    let actions = request.step(Instant::ZERO, budget, Event::Admitted(handle(1)));
    assert_eq!(actions, [Action::Send(handle(1))]);
    request
}

/// Symptom: a payment is billed twice. Events: its bytes leave, the commit's
/// answer is lost with the connection. Cause: it was sent again.
#[test]
fn lost_commit_answer_is_unknown_and_never_sent_twice() {
    let mut budget = Budget::default();
    let mut request = sent(Repeat::Once, Target::Primary, &mut budget);
    let end = request.step(Instant::ZERO, &mut budget, Event::Lost(handle(1)));
    let unknown = Outcome::Unknown(Cause::ConnectionLost);
    assert_eq!(end, [Action::End(unknown, None)]);
    let late = request.step(
        Instant::ZERO,
        &mut budget,
        Event::Answered(handle(1), Answer::Read),
    );
    assert!(late.is_empty());
}

/// Symptom: a caller gets another's rows. Events: the answer to a statement
/// given up earlier arrives. Cause: it was matched by connection alone.
#[test]
fn crossed_answer_finds_no_taker() {
    let mut budget = Budget::default();
    let mut request = sent(Repeat::Once, Target::Any, &mut budget);
    let crossed = Event::Answered(handle(2), Answer::Read);
    assert!(request.step(Instant::ZERO, &mut budget, crossed).is_empty());
}

/// Symptom: a write fails though the primary is well. Events: a replica
/// refuses it as read-only. Cause: a proved rejection was not sent on.
#[test]
fn read_that_writes_goes_to_the_primary() {
    let mut budget = Budget::default();
    let mut request = sent(Repeat::Once, Target::Any, &mut budget);
    let refused = Event::Answered(handle(1), Answer::Rejected(*b"25006"));
    let actions = request.step(Instant::ZERO, &mut budget, refused);
    assert_eq!(actions, [Action::Acquire(Target::Primary)]);
}

/// Symptom: a booking is confirmed and then lost. Events: the primary is
/// replaced between commit and majority. Cause: the commit was acknowledged.
#[test]
fn replaced_primary_acknowledges_nothing() {
    let mut budget = Budget::default();
    let mut request = sent(Repeat::Once, Target::Primary, &mut budget);
    let wrote = Event::Answered(handle(1), Answer::Wrote(Position::new(1, 10)));
    request.step(Instant::ZERO, &mut budget, wrote);
    let early = Event::Confirmed(Position::new(1, 9));
    assert!(request.step(Instant::ZERO, &mut budget, early).is_empty());
    let end = request.step(Instant::ZERO, &mut budget, Event::Replaced);
    assert_eq!(end, [Action::End(Outcome::Unknown(Cause::Replaced), None)]);
}

/// Symptom: an old repeat books a second time. Events: the ledger forgot its
/// id. Cause: ids without a time can't be told from new ones.
#[test]
fn forgotten_id_is_refused() {
    use request::ledger::{Error, Id, RETENTION};

    let made = Duration::from_secs(1_000_000_000);
    let id = made.as_millis() << 80 | 7 << 76;
    assert!(Id::new(id, made + RETENTION).is_ok());
    let late = made + RETENTION + Duration::from_millis(1);
    assert_eq!(Id::new(id, late), Err(Error::Expired));
    assert_eq!(Id::new(4 << 76, made), Err(Error::Version));
}

/// Symptom: "not run" is told of a request that ran. Events: an idempotent
/// request loses its connection, is retried, and its retry is refused. Cause:
/// only the last attempt was looked at.
#[test]
fn refused_retry_of_a_doubtful_attempt_is_unknown() {
    let mut budget = Budget::default();
    let mut request = sent(Repeat::Idempotent, Target::Any, &mut budget);
    let again = request.step(Instant::ZERO, &mut budget, Event::Lost(handle(1)));
    assert_eq!(again, [Action::Acquire(Target::Any)]);
    let refused = Event::Refused(Cause::Overload, Duration::from_millis(5));
    let end = request.step(Instant::ZERO, &mut budget, refused);
    let unknown = Outcome::Unknown(Cause::ConnectionLost);
    assert_eq!(end, [Action::End(unknown, Some(Duration::from_millis(5)))]);
}

/// Symptom: a caller's cancel kills another statement. Events: the cancel
/// comes when its statement has ended and the next one runs.
#[test]
fn late_cancel_hits_nothing() {
    use request::cancel::{Key, Table};

    let (one, two) = (
        Key {
            process: 1,
            secret: 1,
        },
        Key {
            process: 2,
            secret: 2,
        },
    );
    let mut table = Table::default();
    table.start(one, handle(1));
    table.end(one, handle(1));
    table.start(two, handle(2));
    assert_eq!(table.cancel(one), None);
    assert_eq!(table.cancel(two), Some(handle(2)));
    table.end(two, handle(1));
    assert_eq!(table.cancel(two), Some(handle(2)));
}

/// Symptom: a caller is told of a booking that was not its own. Events: an id
/// is used again for another statement. Cause: only the id was compared.
#[test]
fn repeat_finds_the_first_outcome_of_the_same_statement_only() {
    use request::ledger::{Found, found};

    assert_eq!(
        found(1, Some((1, "INSERT 0 1"))),
        Found::First("INSERT 0 1")
    );
    assert_eq!(found(2, Some((1, "INSERT 0 1"))), Found::Different);
    assert_eq!(found(1, None), Found::Nothing);
}
