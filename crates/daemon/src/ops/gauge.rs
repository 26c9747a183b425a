//! Gauges of what the duties hold, taken when the figures are asked for.

use std::collections::BTreeSet;

use metrics::gauge;
use view::{Breaker, Pool, Upstream};

use crate::{
    introspect::{Group, Introspection},
    meter::OTHER,
};

/// How many upstreams have gauges of their own; the rest are added up as
/// [`OTHER`]. Each has four.
pub(super) const MAX_UPSTREAMS: usize = 500;

/// The labels of an upstream's gauges.
type Labels = (String, String);

/// The gauges that were told before.
#[derive(Debug, Default)]
pub(super) struct Gauges {
    reported: BTreeSet<Labels>,
}

/// One upstream's figures, or those of several together.
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

/// Asks the duties, and returns what is to be told of them. A duty that does
/// not answer leaves its gauges as they were.
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
    /// Tells the figures of `groups`. An upstream that the catalogue has no
    /// more falls to nought: its last figures would otherwise stand for ever.
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
        // They keep their places: the series exist, whatever they say.
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
