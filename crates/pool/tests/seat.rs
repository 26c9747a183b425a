//! Stories of a seat that changes hands.

use std::time::Duration;

use clock::Instant;
use pool::{
    Seat,
    lease::{self, Attempt, Id, Lease, Standing},
    seat::{Action, Epoch, Event, Permit, Record, Seen},
};

const UNTIL: Instant = Instant::from_millis(6_000);

fn held() -> Seat {
    let mut seat = Seat::default();
    let now = Instant::ZERO;
    seat.step(now, Event::Lease(Standing::Valid(Id(1), UNTIL)));
    assert_eq!(seat.step(now, Event::Wanted), [Action::Read]);
    let claim = seat.step(now, Event::Record(Record::Absent));
    assert_eq!(claim, [Action::Claim(Id(1), None)]);
    let fence = seat.step(now, Event::Record(Record::Mine(Epoch(7))));
    assert_eq!(fence, [Action::Fence(Attempt(1))]);
    assert_eq!(seat.permit(now), Permit::Nothing);
    seat.step(now, Event::Fenced(Attempt(1)));
    assert_eq!(seat.permit(now), Permit::Full);
    seat
}

/// Symptom: an upstream has more connections than its limit. Events: a holder
/// is paused past its lease, another takes the seat, the first wakes. Cause:
/// it went on without looking.
#[test]
fn paused_holder_looks_before_it_uses_anything() {
    let mut seat = held();
    let woke = UNTIL + Duration::from_secs(60);
    assert_eq!(seat.permit(woke), Permit::Nothing);
    let look = seat.step(woke, Event::Tick);
    assert_eq!(look, [Action::Check(Attempt(2))]);
    assert_eq!(seat.permit(woke), Permit::Nothing);
    let other = seat.step(woke, Event::Checked(Attempt(2), Seen::Other));
    assert_eq!(other, [Action::Close]);
    assert_eq!(seat.permit(woke), Permit::Nothing);
}

/// Symptom: a zone that is cut off from the store stops serving. Cause: its
/// holders gave up their seats though nobody else could use them.
#[test]
fn holder_cut_off_from_the_store_goes_on_while_alone() {
    let mut seat = held();
    seat.step(UNTIL, Event::Tick);
    seat.step(UNTIL, Event::Checked(Attempt(2), Seen::Alone));
    assert_eq!(seat.permit(UNTIL), Permit::Replace);
    let stale = UNTIL + Duration::from_secs(1);
    assert_eq!(seat.permit(stale), Permit::Nothing);
}

/// Symptom: the next holder opens while the last one's connections are open.
/// Cause: the key was deleted before they were closed.
#[test]
fn leaving_holder_deletes_its_key_last() {
    let mut seat = held();
    let now = Instant::from_millis(1);
    assert_eq!(seat.step(now, Event::Unwanted), [Action::Close]);
    let release = seat.step(now, Event::Closed);
    assert_eq!(release, [Action::Release(Epoch(7))]);
}

/// Symptom: a holder trusts a lease that the store has given away. Cause: the
/// lease was counted from a slow answer and not from before the call.
#[test]
fn lease_is_counted_from_before_the_call() {
    let mut lease = Lease::open(9);
    let sent = Instant::ZERO;
    lease.step(sent, lease::Event::Tick);
    let answered = Instant::from_millis(900);
    lease.step(answered, lease::Event::Granted(Attempt(1), Id(1)));
    let until = Instant::from_millis(5_940);
    assert_eq!(lease.standing(answered), Standing::Valid(Id(1), until));
    assert_eq!(lease.standing(until), Standing::Unproved(Id(1)));
}
