//! Tests of floors and of confirmation rounds.

use std::time::Duration;

use clock::Instant;
use model::Position;
use session::{Confirmed, Event, Floor, Round, Session, Start};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn round(since: u64, term: u64, lsn: u64) -> Confirmed {
    Confirmed {
        since: at(since),
        position: Position::new(term, lsn),
    }
}

fn known(term: u64, lsn: u64) -> Floor {
    Floor::Known(Position::new(term, lsn))
}

/// Guards against a session that misses its own write. Another instance has
/// acknowledged the write, the caller arrives without a token, and a round that
/// began *before* its arrival ends with a position before the write.
#[test]
fn a_round_from_before_the_session_leaves_the_floor_unknown() {
    let mut session = Session::open(at(10));
    session.step(at(11), Event::Round(round(9, 1, 50)));
    assert_eq!(session.floor(), Floor::Unknown { since: at(10) });
    session.step(at(14), Event::Round(round(10, 1, 60)));
    assert_eq!(session.floor(), known(1, 60));
}

#[test]
fn later_rounds_do_not_raise_a_known_floor() {
    let mut session = Session::open(at(0));
    session.step(at(1), Event::Presented(Position::new(1, 40)));
    session.step(at(2), Event::Round(round(2, 1, 90)));
    assert_eq!(session.floor(), known(1, 40));
}

/// Guards against a read that misses a write from before a change of primary. The
/// write is at (2, 80) and a token of term 3 names a lower position: a higher term
/// alone does not imply a higher position in the log.
#[test]
fn a_floor_keeps_the_highest_of_each_part() {
    let mut session = Session::open(at(0));
    session.step(at(1), Event::Acknowledged(Position::new(2, 80)));
    session.step(at(2), Event::Presented(Position::new(3, 70)));
    assert_eq!(session.floor(), known(3, 80));
}

/// Guards against a write of another session that appears and disappears again. A
/// session reads from a replica that is ahead of the newest confirmed round, then
/// from one that is behind it.
#[test]
fn a_position_read_binds_later_reads_and_becomes_the_floor_once_acknowledged() {
    let mut session = Session::open(at(0));
    session.step(at(1), Event::Acknowledged(Position::new(1, 40)));
    let read = |confirmed| Event::Read {
        upto: Position::new(1, 60),
        confirmed: Some(confirmed),
    };
    session.step(at(2), read(round(1, 1, 50)));
    assert_eq!(session.floor(), known(1, 40));
    assert_eq!(session.seen(), Some(Position::new(1, 60)));
    session.step(at(3), read(round(2, 1, 60)));
    assert_eq!(session.floor(), known(1, 60));
    assert_eq!(session.seen(), None);
}

/// Guards against a token that names a position which the new term never had. A
/// read from a replica shows the last, unacknowledged writes of the old primary,
/// and the log of the new term forks before these writes.
#[test]
fn an_unacknowledged_position_enters_no_token() {
    let mut session = Session::open(at(0));
    session.step(at(1), Event::Acknowledged(Position::new(1, 40)));
    let read = Event::Read {
        upto: Position::new(1, 100),
        confirmed: Some(round(2, 2, 120)),
    };
    session.step(at(3), read);
    assert_eq!(session.position(), Some(Position::new(1, 40)));
    session.step(at(5), Event::ReadConfirmed(round(4, 2, 90)));
    assert_eq!(session.floor(), known(2, 90));
    assert_eq!(session.seen(), None);
}

/// Guards against a session that never reads from a replica again. The database is
/// restored from a backup at a lower position while the caller keeps its token.
#[test]
fn a_confirmed_primary_replaces_a_floor_that_no_log_reaches() {
    let mut session = Session::open(at(0));
    session.step(at(1), Event::Presented(Position::new(1, 9_000)));
    session.step(at(4), Event::ReadConfirmed(round(2, 2, 100)));
    assert_eq!(session.floor(), known(2, 100));
}

/// Guards against a session that misses a write just acknowledged. A confirmed read
/// of the session is in flight during the write, and its older position arrives
/// last.
#[test]
fn a_round_older_than_the_last_write_does_not_lower_the_floor() {
    let mut session = Session::open(at(0));
    session.step(at(3), Event::Acknowledged(Position::new(1, 70)));
    session.step(at(4), Event::ReadConfirmed(round(2, 1, 60)));
    assert_eq!(session.floor(), known(1, 70));
}

#[test]
fn a_read_while_unknown_leaves_the_floor_unknown() {
    let mut session = Session::open(at(0));
    let read = Event::Read {
        upto: Position::new(1, 30),
        confirmed: Some(round(0, 1, 90)),
    };
    session.step(at(1), read);
    assert_eq!(session.position(), None);
    assert_eq!(session.seen(), Some(Position::new(1, 30)));
}

/// Guards against a query on the primary for each of many sessions that arrive at
/// once without a token.
#[test]
fn a_thousand_sessions_share_two_rounds() {
    let mut round = Round::new(Duration::from_millis(50));
    let starts = (0..1_000).filter(|i| {
        let now = at(1) + Duration::from_micros(*i);
        round.request(now, now) == Start::Now
    });
    assert_eq!(starts.count(), 1);
    assert_eq!(round.end(at(4)), Start::Now);
    assert_eq!(round.end(at(7)), Start::Later);
}

/// Guards against sessions that wait forever after the queries of a round were
/// lost.
#[test]
fn a_lost_round_times_out() {
    let mut round = Round::new(Duration::from_millis(50));
    assert_eq!(round.request(at(0), at(0)), Start::Now);
    assert_eq!(round.request(at(49), at(49)), Start::Later);
    assert_eq!(round.request(at(50), at(50)), Start::Now);
}
