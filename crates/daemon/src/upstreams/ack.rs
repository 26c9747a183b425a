//! Waiting for a majority: acknowledgement of writes and confirmation of the
//! primary.

use std::{rc::Rc, time::Duration};

use clock::Instant;
use failover::quorum::Id;
use model::{Cause, Position, name};
use ntex::time::sleep;
use session::{Confirmed, Start};
use tokio::sync::oneshot;

use super::{
    Core,
    backoff::{Backoff, MAX_PAUSE},
    group::{Group, Member},
};

impl Group {
    /// Waits until a majority holds the log up to `position`, provided that its
    /// term is still current.
    ///
    /// # Errors
    ///
    /// Returns the reason why the write can't be acknowledged; its outcome is
    /// unknown.
    pub(super) async fn wait_acknowledged(
        self: &Rc<Self>,
        core: &Rc<Core>,
        position: Position,
        deadline: Instant,
    ) -> Result<(), Cause> {
        let id = self.next_id();
        let acknowledged = match self.quorum.borrow_mut().as_mut() {
            Some(quorum) => quorum
                .add_write(id, position)
                .map_err(|_| Cause::Replaced)?,
            None => return Err(Cause::NoUpstream),
        };
        if acknowledged.is_some() {
            return Ok(());
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(id, sender);
        self.poll_replicas(core);
        tokio::select! {
            biased;
            result = receiver => result.unwrap_or(Err(Cause::Replaced)),
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
        self.last_id.set(self.last_id.get() + 1);
        Id(self.last_id.get())
    }

    /// Polls the replicas for their positions until no write is waiting.
    fn poll_replicas(self: &Rc<Self>, core: &Rc<Core>) {
        let primary = self.router.borrow().primary().cloned();
        for (name, member) in self.members.borrow().iter() {
            let busy = member.polled.get() || primary.as_ref() == Some(name);
            if !busy {
                member.polled.set(true);
                let (group, core) = (Rc::clone(self), Rc::clone(core));
                ntex::rt::spawn(poll_replica(group, core, name.clone(), Rc::clone(member)));
            }
        }
    }

    /// Starts a round of status probes to all upstreams, unless one is under
    /// way.
    ///
    /// An instance that is not a candidate learns of a new primary in no other
    /// way before the record of the change reaches it.
    pub(super) fn request_round(self: &Rc<Self>, core: &Rc<Core>, since: Instant) {
        let now = core.now();
        if self.round.borrow_mut().request(now, since) == Start::Now {
            ntex::rt::spawn(probe_all(Rc::clone(self), Rc::clone(core)));
        }
    }

    /// Waits for a confirmed round that began at `since` or later.
    ///
    /// # Errors
    ///
    /// [`Cause::Deadline`] if no majority confirmed a primary in time.
    pub(super) async fn wait_confirmed(
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
            self.request_round(core, since);
            tokio::select! {
                () = changed => {}
                () = sleep(deadline.since(now).min(MAX_PAUSE)) => {}
            }
        }
    }
}

/// Polls one upstream for its position until no write is waiting.
async fn poll_replica(group: Rc<Group>, core: Rc<Core>, name: name::Upstream, member: Rc<Member>) {
    let mut backoff = Backoff::open();
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
        let pause = backoff.next(report.map(|report| report.received));
        if pause > Duration::ZERO {
            sleep(pause).await;
        }
    }
    member.polled.set(false);
}

/// Probes all upstreams of the group in parallel, again while further rounds
/// are requested.
async fn probe_all(group: Rc<Group>, core: Rc<Core>) {
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
