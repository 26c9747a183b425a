//! A seat: the right to a share of an upstream's connections.
//!
//! A seat is one key of the store, bound to its holder's lease and changed
//! only by compare-and-swap. That alone would trust clocks: a holder that is
//! paused, or cut off from the store only, has its connections open when the
//! next one starts. A new holder therefore first *fences*: with the upstream's
//! reserved connection it ends all connections of the seat that are not its
//! own (`pg_terminate_backend` over `pg_stat_activity`, by application name).
//! Only then does it open its share.
//!
//! A fence ends what is there, not what is still on its way. Each connection
//! therefore carries its holder's epoch in its name, and after its login and
//! before its first use it looks who else is there ([`admit`]). Of two
//! connections of different epochs at least one looks when the other is
//! there, and in each order the lower epoch gives way, so statements of two
//! holders never mix, whatever clocks and messages do.
//!
//! The same names at the upstream let a holder go on while the store is down:
//! as long as it sees nobody else's connections of its seat there, nobody else
//! uses the seat.

use std::time::Duration;

use clock::Instant;

use crate::lease::{Attempt, Id, Status};

/// How long a look at the upstream's connections counts while the lease can't
/// be proved.
pub const CHECK_VALIDITY: Duration = Duration::from_secs(1);
/// How long a call may stay unanswered before it is made again.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The store's revision at which a seat was taken; later takers have higher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// What the store holds for a seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Record {
    /// Nothing.
    Absent,
    /// This instance, since this epoch.
    Mine(Epoch),
    /// Another instance, since this epoch.
    Other(Epoch),
}

/// Who is seen at the upstream under the seat's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Occupancy {
    /// Only this instance's connections, or none.
    Alone,
    /// Another instance's of an earlier epoch, and none of a later.
    Earlier,
    /// Another instance's of a later epoch.
    Later,
}

/// What a new connection may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Run statements.
    Use,
    /// Nothing until the connections of earlier epochs are ended; then look
    /// again.
    Fence,
    /// Close: a later holder is here, which is [`Event::Terminated`].
    Close,
}

/// What a connection may do that was opened under `own` epoch, when `others`
/// are the epochs of other holders' connections of the seat, read after its
/// login and before its first use.
///
/// Without this look a login that was under way during a fence would be used
/// next to the new holder's connections: a paused process sends its next
/// message long after it checked its lease.
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

/// What happens to a seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The ranking puts this instance on the seat.
    Wanted,
    /// The ranking puts another instance on it, or this one is stopping.
    Unwanted,
    /// The instance's lease as it now stands.
    Lease(Status),
    /// The store's key was read, by a call, a watch or as a claim's answer.
    Record(Record),
    /// Peers agree that the holder since this epoch is dead, so that its seat
    /// can be taken without waiting for its lease.
    Dead(Epoch),
    /// The upstream ended all other connections of the seat, and a look after
    /// that shows none: ending a connection takes the upstream a moment.
    Fenced(Attempt),
    /// The upstream's list of connections was read.
    Checked(Attempt, Occupancy),
    /// Connections were ended by the upstream on an administrator's order:
    /// another holder has fenced this one.
    Terminated,
    /// All connections are closed after [`Action::Close`], and the upstream has
    /// ended them: told earlier, the seat's next share would come on top.
    Closed,
    /// Time passed.
    Tick,
}

/// What the seat wants done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Write the key with this lease if it still has this epoch, or if it is
    /// absent; then read it.
    Claim(Id, Option<Epoch>),
    /// Read the key: the answer to a claim was lost, or it is not known.
    Read,
    /// End the seat's connections that are not this instance's.
    Fence(Attempt),
    /// Look who has connections under the seat's name.
    Check(Attempt),
    /// Close all connections of the seat at once.
    Close,
    /// Delete the key if it still has this epoch.
    Release(Epoch),
}

/// What the holder may do with the seat's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// Nothing: hold back new statements, open none.
    Nothing,
    /// Use those that are open and replace broken ones, one at a time.
    Replace,
    /// Open up to the share.
    Full,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The seat is not held.
    NotHeld,
    /// A claim is on its way; `Kept::Connections` when it is to win back a
    /// seat whose connections are still open.
    Claiming { since: Instant, kept: Kept },
    /// The key is this instance's; others are being ended at the upstream.
    Fencing {
        epoch: Epoch,
        attempt: Attempt,
        since: Instant,
    },
    /// Held under a proved lease.
    Held { epoch: Epoch, until: Instant },
    /// Held as far as the upstream shows; the store is silent.
    Unconfirmed { epoch: Epoch, check: Check },
    /// Closing all connections, then deleting the key if it is still ours.
    Closing { epoch: Option<Epoch> },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kept {
    Nothing,
    Connections,
}

/// A look at the upstream's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Check {
    attempt: Attempt,
    sent: Instant,
    /// When the last look that found nobody else was *sent*.
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
    /// Decides what to do about `event`.
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

    /// What the holder may do now. Ask right before each use: a holder that
    /// was paused since its last step finds its lease run out here.
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

    /// The epoch since which the seat is this instance's.
    pub fn epoch(&self) -> Option<Epoch> {
        match self.state {
            State::Fencing { epoch, .. }
            | State::Held { epoch, .. }
            | State::Unconfirmed { epoch, .. } => Some(epoch),
            State::NotHeld | State::Claiming { .. } | State::Closing { .. } => None,
        }
    }

    /// When to step next at the latest.
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
            // The lease that the key rode on has lapsed; others may claim it.
            (
                State::Fencing { .. } | State::Held { .. } | State::Unconfirmed { .. },
                Record::Absent,
            ) => self.claim(now, Kept::Connections, actions),
            _ => {}
        }
    }

    fn on_lease(&mut self, now: Instant, status: Status, actions: &mut Vec<Action>) {
        self.lease = status;
        // A claim may have waited for the lease.
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
        // Whether the lease still stands is looked at when the seat settles.
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
            // A former holder woke up. Given up for it, the seat would be
            // nobody's until the store is back; it is ended, and the next look
            // shows whether this one is alone.
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
        // The key goes last. Deleted earlier, it would let the next holder in
        // while connections of this one are open.
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

    /// Holds the seat under the lease, or by looking at the upstream.
    fn confirm_hold(&mut self, now: Instant, epoch: Epoch, actions: &mut Vec<Action>) {
        match self.lease {
            Status::Valid(_, until) if now < until => {
                self.state = State::Held { epoch, until };
            }
            // The lease is gone and the key with it: win it back before
            // anything else, with the connections still open.
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
