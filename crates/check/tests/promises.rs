//! Runs each checker on histories of a correct and a broken variant of some
//! logic: the checker must report nothing for the correct one and a violation
//! for the broken one.

use std::time::Duration;

use check::{
    Answer, Connection, Effect, Event, Holder, Operation, Request, Session, Suite, Transaction,
    Violation,
};
use clock::Instant;
use model::{Cause, Freshness, Lsn, Outcome, Position, Repeat, Term, name};

#[derive(Debug, Clone, Copy, PartialEq)]
enum Variant {
    Correct,
    Broken,
}

use Variant::{Broken, Correct};

fn instance(text: &str) -> name::Instance {
    name::Instance::new(text).unwrap()
}

fn upstream(text: &str) -> name::Upstream {
    name::Upstream::new(text).unwrap()
}

fn database() -> name::Database {
    name::Database::new("booking").unwrap()
}

fn asked(request: u64, operation: u64, session: u64, freshness: Freshness) -> Event {
    Event::Asked {
        request: Request(request),
        operation: Operation(operation),
        session: Session(session),
        instance: instance("a1"),
        database: database(),
        freshness,
        repeat: Repeat::Once,
    }
}

fn ran(request: u64, effect: Effect) -> Event {
    ran_in(request, 1, None, effect)
}

fn ran_in(request: u64, connection: u64, transaction: Option<u64>, effect: Effect) -> Event {
    Event::Ran {
        request: Request(request),
        connection: Connection(connection),
        transaction: transaction.map(Transaction),
        effect,
    }
}

fn write(term: u64, lsn: u64) -> Effect {
    Effect::Write {
        at: Position::new(term, lsn),
    }
}

fn read(term: u64, lsn: u64, age: Duration) -> Effect {
    Effect::Read {
        seen: Position::new(term, lsn),
        age,
    }
}

fn done(request: u64, session: u64) -> Event {
    answered(request, session, Answer::done(Request(request)))
}

fn answered(request: u64, session: u64, answer: Answer) -> Event {
    Event::Answered {
        request: Request(request),
        session: Session(session),
        answer,
    }
}

fn observe(history: &[Event]) -> Vec<Violation> {
    let mut suite = Suite::default();
    for event in history {
        suite.observe(Instant::ZERO, event);
    }
    suite.violations().to_vec()
}

/// Checks that the correct variant has no violations and that the broken one
/// has the `expected` violation.
fn assert_detects(logic: impl Fn(Variant) -> Vec<Event>, expected: impl Fn(&Violation) -> bool) {
    assert_eq!(observe(&logic(Correct)), []);
    let found = observe(&logic(Broken));
    assert!(found.iter().any(expected), "not detected: {found:?}");
}

/// Guards against a session not seeing its own write: a write is acknowledged
/// at position 20, the broken router ignores the session's token and sends the
/// next read to a replica at position 10.
#[test]
fn read_your_writes() {
    let replicas = [Position::new(1, 10), Position::new(1, 30)];
    let logic = |variant| {
        let token = match variant {
            Correct => Position::new(1, 20),
            Broken => Position::default(),
        };
        let chosen = replicas.iter().find(|at| at.covers(token)).unwrap();
        let seen = read(1, chosen.lsn.0, Duration::ZERO);
        vec![
            asked(1, 1, 7, Freshness::Session),
            ran(1, write(1, 20)),
            done(1, 7),
            asked(2, 2, 7, Freshness::Session),
            ran(2, seen),
            done(2, 7),
        ]
    };
    let detected = |v: &Violation| matches!(v, Violation::OwnWriteUnseen { .. });
    assert_detects(logic, detected);
}

/// Guards against reads of one session going back in time: the broken router
/// does not track the session's reads and sends the second read to a replica
/// that is further behind.
#[test]
fn monotonic_reads() {
    let logic = |variant| {
        let second = match variant {
            Correct => read(1, 30, Duration::ZERO),
            Broken => read(1, 10, Duration::ZERO),
        };
        vec![
            asked(1, 1, 7, Freshness::Session),
            ran(1, read(1, 30, Duration::ZERO)),
            done(1, 7),
            asked(2, 2, 7, Freshness::Session),
            ran(2, second),
            done(2, 7),
        ]
    };
    let detected = |v: &Violation| matches!(v, Violation::OwnWriteUnseen { .. });
    assert_detects(logic, detected);
}

/// Guards against a false violation: a request from an earlier visit to an
/// instance does not constrain the reads of a later visit. A current read at i6
/// was answered after the session had been at i2 and had returned to i6.
#[test]
fn read_of_an_earlier_visit() {
    let at = |instance: &str, request| match asked(request, request, 7, Freshness::Session) {
        Event::Asked {
            request,
            operation,
            session,
            database,
            freshness,
            repeat,
            ..
        } => Event::Asked {
            request,
            operation,
            session,
            instance: name::Instance::new(instance).unwrap(),
            database,
            freshness,
            repeat,
        },
        other => other,
    };
    let history = [
        at("i6", 1),
        at("i2", 2),
        at("i6", 3),
        ran(1, read(1, 30, Duration::ZERO)),
        done(1, 7),
        at("i6", 4),
        ran(4, read(1, 20, Duration::ZERO)),
        done(4, 7),
    ];
    assert_eq!(observe(&history), []);
}

/// Guards against a current read missing another session's write: the write is
/// acknowledged at position 20, and the broken router, which treats the read as
/// a read-your-writes one, returns the state at position 10.
#[test]
fn current_reads() {
    let logic = |variant| {
        let lsn = match variant {
            Correct => 20,
            Broken => 10,
        };
        vec![
            asked(1, 1, 7, Freshness::Current),
            ran(1, write(1, 20)),
            done(1, 7),
            asked(2, 2, 8, Freshness::Current),
            ran(2, read(1, lsn, Duration::ZERO)),
            done(2, 8),
        ]
    };
    let detected = |v: &Violation| matches!(v, Violation::NotCurrent { .. });
    assert_detects(logic, detected);
}

/// Guards against reads older than their class allows: the broken router ignores
/// the replica's age and returns a state of 10 s where 1 s is allowed.
#[test]
fn reads_of_limited_age() {
    let limit = Duration::from_secs(1);
    let ages = [Duration::from_secs(10), Duration::from_millis(300)];
    let logic = |variant| {
        let fits = |age: &&Duration| variant == Broken || **age <= limit;
        let age = *ages.iter().find(fits).unwrap();
        vec![
            asked(1, 1, 7, Freshness::Age(limit)),
            ran(1, read(1, 10, age)),
            done(1, 7),
        ]
    };
    assert_detects(logic, |v| matches!(v, Violation::TooOld { .. }));
}

/// Guards against double bookings after a partition: a primary is partitioned
/// together with a caller, another one is promoted, and the broken logic
/// acknowledges a write that only the old primary holds.
#[test]
fn replaced_primary() {
    let logic = |variant| {
        let confirmed = 1;
        let needed = match variant {
            Correct => 2,
            Broken => 1,
        };
        let outcome = if confirmed >= needed {
            Answer::done(Request(1))
        } else {
            Answer::without_rows(Outcome::Unknown(Cause::Replaced))
        };
        vec![
            asked(1, 1, 7, Freshness::Current),
            Event::Promoted {
                database: database(),
                term: Term(2),
                fork: Lsn(15),
            },
            ran(1, write(1, 12)),
            answered(1, 7, outcome),
        ]
    };
    let detected = |v: &Violation| matches!(v, Violation::AcknowledgedByReplaced { .. });
    assert_detects(logic, detected);
}

/// Guards against a late acknowledgement of a lost write: the write is executed
/// at position 20, the new primary's log forks at 15, and the broken logic still
/// acknowledges the write.
#[test]
fn primary_replaced_during_a_write() {
    let logic = |variant| {
        let outcome = match variant {
            Correct => Answer::without_rows(Outcome::Unknown(Cause::Replaced)),
            Broken => Answer::done(Request(1)),
        };
        vec![
            asked(1, 1, 7, Freshness::Current),
            ran(1, write(1, 20)),
            Event::Promoted {
                database: database(),
                term: Term(2),
                fork: Lsn(15),
            },
            answered(1, 7, outcome),
        ]
    };
    let detected = |v: &Violation| matches!(v, Violation::AcknowledgedByReplaced { .. });
    assert_detects(logic, detected);
}

/// Guards against one caller's write being rolled back with another caller's
/// transaction: the broken pool hands out a connection with an open transaction.
#[test]
fn mixed_transactions() {
    let logic = |variant| {
        let free = match variant {
            Correct => 2,
            Broken => 1,
        };
        vec![
            ran_in(1, 1, Some(1), write(1, 10)),
            ran_in(2, free, Some(2), write(1, 20)),
            Event::Ended {
                transaction: Transaction(1),
            },
            ran_in(3, 1, None, write(1, 30)),
        ]
    };
    assert_detects(logic, |v| matches!(v, Violation::Mixed { .. }));
}

/// Guards against committing half a transaction: the broken pool chooses a
/// connection per statement instead of per transaction.
#[test]
fn split_transaction() {
    let logic = |variant| {
        let second = match variant {
            Correct => 1,
            Broken => 2,
        };
        vec![
            ran_in(1, 1, Some(1), write(1, 10)),
            ran_in(2, second, Some(1), write(1, 20)),
        ]
    };
    assert_detects(logic, |v| matches!(v, Violation::Split { .. }));
}

/// Guards against delivering the answer of an earlier request: request 1 times
/// out, its answer arrives while request 2 waits on the same connection, and the
/// broken logic matches answers to requests by order.
#[test]
fn answer_of_another_request() {
    let logic = |variant| {
        let late = Answer::done(Request(1));
        let own = Answer::done(Request(2));
        let delivered = match variant {
            Correct => own,
            Broken => late,
        };
        vec![
            asked(1, 1, 7, Freshness::Session),
            asked(2, 2, 8, Freshness::Session),
            answered(
                1,
                7,
                Answer::without_rows(Outcome::Unknown(Cause::Deadline)),
            ),
            answered(2, 8, delivered),
        ]
    };
    assert_detects(logic, |v| matches!(v, Violation::WrongAnswer { .. }));
}

/// Guards against delivering an answer to another session: the broken logic
/// answers the session that has reused the caller's former slot.
#[test]
fn answer_to_another_session() {
    let logic = |variant| {
        let session = match variant {
            Correct => 7,
            Broken => 8,
        };
        vec![asked(1, 1, 7, Freshness::Session), done(1, session)]
    };
    assert_detects(logic, |v| matches!(v, Violation::WrongCaller { .. }));
}

/// Guards against truncated answers: the connection breaks during the answer,
/// and the broken logic treats the end of the connection as the end of the
/// answer.
#[test]
fn partial_answer() {
    let logic = |variant| {
        let answer = match variant {
            Correct => Answer::without_rows(Outcome::Unknown(Cause::ConnectionLost)),
            Broken => Answer {
                rows: 3,
                total: 9,
                ..Answer::done(Request(1))
            },
        };
        vec![asked(1, 1, 7, Freshness::Session), answered(1, 7, answer)]
    };
    assert_detects(logic, |v| matches!(v, Violation::Partial { .. }));
}

/// Guards against two answers to one request, of which the caller attributes
/// the second to its next request: the broken logic answers at the deadline and
/// again when the upstream's answer arrives.
#[test]
fn two_answers() {
    let logic = |variant| {
        let mut history = vec![
            asked(1, 1, 7, Freshness::Session),
            answered(
                1,
                7,
                Answer::without_rows(Outcome::Unknown(Cause::Deadline)),
            ),
        ];
        if variant == Broken {
            history.push(done(1, 7));
        }
        history
    };
    assert_detects(logic, |v| matches!(v, Violation::AnsweredTwice { .. }));
}

/// Guards against reporting an executed request as not run: the request had been
/// sent when the connection broke, and the broken logic answers "not run".
#[test]
fn executed_request_answered_as_not_run() {
    let logic = |variant| {
        let outcome = match variant {
            Correct => Outcome::Unknown(Cause::ConnectionLost),
            Broken => Outcome::NotRun(Cause::ConnectionLost),
        };
        vec![
            asked(1, 1, 7, Freshness::Current),
            answered(1, 7, Answer::without_rows(outcome)),
            ran(1, write(1, 10)),
        ]
    };
    assert_detects(logic, |v| matches!(v, Violation::RanAfterAll { .. }));
}

/// Guards against executing an operation twice: the answer is lost, the request
/// is retried, and the broken logic keeps no record of executed operations.
#[test]
fn operation_executed_twice() {
    let logic = |variant| {
        let second = match variant {
            Correct => Effect::AlreadyRun {
                at: Position::new(1, 10),
            },
            Broken => write(1, 20),
        };
        vec![
            asked(1, 5, 7, Freshness::Current),
            ran(1, write(1, 10)),
            answered(
                1,
                7,
                Answer::without_rows(Outcome::Unknown(Cause::ConnectionLost)),
            ),
            asked(2, 5, 7, Freshness::Current),
            ran(2, second),
            done(2, 7),
        ]
    };
    assert_detects(logic, |v| matches!(v, Violation::Twice { .. }));
}

/// Guards against a false violation: a first execution that is not part of the
/// next term's log has no effect, so that the retry is not a second one.
#[test]
fn retry_of_a_discarded_write() {
    let history = [
        asked(1, 5, 7, Freshness::Current),
        ran(1, write(1, 20)),
        answered(
            1,
            7,
            Answer::without_rows(Outcome::Unknown(Cause::ConnectionLost)),
        ),
        Event::Promoted {
            database: database(),
            term: Term(2),
            fork: Lsn(10),
        },
        asked(2, 5, 7, Freshness::Current),
        ran(2, write(2, 20)),
        done(2, 7),
    ];
    assert_eq!(observe(&history), []);
}

/// Guards against sending work to a leaving upstream, which then can't be
/// switched off: the broken router never refreshes the platform's list.
#[test]
fn leaving_upstream() {
    let run = |variant| {
        let mut suite = Suite::default();
        let leaving = upstream("u1");
        let event = Event::Leaving {
            upstream: leaving.clone(),
        };
        suite.observe(Instant::ZERO, &event);
        for second in 1..=9 {
            let chosen = match variant {
                Correct if second > 2 => upstream("u2"),
                _ => leaving.clone(),
            };
            let event = Event::Sent {
                request: Request(second),
                upstream: chosen,
                transaction: None,
            };
            suite.observe(Instant::from_millis(1_000 * second), &event);
        }
        suite.violations().len()
    };
    assert_eq!(run(Correct), 0);
    assert_eq!(run(Broken), 6);
}

/// Guards against a false violation: a transaction that began before the upstream
/// was leaving may continue there.
#[test]
fn leaving_during_a_transaction() {
    let mut suite = Suite::default();
    let sent = |request| Event::Sent {
        request: Request(request),
        upstream: upstream("u1"),
        transaction: Some(Transaction(1)),
    };
    suite.observe(Instant::ZERO, &sent(1));
    let upstream = upstream("u1");
    suite.observe(Instant::ZERO, &Event::Leaving { upstream });
    suite.observe(Instant::from_millis(10_000), &sent(2));
    assert_eq!(suite.violations(), []);
}

/// Guards against a planned stop aborting requests: the broken daemon closes
/// its callers' connections immediately.
#[test]
fn planned_stop() {
    let logic = |variant| {
        let instance = instance("a1");
        let stopping = Event::Stopping {
            instance: instance.clone(),
        };
        let stopped = Event::Stopped { instance };
        let begin = vec![asked(1, 1, 7, Freshness::Session), stopping];
        let end = match variant {
            Correct => vec![done(1, 7), stopped],
            Broken => vec![stopped],
        };
        [begin, end].concat()
    };
    assert_detects(logic, |v| matches!(v, Violation::Cut { cause: None, .. }));
}

/// Guards against a planned stop refusing a request that arrived before the
/// stop began.
#[test]
fn planned_stop_refuses_a_request() {
    let logic = |variant| {
        let instance = instance("a1");
        let stopping = Event::Stopping { instance };
        let refusal = Answer::without_rows(Outcome::NotRun(Cause::Stopping));
        let ask = asked(1, 1, 7, Freshness::Session);
        let begin = match variant {
            Correct => vec![stopping, ask],
            Broken => vec![ask, stopping],
        };
        [begin, vec![answered(1, 7, refusal)]].concat()
    };
    assert_detects(logic, |v| {
        matches!(v, Violation::Cut { cause: Some(_), .. })
    });
}

/// Guards against an instance going back to an older revision: the store's
/// answer with revision 1 arrives after the one with revision 2, and the broken
/// instance applies revisions in the order of arrival.
#[test]
fn revision_goes_back() {
    let logic = |variant| {
        let mut force = 0;
        let mut history = vec![
            Event::Accepted { revision: 1 },
            Event::Accepted { revision: 2 },
        ];
        for revision in [2, 1] {
            if variant == Broken || revision > force {
                force = revision;
                let instance = instance("a1");
                history.push(Event::Applied { instance, revision });
            }
        }
        history
    };
    assert_detects(logic, |v| matches!(v, Violation::Reverted { .. }));
}

/// Guards against applying a catalogue that was never committed: the broken
/// instance applies a proposal before the store has accepted it.
#[test]
fn revision_never_accepted() {
    let logic = |variant| {
        let instance = instance("a1");
        let applied = Event::Applied {
            instance,
            revision: 1,
        };
        match variant {
            Correct => vec![Event::Accepted { revision: 1 }, applied],
            Broken => vec![applied],
        }
    };
    assert_detects(logic, |v| matches!(v, Violation::NeverAccepted { .. }));
}

/// Guards against losing an acknowledged write: the primary fails before any
/// replica has the write, and the broken logic acknowledges before a majority
/// holds the write.
#[test]
fn acknowledged_write_lost() {
    let logic = |variant| {
        let answer = match variant {
            Correct => Answer::without_rows(Outcome::Unknown(Cause::ConnectionLost)),
            Broken => Answer::done(Request(1)),
        };
        vec![
            asked(1, 1, 7, Freshness::Current),
            ran(1, write(1, 20)),
            answered(1, 7, answer),
            Event::Promoted {
                database: database(),
                term: Term(2),
                fork: Lsn(10),
            },
            Event::LogComplete,
        ]
    };
    assert_detects(logic, |v| matches!(v, Violation::Lost { .. }));
}

/// A persisted write is not lost, also if only a retry, which found the
/// operation already executed, was acknowledged.
#[test]
fn write_acknowledged_by_a_retry() {
    let history = |kept: &[Event]| {
        let begin = [
            asked(1, 5, 7, Freshness::Current),
            ran(1, write(1, 20)),
            answered(
                1,
                7,
                Answer::without_rows(Outcome::Unknown(Cause::Deadline)),
            ),
            asked(2, 5, 7, Freshness::Current),
            ran(
                2,
                Effect::AlreadyRun {
                    at: Position::new(1, 20),
                },
            ),
            done(2, 7),
        ];
        [&begin, kept, &[Event::LogComplete]].concat()
    };
    let operation = Operation(5);
    assert_eq!(observe(&history(&[Event::Persisted { operation }])), []);
    let found = observe(&history(&[]));
    assert!(matches!(found[..], [Violation::Lost { .. }]), "{found:?}");
}

/// Guards against a false violation: a caller whose write has an unknown outcome
/// reads and rightly does not find the write. The read acknowledges nothing.
#[test]
fn read_acknowledges_nothing() {
    let history = [
        asked(1, 5, 7, Freshness::Session),
        ran(1, write(1, 20)),
        answered(
            1,
            7,
            Answer::without_rows(Outcome::Unknown(Cause::Deadline)),
        ),
        asked(2, 5, 7, Freshness::Session),
        ran(2, read(2, 30, Duration::ZERO)),
        done(2, 7),
        Event::LogComplete,
    ];
    assert_eq!(observe(&history), []);
}

/// Guards against exceeding an upstream's connection limit when the holder of
/// the connections changes: the broken successor opens its connections before
/// those of the former holder are closed.
#[test]
fn connection_limit() {
    let logic = |variant| {
        let open = |connection| Event::Opened {
            connection: Connection(connection),
            upstream: upstream("u1"),
            entry: name::Entry::new("calendar").ok(),
        };
        let close = |connection| Event::Closed {
            connection: Connection(connection),
        };
        let limit = Event::Limited {
            holder: Holder::Upstream(upstream("u1")),
            connections: 2,
        };
        let begin = vec![limit, open(1), open(2)];
        let takeover = match variant {
            Correct => vec![close(1), close(2), open(3), open(4)],
            Broken => vec![open(3), close(1), close(2), open(4)],
        };
        [begin, takeover].concat()
    };
    assert_detects(logic, |v| matches!(v, Violation::LimitExceeded { .. }));
}
