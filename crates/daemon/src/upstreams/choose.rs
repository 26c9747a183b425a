//! Choice of the upstream for a request: the router decides, and this module
//! waits as the decision demands.

use std::{rc::Rc, time::Duration};

use clock::Instant;
use model::{Cause, name};
use ntex::time::sleep;
use route::{Choice, Event, Read, Target, Trust};
use session::Confirmed;

use super::{Core, group::Group};
use crate::job::Job;

/// Longest time that a waiting request goes without asking the router again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Longest time that a request waits for a primary.
///
/// Exceeds the longest change of primary. After that no primary is to be
/// expected soon, so the request is refused at once with a time to retry.
const MAX_HOLD: Duration = Duration::from_secs(3);

/// The upstream that a request is sent to.
#[derive(Debug, Clone)]
pub(super) enum Destination {
    /// A replica, for a read.
    Replica(name::Upstream),
    /// The upstream that this instance believes to be the primary.
    Primary(name::Upstream),
    /// The primary, for a read; a majority has confirmed it since the read
    /// began.
    Confirmed(name::Upstream, Confirmed),
}

impl Destination {
    /// The name of the upstream.
    pub(super) fn upstream(&self) -> &name::Upstream {
        match self {
            Self::Replica(upstream) | Self::Primary(upstream) | Self::Confirmed(upstream, _) => {
                upstream
            }
        }
    }

    /// The role that the upstream is chosen in.
    pub(super) fn target(&self) -> Target {
        match self {
            Self::Replica(_) => Target::Replica,
            Self::Primary(_) | Self::Confirmed(..) => Target::Primary,
        }
    }
}

impl Group {
    /// Chooses an upstream for a read, waiting where the router advises it.
    ///
    /// # Errors
    ///
    /// Returns the reason why no upstream can serve the read; the read did not
    /// run.
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

    /// Waits until the primary is known.
    ///
    /// # Errors
    ///
    /// [`Cause::NoUpstream`] if no primary became known before the deadline;
    /// the request did not run.
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

    /// Waits for a change of the group's state after an upstream could not be
    /// reached. Returns `false` if the request has used up its waiting time.
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
