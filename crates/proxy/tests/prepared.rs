//! Names of prepared statements.

use bytes::Bytes;
use proxy::{
    connection::prepared::Names,
    message::{Access, Prepared},
};

fn read(text: &str) -> Prepared {
    Prepared {
        access: Access::Read,
        text: Bytes::copy_from_slice(text.as_bytes()),
    }
}

/// A statement runs in place of another one if the upstream, which has lost one name, knows the other
/// one under a name that is given again.
#[test]
fn no_name_is_given_twice() {
    let mut names = Names::default();
    let first = names.add(&read("first"));
    names.clear();
    assert_eq!(names.find(&read("first")), None);
    let second = names.add(&read("second"));
    assert_ne!(first, second);
}

#[test]
fn reads_and_writes_of_one_text_have_names_of_their_own() {
    let mut names = Names::default();
    let write = Prepared {
        access: Access::Write,
        ..read("shape")
    };
    let name = names.add(&read("shape"));
    assert_eq!(names.find(&write), None);
    assert_ne!(names.add(&write), name);
}

/// An instance runs out of memory if the texts of all statements that callers ever prepared stay with
/// each connection.
#[test]
fn few_large_statements_or_many_small_ones_fill_a_connection() {
    let mut names = Names::default();
    assert!(!names.is_full());
    names.add(&read(&"x".repeat(1 << 20)));
    assert!(names.is_full());
    names.clear();
    assert!(!names.is_full());
    let count = (0..).take_while(|at| {
        names.add(&read(&at.to_string()));
        !names.is_full()
    });
    assert!(count.count() < 10_000);
}
