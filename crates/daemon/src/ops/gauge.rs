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
pub(super) const UPSTREAMS: usize = 500;

/// The labels of an upstream's gauges.
type Name = (String, String);

/// The gauges that were told before.
#[derive(Debug, Default)]
pub(super) struct Gauges {
    told: BTreeSet<Name>,
}

/// One upstream's figures, or those of several together.
#[derive(Debug, Clone, Copy, Default)]
struct Figures {
    open: u32,
    busy: u32,
    waiting: u32,
    broken: u32,
}

impl Figures {
    fn of(pool: &Pool) -> Self {
        let broken = matches!(pool.breaker, Some(Breaker::Open { .. }));
        Self {
            open: pool.open,
            busy: pool.busy,
            waiting: pool.waiting,
            broken: broken.into(),
        }
    }

    fn add(&mut self, other: Self) {
        self.open += other.open;
        self.busy += other.busy;
        self.waiting += other.waiting;
        self.broken += other.broken;
    }

    fn tell(self, (database, upstream): &Name) {
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
        .set(f64::from(self.broken));
    }
}

/// Asks the duties, and returns what is to be told of them. A duty that does
/// not answer leaves its gauges as they were.
pub(super) async fn ask(introspection: &Introspection) -> Vec<Group> {
    let (groups, callers) = tokio::join!(introspection.groups.ask(), introspection.callers.ask());
    if let Some(callers) = callers {
        gauge!("dandelionlink_callers").set(callers.total as f64);
    }
    groups.map_or_else(Vec::new, |it| it.groups)
}

impl Gauges {
    /// Tells the figures of `groups`. An upstream that the catalogue has no
    /// more falls to nought: its last figures would otherwise stand for ever.
    pub(super) fn tell(&mut self, groups: &[Group]) {
        if groups.is_empty() {
            return;
        }
        let mut gone = std::mem::take(&mut self.told);
        let mut rest = Figures::default();
        for upstream in groups.iter().flat_map(|it| &it.upstreams) {
            let figures = upstream.pool.as_ref().map(Figures::of);
            let figures = figures.unwrap_or_default();
            let name = name(upstream);
            if gone.remove(&name) || self.told.len() + gone.len() < UPSTREAMS {
                figures.tell(&name);
                self.told.insert(name);
            } else {
                rest.add(figures);
            }
        }
        // They keep their places: the series exist, whatever they say.
        for name in gone {
            Figures::default().tell(&name);
            self.told.insert(name);
        }
        if self.told.len() >= UPSTREAMS {
            rest.tell(&(OTHER.to_owned(), OTHER.to_owned()));
        }
    }
}

fn name(upstream: &Upstream) -> Name {
    let database = upstream.database.to_string();
    (database, upstream.upstream.to_string())
}

#[cfg(test)]
mod tests;
