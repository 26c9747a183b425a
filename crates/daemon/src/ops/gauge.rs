//! Gauges of the duties' state, updated at each scrape.

use std::collections::BTreeSet;

use metrics::gauge;
use view::{Breaker, Pool, Upstream};

use crate::{
    introspect::{Group, Introspection},
    meter::OTHER,
};

/// Maximum number of upstreams with gauges of their own, four for each; the
/// rest is summed up as [`OTHER`].
pub(super) const MAX_UPSTREAMS: usize = 500;

/// Labels of an upstream's gauges: database and upstream.
type Labels = (String, String);

/// Upstreams whose gauges have been set before.
#[derive(Debug, Default)]
pub(super) struct Gauges {
    reported: BTreeSet<Labels>,
}

/// Pool metrics of one upstream, or the sum of several.
#[derive(Debug, Clone, Copy, Default)]
struct PoolMetrics {
    open: u32,
    busy: u32,
    waiting: u32,
    breaker_open: u32,
}

impl PoolMetrics {
    fn of(pool: &Pool) -> Self {
        let breaker_open = matches!(pool.breaker, Some(Breaker::Open { .. }));
        Self {
            open: pool.open,
            busy: pool.busy,
            waiting: pool.waiting,
            breaker_open: breaker_open.into(),
        }
    }

    fn add(&mut self, other: Self) {
        self.open += other.open;
        self.busy += other.busy;
        self.waiting += other.waiting;
        self.breaker_open += other.breaker_open;
    }

    fn set(self, (database, upstream): &Labels) {
        let connections = |state: &'static str, count: u32| {
            gauge!(
                "dandelionlink_pool_connections",
                "database" => database.clone(), "upstream" => upstream.clone(), "state" => state
            )
            .set(f64::from(count));
        };
        connections("open", self.open);
        connections("busy", self.busy);
        gauge!(
            "dandelionlink_pool_waiting",
            "database" => database.clone(), "upstream" => upstream.clone()
        )
        .set(f64::from(self.waiting));
        gauge!(
            "dandelionlink_breaker_open",
            "database" => database.clone(), "upstream" => upstream.clone()
        )
        .set(f64::from(self.breaker_open));
    }
}

/// Requests the state of the duties and returns the groups. The gauges of a
/// duty that does not answer keep their values.
pub(super) async fn request_groups(introspection: &Introspection) -> Vec<Group> {
    let (groups, callers) = tokio::join!(
        introspection.groups.request(),
        introspection.callers.request()
    );
    if let Some(callers) = callers {
        gauge!("dandelionlink_callers").set(callers.total as f64);
    }
    groups.map_or_else(Vec::new, |it| it.groups)
}

impl Gauges {
    /// Sets the gauges of `groups`. Gauges of an upstream that is no longer in
    /// the catalogue are set to 0, because they would otherwise keep their last
    /// value.
    pub(super) fn set(&mut self, groups: &[Group]) {
        if groups.is_empty() {
            return;
        }
        let mut gone = std::mem::take(&mut self.reported);
        let mut rest = PoolMetrics::default();
        for upstream in groups.iter().flat_map(|it| &it.upstreams) {
            let metrics = upstream.pool.as_ref().map(PoolMetrics::of);
            let metrics = metrics.unwrap_or_default();
            let labels = labels(upstream);
            if gone.remove(&labels) || self.reported.len() + gone.len() < MAX_UPSTREAMS {
                metrics.set(&labels);
                self.reported.insert(labels);
            } else {
                rest.add(metrics);
            }
        }
        // Removed upstreams still count against the maximum, because their
        // series continue to exist.
        for labels in gone {
            PoolMetrics::default().set(&labels);
            self.reported.insert(labels);
        }
        if self.reported.len() >= MAX_UPSTREAMS {
            rest.set(&(OTHER.to_owned(), OTHER.to_owned()));
        }
    }
}

fn labels(upstream: &Upstream) -> Labels {
    let database = upstream.database.to_string();
    (database, upstream.upstream.to_string())
}

#[cfg(test)]
mod tests;
