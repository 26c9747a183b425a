//! Rate of admitted work by priority and tenant.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use clock::Instant;
use model::{Priority, name};

/// Time constant of the decay: older work counts for less than 37%.
pub const WINDOW: Duration = Duration::from_secs(1);

/// A tenant whose work occupies less of a slot than this is removed.
const MIN_TENANT_SLOTS: f64 = 1e-3;
/// Number of tenants of one priority below which none is removed.
const MIN_PRUNE_LEN: usize = 64;

/// Work per time, expressed as the number of slots that the work occupies.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    slots: f64,
    at: Instant,
}

impl Rate {
    fn value(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64() / WINDOW.as_secs_f64();
        self.slots * (-age).exp()
    }

    fn add(&mut self, now: Instant, cost: Duration) {
        self.slots = self.value(now) + cost.as_secs_f64() / WINDOW.as_secs_f64();
        self.at = now;
    }
}

#[derive(Debug, Default)]
struct Lane {
    total: Rate,
    tenants: HashMap<name::Tenant, Rate>,
    prune_len: usize,
}

impl Lane {
    fn add(&mut self, now: Instant, tenant: &name::Tenant, cost: Duration) {
        self.total.add(now, cost);
        if let Some(rate) = self.tenants.get_mut(tenant) {
            rate.add(now, cost);
            return;
        }
        if self.tenants.len() >= self.prune_len.max(MIN_PRUNE_LEN) {
            self.tenants
                .retain(|_, rate| rate.value(now) > MIN_TENANT_SLOTS);
            self.prune_len = self.tenants.len() * 2;
        }
        let mut rate = Rate::default();
        rate.add(now, cost);
        self.tenants.insert(tenant.clone(), rate);
    }
}

/// Work admitted for one upstream.
///
/// Admission by the current queue alone would accept too much: later work of
/// higher precedence delays a request beyond its place in the queue, and the
/// request would be refused long after its arrival.
#[derive(Debug, Default)]
pub struct Demand {
    lanes: BTreeMap<Priority, Lane>,
}

impl Demand {
    /// Records an admitted request that is expected to take `cost`.
    pub fn add(&mut self, now: Instant, priority: Priority, tenant: &name::Tenant, cost: Duration) {
        let lane = self.lanes.entry(priority).or_default();
        lane.add(now, tenant, cost);
    }

    /// Number of slots occupied by work of a higher priority.
    pub fn above(&self, now: Instant, priority: Priority) -> f64 {
        let lanes = self.lanes.range(..priority);
        lanes.map(|(_, lane)| lane.total.value(now)).sum()
    }

    /// Number of slots occupied by work of a priority.
    pub fn of_priority(&self, now: Instant, priority: Priority) -> f64 {
        self.lanes
            .get(&priority)
            .map_or(0.0, |lane| lane.total.value(now))
    }

    /// Number of slots occupied by a tenant's work of a priority.
    pub fn of_tenant(&self, now: Instant, priority: Priority, tenant: &name::Tenant) -> f64 {
        let lane = self.lanes.get(&priority);
        let rate = lane.and_then(|it| it.tenants.get(tenant));
        rate.map_or(0.0, |it| it.value(now))
    }
}
