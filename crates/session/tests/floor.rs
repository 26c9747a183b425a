//! Floors: what a session's reads must show, however it came here.

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

/// Symptom: a groom who booked does not see the booking. Events: the write is
/// acknowledged by another instance, the caller comes here with nothing; a
/// round that had begun *before* it came ends, showing the position before the
/// write. Cause: the round proves nothing about later acknowledgements.
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

/// Symptom: a read after a change of primary misses a write from before it.
/// Events: write at (2, 80), primary changes to term 3, a token of term 3
/// joins. Cause: a higher term alone does not prove the place in the log.
#[test]
fn a_floor_keeps_the_highest_of_each_part() {
    let mut session = Session::open(at(0));
    session.step(at(1), Event::Acknowledged(Position::new(2, 80)));
    session.step(at(2), Event::Presented(Position::new(3, 70)));
    assert_eq!(session.floor(), known(3, 80));
}

/// Symptom: a session sees another's booking and then no longer. Events: it
/// reads on a replica that is ahead of what the round confirmed, then on one
/// that is behind. Cause: what was read was not remembered until acknowledged.
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

/// Symptom: after a failover a token names a position that never existed in
/// the new term. Events: a read on a replica shows the old primary's last,
/// unacknowledged writes; the new term's log forks before them. Cause: what
/// was seen went into the floor without being acknowledged.
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

/// Symptom: a session never reads from a replica again. Events: the database
/// is restored from a backup to a lower place; the caller keeps its token.
/// Cause: a floor that only rises is never reached.
#[test]
fn a_confirmed_primary_replaces_a_floor_that_no_log_reaches() {
    let mut session = Session::open(at(0));
    session.step(at(1), Event::Presented(Position::new(1, 9_000)));
    session.step(at(4), Event::ReadConfirmed(round(2, 2, 100)));
    assert_eq!(session.floor(), known(2, 100));
}

/// Symptom: a write just acknowledged is not seen. Events: a confirmed read is
/// under way when the same session's write is acknowledged; the read's older
/// position arrives last. Cause: it replaced the newer floor.
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

/// Symptom: a burst of roaming callers asks the primary once each. Cause: each
/// session started its own round.
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

/// Symptom: sessions wait for ever. Events: the round's questions are lost.
/// Cause: the round under way was believed to end by itself.
#[test]
fn a_lost_round_times_out() {
    let mut round = Round::new(Duration::from_millis(50));
    assert_eq!(round.request(at(0), at(0)), Start::Now);
    assert_eq!(round.request(at(49), at(49)), Start::Later);
    assert_eq!(round.request(at(50), at(50)), Start::Now);
}
