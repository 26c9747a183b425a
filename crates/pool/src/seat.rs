//! A seat is the right to one share of an upstream's connections.
//!
//! Each seat is one key in the store, bound to the lease of its holder and
//! changed only by compare-and-swap. This alone would rely on clocks: a holder
//! that is paused, or cut off from the store only, still has open connections
//! when the next holder starts. A new holder therefore first *fences* the seat:
//! over the reserved connection of the upstream, it ends all connections of the
//! seat that are not its own (`pg_terminate_backend` over `pg_stat_activity`,
//! by application name). Only then does it open its share.
//!
//! A fence ends existing connections, but not logins in progress. Each
//! connection therefore carries the epoch of its holder in its application name
//! and, after its login and before its first use, reads the epochs of the
//! seat's other connections ([`admit`]). Of two connections of different epochs
//! at least one reads while the other exists, and in each order the lower epoch
//! yields. Statements of two holders therefore never mix, whatever happens to
//! clocks and messages.
//!
//! The application names also let a holder continue while the store is down: as
//! long as the upstream shows no other holder's connections of the seat, no
//! other holder uses the seat.

use std::time::Duration;

use clock::Instant;

use crate::lease::{Attempt, Id, Status};

/// Validity of a check of the upstream's connections while the lease is
/// unconfirmed.
pub const CHECK_VALIDITY: Duration = Duration::from_secs(1);
/// Time after which an unanswered call is repeated.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Store revision at which a seat was claimed; later claims have higher ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// Holder of a seat according to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Record {
    /// No holder.
    Absent,
    /// This instance holds the seat since this epoch.
    Mine(Epoch),
    /// Another instance holds the seat since this epoch.
    Other(Epoch),
}

/// Holders seen at the upstream under the seat's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Occupancy {
    /// Only connections of this instance, or none.
    Alone,
    /// Connections of another instance of an earlier epoch, and none of a
    /// later.
    Earlier,
    /// Connections of another instance of a later epoch.
    Later,
}

/// Permission of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The connection may run statements.
    Use,
    /// The connection must wait until the connections of earlier epochs are
    /// ended and then be checked again.
    Fence,
    /// The connection must close because a later holder exists, which is
    /// [`Event::Terminated`].
    Close,
}

/// Returns the permission of a connection opened under the `own` epoch.
/// `others` are the epochs of other holders' connections of the seat, read
/// after the login and before the first use of the connection.
///
/// Without this check a login in progress during a fence would be used next to
/// the connections of the new holder: a paused process can send its next
/// message long after checking its lease.
///
/// ```
/// use pool::seat::{Admission, Epoch, admit};
///
/// assert_eq!(admit(Epoch(7), []), Admission::Use);
/// assert_eq!(admit(Epoch(7), [Epoch(3)]), Admission::Fence);
/// assert_eq!(admit(Epoch(7), [Epoch(3), Epoch(9)]), Admission::Close);
/// ```
pub fn admit(own: Epoch, others: impl IntoIterator<Item = Epoch>) -> Admission {
    match others.into_iter().max() {
        None => Admission::Use,
        Some(highest) if highest > own => Admission::Close,
        Some(_) => Admission::Fence,
    }
}

/// Input of a seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The ranking assigns the seat to this instance.
    Wanted,
    /// The ranking assigns the seat to another instance, or this one is
    /// stopping.
    Unwanted,
    /// Current status of the instance's lease.
    Lease(Status),
    /// The key was read from the store by a call, a watch or the answer to a
    /// claim.
    Record(Record),
    /// Peers agree that the holder since this epoch is dead, so that its seat
    /// can be taken before its lease expires.
    Dead(Epoch),
    /// The upstream ended all other connections of the seat, and a later check
    /// shows none: ending a connection takes the upstream some time.
    Fenced(Attempt),
    /// The upstream's list of connections was read.
    Checked(Attempt, Occupancy),
    /// The upstream ended connections on an administrator's command: another
    /// holder has fenced this one.
    Terminated,
    /// All connections are closed after [`Action::Close`], and the upstream has
    /// ended them. If this event came earlier, the next share of the seat would
    /// exceed the limit.
    Closed,
    /// Time passed.
    Tick,
}

/// Output of a seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Write the key with this lease if the key has this epoch, or for `None`
    /// if no key exists; then read the key.
    Claim(Id, Option<Epoch>),
    /// Read the key, because the answer to a claim was lost or the key is
    /// unknown.
    Read,
    /// End the seat's connections that belong to other instances.
    Fence(Attempt),
    /// List the connections under the seat's name.
    Check(Attempt),
    /// Close all connections of the seat at once.
    Close,
    /// Delete the key if it still has this epoch.
    Release(Epoch),
}

/// Permission of a holder to use the seat's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// No use: start no statement and open no connection.
    Nothing,
    /// Use of the open connections, with replacement of broken ones, one at a
    /// time.
    Replace,
    /// Full use: open connections up to the share.
    Full,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The seat is not held by this instance.
    NotHeld,
    /// A claim is in progress; `Kept::Connections` if it reclaims a seat whose
    /// connections are still open.
    Claiming { since: Instant, kept: Kept },
    /// The key belongs to this instance; other connections are being ended at
    /// the upstream.
    Fencing {
        epoch: Epoch,
        attempt: Attempt,
        since: Instant,
    },
    /// The seat is held under a valid lease.
    Held { epoch: Epoch, until: Instant },
    /// The seat is held according to the upstream, while the store does not
    /// answer.
    Unconfirmed { epoch: Epoch, check: Check },
    /// All connections are being closed; then the key is deleted if it still
    /// has this epoch.
    Closing { epoch: Option<Epoch> },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kept {
    Nothing,
    Connections,
}

/// A check of the upstream's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Check {
    attempt: Attempt,
    sent: Instant,
    /// Time at which the last check that found no other holder was *sent*.
    last_alone: Option<Instant>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Goal {
    Hold,
    Release,
}

/// One seat at one instance.
#[derive(Debug)]
pub struct Seat {
    state: State,
    goal: Goal,
    lease: Status,
    record: Option<Record>,
    dead: Option<Epoch>,
    attempts: u64,
}

impl Default for Seat {
    fn default() -> Self {
        Self {
            state: State::NotHeld,
            goal: Goal::Release,
            lease: Status::Absent,
            record: None,
            dead: None,
            attempts: 0,
        }
    }
}

impl Seat {
    /// Handles an event and returns the actions to carry out.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Wanted => self.goal = Goal::Hold,
            Event::Unwanted => self.goal = Goal::Release,
            Event::Lease(status) => self.on_lease(now, status, &mut actions),
            Event::Record(record) => self.on_record(now, record, &mut actions),
            Event::Dead(epoch) => self.dead = self.dead.max(Some(epoch)),
            Event::Fenced(attempt) => self.on_fenced(attempt),
            Event::Checked(attempt, occupancy) => self.on_checked(attempt, occupancy, &mut actions),
            Event::Terminated => self.on_terminated(&mut actions),
            Event::Closed => self.on_closed(&mut actions),
            Event::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Returns what the holder may do now. Callers must ask right before each
    /// use: this is how a holder that was paused since its last step finds its
    /// lease expired.
    pub fn permit(&self, now: Instant) -> Permit {
        match self.state {
            State::Held { until, .. } if now < until => Permit::Full,
            State::Unconfirmed { check, .. }
                if check.last_alone.is_some_and(|at| now < at + CHECK_VALIDITY) =>
            {
                Permit::Replace
            }
            _ => Permit::Nothing,
        }
    }

    /// Epoch since which this instance holds the seat.
    pub fn epoch(&self) -> Option<Epoch> {
        match self.state {
            State::Fencing { epoch, .. }
            | State::Held { epoch, .. }
            | State::Unconfirmed { epoch, .. } => Some(epoch),
            State::NotHeld | State::Claiming { .. } | State::Closing { .. } => None,
        }
    }

    /// Latest time for the next step.
    pub fn wake(&self) -> Option<Instant> {
        match self.state {
            State::NotHeld | State::Closing { .. } => None,
            State::Claiming { since, .. } | State::Fencing { since, .. } => {
                Some(since + CALL_TIMEOUT)
            }
            State::Held { until, .. } => Some(until),
            State::Unconfirmed { check, .. } => Some(check.sent + CHECK_VALIDITY / 2),
        }
    }

    fn on_record(&mut self, now: Instant, record: Record, actions: &mut Vec<Action>) {
        self.record = Some(record);
        match (self.state, record) {
            (State::Claiming { .. }, Record::Mine(epoch)) => self.fence(now, epoch, actions),
            (State::Claiming { kept, .. }, Record::Other(_)) => match kept {
                Kept::Nothing => self.state = State::NotHeld,
                Kept::Connections => self.close(None, actions),
            },
            (State::Claiming { kept, .. }, Record::Absent) => self.claim(now, kept, actions),
            (
                State::Fencing { .. } | State::Held { .. } | State::Unconfirmed { .. },
                Record::Other(_),
            ) => self.close(None, actions),
            // The lease of the key has expired; other instances may claim the
            // seat.
            (
                State::Fencing { .. } | State::Held { .. } | State::Unconfirmed { .. },
                Record::Absent,
            ) => self.claim(now, Kept::Connections, actions),
            _ => {}
        }
    }

    fn on_lease(&mut self, now: Instant, status: Status, actions: &mut Vec<Action>) {
        self.lease = status;
        // A claim may have been waiting for the lease.
        if let (State::Claiming { kept, .. }, Some(Record::Absent)) = (self.state, self.record) {
            self.claim(now, kept, actions);
        }
    }

    fn fence(&mut self, now: Instant, epoch: Epoch, actions: &mut Vec<Action>) {
        let attempt = self.attempt();
        self.state = State::Fencing {
            epoch,
            attempt,
            since: now,
        };
        actions.push(Action::Fence(attempt));
    }

    fn on_fenced(&mut self, answer: Attempt) {
        let State::Fencing { epoch, attempt, .. } = self.state else {
            return;
        };
        if answer != attempt {
            return;
        }
        // The validity of the lease is checked in `advance`.
        self.state = State::Held {
            epoch,
            until: Instant::ZERO,
        };
    }

    fn on_checked(&mut self, answer: Attempt, occupancy: Occupancy, actions: &mut Vec<Action>) {
        let State::Unconfirmed { epoch, check } = self.state else {
            return;
        };
        if answer != check.attempt {
            return;
        }
        match occupancy {
            Occupancy::Later => self.close(None, actions),
            // A former holder has resumed. If this instance gave up the seat
            // now, no instance would hold it until the store is back. The
            // former holder is fenced instead, and the next check shows whether
            // any remains.
            Occupancy::Earlier => actions.push(Action::Fence(answer)),
            Occupancy::Alone => {
                let check = Check {
                    last_alone: Some(check.sent),
                    ..check
                };
                self.state = State::Unconfirmed { epoch, check };
            }
        }
    }

    fn on_terminated(&mut self, actions: &mut Vec<Action>) {
        if !matches!(self.state, State::NotHeld | State::Closing { .. }) {
            self.record = None;
            self.close(None, actions);
        }
    }

    fn close(&mut self, epoch: Option<Epoch>, actions: &mut Vec<Action>) {
        self.state = State::Closing { epoch };
        actions.push(Action::Close);
    }

    fn on_closed(&mut self, actions: &mut Vec<Action>) {
        let State::Closing { epoch } = self.state else {
            return;
        };
        self.state = State::NotHeld;
        // The key is deleted last: earlier, the next holder could start while
        // connections of this one are open.
        if let Some(epoch) = epoch {
            self.record = None;
            actions.push(Action::Release(epoch));
        }
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        match (self.state, self.goal) {
            (State::NotHeld, Goal::Hold) => self.claim(now, Kept::Nothing, actions),
            (State::NotHeld | State::Closing { .. }, _) => {}
            (
                State::Claiming {
                    kept: Kept::Nothing,
                    ..
                },
                Goal::Release,
            ) => self.state = State::NotHeld,
            (State::Claiming { since, kept }, _) if now >= since + CALL_TIMEOUT => {
                self.record = None;
                self.claim(now, kept, actions);
            }
            (State::Claiming { .. }, _) => {}
            (
                State::Fencing { epoch, .. }
                | State::Held { epoch, .. }
                | State::Unconfirmed { epoch, .. },
                Goal::Release,
            ) => self.close(Some(epoch), actions),
            (State::Fencing { epoch, since, .. }, Goal::Hold) => {
                if now >= since + CALL_TIMEOUT {
                    self.fence(now, epoch, actions);
                }
            }
            (State::Held { epoch, .. } | State::Unconfirmed { epoch, .. }, Goal::Hold) => {
                self.confirm_hold(now, epoch, actions);
            }
        }
    }

    /// Confirms the seat by the lease, or by checking the upstream.
    fn confirm_hold(&mut self, now: Instant, epoch: Epoch, actions: &mut Vec<Action>) {
        match self.lease {
            Status::Valid(_, until) if now < until => {
                self.state = State::Held { epoch, until };
            }
            // The lease has expired and the key with it: reclaim the seat
            // first, with the connections still open.
            Status::Absent => {
                self.record = None;
                self.claim(now, Kept::Connections, actions);
            }
            Status::Valid(..) | Status::Unconfirmed(_) => self.check(now, epoch, actions),
        }
    }

    fn check(&mut self, now: Instant, epoch: Epoch, actions: &mut Vec<Action>) {
        let before = match self.state {
            State::Unconfirmed { check, .. } => Some(check),
            _ => None,
        };
        if before.is_some_and(|it| now < it.sent + CHECK_VALIDITY / 2) {
            return;
        }
        let attempt = self.attempt();
        let check = Check {
            attempt,
            sent: now,
            last_alone: before.and_then(|it| it.last_alone),
        };
        self.state = State::Unconfirmed { epoch, check };
        actions.push(Action::Check(attempt));
    }

    fn claim(&mut self, now: Instant, kept: Kept, actions: &mut Vec<Action>) {
        let over = match self.record {
            None => {
                self.request_record(now, kept, actions);
                return;
            }
            Some(Record::Absent) => None,
            Some(Record::Mine(epoch)) => return self.fence(now, epoch, actions),
            Some(Record::Other(epoch)) if self.dead >= Some(epoch) => Some(epoch),
            Some(Record::Other(_)) => return,
        };
        let Status::Valid(id, until) = self.lease else {
            return;
        };
        if now >= until {
            return;
        }
        self.state = State::Claiming { since: now, kept };
        actions.push(Action::Claim(id, over));
    }

    fn request_record(&mut self, now: Instant, kept: Kept, actions: &mut Vec<Action>) {
        self.state = State::Claiming { since: now, kept };
        actions.push(Action::Read);
    }

    fn attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt(self.attempts)
    }
}
