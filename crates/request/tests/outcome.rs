//! Tests of the outcomes that a request reports after faults.

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

/// Guards against a statement that runs twice: the answer to its commit is lost with
/// the connection, and the statement is sent again.
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

/// Guards against rows of another statement: the answer to a statement that was
/// given up earlier arrives on the same connection.
#[test]
fn answer_to_another_statement_is_ignored() {
    let mut budget = Budget::default();
    let mut request = sent(Repeat::Once, Target::Any, &mut budget);
    let crossed = Event::Answered(handle(2), Answer::Read);
    assert!(request.step(Instant::ZERO, &mut budget, crossed).is_empty());
}

/// Guards against a write that fails although the primary is available, because a
/// replica refused it as read-only.
#[test]
fn read_that_writes_goes_to_the_primary() {
    let mut budget = Budget::default();
    let mut request = sent(Repeat::Once, Target::Any, &mut budget);
    let refused = Event::Answered(handle(1), Answer::Rejected(*b"25006"));
    let actions = request.step(Instant::ZERO, &mut budget, refused);
    assert_eq!(actions, [Action::Acquire(Target::Primary)]);
}

/// Guards against a lost write that was acknowledged: the primary is replaced after
/// the commit and before a majority has the position.
#[test]
fn write_is_unknown_when_the_primary_is_replaced() {
    let mut budget = Budget::default();
    let mut request = sent(Repeat::Once, Target::Primary, &mut budget);
    let wrote = Event::Answered(handle(1), Answer::Wrote(Position::new(1, 10)));
    request.step(Instant::ZERO, &mut budget, wrote);
    let early = Event::Confirmed(Position::new(1, 9));
    assert!(request.step(Instant::ZERO, &mut budget, early).is_empty());
    let end = request.step(Instant::ZERO, &mut budget, Event::Replaced);
    assert_eq!(end, [Action::End(Outcome::Unknown(Cause::Replaced), None)]);
}

/// Guards against a statement that runs twice, because its id was deleted from the
/// ledger or has no time to tell that by.
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

/// Guards against `NotRun` for a request that may have run: an idempotent request
/// loses its connection, and its retry is refused.
#[test]
fn refused_retry_after_a_lost_attempt_is_unknown() {
    let mut budget = Budget::default();
    let mut request = sent(Repeat::Idempotent, Target::Any, &mut budget);
    let again = request.step(Instant::ZERO, &mut budget, Event::Lost(handle(1)));
    assert_eq!(again, [Action::Acquire(Target::Any)]);
    let refused = Event::Refused(Cause::Overload, Duration::from_millis(5));
    let end = request.step(Instant::ZERO, &mut budget, refused);
    let unknown = Outcome::Unknown(Cause::ConnectionLost);
    assert_eq!(end, [Action::End(unknown, Some(Duration::from_millis(5)))]);
}

/// Guards against a 57014 of the server's own statement time-out being reported as
/// the proxy's deadline, upon which the caller sends the statement again at once.
#[test]
fn statement_timeout_is_the_servers_own_error() {
    let mut budget = Budget::default();
    let mut request = sent(Repeat::Once, Target::Primary, &mut budget);
    let cancelled = Event::Answered(handle(1), Answer::Rejected(*b"57014"));
    let end = request.step(Instant::ZERO, &mut budget, cancelled);
    assert_eq!(end, [Action::End(Outcome::Done, None)]);
}

/// Guards against a caller that waits for the answer to a cancel beyond its deadline
/// or gets two outcomes, when the deadline passes while a statement runs.
#[test]
fn deadline_ends_a_running_request_at_once() {
    let mut budget = Budget::default();
    let mut request = sent(Repeat::Once, Target::Primary, &mut budget);
    let now = Instant::from_millis(100);
    let end = request.step(now, &mut budget, Event::Deadline);
    let unknown = Outcome::Unknown(Cause::Deadline);
    assert_eq!(end, [Action::Withdraw, Action::End(unknown, None)]);
    let cancelled = Event::Answered(handle(1), Answer::Rejected(*b"57014"));
    assert_eq!(request.step(now, &mut budget, cancelled), []);
}
