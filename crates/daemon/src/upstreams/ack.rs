//! Waiting for a majority: acknowledgement of writes, and confirmed rounds.

use std::{rc::Rc, time::Duration};

use clock::Instant;
use failover::quorum::Id;
use model::{Cause, Position, name};
use ntex::time::sleep;
use session::{Confirmed, Start};
use tokio::sync::oneshot;

use super::{
    Core,
    group::{Group, Member},
    pace::{MOST_PAUSE, Pace},
};

impl Group {
    /// Waits until a majority holds the log up to `position` of the term that
    /// still counts.
    ///
    /// # Errors
    ///
    /// Why that can't be said of the write: its outcome is unknown.
    pub(super) async fn acknowledged(
        self: &Rc<Self>,
        core: &Rc<Core>,
        position: Position,
        deadline: Instant,
    ) -> Result<(), Cause> {
        let id = self.next_id();
        let waits = match self.quorum.borrow_mut().as_mut() {
            Some(quorum) => quorum
                .add_write(id, position)
                .map_err(|_| Cause::Replaced)?,
            None => return Err(Cause::NoUpstream),
        };
        if waits.is_some() {
            return Ok(());
        }
        let (waiter, landed) = oneshot::channel();
        self.waiters.borrow_mut().insert(id, waiter);
        self.press(core);
        tokio::select! {
            biased;
            result = landed => result.unwrap_or(Err(Cause::Replaced)),
            () = sleep(deadline.since(core.now())) => {
                self.waiters.borrow_mut().remove(&id);
                if let Some(quorum) = self.quorum.borrow_mut().as_mut() {
                    quorum.cancel_write(id, position);
                }
                Err(Cause::Deadline)
            }
        }
    }

    fn next_id(&self) -> Id {
        self.waits.set(self.waits.get() + 1);
        Id(self.waits.get())
    }

    /// Asks the replicas for their positions until no write waits.
    fn press(self: &Rc<Self>, core: &Rc<Core>) {
        let primary = self.router.borrow().primary().cloned();
        for (name, member) in self.members.borrow().iter() {
            let busy = member.pressed.get() || primary.as_ref() == Some(name);
            if !busy {
                member.pressed.set(true);
                let (group, core) = (Rc::clone(self), Rc::clone(core));
                ntex::rt::spawn(press_one(group, core, name.clone(), Rc::clone(member)));
            }
        }
    }

    /// Asks all upstreams for their status, unless a round is under way.
    ///
    /// An instance that is no candidate has no other way to learn who leads
    /// before the record of a change reaches it.
    pub(super) fn want_round(self: &Rc<Self>, core: &Rc<Core>, since: Instant) {
        let now = core.now();
        if self.round.borrow_mut().request(now, since) == Start::Now {
            ntex::rt::spawn(ask_all(Rc::clone(self), Rc::clone(core)));
        }
    }

    /// Waits for a round that began at `since` or later.
    ///
    /// # Errors
    ///
    /// [`Cause::Deadline`] when no majority confirmed a primary in time.
    pub(super) async fn confirmed(
        self: &Rc<Self>,
        core: &Rc<Core>,
        since: Instant,
        deadline: Instant,
    ) -> Result<Confirmed, Cause> {
        loop {
            let changed = self.changed.notified();
            if let Some(round) = self.round_since(since) {
                return Ok(round);
            }
            let now = core.now();
            if now >= deadline {
                return Err(Cause::Deadline);
            }
            self.want_round(core, since);
            tokio::select! {
                () = changed => {}
                () = sleep(deadline.since(now).min(MOST_PAUSE)) => {}
            }
        }
    }
}

/// Asks one upstream for its position until no write waits.
async fn press_one(group: Rc<Group>, core: Rc<Core>, name: name::Upstream, member: Rc<Member>) {
    let mut pace = Pace::open();
    loop {
        let report = group.probe(&core, &name).await.and_then(Result::ok);
        let waiting = group
            .quorum
            .borrow()
            .as_ref()
            .is_some_and(|it| it.waiting() > 0);
        if !waiting {
            break;
        }
        let pause = pace.next(report.map(|report| report.received));
        if pause > Duration::ZERO {
            sleep(pause).await;
        }
    }
    member.pressed.set(false);
}

/// Asks all upstreams of the group for their status at once.
async fn ask_all(group: Rc<Group>, core: Rc<Core>) {
    loop {
        let began = core.now();
        let names: Vec<_> = group.members.borrow().keys().cloned().collect();
        for name in names {
            let (group, core) = (Rc::clone(&group), Rc::clone(&core));
            ntex::rt::spawn(async move { group.probe(&core, &name).await });
        }
        let limit = began + super::group::ROUND_TIMEOUT;
        while group.round_since(began).is_none() && core.now() < limit {
            tokio::select! {
                () = group.changed.notified() => {}
                () = sleep(limit.since(core.now())) => {}
            }
        }
        if group.round.borrow_mut().end(core.now()) == Start::Later {
            return;
        }
    }
}
