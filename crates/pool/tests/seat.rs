//! Stories of a seat that changes hands.

use std::time::Duration;

use clock::Instant;
use pool::{
    Seat,
    lease::{self, Attempt, Id, Lease, Status},
    seat::{Action, Epoch, Event, Occupancy, Permit, Record},
};

const UNTIL: Instant = Instant::from_millis(6_000);

fn held() -> Seat {
    let mut seat = Seat::default();
    let now = Instant::ZERO;
    seat.step(now, Event::Lease(Status::Valid(Id(1), UNTIL)));
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
fn paused_holder_checks_the_upstream_before_use() {
    let mut seat = held();
    let resumed = UNTIL + Duration::from_secs(60);
    assert_eq!(seat.permit(resumed), Permit::Nothing);
    let check = seat.step(resumed, Event::Tick);
    assert_eq!(check, [Action::Check(Attempt(2))]);
    assert_eq!(seat.permit(resumed), Permit::Nothing);
    let other = seat.step(resumed, Event::Checked(Attempt(2), Occupancy::Later));
    assert_eq!(other, [Action::Close]);
    assert_eq!(seat.permit(resumed), Permit::Nothing);
}

/// Symptom: a zone that is cut off from the store stops serving. Cause: its
/// holders gave up their seats though nobody else could use them.
#[test]
fn holder_without_the_store_continues_while_alone() {
    let mut seat = held();
    seat.step(UNTIL, Event::Tick);
    seat.step(UNTIL, Event::Checked(Attempt(2), Occupancy::Alone));
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
    assert_eq!(lease.status(answered), Status::Valid(Id(1), until));
    assert_eq!(lease.status(until), Status::Unconfirmed(Id(1)));
}

/// Symptom: a seat stays unused for a minute after its holder died. Events:
/// peers agree on the death long before the lease ends. Cause: the claim
/// waited for the key to go.
#[test]
fn dead_holders_seat_is_taken_before_its_lease_ends() {
    let now = Instant::ZERO;
    let mut seat = Seat::default();
    seat.step(now, Event::Lease(Status::Valid(Id(2), UNTIL)));
    seat.step(now, Event::Wanted);
    assert_eq!(seat.step(now, Event::Record(Record::Other(Epoch(7)))), []);
    let claim = seat.step(now, Event::Dead(Epoch(7)));
    assert_eq!(claim, [Action::Claim(Id(2), Some(Epoch(7)))]);
    let fence = seat.step(now, Event::Record(Record::Mine(Epoch(9))));
    assert_eq!(fence, [Action::Fence(Attempt(1))]);
    assert_eq!(seat.permit(now), Permit::Nothing);
    seat.step(now, Event::Fenced(Attempt(1)));
    assert_eq!(seat.permit(now), Permit::Full);
}

/// Symptom: a live holder loses its seat. Events: an old report of its
/// predecessor's death comes late. Cause: the report named no epoch.
#[test]
fn stale_death_report_is_ignored() {
    let now = Instant::ZERO;
    let mut seat = Seat::default();
    seat.step(now, Event::Lease(Status::Valid(Id(2), UNTIL)));
    seat.step(now, Event::Wanted);
    seat.step(now, Event::Record(Record::Other(Epoch(9))));
    assert_eq!(seat.step(now, Event::Dead(Epoch(7))), []);
}

/// Symptom: two holders open a share each. Events: two instances see the seat
/// free and claim it at once; the answer that the other won reaches the loser
/// when it has waited for it. Cause: the loser took its claim for granted.
#[test]
fn loser_of_two_claims_opens_no_connection() {
    let now = Instant::ZERO;
    let mut loser = Seat::default();
    loser.step(now, Event::Lease(Status::Valid(Id(2), UNTIL)));
    loser.step(now, Event::Wanted);
    let claim = loser.step(now, Event::Record(Record::Absent));
    assert_eq!(claim, [Action::Claim(Id(2), None)]);
    // The answer is lost: the key is read, never assumed.
    let later = Instant::from_millis(1_000);
    assert_eq!(loser.step(later, Event::Tick), [Action::Read]);
    assert_eq!(loser.permit(later), Permit::Nothing);
    let lost = loser.step(later, Event::Record(Record::Other(Epoch(8))));
    assert_eq!(lost, []);
    assert_eq!(loser.permit(later), Permit::Nothing);
    assert_eq!(loser.epoch(), None);
}

/// Symptom: every connection is cut after an outage of the store. Events: the
/// lease lapses, nobody else claims, the holder claims again. Cause: it closed
/// its connections although nobody had taken the seat.
#[test]
fn lapsed_seat_is_reclaimed_with_its_connections() {
    let mut seat = held();
    let now = Instant::from_millis(10);
    let again = seat.step(now, Event::Lease(Status::Absent));
    assert_eq!(again, [Action::Read]);
    assert_eq!(seat.permit(now), Permit::Nothing);
    seat.step(now, Event::Lease(Status::Valid(Id(3), UNTIL)));
    let claim = seat.step(now, Event::Record(Record::Absent));
    assert_eq!(claim, [Action::Claim(Id(3), None)]);
    let fence = seat.step(now, Event::Record(Record::Mine(Epoch(12))));
    assert_eq!(fence, [Action::Fence(Attempt(2))]);
    seat.step(now, Event::Fenced(Attempt(2)));
    assert_eq!(seat.permit(now), Permit::Full);
    assert_eq!(seat.epoch(), Some(Epoch(12)));
}

/// Symptom: as above, but another holder has the seat meanwhile.
#[test]
fn lapsed_seat_that_another_took_is_closed() {
    let mut seat = held();
    let now = Instant::from_millis(10);
    seat.step(now, Event::Lease(Status::Absent));
    let lost = seat.step(now, Event::Record(Record::Other(Epoch(12))));
    assert_eq!(lost, [Action::Close]);
    assert_eq!(seat.permit(now), Permit::Nothing);
}

/// Symptom: two holders use a seat. Events: a login is under way while the
/// seat is fenced, and ends when the new holder has begun. Cause: the fence
/// ends only the connections that it sees.
#[test]
fn login_under_way_during_a_fence_is_closed_unused() {
    use pool::seat::{Admission, admit};

    assert_eq!(admit(Epoch(7), [Epoch(9)]), Admission::Close);
    assert_eq!(admit(Epoch(9), [Epoch(7)]), Admission::Fence);
    assert_eq!(admit(Epoch(9), []), Admission::Use);
}

/// Symptom: nobody holds a seat until the store is back. Events: the store is
/// down, the holder goes on alone, the former holder wakes from a pause and a
/// login of its lands. Cause: any other connection made the holder give up.
#[test]
fn former_holder_does_not_displace_the_present_one() {
    let mut seat = held();
    assert_eq!(seat.step(UNTIL, Event::Tick), [Action::Check(Attempt(2))]);
    let fence = seat.step(UNTIL, Event::Checked(Attempt(2), Occupancy::Earlier));
    assert_eq!(fence, [Action::Fence(Attempt(2))]);
    assert_eq!(seat.permit(UNTIL), Permit::Nothing);
    let later = UNTIL + Duration::from_millis(500);
    assert_eq!(seat.step(later, Event::Tick), [Action::Check(Attempt(3))]);
    seat.step(later, Event::Checked(Attempt(3), Occupancy::Alone));
    assert_eq!(seat.permit(later), Permit::Replace);
}
