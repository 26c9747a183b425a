//! When refused callers are told to come back.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;
use model::Priority;

/// The latest moment that a refused caller is sent to.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Hands out moments to come back at, one service time apart.
///
/// Were all refused callers told the same moment, they would come back
/// together and be refused together. The moments of a priority follow each
/// other at the speed at which the upstream could serve them.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    last: BTreeMap<Priority, Instant>,
}

impl Schedule {
    /// How long a caller should stay away, given the queue's `backlog` and
    /// the upstream's time `cost` for one such request.
    pub(super) fn next(
        &mut self,
        now: Instant,
        priority: Priority,
        backlog: Duration,
        cost: Duration,
    ) -> Duration {
        let earliest = now + backlog.min(MAX_RETRY_AFTER);
        let last = self.last.entry(priority).or_insert(earliest);
        *last = (*last).max(earliest) + cost;
        // Past the horizon the promises start over: a caller sent further away
        // than overloads last would find an idle upstream when it returns.
        if *last > now + MAX_RETRY_AFTER {
            *last = earliest + cost;
        }
        last.since(now)
    }
}
