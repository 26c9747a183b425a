//! Stories of cancels that come late.

use pool::{Handle, conn::Generation};
use request::cancel::{Gate, Key, Table};

const KEY: Key = Key {
    process: 1,
    secret: 1,
};
const OTHER: Key = Key {
    process: 2,
    secret: 2,
};

fn statement(sequence: u64) -> Handle {
    Handle {
        generation: Generation(1),
        sequence,
    }
}

/// Symptom: a caller's cancel kills another statement. Events: the cancel
/// comes when its statement has ended and the next one runs.
#[test]
fn late_cancel_hits_nothing() {
    let mut table = Table::default();
    table.start(KEY, statement(1));
    table.end(KEY, statement(1));
    table.start(OTHER, statement(2));
    assert_eq!(table.cancel(KEY), None);
    assert_eq!(table.cancel(OTHER), Some(statement(2)));
    table.end(OTHER, statement(1));
    assert_eq!(table.cancel(OTHER), Some(statement(2)));
}

/// What the transaction's two statements and the cancel of the first do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The caller cancels; the proxy sends the cancel.
    Cancel,
    /// The server passes it on to whatever runs.
    Signal,
    /// The server closes the cancel's connection.
    Answer,
    /// The first statement ends.
    End,
    /// The caller sends the second.
    Next,
}

const CANCEL: [Step; 3] = [Step::Cancel, Step::Signal, Step::Answer];
const STATEMENTS: [Step; 2] = [Step::End, Step::Next];

/// All orders of the two chains.
fn orders(cancel: &[Step], statements: &[Step]) -> Vec<Vec<Step>> {
    if cancel.is_empty() || statements.is_empty() {
        return vec![[cancel, statements].concat()];
    }
    let mut all = Vec::new();
    for mut rest in orders(&cancel[1..], statements) {
        rest.insert(0, cancel[0]);
        all.push(rest);
    }
    for mut rest in orders(cancel, &statements[1..]) {
        rest.insert(0, statements[0]);
        all.push(rest);
    }
    all
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    Real,
    /// The next statement is sent whatever is under way.
    NoBarrier,
}

/// Runs one order: the statement that the cancel hit, and whether the second
/// was sent in the end.
fn simulate(variant: Variant, order: &[Step]) -> (Option<u64>, bool) {
    let mut table = Table::default();
    table.start(KEY, statement(1));
    let mut running = Some(1);
    let mut target = None;
    let mut hit = None;
    let mut sent = false;
    for step in order {
        match step {
            Step::Cancel => target = table.cancel(KEY),
            Step::Signal if target.is_some() => hit = running,
            Step::Answer if target.is_some() => {
                let next = table.answered(Generation(1));
                sent |= next == Some((KEY, statement(2)));
                running = next.map(|(_, it)| it.sequence).or(running);
            }
            Step::Signal | Step::Answer => {}
            Step::End => {
                table.end(KEY, statement(1));
                running = None;
            }
            Step::Next => {
                let gate = table.start(KEY, statement(2));
                if gate == Gate::Open || variant == Variant::NoBarrier {
                    running = Some(2);
                    sent = true;
                }
            }
        }
    }
    (hit, sent)
}

/// Symptom: the second statement of a transaction fails as cancelled, though
/// the caller cancelled the first. Events: the first ends by itself while its
/// cancel is on the way, the second is sent, the cancel arrives. Cause: a
/// cancel names a connection, not a statement.
#[test]
fn cancel_never_hits_the_next_statement_of_its_transaction() {
    let orders = orders(&CANCEL, &STATEMENTS);
    assert_eq!(orders.len(), 10);
    let is_intended = |order: &[Step]| {
        let at = |step| order.iter().position(|it| *it == step);
        at(Step::Next) < at(Step::Cancel)
    };
    for order in &orders {
        let (hit, sent) = simulate(Variant::Real, order);
        assert!(sent, "{order:?}: the second was never sent");
        // After the second was sent, the caller's cancel means that one.
        assert!(hit != Some(2) || is_intended(order), "{order:?}");
    }
    let wrong = |order: &&Vec<Step>| {
        simulate(Variant::NoBarrier, order).0 == Some(2) && !is_intended(order)
    };
    assert!(orders.iter().filter(wrong).count() > 0);
}

/// Symptom: the cancel hits the caller that gets the connection next. Cause:
/// the connection went back to the pool with a cancel under way.
#[test]
fn connection_is_not_reusable_until_each_cancel_is_answered() {
    let mut table = Table::default();
    table.start(KEY, statement(1));
    table.cancel(KEY);
    table.cancel(KEY);
    table.end(KEY, statement(1));
    assert!(!table.is_reusable(Generation(1)));
    table.answered(Generation(1));
    assert!(!table.is_reusable(Generation(1)));
    table.answered(Generation(1));
    assert!(table.is_reusable(Generation(1)));
}

/// Symptom: a caller cancels and its statement runs all the same. Events: the
/// statement waits for the answer to an earlier cancel.
#[test]
fn unsent_statement_can_be_cancelled() {
    let mut table = Table::default();
    table.start(KEY, statement(1));
    table.cancel(KEY);
    table.end(KEY, statement(1));
    assert_eq!(table.start(KEY, statement(2)), Gate::Closed);
    assert_eq!(table.cancel(KEY), None);
    assert_eq!(table.cancel_unsent(KEY), Some(statement(2)));
    assert_eq!(table.answered(Generation(1)), None);
}

/// Symptom: a statement waits for ever. Events: the connection breaks while a
/// cancel for it is under way.
#[test]
fn broken_connection_forgets_its_cancels() {
    let mut table = Table::default();
    table.start(KEY, statement(1));
    table.cancel(KEY);
    table.lost(Generation(1));
    assert!(table.is_reusable(Generation(1)));
    assert_eq!(table.cancel(KEY), None);
}
