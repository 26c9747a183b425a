//! Where a request goes: the router chooses, this waits as it says.

use std::{rc::Rc, time::Duration};

use clock::Instant;
use model::{Cause, name};
use ntex::time::sleep;
use route::{Choice, Event, Read, Target, Trust};
use session::Confirmed;

use super::{Core, group::Group};
use crate::job::Job;

/// How long a request that waits for news goes without looking again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(5);

/// How long a request waits for somebody to lead.
///
/// Longer than a change of primary takes at its worst. A request that waited
/// on would be held back although nothing can be expected any more; it is
/// refused at once then, and told when to come back.
const MAX_HOLD: Duration = Duration::from_secs(3);

/// Where a request goes.
#[derive(Debug, Clone)]
pub(super) enum Destination {
    /// A read, to a replica.
    Replica(name::Upstream),
    /// To the primary, as far as is known here.
    Primary(name::Upstream),
    /// A read, to the primary that a majority confirmed since it began.
    Confirmed(name::Upstream, Confirmed),
}

impl Destination {
    /// The upstream.
    pub(super) fn upstream(&self) -> &name::Upstream {
        match self {
            Self::Replica(upstream) | Self::Primary(upstream) | Self::Confirmed(upstream, _) => {
                upstream
            }
        }
    }

    /// What the upstream is taken for.
    pub(super) fn target(&self) -> Target {
        match self {
            Self::Replica(_) => Target::Replica,
            Self::Primary(_) | Self::Confirmed(..) => Target::Primary,
        }
    }
}

impl Group {
    /// Chooses where a read goes, waiting where that is better.
    ///
    /// # Errors
    ///
    /// Why nothing can serve it; it did not run.
    pub(super) async fn choose(
        self: &Rc<Self>,
        core: &Rc<Core>,
        read: &Read,
    ) -> Result<Destination, Cause> {
        loop {
            let changed = self.changed.notified();
            self.update_loads(core);
            let now = core.now();
            let choice = self
                .router
                .borrow_mut()
                .choose(now, read, &mut *core.rng.borrow_mut());
            match choice {
                Choice::Replica(upstream) => return Ok(Destination::Replica(upstream)),
                Choice::Primary(upstream) => return Ok(Destination::Primary(upstream)),
                Choice::Confirmed(upstream) => {
                    let round = self.wait_confirmed(core, read.began, read.deadline).await?;
                    return Ok(Destination::Confirmed(upstream, round));
                }
                Choice::AwaitRound => {
                    self.wait_confirmed(core, now, read.deadline).await?;
                }
                Choice::Wait { upstream, until } => {
                    sleep(until.since(now).min(RECHECK_INTERVAL)).await;
                    if read.trust != Trust::Expected {
                        let _ = self.probe(core, &upstream).await;
                    }
                }
                Choice::Hold { .. } if now >= read.began + MAX_HOLD => {
                    return Err(Cause::NoUpstream);
                }
                Choice::Hold { until } => {
                    self.request_round(core, now);
                    tokio::select! {
                        () = changed => {}
                        () = sleep(until.since(now).min(RECHECK_INTERVAL)) => {}
                    }
                }
                Choice::Refuse(cause) => return Err(cause),
            }
        }
    }

    /// Waits until somebody leads.
    ///
    /// # Errors
    ///
    /// [`Cause::NoUpstream`] when nobody did before the deadline; the request
    /// did not run.
    pub(super) async fn primary(
        self: &Rc<Self>,
        core: &Rc<Core>,
        deadline: Instant,
    ) -> Result<Destination, Cause> {
        let deadline = deadline.min(core.now() + MAX_HOLD);
        loop {
            let changed = self.changed.notified();
            if let Some(primary) = self.router.borrow().primary() {
                return Ok(Destination::Primary(primary.clone()));
            }
            let now = core.now();
            if now >= deadline {
                return Err(Cause::NoUpstream);
            }
            self.request_round(core, now);
            tokio::select! {
                () = changed => {}
                () = sleep(deadline.since(now).min(RECHECK_INTERVAL)) => {}
            }
        }
    }

    /// Waits for news of the group after an upstream could not be reached;
    /// `false` when the request has waited as long as it may.
    pub(super) async fn wait_for_change(self: &Rc<Self>, core: &Rc<Core>, job: &Job) -> bool {
        let now = core.now();
        if now >= job.deadline.min(job.began + MAX_HOLD) {
            return false;
        }
        self.request_round(core, now);
        tokio::select! {
            () = self.changed.notified() => {}
            () = sleep(RECHECK_INTERVAL) => {}
        }
        true
    }

    fn update_loads(&self, core: &Core) {
        let now = core.now();
        let mut router = self.router.borrow_mut();
        for (name, member) in self.members.borrow().iter() {
            router.step(now, Event::Load(name, member.connections.load()));
        }
    }
}
