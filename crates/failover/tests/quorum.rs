//! Acknowledgement of writes and confirmation of current reads.

use clock::Instant;
use failover::quorum::{Id, Quorum, Replaced};
use model::{Lsn, Position, Report, Role, Term, name};

fn upstream(name: &str) -> name::Upstream {
    name::Upstream::new(name).unwrap()
}

fn report(role: Role, fenced: u64, term: u64, lsn: u64) -> Report {
    Report {
        role,
        fenced: Term(fenced),
        received: Position::new(term, lsn),
        replayed: Lsn(lsn),
    }
}

fn primary(lsn: u64) -> Report {
    report(Role::Primary, 4, 4, lsn)
}

fn replica(lsn: u64) -> Report {
    report(Role::Replica, 4, 4, lsn)
}

fn new_quorum() -> Quorum {
    Quorum::open(3, Term(4), upstream("a"))
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn a_write_is_acknowledged_with_the_second_holder() {
    let mut quorum = new_quorum();
    for id in 1..=3 {
        assert_eq!(
            quorum.add_write(Id(id), Position::new(4, id * 10)),
            Ok(None)
        );
    }
    assert_eq!(quorum.report(&upstream("a"), at(1), &primary(30)), []);
    assert_eq!(quorum.report(&upstream("a"), at(1), &primary(30)), []);
    assert_eq!(
        quorum.report(&upstream("b"), at(1), &replica(25)),
        [Id(1), Id(2)]
    );
    assert_eq!(quorum.report(&upstream("c"), at(1), &replica(9)), []);
    assert_eq!(quorum.report(&upstream("c"), at(1), &replica(30)), [Id(3)]);
    assert_eq!(quorum.waiting(), 0);
    assert_eq!(
        quorum.add_write(Id(9), Position::new(4, 30)),
        Ok(Some(Id(9)))
    );
}

/// A replica of a lower term has a long log. Its position says nothing about
/// the log of this term and must not count.
#[test]
fn a_place_in_another_terms_log_does_not_count() {
    let mut quorum = new_quorum();
    quorum.add_write(Id(1), Position::new(4, 10)).unwrap();
    quorum.report(&upstream("a"), at(1), &primary(10));
    let older = report(Role::Replica, 4, 3, 99);
    assert_eq!(quorum.report(&upstream("b"), at(1), &older), []);
}

/// A replica holds the write but is fenced to a higher term: it may have
/// answered a promoter before the write arrived, so it must not count.
#[test]
fn a_replica_that_is_fenced_higher_does_not_count() {
    let mut quorum = new_quorum();
    quorum.add_write(Id(1), Position::new(4, 10)).unwrap();
    quorum.report(&upstream("a"), at(1), &primary(10));
    let fenced = report(Role::Replica, 5, 4, 10);
    assert_eq!(quorum.report(&upstream("b"), at(1), &fenced), []);
    assert_eq!(quorum.report(&upstream("c"), at(1), &replica(10)), [Id(1)]);
}

#[test]
fn a_change_of_primary_returns_all_waiting() {
    let mut quorum = new_quorum();
    quorum.add_write(Id(1), Position::new(4, 10)).unwrap();
    quorum.add_read(Id(2), at(1));
    assert_eq!(quorum.replace_primary(Term(4), upstream("b")), []);
    assert_eq!(
        quorum.replace_primary(Term(5), upstream("b")),
        [Id(1), Id(2)]
    );
    let term = Term(5);
    assert_eq!(
        quorum.add_write(Id(3), Position::new(4, 10)),
        Err(Replaced { term })
    );
    assert_eq!(quorum.report(&upstream("a"), at(2), &primary(50)), []);
    assert_eq!(quorum.committed(), Lsn(0));
}

/// A current read must wait for answers to probes sent after the read began;
/// earlier answers may predate a change of primary.
#[test]
fn a_read_is_confirmed_only_by_later_probes() {
    let mut quorum = new_quorum();
    quorum.add_read(Id(1), at(10));
    quorum.report(&upstream("a"), at(9), &primary(1));
    assert_eq!(quorum.report(&upstream("b"), at(9), &replica(1)), []);
    assert_eq!(quorum.report(&upstream("b"), at(10), &replica(1)), []);
    assert_eq!(quorum.report(&upstream("a"), at(11), &primary(1)), [Id(1)]);
}

/// Both replicas answer, but the primary does not, or is no longer primary. A
/// majority without the primary must not confirm a read.
#[test]
fn a_read_needs_the_primary_itself() {
    let mut quorum = new_quorum();
    quorum.add_read(Id(1), at(1));
    quorum.report(&upstream("b"), at(2), &replica(1));
    assert_eq!(quorum.report(&upstream("c"), at(2), &replica(1)), []);
    let demoted = report(Role::Replica, 4, 4, 1);
    assert_eq!(quorum.report(&upstream("a"), at(2), &demoted), []);
    let fenced = report(Role::Primary, 5, 4, 1);
    assert_eq!(quorum.report(&upstream("a"), at(2), &fenced), []);
    assert_eq!(quorum.report(&upstream("a"), at(2), &primary(1)), [Id(1)]);
}

#[test]
fn cancelled_writes_and_reads_are_not_returned() {
    let mut quorum = new_quorum();
    let position = Position::new(4, 10);
    quorum.add_write(Id(1), position).unwrap();
    quorum.add_read(Id(2), at(1));
    quorum.cancel_write(Id(1), position);
    quorum.cancel_read(Id(2), at(1));
    assert_eq!(quorum.waiting(), 0);
}
