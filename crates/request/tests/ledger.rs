//! Tests of request ids against a model of the ledger's unique key.

use std::{collections::BTreeMap, time::Duration};

use proptest::prelude::*;
use request::{
    Once,
    ledger::{self, Digest, Error, Id},
    once::{Action, End, Event, Scope},
};

const NOW: Duration = Duration::from_secs(1_000_000_000);

fn id(random: u128) -> Id {
    Id::new(NOW.as_millis() << 80 | 7 << 76 | random, NOW).unwrap()
}

/// A database: the ledger's rows and the effects of statements.
#[derive(Debug, Default)]
struct Database {
    rows: BTreeMap<String, String>,
    /// Ids inserted by open transactions, with the instance of the transaction.
    open: BTreeMap<String, usize>,
    runs: BTreeMap<u64, u32>,
}

/// One instance that runs a statement with an id.
#[derive(Debug)]
struct Instance {
    number: usize,
    once: Once,
    digest: u64,
    /// The next action of the instance.
    next: Option<Action>,
    own_row: Option<(String, String)>,
    ran: u32,
    end: Option<End>,
}

impl Instance {
    fn new(number: usize, scope: Scope, id: Id, digest: u64) -> Self {
        let mut once = Once::new(scope, id, Digest(digest));
        Self {
            number,
            next: once.step(Event::Start),
            once,
            digest,
            own_row: None,
            ran: 0,
            end: None,
        }
    }

    /// Sends the next statement; does nothing while the insert waits at the key.
    fn send(&mut self, database: &mut Database) {
        let Some(action) = self.next.clone() else {
            return;
        };
        let event = match &action {
            Action::Begin(sql) | Action::Insert(sql) => {
                let (id, tag) = inserted(sql);
                if database.open.get(&id).is_some_and(|it| *it != self.number) {
                    return;
                }
                match (database.rows.contains_key(&id), sql.contains("DO NOTHING")) {
                    (true, true) => Event::Inserted(0),
                    (true, false) => Event::Repeated,
                    (false, _) => {
                        database.open.insert(id.clone(), self.number);
                        self.own_row = Some((id, tag));
                        Event::Inserted(1)
                    }
                }
            }
            Action::Run => {
                self.ran += 1;
                Event::Ran("INSERT 0 1".to_owned())
            }
            Action::Commit(sql) | Action::Record(sql) => {
                self.own_row = Some(recorded(sql));
                self.close(database, Close::Commit);
                Event::Recorded
            }
            Action::Rollback => {
                self.close(database, Close::Rollback);
                Event::RolledBack
            }
            Action::Find(sql) => {
                let id = quoted(sql).remove(0);
                Event::Found(database.rows.get(&id).cloned())
            }
            Action::End(end) => {
                self.end = Some(end.clone());
                self.next = None;
                return;
            }
        };
        self.next = self.once.step(event);
    }

    fn close(&mut self, database: &mut Database, kind: Close) {
        let Some((id, tag)) = self.own_row.take() else {
            return;
        };
        database.open.remove(&id);
        if kind == Close::Commit {
            database.rows.insert(id, tag);
            *database.runs.entry(self.digest).or_insert(0) += self.ran;
        }
        self.ran = 0;
    }

    /// Crashes the instance, so that the server rolls its transaction back.
    fn crash(&mut self, database: &mut Database) {
        self.close(database, Close::Rollback);
        self.next = None;
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Close {
    Commit,
    Rollback,
}

fn quoted(sql: &str) -> Vec<String> {
    let parts = sql.split('\'').skip(1).step_by(2);
    parts.map(str::to_owned).collect()
}

fn inserted(sql: &str) -> (String, String) {
    assert!(sql.starts_with("INSERT INTO dandelionlink_request (id, tag) VALUES ("));
    let mut parts = quoted(sql);
    (parts.remove(0), parts.remove(0))
}

fn recorded(sql: &str) -> (String, String) {
    assert!(sql.starts_with("UPDATE dandelionlink_request SET tag = "));
    let mut parts = quoted(sql);
    (parts.remove(1), parts.remove(0))
}

fn finish(instance: &mut Instance, database: &mut Database) -> End {
    for _ in 0..10 {
        instance.send(database);
    }
    instance.end.clone().expect("it ended")
}

fn ran() -> End {
    End::Ran("INSERT 0 1".to_owned())
}

fn repeat() -> End {
    End::Repeat("INSERT 0 1".to_owned())
}

/// Guards against a statement that runs twice. Two instances get the same id, the
/// second while the transaction of the first is open, so a query finds no row yet.
#[test]
fn second_of_two_at_once_waits_and_finds_the_first() {
    let mut database = Database::default();
    let mut one = Instance::new(1, Scope::Alone, id(1), 9);
    let mut two = Instance::new(2, Scope::Alone, id(1), 9);
    one.send(&mut database);
    two.send(&mut database);
    two.send(&mut database);
    assert_eq!(two.ran, 0);
    assert_eq!(finish(&mut one, &mut database), ran());
    assert_eq!(finish(&mut two, &mut database), repeat());
    assert_eq!(database.runs[&9], 1);
}

/// Guards against a lost write: the first instance crashes in its transaction, the
/// caller repeats, and the id is taken for used although its statement was undone.
#[test]
fn repeat_runs_when_the_first_was_rolled_back() {
    let mut database = Database::default();
    let mut one = Instance::new(1, Scope::Alone, id(1), 9);
    let mut two = Instance::new(2, Scope::Alone, id(1), 9);
    one.send(&mut database);
    one.send(&mut database);
    two.send(&mut database);
    one.crash(&mut database);
    assert_eq!(finish(&mut two, &mut database), ran());
    assert_eq!(database.runs[&9], 1);
}

/// Guards against an outcome of another statement being returned, because an id is
/// used again for another statement and only the ids are compared.
#[test]
fn id_of_another_statement_is_refused() {
    let mut database = Database::default();
    let mut one = Instance::new(1, Scope::Alone, id(1), 9);
    let mut two = Instance::new(2, Scope::Alone, id(1), 8);
    assert_eq!(finish(&mut one, &mut database), ran());
    let end = finish(&mut two, &mut database);
    assert_eq!(end, End::Refused(Error::Reused));
    assert_eq!(database.runs.get(&8), None);
}

/// Guards against a transaction that is aborted by a violation of the unique key
/// when it repeats one of its statements.
#[test]
fn repeat_within_a_transaction_leaves_it_open() {
    let mut database = Database::default();
    let mut one = Instance::new(1, Scope::Within, id(1), 9);
    assert_eq!(finish(&mut one, &mut database), ran());
    let mut two = Instance::new(2, Scope::Within, id(1), 9);
    two.send(&mut database);
    assert!(matches!(two.next, Some(Action::Find(_))), "{:?}", two.next);
    assert_eq!(finish(&mut two, &mut database), repeat());
    let mut failed = Once::new(Scope::Within, id(2), Digest(9));
    failed.step(Event::Start);
    failed.step(Event::Inserted(1));
    let end = failed.step(Event::Rejected(*b"23514"));
    assert_eq!(end, Some(Action::End(End::Rejected(*b"23514"))));
}

/// Guards against an id that counts as used although its statement was refused,
/// because the row was kept.
#[test]
fn refused_statement_leaves_no_id() {
    let mut once = Once::new(Scope::Alone, id(1), Digest(9));
    once.step(Event::Start);
    once.step(Event::Inserted(1));
    let undo = once.step(Event::Rejected(*b"23514"));
    assert_eq!(undo, Some(Action::Rollback));
    let end = once.step(Event::RolledBack);
    assert_eq!(end, Some(Action::End(End::Rejected(*b"23514"))));
}

/// Guards against a statement that runs twice. The cleaning deletes the row between
/// the insert and the query, and a missing row is taken for a new id.
#[test]
fn id_deleted_during_the_lookup_is_refused() {
    let mut once = Once::new(Scope::Alone, id(1), Digest(9));
    once.step(Event::Start);
    once.step(Event::Repeated);
    once.step(Event::RolledBack);
    let end = once.step(Event::Found(None));
    assert_eq!(end, Some(Action::End(End::Refused(Error::Expired))));
}

/// Guards against a statement that runs twice. An instance whose clock runs ahead
/// deletes a row whose id another instance still accepts.
#[test]
fn cleaning_deletes_only_what_every_instance_refuses() {
    let ahead = NOW + Duration::from_secs(3_600);
    let bound = quoted(&ledger::clean(ahead)).remove(0);
    let oldest = (NOW - ledger::RETENTION).as_millis() << 80 | 7 << 76;
    assert!(Id::new(oldest, NOW).is_ok());
    assert!(format!("{oldest:032x}") > bound);
    let gone = (ahead - ledger::RETENTION - ledger::RETENTION_MARGIN).as_millis() - 1;
    assert!(format!("{:032x}", gone << 80 | 7 << 76) < bound);
    assert!(ledger::clean(ahead).contains("LIMIT 1000"));
}

/// Guards against a row of another format that is returned as an outcome.
#[test]
fn foreign_row_is_unreadable() {
    let digest = Digest(9);
    for tag in ["", "0000000000000009", "paid INSERT"] {
        let found = ledger::parse_tag(digest, Some(tag));
        assert_eq!(found, Err(Error::Unreadable), "{tag}");
    }
    assert_eq!(ledger::parse_tag(digest, None), Ok(None));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a statement that takes effect twice, or a false outcome. Three
    /// instances run the same id in any order, and each may crash at any step.
    #[test]
    fn at_most_one_run_in_any_order(
        steps in prop::collection::vec((0_usize..3, 0_u8..12), 1..60),
    ) {
        let mut database = Database::default();
        let mut all: Vec<_> = (0..3)
            .map(|number| Instance::new(number, Scope::Alone, id(1), 9))
            .collect();
        for (index, choice) in steps {
            match choice {
                0 => all[index].crash(&mut database),
                _ => all[index].send(&mut database),
            }
        }
        let runs = database.runs.get(&9).copied().unwrap_or(0);
        prop_assert!(runs <= 1);
        let ends = || all.iter().filter_map(|it| it.end.clone());
        prop_assert!(ends().filter(|it| *it == ran()).count() <= 1);
        prop_assert!(ends().all(|it| it == ran() || it == repeat()));
        prop_assert!(ends().count() == 0 || runs == 1);
    }
}
