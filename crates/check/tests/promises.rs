//! Each checker is held against a small logic in two variants: it stays silent
//! over the sound one and tells the broken one's fault.

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

/// Runs both variants: the sound one is silent, the broken one's first fault
/// is `expected`.
fn assert_detects(logic: impl Fn(Variant) -> Vec<Event>, expected: impl Fn(&Violation) -> bool) {
    assert_eq!(observe(&logic(Correct)), []);
    let found = observe(&logic(Broken));
    assert!(found.iter().any(expected), "not told: {found:?}");
}

/// Symptom: a rider who has just booked sees the slot as free.
/// Events: the booking is acknowledged at 20; the next read goes to a replica
/// at 10. Cause: the broken router forgets the session's token.
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

/// Symptom: a calendar loses an entry that was there a moment ago. Events: two
/// reads of one session go to two replicas. Cause: the broken router keeps no
/// account of what the session has read.
#[test]
fn reads_go_back() {
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

/// What a session reads by a request from an earlier stay at an instance, not
/// yet acknowledged to anybody, does not bind its reads in a later stay. Found
/// by a hunt: a current read at i6 was answered after the session had been at
/// i2 and had come back to i6 with its token.
#[test]
fn read_of_an_earlier_stay() {
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

/// Symptom: the shelf status shows a box that another reader has taken.
/// Events: one session's write at 20 is acknowledged; another's current read
/// sees 10. Cause: the broken router treats a current read like a session's.
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

/// Symptom: a calendar view is ten seconds old where one was allowed.
/// Cause: the broken router does not look at the replica's age.
#[test]
fn aged_reads() {
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

/// Symptom: two riders in one arena. Events: a primary is cut off with a caller
/// beside it; another is promoted; the old one runs a booking. Cause: the
/// broken logic acknowledges when the primary alone holds the write.
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

/// Symptom: a booking is acknowledged just after a change of primary and is
/// gone. Events: the write ran at 20, before; the new log forks at 15.
/// Cause: the broken logic lets a late acknowledgement through.
#[test]
fn replaced_while_running() {
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

/// Symptom: one caller's insert is rolled back with another's transaction.
/// Cause: the broken pool hands out a connection whose transaction is open.
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

/// Symptom: half a transaction is committed. Cause: the broken pool picks a
/// connection for each statement instead of one for the transaction.
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

/// Symptom: a caller reads the answer of the request before its own.
/// Events: request 1 times out, its answer comes late, when request 2 waits on
/// the same connection. Cause: the broken logic matches answers by their order.
#[test]
fn crossed_answers() {
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

/// Symptom: a caller gets rows that it never asked for. Cause: the broken
/// logic answers whoever holds the caller's former place.
#[test]
fn strangers_answer() {
    let logic = |variant| {
        let session = match variant {
            Correct => 7,
            Broken => 8,
        };
        vec![asked(1, 1, 7, Freshness::Session), done(1, session)]
    };
    assert_detects(logic, |v| matches!(v, Violation::WrongCaller { .. }));
}

/// Symptom: a calendar lacks its last rows. Events: the connection breaks amid
/// the answer. Cause: the broken logic takes the end of the connection for the
/// end of the answer.
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

/// Symptom: a caller gets two answers to one request, and takes the second for
/// the answer to its next one. Cause: the broken logic answers at the deadline
/// and forgets that it did.
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

/// Symptom: a payment refused as not run is on the account. Events: the bytes
/// left, the connection broke. Cause: the broken logic says "not run" although
/// the bytes had left.
#[test]
fn false_not_run() {
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

/// Symptom: the stacks staff get an order twice. Events: the answer is lost,
/// the request is sent again. Cause: the broken logic has no ledger.
#[test]
fn ran_twice() {
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

/// A first run that the next term's log leaves out has no effect, so that the
/// repeat is no second one.
#[test]
fn ran_again_after_left_out() {
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

/// Symptom: an upstream can't be switched off because work keeps coming.
/// Cause: the broken router never reads the platform's list again.
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

/// A transaction that began before the upstream was leaving may go on there.
#[test]
fn leaving_amid_transaction() {
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

/// Symptom: a deployment at noon breaks bookings. Cause: the broken daemon
/// closes its callers' connections at once.
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

/// Symptom: as above, but the daemon is polite about it.
#[test]
fn planned_stop_with_refusal() {
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

/// Symptom: a limit that was raised falls back for a while. Events: a store's
/// answer of revision 1 arrives after one of revision 2. Cause: the broken
/// instance applies whatever comes.
#[test]
fn configuration_reverts() {
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

/// Symptom: an instance serves a catalogue that lost its race. Cause: the
/// broken instance applies a proposal before the store accepted it.
#[test]
fn configuration_never_accepted() {
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

/// Symptom: a booking that was confirmed is gone in the morning. Events: the
/// primary fails before a replica has the write. Cause: the broken logic
/// acknowledges before a majority holds it.
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

/// What is kept is not lost, also where the repeat only found it.
#[test]
fn acknowledged_by_repeat() {
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

/// A read about an operation acknowledges nothing: a hunt had a caller look for
/// a write whose outcome was unknown, and be told rightly that it is not there.
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

/// Symptom: an upstream refuses a new primary's connections. Events: the holder
/// of its connections changes. Cause: the broken successor opens its own before
/// the former holder's are closed.
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
