//! Changes of the holder of a seat.

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

/// A holder is paused past its lease and another takes the seat. On resuming
/// the first must check the upstream before use; otherwise the upstream exceeds
/// its connection limit.
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

/// A zone is cut off from the store. Its holders must keep their seats while no
/// other holder is seen at the upstream; otherwise the zone stops serving.
#[test]
fn holder_without_the_store_continues_while_alone() {
    let mut seat = held();
    seat.step(UNTIL, Event::Tick);
    seat.step(UNTIL, Event::Checked(Attempt(2), Occupancy::Alone));
    assert_eq!(seat.permit(UNTIL), Permit::Replace);
    let stale = UNTIL + Duration::from_secs(1);
    assert_eq!(seat.permit(stale), Permit::Nothing);
}

/// If a leaving holder deleted its key before closing its connections, the next
/// holder would open its own next to them.
#[test]
fn leaving_holder_deletes_its_key_last() {
    let mut seat = held();
    let now = Instant::from_millis(1);
    assert_eq!(seat.step(now, Event::Unwanted), [Action::Close]);
    let release = seat.step(now, Event::Closed);
    assert_eq!(release, [Action::Release(Epoch(7))]);
}

/// A lease measured from a slow answer instead of from before the call would
/// seem valid after the store has granted the seat to another holder.
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

/// Peers agree on the death of a holder long before its lease expires. The
/// claim must not wait for the key to disappear; otherwise the seat is unused
/// for up to a minute.
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

/// A report of the death of an earlier holder arrives late. The report names an
/// epoch, so that the present holder keeps its seat.
#[test]
fn stale_death_report_is_ignored() {
    let now = Instant::ZERO;
    let mut seat = Seat::default();
    seat.step(now, Event::Lease(Status::Valid(Id(2), UNTIL)));
    seat.step(now, Event::Wanted);
    seat.step(now, Event::Record(Record::Other(Epoch(9))));
    assert_eq!(seat.step(now, Event::Dead(Epoch(7))), []);
}

/// Two instances claim a free seat at once, and the answer to the loser is
/// late. The loser must not assume that its claim succeeded.
#[test]
fn loser_of_two_claims_opens_no_connection() {
    let now = Instant::ZERO;
    let mut loser = Seat::default();
    loser.step(now, Event::Lease(Status::Valid(Id(2), UNTIL)));
    loser.step(now, Event::Wanted);
    let claim = loser.step(now, Event::Record(Record::Absent));
    assert_eq!(claim, [Action::Claim(Id(2), None)]);
    // The answer is lost, so the key is read.
    let later = Instant::from_millis(1_000);
    assert_eq!(loser.step(later, Event::Tick), [Action::Read]);
    assert_eq!(loser.permit(later), Permit::Nothing);
    let lost = loser.step(later, Event::Record(Record::Other(Epoch(8))));
    assert_eq!(lost, []);
    assert_eq!(loser.permit(later), Permit::Nothing);
    assert_eq!(loser.epoch(), None);
}

/// The lease expires during an outage of the store, and no other instance
/// claims the seat. The holder must reclaim it without closing its connections.
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

/// As above, but another holder has claimed the seat: all connections must
/// close.
#[test]
fn lapsed_seat_that_another_took_is_closed() {
    let mut seat = held();
    let now = Instant::from_millis(10);
    seat.step(now, Event::Lease(Status::Absent));
    let lost = seat.step(now, Event::Record(Record::Other(Epoch(12))));
    assert_eq!(lost, [Action::Close]);
    assert_eq!(seat.permit(now), Permit::Nothing);
}

/// A login is in progress during a fence, which ends only the connections that
/// it sees, and completes after the new holder started. The connection must be
/// closed unused.
#[test]
fn login_under_way_during_a_fence_is_closed_unused() {
    use pool::seat::{Admission, admit};

    assert_eq!(admit(Epoch(7), [Epoch(9)]), Admission::Close);
    assert_eq!(admit(Epoch(9), [Epoch(7)]), Admission::Fence);
    assert_eq!(admit(Epoch(9), []), Admission::Use);
}

/// The store is down, and a former holder resumes and logs in. The present
/// holder must fence the former one instead of closing; otherwise no instance
/// holds the seat until the store is back.
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
