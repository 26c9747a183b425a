//! Tests of cancels that arrive late or in another order than sent.

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

/// Guards against a cancel that ends another caller's statement. The cancel arrives
/// when its own statement has ended and the next one runs on the connection.
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

/// The events of a transaction's two statements and of the cancel of the first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The caller cancels, and the proxy sends the cancel request.
    Cancel,
    /// The server cancels the statement that runs at this time.
    Signal,
    /// The server closes the connection of the cancel request.
    Answer,
    /// The first statement ends.
    End,
    /// The caller sends the second statement.
    Next,
}

const CANCEL: [Step; 3] = [Step::Cancel, Step::Signal, Step::Answer];
const STATEMENTS: [Step; 2] = [Step::End, Step::Next];

/// Returns all interleavings of the two sequences.
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
    /// The next statement is sent although a cancel is pending.
    NoBarrier,
}

/// Runs one order. Returns the statement that was cancelled, and true if the second
/// statement was sent.
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

/// Guards against a cancel of the first statement that ends the second one. The
/// first statement ends while its cancel is in flight, the second is sent, and the
/// cancel arrives: a cancel names a connection, not a statement.
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
        // A cancel that follows the second statement is meant for the second.
        assert!(hit != Some(2) || is_intended(order), "{order:?}");
    }
    let wrong = |order: &&Vec<Step>| {
        simulate(Variant::NoBarrier, order).0 == Some(2) && !is_intended(order)
    };
    assert!(orders.iter().filter(wrong).count() > 0);
}

/// Guards against a cancel that ends a statement of the next caller on the
/// connection, because the connection was reused with a cancel pending.
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

/// Guards against a statement that runs although the caller has cancelled it while
/// it waited for the answer to an earlier cancel.
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

/// Guards against a statement that waits forever, because its connection failed
/// while a cancel was pending.
#[test]
fn broken_connection_forgets_its_cancels() {
    let mut table = Table::default();
    table.start(KEY, statement(1));
    table.cancel(KEY);
    table.lost(Generation(1));
    assert!(table.is_reusable(Generation(1)));
    assert_eq!(table.cancel(KEY), None);
}
