use std::time::Duration;

use model::{Lsn, Position, Term};

use super::{Backoff, MAX_PAUSE};

fn at(lsn: u64) -> Option<Position> {
    Some(Position {
        term: Term(1),
        lsn: Lsn(lsn),
    })
}

/// Guards against slow acknowledgements under continuous writes. There is
/// always a write waiting, so polling never stops; a pause that doubled with
/// each poll, even while the log advanced, made one write in a hundred of eight
/// callers take 16 ms on loopback, and all of them together wrote less than one
/// caller alone.
#[test]
fn a_log_that_moves_is_asked_for_without_a_pause() {
    let mut backoff = Backoff::open();
    assert!((1..100).all(|lsn| backoff.next(at(lsn)) == Duration::ZERO));
}

#[test]
fn a_log_that_stands_is_asked_for_ever_more_rarely() {
    let mut backoff = Backoff::open();
    backoff.next(at(1));
    let pauses: Vec<_> = (0..6).map(|_| backoff.next(at(1)).as_micros()).collect();
    assert_eq!(pauses, [250, 500, 1_000, 2_000, 4_000, 4_000]);
    assert_eq!(backoff.next(at(2)), Duration::ZERO);
    assert_eq!(backoff.next(at(2)).as_micros(), 250);
}

#[test]
fn an_upstream_that_does_not_answer_is_left_alone_for_the_longest_pause() {
    let mut backoff = Backoff::open();
    assert_eq!(backoff.next(None), MAX_PAUSE);
    assert_eq!(backoff.next(at(1)), Duration::ZERO);
}
