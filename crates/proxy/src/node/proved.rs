//! The wait for a proved primary.

use std::{rc::Rc, time::Duration};

use clock::{Boot, Instant};
use tokio::time::timeout;

use super::Node;
use crate::{edge::Edge, group::Group, member::Member, metrics::Wait, proof_lease};

/// Time before the end of a leaving upstream's drain in which it gets no new work.
const DRAIN_MARGIN: Duration = Duration::from_millis(1_500);

/// Result of a wait for a proved primary.
#[derive(Debug)]
pub enum Proved {
    /// This upstream is the proved primary.
    Primary(Rc<Member>),
    /// No primary was proved in time.
    NoPrimary,
}

impl<E: Edge> Node<E> {
    /// Returns the primary if it is proved that it led at `moment` and it may get work.
    ///
    /// A leaving primary is replaced before it ends. If the replacement is late, the primary gets no
    /// work in its last moments.
    fn proved_primary(&self, group: &Group, moment: Instant) -> Option<Rc<Member>> {
        let (member, _) = group.primary()?;
        (self.may_get_work(&member) && group.proof().covers(moment)).then_some(member)
    }

    /// Returns true if `member` leaves and its drain is about to end, or it is unknown when that is.
    pub(crate) fn is_drain_over(&self, member: &Member, now: Instant) -> bool {
        let left = member.leaves_in(now, self.settings.drain);
        left.is_some_and(|left| left <= DRAIN_MARGIN)
    }

    /// Returns false if `member` leaves and its drain is over ([`Node::is_drain_over`]).
    pub fn may_get_work(&self, member: &Member) -> bool {
        let now = Boot.now();
        let is_over = self.is_drain_over(member, now);
        if is_over && !member.is_withheld.get() {
            let (service, upstream) = (&*member.upstream.service, &*member.upstream.id);
            let leaving_ms = member.leaving_for(now).map(|age| age.as_millis());
            log::info!(service, upstream, leaving_ms:?; "leaving upstream gets no new work");
        }
        member.is_withheld.set(is_over);
        !is_over
    }

    /// Waits until it is proved that the primary led at `moment`, at most for `wait`.
    pub async fn proved(&self, group: &Group, moment: Instant, wait: Duration) -> Proved {
        group.want_proof(Boot.now());
        if let Some(member) = self.proved_primary(group, moment) {
            return Proved::Primary(member);
        }
        // An inactive group is not proved with the others.
        proof_lease::adopt_proof(self, group);
        if let Some(member) = self.proved_primary(group, moment) {
            return Proved::Primary(member);
        }
        let _waited = self.metrics.wait(Wait::Proof);
        let proved = async {
            loop {
                let changed = group.changed.notified();
                if let Some(member) = self.proved_primary(group, moment) {
                    return Proved::Primary(member);
                }
                // The task that replaces a primary notifies when it is done.
                if group.primary().is_some() {
                    self.proof_wanted.notify_one();
                }
                changed.await;
            }
        };
        timeout(wait, proved).await.unwrap_or(Proved::NoPrimary)
    }
}
