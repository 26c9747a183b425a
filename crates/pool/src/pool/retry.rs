//! Retry times for refused callers.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;
use model::Priority;

/// Maximum delay after which a refused caller is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Assigns retry times, one service time apart.
///
/// If all refused callers were given the same time, their retries would arrive
/// and be refused together. The retry times of one priority follow each other
/// at the rate at which the upstream can serve them.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    last: BTreeMap<Priority, Instant>,
}

impl Schedule {
    /// Returns the retry delay of a caller, given the `backlog` of the queue
    /// and the service time `cost` of one such request at the upstream.
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
        // Beyond the maximum the times start over: a caller told to wait for
        // longer than an overload usually lasts would return to an idle
        // upstream.
        if *last > now + MAX_RETRY_AFTER {
            *last = earliest + cost;
        }
        last.since(now)
    }
}
