//! How much work comes in, by priority and tenant.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use clock::Instant;
use model::{Priority, name};

/// Work older than this counts for less than a third of new work.
pub const WINDOW: Duration = Duration::from_secs(1);

/// A tenant whose work occupies less of a slot than this is forgotten.
const MIN_TENANT_SLOTS: f64 = 1e-3;
/// Tenants of one priority that are kept before any is looked at again.
const MIN_PRUNE_LEN: usize = 64;

/// Work per time, as the number of slots that it keeps occupied.
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

/// The admitted work of one upstream.
///
/// A queue that looks only at what waits now admits too much: work that comes
/// later and goes first makes a request wait longer than its place says. It
/// would show as refusals long after the arrival.
#[derive(Debug, Default)]
pub struct Demand {
    lanes: BTreeMap<Priority, Lane>,
}

impl Demand {
    /// A request that is expected to take `cost` was admitted.
    pub fn add(&mut self, now: Instant, priority: Priority, tenant: &name::Tenant, cost: Duration) {
        let lane = self.lanes.entry(priority).or_default();
        lane.add(now, tenant, cost);
    }

    /// How many slots the work before `priority` occupies.
    pub fn above(&self, now: Instant, priority: Priority) -> f64 {
        let lanes = self.lanes.range(..priority);
        lanes.map(|(_, lane)| lane.total.value(now)).sum()
    }

    /// How many slots the work of a priority occupies.
    pub fn of_priority(&self, now: Instant, priority: Priority) -> f64 {
        self.lanes
            .get(&priority)
            .map_or(0.0, |lane| lane.total.value(now))
    }

    /// How many slots a tenant's work of a priority occupies.
    pub fn of_tenant(&self, now: Instant, priority: Priority, tenant: &name::Tenant) -> f64 {
        let lane = self.lanes.get(&priority);
        let rate = lane.and_then(|it| it.tenants.get(tenant));
        rate.map_or(0.0, |it| it.value(now))
    }
}
